//! Rules of the recorded software versions.

use std::{collections::BTreeSet, time::Duration};

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::SoftwareVersion, version_record::RecordedVersions,
};

const SERVICE: &str = "llm";

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion(text.to_owned())
}

fn set(versions: &[&str]) -> BTreeSet<SoftwareVersion> {
    versions.iter().map(|text| version(text)).collect()
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_version_that_is_not_recorded_gets_no_requests() {
    let now = Instant::now();
    let mut recorded = RecordedVersions::default();
    assert!(!recorded.allows(SERVICE, &version("v1"), now));
    recorded.apply(&SERVICE.to_owned(), &set(&["v1"]), now);
    assert!(recorded.allows(SERVICE, &version("v1"), now));
    assert!(!recorded.allows(SERVICE, &version("v2"), now));
}

#[test]
fn a_record_is_read_anew_for_a_version_without_endpoints() {
    let now = Instant::now();
    let mut recorded = RecordedVersions::default();
    recorded.apply(&SERVICE.to_owned(), &set(&["v1", "v2"]), now);
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
    assert!(!recorded.apply(&service, &set(&["v1"]), now));
    assert_eq!(recorded.only(SERVICE), Some(&version("v1")));
    assert!(recorded.apply(&service, &set(&["v1", "v2"]), now));
    assert!(!recorded.apply(&service, &set(&["v1", "v2", "v3"]), now));
    assert_eq!(recorded.only(SERVICE), None);
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
        recorded.apply(&SERVICE.to_owned(), &set(&texts), start);
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
