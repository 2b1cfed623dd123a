//! The interface for operators: the status of an instance, its timeline, and
//! explanations of placement decisions.

use sedgewall_state::{
    ConfigVersion, Epoch, Incarnation, InstanceId, ShardId, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The path of an instance's status.
pub const STATUS_PATH: &str = "/v1/status";

/// The path of an instance's event timeline.
pub const TIMELINE_PATH: &str = "/v1/timeline";

/// The path of explanations why an adapter is placed where it is.
pub const EXPLAIN_PATH: &str = "/v1/explain";

/// The path that makes an instance drain: it finishes its requests and then
/// stops.
pub const DRAIN_PATH: &str = "/v1/drain";

/// The path of the condemned features: those of requests that crash endpoints.
pub const POISON_PATH: &str = "/v1/poison";

/// The path of the measurements of an instance's event loop.
pub const LOOP_PATH: &str = "/v1/loop";

/// How late the event loop of an instance is, and why.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoopStatus {
    /// How long what is handled now may have waited since it was ready, in
    /// milliseconds.
    pub delay_ms: f64,
    /// The longest delay of the last 10 s, in milliseconds.
    pub max_delay_ms: f64,
    /// The longest turn of the last 10 s, in milliseconds.
    pub longest_turn_ms: f64,
    /// The kind of work that most of that turn was spent on.
    pub longest_work: Option<String>,
    /// The time that it was spent on this work, in milliseconds.
    pub longest_work_ms: f64,
    /// The number of requests that were received and are not fully answered.
    pub open_requests: usize,
    /// The number of them that were read and have not begun.
    #[serde(default)]
    pub waiting_requests: usize,
    /// The kinds of work, the one with the largest total first.
    pub work: Vec<WorkStatus>,
}

/// The time that an event loop has spent on one kind of work.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkStatus {
    /// The name of the kind of work.
    pub name: String,
    /// The total since the start of the process, in milliseconds.
    pub total_ms: f64,
    /// The longest piece without a break, in milliseconds.
    pub longest_ms: f64,
}

/// A feature that requests which crash endpoints have in common.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoisonFeature {
    /// The digest of the feature, by which it is released.
    pub digest: String,
    /// The id of the part of prompts that the feature stands for, if the
    /// instance has seen a request with it. None for a whole request.
    pub part: Option<String>,
    /// The endpoints that crashed under such requests.
    pub endpoints: Vec<String>,
    /// Time since the feature was condemned, in milliseconds.
    pub condemned_ms_ago: u64,
    /// Time until such requests are tried again, in milliseconds.
    pub released_in_ms: u64,
}

/// The status of one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Whether the instance accepts new requests.
    pub is_ready: bool,
    /// Whether the instance is shutting down.
    pub is_leaving: bool,
    /// Whether the platform answered the instance's last call.
    pub is_platform_reached: bool,
    /// The number of requests that the instance holds, waiting or running.
    pub requests_len: usize,
    /// The resident memory of the process, in bytes.
    pub resident_bytes: u64,
    /// The processor time used since the start of the process, in
    /// milliseconds.
    pub cpu_ms: u64,
    /// The peers that the instance considers live.
    pub live_peers: Vec<InstanceId>,
    /// The shards that the instance leads.
    pub led_shards: Vec<ShardStatus>,
    /// The leader of each shard, as far as the instance knows.
    pub leaders: Vec<LeaderStatus>,
}

/// The leader of a shard, as far as an instance knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// The shard that is led.
    pub shard: ShardId,
    /// The instance that leads the shard.
    pub leader: InstanceId,
    /// The epoch of the leader's lease.
    pub epoch: Epoch,
}

/// The status of a shard, as its leader sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardStatus {
    /// The name of the shard.
    pub shard: ShardId,
    /// The epoch of the leader's lease.
    pub epoch: Epoch,
    /// The number of queued requests.
    pub waiting_len: usize,
    /// The number of requests that were granted a seat.
    pub granted_len: usize,
    /// The number of adapter loads in progress.
    pub loads_in_flight: u32,
    /// The engines that serve the shard.
    pub engines: Vec<EngineStatus>,
}

/// The status of an engine, as the leader of its shard sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineStatus {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The health state of the engine.
    pub health: String,
    /// The number of requests that were granted a seat on the engine.
    pub running_len: u32,
    /// The number of seats, the maximum number of requests in a batch.
    pub seats: u32,
    /// The adapters in the engine's slots.
    pub adapters: Vec<String>,
}

/// An explanation why an adapter is placed where it is, by the leader of its
/// shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AdapterExplanation {
    /// The adapter and version, as `adapter@version`.
    pub adapter: String,
    /// The shard that the adapter belongs to.
    pub shard: ShardId,
    /// The expected rate of requests, per second.
    pub rate_per_s: f64,
    /// The number of requests that are queued for the adapter.
    pub waiting_len: u32,
    /// The engines on which the adapter is ready.
    pub ready_on: Vec<String>,
    /// The engines that are loading the adapter.
    pub loading_on: Vec<String>,
    /// The number of consecutive failed loads.
    pub load_failures: u32,
    /// The next action of the placement policy for the adapter, in a sentence.
    pub next: String,
}
