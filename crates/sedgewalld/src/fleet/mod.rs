//! An instance on an operator's platform.
//!
//! Each instance dispatches requests on its own, by its table of endpoints.
//! One instance at a time holds the lease on orders to engines. [`instance`]
//! holds the state that all tasks share. [`caller`], [`leader`],
//! [`list_watch`] with its object handlers, and [`notes`] build on it
//! independently of each other, and [`daemon`] starts them.

mod admit;
mod announcements;
mod attempt;
mod buffered_delivery;
mod buffers;
mod caller;
mod catch_up;
mod coalesced;
pub(crate) mod daemon;
mod datagram;
mod delivery;
mod endpoint_choice;
mod engine_pools;
mod forwarding;
mod freshness;
mod in_flight;
mod instance;
mod intake;
mod keys;
mod knowledge;
mod leader;
mod lease;
mod lease_store;
mod list_watch;
mod log_buffer;
mod note_sender;
mod notes;
mod notify;
mod open_attempts;
mod orders;
mod peers;
mod permits;
mod poison;
mod progress;
mod reach;
mod refusal;
mod relay;
mod request_body;
mod request_log;
mod retries;
mod stream_records;
mod streams;
mod version_records;
mod wait_queues;
mod waiting;
mod watch_configuration;
mod watch_endpoints;
mod watch_instances;
mod watch_poison;
