//! Gets from other instances what this one misses, and gives them what they miss.
//!
//! A configuration may be longer than a datagram, so it is asked for over HTTP, at
//! the port at which notes come as datagrams. It comes whole or not at all, and is
//! taken in like one that was read from the store: only ever forward.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_fleet::catch_up::{StateDelta, StateSummary, Step};
use sedgewall_state::id::InstanceId;
use sedgewall_transport::{
    Handler, LocalBody, SendError, ServerLimits, serve, server::read_body,
};

use super::{
    instance::FleetNode,
    notes, poison,
    watch_configuration::{Source, put_in_force},
};

/// The path of what an instance misses.
const MISSED_PATH: &str = "/missed";

/// Instances that are answered at once; the next one asks another. With 300 that are
/// behind, the link of one would carry some megabytes else.
const ANSWERED_AT_ONCE: usize = 8;

/// The longest time for a connection to another instance, which takes milliseconds.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// The longest time for an answer. 100 kB take 80 ms at 10 Mbit/s.
const ANSWER_TIME: Duration = Duration::from_millis(800);

/// The longest time for a question to come in.
const QUESTION_TIME: Duration = Duration::from_millis(500);

/// The longest question, in bytes: two numbers.
const QUESTION_BYTES: usize = 256;

/// How long an instance that misses nothing waits to be notified.
const REST: Duration = Duration::from_secs(60);

/// Error of asking another instance.
#[derive(Debug, displaydoc::Display)]
enum AskError {
    /// it has no entry, and was not heard directly
    Unknown,
    /// no answer in time
    Unanswered,
    /// {0}
    Unreachable(SendError),
    /// it answered {0}
    Refused(StatusCode),
    /// unreadable: {0}
    Unreadable(String),
}

/// Asks for what is missed, for ever.
pub(crate) async fn run(node: Rc<FleetNode>) {
    loop {
        let own = node.knowledge();
        match next_step(&node, own) {
            Step::Idle => node.catch_up_notified(REST).await,
            Step::Wait(until) => {
                let now = Instant::now();
                let pause = until.saturating_duration_since(now);
                node.catch_up_notified(pause).await;
            }
            Step::Fetch(whom) => ask_one(&node, &whom, own).await,
        }
    }
}

fn next_step(node: &FleetNode, own: StateSummary) -> Step {
    let others = node.peers.borrow().len();
    let mut catch_up = node.catch_up.borrow_mut();
    catch_up.step(own, others, rand::random(), Instant::now())
}

async fn ask_one(node: &FleetNode, whom: &InstanceId, own: StateSummary) {
    let began = Instant::now();
    let asked = compio::time::timeout(ANSWER_TIME, ask(node, whom, own));
    let answer = asked.await.unwrap_or(Err(AskError::Unanswered));
    let took_ms = began.elapsed().as_millis() as u64;
    match answer {
        Ok((missed, bytes)) => {
            let is_news = take_in(node, missed);
            let read = &node.configuration_read;
            read.set(read.get().max(Some(began)));
            tracing::info!(
                event = "caught_up",
                from = whom,
                had = own.configuration,
                configuration = node.configuration_version(),
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
                from = whom,
                cause,
                took_ms
            );
        }
    }
    let mut catch_up = node.catch_up.borrow_mut();
    catch_up.fetch_failed(whom, Instant::now());
}

async fn ask(
    node: &FleetNode,
    whom: &InstanceId,
    own: StateSummary,
) -> Result<(StateDelta, usize), AskError> {
    let address = node.address_of(whom).ok_or(AskError::Unknown)?;
    let request = question(address, own)?;
    let sent = node.peer_pool.send(address, request, CONNECT_TIME).await;
    let answer = sent.map_err(AskError::Unreachable)?;
    if answer.status != StatusCode::OK {
        return Err(AskError::Refused(answer.status));
    }
    let body = answer.collect().await.map_err(AskError::Unreachable)?;
    let missed = rmp_serde::from_slice(&body)
        .map_err(|err| AskError::Unreadable(err.to_string()))?;
    Ok((missed, body.len()))
}

fn question(
    address: SocketAddr,
    own: StateSummary,
) -> Result<Request<http_body_util::Full<Bytes>>, AskError> {
    let unreadable = |cause: String| AskError::Unreadable(cause);
    let body = rmp_serde::to_vec(&own);
    let body = body.map_err(|err| unreadable(err.to_string()))?;
    Request::post(MISSED_PATH)
        .header(header::HOST, address.to_string())
        .body(Bytes::from(body).into())
        .map_err(|err| unreadable(err.to_string()))
}

/// Takes in what another instance has; returns whether any of it is news.
fn take_in(node: &FleetNode, missed: StateDelta) -> bool {
    let before = node.knowledge();
    let now = Instant::now();
    if let Some(routing) = missed.deployment {
        put_in_force(node, routing, Source::Instance);
    }
    for (key, version) in &missed.versions {
        node.name_version(key, *version);
    }
    for departure in &missed.departures {
        notes::hear_departure(node, departure, now);
    }
    for condemned in &missed.condemned {
        poison::take_in(node, condemned, "instance");
    }
    node.knowledge().has_more_than(before)
}

/// Answers other instances, for ever.
pub(crate) async fn answer_others(node: Rc<FleetNode>, listener: TcpListener) {
    let limits = ServerLimits {
        connections: ANSWERED_AT_ONCE,
        header_timeout: QUESTION_TIME,
    };
    let handler: Handler =
        Rc::new(move |request| Box::pin(answer(node.clone(), request)));
    serve(listener, limits, handler).await;
}

async fn answer(
    node: Rc<FleetNode>,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let (head, body) = request.into_parts();
    let status = |status| {
        let mut response = Response::new(LocalBody::empty());
        *response.status_mut() = status;
        response
    };
    if head.uri.path() != MISSED_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let question = read_body(body, QUESTION_BYTES, QUESTION_TIME).await;
    let known = match question.map(|bytes| rmp_serde::from_slice(&bytes)) {
        Ok(Ok(known)) => known,
        Ok(Err(_)) | Err(_) => return status(StatusCode::BAD_REQUEST),
    };
    match rmp_serde::to_vec(&missed_by(&node, known)) {
        Ok(body) => {
            let mut response = Response::new(LocalBody::full(body));
            // One question a connection, so that those that rest take no place.
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            response
        }
        Err(err) => {
            tracing::error!(event = "missed_not_encoded", cause = %err);
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns what an instance misses that knows so much.
fn missed_by(node: &FleetNode, known: StateSummary) -> StateDelta {
    let newer = |version| version > known.configuration;
    let routing = node.routing().filter(|d| newer(d.version));
    let condemned = node.poison.borrow().condemned(Instant::now());
    let view = node.view.borrow();
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
