//! Sends one completion and checks its answer.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::BytesMut;
use futures_util::StreamExt;
use http::{Method, StatusCode};
use sedgewall_clock::Instant;
use sedgewall_protocol::{
    caller::{
        CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, PRIORITY_HEADER,
        REPEATABLE_HEADER,
    },
    engine::COMPLETIONS_PATH,
};
use sedgewall_state::Priority;
use sedgewall_transport::client::{Call, StreamingResponse};
use serde::Serialize;

use super::{
    check::{self, StreamCheck, Violation},
    measure::Measured,
    target::Target,
};

/// One completion to be sent.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The instance's address.
    pub entry: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The tokens of the answer.
    pub tokens: u64,
    /// The class.
    pub priority: Priority,
    /// The caller.
    pub caller: String,
    /// The deadline.
    pub within: Duration,
    /// Whether it is streamed.
    pub is_stream: bool,
    /// The key, if it is not repeatable.
    pub unrepeatable_key: Option<String>,
}

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u64,
    stream: bool,
}

/// The longest time for one completion.
const LONGEST: Duration = Duration::from_secs(180);

/// Sends it and notes what came.
pub async fn run(
    target: Rc<Target>,
    measured: Rc<RefCell<Measured>>,
    completion: Completion,
) {
    measured.borrow_mut().sent += 1;
    let sent = Instant::now();
    let call = prepare(&completion);
    let answer = match target.http.open(call, LONGEST).await {
        Ok(answer) => answer,
        Err(_) => {
            measured.borrow_mut().broken += 1;
            return;
        }
    };
    if answer.status() != StatusCode::OK {
        match answer.collect().await {
            Ok(whole) => measured.borrow_mut().problem(&whole.body),
            Err(_) => measured.borrow_mut().broken += 1,
        }
        return;
    }
    if completion.is_stream {
        read_stream(answer, &measured, &completion, sent).await;
    } else {
        read_whole(answer, &measured, &completion, sent).await;
    }
}

fn prepare(completion: &Completion) -> Call {
    let body = Body {
        model: &completion.model,
        prompt: &completion.prompt,
        max_tokens: completion.tokens,
        stream: completion.is_stream,
    };
    let urgency = match completion.priority {
        Priority::High => "u=1",
        Priority::Normal => "u=3",
        Priority::Batch => "u=6",
    };
    let url = format!("http://{}{COMPLETIONS_PATH}", completion.entry);
    let within_ms = completion.within.as_millis().to_string();
    let call = Call::new(Method::POST, url)
        .header("content-type", "application/json")
        .header(PRIORITY_HEADER, urgency)
        .header(CALLER_HEADER, &completion.caller)
        .header(DEADLINE_HEADER, &within_ms)
        .body(serde_json::to_vec(&body).unwrap_or_default());
    match &completion.unrepeatable_key {
        Some(key) => call
            .header(REPEATABLE_HEADER, "?0")
            .header(IDEMPOTENCY_HEADER, key),
        None => call,
    }
}

async fn read_whole(
    answer: StreamingResponse,
    measured: &Rc<RefCell<Measured>>,
    completion: &Completion,
    sent: Instant,
) {
    let Ok(whole) = answer.collect().await else {
        measured.borrow_mut().broken += 1;
        return;
    };
    let Completion { model, prompt, tokens, .. } = completion;
    let violation = check::whole(&whole.body, model, prompt, *tokens);
    let mut measured = measured.borrow_mut();
    measured.tokens += tokens;
    measured.whole.record(sent.elapsed());
    note(&mut measured, violation);
}

async fn read_stream(
    answer: StreamingResponse,
    measured: &Rc<RefCell<Measured>>,
    completion: &Completion,
    sent: Instant,
) {
    let mut check = StreamCheck::new(
        &completion.model,
        &completion.prompt,
        completion.tokens,
    );
    let mut chunks = std::pin::pin!(answer.chunks());
    let mut partial = BytesMut::new();
    let mut last: Option<Instant> = None;
    while let Some(Ok(chunk)) = chunks.next().await {
        partial.extend_from_slice(&chunk);
        while let Some(end) = event_end(&partial) {
            let event = partial.split_to(end + 2);
            let text = String::from_utf8_lossy(&event[..end]);
            check.event(&text);
            note_token(&mut measured.borrow_mut(), &mut last, sent);
        }
    }
    let mut measured = measured.borrow_mut();
    measured.whole.record(sent.elapsed());
    let violation = check.finish();
    if let (Some(problem), None) = (&check.problem, violation) {
        measured.problem(problem.as_bytes());
        return;
    }
    note(&mut measured, violation);
}

fn note_token(
    measured: &mut Measured,
    last: &mut Option<Instant>,
    sent: Instant,
) {
    let now = Instant::now();
    match last.replace(now) {
        None => measured.first(now - sent),
        Some(before) => measured.between_tokens.record(now - before),
    }
    measured.tokens += 1;
}

fn note(measured: &mut Measured, violation: Option<Violation>) {
    match violation {
        Some(violation) => measured.violation(violation),
        None => measured.outcome("served"),
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}
