//! What ended well lately is remembered, and not for ever.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::recent_successes::RecentSuccesses;

#[test]
fn a_good_run_is_remembered_for_a_while() {
    let start = Instant::now();
    let mut good = RecentSuccesses::new(start);
    assert!(!good.has(1));
    good.note(1, start);
    assert!(good.has(1));
    good.note(2, start + Duration::from_secs(119));
    assert!(good.has(1));
    good.note(3, start + Duration::from_secs(121));
    assert!(good.has(1) && good.has(2) && good.has(3));
    good.note(4, start + Duration::from_secs(242));
    assert!(!good.has(1) && good.has(3) && good.has(4));
}

#[test]
fn what_is_remembered_is_bounded() {
    let now = Instant::now();
    let mut good = RecentSuccesses::new(now);
    for hash in 0..100_000 {
        good.note(hash, now);
    }
    let known = (0..100_000).filter(|hash| good.has(*hash)).count();
    assert!(known <= 2 * 8_192);
    assert!(good.has(99_999));
}
