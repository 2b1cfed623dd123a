//! Requests of which a run has ended well lately.
//!
//! Many callers may send one request alike, and some of its runs are then at each
//! endpoint that ends. That it ran well a moment ago shows that it is not the cause.

use std::{collections::HashSet, mem, time::Duration};

use sedgewall_clock::Instant;

/// How long a good run is remembered at least, and twice that at most.
const PERIOD: Duration = Duration::from_secs(120);

/// Requests that are remembered of one such time: at 66 a second all of them. Both
/// times take 0.5 MB.
const MAX_PER_PERIOD: usize = 8_192;

/// A hash of a request, keyed for this process: callers cannot make two collide.
pub type RequestHash = u64;

/// What ended well lately, in two times that follow each other.
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    newer: HashSet<RequestHash>,
    older: HashSet<RequestHash>,
    newer_since: Instant,
}

impl RecentSuccesses {
    /// Returns an empty memory.
    pub fn new(now: Instant) -> RecentSuccesses {
        RecentSuccesses {
            newer: HashSet::new(),
            older: HashSet::new(),
            newer_since: now,
        }
    }

    /// Notes that a run of a request ended well.
    pub fn record(&mut self, hash: RequestHash, now: Instant) {
        if self.newer.len() >= MAX_PER_PERIOD
            || now - self.newer_since >= PERIOD
        {
            self.older = mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.insert(hash);
    }

    /// Returns whether a run of a request ended well lately.
    pub fn contains(&self, hash: RequestHash) -> bool {
        self.newer.contains(&hash) || self.older.contains(&hash)
    }
}
