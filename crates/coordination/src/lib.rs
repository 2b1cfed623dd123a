//! Agreement between instances: leases, membership, configuration versions
//! and claims of idempotency keys.
//!
//! This crate performs no I/O. Its types take responses of the platform and
//! messages of peers as input, and return the requests and messages to send.
//! Agreement relies only on conditional updates (compare-and-swap) in the
//! platform's object API; instances run no consensus protocol among
//! themselves.
//!
//! Placement and queueing are decided in `sedgewall-state`.

pub mod claim;
pub mod config_version;
pub mod handover;
pub mod lease;
pub mod membership;
pub mod rendezvous;
pub mod timeline;
