//! Starts all parts on the one loop, and stops them as planned.

use std::{rc::Rc, time::Duration};

use compio::net::TcpListener;
use futures_util::{FutureExt, StreamExt, select};
use log::{info, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sedgewall_clock::Instant;
use sedgewall_coordination::timeline::EventKind;
use sedgewall_protocol::settings::Settings;
use sedgewall_transport::{
    CallError, Handler, HttpClient, PeerListener, ServerLimits,
    peer::PeerError, serve,
};

use crate::{
    config_sync, entry, heartbeat, inbox, instances,
    node::{Node, Stage},
    operator,
    signals::Signals,
};

/// Error of a daemon that cannot start.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum DaemonError {
    /// cannot start the loop: {0}
    Loop(std::io::Error),
    /// cannot listen at {address}: {source}
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// {0}
    Peers(PeerError),
    /// cannot set up HTTP: {0}
    Http(CallError),
    /// platform_url: {0} is not http://IP:PORT
    StoreAddress(String),
    /// cannot set up metrics: {0}
    Metrics(String),
}

impl std::error::Error for DaemonError {}

/// Connections of operators at once.
const OPERATOR_CONNECTIONS: usize = 64;

/// How often a stop looks whether all requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// After a stop is announced, requests still come for this long, until the
/// balancer has noticed.
const BALANCER_GRACE: Duration = Duration::from_secs(2);

/// What the end of a stop leaves for the last messages to go out.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs the daemon until it is told to stop.
pub(crate) fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime =
        compio::runtime::Runtime::new().map_err(DaemonError::Loop)?;
    runtime.block_on(run_on_loop(settings))
}

async fn run_on_loop(settings: Settings) -> Result<(), DaemonError> {
    let signals = Signals::hear();
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let http = HttpClient::new().map_err(DaemonError::Http)?;
    let peer_url = format!("tcp://{}", settings.peer_listen);
    let peers = PeerListener::listen(&peer_url).map_err(DaemonError::Peers)?;
    let callers = bind(&settings.caller_listen.to_string()).await?;
    let operators = bind(&settings.operator_listen.to_string()).await?;
    let (node, local) = Node::new(settings, http);
    info!(
        "daemon: {} starts in {}, callers at {}, operators at {}.",
        node.id(),
        node.settings.zone,
        node.settings.caller_listen,
        node.settings.operator_listen
    );
    node.event(EventKind::Member, None, "", "", "started");
    compio::runtime::spawn(inbox::run(node.clone(), peers, local)).detach();
    compio::runtime::spawn(config_sync::follow(node.clone())).detach();
    compio::runtime::spawn(instances::follow(node.clone())).detach();
    compio::runtime::spawn(heartbeat::run(node.clone())).detach();
    compio::runtime::spawn(serve_callers(node.clone(), callers)).detach();
    compio::runtime::spawn(serve_operators(node.clone(), operators, metrics))
        .detach();
    wait_for_stop(&node, signals).await;
    stop(&node).await;
    Ok(())
}

async fn bind(address: &str) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|source| DaemonError::Listen {
        address: address.to_owned(),
        source,
    })
}

async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    let limits = ServerLimits {
        connections: node.settings.limits.connections,
        header_timeout: Duration::from_millis(node.settings.limits.header_ms),
    };
    let handler: Handler =
        Rc::new(move |request| Box::pin(entry::answer(node.clone(), request)));
    serve(listener, limits, handler).await;
}

async fn serve_operators(
    node: Rc<Node>,
    listener: TcpListener,
    metrics: PrometheusHandle,
) {
    let limits = ServerLimits {
        connections: OPERATOR_CONNECTIONS,
        header_timeout: Duration::from_millis(node.settings.limits.header_ms),
    };
    let handler: Handler = Rc::new(move |request| {
        Box::pin(operator::answer(node.clone(), metrics.clone(), request))
    });
    serve(listener, limits, handler).await;
}

/// Waits for a signal or an operator's word.
async fn wait_for_stop(node: &Rc<Node>, mut signals: Signals) {
    let mut interrupt = Box::pin(compio::signal::ctrl_c()).fuse();
    while node.stage.get() != Stage::Leaving {
        let mut look = Box::pin(compio::time::sleep(DRAIN_LOOK)).fuse();
        select! {
            _ = interrupt => return,
            _ = signals.stop.next() => return,
            _ = signals.reload.next() => {
                info!("daemon: settings are read at the start alone.");
            }
            () = look => {}
        }
    }
}

/// Leaves: takes nothing new after the balancer had time to notice, hands the
/// leases over, and finishes every request that it holds.
async fn stop(node: &Rc<Node>) {
    info!("daemon: stopping.");
    node.event(EventKind::Member, None, "", "", "stopping");
    node.stage.set(Stage::Leaving);
    heartbeat::send_heartbeats(node);
    let started = Instant::now();
    let longest = Duration::from_millis(node.settings.limits.drain_ms);
    loop {
        let open = node.requests.borrow().open_len();
        let led = node.shards.borrow().len();
        let is_over = open == 0 && led == 0;
        if is_over && started.elapsed() >= BALANCER_GRACE {
            break;
        }
        if started.elapsed() >= longest {
            warn!("daemon: {open} requests were cut off by the stop.");
            break;
        }
        compio::time::sleep(DRAIN_LOOK).await;
    }
    compio::time::sleep(FLUSH_TIME).await;
    info!("daemon: stopped.");
}
