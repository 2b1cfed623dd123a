//! State transfer between instances: fetches from other instances what this
//! one is missing, and serves them what they are missing.
//!
//! A configuration may be larger than a datagram, so it is transferred over
//! HTTP, on the port that receives notes as UDP datagrams. The same port takes
//! forwarded requests ([`super::forwarding`]). A configuration arrives whole or
//! not at all and is applied like one read from the store: an older version
//! never replaces a newer one.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_fleet::catch_up::{StateDelta, StateSummary, Step};
use sedgewall_state::id::InstanceId;
use sedgewall_transport::{
    Handler, LocalBody, OpenConnections, SendError, Server, ServerLimits,
    ShutdownWatch, server::read_body,
};

use super::{
    caller, forwarding,
    instance::FleetInstance,
    notes, poison,
    watch_configuration::{Source, put_in_force},
};

/// The path at which instances serve missing state.
const MISSED_PATH: &str = "/missed";

/// The maximum number of instances served at once; any other asks another
/// instance. Without the limit, 300 outdated instances would put some
/// megabytes on the link of one.
const MAX_SERVED_AT_ONCE: usize = 8;

/// The timeout for connecting to another instance, which takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The timeout for a response. 100 kB take 80 ms at 10 Mbit/s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum size of a response, in bytes. Only one is read at a time.
const MAX_RESPONSE_LEN: usize = 8 << 20;

/// How long a connection of another instance may be idle. Longer than any
/// instance keeps an idle connection for its next forwarded request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The timeout for receiving a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum size of a request, in bytes. It holds a few numbers.
const MAX_REQUEST_BYTES: usize = 256;

/// How long an instance that is missing nothing waits for a notification.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// An error of fetching missing state from another instance.
#[derive(Debug, displaydoc::Display)]
enum FetchError {
    /// no known address: not listed, and no note came directly
    Unknown,
    /// no response in time
    Unanswered,
    /// {0}
    Unreachable(SendError),
    /// unexpected response status {0}
    Refused(StatusCode),
    /// invalid request or response: {0}
    Unreadable(String),
}

/// Fetches missing state whenever there is any. Never returns.
pub(crate) async fn run(instance: Rc<FleetInstance>) {
    loop {
        let own = instance.state_summary();
        match next_step(&instance, own) {
            Step::Idle => instance.catch_up_notified(IDLE_WAIT).await,
            Step::Wait(until) => {
                let now = Instant::now();
                let pause = until.saturating_duration_since(now);
                instance.catch_up_notified(pause).await;
            }
            Step::Fetch(peer) => fetch_from(&instance, &peer, own).await,
        }
    }
}

fn next_step(instance: &FleetInstance, own: StateSummary) -> Step {
    let others = instance.peers.borrow().len();
    let mut catch_up = instance.catch_up.borrow_mut();
    catch_up.step(own, others, rand::random(), Instant::now())
}

async fn fetch_from(
    instance: &FleetInstance,
    peer: &InstanceId,
    own: StateSummary,
) {
    let began = Instant::now();
    let asked =
        compio::time::timeout(RESPONSE_TIMEOUT, fetch(instance, peer, own));
    let answer = asked.await.unwrap_or(Err(FetchError::Unanswered));
    let took_ms = began.elapsed().as_millis() as u64;
    match answer {
        Ok((missed, bytes)) => {
            let is_news = apply_missed(instance, missed);
            let read = &instance.configuration_read;
            read.set(read.get().max(Some(began)));
            tracing::info!(
                event = "caught_up",
                from = peer,
                had = own.configuration,
                configuration = instance.configuration_version(),
                is_news,
                bytes,
                took_ms,
            );
            if is_news {
                return;
            }
        }
        Err(err) => {
            let cause = err.to_string();
            tracing::info!(
                event = "not_caught_up",
                from = peer,
                cause,
                took_ms
            );
        }
    }
    let mut catch_up = instance.catch_up.borrow_mut();
    catch_up.fetch_failed(peer, Instant::now());
}

async fn fetch(
    instance: &FleetInstance,
    peer: &InstanceId,
    own: StateSummary,
) -> Result<(StateDelta, usize), FetchError> {
    let address = instance.address_of(peer).ok_or(FetchError::Unknown)?;
    let request = fetch_request(address, own)?;
    let sent =
        instance.peer_pool.send(address, request, CONNECT_TIMEOUT).await;
    let answer = sent.map_err(FetchError::Unreachable)?;
    if answer.status != StatusCode::OK {
        return Err(FetchError::Refused(answer.status));
    }
    let body = answer.collect_up_to(MAX_RESPONSE_LEN).await;
    let body = body.map_err(FetchError::Unreachable)?;
    let missed = rmp_serde::from_slice(&body)
        .map_err(|err| FetchError::Unreadable(err.to_string()))?;
    Ok((missed, body.len()))
}

fn fetch_request(
    address: SocketAddr,
    own: StateSummary,
) -> Result<Request<http_body_util::Full<Bytes>>, FetchError> {
    let unreadable = |cause: String| FetchError::Unreadable(cause);
    let body = rmp_serde::to_vec(&own);
    let body = body.map_err(|err| unreadable(err.to_string()))?;
    Request::post(MISSED_PATH)
        .header(header::HOST, address.to_string())
        .body(Bytes::from(body).into())
        .map_err(|err| unreadable(err.to_string()))
}

/// Applies the state that another instance sent, and returns whether any of it
/// is new.
fn apply_missed(instance: &FleetInstance, missed: StateDelta) -> bool {
    let before = instance.state_summary();
    let now = Instant::now();
    if let Some(routing) = missed.deployment {
        put_in_force(instance, routing, Source::Instance);
    }
    for (key, version) in &missed.versions {
        instance.name_version(key, *version);
    }
    for departure in &missed.departures {
        notes::apply_departure(instance, departure, now);
    }
    for condemned in &missed.condemned {
        poison::merge_condemned(instance, condemned, "instance");
    }
    instance.state_summary().has_more_than(before)
}

/// Serves missing state to other instances, and the requests that they
/// forward, until the instance stops.
pub(crate) async fn serve_peers(
    instance: Rc<FleetInstance>,
    listener: TcpListener,
    shutdown: ShutdownWatch,
    open: OpenConnections,
) {
    let limits = ServerLimits {
        connections: instance.settings.limits.connections,
        header_timeout: IDLE_TIMEOUT,
        slow_clients: None,
    };
    let being_served = Rc::new(Cell::new(0));
    let handler: Handler = Rc::new(move |mut request| {
        let instance = instance.clone();
        match forwarding::take_forwarded(request.headers_mut()) {
            Some(forwarded) => {
                Box::pin(caller::answer(instance, request, Some(forwarded)))
            }
            None => Box::pin(answer(instance, request, being_served.clone())),
        }
    });
    Server::new(handler, limits)
        .shutdown(shutdown)
        .count_in(open)
        .run(listener)
        .await;
}

async fn answer(
    instance: Rc<FleetInstance>,
    request: Request<Incoming>,
    being_served: Rc<Cell<usize>>,
) -> Response<LocalBody> {
    let Some(_served) = Served::begin(being_served) else {
        return status_only(StatusCode::SERVICE_UNAVAILABLE);
    };
    let (head, body) = request.into_parts();
    if head.uri.path() != MISSED_PATH {
        return status_only(StatusCode::NOT_FOUND);
    }
    let question = read_body(body, MAX_REQUEST_BYTES, REQUEST_TIMEOUT).await;
    let known = match question.map(|bytes| rmp_serde::from_slice(&bytes)) {
        Ok(Ok(known)) => known,
        Ok(Err(_)) | Err(_) => return status_only(StatusCode::BAD_REQUEST),
    };
    match rmp_serde::to_vec(&missing_for(&instance, known)) {
        Ok(body) => {
            let mut response = Response::new(LocalBody::full(body));
            // One request per connection, so that idle connections do not use
            // up the limit.
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            response
        }
        Err(err) => {
            tracing::error!(event = "missed_not_encoded", cause = %err);
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_only(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(LocalBody::empty());
    *response.status_mut() = status;
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// A request for missing state, counted until it is dropped.
struct Served(Rc<Cell<usize>>);

impl Served {
    /// Returns `None` if as many are being served as may be.
    fn begin(being_served: Rc<Cell<usize>>) -> Option<Served> {
        if being_served.get() >= MAX_SERVED_AT_ONCE {
            return None;
        }
        being_served.set(being_served.get() + 1);
        Some(Served(being_served))
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the state that an instance with the given summary is missing.
fn missing_for(instance: &FleetInstance, known: StateSummary) -> StateDelta {
    let newer = |version| version > known.configuration;
    let routing = instance.routing().filter(|d| newer(d.version));
    let condemned = instance.poison.borrow().condemned(Instant::now());
    let view = instance.view.borrow();
    let versions = match view.versions_announced() > known.versions {
        true => view.newest_versions().map(|(k, v)| (k.clone(), v)).collect(),
        false => Vec::new(),
    };
    StateDelta {
        deployment: routing.map(|routing| (*routing).clone()),
        versions,
        departures: view.all_departures(),
        condemned,
    }
}
