//! Forwards requests through other instances while this one reaches no
//! endpoint of their service.
//!
//! A request is forwarded by one hop at most, over HTTP, on the port that
//! receives notes as UDP datagrams. This instance admits the request and
//! charges its customer; the other one chooses endpoints and retries, and
//! counts against limits and the retry budget. What was attempted here before
//! counts there too. Dropping a forwarded request closes its connection, which
//! ends the work at the other instance and its endpoint.
//!
//! The invariant: a request that may have reached another instance counts as
//! run, unless that instance states that it was not.

use std::{
    cell::RefCell, cmp::Reverse, collections::HashMap, net::SocketAddr,
    rc::Rc, time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    customer::KeyDigest, endpoint::SoftwareVersion,
    stream_origins::StreamOrigin,
};
use sedgewall_platform::{ResponseMetadata, call::forwarded_request_headers};
use sedgewall_state::id::InstanceId;
use sedgewall_transport::{LocalBody, PooledResponse, SendError};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    attempt::CallerRequest, instance::FleetInstance, progress::Progress,
    refusal::Reason,
};

/// Describes the origin of a forwarded request. Its presence distinguishes
/// forwarded requests from other calls between instances.
const FORWARDED: HeaderName = HeaderName::from_static("sedgewall-forwarded");

/// States the software version of the endpoint whose response it is.
const VERSION: HeaderName =
    HeaderName::from_static("sedgewall-software-version");

/// States that the response is a refusal of the other instance.
const REFUSED: HeaderName = HeaderName::from_static("sedgewall-refused");

/// The timeout for connecting to another instance. Between the zones of a
/// region a connection takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long an instance that failed to take a request gets no more while
/// others take them.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// The maximum number of instances that are asked to take one request.
const MAX_INSTANCES: usize = 3;

/// What the other instance must know of a forwarded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Forwarded {
    /// The instance that received the request from its caller.
    pub(crate) by: InstanceId,
    /// The version of the configuration by which the request was admitted. An
    /// instance with an older one would route it as no longer allowed.
    pub(crate) configuration: u64,
    /// The digest of the caller's API key.
    pub(crate) credential: Option<KeyDigest>,
    /// Whether the caller has tried before.
    pub(crate) is_later_try: bool,
    /// Whether the request was counted towards the retry budget.
    pub(crate) is_counted: bool,
    /// The number of attempts at endpoints so far.
    pub(crate) sends: u32,
    /// The number of attempts so far that may have run.
    pub(crate) runs: u32,
    /// Where the stream began that the request resumes. Left out if it resumes
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) origin: Option<StreamOrigin>,
}

/// A refusal by the other instance, as it states it to this one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Refused {
    reason: String,
    /// The suggested delay before a retry, in milliseconds.
    retry_after_ms: Option<u64>,
}

/// The requests that are forwarded to each other instance.
#[derive(Default)]
pub(crate) struct Forwards(RefCell<HashMap<InstanceId, ForwardsTo>>);

#[derive(Default)]
struct ForwardsTo {
    in_flight: u32,
    failed_at: Option<Instant>,
}

/// A forwarded request, counted as in flight until the guard is dropped.
pub(crate) struct ForwardGuard {
    instance: Rc<FleetInstance>,
    to: InstanceId,
}

/// A response that came through another instance.
pub(crate) struct ForwardedAnswer {
    pub(crate) answer: PooledResponse,
    pub(crate) through: InstanceId,
    /// The software version of the endpoint, if the other instance states it.
    pub(crate) software_version: Option<SoftwareVersion>,
    pub(crate) guard: ForwardGuard,
}

/// Why a forwarded request got no response.
#[derive(Clone, Debug)]
pub(crate) enum ForwardError {
    /// No other instance takes the request.
    NoInstance,
    /// The other instance refused the request.
    Refused { reason: Reason, retry_after: Option<Duration> },
    /// The connection failed or timed out, and the request may have run.
    Unclear { is_timeout: bool },
}

/// How a request can reach the endpoints of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Path {
    Direct,
    /// Through another instance.
    Forward,
    /// No instance is known to reach the endpoints.
    None,
}

impl FleetInstance {
    /// Returns how a request of a caller can reach its service.
    pub(crate) fn path(&self, service: &str) -> Path {
        let reach = self.reach.borrow();
        if !reach.is_lost(service) {
            return Path::Direct;
        }
        if self.has_forwarding_peer(service) {
            return Path::Forward;
        }
        // Existing connections may live on while new ones fail.
        match reach.is_silent(service, Instant::now()) {
            true => Path::None,
            false => Path::Direct,
        }
    }

    /// Returns whether another instance is known that reaches a service and
    /// takes forwarded requests.
    pub(crate) fn has_forwarding_peer(&self, service: &str) -> bool {
        let peers = self.peers.borrow();
        peers.keys().any(|id| self.may_forward_to(id, service))
    }

    fn may_forward_to(&self, id: &InstanceId, service: &str) -> bool {
        let now = Instant::now();
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(id) else { return false };
        peer.takes_forwarded
            && self.view.borrow().is_live_peer(id, now)
            && !self.store_reports.borrow().is_leaving(id)
            && !self.loss_reports.has_lost(&peer.address, service)
    }

    /// Chooses an instance for a forwarded request: of two in this
    /// availability zone, or else of two in any, the one with fewer requests
    /// from here for its share of a core. Instances that failed lately to take
    /// a request come last, and before them those that do not reach the store,
    /// because they may not know of departures and versions.
    fn choose_peer(
        &self,
        call: &CallerRequest,
        tried: &[InstanceId],
        is_resumed: bool,
    ) -> Option<(InstanceId, SocketAddr)> {
        let peers = self.peers.borrow();
        let now = Instant::now();
        let seed = xxh3_64_with_seed(call.metadata.request_id.as_bytes(), 0);
        let mut ranked: Vec<_> = peers
            .iter()
            .filter(|(id, _)| !tried.contains(id))
            // Another one would send a resumed stream to any version.
            .filter(|(_, peer)| peer.tracks_streams || !is_resumed)
            .filter(|(id, _)| self.may_forward_to(id, &call.service))
            .map(|(id, peer)| {
                let is_own_zone = peer.zone == self.settings.zone;
                let hash = xxh3_64_with_seed(id.as_bytes(), seed);
                let has_failed = self.forwards.has_failed(id, now);
                let store_is_out = self.store_reports.borrow().is_out(id);
                let rank = (has_failed, store_is_out, Reverse(is_own_zone));
                (rank, hash, id, peer)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, hash, ..)| (*rank, *hash));
        let first = ranked.first()?.0;
        let pair = ranked.iter().take(2).filter(|(rank, ..)| *rank == first);
        let load = |id: &InstanceId, cpu_percent: u32| {
            let in_flight = f64::from(self.forwards.in_flight(id) + 1);
            in_flight / f64::from(cpu_percent.max(1))
        };
        pair.map(|(_, _, id, peer)| (load(id, peer.cpu_percent), id, peer))
            .min_by(|(a, ..), (b, ..)| a.total_cmp(b))
            .map(|(_, id, peer)| ((*id).clone(), peer.address))
    }
}

/// Sends a request through another instance, and waits for the headers of the
/// response until the deadline of the request.
pub(crate) async fn send(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &Progress,
    last_event: Option<&str>,
) -> Result<ForwardedAnswer, ForwardError> {
    let mut tried = Vec::new();
    let mut refused = ForwardError::NoInstance;
    let is_resumed = progress.software_version.is_some();
    while tried.len() < MAX_INSTANCES {
        let Some((to, address)) =
            instance.choose_peer(call, &tried, is_resumed)
        else {
            break;
        };
        let guard = ForwardGuard::begin(instance, &to);
        let request = build(instance, call, progress, last_event);
        log_forwarded(call, &to, progress);
        let sending =
            instance.peer_pool.send(address, request, CONNECT_TIMEOUT);
        let sent = compio::time::timeout(call.left(), sending).await;
        match sent {
            Ok(Ok(mut answer)) => {
                answer.apply_connection_header();
                let Some(refusal) = read_refusal(&answer.headers) else {
                    if !is_endpoint_answer(call, &answer) {
                        answer.discard_connection();
                        broken(
                            instance,
                            call,
                            &to,
                            "not an endpoint's answer",
                        );
                        let is_timeout = false;
                        return Err(ForwardError::Unclear { is_timeout });
                    }
                    let software_version = take_version(&mut answer.headers);
                    let through = to;
                    return Ok(ForwardedAnswer {
                        answer,
                        through,
                        software_version,
                        guard,
                    });
                };
                log_refused(call, &to, &refusal);
                let reason = refusal.reason();
                let retry_after =
                    refusal.retry_after_ms.map(Duration::from_millis);
                refused = ForwardError::Refused { reason, retry_after };
                if !reason.may_differ_elsewhere() {
                    return Err(refused);
                }
                instance.forwards.record_failure(&to);
            }
            Ok(Err(SendError::NotSent(cause))) => {
                broken(instance, call, &to, &cause);
            }
            Ok(Err(
                SendError::Broken(cause)
                | SendError::Endless(cause)
                | SendError::Malformed(cause),
            )) => {
                broken(instance, call, &to, &cause);
                return Err(ForwardError::Unclear { is_timeout: false });
            }
            Err(_) => {
                broken(instance, call, &to, "timed out");
                return Err(ForwardError::Unclear { is_timeout: true });
            }
        }
        tried.push(to);
    }
    Err(refused)
}

fn build(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
    last_event: Option<&str>,
) -> Request<http_body_util::Full<Bytes>> {
    let forwarded = Forwarded {
        by: instance.id().clone(),
        configuration: call.decided_by.version.unwrap_or_default(),
        credential: call.metadata.credential,
        is_later_try: call.is_later_try,
        is_counted: progress.is_counted,
        sends: progress.sends,
        runs: progress.runs,
        origin: progress.software_version.clone().map(|software_version| {
            StreamOrigin { service: call.service.clone(), software_version }
        }),
    };
    let mut request = Request::new(call.body.clone().into());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() =
        forwarded_request_headers(&call.headers, call.left(), last_event);
    insert_json(request.headers_mut(), FORWARDED, &forwarded);
    request
}

/// Removes and returns the description of a forwarded request, if the headers
/// have one.
pub(crate) fn take_forwarded(headers: &mut HeaderMap) -> Option<Forwarded> {
    let value = headers.remove(FORWARDED)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

/// Removes headers by which only instances describe requests to each other.
pub(crate) fn remove_marks(headers: &mut HeaderMap) {
    headers.remove(FORWARDED);
}

/// States the software version of the endpoint in a response to another
/// instance.
pub(crate) fn state_version(
    headers: &mut HeaderMap,
    version: &SoftwareVersion,
) {
    insert_json(headers, VERSION, version);
}

fn take_version(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    let value = headers.remove(VERSION)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

/// Marks a response to another instance as a refusal.
pub(crate) fn mark_refused(
    response: &mut Response<LocalBody>,
    reason: Reason,
    retry_after: Option<Duration>,
) {
    let stated = match reason {
        // An earlier build takes a reason that it does not know for an
        // unknown outcome, and would not ask another instance.
        Reason::Stopping => Reason::Overloaded,
        reason => reason,
    };
    let reason = stated.name().to_owned();
    let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
    let refused = Refused { reason, retry_after_ms };
    insert_json(response.headers_mut(), REFUSED, &refused);
}

fn insert_json(
    headers: &mut HeaderMap,
    name: HeaderName,
    value: &impl Serialize,
) {
    let text = serde_json::to_string(value).unwrap_or_default();
    let text = escape(&text);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(name, value);
    }
}

/// Escapes the characters of a JSON text that a header must not have.
fn escape(json: &str) -> String {
    let mut escaped = String::with_capacity(json.len());
    for unit in json.encode_utf16() {
        match u8::try_from(unit) {
            Ok(byte @ b' '..=b'~') => escaped.push(char::from(byte)),
            _ => escaped.push_str(&format!("\\u{unit:04x}")),
        }
    }
    escaped
}

/// Returns whether a response is that of an endpoint to this request.
fn is_endpoint_answer(call: &CallerRequest, answer: &PooledResponse) -> bool {
    let metadata = ResponseMetadata::read(answer.status, &answer.headers);
    metadata.request_id.as_ref() == Some(&call.metadata.request_id)
        && (metadata.is_sealed || !answer.status.is_success())
}

fn read_refusal(headers: &HeaderMap) -> Option<Refused> {
    let value = headers.get(REFUSED)?;
    let unreadable = Refused { reason: String::new(), retry_after_ms: None };
    Some(serde_json::from_slice(value.as_bytes()).unwrap_or(unreadable))
}

impl Refused {
    /// Returns the reason, or an unknown outcome if the other instance states
    /// a reason that this one does not know.
    ///
    /// This instance has admitted the request, so that one which does not has
    /// another configuration. That says nothing about this instance's own.
    fn reason(&self) -> Reason {
        let retry_after_ms = self.retry_after_ms.unwrap_or_default();
        let retry_after = Duration::from_millis(retry_after_ms);
        match Reason::from_name(&self.reason, retry_after) {
            Some(reason) if reason.depends_on_configuration() => {
                Reason::EndpointsUnreachable
            }
            Some(Reason::ConfigurationBehind | Reason::BodyBroken) => {
                Reason::EndpointsUnreachable
            }
            Some(reason) => reason,
            None => Reason::OutcomeUnknown,
        }
    }
}

impl Forwards {
    fn in_flight(&self, id: &InstanceId) -> u32 {
        self.0.borrow().get(id).map_or(0, |to| to.in_flight)
    }

    fn has_failed(&self, id: &InstanceId, now: Instant) -> bool {
        let forwards = self.0.borrow();
        let failed_at = forwards.get(id).and_then(|to| to.failed_at);
        failed_at.is_some_and(|at| now - at < FAILED_PAUSE)
    }

    /// Records that an instance did not take a forwarded request, so that
    /// others are preferred for a while.
    pub(crate) fn record_failure(&self, id: &InstanceId) {
        let mut forwards = self.0.borrow_mut();
        let to = forwards.entry(id.clone()).or_default();
        to.failed_at = Some(Instant::now());
    }

    /// Drops instances to which nothing is forwarded and that did not fail
    /// lately.
    pub(crate) fn forget(&self, now: Instant) {
        self.0.borrow_mut().retain(|_, to| {
            to.in_flight > 0
                || to.failed_at.is_some_and(|at| now - at < FAILED_PAUSE)
        });
    }
}

impl ForwardGuard {
    fn begin(instance: &Rc<FleetInstance>, to: &InstanceId) -> ForwardGuard {
        let mut forwards = instance.forwards.0.borrow_mut();
        forwards.entry(to.clone()).or_default().in_flight += 1;
        ForwardGuard { instance: instance.clone(), to: to.clone() }
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let mut forwards = self.instance.forwards.0.borrow_mut();
        if let Some(to) = forwards.get_mut(&self.to) {
            to.in_flight -= 1;
        }
    }
}

/// Records that the body of a forwarded response broke off. The endpoint may
/// have broken it off, so that the other instance is not avoided.
pub(crate) fn body_broken(
    call: &CallerRequest,
    through: &InstanceId,
    cause: &str,
) {
    log_failed(call, through, cause);
}

/// Records that the other instance did not take the request.
fn broken(
    instance: &FleetInstance,
    call: &CallerRequest,
    through: &InstanceId,
    cause: &str,
) {
    log_failed(call, through, cause);
    instance.forwards.record_failure(through);
}

fn log_forwarded(call: &CallerRequest, to: &InstanceId, progress: &Progress) {
    metrics::counter!("sedgewall_forwarded_total").increment(1);
    tracing::info!(
        event = "forwarded",
        request = call.metadata.request_id,
        service = call.service,
        to,
        sends = progress.sends,
        runs = progress.runs,
        left_ms = call.left().as_millis() as u64,
    );
}

fn log_refused(call: &CallerRequest, to: &InstanceId, refused: &Refused) {
    tracing::info!(
        event = "forward_refused",
        request = call.metadata.request_id,
        to,
        reason = refused.reason,
    );
}

fn log_failed(call: &CallerRequest, to: &InstanceId, cause: &str) {
    metrics::counter!("sedgewall_forwards_failed_total").increment(1);
    tracing::warn!(
        event = "forward_failed",
        request = call.metadata.request_id,
        to,
        cause,
    );
}
