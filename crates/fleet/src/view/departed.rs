//! Endpoints that left: what we saw in the store, and what others say.

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::FleetView;
use crate::{departure::Departure, endpoint::Revision};

impl FleetView {
    /// Notes that we saw an endpoint leave. If its entry goes after it said
    /// so, nobody needs to hear that.
    pub(super) fn see_departure(
        &mut self,
        id: &EndpointId,
        revision: Revision,
        is_sure: bool,
        now: Instant,
    ) {
        let was_leaving = self
            .endpoints
            .get(id)
            .is_some_and(|state| state.endpoint.is_draining);
        let departure = Departure { endpoint: id.clone(), revision };
        let is_news = self.departures.note(&departure, is_sure, now);
        if is_news && is_sure && !was_leaving {
            self.untold.push(departure);
        }
    }

    /// Takes in that another instance saw an endpoint leave; returns whether
    /// that is news.
    pub fn hear_departure(
        &mut self,
        departure: &Departure,
        now: Instant,
    ) -> bool {
        if !self.departures.note(departure, true, now) {
            return false;
        }
        if let Some(state) = self.endpoints.get_mut(&departure.endpoint)
            && state.endpoint.revision <= departure.revision
        {
            state.endpoint.is_draining = true;
        }
        true
    }

    /// Returns the departures that we saw and the others have not heard of,
    /// once.
    pub fn take_untold(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.untold)
    }

    /// Returns the departures that others are told of again.
    pub fn departures(&self, now: Instant) -> Vec<Departure> {
        self.departures.told(now)
    }

    /// Returns all departures that are known, for an instance that missed some.
    pub fn all_departures(&self) -> Vec<Departure> {
        self.departures.all().collect()
    }

    /// Forgets departures and lives that nobody speaks of any more.
    pub fn forget_departures(&mut self, now: Instant) {
        self.departures.forget(now);
        self.lives.forget(now);
    }
}
