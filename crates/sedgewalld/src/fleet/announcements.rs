//! Announcements that endpoints make about themselves in response headers, and
//! what other instances report of them.
//!
//! Invariant: a header in a response to a caller's request counts only if the
//! response answers that request and comes from the incarnation of the
//! endpoint that the request was sent to. A cooldown in an engine's answer to
//! an order, or to the question what it holds, counts for the incarnation that
//! is known when the answer arrives. Limits that other instances report are
//! applied separately, in [`apply_limit_reports`].

use std::time::Duration;

use http::StatusCode;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    limit_share::{LimitChange, ReportSource},
    note::Status,
    room_share::BrittlenessChange,
    view::AnsweredRequest,
};
use sedgewall_platform::ResponseMetadata;
use sedgewall_state::id::EndpointId;

use super::{
    attempt::CallerRequest, instance::FleetInstance, watch_endpoints,
};

/// Relative change of a limit below which the change is not logged.
const LOGGED_CHANGE: f64 = 0.05;

/// The minimum interval between two log lines about unreadable values.
const UNREADABLE_LOGGED_EVERY: Duration = Duration::from_secs(1);

/// Applies what the response headers announce about the endpoint.
pub(crate) fn apply_response(
    instance: &FleetInstance,
    call: &CallerRequest,
    answered: &AnsweredRequest,
    status: StatusCode,
    metadata: &ResponseMetadata,
) {
    if !is_answer_to(call, status, metadata) {
        return;
    }
    let now = Instant::now();
    log_unreadable(instance, answered, metadata);
    match metadata.announcement.cooldown {
        Some(cooldown) => {
            apply_cooldown(
                instance,
                answered,
                cooldown,
                &call.metadata.request_id,
            );
        }
        None => end_cooldown(instance, answered),
    }
    if metadata.announcement.is_leaving {
        apply_announced_departure(
            instance,
            answered,
            &call.metadata.request_id,
            now,
        );
    }
    let max_rejections = metadata.announcement.max_rejections;
    if max_rejections.per_s().is_some() || metadata.is_sealed {
        let change = instance
            .view
            .borrow_mut()
            .apply_announced_brittleness(answered, max_rejections);
        if let Some(change) = change {
            log_brittleness(&call.service, answered, change);
        }
    }
    let limit = metadata.announcement.limit;
    let is_named = limit.per_s().is_some();
    // An endpoint may reject a request before it looks up its limit, so a
    // rejection without a limit does not mean that the limit is over.
    if is_named || metadata.is_sealed {
        let change = instance
            .view
            .borrow_mut()
            .apply_announced_limit(answered, limit, now);
        if let Some(change) = change {
            log_limit(&answered.endpoint, change, "answer");
        }
    }
}

/// Records that an endpoint asks for a cooldown.
pub(crate) fn apply_cooldown(
    instance: &FleetInstance,
    answered: &AnsweredRequest,
    cooldown: Duration,
    request: &str,
) {
    let now = Instant::now();
    if !instance
        .view
        .borrow_mut()
        .apply_announced_cooldown(answered, cooldown, now)
    {
        return;
    }
    metrics::counter!("sedgewall_endpoint_rests_total").increment(1);
    let endpoint = &answered.endpoint;
    let rest_ms = cooldown.as_millis() as u64;
    tracing::info!(event = "endpoint_rest", endpoint, rest_ms, request);
}

/// Records that an endpoint answered without asking for a cooldown.
fn end_cooldown(instance: &FleetInstance, answered: &AnsweredRequest) {
    if !instance.view.borrow_mut().record_answer(answered) {
        return;
    }
    let endpoint = &answered.endpoint;
    tracing::info!(event = "endpoint_rest_over", endpoint);
    instance.wake_all();
}

/// Logs a value that cannot be read, at most one line a second.
fn log_unreadable(
    instance: &FleetInstance,
    answered: &AnsweredRequest,
    metadata: &ResponseMetadata,
) {
    let Some(value) = &metadata.announcement.unreadable else { return };
    metrics::counter!("sedgewall_announcements_unreadable_total").increment(1);
    let now = Instant::now();
    let logged = instance.unreadable_logged.get();
    if logged.is_some_and(|at| now - at < UNREADABLE_LOGGED_EVERY) {
        return;
    }
    instance.unreadable_logged.set(Some(now));
    let endpoint = &answered.endpoint;
    tracing::warn!(event = "announcement_unreadable", endpoint, value);
}

/// Records that an endpoint is leaving, and tells all other instances.
fn apply_announced_departure(
    instance: &FleetInstance,
    answered: &AnsweredRequest,
    request: &str,
    now: Instant,
) {
    if !instance.view.borrow_mut().apply_announced_departure(answered, now) {
        return;
    }
    metrics::counter!("sedgewall_endpoint_departures_announced_total")
        .increment(1);
    let endpoint = &answered.endpoint;
    tracing::info!(event = "departure_announced", endpoint, request);
    watch_endpoints::broadcast_departures(instance);
    instance.wake_all();
    instance.notify_planner();
}

/// Applies the limits that another instance reports.
pub(crate) fn apply_limit_reports(
    instance: &FleetInstance,
    status: &Status,
    now: Instant,
) {
    let until = now + status.valid_for();
    let (from, is_total) = (&status.from, status.is_total);
    let source = ReportSource { from, is_total, until };
    let mut view = instance.view.borrow_mut();
    for report in &status.limits {
        if let Some(change) = view.apply_limit_report(report, source, now) {
            log_limit(&report.endpoint, change, from);
        }
    }
}

/// Returns whether a response is the endpoint's answer to this request. An
/// endpoint that has taken over the address of another one answers 421, and a
/// surplus response carries the id of another request.
fn is_answer_to(
    call: &CallerRequest,
    status: StatusCode,
    metadata: &ResponseMetadata,
) -> bool {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return false;
    }
    match metadata.request_id.as_deref() {
        Some(id) => id == call.metadata.request_id,
        None => metadata.is_not_run,
    }
}

fn log_brittleness(
    service: &str,
    answered: &AnsweredRequest,
    change: BrittlenessChange,
) {
    let max_rejections_per_s = change.max_rejections_per_s;
    metrics::gauge!(
        "sedgewall_service_brittle", "service" => service.to_owned()
    )
    .set(f64::from(u8::from(max_rejections_per_s.is_some())));
    tracing::info!(
        event = "service_brittle",
        service,
        max_rejections_per_s,
        endpoint = answered.endpoint,
    );
}

fn log_limit(endpoint: &EndpointId, change: LimitChange, heard_from: &str) {
    let LimitChange { was_per_s, per_s } = change;
    if let (Some(was), Some(now)) = (was_per_s, per_s)
        && (now - was).abs() < was * LOGGED_CHANGE
    {
        return;
    }
    metrics::counter!("sedgewall_endpoint_limit_changes_total").increment(1);
    tracing::info!(
        event = "endpoint_limit",
        endpoint,
        per_s,
        was_per_s,
        heard_from,
    );
}
