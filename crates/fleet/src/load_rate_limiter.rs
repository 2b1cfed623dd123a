//! A sliding-window rate limiter for loads from the weight store.

use std::{collections::VecDeque, time::Duration};

use sedgewall_clock::Instant;

/// Fraction of the permitted loads that is used. A load may start later than
/// its order and then counts in another window.
const USED_FRACTION: f64 = 0.96;

/// Limits the number of loads in a sliding window.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    window: Duration,
    /// Loads permitted in a window, as a multiple of the rate.
    overage: f64,
    starts: VecDeque<Instant>,
    /// Loads that the previous lease holder may have started: the end of the
    /// assumed use, and its fraction of a window's loads.
    inherited: Option<(Instant, f64)>,
}

impl LoadRateLimiter {
    /// Returns a limiter for windows of this length, in which loads may start
    /// at `overage` times the rate.
    pub fn new(window: Duration, overage: f64) -> LoadRateLimiter {
        let (starts, inherited) = (VecDeque::new(), None);
        LoadRateLimiter { window, overage, starts, inherited }
    }

    /// Assumes that the previous lease holder used the full rate until now.
    pub fn assume_used(&mut self, now: Instant) {
        self.inherited = Some((now, 1.0));
    }

    /// Returns how many loads may start now at the given rate.
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

    /// Records a load that starts now.
    pub fn record(&mut self, now: Instant) {
        self.starts.push_back(now);
    }

    fn inherited(&self, now: Instant, limit: f64) -> f64 {
        let Some((since, fraction)) = self.inherited else { return 0.0 };
        let elapsed = (now - since).as_secs_f64() / self.window.as_secs_f64();
        limit * (fraction - elapsed).max(0.0)
    }
}
