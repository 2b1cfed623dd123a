//! Benchmarks of routing and placement decisions in a large installation: 90
//! engines with nine adapter slots each, all in use, and 1,100 requested
//! adapters.

#![allow(missing_docs, reason = "criterion's macro makes a public function")]

use std::{collections::BTreeMap, hint::black_box, time::Duration};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    customer::Customers,
    demand::Demand,
    endpoint::{Endpoint, EngineReport, HostedModel},
    load_rate_limiter::LoadRateLimiter,
    load_times::LoadTimes,
    placement::PlacementPlanner,
    route::{
        BaseModel, CallerLimits, EngineGroup, RoutingConfiguration, Service,
    },
    view::{FleetView, Need},
};

const SERVICE: &str = "coach";
const MODEL: &str = "m";
const ENGINES: u32 = 90;
const PLACES: u32 = 9;
const ASKED_FOR: u32 = 1_100;
const WAITED_FOR: u32 = 300;

fn key(n: u32) -> AdapterKey {
    AdapterKey::new(MODEL, &format!("a{n}"))
}

fn id(engine: u32) -> String {
    format!("i-{engine:010}")
}

fn hosted(engine: u32) -> HostedModel {
    let first = engine * PLACES;
    let adapters = (first..first + PLACES).map(|n| (key(n), 1)).collect();
    HostedModel { key: AdapterKey::base(MODEL), version: 1, adapters }
}

fn view(now: Instant) -> FleetView {
    let mut view = FleetView::new("z1");
    for engine in 0..ENGINES {
        let endpoint = Endpoint {
            id: id(engine),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 8_000).into(),
            zone: format!("z{}", engine % 3),
            slots: 12,
            revision: 1.into(),
            is_draining: false,
            remaining: None,
            models: vec![hosted(engine)],
            born: None,
            software_version: None,
        };
        view.apply_entry(endpoint, now);
        let report = EngineReport {
            models: vec![hosted(engine)],
            loading: Vec::new(),
            is_busy: false,
            orders_taken: 0,
            born: None,
        };
        view.apply_report(&id(engine), &report, now);
    }
    view
}

fn demand(now: Instant) -> Demand {
    let mut demand = Demand::default();
    let earlier = now - Duration::from_secs(3);
    for n in 0..ASKED_FOR {
        demand.add(&key(n), 1 + n % 5, "z1", earlier);
    }
    for n in ASKED_FOR - WAITED_FOR..ASKED_FOR {
        demand.add(&key(n), 1, "z1", now);
        demand.mark_waiting(&key(n), 1);
    }
    demand
}

fn routing() -> RoutingConfiguration {
    let model = BaseModel {
        name: MODEL.to_owned(),
        weights_mb: 65_000.0,
        load_time: Duration::from_millis(600),
        adapter_count: 0,
        adapter_mb: 12.0,
    };
    let engine = EngineGroup {
        slots: 12,
        kv_tokens: 175_000,
        adapter_slots: PLACES,
        weights_mb: 67_000.0,
        loads_per_s: 38.0,
        models: vec![model],
    };
    let service = Service { max_connections: 590, engine: Some(engine) };
    RoutingConfiguration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        limits: CallerLimits::default(),
        customers: Customers::default(),
    }
}

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let (view, demand, routing) = (view(now), demand(now), routing());
    criterion.bench_function("choose", |bench| {
        let key = key(400);
        let need = Need {
            service: SERVICE,
            key: Some(&key),
            exclude: &[],
            software_version: None,
            draw: 7,
            prompt_tokens: 600,
            target_latency: Duration::from_millis(600),
            may_wait: false,
            is_late: false,
        };
        bench.iter(|| black_box(view.choose(black_box(need), now)));
    });
    criterion.bench_function("plan, 300 waiting", |bench| {
        let rate = LoadRateLimiter::new(Duration::from_secs(5), 1.1);
        let fresh = || {
            (
                PlacementPlanner::new(1, rate.clone(), now),
                view.clone(),
                demand.clone(),
            )
        };
        bench.iter_batched(
            fresh,
            |(mut loader, mut view, mut demand)| {
                loader.plan(
                    &routing,
                    &mut view,
                    &mut demand,
                    &mut LoadTimes::default(),
                    now,
                )
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
