//! Rules for what is known from the platform's store across its restores.

mod common;

use std::time::Duration;

use common::{endpoint, report};
use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    departure::Departure,
    endpoint::{Endpoint, EngineReport},
    incarnation::Incarnation,
    lease_era::{epoch_floor, era_of},
    revision::{Revision, StoreEra},
    view::FleetView,
};
use sedgewall_state::id::EndpointId;

fn id() -> EndpointId {
    "e1".to_owned()
}

fn entry(era: StoreEra, number: u64, is_draining: bool) -> Endpoint {
    let revision = Revision::new(era, number);
    Endpoint { revision, is_draining, ..endpoint("e1", "z1", &[]) }
}

fn departure(era: StoreEra, number: u64) -> Departure {
    Departure::of_entry(&id(), Revision::new(era, number))
}

fn view_of(entries: Vec<Endpoint>) -> FleetView {
    let mut view = FleetView::new("z1");
    for entry in entries {
        view.apply_entry(entry, Instant::now());
    }
    view
}

fn is_usable(view: &FleetView) -> bool {
    view.get(&id()).is_some_and(|state| state.is_usable(Instant::now()))
}

#[test]
fn a_draining_entry_of_a_later_era_applies_at_any_number() {
    let view = view_of(vec![entry(1, 480, false), entry(2, 450, true)]);
    assert!(!is_usable(&view));
}

#[test]
fn a_departure_of_a_later_era_applies_at_any_number() {
    let mut view = view_of(vec![entry(1, 480, false)]);
    assert!(view.apply_departure(&departure(2, 450), Instant::now()));
    assert!(!is_usable(&view));
}

#[test]
fn a_restored_entry_does_not_bring_back_a_departed_endpoint() {
    let mut view = view_of(vec![entry(1, 470, false), entry(1, 480, true)]);
    view.apply_entry(entry(2, 470, false), Instant::now());
    assert!(!is_usable(&view));
}

#[test]
fn an_entry_written_after_a_restore_brings_an_endpoint_back() {
    let mut view = view_of(vec![entry(1, 470, false), entry(1, 480, true)]);
    view.apply_entry(entry(2, 481, false), Instant::now());
    assert!(is_usable(&view));
}

/// Guards against requests to an endpoint that drains: a restored copy showed
/// it as it was before its last restart, and its own entry after that was then
/// taken for one of an incarnation that has ended.
#[test]
fn an_endpoint_drains_after_a_copy_that_shows_an_earlier_incarnation() {
    let started_at = |ms, endpoint| Endpoint { born: Some(ms), ..endpoint };
    let view = view_of(vec![
        started_at(2_000, entry(1, 106, false)),
        started_at(1_000, entry(2, 93, false)),
        started_at(2_000, entry(2, 113, true)),
    ]);
    assert!(!is_usable(&view));
}

/// Guards against requests to an endpoint that drains: a late report of an
/// incarnation and a restored copy that shows it must not end a later one.
#[test]
fn a_reported_incarnation_that_a_copy_shows_does_not_end_a_later_one() {
    let started_at = |ms, endpoint| Endpoint { born: Some(ms), ..endpoint };
    let now = Instant::now();
    let mut view = view_of(vec![started_at(2_000, entry(1, 106, false))]);
    let report = EngineReport { born: Some(1_000), ..report(&[], 0) };
    view.apply_report(&id(), &report, now);
    view.apply_entry(started_at(1_000, entry(2, 93, false)), now);
    view.apply_entry(started_at(2_000, entry(2, 113, true)), now);
    assert!(!is_usable(&view));
}

/// Guards against a restart that goes unnoticed: an incarnation that was known
/// across a restore still ends with the next one.
#[test]
fn an_incarnation_that_ends_after_a_restore_does_not_come_back() {
    let started_at = |ms, endpoint| Endpoint { born: Some(ms), ..endpoint };
    let now = Instant::now();
    let mut view = view_of(vec![
        started_at(1_000, entry(1, 106, false)),
        started_at(1_000, entry(2, 93, false)),
        started_at(2_000, entry(2, 101, false)),
    ]);
    let late = EngineReport { born: Some(1_000), ..report(&[], 0) };
    assert!(!view.apply_report(&id(), &late, now + Duration::from_secs(5)));
    assert_eq!(view.incarnation(&id()), Some(2_000));
}

#[test]
fn a_late_entry_of_an_earlier_era_changes_nothing() {
    let view = view_of(vec![entry(2, 450, true), entry(1, 480, false)]);
    assert!(!is_usable(&view));
}

#[test]
fn a_departure_is_not_covered_by_one_of_an_earlier_era() {
    let now = Instant::now();
    let mut view = view_of(vec![entry(1, 470, false)]);
    view.apply_departure(&departure(1, 480), now);
    view.apply_entry(entry(1, 490, false), now);
    assert!(is_usable(&view));
    assert!(view.apply_departure(&departure(2, 450), now));
    assert!(!is_usable(&view));
}

#[test]
fn a_revision_without_an_era_is_sent_as_a_bare_number() {
    assert_eq!(u64::from(Revision::new(0, 301)), 301);
    let whole = Revision::new(3, 301);
    assert_eq!(Revision::from(u64::from(whole)), whole);
}

/// What the store does to the one endpoint's entry.
#[derive(Clone, Copy, Debug)]
enum Write {
    Ready,
    Draining,
    /// Any other object is written.
    Other,
    /// The store is restored from a copy with this many writes less.
    Restore(usize),
}

/// What the instance learns.
#[derive(Clone, Copy, Debug)]
enum Learned {
    Nothing,
    /// The entry as it is now.
    Entry,
    /// The entry as it was this many steps ago.
    LateEntry(usize),
    /// That the entry was draining, this many steps ago.
    Departure(usize),
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        4 => Just(Write::Ready),
        2 => Just(Write::Draining),
        4 => Just(Write::Other),
        1 => (1_usize..6).prop_map(Write::Restore),
    ]
}

fn learned() -> impl Strategy<Value = Learned> {
    prop_oneof![
        2 => Just(Learned::Nothing),
        3 => Just(Learned::Entry),
        1 => (1_usize..5).prop_map(Learned::LateEntry),
        1 => (1_usize..5).prop_map(Learned::Departure),
    ]
}

/// What happens to an endpoint that states its incarnation, and to the store.
#[derive(Clone, Copy, Debug)]
enum Life {
    /// Any other object is written.
    Other,
    Restart,
    /// The store is restored from a copy with this many writes less.
    Restore(usize),
}

fn life() -> impl Strategy<Value = Life> {
    prop_oneof![
        4 => Just(Life::Other),
        2 => Just(Life::Restart),
        1 => (1_usize..6).prop_map(Life::Restore),
    ]
}

/// A store with one entry whose history can be cut.
#[derive(Clone, Debug)]
struct ModelStore {
    era: StoreEra,
    /// The entry after each write: its number, whether it is draining, and
    /// the step of its last write.
    history: Vec<(u64, bool, usize)>,
}

impl ModelStore {
    fn apply(&mut self, write: Write, step: usize) {
        let next = self.history.len() as u64 + 1;
        let (number, is_draining, written) =
            *self.history.last().expect("an entry");
        match write {
            Write::Ready => self.history.push((next, false, step)),
            Write::Draining => self.history.push((next, true, step)),
            Write::Other => self.history.push((number, is_draining, written)),
            Write::Restore(lost) => {
                let kept = self.history.len().saturating_sub(lost).max(1);
                self.history.truncate(kept);
                self.era += 1;
            }
        }
    }

    fn shown(&self) -> (Endpoint, usize) {
        let (number, is_draining, written) =
            *self.history.last().expect("an entry");
        (entry(self.era, number, is_draining), written)
    }
}

proptest! {
    /// An endpoint that is known to drain gets no requests until an entry
    /// shows that it was ready later.
    #[test]
    fn a_known_departure_holds_until_a_later_write(
        steps in prop::collection::vec((write(), learned()), 1..60),
    ) {
        let now = Instant::now();
        let mut store =
            ModelStore { era: 1, history: vec![(1, false, 0)] };
        let mut shown = vec![store.shown()];
        let mut view = view_of(vec![store.shown().0]);
        // The steps of the last known draining write, and of the last ready
        // write that any entry has shown.
        let (mut left, mut ready) = (None, 0);
        for (step, (write, learned)) in (1..).zip(steps) {
            store.apply(write, step);
            shown.push(store.shown());
            let back = match learned {
                Learned::Nothing => continue,
                Learned::Entry => 0,
                Learned::LateEntry(back) | Learned::Departure(back) => back,
            };
            let (entry, written) =
                shown[shown.len().saturating_sub(1 + back)].clone();
            if entry.is_draining {
                left = left.max(Some(written));
            } else {
                ready = ready.max(written);
            }
            match learned {
                Learned::Departure(_) if entry.is_draining => {
                    let departure = Departure::of_entry(&id(), entry.revision);
                    view.apply_departure(&departure, now);
                }
                Learned::Departure(_) => {}
                _ => {
                    view.apply_entry(entry, now);
                }
            }
            if left.is_some_and(|left| left > ready) {
                prop_assert!(!is_usable(&view), "{left:?} {ready}");
            }
        }
    }

    /// An endpoint's newest entry applies, whichever earlier incarnations the
    /// copies showed from which the store was restored.
    #[test]
    fn the_newest_incarnation_applies_after_restores(
        steps in prop::collection::vec((life(), learned()), 1..60),
        is_draining in any::<bool>(),
    ) {
        let now = Instant::now();
        let mut era = 1;
        let mut born: Incarnation = 1_000;
        let mut history = vec![born];
        let shown_at = |era, history: &[Incarnation], is_draining| {
            let last = *history.last().expect("an entry");
            let first = history.iter().rposition(|born| *born != last);
            let number = first.map_or(1, |first| first as u64 + 2);
            Endpoint { born: Some(last), ..entry(era, number, is_draining) }
        };
        let mut shown = vec![shown_at(era, &history, false)];
        let mut view = FleetView::new("z1");
        for (life, learned) in steps {
            match life {
                Life::Other => history.push(*history.last().expect("an entry")),
                Life::Restart => {
                    born += 1_000;
                    history.push(born);
                }
                Life::Restore(lost) => {
                    era += 1;
                    let kept = history.len().saturating_sub(lost).max(1);
                    history.truncate(kept);
                }
            }
            shown.push(shown_at(era, &history, false));
            let back = match learned {
                Learned::Entry => 0,
                Learned::LateEntry(back) => back,
                Learned::Nothing | Learned::Departure(_) => continue,
            };
            let late = shown[shown.len().saturating_sub(1 + back)].clone();
            view.apply_entry(late, now);
        }
        let number = history.len() as u64 + 1;
        let newest = entry(era, number, is_draining);
        view.apply_entry(Endpoint { born: Some(born), ..newest }, now);
        prop_assert_eq!(view.incarnation(&id()), Some(born));
        prop_assert_eq!(is_usable(&view), !is_draining);
    }

    /// An instance that reads the newest entry and never knew of a departure
    /// goes by that entry, whatever it knew of earlier eras.
    #[test]
    fn the_newest_entry_decides_without_a_departure(
        lost in 1_usize..20,
        written in 1_usize..20,
        is_draining in any::<bool>(),
    ) {
        let mut store =
            ModelStore { era: 1, history: vec![(1, false, 0)] };
        let mut view = view_of(vec![store.shown().0]);
        for step in 1..20 {
            store.apply(Write::Ready, step);
        }
        view.apply_entry(store.shown().0, Instant::now());
        store.apply(Write::Restore(lost), 20);
        for step in 0..written {
            store.apply(Write::Other, 21 + step);
        }
        let last = match is_draining {
            true => Write::Draining,
            false => Write::Ready,
        };
        store.apply(last, 50);
        view.apply_entry(store.shown().0, Instant::now());
        prop_assert_eq!(is_usable(&view), !is_draining);
    }
}

proptest! {
    #[test]
    fn epochs_of_a_later_era_are_higher(
        era in 1..StoreEra::MAX,
        holders in 0_u64..1_000_000,
    ) {
        let last = epoch_floor(era) + holders;
        prop_assert!(last < epoch_floor(era + 1));
        prop_assert_eq!(era_of(last), era);
    }
}
