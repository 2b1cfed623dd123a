//! `Instant` follows `CLOCK_BOOTTIME`, which includes suspended time.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use sedgewall_clock::{Instant, SuspendDetector};

fn boot_ns() -> i128 {
    let time = clock_gettime(ClockId::Boottime);
    i128::from(time.tv_sec) * 1_000_000_000 + i128::from(time.tv_nsec)
}

/// The time between two `Instant`s is at most the time between two readings of
/// `CLOCK_BOOTTIME` taken around them, and at least the sleep in between.
#[test]
fn instant_advances_with_the_boottime_clock() {
    let before = boot_ns();
    let first = Instant::now();
    std::thread::sleep(Duration::from_millis(5));
    let second = Instant::now();
    let after = boot_ns();
    let passed = (second - first).as_nanos() as i128;
    assert!(passed <= after - before);
    assert!(passed >= 5_000_000);
}

#[test]
fn duration_since_a_later_instant_is_zero() {
    let first = Instant::now();
    let second = first + Duration::from_secs(3);
    assert_eq!(first - second, Duration::ZERO);
    assert_eq!(first.saturating_duration_since(second), Duration::ZERO);
    assert_eq!(second - first, Duration::from_secs(3));
}

#[test]
fn no_suspension_is_reported_on_a_running_machine() {
    let mut detector = SuspendDetector::start();
    std::thread::sleep(Duration::from_millis(30));
    assert_eq!(detector.check(), None);
}
