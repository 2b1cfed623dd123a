//! What operators can tell the policy.

use std::time::Duration;

/// What the policy can be told by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicySettings {
    /// How much load stalls count, against `batch_weight`.
    pub stall_weight: f64,
    /// How much full batches count, against `stall_weight`.
    pub batch_weight: f64,
    /// Requests that may wait in one shard.
    pub queue_len: usize,
    /// The part of the queue that one caller may hold once it is half full.
    pub caller_share: f64,
    /// Waiting this long lifts a request by one class.
    pub aging: Duration,
    /// In a lasting overload, requests of normal priority that would wait
    /// longer than this are refused at once.
    pub target_wait: Duration,
    /// How long a grant may be used after it was given.
    pub grant_validity: Duration,
    /// An engine without a report for this long gets no work.
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
    /// Returns whether seats are filled engine by engine rather than spread.
    pub fn prefers_full_batches(&self) -> bool {
        self.batch_weight > self.stall_weight
    }

    /// Returns how far work is spread over engines: 1 if only stalls count, -1
    /// if only full batches do.
    pub fn spread_preference(&self) -> f64 {
        let total = (self.stall_weight + self.batch_weight).max(0.001);
        (self.stall_weight - self.batch_weight) / total
    }

    /// Returns how many load times a queue must last before a further replica
    /// is worth its load.
    pub fn replica_threshold(&self) -> f64 {
        let total = (self.stall_weight + self.batch_weight).max(0.001);
        0.5 + 2.0 * self.batch_weight / total
    }
}
