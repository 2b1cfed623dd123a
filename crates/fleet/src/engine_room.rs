//! What each engine can take, worked out once in a look at demand.

use std::net::SocketAddr;

use sedgewall_state::id::{EndpointId, ModelName, ZoneName};

use crate::adapter::AdapterKey;

/// What one engine can take in this look.
#[derive(Clone, Debug)]
pub(crate) struct EngineRoom {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) models: Vec<ModelName>,
    /// Requests under way, as a part of its slots.
    pub(crate) load: f64,
    /// Requests a second that its adapters stand for, an adapter's shared
    /// among those that hold it.
    pub(crate) rate_per_s: f64,
    pub(crate) place: Place,
}

/// The next place for an adapter on an engine.
#[derive(Clone, Debug)]
pub(crate) enum Place {
    /// All are taken by what may be in use, or enough is on its way.
    None,
    /// One is free.
    Free,
    /// One is free once this adapter has left, which is asked for so often a
    /// second.
    Of(AdapterKey, f64),
}
