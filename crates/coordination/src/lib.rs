//! What the instances agree on, and how: leases, membership, configuration
//! versions and claims of idempotency keys.
//!
//! Everything here is pure: the platform's answers and the peers' messages
//! come in, requests to the platform and messages to peers go out. Agreement
//! rests on one thing only, the conditional update of the platform's object
//! API; no two of our own processes ever decide anything by themselves.
//!
//! Decisions about placement and queues belong to `sedgewall-state`.

pub mod claim;
pub mod config_version;
pub mod handover;
pub mod lease;
pub mod membership;
pub mod rendezvous;
pub mod timeline;
