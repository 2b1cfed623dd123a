//! Tracks the demand for each adapter as exponentially decaying request
//! counts.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::ZoneName;

use crate::adapter::AdapterKey;

/// Time constant of the request rate, after which a request counts a third.
/// Popularity shifts within seconds: a longer time keeps adapters without
/// demand, a shorter one drops adapters that are requested every few seconds.
const RATE_DECAY_TIME: Duration = Duration::from_secs(6);

/// Time constant of the popularity, after which a request counts a third.
/// Rarely requested adapters are requested about every ten seconds.
const POPULARITY_DECAY_TIME: Duration = Duration::from_secs(30);

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

    /// Marks an adapter as one that no request waits for.
    pub fn clear_waiting(&mut self, key: &AdapterKey) {
        if let Some(entry) = self.adapters.get_mut(key) {
            entry.waiting = None;
        }
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
