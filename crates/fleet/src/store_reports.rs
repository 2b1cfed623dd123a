//! Decides whether the lease holder may continue while the platform's store is
//! unreachable.
//!
//! A lease that cannot be renewed ends by its holder's clock, because another
//! instance could acquire it. The holder may continue while no other instance
//! can. Two kinds of instances are known to be unable to acquire the lease:
//! those that are leaving, and those that reported within the last second that
//! the store does not answer them.
//!
//! The invariant: the lease ends if any instance that is not leaving reports
//! that it reaches the store, if one has fallen silent within the last 5 s, or
//! if at least as many have been silent for longer, or have never reported, as
//! are known to be unable to acquire the lease. An instance that reaches the
//! store again reports this at once, and must watch the lease record for a
//! full time to live before it may acquire the lease.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;

/// How long the report of an instance counts. Instances report every 300 ms. A
/// change of the holder must fit between the last order of the old one, up to
/// one second after such a report, and the first order of the new one, 4.5 s
/// after the new one was started or reached the store again.
pub const REPORT_VALID_FOR: Duration = Duration::from_millis(1_000);

/// How long an instance may be silent before it counts as gone or cut off. If
/// most other instances report that they cannot reach the store, it is not
/// only this instance's path that is broken; and a silent instance regains the
/// store no sooner than the lease holder, which retries five times a second.
const GONE_AFTER: Duration = Duration::from_secs(5);

/// The last report of each instance.
#[derive(Clone, Debug, Default)]
pub struct StoreReports(HashMap<InstanceId, StoreReport>);

#[derive(Clone, Copy, Debug)]
struct StoreReport {
    received_at: Instant,
    store_is_out: bool,
    is_leaving: bool,
}

/// The known instances by their last reports, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportCounts {
    /// Instances that reported that the store does not answer them.
    pub store_is_out: usize,
    /// Instances that reported that they are leaving.
    pub leaving: usize,
    /// Instances that reported neither.
    pub reaching_store: usize,
    /// Instances that have never reported.
    pub unheard: usize,
    /// The age of the oldest of these reports.
    pub oldest_report: Duration,
}

impl StoreReports {
    /// Returns what the known instances reported last, however long ago.
    pub fn counts<'a>(
        &self,
        known: impl Iterator<Item = &'a InstanceId>,
        now: Instant,
    ) -> ReportCounts {
        let mut counts = ReportCounts::default();
        for id in known {
            let Some(report) = self.0.get(id) else {
                counts.unheard += 1;
                continue;
            };
            match report {
                StoreReport { is_leaving: true, .. } => counts.leaving += 1,
                StoreReport { store_is_out: true, .. } => {
                    counts.store_is_out += 1
                }
                StoreReport { .. } => counts.reaching_store += 1,
            }
            let age = now.saturating_duration_since(report.received_at);
            counts.oldest_report = counts.oldest_report.max(age);
        }
        counts
    }

    /// Records an instance's report about itself.
    pub fn record(
        &mut self,
        from: &InstanceId,
        store_is_out: bool,
        is_leaving: bool,
        now: Instant,
    ) {
        let report =
            StoreReport { received_at: now, store_is_out, is_leaving };
        self.0.insert(from.clone(), report);
    }

    /// Returns whether an instance's last report is that it is leaving.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.0.get(id).is_some_and(|report| report.is_leaving)
    }

    /// Returns whether an instance's last report is that the store does not
    /// answer it.
    pub fn is_out(&self, id: &InstanceId) -> bool {
        self.0.get(id).is_some_and(|report| report.store_is_out)
    }

    /// Returns the instances that are not leaving and whose last report, less
    /// than [`REPORT_VALID_FOR`] old, is that they reach the store.
    pub fn instances_reaching_store(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &InstanceId> {
        let reaches = move |report: &StoreReport| {
            now - report.received_at < REPORT_VALID_FOR
                && !report.store_is_out
                && !report.is_leaving
        };
        let reports = self.0.iter();
        reports.filter(move |(_, report)| reaches(report)).map(|(id, _)| id)
    }

    /// Returns whether no instance can acquire the lease now, neither one of
    /// the known instances nor any other that has reported. Instances that
    /// have been silent for 5 s, or have never reported, are presumed unable
    /// to acquire the lease while they are fewer than those that are known to
    /// be unable.
    pub fn no_instance_can_acquire_lease<'a>(
        &self,
        known: impl Iterator<Item = &'a InstanceId>,
        now: Instant,
    ) -> bool {
        let is_valid =
            |report: &StoreReport| now - report.received_at < REPORT_VALID_FOR;
        // An instance that is leaving acquires no lease, whether or not it
        // reaches the store. Its report expires like any other, because the
        // process ends soon, and one that is started again can acquire it.
        let cannot_acquire = |report: &StoreReport| {
            is_valid(report) && (report.is_leaving || report.store_is_out)
        };
        let is_reached_by_any = self.0.values().any(|report| {
            is_valid(report) && !report.store_is_out && !report.is_leaving
        });
        let (mut cannot_acquire_len, mut gone_len) = (0, 0);
        for id in known {
            match self.0.get(id) {
                Some(report) if cannot_acquire(report) => {
                    cannot_acquire_len += 1
                }
                Some(report) if now - report.received_at < GONE_AFTER => {
                    return false;
                }
                Some(_) | None => gone_len += 1,
            }
        }
        !is_reached_by_any && gone_len < cannot_acquire_len
    }
}
