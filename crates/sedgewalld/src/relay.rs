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
use sedgewall_transport::{CallError, LocalBody, client::OpenAnswer};

use crate::{
    call::{self, AttemptError, ModelCall, RetryState, ShardRequest},
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
    shard_request: ShardRequest,
    retry_state: RetryState,
    chunks: EngineChunks,
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Events that the caller got.
    delivered: u64,
    sent: Instant,
    has_first_chunk: bool,
    is_over: bool,
}

/// Returns the answer that streams an engine's events.
pub(crate) fn stream(
    call: ModelCall,
    shard_request: ShardRequest,
    answer: OpenAnswer,
    sent: Instant,
) -> Response<LocalBody> {
    let media_type = call::media_type(&answer);
    let relay = Relay {
        retry_state: RetryState::new(&call),
        call,
        shard_request,
        chunks: Box::pin(answer.chunks()),
        partial: BytesMut::new(),
        delivered: 0,
        sent,
        has_first_chunk: false,
        is_over: false,
    };
    let events = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    let mut response = Response::new(LocalBody::chunks(events));
    responses::set_content_type(&mut response, &media_type);
    response
}

/// What the engine's stream brought.
enum StreamRead {
    Events(Bytes),
    Failed(AttemptError),
}

impl Relay {
    /// Returns the next events for the caller; none after the end.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        while !self.is_over {
            match self.read_events().await {
                StreamRead::Events(events) => return Some(Ok(events)),
                StreamRead::Failed(err) => {
                    if let Err(problem) = self.resume(err).await {
                        self.is_over = true;
                        return Some(Ok(error_event(&problem)));
                    }
                }
            }
        }
        None
    }

    /// Waits for at least one whole event.
    async fn read_events(&mut self) -> StreamRead {
        let idle_ms = self.call.instance.settings.limits.stream_idle_ms;
        let idle = Duration::from_millis(idle_ms);
        loop {
            let chunk = compio::time::timeout(idle, self.chunks.next()).await;
            let chunk = match chunk {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(err))) => return outcome_unknown(err.to_string()),
                Ok(None) => {
                    return outcome_unknown("the stream ended early".into());
                }
                Err(_) => {
                    return outcome_unknown("the stream stood still".into());
                }
            };
            self.record_first_chunk();
            if let Some(events) = self.take_events(chunk) {
                return StreamRead::Events(events);
            }
            if self.partial.len() > MAX_EVENT_LEN {
                return outcome_unknown("an event is too long".into());
            }
        }
    }

    /// Cuts the whole events from what has come.
    fn take_events(&mut self, chunk: Bytes) -> Option<Bytes> {
        let is_complete =
            self.partial.is_empty() && chunk.ends_with(EVENT_END);
        let events = if is_complete {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            let end = last_event_end(&self.partial)?;
            self.partial.split_to(end).freeze()
        };
        self.delivered += count_events(&events);
        if ends_stream(&events) {
            self.is_over = true;
            call::finish(&self.call, &mut self.shard_request, "streamed");
        }
        Some(events)
    }

    fn record_first_chunk(&mut self) {
        if std::mem::replace(&mut self.has_first_chunk, true) {
            return;
        }
        self.shard_request.record_first_token(self.sent.elapsed());
        call::record_first_token_time(&self.call, self.sent);
    }

    /// Goes on at another engine after the last event that was passed.
    async fn resume(&mut self, err: AttemptError) -> Result<(), Problem> {
        let mut err = err;
        loop {
            self.partial.clear();
            let delivered = self.delivered;
            self.retry_state
                .record_failure(&self.call, &mut self.shard_request, err)
                .map_err(|problem| mark_partial(problem, delivered))?;
            let granted = self
                .shard_request
                .wait_for_grant(self.call.deadline.max(self.resume_deadline()))
                .await
                .map_err(|refusal| {
                    mark_partial(
                        self.retry_state.refusal_problem(&refusal),
                        delivered,
                    )
                })?;
            match call::send_to_engine(&self.call, &granted, delivered).await {
                Ok(answer) => {
                    self.chunks = Box::pin(answer.chunks());
                    return Ok(());
                }
                Err(next_err) => err = next_err,
            }
        }
    }

    /// A stream that began in time may take as long again to go on.
    fn resume_deadline(&self) -> Instant {
        let total = self.call.deadline - self.call.arrived;
        Instant::now() + total
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            // The caller went away; dropping the chunks cancels the engine.
            self.shard_request.report_end(EndKind::Finished);
        }
    }
}

fn outcome_unknown(detail: String) -> StreamRead {
    StreamRead::Failed(AttemptError::OutcomeUnknown(detail))
}

/// Something has run by now, whatever the last try did.
fn mark_partial(mut problem: Problem, delivered: u64) -> Problem {
    problem.run_state = match delivered {
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
