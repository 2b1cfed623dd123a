//! Rate limits of endpoints, and permits to send requests to limited
//! endpoints.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::FleetView;
use crate::{
    announcement::AnnouncedLimit,
    incarnation::Incarnation,
    limit_share::{
        LimitChange, LimitReport, Permit, PermitRequest, ReportSource,
    },
};

/// A request that an endpoint answered.
#[derive(Clone, Debug)]
pub struct AnsweredRequest {
    /// The endpoint that answered.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation when the request was sent, if the endpoint
    /// reports one.
    pub born: Option<Incarnation>,
    /// When the request was sent.
    pub sent: Instant,
}

impl FleetView {
    /// Applies what a response announces about its endpoint's limit. Returns
    /// the change, if there is one. A response of an incarnation that has
    /// ended is ignored.
    pub fn apply_announced_limit(
        &mut self,
        answered: &AnsweredRequest,
        limit: AnnouncedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let AnsweredRequest { endpoint, born, sent } = answered;
        if !self.incarnations.is_current(endpoint, *born) {
            return None;
        }
        self.limits.observe(endpoint, *born, limit, *sent, now)
    }

    /// Applies another instance's report of a limit. Returns the change, if
    /// there is one.
    pub fn apply_limit_report(
        &mut self,
        report: &LimitReport,
        source: ReportSource<'_>,
        now: Instant,
    ) -> Option<LimitChange> {
        if !self.incarnations.is_current(&report.endpoint, report.born) {
            return None;
        }
        self.limits.apply_report(report, source, now)
    }

    /// Returns the limits to report to other instances, with this instance's
    /// demand or, if `is_total` is true, the demand of all instances.
    pub fn limit_reports(
        &self,
        is_total: bool,
        now: Instant,
    ) -> Vec<LimitReport> {
        self.limits.reports(is_total, now)
    }

    /// Returns the limit of an endpoint in requests per second, if it has one.
    pub fn limit_per_s(&self, id: &EndpointId) -> Option<f64> {
        self.limits.per_s(id)
    }

    /// Counts a request that would be sent to a limited endpoint if it had no
    /// limit.
    pub fn record_demand(&mut self, id: &EndpointId, now: Instant) {
        self.limits.record_demand(id, now);
    }

    /// Takes a permit to send one request to an endpoint.
    pub fn take_permit(
        &mut self,
        id: &EndpointId,
        request: PermitRequest,
        now: Instant,
    ) -> Permit {
        self.limits.take(id, request, now)
    }

    /// Removes limits that are too old to be reported by any instance. Call
    /// this about once a second.
    pub fn forget_limits(&mut self, now: Instant) {
        let endpoints = &self.endpoints;
        self.limits.forget(|id| endpoints.contains_key(id), now);
    }

    /// Marks an endpoint as saturated for `time`: some instance may send no
    /// more requests there, and the adapters that it holds need another
    /// engine.
    pub fn mark_saturated(
        &mut self,
        id: &EndpointId,
        time: Duration,
        now: Instant,
    ) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.saturated_until = Some(now + time);
        }
    }
}
