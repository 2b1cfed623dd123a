//! The shard's state of one adapter version.
//!
//! An adapter's lists of replicas, [`Adapter::ready`] and
//! [`Adapter::loading`], and the slots of the engines record the same
//! placement from two sides. [`Shard`](crate::Shard) always changes both
//! together.

use sedgewall_clock::Instant;

use crate::{id::EngineIdx, popularity::Popularity, queue::AdapterQueue};

/// One adapter version within a shard.
#[derive(Clone, Debug, Default)]
pub struct Adapter {
    /// The recent rate of requests for the adapter.
    pub popularity: Popularity,
    /// The requests that wait for the adapter.
    pub queue: AdapterQueue,
    /// The engines that hold the adapter, including those that drain it.
    pub ready: Vec<EngineIdx>,
    /// The engines that are loading the adapter.
    pub loading: Vec<EngineIdx>,
    /// The requests per second that an operator declared, which count until
    /// [`expected_until`](Adapter::expected_until).
    pub expected_rate_per_s: f64,
    /// The end of the spike that an operator declared.
    pub expected_until: Option<Instant>,
    /// The number of consecutive failed loads, on any engine.
    pub load_failures: u32,
    /// The end of the back-off after failed loads; no load starts before it.
    pub load_after: Option<Instant>,
    /// Whether the current configuration contains the adapter version.
    pub is_configured: bool,
}

impl Adapter {
    /// Returns the expected requests per second: the observed rate, or the
    /// rate of a spike that an operator declared if that is higher.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        let seen = self.popularity.rate_per_s(now);
        match self.expected_until {
            Some(until) if now < until => seen.max(self.expected_rate_per_s),
            _ => seen,
        }
    }

    /// Returns whether an engine holds the adapter or is loading it.
    pub fn is_placed(&self) -> bool {
        !self.ready.is_empty() || !self.loading.is_empty()
    }

    /// Returns whether no back-off forbids a load of the adapter now.
    pub fn may_load(&self, now: Instant) -> bool {
        self.load_after.is_none_or(|after| after <= now)
    }
}
