//! The decisions of sedgewall, as pure state.
//!
//! Everything here takes events and returns actions. Nothing here does I/O,
//! reads a clock or draws random numbers: the caller passes the time in as an
//! [`Instant`](sedgewall_clock::Instant), so that a replay in virtual time and a
//! daemon on a real clock run the same code.
//!
//! The crate leaves leases, membership and configuration versions to
//! `sedgewall-coordination`, and all wire formats to `sedgewall-protocol`.

pub mod action;
pub mod adapter;
pub mod admission;
pub mod allocation;
pub mod budget;
pub mod config;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod eviction;
pub mod health;
pub mod id;
pub mod load;
pub mod placement;
pub mod popularity;
pub mod priority;
pub mod queue;
pub mod report;
pub mod service;
pub mod settings;
pub mod shard;

pub use crate::{
    id::{
        AdapterIdx, AdapterName, AdapterVersion, CallerId, ConfigVersion,
        EndpointId, EngineIdx, Epoch, GroupName, Incarnation, InstanceId,
        ModelName, RequestId, ShardId, ZoneName,
    },
    priority::Priority,
    shard::{Shard, ShardAction},
};
