//! A pool of HTTP/1.1 connections to endpoints, by address.
//!
//! Unlike a general-purpose client, the pool reports for each failed request
//! whether it can have reached the endpoint, and never sends a request twice.
//! Invariant: a connection returns to the pool only after a complete response.
//! Dropping a request or a response before its end resets the connection,
//! which takes back what has not left this machine yet, and tells the endpoint
//! that the caller no longer waits for the response.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    error::Error,
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use log::debug;
use sedgewall_clock::Instant;
use socket2::SockRef;

use crate::{
    body::Collected,
    connection::{Arrived, has_arrived},
    endpoint_stream::{EndpointStream, Overhead},
    response_head::BodyFraming,
    turn::{Turn, TurnStream},
};

/// How long an idle connection is kept if the endpoint sent no `Keep-Alive`
/// timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// The maximum time for which an idle connection is kept, whatever the endpoint
/// states.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);

/// Subtracted from the endpoint's `Keep-Alive` timeout, so that a request is
/// not sent while the endpoint closes the idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// How long sent bytes may stay unacknowledged before the kernel closes the
/// connection: a machine that lost power does not close it.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum length of a body that is sent with [`TCP_USER_TIMEOUT`], in
/// bytes. The kernel applies the timeout also while the receive window of the
/// endpoint is closed. A body of this length fits the window of an endpoint
/// that does not read for a while.
const MAX_TIMED_BODY_LEN: u64 = 4 << 10;

/// Error of sending a request to an endpoint.
///
/// `NotSent` means that the endpoint certainly did not receive the request: no
/// connection could be made, or a new connection was closed before the request
/// was sent on it. After any other error the endpoint may have received the
/// request; `Endless` and `Malformed` show that it was alive.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum SendError {
    /// cannot connect: {0}
    NotSent(String),
    /// the connection failed: {0}
    Broken(String),
    /// the response exceeds a limit: {0}
    Endless(String),
    /// the response is malformed: {0}
    Malformed(String),
}

impl std::error::Error for SendError {}

impl SendError {
    /// Returns whether the endpoint certainly did not receive the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, SendError::NotSent(_))
    }

    /// Returns whether the endpoint was alive: it has sent what cannot be used.
    pub fn is_of_live_endpoint(&self) -> bool {
        matches!(self, SendError::Endless(_) | SendError::Malformed(_))
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    socket: TcpStream,
    /// Drives the connection; dropping the task closes the socket.
    _task: JoinHandle<()>,
    overhead: Rc<Overhead>,
    reusable_until: Instant,
    /// Whether the connection may return to the pool.
    is_reusable: bool,
}

impl Connection {
    /// Returns whether an idle connection may still be used.
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.reusable_until
    }
}

type Idle = Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>;

/// The outcome of a probe of an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// A process at the address accepts connections.
    Listens,
    /// The machine refused the connection: no process listens at the address.
    Refuses,
    /// The connection timed out or failed in another way, which does not show
    /// whether a process listens.
    Unknown,
}

/// The maximum length of a response that is collected before it is used, in
/// bytes, unless a lower limit is set.
pub const MAX_COLLECTED_LEN: usize = 20 << 20;

/// A pool of HTTP/1.1 connections, which its clones share.
#[derive(Clone, Default)]
pub struct EndpointPool {
    idle: Idle,
    opened: Rc<Cell<u64>>,
    max_buffer: Option<usize>,
}

/// The response of an endpoint, whose body has not been read yet.
pub struct PooledResponse {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The body, which returns the connection to the pool once it has been
    /// read to its end.
    pub body: PooledBody,
}

/// The body of a pooled response, read chunk by chunk.
pub struct PooledBody {
    incoming: Incoming,
    framing: BodyFraming,
    connection: Option<(SocketAddr, Connection)>,
    overhead: Rc<Overhead>,
    idle: Idle,
}

impl EndpointPool {
    /// Returns an empty pool.
    pub fn new() -> EndpointPool {
        EndpointPool::default()
    }

    /// Returns an empty pool whose connections buffer at most `max_buffer`
    /// bytes. Response headers must fit.
    pub fn with_max_buffer(max_buffer: usize) -> EndpointPool {
        let max_buffer = Some(max_buffer);
        EndpointPool { max_buffer, ..EndpointPool::default() }
    }

    /// Returns the number of connections opened since the pool was created.
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the idle connections that cannot be used again.
    pub fn close_unusable(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| c.is_usable(now));
            !connections.is_empty()
        });
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Uses an idle connection if there is one that the endpoint has not
    /// closed, as far as the kernel knows. A request that such a connection
    /// hands back unsent goes to the next connection. A long body
    /// gets a connection of its own, on which unread bytes have no timeout.
    ///
    /// # Errors
    ///
    /// If no connection can be made within `connect_within`, or the connection
    /// fails before the head of the response has been received, or the head is
    /// malformed.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        connect_within: Duration,
    ) -> Result<PooledResponse, SendError> {
        let len = request.body().size_hint().lower();
        if len > MAX_TIMED_BODY_LEN {
            let mut connection =
                self.connect(address, connect_within, None).await?;
            connection.is_reusable = false;
            return self.send_first(address, connection, request).await;
        }
        while let Some(connection) = self.take_idle(address) {
            match self.send_on(address, connection, request).await {
                Ok(answer) => return Ok(answer),
                Err(SendFailure::Unsent(back)) => request = *back,
                Err(SendFailure::Failed(err)) => return Err(err),
            }
        }
        let timeout = Some(TCP_USER_TIMEOUT);
        let connection =
            self.connect(address, connect_within, timeout).await?;
        self.send_first(address, connection, request).await
    }

    /// Sends the first request on a connection.
    async fn send_first(
        &self,
        address: SocketAddr,
        connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<PooledResponse, SendError> {
        match self.send_on(address, connection, request).await {
            Ok(answer) => Ok(answer),
            Err(SendFailure::Unsent(_)) => {
                let cause = "closed before the request was sent".to_owned();
                Err(SendError::NotSent(cause))
            }
            Err(SendFailure::Failed(err)) => Err(err),
        }
    }

    /// Probes whether a process listens at an address, by opening a connection
    /// that stays in the pool for the next request.
    pub async fn probe(
        &self,
        address: SocketAddr,
        within: Duration,
    ) -> ProbeOutcome {
        let connecting = TcpStream::connect(address);
        match compio::time::timeout(within, connecting).await {
            Ok(Ok(stream)) => {
                let timeout = Some(TCP_USER_TIMEOUT);
                if let Ok(connection) =
                    self.handshake_http1(address, stream, timeout).await
                {
                    let mut idle = self.idle.borrow_mut();
                    idle.entry(address).or_default().push(connection);
                }
                ProbeOutcome::Listens
            }
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                ProbeOutcome::Refuses
            }
            Ok(Err(_)) | Err(_) => ProbeOutcome::Unknown,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(&address)?;
        let now = Instant::now();
        idle_connections.retain(|c| c.is_usable(now));
        loop {
            let idx =
                idle_connections.iter().rposition(|c| c.sender.is_ready())?;
            let connection = idle_connections.remove(idx);
            // Costs a system call, so that others are not looked at.
            if has_arrived(&connection.socket) == Arrived::Nothing {
                return Some(connection);
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        within: Duration,
        user_timeout: Option<Duration>,
    ) -> Result<Connection, SendError> {
        let not_sent = |err: String| SendError::NotSent(err);
        let stream =
            compio::time::timeout(within, TcpStream::connect(address))
                .await
                .map_err(|_| not_sent(format!("not within {within:?}")))?
                .map_err(|err| not_sent(err.to_string()))?;
        let connection =
            self.handshake_http1(address, stream, user_timeout).await;
        connection.map_err(|err| not_sent(err.to_string()))
    }

    async fn handshake_http1(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        user_timeout: Option<Duration>,
    ) -> Result<Connection, hyper::Error> {
        set_socket_options(&stream, user_timeout);
        reset_on_close(&stream);
        let mut builder = http1::Builder::new();
        if let Some(max_buffer) = self.max_buffer {
            builder.max_buf_size(max_buffer);
        }
        let socket = stream.clone();
        let turn = Rc::new(Turn::default());
        let overhead = Rc::new(Overhead::default());
        let inner = TurnStream::new(stream, turn.clone());
        let io = EndpointStream::new(inner, overhead.clone());
        let (sender, connection) = builder.handshake(io).await?;
        let task = compio::runtime::spawn(async move {
            if let Err(err) = turn.drive(connection).await {
                debug!("pool: connection to {address} failed: {err}.");
            }
        });
        self.opened.set(self.opened.get() + 1);
        let reusable_until = Instant::now() + DEFAULT_KEEP_ALIVE;
        let is_reusable = true;
        Ok(Connection {
            sender,
            socket,
            _task: task,
            overhead,
            reusable_until,
            is_reusable,
        })
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<PooledResponse, SendFailure> {
        connection.overhead.reset();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.overhead.reset();
                let (head, incoming) = response.into_parts();
                let framing = BodyFraming::of(&head).map_err(|cause| {
                    SendFailure::Failed(SendError::Malformed(cause))
                })?;
                let framing = match incoming.is_end_stream() {
                    true => BodyFraming::Length,
                    false => framing,
                };
                let overhead = connection.overhead.clone();
                let connection = with_keep_alive(connection, &head.headers);
                let connection = connection.map(|c| (address, c));
                let idle = self.idle.clone();
                let body = PooledBody {
                    incoming,
                    framing,
                    connection,
                    overhead,
                    idle,
                };
                let (status, headers) = (head.status, head.headers);
                Ok(PooledResponse { status, headers, body })
            }
            Err(mut err) => Err(match err.take_message() {
                Some(request) => SendFailure::Unsent(Box::new(request)),
                None => {
                    let err =
                        send_error(&connection.overhead, &err.into_error());
                    SendFailure::Failed(err)
                }
            }),
        }
    }
}

/// Returns the error of a connection that has failed.
fn send_error(overhead: &Overhead, err: &hyper::Error) -> SendError {
    if overhead.is_exceeded() {
        return SendError::Endless(Overhead::cause());
    }
    match err.is_parse() || has_malformed_chunk(err) {
        true => SendError::Malformed(err.to_string()),
        false => SendError::Broken(err.to_string()),
    }
}

/// Returns whether a body could not be read because of its framing. The parser
/// reports that as invalid input.
fn has_malformed_chunk(err: &hyper::Error) -> bool {
    let source = err.source();
    let source = source.and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|err| {
        matches!(err.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData)
    })
}

enum SendFailure {
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(SendError),
}

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT if there is one, which closes the
/// connection to a peer that no longer acknowledges data.
///
/// If an option cannot be set, the connection is used without it, and the
/// timeout of each request still bounds the wait.
pub(crate) fn set_socket_options(
    stream: &TcpStream,
    user_timeout: Option<Duration>,
) {
    if let Err(err) = stream.set_nodelay(true) {
        debug!("pool: cannot set TCP_NODELAY: {err}.");
    }
    let socket = SockRef::from(stream);
    if let Err(err) = socket.set_tcp_user_timeout(user_timeout) {
        debug!("pool: cannot set TCP_USER_TIMEOUT: {err}.");
    }
}

/// Makes the kernel reset the connection when it is closed, also at the end of
/// the process. After an orderly close it would go on to deliver a request
/// that was given up, once the network lets it through: an order could then
/// reach an engine after those of the next lease holder.
///
/// A connection is closed after a complete response or when its request is
/// given up, so that nothing is lost that anybody waits for.
fn reset_on_close(stream: &TcpStream) {
    if let Err(err) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        debug!("pool: cannot set SO_LINGER: {err}.");
    }
}

/// Sets the time until which the connection may be reused, from the
/// `Keep-Alive` header, or the default without one. Always returns `Some`.
fn with_keep_alive(
    mut connection: Connection,
    headers: &HeaderMap,
) -> Option<Connection> {
    let rest = match keep_alive_timeout(headers) {
        Some(stated) => {
            stated.min(MAX_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN)
        }
        None => DEFAULT_KEEP_ALIVE,
    };
    connection.reusable_until = Instant::now() + rest;
    Some(connection)
}

/// Returns the timeout of a `Keep-Alive: timeout=N` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn requests_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::CONNECTION).iter();
    values.any(|value| {
        value.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close"))
    })
}

impl PooledResponse {
    /// Closes the connection instead of returning it to the pool, because the
    /// data that it delivers cannot be trusted.
    pub fn discard_connection(&mut self) {
        self.body.connection = None;
    }

    /// Reads a body of at most [`MAX_COLLECTED_LEN`] bytes to its end and
    /// returns it.
    ///
    /// # Errors
    ///
    /// As for [`PooledResponse::collect_up_to`].
    pub async fn collect(self) -> Result<Bytes, SendError> {
        self.collect_up_to(MAX_COLLECTED_LEN).await
    }

    /// Reads a body of at most `max_len` bytes to its end and returns it. A
    /// connection whose response is too long is closed.
    ///
    /// # Errors
    ///
    /// If the connection fails before the end of the body, or the body is longer
    /// than `max_len` bytes.
    pub async fn collect_up_to(
        mut self,
        max_len: usize,
    ) -> Result<Bytes, SendError> {
        self.apply_connection_header();
        let mut body = Collected::default();
        while let Some(part) = self.body.next().await {
            body.push(part?);
            if body.len() > max_len {
                return Err(SendError::Endless(format!(
                    "more than {max_len} bytes"
                )));
            }
        }
        Ok(body.into_bytes())
    }

    /// Keeps the connection out of the pool after this response if the
    /// endpoint sent `Connection: close`.
    pub fn apply_connection_header(&mut self) {
        if requests_close(&self.headers)
            && let Some((_, connection)) = &mut self.body.connection
        {
            connection.reusable_until = Instant::now();
        }
    }
}

impl PooledBody {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns the length of the body in bytes, if the response states it.
    pub fn stated_len(&self) -> Option<u64> {
        match self.framing {
            BodyFraming::Length => self.incoming.size_hint().exact(),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }

    /// Returns the next chunk of the body, or `None` after its end.
    ///
    /// # Errors
    ///
    /// If the connection fails before the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, SendError>> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => {
                        self.overhead.reset();
                        return Some(Ok(data));
                    }
                    Err(_) => {}
                },
                Some(Err(err)) => {
                    self.connection = None;
                    return Some(Err(send_error(&self.overhead, &err)));
                }
                None => {
                    self.return_to_pool();
                    return None;
                }
            }
        }
    }

    /// Closes the connection. The rest of the body is lost.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Returns whether the body's stated length has been read. Then
    /// [`PooledBody::next`] returns `None` next.
    pub fn is_complete(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn return_to_pool(&mut self) {
        let Some((address, connection)) = self.connection.take() else {
            return;
        };
        let is_open =
            self.framing != BodyFraming::UntilClose && connection.is_reusable;
        if is_open && Instant::now() < connection.reusable_until {
            let mut idle = self.idle.borrow_mut();
            idle.entry(address).or_default().push(connection);
        }
    }
}
