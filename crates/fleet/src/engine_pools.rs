//! Splits the engines of a service into one pool that prefills long prompts
//! and one that runs the other requests.
//!
//! An engine prefills a prompt in chunks between the steps of its streams.
//! Where a chunk takes long, several in a row delay every stream on the engine
//! beyond the gap that its route allows. The lease holder decides per service
//! whether to split and how; all instances choose endpoints and place adapters
//! by that split. The invariant: without a split, nothing depends on pools.

use std::time::Duration;

use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::route::ServiceName;

/// The prefill time from which a prompt counts as long.
pub const LONG_PREFILL: Duration = Duration::from_millis(100);

/// The class of a request, by what it does to the engine that runs it.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub enum RequestClass {
    /// The prompt is prefilled within about one step of the running streams.
    Short,
    /// The prompt takes [`LONG_PREFILL`] or longer to prefill.
    Long,
}

/// The split of one service's engines, as the lease holder announces it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolSplit {
    /// The service.
    pub service: ServiceName,
    /// The fraction of the engines that prefill long prompts; zero means no
    /// split.
    pub prefill_fraction: f64,
}

/// The streams of one service that ended at an instance since its last report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StreamReport {
    /// The service.
    pub service: ServiceName,
    /// Number of streams that ended.
    pub ended: u32,
    /// Number of those with a gap between events that exceeded what their
    /// route allows.
    pub delayed: u32,
}

impl PoolSplit {
    /// Returns the class of requests that an engine is for, or `None` without
    /// a split. Membership follows from the endpoint's id, so that instances
    /// agree on it without a table.
    pub fn class_of(&self, endpoint: &EndpointId) -> Option<RequestClass> {
        if self.prefill_fraction <= 0.0 {
            return None;
        }
        let hash = xxh3_64(endpoint.as_bytes()) as f64 / u64::MAX as f64;
        Some(match hash < self.prefill_fraction {
            true => RequestClass::Long,
            false => RequestClass::Short,
        })
    }
}
