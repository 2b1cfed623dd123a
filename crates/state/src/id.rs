//! Type aliases of identifiers.
//!
//! Names come from the configuration files of operators and stay strings.
//! Indices are dense and local to one shard leader, so that the policy indexes
//! vectors by them instead of hashing names.

/// The name of an adapter, unique in a configuration.
pub type AdapterName = String;

/// The version label of an adapter, unique within its adapter.
pub type AdapterVersion = String;

/// The index of one adapter version within one shard leader.
pub type AdapterIdx = u32;

/// The name of a base model.
pub type ModelName = String;

/// The name of a group of endpoints.
pub type GroupName = String;

/// The id that the platform gives to an endpoint.
pub type EndpointId = String;

/// The index of one engine within one shard leader.
pub type EngineIdx = u32;

/// The id that the platform gives to an instance of this daemon.
pub type InstanceId = String;

/// A random number that an instance draws at each start, which tells a
/// restarted instance from its predecessor of the same id.
pub type Incarnation = u64;

/// The name of an availability zone.
pub type ZoneName = String;

/// The name of a caller, as the caller sends it in its requests.
pub type CallerId = String;

/// The id of a shard: region, base model and index, joined by dots.
pub type ShardId = String;

/// The fencing token of a shard's lease. It increases with each new lease
/// holder, and every load order carries it.
pub type Epoch = u64;

/// The version of an accepted configuration, which never decreases.
pub type ConfigVersion = u64;

/// The id of a request: the incarnation of its entry instance in the high 64
/// bits, a sequence number in the low 64 bits.
pub type RequestId = u128;

/// Returns the id of the request to which the entry instance of an incarnation
/// gave a sequence number.
pub fn request_id(incarnation: Incarnation, sequence: u64) -> RequestId {
    (u128::from(incarnation) << 64) | u128::from(sequence)
}

/// Returns the incarnation of the entry instance that issued a request id.
pub fn request_incarnation(id: RequestId) -> Incarnation {
    (id >> 64) as Incarnation
}
