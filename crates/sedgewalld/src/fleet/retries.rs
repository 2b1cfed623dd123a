//! Sends a request to endpoints until one answers.
//!
//! This module enforces the retry rules. A request is sent to another endpoint
//! only if it certainly did not run or is safe to repeat, and only within the
//! retry budget that all instances share. A refusal says "not run" only if no
//! endpoint can have run the request. How long an attempt is silent before
//! another one may begin beside it is decided in [`super::open_attempts`].

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;

use super::{
    attempt::{AttemptError, CallerRequest, GoodAnswer, Responder},
    forwarding::{ForwardError, Path},
    instance::FleetInstance,
    open_attempts::{Destination, EndedAttempt, Event, OpenAttempts},
    poison,
    progress::Progress,
    refusal::Reason,
    request_log, waiting,
};

/// The maximum number of sends for one request, including those that an
/// endpoint rejected.
pub(crate) const MAX_SENDS: u32 = 6;

/// The interval at which a request with a silent attempt looks for another
/// endpoint.
pub(crate) const SEEK_INTERVAL: Duration = Duration::from_millis(60);

/// Sends the request to endpoints until one answers, within the retry rules.
/// While this instance reaches none, sends it through other instances.
pub(crate) async fn send_with_retries(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<(GoodAnswer, Responder), Reason> {
    let open = OpenAttempts::new(instance, call, last_event);
    wait_for_answer(instance, call, progress, open).await
}

/// Waits until one of the open attempts brings a response, and begins others
/// within the retry rules.
pub(crate) async fn wait_for_answer<'a>(
    instance: &'a Rc<FleetInstance>,
    call: &'a CallerRequest,
    progress: &mut Progress,
    mut open: OpenAttempts<'a>,
) -> Result<(GoodAnswer, Responder), Reason> {
    // An endpoint's error response, which is the final answer unless another
    // attempt that is open brings a better one.
    let mut error_response = None;
    loop {
        if open.is_empty() {
            let to = find_destination(instance, call, progress).await?;
            open.begin(progress, to);
        }
        let ended = match open.next_event(progress).await {
            Event::Ended(ended) => ended,
            Event::MayBegin(to) => {
                open.begin(progress, to);
                continue;
            }
            Event::OverlapEnded => {
                open.keep_last(progress);
                continue;
            }
        };
        progress.engine_time = ended.took();
        let Err(failure) = ended.check() else {
            open.close(&ended, progress);
            return ended.into_answer().ok_or(Reason::OutcomeUnknown);
        };
        record_failure(call, progress, &ended, &failure);
        if ended.is_error_response() {
            error_response = Some(ended);
        }
        if !open.is_empty() {
            continue;
        }
        let Err(reason) = check_failure(call, progress, failure) else {
            if open.is_open_elsewhere() {
                return Err(Reason::OutcomeUnknown);
            }
            error_response = None;
            continue;
        };
        let Some(ended) = error_response.take() else { return Err(reason) };
        open.close(&ended, progress);
        return ended.into_answer().ok_or(reason);
    }
}

/// Why an attempt did not bring the final answer, by where the request was
/// sent.
pub(crate) enum Failure {
    Endpoint(AttemptError),
    Instance(ForwardError),
}

/// Finds out where to send a request that no endpoint works on.
async fn find_destination(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
) -> Result<Destination, Reason> {
    loop {
        if progress.runs > 0 {
            poison::check_repetition(instance, call).await?;
        }
        poison::decide_ends(instance, call).await;
        poison::check(instance, call, progress.runs)?;
        if may_forward(instance, call) {
            take_retry_if_repeated(instance, call, progress)?;
            return Ok(Destination::Instance);
        }
        count_request(instance, call, progress);
        let target = match waiting::wait_for_endpoint(instance, call, progress)
            .await
        {
            Ok(target) => target,
            Err(Reason::EndpointsUnreachable)
                if may_forward(instance, call) =>
            {
                continue;
            }
            Err(_) if progress.runs > 0 => return Err(Reason::OutcomeUnknown),
            Err(reason) => return Err(reason),
        };
        // While the request waited for capacity, other instances may have
        // reported crashes under it.
        poison::check(instance, call, progress.runs)?;
        take_retry_if_repeated(instance, call, progress)?;
        return Ok(Destination::Endpoint(target));
    }
}

/// Returns whether another attempt may begin beside this many open ones.
pub(crate) fn may_begin_beside(
    call: &CallerRequest,
    progress: &Progress,
    open: u32,
) -> bool {
    call.is_repeatable()
        && progress.runs + open < call.route.max_attempts
        && progress.sends < MAX_SENDS
}

/// Looks for a destination of another attempt beside the open ones until there
/// is one, and takes a retry for it.
pub(crate) async fn seek_destination(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &Progress,
) -> Destination {
    loop {
        let found = find_beside(instance, call, progress).await;
        if let Some(to) = found.filter(|_| take_retry(instance, call)) {
            return to;
        }
        compio::time::sleep(SEEK_INTERVAL).await;
    }
}

/// Returns where another attempt may be sent beside the open ones, if there is
/// such a destination and a retry is left for it.
async fn find_beside(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &Progress,
) -> Option<Destination> {
    if !is_retry_left(instance, call) {
        return None;
    }
    let mut progress = progress.clone();
    progress.runs += 1;
    poison::check_repetition(instance, call).await.ok()?;
    poison::check(instance, call, progress.runs).ok()?;
    if may_forward(instance, call) {
        return Some(Destination::Instance);
    }
    let target = waiting::wait_for_endpoint(instance, call, &mut progress)
        .await
        .ok()?;
    poison::check(instance, call, progress.runs).ok()?;
    Some(Destination::Endpoint(target))
}

/// Counts the request towards the retry budget, once.
fn count_request(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &mut Progress,
) {
    if !std::mem::replace(&mut progress.is_counted, true) {
        let mut budget = instance.budget.borrow_mut();
        budget.count_request(&call.service, call.arrived);
    }
}

/// Returns whether the request must go through another instance. A request
/// that another instance has forwarded is not forwarded again.
fn may_forward(instance: &FleetInstance, call: &CallerRequest) -> bool {
    call.forwarded.is_none() && instance.path(&call.service) == Path::Forward
}

/// Records that an attempt has failed.
fn record_failure(
    call: &CallerRequest,
    progress: &mut Progress,
    ended: &EndedAttempt<'_>,
    failure: &Failure,
) {
    match (failure, ended.target()) {
        (Failure::Endpoint(err), Some(target)) => {
            let took = ended.took();
            request_log::send_failed(call, progress, target, err, took);
            progress.runs += u32::from(!err.is_not_run());
            progress.arrivals +=
                u32::from(!matches!(err, AttemptError::Unreachable(_)));
            if !matches!(err, AttemptError::Misdirected)
                || call.key().is_none()
            {
                progress.tried.push(target.id.clone());
            }
        }
        (Failure::Instance(ForwardError::Unclear { .. }), _) => {
            progress.sends += 1;
            progress.runs += 1;
            progress.arrivals += 1;
        }
        _ => {}
    }
}

/// Returns `Ok` if another attempt is allowed after the last open one has
/// failed, otherwise the reason for the final answer.
fn check_failure(
    call: &CallerRequest,
    progress: &mut Progress,
    failure: Failure,
) -> Result<(), Reason> {
    let err = match failure {
        Failure::Endpoint(err) => err,
        Failure::Instance(ForwardError::Unclear { is_timeout: true }) => {
            AttemptError::TimedOut
        }
        Failure::Instance(ForwardError::Unclear { is_timeout: false }) => {
            AttemptError::Unclear(String::new())
        }
        Failure::Instance(ForwardError::Refused { reason, .. })
            if progress.runs > 0 =>
        {
            return Err(match reason {
                Reason::TimedOut => reason,
                _ => Reason::OutcomeUnknown,
            });
        }
        Failure::Instance(ForwardError::Refused { reason, retry_after }) => {
            progress.stated_retry_delay = retry_after;
            return Err(reason);
        }
        Failure::Instance(ForwardError::NoInstance) => {
            return Err(match progress.runs {
                0 => Reason::NobodyThere,
                _ => Reason::OutcomeUnknown,
            });
        }
    };
    check_retry(call, progress, &err)
}

/// Takes one retry if the request may have reached an endpoint before.
fn take_retry_if_repeated(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
) -> Result<(), Reason> {
    if progress.arrivals == 0 || take_retry(instance, call) {
        return Ok(());
    }
    Err(match progress.runs {
        0 => Reason::RetriesSpent,
        _ => Reason::OutcomeUnknown,
    })
}

/// Returns whether the budget that all instances share has a retry left.
fn is_retry_left(instance: &FleetInstance, call: &CallerRequest) -> bool {
    let now = Instant::now();
    let instances = instance.instance_count();
    instance.budget.borrow_mut().is_left(&call.service, now, instances)
}

/// Takes one retry out of the budget that all instances share.
fn take_retry(instance: &FleetInstance, call: &CallerRequest) -> bool {
    let now = Instant::now();
    let instances = instance.instance_count();
    instance.budget.borrow_mut().take(&call.service, now, instances)
}

/// Returns `Ok` if another attempt is allowed, otherwise the reason for the
/// final answer.
fn check_retry(
    call: &CallerRequest,
    progress: &Progress,
    err: &AttemptError,
) -> Result<(), Reason> {
    let is_over = call.left().is_zero();
    if progress.runs == 0 {
        return match (is_over, progress.sends >= MAX_SENDS) {
            (true, _) => Err(Reason::TooLate),
            (_, true) => Err(Reason::RetriesSpent),
            _ => Ok(()),
        };
    }
    let may_repeat = call.is_repeatable()
        && progress.runs < call.route.max_attempts
        && progress.sends < MAX_SENDS;
    if may_repeat && !is_over {
        return Ok(());
    }
    Err(match err {
        AttemptError::TimedOut => Reason::TimedOut,
        _ => Reason::OutcomeUnknown,
    })
}
