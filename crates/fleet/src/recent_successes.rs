//! Requests that were recently executed with success.
//!
//! Requests with some feature in common may be in progress at any endpoint that
//! crashes. A recent success with the same feature tells that the feature is
//! not, or was not then, the cause of the crash.

use std::{collections::HashMap, mem, time::Duration};

use sedgewall_clock::Instant;

use crate::features::Feature;

/// The minimum time for which a success is remembered; the maximum is twice
/// this.
const PERIOD: Duration = Duration::from_secs(120);

/// The maximum number of features that are remembered per period, which holds
/// all of them at 66 new ones per second. Two periods take 0.7 MB.
const MAX_PER_PERIOD: usize = 8_192;

/// Recent successes, in two consecutive periods.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    newer: HashMap<Feature, Instant>,
    older: HashMap<Feature, Instant>,
    newer_since: Option<Instant>,
}

impl RecentSuccesses {
    /// Records a success with a feature, of a request that was sent at
    /// `began`.
    pub fn record(&mut self, feature: Feature, began: Instant, now: Instant) {
        let since = *self.newer_since.get_or_insert(now);
        if self.newer.len() >= MAX_PER_PERIOD || now - since >= PERIOD {
            self.older = mem::take(&mut self.newer);
            self.newer_since = Some(now);
        }
        let known = self.newer.entry(feature).or_insert(began);
        *known = (*known).max(began);
    }

    /// Returns when the latest recent success with a feature was sent.
    pub fn last_began(&self, feature: Feature) -> Option<Instant> {
        let newer = self.newer.get(&feature).copied();
        newer.max(self.older.get(&feature).copied())
    }
}
