//! Rate limits of endpoints, and who may send to a limited one.

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
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its life when the request was sent, if it tells its lives apart.
    pub born: Option<Incarnation>,
    /// When the request was sent.
    pub sent: Instant,
}

impl FleetView {
    /// Takes in what an answer says of its endpoint's limit; returns what changed.
    /// An answer of a life that is over says nothing.
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

    /// Takes in another instance's report of a limit; returns what changed.
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

    /// Returns what others are told of limits: with this instance's demand, or with
    /// that of all.
    pub fn limit_reports(
        &self,
        is_total: bool,
        now: Instant,
    ) -> Vec<LimitReport> {
        self.limits.reports(is_total, now)
    }

    /// Returns the limit of an endpoint in requests a second, if it has one.
    pub fn limit_per_s(&self, id: &EndpointId) -> Option<f64> {
        self.limits.per_s(id)
    }

    /// Counts a request that would go to a limited endpoint if it had no limit.
    pub fn record_demand(&mut self, id: &EndpointId, now: Instant) {
        self.limits.record_demand(id, now);
    }

    /// Takes a permit for one request to an endpoint.
    pub fn take_permit(
        &mut self,
        id: &EndpointId,
        request: PermitRequest,
        now: Instant,
    ) -> Permit {
        self.limits.take(id, request, now)
    }

    /// Forgets limits that nobody speaks of any more. Call it about once a second.
    pub fn forget_limits(&mut self, now: Instant) {
        let endpoints = &self.endpoints;
        self.limits.forget(|id| endpoints.contains_key(id), now);
    }

    /// Takes in that an endpoint takes no more from some instance for a time: what
    /// it holds needs another place.
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
