//! Engines that several instances cannot reach.

use std::time::{Duration, Instant};

use sedgewall_fleet::{health::Health, suspicion::Suspicions};

fn id(text: &str) -> String {
    text.to_owned()
}

#[test]
fn one_instance_alone_suspects_nothing() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    for n in 0..20 {
        let at = now + Duration::from_millis(100) * n;
        assert!(!suspicions.report(&id("e1"), &id("i1"), at));
    }
}

#[test]
fn two_instances_suspect_an_engine_and_it_is_told_once_in_a_while() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    assert!(!suspicions.report(&id("e1"), &id("i1"), now));
    assert!(!suspicions.report(&id("e2"), &id("i2"), now));
    assert!(suspicions.report(&id("e1"), &id("i2"), now));
    assert!(!suspicions.report(&id("e1"), &id("i3"), now));
    let later = now + Duration::from_millis(600);
    assert!(suspicions.report(&id("e1"), &id("i3"), later));
}

#[test]
fn reports_that_lie_far_apart_do_not_count_together() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    assert!(!suspicions.report(&id("e1"), &id("i1"), now));
    let later = now + Duration::from_secs(2);
    assert!(!suspicions.report(&id("e1"), &id("i2"), later));
}

#[test]
fn a_suspect_engine_is_left_out_for_a_while_or_until_it_serves() {
    let now = Instant::now();
    let mut health = Health::default();
    health.suspect(now);
    assert!(!health.is_usable(now + Duration::from_millis(1_400)));
    assert!(health.is_usable(now + Duration::from_millis(1_600)));
    health.suspect(now);
    health.succeeded();
    assert!(health.is_usable(now));
}
