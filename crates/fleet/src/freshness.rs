//! Bounds how old this instance's knowledge of each watched kind of objects
//! may become without a sign of that.
//!
//! A watch whose connection is dead looks like one without changes, and other
//! calls may be answered meanwhile. Each kind therefore has a maximum age: the
//! time since all acknowledged changes were known. A read of the newest state
//! confirms the knowledge, and so does another instance whose own was
//! confirmed and that has the same state. Where neither happens in time, the
//! store is read anew. The instances take turns by rank, so that usually one
//! of them reads and the reports of that one spare the others.
//!
//! This module does no I/O and reads no clock. The invariant: an age is never
//! understated, except by the delay of the datagram that a report came in.

use std::time::Duration;

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

/// A kind of objects that each instance watches in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchedKind {
    /// The operator's configuration, with the keys of customers.
    Configuration,
    /// The entries of endpoints.
    Endpoints,
    /// The announced versions of weights.
    Versions,
    /// The entries of instances.
    Instances,
    /// The records of condemned requests.
    Condemned,
}

impl WatchedKind {
    /// All kinds, in the order in which reports hold them.
    pub const ALL: [WatchedKind; 5] = [
        WatchedKind::Configuration,
        WatchedKind::Endpoints,
        WatchedKind::Versions,
        WatchedKind::Instances,
        WatchedKind::Condemned,
    ];

    /// Returns the age from which on the first instance by rank reads the
    /// store, if acknowledged changes must be in force within this time.
    ///
    /// An endpoint that leaves must get no requests after the same time. A new
    /// version of weights has a time limit of its own, which is longer. Late
    /// knowledge of instances and condemned requests breaks no promise, but
    /// requests are refused by it.
    pub fn max_age(self, in_force_within: Duration) -> Duration {
        match self {
            WatchedKind::Configuration | WatchedKind::Endpoints => {
                in_force_within / 2
            }
            WatchedKind::Versions => in_force_within,
            WatchedKind::Instances | WatchedKind::Condemned => {
                in_force_within * 3 / 2
            }
        }
    }
}

/// How long before the maximum age the first instance by rank reads the store.
const FIRST_READS_EARLIER: f64 = 0.1;

/// How long after the maximum age the second instance reads the store. The
/// report of the first one passes through the lease holder and relays, one
/// datagram of which may be lost.
const SECOND_READ_DELAY: Duration = Duration::from_millis(300);

/// The delay of each further instance that takes a turn.
const DELAY_PER_TURN: Duration = Duration::from_millis(100);

/// The number of instances that take turns after the first one. All others are
/// due together.
const TURNS: usize = 4;

/// Maximum jitter per instance among those that are due together, and of all.
const JITTER_PER_INSTANCE: Duration = Duration::from_millis(1);
const MAX_JITTER: Duration = Duration::from_millis(200);

/// The part of the maximum age for which a watch waits for changes, if no
/// other instance confirms the knowledge. The rest is for the answer.
const WATCH_FRACTION: f64 = 0.65;

/// Minimum wait of a watch. The store answers it at once if there is a change.
pub const MIN_WATCH: Duration = Duration::from_millis(20);

/// How long after its start an instance reads nothing anew. Until it has
/// listed the others and one of them holds the lease, few reports come, and
/// instances that start together would all read.
const START_DELAY: Duration = Duration::from_millis(4_000);

/// The position of an instance among the live ones.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// The number of instances that come before.
    pub rank: usize,
    /// The number of instances.
    pub instances: usize,
    /// A number from 0 to 1, drawn anew for each turn.
    pub draw: f64,
}

/// How old an instance's knowledge of one kind is.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    /// All changes before this time are known.
    confirmed_until: Option<Instant>,
    /// When another instance last confirmed more than was known here.
    reported_at: Option<Instant>,
    started_at: Instant,
}

impl Freshness {
    /// Returns the state of an instance that has just started.
    pub fn new(max_age: Duration, now: Instant) -> Freshness {
        Freshness {
            max_age,
            confirmed_until: None,
            reported_at: None,
            started_at: now,
        }
    }

    /// Records that all changes before `until` are known.
    pub fn confirm(&mut self, until: Instant) {
        self.confirmed_until = self.confirmed_until.max(Some(until));
    }

    /// Records that another instance, which has the same state as this one,
    /// knew all changes this long ago.
    pub fn record_report(&mut self, age: Duration, now: Instant) {
        let until = now.checked_sub(age);
        if until > self.confirmed_until {
            self.confirmed_until = until;
            self.reported_at = Some(now);
        }
    }

    /// Returns the time since all changes were known; `None` if they never
    /// were.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_until.map(|at| now.saturating_duration_since(at))
    }

    /// Returns how long the next watch of the newest state may wait for
    /// changes: `longest` while other instances confirm the knowledge.
    pub fn watch_timeout(
        &self,
        turn: Turn,
        longest: Duration,
        now: Instant,
    ) -> Duration {
        let is_starting = now < self.started_at + START_DELAY;
        let is_spared = turn.rank > 0
            && self.reported_at.is_some_and(|at| now < at + self.max_age);
        if is_starting || is_spared {
            return longest;
        }
        let wait = self.max_age.mul_f64(WATCH_FRACTION);
        let age = self.age(now).unwrap_or_default();
        wait.saturating_sub(age).max(MIN_WATCH).min(longest)
    }

    /// Returns when the store must be read anew, unless the knowledge is
    /// confirmed before.
    pub fn read_due(&self, turn: Turn) -> Instant {
        let first = self.started_at + START_DELAY;
        let earlier = self.max_age.mul_f64(FIRST_READS_EARLIER);
        let due = self.confirmed_until.map(|at| at + self.max_age - earlier);
        due.map_or(first, |due| due.max(first)) + self.delay(turn, earlier)
    }

    /// Returns how much later than the first instance another one reads.
    fn delay(&self, turn: Turn, earlier: Duration) -> Duration {
        let Some(after_second) = turn.rank.checked_sub(1) else {
            return Duration::ZERO;
        };
        let turns = after_second.min(TURNS - 1) as u32;
        let jitter = match after_second < TURNS - 1 {
            true => Duration::ZERO,
            false => (JITTER_PER_INSTANCE * turn.instances as u32)
                .min(MAX_JITTER)
                .mul_f64(turn.draw),
        };
        earlier + SECOND_READ_DELAY + DELAY_PER_TURN * turns + jitter
    }

    /// Returns whether the other instances must be told at once of a read that
    /// was due: those that are due next wait for the report.
    pub fn reports_reads(turn: Turn) -> bool {
        turn.rank < TURNS
    }

    /// Returns how long the instance may pause before its next watch.
    pub fn max_pause(&self, turn: Turn) -> Duration {
        match turn.rank {
            0 => self.max_age.mul_f64(WATCH_FRACTION),
            _ => Duration::MAX,
        }
    }
}

/// What an instance reports of one kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindReport {
    /// The time since the sender knew all changes, in milliseconds.
    pub age_ms: u64,
    /// Identifies the state that the sender has.
    pub digest: u64,
}

/// What an instance reports of all kinds, in the order of
/// [`WatchedKind::ALL`]. Kinds that were never confirmed are missing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FreshnessReport(pub Vec<Option<KindReport>>);

/// The state of all kinds at one time, by its digests, and how old the
/// knowledge of it is.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// The freshness of the kinds, in the order of [`WatchedKind::ALL`].
    pub kinds: [Freshness; WatchedKind::ALL.len()],
    /// The digests of the kinds.
    pub digests: [u64; WatchedKind::ALL.len()],
}

impl Snapshot {
    /// Returns what to report to the other instances.
    pub fn report(&self, now: Instant) -> FreshnessReport {
        let kinds = self.kinds.iter().zip(self.digests);
        let reports = kinds.map(|(kind, digest)| {
            // Rounded up, so that the report never claims too much.
            let age_ms = kind.age(now)?.as_millis() as u64 + 1;
            Some(KindReport { age_ms, digest })
        });
        FreshnessReport(reports.collect())
    }

    /// Applies a report of another instance to the kinds of which both have
    /// the same state, here and in `current`, which may be newer.
    pub fn apply(
        &mut self,
        report: &FreshnessReport,
        current: &mut [Freshness; WatchedKind::ALL.len()],
        now: Instant,
    ) {
        for (idx, reported) in report.0.iter().enumerate() {
            if let Some(KindReport { age_ms, digest }) = *reported
                && self.digests.get(idx) == Some(&digest)
            {
                let age = Duration::from_millis(age_ms);
                self.kinds[idx].record_report(age, now);
                current[idx].record_report(age, now);
            }
        }
    }
}

impl FreshnessReport {
    /// Returns whether the reporting instance has another state of some kind
    /// than the one with these digests.
    pub fn differs_from(&self, digests: &[u64]) -> bool {
        let reported = self.0.iter().zip(digests);
        reported
            .filter_map(|(report, digest)| Some((report.as_ref()?, digest)))
            .any(|(report, digest)| report.digest != *digest)
    }
}
