//! The attempts made so far for one request.

use std::time::Duration;

use sedgewall_fleet::{
    wait_policy::{retry_delay, retry_delay_in_turn},
    wait_queue::ExpectedWait,
};
use sedgewall_state::id::EndpointId;

use super::attempt::{CallerRequest, hash_fraction};

/// The attempts made so far for one request.
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) sends: u32,
    /// The number of sends whose request may have run.
    pub(crate) runs: u32,
    pub(crate) waited: Duration,
    /// The time from the last send to its response headers.
    pub(crate) engine_time: Duration,
    /// If the wait for an endpoint was given up: the time until an endpoint is
    /// expected to take the request, if that is known.
    pub(crate) available_in: Option<Duration>,
    /// If the request was rejected from a queue: the position for the caller's
    /// retry.
    pub(crate) turn: Option<ExpectedWait>,
}

impl Progress {
    /// Returns the delay after which the caller of a rejected request may
    /// retry.
    pub(crate) fn retry_delay(&self, call: &CallerRequest) -> Duration {
        let draw = hash_fraction(&call.metadata.request_id);
        match (self.available_in, self.turn) {
            (None, Some(turn)) => {
                retry_delay_in_turn(call.left(), turn.wait, draw)
            }
            (available_in, _) => retry_delay(call.left(), available_in, draw),
        }
    }
}
