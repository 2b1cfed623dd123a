//! Tests of when the lease is kept while the store is unreachable.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::store_reports::{REPORT_VALID_FOR, StoreReports};

fn ids() -> [String; 3] {
    ["i1", "i2", "i3"].map(str::to_owned)
}

/// Returns the reports of three instances, none of which reaches the store.
fn all_unreachable(now: Instant) -> StoreReports {
    let mut reports = StoreReports::default();
    for id in &ids() {
        reports.record(id, true, false, now);
    }
    reports
}

#[test]
fn the_lease_is_kept_if_no_instance_reaches_the_store() {
    let now = Instant::now();
    assert!(
        all_unreachable(now).no_instance_can_acquire_lease(ids().iter(), now)
    );
}

#[test]
fn an_instance_that_reaches_the_store_may_take_the_lease() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    reports.record(&ids()[1], false, false, now);
    assert!(!reports.no_instance_can_acquire_lease(ids().iter(), now));
}

#[test]
fn a_recently_silent_instance_may_take_the_lease() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    let later = now + REPORT_VALID_FOR;
    reports.record(&ids()[0], true, false, later);
    reports.record(&ids()[1], true, false, later);
    assert!(!reports.no_instance_can_acquire_lease(ids().iter(), later));
}

/// Guards against orders of two holders when an instance that was cut off from
/// the others, or was down, reaches the store while the holder and the others
/// do not.
#[test]
fn a_long_silent_instance_may_take_the_lease() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    let later = now + Duration::from_secs(60);
    reports.record(&ids()[0], true, false, later);
    reports.record(&ids()[1], true, false, later);
    assert!(!reports.no_instance_can_acquire_lease(ids().iter(), later));
}

#[test]
fn an_instance_that_never_reported_may_take_the_lease() {
    let now = Instant::now();
    let known = ["i1", "i2", "i3", "unheard"].map(str::to_owned);
    let reports = all_unreachable(now);
    assert!(!reports.no_instance_can_acquire_lease(known.iter(), now));
}

#[test]
fn an_instance_that_is_no_longer_listed_cannot_take_the_lease() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    reports.record(&"removed".to_owned(), false, false, now);
    assert!(!reports.no_instance_can_acquire_lease(ids().iter(), now));
    reports.retain(|id| ids().contains(id));
    assert!(reports.no_instance_can_acquire_lease(ids().iter(), now));
}

#[test]
fn an_unlisted_instance_that_reaches_the_store_may_take_the_lease() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    reports.record(&"new".to_owned(), false, false, now);
    assert!(!reports.no_instance_can_acquire_lease(ids().iter(), now));
}

#[test]
fn a_leaving_instance_cannot_take_the_lease() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    reports.record(&ids()[2], false, true, now);
    let later = now + Duration::from_millis(900);
    assert!(reports.no_instance_can_acquire_lease(ids().iter(), later));
}

/// Guards against orders of two holders when an instance that reported that it
/// was leaving has ended, was started again and cannot be heard.
#[test]
fn a_report_of_leaving_does_not_outlive_its_process() {
    let now = Instant::now();
    let mut reports = all_unreachable(now);
    reports.record(&ids()[2], false, true, now);
    let later = now + REPORT_VALID_FOR;
    reports.record(&ids()[0], true, false, later);
    reports.record(&ids()[1], true, false, later);
    assert!(!reports.no_instance_can_acquire_lease(ids().iter(), later));
}
