//! The capacity that each engine has left, computed once per planning pass.

use std::{net::SocketAddr, time::Duration};

use sedgewall_state::id::{EndpointId, ModelName, ZoneName};

use crate::adapter::AdapterKey;

/// What one engine can take on in this planning pass.
#[derive(Clone, Debug)]
pub(crate) struct EngineHeadroom {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) models: Vec<ModelName>,
    /// Whether nearly all of the engine's slots are in use.
    pub(crate) is_full: bool,
    /// The time that the engine needs for queued prompts before it starts on a
    /// new one.
    pub(crate) backlog: Duration,
    /// The engine's load as a fraction of its slots, plus its prefill backlog
    /// ([`FleetView::pressure`]).
    ///
    /// [`FleetView::pressure`]: crate::view::FleetView::pressure
    pub(crate) pressure: f64,
    /// The request rate of the engine's adapters, in requests per second. The
    /// rate of an adapter is divided evenly among the engines that hold it.
    pub(crate) rate_per_s: f64,
    pub(crate) next_slot: NextSlot,
}

/// The slot that the next adapter on an engine would take.
#[derive(Clone, Debug)]
pub(crate) enum NextSlot {
    /// None is available: all are occupied by adapters that may be in use, or
    /// enough loads are in progress.
    None,
    /// A free slot.
    Free,
    /// The slot of this adapter, which has to be evicted first, and the
    /// adapter's request rate per second.
    AfterEvicting(AdapterKey, f64),
}
