//! Tests of how soon a recovered path to the store is used.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_fleet::back_off::{BackOff, CallKind};

/// The maximum time that a call waits for its answer.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);

/// The shortest time within which a change must be in force, among the known
/// installations.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// The time of a call that is answered.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Returns how long after the path recovers the first call is answered, if
/// each call before waits in vain for an answer (`is_silent`), or is rejected
/// at once.
fn first_answer_after(
    calls: CallKind,
    recovered_at: Duration,
    is_silent: bool,
) -> Duration {
    let mut back_off = BackOff::default();
    let mut sent = Duration::ZERO;
    while sent < recovered_at {
        let failed = match is_silent {
            true => sent + ANSWER_TIME,
            false => sent + CALL_TIME,
        };
        sent = failed + back_off.failed(calls, true);
    }
    sent + CALL_TIME - recovered_at
}

proptest! {
    /// Guards against a delay after which a recovered path is used too late.
    /// An instance that had lost the store for 14 s sent a call just before
    /// the path recovered, waited 1.0 s for a connection, and then paused for
    /// 2.5 s, longer than a change may take to be in force. It read the
    /// configuration 3.6 s after the recovery, and used one that was 15 s old
    /// until then. In its log, the outage ended at 17.95 s;
    /// `store_call_failed` of `config` at 18.88 s had `sent_ms_ago` 1000, and
    /// `configuration` at 21.40 s replaced version 9 by 65.
    #[test]
    fn a_recovered_path_is_used_within_the_in_force_time(
        recovered_at_ms in 1_u64..60_000,
        is_watcher in any::<bool>(),
        is_silent in any::<bool>(),
    ) {
        let calls = if is_watcher { CallKind::Watcher } else { CallKind::First };
        let recovered_at = Duration::from_millis(recovered_at_ms);
        let late = first_answer_after(calls, recovered_at, is_silent);
        prop_assert!(late <= IN_FORCE_WITHIN, "{late:?}");
    }
}
