//! Error responses to callers, as RFC 9457 problem documents.
//!
//! Every problem states whether the request ran. Callers rely on this rule:
//! `not_run` is stated only if the request reached no endpoint, or if the
//! endpoint itself reported that it did not run the request.

use std::time::Duration;

use http::StatusCode;
use sedgewall_state::admission::{Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

/// The media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Whether a failed request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not run; retrying it is safe.
    NotRun,
    /// It is unknown whether the request ran; it may have run once.
    Unknown,
    /// The request ran in part; the response ends with what was received.
    Partial,
}

/// A problem document (RFC 9457).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// A path that identifies the kind of problem; `docs/CALLERS.md` lists all
    /// kinds.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason phrase of the HTTP status.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// An explanation of this occurrence of the problem.
    pub detail: String,
    /// Whether the request ran.
    pub run_state: RunState,
    /// The recommended delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// The id of the request; empty if it is not known.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub request_id: String,
}

impl Problem {
    /// Returns a problem of a kind that `docs/CALLERS.md` lists.
    pub fn new(
        status: StatusCode,
        kind: &str,
        run_state: RunState,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            kind: format!("/problems/{kind}"),
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            detail: detail.into(),
            run_state,
            retry_after_ms: None,
            request_id: String::new(),
        }
    }

    /// Returns the problem for an invalid request.
    pub fn bad_request(detail: impl Into<String>) -> Problem {
        let status = StatusCode::BAD_REQUEST;
        Problem::new(status, "bad_request", RunState::NotRun, detail)
    }

    /// Returns the problem for a request that was rejected by admission
    /// control. It carries a retry delay, except for an unknown adapter.
    pub fn from_refusal(refusal: &Refusal) -> Problem {
        let (status, detail) = status_and_detail(refusal.reason);
        let kind = refusal.reason.as_str();
        let problem = Problem::new(status, kind, RunState::NotRun, detail);
        if refusal.reason == RefusalReason::UnknownAdapter {
            return problem;
        }
        problem.with_retry_after(refusal.retry_after)
    }

    /// Sets the recommended delay before a retry.
    pub fn with_retry_after(mut self, after: Duration) -> Problem {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }

    /// Sets the id of the request.
    pub fn with_request_id(mut self, id: &str) -> Problem {
        self.request_id = id.to_owned();
        self
    }

    /// Returns the value of the `Retry-After` header: the recommended delay in
    /// seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000))
    }

    /// Returns the HTTP status code of the response.
    pub fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}

fn status_and_detail(reason: RefusalReason) -> (StatusCode, &'static str) {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match reason {
        RefusalReason::DeadlineUnreachable => {
            (unavailable, "the expected wait is longer than the deadline")
        }
        RefusalReason::DeadlinePassed => {
            (StatusCode::GATEWAY_TIMEOUT, "the deadline passed in the queue")
        }
        RefusalReason::QueueFull => (unavailable, "the queue is full"),
        RefusalReason::Shed => {
            (unavailable, "the request made room for one of higher priority")
        }
        RefusalReason::CallerShare => (
            StatusCode::TOO_MANY_REQUESTS,
            "the caller has its share of the queue",
        ),
        RefusalReason::NoEngine => (unavailable, "no engine takes work"),
        RefusalReason::UnknownAdapter => (
            StatusCode::NOT_FOUND,
            "the configuration names no such adapter and version",
        ),
        RefusalReason::NotLeader | RefusalReason::NoLeader => {
            (unavailable, "the shard has no leader at the moment")
        }
        RefusalReason::EntryFull => {
            (unavailable, "the instance holds as many requests as it may")
        }
        RefusalReason::RetriesSpent => {
            (unavailable, "the request was turned down by engines too often")
        }
    }
}
