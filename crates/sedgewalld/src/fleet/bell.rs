//! Wakes one waiting part of an instance.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use futures_channel::oneshot;
use sedgewall_clock::Instant;

/// Wakes one waiting part of the instance.
#[derive(Default)]
pub(crate) struct Bell {
    is_rung: Cell<bool>,
    /// When what it asks for was last begun.
    muted: Cell<Option<Instant>>,
    waiting: RefCell<Option<oneshot::Sender<()>>>,
}

impl Bell {
    pub(crate) fn ring(&self) {
        self.is_rung.set(true);
        if let Some(tx) = self.waiting.borrow_mut().take() {
            // The part may have woken by its time.
            let _ = tx.send(());
        }
    }

    /// Takes back a ring that nobody has heard: what it asks for is done now.
    pub(crate) fn mute(&self) {
        self.is_rung.set(false);
        self.muted.set(Some(Instant::now()));
    }

    /// Returns whether what it asks for was begun after a moment.
    pub(crate) fn was_muted_since(&self, moment: Instant) -> bool {
        self.muted.get().is_some_and(|at| at > moment)
    }

    pub(crate) async fn wait(&self, within: Duration) -> bool {
        if !self.is_rung.get() {
            let (tx, rx) = oneshot::channel();
            *self.waiting.borrow_mut() = Some(tx);
            let _ = compio::time::timeout(within, rx).await;
        }
        self.is_rung.replace(false)
    }
}
