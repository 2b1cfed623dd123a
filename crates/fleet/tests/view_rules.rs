//! Tests of the table of endpoints: where a request may go, and which source
//! takes precedence.

mod common;

use std::time::Duration;

use common::{
    SERVICE, choose, endpoint, key, need, report, requests, sent_to, status,
};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    departure::Departure,
    endpoint::{Endpoint, SoftwareVersion},
    note::{Placed, Removed, Status},
    view::{Choice, FleetView, Need},
};

fn placed(endpoint: &str, n: u32, ready_in_ms: u64) -> Placed {
    Placed {
        epoch: 1,
        endpoint: endpoint.to_owned(),
        key: key(n),
        version: 1,
        ready_in_ms,
        is_cold: false,
        born: None,
    }
}

fn departure(endpoint: &str, revision: u64) -> Departure {
    Departure::of_entry(&endpoint.to_owned(), revision.into())
}

#[test]
fn a_request_goes_only_to_an_endpoint_with_its_adapter() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_entry(endpoint("e2", "z1", &[2]), now);
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some("e1"));
    assert_eq!(sent_to(&choose(&view, &key(2), now)), Some("e2"));
    assert_eq!(choose(&view, &key(3), now), Choice::Absent);
}

#[test]
fn the_base_model_itself_needs_no_adapter() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[]), now);
    let base = AdapterKey::base(common::MODEL);
    assert_eq!(sent_to(&choose(&view, &base, now)), Some("e1"));
}

#[test]
fn a_draining_endpoint_gets_nothing() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    let mut leaving = endpoint("e1", "z1", &[1]);
    view.apply_entry(leaving.clone(), now);
    leaving.is_draining = true;
    view.apply_entry(leaving, now);
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
}

#[test]
fn an_endpoint_with_a_reported_departure_gets_nothing() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    assert!(view.apply_departure(&departure("e1", 1), now));
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
    assert!(!view.apply_departure(&departure("e1", 1), now));
}

#[test]
fn an_endpoint_whose_entry_is_gone_gets_nothing() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.remove_entry(&"e1".to_owned(), 2.into(), true, now);
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
}

#[test]
fn a_loading_adapter_is_used_once_it_is_ready() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[]), now);
    view.apply_placed(&placed("e1", 1, 270), now);
    let wait = Duration::from_millis(270);
    assert_eq!(choose(&view, &key(1), now), Choice::Loading(wait));
    assert_eq!(sent_to(&choose(&view, &key(1), now + wait)), Some("e1"));
}

#[test]
fn a_note_takes_precedence_over_a_late_list() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[2]), now);
    view.apply_placed(&placed("e1", 1, 0), now);
    let removed = Removed {
        epoch: 1,
        endpoint: "e1".to_owned(),
        key: key(2),
        born: None,
    };
    view.apply_removed(&removed, now);
    let soon = now + Duration::from_secs(1);
    view.apply_entry(endpoint("e1", "z1", &[2]), soon);
    assert_eq!(sent_to(&choose(&view, &key(1), soon)), Some("e1"));
    assert_eq!(choose(&view, &key(2), soon), Choice::Absent);
    let later = now + Duration::from_secs(10);
    view.apply_entry(endpoint("e1", "z1", &[2]), later);
    assert_eq!(choose(&view, &key(1), later), Choice::Absent);
    assert_eq!(sent_to(&choose(&view, &key(2), later)), Some("e1"));
}

#[test]
fn an_old_version_gets_requests_only_within_the_grace_period() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.record_version(&key(1), 2, now);
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some("e1"));
    // The platform allows 5 s from the announcement until the request runs.
    let late = now + Duration::from_millis(2_600);
    assert_eq!(choose(&view, &key(1), late), Choice::Absent);
    let mut new = endpoint("e2", "z1", &[]);
    new.models[0].adapters = vec![(key(1), 2)];
    view.apply_entry(new, late);
    let Choice::Send(target) = choose(&view, &key(1), late) else {
        panic!("the new version is there");
    };
    assert_eq!((&*target.id, target.expect_version), ("e2", Some(2)));
}

#[test]
fn the_newest_version_never_decreases() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.record_version(&key(1), 3, now);
    view.record_version(&key(1), 2, now);
    assert_eq!(view.newest(&key(1)).map(|(version, _)| version), Some(3));
}

/// Returns a peer's status note with `count` requests at one endpoint.
fn own_status(from: &str, sequence: u64, count: u32) -> Status {
    let work = vec![("e1".to_owned(), requests(count))];
    Status { sequence, ..status(from, work) }
}

fn in_flight(view: &FleetView) -> Option<u32> {
    view.get(&"e1".to_owned()).map(|state| state.in_flight())
}

#[test]
fn totals_of_the_lease_holder_count_while_they_are_valid() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_status(own_status("peer", 1, 5), now);
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        state.own_work = requests(2);
    }
    let told = view.publish_work();
    assert_eq!(told, [("e1".to_owned(), requests(2))]);
    let sums = Status { is_total: true, ..own_status("holder", 1, 9) };
    view.apply_status(sums, now);
    // The total is nine, of which two are this instance's own.
    assert_eq!(in_flight(&view), Some(9));
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        state.own_work = requests(3);
    }
    assert_eq!(in_flight(&view), Some(10));

    let later = now + Duration::from_millis(850);
    view.apply_status(own_status("peer", 2, 5), later);
    view.remove_silent_peers(now + Duration::from_millis(1_000));
    assert_eq!(in_flight(&view), Some(8));
}

#[test]
fn the_lease_holder_publishes_the_totals() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_entry(endpoint("e2", "z1", &[1]), now);
    view.apply_status(own_status("one", 1, 5), now);
    view.apply_status(own_status("two", 1, 3), now);
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        state.own_work = requests(2);
    }
    let totals = view.publish_totals();
    assert_eq!(totals.work, [("e1".to_owned(), requests(10))]);
    assert!(!totals.is_part);
}

/// Guards against herding: instances with the same table must not all choose
/// the same endpoint until the next note. The small service of a large
/// installation rejected 28 of 100 requests.
#[test]
fn many_instances_do_not_choose_the_same_endpoint() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    for n in 0..7 {
        view.apply_entry(endpoint(&format!("e{n}"), "z1", &[1]), now);
    }
    for n in 0..60 {
        view.apply_status(own_status(&format!("peer{n}"), 1, 0), now);
    }
    // One endpoint seems a little less loaded than the others.
    for n in 1..7 {
        if let Some(state) = view.get_mut(&format!("e{n}")) {
            state.own_work = requests(2);
        }
    }
    let chosen: Vec<String> = (0..700)
        .filter_map(|draw| {
            let key = key(1);
            let need = Need { draw, ..need(&key) };
            sent_to(&view.choose(need, now)).map(str::to_owned)
        })
        .collect();
    let least = chosen.iter().filter(|id| *id == "e0").count();
    assert!((100..350).contains(&least), "{least} of 700");
}

#[test]
fn the_less_loaded_endpoint_gets_the_request() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_entry(endpoint("e2", "z1", &[1]), now);
    let status = own_status("peer", 1, 20);
    view.apply_status(status, now);
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some("e2"));
}

#[test]
fn an_older_status_of_a_peer_changes_nothing() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    let status = |sequence, count| own_status("peer", sequence, count);
    view.apply_status(status(2, 5), now);
    view.apply_status(status(1, 9), now);
    assert_eq!(in_flight(&view), Some(5));
}

#[test]
fn a_silent_peer_no_longer_counts() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    let status = own_status("peer", 1, 5);
    view.apply_status(status, now);
    view.remove_silent_peers(now + Duration::from_millis(800));
    assert_eq!(in_flight(&view), Some(5));
    view.remove_silent_peers(now + Duration::from_millis(1_000));
    assert_eq!(in_flight(&view), Some(0));
    assert_eq!(view.live_peers(now), 0);
}

#[test]
fn a_full_endpoint_gets_no_more() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    let id = "e1".to_owned();
    if let Some(state) = view.get_mut(&id) {
        state.own_work = requests(2 * common::SLOTS);
    }
    assert_eq!(choose(&view, &key(1), now), Choice::Full);
}

#[test]
fn an_endpoint_that_rejected_a_request_is_not_chosen_again() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    let exclude = ["e1".to_owned()];
    let key = key(1);
    let need = Need { exclude: &exclude, ..need(&key) };
    assert_eq!(view.choose(need, now), Choice::NoEndpoint);
}

#[test]
fn a_rejected_request_frees_no_slot_in_the_lease_holders_table() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    let id = "e1".to_owned();
    view.apply_report(&id, &report(&[1], 3), now);
    view.record_absent(&id, &key(1), now);
    let state = view.get(&id);
    assert!(state.is_some_and(|state| state.placement(&key(1)).is_some()));
}

/// The platform's list is one second late.
#[test]
fn the_lease_holders_orders_take_precedence_over_the_list() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[]), now);
    let id = "e1".to_owned();
    view.apply_report(&id, &report(&[1, 2], 2), now);
    view.apply_placed(&placed("e1", 3, 0), now);
    let late = now + Duration::from_secs(20);
    view.apply_entry(endpoint("e1", "z1", &[1]), late);
    let placements = view.get(&id).map(|s| s.placements().count());
    // Three adapters and the base model.
    assert_eq!(placements, Some(4));
    view.stop_ordering(late);
    let placements = view.get(&id).map(|s| s.placements().count());
    assert_eq!(placements, Some(2));
}

/// The entry was removed while the store was down, and was added again.
#[test]
fn an_engine_whose_entry_was_added_again_is_not_known() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    let id = "e1".to_owned();
    view.apply_entry(endpoint("e1", "z1", &[]), now);
    view.apply_report(&id, &report(&[1], 1), now);
    assert!(view.get(&id).is_some_and(|s| s.is_ordered_by_us()));
    view.remove_entry(&id, 2.into(), true, now);
    let mut back = endpoint("e1", "z1", &[1]);
    back.revision = 3.into();
    view.apply_entry(back, now);
    assert!(view.get(&id).is_some_and(|s| !s.is_ordered_by_us()));
}

/// Records responses of engines that prefill 20 tokens per millisecond.
fn observe_first_events(view: &mut FleetView) {
    for n in 1..40_u64 {
        let took = Duration::from_millis(n * 50);
        view.observe_first_event(SERVICE, n * 1_000, took);
    }
}

#[test]
fn the_engine_with_the_earlier_first_event_gets_the_request() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_entry(endpoint("e2", "z1", &[1]), now);
    observe_first_events(&mut view);
    // One long prompt against three requests whose responses have begun.
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        state.own_work.begin(Some(&key(1)), 30_000);
    }
    if let Some(state) = view.get_mut(&"e2".to_owned()) {
        state.own_work = requests(3);
    }
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some("e2"));
}

#[test]
fn a_late_request_waits_for_another_copy_if_it_may() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_entry(endpoint("e2", "z1", &[]), now);
    observe_first_events(&mut view);
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        state.own_work.begin(Some(&key(1)), 30_000);
    }
    let key = key(1);
    let patient = Need { may_wait: true, ..need(&key) };
    assert_eq!(view.choose(patient, now), Choice::Busy(None));
    // The expected time is known once a copy is being loaded.
    let ready_in = Duration::from_millis(200);
    let placed = Placed {
        epoch: 1,
        endpoint: "e2".to_owned(),
        key: key.clone(),
        version: 1,
        ready_in_ms: 200,
        is_cold: false,
        born: None,
    };
    view.apply_placed(&placed, now);
    assert_eq!(view.choose(patient, now), Choice::Busy(Some(ready_in)));
    assert_eq!(sent_to(&view.choose(patient, now + ready_in)), Some("e2"));
    // A request that may not wait any longer is sent where it can run.
    let hasty = Need { may_wait: false, ..patient };
    assert_eq!(sent_to(&view.choose(hasty, now)), Some("e1"));
}

/// A prompt that is late by its own length gains nothing by waiting.
#[test]
fn a_request_that_is_late_by_its_own_prompt_does_not_wait() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    observe_first_events(&mut view);
    let key = key(1);
    let long = Need { prompt_tokens: 40_000, may_wait: true, ..need(&key) };
    assert_eq!(sent_to(&view.choose(long, now)), Some("e1"));
}

/// A list that is seconds old shows what an engine held before.
#[test]
fn an_older_entry_changes_nothing() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    let newer = Endpoint { revision: 9.into(), ..endpoint("e1", "z1", &[2]) };
    view.apply_entry(newer, now);
    let older = Endpoint { revision: 4.into(), ..endpoint("e1", "z1", &[1]) };
    view.apply_entry(older, now);
    let held = view.get(&"e1".to_owned()).expect("an endpoint");
    assert!(
        held.placement(&key(2)).is_some() && held.placement(&key(1)).is_none()
    );
}

/// Guards against a lease holder that does not learn of new engines while it
/// cannot reach the store. The store rejected the holder for 7 s while engines
/// crashed and were replaced, and other instances renewed its lease. The
/// holder heard of engines that left but not of new ones, so that 500 adapters
/// waited for slots while 18 new engines had none.
#[test]
fn a_lease_holder_without_the_store_learns_of_new_engines_from_notes() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    let known = endpoint("e1", "z1", &[1]).without_adapters();
    let new = endpoint("e2", "z1", &[2]).without_adapters();
    view.apply_entries(vec![known, new], now);
    // The known adapters of the first engine come from its own entry.
    let first = view.get(&"e1".to_owned()).expect("an engine");
    assert!(first.placement(&key(1)).is_some());
    let second = view.get(&"e2".to_owned()).expect("the new engine");
    assert!(second.has_model("m") && !second.is_ordered_by_us());
    // An engine that has left since is not brought back.
    let id = "e2".to_owned();
    view.apply_departure(&Departure::of_entry(&id, 5.into()), now);
    let older = endpoint("e2", "z1", &[2]).without_adapters();
    view.apply_entries(vec![older], now);
    let second = view.get(&"e2".to_owned()).expect("the engine");
    assert!(!second.is_usable(now));
}

/// Guards against sending requests to engines that have not accepted the load
/// order yet. The lease holder plans a load, a previous order to the same
/// engine is unanswered for 0.8 s, and an instance that asks is told of the
/// placement. Planned loads counted as accepted ones, so that 715 requests in
/// six seconds were sent to engines without their adapters, and used up the
/// retries of other requests.
#[test]
fn a_planned_load_occupies_a_slot_and_gets_no_requests() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[]), now);
    view.plan_placement(&placed("e1", 1, 250), now);
    let held = view.get(&"e1".to_owned()).expect("an engine");
    assert!(held.placement(&key(1)).is_some());
    assert_eq!(view.placement_notes(&key(1), 1, now), []);
    // The order is sent 0.8 s later, and the load begins then.
    let taken = now + Duration::from_millis(800);
    let choice = choose(&view, &key(1), taken);
    assert!(matches!(choice, Choice::Loading(_)), "{choice:?}");
    let ready_in = Duration::from_millis(250);
    assert_eq!(
        view.order_accepted(&"e1".to_owned(), &key(1), taken),
        Some(ready_in)
    );
    assert_eq!(view.placement_notes(&key(1), 1, taken).len(), 1);
    let choice = choose(&view, &key(1), taken + ready_in);
    assert_eq!(sent_to(&choice), Some("e1"));
}

/// Guards against notes that contain all totals: with 1,010 engines such a
/// note took a sixth of a relay's link, and with 3,000 it would not fit a
/// datagram.
#[test]
fn totals_of_many_endpoints_are_published_in_parts_and_converge() {
    let now = Instant::now();
    let ids: Vec<String> = (0..1_000).map(|n| format!("e{n:04}")).collect();
    let mut holder = FleetView::new("z1");
    let mut other = FleetView::new("z1");
    for id in &ids {
        holder.apply_entry(endpoint(id, "z1", &[]), now);
        other.apply_entry(endpoint(id, "z1", &[]), now);
    }
    let work = |n: u32| -> Vec<(String, sedgewall_fleet::work::Work)> {
        let loaded = ids.iter().enumerate().filter(|(at, _)| at % 3 != 0);
        let of = |at: usize| requests((at as u32 + n) % 7);
        loaded.map(|(at, id)| (id.clone(), of(at))).collect()
    };
    let mut sequence = 0;
    let mut tell = |holder: &mut FleetView, other: &mut FleetView| {
        let totals = holder.publish_totals();
        assert!(totals.work.len() <= 256);
        sequence += 1;
        let note = Status {
            sequence,
            is_total: true,
            is_part: totals.is_part,
            ..status("holder", totals.work)
        };
        let is_heard = sequence % 10 != 0;
        if is_heard {
            other.apply_status(note, now);
        }
    };
    for n in 0..5 {
        let note = Status { sequence: n, ..status("peer", work(n as u32)) };
        holder.apply_status(note, now);
        tell(&mut holder, &mut other);
    }
    for _ in 0..40 {
        tell(&mut holder, &mut other);
    }
    for id in &ids {
        let (told, known) = (other.get(id), holder.get(id));
        let in_flight =
            |s: &sedgewall_fleet::endpoint_state::EndpointState| s.in_flight();
        assert_eq!(told.map(in_flight), known.map(in_flight), "{id}");
    }
}

#[test]
fn entries_for_the_lease_holder_fit_a_note() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    for n in 1..=1_000 {
        let entry = endpoint(&format!("e{n}"), "z1", &[1, 2]);
        view.apply_entry(Endpoint { revision: n.into(), ..entry }, now);
    }
    let newer = view.entries_since(400.into());
    assert_eq!(newer.first().map(|e| e.revision), Some(401.into()));
    assert_eq!(newer.len(), 256);
    assert!(view.entries_since(view.newest_revision()).is_empty());
}

/// A resumed stream uses no endpoint of another or an unknown version, and a
/// few more places than new streams get.
#[test]
fn a_resumed_stream_is_sent_to_its_software_version_only() {
    let now = Instant::now();
    let key = key(1);
    let version = |text: &str| SoftwareVersion(text.to_owned());
    let mut view = FleetView::new("z1");
    for (id, software_version) in
        [("e1", Some("v1")), ("e2", Some("v2")), ("e3", None)]
    {
        let software_version = software_version.map(version);
        let entry = Endpoint { software_version, ..endpoint(id, "z1", &[1]) };
        view.apply_entry(entry, now);
    }
    let one = version("v1");
    let resumed = Need { software_version: Some(&one), ..need(&key) };
    for draw in 0..50 {
        let need = Need { draw, ..resumed };
        let Choice::Send(target) = view.choose(need, now) else {
            panic!("no endpoint")
        };
        assert_eq!(target.id, "e1");
        assert_eq!(target.software_version, Some(one.clone()));
    }
    let gone = version("v0");
    let none = Need { software_version: Some(&gone), ..need(&key) };
    assert_eq!(view.choose(none, now), Choice::NoEndpoint);
    let slots = view.get(&"e1".to_owned()).expect("e1").endpoint.slots;
    let full = requests(slots * 6 / 5);
    view.apply_status(status("i2", vec![("e1".to_owned(), full)]), now);
    assert!(matches!(view.choose(resumed, now), Choice::Send(_)));
    let exclude = ["e2".to_owned(), "e3".to_owned()];
    let new = Need { exclude: &exclude, ..need(&key) };
    assert_eq!(view.choose(new, now), Choice::Full);
}

/// Guards against requests on weights that were replaced long ago, because a
/// further version granted all older ones more time.
#[test]
fn a_further_version_grants_replaced_ones_no_more_time() {
    let start = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), start);
    let sent = |view: &FleetView, now| match choose(view, &key(1), now) {
        Choice::Send(target) => Some(target.expect_version),
        _ => None,
    };
    view.record_version(&key(1), 2, start);
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(sent(&view, at(2_000)), Some(None));
    assert_eq!(sent(&view, at(2_600)), None);
    view.record_version(&key(1), 3, at(5_000));
    assert_eq!(sent(&view, at(5_100)), None);
    // Version 2 may be used for a while.
    let mut entry = endpoint("e2", "z1", &[1]);
    entry.models[0].adapters[0].1 = 2;
    view.apply_entry(entry, at(5_100));
    assert_eq!(sent(&view, at(5_200)), Some(Some(2)));
    assert_eq!(sent(&view, at(7_600)), None);
}

/// Guards against streams that count as begun at the version which an endpoint
/// had before it restarted.
#[test]
fn an_endpoint_with_another_version_gets_nothing_until_its_entry_is_applied() {
    let now = Instant::now();
    let version = |text: &str| SoftwareVersion(text.to_owned());
    let entry = |text: &str, revision: u64| Endpoint {
        software_version: Some(version(text)),
        revision: revision.into(),
        ..endpoint("e1", "z1", &[1])
    };
    let mut view = FleetView::new("z1");
    view.apply_entry(entry("v1", 1), now);
    view.hold_back(&"e1".to_owned(), &version("v1"));
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some("e1"));
    view.hold_back(&"e1".to_owned(), &version("v2"));
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
    view.apply_entry(entry("v2", 2), now);
    assert_eq!(sent_to(&choose(&view, &key(1), now)), Some("e1"));
}
