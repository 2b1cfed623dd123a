//! The settings of the policy that operators can change.

use std::time::Duration;

/// The settings of the policy that operators can change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicySettings {
    /// The weight of avoiding stalls, which are requests that wait for their
    /// adapter to load. Only its ratio to `batch_weight` matters.
    pub stall_weight: f64,
    /// The weight of filling engines' batches, as opposed to spreading
    /// requests over engines. It does not concern
    /// [`Priority::Batch`](crate::Priority::Batch). Only its ratio to
    /// `stall_weight` matters.
    pub batch_weight: f64,
    /// The maximum number of waiting requests in one shard.
    pub queue_len: usize,
    /// The fraction of the queue that one caller may hold while the queue is
    /// at least half full.
    pub caller_share: f64,
    /// The waiting time after which a request is raised by one priority class.
    pub aging: Duration,
    /// The longest predicted wait that a new request of normal priority may
    /// have during a sustained overload. Requests with a longer one are
    /// refused at once.
    pub target_wait: Duration,
    /// The time within which an entry instance may start a granted request.
    pub grant_validity: Duration,
    /// The time without a report after which an engine gets no work.
    pub silent_after: Duration,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings {
            stall_weight: 0.7,
            batch_weight: 0.3,
            queue_len: 4_096,
            caller_share: 0.25,
            aging: Duration::from_secs(5),
            target_wait: Duration::from_millis(1_500),
            grant_validity: Duration::from_secs(2),
            silent_after: Duration::from_millis(2_500),
        }
    }
}

impl PolicySettings {
    /// Returns whether dispatch fills one engine's batch before it uses the
    /// next engine, instead of spreading requests over engines.
    pub fn prefers_full_batches(&self) -> bool {
        self.batch_weight > self.stall_weight
    }

    /// Returns how strongly work is spread over engines, from 1 if only stalls
    /// count to -1 if only full batches count.
    pub fn spread_preference(&self) -> f64 {
        let total = (self.stall_weight + self.batch_weight).max(0.001);
        (self.stall_weight - self.batch_weight) / total
    }

    /// Returns the time to drain an adapter's queue, as a multiple of the time
    /// of a load, above which loading a further replica is worthwhile.
    pub fn replica_threshold(&self) -> f64 {
        let total = (self.stall_weight + self.batch_weight).max(0.001);
        0.5 + 2.0 * self.batch_weight / total
    }
}
