//! The end of a planned stop, at which requests that are still open are
//! answered.

use std::{cell::RefCell, future::Future, pin::pin};

use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{self, Either, Shared},
};
use http::StatusCode;
use sedgewall_protocol::{Problem, RunState};

/// Ends the work on open requests, because the process ends.
#[derive(Debug)]
pub(crate) struct StopEnd {
    /// Its end is the signal.
    end: RefCell<Option<oneshot::Sender<()>>>,
    ended: Shared<oneshot::Receiver<()>>,
}

impl Default for StopEnd {
    fn default() -> StopEnd {
        let (end, ended) = oneshot::channel();
        StopEnd { end: RefCell::new(Some(end)), ended: ended.shared() }
    }
}

impl StopEnd {
    /// Has all open requests answered now.
    pub(crate) fn signal(&self) {
        self.end.take();
    }

    /// Waits for a part of the work on a request. Returns `None` if the request
    /// must be answered before that. Work does not begin after the signal.
    pub(crate) async fn before<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        if self.end.borrow().is_none() {
            return None;
        }
        match future::select(pin!(work), self.ended.clone()).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }
}

/// Returns the problem to answer an open request with at the end of a stop.
pub(crate) fn stopping_problem(run_state: RunState) -> Problem {
    let (status, code) = match run_state {
        RunState::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        _ => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
    };
    Problem::new(status, code, run_state, "the instance stops")
}
