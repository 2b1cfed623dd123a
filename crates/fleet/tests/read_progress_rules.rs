//! Rules for a watch that is compared with what other instances have read.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    read_progress::{ReadProgress, WATCH_ANSWER_TIME},
    revision::Revision,
};

fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

/// Returns an instance that has read up to a revision and watches from there.
fn watching(read: u64, now: Instant) -> ReadProgress {
    let mut progress = ReadProgress::default();
    progress.record_newest(at(read));
    progress.begin_watch(now);
    progress
}

#[test]
fn a_watch_that_returns_no_reported_change_is_lost() {
    let now = Instant::now();
    let mut progress = watching(10, now);
    let heard = now + Duration::from_secs(1);
    assert!(progress.record_report(at(11), heard));
    // Later reports of the same change start no second wait.
    assert!(!progress.record_report(at(11), heard + WATCH_ANSWER_TIME / 2));
    let just_before = heard + WATCH_ANSWER_TIME - Duration::from_millis(1);
    assert_eq!(progress.lost_watch(just_before), None);
    let lost = progress.lost_watch(heard + WATCH_ANSWER_TIME).expect("lost");
    assert_eq!(lost.open_for, Duration::from_secs(1) + WATCH_ANSWER_TIME);
    assert_eq!((lost.read, lost.newest_reported), (at(10), at(11)));
}

#[test]
fn a_watch_that_returns_the_reported_change_in_time_is_not_lost() {
    let now = Instant::now();
    let mut progress = watching(10, now);
    assert!(progress.record_report(at(11), now));
    progress.record_newest(at(11));
    progress.begin_watch(now);
    assert_eq!(progress.lost_watch(now + WATCH_ANSWER_TIME), None);
}

#[test]
fn a_report_of_a_known_change_starts_no_wait() {
    let now = Instant::now();
    let mut progress = watching(10, now);
    assert!(!progress.record_report(at(10), now));
    assert_eq!(progress.lost_watch(now + WATCH_ANSWER_TIME * 4), None);
}

#[test]
fn a_change_that_was_reported_between_two_watches_must_be_returned() {
    let now = Instant::now();
    let mut progress = ReadProgress::default();
    progress.record_newest(at(10));
    assert!(!progress.record_report(at(11), now));
    assert!(progress.begin_watch(now));
    assert!(progress.lost_watch(now + WATCH_ANSWER_TIME).is_some());
}

/// Guards against endpoints that are listed without end, because an instance
/// reports a revision that the store does not have.
#[test]
fn a_report_that_a_list_does_not_confirm_is_ignored() {
    let now = Instant::now();
    let mut progress = watching(10, now);
    assert!(progress.record_report(at(900), now));
    progress.begin_list();
    progress.record_newest(at(10));
    progress.begin_watch(now);
    assert!(!progress.record_report(at(900), now));
    assert!(progress.record_report(at(901), now));
}

/// Guards against a report that is ignored because an answer which was sent
/// before it does not show the change.
#[test]
fn an_answer_to_an_earlier_call_does_not_refute_a_report() {
    let now = Instant::now();
    let mut progress = watching(10, now);
    assert!(progress.record_report(at(12), now));
    progress.record_newest(at(11));
    assert!(progress.begin_watch(now));
    assert!(progress.lost_watch(now + WATCH_ANSWER_TIME).is_some());
}

/// Guards against instances that find the same entry missing, and make each
/// other list the endpoints by reports that exceed each other.
#[test]
fn instances_that_find_an_object_missing_report_one_change() {
    let now = Instant::now();
    let mut first = ReadProgress::default();
    first.record_missing(at(20));
    assert_eq!(first.newest_change(), at(20));

    let mut second = watching(10, now);
    second.record_report(first.newest_change(), now);
    second.record_missing(at(25));
    second.record_newest(at(25));
    assert_eq!(second.newest_change(), at(20));

    first.record_newest(at(20));
    first.begin_watch(now);
    assert!(!first.record_report(second.newest_change(), now));
}

#[test]
fn a_change_of_a_later_era_is_newer() {
    let now = Instant::now();
    let mut progress = watching(10, now);
    assert!(progress.record_report(Revision::new(2, 3), now));
    progress.record_newest(Revision::new(2, 4));
    progress.begin_watch(now);
    assert!(!progress.record_report(at(50), now));
}
