//! What goes into a shard and what comes out: grants, orders, ends, reports.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    admission::Refusal,
    id::{AdapterIdx, EngineIdx, RequestId},
    priority::Priority,
    queue::Request,
};

/// A request that was given a seat.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The adapter version.
    pub adapter: AdapterIdx,
    /// The engine.
    pub engine: EngineIdx,
    /// The class whose seat it holds.
    pub priority: Priority,
    /// When it was given.
    pub granted: Instant,
    /// When it may no longer be used to start.
    pub expires: Instant,
    /// The request, to put back if the engine turns it down.
    pub request: Request,
}

/// An order to an engine: load one adapter, unloading another first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The engine.
    pub engine: EngineIdx,
    /// The adapter version to load.
    pub adapter: AdapterIdx,
    /// The adapter version that leaves.
    pub evict: Option<AdapterIdx>,
}

/// What a shard wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Tell the entry to run a request on an engine.
    Grant {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineIdx,
        /// The adapter version.
        adapter: AdapterIdx,
        /// How long the request waited.
        waited: Duration,
        /// Whether it waited for its adapter to load.
        is_stalled: bool,
    },
    /// Tell the entry that a request was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason and when to come back.
        refusal: Refusal,
    },
    /// Send a load order.
    Load(LoadOrder),
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// It ran to its end, or its caller went away.
    Finished,
    /// The engine turned it down because it does not hold the adapter; it
    /// waits again.
    NotLoaded,
    /// The engine could not be connected to; it waits again.
    Unreachable,
    /// The engine failed; nobody knows how far it got.
    Failed,
}

/// One adapter in an engine's report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedSlot {
    /// The adapter version.
    pub adapter: AdapterIdx,
    /// Requests that run on it.
    pub running_len: u32,
}
