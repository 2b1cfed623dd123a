//! How often each adapter is asked for.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::ZoneName;

use crate::adapter::AdapterKey;

/// The time over which the rate forgets to a third. Popularity shifts within
/// seconds on the days that we were shown; a longer memory keeps what nobody
/// asks for, a shorter one forgets what comes every few seconds.
const RATE_DECAY_TIME: Duration = Duration::from_secs(6);

/// The time over which the standing of an adapter forgets to a third: the tail
/// is asked for every ten seconds or so.
const POPULARITY_DECAY_TIME: Duration = Duration::from_secs(30);

/// How long an adapter counts as waited for after it was last asked for. A
/// caller that was refused comes back within a third of its time, some 1.7 s.
const WAIT_VALID_FOR: Duration = Duration::from_millis(2_000);

/// Below this standing an adapter is forgotten, in requests.
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
    /// When it was last asked for.
    pub last_requested: Instant,
    /// Where it was last asked for.
    pub zone: ZoneName,
    /// The rank of the most urgent request that waits for it.
    waiting: Option<u8>,
}

impl AdapterDemand {
    /// Returns the rate, in requests a second.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        self.decayed(self.rate_weight, RATE_DECAY_TIME, now)
            / RATE_DECAY_TIME.as_secs_f64()
    }

    /// Returns how often it was asked for lately, in requests; by this the
    /// weight store's rate is given out.
    pub fn popularity(&self, now: Instant) -> f64 {
        self.decayed(self.popularity_weight, POPULARITY_DECAY_TIME, now)
    }

    fn decayed(&self, weight: f64, decay_time: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        weight * (-age / decay_time.as_secs_f64()).exp()
    }

    /// Returns whether requests wait for it, or will come back for it.
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
    /// Counts requests for an adapter from one zone.
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

    /// Notes that a request waits for an adapter.
    pub fn mark_waiting(&mut self, key: &AdapterKey, priority: u8) {
        let Some(entry) = self.adapters.get_mut(key) else { return };
        let most_urgent = entry.waiting.unwrap_or(priority);
        entry.waiting = Some(most_urgent.min(priority));
    }

    /// Notes that nothing waits for an adapter any more.
    pub fn clear_waiting(&mut self, key: &AdapterKey) {
        if let Some(entry) = self.adapters.get_mut(key) {
            entry.waiting = None;
        }
    }

    /// Returns the demand for an adapter.
    pub fn get(&self, key: &AdapterKey) -> Option<&AdapterDemand> {
        self.adapters.get(key)
    }

    /// Returns all adapters that are asked for.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterKey, &AdapterDemand)> {
        self.adapters.iter()
    }

    /// Forgets what is no longer asked for.
    pub fn forget(&mut self, now: Instant) {
        self.adapters
            .retain(|_, entry| entry.popularity(now) >= MIN_POPULARITY);
    }
}
