//! The announced versions of one model's or adapter's weights.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::adapter::WeightVersion;

/// How long a version may still be used after a newer one was announced. It is
/// counted for each version by itself: a further version grants no more time.
/// The platform allows 5 s until the request runs; the remainder is for
/// queueing at the engine.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(2_500);

/// The versions that may be used, oldest first, and when this instance learned
/// of each.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedVersions(Vec<(WeightVersion, Instant)>);

impl NamedVersions {
    /// Records a version. Returns whether it is newer than all known ones.
    pub(super) fn record(
        &mut self,
        version: WeightVersion,
        now: Instant,
    ) -> bool {
        if self.newest().is_some_and(|(newest, _)| version <= newest) {
            return false;
        }
        let oldest = self.oldest_usable(now);
        self.0.retain(|(known, _)| *known >= oldest);
        self.0.push((version, now));
        true
    }

    /// Returns the newest version, and when this instance learned of it.
    pub(super) fn newest(&self) -> Option<(WeightVersion, Instant)> {
        self.0.last().copied()
    }

    /// Returns the oldest version that may be used, or 0 if all may.
    pub(super) fn oldest_usable(&self, now: Instant) -> WeightVersion {
        let overdue = self
            .0
            .iter()
            .rev()
            .find(|(_, since)| now - *since >= OLD_VERSION_GRACE);
        overdue.map_or(0, |(version, _)| *version)
    }
}
