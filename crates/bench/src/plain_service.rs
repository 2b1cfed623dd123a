//! A stand-in for a plain service, some of whose calls may not be repeated.

use std::{cell::RefCell, rc::Rc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sedgewall_protocol::caller::REQUEST_ID_HEADER;
use sedgewall_transport::{LocalBody, server::read_body};
use serde::{Deserialize, Serialize};

use crate::{
    engine::Run,
    http::{BODY_TIME, MAX_BODY, broken, json, read_json},
};

/// The exit code of a crash that was asked for.
const CRASH_CODE: i32 = 70;

/// Faults that the stand-in shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// The next calls take effect but their answers are lost.
    pub lose_answers: u32,
    /// A delay beyond the usual one, in milliseconds.
    pub delay_ms: u64,
    /// Turns calls away and asks for so long a rest, in seconds, if any.
    pub rest_s: u64,
    /// The process ends as soon as the next call has begun.
    pub crash_in_call: bool,
}

/// What the service counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceStats {
    /// Calls that ran.
    pub runs: u64,
    /// Calls that were not repeatable.
    pub unrepeatable_runs: u64,
    /// Calls that were not repeatable and ran again.
    pub doubled: u64,
    /// Calls that were turned away.
    pub turned_away: u64,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceAnswer {
    /// The path that was called.
    pub path: String,
    /// The request's id.
    pub request_id: String,
    /// The length of the body, in bytes.
    pub body_len: usize,
}

/// The service's state.
pub struct PlainService {
    time: Duration,
    runs: RefCell<Vec<Run>>,
    stats: RefCell<ServiceStats>,
    faults: RefCell<ServiceFaults>,
}

impl PlainService {
    /// Returns a service that takes this long for a call.
    pub fn new(time: Duration) -> Rc<PlainService> {
        Rc::new(PlainService {
            time,
            runs: RefCell::default(),
            stats: RefCell::default(),
            faults: RefCell::default(),
        })
    }

    /// Answers one request.
    pub async fn answer(
        self: Rc<PlainService>,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        match request.uri().path() {
            "/runs" => return json(StatusCode::OK, &*self.runs.borrow()),
            "/stats" => return json(StatusCode::OK, &*self.stats.borrow()),
            "/faults" => {
                return match read_json(request.into_body()).await {
                    Ok(faults) => {
                        *self.faults.borrow_mut() = faults;
                        json(StatusCode::OK, &faults)
                    }
                    Err(answer) => *answer,
                };
            }
            _ => {}
        }
        self.run(request).await
    }

    async fn run(&self, request: Request<Incoming>) -> Response<LocalBody> {
        let rest_s = self.faults.borrow().rest_s;
        if rest_s > 0 {
            let mut stats = self.stats.borrow_mut();
            stats.turned_away += 1;
            let mut answer = json(StatusCode::SERVICE_UNAVAILABLE, &*stats);
            let rest = http::HeaderValue::from(rest_s);
            answer.headers_mut().insert(http::header::RETRY_AFTER, rest);
            return answer;
        }
        self.note_run(&request);
        if self.faults.borrow().crash_in_call {
            std::process::exit(CRASH_CODE);
        }
        let path = request.uri().path().to_owned();
        let request_id = header(&request, REQUEST_ID_HEADER);
        let body = read_body(request.into_body(), MAX_BODY, BODY_TIME).await;
        let delay = Duration::from_millis(self.faults.borrow().delay_ms);
        compio::time::sleep(self.time + delay).await;
        if self.takes_lost_answer() {
            return broken();
        }
        let body_len = body.map_or(0, |bytes| bytes.len());
        let answer = ServiceAnswer { path, request_id, body_len };
        json(StatusCode::OK, &answer)
    }

    fn note_run(&self, request: &Request<Incoming>) {
        let run = Run::from_headers(request.headers());
        let mut stats = self.stats.borrow_mut();
        let mut runs = self.runs.borrow_mut();
        stats.runs += 1;
        if !run.is_repeatable {
            stats.unrepeatable_runs += 1;
            let is_doubled = runs
                .iter()
                .any(|old: &Run| !old.is_repeatable && old.key == run.key);
            stats.doubled += u64::from(is_doubled);
        }
        runs.push(run);
    }

    fn takes_lost_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }
}

fn header<B>(request: &Request<B>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}
