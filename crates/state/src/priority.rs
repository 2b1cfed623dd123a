//! Priority classes of requests.
//!
//! Callers send an RFC 9218 urgency from 0 to 7, which is mapped to three
//! classes. Finer classes make no difference in the queues, because an
//! engine's batch has few seats.

use serde::{Deserialize, Serialize};

/// The number of priority classes.
pub const CLASSES: usize = 3;

/// The urgency of a request that does not state one, as RFC 9218 defines it.
pub const DEFAULT_URGENCY: u8 = 3;

/// The priority class of a request, most urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Urgency 0 to 2.
    High,
    /// Urgency 3 and 4, and requests without an urgency.
    #[default]
    Normal,
    /// Urgency 5 to 7: background work that uses the capacity left over by the
    /// other classes.
    Batch,
}

impl Priority {
    /// All classes, most urgent first.
    pub const ALL: [Priority; CLASSES] =
        [Priority::High, Priority::Normal, Priority::Batch];

    /// Returns the class of an RFC 9218 urgency.
    pub fn from_urgency(urgency: u8) -> Priority {
        match urgency {
            0..=2 => Priority::High,
            3..=4 => Priority::Normal,
            _ => Priority::Batch,
        }
    }

    /// Returns the index of this class in [`Priority::ALL`]; 0 is the most
    /// urgent.
    pub fn rank(self) -> usize {
        self as usize
    }

    /// Returns the weight of one waiting request of this class when the policy
    /// chooses which adapter to load next.
    pub fn weight(self) -> f64 {
        match self {
            Priority::High => 64.0,
            Priority::Normal => 8.0,
            Priority::Batch => 1.0,
        }
    }

    /// Returns the name of the class in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        }
    }
}
