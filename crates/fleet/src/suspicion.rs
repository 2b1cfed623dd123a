//! Detection of engines that several instances cannot reach.
//!
//! Each instance detects by itself that an engine is down, and the platform's
//! list shows it only after some missed heartbeats. Instances therefore report
//! to the lease holder which engines they cannot reach. The invariant: the
//! report of a single instance marks no engine as suspect, since the fault may
//! lie in that instance's own path.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};

/// The number of instances that must fail to reach an engine before all
/// instances stop using it.
const MIN_REPORTERS: usize = 2;

/// The time within which reports count together. An instance that cannot reach
/// an engine retries after 0.4 s.
const REPORT_WINDOW: Duration = Duration::from_millis(1_200);

/// How long an engine is suspect at first. This is shorter than the time that
/// the list takes to drop a dead engine, about 3.6 s.
const FIRST_SUSPICION: Duration = Duration::from_millis(1_500);

/// The maximum time for which an engine is suspect. The time doubles whenever
/// two instances fail to reach the engine on a retry: among 195 instances,
/// each retry costs the requests that all of them send within 0.4 s, and 17 of
/// 100 engines that were unreachable for 4 s were retried by all after 1.9 s.
const MAX_SUSPICION: Duration = Duration::from_secs(6);

/// The interval after which all instances are notified again of an engine that
/// stays suspect.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);

/// The reports that the lease holder has received, per engine.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    reports: HashMap<EndpointId, Reports>,
}

#[derive(Clone, Debug, Default)]
struct Reports {
    by: HashMap<InstanceId, Instant>,
    notified: Option<Notification>,
}

/// The last notification to all instances about an engine.
#[derive(Clone, Copy, Debug)]
struct Notification {
    at: Instant,
    /// How long the engine is suspect.
    time: Duration,
    /// When the suspicion ends.
    until: Instant,
}

impl Suspicions {
    /// Records that an instance could not reach an engine. If all instances
    /// are to be notified now, returns how long the engine is suspect.
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
            // These reports stem from requests that were sent before the
            // notification, or from instances that missed it.
            Some(notified) if now < notified.until => notified.time,
            Some(notified) => (notified.time * 2).min(MAX_SUSPICION),
            None => FIRST_SUSPICION,
        };
        reports.notified =
            Some(Notification { at: now, time, until: now + time });
        Some(time)
    }

    /// Removes engines that no instance reports any more.
    pub fn forget(&mut self, now: Instant) {
        self.reports.retain(|_, reports| {
            reports.by.retain(|_, at| now - *at < REPORT_WINDOW);
            // Until the engine was retried, the next suspicion must be longer.
            let is_tried =
                |notified: Notification| now >= notified.until + REPORT_WINDOW;
            !reports.by.is_empty()
                || reports.notified.is_some_and(|notified| !is_tried(notified))
        });
    }
}
