//! Tests of routes: which one a request takes, and to which service.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_fleet::customer::Customers;
use sedgewall_fleet::route::{
    Backend, BaseModel, CallerLimits, EngineGroup, Repetition, Route,
    RoutingConfiguration,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        is_public: false,
        repetition: Repetition::AtMostOnce,
        is_stream: false,
        is_resumable: false,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(600),
        gap: None,
        priority: 1,
        max_attempts: 1,
        backends: vec![
            Backend { service: "a".to_owned(), weight: 90.0 },
            Backend { service: "b".to_owned(), weight: 10.0 },
        ],
    }
}

fn routing(routes: Vec<Route>) -> RoutingConfiguration {
    RoutingConfiguration {
        version: 1,
        routes,
        services: BTreeMap::new(),
        limits: CallerLimits::default(),
        customers: Customers::default(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routing = routing(vec![
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/b/c/"),
    ]);
    let name = |host, path| routing.route(host, path).map(|r| &*r.name);
    assert_eq!(name("one.example", "/a/b/c/d"), Some("long"));
    assert_eq!(name("one.example", "/a/x"), Some("short"));
    assert_eq!(name("ONE.example", "/a/x"), Some("short"));
    assert_eq!(name("one.example", "/ab/"), None);
    assert_eq!(name("three.example", "/a/"), None);
}

#[test]
fn services_share_requests_by_their_weights() {
    let route = route("split", "one.example", "/a/");
    let picked = |draw| route.pick_service(draw).map(String::as_str);
    assert_eq!(picked(0.0), Some("a"));
    assert_eq!(picked(0.899), Some("a"));
    assert_eq!(picked(0.901), Some("b"));
    assert_eq!(picked(1.0), Some("b"));
}

#[test]
fn a_service_without_weight_gets_nothing() {
    let mut route = route("drained", "one.example", "/a/");
    route.backends[1].weight = 0.0;
    for draw in [0.0, 0.5, 0.99, 1.0] {
        assert_eq!(route.pick_service(draw).map(String::as_str), Some("a"));
    }
}

/// The memory may be full before all adapter slots are used.
#[test]
fn an_engine_holds_no_more_adapters_than_its_memory() {
    let mut group = EngineGroup {
        adapter_slots: 9,
        weights_mb: 65_200.0,
        models: vec![BaseModel {
            weights_mb: 65_100.0,
            adapter_mb: 12.0,
            ..BaseModel::default()
        }],
        ..EngineGroup::default()
    };
    assert_eq!(group.adapter_places(), 8);
    group.weights_mb = 65_400.0;
    assert_eq!(group.adapter_places(), 9);
    group.weights_mb = 65_000.0;
    assert_eq!(group.adapter_places(), 0);
}
