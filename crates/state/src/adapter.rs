//! What the shard knows of one adapter version.
//!
//! The replica list is the only place that says where an adapter is; a slot of
//! an engine says the same from the other side, and [`Shard`](crate::Shard)
//! changes both together.

use sedgewall_clock::Instant;

use crate::{id::EngineIdx, popularity::Popularity, queue::AdapterQueue};

/// One adapter version within a shard.
#[derive(Clone, Debug, Default)]
pub struct Adapter {
    /// How often it is asked for.
    pub popularity: Popularity,
    /// What waits for it.
    pub queue: AdapterQueue,
    /// The engines on which it is ready.
    pub ready: Vec<EngineIdx>,
    /// The engines on which it is being loaded.
    pub loading: Vec<EngineIdx>,
    /// Requests per second that an operator expects, until
    /// [`expected_until`](Adapter::expected_until).
    pub expected_rate_per_s: f64,
    /// When the operator's expectation ends.
    pub expected_until: Option<Instant>,
    /// Failed loads in a row.
    pub load_failures: u32,
    /// No load is tried before this time.
    pub load_after: Option<Instant>,
    /// Whether the configuration still names it.
    pub is_configured: bool,
}

impl Adapter {
    /// Returns the expected requests per second, an operator's declared spike
    /// included.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        let seen = self.popularity.rate_per_s(now);
        match self.expected_until {
            Some(until) if now < until => seen.max(self.expected_rate_per_s),
            _ => seen,
        }
    }

    /// Returns whether some engine holds it or is loading it.
    pub fn is_placed(&self) -> bool {
        !self.ready.is_empty() || !self.loading.is_empty()
    }

    /// Returns whether a load may be tried now.
    pub fn may_load(&self, now: Instant) -> bool {
        self.load_after.is_none_or(|after| after <= now)
    }
}
