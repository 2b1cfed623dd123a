//! Messages between instances, encoded with MessagePack.
//!
//! Each message is idempotent, or carries what makes a duplicate harmless: a
//! request id, an epoch or an incarnation. Messages may be lost; the periodic
//! [`Running`] list repairs the state that a lost message leaves behind.
//!
//! In these messages, the entry is the instance that accepted a caller's
//! request, the leader is the instance that schedules the requests of a shard,
//! the claimer writes the claims of a partition of idempotency keys, and the
//! allocator divides the limits of the weight store among the leaders.

use std::time::Duration;

use sedgewall_coordination::{
    claim::{Claim, ClaimAnswer, PartitionIdx},
    config_version::ConfigHead,
    membership::Heartbeat,
    timeline::Stamp,
};
use sedgewall_state::{
    AdapterName, AdapterVersion, ConfigVersion, EndpointId, Epoch,
    Incarnation, InstanceId, Priority, RequestId, ShardId, admission::Refusal,
    allocation::StoreDemand, budget::StoreLimits,
};
use serde::{Deserialize, Serialize};

/// A message together with its sender and the incarnation of its addressee.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// The instance that sent the message.
    pub from: InstanceId,
    /// The sender's incarnation, which changes at each start of the process.
    pub incarnation: Incarnation,
    /// The incarnation of the addressee; `None` before the sender has received
    /// the addressee's first heartbeat.
    pub to_incarnation: Option<Incarnation>,
    /// The sender's hybrid logical timestamp.
    pub stamp: Stamp,
    /// The message itself.
    pub message: PeerMessage,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Entry to leader: submits a request to the shard's queue.
    Submit(Submit),
    /// Entry to leader: the caller cancelled a request.
    Cancel(RequestRef),
    /// Entry to leader: a granted request ended.
    Ended(Ended),
    /// Entry to leader: all requests of the entry at this leader.
    Running(Running),
    /// Leader to entry: a request was granted a seat.
    Granted(Granted),
    /// Leader to entry: a request was rejected.
    Refused(Refused),
    /// Leader to entry: the sender does not lead the shard.
    NotLeader(RequestRef),
    /// Entry to claimer: claims an idempotency key for a request.
    Claim(ClaimRequest),
    /// Entry to claimer: releases a claim, because the request was not run and
    /// never will be.
    ReleaseClaim(ClaimRequest),
    /// Claimer to entry: the answer to a claim.
    Claimed(ClaimReply),
    /// Leader to allocator: a shard's demand for the weight store.
    Demand(Demand),
    /// Allocator to leader: a shard's share of the weight store's limits, for
    /// a limited time.
    Allotted(Allotment),
    /// Asks a peer for the head of its configuration, or for chunks.
    AskConfig(AskConfig),
    /// The head of the sender's configuration and the requested chunks.
    ConfigPart(ConfigPart),
}

/// A request that waits to be granted a seat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Submit {
    /// The shard that schedules the request.
    pub shard: ShardId,
    /// The id of the request.
    pub request: RequestId,
    /// The requested adapter.
    pub adapter: AdapterName,
    /// The requested version of the adapter.
    pub version: AdapterVersion,
    /// The priority class of the request.
    pub priority: Priority,
    /// A hash of the caller's name.
    pub caller_hash: u64,
    /// The time that is left until the deadline.
    pub time_left: Duration,
    /// The time that the request has already waited at the entry.
    pub waited: Duration,
    /// The time of sending, in milliseconds on the entry's clock.
    pub stamp_ms: u64,
    /// The version of the configuration in which the entry found the adapter.
    pub config_version: ConfigVersion,
}

/// A reference to a request at a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRef {
    /// The shard that schedules the request.
    pub shard: ShardId,
    /// The id of the request.
    pub request: RequestId,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The request ran, its caller disconnected, or the engine rejected the
    /// request itself; the request is not queued again.
    Finished,
    /// The engine has not loaded the adapter; the request is queued again.
    NotLoaded,
    /// No connection to the engine could be made; the request is queued again.
    Unreachable,
    /// The engine or the connection to it failed.
    Failed,
}

/// The end of a granted request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// The shard that granted the request.
    pub shard: ShardId,
    /// The id of the request.
    pub request: RequestId,
    /// How the request ended.
    pub end: EndKind,
}

/// A measured time to first token, as evidence about an engine's health.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FirstToken {
    /// The engine that served the request.
    pub endpoint: EndpointId,
    /// The time from sending the request to the first bytes of the response.
    pub took: Duration,
}

/// The details of a request that runs on a grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The engine that runs the request.
    pub endpoint: EndpointId,
    /// The adapter that the request uses.
    pub adapter: AdapterName,
    /// The version of the adapter.
    pub version: AdapterVersion,
    /// The priority class of the request.
    pub priority: Priority,
}

/// The list of requests that an entry runs on grants of one shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Running {
    /// The shard that granted the requests.
    pub shard: ShardId,
    /// The leader's epoch, as far as the entry knows.
    pub epoch: Epoch,
    /// The ids of all requests, sorted.
    pub ids: Vec<RequestId>,
    /// The details of the requests, sent only to a leader that is new to the
    /// entry.
    pub details: Vec<RunningRequest>,
    /// The times to first token since the previous list. They have no message
    /// of their own, because each message costs the leader about 0.1 ms.
    pub first_tokens: Vec<FirstToken>,
}

/// A grant of a seat, one place in an engine's batch, to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Granted {
    /// The shard that grants the request.
    pub shard: ShardId,
    /// The id of the request.
    pub request: RequestId,
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The engine that the request may run on.
    pub endpoint: EndpointId,
    /// The address of the engine.
    pub address: String,
    /// The time at which the grant expires, in milliseconds on the entry's own
    /// clock.
    pub valid_until_stamp_ms: u64,
}

/// The rejection of a request by a leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refused {
    /// The shard that rejects the request.
    pub shard: ShardId,
    /// The leader's epoch; rejections of a deposed leader are ignored.
    pub epoch: Epoch,
    /// The id of the request.
    pub request: RequestId,
    /// The reason, and when to retry.
    pub refusal: Refusal,
}

/// A claim for the log of a partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The partition of the claimed key.
    pub partition: PartitionIdx,
    /// The claimed key and the request that claims it.
    pub claim: Claim,
}

/// A shard's demand for the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// The shard with the demand.
    pub shard: ShardId,
    /// The requests and adapters that wait for a load.
    pub demand: StoreDemand,
    /// The time of sending, in milliseconds on the leader's clock.
    pub stamp_ms: u64,
}

/// A shard's share of the weight store's limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allotment {
    /// The shard that receives the allotment.
    pub shard: ShardId,
    /// The epoch of the allocator's lease.
    pub epoch: Epoch,
    /// The limits allotted to the shard.
    pub limits: StoreLimits,
    /// The `stamp_ms` of the demand, from which on the allotment is valid.
    pub stamp_ms: u64,
}

/// The answer to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimReply {
    /// The id of the request that made the claim.
    pub request: RequestId,
    /// Whether the request may run.
    pub answer: ClaimAnswer,
}

/// A request for a peer's configuration.
///
/// The request carries no version: the peer replies with its own head, and the
/// sender of this request compares the versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AskConfig {
    /// The names of the requested chunks; empty to request only the head.
    pub chunks: Vec<String>,
}

/// A configuration head with some chunks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPart {
    /// The head of the sender's configuration.
    pub head: ConfigHead,
    /// The requested chunks that the sender has.
    pub chunks: Vec<ChunkPart>,
}

/// One chunk in a [`ConfigPart`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkPart {
    /// The name of the chunk, which is the hash of its content.
    pub hash: String,
    /// The content of the chunk.
    pub content: Vec<u8>,
}

/// An error in encoding or decoding a message.
#[derive(Debug, displaydoc::Display)]
pub enum MessageError {
    /// cannot encode a message: {0}
    Encode(rmp_serde::encode::Error),
    /// cannot decode a message of {len} bytes: {source}
    Decode {
        /// The length of the message in bytes.
        len: usize,
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
}

impl std::error::Error for MessageError {}

impl Envelope {
    /// Encodes the message as MessagePack.
    ///
    /// # Errors
    ///
    /// When the encoder fails, which it does for none of these messages.
    pub fn to_bytes(&self) -> Result<Vec<u8>, MessageError> {
        rmp_serde::to_vec(self).map_err(MessageError::Encode)
    }

    /// Decodes a message from MessagePack.
    ///
    /// # Errors
    ///
    /// When the bytes are not a message in the format of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Envelope, MessageError> {
        rmp_serde::from_slice(bytes).map_err(|source| MessageError::Decode {
            len: bytes.len(),
            source,
        })
    }
}
