//! Tracks whether the platform's store is reachable, from the results of this
//! instance's calls, and when it was last known to be unreachable.
//!
//! This module does no I/O and reads no clock. The invariant: a failure is
//! dated by the time at which the store is known to have failed, never later.

use std::time::Duration;

use sedgewall_clock::Instant;

/// How long after the last known failure or restore of the store a missing
/// entry may still reappear. Entries that lapsed or were lost reappear within
/// 2 s of the end of an outage, according to the platform's documentation, and
/// the outage ends up to one pause between calls after the last failure. The
/// value must not be longer: 3 s after the outage, no more requests may go to
/// an endpoint that has really left, and 0.2 s are reserved for requests that
/// were just sent.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_800);

/// A failed call to the store.
#[derive(Clone, Copy, Debug)]
pub struct CallFailure {
    /// Time at which the call was sent.
    pub sent: Instant,
    /// Time at which the failure was detected.
    pub noticed: Instant,
    /// Whether the call got no answer. The store may then have been
    /// unreachable when the call was sent, and reachable since.
    pub is_unanswered: bool,
}

impl CallFailure {
    /// Returns the latest time at which the store is known to have been
    /// unreachable. A call without an answer counts from when it was sent: it
    /// may have been lost on a path that has worked ever since.
    pub fn unreachable_at(&self) -> Instant {
        match self.is_unanswered {
            true => self.sent,
            false => self.noticed,
        }
    }
}

/// Until when other instances may rely on this instance's report that the
/// store is unreachable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutage {
    /// The store was never unreachable.
    Never,
    /// The store is reachable again. The last report of the outage is valid
    /// until this time.
    Until(Instant),
    /// The store is unreachable.
    Ongoing,
}

/// Reachability of the store, as seen by this instance.
#[derive(Clone, Debug, Default)]
pub struct StoreReachability {
    is_unreachable: bool,
    last_failed: Option<CallFailure>,
    last_answered: Option<Instant>,
    recovered_at: Option<Instant>,
    /// The last answer before the store was restored.
    restored_after: Option<Instant>,
    restore_noticed_at: Option<Instant>,
    is_probing: bool,
    has_unreported_change: bool,
}

impl StoreReachability {
    /// Records a call that was answered. Returns whether the store was
    /// unreachable before.
    pub fn record_success(&mut self, now: Instant) -> bool {
        self.last_answered = Some(now);
        if !std::mem::take(&mut self.is_unreachable) {
            return false;
        }
        self.recovered_at = Some(now);
        self.has_unreported_change = true;
        true
    }

    /// Records a failed call. Returns whether the store was reachable before.
    ///
    /// The lease holder relies on reports of an outage. So a call that was
    /// lost before a later call was answered does not make the store
    /// unreachable again.
    pub fn record_failure(&mut self, failure: CallFailure) -> bool {
        let unreachable_since = failure.unreachable_at();
        let is_newest = self
            .last_failed
            .is_none_or(|last| last.unreachable_at() <= unreachable_since);
        if is_newest {
            self.last_failed = Some(failure);
        }
        if self.last_answered.is_some_and(|at| at >= unreachable_since) {
            return false;
        }
        if std::mem::replace(&mut self.is_unreachable, true) {
            return false;
        }
        self.has_unreported_change = true;
        true
    }

    /// Returns whether the store is unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Records that an answer shows the store to be restored from a copy that
    /// lacks its latest writes. The answer itself has not been recorded yet.
    ///
    /// An instance that was cut off notices a restore late, when the entries
    /// that are still missing belong to endpoints that have left.
    pub fn record_restore(&mut self, now: Instant) {
        self.restored_after = Some(self.last_answered.unwrap_or(now));
        self.restore_noticed_at = Some(now);
    }

    /// Returns whether the store may lack writes that it has acknowledged,
    /// because it was restored and the writers have not repeated them yet.
    pub fn may_lack_writes(&self, now: Instant) -> bool {
        self.restore_noticed_at
            .is_some_and(|at| now - at < MISSING_ENTRY_GRACE)
    }

    /// Returns whether the store is unreachable, or was so or was restored
    /// within this time.
    pub fn was_disturbed_within(&self, time: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now - at < time;
        self.is_unreachable
            || self.recovered_at.is_some_and(is_recent)
            || self.restored_after.is_some_and(is_recent)
    }

    /// Returns how much longer an entry that is missing may come back, if
    /// entries do so within `return_time` after the store is reachable again
    /// or a restore was noticed. Returns none while the store is unreachable.
    pub fn return_time_left(
        &self,
        return_time: Duration,
        now: Instant,
    ) -> Option<Duration> {
        if self.is_unreachable {
            return None;
        }
        let since = self.recovered_at.max(self.restore_noticed_at);
        let left = |at| return_time.saturating_sub(now - at);
        Some(since.map_or(Duration::ZERO, left))
    }

    /// Returns until when another instance may rely on a report of an outage
    /// by this instance. A report stays valid for the given time after the
    /// store is reachable again, and without a limit while it is unreachable.
    pub fn reported_outage(
        &self,
        report_valid_for: Duration,
    ) -> ReportedOutage {
        match (self.is_unreachable, self.recovered_at) {
            (true, _) => ReportedOutage::Ongoing,
            (false, Some(at)) => ReportedOutage::Until(at + report_valid_for),
            (false, None) => ReportedOutage::Never,
        }
    }

    /// Returns how much longer entries of endpoints that lapsed during an
    /// outage of the store, or that it lost in a restore, may reappear.
    pub fn missing_entry_grace(&self, now: Instant) -> Duration {
        let failed_at = self.last_failed.map(|last| last.unreachable_at());
        let Some(since) = failed_at.max(self.restored_after) else {
            return Duration::ZERO;
        };
        MISSING_ENTRY_GRACE.saturating_sub(now - since)
    }

    /// Returns the last failed call.
    pub fn last_failure(&self) -> Option<CallFailure> {
        self.last_failed
    }

    /// Returns whether other instances have not been told yet of a change.
    pub fn has_change(&self) -> bool {
        self.has_unreported_change
    }

    /// Returns whether other instances have not been told yet of a change, and
    /// marks the change as told.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.has_unreported_change)
    }

    /// Starts a probe of the store, unless the store is unreachable or a probe
    /// is running. Returns whether it was started.
    pub fn begin_probe(&mut self) -> bool {
        !self.is_unreachable && !std::mem::replace(&mut self.is_probing, true)
    }

    /// Marks the probe as finished.
    pub fn end_probe(&mut self) {
        self.is_probing = false;
    }
}
