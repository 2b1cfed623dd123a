//! Departures of endpoints that this instance detects or learns of from other
//! instances.

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::{AnsweredRequest, FleetView};
use crate::{departure::Departure, revision::Revision};

impl FleetView {
    /// Records that this instance saw an endpoint leave. The removal of an
    /// entry that was draining before is not sent to other instances, since
    /// they already know of the departure.
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
        let departure = Departure::of_entry(id, revision);
        let is_new = self.departures.record(&departure, is_sure, now);
        if is_new && is_sure && !was_leaving {
            self.unsent_departures.push(departure);
        }
    }

    /// Confirms the departure of an endpoint whose entry might have lapsed, so
    /// that it is sent to the other instances. Does nothing if the entry has
    /// come back, or if another instance has sent the departure.
    pub fn confirm_departure(&mut self, id: &EndpointId, now: Instant) {
        if self.endpoints.contains_key(id) {
            return;
        }
        let confirmed = self.departures.confirm(id, now);
        self.unsent_departures.extend(confirmed);
    }

    /// Applies a departure that another instance saw. Returns whether it is
    /// new.
    pub fn apply_departure(
        &mut self,
        departure: &Departure,
        now: Instant,
    ) -> bool {
        if !self.departures.record(departure, true, now) {
            return false;
        }
        self.mark_departed(&departure.endpoint);
        true
    }

    /// Stops sending requests to an endpoint if the known entry is not
    /// certainly later than its departure.
    pub(super) fn mark_departed(&mut self, id: &EndpointId) {
        let born = self.incarnations.born(id);
        if let Some(state) = self.endpoints.get_mut(id) {
            let revision = state.endpoint.revision;
            let has_left = self.departures.has_left(id, revision, born);
            state.endpoint.is_draining |= has_left;
        }
    }

    /// Applies a departure that an endpoint announced in a response. Returns
    /// whether it is new; a new one is sent to the other instances.
    pub fn apply_announced_departure(
        &mut self,
        answered: &AnsweredRequest,
        now: Instant,
    ) -> bool {
        let AnsweredRequest { endpoint, born, .. } = answered;
        if !self.incarnations.is_current(endpoint, *born) {
            return false;
        }
        let state = self.endpoints.get(endpoint);
        let revision = state.map(|state| state.endpoint.revision);
        let revision = revision.unwrap_or_default();
        let departure = Departure::announced(endpoint, *born, revision);
        let is_new = self.apply_departure(&departure, now);
        if is_new {
            self.unsent_departures.push(departure);
        }
        is_new
    }

    /// Returns the departures that this instance detected and has not sent to
    /// the other instances yet, and marks them as sent.
    pub fn take_unsent_departures(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.unsent_departures)
    }

    /// Returns the departures that are repeated to other instances.
    pub fn departures(&self, now: Instant) -> Vec<Departure> {
        self.departures.repeated(now)
    }

    /// Returns all known departures, for an instance that has missed some.
    pub fn all_departures(&self) -> Vec<Departure> {
        self.departures.all().collect()
    }

    /// Removes departures and incarnations that are too old to be mentioned by
    /// any instance.
    pub fn forget_departures(&mut self, now: Instant) {
        let endpoints = &self.endpoints;
        self.departures.forget(|id| endpoints.contains_key(id), now);
        self.incarnations.forget(now);
    }
}
