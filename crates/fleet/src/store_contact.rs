//! What an instance's calls show of the platform's store: whether it answers,
//! and when it was last known not to.
//!
//! It does no I/O and reads no clock. The invariant: entries of endpoints that
//! are missing are waited for only for a while after the store was out.

use std::time::{Duration, Instant};

/// Entries that lapsed during an outage are back within two seconds of its end
/// (the platform's pages); the rest is for our own calls. An endpoint that has
/// really left gets no work for longer: 3 s after the end we are held to that.
const ENTRIES_RETURN: Duration = Duration::from_millis(2_500);

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

/// What this instance's calls show of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    is_out: bool,
    failed: Option<CallFailure>,
    regained: Option<Instant>,
    is_probing: bool,
    is_news: bool,
}

impl StoreContact {
    /// Notes that a call was answered; returns whether that is news.
    pub fn reached(&mut self, now: Instant) -> bool {
        if !std::mem::take(&mut self.is_out) {
            return false;
        }
        self.regained = Some(now);
        self.is_news = true;
        true
    }

    /// Notes that a call failed; returns whether that is news. The holder of
    /// the lease counts on our word.
    pub fn failed(&mut self, failure: CallFailure) -> bool {
        self.failed = Some(failure);
        if std::mem::replace(&mut self.is_out, true) {
            return false;
        }
        self.is_news = true;
        true
    }

    /// Returns whether the store did not answer our last call.
    pub fn is_out(&self) -> bool {
        self.is_out
    }

    /// Returns whether it is out, or was regained within this time.
    pub fn was_out_within(&self, time: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now - at < time;
        self.is_out || self.regained.is_some_and(is_recent)
    }

    /// Returns for how long entries of endpoints that lapsed while the store
    /// was out may still come back. It was out until our last failed call at
    /// the least.
    pub fn entries_return_within(&self, now: Instant) -> Duration {
        let Some(failed) = self.failed else { return Duration::ZERO };
        ENTRIES_RETURN.saturating_sub(now - failed.noticed)
    }

    /// Returns the last call that failed.
    pub fn last_failure(&self) -> Option<CallFailure> {
        self.failed
    }

    /// Returns whether others have yet to hear of a change, once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.is_news)
    }

    /// Begins to probe the store, unless that is under way.
    pub fn begin_probe(&mut self) -> bool {
        !self.is_out && !std::mem::replace(&mut self.is_probing, true)
    }

    /// Ends the probe.
    pub fn end_probe(&mut self) {
        self.is_probing = false;
    }
}
