//! The interface of engines: completions, orders to load and unload adapters,
//! and status reports.

use sedgewall_state::{AdapterName, AdapterVersion, Epoch, ModelName};
use serde::{Deserialize, Serialize};

/// The path of completions, other than chat completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";

/// The path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// The path of orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// The path of the engine's status report.
pub const REPORT_PATH: &str = "/v1/report";

/// The header of an engine's error response that says whether the request ran.
pub const RUN_STATE_HEADER: &str = "x-run-state";

/// The value of [`RUN_STATE_HEADER`] for a request that did not run.
pub const NOT_RUN: &str = "not_run";

/// The header with the index of the token at which a stream resumes, counted
/// from 0.
pub const RESUME_HEADER: &str = "x-resume-from";

/// The data of the last event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// An adapter version in orders and reports.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct EngineAdapter {
    /// The name of the adapter.
    pub adapter: AdapterName,
    /// The version of the adapter.
    pub version: AdapterVersion,
}

/// An order to unload one adapter and then load another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The epoch of the leader that sends the order, as a fencing token.
    pub epoch: Epoch,
    /// The base model of the adapters.
    pub base_model: ModelName,
    /// The adapter to load, if any.
    pub load: Option<EngineAdapter>,
    /// The adapter to unload first, if any.
    pub unload: Option<EngineAdapter>,
    /// Whether the adapter may be unloaded only while no request runs on it.
    pub only_if_idle: bool,
}

/// The reason why an engine did not carry out an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderFailure {
    /// The engine has received orders of a later epoch.
    OldEpoch,
    /// Requests run on the adapter to unload.
    Busy,
    /// No adapter slot is free.
    NoSlot,
    /// The weights could not be loaded from the weight store.
    LoadFailed,
}

/// The response to an order that was not carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderError {
    /// The reason of the failure.
    pub failure: OrderFailure,
    /// A description for operators.
    pub detail: String,
}

/// The state of one adapter slot in a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReport {
    /// The adapter version that occupies the slot.
    #[serde(flatten)]
    pub adapter: EngineAdapter,
    /// Whether the adapter is loaded and can serve requests.
    pub is_ready: bool,
    /// The number of requests that run on the adapter.
    pub running_len: u32,
}

/// The status report of an engine, which lags behind its actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineReport {
    /// An identifier that changes at each start of the engine.
    pub boot: u64,
    /// The occupied adapter slots.
    pub slots: Vec<SlotReport>,
    /// The number of running requests.
    pub running_len: u32,
    /// The number of requests that are paused at present in favour of more
    /// urgent ones.
    pub paused_len: u32,
    /// The number of batch steps since the start.
    pub steps: u64,
    /// The number of tokens generated since the start.
    pub tokens: u64,
    /// The sum of the seats (places in the batch) of all steps since the
    /// start; `tokens / step_seats` is the average utilisation of the batch.
    pub step_seats: u64,
    /// The number of rule violations that the engine has observed, such as the
    /// unload of an adapter in use.
    pub violations: u64,
}
