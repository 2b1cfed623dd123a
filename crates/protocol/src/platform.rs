//! The interface of the platform: the object API and the instance list.
//!
//! Objects are read with `GET`, changed with `PUT` and `If-Match` or
//! `If-None-Match: *`, and watched by long polling with `GET`, `If-None-Match`
//! and `Prefer: wait` (RFC 9110, RFC 7240). The entity tag is the object's
//! version.

use sedgewall_coordination::{
    claim::{PartitionIdx, SegmentIdx},
    lease::ObjectVersion,
};
use serde::{Deserialize, Serialize};

/// The path prefix of objects.
pub const OBJECTS_PATH: &str = "/objects/";

/// The path of listings of the objects under a prefix.
pub const LIST_PATH: &str = "/list";

/// The path of the instance list.
pub const INSTANCES_PATH: &str = "/instances";

/// The key of the configuration head.
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// The prefix of the keys of all leases.
pub const LEASES_PREFIX: &str = "leases/";

/// Returns the key of a configuration chunk.
pub fn chunk_key(hash: &str) -> String {
    format!("config/chunks/{hash}")
}

/// Returns the key of a shard's lease.
pub fn lease_key(shard: &str) -> String {
    format!("{LEASES_PREFIX}{shard}")
}

/// Returns the prefix of the keys of a partition's claim log.
pub fn claims_prefix(partition: PartitionIdx) -> String {
    format!("claims/{partition:02}/")
}

/// Returns the key of a segment in a partition's claim log. The index is
/// zero-padded, so that keys sort in the order of the log.
pub fn segment_key(partition: PartitionIdx, idx: SegmentIdx) -> String {
    format!("{}{idx:012}", claims_prefix(partition))
}

/// Returns the index of a segment from its key, or `None` if the key does not
/// end in a number.
pub fn segment_idx(key: &str) -> Option<SegmentIdx> {
    key.rsplit('/').next()?.parse().ok()
}

/// One object in a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// The key of the object.
    pub key: String,
    /// The version of the object.
    pub version: ObjectVersion,
    /// The value of the object, as text.
    pub value: String,
}

/// One page of a listing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectList {
    /// The revision, which rises with each change under the prefix.
    pub revision: u64,
    /// The objects of this page, sorted by key.
    pub objects: Vec<ListedObject>,
    /// The key at which the next page starts, if there is one.
    pub next: Option<String>,
}
