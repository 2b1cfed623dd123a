//! Tests of endpoints that restart under the same id.

mod common;

use std::time::Duration;

use common::{choose, endpoint, key, report, sent_to};
use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::{Endpoint, EngineReport},
    incarnation::Incarnation,
    note::{Placed, Removed},
    view::{Choice, FleetView},
};

const ID: &str = "e1";

/// The start times of four consecutive incarnations, by clocks that run fast
/// and slow.
const BORN: [Incarnation; 4] = [5_000, 9_000, 2_000, 7_000];

/// Returns the entry of an incarnation, which holds the adapter of that
/// number.
fn entry(incarnation: usize, revision: u64) -> Endpoint {
    let adapters = [incarnation as u32];
    let born = Some(BORN[incarnation]);
    let revision = revision.into();
    Endpoint { revision, born, ..endpoint(ID, "z1", &adapters) }
}

fn reported(incarnation: usize) -> EngineReport {
    let born = Some(BORN[incarnation]);
    EngineReport { born, ..report(&[incarnation as u32], 0) }
}

fn placed(incarnation: usize) -> Placed {
    Placed {
        epoch: 1,
        endpoint: ID.to_owned(),
        key: key(incarnation as u32),
        version: 1,
        ready_in_ms: 0,
        is_cold: false,
        born: Some(BORN[incarnation]),
    }
}

fn holds(view: &FleetView, incarnation: usize) -> bool {
    let state = view.get(&ID.to_owned()).expect("it is listed");
    state.placement(&key(incarnation as u32)).is_some()
}

#[test]
fn a_new_incarnation_holds_no_adapters_of_the_previous_one() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(entry(0, 1), now);
    view.apply_report(&ID.to_owned(), &reported(0), now);
    assert_eq!(sent_to(&choose(&view, &key(0), now)), Some(ID));
    view.apply_entry(entry(1, 2), now);
    assert_eq!(choose(&view, &key(0), now), Choice::Absent);
    // The engine is asked for its adapters before it gets orders.
    assert!(!view.get(&ID.to_owned()).expect("listed").is_ordered_by_us());
    assert!(view.warm(&key(0)).is_empty());
}

/// A report shows a new incarnation before its entry does. The previous
/// incarnation's entry, which is still on its way, must not bring that back.
#[test]
fn an_old_entry_after_a_report_of_a_new_incarnation_is_ignored() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(entry(0, 1), now);
    assert!(view.apply_report(&ID.to_owned(), &reported(1), now));
    view.apply_entry(entry(0, 2), now);
    assert!(holds(&view, 1) && !holds(&view, 0));
    assert_eq!(view.incarnation(&ID.to_owned()), Some(BORN[1]));
}

#[test]
fn an_old_report_after_an_entry_of_a_new_incarnation_is_ignored() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(entry(0, 1), now);
    view.apply_entry(entry(1, 2), now);
    assert!(!view.apply_report(&ID.to_owned(), &reported(0), now));
    assert!(holds(&view, 1) && !holds(&view, 0));
}

#[test]
fn old_notes_after_an_entry_of_a_new_incarnation_are_ignored() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(entry(0, 1), now);
    view.apply_entry(entry(1, 2), now);
    view.apply_placed(&placed(0), now);
    assert!(!holds(&view, 0));
    let removed = Removed {
        epoch: 1,
        endpoint: ID.to_owned(),
        key: key(1),
        born: Some(BORN[0]),
    };
    view.apply_removed(&removed, now);
    assert!(holds(&view, 1));
}

/// A list that is seconds old shows the previous incarnation to an instance
/// that has removed the endpoint meanwhile.
#[test]
fn a_stale_list_does_not_restore_an_old_incarnation() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(entry(1, 8), now);
    view.remove_entry(&ID.to_owned(), 9.into(), true, now);
    view.apply_entry(entry(0, 3), now);
    assert_eq!(choose(&view, &key(0), now), Choice::NoEndpoint);
    view.apply_entry(entry(2, 12), now);
    assert_eq!(sent_to(&choose(&view, &key(2), now)), Some(ID));
}

/// An endpoint that was ejected, suspected or draining counts as healthy after
/// a restart.
#[test]
fn a_new_incarnation_starts_with_clean_health() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(entry(0, 1), now);
    let id = ID.to_owned();
    for _ in 0..8 {
        view.get_mut(&id).expect("it is listed").health.failed(now);
    }
    view.mark_suspect(&id, Duration::from_secs(9), now);
    assert_eq!(choose(&view, &key(0), now), Choice::NoEndpoint);
    view.apply_entry(entry(1, 2), now);
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some(ID));
    view.apply_entry(Endpoint { is_draining: true, ..entry(1, 3) }, now);
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
    view.apply_entry(entry(2, 4), now);
    assert_eq!(sent_to(&choose(&view, &key(2), now)), Some(ID));
}

/// A message about one of the incarnations.
#[derive(Clone, Copy, Debug)]
enum Message {
    Entry,
    Report,
    Note,
    Removal,
}

fn message() -> impl Strategy<Value = (usize, Message, u64)> {
    let kind = prop_oneof![
        3 => Just(Message::Entry),
        2 => Just(Message::Report),
        2 => Just(Message::Note),
        1 => Just(Message::Removal),
    ];
    (0..BORN.len(), kind, 0..10_u64)
}

proptest! {
    /// Whatever arrives late and in whatever order, what is known belongs to
    /// one incarnation; an incarnation that was replaced does not become
    /// current again; and the newest entry prevails once it arrives.
    #[test]
    fn an_ended_incarnation_never_becomes_current_again(
        messages in proptest::collection::vec(message(), 1..60),
    ) {
        let now = Instant::now();
        let id = ID.to_owned();
        let mut view = FleetView::new("z1");
        let mut heard = [false; 4];
        let mut listed = None;
        for (incarnation, message, nth) in messages {
            let known = view.incarnation(&id);
            // The revisions of an incarnation's entries follow those of the
            // previous incarnation.
            let revision = incarnation as u64 * 20 + nth + 1;
            match message {
                Message::Entry => {
                    view.apply_entry(entry(incarnation, revision), now);
                }
                Message::Removal => view.remove_entry(&id, (revision + 10).into(), true, now),
                // An endpoint is asked for a report only once it is listed,
                // and a late answer comes from an incarnation that was known
                // before.
                _ if view.get(&id).is_none() => continue,
                _ if !heard[incarnation] && heard[incarnation..].contains(&true) => {
                    continue;
                }
                Message::Report => {
                    view.apply_report(&id, &reported(incarnation), now);
                }
                Message::Note => view.apply_placed(&placed(incarnation), now),
            }
            // An incarnation is over for good once an entry has shown a later
            // one.
            if heard[incarnation] && listed.is_some_and(|listed| incarnation < listed) {
                prop_assert_eq!(view.incarnation(&id), known);
            }
            if matches!(message, Message::Entry)
                && view.incarnation(&id) == Some(BORN[incarnation])
            {
                listed = listed.max(Some(incarnation));
            }
            heard[incarnation] |= view.incarnation(&id) == Some(BORN[incarnation]);
            let Some(state) = view.get(&id) else { continue };
            let held = (0..BORN.len())
                .filter(|n| state.placement(&key(*n as u32)).is_some());
            for held in held {
                prop_assert_eq!(view.incarnation(&id), Some(BORN[held]));
            }
        }
        let last = BORN.len() - 1;
        let later = now + Duration::from_secs(10);
        view.apply_entry(entry(last, 1_000), later);
        prop_assert_eq!(view.incarnation(&id), Some(BORN[last]));
        prop_assert!(holds(&view, last));
        prop_assert!(view.apply_report(&id, &reported(last), later));
    }
}
