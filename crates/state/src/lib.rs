//! The scheduling policy of shards with leaders, as a state machine without
//! I/O.
//!
//! The methods of [`Shard`] that handle events append the resulting actions to
//! a list, for the caller to carry out. The crate does no I/O, reads no clock
//! and draws no random numbers: the caller passes the time as an
//! [`Instant`](sedgewall_clock::Instant), so that a replay in virtual time and
//! a daemon on a real clock run the same code.
//!
//! Leases, membership and configuration versions belong to
//! `sedgewall-coordination`, and all wire formats to `sedgewall-protocol`.
//!
//! # Terms
//!
//! - An *engine* is a model server that runs requests for one base model. It
//!   has *slots*, each of which holds one adapter version, and *seats*: the
//!   number of requests that it runs in one batch.
//! - A *shard* is a set of engines of one base model in one region. One
//!   instance, its *leader*, decides for all of them.
//! - An *entry instance* (`entry` in identifiers) is the instance that
//!   accepted a request from a caller. It submits the request to the leader
//!   and sends it to the engine that the leader names.
//! - A *grant* assigns a request to a seat on an engine.
//! - The *weight store* holds the weights of adapters. A *load* copies them to
//!   an engine. All shards share the store's limits.

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
pub mod plain_service;
pub mod popularity;
pub mod priority;
pub mod queue;
pub mod report;
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
