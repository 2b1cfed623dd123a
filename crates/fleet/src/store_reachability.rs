//! What an instance's calls show of the platform's store: whether it answers,
//! and when it was last known not to.
//!
//! It does no I/O and reads no clock. The invariant: a failure speaks of the
//! time at which the store is known to have failed, never of a later one.

use std::time::Duration;

use sedgewall_clock::Instant;

/// How long after the store was last known to be out a missing entry may still
/// come back. Entries that lapsed are back within two seconds of the outage's
/// end (the platform's pages), which lies up to a call's pause later. An endpoint
/// that has really left gets no work for longer: 3 s after the end we are held to
/// that, and 0.2 s are for requests that were just sent.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_800);

/// A call to the store that failed.
#[derive(Clone, Copy, Debug)]
pub struct CallFailure {
    /// When it was sent.
    pub sent: Instant,
    /// When we knew that it had failed.
    pub noticed: Instant,
    /// Whether nothing came back: the store may have been out when it was sent
    /// and not since.
    pub is_unanswered: bool,
}

impl CallFailure {
    /// Returns when the store is known not to have answered. A call without an
    /// answer may be lost on a path that has worked again ever since.
    pub fn unreachable_at(&self) -> Instant {
        match self.is_unanswered {
            true => self.sent,
            false => self.noticed,
        }
    }
}

/// Until when others may count on our word that the store is out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutage {
    /// It was never out.
    Never,
    /// It was regained; our word before that holds until then.
    Until(Instant),
    /// It is out.
    Ongoing,
}

/// What this instance's calls show of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreReachability {
    is_unreachable: bool,
    last_failed: Option<CallFailure>,
    last_answered: Option<Instant>,
    recovered_at: Option<Instant>,
    is_probing: bool,
    has_unreported_change: bool,
}

impl StoreReachability {
    /// Notes that a call was answered; returns whether that is news.
    pub fn record_success(&mut self, now: Instant) -> bool {
        self.last_answered = Some(now);
        if !std::mem::take(&mut self.is_unreachable) {
            return false;
        }
        self.recovered_at = Some(now);
        self.has_unreported_change = true;
        true
    }

    /// Notes that a call failed; returns whether that is news. The holder of
    /// the lease counts on our word, so a call that was lost before another was
    /// answered does not put the store out again.
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

    /// Returns whether the store did not answer our last call.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns whether it is out, or was regained within this time.
    pub fn was_unreachable_within(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        let is_recent = |at: Instant| now - at < time;
        self.is_unreachable || self.recovered_at.is_some_and(is_recent)
    }

    /// Returns until when somebody may count on our word that the store is out,
    /// if we ever gave it: as long as such a word holds after the store was
    /// regained, and for ever while it is out.
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

    /// Returns for how long entries of endpoints that lapsed while the store
    /// was out may still come back.
    pub fn missing_entry_grace(&self, now: Instant) -> Duration {
        let Some(failed) = self.last_failed else { return Duration::ZERO };
        MISSING_ENTRY_GRACE.saturating_sub(now - failed.unreachable_at())
    }

    /// Returns the last call that failed.
    pub fn last_failure(&self) -> Option<CallFailure> {
        self.last_failed
    }

    /// Returns whether others have yet to hear of a change.
    pub fn has_change(&self) -> bool {
        self.has_unreported_change
    }

    /// Returns whether others have yet to hear of a change, once.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.has_unreported_change)
    }

    /// Begins to probe the store, unless that is under way.
    pub fn begin_probe(&mut self) -> bool {
        !self.is_unreachable && !std::mem::replace(&mut self.is_probing, true)
    }

    /// Ends the probe.
    pub fn end_probe(&mut self) {
        self.is_probing = false;
    }
}
