//! Passes a stream of events from an engine on to a caller.
//!
//! Only whole events are passed on, so that a stream which breaks off can go
//! on at another engine exactly after the last one. The module keeps one
//! invariant: the caller gets each event once and in order, or is told that
//! the answer is not whole.

use std::{pin::Pin, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::{Response, StatusCode};
use sedgewall_clock::Instant;
use sedgewall_protocol::{
    Problem, RunState, engine::STREAM_END, message::EndKind,
};
use sedgewall_transport::{CallError, LocalBody, client::StreamingResponse};

use crate::{
    call::{self, ModelCall, Seat, Tries, TryError},
    responses,
};

type EngineChunks = Pin<Box<dyn Stream<Item = Result<Bytes, CallError>>>>;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// The longest event that is waited for, in bytes.
const MAX_EVENT_LEN: usize = 1 << 20;

/// A stream on its way from engine to caller.
struct Relay {
    call: ModelCall,
    seat: Seat,
    tries: Tries,
    chunks: EngineChunks,
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Events that the caller got.
    passed: u64,
    sent: Instant,
    has_first: bool,
    is_over: bool,
}

/// Returns the answer that streams an engine's events.
pub(crate) fn stream(
    call: ModelCall,
    seat: Seat,
    answer: StreamingResponse,
    sent: Instant,
) -> Response<LocalBody> {
    let kind = call::media_type(&answer);
    let relay = Relay {
        tries: Tries::new(&call),
        call,
        seat,
        chunks: Box::pin(answer.chunks()),
        partial: BytesMut::new(),
        passed: 0,
        sent,
        has_first: false,
        is_over: false,
    };
    let events = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    let mut response = Response::new(LocalBody::chunks(events));
    responses::set_type(&mut response, &kind);
    response
}

/// What the engine's stream brought.
enum Brought {
    Events(Bytes),
    Broken(TryError),
}

impl Relay {
    /// Returns the next events for the caller; none after the end.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        while !self.is_over {
            match self.read().await {
                Brought::Events(events) => return Some(Ok(events)),
                Brought::Broken(err) => {
                    if let Err(problem) = self.go_on(err).await {
                        self.is_over = true;
                        return Some(Ok(error_event(&problem)));
                    }
                }
            }
        }
        None
    }

    /// Waits for at least one whole event.
    async fn read(&mut self) -> Brought {
        let idle_ms = self.call.node.settings.limits.stream_idle_ms;
        let idle = Duration::from_millis(idle_ms);
        loop {
            let chunk = compio::time::timeout(idle, self.chunks.next()).await;
            let chunk = match chunk {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(err))) => return unclear(err.to_string()),
                Ok(None) => return unclear("the stream ended early".into()),
                Err(_) => return unclear("the stream stood still".into()),
            };
            self.note_first();
            if let Some(events) = self.take_events(chunk) {
                return Brought::Events(events);
            }
            if self.partial.len() > MAX_EVENT_LEN {
                return unclear("an event is too long".into());
            }
        }
    }

    /// Cuts the whole events from what has come.
    fn take_events(&mut self, chunk: Bytes) -> Option<Bytes> {
        let is_whole = self.partial.is_empty() && chunk.ends_with(EVENT_END);
        let events = if is_whole {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            let end = last_event_end(&self.partial)?;
            self.partial.split_to(end).freeze()
        };
        self.passed += count_events(&events);
        if ends_stream(&events) {
            self.is_over = true;
            call::finish(&self.call, &mut self.seat, "streamed");
        }
        Some(events)
    }

    fn note_first(&mut self) {
        if std::mem::replace(&mut self.has_first, true) {
            return;
        }
        self.seat.first_token(self.sent.elapsed());
        call::note_first_token(&self.call, self.sent);
    }

    /// Goes on at another engine after the last event that was passed.
    async fn go_on(&mut self, err: TryError) -> Result<(), Problem> {
        let mut err = err;
        loop {
            self.partial.clear();
            let passed = self.passed;
            self.tries
                .failed(&self.call, &mut self.seat, err)
                .map_err(|problem| partial(problem, passed))?;
            let granted = self
                .seat
                .wait(self.call.deadline.max(self.grace()))
                .await
                .map_err(|refusal| {
                    partial(self.tries.refused(&refusal), passed)
                })?;
            match call::open(&self.call, &granted, passed).await {
                Ok(answer) => {
                    self.chunks = Box::pin(answer.chunks());
                    return Ok(());
                }
                Err(next) => err = next,
            }
        }
    }

    /// A stream that began in time may take as long again to go on.
    fn grace(&self) -> Instant {
        let total = self.call.deadline - self.call.arrived;
        Instant::now() + total
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            // The caller went away; dropping the chunks cancels the engine.
            self.seat.ended(EndKind::Finished);
        }
    }
}

fn unclear(detail: String) -> Brought {
    Brought::Broken(TryError::Unclear(detail))
}

/// Something has run by now, whatever the last try did.
fn partial(mut problem: Problem, passed: u64) -> Problem {
    problem.run_state = match passed {
        0 => RunState::Unknown,
        _ => RunState::Partial,
    };
    if problem.status == 0 {
        problem.status = StatusCode::BAD_GATEWAY.as_u16();
    }
    problem
}

/// Tells the caller, inside the stream, that the answer is not whole.
fn error_event(problem: &Problem) -> Bytes {
    let json = serde_json::to_string(problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let start =
        bytes.windows(EVENT_END.len()).rposition(|part| part == EVENT_END)?;
    Some(start + EVENT_END.len())
}

fn count_events(bytes: &[u8]) -> u64 {
    let ends = bytes.windows(EVENT_END.len());
    ends.filter(|part| *part == EVENT_END).count() as u64
}

fn ends_stream(events: &[u8]) -> bool {
    let end = format!("data: {STREAM_END}\n\n");
    events.ends_with(end.as_bytes())
}
