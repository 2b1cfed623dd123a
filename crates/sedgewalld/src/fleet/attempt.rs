//! One attempt to send a request to one endpoint, and the classification of
//! its outcome.

use std::{
    cell::{OnceCell, RefCell},
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
    endpoint::SoftwareVersion,
    features::{Feature, Features, Prompt, part_feature},
    poison::Loss,
    request_digest::{RequestDigest, RequestParts},
    route::{Repetition, Route},
    stream_origins::{StreamKey, StreamOrigin, stream_key},
    view::{AnsweredRequest, Target},
};
use sedgewall_platform::{
    RequestMetadata, ResponseMetadata,
    call::{ForwardingMetadata, endpoint_request_headers},
};
use sedgewall_state::id::{EndpointId, InstanceId};
use sedgewall_transport::{PooledResponse, SendError};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    announcements,
    buffers::Reserved,
    forwarding::{ForwardGuard, Forwarded},
    in_flight::InFlightGuard,
    instance::{FleetInstance, ObservedLoad},
    poison,
};

/// The timeout for connecting to an endpoint. Within a region a connection
/// takes milliseconds; a lost packet costs a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A caller's request after its headers and body were read.
pub(crate) struct CallerRequest {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The reservation for the body.
    pub(crate) _body_reserved: Reserved,
    pub(crate) route: Route,
    /// The configuration by which the request was routed.
    pub(crate) decided_by: ConfigurationStatus,
    pub(crate) service: String,
    pub(crate) is_engine: bool,
    pub(crate) arrived: Instant,
    /// The deadline for the final answer.
    pub(crate) deadline: Instant,
    /// Whether the caller has tried before, as inferred from a time limit that
    /// is shorter than the longest on this route.
    pub(crate) is_later_try: bool,
    /// The customer that the request belongs to, if its route needs a key.
    pub(crate) customer: Option<Rc<Customer>>,
    /// Where the stream began that the request resumes.
    pub(crate) resumed: Resumed,
    /// What another instance says of the request, if it was forwarded here.
    pub(crate) forwarded: Option<Forwarded>,
    /// The send whose response is forwarded, or the last one as long as there
    /// is no response. `None` if it went to another instance.
    pub(crate) sent_to: RefCell<Option<SentTo>>,
    /// What the request may have in common with others that crash endpoints,
    /// computed on first use.
    pub(crate) features: OnceCell<Features>,
}

/// What is known of the stream that a request resumes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Resumed {
    /// The request resumes none.
    None,
    /// It began here.
    From(StreamOrigin),
    /// It began at a software version that is not known.
    Unknown,
}

/// The destination and time of a send.
#[derive(Clone, Debug)]
pub(crate) struct SentTo {
    pub(crate) endpoint: EndpointId,
    pub(crate) at: Instant,
}

/// Why an attempt brought no response that can be forwarded.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// The endpoint does not hold the adapter, or another endpoint has the
    /// address now.
    Misdirected,
    /// The endpoint has no capacity left.
    Busy,
    /// No connection could be made.
    Unreachable(String),
    /// The attempt failed, and the endpoint may have run the request.
    Unclear(String),
    /// The deadline passed, and the endpoint may have run the request.
    TimedOut,
    /// A later attempt took the place of this one, and the endpoint may have
    /// run the request.
    Replaced,
}

impl AttemptError {
    /// Returns the error for an error response of the endpoint.
    pub(crate) fn failed(status: StatusCode) -> AttemptError {
        AttemptError::Unclear(format!("endpoint answered {status}"))
    }

    /// Returns whether the endpoint certainly did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        match self {
            AttemptError::Misdirected
            | AttemptError::Busy
            | AttemptError::Unreachable(_) => true,
            AttemptError::Unclear(_)
            | AttemptError::TimedOut
            | AttemptError::Replaced => false,
        }
    }

    /// Returns the details of the cause, or an empty string if there are none.
    pub(crate) fn detail(&self) -> &str {
        match self {
            AttemptError::Unreachable(cause)
            | AttemptError::Unclear(cause) => cause,
            _ => "",
        }
    }

    /// Returns the name used in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptError::Misdirected => "misdirected",
            AttemptError::Busy => "busy",
            AttemptError::Unreachable(_) => "unreachable",
            AttemptError::Unclear(_) => "unclear",
            AttemptError::TimedOut => "timed_out",
            AttemptError::Replaced => "replaced",
        }
    }
}

/// An endpoint's response that may be forwarded to the caller.
pub(crate) struct GoodAnswer {
    pub(crate) answer: PooledResponse,
    /// Counts the request as in flight.
    pub(crate) guard: SendGuard,
}

/// Counts a request as in flight where it was sent.
pub(crate) enum SendGuard {
    Endpoint { _guard: InFlightGuard },
    Instance { _guard: ForwardGuard },
}

/// Where a response comes from.
pub(crate) enum Responder {
    /// An endpoint that the request was sent to.
    Endpoint(Target),
    /// Another instance, through which the request was forwarded.
    Instance {
        id: InstanceId,
        /// The software version of the endpoint, if that instance states it.
        software_version: Option<SoftwareVersion>,
    },
}

impl Responder {
    /// Returns the endpoint, if the request was sent to one by this instance.
    pub(crate) fn endpoint(&self) -> Option<&Target> {
        match self {
            Responder::Endpoint(target) => Some(target),
            Responder::Instance { .. } => None,
        }
    }

    /// Returns the id of the endpoint or instance.
    pub(crate) fn id(&self) -> &str {
        match self {
            Responder::Endpoint(target) => &target.id,
            Responder::Instance { id, .. } => id,
        }
    }

    /// Returns the software version of the endpoint, if it is known.
    pub(crate) fn software_version(&self) -> Option<&SoftwareVersion> {
        match self {
            Responder::Endpoint(target) => target.software_version.as_ref(),
            Responder::Instance { software_version, .. } => {
                software_version.as_ref()
            }
        }
    }
}

impl CallerRequest {
    /// Returns the time left until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns when the request was sent to the endpoint whose response is
    /// forwarded, or when it arrived if it went to another instance.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_to.borrow().as_ref().map_or(self.arrived, |sent| sent.at)
    }

    /// Returns the key of a stream of this customer that began as the request
    /// with this id.
    pub(crate) fn stream_key(&self, request_id: &str) -> StreamKey {
        let customer = self.customer.as_ref().map(|c| c.name.as_str());
        stream_key(customer, request_id)
    }

    /// Returns the model or adapter, if an engine serves the request.
    pub(crate) fn key(&self) -> Option<&AdapterKey> {
        self.metadata.key.as_ref().filter(|_| self.is_engine)
    }

    /// Returns a digest that all tries of this request have in common.
    pub(crate) fn digest(&self) -> RequestDigest {
        self.features().request
    }

    /// Returns what the request may have in common with others that crash
    /// endpoints.
    pub(crate) fn features(&self) -> &Features {
        self.features.get_or_init(|| {
            let digest = RequestDigest::of(self.parts());
            let parts = &self.metadata.prompt_parts;
            let parts: Vec<&str> =
                parts.iter().map(|(id, _)| id.as_str()).collect();
            let prompt = Prompt {
                service: &self.service,
                customer: self.customer.as_ref().map(|c| c.name.as_str()),
                parts: &parts,
            };
            Features::new(digest, prompt)
        })
    }

    /// Returns the id of the part of the prompt that a feature stands for, or
    /// `None` if it stands for the whole request.
    pub(crate) fn part_of(&self, feature: Feature) -> Option<&str> {
        let customer = self.customer.as_ref().map(|c| c.name.as_str());
        let parts = self.metadata.prompt_parts.iter();
        let mut ids = parts.map(|(id, _)| id.as_str());
        ids.find(|id| {
            [customer, None].into_iter().any(|customer| {
                part_feature(&self.service, customer, id) == feature
            })
        })
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

    /// Returns the priority of the request. The customer's priority takes
    /// precedence over the route's.
    pub(crate) fn priority(&self) -> u8 {
        let route = self.route.priority;
        self.customer.as_ref().map_or(route, |c| c.effective_priority(route))
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repetition == Repetition::Repeatable
    }
}

/// Returns a number between 0 and 1 derived from the hash of a request id.
pub(crate) fn hash_fraction(request_id: &str) -> f64 {
    xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64
}

/// Sends a request to an endpoint and waits for the response headers until the
/// deadline of the request.
///
/// An error response is returned like any other. Whether it is the final
/// answer depends on the attempts that may follow.
pub(crate) async fn send(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    target: &Target,
    last_event: Option<&str>,
) -> Result<GoodAnswer, AttemptError> {
    let prompt_tokens = call.metadata.prompt_tokens;
    let mut in_flight_guard =
        InFlightGuard::begin(instance, &target.id, call.key(), prompt_tokens);
    let request = build(call, target, last_event);
    let began = Instant::now();
    let sent_to = SentTo { endpoint: target.id.clone(), at: began };
    let answered = AnsweredRequest {
        endpoint: target.id.clone(),
        born: instance.view.borrow().incarnation(&target.id),
        sent: began,
    };
    instance.view.borrow_mut().record_sent(&target.id, began);
    instance.reach.borrow_mut().record_sent(&call.service, began);
    let sending = instance.pool.send(target.address, request, CONNECT_TIMEOUT);
    let ended = match compio::time::timeout(call.left(), sending).await {
        Ok(Ok(answer)) => {
            instance.reach.borrow_mut().record_heard(&call.service);
            let status = answer.status;
            let metadata = ResponseMetadata::read(status, &answer.headers);
            if metadata.is_sealed {
                // Another process may have the address of one that has ended,
                // and reject the request.
                poison::endpoint_answered(instance, &target.id, began);
            }
            announcements::apply_response(
                instance, call, &answered, status, &metadata,
            );
            classify(call, answer, metadata)
        }
        Ok(Err(SendError::NotSent(cause))) => {
            Err(AttemptError::Unreachable(cause))
        }
        Ok(Err(SendError::Broken(cause))) => {
            let loss = Loss::Unanswered;
            poison::run_broken(instance, call, target, began, loss, &cause);
            Err(AttemptError::Unclear(cause))
        }
        Ok(Err(err @ (SendError::Endless(_) | SendError::Malformed(_)))) => {
            poison::response_unusable(instance, call, &sent_to, &err);
            Err(AttemptError::Unclear(err.to_string()))
        }
        Err(_) => {
            poison::run_lost(instance, call, &sent_to, Loss::Broken);
            Err(AttemptError::TimedOut)
        }
    };
    in_flight_guard.response_started();
    if ended.as_ref().is_err_and(AttemptError::is_not_run) {
        in_flight_guard.rejected();
    }
    if ended.as_ref().is_ok_and(|answer| !answer.status.is_server_error())
        && call.key().is_some()
    {
        let tokens = target.unread_tokens + prompt_tokens;
        let mut view = instance.view.borrow_mut();
        view.observe_first_event(&call.service, tokens, began.elapsed());
    }
    record_load_observation(instance, call, target, &ended, began);
    record_outcome(instance, call, target, &ended);
    let guard = SendGuard::Endpoint { _guard: in_flight_guard };
    ended.map(|answer| GoodAnswer { answer, guard })
}

/// Records that a later attempt has taken the place of this one, which counts
/// as a failure of its endpoint.
pub(crate) fn record_replaced(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    target: &Target,
) {
    record_outcome(instance, call, target, &Err(AttemptError::Replaced));
}

fn build(
    call: &CallerRequest,
    target: &Target,
    last_event: Option<&str>,
) -> Request<http_body_util::Full<Bytes>> {
    let forwarding = ForwardingMetadata {
        endpoint: &target.id,
        left: call.left(),
        priority: call.key().map(|_| call.priority()),
        customer: call.customer.as_ref().map(|c| c.name.as_str()),
        expect_version: target.expect_version,
        last_event,
    };
    let mut request = Request::new(call.body.clone().into());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() =
        endpoint_request_headers(&call.headers, &forwarding);
    request
}

/// Separates responses that may be forwarded from those that report or imply a
/// failure.
fn classify(
    call: &CallerRequest,
    mut answer: PooledResponse,
    metadata: ResponseMetadata,
) -> Result<PooledResponse, AttemptError> {
    answer.apply_connection_header();
    let status = answer.status;
    // An endpoint may send a response twice. The second copy is then read
    // where the response to the next request on the connection is expected,
    // and says nothing about that request, which may be running. Only a
    // rejection may lack an id.
    let is_rejection =
        metadata.is_not_run || status == StatusCode::MISDIRECTED_REQUEST;
    let is_ours = match metadata.request_id.as_deref() {
        Some(id) => id == call.metadata.request_id,
        None => is_rejection,
    };
    if !is_ours {
        answer.discard_connection();
        let of = metadata.request_id.unwrap_or_default();
        return Err(AttemptError::Unclear(format!(
            "response is for request {of:?}"
        )));
    }
    if is_rejection {
        return Err(match status {
            StatusCode::MISDIRECTED_REQUEST => AttemptError::Misdirected,
            _ => AttemptError::Busy,
        });
    }
    if status.is_success() && !metadata.is_sealed {
        answer.discard_connection();
        return Err(AttemptError::Unclear(
            "success response without proof that an endpoint made it".into(),
        ));
    }
    if status.is_server_error() && !metadata.is_sealed {
        return Err(AttemptError::failed(status));
    }
    Ok(answer)
}

/// Records what a send to an adapter that is still loading showed: whether the
/// adapter was loaded when the request arrived.
fn record_load_observation(
    instance: &FleetInstance,
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
    let mut view = instance.view.borrow_mut();
    if !view.confirm_load(&target.id, key, is_there, sent) {
        return;
    }
    drop(view);
    instance.observed_loads.borrow_mut().push(ObservedLoad {
        endpoint: target.id.clone(),
        key: key.clone(),
        is_there,
        sent,
    });
    instance.notify_notes();
}

/// Logs that a brittle endpoint has rejected a request for want of room.
fn log_rejection(call: &CallerRequest, target: &Target) {
    metrics::counter!("sedgewall_brittle_rejections_total").increment(1);
    tracing::warn!(
        event = "brittle_rejection",
        request = call.metadata.request_id,
        endpoint = target.id,
        in_flight = target.in_flight,
    );
}

fn record_outcome(
    instance: &FleetInstance,
    call: &CallerRequest,
    target: &Target,
    ended: &Result<PooledResponse, AttemptError>,
) {
    let now = Instant::now();
    if matches!(ended, Err(AttemptError::Unreachable(_))) {
        let mut reach = instance.reach.borrow_mut();
        reach.record_connect_failure(&call.service, &target.id, now);
        instance.reach_notify.notify();
    }
    let is_own_path = instance.reach.borrow().is_lost(&call.service);
    let mut view = instance.view.borrow_mut();
    let is_loading = call.key().is_some_and(|key| {
        let placement = view.get(&target.id).and_then(|s| s.placement(key));
        placement.is_some_and(|placement| placement.is_loading(now))
    });
    if matches!(ended, Err(AttemptError::Busy))
        && !is_loading
        && view.record_rejection(&target.id, now)
    {
        log_rejection(call, target);
        instance.has_urgent_report.set(true);
        instance.notify_notes();
    }
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
    if is_own_path && ended.is_err() {
        return;
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
            // For a request without an adapter, a misdirected answer means
            // that another endpoint has the address.
            call.key().is_none() && state.health.failed(now)
        }
        Err(AttemptError::Unreachable(_)) => {
            state.health.unreachable(now);
            !state.health.is_usable(now)
        }
        Err(
            AttemptError::Unclear(_)
            | AttemptError::TimedOut
            | AttemptError::Replaced,
        ) => state.health.failed(now),
    };
    if is_ejected {
        let cause = ended.as_ref().err().map_or("failed", |err| err.name());
        tracing::warn!(
            event = "endpoint_ejected",
            endpoint = target.id,
            cause,
            request = call.metadata.request_id,
        );
        metrics::counter!("sedgewall_ejections_total").increment(1);
    }
}
