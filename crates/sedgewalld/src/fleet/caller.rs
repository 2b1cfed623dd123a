//! The handling of one request of a caller: reading, admitting and answering
//! it.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    time::Duration,
};

use http::{HeaderValue, Request, Response, Uri, header};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    configuration::ConfigurationStatus,
    customer::Customer,
    engine_pools::RequestClass,
    route::{Route, ServiceName},
    stream_origins::stream_key,
    wait_policy::retry_delay,
};
use sedgewall_platform::RequestMetadata;
use sedgewall_transport::LocalBody;

use super::{
    admit::{
        AdmissionQuery, Admitted, admit_by_newest, charge_allowance,
        refund_allowance, refund_tokens,
    },
    attempt::{CallerRequest, Resumed, hash_fraction},
    delivery,
    forwarding::{self, Forwarded, Path},
    in_flight::OpenRequestGuard,
    instance::FleetInstance,
    intake,
    progress::Progress,
    refusal::{self, Reason},
    request_body, request_log, retries,
    streams::{self, ResumedStream},
};

/// The time limit of a request whose caller states none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(10);

/// How long before the caller's deadline this instance must send an answer of
/// its own.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// A try whose time limit is below this fraction of the longest time limit on
/// its route is taken to be a repetition by its caller. A caller that is
/// refused once more gives up, so such a try waits as long as any answer, even
/// a late one, is still possible.
const LATER_TRY_TIME_LIMIT_FRACTION: f64 = 0.9;

/// Answers one request of a caller, or one that another instance has
/// forwarded.
pub(crate) async fn answer(
    instance: Rc<FleetInstance>,
    mut request: Request<Incoming>,
    forwarded: Option<Forwarded>,
) -> Response<LocalBody> {
    let open = OpenRequestGuard::begin(&instance);
    let now = Instant::now();
    // The request may have waited unread since then.
    let delay = instance.event_loop.delay(now);
    let arrived = now.checked_sub(delay).unwrap_or(now);
    forwarding::remove_marks(request.headers_mut());
    let entered = intake::enter(&instance, &request);
    let entered = instance.before_stop_ends(entered).await;
    match entered.unwrap_or(Err(Reason::Stopping)) {
        Ok(()) => match read(&instance, request, forwarded, arrived).await {
            Ok(call) => serve(&instance, Rc::new(call), open).await,
            Err(refused) => refuse_early(refused, arrived),
        },
        Err(reason) => {
            let draw = rand::random();
            let after = retry_delay(DEFAULT_TIME_LIMIT, None, draw);
            refusal::answer(reason, after, forwarded.is_some())
        }
    }
}

/// A request that was refused before a [`CallerRequest`] was made of it.
struct EarlyRefusal {
    reason: Reason,
    request_id: String,
    path: String,
    customer: Option<Rc<Customer>>,
    decided_by: ConfigurationStatus,
    is_forwarded: bool,
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
    refusal::answer(refused.reason, after, refused.is_forwarded)
}

async fn read(
    instance: &Rc<FleetInstance>,
    request: Request<Incoming>,
    forwarded: Option<Forwarded>,
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
        is_forwarded: forwarded.is_some(),
    };
    if forwarded.as_ref().is_some_and(|forwarded| {
        instance.configuration_version() < Some(forwarded.configuration)
    }) {
        return Err(refuse(Reason::ConfigurationBehind));
    }
    let credential = match &forwarded {
        Some(forwarded) => forwarded.credential,
        None => metadata.as_ref().and_then(|f| f.credential),
    };
    let query = AdmissionQuery {
        host: host_of(head.headers.get(header::HOST), &head.uri).to_owned(),
        path: path.clone(),
        credential,
    };
    let admitted = admit_by_newest(instance, &query);
    let admitted = instance.before_stop_ends(admitted).await;
    let admitted =
        admitted.unwrap_or(Err(Reason::Stopping)).map_err(&refuse)?;
    let Admitted { routing, route, customer, decided_by } = admitted;
    let metadata = metadata.ok_or_else(|| refuse(Reason::NoRequestId))?;
    let tokens = metadata.prompt_tokens + metadata.answer_tokens;
    // The instance that forwards a request has charged its customer.
    if let Some(customer) = customer.as_ref().filter(|_| forwarded.is_none()) {
        charge_allowance(instance, customer, tokens).map_err(|reason| {
            EarlyRefusal { customer: Some(customer.clone()), ..refuse(reason) }
        })?;
    }
    let most = routing.limits.body_bytes;
    let body = request_body::read(instance, body, most);
    let body = instance.before_stop_ends(body).await;
    let (body, body_reserved) =
        body.unwrap_or(Err(Reason::Stopping)).map_err(|reason| {
            if matches!(reason, Reason::BufferFull | Reason::Stopping)
                && forwarded.is_none()
            {
                refund(instance, customer.as_deref(), tokens);
            }
            refuse(reason)
        })?;
    let time_limit = metadata.timeout.unwrap_or(DEFAULT_TIME_LIMIT);
    let deadline = arrived + time_limit.min(route.timeout) - ANSWER_MARGIN;
    let is_later_try = match &forwarded {
        Some(forwarded) => forwarded.is_later_try,
        None => {
            let longest = instance.longest_time_limit(&route.name, time_limit);
            time_limit < longest.mul_f64(LATER_TRY_TIME_LIMIT_FRACTION)
        }
    };
    let picked = route
        .pick_service(hash_fraction(&metadata.request_id))
        .ok_or_else(|| refuse(Reason::NobodyThere))?
        .clone();
    let name = customer.as_ref().map(|c| c.name.as_str());
    let resumed = match forwarded.as_ref().and_then(|f| f.origin.clone()) {
        Some(origin) => Resumed::From(origin),
        None => {
            let found =
                find_resumed(instance, &route, &metadata, name, &picked);
            let found = instance.before_stop_ends(found).await;
            found.ok_or_else(|| {
                if forwarded.is_none() {
                    refund(instance, customer.as_deref(), tokens);
                }
                refuse(Reason::Stopping)
            })?
        }
    };
    let (service, resumed) = match resumed {
        Resumed::From(origin) if route.has_service(&origin.service) => {
            (origin.service.clone(), Resumed::From(origin))
        }
        Resumed::From(_) => (picked, Resumed::Unknown),
        other => (picked, other),
    };
    let is_engine = routing.engine_group(&service).is_some();
    Ok(CallerRequest {
        metadata,
        method: head.method,
        uri: origin_form(head.uri),
        headers: head.headers,
        body,
        _body_reserved: body_reserved,
        route,
        decided_by,
        service,
        is_engine,
        arrived,
        deadline,
        is_later_try,
        customer,
        resumed,
        forwarded,
        sent_to: RefCell::default(),
        features: OnceCell::new(),
    })
}

/// Refunds what a request that will not run was charged.
fn refund(instance: &FleetInstance, customer: Option<&Customer>, tokens: u64) {
    if let Some(customer) = customer {
        refund_tokens(instance, customer, tokens);
    }
}

/// Returns where the stream began that a request resumes.
async fn find_resumed(
    instance: &Rc<FleetInstance>,
    route: &Route,
    metadata: &RequestMetadata,
    customer: Option<&str>,
    service: &ServiceName,
) -> Resumed {
    if !route.is_resumable || metadata.last_event.is_none() {
        return Resumed::None;
    }
    let began_as = metadata.resumes.as_deref();
    let resumed = ResumedStream {
        request_id: &metadata.request_id,
        began_as,
        last_event: metadata.last_event.as_deref(),
        key: began_as.map(|id| stream_key(customer, id)),
        service,
        is_only_service: route.backends.iter().all(|b| b.service == *service),
    };
    let found = streams::find_origin(instance, &resumed).await;
    found.map_or(Resumed::Unknown, Resumed::From)
}

/// Returns the name of the host that a request is for, without its port.
pub(super) fn host_of<'a>(
    header: Option<&'a HeaderValue>,
    uri: &'a Uri,
) -> &'a str {
    let host = header.and_then(|value| value.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
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

/// Returns why a request has no response when this instance ends.
fn unanswered(call: &CallerRequest, progress: &Progress) -> Reason {
    match progress.may_have_run() || call.sent_to.borrow().is_some() {
        true => Reason::OutcomeUnknown,
        false => Reason::Stopping,
    }
}

async fn serve(
    instance: &Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    open: OpenRequestGuard,
) -> Response<LocalBody> {
    if let Some(forwarded) = &call.forwarded {
        request_log::forward_accepted(&call, forwarded);
    }
    let is_direct = instance.path(&call.service) == Path::Direct;
    if let Some(key) = call.key().filter(|_| is_direct) {
        let tokens = call.metadata.prompt_tokens;
        let class = instance.reported_class(&call.service, tokens);
        let mut requested = instance.requested_adapters.borrow_mut();
        let requested = requested.entry(key.clone()).or_default();
        requested.requests += 1;
        if class == Some(RequestClass::Long) {
            requested.long_tokens += tokens;
        }
    }
    let mut progress = Progress::begin(&call);
    let mut watch =
        request_log::UnansweredGuard::begin(instance, call.clone());
    let last_event = call.metadata.last_event.clone();
    let found = match call.resumed {
        _ if instance.stops_before(call.deadline) => Err(Reason::Stopping),
        Resumed::Unknown => Err(Reason::StreamVersionUnknown),
        Resumed::None | Resumed::From(_) => {
            let sending = retries::send_with_retries(
                instance,
                &call,
                &mut progress,
                last_event.as_deref(),
            );
            let found = instance.before_stop_ends(sending).await;
            found.unwrap_or_else(|| Err(unanswered(&call, &progress)))
        }
    };
    let response = match found {
        Ok((good, responder)) => {
            delivery::forward(instance, call, progress, good, responder, open)
                .await
        }
        Err(reason) => {
            if progress.runs == 0 && call.forwarded.is_none() {
                refund_allowance(instance, &call);
            }
            let retry_in = progress.retry_delay(&call);
            request_log::refused(&call, &progress, reason, retry_in);
            refusal::answer(reason, retry_in, call.forwarded.is_some())
        }
    };
    watch.answered();
    response
}
