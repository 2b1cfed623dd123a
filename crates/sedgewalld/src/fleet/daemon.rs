//! Starts all tasks of an instance on one event loop, and shuts them down
//! gracefully.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use compio::net::TcpListener;
use futures_util::{StreamExt, select};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sedgewall_clock::Instant;
use sedgewall_fleet::request_digest::RequestDigest;
use sedgewall_protocol::{
    operator::{LOOP_PATH, LoopStatus, POISON_PATH, WorkStatus},
    settings::{FleetSettings, Settings},
};
use sedgewall_transport::{
    Announced, Closed, Handler, LocalBody, OpenConnections, Overload, Running,
    Server, ServerLimits, Shutdown, ShutdownWatch, serve, shutdown,
};

use super::{
    buffers::SLOW_CALLERS,
    caller, catch_up,
    instance::{BALANCER_GRACE, FleetInstance, Stage},
    keys, leader, lease, list_watch,
    log_buffer::LogBuffer,
    note_sender, notes,
    orders::OrderQueues,
    poison, reach, stream_records, streams, version_records,
    watch_configuration::{Configuration, Versions},
    watch_endpoints::Endpoints,
    watch_instances::{Instances, delete_lost, keep_registered},
    watch_poison::{self, PoisonRequests},
};
use crate::{
    daemon::DaemonError, event_loop::EventLoop, process, responses,
    signals::Signals,
};

/// The maximum number of open operator connections.
const OPERATOR_CONNECTIONS: usize = 64;

/// How long a connection may be idle or take to send its request headers. A
/// caller's connection may be idle for longer if the configuration allows it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which a shutdown checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an instance until it is told to stop.
pub(crate) fn run(
    settings: Settings,
    fleet: FleetSettings,
) -> Result<(), DaemonError> {
    let runtime =
        compio::runtime::Runtime::new().map_err(DaemonError::Loop)?;
    let event_loop = EventLoop::new();
    let running = run_on_loop(settings, fleet, event_loop.clone());
    event_loop.block_on(&runtime, running)
}

async fn run_on_loop(
    settings: Settings,
    fleet: FleetSettings,
    event_loop: Rc<EventLoop>,
) -> Result<(), DaemonError> {
    let log = LogBuffer::install(&settings.log_level);
    let signals = Signals::install().map_err(DaemonError::Signals)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let store = store_address(&settings.platform_url)?;
    let callers = bind(settings.caller_listen).await?;
    let operators = bind(settings.operator_listen).await?;
    let others = bind(settings.peer_listen).await?;
    let instance =
        FleetInstance::new(settings, fleet, store, event_loop.clone());
    let hooked = instance.clone();
    event_loop.call_before_turns(move |now, behind| {
        hooked.intake.begin_turn(now, behind)
    });
    let (sender, receiver) =
        note_sender::open(&instance).map_err(|source| {
            DaemonError::Listen {
                address: instance.settings.peer_listen.to_string(),
                source,
            }
        })?;
    tracing::info!(
        event = "start",
        instance = instance.id(),
        incarnation = instance.incarnation,
        zone = instance.settings.zone,
        callers = %instance.settings.caller_listen,
        operators = %instance.settings.operator_listen,
        notes = %instance.settings.peer_listen,
        store = %store,
        buffer_budget_bytes =
            instance.memory.slow_readers.as_ref().map(|b| b.limit()),
        response_budget_bytes = instance.memory.responses.limit(),
        version = env!("CARGO_PKG_VERSION"),
    );
    let (running, watch) = shutdown();
    let orders = OrderQueues::new(instance.clone(), sender.clone());
    event_loop.spawn("log", log.clone().run());
    start_watches(&instance);
    event_loop.spawn(
        "notes_received",
        notes::receive(instance.clone(), sender.clone(), receiver),
    );
    event_loop.spawn("catch_up", catch_up::run(instance.clone()));
    let connections = OpenConnections::default();
    let peer_connections = OpenConnections::default();
    compio::runtime::spawn(catch_up::serve_peers(
        instance.clone(),
        others,
        watch.clone(),
        peer_connections.clone(),
    ))
    .detach();
    event_loop
        .spawn("keys", keys::keep_fresh(instance.clone(), sender.clone()));
    event_loop.spawn("streams", streams::report_begun(instance.clone()));
    event_loop
        .spawn("stream_records", stream_records::write(instance.clone()));
    event_loop.spawn("versions", version_records::keep(instance.clone()));
    event_loop
        .spawn("notes_sent", notes::run_sender(instance.clone(), sender));
    event_loop.spawn("lease", lease::run(instance.clone()));
    if let Some(buffers) = &instance.memory.slow_readers {
        event_loop.spawn("buffers", buffers.clone().watch_callers());
    }
    event_loop.spawn("plan", leader::run(instance.clone(), orders));
    event_loop.spawn("reach", reach::run(instance.clone()));
    compio::runtime::spawn(serve_callers(
        instance.clone(),
        callers,
        watch,
        connections.clone(),
    ))
    .detach();
    if let Some(address) = instance.fleet.metrics_listen {
        spawn_metrics(&instance, address, metrics.clone()).await;
    }
    compio::runtime::spawn(serve_operators(
        instance.clone(),
        operators,
        metrics,
        true,
    ))
    .detach();
    wait_for_stop(signals).await;
    let connections = [connections, peer_connections];
    shut_down(&instance, running, &connections).await;
    log.flush();
    Ok(())
}

fn start_watches(instance: &Rc<FleetInstance>) {
    list_watch::spawn(instance, Configuration(instance.clone()));
    list_watch::spawn(instance, Endpoints::new(instance));
    list_watch::spawn(instance, Versions(instance.clone()));
    list_watch::spawn(instance, Instances(instance.clone()));
    list_watch::spawn(instance, PoisonRequests::new(instance));
    let event_loop = &instance.event_loop;
    event_loop.spawn("poison", poison::confirm(instance.clone()));
    event_loop.spawn("poison", poison::search(instance.clone()));
    event_loop.spawn("poison", watch_poison::keep_records(instance.clone()));
    event_loop.spawn("lease", keep_registered(instance.clone()));
    event_loop.spawn("lease", delete_lost(instance.clone()));
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
    instance: Rc<FleetInstance>,
    listener: TcpListener,
    shutdown: ShutdownWatch,
    open: OpenConnections,
) {
    let connections = instance.settings.limits.connections;
    let limits = ServerLimits {
        connections,
        header_timeout: IDLE_TIMEOUT,
        slow_clients: instance
            .memory
            .slow_readers
            .as_ref()
            .map(|_| SLOW_CALLERS),
    };
    let serving = instance.clone();
    let handler: Handler = Rc::new(move |request| {
        Box::pin(caller::answer(serving.clone(), request, None))
    });
    let configured = instance.clone();
    let idle_timeout = move || {
        let routing = configured.routing();
        let idle_time = routing.map(|routing| routing.limits.idle_time);
        idle_time.unwrap_or_default().max(IDLE_TIMEOUT)
    };
    let overload: Overload =
        Rc::new(move || instance.intake.refuse_connection());
    Server::new(handler, limits)
        .shutdown(shutdown)
        .idle_timeout(Rc::new(idle_timeout))
        .overload(overload)
        .count_in(open)
        .on_close(Rc::new(record_closed))
        .run(listener)
        .await;
}

fn record_closed(closed: Closed) {
    metrics::counter!(
        "sedgewall_connections_closed_total",
        "reason" => closed.reason.name(),
        "is_unread" => if closed.is_unread { "true" } else { "false" },
    )
    .increment(1);
    if closed.is_unread {
        tracing::info!(event = "closed_unread", reason = closed.reason.name());
    }
}

/// Serves metrics on a separate address. If that address cannot be bound, the
/// instance serves requests without it.
async fn spawn_metrics(
    instance: &Rc<FleetInstance>,
    address: SocketAddr,
    metrics: PrometheusHandle,
) {
    match bind(address).await {
        Ok(listener) => {
            let instance = instance.clone();
            let serving = serve_operators(instance, listener, metrics, false);
            compio::runtime::spawn(serving).detach();
        }
        Err(err) => {
            let cause = err.to_string();
            tracing::warn!(event = "metrics_not_served", cause);
        }
    }
}

async fn serve_operators(
    instance: Rc<FleetInstance>,
    listener: TcpListener,
    metrics: PrometheusHandle,
    allows_changes: bool,
) {
    let connections = OPERATOR_CONNECTIONS;
    let limits = ServerLimits {
        connections,
        header_timeout: IDLE_TIMEOUT,
        slow_clients: None,
    };
    let handler: Handler = Rc::new(move |request| {
        let response =
            operator_answer(&instance, &metrics, &request, allows_changes);
        Box::pin(async move { response })
    });
    serve(listener, limits, handler).await;
}

fn operator_answer(
    instance: &FleetInstance,
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
    allows_changes: bool,
) -> Response<LocalBody> {
    match request.uri().path() {
        "/healthz" => responses::text(StatusCode::OK, "live\n"),
        "/readyz" if instance.takes_requests() => {
            responses::text(StatusCode::OK, "ready\n")
        }
        "/readyz" => {
            responses::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
        "/metrics" => {
            update_gauges(instance);
            responses::text(StatusCode::OK, metrics.render())
        }
        POISON_PATH => responses::json(&poison::list(instance)),
        LOOP_PATH => responses::json(&loop_status(instance)),
        path if allows_changes && request.method() == Method::POST => {
            let digest = path
                .strip_prefix(POISON_PATH)
                .and_then(|rest| rest.strip_prefix('/'))
                .and_then(RequestDigest::parse);
            match digest {
                Some(digest) if poison::release(instance, digest) => {
                    responses::text(StatusCode::OK, "released\n")
                }
                _ => responses::text(
                    StatusCode::NOT_FOUND,
                    "no feature with this digest is condemned here\n",
                ),
            }
        }
        _ => responses::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn update_gauges(instance: &FleetInstance) {
    metrics::gauge!("sedgewall_requests_open")
        .set(instance.open_requests.get() as f64);
    let memory = &instance.memory;
    metrics::gauge!("sedgewall_buffered_bytes")
        .set(memory.responses.held_bytes() as f64);
    metrics::gauge!("sedgewall_buffered_request_bytes")
        .set(memory.requests.held_bytes() as f64);
    let resident = process::resident_bytes();
    metrics::gauge!("sedgewall_resident_bytes").set(resident as f64);
    let cpu_s = process::cpu_ms() as f64 / 1_000.0;
    metrics::gauge!("sedgewall_cpu_seconds").set(cpu_s);
    metrics::counter!("sedgewall_store_calls_total")
        .absolute(instance.store.calls());
    metrics::counter!("sedgewall_endpoint_connections_total")
        .absolute(instance.pool.connections_opened());
    metrics::gauge!("sedgewall_store_era")
        .set(f64::from(instance.store.era()));
    if let Some(routing) = instance.routing() {
        let view = instance.view.borrow();
        for (service, _) in routing.engines() {
            let split = view.split(service);
            let fraction = split.map_or(0.0, |split| split.prefill_fraction);
            metrics::gauge!(
                "sedgewall_prefill_fraction", "service" => service.to_owned()
            )
            .set(fraction);
        }
    }
    update_loop_gauges(instance);
    let leads = instance.current_lease(Instant::now()).is_some();
    metrics::gauge!("sedgewall_leads").set(f64::from(u8::from(leads)));
}

fn update_loop_gauges(instance: &FleetInstance) {
    let event_loop = &instance.event_loop;
    let recent = event_loop.recent();
    metrics::gauge!("sedgewall_loop_delay_seconds")
        .set(event_loop.delay(Instant::now()).as_secs_f64());
    metrics::gauge!("sedgewall_loop_max_delay_seconds")
        .set(recent.max_delay.as_secs_f64());
    metrics::gauge!("sedgewall_requests_not_begun")
        .set(instance.intake.len() as f64);
    metrics::gauge!("sedgewall_loop_longest_turn_seconds")
        .set(recent.longest_turn.took.as_secs_f64());
    for (name, time) in event_loop.work() {
        metrics::gauge!("sedgewall_work_seconds", "work" => name)
            .set(time.total.as_secs_f64());
        metrics::gauge!("sedgewall_work_longest_seconds", "work" => name)
            .set(time.longest.as_secs_f64());
    }
}

fn loop_status(instance: &FleetInstance) -> LoopStatus {
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    let event_loop = &instance.event_loop;
    let recent = event_loop.recent();
    let most = recent.longest_turn.most;
    let mut work: Vec<WorkStatus> = event_loop
        .work()
        .into_iter()
        .map(|(name, time)| WorkStatus {
            name: name.to_owned(),
            total_ms: ms(time.total),
            longest_ms: ms(time.longest),
        })
        .collect();
    work.sort_by(|a, b| b.total_ms.total_cmp(&a.total_ms));
    LoopStatus {
        delay_ms: ms(event_loop.delay(Instant::now())),
        max_delay_ms: ms(recent.max_delay),
        longest_turn_ms: ms(recent.longest_turn.took),
        longest_work: most.map(|(name, _)| name.to_owned()),
        longest_work_ms: most.map_or(0.0, |(_, took)| ms(took)),
        open_requests: instance.open_requests.get(),
        waiting_requests: instance.intake.len(),
        work,
    }
}

/// Waits for a stop signal. A reload signal is only logged, because settings
/// are read at the start.
async fn wait_for_stop(mut signals: Signals) {
    loop {
        select! {
            _ = signals.stop.next() => return,
            _ = signals.reload.next() => tracing::info!(event = "reload"),
        }
    }
}

/// Shuts down: readiness fails first, so that the load balancer notices, and
/// then connections are closed as their requests end.
async fn shut_down(
    instance: &FleetInstance,
    running: Shutdown<Running>,
    connections: &[OpenConnections],
) {
    let began = Instant::now();
    tracing::info!(event = "stop", open = instance.open_requests.get());
    instance.stage.set(Stage::Leaving);
    instance.leaving_since.set(Some(began));
    let announced: Shutdown<Announced> = running.announce();
    if let Some(queues) = &instance.wait_queues {
        queues.wake_everyone();
    }
    compio::time::sleep(BALANCER_GRACE).await;
    let closing = announced.stop_accepting().close_connections();
    let end = began + instance.stop_time();
    // A response is complete for this instance before its caller has taken it
    // from the connection.
    let has_duties = || {
        instance.open_requests.get() > 0
            || !connections.iter().all(OpenConnections::have_ended)
            || instance.held.get().is_some()
    };
    while has_duties() && Instant::now() < end {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    instance.end_stop();
    closing.refuse_partial_requests();
    let end = began + instance.last_answers_time();
    while !connections.iter().all(OpenConnections::have_ended)
        && Instant::now() < end
    {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Gives the last responses time to be sent.
    compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    tracing::info!(
        event = "stopped",
        cut_off = instance.open_requests.get(),
        unsent = connections.iter().map(|c| c.count()).sum::<usize>(),
        took_ms = began.elapsed().as_millis() as u64,
    );
}
