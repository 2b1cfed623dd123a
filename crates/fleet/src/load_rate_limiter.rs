//! Loads from the weight store, kept within its rate over a sliding window.

use std::{collections::VecDeque, time::Duration};

use sedgewall_clock::Instant;

/// The part of what is allowed that we use; a load may begin later than its
/// order, and then counts in another window.
const USED_FRACTION: f64 = 0.96;

/// Counts the loads of a sliding window.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    window: Duration,
    /// What a window allows, as a multiple of the rate.
    overage: f64,
    starts: VecDeque<Instant>,
    /// Loads that a holder before us may have begun, by when they count no
    /// longer.
    inherited: Option<(Instant, f64)>,
}

impl LoadRateLimiter {
    /// Returns a count for windows of this length, in which loads may begin
    /// this many times as fast as the rate says.
    pub fn new(window: Duration, overage: f64) -> LoadRateLimiter {
        let (starts, inherited) = (VecDeque::new(), None);
        LoadRateLimiter { window, overage, starts, inherited }
    }

    /// Assumes that somebody else used the whole rate until now.
    pub fn assume_used(&mut self, now: Instant) {
        self.inherited = Some((now, 1.0));
    }

    /// Returns how many loads may begin now at this rate a second.
    pub fn available(&mut self, now: Instant, loads_per_s: f64) -> u32 {
        while self.starts.front().is_some_and(|at| now - *at >= self.window) {
            self.starts.pop_front();
        }
        let allowed = loads_per_s * self.window.as_secs_f64() * self.overage;
        let limit = allowed * USED_FRACTION;
        let remaining =
            limit - self.starts.len() as f64 - self.inherited(now, limit);
        remaining.max(0.0) as u32
    }

    /// Counts a load that begins now.
    pub fn record(&mut self, now: Instant) {
        self.starts.push_back(now);
    }

    fn inherited(&self, now: Instant, limit: f64) -> f64 {
        let Some((since, fraction)) = self.inherited else { return 0.0 };
        let elapsed = (now - since).as_secs_f64() / self.window.as_secs_f64();
        limit * (fraction - elapsed).max(0.0)
    }
}
