//! Plain services: routed by each entry alone, with limits of their own.
//!
//! A call goes to the endpoint with the fewest calls from here. Nothing of
//! the model side takes part, so a storm there does not slow a lookup here.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    membership::{InstanceList, ListedState},
    timeline::EventKind,
};
use sedgewall_protocol::{
    Problem, RunState,
    caller::{CallOptions, REPEATABLE_HEADER, REQUEST_ID_HEADER},
};
use sedgewall_state::{
    EndpointId, GroupName, RequestId,
    config::EndpointKind,
    service::{ServiceEndpoint, pick_endpoint},
};
use sedgewall_transport::{
    CallError, LocalBody, client::BufferedResponse, client::Call,
};

use crate::{
    claims::{ClaimOutcome, ClaimTicket},
    entry::{RequestSlot, read_request_body},
    node::Node,
    responses,
    routes::ConfigView,
};

/// Where plain services are reached: `/services/GROUP/PATH`.
pub(crate) const SERVICES_PREFIX: &str = "/services/";

/// When to come back to a service whose endpoints are all at their limits.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// The longest rest that an endpoint may ask for; a longer one counts as this, so
/// that it can be added to any point in time.
const LONGEST_REST: Duration = Duration::from_secs(86_400);

/// The endpoints of all plain services, with the calls from here.
#[derive(Debug, Default)]
pub(crate) struct ServiceTable {
    groups: HashMap<GroupName, Vec<ServiceEndpoint>>,
    addresses: HashMap<EndpointId, String>,
}

impl ServiceTable {
    /// Takes in a new instance list or configuration; calls under way keep
    /// their counts.
    pub(crate) fn update(&mut self, view: &ConfigView, list: &InstanceList) {
        let old = std::mem::take(&mut self.groups);
        self.addresses.clear();
        for listed in &list.instances {
            let group = view.config.group(&listed.group);
            let is_service =
                group.is_some_and(|g| g.kind == EndpointKind::Service);
            if !is_service {
                continue;
            }
            let known = old
                .get(&listed.group)
                .and_then(|all| all.iter().find(|e| e.endpoint == listed.id));
            self.groups.entry(listed.group.clone()).or_default().push(
                ServiceEndpoint {
                    endpoint: listed.id.clone(),
                    outstanding: known.map_or(0, |e| e.outstanding),
                    takes_work: listed.state == ListedState::Live,
                    failures: known.map_or(0, |e| e.failures),
                    cooldown_until: known.and_then(|e| e.cooldown_until),
                },
            );
            self.addresses.insert(listed.id.clone(), listed.address.clone());
        }
    }

    fn take(&mut self, group: &str, limit: u32) -> Option<Target> {
        let endpoints = self.groups.get_mut(group)?;
        let idx = pick_endpoint(endpoints, limit, Instant::now())?;
        endpoints[idx].outstanding += 1;
        let endpoint = endpoints[idx].endpoint.clone();
        let address = self.addresses.get(&endpoint)?.clone();
        Some(Target { group: group.to_owned(), endpoint, address })
    }

    /// Returns when the first endpoint of a group that rests takes calls again.
    fn rests_for(&self, group: &str) -> Option<Duration> {
        let now = Instant::now();
        let endpoints = self.groups.get(group)?.iter();
        let resting =
            endpoints.filter(|e| e.takes_work && e.is_cooling_down(now));
        let first = resting.filter_map(|e| e.cooldown_until).min()?;
        Some(first.saturating_duration_since(now))
    }

    /// Takes in that an endpoint wants no calls for a time.
    fn rest(&mut self, target: &Target, time: Duration) {
        if let Some(endpoint) = self.endpoint(target) {
            let until = Instant::now() + time;
            let known = endpoint.cooldown_until.unwrap_or(until);
            endpoint.cooldown_until = Some(known.max(until));
        }
    }

    fn endpoint(&mut self, target: &Target) -> Option<&mut ServiceEndpoint> {
        let endpoints = self.groups.get_mut(&target.group)?;
        endpoints.iter_mut().find(|e| e.endpoint == target.endpoint)
    }

    fn give_back(&mut self, target: &Target, is_failed: bool) {
        let Some(endpoint) = self.endpoint(target) else { return };
        endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        endpoint.failures = match is_failed {
            true => endpoint.failures.saturating_add(1),
            false => 0,
        };
    }
}

#[derive(Clone, Debug)]
struct Target {
    group: GroupName,
    endpoint: EndpointId,
    address: String,
}

/// A seat at a service's endpoint, given back when dropped.
struct ServiceSeat {
    node: Rc<Node>,
    target: Target,
    is_failed: bool,
}

impl Drop for ServiceSeat {
    fn drop(&mut self) {
        let mut services = self.node.services.borrow_mut();
        services.give_back(&self.target, self.is_failed);
    }
}

/// A call to a plain service.
struct ServiceCall {
    group: GroupName,
    path: String,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
    is_repeatable: bool,
    within: Duration,
    id: RequestId,
}

/// Answers a request for a plain service.
pub(crate) async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let slot = match RequestSlot::open(&node) {
        Ok(slot) => slot,
        Err(problem) => return responses::problem(&problem),
    };
    let id = slot.hex();
    let answered = run(&node, &slot, request).await;
    let response = answered.unwrap_or_else(|problem| {
        responses::problem(&problem.with_request_id(&id))
    });
    responses::with_request_id(response, &id)
}

async fn run(
    node: &Rc<Node>,
    slot: &RequestSlot,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Problem> {
    let (parts, body) = request.into_parts();
    let options = CallOptions::from_headers(&parts.headers)
        .map_err(|err| Problem::bad_request(err.to_string()))?;
    let (group, path) = split_path(&parts.uri)?;
    let body = read_request_body(node, body).await?;
    let limits = &node.settings.limits;
    let asked =
        options.deadline.unwrap_or(Duration::from_millis(limits.deadline_ms));
    let within = asked.min(Duration::from_millis(limits.max_deadline_ms));
    let is_repeatable =
        options.is_repeatable.unwrap_or(is_idempotent(&parts.method));
    let call = ServiceCall {
        group,
        path,
        method: parts.method,
        headers: forwarded(&parts.headers),
        body,
        is_repeatable,
        within,
        id: slot.id,
    };
    let caller = options.caller.as_deref().unwrap_or("");
    let ticket = ClaimTicket::new(&options, is_repeatable, caller, slot.id);
    let outcome = claim_and_call(node, &call, ticket).await;
    metrics::counter!("sedgewall_service_calls_total").increment(1);
    outcome
}

async fn claim_and_call(
    node: &Rc<Node>,
    call: &ServiceCall,
    ticket: Option<ClaimTicket>,
) -> Result<Response<LocalBody>, Problem> {
    if let Some(ticket) = &ticket {
        match ticket.obtain(node, call.within).await {
            ClaimOutcome::Granted => {}
            outcome => return Err(outcome.problem()),
        }
    }
    let outcome = call_with_retries(node, call).await;
    if let (Some(ticket), Err(problem)) = (&ticket, &outcome)
        && problem.run_state == RunState::NotRun
    {
        ticket.release(node);
    }
    outcome
}

async fn call_with_retries(
    node: &Rc<Node>,
    call: &ServiceCall,
) -> Result<Response<LocalBody>, Problem> {
    let mut tries = 0;
    loop {
        let mut seat = seat(node, call)?;
        match send(node, call, &seat.target).await {
            Ok(answer) => {
                if let Some(rest) = stated_rest(&answer) {
                    note_rest(node, call, &seat.target, rest);
                }
                return Ok(pass_on(answer));
            }
            Err(err) => {
                seat.is_failed = true;
                tries += 1;
                let may_repeat = call.is_repeatable || err.is_not_sent();
                let may_retry = may_repeat
                    && tries <= node.settings.limits.retries
                    && node.requests.borrow_mut().take_retry();
                if !may_retry {
                    return Err(call_problem(call, &err));
                }
                let endpoint = seat.target.endpoint.clone();
                node.event(
                    EventKind::Retry,
                    Some(call.id),
                    &call.group,
                    endpoint,
                    err.to_string(),
                );
            }
        }
    }
}

/// Returns for how long an endpoint that turned a call away wants no other.
fn stated_rest(answer: &BufferedResponse) -> Option<Duration> {
    let is_turned_away = matches!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let value = answer.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let rest_s: u64 = value.trim().parse().ok()?;
    is_turned_away.then(|| Duration::from_secs(rest_s).min(LONGEST_REST))
}

fn note_rest(
    node: &Rc<Node>,
    call: &ServiceCall,
    target: &Target,
    rest: Duration,
) {
    node.services.borrow_mut().rest(target, rest);
    node.event(
        EventKind::Call,
        Some(call.id),
        &call.group,
        &target.endpoint,
        format!("asks for {} s of rest", rest.as_secs()),
    );
}

fn seat(node: &Rc<Node>, call: &ServiceCall) -> Result<ServiceSeat, Problem> {
    let view = node.view();
    let group = view
        .config
        .group(&call.group)
        .filter(|group| group.kind == EndpointKind::Service)
        .ok_or_else(|| {
            Problem::new(
                StatusCode::NOT_FOUND,
                "unknown_service",
                RunState::NotRun,
                format!("no service is named {:?}", call.group),
            )
        })?;
    let target = node.services.borrow_mut().take(&call.group, group.seats);
    let target = target.ok_or_else(|| {
        let rest = node.services.borrow().rests_for(&call.group);
        Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "service_busy",
            RunState::NotRun,
            "all endpoints of the service are at their limits or rest",
        )
        .with_retry_after(rest.unwrap_or(BUSY_RETRY))
    })?;
    Ok(ServiceSeat { node: node.clone(), target, is_failed: false })
}

async fn send(
    node: &Rc<Node>,
    call: &ServiceCall,
    target: &Target,
) -> Result<BufferedResponse, CallError> {
    node.event(
        EventKind::Call,
        Some(call.id),
        &call.group,
        &target.endpoint,
        format!("{} {}", call.method, call.path),
    );
    let url = format!("http://{}{}", target.address, call.path);
    let mut out = Call::new(call.method.clone(), url)
        .header(REQUEST_ID_HEADER, &format!("{:032x}", call.id));
    for (name, value) in &call.headers {
        out.headers.insert(name.clone(), value.clone());
    }
    if !call.is_repeatable {
        out = out.header(REPEATABLE_HEADER, "?0");
    }
    let out = out.body(call.body.clone());
    node.http.call(out, call.within).await
}

fn call_problem(call: &ServiceCall, err: &CallError) -> Problem {
    let detail = format!("service {}: {err}", call.group);
    if err.is_not_sent() {
        return Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "service_unreachable",
            RunState::NotRun,
            detail,
        )
        .with_retry_after(BUSY_RETRY);
    }
    Problem::new(
        StatusCode::BAD_GATEWAY,
        "outcome_unknown",
        RunState::Unknown,
        detail,
    )
}

fn pass_on(answer: BufferedResponse) -> Response<LocalBody> {
    let mut response = Response::new(LocalBody::full(answer.body));
    *response.status_mut() = answer.status;
    for (name, value) in &answer.headers {
        if !is_hop_by_hop(name) {
            response.headers_mut().insert(name.clone(), value.clone());
        }
    }
    response
}

/// Takes `/services/GROUP/PATH?QUERY` apart.
fn split_path(uri: &http::Uri) -> Result<(GroupName, String), Problem> {
    let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or("");
    let (group, path) = rest.split_once('/').unwrap_or((rest, ""));
    if group.is_empty() {
        return Err(Problem::bad_request("the path names no service"));
    }
    let query = uri.query().map_or(String::new(), |query| format!("?{query}"));
    Ok((group.to_owned(), format!("/{path}{query}")))
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let is_ours = name == REPEATABLE_HEADER || name == REQUEST_ID_HEADER;
        if !is_hop_by_hop(name) && !is_ours && name != header::HOST {
            kept.insert(name.clone(), value.clone());
        }
    }
    kept
}

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
fn is_hop_by_hop(name: &header::HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}

/// Methods that HTTP calls idempotent (RFC 9110, section 9.2.2).
fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET
            | Method::HEAD
            | Method::PUT
            | Method::DELETE
            | Method::OPTIONS
    )
}
