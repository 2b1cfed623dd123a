//! The allowance for sending requests once more, shared by all instances.
//!
//! Within some window, all instances together may repeat a share of the
//! requests plus a fixed number, for each service by itself. No instance asks
//! another: each keeps to its own requests' share and to its part of the fixed
//! number, divided by the instances that it believes to be there.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;

use crate::route::ServiceName;

/// Fraction of the retry budget in use. The rest absorbs a stale instance count.
const USED_FRACTION: f64 = 0.7;

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

/// What one instance has used, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    /// From when on the fixed number comes back over one window, if it does:
    /// what an earlier life of the instance used is not known.
    restarted_at: Option<Instant>,
    services: HashMap<ServiceName, Usage>,
}

/// What was used of one service's allowance.
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

    /// Returns the budget of an instance that starts again now.
    pub fn after_restart(
        allowance: RetryAllowance,
        now: Instant,
    ) -> RetryBudget {
        RetryBudget { restarted_at: Some(now), ..RetryBudget::new(allowance) }
    }

    /// Counts a request of a caller for a service.
    pub fn count_request(&mut self, service: &str, now: Instant) {
        let window = self.allowance.window;
        let usage = self.usage(service);
        usage.forget(window, now);
        usage.requests.push_back(now);
    }

    /// Takes one repeat at a service, if there is one left among this many
    /// instances.
    pub fn take(
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
        if usage.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        usage.retries.push_back(now);
        true
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
