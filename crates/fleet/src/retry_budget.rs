//! The retry budget, which all instances share.
//!
//! Within a sliding window, all instances together may retry a share of the
//! requests plus a fixed number, for each service separately. Instances do not
//! coordinate: each uses the share of its own requests and an equal part of
//! the fixed number, divided by the number of instances that it believes to be
//! live.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;

use crate::route::ServiceName;

/// Fraction of the retry budget that is used. The rest absorbs an outdated
/// number of instances.
const USED_FRACTION: f64 = 0.7;

/// The retry budget of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries as a share of requests.
    pub share: f64,
    /// Retries beyond the share, per window.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The part of the retry budget that one instance has used, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    /// Time of a restart, from which the fixed number becomes available over
    /// one window: the retries before the restart are unknown. `None` if the
    /// instance did not restart.
    restarted_at: Option<Instant>,
    services: HashMap<ServiceName, Usage>,
}

/// The use of one service's retry budget.
#[derive(Clone, Debug, Default)]
struct Usage {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Returns an unused budget.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget { allowance, restarted_at: None, services: HashMap::new() }
    }

    /// Returns the budget of an instance that restarts now.
    pub fn after_restart(
        allowance: RetryAllowance,
        now: Instant,
    ) -> RetryBudget {
        RetryBudget { restarted_at: Some(now), ..RetryBudget::new(allowance) }
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, service: &str, now: Instant) {
        let window = self.allowance.window;
        let usage = self.usage(service);
        usage.forget(window, now);
        usage.requests.push_back(now);
    }

    /// Takes one retry at a service. Returns whether one was left for this
    /// instance, among this many instances.
    pub fn take(
        &mut self,
        service: &str,
        now: Instant,
        instances: usize,
    ) -> bool {
        let is_left = self.is_left(service, now, instances);
        if is_left {
            self.usage(service).retries.push_back(now);
        }
        is_left
    }

    /// Returns whether a retry at a service is left for this instance, among
    /// this many instances.
    pub fn is_left(
        &mut self,
        service: &str,
        now: Instant,
        instances: usize,
    ) -> bool {
        let RetryAllowance { share, slack, window } = self.allowance;
        let restored = self.restarted_at.map_or(1.0, |restarted_at| {
            let age = now.saturating_duration_since(restarted_at);
            (age.as_secs_f64() / window.as_secs_f64()).min(1.0)
        });
        let fixed = restored * slack / instances.max(1) as f64;
        let usage = self.usage(service);
        usage.forget(window, now);
        let from_share = share * usage.requests.len() as f64;
        let allowed = USED_FRACTION * (fixed + from_share);
        usage.retries.len() as f64 + 1.0 <= allowed
    }

    fn usage(&mut self, service: &str) -> &mut Usage {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl Usage {
    fn forget(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}
