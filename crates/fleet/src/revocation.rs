//! Keys that were taken away stop in time, also where nobody can say so.
//!
//! An instance that cannot know the newest configuration cannot know whose keys
//! were taken away. It serves keyed requests only for so long after the moment up
//! to which it is sure to know all changes: a lease on the configuration's
//! freshness, on its own steady clock, which the platform's store renews, or another
//! instance that was asked. A few instances watch the store for all.

use std::time::Duration;

use sedgewall_clock::Instant;

/// What is kept of the time within which a key must stop, for clocks that run
/// apart by some per cent and for the moment between a look and a send.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// The longest wait of a watch, as a part of the time: others ask those that watch,
/// and what they hear is as old as the watch is long.
const WATCH_FRACTION: f64 = 0.25;

/// How often another instance is asked, as a part of the time. With a watch's part
/// and an answer that is lost, half of the time is used.
const POLL_FRACTION: f64 = 0.2;

/// An instance that has not answered after this is taken not to.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// The age, as a part of the time, from which on the store is asked: what is left
/// is for a call that fails and another one.
const READ_FRACTION: f64 = 0.6;

/// The shortest wait of a watch: with nothing left, it only asks what is in force.
/// Twenty calls a second are far below what the store allows, and last for one
/// call.
const MIN_WATCH: Duration = Duration::from_millis(50);

/// How sure an instance is to know which keys are in force.
#[derive(Clone, Copy, Debug)]
pub struct KeyFreshness {
    /// Within this time after a key was taken away it must stop; none if that is
    /// not asked for.
    within: Option<Duration>,
    /// All changes until then are known.
    known_until: Option<Instant>,
}

impl KeyFreshness {
    /// Returns the state of an instance that knows no configuration.
    pub fn new(within: Option<Duration>) -> KeyFreshness {
        KeyFreshness { within, known_until: None }
    }

    /// Takes in that all changes before a moment are known.
    pub fn confirm(&mut self, until: Instant) {
        self.known_until = self.known_until.max(Some(until));
    }

    /// Returns whether keyed requests may be served now.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let Some(within) = self.within else { return true };
        let max_age = within.saturating_sub(CLOCK_MARGIN);
        self.known_until
            .is_some_and(|at| now.saturating_duration_since(at) < max_age)
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
    pub fn watch_timeout(&self, now: Instant) -> Option<Duration> {
        let max_age = self.max_age()?;
        let age = self.age(now).unwrap_or(max_age);
        let left = max_age.saturating_sub(age);
        let wait = (left * 2 / 3).min(max_age.mul_f64(WATCH_FRACTION));
        Some(wait.max(MIN_WATCH))
    }

    /// Returns when another instance is to be asked, none if nothing bounds what is
    /// known; one that does not answer is followed by the next soon.
    pub fn next_poll_in(
        &self,
        poll: &FreshnessPoll,
        now: Instant,
    ) -> Option<Duration> {
        let max_age = self.max_age()?;
        let pause = match poll.is_answered {
            true => max_age.mul_f64(POLL_FRACTION),
            false => POLL_TIMEOUT,
        };
        let due = poll.last_poll.map(|(_, at)| at + pause);
        Some(
            due.map_or(Duration::ZERO, |at| at.saturating_duration_since(now)),
        )
    }

    /// Returns whether the others' answers are too old, so that the store is to
    /// be asked.
    pub fn is_read_due(&self, now: Instant) -> bool {
        let Some(max_age) = self.max_age() else { return false };
        self.age(now).is_none_or(|age| age > max_age.mul_f64(READ_FRACTION))
    }

    fn max_age(&self) -> Option<Duration> {
        self.within.map(|within| within.saturating_sub(CLOCK_MARGIN))
    }
}

/// Asks other instances up to when they know all changes.
///
/// A word of another instance that was delayed is not told from a new one, without
/// a clock that both share. An answer is: it was given after its question was
/// asked. So what an answer says to be known for so long is known since the
/// question, less that time, on our own clock.
#[derive(Clone, Debug, Default)]
pub struct FreshnessPoll {
    number: u64,
    /// The last question and when it was sent.
    last_poll: Option<(u64, Instant)>,
    is_answered: bool,
}

impl FreshnessPoll {
    /// Notes that a question goes out now; returns its number.
    pub fn start(&mut self, now: Instant) -> u64 {
        self.number += 1;
        self.last_poll = Some((self.number, now));
        self.is_answered = false;
        self.number
    }

    /// Returns whom to ask of so many: another one after each that did not answer.
    pub fn next_target(&self, others: usize) -> usize {
        match others {
            0 => 0,
            others => (self.number % others as u64) as usize,
        }
    }

    /// Takes in an answer; returns up to when all changes are known by it. An
    /// answer to an earlier question says nothing more.
    pub fn record_answer(
        &mut self,
        number: u64,
        age: Duration,
    ) -> Option<Instant> {
        let (last_number, sent) = self.last_poll?;
        if last_number != number {
            return None;
        }
        self.is_answered = true;
        sent.checked_sub(age)
    }
}
