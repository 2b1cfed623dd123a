//! The room at brittle endpoints, and permits to send requests there.

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::{AnsweredRequest, FleetView};
use crate::{
    announcement::AnnouncedLimit,
    limit_share::{Permit, PermitRequest},
    room_share::{BrittlenessChange, RejectionReport, RoomRequest},
};

/// The number of instances that is assumed while the instances are not known.
const ASSUMED_INSTANCES: usize = 32;

impl FleetView {
    /// Applies what a response announces about the rejections that its
    /// endpoint survives. Returns the service and the change, if there is one.
    /// A response of an incarnation that has ended is ignored.
    pub fn apply_announced_brittleness(
        &mut self,
        answered: &AnsweredRequest,
        announced: AnnouncedLimit,
    ) -> Option<BrittlenessChange> {
        let AnsweredRequest { endpoint, born, sent } = answered;
        if !self.incarnations.is_current(endpoint, *born) {
            return None;
        }
        let service = &self.endpoints.get(endpoint)?.endpoint.service;
        self.rooms.observe(service, announced, *sent)
    }

    /// Returns whether the endpoints of a service are brittle.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.rooms.is_brittle(service)
    }

    /// Counts a request that asks for room at an endpoint of a service.
    pub fn record_room_demand(&mut self, service: &str, now: Instant) {
        self.rooms.record_demand(service, now);
    }

    /// Asks for room at an endpoint for one request.
    pub fn take_room(
        &mut self,
        id: &EndpointId,
        request: PermitRequest,
        now: Instant,
    ) -> Permit {
        let Some(state) = self.endpoints.get(id) else {
            return Permit::Granted;
        };
        let service = &state.endpoint.service;
        let request = RoomRequest {
            service,
            endpoints: self.services.get(service).map_or(1, |ids| ids.len()),
            slots: state.endpoint.slots,
            in_flight: state.in_flight(),
            own_in_flight: state.own_work.requests,
            instances: request.instances.unwrap_or(ASSUMED_INSTANCES),
            draw: request.draw,
        };
        self.rooms.take(id, request, now)
    }

    /// Records that an endpoint has rejected a request for want of room.
    /// Returns whether the endpoint is brittle.
    pub fn record_rejection(&mut self, id: &EndpointId, now: Instant) -> bool {
        let Some(state) = self.endpoints.get(id) else { return false };
        let service = &state.endpoint.service;
        self.rooms.record_rejection(service, id, state.in_flight(), now)
    }

    /// Applies a rejection that another instance reports.
    pub fn apply_rejection_report(
        &mut self,
        report: &RejectionReport,
        now: Instant,
    ) {
        let Some(state) = self.endpoints.get(&report.0) else { return };
        let service = &state.endpoint.service;
        self.rooms.apply_report(service, report, state.in_flight(), now);
    }

    /// Returns the rejections of the last second by brittle endpoints.
    pub fn rejection_reports(&self, now: Instant) -> Vec<RejectionReport> {
        self.rooms.reports(now)
    }

    /// Removes what is known of endpoints that are gone or no longer brittle.
    /// Call this about once a second.
    pub fn forget_rooms(&mut self, now: Instant) {
        let endpoints = &self.endpoints;
        let service_of = |id: &EndpointId| {
            endpoints.get(id).map(|state| state.endpoint.service.clone())
        };
        self.rooms.forget(service_of, now);
    }
}
