//! Routing of plain services: least outstanding calls, within limits.
//!
//! Plain services share nothing with the queues of the model side, so that a
//! storm there cannot slow them. The module keeps one invariant: an endpoint
//! never has more calls from this instance than its limit, and gets none while it
//! rests.

use sedgewall_clock::Instant;

use crate::id::EndpointId;

/// One endpoint of a plain service, as one entry sees it.
#[derive(Clone, Debug)]
pub struct ServiceEndpoint {
    /// The platform's name for it.
    pub endpoint: EndpointId,
    /// Calls under way from this instance.
    pub outstanding: u32,
    /// Whether it may get new calls.
    pub takes_work: bool,
    /// Failures in a row, which put it behind its peers.
    pub failures: u32,
    /// Until when it wants no calls from this instance, as it said when it turned
    /// one away.
    pub cooldown_until: Option<Instant>,
}

impl ServiceEndpoint {
    /// Returns whether it wants no calls now.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }
}

/// Picks the endpoint for the next call, or none if all are at the limit or rest.
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
