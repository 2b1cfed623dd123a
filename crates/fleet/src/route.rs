//! The configuration that maps the hosts and paths of requests to services.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_state::id::ModelName;
use serde::{Deserialize, Serialize};

use crate::{configuration::ConfigurationVersion, customer::Customers};

/// The name of a service.
pub type ServiceName = String;

/// The routing configuration that is in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutingConfiguration {
    /// The version of the configuration, which only increases.
    pub version: ConfigurationVersion,
    /// All routes, in the order in which they are configured.
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The limits on requests of callers.
    pub limits: CallerLimits,
    /// The customers whose requests are accepted. If there are none, requests
    /// need no key.
    pub customers: Customers,
}

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repetition {
    /// The request may be executed any number of times.
    Repeatable,
    /// The request is executed at most once per attempt of its caller.
    AtMostOnce,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that the route belongs to.
    pub host: String,
    /// The prefix of the paths that the route matches; it begins and ends with
    /// a slash.
    pub path_prefix: String,
    /// Whether requests on the route need no key.
    pub is_public: bool,
    /// How often a request on the route may be executed.
    pub repetition: Repetition,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Whether an interrupted stream may be resumed on another engine after
    /// its last event.
    pub is_resumable: bool,
    /// The maximum time for which a request is held.
    pub timeout: Duration,
    /// The time within which a response has its full value.
    pub target_latency: Duration,
    /// The maximum time between two events of a stream that counts as timely.
    pub gap: Option<Duration>,
    /// The priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of endpoints on which one attempt of a caller may be
    /// executed.
    pub max_attempts: u32,
    /// The services that requests are distributed over, with their weights.
    pub backends: Vec<Backend>,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Backend {
    /// The name of the service.
    pub service: ServiceName,
    /// The service's share of the requests, relative to the other backends of
    /// the route.
    pub weight: f64,
}

/// The configuration of one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The maximum number of connections that one endpoint accepts from all
    /// instances together.
    pub max_connections: u32,
    /// What the service's engines have in common; `None` for a plain service.
    pub engine: Option<EngineGroup>,
}

/// The configuration that the engines of one service share.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineGroup {
    /// The number of requests that one engine processes concurrently.
    pub slots: u32,
    /// The capacity of the KV cache in tokens, shared by running requests and
    /// cached prompts.
    pub kv_tokens: u64,
    /// The maximum number of adapters on one engine.
    pub adapter_slots: u32,
    /// The memory for weights on one engine, in megabytes.
    pub weights_mb: f64,
    /// The rate of loads that the weight store allows to all engines together,
    /// per second.
    pub loads_per_s: f64,
    /// The base models that the engines serve.
    pub models: Vec<BaseModel>,
}

/// A base model of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// The name of the model.
    pub name: ModelName,
    /// The size of the model's weights, in megabytes.
    pub weights_mb: f64,
    /// The time that a load from the weight store takes.
    pub load_time: Duration,
    /// The number of adapters that exist for the model.
    pub adapter_count: u32,
    /// The size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// The limits on requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The maximum time that a request's header section may take to arrive.
    pub header_time: Duration,
    /// The maximum time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known, which are
    /// typical of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl RoutingConfiguration {
    /// Returns the route for a host and path. Of several matching routes, the
    /// one with the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the services that have engines, with the configuration of
    /// these.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &EngineGroup)> {
        self.services.iter().filter_map(|(name, service)| {
            service.engine.as_ref().map(|group| (name.as_str(), group))
        })
    }

    /// Returns whether any route to a service limits the gap between events.
    pub fn limits_gap(&self, service: &str) -> bool {
        self.routes.iter().any(|route| {
            route.gap.is_some()
                && route.backends.iter().any(|b| b.service == service)
        })
    }

    /// Returns the configuration of a service's engines; `None` for a plain
    /// service.
    pub fn engine_group(&self, service: &str) -> Option<&EngineGroup> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl EngineGroup {
    /// Returns how many adapters an engine can hold beside its base model, as
    /// limited by its adapter slots and its memory.
    pub fn adapter_places(&self) -> usize {
        let places = self.adapter_slots as usize;
        let fitting = self.models.iter().map(|model| {
            if model.adapter_mb <= 0.0 {
                return places;
            }
            let left = (self.weights_mb - model.weights_mb).max(0.0);
            // Sizes are floating-point numbers; the tolerance keeps a rounding
            // error from costing a slot.
            (left / model.adapter_mb + 1e-6) as usize
        });
        fitting.min().unwrap_or(places).min(places)
    }
}

impl Route {
    /// Returns whether requests on the route may go to a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.backends.iter().any(|backend| backend.service == service)
    }

    /// Returns the service for a request, given a random number between 0 and
    /// 1 that was drawn for the request.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: f64 = self.backends.iter().map(|b| b.weight).sum();
        let mut left = draw * total;
        for backend in &self.backends {
            left -= backend.weight;
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.iter().rfind(|b| b.weight > 0.0).map(|b| &b.service)
    }
}
