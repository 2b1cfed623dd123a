//! Plain services: each entry routes their calls by itself, within limits of
//! their own.
//!
//! A call goes to the endpoint with the fewest outstanding calls from this
//! instance. No part of the scheduling of completions takes part, so that a
//! surge of completions does not slow the calls of services.

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
    plain_service::{ServiceEndpoint, pick_endpoint},
};
use sedgewall_transport::{
    CallError, LocalBody, client::BufferedResponse, client::Call,
};

use crate::{
    claims::ClaimTicket,
    entry::{OpenRequestGuard, read_request_body},
    instance::Instance,
    responses,
    routes::ConfigView,
    stop_end::stopping_problem,
};

/// The path prefix of plain services: `/services/GROUP/PATH`.
pub(crate) const SERVICES_PREFIX: &str = "/services/";

/// The `Retry-After` value while all endpoints of a service are at their
/// limits, or if no connection could be made for the last permitted attempt.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The maximum cooldown. A longer one that an endpoint requests is cut to
/// this, so that it can be added to any point in time.
const MAX_COOLDOWN: Duration = Duration::from_secs(86_400);

/// The endpoints of all plain services, with their outstanding calls from this
/// instance.
#[derive(Debug, Default)]
pub(crate) struct ServiceTable {
    groups: HashMap<GroupName, Vec<ServiceEndpoint>>,
    addresses: HashMap<EndpointId, String>,
}

impl ServiceTable {
    /// Rebuilds the table from an instance list and a configuration. The
    /// counts of calls in flight are kept.
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

    fn acquire(&mut self, group: &str, limit: u32) -> Option<Target> {
        let endpoints = self.groups.get_mut(group)?;
        let idx = pick_endpoint(endpoints, limit, Instant::now())?;
        endpoints[idx].outstanding += 1;
        let endpoint = endpoints[idx].endpoint.clone();
        let address = self.addresses.get(&endpoint)?.clone();
        Some(Target { group: group.to_owned(), endpoint, address })
    }

    /// Returns how long it takes until the first endpoint of a group that is
    /// cooling down takes calls again.
    fn remaining_cooldown(&self, group: &str) -> Option<Duration> {
        let now = Instant::now();
        let endpoints = self.groups.get(group)?.iter();
        let cooling_down =
            endpoints.filter(|e| e.takes_work && e.is_cooling_down(now));
        let first = cooling_down.filter_map(|e| e.cooldown_until).min()?;
        Some(first.saturating_duration_since(now))
    }

    /// Starts a cooldown of an endpoint, or extends the current one.
    fn start_cooldown(&mut self, target: &Target, cooldown: Duration) {
        if let Some(endpoint) = self.endpoint_mut(target) {
            let until = Instant::now() + cooldown;
            let known = endpoint.cooldown_until.unwrap_or(until);
            endpoint.cooldown_until = Some(known.max(until));
        }
    }

    fn endpoint_mut(
        &mut self,
        target: &Target,
    ) -> Option<&mut ServiceEndpoint> {
        let endpoints = self.groups.get_mut(&target.group)?;
        endpoints.iter_mut().find(|e| e.endpoint == target.endpoint)
    }

    fn release(&mut self, target: &Target, is_failed: bool) {
        let Some(endpoint) = self.endpoint_mut(target) else { return };
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

/// Counts an outstanding call of an endpoint until it is dropped.
struct OutstandingCallGuard {
    instance: Rc<Instance>,
    target: Target,
    is_failed: bool,
}

impl Drop for OutstandingCallGuard {
    fn drop(&mut self) {
        let mut services = self.instance.services.borrow_mut();
        services.release(&self.target, self.is_failed);
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
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let open_request = match OpenRequestGuard::open(&instance) {
        Ok(open_request) => open_request,
        Err(problem) => return responses::problem(&problem),
    };
    let id = open_request.hex();
    let answered = run(&instance, &open_request, request).await;
    let response = answered.unwrap_or_else(|problem| {
        responses::problem(&problem.with_request_id(&id))
    });
    responses::with_request_id(response, &id)
}

async fn run(
    instance: &Rc<Instance>,
    open_request: &OpenRequestGuard,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Problem> {
    let (parts, body) = request.into_parts();
    let options = CallOptions::from_headers(&parts.headers)
        .map_err(|err| Problem::bad_request(err.to_string()))?;
    let (group, path) = split_path(&parts.uri)?;
    let body = read_request_body(instance, body).await?;
    let limits = &instance.settings.limits;
    let requested =
        options.deadline.unwrap_or(Duration::from_millis(limits.deadline_ms));
    let within = requested.min(Duration::from_millis(limits.max_deadline_ms));
    let is_repeatable =
        options.is_repeatable.unwrap_or(is_idempotent(&parts.method));
    let call = ServiceCall {
        group,
        path,
        method: parts.method,
        headers: forwarded_headers(&parts.headers),
        body,
        is_repeatable,
        within,
        id: open_request.id,
    };
    let caller = options.caller.as_deref().unwrap_or("");
    let ticket =
        ClaimTicket::new(&options, is_repeatable, caller, open_request.id);
    let outcome = claim_and_call(instance, &call, ticket).await;
    metrics::counter!("sedgewall_service_calls_total").increment(1);
    outcome
}

async fn claim_and_call(
    instance: &Rc<Instance>,
    call: &ServiceCall,
    ticket: Option<ClaimTicket>,
) -> Result<Response<LocalBody>, Problem> {
    if let Some(ticket) = &ticket {
        ticket.obtain_before_stop_ends(instance, call.within).await?;
    }
    let outcome = call_with_retries(instance, call).await;
    if let (Some(ticket), Err(problem)) = (&ticket, &outcome)
        && problem.run_state == RunState::NotRun
    {
        ticket.release(instance);
    }
    outcome
}

async fn call_with_retries(
    instance: &Rc<Instance>,
    call: &ServiceCall,
) -> Result<Response<LocalBody>, Problem> {
    let mut failures = 0;
    let mut may_have_run = false;
    loop {
        let acquired = acquire_endpoint(instance, call);
        let mut outstanding_call = acquired.map_err(|mut problem| {
            if may_have_run {
                problem.run_state = RunState::Unknown;
            }
            problem
        })?;
        let sending = send(instance, call, &outstanding_call.target);
        let Some(sent) = instance.stop_end.before(sending).await else {
            return Err(stopping_problem(RunState::Unknown));
        };
        match sent {
            Ok(answer) => {
                if let Some(cooldown) = requested_cooldown(&answer) {
                    record_cooldown(
                        instance,
                        call,
                        &outstanding_call.target,
                        cooldown,
                    );
                }
                return Ok(to_response(answer));
            }
            Err(err) => {
                outstanding_call.is_failed = true;
                failures += 1;
                may_have_run |= !err.is_not_sent();
                let may_repeat = call.is_repeatable || err.is_not_sent();
                let may_retry = may_repeat
                    && failures <= instance.settings.limits.retries
                    && instance.requests.borrow_mut().take_retry();
                if !may_retry {
                    return Err(call_problem(call, &err, may_have_run));
                }
                let endpoint = outstanding_call.target.endpoint.clone();
                instance.record_event(
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

/// Returns the cooldown that an endpoint requests by `Retry-After` with an
/// overload answer.
fn requested_cooldown(answer: &BufferedResponse) -> Option<Duration> {
    let is_overload_answer = matches!(
        answer.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let value = answer.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let cooldown_s: u64 = value.trim().parse().ok()?;
    is_overload_answer
        .then(|| Duration::from_secs(cooldown_s).min(MAX_COOLDOWN))
}

fn record_cooldown(
    instance: &Rc<Instance>,
    call: &ServiceCall,
    target: &Target,
    cooldown: Duration,
) {
    instance.services.borrow_mut().start_cooldown(target, cooldown);
    instance.record_event(
        EventKind::Call,
        Some(call.id),
        &call.group,
        &target.endpoint,
        format!("asks for {} s of rest", cooldown.as_secs()),
    );
}

fn acquire_endpoint(
    instance: &Rc<Instance>,
    call: &ServiceCall,
) -> Result<OutstandingCallGuard, Problem> {
    let view = instance.view();
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
    let target =
        instance.services.borrow_mut().acquire(&call.group, group.seats);
    let target = target.ok_or_else(|| {
        let cooldown =
            instance.services.borrow().remaining_cooldown(&call.group);
        Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "service_busy",
            RunState::NotRun,
            "all endpoints of the service are at their limits or rest",
        )
        .with_retry_after(cooldown.unwrap_or(BUSY_RETRY_AFTER))
    })?;
    Ok(OutstandingCallGuard {
        instance: instance.clone(),
        target,
        is_failed: false,
    })
}

async fn send(
    instance: &Rc<Instance>,
    call: &ServiceCall,
    target: &Target,
) -> Result<BufferedResponse, CallError> {
    instance.record_event(
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
    instance.http.call(out, call.within).await
}

/// Returns the problem to answer with after the last attempt has failed.
/// `may_have_run` states whether any attempt may have run.
fn call_problem(
    call: &ServiceCall,
    err: &CallError,
    may_have_run: bool,
) -> Problem {
    let detail = format!("service {}: {err}", call.group);
    if !may_have_run {
        return Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "service_unreachable",
            RunState::NotRun,
            detail,
        )
        .with_retry_after(BUSY_RETRY_AFTER);
    }
    Problem::new(
        StatusCode::BAD_GATEWAY,
        "outcome_unknown",
        RunState::Unknown,
        detail,
    )
}

fn to_response(answer: BufferedResponse) -> Response<LocalBody> {
    let mut response = Response::new(LocalBody::full(answer.body));
    *response.status_mut() = answer.status;
    for (name, value) in &answer.headers {
        if !is_hop_by_hop(name) {
            response.headers_mut().insert(name.clone(), value.clone());
        }
    }
    response
}

/// Splits `/services/GROUP/PATH?QUERY` into the group and the path with its
/// query.
fn split_path(uri: &http::Uri) -> Result<(GroupName, String), Problem> {
    let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or("");
    let (group, path) = rest.split_once('/').unwrap_or((rest, ""));
    if group.is_empty() {
        return Err(Problem::bad_request("the path names no service"));
    }
    let query = uri.query().map_or(String::new(), |query| format!("?{query}"));
    Ok((group.to_owned(), format!("/{path}{query}")))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let is_own_header =
            name == REPEATABLE_HEADER || name == REQUEST_ID_HEADER;
        if !is_hop_by_hop(name) && !is_own_header && name != header::HOST {
            forwarded.insert(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns whether a header belongs to a single connection (RFC 9110, section
/// 7.6.1).
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

/// Returns whether HTTP defines a method as idempotent (RFC 9110, section
/// 9.2.2).
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
