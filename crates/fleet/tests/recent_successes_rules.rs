//! Tests that recent successes are remembered for a limited time.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    features::{Feature, part_feature},
    recent_successes::RecentSuccesses,
};

fn feature(n: u32) -> Feature {
    part_feature("coach", None, &n.to_string())
}

fn remembers(successes: &RecentSuccesses, numbers: &[u32]) -> Vec<bool> {
    let known = numbers.iter().map(|n| successes.last_began(feature(*n)));
    known.map(|began| began.is_some()).collect()
}

#[test]
fn a_success_is_remembered_for_a_limited_time() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut successes = RecentSuccesses::default();
    assert_eq!(remembers(&successes, &[1]), [false]);
    successes.record(feature(1), start, start);
    assert_eq!(remembers(&successes, &[1]), [true]);
    successes.record(feature(2), at(119), at(119));
    assert_eq!(remembers(&successes, &[1]), [true]);
    successes.record(feature(3), at(121), at(121));
    assert_eq!(remembers(&successes, &[1, 2, 3]), [true, true, true]);
    successes.record(feature(4), at(242), at(242));
    assert_eq!(remembers(&successes, &[1, 3, 4]), [false, true, true]);
}

#[test]
fn the_latest_success_is_remembered() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut successes = RecentSuccesses::default();
    successes.record(feature(1), at(5), at(6));
    // A long response ends later than a short one that was sent after it.
    successes.record(feature(1), at(3), at(7));
    assert_eq!(successes.last_began(feature(1)), Some(at(5)));
    successes.record(feature(1), at(130), at(131));
    assert_eq!(successes.last_began(feature(1)), Some(at(130)));
}

#[test]
fn the_number_of_remembered_successes_is_bounded() {
    let now = Instant::now();
    let mut successes = RecentSuccesses::default();
    for n in 0..100_000 {
        successes.record(feature(n), now, now);
    }
    let all: Vec<u32> = (0..100_000).collect();
    let known = remembers(&successes, &all);
    assert!(known.iter().filter(|known| **known).count() <= 2 * 8_192);
    assert_eq!(known.last(), Some(&true));
}
