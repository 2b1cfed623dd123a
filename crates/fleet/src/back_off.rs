//! The delays between calls to the platform's store while the store does not
//! answer.
//!
//! This module does no I/O and reads no clock.

use std::time::Duration;

/// The delay after the first failed call, which doubles with each further
/// failure.
const FIRST_DELAY: Duration = Duration::from_millis(150);

/// The maximum delay of an instance that watches the store on behalf of all
/// instances.
const MAX_WATCHER_DELAY: Duration = Duration::from_millis(1_200);

/// The maximum delay of any other instance's calls that are not notified.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// The maximum delay of all other calls. The first call that reaches the store
/// again notifies these.
const MAX_NOTIFIED_DELAY: Duration = Duration::from_secs(12);

/// The maximum time that a call waits for its answer, plus the time of one
/// call that is answered. A call that is sent just before a path recovers ends
/// this much later.
const CALL_TIME: Duration = Duration::from_millis(1_250);

/// The time within which a change must be in force if none is configured.
const DEFAULT_IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// The role of an instance's calls of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The calls fetch state that this instance passes on to other instances.
    Watcher,
    /// The calls are the first that an instance retries.
    First,
    /// The calls are notified once another call of the same instance reaches
    /// the store.
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

/// The delays after failed calls of one kind.
#[derive(Clone, Copy, Debug)]
pub struct BackOff {
    next: Duration,
    /// The maximum delay of calls that are not notified.
    max_unnotified_delay: Duration,
}

impl Default for BackOff {
    fn default() -> BackOff {
        BackOff::within(DEFAULT_IN_FORCE_WITHIN)
    }
}

impl BackOff {
    /// Returns the delays for an installation on which a change must be in
    /// force within `in_force_within`.
    ///
    /// A path that has recovered is used within that time. A maximum delay of
    /// 2.5 s regardless of `in_force_within` delayed its use by up to 3.7 s.
    pub fn within(in_force_within: Duration) -> BackOff {
        let max_unnotified_delay =
            in_force_within.saturating_sub(CALL_TIME).max(FIRST_DELAY);
        BackOff { next: FIRST_DELAY, max_unnotified_delay }
    }

    /// Returns the delay after another failed call. While all calls of the
    /// instance fail (`is_out`), calls that are notified use their maximum
    /// delay.
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

    /// Records that a call was answered.
    pub fn answered(&mut self) {
        self.next = FIRST_DELAY;
    }
}
