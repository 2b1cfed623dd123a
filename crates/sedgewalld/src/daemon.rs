//! Starts all tasks of the daemon on one event loop, and shuts them down
//! gracefully.

use std::{rc::Rc, time::Duration};

use compio::net::TcpListener;
use futures_util::{FutureExt, StreamExt, select};
use log::{info, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sedgewall_clock::Instant;
use sedgewall_coordination::timeline::EventKind;
use sedgewall_protocol::settings::Settings;
use sedgewall_transport::{
    CallError, Handler, HttpClient, OpenConnections, PeerListener, Running,
    Server, ServerLimits, Shutdown, ShutdownWatch, peer::PeerError, serve,
    shutdown,
};

use crate::{
    config_sync, entry, heartbeat, inbox,
    instance::{Instance, Stage},
    instance_list, operator,
    signals::Signals,
};

/// An error that keeps the daemon from starting.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum DaemonError {
    /// cannot start the event loop: {0}
    Loop(std::io::Error),
    /// cannot install signal handlers: {0}
    Signals(std::io::Error),
    /// cannot listen at {address}: {source}
    Listen {
        /// The address that could not be bound.
        address: String,
        /// The error that the system returned.
        source: std::io::Error,
    },
    /// {0}
    Peers(PeerError),
    /// cannot create the HTTP client: {0}
    Http(CallError),
    /// platform_url: {0} is not http://IP:PORT
    PlatformUrl(String),
    /// cannot install the metrics recorder: {0}
    Metrics(String),
}

impl std::error::Error for DaemonError {}

/// The maximum number of concurrent connections of operators.
const OPERATOR_CONNECTIONS: usize = 64;

/// The interval at which the daemon polls for a requested stop and, while it
/// stops, for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a stopping daemon accepts connections, because requests still
/// arrive until the load balancer has noticed the stop.
const LOAD_BALANCER_GRACE: Duration = Duration::from_secs(2);

/// The delay before the exit in which the last queued messages are sent.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs the daemon until a signal or an operator stops it.
pub(crate) fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime =
        compio::runtime::Runtime::new().map_err(DaemonError::Loop)?;
    runtime.block_on(run_on_loop(settings))
}

async fn run_on_loop(settings: Settings) -> Result<(), DaemonError> {
    let signals = Signals::install().map_err(DaemonError::Signals)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let http = HttpClient::new().map_err(DaemonError::Http)?;
    let peer_url = format!("tcp://{}", settings.peer_listen);
    let peers = PeerListener::listen(&peer_url).map_err(DaemonError::Peers)?;
    let callers = bind(&settings.caller_listen.to_string()).await?;
    let operators = bind(&settings.operator_listen.to_string()).await?;
    let (instance, local) = Instance::new(settings, http);
    info!(
        "daemon: {} starts in {}, callers at {}, operators at {}.",
        instance.id(),
        instance.settings.zone,
        instance.settings.caller_listen,
        instance.settings.operator_listen
    );
    instance.record_event(EventKind::Member, None, "", "", "started");
    compio::runtime::spawn(inbox::run(instance.clone(), peers, local))
        .detach();
    compio::runtime::spawn(config_sync::watch(instance.clone())).detach();
    compio::runtime::spawn(instance_list::watch(instance.clone())).detach();
    compio::runtime::spawn(heartbeat::run(instance.clone())).detach();
    let (running, watch) = shutdown();
    let connections = OpenConnections::default();
    compio::runtime::spawn(serve_callers(
        instance.clone(),
        callers,
        watch,
        connections.clone(),
    ))
    .detach();
    compio::runtime::spawn(serve_operators(
        instance.clone(),
        operators,
        metrics,
    ))
    .detach();
    wait_for_stop(&instance, signals).await;
    stop(&instance, running, &connections).await;
    Ok(())
}

async fn bind(address: &str) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|source| DaemonError::Listen {
        address: address.to_owned(),
        source,
    })
}

async fn serve_callers(
    instance: Rc<Instance>,
    listener: TcpListener,
    shutdown: ShutdownWatch,
    open: OpenConnections,
) {
    let limits = ServerLimits {
        connections: instance.settings.limits.connections,
        header_timeout: Duration::from_millis(
            instance.settings.limits.header_ms,
        ),
        slow_clients: None,
    };
    let handler: Handler = Rc::new(move |request| {
        Box::pin(entry::answer(instance.clone(), request))
    });
    Server::new(handler, limits)
        .shutdown(shutdown)
        .count_in(open)
        .run(listener)
        .await;
}

async fn serve_operators(
    instance: Rc<Instance>,
    listener: TcpListener,
    metrics: PrometheusHandle,
) {
    let limits = ServerLimits {
        connections: OPERATOR_CONNECTIONS,
        header_timeout: Duration::from_millis(
            instance.settings.limits.header_ms,
        ),
        slow_clients: None,
    };
    let handler: Handler = Rc::new(move |request| {
        Box::pin(operator::answer(instance.clone(), metrics.clone(), request))
    });
    serve(listener, limits, handler).await;
}

/// Returns when a stop signal arrives or an operator requests a drain.
async fn wait_for_stop(instance: &Rc<Instance>, mut signals: Signals) {
    while instance.stage.get() != Stage::Leaving {
        let mut poll =
            Box::pin(compio::time::sleep(DRAIN_POLL_INTERVAL)).fuse();
        select! {
            _ = signals.stop.next() => return,
            _ = signals.reload.next() => {
                info!("daemon: SIGHUP ignored; settings are read at start.");
            }
            () = poll => {}
        }
    }
}

/// Stops the instance gracefully.
///
/// Marks the instance as leaving, so that the load balancer stops sending
/// requests and the leases are released for successors. Then waits until all
/// requests that have arrived are answered and the responses sent, up to the
/// drain timeout. Requests that are still open are then answered with an error.
async fn stop(
    instance: &Rc<Instance>,
    running: Shutdown<Running>,
    connections: &OpenConnections,
) {
    info!("daemon: stopping.");
    instance.record_event(EventKind::Member, None, "", "", "stopping");
    instance.stage.set(Stage::Leaving);
    heartbeat::send_heartbeats(instance);
    let started = Instant::now();
    let drain_timeout =
        Duration::from_millis(instance.settings.limits.drain_ms);
    let announced = running.announce();
    compio::time::sleep(LOAD_BALANCER_GRACE.min(drain_timeout)).await;
    let closing = announced.stop_accepting().close_connections();
    loop {
        let open_requests = instance.requests.borrow().open_len();
        let led_shards = instance.shards.borrow().len();
        let is_drained = open_requests == 0 && led_shards == 0;
        // A response is complete for the instance before its caller has taken
        // it from the connection.
        if is_drained && connections.have_ended() {
            break;
        }
        if started.elapsed() >= drain_timeout {
            warn!(
                "daemon: drain timed out with {open_requests} requests and {} \
                 connections open.",
                connections.count()
            );
            break;
        }
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    instance.stop_end.signal();
    closing.refuse_partial_requests();
    compio::time::sleep(FLUSH_TIME).await;
    info!("daemon: stopped.");
}
