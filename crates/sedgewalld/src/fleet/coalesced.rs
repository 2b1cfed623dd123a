//! A call whose result serves all tasks that ask for it before it begins.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
};

use futures_channel::oneshot;

/// Combines equal calls. A task that asks while a call is in progress gets the
/// result of the next one, which shows everything that happened before it
/// asked.
#[derive(Default)]
pub(crate) struct Coalesced {
    began: Cell<u64>,
    is_running: Cell<bool>,
    waiters: RefCell<Vec<Waiter>>,
}

struct Waiter {
    /// The number of calls that had begun when the task asked.
    after: u64,
    tx: oneshot::Sender<bool>,
}

impl Coalesced {
    /// Waits for a call that begins from now on, and returns whether it has
    /// succeeded. The call goes on if the waiting task ends.
    pub(crate) async fn run<F>(
        self: &Rc<Self>,
        call: impl Fn() -> F + 'static,
    ) -> bool
    where
        F: Future<Output = bool> + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let after = self.began.get();
        self.waiters.borrow_mut().push(Waiter { after, tx });
        if !self.is_running.replace(true) {
            let coalesced = self.clone();
            compio::runtime::spawn(async move {
                coalesced.run_calls(call).await;
            })
            .detach();
        }
        rx.await.unwrap_or(false)
    }

    /// Calls until nobody waits.
    async fn run_calls<F>(&self, call: impl Fn() -> F)
    where
        F: Future<Output = bool>,
    {
        while !self.waiters.borrow().is_empty() {
            self.began.set(self.began.get() + 1);
            let began = self.began.get();
            let is_done = call().await;
            let mut waiters = self.waiters.borrow_mut();
            let served = waiters.extract_if(.., |waiter| waiter.after < began);
            for waiter in served {
                // Fails if the task no longer waits.
                let _ = waiter.tx.send(is_done);
            }
        }
        self.is_running.set(false);
    }
}
