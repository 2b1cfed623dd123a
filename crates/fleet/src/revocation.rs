//! Keys that were taken away stop in time, also where nobody can say so.
//!
//! An instance that cannot know the newest configuration cannot know whose keys
//! were taken away. It serves keyed requests only for so long after the moment up
//! to which it is sure to know all changes: a lease on the configuration's
//! freshness, on its own steady clock, which the platform's store renews.

use std::time::{Duration, Instant};

/// What is kept of the time within which a key must stop, for clocks that run
/// apart by some per cent and for the moment between a look and a send.
const MARGIN: Duration = Duration::from_millis(300);

/// The shortest wait of a watch: with nothing left, it only asks what is in force.
/// Twenty calls a second are far below what the store allows, and last for one
/// call.
const SHORTEST_WATCH: Duration = Duration::from_millis(50);

/// How sure an instance is to know which keys are in force.
#[derive(Clone, Copy, Debug)]
pub struct KeysKnown {
    /// Within this time after a key was taken away it must stop; none if that is
    /// not asked for.
    within: Option<Duration>,
    /// All changes until then are known.
    known_until: Option<Instant>,
}

impl KeysKnown {
    /// Returns the state of an instance that knows no configuration.
    pub fn new(within: Option<Duration>) -> KeysKnown {
        KeysKnown { within, known_until: None }
    }

    /// Takes in that all changes before a moment are known.
    pub fn confirm(&mut self, until: Instant) {
        self.known_until = self.known_until.max(Some(until));
    }

    /// Returns whether keyed requests may be served now.
    pub fn is_sure(&self, now: Instant) -> bool {
        let Some(within) = self.within else { return true };
        let most = within.saturating_sub(MARGIN);
        self.known_until
            .is_some_and(|at| now.saturating_duration_since(at) < most)
    }

    /// Returns how long ago all changes were known; none if they never were.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_until.map(|at| now.saturating_duration_since(at))
    }

    /// Returns how long the next watch may wait for a change; none if nothing
    /// bounds it.
    ///
    /// A watch that brings a change shows that all changes before it was *sent*
    /// are known, no more: its answer may have lain somewhere since. So the next
    /// one waits two thirds of what is left then. Two watches of a fixed two
    /// thirds took 4/3 of the time, and each change of the configuration made
    /// all instances turn keyed requests away for 0.8 s.
    pub fn watch_time(&self, now: Instant) -> Option<Duration> {
        let within = self.within?;
        let most = within.saturating_sub(MARGIN);
        let age = self.age(now).unwrap_or(most);
        let left = most.saturating_sub(age);
        Some((left * 2 / 3).max(SHORTEST_WATCH))
    }
}
