//! Sends a request to endpoints until one answers.
//!
//! This module enforces the retry rules. A request is sent to another endpoint
//! only if it certainly did not run or is safe to repeat, and only within the
//! retry budget that all instances share. A refusal says "not run" only if no
//! endpoint can have run the request.

use std::rc::Rc;

use sedgewall_clock::Instant;

use super::{
    attempt::{
        self, AttemptError, CallerRequest, GoodAnswer, Responder, SendGuard,
        SendLimits, SentTo,
    },
    forwarding::{self, ForwardError, Path},
    instance::FleetInstance,
    poison,
    progress::Progress,
    refusal::Reason,
    request_log, waiting,
};

/// The timeout of an attempt of a repeatable request, in multiples of the
/// route's target latency. After it, the request goes to another endpoint.
const ATTEMPT_TIMEOUT_TARGETS: f64 = 2.5;

/// The maximum number of sends for one request, including those that an
/// endpoint rejected.
const MAX_SENDS: u32 = 6;

/// Sends the request to endpoints until one answers, within the retry rules.
/// While this instance reaches none, sends it through other instances.
pub(crate) async fn send_with_retries(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<(GoodAnswer, Responder), Reason> {
    loop {
        if progress.runs > 0 {
            poison::check_repetition(instance, call).await?;
        }
        poison::decide_ends(instance, call).await;
        poison::check(instance, call, progress.runs)?;
        if may_forward(instance, call) {
            match forward(instance, call, progress, last_event).await? {
                Some(answered) => return Ok(answered),
                None => continue,
            }
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
        if progress.arrivals > 0 && !take_retry(instance, call) {
            return Err(match progress.runs {
                0 => Reason::RetriesSpent,
                _ => Reason::OutcomeUnknown,
            });
        }
        progress.sends += 1;
        let to = SentTo { endpoint: target.id.clone(), at: Instant::now() };
        *call.sent_to.borrow_mut() = Some(to);
        let limits = send_limits(call, progress);
        let began = Instant::now();
        let sent =
            attempt::send(instance, call, &target, last_event, limits).await;
        progress.engine_time = began.elapsed();
        let err = match sent {
            Ok(good) => return Ok((good, Responder::Endpoint(target))),
            Err(err) => err,
        };
        request_log::send_failed(call, progress, &target, &err);
        progress.runs += u32::from(!err.is_not_run());
        progress.arrivals +=
            u32::from(!matches!(err, AttemptError::Unreachable(_)));
        if !matches!(err, AttemptError::Misdirected) || call.key().is_none() {
            progress.tried.push(target.id.clone());
        }
        check_retry(call, progress, &err)?;
    }
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

/// Sends the request through another instance. Returns `None` if another
/// attempt is allowed.
async fn forward(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<Option<(GoodAnswer, Responder)>, Reason> {
    if progress.arrivals > 0 && !take_retry(instance, call) {
        return Err(match progress.runs {
            0 => Reason::RetriesSpent,
            _ => Reason::OutcomeUnknown,
        });
    }
    *call.sent_to.borrow_mut() = None;
    let limits = send_limits(call, progress);
    let began = Instant::now();
    let sent =
        forwarding::send(instance, call, progress, last_event, limits).await;
    progress.engine_time = began.elapsed();
    let is_timeout = match sent {
        Ok(forwarded) => {
            let forwarding::ForwardedAnswer {
                answer,
                through,
                software_version,
                guard,
            } = forwarded;
            let guard = SendGuard::Instance { _guard: guard };
            let good = GoodAnswer { answer, guard };
            let id = through;
            let responder = Responder::Instance { id, software_version };
            return Ok(Some((good, responder)));
        }
        Err(ForwardError::Refused { reason, .. }) if progress.runs > 0 => {
            return Err(match reason {
                Reason::TimedOut => reason,
                _ => Reason::OutcomeUnknown,
            });
        }
        Err(ForwardError::Refused { reason, retry_after }) => {
            progress.stated_retry_delay = retry_after;
            return Err(reason);
        }
        Err(ForwardError::NoInstance) if progress.runs > 0 => {
            return Err(Reason::OutcomeUnknown);
        }
        Err(ForwardError::NoInstance) => return Err(Reason::NobodyThere),
        Err(ForwardError::Unclear { is_timeout }) => is_timeout,
    };
    progress.sends += 1;
    progress.runs += 1;
    progress.arrivals += 1;
    let err = match is_timeout {
        true => AttemptError::TimedOut,
        false => AttemptError::Unclear(String::new()),
    };
    check_retry(call, progress, &err)?;
    Ok(None)
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

fn send_limits(call: &CallerRequest, progress: &Progress) -> SendLimits {
    let left = call.left();
    let is_last =
        !call.is_repeatable() || progress.runs + 1 >= call.route.max_attempts;
    let time_limit =
        call.route.target_latency.mul_f64(ATTEMPT_TIMEOUT_TARGETS);
    let within = if is_last { left } else { left.min(time_limit) };
    SendLimits { within, is_last }
}
