//! Whether the platform's store answers this instance, and since when.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Entries that lapsed during an outage are back within two seconds of its end
/// (the platform's pages); the rest is for our own calls. An endpoint that has
/// really left gets no work for longer: 3 s after the end we are held to that.
const ENTRIES_RETURN: Duration = Duration::from_millis(2_500);

/// What this instance's calls show of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    is_out: Cell<bool>,
    failed: Cell<Option<Instant>>,
    regained: Cell<Option<Instant>>,
    is_probing: Cell<bool>,
    is_news: Cell<bool>,
}

impl StoreState {
    /// Notes whether the store answered; returns whether that is news. The
    /// holder of the lease counts on our word.
    pub(crate) fn note(&self, is_out: bool) -> bool {
        let now = Instant::now();
        if is_out {
            self.failed.set(Some(now));
        }
        if self.is_out.replace(is_out) == is_out {
            return false;
        }
        if !is_out {
            self.regained.set(Some(now));
        }
        self.is_news.set(true);
        true
    }

    /// Returns whether the store did not answer our last call.
    pub(crate) fn is_out(&self) -> bool {
        self.is_out.get()
    }

    /// Returns whether it is out, or was regained within this time.
    pub(crate) fn was_out_within(&self, time: Duration) -> bool {
        let is_recent = |at: Instant| at.elapsed() < time;
        self.is_out() || self.regained.get().is_some_and(is_recent)
    }

    /// Returns for how long entries of endpoints that lapsed while the store
    /// was out may still come back. It was out until our last failed call at
    /// the least.
    pub(crate) fn entries_return_within(&self) -> Duration {
        let Some(failed) = self.failed.get() else { return Duration::ZERO };
        ENTRIES_RETURN.saturating_sub(failed.elapsed())
    }

    /// Returns how long ago a call failed last, in milliseconds, for the log.
    pub(crate) fn failed_ms_ago(&self) -> Option<u64> {
        Some(self.failed.get()?.elapsed().as_millis() as u64)
    }

    /// Returns whether others have yet to hear of a change, once.
    pub(crate) fn take_news(&self) -> bool {
        self.is_news.take()
    }

    /// Begins to probe the store, unless that is under way.
    pub(crate) fn begin_probe(&self) -> bool {
        !self.is_out() && !self.is_probing.replace(true)
    }

    /// Ends the probe.
    pub(crate) fn end_probe(&self) {
        self.is_probing.set(false);
    }
}
