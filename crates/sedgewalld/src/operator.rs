//! The operators' port: health, metrics, status, time line, explanations.

use std::rc::Rc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use log::info;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgewall_clock::Instant;
use sedgewall_protocol::{
    Problem, RunState,
    caller::ModelRef,
    engine::EngineAdapter,
    operator::{
        DRAIN_PATH, EXPLAIN_PATH, InstanceStatus, LeaderStatus, STATUS_PATH,
        TIMELINE_PATH,
    },
};
use sedgewall_transport::LocalBody;

use crate::{
    explain,
    node::{Node, Stage},
    process, responses,
};

/// Answers one request of an operator.
pub(crate) async fn answer(
    node: Rc<Node>,
    metrics: PrometheusHandle,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    match request.uri().path() {
        "/healthz" => responses::text(StatusCode::OK, "live\n"),
        "/readyz" => readiness(&node),
        "/metrics" => {
            note_gauges(&node);
            responses::text(StatusCode::OK, metrics.render())
        }
        STATUS_PATH => responses::json(&status(&node)),
        TIMELINE_PATH => responses::json(&node.events()),
        EXPLAIN_PATH => explain_adapter(&node, &request),
        DRAIN_PATH if request.method() == Method::POST => drain(&node),
        path => responses::problem(&Problem::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            RunState::NotRun,
            format!("there is nothing at {path}"),
        )),
    }
}

fn readiness(node: &Node) -> Response<LocalBody> {
    match node.stage.get() {
        Stage::Ready => responses::text(StatusCode::OK, "ready\n"),
        Stage::Starting => responses::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet\n",
        ),
        Stage::Leaving => {
            responses::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
        }
    }
}

fn note_gauges(node: &Node) {
    let held = node.requests.borrow().open_len();
    metrics::gauge!("sedgewall_requests_open").set(held as f64);
    let resident = process::resident_bytes();
    metrics::gauge!("sedgewall_resident_bytes").set(resident as f64);
    let cpu_s = process::cpu_ms() as f64 / 1_000.0;
    metrics::gauge!("sedgewall_cpu_seconds").set(cpu_s);
    let led = node.shards.borrow().len();
    metrics::gauge!("sedgewall_led_shards").set(led as f64);
    let peers = node.peers.borrow();
    metrics::counter!("sedgewall_peer_messages_total").absolute(peers.sent());
    metrics::counter!("sedgewall_peer_bytes_total")
        .absolute(peers.sent_bytes());
}

fn status(node: &Node) -> InstanceStatus {
    let now = Instant::now();
    let live_peers = node
        .membership
        .borrow()
        .peers()
        .map(|peer| peer.last_heartbeat.instance.clone())
        .filter(|id| node.membership.borrow().is_live(id, now))
        .collect();
    let mut leaders: Vec<LeaderStatus> = node
        .leaders
        .borrow()
        .iter()
        .map(|(shard, leader)| LeaderStatus {
            shard: shard.clone(),
            leader: leader.instance.clone(),
            epoch: leader.epoch,
        })
        .collect();
    leaders.sort_by(|a, b| a.shard.cmp(&b.shard));
    InstanceStatus {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        zone: node.settings.zone.clone(),
        config_version: node.config.borrow().version(),
        is_ready: node.stage.get() == Stage::Ready,
        is_leaving: node.stage.get() == Stage::Leaving,
        is_platform_reached: node.is_platform_reached.get(),
        requests_len: node.requests.borrow().open_len(),
        resident_bytes: process::resident_bytes(),
        cpu_ms: process::cpu_ms(),
        live_peers,
        led_shards: explain::statuses(node),
        leaders,
    }
}

fn explain_adapter(
    node: &Node,
    request: &Request<Incoming>,
) -> Response<LocalBody> {
    let query = request.uri().query().unwrap_or("");
    let model = query.strip_prefix("adapter=").unwrap_or("");
    let model: ModelRef = match model.parse() {
        Ok(model) => model,
        Err(err) => {
            let problem = Problem::bad_request(format!("{err}"));
            return responses::problem(&problem);
        }
    };
    let adapter =
        EngineAdapter { adapter: model.adapter, version: model.version };
    match explain::explain(node, &adapter) {
        Some(explanation) => responses::json(&explanation),
        None => responses::problem(&Problem::new(
            StatusCode::NOT_FOUND,
            "not_led_here",
            RunState::NotRun,
            "this instance does not lead the adapter's shard",
        )),
    }
}

fn drain(node: &Rc<Node>) -> Response<LocalBody> {
    info!("daemon: an operator asked for a stop.");
    node.stage.set(Stage::Leaving);
    responses::text(StatusCode::ACCEPTED, "leaving\n")
}
