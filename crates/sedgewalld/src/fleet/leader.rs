//! Plans which models and adapters engines hold, while this instance holds the
//! lease on orders.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    load_rate_limiter::LoadRateLimiter, placement::PlacementPlanner,
};

use super::{
    engine_pools::PoolDecisions, instance::FleetInstance, orders::OrderQueues,
};
use crate::process;

/// The planning interval while no request waits.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum pause between two planning runs, so that many waiting requests
/// are planned together.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(10);

/// The pause after a planning run, as a multiple of the run's duration.
/// Planning thus uses at most a ninth of the processor.
const PAUSE_FACTOR: u32 = 8;

/// The interval at which faded demand is dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Plans and gives orders. Never returns.
pub(crate) async fn run(instance: Rc<FleetInstance>, orders: OrderQueues) {
    let mut last_cleanup = Instant::now();
    let mut epoch = None;
    let mut pools = PoolDecisions::default();
    loop {
        instance.planner_notified(PLAN_INTERVAL).await;
        let now = Instant::now();
        if now - last_cleanup >= CLEANUP_INTERVAL {
            last_cleanup = now;
            instance.demand.borrow_mut().forget(now);
            instance.load_times.borrow_mut().forget(now);
            orders.drop_stale_queues();
            drop_unneeded_requests(&instance, now);
            log_state(&instance, &orders, now);
        }
        let Some(held) = instance.current_lease(now) else {
            if epoch.take().is_some() {
                instance.view.borrow_mut().stop_ordering(now);
            }
            continue;
        };
        if now < held.order_from {
            continue;
        }
        if epoch != Some(held.epoch) {
            epoch = Some(held.epoch);
            instance.view.borrow_mut().stop_ordering(now);
            let window =
                Duration::from_secs_f64(instance.fleet.store_window_s);
            let load_rate_limiter =
                LoadRateLimiter::new(window, instance.fleet.store_overage);
            let planner =
                PlacementPlanner::new(held.epoch, load_rate_limiter, now);
            *orders.planner.borrow_mut() = Some(planner);
        }
        let Some(routing) = instance.routing() else { continue };
        pools.update(&instance, &routing, held.epoch, now);
        let planned = match orders.planner.borrow_mut().as_mut() {
            Some(planner) => planner.plan(
                &routing,
                &mut instance.view.borrow_mut(),
                &mut instance.demand.borrow_mut(),
                &mut instance.load_times.borrow_mut(),
                now,
            ),
            None => continue,
        };
        orders.dispatch(held.epoch, planned);
        let pause = MIN_PLAN_PAUSE.max(now.elapsed() * PAUSE_FACTOR);
        compio::time::sleep(pause).await;
    }
}

/// Drops the instances that asked for adapters which no request waits for any
/// more.
fn drop_unneeded_requests(instance: &FleetInstance, now: Instant) {
    let demand = instance.demand.borrow();
    instance
        .awaiting_instances
        .borrow_mut()
        .retain(|key, _| demand.get(key).is_some_and(|d| d.has_waiting(now)));
}

/// Logs one line a second: what is asked for and what the engines hold.
fn log_state(instance: &FleetInstance, orders: &OrderQueues, now: Instant) {
    if instance.current_lease(now).is_none() {
        return;
    }
    let Some(routing) = instance.routing() else { return };
    let demand = instance.demand.borrow();
    let view = instance.view.borrow();
    let mut times = instance.load_times.borrow_mut();
    let (estimate, in_flight) = (times.estimate(), times.in_flight(now));
    for (service, group) in routing.engines() {
        let engines =
            || view.endpoints().filter(|s| s.endpoint.service == service);
        let adapters: usize = engines()
            .map(|s| {
                s.placements().filter(|(k, _)| k.adapter.is_some()).count()
            })
            .sum();
        let loads_left = orders
            .planner
            .borrow_mut()
            .as_mut()
            .map(|planner| planner.loads_left(group.loads_per_s, now));
        tracing::info!(
            event = "holdings",
            service,
            engines = engines().count(),
            usable = engines().filter(|s| s.is_usable(now)).count(),
            adapters,
            places = group.adapter_places() * engines().count(),
            asked_for = demand.iter().count(),
            waiting =
                demand.iter().filter(|(_, d)| d.has_waiting(now)).count(),
            loads_left,
            load_ms = estimate.load_time.as_millis() as u64,
            loads_at_once = estimate.concurrency,
            loads_on_way = in_flight,
            load_answers = times.observations(),
            notes_heard = instance.counters.notes_received.get(),
            asked_heard = instance.counters.demand_reports_received.get(),
            cpu_ms = process::cpu_ms(),
        );
    }
}
