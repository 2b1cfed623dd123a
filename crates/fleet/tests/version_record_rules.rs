//! Rules of the recorded software versions.

use std::{collections::BTreeSet, time::Duration};

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::SoftwareVersion,
    revision::{Revision, StoreEra},
    version_record::RecordedVersions,
};

const SERVICE: &str = "llm";

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion(text.to_owned())
}

fn set(versions: &[&str]) -> BTreeSet<SoftwareVersion> {
    versions.iter().map(|text| version(text)).collect()
}

fn at(era: StoreEra, number: u64) -> Revision {
    Revision::new(era, number)
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_version_that_is_not_recorded_gets_no_requests() {
    let now = Instant::now();
    let mut recorded = RecordedVersions::default();
    assert!(!recorded.allows(SERVICE, &version("v1"), now));
    recorded.apply(&SERVICE.to_owned(), &set(&["v1"]), at(1, 1), now);
    assert!(recorded.allows(SERVICE, &version("v1"), now));
    assert!(!recorded.allows(SERVICE, &version("v2"), now));
}

#[test]
fn a_record_is_read_anew_for_a_version_without_endpoints() {
    let now = Instant::now();
    let mut recorded = RecordedVersions::default();
    recorded.apply(&SERVICE.to_owned(), &set(&["v1", "v2"]), at(1, 2), now);
    let later = now + seconds(19);
    recorded.record_present(SERVICE, &version("v1"), later);
    let later = now + seconds(30);
    assert!(recorded.allows(SERVICE, &version("v1"), later));
    assert!(!recorded.allows(SERVICE, &version("v2"), later));
}

#[test]
fn a_second_version_is_reported_once() {
    let now = Instant::now();
    let service = SERVICE.to_owned();
    let mut recorded = RecordedVersions::default();
    assert!(!recorded.apply(&service, &set(&["v1"]), at(1, 1), now));
    assert_eq!(recorded.only(SERVICE), Some(&version("v1")));
    assert!(recorded.apply(&service, &set(&["v1", "v2"]), at(1, 2), now));
    assert!(!recorded.apply(
        &service,
        &set(&["v1", "v2", "v3"]),
        at(1, 3),
        now
    ));
    assert_eq!(recorded.only(SERVICE), None);
}

/// Guards against streams of two versions: a copy without the second one made
/// the first seem to be the only one.
#[test]
fn versions_that_a_restored_record_lacks_stay_known_until_recorded_again() {
    let now = Instant::now();
    let service = SERVICE.to_owned();
    let mut recorded = RecordedVersions::default();
    recorded.apply(&service, &set(&["v1", "v2"]), at(1, 5), now);
    // A second read shows the same.
    for _ in 0..2 {
        recorded.apply(&service, &set(&["v1"]), at(2, 3), now);
        assert_eq!(recorded.only(SERVICE), None);
        assert!(!recorded.allows(SERVICE, &version("v2"), now));
        let lost = vec![(service.clone(), set(&["v1", "v2"]))];
        assert_eq!(recorded.lost(), lost);
    }
    recorded.apply(&service, &set(&["v1", "v2"]), at(2, 4), now);
    assert!(recorded.lost().is_empty());
    assert!(recorded.allows(SERVICE, &version("v2"), now));
    recorded.apply(&service, &set(&["v1"]), at(2, 5), now);
    assert_eq!(recorded.only(SERVICE), Some(&version("v1")));
}

/// Guards against a record that is never written again, because it is replaced
/// at a revision that a restore lost.
#[test]
fn a_lost_record_has_no_revision() {
    let now = Instant::now();
    let service = SERVICE.to_owned();
    let mut recorded = RecordedVersions::default();
    recorded.apply(&service, &set(&["v1"]), at(1, 5), now);
    recorded.apply_missing(|_| false, at(1, 4));
    assert_eq!(recorded.revision(SERVICE), Some(at(1, 5)));
    recorded.apply_missing(|_| false, at(2, 3));
    assert_eq!(recorded.revision(SERVICE), None);
    assert_eq!(recorded.lost(), vec![(service.clone(), set(&["v1"]))]);
    recorded.apply(&service, &set(&["v1"]), at(2, 4), now);
    assert_eq!(recorded.revision(SERVICE), Some(at(2, 4)));
    assert!(recorded.lost().is_empty());
}

/// Guards against a lost version that is recorded again and again after the
/// last endpoint of it is gone.
#[test]
fn a_lost_version_without_endpoints_is_forgotten() {
    let now = Instant::now();
    let service = SERVICE.to_owned();
    let mut recorded = RecordedVersions::default();
    recorded.apply(&service, &set(&["v1", "v2"]), at(1, 5), now);
    recorded.apply(&service, &set(&["v1"]), at(2, 3), now + seconds(301));
    assert!(recorded.lost().is_empty());
    assert_eq!(recorded.only(SERVICE), Some(&version("v1")));
}

proptest! {
    /// A version is removed only long after its last endpoint, and never the
    /// last one.
    #[test]
    fn versions_with_endpoints_stay_recorded(
        present in prop::collection::vec((0_u64..1_000, 0_usize..3), 0..40),
        at_s in 0_u64..2_000,
    ) {
        let texts = ["v1", "v2", "v3"];
        let start = Instant::now();
        let mut recorded = RecordedVersions::default();
        recorded.apply(&SERVICE.to_owned(), &set(&texts), at(1, 1), start);
        let mut last_s = [0; 3];
        let mut present = present;
        present.sort_unstable();
        for (s, idx) in present.into_iter().filter(|(s, _)| *s <= at_s) {
            let at = start + seconds(s);
            recorded.record_present(SERVICE, &version(texts[idx]), at);
            last_s[idx] = s;
        }
        let outdated = recorded.outdated(start + seconds(at_s));
        prop_assert!(outdated.len() <= 1);
        for (_, kept) in outdated {
            prop_assert!(!kept.is_empty());
            for (text, last_s) in texts.iter().zip(last_s) {
                let is_kept = kept.contains(&version(text));
                prop_assert_eq!(is_kept, at_s < last_s + 300);
            }
        }
    }
}
