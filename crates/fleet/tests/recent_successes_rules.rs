//! Tests that recent successes are remembered for a limited time.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::recent_successes::RecentSuccesses;

#[test]
fn a_good_run_is_remembered_for_a_while() {
    let start = Instant::now();
    let mut good = RecentSuccesses::new(start);
    assert!(!good.contains(1));
    good.record(1, start);
    assert!(good.contains(1));
    good.record(2, start + Duration::from_secs(119));
    assert!(good.contains(1));
    good.record(3, start + Duration::from_secs(121));
    assert!(good.contains(1) && good.contains(2) && good.contains(3));
    good.record(4, start + Duration::from_secs(242));
    assert!(!good.contains(1) && good.contains(3) && good.contains(4));
}

#[test]
fn what_is_remembered_is_bounded() {
    let now = Instant::now();
    let mut good = RecentSuccesses::new(now);
    for hash in 0..100_000 {
        good.record(hash, now);
    }
    let known = (0..100_000).filter(|hash| good.contains(*hash)).count();
    assert!(known <= 2 * 8_192);
    assert!(good.contains(99_999));
}
