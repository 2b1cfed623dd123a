//! One completion: wait for a seat, call the engine, pass the answer on.
//!
//! The module keeps the rules on repetition: a request is sent again only if
//! the last try certainly did not run, or if it is repeatable; and `not_run`
//! is answered only when no try can have run.

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
    entry::{RequestSlot, send_cancel, send_submit},
    node::Node,
    relay,
    requests::{Decision, HeldRequest},
    responses,
};

/// When to come back when a shard has no leader.
const NO_LEADER_RETRY: Duration = Duration::from_secs(1);

/// A completion request that was read and checked.
pub(crate) struct ModelCall {
    pub(crate) node: Rc<Node>,
    pub(crate) slot: RequestSlot,
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

/// A request's place at its shard. Dropping it gives the place up, wherever
/// the request stands.
pub(crate) struct Seat {
    node: Rc<Node>,
    id: RequestId,
    shard: ShardId,
    rx: mpsc::UnboundedReceiver<Decision>,
    is_over: bool,
}

/// How one try at an engine failed.
#[derive(Clone, Debug)]
pub(crate) enum TryError {
    /// The engine certainly did not run it.
    NotLoaded(String),
    /// No connection to the engine could be made.
    Unreachable(String),
    /// The engine, or the way to it, failed.
    Unclear(String),
    /// The engine refused the request itself.
    Rejected(StatusCode, String),
}

impl Seat {
    /// Submits a request.
    pub(crate) fn submit(call: &ModelCall) -> Seat {
        let (tx, rx) = mpsc::unbounded();
        let node = call.node.clone();
        let held = HeldRequest {
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
        node.requests.borrow_mut().insert(call.slot.id, held);
        send_submit(&node, call.slot.id);
        let shard = call.shard.clone();
        Seat { node, id: call.slot.id, shard, rx, is_over: false }
    }

    /// Waits for a seat, until the deadline.
    pub(crate) async fn wait(
        &mut self,
        deadline: Instant,
    ) -> Result<Granted, Refusal> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let decision = compio::time::timeout(left, self.rx.next()).await;
            match decision {
                Ok(Some(Decision::Granted(granted))) => {
                    if self.take(&granted) {
                        return Ok(granted);
                    }
                }
                Ok(Some(Decision::Refused(refusal))) => {
                    self.is_over = true;
                    self.forget();
                    return Err(refusal);
                }
                Ok(None) | Err(_) => return Err(self.refuse_late()),
            }
        }
    }

    /// Marks the request as running, if the grant may still be used.
    fn take(&mut self, granted: &Granted) -> bool {
        let is_valid = self.node.stamp_ms() < granted.valid_until_stamp_ms
            && granted.epoch >= self.node.seen_epoch(&self.shard);
        let mut requests = self.node.requests.borrow_mut();
        let Some(held) = requests.get_mut(self.id) else { return false };
        if !is_valid || held.endpoint.is_some() {
            return false;
        }
        held.endpoint = Some(granted.endpoint.clone());
        true
    }

    fn refuse_late(&mut self) -> Refusal {
        let reason = match self.node.leader_of(&self.shard) {
            Some(_) => RefusalReason::DeadlinePassed,
            None => RefusalReason::NoLeader,
        };
        Refusal { reason, retry_after: NO_LEADER_RETRY }
    }

    /// Tells the leader how a try ended. After `NotLoaded` and `Unreachable` the leader gives the
    /// request another seat by itself; after `Failed` it must be submitted
    /// anew.
    pub(crate) fn ended(&mut self, end: EndKind) {
        if let Some(leader) = self.node.leader_of(&self.shard) {
            let message = PeerMessage::Ended(Ended {
                shard: self.shard.clone(),
                request: self.id,
                end,
            });
            let to = Some(leader.incarnation);
            self.node.send(&leader.peer_url, to, message);
        }
        if end == EndKind::Finished {
            self.is_over = true;
            self.forget();
            return;
        }
        let mut requests = self.node.requests.borrow_mut();
        if let Some(held) = requests.get_mut(self.id) {
            held.endpoint = None;
            held.sent = Instant::now();
        }
    }

    /// Submits the request again after a failed try.
    pub(crate) fn resubmit(&self) {
        send_submit(&self.node, self.id);
    }

    /// Notes how long the first token took, for the leader.
    pub(crate) fn first_token(&self, took: Duration) {
        let mut requests = self.node.requests.borrow_mut();
        requests.note_first_token(self.id, took);
    }

    fn forget(&self) {
        self.node.requests.borrow_mut().remove(self.id);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.forget();
        send_cancel(&self.node, &self.shard, self.id);
    }
}

/// Runs a completion to the head of its answer, or to its refusal.
pub(crate) async fn run(
    call: ModelCall,
) -> Result<Response<LocalBody>, Problem> {
    let mut seat = Seat::submit(&call);
    let mut tries = Tries::new(&call);
    loop {
        let granted = match seat.wait(call.deadline).await {
            Ok(granted) => granted,
            Err(refusal) => return Err(tries.refused(&refusal)),
        };
        let sent = Instant::now();
        let answer = match open(&call, &granted, 0).await {
            Ok(answer) => answer,
            Err(err) => {
                tries.failed(&call, &mut seat, err)?;
                continue;
            }
        };
        if call.is_stream {
            return Ok(relay::stream(call, seat, answer, sent));
        }
        match whole(&call, &seat, answer, sent).await {
            Ok(response) => {
                finish(&call, &mut seat, "answered");
                return Ok(response);
            }
            Err(err) => tries.failed(&call, &mut seat, err)?,
        }
    }
}

/// Ends a request that ran to its end.
pub(crate) fn finish(call: &ModelCall, seat: &mut Seat, detail: &str) {
    seat.ended(EndKind::Finished);
    let took = call.arrived.elapsed();
    metrics::histogram!("sedgewall_request_seconds")
        .record(took.as_secs_f64());
    let detail = format!("{detail} after {} ms", took.as_millis());
    let subject = call.model.to_string();
    call.node.event(EventKind::End, Some(call.slot.id), subject, "", detail);
}

/// Sends the call to the engine and waits for the head of the answer.
pub(crate) async fn open(
    call: &ModelCall,
    granted: &Granted,
    resume_from: u64,
) -> Result<StreamingResponse, TryError> {
    let subject = call.model.to_string();
    call.node.event(
        EventKind::Call,
        Some(call.slot.id),
        subject,
        &granted.endpoint,
        format!("epoch {}", granted.epoch),
    );
    let url = format!("http://{}{}", granted.address, call.path);
    let mut out = Call::new(Method::POST, url)
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, &call.slot.hex())
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
    let idle = Duration::from_millis(call.node.settings.limits.stream_idle_ms);
    let answer = call.node.http.open(out, idle).await.map_err(convert)?;
    check_status(answer).await
}

fn convert(err: CallError) -> TryError {
    if err.is_not_sent() {
        TryError::Unreachable(err.to_string())
    } else {
        TryError::Unclear(err.to_string())
    }
}

async fn check_status(
    answer: StreamingResponse,
) -> Result<StreamingResponse, TryError> {
    let status = answer.status();
    if status == StatusCode::OK {
        return Ok(answer);
    }
    let says_not_run = answer
        .headers()
        .get(RUN_STATE_HEADER)
        .is_some_and(|value| value == NOT_RUN);
    let detail = match answer.collect().await {
        Ok(whole) => String::from_utf8_lossy(&whole.body).into_owned(),
        Err(err) => err.to_string(),
    };
    let detail = format!("the engine answered {status}: {detail}");
    if says_not_run && status == StatusCode::CONFLICT {
        return Err(TryError::NotLoaded(detail));
    }
    if says_not_run && status.is_client_error() {
        return Err(TryError::Rejected(status, detail));
    }
    Err(TryError::Unclear(detail))
}

/// The urgency that engines get for each class.
fn urgency(priority: Priority) -> &'static str {
    match priority {
        Priority::High => "u=1",
        Priority::Normal => "u=3",
        Priority::Batch => "u=6",
    }
}

async fn whole(
    call: &ModelCall,
    seat: &Seat,
    answer: StreamingResponse,
    sent: Instant,
) -> Result<Response<LocalBody>, TryError> {
    let kind = media_type(&answer);
    let whole = answer.collect().await.map_err(convert)?;
    seat.first_token(sent.elapsed());
    note_first_token(call, sent);
    let mut response = Response::new(LocalBody::full(whole.body));
    responses::set_type(&mut response, &kind);
    Ok(response)
}

/// Returns the media type of an engine's answer.
pub(crate) fn media_type(answer: &StreamingResponse) -> String {
    answer
        .headers()
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/json")
        .to_owned()
}

/// Notes that the first bytes of an answer came.
pub(crate) fn note_first_token(call: &ModelCall, sent: Instant) {
    metrics::histogram!("sedgewall_first_token_seconds")
        .record(call.arrived.elapsed().as_secs_f64());
    let detail = format!(
        "{} ms after the call, {} ms after arrival",
        sent.elapsed().as_millis(),
        call.arrived.elapsed().as_millis()
    );
    let subject = call.model.to_string();
    let id = Some(call.slot.id);
    call.node.event(EventKind::FirstToken, id, subject, "", detail);
}

/// Counts the tries of one request and decides whether there is another.
pub(crate) struct Tries {
    failed: u32,
    limit: u32,
    /// Whether some try may have run.
    may_have_run: bool,
}

impl Tries {
    pub(crate) fn new(call: &ModelCall) -> Tries {
        let limit = call.node.settings.limits.retries;
        Tries { failed: 0, limit, may_have_run: false }
    }

    /// Takes in a failed try; returns if there is another, and fails with the
    /// answer to the caller if there is not.
    pub(crate) fn failed(
        &mut self,
        call: &ModelCall,
        seat: &mut Seat,
        err: TryError,
    ) -> Result<(), Problem> {
        self.failed += 1;
        let (end, detail) = match err {
            TryError::NotLoaded(detail) => (EndKind::NotLoaded, detail),
            TryError::Unreachable(detail) => (EndKind::Unreachable, detail),
            TryError::Unclear(detail) => (EndKind::Failed, detail),
            TryError::Rejected(status, detail) => {
                seat.ended(EndKind::Finished);
                let state = RunState::NotRun;
                return Err(Problem::new(status, "rejected", state, detail));
            }
        };
        self.may_have_run |= end == EndKind::Failed;
        let may_repeat = end != EndKind::Failed || call.is_repeatable;
        let is_within = self.failed <= self.limit
            && call.node.requests.borrow_mut().take_retry();
        if !may_repeat || !is_within {
            seat.ended(EndKind::Failed);
            return Err(self.spent(&detail));
        }
        call.node.event(
            EventKind::Retry,
            Some(call.slot.id),
            call.model.to_string(),
            "",
            &detail,
        );
        metrics::counter!("sedgewall_retries_total").increment(1);
        seat.ended(end);
        if end == EndKind::Failed {
            seat.resubmit();
        }
        Ok(())
    }

    /// Returns the answer when no further seat is given.
    pub(crate) fn refused(&self, refusal: &Refusal) -> Problem {
        let mut problem = Problem::from_refusal(refusal);
        if self.may_have_run {
            problem.run_state = RunState::Unknown;
        }
        problem
    }

    fn spent(&self, detail: &str) -> Problem {
        if !self.may_have_run {
            return Problem::from_refusal(&Refusal {
                reason: RefusalReason::RetriesSpent,
                retry_after: NO_LEADER_RETRY,
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
