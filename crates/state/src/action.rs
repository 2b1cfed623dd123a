//! The inputs and outputs of a shard: grants, load orders, outcomes of
//! requests and reports of engines.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    admission::Refusal,
    id::{AdapterIdx, EngineIdx, RequestId},
    priority::Priority,
    queue::Request,
};

/// The assignment of a request to a seat on an engine.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The adapter version that the request runs on.
    pub adapter: AdapterIdx,
    /// The engine that runs the request.
    pub engine: EngineIdx,
    /// The priority class under which the seat is counted.
    pub priority: Priority,
    /// The time at which the grant was made.
    pub granted: Instant,
    /// The time from which the entry instance may no longer start the request.
    pub expires: Instant,
    /// The granted request, which is requeued if the engine rejects it.
    pub request: Request,
}

/// An order to an engine to load an adapter, after unloading another one if no
/// slot is empty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The engine that gets the order.
    pub engine: EngineIdx,
    /// The adapter version to load.
    pub adapter: AdapterIdx,
    /// The adapter version to unload first; `None` if a slot is empty.
    pub evict: Option<AdapterIdx>,
}

/// An action that the caller of a [`Shard`](crate::Shard) method must carry
/// out.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Tell the entry instance to run a request on an engine.
    Grant {
        /// The granted request.
        request: RequestId,
        /// The engine that runs the request.
        engine: EngineIdx,
        /// The adapter version that the request runs on.
        adapter: AdapterIdx,
        /// The time from the submission of the request to the grant.
        waited: Duration,
        /// Whether the adapter had no available replica when the request was
        /// submitted, so that the request waited for a load.
        is_stalled: bool,
    },
    /// Tell the entry instance that a request was refused and did not run.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// The reason, and the time after which the caller may retry.
        refusal: Refusal,
    },
    /// Send a load order to an engine.
    Load(LoadOrder),
}

/// The outcome of a granted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// The request ran to its end, or its caller disconnected.
    Finished,
    /// The engine rejected the request because it does not hold the adapter.
    /// The request is requeued.
    NotLoaded,
    /// The engine could not be connected to. The request is requeued.
    Unreachable,
    /// The engine failed while it ran the request. How much of the request ran
    /// is unknown, so it is not requeued.
    Failed,
}

/// One loaded adapter in the report of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedSlot {
    /// The adapter version that the engine holds.
    pub adapter: AdapterIdx,
    /// The number of requests that the engine runs on the adapter version.
    pub running_len: u32,
}
