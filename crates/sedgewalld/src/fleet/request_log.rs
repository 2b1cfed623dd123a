//! Log lines: one for the end of each request, and one for each attempt that
//! brought no response to forward, whether or not the endpoint answered.
//! Requests that are refused before they are admitted are logged in
//! [`super::caller`], and streams that break in [`super::relay`].

use std::{rc::Rc, time::Duration};

use sedgewall_fleet::{
    adapter::AdapterKey, engine_pools::RequestClass, poison::Loss,
    view::Target,
};
use sedgewall_transport::BodyFraming;

use super::{
    attempt::{AttemptError, CallerRequest, Responder},
    forwarding::Forwarded,
    instance::FleetInstance,
    poison,
    progress::Progress,
    refusal::Reason,
};

/// Detects a request that is dropped before it has a response: when a caller
/// leaves, the task that handles its request is dropped.
pub(crate) struct UnansweredGuard {
    instance: Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    is_answered: bool,
}

impl UnansweredGuard {
    pub(crate) fn begin(
        instance: &Rc<FleetInstance>,
        call: Rc<CallerRequest>,
    ) -> UnansweredGuard {
        UnansweredGuard {
            instance: instance.clone(),
            call,
            is_answered: false,
        }
    }

    pub(crate) fn answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            caller_left(&self.call, 0);
            poison::last_run_lost(
                &self.instance,
                &self.call,
                Loss::CallerLeft,
            );
        }
    }
}

/// Logs a request whose caller left before the end of its response.
pub(crate) fn caller_left(call: &CallerRequest, bytes: usize) {
    metrics::counter!("sedgewall_callers_left_total").increment(1);
    tracing::info!(
        event = "caller_left",
        request = call.metadata.request_id,
        route = call.route.name,
        key = call.metadata.key.as_ref().map(AdapterKey::to_string),
        endpoint = call.sent_to.borrow().as_ref().map(|to| &to.endpoint),
        is_later_try = call.is_later_try,
        bytes,
        held_ms = call.arrived.elapsed().as_millis() as u64,
    );
}

/// Logs a request that another instance has forwarded.
pub(crate) fn forward_accepted(call: &CallerRequest, forwarded: &Forwarded) {
    metrics::counter!("sedgewall_forwards_accepted_total").increment(1);
    tracing::info!(
        event = "forward_accepted",
        request = call.metadata.request_id,
        from = forwarded.by,
        sends = forwarded.sends,
        runs = forwarded.runs,
    );
}

/// Logs an attempt that brought no response to forward.
pub(crate) fn send_failed(
    call: &CallerRequest,
    progress: &Progress,
    target: &Target,
    err: &AttemptError,
    took: Duration,
) {
    metrics::counter!("sedgewall_sends_failed_total", "cause" => err.name())
        .increment(1);
    tracing::info!(
        event = "send_failed",
        request = call.metadata.request_id,
        endpoint = target.id,
        send = progress.sends,
        cause = err.name(),
        detail = err.detail(),
        in_flight = target.in_flight,
        took_ms = took.as_millis() as u64,
        left_ms = call.left().as_millis() as u64,
    );
}

/// What a caller received of an endpoint's response, and when.
pub(crate) struct Delivered {
    /// The time from the arrival of the request to the response headers.
    pub(crate) head_time: Duration,
    /// How the endpoint marked the end of the body.
    pub(crate) framing: BodyFraming,
    pub(crate) bytes: usize,
    /// The longest time without a byte, after the headers.
    pub(crate) longest_pause: Duration,
}

/// Logs a request that an endpoint served.
pub(crate) fn served(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
    responder: &Responder,
    delivered: &Delivered,
) {
    let target = responder.endpoint();
    let through = match responder {
        Responder::Endpoint(_) => None,
        Responder::Instance { id, .. } => Some(id),
    };
    metrics::counter!("sedgewall_served_total").increment(1);
    metrics::histogram!("sedgewall_first_byte_seconds")
        .record(delivered.head_time.as_secs_f64());
    tracing::info!(
        event = "served",
        request = call.metadata.request_id,
        route = call.route.name,
        customer = call.customer.as_ref().map(|c| c.name.as_str()),
        key = call.metadata.key.as_ref().map(AdapterKey::to_string),
        class = instance.split_class(call).map(RequestClass::name),
        endpoint = target.map(|target| &target.id),
        software_version =
            responder.software_version().map(tracing::field::display),
        resumes = call.metadata.resumes,
        through,
        in_flight = target.map(|target| target.in_flight),
        unread_tokens = target.map(|target| target.unread_tokens),
        predicted_ms = target
            .and_then(|target| target.predicted)
            .map(|predicted| predicted.as_millis() as u64),
        prompt_tokens = call.metadata.prompt_tokens,
        engine_ms = progress.engine_time.as_millis() as u64,
        sends = progress.sends,
        waited_ms = progress.waited.as_millis() as u64,
        is_later_try = call.is_later_try,
        head_ms = delivered.head_time.as_millis() as u64,
        longest_pause_ms = delivered.longest_pause.as_millis() as u64,
        configuration = call.decided_by.version,
        configuration_read_ms_ago = call.decided_by.read_ms_ago(),
        target_ms = call.route.target_latency.as_millis() as u64,
        gap_ms = call.route.gap.map(|gap| gap.as_millis() as u64),
        took_ms = call.arrived.elapsed().as_millis() as u64,
        framing = delivered.framing.name(),
        bytes = delivered.bytes,
    );
}

/// Counts a stream that ended, and whether a gap between its events exceeded
/// what its route allows.
pub(crate) fn stream_ended(
    instance: &FleetInstance,
    call: &CallerRequest,
    longest_wait: Duration,
) {
    let Some(gap) = call.route.gap.filter(|_| call.is_engine) else { return };
    let is_delayed = longest_wait > gap;
    let service = &call.service;
    metrics::counter!(
        "sedgewall_streams_ended_total", "service" => service.clone()
    )
    .increment(1);
    metrics::counter!(
        "sedgewall_streams_delayed_total", "service" => service.clone()
    )
    .increment(u64::from(is_delayed));
    instance.stream_counts.borrow_mut().stream_ended(service, is_delayed);
}

/// Logs a request that got a response of this instance's own.
pub(crate) fn refused(
    call: &CallerRequest,
    progress: &Progress,
    reason: Reason,
    retry_in: Duration,
) {
    let retry_in = progress.turn.map(|_| reason.retry_after(retry_in));
    metrics::counter!("sedgewall_refused_total", "reason" => reason.name())
        .increment(1);
    tracing::info!(
        event = "refused",
        request = call.metadata.request_id,
        resumes = call.metadata.resumes,
        last_event = call.metadata.last_event,
        route = call.route.name,
        customer = call.customer.as_ref().map(|c| c.name.as_str()),
        key = call.metadata.key.as_ref().map(AdapterKey::to_string),
        reason = reason.name(),
        configuration = call.decided_by.version,
        configuration_read_ms_ago = call.decided_by.read_ms_ago(),
        newest_heard = call.decided_by.newest_heard,
        sends = progress.sends,
        runs = progress.runs,
        is_later_try = call.is_later_try,
        held_ms = call.arrived.elapsed().as_millis() as u64,
        left_ms = call.left().as_millis() as u64,
        queue_position = progress.turn.map(|turn| turn.position),
        retry_in_ms = retry_in.flatten().map(|d| d.as_millis() as u64),
    );
}
