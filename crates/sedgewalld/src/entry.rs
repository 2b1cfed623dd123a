//! The entry role: accepts requests of callers, obtains grants for them, and
//! answers.
//!
//! The entry keeps a request from its arrival to its end. If the leader of the
//! shard changes in between, the entry submits the request again to the new
//! leader.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_coordination::timeline::EventKind;
use sedgewall_protocol::{
    PeerMessage, Problem, RunState,
    caller::{
        ANONYMOUS, CallOptions, CompletionHead, ModelEntry, ModelList,
        ModelRef,
    },
    engine::{CHAT_PATH, COMPLETIONS_PATH},
    message::{Granted, Refused, RequestRef, Running, Submit},
};
use sedgewall_state::{
    RequestId, ShardId,
    admission::{Refusal, RefusalReason},
};
use sedgewall_transport::{
    LocalBody,
    server::{BodyError, read_body},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    call::{self, ModelCall},
    claims::ClaimTicket,
    instance::{Instance, Stage},
    requests::Decision,
    responses,
    services::{self, SERVICES_PREFIX},
    stop_end::stopping_problem,
};

/// The path that lists the adapters.
const MODELS_PATH: &str = "/v1/models";

/// The `Retry-After` value while the instance is full or has no configuration.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Counts one open request of the instance until it is dropped.
pub(crate) struct OpenRequestGuard {
    instance: Rc<Instance>,
    pub(crate) id: RequestId,
}

impl OpenRequestGuard {
    /// Counts a new request as open and assigns its id. Fails if the instance
    /// is full.
    pub(crate) fn open(
        instance: &Rc<Instance>,
    ) -> Result<OpenRequestGuard, Problem> {
        let id = instance.requests.borrow_mut().open(instance.incarnation);
        let id = id.ok_or_else(|| {
            Problem::from_refusal(&Refusal {
                reason: RefusalReason::EntryFull,
                retry_after: FULL_RETRY_AFTER,
            })
        })?;
        Ok(OpenRequestGuard { instance: instance.clone(), id })
    }

    /// Returns the id as callers see it, in 32 hexadecimal digits.
    pub(crate) fn hex(&self) -> String {
        format!("{:032x}", self.id)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.instance.requests.borrow_mut().close();
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let path = request.uri().path();
    if path.starts_with(SERVICES_PREFIX) {
        return services::answer(instance, request).await;
    }
    match (request.method(), path) {
        (&Method::POST, COMPLETIONS_PATH | CHAT_PATH) => {
            answer_completion(instance, request).await
        }
        (&Method::GET, MODELS_PATH) => responses::json(&models(&instance)),
        (_, COMPLETIONS_PATH | CHAT_PATH | MODELS_PATH) => {
            responses::problem(&Problem::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "wrong_method",
                RunState::NotRun,
                format!("{} is not for {path}", request.method()),
            ))
        }
        _ => responses::problem(&Problem::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            RunState::NotRun,
            format!("there is nothing at {path}"),
        )),
    }
}

async fn answer_completion(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let open_request = match OpenRequestGuard::open(&instance) {
        Ok(open_request) => open_request,
        Err(problem) => return responses::problem(&problem),
    };
    let id = open_request.hex();
    metrics::counter!("sedgewall_requests_total").increment(1);
    let answered = match prepare(&instance, open_request, request).await {
        Ok(call) => claim_and_run(&instance, call).await,
        Err(problem) => Err(problem),
    };
    let response = answered.unwrap_or_else(|problem| {
        let problem = problem.with_request_id(&id);
        let request = RequestId::from_str_radix(&id, 16).ok();
        let detail = &problem.detail;
        instance.record_event(EventKind::Refusal, request, "", "", detail);
        responses::problem(&problem)
    });
    responses::with_request_id(response, &id)
}

/// Reads and validates a completion request.
async fn prepare(
    instance: &Rc<Instance>,
    open_request: OpenRequestGuard,
    request: Request<Incoming>,
) -> Result<ModelCall, Problem> {
    let (parts, body) = request.into_parts();
    let bad_request = |err: sedgewall_protocol::caller::CallerError| {
        Problem::bad_request(err.to_string())
    };
    let options =
        CallOptions::from_headers(&parts.headers).map_err(bad_request)?;
    let limits = &instance.settings.limits;
    let body = read_request_body(instance, body).await?;
    let head = CompletionHead::from_body(&body).map_err(bad_request)?;
    let model: ModelRef = head.model.parse().map_err(bad_request)?;
    let (shard, default_priority) = route(instance, &model)?;
    let requested =
        options.deadline.unwrap_or(Duration::from_millis(limits.deadline_ms));
    let within = requested.min(Duration::from_millis(limits.max_deadline_ms));
    let caller = options
        .caller
        .clone()
        .or(head.user)
        .unwrap_or_else(|| ANONYMOUS.to_owned());
    let is_repeatable = options.is_repeatable.unwrap_or(true);
    let ticket =
        ClaimTicket::new(&options, is_repeatable, &caller, open_request.id);
    let detail = format!("from {caller}");
    instance.record_event(
        EventKind::Request,
        Some(open_request.id),
        model.to_string(),
        "",
        detail,
    );
    Ok(ModelCall {
        instance: instance.clone(),
        path: parts.uri.path().to_owned(),
        shard,
        model,
        priority: options.priority.unwrap_or(default_priority),
        caller_hash: xxh3_64(caller.as_bytes()),
        arrived: Instant::now(),
        deadline: Instant::now() + within,
        body,
        is_stream: head.stream,
        is_repeatable,
        idempotency_key: options.idempotency_key,
        ticket,
        open_request,
    })
}

async fn claim_and_run(
    instance: &Rc<Instance>,
    call: ModelCall,
) -> Result<Response<LocalBody>, Problem> {
    let ticket = call.ticket;
    if let Some(ticket) = &ticket {
        let within = call.deadline.saturating_duration_since(Instant::now());
        ticket.obtain_before_stop_ends(instance, within).await?;
    }
    let outcome = call::run(call).await;
    if let (Some(ticket), Err(problem)) = (&ticket, &outcome)
        && problem.run_state == RunState::NotRun
    {
        ticket.release(instance);
    }
    outcome
}

/// Returns the shard and the default priority of an adapter.
fn route(
    instance: &Instance,
    model: &ModelRef,
) -> Result<(ShardId, sedgewall_state::Priority), Problem> {
    if instance.stage.get() == Stage::Starting {
        return Err(Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "starting",
            RunState::NotRun,
            "the instance has no configuration yet",
        )
        .with_retry_after(FULL_RETRY_AFTER));
    }
    let view = instance.view();
    let region = view.config.region_of(&instance.settings.zone).to_owned();
    let adapter_route =
        view.adapter(&model.adapter, &model.version).and_then(|adapter| {
            let shard = view.shard_of(&region, adapter)?;
            Some((shard, adapter.priority))
        });
    adapter_route.ok_or_else(|| {
        Problem::from_refusal(&Refusal {
            reason: RefusalReason::UnknownAdapter,
            retry_after: Duration::ZERO,
        })
    })
}

fn models(instance: &Instance) -> ModelList {
    let view = instance.view();
    let mut data = Vec::new();
    for adapter in &view.config.adapters {
        for version in &adapter.versions {
            data.push(ModelEntry {
                id: format!("{}@{version}", adapter.name),
                object: "model".to_owned(),
                owned_by: adapter.base_model.clone(),
            });
        }
    }
    ModelList { object: "list".to_owned(), data }
}

/// Reads the body of a caller's request, within the configured limits on its
/// length and time.
pub(crate) async fn read_request_body(
    instance: &Instance,
    body: Incoming,
) -> Result<Bytes, Problem> {
    let limits = &instance.settings.limits;
    let within = Duration::from_millis(limits.body_ms);
    let read = read_body(body, limits.body_bytes, within);
    match instance.stop_end.before(read).await {
        Some(read) => read.map_err(body_problem),
        None => Err(stopping_problem(RunState::NotRun)),
    }
}

fn body_problem(err: BodyError) -> Problem {
    match err {
        BodyError::TooSlow(_) => Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            RunState::NotRun,
            err.to_string(),
        ),
        BodyError::TooLong(_) => Problem::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            RunState::NotRun,
            err.to_string(),
        ),
        BodyError::Broken(_) => Problem::bad_request(err.to_string()),
    }
}

/// Submits a request to the current leader of its shard, if there is one and
/// the request does not run yet.
pub(crate) fn send_submit(instance: &Rc<Instance>, id: RequestId) {
    let submit = {
        let mut requests = instance.requests.borrow_mut();
        let Some(tracked) = requests.get_mut(id) else { return };
        if tracked.endpoint.is_some() {
            return;
        }
        let now = Instant::now();
        tracked.sent = now;
        Submit {
            shard: tracked.shard.clone(),
            request: id,
            adapter: tracked.adapter.clone(),
            version: tracked.version.clone(),
            priority: tracked.priority,
            caller_hash: tracked.caller_hash,
            time_left: tracked.deadline.saturating_duration_since(now),
            waited: now.saturating_duration_since(tracked.submitted),
            // The leader states a grant's expiry on this clock.
            stamp_ms: instance.uptime_ms(),
            config_version: instance.config.borrow().version(),
        }
    };
    let Some(leader) = instance.leader_of(&submit.shard) else { return };
    let message = PeerMessage::Submit(submit);
    instance.send(&leader.peer_url, Some(leader.incarnation), message);
}

/// Tells the leader that a request is cancelled.
pub(crate) fn send_cancel(
    instance: &Rc<Instance>,
    shard: &str,
    request: RequestId,
) {
    let Some(leader) = instance.leader_of(shard) else { return };
    let message =
        PeerMessage::Cancel(RequestRef { shard: shard.to_owned(), request });
    instance.send(&leader.peer_url, Some(leader.incarnation), message);
}

/// Sends a new leader the running requests of its shard, and submits the
/// waiting ones to it.
pub(crate) fn resync_with_leader(instance: &Rc<Instance>, shard: &str) {
    let Some(leader) = instance.leader_of(shard) else { return };
    let running = instance.requests.borrow_mut().running().remove(shard);
    let details = running.unwrap_or_default();
    let ids = details.iter().map(|request| request.request).collect();
    let message = PeerMessage::Running(Running {
        shard: shard.to_owned(),
        epoch: leader.epoch,
        ids,
        details,
        first_tokens: Vec::new(),
    });
    instance.send(&leader.peer_url, Some(leader.incarnation), message);
    let ids = instance.requests.borrow().ids_of_shard(shard);
    for id in ids {
        send_submit(instance, id);
    }
}

/// Handles a grant.
///
/// A late or repeated grant, or one from a superseded leader, is not used. The
/// leader of a grant for an unknown request is told to cancel the request.
pub(crate) fn on_granted(instance: &Rc<Instance>, granted: &Granted) {
    if granted.epoch < instance.highest_epoch(&granted.shard) {
        return;
    }
    let is_valid = instance.uptime_ms() < granted.valid_until_stamp_ms;
    let requests = instance.requests.borrow();
    match requests.get(granted.request) {
        Some(tracked) if tracked.endpoint.is_none() && is_valid => {
            let decision = Decision::Granted(granted.clone());
            let _ = tracked.tx.unbounded_send(decision);
        }
        Some(_) => {}
        None => {
            drop(requests);
            send_cancel(instance, &granted.shard, granted.request);
        }
    }
}

/// Handles a refusal. One from a superseded leader, or of a request that runs,
/// is ignored.
pub(crate) fn on_refused(instance: &Rc<Instance>, refused: &Refused) {
    if refused.epoch < instance.highest_epoch(&refused.shard) {
        return;
    }
    let requests = instance.requests.borrow();
    let Some(tracked) = requests.get(refused.request) else { return };
    if tracked.endpoint.is_none() {
        let _ = tracked.tx.unbounded_send(Decision::Refused(refused.refusal));
    }
}
