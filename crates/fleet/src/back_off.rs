//! The pauses between calls to the platform's store while it does not answer.
//!
//! It does no I/O and reads no clock.

use std::time::Duration;

/// The first pause after a failed call; it doubles.
const FIRST_DELAY: Duration = Duration::from_millis(150);

/// The longest pause of an instance that watches for the others.
const MAX_WATCHER_DELAY: Duration = Duration::from_millis(1_200);

/// The longest pause of any other instance, for what it tries first.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// The longest pause for all else: once the first call reaches the store again, it
/// rings for all.
const MAX_NOTIFIED_DELAY: Duration = Duration::from_secs(12);

/// The longest time that a call waits for its answer, and one more that is answered.
/// A call that was sent just before a path is whole again ends so much later.
const CALL_TIME: Duration = Duration::from_millis(1_250);

/// The time within which a change must be in force where none is set.
const DEFAULT_IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// What an instance's calls of one kind are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// They bring what this instance tells the others.
    Watcher,
    /// They are the first that an instance tries.
    First,
    /// Others of the same instance ring for them.
    Notified,
}

impl CallKind {
    fn max_delay(self) -> Duration {
        match self {
            CallKind::Watcher => MAX_WATCHER_DELAY,
            CallKind::First => MAX_DELAY,
            CallKind::Notified => MAX_NOTIFIED_DELAY,
        }
    }
}

/// The pauses after failed calls of one kind.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    next: Duration,
    /// The longest pause of calls that nobody rings for.
    max_unnotified_delay: Duration,
}

impl Default for BackOff {
    fn default() -> BackOff {
        BackOff::within(DEFAULT_IN_FORCE_WITHIN)
    }
}

impl BackOff {
    /// Returns the pauses of a deployment on which a change must be in force within a
    /// time.
    ///
    /// A path that is whole again is used within that time. With pauses of up to 2.5 s
    /// whatever was promised, it was used up to 3.7 s later.
    pub fn within(in_force_within: Duration) -> BackOff {
        let max_unnotified_delay =
            in_force_within.saturating_sub(CALL_TIME).max(FIRST_DELAY);
        BackOff { next: FIRST_DELAY, max_unnotified_delay }
    }

    /// Returns how long to wait after another failed call. Where all calls fail,
    /// those that are rung for wait for that.
    pub fn failed(&mut self, calls: CallKind, is_out: bool) -> Duration {
        let max_delay = match calls {
            CallKind::Notified => calls.max_delay(),
            CallKind::Watcher | CallKind::First => {
                calls.max_delay().min(self.max_unnotified_delay)
            }
        };
        let delay = match calls {
            CallKind::Notified if is_out => max_delay,
            _ => self.next.min(max_delay),
        };
        self.next = (self.next * 2).min(max_delay);
        delay
    }

    /// Takes in that a call was answered.
    pub fn answered(&mut self) {
        self.next = FIRST_DELAY;
    }
}
