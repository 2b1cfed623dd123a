//! Network transport: HTTP to callers, endpoints, operators and the platform,
//! and `nng` links between instances.
//!
//! The crate sends and receives bytes and typed messages, and its errors say
//! whether a failed call can have taken effect; it retries no call. Everything
//! runs on the process's single compio event loop, apart from nng's own
//! threads, which pass messages to the event loop through a channel.

pub mod body;
pub mod client;
pub mod connection;
mod endpoint_stream;
pub mod engine_client;
pub mod peer;
pub mod platform_client;
pub mod pool;
mod response_head;
pub mod server;
pub mod shutdown;
mod turn;

pub use crate::{
    body::LocalBody,
    client::{CallError, HttpClient},
    connection::{CloseReason, Closed},
    engine_client::EngineClient,
    peer::{PeerListener, PeerSender},
    platform_client::{PlatformClient, PlatformError},
    pool::{
        EndpointPool, PooledBody, PooledResponse, ProbeOutcome, SendError,
    },
    response_head::BodyFraming,
    server::{
        Handler, OpenConnections, Overload, Server, ServerLimits,
        SlowClientLimits, serve,
    },
    shutdown::{
        Announced, Closing, NotAccepting, Running, Shutdown, ShutdownWatch,
        shutdown,
    },
};
