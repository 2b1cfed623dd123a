//! The attempts made so far for one request.

use std::{borrow::Cow, time::Duration};

use sedgewall_fleet::{
    endpoint::SoftwareVersion,
    wait_policy::{retry_delay, retry_delay_in_turn},
    wait_queue::ExpectedWait,
};
use sedgewall_state::id::EndpointId;

use super::attempt::{CallerRequest, Resumed, hash_fraction};

/// The attempts made so far for one request.
#[derive(Clone)]
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    /// The endpoints that may be at work on the request.
    pub(crate) open_at: Vec<EndpointId>,
    /// Whether another instance may be at work on the request.
    pub(crate) is_open_at_instance: bool,
    /// The software version at which the stream began, once it has. It may go
    /// on at no other.
    pub(crate) software_version: Option<SoftwareVersion>,
    pub(crate) sends: u32,
    /// The number of sends whose request may have run.
    pub(crate) runs: u32,
    /// The number of sends that may have reached an endpoint, which count
    /// against the retry budget.
    pub(crate) arrivals: u32,
    /// Whether the request was counted towards the retry budget, here or at
    /// the instance that forwarded it.
    pub(crate) is_counted: bool,
    pub(crate) waited: Duration,
    /// The time from the last send to its response headers.
    pub(crate) engine_time: Duration,
    /// If the wait for an endpoint was given up: the time until an endpoint is
    /// expected to take the request, if that is known.
    pub(crate) available_in: Option<Duration>,
    /// If the request was rejected from a queue: the position for the caller's
    /// retry.
    pub(crate) turn: Option<ExpectedWait>,
    /// The retry delay that another instance stated when it refused the
    /// forwarded request.
    pub(crate) stated_retry_delay: Option<Duration>,
}

impl Progress {
    /// Returns the progress of a request before its first attempt here.
    pub(crate) fn begin(call: &CallerRequest) -> Progress {
        let forwarded = call.forwarded.as_ref();
        let sends = forwarded.map_or(0, |forwarded| forwarded.sends);
        let runs = forwarded.map_or(0, |forwarded| forwarded.runs);
        let software_version = match &call.resumed {
            Resumed::From(origin) => Some(origin.software_version.clone()),
            Resumed::None | Resumed::Unknown => None,
        };
        Progress {
            tried: Vec::new(),
            open_at: Vec::new(),
            is_open_at_instance: false,
            software_version,
            sends,
            runs,
            arrivals: 0,
            is_counted: forwarded.is_some_and(|f| f.is_counted),
            waited: Duration::ZERO,
            engine_time: Duration::ZERO,
            available_in: None,
            turn: None,
            stated_retry_delay: None,
        }
    }

    /// Returns whether the request has been sent anywhere and may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sends > 0 || self.runs > 0 || self.is_open_at_instance
    }

    /// Returns the endpoints that the request must not be sent to.
    pub(crate) fn excluded(&self) -> Cow<'_, [EndpointId]> {
        match self.open_at.is_empty() {
            true => Cow::Borrowed(&self.tried),
            false => Cow::Owned([&*self.tried, &*self.open_at].concat()),
        }
    }

    /// Returns the delay after which the caller of a rejected request may
    /// retry.
    pub(crate) fn retry_delay(&self, call: &CallerRequest) -> Duration {
        if let Some(stated) = self.stated_retry_delay {
            return stated;
        }
        let draw = hash_fraction(&call.metadata.request_id);
        match (self.available_in, self.turn) {
            (None, Some(turn)) => {
                retry_delay_in_turn(call.left(), turn.wait, draw)
            }
            (available_in, _) => retry_delay(call.left(), available_in, draw),
        }
    }
}
