//! Responses to callers and operators: problems, JSON, plain text and headers.

use http::{HeaderValue, Response, StatusCode, header};
use sedgewall_protocol::{
    caller::REQUEST_ID_HEADER,
    problem::{PROBLEM_TYPE, Problem},
};
use sedgewall_transport::LocalBody;
use serde::Serialize;

/// Returns the response of a problem, and counts it by its kind.
pub(crate) fn problem(problem: &Problem) -> Response<LocalBody> {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(LocalBody::full(body));
    *response.status_mut() = problem.status_code();
    set_content_type(&mut response, PROBLEM_TYPE);
    if let Some(secs) = problem.retry_after_s() {
        set_header(&mut response, header::RETRY_AFTER, &secs.to_string());
    }
    metrics::counter!(
        "sedgewall_problems_total",
        "kind" => problem.kind.clone()
    )
    .increment(1);
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<LocalBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(LocalBody::full(body));
    set_content_type(&mut response, "application/json");
    response
}

/// Returns a response with a plain-text body.
pub(crate) fn text(
    status: StatusCode,
    text: impl Into<String>,
) -> Response<LocalBody> {
    let mut response = Response::new(LocalBody::full(text.into()));
    *response.status_mut() = status;
    set_content_type(&mut response, "text/plain; charset=utf-8");
    response
}

/// Sets the header with the request's id.
pub(crate) fn with_request_id(
    mut response: Response<LocalBody>,
    id: &str,
) -> Response<LocalBody> {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Sets the `Content-Type` header.
pub(crate) fn set_content_type(
    response: &mut Response<LocalBody>,
    media_type: &str,
) {
    set_header(response, header::CONTENT_TYPE, media_type);
}

fn set_header(
    response: &mut Response<LocalBody>,
    name: header::HeaderName,
    value: &str,
) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
