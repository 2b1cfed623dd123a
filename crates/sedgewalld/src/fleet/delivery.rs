//! Delivers an endpoint's response to the caller: a streamed one as it arrives,
//! any other one whole.

use std::rc::Rc;

use http::{Response, StatusCode};
use sedgewall_fleet::poison::Loss;
use sedgewall_platform::call::caller_response_headers;
use sedgewall_transport::{LocalBody, SendError};

use super::{
    attempt::{CallerRequest, GoodAnswer, Responder, SentTo},
    buffered_delivery, forwarding,
    in_flight::OpenRequestGuard,
    instance::FleetInstance,
    poison,
    progress::Progress,
    refusal::{self, Reason},
    relay, request_log, retries,
};

/// Returns the caller's response for an endpoint's response.
pub(crate) async fn forward(
    instance: &Rc<FleetInstance>,
    call: Rc<CallerRequest>,
    mut progress: Progress,
    good: GoodAnswer,
    responder: Responder,
    open: OpenRequestGuard,
) -> Response<LocalBody> {
    let status = good.answer.status;
    if call.route.is_stream && status.is_success() {
        let mut headers = caller_response_headers(&good.answer.headers);
        if call.forwarded.is_some()
            && let Some(version) = responder.software_version()
        {
            // The other instance takes the stream to be of this version.
            forwarding::state_version(&mut headers, version);
            progress.software_version = Some(version.clone());
        }
        let (stream, is_resuming) = relay::stream(
            instance.clone(),
            call.clone(),
            progress.clone(),
            good,
            responder,
            open,
        );
        // The first bytes of a broken body mostly come with its head, and the
        // caller can still get another response.
        let begun = stream.begin(|| is_resuming.get());
        let begun = instance.before_stop_ends(begun).await;
        let Some(Ok(stream)) = begun else {
            return outcome_unknown(&call, &progress);
        };
        let mut response = Response::new(stream);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return response;
    }
    buffered_delivery::forward_whole(
        instance, call, progress, good, responder, open,
    )
    .await
}

/// Records that an endpoint's whole response was read.
pub(super) fn served_whole(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
    responder: &Responder,
    status: StatusCode,
    delivered: &request_log::Delivered,
) {
    request_log::served(instance, call, progress, responder, delivered);
    if status.is_success() {
        poison::run_succeeded(instance, call);
    }
}

/// Returns the answer to a request whose response has not come whole when this
/// instance ends.
pub(super) fn unfinished(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
) -> Response<LocalBody> {
    poison::last_run_lost(instance, call, Loss::CallerLeft);
    outcome_unknown(call, progress)
}

/// Returns the answer to a request that may have run.
pub(super) fn outcome_unknown(
    call: &CallerRequest,
    progress: &Progress,
) -> Response<LocalBody> {
    refused(call, progress, Reason::OutcomeUnknown)
}

fn refused(
    call: &CallerRequest,
    progress: &Progress,
    reason: Reason,
) -> Response<LocalBody> {
    let retry_in = progress.retry_delay(call);
    request_log::refused(call, progress, reason, retry_in);
    refusal::answer(reason, retry_in, call.forwarded.is_some())
}

/// Returns the answer to a request whose response has not come whole in time.
pub(super) fn timed_out(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
) -> Response<LocalBody> {
    poison::last_run_lost(instance, call, Loss::Broken);
    refused(call, progress, Reason::TimedOut)
}

/// Records that a response broke off, which is a failure of its endpoint.
pub(super) fn record_broken(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    responder: &Responder,
    err: &SendError,
) {
    let cause = err.to_string();
    let target = match responder {
        Responder::Endpoint(target) => target,
        Responder::Instance { id, .. } => {
            forwarding::body_broken(call, id, &cause);
            return;
        }
    };
    let sent = call.sent_at();
    if err.is_of_live_endpoint() {
        let sent_to = SentTo { endpoint: target.id.clone(), at: sent };
        poison::response_unusable(instance, call, &sent_to, err);
    } else {
        let loss = Loss::Broken;
        poison::run_broken(instance, call, target, sent, loss, &cause);
    }
    instance.record_endpoint_failure(&call.service, target);
}

/// Sends a repeatable request again after its response broke off before the
/// caller got any of it. Returns `None` if no other attempt is allowed, or none
/// brings a response.
pub(super) async fn send_again(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
    responder: &Responder,
) -> Option<(GoodAnswer, Responder)> {
    // Another instance may have made all attempts. On the route of a stream
    // the next response may be one, which is not read whole.
    let target = responder.endpoint().filter(|_| !call.route.is_stream)?;
    progress.runs += 1;
    progress.arrivals += 1;
    progress.open_at.clear();
    progress.tried.push(target.id.clone());
    if !retries::may_begin_beside(call, progress, 0) {
        return None;
    }
    let sending = retries::send_with_retries(instance, call, progress, None);
    instance.before_stop_ends(sending).await?.ok()
}
