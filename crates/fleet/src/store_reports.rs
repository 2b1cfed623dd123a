//! Decides whether the lease holder may continue while the platform's store is
//! unreachable.
//!
//! A lease that cannot be renewed ends by its holder's clock, because another
//! instance could acquire it. The holder may continue while no other instance
//! can: each of them reported within the last second that it is leaving, or
//! that the store does not answer it.
//!
//! The invariant: a report counts for as long as its sender may be presumed to
//! be the same process in the same state, and silence is never evidence. An
//! instance that fell silent may have restarted, and the store may answer it
//! while it does not answer the holder. An instance that reaches the store
//! again reports this at once, and must watch the lease record for a full time
//! to live before it may acquire the lease; so must one that restarts.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;

/// How long the report of an instance counts. Instances report every 300 ms. A
/// change of the holder must fit between the last order of the old one, up to
/// one second after such a report, and the first order of the new one, 4.5 s
/// after the new one was started or reached the store again.
pub const REPORT_VALID_FOR: Duration = Duration::from_millis(1_000);

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

    /// Forgets the instances that are no longer listed in the store.
    pub fn retain(&mut self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.0.retain(|id, _| is_listed(id));
    }

    /// Returns whether no instance can acquire the lease now, neither one of
    /// the known instances nor any other that has reported.
    pub fn no_instance_can_acquire_lease<'a>(
        &self,
        mut known: impl Iterator<Item = &'a InstanceId>,
        now: Instant,
    ) -> bool {
        let cannot_acquire = |report: &StoreReport| {
            now - report.received_at < REPORT_VALID_FOR
                && (report.store_is_out || report.is_leaving)
        };
        known.all(|id| self.0.contains_key(id))
            && self.0.values().all(cannot_acquire)
    }
}
