//! Enforces the revocation of API keys in time, also at instances that cannot
//! reach the platform's store.
//!
//! An instance that does not know the newest configuration does not know which
//! keys were revoked. It serves requests with keys only for a limited time
//! after the moment up to which it is certain to know all changes. This is a
//! lease on the freshness of the configuration, measured with the instance's
//! own monotonic clock, and renewed by the platform's store or by another
//! instance. A few instances watch the store on behalf of all.

use std::time::Duration;

use sedgewall_clock::Instant;

/// Margin that is subtracted from the time within which a revoked key must
/// stop. It covers clock rates that differ by some per cent and the time
/// between a check and a send.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Maximum wait of a watch, as a fraction of the maximum age. Other instances
/// poll those that watch, and their information is as old as the watch is
/// long.
const MAX_WATCH_FRACTION: f64 = 0.25;

/// Poll interval, as a fraction of the maximum age. Together with the wait of
/// a watch and one lost answer, it uses half of the maximum age.
const POLL_FRACTION: f64 = 0.2;

/// Time after which a polled instance counts as not answering.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Age from which on the store itself is read, as a fraction of the maximum
/// age. The rest is for one call that fails and another one.
const READ_FRACTION: f64 = 0.6;

/// Minimum wait of a watch. A watch without remaining time only reads the
/// current state. The resulting 20 calls per second are far below the store's
/// limit, and end with the first call that succeeds.
const MIN_WATCH: Duration = Duration::from_millis(50);

/// How fresh this instance's knowledge of the keys in force is.
#[derive(Clone, Copy, Debug)]
pub struct KeyFreshness {
    /// Time within which a revoked key must stop; `None` if there is no bound.
    within: Option<Duration>,
    /// Time up to which all changes are known.
    all_changes_known_until: Option<Instant>,
}

impl KeyFreshness {
    /// Returns the state of an instance without a configuration.
    pub fn new(within: Option<Duration>) -> KeyFreshness {
        KeyFreshness { within, all_changes_known_until: None }
    }

    /// Records that all changes before a time are known.
    pub fn confirm(&mut self, until: Instant) {
        self.all_changes_known_until =
            self.all_changes_known_until.max(Some(until));
    }

    /// Returns whether requests with keys may be served now.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let Some(within) = self.within else { return true };
        let max_age = within.saturating_sub(CLOCK_MARGIN);
        self.all_changes_known_until
            .is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }

    /// Returns the time since all changes were known; `None` if they never
    /// were.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.all_changes_known_until
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns how long the next watch may wait for a change; `None` if there
    /// is no bound.
    ///
    /// A watch that returns a change confirms only the changes before it was
    /// *sent*, since its answer may have been delayed. So the next watch waits
    /// two thirds of the time that is left then. With two watches of a fixed
    /// two thirds, which take 4/3 of the time, each change of the
    /// configuration made all instances reject requests with keys for 0.8 s.
    pub fn watch_timeout(&self, now: Instant) -> Option<Duration> {
        let max_age = self.max_age()?;
        let age = self.age(now).unwrap_or(max_age);
        let left = max_age.saturating_sub(age);
        let wait = (left * 2 / 3).min(max_age.mul_f64(MAX_WATCH_FRACTION));
        Some(wait.max(MIN_WATCH))
    }

    /// Returns the time until the next poll of another instance; `None` if
    /// there is no bound. After an instance that does not answer, the next one
    /// is polled soon.
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

    /// Returns whether the known state is so old that the store itself must be
    /// read.
    pub fn is_read_due(&self, now: Instant) -> bool {
        let Some(max_age) = self.max_age() else { return false };
        self.age(now).is_none_or(|age| age > max_age.mul_f64(READ_FRACTION))
    }

    fn max_age(&self) -> Option<Duration> {
        self.within.map(|within| within.saturating_sub(CLOCK_MARGIN))
    }
}

/// Polls other instances for the age of their knowledge.
///
/// Without a shared clock, a delayed message cannot be told from a new one. An
/// answer can: it was given after its question was sent. An answer that states
/// an age confirms all changes up to the time of the question minus that age,
/// on this instance's own clock.
#[derive(Clone, Debug, Default)]
pub struct FreshnessPoll {
    number: u64,
    /// Number and send time of the last poll.
    last_poll: Option<(u64, Instant)>,
    is_answered: bool,
}

impl FreshnessPoll {
    /// Records that a poll is sent now. Returns its number.
    pub fn start(&mut self, now: Instant) -> u64 {
        self.number += 1;
        self.last_poll = Some((self.number, now));
        self.is_answered = false;
        self.number
    }

    /// Returns the index of the instance to poll, among this many. It changes
    /// after each instance that did not answer.
    pub fn next_target(&self, others: usize) -> usize {
        match others {
            0 => 0,
            others => (self.number % others as u64) as usize,
        }
    }

    /// Records an answer. Returns the time up to which it confirms all
    /// changes, or `None` for an answer to an earlier poll.
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
