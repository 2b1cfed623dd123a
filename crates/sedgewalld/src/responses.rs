//! Answers to callers and operators: problems, JSON and headers.

use http::{HeaderValue, Response, StatusCode, header};
use sedgewall_protocol::{
    caller::REQUEST_ID_HEADER,
    problem::{PROBLEM_TYPE, Problem},
};
use sedgewall_transport::LocalBody;
use serde::Serialize;

/// Returns the answer that tells a problem.
pub(crate) fn problem(problem: &Problem) -> Response<LocalBody> {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(LocalBody::full(body));
    *response.status_mut() = problem.status_code();
    set_type(&mut response, PROBLEM_TYPE);
    if let Some(secs) = problem.retry_after_s() {
        set(&mut response, header::RETRY_AFTER, &secs.to_string());
    }
    metrics::counter!(
        "sedgewall_problems_total",
        "kind" => problem.kind.clone()
    )
    .increment(1);
    response
}

/// Returns an answer with a JSON body.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<LocalBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(LocalBody::full(body));
    set_type(&mut response, "application/json");
    response
}

/// Returns an answer with a text.
pub(crate) fn text(
    status: StatusCode,
    text: impl Into<String>,
) -> Response<LocalBody> {
    let mut response = Response::new(LocalBody::full(text.into()));
    *response.status_mut() = status;
    set_type(&mut response, "text/plain; charset=utf-8");
    response
}

/// Adds the request's id.
pub(crate) fn with_request_id(
    mut response: Response<LocalBody>,
    id: &str,
) -> Response<LocalBody> {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Sets the media type.
pub(crate) fn set_type(response: &mut Response<LocalBody>, kind: &str) {
    set(response, header::CONTENT_TYPE, kind);
}

fn set(
    response: &mut Response<LocalBody>,
    name: header::HeaderName,
    value: &str,
) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
