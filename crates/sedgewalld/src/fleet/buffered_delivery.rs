//! Delivery of responses to callers that may read slowly, under the budget of
//! buffered bytes.
//!
//! While a caller reads as fast as its endpoint sends, its response is relayed
//! without a buffer. Once it does not read for a while, a task reads the rest
//! ahead, because endpoints abort a response that stays unread. If the limit or
//! the budget is reached, that task stops reading, which holds the endpoint
//! back. If the caller disconnects, the task and the relay are dropped, which
//! closes the connection to the endpoint.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::poll_fn,
    io,
    rc::{Rc, Weak},
    task::{Poll, Waker},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use compio::runtime::JoinHandle;
use futures_util::stream;
use http::{HeaderValue, Response, header};
use sedgewall_clock::Instant;
use sedgewall_platform::call::caller_response_headers;
use sedgewall_transport::{LocalBody, SendError};

use super::{
    attempt::{CallerRequest, GoodAnswer, Responder},
    buffers::{Buffers, CHECK_INTERVAL, Reserved},
    delivery,
    in_flight::OpenRequestGuard,
    instance::FleetInstance,
    notify::Notify,
    progress::Progress,
    relay::StreamRelay,
    request_log,
};

/// The maximum number of bytes that are read ahead for one caller.
const MAX_READ_AHEAD: u64 = 256 << 10;

/// The bytes that a buffered chunk is counted for beyond its length, because
/// the chunks of a stream are often shorter than what it takes to store them.
const CHUNK_OVERHEAD: u64 = 64;

/// The size of the chunks of a response that is read whole.
const CHUNK_LEN: usize = 16 << 10;

/// A whole response up to this size is handed to the connection at once. It is
/// no larger than what the connection buffers in any case.
const SMALL_RESPONSE: u64 = 16 << 10;

/// The interval at which a task that reads ahead checks for room in the
/// budget.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// After the deadline, the response of a caller that has not read anything for
/// this long is terminated. A caller that reads 10 KB a second takes 64 KB, the
/// buffer of its connection, in less.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// How long the connection to the caller stays open after its response was
/// terminated, so that it can still take the events that it was handed.
const FLUSH_TIME: Duration = Duration::from_secs(1);

/// A response on its way to its caller.
pub(crate) struct Delivery {
    pub(super) reserved: Reserved,
    /// The request, whose body is needed only as long as it may be sent
    /// again.
    call: Weak<CallerRequest>,
    request_id: String,
    deadline: Instant,
    /// Counts the request as open, if there is no relay that does.
    _open: Option<OpenRequestGuard>,
    /// The relay while nobody reads from it.
    relay: RefCell<Option<Box<StreamRelay>>>,
    /// Whether a task reads ahead and has the relay.
    is_reading_ahead: Cell<bool>,
    reader: RefCell<Option<JoinHandle<()>>>,
    chunks: RefCell<VecDeque<Chunk>>,
    /// The bytes that are reserved for `chunks`.
    reserved_bytes: Cell<u64>,
    /// Notified when the caller has taken a chunk.
    room_notify: Notify,
    /// The caller's side, while it waits for a chunk that is read ahead.
    waiting_caller: RefCell<Option<Waker>>,
    /// For how many checks in a row the caller has not read.
    idle_checks: Cell<u32>,
    is_terminated: Rc<Cell<bool>>,
}

/// A chunk that its caller has not taken yet.
struct Chunk {
    bytes: io::Result<Bytes>,
    reserved: u64,
}

/// Returns a body that forwards a stream's events.
pub(super) fn stream_body(
    buffers: &Rc<Buffers>,
    relay: StreamRelay,
) -> LocalBody {
    let call = relay.call.clone();
    let reserved = Reserved::open(buffers);
    let source = Source::Relay(Box::new(relay));
    body(Delivery::new(reserved, &call, source, VecDeque::new()))
}

/// Reads a response that is not streamed to its end and returns it. If it
/// breaks off, another attempt is made where the route allows one. If it does
/// not fit the budget, its end is forwarded as it arrives.
pub(super) async fn forward_whole(
    instance: &Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    mut progress: Progress,
    mut good: GoodAnswer,
    responder: Responder,
    open: OpenRequestGuard,
) -> Response<LocalBody> {
    let status = good.answer.status;
    let mut headers = caller_response_headers(&good.answer.headers);
    let head_time = call.arrived.elapsed();
    let framing = good.answer.body.framing();
    let reserved = Reserved::open(&instance.memory.responses);
    let mut parts = Parts::default();
    let reading = read_parts(&reserved, &mut good, &mut parts);
    let read = compio::time::timeout(call.left(), reading);
    let Some(read) = instance.before_stop_ends(read).await else {
        return delivery::unfinished(instance, &call, &progress);
    };
    let chunks = parts.into_chunks();
    let len = chunks.iter().map(Chunk::len).sum::<usize>();
    let body = match read {
        Ok(Ok(IsWhole(true))) => {
            let delivered = request_log::Delivered {
                head_time,
                framing,
                bytes: len,
                longest_pause: Duration::ZERO,
            };
            delivery::served_whole(
                instance, &call, &progress, &responder, status, &delivered,
            );
            if len as u64 <= SMALL_RESPONSE {
                LocalBody::full(concat(chunks))
            } else {
                headers.insert(header::CONTENT_LENGTH, HeaderValue::from(len));
                let source = Source::Whole(open);
                body(Delivery::new(reserved, &call, source, chunks))
            }
        }
        Ok(Ok(IsWhole(false))) => {
            let relay = StreamRelay::after_chunks(
                instance.clone(),
                call.clone(),
                progress,
                good,
                responder,
                open,
                (head_time, len),
            );
            let source = Source::Relay(Box::new(relay));
            body(Delivery::new(reserved, &call, source, chunks))
        }
        Ok(Err(err)) => {
            delivery::record_broken(instance, &call, &responder, &err);
            drop((good, reserved, chunks));
            let again = delivery::send_again(
                instance,
                &call,
                &mut progress,
                &responder,
            );
            let Some((good, responder)) = again.await else {
                return delivery::outcome_unknown(&call, &progress);
            };
            // Bounded by the attempts that the route allows.
            let forwarding =
                forward_whole(instance, call, progress, good, responder, open);
            return Box::pin(forwarding).await;
        }
        Err(_) => return delivery::timed_out(instance, &call, &progress),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Where the rest of a response comes from.
enum Source {
    Relay(Box<StreamRelay>),
    /// The response was read to its end.
    Whole(OpenRequestGuard),
}

/// Whether a response was read to its end.
struct IsWhole(bool);

/// Reads a response until its end, or until a part does not fit the budget.
async fn read_parts(
    reserved: &Reserved,
    good: &mut GoodAnswer,
    parts: &mut Parts,
) -> Result<IsWhole, SendError> {
    let body = &mut good.answer.body;
    let max_len = reserved.buffers().max_response_len();
    check_len(body.stated_len().unwrap_or(0), max_len)?;
    let mut len = 0;
    while let Some(bytes) = body.next().await {
        let bytes = bytes?;
        len += bytes.len() as u64;
        check_len(len, max_len)?;
        let cost = bytes.len() as u64;
        let fits = reserved.reserve(cost);
        parts.push(bytes, if fits { cost } else { 0 });
        if !fits {
            return Ok(IsWhole(false));
        }
    }
    Ok(IsWhole(true))
}

/// Returns an error if a response that is no stream is longer than it may be.
pub(super) fn check_len(len: u64, max_len: u64) -> Result<(), SendError> {
    match len <= max_len {
        true => Ok(()),
        false => Err(SendError::Endless(format!("more than {max_len} bytes"))),
    }
}

/// The parts of a response that were read, in chunks of their own: a part may
/// keep a buffer many times its length.
#[derive(Default)]
struct Parts {
    chunks: VecDeque<Chunk>,
    last: BytesMut,
    last_reserved: u64,
}

impl Parts {
    fn push(&mut self, mut bytes: Bytes, reserved: u64) {
        self.last_reserved += reserved;
        while !bytes.is_empty() {
            if self.last.capacity() == 0 {
                self.last.reserve(CHUNK_LEN);
            }
            let room = CHUNK_LEN - self.last.len();
            let part = bytes.split_to(room.min(bytes.len()));
            self.last.extend_from_slice(&part);
            if self.last.len() == CHUNK_LEN {
                self.finish_last();
            }
        }
    }

    fn finish_last(&mut self) {
        if self.last.is_empty() {
            return;
        }
        let bytes = Ok(std::mem::take(&mut self.last).freeze());
        let reserved = std::mem::take(&mut self.last_reserved);
        self.chunks.push_back(Chunk { bytes, reserved });
    }

    fn into_chunks(mut self) -> VecDeque<Chunk> {
        self.finish_last();
        self.chunks
    }
}

fn concat(chunks: VecDeque<Chunk>) -> Bytes {
    let mut parts: Vec<Bytes> =
        chunks.into_iter().filter_map(|chunk| chunk.bytes.ok()).collect();
    match parts.len() {
        0 => Bytes::new(),
        1 => parts.remove(0),
        _ => parts.concat().into(),
    }
}

fn body(delivery: Rc<Delivery>) -> LocalBody {
    let side = CallerSide(delivery);
    LocalBody::chunks(stream::unfold(side, |side| async move {
        let item = side.0.next().await?;
        Some((item, side))
    }))
}

impl Chunk {
    fn new(bytes: io::Result<Bytes>) -> Chunk {
        // A chunk may keep a buffer many times its length.
        let bytes = bytes.map(|bytes| Bytes::copy_from_slice(&bytes));
        let len = bytes.as_ref().map(|bytes| bytes.len() as u64);
        let reserved = len.map_or(0, |len| len + CHUNK_OVERHEAD);
        Chunk { bytes, reserved }
    }

    fn len(&self) -> usize {
        self.bytes.as_ref().map_or(0, Bytes::len)
    }
}

/// The side of a delivery that the caller's connection reads from. If it is
/// dropped, the caller has left or has the whole response.
struct CallerSide(Rc<Delivery>);

impl Drop for CallerSide {
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl Delivery {
    fn new(
        reserved: Reserved,
        call: &Rc<CallerRequest>,
        source: Source,
        chunks: VecDeque<Chunk>,
    ) -> Rc<Delivery> {
        let is_terminated: Rc<Cell<bool>> = Rc::default();
        let (relay, open) = match source {
            Source::Relay(mut relay) => {
                relay.is_terminated = Some(is_terminated.clone());
                (Some(relay), None)
            }
            Source::Whole(open) => (None, Some(open)),
        };
        let reserved_bytes = chunks.iter().map(|chunk| chunk.reserved).sum();
        let delivery = Rc::new(Delivery {
            reserved,
            call: Rc::downgrade(call),
            request_id: call.metadata.request_id.clone(),
            deadline: call.deadline,
            _open: open,
            relay: RefCell::new(relay),
            is_reading_ahead: Cell::new(false),
            reader: RefCell::default(),
            chunks: RefCell::new(chunks),
            reserved_bytes: Cell::new(reserved_bytes),
            room_notify: Notify::default(),
            waiting_caller: RefCell::default(),
            idle_checks: Cell::new(0),
            is_terminated,
        });
        delivery.reserved.buffers().register(&delivery);
        delivery
    }

    /// Returns the next chunk for the caller.
    async fn next(&self) -> Option<io::Result<Bytes>> {
        loop {
            self.idle_checks.set(0);
            if self.is_terminated.get() {
                compio::time::sleep(FLUSH_TIME).await;
                return Some(Err(io::Error::other("response terminated")));
            }
            if let Some(bytes) = self.take_chunk() {
                return Some(bytes);
            }
            let relay = self.relay.borrow_mut().take();
            if let Some(mut relay) = relay {
                let item = relay.next().await;
                *self.relay.borrow_mut() = Some(relay);
                return item;
            }
            if !self.is_reading_ahead.get() {
                return None;
            }
            self.room_notify.notify_waiting();
            self.chunk_or_change().await;
        }
    }

    fn take_chunk(&self) -> Option<io::Result<Bytes>> {
        let chunk = self.chunks.borrow_mut().pop_front()?;
        self.release(chunk.reserved);
        self.room_notify.notify_waiting();
        if self.chunks.borrow().is_empty()
            && let Some(relay) = self.relay.borrow_mut().as_mut()
        {
            relay.log_if_served();
        }
        Some(chunk.bytes)
    }

    fn release(&self, bytes: u64) {
        self.reserved_bytes.set(self.reserved_bytes.get() - bytes);
        self.reserved.release(bytes);
    }

    /// Waits until [`Delivery::wake_caller`] is called.
    async fn chunk_or_change(&self) {
        let mut has_waited = false;
        poll_fn(|cx| {
            let mut waiting = self.waiting_caller.borrow_mut();
            if has_waited && waiting.is_none() {
                return Poll::Ready(());
            }
            has_waited = true;
            *waiting = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    fn wake_caller(&self) {
        if let Some(waker) = self.waiting_caller.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Begins to read ahead if the caller has not read since the last check,
    /// and terminates the response if the caller has stopped reading for good.
    pub(super) fn check_caller(self: &Rc<Delivery>) {
        let is_at_rest = self.relay.borrow().is_some();
        if !is_at_rest && self.chunks.borrow().is_empty() {
            // The caller waits for the endpoint.
            return;
        }
        let idle_checks = self.idle_checks.get() + 1;
        self.idle_checks.set(idle_checks);
        if idle_checks < 2 || self.is_terminated.get() {
            return;
        }
        let is_overdue = Instant::now() >= self.deadline;
        if is_overdue && CHECK_INTERVAL * idle_checks >= CALLER_STALL_TIMEOUT {
            self.terminate("caller_stalled");
            return;
        }
        let relay = self.relay.borrow_mut().take_if(|relay| !relay.is_over());
        if let Some(relay) = relay {
            self.is_reading_ahead.set(true);
            let reading = self.clone().read_ahead(relay);
            let reader = compio::runtime::spawn(reading);
            *self.reader.borrow_mut() = Some(reader);
        }
    }

    /// Reads until the end of the response, or until the caller has taken
    /// everything and waits for more.
    async fn read_ahead(self: Rc<Delivery>, mut relay: Box<StreamRelay>) {
        relay.set_reading_ahead(true);
        while let Some(item) = relay.next().await {
            if self.push(Chunk::new(item)).await {
                break;
            }
        }
        relay.set_reading_ahead(false);
        *self.relay.borrow_mut() = Some(relay);
        self.is_reading_ahead.set(false);
        self.wake_caller();
    }

    /// Adds a chunk once there is room for it. Returns whether the caller had
    /// taken everything and waited for this chunk.
    async fn push(&self, mut chunk: Chunk) -> bool {
        loop {
            let is_awaited = self.waiting_caller.borrow().is_some()
                && self.chunks.borrow().is_empty();
            let reserved_bytes = self.reserved_bytes.get();
            let fits = reserved_bytes + chunk.reserved <= MAX_READ_AHEAD
                || reserved_bytes == 0;
            if is_awaited {
                chunk.reserved = 0;
            }
            if is_awaited
                || fits && self.reserved.reserve_spare(chunk.reserved)
            {
                self.reserved_bytes.set(reserved_bytes + chunk.reserved);
                self.chunks.borrow_mut().push_back(chunk);
                self.wake_caller();
                return is_awaited;
            }
            self.room_notify.wait(ROOM_CHECK_INTERVAL).await;
        }
    }

    /// Terminates the response, whose bytes the budget no longer counts.
    pub(super) fn evict(&self) {
        metrics::counter!("sedgewall_buffer_evictions_total").increment(1);
        self.terminate("evicted");
    }

    /// Ends the response after the last chunk that its caller has taken. The
    /// chunks of a resumable stream end where an event does.
    fn terminate(&self, cause: &str) {
        let buffers = self.reserved.buffers();
        let call = self.call.upgrade();
        let sent_to = call.as_ref().and_then(|c| c.sent_to.borrow().clone());
        tracing::warn!(
            event = "response_terminated",
            request = self.request_id,
            route = call.as_ref().map(|call| &call.route.name),
            endpoint = sent_to.map(|to| to.endpoint),
            cause,
            bytes = self.reserved_bytes.get(),
            buffered_bytes = buffers.held_bytes(),
            budget_bytes = buffers.limit(),
        );
        self.is_terminated.set(true);
        self.stop();
        self.wake_caller();
    }

    /// Drops what the caller has not taken. Dropping the relay closes the
    /// connection to the endpoint.
    fn stop(&self) {
        let reader = self.reader.borrow_mut().take();
        drop(reader);
        self.is_reading_ahead.set(false);
        let relay = self.relay.borrow_mut().take();
        drop(relay);
        let chunks = std::mem::take(&mut *self.chunks.borrow_mut());
        self.release(self.reserved_bytes.get());
        drop(chunks);
    }
}
