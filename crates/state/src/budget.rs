//! Rate and concurrency limiting of one shard's loads.
//!
//! The weight store allows a rate of loads, and a number of concurrent loads
//! at full speed. [`allocation`](crate::allocation) divides these limits among
//! shards; a [`LoadBudget`] keeps one shard within its share.

use std::time::Duration;

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

/// The capacity of the token bucket, in seconds of the allowed rate. The
/// bucket holds at least one token.
const BURST_S: f64 = 1.0;

/// The limits of the weight store, or one shard's share of them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreLimits {
    /// The number of loads that may start per second.
    pub rate_per_s: f64,
    /// The number of concurrent loads. One shard's share may be a fraction;
    /// see [`LoadBudget`].
    pub concurrency: f64,
}

impl StoreLimits {
    /// Returns the equal share of each of `shards_len` shards.
    ///
    /// A share of less than one concurrent load stays a fraction, which
    /// [`LoadBudget`] turns into a lower rate.
    pub fn share(self, shards_len: usize) -> StoreLimits {
        let len = shards_len.max(1) as f64;
        StoreLimits {
            rate_per_s: self.rate_per_s / len,
            concurrency: self.concurrency / len,
        }
    }
}

/// A token bucket that limits the rate of loads, with a limit on concurrent
/// loads.
///
/// A shard may always have one load in flight. If its share of the concurrency
/// is a fraction of one load, the rate is lowered so that the shard has a load
/// in flight only for that fraction of the time.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    limits: StoreLimits,
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
    load_s: f64,
}

impl LoadBudget {
    /// Returns a budget without loads in flight, whose bucket holds one second
    /// of the allowed rate.
    pub fn new(limits: StoreLimits, now: Instant) -> LoadBudget {
        LoadBudget {
            limits,
            tokens: limits.rate_per_s * BURST_S,
            refilled: now,
            in_flight: 0,
            load_s: DEFAULT_LOAD_S,
        }
    }

    /// Replaces the limits. Loads in flight still count.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> StoreLimits {
        self.limits
    }

    /// Returns whether the limits allow a load to start now.
    pub fn may_start(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0 && self.in_flight < self.max_in_flight()
    }

    /// Returns the number of loads in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the moving average of the time of a load.
    pub fn load_time(&self) -> Duration {
        Duration::from_secs_f64(self.load_s)
    }

    /// Returns the number of loads per second that the limits and the time of
    /// a load allow in the long run.
    pub fn sustained_rate_per_s(&self) -> f64 {
        let by_concurrency =
            f64::from(self.max_in_flight()) / self.load_s.max(MIN_LOAD_S);
        self.effective_rate_per_s().min(by_concurrency).max(MIN_RATE_PER_S)
    }

    /// Records the start of a load: takes one token and counts the load as in
    /// flight.
    pub fn start(&mut self) {
        self.tokens -= 1.0;
        self.in_flight += 1;
    }

    /// Records the end of a load.
    ///
    /// The time of a successful load updates the moving average; a failed load
    /// passes `None`.
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

    /// Returns the allowed rate, lowered if the share is a fraction of one
    /// concurrent load: one load may then be in flight for that fraction of
    /// the time.
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
