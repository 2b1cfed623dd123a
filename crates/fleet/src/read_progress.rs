//! How far this instance has read the endpoints in the platform's store,
//! compared with what other instances report to have read.
//!
//! A watch that was lost on the way looks like one without changes. Each
//! instance therefore reports the newest change that it has read. A watch that
//! stays open although another instance has read a later change is lost, and
//! the endpoints must be listed.
//!
//! This module does no I/O and reads no clock. The invariant: a report that a
//! later call for the newest state did not confirm never makes a list due.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::revision::Revision;

/// How long a watch may stay open after another instance has reported a change
/// that it should have returned. Where the store answers, a watch returns a
/// change within some 20 ms; a slow store takes 300 ms.
pub const WATCH_ANSWER_TIME: Duration = Duration::from_millis(500);

/// An open watch that the store will not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostWatch {
    /// How long the watch has been open.
    pub open_for: Duration,
    /// The revision up to which all changes are known.
    pub read: Revision,
    /// The newest change that another instance has reported.
    pub newest_reported: Revision,
}

/// How far this instance and the others have read one kind of objects.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress {
    /// The revision up to which all changes are known.
    read: Revision,
    /// The newest known change.
    newest_change: Revision,
    /// The newest change that another instance has reported.
    newest_reported: Revision,
    /// The newest report that had been received when the last call was sent.
    reported_before_call: Revision,
    /// The newest report that a later call for the newest state did not
    /// confirm.
    refuted: Revision,
    /// When the open watch was sent.
    watch_sent: Option<Instant>,
    /// Since when an open watch should have returned a reported change.
    overdue_since: Option<Instant>,
}

impl ReadProgress {
    /// Returns the newest known change, to be reported to other instances.
    pub fn newest_change(&self) -> Revision {
        self.newest_change
    }

    /// Records a change at a revision.
    pub fn record_change(&mut self, at: Revision) {
        self.newest_change = self.newest_change.max(at);
    }

    /// Records that the next answer, of this revision, lacks an object. Call
    /// this before recording the answer as read.
    ///
    /// The revision of the deletion is unknown. If another instance has
    /// reported a change that the answer is the first one to cover, that one
    /// stands for it, so that instances which find the same object missing do
    /// not exceed each other's reports.
    pub fn record_missing(&mut self, as_of: Revision) {
        let reported = self.newest_reported;
        let is_explained = self.read < reported && reported <= as_of;
        self.record_change(if is_explained { reported } else { as_of });
    }

    /// Records that all changes up to a revision are known. The open watch, if
    /// there is one, has ended.
    pub fn record_read(&mut self, until: Revision) {
        self.read = self.read.max(until);
        self.end_watch();
    }

    /// Records that the newest state was read, of this revision.
    pub fn record_newest(&mut self, until: Revision) {
        self.record_read(until);
        if self.reported_before_call > self.read {
            self.refuted = self.refuted.max(self.reported_before_call);
        }
    }

    /// Records that a list is sent.
    pub fn begin_list(&mut self) {
        self.reported_before_call = self.newest_reported;
    }

    /// Records that a watch of the newest state is sent. Returns whether a
    /// reported change makes it answer at once, unless it is lost.
    pub fn begin_watch(&mut self, now: Instant) -> bool {
        self.reported_before_call = self.newest_reported;
        self.watch_sent = Some(now);
        self.update_overdue(now)
    }

    /// Records that the open watch was answered, has failed or was abandoned.
    pub fn end_watch(&mut self) {
        self.watch_sent = None;
        self.overdue_since = None;
    }

    /// Records the newest change that another instance has read. Returns
    /// whether the open watch should have returned it.
    pub fn record_report(&mut self, change: Revision, now: Instant) -> bool {
        self.newest_reported = self.newest_reported.max(change);
        self.update_overdue(now)
    }

    /// Returns the open watch if it is lost.
    pub fn lost_watch(&self, now: Instant) -> Option<LostWatch> {
        let overdue_since = self.overdue_since?;
        let sent = self.watch_sent?;
        (now - overdue_since >= WATCH_ANSWER_TIME).then(|| LostWatch {
            open_for: now - sent,
            read: self.read,
            newest_reported: self.newest_reported,
        })
    }

    /// Starts to wait for the answer of the open watch if a reported change is
    /// missing here. Returns whether the wait has just started.
    fn update_overdue(&mut self, now: Instant) -> bool {
        let is_behind = self.newest_reported > self.read.max(self.refuted);
        let starts = self.watch_sent.is_some()
            && is_behind
            && self.overdue_since.is_none();
        if starts {
            self.overdue_since = Some(now);
        }
        starts
    }
}
