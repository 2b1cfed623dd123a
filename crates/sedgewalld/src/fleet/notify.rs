//! A single-waiter notification.
//!
//! One task waits, and any other notifies it. A notification that comes while
//! the task is not waiting is kept, so that none is lost between two waits.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use futures_channel::oneshot;
use sedgewall_clock::Instant;

/// A notification for the one task that waits for it.
#[derive(Default)]
pub(crate) struct Notify {
    is_notified: Cell<bool>,
    /// When [`Notify::clear`] was last called, because the work that the
    /// notification asks for began.
    last_cleared: Cell<Option<Instant>>,
    waiting: RefCell<Option<oneshot::Sender<()>>>,
}

impl Notify {
    /// Wakes the waiting task, now or at its next wait.
    pub(crate) fn notify(&self) {
        self.is_notified.set(true);
        if let Some(tx) = self.waiting.borrow_mut().take() {
            // Fails if the wait has timed out meanwhile.
            let _ = tx.send(());
        }
    }

    /// Wakes the task if it is waiting now.
    pub(crate) fn notify_waiting(&self) {
        let is_waiting =
            self.waiting.borrow().as_ref().is_some_and(|tx| !tx.is_canceled());
        if is_waiting {
            self.notify();
        }
    }

    /// Withdraws a pending notification, because the work that the
    /// notification asks for begins now.
    pub(crate) fn clear(&self) {
        self.is_notified.set(false);
        self.last_cleared.set(Some(Instant::now()));
    }

    /// Returns whether the work that the notification asks for was begun after
    /// `moment`.
    pub(crate) fn was_cleared_since(&self, moment: Instant) -> bool {
        self.last_cleared.get().is_some_and(|at| at > moment)
    }

    /// Waits for a notification, or until the timeout. Returns whether there
    /// was a notification.
    pub(crate) async fn wait(&self, within: Duration) -> bool {
        if !self.is_notified.get() {
            let (tx, rx) = oneshot::channel();
            *self.waiting.borrow_mut() = Some(tx);
            let _ = compio::time::timeout(within, rx).await;
        }
        self.is_notified.replace(false)
    }
}
