//! The lease holder's decisions on engine pools, and what this instance
//! reports for them.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    engine_pools::{
        PoolChange, PoolController, PoolInputs, PoolReport, RequestClass,
    },
    route::{RoutingConfiguration, ServiceName},
};
use sedgewall_state::id::{EndpointId, Epoch};

use super::{attempt::CallerRequest, instance::FleetInstance};

/// The interval between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// How long this instance's own streams count after they were last recorded.
/// They are recorded with each of its status notes.
const OWN_STREAMS_VALID_FOR: Duration = Duration::from_secs(2);

/// How long the services that take part in engine pools are kept before they
/// are determined again. They are needed for each request, and looking at up
/// to 400 other instances each time is too expensive for 0.084 of a core.
const SERVICES_TTL: Duration = Duration::from_millis(500);

/// The services that take part in engine pools.
#[derive(Default)]
pub(crate) struct PoolServices {
    determined_at: Option<Instant>,
    services: Vec<ServiceName>,
}

/// The decisions of the current epoch of the lease.
#[derive(Default)]
pub(super) struct PoolDecisions {
    epoch: Option<Epoch>,
    decided_at: Option<Instant>,
    controllers: HashMap<ServiceName, PoolController>,
}

impl PoolDecisions {
    /// Decides on the split of each service. Call this while this instance
    /// holds the lease.
    pub(super) fn update(
        &mut self,
        instance: &FleetInstance,
        routing: &RoutingConfiguration,
        epoch: Epoch,
        now: Instant,
    ) {
        if self.epoch != Some(epoch) {
            *self = PoolDecisions { epoch: Some(epoch), ..Self::default() };
            instance.view.borrow_mut().begin_splits(epoch);
        }
        if self.decided_at.is_some_and(|at| now - at < DECISION_INTERVAL) {
            return;
        }
        self.decided_at = Some(now);
        for (service, group) in routing.engines() {
            if !instance.reports_pools(service) {
                self.controllers.remove(service);
                instance.view.borrow_mut().set_split(service, None);
                continue;
            }
            let controller = self
                .controllers
                .entry(service.to_owned())
                .or_insert_with(|| {
                    let view = instance.view.borrow();
                    let split = view.split(service).cloned();
                    PoolController::new(service, split, now)
                });
            let streams =
                instance.stream_reports.borrow().totals(service, now);
            let inputs = instance.view.borrow().pool_inputs(
                service,
                group,
                &instance.demand.borrow(),
                streams,
                now,
            );
            if let Some(change) = controller.decide(&inputs, now) {
                log_change(service, &change, &inputs);
                instance.view.borrow_mut().set_split(service, change.split);
            }
        }
    }
}

fn log_change(service: &str, change: &PoolChange, inputs: &PoolInputs) {
    let split = change.split.as_ref();
    let streams = inputs.streams;
    tracing::info!(
        event = "engine_pools",
        service,
        fraction = split.map_or(0.0, |split| split.prefill_fraction),
        previous_fraction = change.previous_fraction,
        long_tokens = split.map(|split| split.long_tokens),
        ended = streams.ended,
        delayed = streams.delayed,
        running = streams.running,
        instances = streams.instances,
        oldest_report_ms = streams.oldest_report.as_millis() as u64,
        prefill_s_per_s = inputs.prefill_s_per_s,
        long_age_ms = inputs.long_age.map(|age| age.as_millis() as u64),
        adapters_in_use = inputs.adapters_in_use,
        engines = inputs.engines,
    );
}

impl FleetInstance {
    /// Returns whether this instance takes part in engine pools for a service.
    /// It does if a route to the service limits the gap between events, and if
    /// all other instances can read the reports.
    pub(crate) fn reports_pools(&self, service: &str) -> bool {
        self.with_pool_services(|known| known.iter().any(|s| s == service))
    }

    /// Returns whether this instance takes part in engine pools for any
    /// service.
    pub(super) fn reports_any_pools(&self) -> bool {
        self.with_pool_services(|known| !known.is_empty())
    }

    /// Determines the services that take part in engine pools anew at their
    /// next use. Call this when the list of instances has changed.
    pub(super) fn forget_pool_services(&self) {
        self.pool_services.borrow_mut().determined_at = None;
    }

    fn with_pool_services<T>(
        &self,
        read: impl FnOnce(&[ServiceName]) -> T,
    ) -> T {
        let now = Instant::now();
        let mut known = self.pool_services.borrow_mut();
        if known.determined_at.is_none_or(|at| now - at >= SERVICES_TTL) {
            known.determined_at = Some(now);
            known.services = self.determine_pool_services();
        }
        read(&known.services)
    }

    fn determine_pool_services(&self) -> Vec<ServiceName> {
        let Some(routing) = self.routing() else { return Vec::new() };
        let limited = routing.engines().map(|(service, _)| service);
        let limited: Vec<ServiceName> = limited
            .filter(|service| routing.limits_gap(service))
            .map(ToOwned::to_owned)
            .collect();
        match limited.is_empty() || self.all_peers_read_pools() {
            true => limited,
            false => Vec::new(),
        }
    }

    /// Returns the service of an engine if a request to it counts as a short
    /// one for engine pools.
    pub(super) fn short_service(
        &self,
        engine: &EndpointId,
        prompt_tokens: u64,
    ) -> Option<ServiceName> {
        let view = self.view.borrow();
        let service = &view.get(engine)?.endpoint.service;
        let class = self.reported_class(service, prompt_tokens);
        (class == Some(RequestClass::Short)).then(|| service.clone())
    }

    /// Returns the class of a request if it is reported for engine pools.
    pub(crate) fn reported_class(
        &self,
        service: &str,
        prompt_tokens: u64,
    ) -> Option<RequestClass> {
        self.reports_pools(service)
            .then(|| self.view.borrow().request_class(service, prompt_tokens))
    }

    /// Returns the class of a request if the engines of its service are split.
    pub(crate) fn split_class(
        &self,
        call: &CallerRequest,
    ) -> Option<RequestClass> {
        let view = self.view.borrow();
        let split = view.split(&call.service)?;
        Some(split.class_of_prompt(call.metadata.prompt_tokens))
    }

    /// Returns what this instance reports in its status note, and records its
    /// own streams.
    pub(super) fn pool_report(
        &self,
        sequence: u64,
        is_holder: bool,
        now: Instant,
    ) -> PoolReport {
        let mut streams = self.stream_counts.borrow().reports();
        streams.retain(|report| self.reports_pools(&report.service));
        let until = now + OWN_STREAMS_VALID_FOR;
        self.stream_reports.borrow_mut().record(
            self.id(),
            sequence,
            &streams,
            until,
            now,
        );
        let mut splits = Vec::new();
        if is_holder {
            splits.extend(self.view.borrow().splits().cloned());
            splits.retain(|split| self.reports_pools(&split.service));
        }
        PoolReport { streams, splits }
    }
}
