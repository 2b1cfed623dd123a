//! The share of the weight store that a shard may use.
//!
//! The weight store allows a rate of loads and a number of them at full speed
//! at once. [`allocation`](crate::allocation) divides it among shards; a
//! budget keeps to one shard's part.

use std::time::Duration;

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

/// How many seconds' worth of rate may be saved up.
const BURST_S: f64 = 1.0;

/// The weight store's limits, or one shard's share of them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreLimits {
    /// Loads started per second.
    pub rate_per_s: f64,
    /// Loads under way at once.
    pub concurrency: f64,
}

impl StoreLimits {
    /// Returns one shard's share when `shards_len` shards divide the store.
    ///
    /// A share below one load at once is kept as a fraction and paid for in
    /// rate: see [`LoadBudget`].
    pub fn share(self, shards_len: usize) -> StoreLimits {
        let len = shards_len.max(1) as f64;
        StoreLimits {
            rate_per_s: self.rate_per_s / len,
            concurrency: self.concurrency / len,
        }
    }
}

/// A token bucket over loads, with a bound on those under way.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    limits: StoreLimits,
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
    load_s: f64,
}

impl LoadBudget {
    /// Returns a full bucket.
    pub fn new(limits: StoreLimits, now: Instant) -> LoadBudget {
        LoadBudget {
            limits,
            tokens: limits.rate_per_s * BURST_S,
            refilled: now,
            in_flight: 0,
            load_s: DEFAULT_LOAD_S,
        }
    }

    /// Replaces the limits, keeping what is under way.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> StoreLimits {
        self.limits
    }

    /// Returns whether a load may start now.
    pub fn may_start(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0 && self.in_flight < self.max_in_flight()
    }

    /// Returns the loads under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the smoothed time of a load.
    pub fn load_time(&self) -> Duration {
        Duration::from_secs_f64(self.load_s)
    }

    /// Returns the loads per second that can be kept up.
    pub fn sustained_rate_per_s(&self) -> f64 {
        let by_concurrency =
            f64::from(self.max_in_flight()) / self.load_s.max(MIN_LOAD_S);
        self.effective_rate_per_s().min(by_concurrency).max(MIN_RATE_PER_S)
    }

    /// Counts a load that starts.
    pub fn start(&mut self) {
        self.tokens -= 1.0;
        self.in_flight += 1;
    }

    /// Counts a load that ended, and learns from the time it took.
    pub fn finish(&mut self, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            let share = LOAD_SMOOTHING;
            self.load_s =
                (1.0 - share) * self.load_s + share * took.as_secs_f64();
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens
            + elapsed.as_secs_f64() * self.effective_rate_per_s())
        .min(self.capacity());
    }

    /// A shard whose share is a fraction of one load at once holds that one
    /// load only for that fraction of the time.
    fn effective_rate_per_s(&self) -> f64 {
        if self.limits.concurrency >= 1.0 {
            return self.limits.rate_per_s;
        }
        let by_time = self.limits.concurrency / self.load_s.max(MIN_LOAD_S);
        self.limits.rate_per_s.min(by_time)
    }

    fn max_in_flight(&self) -> u32 {
        (self.limits.concurrency.floor() as u32).max(1)
    }

    fn capacity(&self) -> f64 {
        (self.limits.rate_per_s * BURST_S).max(1.0)
    }
}

const DEFAULT_LOAD_S: f64 = 0.6;
const LOAD_SMOOTHING: f64 = 0.2;
const MIN_LOAD_S: f64 = 0.01;
const MIN_RATE_PER_S: f64 = 0.01;
