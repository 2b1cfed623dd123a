//! Forwards the body of a streamed response as it arrives.
//!
//! If its engine fails, a resumable stream continues on another engine after
//! the last complete event. Any other stream ends where it broke, and never
//! looks complete. A response that ends inside an event has broken off,
//! whatever its framing says.
//!
//! An engine that is silent has not failed. Its stream moves if another engine
//! takes it, and stays open until then.

use std::{cell::Cell, future::pending, io, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, select_biased, stream};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::SoftwareVersion,
    poison::Loss,
    stream_events::{EarlyEnd, StreamEvents},
    stream_origins::StreamOrigin,
};
use sedgewall_platform::call::is_event_stream;
use sedgewall_transport::{BodyFraming, LocalBody, PooledBody, SendError};

use super::{
    attempt::{
        self, CallerRequest, GoodAnswer, Responder, Resumed, SendGuard, SentTo,
    },
    buffered_delivery,
    buffers::Kept,
    forwarding,
    in_flight::OpenRequestGuard,
    instance::FleetInstance,
    open_attempts::{
        Destination, MAX_ENGINE_OVERLAP, OpenAttempts, silent_or_until,
    },
    poison,
    progress::Progress,
    refusal::Reason,
    request_log,
    retries::{self, SEEK_INTERVAL},
};

/// A lower bound of the silence after which a resumable stream looks for
/// another engine.
const MIN_SILENCE: Duration = Duration::from_secs(2);

/// A lower bound of that silence, in multiples of the route's target latency.
/// The longest of the three bounds applies.
const SILENCE_TARGETS: u32 = 4;

/// A lower bound of that silence, in multiples of the longest gap between
/// events that is in time.
const SILENCE_GAPS: u32 = 8;

/// The bytes of an event that has not ended which need no reservation, so that
/// a sound stream does not depend on the room that others leave.
const UNRESERVED_LEN: u64 = 4 << 10;

pub(super) struct StreamRelay {
    instance: Rc<FleetInstance>,
    pub(super) call: Rc<CallerRequest>,
    progress: Progress,
    responder: Responder,
    body: PooledBody,
    /// Whether the status is that of a success.
    is_success: bool,
    send_guard: Option<SendGuard>,
    _open: OpenRequestGuard,
    events: StreamEvents,
    /// The reservation for an event that has not ended.
    kept: Kept,
    /// Whether the stream has begun, so that it may go on only at the software
    /// version of its first event.
    has_begun: bool,
    /// The time from the arrival of the request to the response headers.
    head_time: Duration,
    bytes: usize,
    /// Whether the endpoint has sent bytes of the body. An endpoint at which a
    /// stream is resumed begins anew.
    is_answered: bool,
    /// When the last bytes arrived.
    last_bytes: Instant,
    /// The longest time without a byte, after the headers.
    longest_pause: Duration,
    /// The longest time for which this instance waited for bytes. Unlike the
    /// pauses, it does not include the time that a slow caller takes.
    longest_wait: Duration,
    is_over: bool,
    /// Whether an engine has failed and another one is sought.
    is_resuming: Rc<Cell<bool>>,
    /// Whether the response is read ahead of its caller.
    is_reading_ahead: bool,
    /// Whether the endpoint has completed a response that its caller has not
    /// taken yet, so that it is not logged as served.
    has_unlogged_end: bool,
    /// Whether the response was terminated because of its size, which is
    /// logged where it is done.
    pub(super) is_terminated: Option<Rc<Cell<bool>>>,
}

/// How a stream failed before its end.
enum StreamFailure {
    Broken(SendError),
    /// The response ended, and its stream did not.
    Early(EarlyEnd),
    /// The stream was moved from a silent engine to another one, which failed.
    NotMoved(Reason),
    DeadlinePassed,
}

impl StreamFailure {
    /// Returns the error if the endpoint was alive when its response failed.
    fn of_live_endpoint(&self) -> Option<&SendError> {
        match self {
            StreamFailure::Broken(err) if err.is_of_live_endpoint() => {
                Some(err)
            }
            _ => None,
        }
    }
}

/// What comes first while a response is read.
enum Step {
    Read(Option<Result<Bytes, SendError>>),
    /// The engine has been silent for long enough to look for another one.
    Silent,
    /// The stream can move there.
    MayMove(Destination),
    DeadlinePassed,
}

/// The outcome of an attempt to move a stream from a silent engine.
enum Move {
    /// The stream goes on at the other engine.
    Moved,
    /// The silent engine has sent something meanwhile.
    Awake(Option<Result<Bytes, SendError>>),
    /// The other engine failed, and the silent one is still open.
    Failed,
}

/// Returns a body that forwards an engine's events, and whether it looks for
/// another engine at the moment because one has failed.
pub(crate) fn stream(
    instance: Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    progress: Progress,
    good: GoodAnswer,
    responder: Responder,
    open: OpenRequestGuard,
) -> (LocalBody, Rc<Cell<bool>>) {
    let events = match is_event_stream(&good.answer.headers) {
        true if call.route.is_resumable => {
            StreamEvents::resumable(call.metadata.last_event.clone())
        }
        true => StreamEvents::passed_on(),
        false => StreamEvents::Opaque,
    };
    let buffers = instance.memory.slow_readers.clone();
    let head_time = call.arrived.elapsed();
    let mut relay = StreamRelay::after_chunks(
        instance,
        call,
        progress,
        good,
        responder,
        open,
        (head_time, 0),
    );
    relay.events = events;
    let is_resuming = relay.is_resuming.clone();
    if let Some(buffers) = buffers {
        let body = buffered_delivery::stream_body(&buffers, relay);
        return (body, is_resuming);
    }
    let body = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    (LocalBody::chunks(body), is_resuming)
}

impl StreamRelay {
    /// Returns a relay for the rest of a response of which some bytes were
    /// read. It is not resumed on another engine.
    pub(super) fn after_chunks(
        instance: Rc<FleetInstance>,
        call: Rc<CallerRequest>,
        progress: Progress,
        good: GoodAnswer,
        responder: Responder,
        open: OpenRequestGuard,
        (head_time, bytes): (Duration, usize),
    ) -> StreamRelay {
        StreamRelay {
            head_time,
            kept: Kept::open(&instance.memory.responses),
            instance,
            call,
            progress,
            responder,
            is_success: good.answer.status.is_success(),
            body: good.answer.body,
            send_guard: Some(good.guard),
            _open: open,
            events: StreamEvents::Opaque,
            has_begun: false,
            bytes,
            is_answered: bytes > 0,
            last_bytes: Instant::now(),
            longest_pause: Duration::ZERO,
            longest_wait: Duration::ZERO,
            is_over: false,
            is_resuming: Rc::default(),
            is_reading_ahead: false,
            has_unlogged_end: false,
            is_terminated: None,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over
    }

    pub(super) fn set_reading_ahead(&mut self, is_reading_ahead: bool) {
        self.is_reading_ahead = is_reading_ahead;
    }

    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_over {
            self.log_if_served();
            return None;
        }
        loop {
            let began = Instant::now();
            let read = self.read().await;
            self.longest_wait = self.longest_wait.max(began.elapsed());
            let whole = read.and_then(|bytes| self.push(bytes));
            match whole {
                Ok(Some(whole)) => {
                    if !whole.is_empty() {
                        self.begin();
                        self.bytes += whole.len();
                        if !self.call.route.is_stream {
                            self.finish_if_complete().await;
                        }
                        return Some(Ok(whole));
                    }
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(failure) => {
                    self.record_lost_run(&failure);
                    self.is_resuming.set(true);
                    let is_resumed = self.resume(&failure).await;
                    self.is_resuming.set(false);
                    if !is_resumed {
                        return Some(Err(self.fail(&failure)));
                    }
                }
            }
        }
    }

    /// Appends bytes of the response, and returns those for the caller, or
    /// `None` at its end.
    fn push(
        &mut self,
        bytes: Option<Bytes>,
    ) -> Result<Option<Bytes>, StreamFailure> {
        let Some(bytes) = bytes else { return Ok(None) };
        self.is_answered = true;
        self.record_pause();
        if !(self.call.route.is_stream && self.is_success) {
            let max_len = self.instance.memory.responses.max_response_len();
            let len = self.bytes as u64 + bytes.len() as u64;
            buffered_delivery::check_len(len, max_len).map_err(|err| {
                self.body.close();
                StreamFailure::Broken(err)
            })?;
        }
        let whole = self.events.push(bytes).map_err(|err| err.to_string());
        let pending_len = self.events.pending_len() as u64;
        let reserved_len = pending_len.saturating_sub(UNRESERVED_LEN);
        let whole =
            whole.and_then(|whole| match self.kept.set(reserved_len) {
                true => Ok(Some(whole)),
                false => {
                    Err(format!("no room for {pending_len} bytes of an event"))
                }
            });
        whole.map_err(|cause| {
            self.body.close();
            StreamFailure::Broken(SendError::Endless(cause))
        })
    }

    /// Records where a resumable stream began, once an event of it has come.
    fn begin(&mut self) {
        if self.has_begun || !self.events.has_event() {
            return;
        }
        self.has_begun = true;
        let (instance, call) = (&self.instance, &self.call);
        if self.progress.software_version.is_none() {
            self.progress.software_version =
                known_version(instance, &self.responder);
        }
        let Some(version) = self.progress.software_version.clone() else {
            return;
        };
        let began_as = match &call.resumed {
            Resumed::From(_) => call.metadata.resumes.as_ref(),
            Resumed::None | Resumed::Unknown => None,
        };
        let id = began_as.unwrap_or(&call.metadata.request_id);
        let origin = StreamOrigin {
            service: call.service.clone(),
            software_version: version,
        };
        // The other instance reports a stream that came through it.
        let is_reported = self.responder.endpoint().is_some();
        instance.streams.record(call.stream_key(id), &origin, is_reported);
    }

    /// Ends a response whose stated length has been read: the connection to
    /// the caller does not ask for more.
    async fn finish_if_complete(&mut self) {
        if self.body.is_complete() && matches!(self.read().await, Ok(None)) {
            self.finish();
        }
    }

    fn record_pause(&mut self) {
        let now = Instant::now();
        let pause = now - std::mem::replace(&mut self.last_bytes, now);
        self.longest_pause = self.longest_pause.max(pause);
    }

    async fn read(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        let mut is_silent = false;
        loop {
            let step = match is_silent {
                false => self.read_until_silent().await,
                true => self.read_until_may_move().await,
            };
            match step {
                Step::Read(read) => return self.check_read(read),
                Step::Silent => is_silent = true,
                Step::MayMove(to) => match self.move_to(to).await? {
                    Move::Moved => is_silent = false,
                    Move::Awake(read) => return self.check_read(read),
                    Move::Failed => {}
                },
                Step::DeadlinePassed => {
                    return Err(StreamFailure::DeadlinePassed);
                }
            }
        }
    }

    /// Reads until the engine has been silent for long enough to look for
    /// another one, if the stream is resumable.
    async fn read_until_silent(&mut self) -> Step {
        let left = self.call.left();
        let Some(silence) = self.silence_limit() else {
            let read = compio::time::timeout(left, self.body.next()).await;
            return read.map_or(Step::DeadlinePassed, Step::Read);
        };
        let until = Instant::now() + silence.min(left);
        let is_direct = self.responder.endpoint().is_some();
        let mut silent = pin!(
            silent_or_until(&self.instance, &self.call, is_direct, until)
                .fuse()
        );
        let mut read = pin!(self.body.next().fuse());
        select_biased! {
            read = read => Step::Read(read),
            () = silent => match self.call.left().is_zero() {
                true => Step::DeadlinePassed,
                false => Step::Silent,
            },
        }
    }

    /// Reads from a silent engine until another one can take the stream.
    async fn read_until_may_move(&mut self) -> Step {
        let may_move = self.may_move();
        let StreamRelay { instance, call, progress, body, .. } = self;
        let mut destination = pin!(
            async {
                if !may_move {
                    return pending().await;
                }
                // Also the pause after a move that failed.
                compio::time::sleep(SEEK_INTERVAL).await;
                retries::seek_destination(instance, call, progress).await
            }
            .fuse()
        );
        let mut deadline = pin!(compio::time::sleep(call.left()).fuse());
        let mut read = pin!(body.next().fuse());
        select_biased! {
            read = read => Step::Read(read),
            () = deadline => Step::DeadlinePassed,
            to = destination => Step::MayMove(to),
        }
    }

    /// Returns whether the rest of the stream may be sent to another engine
    /// while this one is silent.
    fn may_move(&self) -> bool {
        let is_version_known =
            !self.has_begun || self.progress.software_version.is_some();
        is_version_known
            && retries::may_begin_beside(&self.call, &self.progress, 1)
    }

    /// Sends the rest of the stream to another engine. The silent one stays
    /// open until that one has answered, or could have rejected the request.
    async fn move_to(
        &mut self,
        to: Destination,
    ) -> Result<Move, StreamFailure> {
        let (instance, call) = (self.instance.clone(), self.call.clone());
        let last_event = self.last_event();
        let silent = call.sent_to.borrow().clone();
        let mut progress = self.progress.clone();
        progress.runs += 1;
        let is_silent_open = Cell::new(true);
        let mut open =
            OpenAttempts::new(&instance, &call, last_event.as_deref())
                .beside(&is_silent_open);
        open.begin(&mut progress, to);
        let mut moving = Box::pin(
            retries::wait_for_answer(&instance, &call, &mut progress, open)
                .fuse(),
        );
        let first = {
            let mut read = pin!(self.body.next().fuse());
            let overlap = compio::time::sleep(MAX_ENGINE_OVERLAP);
            let mut overlap = pin!(overlap.fuse());
            select_biased! {
                read = read => Some(Err(read)),
                found = moving => Some(Ok(found)),
                () = overlap => None,
            }
        };
        // An engine that breaks has not come back, and the move goes on.
        let first = first.filter(|first| !matches!(first, Err(Some(Err(_)))));
        let found = match first {
            Some(Ok(Ok((good, responder))))
                if good.answer.status.is_success() =>
            {
                self.close_silent(silent.as_ref());
                (good, responder)
            }
            Some(outcome) => {
                drop(moving);
                *call.sent_to.borrow_mut() = silent;
                progress.open_at = self.progress.open_at.clone();
                let (has_run, moved) = match outcome {
                    // The attempt that is given up may have run.
                    Err(read) => (true, Move::Awake(read)),
                    Ok(found) => (found.is_ok(), Move::Failed),
                };
                progress.arrivals += u32::from(has_run);
                // The run of the silent engine goes on.
                progress.runs -= u32::from(!has_run);
                self.progress = progress;
                return Ok(moved);
            }
            None => {
                self.close_silent(silent.as_ref());
                is_silent_open.set(false);
                match moving.as_mut().await {
                    Ok((good, responder))
                        if good.answer.status.is_success() =>
                    {
                        (good, responder)
                    }
                    Ok(_) => {
                        let reason = Reason::OutcomeUnknown;
                        return Err(StreamFailure::NotMoved(reason));
                    }
                    Err(reason) => {
                        return Err(StreamFailure::NotMoved(reason));
                    }
                }
            }
        };
        drop(moving);
        if let Some(silent) = silent {
            progress.tried.push(silent.endpoint);
        }
        self.progress = progress;
        self.adopt(found, last_event.as_deref());
        Ok(Move::Moved)
    }

    /// Closes the connection to a silent engine, in whose place another one
    /// goes on.
    fn close_silent(&mut self, sent_to: Option<&SentTo>) {
        self.body.close();
        self.send_guard = None;
        if let Some(target) = self.responder.endpoint() {
            attempt::record_replaced(&self.instance, &self.call, target);
        }
        // The other instance records what its endpoints do.
        if let Some(sent_to) = sent_to {
            let loss = Loss::Broken;
            poison::run_lost(&self.instance, &self.call, sent_to, loss);
        }
    }

    fn check_read(
        &mut self,
        read: Option<Result<Bytes, SendError>>,
    ) -> Result<Option<Bytes>, StreamFailure> {
        let is_direct = self.responder.endpoint().is_some();
        if is_direct && !matches!(read, Some(Err(_))) {
            let mut reach = self.instance.reach.borrow_mut();
            reach.record_heard(&self.call.service);
        }
        match read {
            Some(Ok(bytes)) => Ok(Some(bytes)),
            Some(Err(err)) => Err(StreamFailure::Broken(err)),
            None => self.check_end(),
        }
    }

    /// Checks whether the stream may end where its response has ended.
    fn check_end(&self) -> Result<Option<Bytes>, StreamFailure> {
        let is_until_close = self.body.framing() == BodyFraming::UntilClose;
        match self.events.check_end(is_until_close) {
            Ok(()) => Ok(None),
            Err(early) => {
                metrics::counter!("sedgewall_streams_ended_early_total")
                    .increment(1);
                Err(StreamFailure::Early(early))
            }
        }
    }

    /// Returns how long an engine may be silent before another one is sought
    /// for its stream, or `None` if the stream cannot move.
    fn silence_limit(&self) -> Option<Duration> {
        let route = &self.call.route;
        if !route.is_stream || !self.events.is_resumable() {
            return None;
        }
        let gap = route.gap.unwrap_or_default();
        let limit = MIN_SILENCE
            .max(route.target_latency * SILENCE_TARGETS)
            .max(gap * SILENCE_GAPS);
        Some(limit)
    }

    fn last_event(&mut self) -> Option<String> {
        let framer = self.events.framer()?;
        framer.last_id().map(str::to_owned)
    }

    fn finish(&mut self) {
        self.is_over = true;
        if self.is_success {
            poison::run_succeeded(&self.instance, &self.call);
        }
        if self.call.route.is_stream {
            let took = self.call.arrived.elapsed() - self.head_time;
            self.instance.observe_stream_time(&self.call.route.name, took);
        }
        self.has_unlogged_end = true;
        if self.is_reading_ahead {
            // The endpoint is done with the request, however long the caller
            // takes to read the rest.
            self.send_guard = None;
        } else {
            self.log_if_served();
        }
    }

    /// Logs a complete response as served, once.
    pub(super) fn log_if_served(&mut self) {
        if !std::mem::take(&mut self.has_unlogged_end) {
            return;
        }
        request_log::served(
            &self.instance,
            &self.call,
            &self.progress,
            &self.responder,
            &request_log::Delivered {
                head_time: self.head_time,
                framing: self.body.framing(),
                bytes: self.bytes,
                longest_pause: self.longest_pause,
            },
        );
    }

    /// Continues the stream on another engine, if the route and the retry
    /// budget allow it. Returns whether it continues.
    async fn resume(&mut self, failure: &StreamFailure) -> bool {
        if let StreamFailure::NotMoved(reason) = failure {
            self.log_not_resumed(*reason);
            return false;
        }
        if !self.events.is_resumable()
            || matches!(failure, StreamFailure::DeadlinePassed)
        {
            return false;
        }
        self.progress.runs += 1;
        self.progress.arrivals += 1;
        self.progress.open_at.clear();
        if let Some(target) = self.responder.endpoint() {
            self.progress.tried.push(target.id.clone());
        }
        self.record_failure();
        if self.progress.runs >= self.call.route.max_attempts {
            return false;
        }
        if self.has_begun && self.progress.software_version.is_none() {
            self.log_not_resumed(Reason::StreamVersionUnknown);
            return false;
        }
        let last_event = self.last_event();
        let call = self.call.clone();
        let found = retries::send_with_retries(
            &self.instance,
            &call,
            &mut self.progress,
            last_event.as_deref(),
        );
        let found = match found.await {
            Ok(found) => found,
            Err(reason) => {
                self.log_not_resumed(reason);
                return false;
            }
        };
        if !found.0.answer.status.is_success() {
            return false;
        }
        self.adopt(found, last_event.as_deref());
        true
    }

    /// Goes on with the response of another endpoint, which begins after the
    /// last complete event.
    fn adopt(
        &mut self,
        (good, responder): (GoodAnswer, Responder),
        last_event: Option<&str>,
    ) {
        tracing::info!(
            event = "resumed",
            request = self.call.metadata.request_id,
            from = self.responder.id(),
            to = responder.id(),
            software_version = self
                .progress
                .software_version
                .as_ref()
                .map(tracing::field::display),
            has_begun = self.has_begun,
            after_event = last_event,
        );
        if let Some(framer) = self.events.framer() {
            framer.discard_partial();
        }
        self.kept.set(0);
        self.body = good.answer.body;
        self.is_answered = false;
        self.send_guard = Some(good.guard);
        self.responder = responder;
    }

    /// Logs why a stream that broke off does not continue here.
    fn log_not_resumed(&self, reason: Reason) {
        metrics::counter!(
            "sedgewall_streams_not_resumed_total", "reason" => reason.name()
        )
        .increment(1);
        tracing::info!(
            event = "not_resumed",
            request = self.call.metadata.request_id,
            reason = reason.name(),
            service = self.call.service,
            software_version = self
                .progress
                .software_version
                .as_ref()
                .map(tracing::field::display),
            from = self.responder.id(),
        );
    }

    /// Records the loss of the run, which may be due to a crash of its engine.
    fn record_lost_run(&self, failure: &StreamFailure) {
        let (instance, call) = (&self.instance, &self.call);
        let cause = match failure {
            StreamFailure::Broken(err) => err.to_string(),
            StreamFailure::Early(early) => early.to_string(),
            StreamFailure::NotMoved(_) => return,
            StreamFailure::DeadlinePassed => {
                // The other instance records what its endpoints do.
                if self.responder.endpoint().is_some() {
                    poison::last_run_lost(instance, call, Loss::Broken);
                }
                return;
            }
        };
        match (&self.responder, failure.of_live_endpoint()) {
            (Responder::Endpoint(target), Some(err)) => {
                let endpoint = target.id.clone();
                let sent_to = SentTo { endpoint, at: call.sent_at() };
                poison::response_unusable(instance, call, &sent_to, err);
            }
            (Responder::Endpoint(target), None) => {
                let loss = match self.is_answered {
                    true => Loss::Broken,
                    false => Loss::Unanswered,
                };
                let sent = call.sent_at();
                poison::run_broken(instance, call, target, sent, loss, &cause);
            }
            (Responder::Instance { id, .. }, _) => {
                forwarding::body_broken(call, id, &cause);
            }
        }
    }

    /// Records a failure of the endpoint, unless this instance's own path to
    /// the endpoints is cut.
    fn record_failure(&self) {
        let Some(target) = self.responder.endpoint() else { return };
        self.instance.record_endpoint_failure(&self.call.service, target);
    }

    fn fail(&mut self, failure: &StreamFailure) -> io::Error {
        self.is_over = true;
        if !self.events.is_resumable()
            && !matches!(failure, StreamFailure::DeadlinePassed)
        {
            self.record_failure();
        }
        let cause = match failure {
            StreamFailure::Broken(err) => err.to_string(),
            StreamFailure::Early(early) => early.to_string(),
            StreamFailure::NotMoved(reason) => {
                format!("moved to an engine that failed: {}", reason.name())
            }
            StreamFailure::DeadlinePassed => "deadline passed".to_owned(),
        };
        metrics::counter!("sedgewall_streams_broken_total").increment(1);
        tracing::warn!(
            event = "stream_broken",
            request = self.call.metadata.request_id,
            endpoint = self.responder.endpoint().map(|target| &target.id),
            cause,
            framing = self.body.framing().name(),
            bytes = self.bytes,
            silent_ms = self.last_bytes.elapsed().as_millis() as u64,
            held_ms = self.call.arrived.elapsed().as_millis() as u64,
            left_ms = self.call.left().as_millis() as u64,
        );
        io::Error::other(cause)
    }
}

/// Returns the software version at which a stream began. It is not known if
/// the endpoint has restarted with another one since the request was sent.
fn known_version(
    instance: &FleetInstance,
    responder: &Responder,
) -> Option<SoftwareVersion> {
    let version = responder.software_version()?;
    let view = instance.view.borrow();
    let state = responder.endpoint().and_then(|target| view.get(&target.id));
    let is_same = state.is_none_or(|state| {
        state.endpoint.software_version.as_ref() == Some(version)
    });
    is_same.then(|| version.clone())
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.call.route.is_stream {
            request_log::stream_ended(
                &self.instance,
                &self.call,
                self.longest_wait,
            );
        }
        let is_terminated =
            self.is_terminated.as_ref().is_some_and(|flag| flag.get());
        if (!self.is_over || self.has_unlogged_end) && !is_terminated {
            request_log::caller_left(&self.call, self.bytes);
        }
        if !self.is_over {
            poison::last_run_lost(
                &self.instance,
                &self.call,
                Loss::CallerLeft,
            );
        }
    }
}
