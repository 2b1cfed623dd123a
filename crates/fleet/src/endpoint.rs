//! Endpoints as the platform's store lists them, and the reports of engines.

use std::{fmt, net::SocketAddr, time::Duration};

use sedgewall_state::id::{EndpointId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    incarnation::Incarnation,
    revision::Revision,
    route::ServiceName,
};

/// An endpoint, in one incarnation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// The endpoint's id, which a restarted endpoint may use again.
    pub id: EndpointId,
    /// The store's revision at which the endpoint's entry was last changed.
    pub revision: Revision,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address on which the endpoint listens. Another endpoint may listen
    /// on the same address after this one is gone.
    pub address: SocketAddr,
    /// The availability zone that the endpoint runs in.
    pub zone: ZoneName,
    /// The number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining; a draining endpoint gets no new
    /// requests.
    pub is_draining: bool,
    /// The time until the endpoint is terminated, if it was preempted at short
    /// notice.
    pub remaining: Option<Duration>,
    /// The base models that the endpoint serves.
    pub models: Vec<HostedModel>,
    /// The incarnation's start time, if the endpoint reports one. An instance
    /// of the previous release does not pass it on.
    #[serde(default)]
    pub born: Option<Incarnation>,
    /// The version of the endpoint's software, if its own entry was read.
    /// Instances do not pass it on, because those of the previous release
    /// reject additional fields.
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
}

/// The version of the software that an endpoint runs. Versions have no order.
/// What two versions write in one stream does not fit together.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct SoftwareVersion(pub String);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A base model that an engine serves, with its loaded adapters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostedModel {
    /// The key of the base model, without an adapter.
    pub key: AdapterKey,
    /// The version of the base model's weights.
    pub version: WeightVersion,
    /// The loaded adapters, with their versions.
    pub adapters: Vec<(AdapterKey, WeightVersion)>,
}

impl Endpoint {
    /// Returns a copy without the adapters, for instances that get these from
    /// the engine's report instead.
    pub fn without_adapters(&self) -> Endpoint {
        let mut endpoint = self.clone();
        for model in &mut endpoint.models {
            model.adapters.clear();
        }
        endpoint
    }
}

/// An engine's own report of its state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The base models that the engine serves, with their loaded adapters.
    pub models: Vec<HostedModel>,
    /// The adapters that are being loaded, with their versions.
    pub loading: Vec<(AdapterKey, WeightVersion)>,
    /// Whether the engine is executing an order of a kind of which it executes
    /// only one at a time.
    pub is_busy: bool,
    /// The number of orders ([`Order`](crate::order::Order)) that the engine
    /// has accepted since it was last started.
    pub orders_taken: u64,
    /// The incarnation's start time, if the engine reports one.
    pub born: Option<Incarnation>,
}
