//! Waits until an endpoint can take a request.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    view::Target,
    wait_policy::{WaitReason, WaitingRequest},
};

use super::{
    attempt::CallerRequest,
    endpoint_choice::{EndpointSearch, Found, Obstacle},
    instance::FleetInstance,
    progress::Progress,
    refusal::Reason,
};

/// The interval at which a request checks full endpoints for capacity again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// The interval at which a later try checks full endpoints for capacity again.
/// Later tries wait long, and many of them may wait on a small instance.
const LATER_TRY_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Waits until an endpoint can take the request, and returns that endpoint.
pub(crate) async fn wait_for_endpoint(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
) -> Result<Target, Reason> {
    let began = Instant::now();
    let waiting_request = waiting_request(instance, call);
    let mut search = EndpointSearch::begin(instance, call, began);
    loop {
        let now = Instant::now();
        let found = search.look(progress, now);
        progress.waited = now - began;
        let obstacle = match found {
            Found::Endpoint(target) => return Ok(target),
            Found::Later(pause) => {
                sleep_or_woken(instance, call, pause).await;
                continue;
            }
            Found::Nothing(obstacle) => obstacle,
        };
        let until = waiting_request.wait_until(obstacle.wait_reason, now);
        if now >= until {
            progress.available_in = obstacle.available_in();
            return Err(obstacle.reason);
        }
        let pause = pause(&obstacle, &waiting_request);
        sleep_or_woken(instance, call, pause.min(until - now)).await;
    }
}

/// Returns the time after which the request looks for an endpoint again.
fn pause(obstacle: &Obstacle, waiting_request: &WaitingRequest) -> Duration {
    let poll_interval = match waiting_request.is_later_try {
        true => LATER_TRY_POLL_INTERVAL,
        false => CAPACITY_POLL_INTERVAL,
    };
    let target = waiting_request.target;
    match obstacle.wait_reason {
        WaitReason::AdapterLoading(ready_in) => ready_in,
        WaitReason::AdapterNotLoaded { .. } => {
            obstacle.holder_ready_in.unwrap_or(target).min(target)
        }
        WaitReason::NoCapacity => poll_interval,
        WaitReason::Saturated(ready_in) => ready_in.max(poll_interval),
    }
}

/// Returns the bounds on how long a request may wait for an endpoint.
fn waiting_request(
    instance: &FleetInstance,
    call: &CallerRequest,
) -> WaitingRequest {
    let tokens = call.metadata.prompt_tokens;
    let engine_time = match call.key() {
        Some(_) => {
            instance.view.borrow().idle_first_event_time(&call.service, tokens)
        }
        None => Duration::ZERO,
    };
    WaitingRequest {
        arrived: call.arrived,
        deadline: call.deadline,
        target: call.route.target_latency,
        engine_time,
        is_later_try: call.is_later_try && call.is_engine,
    }
}

/// Waits for `time`, or until the state of the request's adapter changes.
async fn sleep_or_woken(
    instance: &FleetInstance,
    call: &CallerRequest,
    time: Duration,
) {
    let pause = time + Duration::from_millis(1);
    match call.key() {
        Some(key) => instance.wait_for_adapter(key, pause).await,
        None => compio::time::sleep(pause).await,
    }
}
