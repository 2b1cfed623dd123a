//! One request of a caller: routed, sent, answered.
//!
//! The module keeps the rules on repetition: a request goes to another
//! endpoint only if it certainly did not run, or may run again, and only
//! within the allowance that all instances share. A refusal says "not run"
//! only if no endpoint can have run the request.

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
    poison::Loss,
    view::{Choice, Need, Target},
    wait_policy::{WaitReason, WaitingRequest, retry_delay},
};
use sedgewall_platform::{CallFacts, call::to_caller};
use sedgewall_state::id::EndpointId;
use sedgewall_transport::{
    LocalBody,
    server::{BodyError, read_body},
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    admit::{
        Admitted, Asked, admit_by_newest, give_back_allowance, take_allowance,
    },
    attempt::{
        self, AttemptError, CallerRequest, GoodAnswer, SendLimits, SentTo,
    },
    in_flight::OpenRequest,
    instance::{FleetNode, Stage},
    permits::{Permits, PermittedChoice},
    poison,
    refusal::{self, Reason},
    relay, request_log,
};

/// How long a body may take to come in.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The time of a request that states none.
const PATIENCE_UNSTATED: Duration = Duration::from_secs(10);

/// An answer of ours must leave this long before the caller's time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// How long a request that would come late everywhere waits for its adapter to
/// be loaded where it begins sooner. From the weight store that takes 0.25 s.
/// The rest is for the order.
const COPY_WAIT: Duration = Duration::from_millis(330);

/// How often a request looks again for a place at full endpoints.
const LOOK_AGAIN: Duration = Duration::from_millis(15);

/// The same for a try that waits long: many may wait on a small instance.
const LOOK_AGAIN_LONG: Duration = Duration::from_millis(60);

/// A try whose time is below this part of the longest on its route is not its
/// caller's first. Refused again it is lost, so it waits as long as an answer
/// can still come, be it late.
const LATER_TRY_PART: f64 = 0.9;

/// A repeatable request without an answer goes to another endpoint after this
/// many times its target latency.
const PATIENCE_TARGETS: f64 = 2.5;

/// Sends of one request at most, those that were turned away included.
const MOST_SENDS: u32 = 6;

/// Answers one request.
pub(crate) async fn answer(
    node: Rc<FleetNode>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let open = OpenRequest::begin(&node);
    let arrived = Instant::now();
    let mut response = match read(&node, request, arrived).await {
        Ok(call) => serve(&node, Rc::new(call), open).await,
        Err(refused) => refuse_unread(refused, arrived),
    };
    if node.stage.get() == Stage::Leaving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A request that was refused before it was routed.
struct Unread {
    reason: Reason,
    request_id: String,
    path: String,
    customer: Option<Rc<Customer>>,
    decided_by: ConfigurationStatus,
}

fn refuse_unread(refused: Unread, arrived: Instant) -> Response<LocalBody> {
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
    let draw = draw_of(&refused.request_id);
    let after = retry_delay(PATIENCE_UNSTATED, None, draw);
    refusal::answer(refused.reason, after)
}

async fn read(
    node: &FleetNode,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<CallerRequest, Unread> {
    let (mut head, body) = request.into_parts();
    let facts = CallFacts::take(&mut head.headers);
    let path = head.uri.path().to_owned();
    let request_id =
        facts.as_ref().map_or(String::new(), |f| f.request_id.clone());
    let refuse = |reason| Unread {
        reason,
        request_id: request_id.clone(),
        path: path.clone(),
        customer: None,
        decided_by: node.decides(),
    };
    let asked = Asked {
        host: host_of(&head),
        path: path.clone(),
        credential: facts.as_ref().and_then(|f| f.credential),
    };
    let admitted = admit_by_newest(node, &asked).await.map_err(&refuse)?;
    let Admitted { routing, route, customer, decided_by } = admitted;
    let facts = facts.ok_or_else(|| refuse(Reason::NoRequestId))?;
    let tokens = facts.prompt_tokens + facts.answer_tokens;
    if let Some(customer) = &customer {
        take_allowance(node, customer, tokens).map_err(|reason| Unread {
            customer: Some(customer.clone()),
            ..refuse(reason)
        })?;
    }
    let most = routing.limits.body_bytes;
    let body = read_body(body, most, BODY_TIME).await.map_err(|err| {
        refuse(match err {
            BodyError::TooLong(_) => Reason::BodyTooLong,
            BodyError::TooSlow(_) | BodyError::Broken(_) => Reason::BodyBroken,
        })
    })?;
    let patience = facts.patience.unwrap_or(PATIENCE_UNSTATED);
    let end = arrived + patience.min(route.timeout) - ANSWER_MARGIN;
    let longest = node.longest_patience(&route.name, patience);
    let is_later_try = patience < longest.mul_f64(LATER_TRY_PART);
    let service = route
        .pick_service(draw_of(&facts.request_id))
        .ok_or_else(|| refuse(Reason::NobodyThere))?
        .clone();
    let is_engine = routing.engine_group(&service).is_some();
    Ok(CallerRequest {
        facts,
        method: head.method,
        uri: origin_form(head.uri),
        headers: head.headers,
        body,
        route,
        decided_by,
        service,
        is_engine,
        arrived,
        end,
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

/// Endpoints get path and query, also if the caller named a whole URL.
fn origin_form(uri: http::Uri) -> http::Uri {
    if uri.authority().is_none() {
        return uri;
    }
    let path = uri.path_and_query().cloned();
    path.map_or(uri, http::Uri::from)
}

/// What happened to a request so far.
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) sends: u32,
    /// Sends that may have run.
    pub(crate) runs: u32,
    pub(crate) waited: Duration,
    /// From the last send to the head of its answer.
    pub(crate) engine: Duration,
    /// When what it was rejected for is likely to be over.
    pub(crate) gone_in: Option<Duration>,
}

async fn serve(
    node: &Rc<FleetNode>,
    call: Rc<CallerRequest>,
    open: OpenRequest,
) -> Response<LocalBody> {
    node.budget.borrow_mut().count_request(&call.service, call.arrived);
    if let Some(key) = call.key() {
        *node.asked.borrow_mut().entry(key.clone()).or_default() += 1;
    }
    let mut progress = Progress {
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        waited: Duration::ZERO,
        engine: Duration::ZERO,
        gone_in: None,
    };
    let mut watch = request_log::Unanswered::begin(node, call.clone());
    let last_event = call.facts.last_event.clone();
    let found = obtain(node, &call, &mut progress, last_event.as_deref());
    let response = match found.await {
        Ok((good, target)) => {
            pass_on(node, call, progress, good, target, open).await
        }
        Err(reason) => {
            if progress.runs == 0 {
                give_back_allowance(node, &call);
            }
            request_log::refused(&call, &progress, reason);
            refusal::answer(reason, come_back_of(&call, &progress))
        }
    };
    watch.answered();
    response
}

/// Finds an endpoint that answers; tries others as far as that is allowed.
pub(crate) async fn obtain(
    node: &Rc<FleetNode>,
    call: &CallerRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<(GoodAnswer, Target), Reason> {
    loop {
        poison::check(node, call, progress.runs)?;
        let target = match find(node, call, progress).await {
            Ok(target) => target,
            Err(_) if progress.runs > 0 => return Err(Reason::OutcomeUnknown),
            Err(reason) => return Err(reason),
        };
        // Others may have seen its endpoints end while it waited for a place.
        poison::check(node, call, progress.runs)?;
        let is_first = progress.sends == 0;
        if !is_first && !take_repeat(node, call) {
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
            attempt::send(node, call, &target, last_event, limits).await;
        progress.engine = began.elapsed();
        let err = match sent {
            Ok(good) => return Ok((good, target)),
            Err(err) => err,
        };
        request_log::attempt(call, progress, &target, &err);
        progress.runs += u32::from(!err.is_not_run());
        if !matches!(err, AttemptError::Misdirected) || call.key().is_none() {
            progress.tried.push(target.id.clone());
        }
        after_failure(call, progress, &err)?;
    }
}

/// Takes one repeat of the allowance that all instances share.
fn take_repeat(node: &FleetNode, call: &CallerRequest) -> bool {
    let now = Instant::now();
    let instances = node.instances();
    node.budget.borrow_mut().take(&call.service, now, instances)
}

/// Returns whether there may be another send, or the final answer.
fn after_failure(
    call: &CallerRequest,
    progress: &Progress,
    err: &AttemptError,
) -> Result<(), Reason> {
    let is_over = call.left().is_zero();
    if progress.runs == 0 {
        return match (is_over, progress.sends >= MOST_SENDS) {
            (true, _) => Err(Reason::TooLate),
            (_, true) => Err(Reason::RetriesSpent),
            _ => Ok(()),
        };
    }
    let may_repeat = call.is_repeatable()
        && progress.runs < call.route.max_attempts
        && progress.sends < MOST_SENDS;
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
    let patience = call.route.target_latency.mul_f64(PATIENCE_TARGETS);
    let within = if is_last { left } else { left.min(patience) };
    SendLimits { within, is_last }
}

/// Waits for an endpoint that can take the request.
async fn find(
    node: &Rc<FleetNode>,
    call: &CallerRequest,
    progress: &mut Progress,
) -> Result<Target, Reason> {
    let draw = xxh3_64(call.facts.request_id.as_bytes());
    let began = Instant::now();
    let target = call.route.target_latency;
    let held = held(node, call);
    let look_again = match held.is_later_try {
        true => LOOK_AGAIN_LONG,
        false => LOOK_AGAIN,
    };
    // Where it would come late it waits for another engine to get the adapter.
    let patient_until = began + COPY_WAIT;
    let mut permits = Permits::default();
    loop {
        let now = Instant::now();
        let may_wait = now < patient_until;
        let need = Need {
            service: &call.service,
            key: call.key(),
            exclude: &progress.tried,
            draw,
            prompt_tokens: call.facts.prompt_tokens,
            target_latency: target,
            may_wait,
        };
        let PermittedChoice { choice, limited_for } =
            permits.choose(node, need, now);
        progress.waited = now - began;
        let (reason, obstacle, pause) = match choice {
            Choice::Send(found) => return Ok(found),
            Choice::Loading(ready_in) => {
                let obstacle = WaitReason::AdapterLoading(ready_in);
                (Reason::AdapterAbsent, obstacle, ready_in)
            }
            Choice::Absent => {
                let resting = call
                    .key()
                    .and_then(|key| node.note_resting_holders(key, now));
                let limited_for = limited_for.or(resting);
                ask_for(node, call);
                let load_time = node.view.borrow().load_time();
                let obstacle = WaitReason::AdapterNotLoaded { load_time };
                match limited_for {
                    Some(ready_in) => {
                        let pause = ready_in.min(target);
                        (Reason::EndpointsLimited, obstacle, pause)
                    }
                    None => (Reason::AdapterAbsent, obstacle, target),
                }
            }
            Choice::Full => {
                ask_for(node, call);
                (Reason::Full, WaitReason::NoCapacity, look_again)
            }
            Choice::Busy(ready_in) => {
                if ready_in.is_none() {
                    ask_for(node, call);
                }
                let left = patient_until - now;
                sleep_or_hear(node, call, ready_in.unwrap_or(left).min(left))
                    .await;
                continue;
            }
            Choice::NoEndpoint => {
                // All have failed it; what may run again goes round again.
                if progress.runs > 0 {
                    progress.tried.clear();
                }
                let resting = || {
                    let view = node.view.borrow();
                    view.service_cooldown(&call.service, now)
                };
                match limited_for.or_else(resting) {
                    Some(ready_in) => {
                        let obstacle = WaitReason::Saturated(ready_in);
                        let pause = ready_in.max(look_again);
                        (Reason::EndpointsLimited, obstacle, pause)
                    }
                    None => (
                        Reason::NobodyThere,
                        WaitReason::NoCapacity,
                        look_again,
                    ),
                }
            }
        };
        let until = held.wait_until(obstacle, now);
        if now >= until {
            progress.gone_in = match obstacle {
                WaitReason::AdapterLoading(ready_in)
                | WaitReason::Saturated(ready_in) => Some(ready_in),
                WaitReason::AdapterNotLoaded { .. }
                | WaitReason::NoCapacity => limited_for,
            };
            return Err(reason);
        }
        sleep_or_hear(node, call, pause.min(until - now)).await;
    }
}

/// Returns when a caller whose request is rejected may come back.
fn come_back_of(call: &CallerRequest, progress: &Progress) -> Duration {
    let draw = draw_of(&call.facts.request_id);
    retry_delay(call.left(), progress.gone_in, draw)
}

/// Returns a number between 0 and 1 that is drawn for a request.
fn draw_of(request_id: &str) -> f64 {
    xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64
}

/// Returns what is known of a request that may have to wait.
fn held(node: &FleetNode, call: &CallerRequest) -> WaitingRequest {
    let tokens = call.facts.prompt_tokens;
    let engine_time = match call.key() {
        Some(_) => {
            node.view.borrow().idle_first_event_time(&call.service, tokens)
        }
        None => Duration::ZERO,
    };
    WaitingRequest {
        arrived: call.arrived,
        deadline: call.end,
        target: call.route.target_latency,
        engine_time,
        is_later_try: call.is_later_try && call.is_engine,
    }
}

/// Waits for a time, or until something is heard of the request's adapter.
async fn sleep_or_hear(
    node: &FleetNode,
    call: &CallerRequest,
    time: Duration,
) {
    let pause = time + Duration::from_millis(1);
    match call.key() {
        Some(key) => node.wait_for(key, pause).await,
        None => compio::time::sleep(pause).await,
    }
}

/// Asks the holder of the lease for an adapter.
fn ask_for(node: &FleetNode, call: &CallerRequest) {
    if let Some(key) = call.key() {
        node.ask_for(key, call.rank());
    }
}

async fn pass_on(
    node: &Rc<FleetNode>,
    call: Rc<CallerRequest>,
    progress: Progress,
    good: GoodAnswer,
    target: Target,
    open: OpenRequest,
) -> Response<LocalBody> {
    let status = good.answer.status;
    let headers = to_caller(&good.answer.headers);
    if call.route.is_stream && status.is_success() {
        let stream =
            relay::stream(node.clone(), call, progress, good, target, open);
        let mut response = Response::new(stream);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return response;
    }
    let head = call.arrived.elapsed();
    let whole =
        compio::time::timeout(call.left(), good.answer.collect()).await;
    match whole {
        Ok(Ok(body)) => {
            let delivered = request_log::Delivered {
                head,
                bytes: body.len(),
                longest_pause: Duration::ZERO,
            };
            request_log::served(&call, &progress, &target, &delivered);
            if status.is_success() {
                poison::ended_well(node, &call);
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
                    poison::run_broke(node, &call, &target, &cause);
                    Reason::OutcomeUnknown
                }
                _ => {
                    poison::run_lost(node, &call, Loss::Broken);
                    Reason::TimedOut
                }
            };
            request_log::refused(&call, &progress, reason);
            refusal::answer(reason, come_back_of(&call, &progress))
        }
    }
}
