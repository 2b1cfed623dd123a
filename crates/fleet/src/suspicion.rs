//! Engines that several instances cannot reach.
//!
//! Each instance finds out alone that an engine is down, and the platform's
//! list says so only after some missed heartbeats. What they find goes to the
//! holder of the lease. The invariant: the word of one instance suspects
//! nothing, since its own path may be what is broken.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use sedgewall_state::id::{EndpointId, InstanceId};

/// Instances that must fail to reach an engine before it is left out by all.
const REPORTERS: usize = 2;

/// Reports count together for this long: an instance that cannot reach an
/// engine tries again after 0.4 s.
const REPORT_HOLDS: Duration = Duration::from_millis(1_200);

/// How long an engine is left out. It is shorter than what a list takes to drop
/// a dead engine, some 3.6 s, and each further report extends it.
pub const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// An engine that stays suspect is told again after this long.
const TELL_AGAIN: Duration = Duration::from_millis(500);

/// What the holder of the lease was told.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    reports: HashMap<EndpointId, Reports>,
}

#[derive(Clone, Debug, Default)]
struct Reports {
    by: HashMap<InstanceId, Instant>,
    told: Option<Instant>,
}

impl Suspicions {
    /// Takes in that an instance could not reach an engine. Returns whether
    /// all are to be told now that it is suspect.
    pub fn report(
        &mut self,
        endpoint: &EndpointId,
        from: &InstanceId,
        now: Instant,
    ) -> bool {
        let reports = self.reports.entry(endpoint.clone()).or_default();
        reports.by.retain(|_, at| now - *at < REPORT_HOLDS);
        reports.by.insert(from.clone(), now);
        let is_due = reports.told.is_none_or(|told| now - told >= TELL_AGAIN);
        if reports.by.len() < REPORTERS || !is_due {
            return false;
        }
        reports.told = Some(now);
        true
    }

    /// Forgets engines that nobody reports any more.
    pub fn forget(&mut self, now: Instant) {
        self.reports.retain(|_, reports| {
            reports.by.retain(|_, at| now - *at < REPORT_HOLDS);
            !reports.by.is_empty()
        });
    }
}
