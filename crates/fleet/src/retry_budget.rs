//! The allowance for sending requests once more, shared by all instances.
//!
//! Within some window, all instances together may repeat a share of the
//! requests plus a fixed number. No instance asks another: each keeps to its
//! own requests' share and to its part of the fixed number, divided by the
//! instances that it believes to be there.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The part of the allowance that we use: the rest covers a wrong count of
/// instances and requests that a window counts differently.
const USED_PART: f64 = 0.7;

/// The allowance of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats as a share of requests.
    pub share: f64,
    /// Repeats beyond the share, in one window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What one instance has used.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Returns an unused budget.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        let (requests, repeats) = (VecDeque::new(), VecDeque::new());
        RetryBudget { allowance, requests, repeats }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if there is one left among this many instances.
    pub fn take(&mut self, now: Instant, instances: usize) -> bool {
        self.forget(now);
        let fixed = self.allowance.slack / instances.max(1) as f64;
        let earned = self.allowance.share * self.requests.len() as f64;
        let allowed = USED_PART * (fixed + earned);
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        let window = self.allowance.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}
