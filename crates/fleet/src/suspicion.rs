//! Engines that several instances cannot reach.
//!
//! Each instance finds out alone that an engine is down, and the platform's
//! list says so only after some missed heartbeats. What they find goes to the
//! holder of the lease. The invariant: the word of one instance suspects
//! nothing, since its own path may be what is broken.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};

/// Instances that must fail to reach an engine before it is left out by all.
const MIN_REPORTERS: usize = 2;

/// Reports count together for this long: an instance that cannot reach an
/// engine tries again after 0.4 s.
const REPORT_WINDOW: Duration = Duration::from_millis(1_200);

/// How long an engine is left out at first. It is shorter than what a list takes
/// to drop a dead engine, some 3.6 s.
const FIRST_SUSPICION: Duration = Duration::from_millis(1_500);

/// How long at most. The time doubles while two instances cannot reach the engine
/// each time that it is tried again: among 195 instances each such try costs the
/// requests that all of them send within 0.4 s, and 17 of 100 engines that went
/// dark for 4 s were tried by all after 1.9 s.
const MAX_SUSPICION: Duration = Duration::from_secs(6);

/// An engine that stays suspect is told again after this long.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);

/// What the holder of the lease was told.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    reports: HashMap<EndpointId, Reports>,
}

#[derive(Clone, Debug, Default)]
struct Reports {
    by: HashMap<InstanceId, Instant>,
    notified: Option<Notification>,
}

/// What all were told of an engine.
#[derive(Clone, Copy, Debug)]
struct Notification {
    at: Instant,
    /// How long it is left out.
    time: Duration,
    /// Until when.
    until: Instant,
}

impl Suspicions {
    /// Takes in that an instance could not reach an engine. If all are to be told
    /// now that it is suspect, returns for how long.
    pub fn report(
        &mut self,
        endpoint: &EndpointId,
        from: &InstanceId,
        now: Instant,
    ) -> Option<Duration> {
        let reports = self.reports.entry(endpoint.clone()).or_default();
        reports.by.retain(|_, at| now - *at < REPORT_WINDOW);
        reports.by.insert(from.clone(), now);
        let is_due = reports
            .notified
            .is_none_or(|notified| now - notified.at >= NOTIFY_INTERVAL);
        if reports.by.len() < MIN_REPORTERS || !is_due {
            return None;
        }
        let time = match reports.notified {
            // Reports of sends from before it was told, or of who did not hear.
            Some(notified) if now < notified.until => notified.time,
            Some(notified) => (notified.time * 2).min(MAX_SUSPICION),
            None => FIRST_SUSPICION,
        };
        reports.notified =
            Some(Notification { at: now, time, until: now + time });
        Some(time)
    }

    /// Forgets engines that nobody reports any more.
    pub fn forget(&mut self, now: Instant) {
        self.reports.retain(|_, reports| {
            reports.by.retain(|_, at| now - *at < REPORT_WINDOW);
            // Until it was tried again, the next time is to be longer.
            let is_tried =
                |notified: Notification| now >= notified.until + REPORT_WINDOW;
            !reports.by.is_empty()
                || reports.notified.is_some_and(|notified| !is_tried(notified))
        });
    }
}
