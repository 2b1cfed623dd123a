//! The HTTP server for callers, operators and metrics scrapers.
//!
//! The server limits the number of connections and the time to receive a
//! request's headers; all other limits are the handler's. When a client
//! disconnects, hyper drops the handler's future or the body's stream, and
//! their destructors cancel the work done for the request. How a connection
//! ends is decided in [`connection`].

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    io::ErrorKind,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use futures_util::{FutureExt, select_biased};
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use log::{debug, warn};
use socket2::SockRef;

use crate::{
    body::LocalBody,
    connection::{self, Closed, ConnectionOptions, linger},
    pool::set_socket_options,
    shutdown::{ShutdownWatch, shutdown},
};

/// The future of a handler's response to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<LocalBody>>>>;

/// A function that handles requests.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> ResponseFuture>;

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The number of connections open at once; the request of a connection
    /// beyond it is refused as not run.
    pub connections: usize,
    /// The time within which the headers of a request must be received.
    pub header_timeout: Duration,
    /// The limits for clients that read slowly. Without them, a connection
    /// may buffer megabytes, and is closed once its client has not read for
    /// [`UNREAD_TIMEOUT`].
    pub slow_clients: Option<SlowClientLimits>,
}

/// Returns the response to all new connections while the server has no time to
/// serve their requests, or `None` if it has.
///
/// The response is sent as it is and must state that the connection is closed.
pub type Overload = Rc<dyn Fn() -> Option<Bytes>>;

/// The limits of connections to clients that read slowly.
#[derive(Clone, Copy, Debug)]
pub struct SlowClientLimits {
    /// The maximum size of each buffer of a connection, here and in the
    /// kernel, in bytes. Request headers must fit.
    pub max_buffer: usize,
    /// How long a client may leave sent bytes unread or unacknowledged before
    /// its connection is closed.
    pub unread_timeout: Duration,
}

/// Error of reading a request's body.
#[derive(Debug, displaydoc::Display)]
pub enum BodyError {
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the body did not come within {0:?}
    TooSlow(Duration),
    /// the body broke off: {0}
    Broken(String),
}

impl std::error::Error for BodyError {}

/// How long a client may leave sent bytes unread or unacknowledged before its
/// connection is closed, unless [`SlowClientLimits`] say otherwise. The kernel
/// counts the time also while the client's receive window is closed, so that a
/// shorter one would cut off a client that pauses.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of connections that are accepted in one turn of the event
/// loop. More of them may have come than can be served.
const MAX_ACCEPTS_PER_TURN: u64 = 64;

/// The number of bytes of a request that are read before it is refused. The
/// rest is read after the response.
const REFUSED_READ_LEN: usize = 16 << 10;

/// The maximum size of each buffer of a connection in bytes, unless
/// [`SlowClientLimits`] say otherwise. Request headers must fit.
const MAX_BUFFER: usize = 64 << 10;

/// The maximum number of connections that are being refused at once, each of
/// which takes a file descriptor.
const MAX_REFUSALS: usize = 128;

/// How long a refused connection may take to send its request, and to take the
/// response.
pub(crate) const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The response to a request that no handler has seen.
pub(crate) const NOT_RUN_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\nretry-after: 0.100\r\ncontent-length: 0\r\n\r\n";

/// The delay before the next accept after one failed, which mostly happens
/// when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The open connections of servers, and whether these accept more.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
    accepting: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Returns whether no server accepts connections, and none is open. Until
    /// then, a request or a part of a response may have to be read or sent.
    pub fn have_ended(&self) -> bool {
        self.accepting.get() == 0 && self.count.get() == 0
    }
}

/// Counts up until it is dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn begin(count: &Rc<Cell<usize>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves connections without ever stopping.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
) {
    let (_running, watch) = shutdown();
    Server::new(handler, limits).shutdown(watch).run(listener).await;
}

/// A server, built with what it needs beyond a handler and limits.
pub struct Server {
    limits: ServerLimits,
    options: ConnectionOptions,
    overload: Overload,
    open: OpenConnections,
    refusals: Rc<Cell<usize>>,
    on_close: Rc<dyn Fn(Closed)>,
}

impl Server {
    /// Returns a server that is never overloaded and shuts down at once if no
    /// [`Server::shutdown`] is set.
    pub fn new(handler: Handler, limits: ServerLimits) -> Server {
        let (_, shutdown) = shutdown();
        let header_timeout = limits.header_timeout;
        let options = ConnectionOptions {
            handler,
            shutdown,
            idle_timeout: Rc::new(move || header_timeout),
            max_buffer: limits
                .slow_clients
                .map_or(MAX_BUFFER, |limits| limits.max_buffer),
        };
        Server {
            limits,
            options,
            overload: Rc::new(|| None),
            open: OpenConnections::default(),
            refusals: Rc::default(),
            on_close: Rc::new(|_| {}),
        }
    }

    /// Sets the shutdown that the server follows.
    pub fn shutdown(mut self, shutdown: ShutdownWatch) -> Server {
        self.options.shutdown = shutdown;
        self
    }

    /// Sets the response to new connections while there is no time to serve
    /// their requests.
    pub fn overload(mut self, overload: Overload) -> Server {
        self.overload = overload;
        self
    }

    /// Sets how long a connection may be without a request, instead of the
    /// header timeout. A change applies to open connections too.
    pub fn idle_timeout(
        mut self,
        idle_timeout: Rc<dyn Fn() -> Duration>,
    ) -> Server {
        self.options.idle_timeout = idle_timeout;
        self
    }

    /// Sets where open connections are counted.
    pub fn count_in(mut self, open: OpenConnections) -> Server {
        self.open = open;
        self
    }

    /// Sets what is called whenever a connection has ended.
    pub fn on_close(mut self, on_close: Rc<dyn Fn(Closed)>) -> Server {
        self.on_close = on_close;
        self
    }

    /// Serves connections until the shutdown says that no more are accepted.
    /// While the overload returns a response, new connections whose request
    /// has arrived get that response and are closed, which takes a small part
    /// of the time of a request.
    ///
    /// Returns when the shutdown stops accepting, or up to 50 ms later if an
    /// accept has just failed. Connections that had come by then are accepted.
    /// Open connections are served in their own tasks, so the runtime must run
    /// on until they have ended, as [`OpenConnections`] shows.
    pub async fn run(self, listener: TcpListener) {
        let _accepting = CountGuard::begin(&self.open.accepting);
        let server = Rc::new(self);
        let mut stopped = server.options.shutdown.stop_accepting().fuse();
        let mut accepted_len = 0;
        loop {
            accepted_len += 1;
            if accepted_len % MAX_ACCEPTS_PER_TURN == 0 {
                // A connection that has come is accepted without waiting.
                yield_now().await;
            }
            let mut accept = Box::pin(listener.accept()).fuse();
            // An accept that has completed is not dropped with its connection.
            let accepted = select_biased! {
                accepted = accept => accepted,
                _ = stopped => break,
            };
            drop(accept);
            match accepted {
                Ok((stream, _)) => server.clone().begin(stream),
                Err(err) => {
                    warn!("http: accept failed: {err}.");
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        server.accept_queued(&listener);
        // Dropping the listener refuses new connections instead of accepting
        // requests that cannot be finished.
    }

    /// Accepts the connections that the kernel has completed.
    fn accept_queued(self: &Rc<Server>, listener: &TcpListener) {
        loop {
            let accepted = SockRef::from(listener)
                .accept()
                .and_then(|(socket, _)| TcpStream::from_std(socket.into()));
            match accepted {
                Ok(stream) => self.clone().begin(stream),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) => {
                    warn!("http: accept failed at the shutdown: {err}.");
                    return;
                }
            }
        }
    }

    /// Serves a connection in a task of its own, or refuses it.
    fn begin(self: Rc<Server>, stream: TcpStream) {
        if self.open.count() >= self.limits.connections {
            debug!("http: connection limit reached.");
            let response = Bytes::from_static(NOT_RUN_RESPONSE);
            self.spawn_refusal(stream, response, false);
            return;
        }
        if let Some(response) = (self.overload)()
            && discard_request(&stream)
        {
            self.spawn_refusal(stream, response, true);
            return;
        }
        let guard = CountGuard::begin(&self.open.count);
        compio::runtime::spawn(async move {
            // TCP_NODELAY, because streamed tokens are small and must not be
            // delayed to be sent together; TCP_USER_TIMEOUT, because a
            // caller's machine that lost power does not close its connection.
            set_socket_options(&stream, Some(UNREAD_TIMEOUT));
            if let Some(slow_clients) = self.limits.slow_clients {
                set_slow_client_options(&stream, slow_clients);
            }
            let closed = connection::serve(stream, &self.options).await;
            (self.on_close)(closed);
            drop(guard);
        })
        .detach();
    }

    /// Responds to the request on a new connection without parsing it, once it
    /// has come. Beyond [`MAX_REFUSALS`] at once, connections are closed.
    fn spawn_refusal(
        self: Rc<Server>,
        mut stream: TcpStream,
        response: Bytes,
        has_come: bool,
    ) {
        if self.refusals.get() >= MAX_REFUSALS {
            debug!("http: too many refusals, closed a new connection.");
            return;
        }
        let guard = CountGuard::begin(&self.refusals);
        compio::runtime::spawn(async move {
            let refusing = async {
                if !has_come {
                    let buf = Vec::with_capacity(REFUSED_READ_LEN);
                    let BufResult(read, _) = stream.read(buf).await;
                    read?;
                }
                stream.write_all(response).await.0
            };
            let sent = compio::time::timeout(REFUSAL_TIMEOUT, refusing).await;
            match sent {
                Ok(Ok(())) => linger(stream).await,
                Ok(Err(err)) => {
                    debug!("http: cannot refuse a connection: {err}.");
                }
                Err(_) => debug!("http: no request on a refused connection."),
            }
            drop(guard);
        })
        .detach();
    }
}

/// Reads what has come of the request on a new connection. Returns whether
/// there was anything.
fn discard_request(stream: &TcpStream) -> bool {
    let mut buf = [MaybeUninit::uninit(); REFUSED_READ_LEN];
    SockRef::from(stream).recv(&mut buf).is_ok()
}

/// Lets all other tasks that are ready run before the caller goes on.
pub async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Sets the socket options for a client that may read slowly.
///
/// The kernel applies TCP_USER_TIMEOUT also while the client's receive window
/// is closed, which would cut off a client that pauses.
fn set_slow_client_options(stream: &TcpStream, limits: SlowClientLimits) {
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_user_timeout(Some(limits.unread_timeout))
        .and_then(|()| socket.set_send_buffer_size(limits.max_buffer));
    if let Err(err) = set {
        debug!("http: cannot set options for slow clients: {err}.");
    }
}

/// Reads a request's body of at most `max_len` bytes to its end.
///
/// # Errors
///
/// If the body is longer than `max_len`, is not complete within `within`, or
/// the client disconnects.
pub async fn read_body(
    body: Incoming,
    max_len: usize,
    within: Duration,
) -> Result<Bytes, BodyError> {
    let collected = Limited::new(body, max_len).collect();
    let Ok(collected) = compio::time::timeout(within, collected).await else {
        return Err(BodyError::TooSlow(within));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            Err(BodyError::TooLong(max_len))
        }
        Err(err) => Err(BodyError::Broken(err.to_string())),
    }
}
