//! Starts all parts of an instance on the one loop, and stops them as
//! planned.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use compio::net::TcpListener;
use futures_util::{FutureExt, StreamExt, select};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sedgewall_clock::Instant;
use sedgewall_protocol::settings::{FleetSettings, Settings};
use sedgewall_transport::{
    Handler, LocalBody, ServerLimits, Stop, serve, serve_until, stop_signal,
};

use super::{
    caller, catch_up,
    instance::{FleetNode, Stage},
    keys, leader, lease, list_watch,
    log_buffer::LogBuffer,
    note_sender, notes,
    orders::Orders,
    watch_configuration::{Configuration, Versions},
    watch_endpoints::Endpoints,
    watch_instances::{Instances, announce},
    watch_poison::{self, PoisonRequests},
};
use crate::{daemon::DaemonError, process, responses, signals::Signals};

/// Connections of operators at once.
const OPERATOR_CONNECTIONS: usize = 64;

/// How long a caller's connection may rest or take for a head. Longer than any
/// configuration allows callers.
const REST_TIME: Duration = Duration::from_secs(60);

/// After a stop is announced, callers still come for this long, until the
/// balancer has asked twice, a second apart.
const BALANCER_GRACE: Duration = Duration::from_millis(2_400);

/// What a stop leaves of the grace for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// How often a stop looks whether all requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Runs an instance until it is told to stop.
pub(crate) fn run(
    settings: Settings,
    fleet: FleetSettings,
) -> Result<(), DaemonError> {
    let runtime =
        compio::runtime::Runtime::new().map_err(DaemonError::Loop)?;
    runtime.block_on(run_on_loop(settings, fleet))
}

async fn run_on_loop(
    settings: Settings,
    fleet: FleetSettings,
) -> Result<(), DaemonError> {
    let log = LogBuffer::install(&settings.log_level);
    let signals = Signals::install();
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let store = store_address(&settings.platform_url)?;
    let callers = bind(settings.caller_listen).await?;
    let operators = bind(settings.operator_listen).await?;
    let others = bind(settings.peer_listen).await?;
    let node = FleetNode::new(settings, fleet, store);
    let (sender, receiver) =
        note_sender::open(&node).map_err(|source| DaemonError::Listen {
            address: node.settings.peer_listen.to_string(),
            source,
        })?;
    tracing::info!(
        event = "start",
        instance = node.id(),
        incarnation = node.incarnation,
        zone = node.settings.zone,
        callers = %node.settings.caller_listen,
        operators = %node.settings.operator_listen,
        notes = %node.settings.peer_listen,
        store = %store,
        version = env!("CARGO_PKG_VERSION"),
    );
    let (stopping, stop) = stop_signal();
    let orders = Orders::new(node.clone(), sender.clone());
    compio::runtime::spawn(log.clone().run()).detach();
    start_to_follow(&node);
    compio::runtime::spawn(notes::receive(
        node.clone(),
        sender.clone(),
        receiver,
    ))
    .detach();
    compio::runtime::spawn(catch_up::run(node.clone())).detach();
    compio::runtime::spawn(catch_up::answer_others(node.clone(), others))
        .detach();
    compio::runtime::spawn(keys::stay_sure(node.clone(), sender.clone()))
        .detach();
    compio::runtime::spawn(notes::tell(node.clone(), sender)).detach();
    compio::runtime::spawn(lease::run(node.clone())).detach();
    compio::runtime::spawn(leader::run(node.clone(), orders)).detach();
    compio::runtime::spawn(serve_callers(node.clone(), callers, stop))
        .detach();
    if let Some(address) = node.fleet.metrics_listen {
        spawn_metrics(&node, address, metrics.clone()).await;
    }
    compio::runtime::spawn(serve_operators(node.clone(), operators, metrics))
        .detach();
    wait_for_stop(signals).await;
    finish(&node, stopping).await;
    log.flush();
    Ok(())
}

fn start_to_follow(node: &Rc<FleetNode>) {
    list_watch::spawn(node, Configuration(node.clone()));
    list_watch::spawn(node, Endpoints::new(node));
    list_watch::spawn(node, Versions(node.clone()));
    list_watch::spawn(node, Instances(node.clone()));
    list_watch::spawn(node, PoisonRequests::new(node));
    compio::runtime::spawn(watch_poison::keep_records(node.clone())).detach();
    compio::runtime::spawn(announce(node.clone())).detach();
}

fn store_address(url: &str) -> Result<SocketAddr, DaemonError> {
    let address = url.trim_start_matches("http://").trim_end_matches('/');
    address.parse().map_err(|_| DaemonError::PlatformUrl(url.to_owned()))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|source| DaemonError::Listen {
        address: address.to_string(),
        source,
    })
}

async fn serve_callers(
    node: Rc<FleetNode>,
    listener: TcpListener,
    stop: Stop,
) {
    let connections = node.settings.limits.connections;
    let limits = ServerLimits { connections, header_time: REST_TIME };
    let handler: Handler = Rc::new(move |request| {
        Box::pin(caller::answer(node.clone(), request))
    });
    serve_until(listener, limits, handler, stop).await;
}

/// Serves metrics at an address of their own. Requests are served also where
/// that address cannot be had.
async fn spawn_metrics(
    node: &Rc<FleetNode>,
    address: SocketAddr,
    metrics: PrometheusHandle,
) {
    match bind(address).await {
        Ok(listener) => {
            let serving = serve_operators(node.clone(), listener, metrics);
            compio::runtime::spawn(serving).detach();
        }
        Err(err) => {
            let cause = err.to_string();
            tracing::warn!(event = "metrics_not_served", cause);
        }
    }
}

async fn serve_operators(
    node: Rc<FleetNode>,
    listener: TcpListener,
    metrics: PrometheusHandle,
) {
    let connections = OPERATOR_CONNECTIONS;
    let limits = ServerLimits { connections, header_time: REST_TIME };
    let handler: Handler = Rc::new(move |request| {
        let response = operator_answer(&node, &metrics, &request);
        Box::pin(async move { response })
    });
    serve(listener, limits, handler).await;
}

fn operator_answer(
    node: &FleetNode,
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
) -> Response<LocalBody> {
    match request.uri().path() {
        "/healthz" => responses::text(StatusCode::OK, "live\n"),
        "/readyz" if node.takes_requests() => {
            responses::text(StatusCode::OK, "ready\n")
        }
        "/readyz" => {
            responses::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
        "/metrics" => {
            note_gauges(node);
            responses::text(StatusCode::OK, metrics.render())
        }
        _ => responses::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn note_gauges(node: &FleetNode) {
    metrics::gauge!("sedgewall_requests_open").set(node.open.get() as f64);
    let resident = process::resident_bytes();
    metrics::gauge!("sedgewall_resident_bytes").set(resident as f64);
    let cpu_s = process::cpu_ms() as f64 / 1_000.0;
    metrics::gauge!("sedgewall_cpu_seconds").set(cpu_s);
    metrics::counter!("sedgewall_store_calls_total")
        .absolute(node.store.calls());
    metrics::counter!("sedgewall_endpoint_connections_total")
        .absolute(node.pool.opened());
    let leads = node.current_lease(Instant::now()).is_some();
    metrics::gauge!("sedgewall_leads").set(f64::from(u8::from(leads)));
}

/// Waits for a signal to stop. A signal to reload changes nothing that is in
/// force: bounds are read at the start.
async fn wait_for_stop(mut signals: Signals) {
    let mut interrupt = Box::pin(compio::signal::ctrl_c()).fuse();
    loop {
        select! {
            _ = interrupt => return,
            _ = signals.stop.next() => return,
            _ = signals.reload.next() => tracing::info!(event = "reload"),
        }
    }
}

/// Leaves: the balancer is told, then connections end with their requests.
async fn finish(
    node: &FleetNode,
    stopping: futures_channel::oneshot::Sender<()>,
) {
    let began = Instant::now();
    tracing::info!(event = "stop", open = node.open.get());
    node.stage.set(Stage::Leaving);
    node.leaving_since.set(Some(began));
    compio::time::sleep(BALANCER_GRACE).await;
    drop(stopping);
    let grace = Duration::from_secs_f64(node.fleet.grace_s);
    let end = began + grace.saturating_sub(STOP_MARGIN);
    let has_duties = || node.open.get() > 0 || node.held.get().is_some();
    while has_duties() && Instant::now() < end {
        compio::time::sleep(DRAIN_LOOK).await;
    }
    // What was answered last still has to leave.
    compio::time::sleep(DRAIN_LOOK).await;
    tracing::info!(
        event = "stopped",
        cut_off = node.open.get(),
        took_ms = began.elapsed().as_millis() as u64,
    );
}
