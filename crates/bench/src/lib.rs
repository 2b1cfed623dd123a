//! Stand-ins for what surrounds sedgewall, and tools that load and measure
//! it. Nothing here is shipped.
//!
//! The stand-ins speak the published interfaces as `sedgewall-protocol`
//! defines them, and count broken rules themselves, so that a fault in our
//! own book-keeping cannot hide one.

pub mod cluster;
pub mod content;
pub mod engine;
pub mod herd;
pub mod http;
pub mod load;
pub mod object_api;
pub mod plain_service;
pub mod replay;
pub mod weight_store;
