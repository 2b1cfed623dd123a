//! Tracks the demand for each adapter as exponentially decaying request
//! counts.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{ModelName, ZoneName};

use crate::{
    adapter::AdapterKey,
    endpoint::SoftwareVersion,
    engine_pools::{RequestClass, WaitingClasses},
};

/// Time constant of the request rate, after which a request counts a third.
/// Popularity shifts within seconds: a longer time keeps adapters without
/// demand, a shorter one drops adapters that are requested every few seconds.
const RATE_DECAY_TIME: Duration = Duration::from_secs(6);

/// Time constant of the popularity, after which a request counts a third.
/// Rarely requested adapters are requested about every ten seconds.
const POPULARITY_DECAY_TIME: Duration = Duration::from_secs(30);

/// Time constant of the rate of long prompt tokens. Prompts are large and
/// rare, and an adapter's prompts arrive in bursts of some seconds.
const TOKEN_DECAY_TIME: Duration = Duration::from_secs(3);

/// How long after its last request an adapter still counts as waited for. A
/// rejected caller retries within a third of its remaining time, which is
/// about 1.7 s.
const WAIT_VALID_FOR: Duration = Duration::from_millis(2_000);

/// Popularity, in requests, below which an adapter is no longer tracked.
const MIN_POPULARITY: f64 = 0.1;

/// The demand for all adapters.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    adapters: HashMap<AdapterKey, AdapterDemand>,
    /// When a long prompt was last reported for each base model.
    last_long: HashMap<ModelName, Instant>,
    /// When a resumed stream last waited for an adapter at endpoints of a
    /// software version.
    by_version: HashMap<(AdapterKey, SoftwareVersion), Instant>,
}

/// The demand for one adapter.
#[derive(Clone, Debug)]
pub struct AdapterDemand {
    rate_weight: f64,
    popularity_weight: f64,
    updated: Instant,
    /// Time of the last request.
    pub last_requested: Instant,
    /// Zone of the last request.
    pub zone: ZoneName,
    /// Priority of the most urgent request that waits for the adapter, 0 being
    /// the most urgent; `None` if no request waits.
    waiting: Option<u8>,
    /// The classes of the waiting requests, as far as they are known.
    waiting_classes: WaitingClasses,
    /// Tokens of long prompts, decayed since `tokens_updated`.
    long_tokens: f64,
    tokens_updated: Instant,
}

impl AdapterDemand {
    /// Returns the request rate, per second.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        self.decayed(self.rate_weight, RATE_DECAY_TIME, now)
            / RATE_DECAY_TIME.as_secs_f64()
    }

    /// Returns the popularity: the number of requests with a long decay. The
    /// planner places adapters in descending order of popularity.
    pub fn popularity(&self, now: Instant) -> f64 {
        self.decayed(self.popularity_weight, POPULARITY_DECAY_TIME, now)
    }

    /// Returns the rate of tokens of long prompts, per second.
    pub fn long_tokens_per_s(&self, now: Instant) -> f64 {
        self.decayed_tokens(now) / TOKEN_DECAY_TIME.as_secs_f64()
    }

    fn decayed_tokens(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.tokens_updated);
        let age = age.as_secs_f64() / TOKEN_DECAY_TIME.as_secs_f64();
        self.long_tokens * (-age).exp()
    }

    /// Returns the classes of the waiting requests, as far as they are known.
    pub fn waiting_classes(&self) -> WaitingClasses {
        self.waiting_classes
    }

    fn decayed(&self, weight: f64, decay_time: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        weight * (-age / decay_time.as_secs_f64()).exp()
    }

    /// Returns whether requests wait for the adapter, or are expected to be
    /// retried for it.
    pub fn has_waiting(&self, now: Instant) -> bool {
        self.waiting.is_some() && now - self.last_requested < WAIT_VALID_FOR
    }

    fn add(&mut self, count: f64, now: Instant) {
        self.rate_weight =
            self.decayed(self.rate_weight, RATE_DECAY_TIME, now) + count;
        self.popularity_weight =
            self.decayed(self.popularity_weight, POPULARITY_DECAY_TIME, now)
                + count;
        self.updated = now;
        self.last_requested = now;
    }
}

impl Demand {
    /// Adds requests for an adapter from one zone.
    pub fn add(
        &mut self,
        key: &AdapterKey,
        count: u32,
        zone: &str,
        now: Instant,
    ) {
        let entry = self.adapters.entry(key.clone()).or_insert_with(|| {
            AdapterDemand {
                rate_weight: 0.0,
                popularity_weight: 0.0,
                updated: now,
                last_requested: now,
                zone: zone.to_owned(),
                waiting: None,
                waiting_classes: WaitingClasses::default(),
                long_tokens: 0.0,
                tokens_updated: now,
            }
        });
        entry.add(f64::from(count), now);
        zone.clone_into(&mut entry.zone);
    }

    /// Marks an adapter as one that a request of this priority waits for.
    pub fn mark_waiting(&mut self, key: &AdapterKey, priority: u8) {
        let Some(entry) = self.adapters.get_mut(key) else { return };
        let most_urgent = entry.waiting.unwrap_or(priority);
        entry.waiting = Some(most_urgent.min(priority));
    }

    /// Adds tokens of long prompts for an adapter with requests.
    pub fn add_long_tokens(
        &mut self,
        key: &AdapterKey,
        tokens: u64,
        now: Instant,
    ) {
        let Some(entry) = self.adapters.get_mut(key) else { return };
        if tokens == 0 {
            return;
        }
        entry.long_tokens = entry.decayed_tokens(now) + tokens as f64;
        entry.tokens_updated = now;
        self.last_long.insert(key.model.clone(), now);
    }

    /// Returns when a long prompt was last reported for a base model or one of
    /// its adapters.
    pub fn last_long(&self, model: &str) -> Option<Instant> {
        self.last_long.get(model).copied()
    }

    /// Adds the classes of the requests that wait for an adapter.
    pub fn add_waiting_classes(
        &mut self,
        key: &AdapterKey,
        classes: WaitingClasses,
    ) {
        if let Some(entry) = self.adapters.get_mut(key) {
            entry.waiting_classes = entry.waiting_classes.union(classes);
        }
    }

    /// Marks an adapter as one that no request of a class waits for.
    pub fn clear_waiting_class(
        &mut self,
        key: &AdapterKey,
        class: RequestClass,
    ) {
        let Some(entry) = self.adapters.get_mut(key) else { return };
        entry.waiting_classes.remove(class);
        if entry.waiting_classes.is_empty() {
            entry.waiting = None;
        }
    }

    /// Marks an adapter as one that no request waits for.
    pub fn clear_waiting(&mut self, key: &AdapterKey) {
        if let Some(entry) = self.adapters.get_mut(key) {
            entry.waiting = None;
            entry.waiting_classes = WaitingClasses::default();
        }
    }

    /// Marks an adapter as one that a resumed stream waits for at endpoints of
    /// a software version.
    pub fn mark_waiting_at(
        &mut self,
        key: &AdapterKey,
        version: &SoftwareVersion,
        now: Instant,
    ) {
        self.by_version.retain(|_, at| now - *at < WAIT_VALID_FOR);
        self.by_version.insert((key.clone(), version.clone()), now);
    }

    /// Returns the adapters that resumed streams wait for, with the software
    /// version of the endpoints.
    pub fn waiting_at(
        &self,
        now: Instant,
    ) -> Vec<(AdapterKey, SoftwareVersion)> {
        let waiting = self.by_version.iter();
        waiting
            .filter(|(_, at)| now - **at < WAIT_VALID_FOR)
            .map(|(wanted, _)| wanted.clone())
            .collect()
    }

    /// Marks an adapter as one that no resumed stream waits for at endpoints
    /// of a software version.
    pub fn clear_waiting_at(
        &mut self,
        key: &AdapterKey,
        version: &SoftwareVersion,
    ) {
        self.by_version.remove(&(key.clone(), version.clone()));
    }

    /// Returns the demand for an adapter, or `None` if it is not tracked.
    pub fn get(&self, key: &AdapterKey) -> Option<&AdapterDemand> {
        self.adapters.get(key)
    }

    /// Returns all adapters with demand.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterKey, &AdapterDemand)> {
        self.adapters.iter()
    }

    /// Removes adapters whose demand has decayed.
    pub fn forget(&mut self, now: Instant) {
        self.adapters
            .retain(|_, entry| entry.popularity(now) >= MIN_POPULARITY);
    }
}
