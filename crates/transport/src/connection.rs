//! One connection of a client to the server.
//!
//! A connection without a request in progress is not known to be idle: a
//! request may have arrived that nobody has read, for as long as the event loop
//! is late. The invariant: the server ends a connection only after a response
//! that announced the end, or right after it has found that no byte of a request
//! is buffered here or waits in the kernel.

use std::{
    cell::Cell,
    convert::Infallible,
    future::{Future, poll_fn},
    io,
    mem::MaybeUninit,
    net::Shutdown as Direction,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use http::{HeaderValue, Request, header};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    rt::{Read, ReadBufCursor, Write},
    server::conn::http1,
    service::service_fn,
};
use log::debug;
use sedgewall_clock::Instant;
use socket2::SockRef;

use crate::{
    body::LocalBody,
    server::{Handler, NOT_RUN_RESPONSE, REFUSAL_TIMEOUT, yield_now},
    shutdown::ShutdownWatch,
    turn::{self, READ_BUF_LEN, Turn, TurnStream},
};

/// The interval at which a connection that is to be closed is checked for a
/// request.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of consecutive checks without a request after which a connection
/// is closed. A caller that has just got a response may send its next request
/// at once. Checks are counted and not time, because a late event loop checks
/// late.
const MAX_QUIET_CHECKS: u32 = 10;

/// How long a connection is read after its sending side was shut down. Closing
/// it with unread bytes resets it, which may discard the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The end of a request's head (RFC 9112, section 2.1).
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// The client closed it, or it failed.
    Client,
    /// A response stated that the connection is closed.
    Announced,
    /// The server shuts down, and no request had arrived.
    Shutdown,
    /// No request had arrived for the idle timeout.
    Idle,
    /// The headers of a request did not arrive in time.
    SlowHeaders,
    /// The shutdown ended, and no request had arrived whole.
    ShutdownEnd,
}

/// How a connection has ended.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
    /// Why it has ended.
    pub reason: CloseReason,
    /// Whether bytes arrived that no response answers.
    pub is_unread: bool,
}

impl CloseReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Client => "client",
            CloseReason::Announced => "announced",
            CloseReason::Shutdown => "shutdown",
            CloseReason::Idle => "idle",
            CloseReason::SlowHeaders => "slow_headers",
            CloseReason::ShutdownEnd => "shutdown_end",
        }
    }
}

/// What a connection is served with.
pub(crate) struct ConnectionOptions {
    pub(crate) handler: Handler,
    pub(crate) shutdown: ShutdownWatch,
    /// How long a connection may be without a request, and how long the headers
    /// of one may take.
    pub(crate) idle_timeout: Rc<dyn Fn() -> Duration>,
    /// The maximum size of the parser's buffer in bytes.
    pub(crate) max_buffer: usize,
}

/// Serves the requests of a connection until it ends.
pub(crate) async fn serve(
    stream: TcpStream,
    options: &ConnectionOptions,
) -> Closed {
    let mut socket = stream.clone();
    let traffic = Rc::new(Traffic::default());
    let reason = serve_requests(stream, &socket, &traffic, options).await;
    let has_partial =
        traffic.partial_since.get().is_some() || traffic.is_turn_over.get();
    let mut is_unread = has_arrived(&socket) == Arrived::Bytes;
    if reason == CloseReason::ShutdownEnd && (has_partial || is_unread) {
        is_unread = !refuse(&mut socket).await;
    }
    if !traffic.is_end_read.get() {
        linger(socket).await;
    }
    Closed { reason, is_unread }
}

/// Refuses a request that was not handled. Returns whether that was sent.
async fn refuse(socket: &mut TcpStream) -> bool {
    let sending = socket.write_all(NOT_RUN_RESPONSE);
    match compio::time::timeout(REFUSAL_TIMEOUT, sending).await {
        Ok(BufResult(Ok(()), _)) => true,
        Ok(BufResult(Err(err), _)) => {
            debug!("http: cannot refuse a request: {err}.");
            false
        }
        Err(_) => false,
    }
}

async fn serve_requests(
    stream: TcpStream,
    socket: &TcpStream,
    traffic: &Rc<Traffic>,
    options: &ConnectionOptions,
) -> CloseReason {
    let service = service_fn(|request| {
        let in_progress = traffic.begin(&request);
        let response = (options.handler)(request);
        async move {
            let mut response = response.await;
            if options.shutdown.is_announced()
                && !in_progress.0.may_have_more()
                && has_arrived(socket) != Arrived::Bytes
            {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            let response = response.map(|inner| {
                let _in_progress = in_progress;
                CountedBody { inner, _in_progress }
            });
            Ok::<_, Infallible>(response)
        }
    });
    let turn = Rc::new(Turn::default());
    let inner = TurnStream::new(stream, turn.clone());
    let io = CountedStream { inner, traffic: traffic.clone() };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(options.max_buffer);
    let mut connection = Box::pin(builder.serve_connection(io, service));
    let mut closing = Closing::new(options);
    let mut reason = None;
    let served = poll_fn(|cx| {
        turn.begin();
        loop {
            // Reads what has arrived before anything is decided.
            if let Poll::Ready(served) = connection.as_mut().poll(cx) {
                return Poll::Ready(served);
            }
            if reason.is_some() {
                return Poll::Pending;
            }
            match closing.poll(traffic, socket, cx) {
                Poll::Ready(
                    due
                    @ (CloseReason::SlowHeaders | CloseReason::ShutdownEnd),
                ) => {
                    reason = Some(due);
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(due) => {
                    reason = Some(due);
                    connection.as_mut().graceful_shutdown();
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    })
    .await;
    if let Err(err) = served {
        debug!("http: connection failed: {err}.");
        return reason.unwrap_or(CloseReason::Client);
    }
    reason.unwrap_or(match traffic.is_end_read.get() {
        true => CloseReason::Client,
        false => CloseReason::Announced,
    })
}

/// Decides when a connection is closed that no response has announced the end
/// of.
struct Closing<'a> {
    options: &'a ConnectionOptions,
    shutdown: ShutdownWatch,
    timer: Pin<Box<dyn Future<Output = ()>>>,
    /// When the timer completes, counted from when it was set.
    interval: Duration,
    is_shutting_down: bool,
    quiet_checks: u32,
    /// How long nothing has arrived, as far as checks have shown.
    quiet_time: Duration,
    /// The number of reads as of the last check.
    reads: u64,
}

impl<'a> Closing<'a> {
    fn new(options: &'a ConnectionOptions) -> Closing<'a> {
        let interval = (options.idle_timeout)();
        Closing {
            options,
            shutdown: options.shutdown.clone(),
            timer: Box::pin(compio::time::sleep(interval)),
            interval,
            is_shutting_down: false,
            quiet_checks: 0,
            quiet_time: Duration::ZERO,
            reads: 0,
        }
    }

    /// Returns why the connection is to be closed now. The caller has just
    /// polled it, so that all that was read before is in its buffer.
    fn poll(
        &mut self,
        traffic: &Traffic,
        socket: &TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<CloseReason> {
        if !self.is_shutting_down && self.shutdown.poll_close(cx).is_ready() {
            self.is_shutting_down = true;
            self.start_over(CHECK_INTERVAL);
        }
        if self.shutdown.poll_refuse(cx).is_ready() && !traffic.is_responding()
        {
            return Poll::Ready(CloseReason::ShutdownEnd);
        }
        while self.timer.as_mut().poll(cx).is_ready() {
            if let Some(reason) = self.check(traffic, socket) {
                return Poll::Ready(reason);
            }
        }
        Poll::Pending
    }

    fn check(
        &mut self,
        traffic: &Traffic,
        socket: &TcpStream,
    ) -> Option<CloseReason> {
        let idle_timeout = (self.options.idle_timeout)();
        let has_arrived = has_arrived(socket) == Arrived::Bytes;
        let partial_since = traffic.partial_since.get();
        // Headers that come byte by byte are never quiet.
        if !self.is_shutting_down
            && !has_arrived
            && partial_since.is_some_and(|at| at.elapsed() >= idle_timeout)
        {
            return Some(CloseReason::SlowHeaders);
        }
        let reads = traffic.reads.get();
        let is_quiet = std::mem::replace(&mut self.reads, reads) == reads
            && !has_arrived
            && !traffic.is_busy();
        if !is_quiet {
            self.start_over(match self.is_shutting_down {
                true => CHECK_INTERVAL,
                false => idle_timeout,
            });
            return None;
        }
        self.quiet_checks += 1;
        self.quiet_time += self.interval;
        let is_partial = partial_since.is_some();
        if self.is_shutting_down {
            self.set_timer(CHECK_INTERVAL);
            // The rest of a request may still come.
            let is_over = !is_partial && self.quiet_checks >= MAX_QUIET_CHECKS;
            return is_over.then_some(CloseReason::Shutdown);
        }
        // The timeout may have changed since the timer was set.
        self.set_timer(idle_timeout.saturating_sub(self.quiet_time));
        (self.quiet_time >= idle_timeout).then_some(match is_partial {
            true => CloseReason::SlowHeaders,
            false => CloseReason::Idle,
        })
    }

    fn start_over(&mut self, interval: Duration) {
        self.quiet_checks = 0;
        self.quiet_time = Duration::ZERO;
        self.set_timer(interval);
    }

    fn set_timer(&mut self, interval: Duration) {
        self.interval = interval;
        self.timer = Box::pin(compio::time::sleep(interval));
    }
}

/// What the kernel has received on a connection and nobody has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Arrived {
    Nothing,
    Bytes,
    /// The other side has shut down its sending side, or the connection failed.
    End,
}

pub(crate) fn has_arrived(socket: &TcpStream) -> Arrived {
    let mut buf = [MaybeUninit::uninit(); 1];
    match SockRef::from(socket).peek(&mut buf) {
        Ok(0) => Arrived::End,
        Ok(_) => Arrived::Bytes,
        Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
            Arrived::Nothing
        }
        Err(_) => Arrived::End,
    }
}

/// Shuts down the sending side of a connection, and reads it to its end.
pub(crate) async fn linger(mut stream: TcpStream) {
    if let Err(err) = SockRef::from(&stream).shutdown(Direction::Write) {
        debug!("http: cannot shut down a connection: {err}.");
        return;
    }
    let reading = async {
        let mut buf = Vec::with_capacity(READ_BUF_LEN);
        loop {
            let BufResult(read, rest) = stream.read(buf).await;
            match read {
                Ok(0) | Err(_) => return,
                Ok(_) => buf = rest,
            }
            buf.clear();
            // A read of bytes that have arrived does not wait.
            yield_now().await;
        }
    };
    // A client that never closes its side gets no more time.
    let _ = compio::time::timeout(LINGER_TIMEOUT, reading).await;
}

/// What was read and written on a connection.
///
/// Offsets count the bytes that were read since the connection began.
#[derive(Default)]
struct Traffic {
    reads: Cell<u64>,
    read_len: Cell<u64>,
    /// The number of bytes of [`HEAD_END`] that the last bytes match.
    matched_len: Cell<usize>,
    /// The offset at which the head of the first request that was not answered
    /// ends.
    head_end: Cell<Option<u64>>,
    /// Whether it is no longer known where requests begin, because one was
    /// followed by another before it was answered, or has no stated length.
    is_unclear: Cell<bool>,
    /// Whether the last read found nothing. hyper reads only when it has used
    /// up its buffer but for a part of a message.
    is_read_pending: Cell<bool>,
    /// Whether the last read was put off to the next turn, so that bytes may
    /// wait that the kernel no longer holds.
    is_turn_over: Cell<bool>,
    /// When the first bytes were read that belong to no request in progress.
    partial_since: Cell<Option<Instant>>,
    is_in_progress: Cell<bool>,
    is_unflushed: Cell<bool>,
    is_end_read: Cell<bool>,
    /// The offset at which the request in progress ends, if it is known.
    request_end: Cell<Option<u64>>,
}

impl Traffic {
    /// Records that a request was parsed.
    fn begin(self: &Rc<Traffic>, request: &Request<Incoming>) -> InProgress {
        let body_len = request.body().size_hint().exact();
        let head_end = self.head_end.take().filter(|_| !self.is_unclear.get());
        let request_end = head_end.zip(body_len).map(|(end, len)| end + len);
        self.request_end.set(request_end);
        self.partial_since.set(None);
        self.is_in_progress.set(true);
        InProgress(self.clone())
    }

    /// Returns whether another request may have been read behind the one in
    /// progress.
    fn may_have_more(&self) -> bool {
        if self.is_read_pending.get() {
            return false;
        }
        let end = self.request_end.get();
        end.is_none_or(|end| self.read_len.get() > end)
    }

    fn end(&self) {
        if self.may_have_more() {
            self.is_unclear.set(true);
        }
        self.is_in_progress.set(false);
        self.request_end.set(None);
        self.matched_len.set(0);
        self.head_end.set(None);
    }

    /// Returns whether a request is in progress, its response is not sent, or
    /// more is about to be read.
    fn is_busy(&self) -> bool {
        self.is_responding() || self.is_turn_over.get()
    }

    /// Returns whether a request is in progress, or its response is not sent.
    fn is_responding(&self) -> bool {
        self.is_in_progress.get() || self.is_unflushed.get()
    }

    fn record_read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            self.is_end_read.set(true);
            return;
        }
        self.reads.set(self.reads.get() + 1);
        if !self.is_in_progress.get() {
            let since = self.partial_since.get();
            self.partial_since.set(since.or_else(|| Some(Instant::now())));
            self.find_head_end(bytes);
        }
        self.read_len.set(self.read_len.get() + bytes.len() as u64);
    }

    fn find_head_end(&self, bytes: &[u8]) {
        if self.head_end.get().is_some() || self.is_unclear.get() {
            return;
        }
        let mut matched = self.matched_len.get();
        for (idx, byte) in bytes.iter().enumerate() {
            matched = match *byte == HEAD_END[matched] {
                true => matched + 1,
                false => usize::from(*byte == HEAD_END[0]),
            };
            if matched == HEAD_END.len() {
                let offset = self.read_len.get() + idx as u64 + 1;
                self.head_end.set(Some(offset));
                matched = 0;
                break;
            }
        }
        self.matched_len.set(matched);
    }
}

/// A request from its parsed head until its response was handed over.
struct InProgress(Rc<Traffic>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// The body of a response, whose request is in progress until it is dropped.
struct CountedBody {
    inner: LocalBody,
    _in_progress: InProgress,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.get_mut().inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A stream that records what is read and written.
struct CountedStream {
    inner: TurnStream,
    traffic: Rc<Traffic>,
}

impl Read for CountedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let CountedStream { inner, traffic } = self.get_mut();
        let read = inner.poll_read_observed(cx, &mut buf, |bytes| {
            traffic.record_read(bytes);
            Ok(())
        })?;
        traffic.is_read_pending.set(matches!(read, turn::Read::Empty));
        traffic.is_turn_over.set(matches!(read, turn::Read::TurnOver));
        match read {
            turn::Read::Done(()) => Poll::Ready(Ok(())),
            turn::Read::Empty | turn::Read::TurnOver => Poll::Pending,
        }
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.traffic.is_unflushed.set(true);
        Write::poll_write(Pin::new(&mut self.inner), cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Write::poll_flush(Pin::new(&mut self.inner), cx))?;
        self.traffic.is_unflushed.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.inner), cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.traffic.is_unflushed.set(true);
        Write::poll_write_vectored(Pin::new(&mut self.inner), cx, bufs)
    }
}
