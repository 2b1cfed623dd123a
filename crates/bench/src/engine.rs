//! A stand-in for a model engine.
//!
//! It batches by steps, holds adapters in slots, loads them through the
//! weight store, takes fenced orders, honours priorities, resumes and cancels
//! streams, and reports late and with gaps. It counts every broken rule that
//! it sees: an adapter unloaded while it serves, a request that is not
//! repeatable run twice.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_protocol::{
    caller::{
        IDEMPOTENCY_HEADER, ModelRef, PRIORITY_HEADER, REPEATABLE_HEADER,
        REQUEST_ID_HEADER,
    },
    engine::{
        CHAT_PATH, COMPLETIONS_PATH, EngineAdapter, EngineReport, NOT_RUN,
        ORDERS_PATH, Order, OrderError, OrderFailure, REPORT_PATH,
        RESUME_HEADER, RUN_STATE_HEADER, STREAM_END, SlotReport,
    },
};
use sedgewall_transport::{
    HttpClient, LocalBody, client::Call, server::read_body,
};
use serde::{Deserialize, Serialize};

use crate::{
    content::token,
    http::{BODY_TIME, MAX_BODY, Notify, broken, empty, json, read_json},
};

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Adapters at once.
    pub slots: usize,
    /// Requests in a batch.
    pub seats: usize,
    /// The time of a step with an empty batch.
    pub step_time: Duration,
    /// What each request in the batch adds to a step.
    pub seat_time: Duration,
    /// The weight store, such as `http://127.0.0.1:7001`.
    pub weight_store_url: String,
    /// Whether orders of an older epoch are refused.
    pub checks_fences: bool,
    /// Whether an unload that says so waits for idleness.
    pub checks_idle: bool,
    /// Reports are this old.
    pub report_lag: Duration,
}

/// Faults that the engine shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// No step is made and no report given.
    pub is_hung: bool,
    /// Steps take this many times longer; 0 counts as 1.
    pub slow_factor: u32,
    /// The next loads fail.
    pub fail_loads: u32,
    /// The next orders are carried out but their answers are lost.
    pub lose_order_answers: u32,
    /// The next completion breaks off after it has begun, and all later ones
    /// are rejected.
    pub break_then_reject: bool,
    /// The process ends at once.
    pub crash: bool,
    /// It forgets all adapters and cuts all streams, as a restart does.
    pub restart_empty: bool,
}

/// What the engine counted beyond its report.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineStats {
    /// Completions that ran.
    pub runs: u64,
    /// Completions that were turned down as not run.
    pub turned_down: u64,
    /// Loads carried out.
    pub loads: u64,
    /// Adapters unloaded while they served.
    pub unloaded_while_serving: u64,
    /// Unrepeatable requests that ran again.
    pub doubled: u64,
    /// Orders refused for their epoch.
    pub old_epochs: u64,
}

/// Something that ran, as the stand-in saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// The idempotency key, or the id.
    pub key: String,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
}

impl Run {
    /// Returns the run that a request's headers describe.
    pub fn from_headers(headers: &http::HeaderMap) -> Run {
        let id = text(headers, REQUEST_ID_HEADER);
        let key = match text(headers, IDEMPOTENCY_HEADER) {
            "" => id,
            key => key,
        };
        Run {
            id: id.to_owned(),
            key: key.to_owned(),
            is_repeatable: text(headers, REPEATABLE_HEADER) != "?0",
        }
    }
}

#[derive(Clone, Debug)]
struct LoadedSlot {
    adapter: EngineAdapter,
    is_ready: bool,
}

struct Sequence {
    adapter: EngineAdapter,
    model: String,
    prompt: String,
    next: u64,
    len: u64,
    urgency: u8,
    is_chat: bool,
    tx: mpsc::UnboundedSender<TokenEvent>,
}

/// What a sequence tells its reader.
enum TokenEvent {
    Token(String),
    End,
}

struct Inner {
    boot: u64,
    slots: Vec<LoadedSlot>,
    sequences: VecDeque<Sequence>,
    epoch: u64,
    faults: EngineFaults,
    /// Whether a completion was broken off.
    has_broken_off: bool,
    stats: EngineStats,
    steps: u64,
    tokens: u64,
    step_seats: u64,
    runs: Vec<Run>,
    past_reports: VecDeque<(Instant, EngineReport)>,
}

/// The engine's state.
pub struct Engine {
    settings: EngineSettings,
    http: HttpClient,
    inner: RefCell<Inner>,
    work: Notify,
}

/// A completion's body, as far as the stand-in reads it.
#[derive(Clone, Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// The wait of an idle engine before it looks again.
const IDLE_WAIT: Duration = Duration::from_millis(200);

/// How often an order for a load that is under way looks whether it is done.
const LOADING_LOOK: Duration = Duration::from_millis(2);

/// How often a report is made.
const REPORT_EVERY: Duration = Duration::from_millis(50);

fn default_tokens() -> u64 {
    16
}

impl Engine {
    /// Returns an engine that holds nothing.
    pub fn new(settings: EngineSettings, http: HttpClient) -> Rc<Engine> {
        let inner = Inner {
            boot: boot_number(),
            slots: Vec::new(),
            sequences: VecDeque::new(),
            epoch: 0,
            faults: EngineFaults::default(),
            has_broken_off: false,
            stats: EngineStats::default(),
            steps: 0,
            tokens: 0,
            step_seats: 0,
            runs: Vec::new(),
            past_reports: VecDeque::new(),
        };
        Rc::new(Engine {
            settings,
            http,
            inner: RefCell::new(inner),
            work: Notify::default(),
        })
    }

    /// Makes steps for ever.
    pub async fn run_steps(self: Rc<Engine>) {
        loop {
            let is_idle = {
                let inner = self.inner.borrow();
                inner.sequences.is_empty() || inner.faults.is_hung
            };
            if is_idle {
                self.work.wait(IDLE_WAIT).await;
                continue;
            }
            compio::time::sleep(self.step_time()).await;
            self.step();
        }
    }

    /// Makes reports for ever; they are given out late.
    pub async fn run_reports(self: Rc<Engine>) {
        loop {
            compio::time::sleep(REPORT_EVERY).await;
            let report = self.report_now();
            let mut inner = self.inner.borrow_mut();
            inner.past_reports.push_back((Instant::now(), report));
            let lag = self.settings.report_lag;
            while inner
                .past_reports
                .get(1)
                .is_some_and(|(made, _)| made.elapsed() >= lag)
            {
                inner.past_reports.pop_front();
            }
        }
    }

    /// Answers one request.
    pub async fn answer(
        self: Rc<Engine>,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            COMPLETIONS_PATH => self.complete(request, false).await,
            CHAT_PATH => self.complete(request, true).await,
            ORDERS_PATH => self.order(request).await,
            REPORT_PATH => self.give_report().await,
            "/stats" => json(StatusCode::OK, &self.inner.borrow().stats),
            "/runs" => json(StatusCode::OK, &self.inner.borrow().runs),
            "/faults" => self.set_faults(request).await,
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn step_time(&self) -> Duration {
        let inner = self.inner.borrow();
        let batch = inner.sequences.len().min(self.settings.seats) as u32;
        let slow = inner.faults.slow_factor.max(1);
        (self.settings.step_time + self.settings.seat_time * batch) * slow
    }

    /// One token for each of the most urgent sequences that find a seat.
    fn step(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.sequences.make_contiguous().sort_by_key(|seq| seq.urgency);
        let batch = inner.sequences.len().min(self.settings.seats);
        inner.steps += 1;
        inner.tokens += batch as u64;
        inner.step_seats += self.settings.seats as u64;
        for seq in inner.sequences.iter_mut().take(batch) {
            let text = token(&seq.model, &seq.prompt, seq.next);
            let event = TokenEvent::Token(text);
            seq.next += 1;
            if seq.tx.unbounded_send(event).is_err() {
                // The reader went away, which cancels the rest.
                seq.next = seq.len;
            } else if seq.next >= seq.len {
                let _ = seq.tx.unbounded_send(TokenEvent::End);
            }
        }
        inner.sequences.retain(|seq| seq.next < seq.len);
        inner.sequences.retain(|seq| !seq.tx.is_closed());
    }

    async fn complete(
        &self,
        request: Request<Incoming>,
        is_chat: bool,
    ) -> Response<LocalBody> {
        let headers = request.headers().clone();
        let Ok(bytes) =
            read_body(request.into_body(), MAX_BODY, BODY_TIME).await
        else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&bytes) else {
            return not_run(StatusCode::BAD_REQUEST, "unreadable body");
        };
        let Ok(model) = body.model.parse::<ModelRef>() else {
            return not_run(StatusCode::BAD_REQUEST, "no model");
        };
        let adapter =
            EngineAdapter { adapter: model.adapter, version: model.version };
        if !self.is_ready(&adapter) {
            self.inner.borrow_mut().stats.turned_down += 1;
            return not_run(StatusCode::CONFLICT, "adapter is not loaded");
        }
        if self.inner.borrow().faults.break_then_reject {
            if self.inner.borrow().has_broken_off {
                return not_run(StatusCode::BAD_REQUEST, "rejected");
            }
            self.inner.borrow_mut().has_broken_off = true;
            self.note_run(&headers);
            return broken();
        }
        self.note_run(&headers);
        let prompt = match body.messages.last() {
            Some(message) => message.content.clone(),
            None => body.prompt.clone(),
        };
        let (tx, rx) = mpsc::unbounded();
        let sequence = Sequence {
            adapter,
            model: body.model.clone(),
            prompt,
            next: number(&headers, RESUME_HEADER).unwrap_or(0),
            len: body.max_tokens.max(1),
            urgency: urgency(&headers),
            is_chat,
            tx,
        };
        let shape = Shape {
            id: text(&headers, REQUEST_ID_HEADER).to_owned(),
            model: body.model,
            is_chat: sequence.is_chat,
        };
        self.inner.borrow_mut().sequences.push_back(sequence);
        self.work.notify();
        if body.stream {
            stream_answer(rx, shape)
        } else {
            whole_answer(rx, shape).await
        }
    }

    fn is_ready(&self, adapter: &EngineAdapter) -> bool {
        let inner = self.inner.borrow();
        inner
            .slots
            .iter()
            .any(|slot| slot.is_ready && slot.adapter == *adapter)
    }

    fn note_run(&self, headers: &http::HeaderMap) {
        let run = Run::from_headers(headers);
        let mut inner = self.inner.borrow_mut();
        inner.stats.runs += 1;
        let is_doubled = !run.is_repeatable
            && inner
                .runs
                .iter()
                .any(|old| !old.is_repeatable && old.key == run.key);
        inner.stats.doubled += u64::from(is_doubled);
        inner.runs.push(run);
    }

    async fn order(&self, request: Request<Incoming>) -> Response<LocalBody> {
        let order: Order = match read_json(request.into_body()).await {
            Ok(order) => order,
            Err(answer) => return *answer,
        };
        if let Some(failure) = self.refuse_order(&order) {
            return failure;
        }
        if let Some(adapter) = &order.unload {
            self.unload(adapter);
        }
        let failure = match &order.load {
            Some(adapter) => self.load(adapter.clone()).await,
            None => None,
        };
        let mut inner = self.inner.borrow_mut();
        if inner.faults.lose_order_answers > 0 {
            inner.faults.lose_order_answers -= 1;
            return broken();
        }
        match failure {
            Some(failure) => order_error(failure),
            None => empty(StatusCode::OK),
        }
    }

    fn refuse_order(&self, order: &Order) -> Option<Response<LocalBody>> {
        let mut inner = self.inner.borrow_mut();
        if self.settings.checks_fences && order.epoch < inner.epoch {
            inner.stats.old_epochs += 1;
            return Some(order_error(OrderFailure::OldEpoch));
        }
        inner.epoch = inner.epoch.max(order.epoch);
        let adapter = order.unload.as_ref()?;
        let is_serving =
            inner.sequences.iter().any(|seq| seq.adapter == *adapter);
        if is_serving && self.settings.checks_idle && order.only_if_idle {
            return Some(order_error(OrderFailure::Busy));
        }
        None
    }

    fn unload(&self, adapter: &EngineAdapter) {
        let mut inner = self.inner.borrow_mut();
        let serving =
            inner.sequences.iter().filter(|seq| seq.adapter == *adapter);
        let serving = serving.count() as u64;
        if serving > 0 {
            inner.stats.unloaded_while_serving += 1;
        }
        inner.slots.retain(|slot| slot.adapter != *adapter);
        inner.sequences.retain(|seq| seq.adapter != *adapter);
    }

    async fn load(&self, adapter: EngineAdapter) -> Option<OrderFailure> {
        // An order is answered when it was carried out, also if the load was
        // begun by somebody else's.
        while self.is_loading(&adapter) {
            compio::time::sleep(LOADING_LOOK).await;
        }
        {
            let mut inner = self.inner.borrow_mut();
            if inner.slots.iter().any(|slot| slot.adapter == adapter) {
                return None;
            }
            if inner.slots.len() >= self.settings.slots {
                return Some(OrderFailure::NoSlot);
            }
            let slot =
                LoadedSlot { adapter: adapter.clone(), is_ready: false };
            inner.slots.push(slot);
        }
        let boot = self.inner.borrow().boot;
        let is_fetched = self.fetch(&adapter).await;
        let mut inner = self.inner.borrow_mut();
        if inner.boot != boot {
            return Some(OrderFailure::LoadFailed);
        }
        if !is_fetched {
            inner.slots.retain(|slot| slot.adapter != adapter);
            return Some(OrderFailure::LoadFailed);
        }
        for slot in &mut inner.slots {
            if slot.adapter == adapter {
                slot.is_ready = true;
            }
        }
        inner.stats.loads += 1;
        None
    }

    fn is_loading(&self, adapter: &EngineAdapter) -> bool {
        let inner = self.inner.borrow();
        let is_this = |slot: &&LoadedSlot| slot.adapter == *adapter;
        inner.slots.iter().find(is_this).is_some_and(|slot| !slot.is_ready)
    }

    async fn fetch(&self, adapter: &EngineAdapter) -> bool {
        {
            let mut inner = self.inner.borrow_mut();
            if inner.faults.fail_loads > 0 {
                inner.faults.fail_loads -= 1;
                return false;
            }
        }
        let url = format!(
            "{}/weights/{}/{}",
            self.settings.weight_store_url, adapter.adapter, adapter.version
        );
        let call = Call::new(Method::POST, url);
        let answer = self.http.call(call, Duration::from_secs(60)).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    fn report_now(&self) -> EngineReport {
        let inner = self.inner.borrow();
        let running = inner.sequences.len();
        let slots = inner
            .slots
            .iter()
            .map(|slot| SlotReport {
                adapter: slot.adapter.clone(),
                is_ready: slot.is_ready,
                running_len: inner
                    .sequences
                    .iter()
                    .filter(|seq| seq.adapter == slot.adapter)
                    .count() as u32,
            })
            .collect();
        let stats = &inner.stats;
        EngineReport {
            boot: inner.boot,
            slots,
            running_len: running.min(self.settings.seats) as u32,
            paused_len: running.saturating_sub(self.settings.seats) as u32,
            steps: inner.steps,
            tokens: inner.tokens,
            step_seats: inner.step_seats,
            violations: stats.unloaded_while_serving + stats.doubled,
        }
    }

    async fn give_report(&self) -> Response<LocalBody> {
        while self.inner.borrow().faults.is_hung {
            compio::time::sleep(IDLE_WAIT).await;
        }
        let inner = self.inner.borrow();
        match inner.past_reports.front() {
            Some((_, report)) => json(StatusCode::OK, report),
            None => empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn set_faults(
        &self,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        let faults: EngineFaults = match read_json(request.into_body()).await {
            Ok(faults) => faults,
            Err(answer) => return *answer,
        };
        if faults.crash {
            std::process::exit(CRASH_CODE);
        }
        let mut inner = self.inner.borrow_mut();
        inner.faults = faults;
        if faults.restart_empty {
            inner.boot = boot_number();
            inner.slots.clear();
            inner.sequences.clear();
            inner.epoch = 0;
            inner.past_reports.clear();
            inner.faults.restart_empty = false;
        }
        json(StatusCode::OK, &faults)
    }
}

/// The exit code of a crash that was asked for.
const CRASH_CODE: i32 = 70;

/// What an answer's JSON looks like.
struct Shape {
    id: String,
    model: String,
    is_chat: bool,
}

#[derive(Serialize)]
struct AnswerJson<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [ChoiceJson<'a>; 1],
}

#[derive(Serialize)]
struct ChoiceJson<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ContentJson<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ContentJson<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ContentJson<'a> {
    content: &'a str,
}

impl Shape {
    fn event(&self, text: &str) -> Bytes {
        let delta = self.is_chat.then_some(ContentJson { content: text });
        let choice = ChoiceJson {
            index: 0,
            text: (!self.is_chat).then_some(text),
            delta,
            message: None,
            finish_reason: None,
        };
        let json = self.json("text_completion.chunk", choice);
        Bytes::from(format!("data: {json}\n\n"))
    }

    fn whole(&self, text: &str) -> Bytes {
        let message = self.is_chat.then_some(ContentJson { content: text });
        let choice = ChoiceJson {
            index: 0,
            text: (!self.is_chat).then_some(text),
            delta: None,
            message,
            finish_reason: Some("length"),
        };
        Bytes::from(self.json("text_completion", choice))
    }

    fn json(&self, object: &str, choice: ChoiceJson<'_>) -> String {
        let answer = AnswerJson {
            id: &self.id,
            object,
            model: &self.model,
            choices: [choice],
        };
        serde_json::to_string(&answer).unwrap_or_default()
    }
}

fn stream_answer(
    rx: mpsc::UnboundedReceiver<TokenEvent>,
    shape: Shape,
) -> Response<LocalBody> {
    // A stream that ends without its last event broke off.
    let events = futures_util::stream::unfold(
        (rx, shape, false),
        |(mut rx, shape, is_over)| async move {
            if is_over {
                return None;
            }
            match rx.next().await {
                Some(TokenEvent::Token(text)) => {
                    let event = shape.event(&text);
                    Some((Ok(event), (rx, shape, false)))
                }
                Some(TokenEvent::End) => {
                    let end = format!("data: {STREAM_END}\n\n");
                    Some((Ok(Bytes::from(end)), (rx, shape, true)))
                }
                None => {
                    let err = std::io::Error::other("stream was cut");
                    Some((Err(err), (rx, shape, true)))
                }
            }
        },
    );
    let mut response = Response::new(LocalBody::chunks(events));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    response
}

async fn whole_answer(
    mut rx: mpsc::UnboundedReceiver<TokenEvent>,
    shape: Shape,
) -> Response<LocalBody> {
    let mut answer = String::new();
    loop {
        match rx.next().await {
            Some(TokenEvent::Token(text)) => answer.push_str(&text),
            Some(TokenEvent::End) => break,
            None => return broken(),
        }
    }
    let mut response = Response::new(LocalBody::full(shape.whole(&answer)));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

fn not_run(status: StatusCode, detail: &str) -> Response<LocalBody> {
    let mut response = json(status, &detail);
    response
        .headers_mut()
        .insert(RUN_STATE_HEADER, http::HeaderValue::from_static(NOT_RUN));
    response
}

fn order_error(failure: OrderFailure) -> Response<LocalBody> {
    let detail = format!("{failure:?}");
    json(StatusCode::CONFLICT, &OrderError { failure, detail })
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).parse().ok()
}

fn urgency(headers: &http::HeaderMap) -> u8 {
    text(headers, PRIORITY_HEADER)
        .strip_prefix("u=")
        .and_then(|text| text.parse().ok())
        .unwrap_or(3)
}

fn boot_number() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_nanos() as u64)
}
