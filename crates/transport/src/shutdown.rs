//! The steps of a server's planned shutdown.
//!
//! A load balancer and callers learn of a shutdown at different times, so that
//! it has three steps: responses announce the end of their connection, then no
//! more connections are accepted, and then connections without a request are
//! closed. The order is fixed by types.

use std::{
    cell::Cell,
    future::Future,
    marker::PhantomData,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// A server that has not begun to shut down.
#[derive(Debug)]
pub struct Running;

/// A server whose responses state that their connection is closed.
#[derive(Debug)]
pub struct Announced;

/// A server that accepts no more connections.
#[derive(Debug)]
pub struct NotAccepting;

/// A server that closes connections without a request.
#[derive(Debug)]
pub struct Closing;

/// The side that shuts servers down. Dropping it takes all remaining steps.
#[derive(Debug)]
#[must_use]
pub struct Shutdown<Step> {
    signals: Signals,
    step: PhantomData<Step>,
}

#[derive(Debug)]
struct Signals {
    is_announced: Rc<Cell<bool>>,
    /// Its end is the signal.
    stop_accepting: Option<oneshot::Sender<()>>,
    /// The same for closing connections.
    close: Option<oneshot::Sender<()>>,
    /// The same for refusing what has come in part.
    _refuse: oneshot::Sender<()>,
}

/// The side of the servers.
#[derive(Clone, Debug)]
pub struct ShutdownWatch {
    is_announced: Rc<Cell<bool>>,
    stop_accepting: Shared<oneshot::Receiver<()>>,
    close: Shared<oneshot::Receiver<()>>,
    refuse: Shared<oneshot::Receiver<()>>,
}

/// Returns both sides of a shutdown that has not begun.
pub fn shutdown() -> (Shutdown<Running>, ShutdownWatch) {
    let (stop_accepting, not_accepting) = oneshot::channel();
    let (close, closing) = oneshot::channel();
    let (refuse, refusing) = oneshot::channel();
    let is_announced = Rc::new(Cell::new(false));
    let watch = ShutdownWatch {
        is_announced: is_announced.clone(),
        stop_accepting: not_accepting.shared(),
        close: closing.shared(),
        refuse: refusing.shared(),
    };
    let signals = Signals {
        is_announced,
        stop_accepting: Some(stop_accepting),
        close: Some(close),
        _refuse: refuse,
    };
    (Shutdown { signals, step: PhantomData }, watch)
}

impl Shutdown<Running> {
    /// Has all responses from now on state that their connection is closed,
    /// except on connections on which another request has arrived.
    pub fn announce(self) -> Shutdown<Announced> {
        self.signals.is_announced.set(true);
        Shutdown { signals: self.signals, step: PhantomData }
    }
}

impl Shutdown<Announced> {
    /// Has servers accept the connections that have come, and then no more.
    pub fn stop_accepting(mut self) -> Shutdown<NotAccepting> {
        self.signals.stop_accepting = None;
        Shutdown { signals: self.signals, step: PhantomData }
    }
}

impl Shutdown<NotAccepting> {
    /// Has servers close connections on which no request has arrived for a
    /// while.
    pub fn close_connections(mut self) -> Shutdown<Closing> {
        self.signals.close = None;
        Shutdown { signals: self.signals, step: PhantomData }
    }
}

impl Shutdown<Closing> {
    /// Has servers refuse requests whose head has not come whole, and close all
    /// connections without another request.
    pub fn refuse_partial_requests(self) {}
}

impl ShutdownWatch {
    /// Returns whether responses state that their connection is closed.
    pub fn is_announced(&self) -> bool {
        self.is_announced.get()
    }

    /// Completes when no more connections are to be accepted.
    pub fn stop_accepting(&self) -> impl Future<Output = ()> + Unpin + use<> {
        self.stop_accepting.clone().map(|_| ())
    }

    /// Returns whether connections without a request are to be closed. If not,
    /// the task is woken once they are.
    pub(crate) fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.close).poll(cx).map(|_| ())
    }

    /// Returns whether requests that have come in part are to be refused. If
    /// not, the task is woken once they are.
    pub(crate) fn poll_refuse(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.refuse).poll(cx).map(|_| ())
    }
}
