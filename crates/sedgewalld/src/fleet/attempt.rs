//! One send of a request to one endpoint, and what its end means.

use std::{
    cell::{OnceCell, RefCell},
    hash::{BuildHasher, RandomState},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    configuration::ConfigurationStatus,
    customer::Customer,
    poison::Loss,
    recent_successes::RequestHash,
    request_digest::{RequestDigest, RequestParts},
    route::{Repetition, Route},
    view::{AnsweredRequest, Target},
};
use sedgewall_platform::{
    AnswerFacts, CallFacts,
    call::{Handover, to_endpoint},
};
use sedgewall_state::id::EndpointId;
use sedgewall_transport::{PooledResponse, SendError};

use super::{
    announcements,
    in_flight::UnderWay,
    instance::{FleetNode, SeenArrival},
    poison,
};

/// The longest time for a connection to an endpoint. Within a region a
/// connection takes milliseconds; a lost packet costs a second.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// What a request is, once it was read.
pub(crate) struct CallerRequest {
    pub(crate) facts: CallFacts,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    /// By which configuration it was routed.
    pub(crate) decided_by: ConfigurationStatus,
    pub(crate) service: String,
    pub(crate) is_engine: bool,
    pub(crate) arrived: Instant,
    /// When it must have its final answer.
    pub(crate) end: Instant,
    /// Whether its caller has tried before, as its time tells.
    pub(crate) is_later_try: bool,
    /// Whose it is.
    pub(crate) customer: Option<Rc<Customer>>,
    /// Where it was sent last, and when.
    pub(crate) sent_to: RefCell<Option<SentTo>>,
    /// Made when it is asked for: few requests need one.
    pub(crate) digest: OnceCell<RequestDigest>,
}

/// Where a request was sent.
#[derive(Clone, Debug)]
pub(crate) struct SentTo {
    pub(crate) endpoint: EndpointId,
    pub(crate) at: Instant,
}

/// How a send ended without an answer to pass on.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// The endpoint does not hold the adapter, or is another one.
    Misdirected,
    /// The endpoint has no room.
    Busy,
    /// No connection could be made.
    Unreachable(String),
    /// The endpoint may have run it.
    Unclear(String),
    /// The time for this send passed; the endpoint may have run it.
    TimedOut,
}

impl AttemptError {
    /// Returns whether the endpoint certainly did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        match self {
            AttemptError::Misdirected
            | AttemptError::Busy
            | AttemptError::Unreachable(_) => true,
            AttemptError::Unclear(_) | AttemptError::TimedOut => false,
        }
    }

    /// What is known of the cause.
    pub(crate) fn detail(&self) -> &str {
        match self {
            AttemptError::Unreachable(cause)
            | AttemptError::Unclear(cause) => cause,
            _ => "",
        }
    }

    /// The name in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptError::Misdirected => "misdirected",
            AttemptError::Busy => "busy",
            AttemptError::Unreachable(_) => "unreachable",
            AttemptError::Unclear(_) => "unclear",
            AttemptError::TimedOut => "timed_out",
        }
    }
}

/// An endpoint's answer that may be passed on.
pub(crate) struct GoodAnswer {
    pub(crate) answer: PooledResponse,
    pub(crate) under_way: UnderWay,
}

impl CallerRequest {
    /// Returns what is left of the request's time.
    pub(crate) fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Returns the model or adapter, if an engine serves the request.
    pub(crate) fn key(&self) -> Option<&AdapterKey> {
        self.facts.key.as_ref().filter(|_| self.is_engine)
    }

    /// Returns what all tries of this request have in common.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| RequestDigest::of(self.parts()))
    }

    /// Returns a hash of the same, which is cheap enough for each request.
    pub(crate) fn hash(&self, key: &RandomState) -> RequestHash {
        let RequestParts { customer, method, host, path, body } = self.parts();
        key.hash_one((customer, method, host, path, body))
    }

    fn parts(&self) -> RequestParts<'_> {
        let path = self.uri.path_and_query();
        RequestParts {
            customer: self.customer.as_ref().map(|c| c.name.as_str()),
            method: self.method.as_str(),
            host: &self.route.host,
            path: path.map_or("", |path| path.as_str()),
            body: &self.body,
        }
    }

    /// Returns the rank: the customer's comes before the route's.
    pub(crate) fn rank(&self) -> u8 {
        let route = self.route.priority;
        self.customer.as_ref().map_or(route, |c| c.effective_priority(route))
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repetition == Repetition::Repeatable
    }
}

/// What bounds a send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendLimits {
    /// The longest time until the head of the answer.
    pub(crate) within: Duration,
    /// Whether a failure that the endpoint answers is the final answer.
    pub(crate) is_last: bool,
}

/// Sends a request to an endpoint and waits for the head of its answer.
pub(crate) async fn send(
    node: &Rc<FleetNode>,
    call: &CallerRequest,
    target: &Target,
    last_event: Option<&str>,
    limits: SendLimits,
) -> Result<GoodAnswer, AttemptError> {
    let prompt_tokens = call.facts.prompt_tokens;
    let mut under_way =
        UnderWay::begin(node, &target.id, call.key(), prompt_tokens);
    let request = build(call, target, last_event);
    let began = Instant::now();
    let answered = AnsweredRequest {
        endpoint: target.id.clone(),
        born: node.view.borrow().incarnation(&target.id),
        sent: began,
    };
    node.view.borrow_mut().record_sent(&target.id, began);
    let sending = node.pool.send(target.address, request, CONNECT_TIME);
    let ended = match compio::time::timeout(limits.within, sending).await {
        Ok(Ok(answer)) => {
            let status = answer.status;
            let facts = AnswerFacts::read(status, &answer.headers);
            announcements::hear_answer(node, call, &answered, status, &facts);
            judge(call, answer, facts, limits.is_last)
        }
        Ok(Err(SendError::NotSent(cause))) => {
            Err(AttemptError::Unreachable(cause))
        }
        Ok(Err(SendError::Broken(cause))) => {
            poison::run_broke(node, call, target, &cause);
            Err(AttemptError::Unclear(cause))
        }
        Err(_) => {
            poison::run_lost(node, call, Loss::Broken);
            Err(AttemptError::TimedOut)
        }
    };
    under_way.answer_begins();
    if ended.is_ok() && call.key().is_some() {
        let tokens = target.unread_tokens + prompt_tokens;
        let mut view = node.view.borrow_mut();
        view.observe_first_event(&call.service, tokens, began.elapsed());
    }
    note_arrival(node, call, target, &ended, began);
    note(node, call, target, &ended);
    ended.map(|answer| GoodAnswer { answer, under_way })
}

fn build(
    call: &CallerRequest,
    target: &Target,
    last_event: Option<&str>,
) -> Request<http_body_util::Full<Bytes>> {
    let handover = Handover {
        endpoint: &target.id,
        left: call.left(),
        priority: call.key().map(|_| call.rank()),
        customer: call.customer.as_ref().map(|c| c.name.as_str()),
        expect_version: target.expect_version,
        last_event,
    };
    let mut request = Request::new(call.body.clone().into());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = to_endpoint(&call.headers, &handover);
    request
}

/// Tells answers that may be passed on from those that say or mean that
/// something went wrong.
fn judge(
    call: &CallerRequest,
    mut answer: PooledResponse,
    facts: AnswerFacts,
    is_last: bool,
) -> Result<PooledResponse, AttemptError> {
    answer.apply_connection_header();
    let status = answer.status;
    if facts.is_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(match status {
            StatusCode::MISDIRECTED_REQUEST => AttemptError::Misdirected,
            _ => AttemptError::Busy,
        });
    }
    // An endpoint may send an answer twice; the second one then lies where
    // the next request's answer is due.
    let is_ours =
        facts.request_id.as_deref() == Some(call.facts.request_id.as_str());
    if !is_ours {
        answer.discard_connection();
        let of = facts.request_id.unwrap_or_default();
        return Err(AttemptError::Unclear(format!("the answer is to {of:?}")));
    }
    if status.is_success() && !facts.is_proven {
        answer.discard_connection();
        return Err(AttemptError::Unclear("a success without proof".into()));
    }
    if status.is_server_error() && !(is_last && facts.is_proven) {
        return Err(AttemptError::Unclear(format!("it answered {status}")));
    }
    Ok(answer)
}

/// Notes what a send to an adapter on its way showed: it was there when the
/// request came, or not.
fn note_arrival(
    node: &FleetNode,
    call: &CallerRequest,
    target: &Target,
    ended: &Result<PooledResponse, AttemptError>,
    sent: Instant,
) {
    let Some(key) = call.key() else { return };
    let is_there = match ended {
        Ok(answer) if answer.status.is_success() => true,
        Err(AttemptError::Misdirected) => false,
        _ => return,
    };
    if !node.view.borrow_mut().confirm_load(&target.id, key, is_there) {
        return;
    }
    node.arrivals.borrow_mut().push(SeenArrival {
        endpoint: target.id.clone(),
        key: key.clone(),
        is_there,
        sent,
    });
    node.notify_notes();
}

fn note(
    node: &FleetNode,
    call: &CallerRequest,
    target: &Target,
    ended: &Result<PooledResponse, AttemptError>,
) {
    let now = Instant::now();
    let mut view = node.view.borrow_mut();
    if let (Err(AttemptError::Misdirected | AttemptError::Busy), Some(key)) =
        (ended, call.key())
    {
        let is_absent = matches!(ended, Err(AttemptError::Misdirected));
        let is_coming = view
            .get(&target.id)
            .and_then(|state| state.placement(key))
            .is_some_and(|placement| !placement.is_listed());
        if is_absent || is_coming {
            view.record_absent(&target.id, key, now);
        }
    }
    let Some(state) = view.get_mut(&target.id) else { return };
    let is_ejected = match ended {
        Ok(answer) if answer.status.is_server_error() => {
            state.health.failed(now)
        }
        Ok(_) => {
            state.health.succeeded();
            false
        }
        Err(AttemptError::Busy) => false,
        Err(AttemptError::Misdirected) => {
            // Where no adapter is named, another endpoint has the address.
            call.key().is_none() && state.health.failed(now)
        }
        Err(AttemptError::Unreachable(_)) => {
            state.health.unreachable(now);
            if call.is_engine {
                node.unreachable.borrow_mut().insert(target.id.clone());
                node.notify_notes();
            }
            !state.health.is_usable(now)
        }
        Err(AttemptError::Unclear(_) | AttemptError::TimedOut) => {
            state.health.failed(now)
        }
    };
    if is_ejected {
        let cause = ended.as_ref().err().map_or("failed", |err| err.name());
        tracing::warn!(
            event = "endpoint_ejected",
            endpoint = target.id,
            cause,
            request = call.facts.request_id,
        );
        metrics::counter!("sedgewall_ejections_total").increment(1);
    }
}
