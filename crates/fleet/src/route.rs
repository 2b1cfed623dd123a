//! The configuration that routes requests: hosts and paths to services.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_state::id::ModelName;
use serde::{Deserialize, Serialize};

use crate::{configuration::ConfigurationVersion, customer::Customers};

/// The name of a service.
pub type ServiceName = String;

/// A configuration in force. Versions only rise.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutingConfiguration {
    /// Its version.
    pub version: ConfigurationVersion,
    /// All routes, in the order given.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Whose requests are taken; without any, requests need no key.
    pub customers: Customers,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repetition {
    /// It may run any number of times.
    Repeatable,
    /// It runs at most once for each try of its caller.
    AtMostOnce,
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it belongs to.
    pub host: String,
    /// What its paths begin with; it begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// How often its requests may run.
    pub repetition: Repetition,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// Whether a stream may go on at another engine after its last event.
    pub is_resumable: bool,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// Within this time, an answer is worth all.
    pub target_latency: Duration,
    /// The longest pause between events of a stream that is in time.
    pub gap: Option<Duration>,
    /// The rank, 0 the most urgent.
    pub priority: u8,
    /// Most endpoints that one try of a caller may run on.
    pub max_attempts: u32,
    /// Where its requests go, with weights.
    pub backends: Vec<Backend>,
}

/// One service that a route sends to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other backends.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Connections that one endpoint takes from all instances together.
    pub max_connections: u32,
    /// What its engines hold; none for a plain service.
    pub engine: Option<EngineGroup>,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineGroup {
    /// Requests at once.
    pub slots: u32,
    /// Tokens that running requests and kept prompts share.
    pub kv_tokens: u64,
    /// Places for adapters on one engine.
    pub adapter_slots: u32,
    /// Memory for weights on one engine, in megabytes.
    pub weights_mb: f64,
    /// Loads a second that the weight store allows all engines together.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<BaseModel>,
}

/// A base model of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// Its name.
    pub name: ModelName,
    /// The size of its weights, in megabytes.
    pub weights_mb: f64,
    /// How long a load from the weight store takes.
    pub load_time: Duration,
    /// How many adapters it has.
    pub adapter_count: u32,
    /// The size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for a head.
    pub header_time: Duration,
    /// How long a connection may rest.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Bounds until a configuration is known; those of HTTP servers at large.
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
    /// Returns the route of a host and path: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the services with engines.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &EngineGroup)> {
        self.services.iter().filter_map(|(name, service)| {
            service.engine.as_ref().map(|group| (name.as_str(), group))
        })
    }

    /// Returns what the engines of a service have in common.
    pub fn engine_group(&self, service: &str) -> Option<&EngineGroup> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl EngineGroup {
    /// Returns how many adapters an engine holds beside its base model: as
    /// many as it has places for, and as fit into its memory.
    pub fn adapter_places(&self) -> usize {
        let places = self.adapter_slots as usize;
        let fitting = self.models.iter().map(|model| {
            if model.adapter_mb <= 0.0 {
                return places;
            }
            let left = (self.weights_mb - model.weights_mb).max(0.0);
            // Sizes come as floating-point numbers; a part that is missing by
            // rounding alone is not missing.
            (left / model.adapter_mb + 1e-6) as usize
        });
        fitting.min().unwrap_or(places).min(places)
    }
}

impl Route {
    /// Returns the service for a request, by a number between 0 and 1 that is
    /// drawn for it.
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
