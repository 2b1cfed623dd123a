//! The handling of one request of a caller: routing, sending and answering it.
//!
//! This module enforces the retry rules. A request is sent to another endpoint
//! only if it certainly did not run or is safe to repeat, and only within the
//! retry budget that all instances share. A refusal says "not run" only if no
//! endpoint can have run the request.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    time::Duration,
};

use http::{Request, Response, header};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    configuration::ConfigurationStatus,
    customer::Customer,
    engine_pools::RequestClass,
    poison::Loss,
    view::{Choice, Need, Target},
    wait_policy::{WaitReason, WaitingRequest, retry_delay},
};
use sedgewall_platform::{RequestMetadata, call::caller_response_headers};
use sedgewall_state::id::EndpointId;
use sedgewall_transport::{
    LocalBody,
    server::{BodyError, read_body},
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    admit::{
        AdmissionQuery, Admitted, admit_by_newest, charge_allowance,
        refund_allowance,
    },
    attempt::{
        self, AttemptError, CallerRequest, GoodAnswer, SendLimits, SentTo,
    },
    in_flight::OpenRequestGuard,
    instance::{FleetInstance, Stage},
    permits::{Permits, PermittedChoice},
    poison,
    refusal::{self, Reason},
    relay, request_log,
};

/// The timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit of a request whose caller states none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(10);

/// How long before the caller's deadline this instance must send an answer of
/// its own.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// How long a request that would be late at every endpoint waits for its
/// adapter to be loaded on an engine that can start sooner. A load from the
/// weight store takes 0.25 s; the rest is for giving the order.
const LOAD_WAIT: Duration = Duration::from_millis(330);

/// The interval at which a request checks full endpoints for capacity again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// The interval at which a later try checks full endpoints for capacity again.
/// Later tries wait long, and many of them may wait on a small instance.
const LATER_TRY_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// A try whose time limit is below this fraction of the longest time limit on
/// its route is taken to be a repetition by its caller. A caller that is
/// refused once more gives up, so such a try waits as long as any answer, even
/// a late one, is still possible.
const LATER_TRY_TIME_LIMIT_FRACTION: f64 = 0.9;

/// The timeout of an attempt of a repeatable request, in multiples of the
/// route's target latency. After it, the request goes to another endpoint.
const ATTEMPT_TIMEOUT_TARGETS: f64 = 2.5;

/// The maximum number of sends for one request, including those that an
/// endpoint rejected.
const MAX_SENDS: u32 = 6;

/// Answers one request of a caller.
pub(crate) async fn answer(
    instance: Rc<FleetInstance>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let open = OpenRequestGuard::begin(&instance);
    let arrived = Instant::now();
    let mut response = match read(&instance, request, arrived).await {
        Ok(call) => serve(&instance, Rc::new(call), open).await,
        Err(refused) => refuse_early(refused, arrived),
    };
    if instance.stage.get() == Stage::Leaving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A request that was refused before a [`CallerRequest`] was made of it.
struct EarlyRefusal {
    reason: Reason,
    request_id: String,
    path: String,
    customer: Option<Rc<Customer>>,
    decided_by: ConfigurationStatus,
}

fn refuse_early(
    refused: EarlyRefusal,
    arrived: Instant,
) -> Response<LocalBody> {
    let denied = match refused.reason {
        Reason::OverAllowance(denied) => Some(denied),
        _ => None,
    };
    let customer = refused.customer.as_ref();
    let allowance = customer.and_then(|c| c.allowance);
    let ms = |time: Duration| time.as_millis() as u64;
    tracing::info!(
        event = "refused",
        request = refused.request_id,
        path = refused.path,
        customer = customer.map(|c| c.name.as_str()),
        reason = refused.reason.name(),
        configuration = refused.decided_by.version,
        configuration_read_ms_ago = refused.decided_by.read_ms_ago(),
        newest_heard = refused.decided_by.newest_heard,
        held_ms = ms(arrived.elapsed()),
        allowed_per_s = denied.and(allowance).map(|a| a.per_s),
        balance = denied.map(|denied| denied.balance.round()),
        part = denied.map(|denied| denied.share),
        total_per_s = denied.and_then(|denied| denied.total_per_s),
        total_age_ms = denied.and_then(|d| d.total_age).map(ms),
        back_in_ms = denied.map(|denied| ms(denied.retry_in)),
    );
    let draw = hash_fraction(&refused.request_id);
    let after = retry_delay(DEFAULT_TIME_LIMIT, None, draw);
    refusal::answer(refused.reason, after)
}

async fn read(
    instance: &FleetInstance,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<CallerRequest, EarlyRefusal> {
    let (mut head, body) = request.into_parts();
    let metadata = RequestMetadata::extract(&mut head.headers);
    let path = head.uri.path().to_owned();
    let request_id =
        metadata.as_ref().map_or(String::new(), |f| f.request_id.clone());
    let refuse = |reason| EarlyRefusal {
        reason,
        request_id: request_id.clone(),
        path: path.clone(),
        customer: None,
        decided_by: instance.configuration_status(),
    };
    let query = AdmissionQuery {
        host: host_of(&head),
        path: path.clone(),
        credential: metadata.as_ref().and_then(|f| f.credential),
    };
    let admitted = admit_by_newest(instance, &query).await.map_err(&refuse)?;
    let Admitted { routing, route, customer, decided_by } = admitted;
    let metadata = metadata.ok_or_else(|| refuse(Reason::NoRequestId))?;
    let tokens = metadata.prompt_tokens + metadata.answer_tokens;
    if let Some(customer) = &customer {
        charge_allowance(instance, customer, tokens).map_err(|reason| {
            EarlyRefusal { customer: Some(customer.clone()), ..refuse(reason) }
        })?;
    }
    let most = routing.limits.body_bytes;
    let body = read_body(body, most, BODY_TIMEOUT).await.map_err(|err| {
        refuse(match err {
            BodyError::TooLong(_) => Reason::BodyTooLong,
            BodyError::TooSlow(_) | BodyError::Broken(_) => Reason::BodyBroken,
        })
    })?;
    let time_limit = metadata.timeout.unwrap_or(DEFAULT_TIME_LIMIT);
    let deadline = arrived + time_limit.min(route.timeout) - ANSWER_MARGIN;
    let longest = instance.longest_time_limit(&route.name, time_limit);
    let is_later_try =
        time_limit < longest.mul_f64(LATER_TRY_TIME_LIMIT_FRACTION);
    let service = route
        .pick_service(hash_fraction(&metadata.request_id))
        .ok_or_else(|| refuse(Reason::NobodyThere))?
        .clone();
    let is_engine = routing.engine_group(&service).is_some();
    Ok(CallerRequest {
        metadata,
        method: head.method,
        uri: origin_form(head.uri),
        headers: head.headers,
        body,
        route,
        decided_by,
        service,
        is_engine,
        arrived,
        deadline,
        is_later_try,
        customer,
        sent_to: RefCell::default(),
        digest: OnceCell::new(),
    })
}

fn host_of(head: &http::request::Parts) -> String {
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_owned()
}

/// Returns the URI in origin form: endpoints get path and query only, even if
/// the caller sent an absolute URL.
fn origin_form(uri: http::Uri) -> http::Uri {
    if uri.authority().is_none() {
        return uri;
    }
    let path = uri.path_and_query().cloned();
    path.map_or(uri, http::Uri::from)
}

/// The attempts made so far for one request.
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) sends: u32,
    /// The number of sends whose request may have run.
    pub(crate) runs: u32,
    pub(crate) waited: Duration,
    /// The time from the last send to its response headers.
    pub(crate) engine_time: Duration,
    /// If the wait for an endpoint was given up: the time until an endpoint is
    /// expected to take the request, if that is known.
    pub(crate) available_in: Option<Duration>,
}

async fn serve(
    instance: &Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    open: OpenRequestGuard,
) -> Response<LocalBody> {
    instance.budget.borrow_mut().count_request(&call.service, call.arrived);
    if let Some(key) = call.key() {
        let tokens = call.metadata.prompt_tokens;
        let class = instance.reported_class(&call.service, tokens);
        let mut requested = instance.requested_adapters.borrow_mut();
        let requested = requested.entry(key.clone()).or_default();
        requested.requests += 1;
        if class == Some(RequestClass::Long) {
            requested.long_tokens += tokens;
        }
    }
    let mut progress = Progress {
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        waited: Duration::ZERO,
        engine_time: Duration::ZERO,
        available_in: None,
    };
    let mut watch =
        request_log::UnansweredGuard::begin(instance, call.clone());
    let last_event = call.metadata.last_event.clone();
    let found = send_with_retries(
        instance,
        &call,
        &mut progress,
        last_event.as_deref(),
    );
    let response = match found.await {
        Ok((good, target)) => {
            forward(instance, call, progress, good, target, open).await
        }
        Err(reason) => {
            if progress.runs == 0 {
                refund_allowance(instance, &call);
            }
            request_log::refused(&call, &progress, reason);
            refusal::answer(reason, retry_delay_of(&call, &progress))
        }
    };
    watch.answered();
    response
}

/// Sends the request to endpoints until one answers, within the retry rules.
pub(crate) async fn send_with_retries(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<(GoodAnswer, Target), Reason> {
    loop {
        poison::check(instance, call, progress.runs)?;
        let target = match select_endpoint(instance, call, progress).await {
            Ok(target) => target,
            Err(_) if progress.runs > 0 => return Err(Reason::OutcomeUnknown),
            Err(reason) => return Err(reason),
        };
        // While the request waited for capacity, other instances may have
        // reported crashes under it.
        poison::check(instance, call, progress.runs)?;
        let is_first = progress.sends == 0;
        if !is_first && !take_retry(instance, call) {
            return Err(match progress.runs {
                0 => Reason::RetriesSpent,
                _ => Reason::OutcomeUnknown,
            });
        }
        progress.sends += 1;
        let to = SentTo { endpoint: target.id.clone(), at: Instant::now() };
        *call.sent_to.borrow_mut() = Some(to);
        let limits = send_limits(call, progress);
        let began = Instant::now();
        let sent =
            attempt::send(instance, call, &target, last_event, limits).await;
        progress.engine_time = began.elapsed();
        let err = match sent {
            Ok(good) => return Ok((good, target)),
            Err(err) => err,
        };
        request_log::send_failed(call, progress, &target, &err);
        progress.runs += u32::from(!err.is_not_run());
        if !matches!(err, AttemptError::Misdirected) || call.key().is_none() {
            progress.tried.push(target.id.clone());
        }
        check_retry(call, progress, &err)?;
    }
}

/// Takes one retry out of the budget that all instances share.
fn take_retry(instance: &FleetInstance, call: &CallerRequest) -> bool {
    let now = Instant::now();
    let instances = instance.instance_count();
    instance.budget.borrow_mut().take(&call.service, now, instances)
}

/// Returns `Ok` if another attempt is allowed, otherwise the reason for the
/// final answer.
fn check_retry(
    call: &CallerRequest,
    progress: &Progress,
    err: &AttemptError,
) -> Result<(), Reason> {
    let is_over = call.left().is_zero();
    if progress.runs == 0 {
        return match (is_over, progress.sends >= MAX_SENDS) {
            (true, _) => Err(Reason::TooLate),
            (_, true) => Err(Reason::RetriesSpent),
            _ => Ok(()),
        };
    }
    let may_repeat = call.is_repeatable()
        && progress.runs < call.route.max_attempts
        && progress.sends < MAX_SENDS;
    if may_repeat && !is_over {
        return Ok(());
    }
    Err(match err {
        AttemptError::TimedOut => Reason::TimedOut,
        _ => Reason::OutcomeUnknown,
    })
}

fn send_limits(call: &CallerRequest, progress: &Progress) -> SendLimits {
    let left = call.left();
    let is_last =
        !call.is_repeatable() || progress.runs + 1 >= call.route.max_attempts;
    let time_limit =
        call.route.target_latency.mul_f64(ATTEMPT_TIMEOUT_TARGETS);
    let within = if is_last { left } else { left.min(time_limit) };
    SendLimits { within, is_last }
}

/// Waits until an endpoint can take the request, and returns that endpoint.
async fn select_endpoint(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
) -> Result<Target, Reason> {
    let draw = xxh3_64(call.metadata.request_id.as_bytes());
    let began = Instant::now();
    let target = call.route.target_latency;
    let waiting_request = waiting_request(instance, call);
    let poll_interval = match waiting_request.is_later_try {
        true => LATER_TRY_POLL_INTERVAL,
        false => CAPACITY_POLL_INTERVAL,
    };
    // If the answer would be late on every engine that holds the adapter, wait
    // until another engine has loaded it.
    let load_wait_end = began + LOAD_WAIT;
    let mut permits = Permits::default();
    loop {
        let now = Instant::now();
        let may_wait = now < load_wait_end;
        let need = Need {
            service: &call.service,
            key: call.key(),
            exclude: &progress.tried,
            draw,
            prompt_tokens: call.metadata.prompt_tokens,
            target_latency: target,
            may_wait,
        };
        let PermittedChoice { choice, limit_ends_in } =
            permits.choose(instance, need, now);
        progress.waited = now - began;
        let (reason, wait_reason, pause) = match choice {
            Choice::Send(found) => return Ok(found),
            Choice::Loading(ready_in) => {
                let wait_reason = WaitReason::AdapterLoading(ready_in);
                (Reason::AdapterAbsent, wait_reason, ready_in)
            }
            Choice::Absent => {
                let cooling_down = call.key().and_then(|key| {
                    instance.mark_holders_cooling_down(key, now)
                });
                let limit_ends_in = limit_ends_in.or(cooling_down);
                request_adapter(instance, call);
                let load_time = instance.view.borrow().load_time();
                let wait_reason = WaitReason::AdapterNotLoaded { load_time };
                match limit_ends_in {
                    Some(ready_in) => {
                        let pause = ready_in.min(target);
                        (Reason::EndpointsLimited, wait_reason, pause)
                    }
                    None => (Reason::AdapterAbsent, wait_reason, target),
                }
            }
            Choice::Full => {
                request_adapter(instance, call);
                (Reason::Full, WaitReason::NoCapacity, poll_interval)
            }
            Choice::Busy(ready_in) => {
                if ready_in.is_none() {
                    request_adapter(instance, call);
                }
                let left = load_wait_end - now;
                sleep_or_woken(
                    instance,
                    call,
                    ready_in.unwrap_or(left).min(left),
                )
                .await;
                continue;
            }
            Choice::NoEndpoint => {
                // No endpoint is usable. If some were excluded because they
                // failed this request, a repeatable request may try them
                // again.
                if progress.runs > 0 {
                    progress.tried.clear();
                }
                let cooling_down = || {
                    let view = instance.view.borrow();
                    view.service_cooldown(&call.service, now)
                };
                match limit_ends_in.or_else(cooling_down) {
                    Some(ready_in) => {
                        let wait_reason = WaitReason::Saturated(ready_in);
                        let pause = ready_in.max(poll_interval);
                        (Reason::EndpointsLimited, wait_reason, pause)
                    }
                    None => (
                        Reason::NobodyThere,
                        WaitReason::NoCapacity,
                        poll_interval,
                    ),
                }
            }
        };
        let until = waiting_request.wait_until(wait_reason, now);
        if now >= until {
            progress.available_in = match wait_reason {
                WaitReason::AdapterLoading(ready_in)
                | WaitReason::Saturated(ready_in) => Some(ready_in),
                WaitReason::AdapterNotLoaded { .. }
                | WaitReason::NoCapacity => limit_ends_in,
            };
            return Err(reason);
        }
        sleep_or_woken(instance, call, pause.min(until - now)).await;
    }
}

/// Returns the delay after which the caller of a rejected request may retry.
fn retry_delay_of(call: &CallerRequest, progress: &Progress) -> Duration {
    let draw = hash_fraction(&call.metadata.request_id);
    retry_delay(call.left(), progress.available_in, draw)
}

/// Returns a number between 0 and 1 derived from the hash of a request id.
fn hash_fraction(request_id: &str) -> f64 {
    xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64
}

/// Returns the bounds on how long a request may wait for an endpoint.
fn waiting_request(
    instance: &FleetInstance,
    call: &CallerRequest,
) -> WaitingRequest {
    let tokens = call.metadata.prompt_tokens;
    let engine_time = match call.key() {
        Some(_) => {
            instance.view.borrow().idle_first_event_time(&call.service, tokens)
        }
        None => Duration::ZERO,
    };
    WaitingRequest {
        arrived: call.arrived,
        deadline: call.deadline,
        target: call.route.target_latency,
        engine_time,
        is_later_try: call.is_later_try && call.is_engine,
    }
}

/// Waits for `time`, or until the state of the request's adapter changes.
async fn sleep_or_woken(
    instance: &FleetInstance,
    call: &CallerRequest,
    time: Duration,
) {
    let pause = time + Duration::from_millis(1);
    match call.key() {
        Some(key) => instance.wait_for_adapter(key, pause).await,
        None => compio::time::sleep(pause).await,
    }
}

/// Asks the lease holder to load the request's adapter.
fn request_adapter(instance: &FleetInstance, call: &CallerRequest) {
    if let Some(key) = call.key() {
        let class = instance.split_class(call);
        instance.request_adapter(key, call.priority(), class);
    }
}

async fn forward(
    instance: &Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    progress: Progress,
    good: GoodAnswer,
    target: Target,
    open: OpenRequestGuard,
) -> Response<LocalBody> {
    let status = good.answer.status;
    let headers = caller_response_headers(&good.answer.headers);
    if call.route.is_stream && status.is_success() {
        let stream = relay::stream(
            instance.clone(),
            call,
            progress,
            good,
            target,
            open,
        );
        let mut response = Response::new(stream);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return response;
    }
    let head_time = call.arrived.elapsed();
    let whole =
        compio::time::timeout(call.left(), good.answer.collect()).await;
    match whole {
        Ok(Ok(body)) => {
            let delivered = request_log::Delivered {
                head_time,
                bytes: body.len(),
                longest_pause: Duration::ZERO,
            };
            request_log::served(
                instance, &call, &progress, &target, &delivered,
            );
            if status.is_success() {
                poison::run_succeeded(instance, &call);
            }
            let mut response = Response::new(LocalBody::full(body));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Ok(Err(_)) | Err(_) => {
            let reason = match &whole {
                Ok(Err(err)) => {
                    let cause = err.to_string();
                    poison::run_broken(instance, &call, &target, &cause);
                    Reason::OutcomeUnknown
                }
                _ => {
                    poison::run_lost(instance, &call, Loss::Broken);
                    Reason::TimedOut
                }
            };
            request_log::refused(&call, &progress, reason);
            refusal::answer(reason, retry_delay_of(&call, &progress))
        }
    }
}
