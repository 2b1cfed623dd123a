//! Endpoints and configurations for tests.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use sedgewall_fleet::{
    adapter::AdapterKey,
    customer::Customers,
    endpoint::{Endpoint, EngineReport, HostedModel},
    engine_pools::PoolReport,
    note::Status,
    route::{
        BaseModel, CallerLimits, EngineGroup, RoutingConfiguration, Service,
    },
    view::{Choice, FleetView, Need},
    work::Work,
};

pub const SERVICE: &str = "coach";
pub const MODEL: &str = "m";
pub const SLOTS: u32 = 32;
pub const PLACES: u32 = 4;

pub fn key(n: u32) -> AdapterKey {
    AdapterKey::new(MODEL, &format!("a{n}"))
}

pub fn endpoint(id: &str, zone: &str, adapters: &[u32]) -> Endpoint {
    let port = 8_000 + id.bytes().map(u16::from).sum::<u16>();
    Endpoint {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.to_owned(),
        slots: SLOTS,
        revision: 1.into(),
        is_draining: false,
        remaining: None,
        models: vec![hosted(adapters)],
        born: None,
        software_version: None,
    }
}

pub fn hosted(adapters: &[u32]) -> HostedModel {
    HostedModel {
        key: AdapterKey::base(MODEL),
        version: 1,
        adapters: adapters.iter().map(|n| (key(*n), 1)).collect(),
    }
}

pub fn report(adapters: &[u32], orders_taken: u64) -> EngineReport {
    EngineReport {
        models: vec![hosted(adapters)],
        loading: Vec::new(),
        is_busy: false,
        orders_taken,
        born: None,
    }
}

pub fn routing() -> RoutingConfiguration {
    let model = BaseModel {
        name: MODEL.to_owned(),
        weights_mb: 65_000.0,
        load_time: Duration::from_millis(600),
        adapter_count: 100,
        adapter_mb: 12.0,
    };
    let engine = EngineGroup {
        slots: SLOTS,
        kv_tokens: 200_000,
        adapter_slots: PLACES,
        weights_mb: 67_000.0,
        loads_per_s: 9.3,
        models: vec![model],
    };
    let service = Service { max_connections: 200, engine: Some(engine) };
    RoutingConfiguration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        limits: CallerLimits::default(),
        customers: Customers::default(),
    }
}

/// Returns a configuration whose engines have this many places for adapters.
pub fn routing_with_places(places: u32) -> RoutingConfiguration {
    let mut routing = routing();
    let engines =
        routing.services.values_mut().filter_map(|s| s.engine.as_mut());
    engines.for_each(|engine| engine.adapter_slots = places);
    routing
}

pub fn choose(
    view: &FleetView,
    key: &AdapterKey,
    now: sedgewall_clock::Instant,
) -> Choice {
    view.choose(need(key), now)
}

pub fn sent_to(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Send(target) => Some(&target.id),
        _ => None,
    }
}

/// Returns the work of `count` requests without prompts.
pub fn requests(count: u32) -> Work {
    let mut work = Work::default();
    for _ in 0..count {
        work.begin(None, 0);
    }
    work
}

/// Returns a status note of a peer with this work in flight.
pub fn status(from: &str, work: Vec<(String, Work)>) -> Status {
    Status {
        from: from.to_owned(),
        sequence: 1,
        next_in_ms: 150,
        leads: None,
        configuration: 1,
        versions: 0,
        store_is_out: false,
        is_leaving: false,
        asked_by_customers: Vec::new(),
        departures: Vec::new(),
        work,
        is_total: false,
        is_part: false,
        crashes: Vec::new(),
        condemned: 0,
        limits: Vec::new(),
        pools: PoolReport::default(),
    }
}

/// Returns the needs of a request with a short prompt.
pub fn need(key: &AdapterKey) -> Need<'_> {
    Need {
        service: SERVICE,
        key: Some(key),
        exclude: &[],
        software_version: None,
        draw: 7,
        prompt_tokens: 600,
        target_latency: Duration::from_millis(600),
        may_wait: false,
        is_late: false,
    }
}
