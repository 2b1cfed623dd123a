//! Sockets: HTTP towards callers, endpoints, operators and the platform, and
//! `nng` between instances.
//!
//! This crate moves bytes and typed messages and tells precisely how a call
//! failed; it retries nothing. Everything runs on the one compio loop of the
//! process, apart from nng's own threads, which hand over to the loop through
//! a channel.

pub mod body;
pub mod client;
pub mod engine_client;
pub mod peer;
pub mod platform_client;
pub mod pool;
pub mod server;

pub use crate::{
    body::LocalBody,
    client::{CallError, HttpClient},
    engine_client::EngineClient,
    peer::{PeerListener, PeerSender},
    platform_client::{PlatformClient, PlatformError},
    pool::{
        EndpointPool, PooledBody, PooledResponse, ProbeOutcome, SendError,
    },
    server::{Handler, ServerLimits, Stop, serve, serve_until, stop_signal},
};
