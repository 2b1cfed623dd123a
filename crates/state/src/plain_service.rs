//! Load balancing of plain services by the least outstanding calls, with a
//! limit per endpoint.
//!
//! Plain services, which run no model, share no state with the queues for
//! engines, so that a spike of model requests cannot slow them. The module
//! keeps one invariant: an endpoint gets no call from an instance that already
//! has as many outstanding calls there as the limit, and no call during its
//! cooldown.

use sedgewall_clock::Instant;

use crate::id::EndpointId;

/// The state of one endpoint of a plain service. Each instance of the daemon
/// keeps a record of its own.
#[derive(Clone, Debug)]
pub struct ServiceEndpoint {
    /// The id that the platform gives to the endpoint.
    pub endpoint: EndpointId,
    /// The number of calls from the instance that keeps this record that have
    /// not ended.
    pub outstanding: u32,
    /// Whether the endpoint is listed as live, so that it may get new calls.
    pub takes_work: bool,
    /// The number of consecutive failed calls. Endpoints with fewer failures
    /// are preferred.
    pub failures: u32,
    /// The end of the cooldown that the endpoint requested when it last
    /// rejected a call of the instance that keeps this record.
    pub cooldown_until: Option<Instant>,
}

impl ServiceEndpoint {
    /// Returns whether the endpoint's cooldown has not ended.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }
}

/// Returns the index of the endpoint for the next call: of those with the
/// fewest consecutive failures, the one with the fewest outstanding calls.
///
/// Returns `None` if every endpoint is unavailable, at the limit or in its
/// cooldown.
pub fn pick_endpoint(
    endpoints: &[ServiceEndpoint],
    limit: u32,
    now: Instant,
) -> Option<usize> {
    endpoints
        .iter()
        .enumerate()
        .filter(|(_, endpoint)| {
            endpoint.takes_work
                && endpoint.outstanding < limit
                && !endpoint.is_cooling_down(now)
        })
        .min_by_key(|(_, endpoint)| (endpoint.failures, endpoint.outstanding))
        .map(|(idx, _)| idx)
}
