//! Tests of engines that several instances cannot reach.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{health::Health, suspicion::Suspicions};

fn id(text: &str) -> String {
    text.to_owned()
}

#[test]
fn the_reports_of_one_instance_suspect_no_engine() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    for n in 0..20 {
        let at = now + Duration::from_millis(100) * n;
        assert_eq!(suspicions.report(&id("e1"), &id("i1"), at), None);
    }
}

#[test]
fn the_reports_of_two_instances_suspect_an_engine_and_notify_at_intervals() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    assert_eq!(suspicions.report(&id("e1"), &id("i1"), now), None);
    assert_eq!(suspicions.report(&id("e2"), &id("i2"), now), None);
    assert!(suspicions.report(&id("e1"), &id("i2"), now).is_some());
    assert_eq!(suspicions.report(&id("e1"), &id("i3"), now), None);
    let later = now + Duration::from_millis(600);
    assert!(suspicions.report(&id("e1"), &id("i3"), later).is_some());
}

#[test]
fn reports_outside_the_window_do_not_count_together() {
    let now = Instant::now();
    let mut suspicions = Suspicions::default();
    assert_eq!(suspicions.report(&id("e1"), &id("i1"), now), None);
    let later = now + Duration::from_secs(2);
    assert_eq!(suspicions.report(&id("e1"), &id("i2"), later), None);
}

#[test]
fn a_suspect_engine_is_unusable_until_the_time_ends_or_a_request_succeeds() {
    let now = Instant::now();
    let mut health = Health::default();
    health.suspect(Duration::from_millis(1_500), now);
    assert!(!health.is_usable(now + Duration::from_millis(1_400)));
    assert!(health.is_usable(now + Duration::from_millis(1_600)));
    health.suspect(Duration::from_millis(1_500), now);
    health.succeeded();
    assert!(health.is_usable(now));
}

/// Guards against a constant suspicion time. Two instances could not reach an
/// engine, all instances stopped using it for 1.5 s, and then all retried it
/// until two had reported it again. Requests went to 13 unreachable engines in
/// two bursts of 50, 1.9 s apart.
#[test]
fn an_unreachable_engine_is_retried_at_growing_intervals() {
    let mut now = Instant::now();
    let mut suspicions = Suspicions::default();
    let mut times_ms = Vec::new();
    for _ in 0..4 {
        suspicions.report(&id("e1"), &id("i1"), now);
        let time = suspicions.report(&id("e1"), &id("i2"), now);
        let time = time.expect("two could not reach it");
        times_ms.push(time.as_millis());
        // A report of a request that was sent before says nothing new.
        let soon = now + Duration::from_millis(700);
        let again = suspicions.report(&id("e1"), &id("i3"), soon);
        assert_eq!(again, Some(time));
        now = soon + time + Duration::from_millis(400);
        suspicions.forget(now);
    }
    assert_eq!(times_ms, [1_500, 3_000, 6_000, 6_000]);
    // After the engine was reached again, suspicion starts anew.
    now += Duration::from_secs(10);
    suspicions.forget(now);
    suspicions.report(&id("e1"), &id("i1"), now);
    let time = suspicions.report(&id("e1"), &id("i2"), now);
    assert_eq!(time, Some(Duration::from_millis(1_500)));
}
