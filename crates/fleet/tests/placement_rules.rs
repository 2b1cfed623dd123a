//! Tests of the orders that the placement planner gives.

mod common;

use std::time::Duration;

use common::{
    MODEL, PLACES, SERVICE, endpoint, key, report, requests, routing,
    routing_with_places, status,
};
use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    demand::Demand,
    endpoint::{Endpoint, EngineReport, SoftwareVersion},
    load_rate_limiter::LoadRateLimiter,
    load_times::LoadTimes,
    order::{Order, Task},
    placement::PlacementPlanner,
    revision::Revision,
    view::FleetView,
    work::Work,
};

const WINDOW: Duration = Duration::from_secs(5);

fn planner(epoch: u64, now: Instant) -> PlacementPlanner {
    PlacementPlanner::new(epoch, LoadRateLimiter::new(WINDOW, 1.1), now)
}

/// Records that the engines have accepted the loads among these orders.
fn accept_loads(view: &mut FleetView, orders: &[Order], now: Instant) {
    for order in orders {
        if let Task::Load(key, _) = &order.task {
            view.order_accepted(&order.endpoint, key, now);
        }
    }
}

/// Plans without any observed load times.
fn plan(
    planner: &mut PlacementPlanner,
    view: &mut FleetView,
    demand: &mut Demand,
    now: Instant,
) -> Vec<Order> {
    let mut times = LoadTimes::default();
    planner.plan(&routing(), view, demand, &mut times, now)
}

/// Adds a number of requests for an adapter, given by its number, and marks
/// the adapter as waited for.
fn add_waiting_requests(
    demand: &mut Demand,
    adapter: u32,
    request_count: u32,
    now: Instant,
) {
    demand.add(&key(adapter), request_count, "z1", now);
    demand.mark_waiting(&key(adapter), 1);
}

/// Returns a view of engines that have all reported.
fn synced(engines: &[(&str, &[u32])], now: Instant) -> FleetView {
    let mut view = FleetView::new("z1");
    for (id, adapters) in engines {
        view.apply_entry(endpoint(id, "z1", adapters), now);
        view.apply_report(&(*id).to_owned(), &report(adapters, 0), now);
    }
    view
}

fn loads(orders: &[Order]) -> Vec<(&str, AdapterKey)> {
    orders
        .iter()
        .filter_map(|order| match &order.task {
            Task::Load(key, _) => Some((&*order.endpoint, key.clone())),
            _ => None,
        })
        .collect()
}

/// The adapter is held by an engine of another version, and other engines are
/// emptier.
#[test]
fn an_adapter_is_placed_at_the_version_of_a_resumed_stream() {
    let now = Instant::now();
    let version = |text: &str| SoftwareVersion(text.to_owned());
    let mut view = FleetView::new("z1");
    for (id, text, adapters) in
        [("e1", "v1", vec![2]), ("e2", "v2", vec![1]), ("e3", "v2", vec![])]
    {
        let software_version = Some(version(text));
        let entry =
            Endpoint { software_version, ..endpoint(id, "z1", &adapters) };
        view.apply_entry(entry, now);
        view.apply_report(&id.to_owned(), &report(&adapters, 0), now);
    }
    let mut demand = Demand::default();
    demand.mark_waiting_at(&key(1), &version("v1"), now);
    demand.mark_waiting_at(&key(1), &version("v3"), now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e1", key(1))]);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), []);
}

#[test]
fn an_engine_gets_no_order_before_it_has_reported() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[]), now);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    let tasks: Vec<_> = orders.iter().map(|o| &o.task).collect();
    assert_eq!(tasks, [&Task::Sync]);
}

#[test]
fn an_adapter_with_waiting_requests_is_loaded_once() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[]), ("e2", &[])], now);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders).len(), 1);
    add_waiting_requests(&mut demand, 1, 1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), []);
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let now = Instant::now();
    let full: &[u32] = &[1, 2, 3, 4];
    let mut view = synced(&[("e1", full)], now);
    let mut demand = Demand::default();
    for n in full {
        demand.add(&key(*n), 1, "z1", now);
    }
    add_waiting_requests(&mut demand, 9, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(orders, []);
    // Some seconds later, the adapter with the lowest rate is evicted.
    let later = now + Duration::from_secs(3);
    for n in [1, 2, 4] {
        demand.add(&key(n), 5, "z1", later);
    }
    add_waiting_requests(&mut demand, 9, 1, later);
    let orders = plan(&mut planner, &mut view, &mut demand, later);
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [Task::Unload(key(3)), Task::Load(key(9), 1)]);
}

/// An engine takes no order while requests run on an adapter that it was
/// ordered to unload. Evicting adapters in use kept engines from loading for
/// four fifths of the time with streams of 3 s.
#[test]
fn an_adapter_with_running_requests_is_not_evicted() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1, 2, 3, 4])], now);
    // The adapter with the lowest rate runs a request of this instance, the
    // next one a request of another instance.
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        state.own_work.begin(Some(&key(1)), 100);
    }
    let mut theirs = Work::default();
    theirs.begin(Some(&key(2)), 100);
    view.apply_status(status("peer", vec![("e1".to_owned(), theirs)]), now);
    let mut demand = Demand::default();
    demand.add(&key(3), 1, "z1", now);
    demand.add(&key(4), 2, "z1", now);
    let later = now + Duration::from_secs(3);
    add_waiting_requests(&mut demand, 9, 1, later);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, later);
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [Task::Unload(key(3)), Task::Load(key(9), 1)]);
}

#[test]
fn an_adapter_goes_back_to_the_engine_that_held_it() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1, 2, 3, 4]), ("e2", &[])], now);
    let mut demand = Demand::default();
    let mut planner = planner(1, now);
    add_waiting_requests(&mut demand, 9, 1, now);
    view.apply_entry(endpoint("e3", "z1", &[]), now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e2", key(9))]);
    let later = now + Duration::from_secs(4);
    let home = "e2".to_owned();
    view.apply_report(&home, &report(&[], 2), later);
    // Another engine has less load, but would need the weight store.
    view.apply_report(&"e3".to_owned(), &report(&[], 0), later);
    if let Some(state) = view.get_mut(&home) {
        state.own_work = requests(8);
    }
    add_waiting_requests(&mut demand, 9, 1, later);
    let orders = plan(&mut planner, &mut view, &mut demand, later);
    assert_eq!(loads(&orders), [("e2", key(9))]);
    assert!(orders.iter().all(|order| !order.is_cold));
}

#[test]
fn a_busy_adapter_gets_a_replica() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1]), ("e2", &[])], now);
    let mut demand = Demand::default();
    demand.add(&key(1), 200, "z1", now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e2", key(1))]);
}

/// Engines with a backlog of long prompts are not chosen for placement, and an
/// adapter that they hold gets a replica on an engine that starts sooner.
#[test]
fn an_adapter_on_an_engine_with_a_prompt_backlog_gets_a_replica() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1]), ("e2", &[]), ("e3", &[])], now);
    for n in 1..40_u64 {
        let took = Duration::from_millis(n * 50);
        view.observe_first_event(SERVICE, n * 1_000, took);
    }
    for id in ["e1", "e2"] {
        if let Some(state) = view.get_mut(&id.to_owned()) {
            state.own_work.begin(Some(&key(8)), 20_000);
        }
    }
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e3", key(1))]);
    // One replica is enough while it loads.
    add_waiting_requests(&mut demand, 1, 1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), []);
}

#[test]
fn a_new_version_replaces_the_old_one_in_place() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1])], now);
    let mut demand = Demand::default();
    demand.add(&key(1), 1, "z1", now);
    view.record_version(&key(1), 2, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [Task::Load(key(1), 2)]);
}

/// Guards against an order of an earlier epoch that an engine was left with and
/// carries out after the load of a base model, which raises no count of orders
/// if the engine holds the version already.
#[test]
fn the_first_order_of_an_epoch_to_an_engine_is_no_load_of_a_base_model() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1, 2])], now);
    let mut demand = Demand::default();
    demand.add(&key(1), 1, "z1", now);
    let later = now + WINDOW;
    view.record_version(&AdapterKey::base(MODEL), 2, now);
    let mut second = planner(2, now);
    let orders = plan(&mut second, &mut view, &mut demand, later);
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    let load = Task::LoadModel(MODEL.to_owned());
    assert_eq!(tasks, [Task::Unload(key(2)), load.clone()]);

    let mut view = synced(&[("e1", &[1, 2])], now);
    view.record_version(&AdapterKey::base(MODEL), 2, now);
    let mut second = planner(2, now);
    second.record_raised_count(2, &"e1".to_owned());
    let orders = plan(&mut second, &mut view, &mut demand, later);
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [load]);
}

/// An outdated version occupies a place until its requests have ended.
#[test]
fn a_replacement_takes_a_place_beside_the_old_version() {
    let now = Instant::now();
    // No place is free: the outdated version is unloaded, and demand brings
    // the new one.
    let mut view = synced(&[("e1", &[1, 2, 3, 4])], now);
    let mut demand = Demand::default();
    demand.add(&key(1), 1, "z1", now);
    view.record_version(&key(1), 2, now);
    let mut full = planner(1, now);
    let orders = full.plan(
        &routing(),
        &mut view,
        &mut demand,
        &mut LoadTimes::default(),
        now,
    );
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [Task::Unload(key(1))]);
    // One place is free: the replacement takes it, and no other adapter does.
    let mut view = synced(&[("e1", &[1, 2, 3])], now);
    view.record_version(&key(1), 2, now);
    for n in [1, 2, 3] {
        demand.add(&key(n), 1, "z1", now);
    }
    add_waiting_requests(&mut demand, 9, 1, now);
    let mut free = planner(1, now);
    let orders = free.plan(
        &routing(),
        &mut view,
        &mut demand,
        &mut LoadTimes::default(),
        now,
    );
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [Task::Load(key(1), 2)]);
}

#[test]
fn an_empty_engine_gets_its_base_model() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    let mut empty = endpoint("e1", "z1", &[]);
    empty.models.clear();
    view.apply_entry(empty, now);
    let mut nothing = report(&[], 0);
    nothing.models.clear();
    view.apply_report(&"e1".to_owned(), &nothing, now);
    let mut planner = planner(1, now);
    let mut demand = Demand::default();
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    let tasks: Vec<_> = orders.iter().map(|o| o.task.clone()).collect();
    assert_eq!(tasks, [Task::LoadModel(MODEL.to_owned())]);
}

#[test]
fn a_draining_engine_gets_no_orders() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[])], now);
    let mut leaving = endpoint("e1", "z1", &[]);
    leaving.is_draining = true;
    view.apply_entry(leaving, now);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(orders, []);
}

#[test]
fn a_new_holder_assumes_that_the_rate_was_used() {
    let now = Instant::now();
    let mut used = planner(2, now);
    assert_eq!(used.loads_left(9.3, now), 0);
    assert!(used.loads_left(9.3, now + WINDOW) > 40);
    let mut first = planner(1, now);
    assert!(first.loads_left(9.3, now) > 40);
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Requested(u32, u32),
    Elapsed(u64),
    Unlisted(usize),
    Listed(usize, Vec<u32>),
    AdapterAbsent(usize, u32),
}

fn step() -> impl Strategy<Value = Step> {
    let adapters = proptest::collection::vec(1u32..40, 0..4);
    prop_oneof![
        6 => (1u32..40, 1u32..30).prop_map(|(n, c)| Step::Requested(n, c)),
        4 => (10u64..2_500).prop_map(Step::Elapsed),
        1 => (0usize..3).prop_map(Step::Unlisted),
        1 => ((0usize..3), adapters).prop_map(|(e, a)| Step::Listed(e, a)),
        1 => ((0usize..3), (1u32..40))
            .prop_map(|(e, n)| Step::AdapterAbsent(e, n)),
    ]
}

proptest! {
    /// The engines carry out each order. None may ever hold more adapters than
    /// it has places, whatever the outdated list says.
    #[test]
    fn no_engine_is_ordered_beyond_its_places(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut now = Instant::now();
        let ids = ["e1", "e2", "e3"];
        let mut held: Vec<Vec<AdapterKey>> = vec![Vec::new(); 3];
        let mut view = FleetView::new("z1");
        for id in ids {
            view.apply_entry(endpoint(id, "z1", &[]), now);
        }
        let mut demand = Demand::default();
        let mut planner = planner(1, now);
        for (number, step) in (2_u64..).zip(steps) {
            let revision = Revision::from(number);
            match step {
                Step::Requested(n, times) => add_waiting_requests(&mut demand, n, times, now),
                Step::Elapsed(ms) => now += Duration::from_millis(ms),
                Step::Unlisted(e) => {
                    view.remove_entry(&ids[e].to_owned(), revision, true, now);
                }
                Step::Listed(e, adapters) => {
                    let mut entry = endpoint(ids[e], "z1", &adapters);
                    entry.revision = revision;
                    view.apply_entry(entry, now);
                }
                Step::AdapterAbsent(e, n) => {
                    let id = ids[e].to_owned();
                    view.record_absent(&id, &key(n), now);
                }
            }
            let orders =
                plan(&mut planner, &mut view, &mut demand, now);
            for order in orders {
                let e = ids.iter().position(|id| **id == order.endpoint);
                let Some(e) = e else { continue };
                let mut state = report(&[], 0);
                let adapters = &mut state.models[0].adapters;
                adapters.extend(held[e].iter().map(|k| (k.clone(), 1)));
                let id = &order.endpoint;
                match order.task {
                    Task::Sync => _ = view.apply_report(id, &state, now),
                    Task::ConfirmLoads => view.confirm_loads(id, &state, now),
                    Task::Load(key, _) => {
                        view.order_accepted(id, &key, now);
                        if !held[e].contains(&key) {
                            held[e].push(key);
                        }
                    }
                    Task::Unload(key) => held[e].retain(|k| *k != key),
                    Task::LoadModel(_) => {}
                }
                prop_assert!(held[e].len() <= PLACES as usize);
            }
        }
    }
}

/// Guards against reverted orders that free a place in the view. The lease was
/// about to lapse but did not: orders that had not been sent were dropped, and
/// the adapters that they were to unload were still loaded.
#[test]
fn reverted_orders_free_no_place() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1, 2, 3, 4])], now);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 9, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e1", key(9))]);

    for order in &orders {
        order.revert(&mut view);
    }
    let later = now + Duration::from_secs(1);
    add_waiting_requests(&mut demand, 10, 1, later);
    let orders = plan(&mut planner, &mut view, &mut demand, later);
    let tasks: Vec<_> = orders.iter().map(|o| &o.task).collect();
    assert_eq!(tasks, [&Task::Sync]);
}

/// An engine acknowledges the eviction of an adapter that is still loading,
/// but the load completes afterwards.
#[test]
fn a_loading_adapter_is_not_evicted() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1, 2, 3])], now);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 9, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e1", key(9))]);

    let later = now + Duration::from_millis(1_500);
    for n in [1, 2, 3, 10] {
        add_waiting_requests(&mut demand, n, 20, later);
    }
    let orders = plan(&mut planner, &mut view, &mut demand, later);
    let left = orders.iter().any(|o| o.task == Task::Unload(key(9)));
    assert!(!left, "{orders:?}");
}

/// Symptom: 250 of 1,000 requests per second were refused for adapters that
/// were not loaded, beside 160 free places. Sequence: engines are replaced;
/// the new ones hold nothing; the old ones still have the adapters in memory,
/// but all their places are in use. Cause: an adapter waited for an engine
/// with the adapter in memory, however long that took.
#[test]
fn a_free_place_is_used_if_engines_with_the_adapter_in_memory_are_full() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[9]), ("e2", &[])], now);
    view.apply_report(&"e1".to_owned(), &report(&[1, 2, 3, 4], 0), now);
    if let Some(state) = view.get_mut(&"e1".to_owned()) {
        for n in 1..=4 {
            state.own_work.begin(Some(&key(n)), 100);
        }
    }
    assert_eq!(view.warm(&key(9)), ["e1"]);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 9, 1, now);
    let mut planner = planner(1, now);
    let mut times = LoadTimes::default();
    let orders =
        planner.plan(&routing(), &mut view, &mut demand, &mut times, now);
    assert_eq!(loads(&orders), [("e2", key(9))]);
}

/// Symptom: with 1,010 engines, a requested adapter waited for 2 s. Cause: a
/// planning pass counted the base model's holders for each engine and each
/// order, and the next pass starts after eight times the duration of the last
/// one.
#[test]
fn planning_scales_to_a_thousand_engines() {
    let now = Instant::now();
    let ids: Vec<String> = (0..1_010).map(|n| format!("e{n:04}")).collect();
    let engines: Vec<(&str, &[u32])> =
        ids.iter().map(|id| (id.as_str(), &[][..])).collect();
    let mut view = synced(&engines, now);
    let mut demand = Demand::default();
    for n in 1..=100 {
        add_waiting_requests(&mut demand, n, 1, now);
        demand.mark_waiting(&key(n), 1);
    }
    let orders = plan(&mut planner(1, now), &mut view, &mut demand, now);
    let placed = loads(&orders);
    assert_eq!(placed.len(), 100);
    let mut used: Vec<&str> = placed.iter().map(|(id, _)| *id).collect();
    used.sort_unstable();
    used.dedup();
    assert!(used.len() > 90, "{} engines", used.len());
}

/// Symptom: an engine was ordered to load more adapters at once than the
/// platform allows. Seen once, not reproduced by the same run. Suspected
/// sequence, from the orders to the same engine at that time: the store is
/// back after an outage and the lease is taken again; one burst orders one
/// load from the engine's own memory and three from the weight store; all
/// loads take longer, since more are in flight than run at full speed; the
/// first load is assumed to be complete, and a fifth is ordered. Cause: a load
/// counted as complete at its predicted time.
#[test]
fn a_late_load_counts_against_the_limit_of_concurrent_loads() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[])], now);
    let mut planner = planner(1, now);
    let mut times = LoadTimes::default();
    let mut demand = Demand::default();
    let roomy = routing_with_places(9);
    let mut ordered = |n: std::ops::RangeInclusive<u32>, view: &mut _, at| {
        for n in n {
            add_waiting_requests(&mut demand, n, 1, at);
        }
        let orders = planner.plan(&roomy, view, &mut demand, &mut times, at);
        loads(&orders).into_iter().map(|(_, key)| key).collect::<Vec<_>>()
    };
    let first = ordered(1..=3, &mut view, now);
    assert_eq!(first.len(), 3);
    for key in &first {
        view.order_accepted(&"e1".to_owned(), key, now);
    }
    let expected = Duration::from_millis(280);
    let later = now + expected + Duration::from_millis(20);
    assert_eq!(ordered(4..=4, &mut view, later).len(), 1);
    // Nine places are available, but only four loads may be in flight.
    view.order_accepted(&"e1".to_owned(), &key(4), later);
    assert!(ordered(5..=5, &mut view, later).is_empty());
    // A request has shown that one adapter is loaded.
    view.confirm_load(&"e1".to_owned(), &first[0], true, later);
    let soon = later + Duration::from_millis(10);
    assert_eq!(ordered(5..=5, &mut view, soon).len(), 1);
}

/// An adapter whose only engine accepts no more requests from some instance,
/// because of its limit or a cooldown, is placed on another engine that is not
/// saturated.
#[test]
fn an_adapter_on_a_saturated_engine_is_placed_elsewhere() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[1]), ("e2", &[]), ("e3", &[])], now);
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, now);
    let mut planner = planner(1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [], "its engine has room");

    let time = Duration::from_secs(1);
    for id in ["e1", "e2"] {
        view.mark_saturated(&id.to_owned(), time, now);
    }
    add_waiting_requests(&mut demand, 1, 1, now);
    let orders = plan(&mut planner, &mut view, &mut demand, now);
    assert_eq!(loads(&orders), [("e3", key(1))]);
}

/// A replaced version occupies its place for as long as its requests run,
/// until the engine's entry shows that it is gone.
#[test]
fn a_replaced_version_occupies_a_place_until_the_entry_shows_its_end() {
    let start = Instant::now();
    let mut view = synced(&[("e1", &[1, 2])], start);
    view.record_version(&key(1), 2, start);
    let mut demand = Demand::default();
    let mut planner = planner(1, start);
    let mut loads_at = |view: &mut FleetView, now| {
        for n in [1, 2] {
            demand.add(&key(n), 1, "z1", now);
        }
        for n in [8, 9] {
            add_waiting_requests(&mut demand, n, 1, now);
        }
        let orders = plan(&mut planner, view, &mut demand, now);
        accept_loads(view, &orders, now);
        loads(&orders).len()
    };
    // The replacement of adapter 1 and one more adapter fill four places.
    assert_eq!(loads_at(&mut view, start), 2);
    let later = start + Duration::from_secs(5);
    assert_eq!(loads_at(&mut view, later), 0);
    let mut entry = endpoint("e1", "z1", &[1, 2]);
    entry.revision = 2.into();
    entry.models[0].adapters[0].1 = 2;
    view.apply_entry(entry, later);
    assert_eq!(loads_at(&mut view, later + Duration::from_millis(500)), 1);
}

/// Guards against an order beyond the places: the engine confirmed that it
/// unloaded an adapter whose load took longer than expected, and loaded it all
/// the same.
#[test]
fn an_adapter_whose_load_may_go_on_is_not_evicted() {
    let start = Instant::now();
    let mut view = synced(&[("e1", &[1, 2])], start);
    let id = "e1".to_owned();
    for used in [1, 2] {
        let state = view.get_mut(&id).expect("an engine");
        state.own_work.begin(Some(&key(used)), 0);
    }
    let mut demand = Demand::default();
    let mut planner = planner(1, start);
    let mut tasks_at = |view: &mut FleetView, wanted: &[u32], now| {
        for n in wanted {
            add_waiting_requests(&mut demand, *n, 1, now);
        }
        let orders = plan(&mut planner, view, &mut demand, now);
        accept_loads(view, &orders, now);
        orders.into_iter().map(|order| order.task).collect::<Vec<_>>()
    };
    assert_eq!(tasks_at(&mut view, &[3, 4], start).len(), 2);
    let later = start + Duration::from_secs(20);
    assert_eq!(tasks_at(&mut view, &[9], later), [Task::ConfirmLoads]);

    // The engine still loads one of them.
    let one_is_coming =
        EngineReport { loading: vec![(key(4), 1)], ..report(&[1, 2, 3], 2) };
    view.confirm_loads(&id, &one_is_coming, later);
    let later = later + Duration::from_millis(100);
    let tasks = tasks_at(&mut view, &[9], later);
    assert!(
        matches!(&tasks[..], [Task::Unload(evicted), Task::Load(..)]
            if *evicted == key(3)),
        "{tasks:?}"
    );
}

/// What an engine holds is unknown if its report lacks an adapter that it was
/// ordered to load long before.
#[test]
fn a_report_that_lacks_an_ordered_adapter_makes_the_contents_unknown() {
    let start = Instant::now();
    let mut view = synced(&[("e1", &[])], start);
    let id = "e1".to_owned();
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, start);
    let mut planner = planner(1, start);
    assert_eq!(plan(&mut planner, &mut view, &mut demand, start).len(), 1);
    let later = start + Duration::from_secs(2);
    view.order_accepted(&id, &key(1), later);
    // The report may be older than the load.
    view.confirm_loads(&id, &report(&[], 0), start);
    let is_known = |view: &FleetView| {
        view.get(&id).expect("an engine").is_ordered_by_us()
    };
    assert!(is_known(&view));
    view.confirm_loads(&id, &report(&[], 1), later + Duration::from_secs(1));
    assert!(!is_known(&view));
}

/// Guards against a fifth load at an engine that accepts four at once: a load
/// counted as ended by the clock.
#[test]
fn overdue_loads_count_until_the_engine_shows_that_they_have_ended() {
    let start = Instant::now();
    let mut view = synced(&[("e1", &[])], start);
    let id = "e1".to_owned();
    let mut demand = Demand::default();
    let mut planner = planner(1, start);
    let mut times = LoadTimes::default();
    let roomy = routing_with_places(9);
    let mut tasks_at = |view: &mut FleetView, wanted: &[u32], now| {
        for n in wanted {
            add_waiting_requests(&mut demand, *n, 1, now);
        }
        let orders = planner.plan(&roomy, view, &mut demand, &mut times, now);
        accept_loads(view, &orders, now);
        orders.into_iter().map(|order| order.task).collect::<Vec<_>>()
    };
    assert_eq!(tasks_at(&mut view, &[1, 2, 3, 4], start).len(), 4);
    let later = start + Duration::from_secs(20);
    assert_eq!(tasks_at(&mut view, &[5, 6, 7], later), [Task::ConfirmLoads]);

    let two_are_coming = EngineReport {
        loading: vec![(key(3), 1), (key(4), 1)],
        ..report(&[1, 2], 4)
    };
    view.confirm_loads(&id, &two_are_coming, later);
    let later = later + Duration::from_millis(100);
    let tasks = tasks_at(&mut view, &[5, 6, 7], later);
    assert!(
        matches!(tasks[..], [Task::Load(..), Task::Load(..)]),
        "{tasks:?}"
    );
}

/// Guards against a load that counts as ended because of a request that found
/// the adapter where it had been before.
#[test]
fn a_request_that_was_sent_before_a_load_began_does_not_confirm_it() {
    let start = Instant::now();
    let mut view = synced(&[("e1", &[])], start);
    let id = "e1".to_owned();
    let mut demand = Demand::default();
    add_waiting_requests(&mut demand, 1, 1, start);
    let mut planner = planner(1, start);
    let accepted = start + Duration::from_millis(20);
    assert_eq!(plan(&mut planner, &mut view, &mut demand, start).len(), 1);
    view.order_accepted(&id, &key(1), accepted);

    assert!(!view.confirm_load(&id, &key(1), true, start));
    let has_ended = |view: &FleetView| {
        let state = view.get(&id).expect("an engine");
        state.placement(&key(1)).expect("a placement").has_ended()
    };
    assert!(!has_ended(&view));
    let sent = accepted + Duration::from_millis(300);
    assert!(view.confirm_load(&id, &key(1), true, sent));
    assert!(has_ended(&view));
}

/// Guards against a fifth load at an engine that accepts four at once: a newer
/// version was ordered whatever was being loaded.
#[test]
fn a_replacement_counts_against_the_limit_of_concurrent_loads() {
    let now = Instant::now();
    let mut view = synced(&[("e1", &[9])], now);
    let mut demand = Demand::default();
    let mut planner = planner(1, now);
    let mut times = LoadTimes::default();
    let roomy = routing_with_places(9);
    let mut loads_at = |wanted: &[u32], view: &mut FleetView, at| {
        for n in wanted {
            add_waiting_requests(&mut demand, *n, 1, at);
        }
        let orders = planner.plan(&roomy, view, &mut demand, &mut times, at);
        accept_loads(view, &orders, at);
        loads(&orders).into_iter().map(|(_, key)| key).collect::<Vec<_>>()
    };
    assert_eq!(loads_at(&[1, 2, 3, 4], &mut view, now).len(), 4);
    let later = now + Duration::from_millis(150);
    view.record_version(&key(9), 2, later);
    assert_eq!(loads_at(&[9], &mut view, later), []);

    let sent = later + Duration::from_millis(200);
    view.confirm_load(&"e1".to_owned(), &key(1), true, sent);
    assert_eq!(loads_at(&[], &mut view, sent), [key(9)]);
}
