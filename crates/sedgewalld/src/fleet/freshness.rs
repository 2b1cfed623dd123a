//! How old this instance's knowledge of each watched kind is, what it reports
//! of that to the other instances, and what their reports confirm here.

use std::{cell::RefCell, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    catch_up::StateSummary,
    freshness::{Freshness, FreshnessReport, Snapshot, Turn, WatchedKind},
};
use xxhash_rust::xxh3::xxh3_64;

use super::instance::FleetInstance;

/// How long computed digests are used while those of others are the same. A
/// large fleet has thousands of entries, and each instance gets many reports.
const DIGESTS_VALID_FOR: Duration = Duration::from_millis(250);

/// The same if another instance reports a different digest.
const DIFFERENT_DIGESTS_VALID_FOR: Duration = Duration::from_millis(50);

/// The freshness of all watched kinds.
pub(crate) struct FreshnessTable {
    kinds: RefCell<[Freshness; WatchedKind::ALL.len()]>,
    /// The last snapshot, and when it was taken.
    snapshot: RefCell<Option<(Instant, Snapshot)>>,
}

impl FreshnessTable {
    pub(crate) fn new(in_force_within: Duration, now: Instant) -> Self {
        let kinds = WatchedKind::ALL
            .map(|kind| Freshness::new(kind.max_age(in_force_within), now));
        FreshnessTable {
            kinds: RefCell::new(kinds),
            snapshot: RefCell::default(),
        }
    }

    /// Returns the freshness of a kind.
    pub(crate) fn of(&self, kind: WatchedKind) -> Freshness {
        self.kinds.borrow()[kind as usize]
    }

    /// Records that all changes of a kind before `until` are known.
    pub(crate) fn confirm(&self, kind: WatchedKind, until: Instant) {
        self.kinds.borrow_mut()[kind as usize].confirm(until);
        // The next report must show it.
        self.snapshot.take();
    }
}

impl FleetInstance {
    /// Returns this instance's turn to read the store.
    pub(crate) fn turn(&self) -> Turn {
        Turn {
            rank: self.rank(0),
            instances: self.peers.borrow().len() + 1,
            draw: rand::random(),
        }
    }

    /// Returns what to report to the other instances.
    pub(crate) fn freshness_report(&self, now: Instant) -> FreshnessReport {
        let (_, snapshot) = self.snapshot(now, DIGESTS_VALID_FOR);
        snapshot.report(now)
    }

    /// Applies a report of another instance. Where the other instance has the
    /// same state, what it knows confirms what is known here.
    pub(crate) fn apply_freshness_report(
        &self,
        report: &FreshnessReport,
        now: Instant,
    ) {
        if report.0.is_empty() {
            return;
        }
        let mut known = self.snapshot(now, DIGESTS_VALID_FOR);
        if report.differs_from(&known.1.digests) {
            known = self.snapshot(now, DIFFERENT_DIGESTS_VALID_FOR);
        }
        let mut current = self.freshness.kinds.borrow_mut();
        known.1.apply(report, &mut current, now);
        // The next report passes on what was confirmed.
        *self.freshness.snapshot.borrow_mut() = Some(known);
    }

    /// Returns a snapshot that was taken within `max_age`, and when it was.
    fn snapshot(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> (Instant, Snapshot) {
        let known = *self.freshness.snapshot.borrow();
        if let Some(known) = known.filter(|(at, _)| now < *at + max_age) {
            return known;
        }
        let kinds = *self.freshness.kinds.borrow();
        let summary = self.state_summary();
        let digests = WatchedKind::ALL.map(|kind| self.digest(kind, &summary));
        let taken = (now, Snapshot { kinds, digests });
        *self.freshness.snapshot.borrow_mut() = Some(taken);
        taken
    }

    /// Returns a number that identifies the known state of a kind: of
    /// endpoints, which of them take requests.
    fn digest(&self, kind: WatchedKind, summary: &StateSummary) -> u64 {
        match kind {
            WatchedKind::Configuration => summary.configuration,
            WatchedKind::Versions => summary.versions,
            WatchedKind::Condemned => summary.condemned,
            WatchedKind::Endpoints => {
                let view = self.view.borrow();
                let serving = view
                    .endpoints()
                    .filter(|state| !state.endpoint.is_draining);
                unordered_digest(serving.map(|state| &**state.id()))
            }
            WatchedKind::Instances => {
                let peers = self.peers.borrow();
                let listed = peers
                    .iter()
                    .map(|(id, peer)| format!("{id} {}", peer.address));
                let own =
                    format!("{} {}", self.id(), self.settings.peer_listen);
                unordered_digest(listed.chain([own]))
            }
        }
    }
}

/// Returns a digest that does not depend on the order of the parts.
fn unordered_digest<T: AsRef<str>>(parts: impl Iterator<Item = T>) -> u64 {
    parts
        .map(|part| xxh3_64(part.as_ref().as_bytes()))
        .fold(0, u64::wrapping_add)
}
