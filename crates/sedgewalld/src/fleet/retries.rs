//! Sends a request to endpoints until one answers.
//!
//! This module enforces the retry rules. A request is sent to another endpoint
//! only if it certainly did not run or is safe to repeat, and only within the
//! retry budget that all instances share. A refusal says "not run" only if no
//! endpoint can have run the request.

use std::rc::Rc;

use sedgewall_clock::Instant;
use sedgewall_fleet::view::Target;

use super::{
    attempt::{
        self, AttemptError, CallerRequest, GoodAnswer, SendLimits, SentTo,
    },
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
pub(crate) async fn send_with_retries(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<(GoodAnswer, Target), Reason> {
    loop {
        poison::check(instance, call, progress.runs)?;
        let target = match waiting::wait_for_endpoint(instance, call, progress)
            .await
        {
            Ok(target) => target,
            Err(_) if progress.runs > 0 => return Err(Reason::OutcomeUnknown),
            Err(reason) => return Err(reason),
        };
        // While the request waited for capacity, other instances may have
        // reported crashes under it.
        poison::check(instance, call, progress.runs)?;
        let is_first = progress.sends == 0;
        if !is_first && !take_retry(instance, call) {
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
            Ok(good) => return Ok((good, target)),
            Err(err) => err,
        };
        request_log::send_failed(call, progress, &target, &err);
        progress.runs += u32::from(!err.is_not_run());
        if !matches!(err, AttemptError::Misdirected) || call.key().is_none() {
            progress.tried.push(target.id.clone());
        }
        check_retry(call, progress, &err)?;
    }
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
