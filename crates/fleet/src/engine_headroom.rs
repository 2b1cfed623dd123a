//! What each engine can take, worked out once in a look at demand.

use std::{net::SocketAddr, time::Duration};

use sedgewall_state::id::{EndpointId, ModelName, ZoneName};

use crate::adapter::AdapterKey;

/// What one engine can take in this look.
#[derive(Clone, Debug)]
pub(crate) struct EngineHeadroom {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) models: Vec<ModelName>,
    /// Whether its slots are nearly all taken.
    pub(crate) is_full: bool,
    /// How long it reads prompts before a new one's turn.
    pub(crate) backlog: Duration,
    /// What it has to do, in parts of its slots ([`FleetView::pressure`]).
    ///
    /// [`FleetView::pressure`]: crate::view::FleetView::pressure
    pub(crate) pressure: f64,
    /// Requests a second that its adapters stand for, an adapter's shared
    /// among those that hold it.
    pub(crate) rate_per_s: f64,
    pub(crate) next_slot: NextSlot,
}

/// The next place for an adapter on an engine.
#[derive(Clone, Debug)]
pub(crate) enum NextSlot {
    /// All are taken by what may be in use, or enough is on its way.
    None,
    /// One is free.
    Free,
    /// One is free once this adapter has left, which is asked for so often a
    /// second.
    AfterEvicting(AdapterKey, f64),
}
