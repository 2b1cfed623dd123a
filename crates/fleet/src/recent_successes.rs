//! Requests that were recently executed with success.
//!
//! Many callers may send identical requests, so that some of their executions
//! are in progress at any endpoint that crashes. A recent success of the same
//! request shows that the request is not the cause of the crash.

use std::{collections::HashSet, mem, time::Duration};

use sedgewall_clock::Instant;

/// The minimum time for which a success is remembered; the maximum is twice
/// this.
const PERIOD: Duration = Duration::from_secs(120);

/// The maximum number of requests that are remembered per period, which holds
/// all of them at 66 per second. Two periods take 0.5 MB.
const MAX_PER_PERIOD: usize = 8_192;

/// A hash of a request. It is keyed per process, so that callers cannot
/// construct collisions.
pub type RequestHash = u64;

/// Recent successes, in two consecutive periods.
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    newer: HashSet<RequestHash>,
    older: HashSet<RequestHash>,
    newer_since: Instant,
}

impl RecentSuccesses {
    /// Returns an empty set whose first period starts now.
    pub fn new(now: Instant) -> RecentSuccesses {
        RecentSuccesses {
            newer: HashSet::new(),
            older: HashSet::new(),
            newer_since: now,
        }
    }

    /// Records a success of a request.
    pub fn record(&mut self, hash: RequestHash, now: Instant) {
        if self.newer.len() >= MAX_PER_PERIOD
            || now - self.newer_since >= PERIOD
        {
            self.older = mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.insert(hash);
    }

    /// Returns whether a request succeeded recently.
    pub fn contains(&self, hash: RequestHash) -> bool {
        self.newer.contains(&hash) || self.older.contains(&hash)
    }
}
