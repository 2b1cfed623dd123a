//! Whether the holder of the lease may go on while the store is out.
//!
//! A lease ends on its holder's clock when it cannot be renewed, because
//! another instance could take it. Where every other instance says that the
//! store does not answer it either, none can. The invariant: an instance that
//! was not heard to say so just now, or that reaches the store, ends the lease.
//! Whoever reaches the store again says so at once, and must watch the record
//! for a whole time to live before it may take the lease.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;

/// How long the word of an instance counts. It speaks every 300 ms; and a turn
/// of two holders must pass between the last order of one, a second after that
/// word, and the first of another, 4.5 s after it reached the store again.
pub const REPORT_VALID_FOR: Duration = Duration::from_millis(1_000);

/// An instance that was not heard for this long is gone or cut off. Where most
/// others are heard to be without the store, it is not only our path that is
/// broken, and it regains the store no sooner than we, who ask five times a
/// second.
const GONE_AFTER: Duration = Duration::from_secs(5);

/// What each instance said last.
#[derive(Clone, Debug, Default)]
pub struct StoreReports(HashMap<InstanceId, StoreReport>);

#[derive(Clone, Copy, Debug)]
struct StoreReport {
    heard: Instant,
    store_is_out: bool,
    is_leaving: bool,
}

impl StoreReports {
    /// Takes in what an instance says of itself.
    pub fn record(
        &mut self,
        from: &InstanceId,
        store_is_out: bool,
        is_leaving: bool,
        now: Instant,
    ) {
        let report = StoreReport { heard: now, store_is_out, is_leaving };
        self.0.insert(from.clone(), report);
    }

    /// Returns the instances that said just now that the store answers them.
    pub fn instances_reaching_store(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &InstanceId> {
        let reaches = move |report: &StoreReport| {
            now - report.heard < REPORT_VALID_FOR
                && !report.store_is_out
                && !report.is_leaving
        };
        let reports = self.0.iter();
        reports.filter(move |(_, report)| reaches(report)).map(|(id, _)| id)
    }

    /// Returns whether none of the known instances, and nobody else that was
    /// heard, can take the lease now.
    pub fn no_instance_reaches_store<'a>(
        &self,
        known: impl Iterator<Item = &'a InstanceId>,
        now: Instant,
    ) -> bool {
        let holds =
            |report: &StoreReport| now - report.heard < REPORT_VALID_FOR;
        // One that leaves takes no lease, and comes back without a
        // configuration, which only the store gives.
        let cannot = |report: &StoreReport| {
            report.is_leaving || (report.store_is_out && holds(report))
        };
        let is_reached_by_any = self.0.values().any(|report| {
            holds(report) && !report.store_is_out && !report.is_leaving
        });
        let (mut cannot_len, mut gone_len) = (0, 0);
        for id in known {
            match self.0.get(id) {
                Some(report) if cannot(report) => cannot_len += 1,
                Some(report) if now - report.heard < GONE_AFTER => {
                    return false;
                }
                Some(_) | None => gone_len += 1,
            }
        }
        !is_reached_by_any && gone_len < cannot_len
    }
}
