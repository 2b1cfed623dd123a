//! An instance on an operator's platform.
//!
//! Each instance dispatches by itself on a table of endpoints; one of them at
//! a time holds the lease on orders to engines. [`instance`] holds what all parts
//! share; [`caller`], [`leader`], [`list_watch`] with its three kinds of followers,
//! and [`notes`] stand beside each other above it, and [`daemon`] starts them.

mod admit;
mod announcements;
mod attempt;
mod caller;
mod catch_up;
pub(crate) mod daemon;
mod in_flight;
mod instance;
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
mod orders;
mod peers;
mod permits;
mod poison;
mod refusal;
mod relay;
mod request_log;
mod watch_configuration;
mod watch_endpoints;
mod watch_instances;
mod watch_poison;
