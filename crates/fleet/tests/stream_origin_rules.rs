//! Tests of where streams began, as instances remember and tell each other.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::endpoint;
use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::{Endpoint, SoftwareVersion},
    stream_origins::{
        HOLDERS, MAX_ASKED, MAX_STREAM_AGE, ORIGIN_VALID_FOR, OriginKnowledge,
        StreamOrigin, StreamOrigins, decide, holders, stream_key,
    },
    view::FleetView,
};

const SERVICE: &str = "llm";

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion(text.to_owned())
}

fn origin(text: &str) -> StreamOrigin {
    let service = SERVICE.to_owned();
    StreamOrigin { service, software_version: version(text) }
}

fn instances(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("front-{n}")).collect()
}

proptest! {
    /// The instances that are told of a stream are among those that any other
    /// instance asks, also if some have ended since or have not been seen yet.
    #[test]
    fn the_holders_of_a_stream_are_asked(
        count in 4usize..300,
        key in any::<u64>(),
        began in any::<prop::sample::Index>(),
        asks in any::<prop::sample::Index>(),
        missing in proptest::collection::vec(
            any::<prop::sample::Index>(), 0..3
        ),
    ) {
        let all = instances(count);
        let (began, asks) = (began.get(&all), asks.get(&all));
        let told_of = all.iter().filter(|id| *id != began);
        let told = holders(key, told_of, HOLDERS);
        prop_assert_eq!(told.len(), HOLDERS);
        let missing: BTreeSet<&String> =
            missing.iter().map(|at| at.get(&all)).collect();
        let known = all.iter().filter(|id| {
            *id != asks && !missing.contains(id)
        });
        let asked = holders(key, known, MAX_ASKED);
        for holder in &told {
            prop_assert!(
                asked.contains(holder)
                    || missing.contains(holder)
                    || holder == asks
            );
        }
    }

    /// Whatever others answer, a stream that nobody knows is never taken to
    /// have begun at one of several versions.
    #[test]
    fn a_version_is_never_guessed(
        answers in proptest::collection::vec(0usize..5, 1..7),
        has_only_service in any::<bool>(),
        is_alone in any::<bool>(),
    ) {
        let answers: Vec<OriginKnowledge> = answers
            .into_iter()
            .map(|kind| match kind {
                0 => OriginKnowledge::OnlyVersion(version("v1")),
                1 => OriginKnowledge::OnlyVersion(version("v2")),
                2 => OriginKnowledge::SeveralVersions,
                _ => OriginKnowledge::Nothing,
            })
            .collect();
        let service = SERVICE.to_owned();
        let service = has_only_service.then_some(&service);
        let decided = decide(&answers, is_alone, service);
        let named: BTreeSet<&SoftwareVersion> = answers
            .iter()
            .filter_map(|answer| match answer {
                OriginKnowledge::OnlyVersion(version) => Some(version),
                _ => None,
            })
            .collect();
        let is_certain = has_only_service
            && named.len() == 1
            && (is_alone || answers.len() > 1)
            && !answers.contains(&OriginKnowledge::SeveralVersions);
        prop_assert_eq!(decided.is_some(), is_certain);
    }

    /// The origins that are known are bounded in age, and a stream that is
    /// recorded again is known from then on.
    #[test]
    fn origins_are_known_for_their_time(
        steps in proptest::collection::vec((0u64..8, 0u64..40), 1..40),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut origins = StreamOrigins::default();
        let mut recorded = std::collections::BTreeMap::new();
        for (key, pause_s) in steps {
            now += Duration::from_secs(pause_s);
            let text = format!("v{}", key % 3);
            origins.record(key, &origin(&text), now);
            recorded.insert(key, (text, now));
            for (key, (text, at)) in &recorded {
                let known = origins.get(*key, now);
                let is_valid = now - *at < ORIGIN_VALID_FOR;
                prop_assert_eq!(known.is_some(), is_valid);
                if let Some(known) = known {
                    prop_assert_eq!(known, &origin(text));
                }
            }
        }
    }
}

#[test]
fn the_oldest_of_too_many_origins_are_forgotten() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for key in 0..(1 << 16) + 10 {
        origins.record(key, &origin("v1"), now);
    }
    assert_eq!(origins.len(), 1 << 16);
    assert!(origins.get(9, now).is_none());
    assert!(origins.get(10, now).is_some());
}

#[test]
fn streams_of_two_customers_with_one_request_id_are_told_apart() {
    let one = stream_key(Some("one"), "request");
    assert_ne!(one, stream_key(Some("two"), "request"));
    assert_ne!(one, stream_key(None, "request"));
    assert_eq!(one, stream_key(Some("one"), "request"));
}

fn entry(id: &str, software_version: &str, revision: u64) -> Endpoint {
    Endpoint {
        revision: revision.into(),
        software_version: Some(version(software_version)),
        ..endpoint(id, "z1", &[])
    }
}

#[test]
fn a_service_has_one_version_only_after_it_had_no_other_for_long() {
    let start = Instant::now();
    let mut view = FleetView::new("z1");
    let entries = [entry("e1", "v1", 1), entry("e2", "v2", 2)];
    let service = entries[0].service.clone();
    for entry in entries {
        view.apply_entry(entry, start);
    }
    let known = |view: &FleetView, at| view.version_knowledge(&service, at);
    assert_eq!(known(&view, start), OriginKnowledge::Nothing);
    let later = start + MAX_STREAM_AGE;
    assert_eq!(known(&view, later), OriginKnowledge::SeveralVersions);
    view.remove_entry(&"e2".to_owned(), 3.into(), true, later);
    assert_eq!(known(&view, later), OriginKnowledge::SeveralVersions);
    assert!(!view.has_software_version(&service, &version("v2")));
    let only = OriginKnowledge::OnlyVersion(version("v1"));
    assert_eq!(known(&view, later + MAX_STREAM_AGE), only);
}

/// Another instance does not pass the version on, and a new incarnation may
/// have another one.
#[test]
fn an_entry_without_a_version_keeps_it_within_its_incarnation() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    let first = Endpoint { born: Some(1), ..entry("e1", "v1", 1) };
    let service = first.service.clone();
    view.apply_entry(first.clone(), now);
    let passed_on = Endpoint {
        revision: 2.into(),
        software_version: None,
        ..first.clone()
    };
    view.apply_entry(passed_on, now);
    assert!(view.has_software_version(&service, &version("v1")));
    let restarted = Endpoint {
        revision: 3.into(),
        born: Some(2),
        software_version: None,
        ..first
    };
    view.apply_entry(restarted, now);
    assert!(!view.has_software_version(&service, &version("v1")));
}

#[test]
fn the_recent_streams_of_a_service_are_returned_oldest_first() {
    let start = Instant::now();
    let other = StreamOrigin {
        service: "another".to_owned(),
        software_version: version("v1"),
    };
    let mut origins = StreamOrigins::default();
    origins.record(1, &origin("v1"), start);
    origins.record(2, &origin("v1"), start + Duration::from_secs(5));
    origins.record(3, &other, start + Duration::from_secs(6));
    origins.record(4, &origin("v2"), start + Duration::from_secs(7));
    origins.record(2, &origin("v1"), start + Duration::from_secs(8));
    let now = start + Duration::from_secs(20);
    let recent: Vec<_> =
        origins.recent(SERVICE, Duration::from_secs(20), now).collect();
    assert_eq!(recent, [(4, &origin("v2")), (2, &origin("v1"))]);
}
