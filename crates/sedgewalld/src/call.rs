//! One completion: waits for a grant, calls the engine, and returns the
//! answer.
//!
//! This module enforces the retry rules. A request is sent again only if the
//! last attempt certainly did not run, or if the request is repeatable.
//! `not_run` is answered only if no attempt can have run.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http::{Method, Response, StatusCode};
use sedgewall_clock::Instant;
use sedgewall_coordination::timeline::EventKind;
use sedgewall_protocol::{
    PeerMessage, Problem, RunState,
    caller::{
        IDEMPOTENCY_HEADER, ModelRef, PRIORITY_HEADER, REPEATABLE_HEADER,
        REQUEST_ID_HEADER,
    },
    engine::{NOT_RUN, RESUME_HEADER, RUN_STATE_HEADER},
    message::{EndKind, Ended, Granted},
};
use sedgewall_state::{
    Priority, RequestId, ShardId,
    admission::{Refusal, RefusalReason},
};
use sedgewall_transport::{
    CallError, LocalBody,
    client::{Call, StreamingResponse},
};

use crate::{
    claims::ClaimTicket,
    entry::{OpenRequestGuard, send_cancel, send_submit},
    instance::Instance,
    relay,
    requests::{Decision, TrackedRequest},
    responses,
    stop_end::stopping_problem,
};

/// The `Retry-After` value if no grant arrived before the deadline, for
/// instance as the shard has no leader, and after the last permitted retry
/// failed.
const NO_LEADER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The maximum length of an engine's error, in bytes.
const MAX_ERROR_LEN: usize = 64 << 10;

/// A completion request whose headers and body were read and validated.
pub(crate) struct ModelCall {
    pub(crate) instance: Rc<Instance>,
    pub(crate) open_request: OpenRequestGuard,
    pub(crate) path: String,
    pub(crate) shard: ShardId,
    pub(crate) model: ModelRef,
    pub(crate) priority: Priority,
    pub(crate) caller_hash: u64,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) body: Bytes,
    pub(crate) is_stream: bool,
    pub(crate) is_repeatable: bool,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) ticket: Option<ClaimTicket>,
}

/// A request submitted to its shard. Dropping it cancels the request, whether
/// it waits or runs.
pub(crate) struct ShardRequest {
    instance: Rc<Instance>,
    id: RequestId,
    shard: ShardId,
    rx: mpsc::UnboundedReceiver<Decision>,
    is_finished: bool,
}

/// The error of one attempt to run a request on an engine.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// The engine certainly did not run the request, as it has not loaded the
    /// adapter.
    NotLoaded(String),
    /// No connection to the engine could be made.
    Unreachable(String),
    /// The engine or the connection to it failed; the request may have run.
    OutcomeUnknown(String),
    /// The engine rejected the request with a client error and did not run it.
    Rejected(StatusCode, String),
}

impl ShardRequest {
    /// Starts to track a request and submits it to the leader of its shard.
    pub(crate) fn submit(call: &ModelCall) -> ShardRequest {
        let (tx, rx) = mpsc::unbounded();
        let instance = call.instance.clone();
        let tracked = TrackedRequest {
            shard: call.shard.clone(),
            adapter: call.model.adapter.clone(),
            version: call.model.version.clone(),
            priority: call.priority,
            caller_hash: call.caller_hash,
            submitted: call.arrived,
            deadline: call.deadline,
            sent: call.arrived,
            endpoint: None,
            tx,
        };
        instance.requests.borrow_mut().insert(call.open_request.id, tracked);
        send_submit(&instance, call.open_request.id);
        let shard = call.shard.clone();
        ShardRequest {
            instance,
            id: call.open_request.id,
            shard,
            rx,
            is_finished: false,
        }
    }

    /// Waits for a grant until the deadline.
    pub(crate) async fn wait_for_grant(
        &mut self,
        deadline: Instant,
    ) -> Result<Granted, Refusal> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let decision = compio::time::timeout(left, self.rx.next()).await;
            match decision {
                Ok(Some(Decision::Granted(granted))) => {
                    if self.use_grant(&granted) {
                        return Ok(granted);
                    }
                }
                Ok(Some(Decision::Refused(refusal))) => {
                    self.is_finished = true;
                    self.untrack();
                    return Err(refusal);
                }
                Ok(None) | Err(_) => return Err(self.timeout_refusal()),
            }
        }
    }

    /// Marks the request as running, if the grant is still valid. Returns
    /// whether it is.
    fn use_grant(&mut self, granted: &Granted) -> bool {
        let is_valid = self.instance.uptime_ms()
            < granted.valid_until_stamp_ms
            && granted.epoch >= self.instance.highest_epoch(&self.shard);
        let mut requests = self.instance.requests.borrow_mut();
        let Some(tracked) = requests.get_mut(self.id) else { return false };
        if !is_valid || tracked.endpoint.is_some() {
            return false;
        }
        tracked.endpoint = Some(granted.endpoint.clone());
        true
    }

    fn timeout_refusal(&mut self) -> Refusal {
        let reason = match self.instance.leader_of(&self.shard) {
            Some(_) => RefusalReason::DeadlinePassed,
            None => RefusalReason::NoLeader,
        };
        Refusal { reason, retry_after: NO_LEADER_RETRY_AFTER }
    }

    /// Tells the leader how an attempt ended.
    ///
    /// After `NotLoaded` and `Unreachable` the leader gives the request
    /// another grant by itself; after `Failed` the request must be submitted
    /// again.
    pub(crate) fn report_end(&mut self, end: EndKind) {
        if let Some(leader) = self.instance.leader_of(&self.shard) {
            let message = PeerMessage::Ended(Ended {
                shard: self.shard.clone(),
                request: self.id,
                end,
            });
            let to = Some(leader.incarnation);
            self.instance.send(&leader.peer_url, to, message);
        }
        if end == EndKind::Finished {
            self.is_finished = true;
            self.untrack();
            return;
        }
        let mut requests = self.instance.requests.borrow_mut();
        if let Some(tracked) = requests.get_mut(self.id) {
            tracked.endpoint = None;
            tracked.sent = Instant::now();
        }
    }

    /// Submits the request again after a failed attempt.
    pub(crate) fn resubmit(&self) {
        send_submit(&self.instance, self.id);
    }

    /// Records the first-token time of the request for its leader.
    pub(crate) fn record_first_token(&self, took: Duration) {
        let mut requests = self.instance.requests.borrow_mut();
        requests.record_first_token(self.id, took);
    }

    fn untrack(&self) {
        self.instance.requests.borrow_mut().remove(self.id);
    }
}

impl Drop for ShardRequest {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.untrack();
        send_cancel(&self.instance, &self.shard, self.id);
    }
}

/// Runs a completion. Returns the response once its head is known if it is
/// streamed, otherwise once it is complete.
pub(crate) async fn run(
    call: ModelCall,
) -> Result<Response<LocalBody>, Problem> {
    let stop_end = &call.instance.clone().stop_end;
    let mut shard_request = ShardRequest::submit(&call);
    let mut retry_state = RetryState::new(&call);
    loop {
        let granting = shard_request.wait_for_grant(call.deadline);
        let Some(granted) = stop_end.before(granting).await else {
            return Err(stopping_problem(retry_state.run_state()));
        };
        let granted = granted
            .map_err(|refusal| retry_state.refusal_problem(&refusal))?;
        let sent = Instant::now();
        let timeout = retry_state.silence_timeout(&call);
        let sending = send_to_engine(&call, &granted, 0, timeout);
        let Some(answer) = stop_end.before(sending).await else {
            return Err(stopping_problem(RunState::Unknown));
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(err) => {
                retry_state.record_failure(&call, &mut shard_request, err)?;
                continue;
            }
        };
        if call.is_stream {
            return Ok(relay::stream(call, shard_request, answer, sent));
        }
        let reading = read_whole_answer(&call, &shard_request, answer, sent);
        let Some(read) = stop_end.before(reading).await else {
            return Err(stopping_problem(RunState::Unknown));
        };
        match read {
            Ok(response) => {
                finish(&call, &mut shard_request, "answered");
                return Ok(response);
            }
            Err(err) => {
                retry_state.record_failure(&call, &mut shard_request, err)?
            }
        }
    }
}

/// Reports a request that was answered in full to its leader, and records its
/// duration.
pub(crate) fn finish(
    call: &ModelCall,
    shard_request: &mut ShardRequest,
    detail: &str,
) {
    shard_request.report_end(EndKind::Finished);
    let took = call.arrived.elapsed();
    metrics::histogram!("sedgewall_request_seconds")
        .record(took.as_secs_f64());
    let detail = format!("{detail} after {} ms", took.as_millis());
    let subject = call.model.to_string();
    call.instance.record_event(
        EventKind::End,
        Some(call.open_request.id),
        subject,
        "",
        detail,
    );
}

/// Sends the request to the granted engine and waits at most `within` for the
/// head of the answer.
pub(crate) async fn send_to_engine(
    call: &ModelCall,
    granted: &Granted,
    resume_from: u64,
    within: Duration,
) -> Result<StreamingResponse, AttemptError> {
    let subject = call.model.to_string();
    call.instance.record_event(
        EventKind::Call,
        Some(call.open_request.id),
        subject,
        &granted.endpoint,
        format!("epoch {}", granted.epoch),
    );
    let url = format!("http://{}{}", granted.address, call.path);
    let mut out = Call::new(Method::POST, url)
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, &call.open_request.hex())
        .header(PRIORITY_HEADER, urgency(call.priority))
        .body(call.body.clone());
    if !call.is_repeatable {
        out = out.header(REPEATABLE_HEADER, "?0");
    }
    if let Some(key) = &call.idempotency_key {
        out = out.header(IDEMPOTENCY_HEADER, key);
    }
    if resume_from > 0 {
        out = out.header(RESUME_HEADER, &resume_from.to_string());
    }
    let answer =
        call.instance.http.open(out, within).await.map_err(classify_error)?;
    check_status(answer).await
}

fn classify_error(err: CallError) -> AttemptError {
    if err.is_not_sent() {
        AttemptError::Unreachable(err.to_string())
    } else {
        AttemptError::OutcomeUnknown(err.to_string())
    }
}

async fn check_status(
    answer: StreamingResponse,
) -> Result<StreamingResponse, AttemptError> {
    let status = answer.status();
    if status == StatusCode::OK {
        return Ok(answer);
    }
    let says_not_run = answer
        .headers()
        .get(RUN_STATE_HEADER)
        .is_some_and(|value| value == NOT_RUN);
    let detail = match answer.collect_up_to(MAX_ERROR_LEN).await {
        Ok(whole) => String::from_utf8_lossy(&whole.body).into_owned(),
        Err(err) => err.to_string(),
    };
    let detail = format!("the engine answered {status}: {detail}");
    if says_not_run && status == StatusCode::CONFLICT {
        return Err(AttemptError::NotLoaded(detail));
    }
    if says_not_run && status.is_client_error() {
        return Err(AttemptError::Rejected(status, detail));
    }
    Err(AttemptError::OutcomeUnknown(detail))
}

/// Returns the urgency (RFC 9218) that an engine receives for a priority.
fn urgency(priority: Priority) -> &'static str {
    match priority {
        Priority::High => "u=1",
        Priority::Normal => "u=3",
        Priority::Batch => "u=6",
    }
}

async fn read_whole_answer(
    call: &ModelCall,
    shard_request: &ShardRequest,
    answer: StreamingResponse,
    sent: Instant,
) -> Result<Response<LocalBody>, AttemptError> {
    let media_type = media_type(&answer);
    let whole = answer.collect().await.map_err(classify_error)?;
    shard_request.record_first_token(sent.elapsed());
    record_first_token_time(call, sent);
    let mut response = Response::new(LocalBody::full(whole.body));
    responses::set_content_type(&mut response, &media_type);
    Ok(response)
}

/// Returns the media type of an engine's answer, JSON if it has none.
pub(crate) fn media_type(answer: &StreamingResponse) -> String {
    answer
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/json")
        .to_owned()
}

/// Records the metric and the event of the first bytes of an answer.
pub(crate) fn record_first_token_time(call: &ModelCall, sent: Instant) {
    metrics::histogram!("sedgewall_first_token_seconds")
        .record(call.arrived.elapsed().as_secs_f64());
    let detail = format!(
        "{} ms after the call, {} ms after arrival",
        sent.elapsed().as_millis(),
        call.arrived.elapsed().as_millis()
    );
    let subject = call.model.to_string();
    let id = Some(call.open_request.id);
    call.instance.record_event(EventKind::FirstToken, id, subject, "", detail);
}

/// The failed attempts of one request, and the limit on its retries. A stream
/// starts a new count once the engine has answered.
pub(crate) struct RetryState {
    failures: u32,
    limit: u32,
    /// Whether some attempt may have run.
    may_have_run: bool,
}

impl RetryState {
    pub(crate) fn new(call: &ModelCall) -> RetryState {
        let limit = call.instance.settings.limits.retries;
        RetryState { failures: 0, limit, may_have_run: false }
    }

    /// Returns how long the engine of an attempt may be silent before the
    /// attempt is given up.
    ///
    /// A silent engine may be at work. Without a retry, giving up its attempt
    /// ends the request, so that it is kept until the deadline at least.
    pub(crate) fn silence_timeout(&self, call: &ModelCall) -> Duration {
        let instance = &call.instance;
        let idle_ms = instance.settings.limits.stream_idle_ms;
        let idle = Duration::from_millis(idle_ms);
        let may_retry = call.is_repeatable
            && self.failures < self.limit
            && instance.requests.borrow().has_retry();
        if may_retry {
            return idle;
        }
        idle.max(call.deadline.saturating_duration_since(Instant::now()))
    }

    /// Reports a failed attempt to the leader and, if a retry is allowed, sees
    /// to it that the request gets another grant. Returns the problem to
    /// answer with if no retry is allowed.
    ///
    /// Each retry is taken from this instance's retry budget. After an unknown
    /// outcome the request is submitted to the leader again; otherwise the
    /// leader gives it another grant by itself.
    pub(crate) fn record_failure(
        &mut self,
        call: &ModelCall,
        shard_request: &mut ShardRequest,
        err: AttemptError,
    ) -> Result<(), Problem> {
        self.failures += 1;
        let (end, detail) = match err {
            AttemptError::NotLoaded(detail) => (EndKind::NotLoaded, detail),
            AttemptError::Unreachable(detail) => {
                (EndKind::Unreachable, detail)
            }
            AttemptError::OutcomeUnknown(detail) => (EndKind::Failed, detail),
            AttemptError::Rejected(status, detail) => {
                shard_request.report_end(EndKind::Finished);
                let state = self.run_state();
                return Err(Problem::new(status, "rejected", state, detail));
            }
        };
        self.may_have_run |= end == EndKind::Failed;
        let may_repeat = end != EndKind::Failed || call.is_repeatable;
        let is_retried = may_repeat
            && self.failures <= self.limit
            && call.instance.requests.borrow_mut().take_retry();
        if !is_retried {
            shard_request.report_end(EndKind::Failed);
            return Err(self.exhausted_problem(&detail));
        }
        call.instance.record_event(
            EventKind::Retry,
            Some(call.open_request.id),
            call.model.to_string(),
            "",
            &detail,
        );
        metrics::counter!("sedgewall_retries_total").increment(1);
        shard_request.report_end(end);
        if end == EndKind::Failed {
            shard_request.resubmit();
        }
        Ok(())
    }

    /// Returns the problem to answer with when the request gets no further
    /// grant.
    pub(crate) fn refusal_problem(&self, refusal: &Refusal) -> Problem {
        let mut problem = Problem::from_refusal(refusal);
        problem.run_state = self.run_state();
        problem
    }

    /// Returns the run state to answer with if the last attempt did not run.
    fn run_state(&self) -> RunState {
        match self.may_have_run {
            true => RunState::Unknown,
            false => RunState::NotRun,
        }
    }

    fn exhausted_problem(&self, detail: &str) -> Problem {
        if !self.may_have_run {
            return Problem::from_refusal(&Refusal {
                reason: RefusalReason::RetriesSpent,
                retry_after: NO_LEADER_RETRY_AFTER,
            });
        }
        Problem::new(
            StatusCode::BAD_GATEWAY,
            "outcome_unknown",
            RunState::Unknown,
            detail,
        )
    }
}
