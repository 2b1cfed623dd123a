//! Tests that recent successes are remembered for a limited time.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::recent_successes::RecentSuccesses;

#[test]
fn a_success_is_remembered_for_a_limited_time() {
    let start = Instant::now();
    let mut successes = RecentSuccesses::new(start);
    assert!(!successes.contains(1));
    successes.record(1, start);
    assert!(successes.contains(1));
    successes.record(2, start + Duration::from_secs(119));
    assert!(successes.contains(1));
    successes.record(3, start + Duration::from_secs(121));
    assert!(
        successes.contains(1)
            && successes.contains(2)
            && successes.contains(3)
    );
    successes.record(4, start + Duration::from_secs(242));
    assert!(
        !successes.contains(1)
            && successes.contains(3)
            && successes.contains(4)
    );
}

#[test]
fn the_number_of_remembered_successes_is_bounded() {
    let now = Instant::now();
    let mut successes = RecentSuccesses::new(now);
    for hash in 0..100_000 {
        successes.record(hash, now);
    }
    let known = (0..100_000).filter(|hash| successes.contains(*hash)).count();
    assert!(known <= 2 * 8_192);
    assert!(successes.contains(99_999));
}
