//! What the platform's list says about one endpoint.

use std::{net::SocketAddr, time::Duration};

use sedgewall_state::id::{EndpointId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    incarnation::Incarnation,
    route::ServiceName,
};

/// A revision of the platform's store, which counts each change.
pub type Revision = u64;

/// An endpoint, in one of its lives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// The store's revision at which its entry was last changed.
    pub revision: Revision,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens. Others may listen there after it is gone.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving; it gets no new work.
    pub is_draining: bool,
    /// How long it is still there, if it is taken away at short notice.
    pub remaining: Option<Duration>,
    /// The base models that it holds.
    pub models: Vec<HostedModel>,
    /// When this life of it began, if it says so. An instance of the release
    /// before does not pass it on.
    #[serde(default)]
    pub born: Option<Incarnation>,
}

/// A base model on an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostedModel {
    /// The model without an adapter.
    pub key: AdapterKey,
    /// The version of its weights.
    pub version: WeightVersion,
    /// The adapters that are ready, with their versions.
    pub adapters: Vec<(AdapterKey, WeightVersion)>,
}

impl Endpoint {
    /// Returns the same without the adapters that it holds, for whoever asks it
    /// for these anyway.
    pub fn without_adapters(&self) -> Endpoint {
        let mut endpoint = self.clone();
        for model in &mut endpoint.models {
            model.adapters.clear();
        }
        endpoint
    }
}

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The base models that it holds.
    pub models: Vec<HostedModel>,
    /// The adapters on their way to it.
    pub loading: Vec<(AdapterKey, WeightVersion)>,
    /// Whether it carries out an order that it can do only one of.
    pub is_busy: bool,
    /// The orders that it has taken in this life.
    pub orders_taken: u64,
    /// When its life began, if it says so.
    pub born: Option<Incarnation>,
}
