//! The operators' API: health, metrics, status, timeline and explanations.

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
    instance::{Instance, Stage},
    process, responses,
};

/// Answers one request of an operator.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    metrics: PrometheusHandle,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    match request.uri().path() {
        "/healthz" => responses::text(StatusCode::OK, "live\n"),
        "/readyz" => readiness(&instance),
        "/metrics" => {
            update_gauges(&instance);
            responses::text(StatusCode::OK, metrics.render())
        }
        STATUS_PATH => responses::json(&status(&instance)),
        TIMELINE_PATH => responses::json(&instance.events()),
        EXPLAIN_PATH => explain_adapter(&instance, &request),
        DRAIN_PATH if request.method() == Method::POST => drain(&instance),
        path => responses::problem(&Problem::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            RunState::NotRun,
            format!("there is nothing at {path}"),
        )),
    }
}

fn readiness(instance: &Instance) -> Response<LocalBody> {
    match instance.stage.get() {
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

fn update_gauges(instance: &Instance) {
    let open_requests = instance.requests.borrow().open_len();
    metrics::gauge!("sedgewall_requests_open").set(open_requests as f64);
    let resident = process::resident_bytes();
    metrics::gauge!("sedgewall_resident_bytes").set(resident as f64);
    let cpu_s = process::cpu_ms() as f64 / 1_000.0;
    metrics::gauge!("sedgewall_cpu_seconds").set(cpu_s);
    let led_shards = instance.shards.borrow().len();
    metrics::gauge!("sedgewall_led_shards").set(led_shards as f64);
    let peers = instance.peers.borrow();
    metrics::counter!("sedgewall_peer_messages_total").absolute(peers.sent());
    metrics::counter!("sedgewall_peer_bytes_total")
        .absolute(peers.sent_bytes());
}

fn status(instance: &Instance) -> InstanceStatus {
    let now = Instant::now();
    let live_peers = instance
        .membership
        .borrow()
        .peers()
        .map(|peer| peer.last_heartbeat.instance.clone())
        .filter(|id| instance.membership.borrow().is_live(id, now))
        .collect();
    let mut leaders: Vec<LeaderStatus> = instance
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
        instance: instance.settings.instance.clone(),
        incarnation: instance.incarnation,
        zone: instance.settings.zone.clone(),
        config_version: instance.config.borrow().version(),
        is_ready: instance.stage.get() == Stage::Ready,
        is_leaving: instance.stage.get() == Stage::Leaving,
        is_platform_reached: instance.is_platform_reached.get(),
        requests_len: instance.requests.borrow().open_len(),
        resident_bytes: process::resident_bytes(),
        cpu_ms: process::cpu_ms(),
        live_peers,
        led_shards: explain::statuses(instance),
        leaders,
    }
}

fn explain_adapter(
    instance: &Instance,
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
    match explain::explain(instance, &adapter) {
        Some(explanation) => responses::json(&explanation),
        None => responses::problem(&Problem::new(
            StatusCode::NOT_FOUND,
            "not_led_here",
            RunState::NotRun,
            "this instance does not lead the adapter's shard",
        )),
    }
}

/// Starts a graceful stop. New requests are still accepted until the exit;
/// readiness fails, so that the load balancer sends none.
fn drain(instance: &Rc<Instance>) -> Response<LocalBody> {
    info!("daemon: an operator requested a drain.");
    instance.stage.set(Stage::Leaving);
    responses::text(StatusCode::ACCEPTED, "leaving\n")
}
