//! Relays a stream of events from an engine to a caller.
//!
//! Only complete events are relayed, so that a broken stream can resume on
//! another engine exactly after the last event. Invariant: the caller receives
//! each event once and in order, or is told that the answer is incomplete.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::{Response, StatusCode};
use sedgewall_clock::Instant;
use sedgewall_protocol::{
    Problem, RunState, engine::STREAM_END, message::EndKind,
};
use sedgewall_transport::{CallError, LocalBody, client::StreamingResponse};

use crate::{
    call::{self, AttemptError, ModelCall, RetryState, ShardRequest},
    responses,
    stop_end::stopping_problem,
};

type EngineChunks = Pin<Box<dyn Stream<Item = Result<Bytes, CallError>>>>;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// The maximum length of an event, in bytes.
const MAX_EVENT_LEN: usize = 1 << 20;

/// The state of a stream from an engine to a caller.
struct Relay {
    call: ModelCall,
    shard_request: ShardRequest,
    retry_state: RetryState,
    chunks: EngineChunks,
    /// The bytes of an incomplete event.
    partial: BytesMut,
    /// The number of events that were passed to the caller.
    delivered: u64,
    sent: Instant,
    has_first_chunk: bool,
    is_finished: bool,
}

/// Returns the response that streams an engine's events.
pub(crate) fn stream(
    call: ModelCall,
    shard_request: ShardRequest,
    answer: StreamingResponse,
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
        is_finished: false,
    };
    let events = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    let mut response = Response::new(LocalBody::chunks(events));
    responses::set_content_type(&mut response, &media_type);
    response
}

/// The result of a read from the engine's stream.
enum StreamRead {
    Events(Bytes),
    Failed(AttemptError),
}

impl Relay {
    /// Returns the next events for the caller, or `None` after the end.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.is_finished {
            return None;
        }
        let instance = self.call.instance.clone();
        let events = match instance.stop_end.before(self.next_events()).await {
            Some(Ok(events)) => events,
            Some(Err(problem)) => {
                self.is_finished = true;
                error_event(&problem)
            }
            None => {
                self.is_finished = true;
                self.shard_request.report_end(EndKind::Finished);
                let problem = stopping_problem(RunState::Unknown);
                error_event(&mark_partial(problem, self.delivered))
            }
        };
        Some(Ok(events))
    }

    /// Returns the next events of the stream, which is resumed if it fails.
    async fn next_events(&mut self) -> Result<Bytes, Problem> {
        loop {
            match self.read_events().await {
                StreamRead::Events(events) => return Ok(events),
                StreamRead::Failed(err) => self.resume(err).await?,
            }
        }
    }

    /// Reads from the engine until there is at least one complete event.
    async fn read_events(&mut self) -> StreamRead {
        loop {
            let timeout = self.retry_state.silence_timeout(&self.call);
            let chunk =
                compio::time::timeout(timeout, self.chunks.next()).await;
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

    /// Adds a chunk, and returns all complete events if there are any.
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
            self.is_finished = true;
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

    /// Resumes the stream on another engine after the last event that was
    /// passed to the caller.
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
            let timeout = self.retry_state.silence_timeout(&self.call);
            let sending =
                call::send_to_engine(&self.call, &granted, delivered, timeout);
            match sending.await {
                Ok(answer) => {
                    self.chunks = Box::pin(answer.chunks());
                    return Ok(());
                }
                Err(next_err) => err = next_err,
            }
        }
    }

    /// Returns the deadline for the grant to resume the stream.
    ///
    /// Each resume may take the request's whole time limit again, because the
    /// stream has started in time.
    fn resume_deadline(&self) -> Instant {
        let total = self.call.deadline - self.call.arrived;
        Instant::now() + total
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_finished {
            // The caller disconnected; dropping the chunks cancels the request
            // at the engine.
            self.shard_request.report_end(EndKind::Finished);
        }
    }
}

fn outcome_unknown(detail: String) -> StreamRead {
    StreamRead::Failed(AttemptError::OutcomeUnknown(detail))
}

/// Marks the outcome of a request as unknown or partial, because something has
/// run by now, whatever the last attempt did.
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

/// Returns an event that tells the caller, inside the stream, that the answer
/// is incomplete.
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
