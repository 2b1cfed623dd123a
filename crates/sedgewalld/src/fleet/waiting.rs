//! Waits until an endpoint can take a request.
//!
//! With ordered waiting, requests wait in the queues of [`super::wait_queues`],
//! and only the request whose turn it is looks for an endpoint. Without it,
//! each request looks for itself at an interval.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    view::Target,
    wait_policy::{WaitReason, WaitingRequest},
    wait_queue::QueuedRequest,
};

use super::{
    attempt::CallerRequest,
    endpoint_choice::{EndpointSearch, Found, Obstacle},
    forwarding::Path,
    instance::FleetInstance,
    progress::Progress,
    refusal::Reason,
    wait_queues::{QueueKey, QueuePlace, RECHECK_INTERVAL, WaitQueues},
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
    match &instance.wait_queues {
        Some(queues) => wait_in_queue(instance, queues, call, progress).await,
        None => poll_for_endpoint(instance, call, progress).await,
    }
}

/// Returns an error if the endpoints of the service are out of reach, and the
/// request either must be forwarded or cannot be served at all.
fn check_path(
    instance: &FleetInstance,
    call: &CallerRequest,
) -> Result<(), Reason> {
    let is_lost = match &call.forwarded {
        Some(_) => instance.reach.borrow().is_lost(&call.service),
        None => instance.path(&call.service) != Path::Direct,
    };
    match is_lost {
        true => Err(Reason::EndpointsUnreachable),
        false => Ok(()),
    }
}

/// Looks for an endpoint at an interval.
async fn poll_for_endpoint(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    progress: &mut Progress,
) -> Result<Target, Reason> {
    let began = Instant::now();
    let waiting_request = waiting_request(instance, call);
    let mut search = EndpointSearch::begin(instance, call, began);
    loop {
        check_path(instance, call)?;
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
            Found::NoneOfVersion => return Err(Reason::NoEndpointOfVersion),
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

/// Looks for an endpoint when it is the request's turn.
async fn wait_in_queue(
    instance: &Rc<FleetInstance>,
    queues: &WaitQueues,
    call: &CallerRequest,
    progress: &mut Progress,
) -> Result<Target, Reason> {
    let began = Instant::now();
    let priority = call.priority();
    let bounds = QueueBounds::of(instance, call);
    let mut search = EndpointSearch::begin(instance, call, began);
    search.end_load_wait(bounds.latest(instance, began));
    search.set_late_from(bounds.in_time_until());
    let mut place = queues.place(QueueKey {
        service: call.service.clone(),
        adapter: call.key().cloned(),
    });
    // A request that has run is not new: its caller has a part of the answer.
    let mut may_look = progress.runs > 0 || !place.must_join(priority, began);
    loop {
        check_path(instance, call)?;
        let now = Instant::now();
        progress.waited = now - began;
        let mut until = bounds.latest(instance, now);
        let mut pause = Duration::MAX;
        let mut lets_others_first = false;
        let mut obstacle = place.last_obstacle();
        if may_look || (place.has_joined() && place.is_next(now)) {
            may_look = false;
            match search.look(progress, now) {
                Found::Endpoint(target) => {
                    if place.has_joined() {
                        metrics::histogram!("sedgewall_queue_wait_seconds")
                            .record(progress.waited.as_secs_f64());
                    }
                    place.sent(priority, now);
                    return Ok(target);
                }
                Found::Later(within) => {
                    lets_others_first = true;
                    may_look = true;
                    pause = within;
                }
                Found::NoneOfVersion => {
                    return Err(Reason::NoEndpointOfVersion);
                }
                Found::Nothing(found) => {
                    until = until.min(bounds.until(&found, now));
                    place.record_obstacle(found);
                    // A draw against a limit, the endpoints that rejected this
                    // request, or the software version of its stream do not
                    // keep other requests back.
                    lets_others_first = found.limit_ends_in.is_some()
                        || !progress.tried.is_empty()
                        || progress.software_version.is_some();
                    let ready_in =
                        found.available_in().or(found.holder_ready_in);
                    pause = ready_in.unwrap_or(pause);
                    obstacle = Some(found);
                    if progress.runs == 0
                        && progress.waited >= RECHECK_INTERVAL
                    {
                        // An endpoint that rejected the request because it
                        // was full may have capacity now.
                        progress.tried.clear();
                    }
                }
            }
            search.redraw();
        } else if let Some(known) = obstacle {
            until = until.min(bounds.until_in_turn(&known, now));
        }
        let has_place = now < until
            && (place.has_joined()
                || place.join(bounds.queued_request(call, until), now));
        if !has_place {
            progress.available_in = obstacle.and_then(|o| o.available_in());
            progress.turn =
                Some(place.rejected(now, bounds.latest_answerable()));
            return Err(obstacle.map_or(Reason::Full, |o| o.reason));
        }
        if lets_others_first {
            place.let_others_first(now);
        }
        wait_for_turn(&place, pause, until, now).await;
    }
}

/// Waits until it may be the request's turn. What it waits for is expected
/// after `pause`.
async fn wait_for_turn(
    place: &QueuePlace<'_>,
    pause: Duration,
    until: Instant,
    now: Instant,
) {
    place.set_send_until(until);
    let within = pause.min(until - now) + Duration::from_millis(1);
    place.woken(within).await;
}

/// How long a request may wait in a queue.
struct QueueBounds {
    request: WaitingRequest,
    /// The expected time from the send to the end of the answer.
    answer_time: Duration,
    /// The expected time from the send to what the target refers to: the first
    /// event of a stream, and the end of any other answer.
    target_time: Duration,
}

impl QueueBounds {
    fn of(instance: &FleetInstance, call: &CallerRequest) -> QueueBounds {
        let request = waiting_request(instance, call);
        let target = request.target;
        let (answer_time, target_time) = match call.key() {
            Some(_) => {
                let begins = request.engine_time;
                let stream_time = instance.mean_stream_time(&call.route.name);
                // Before a stream of the route has ended, the target is the
                // margin for its events, as without ordered waiting.
                let ends = stream_time
                    .map_or(begins.max(target), |time| begins + time);
                (ends, begins)
            }
            None => {
                let view = instance.view.borrow();
                let mean = view.mean_residence_time(&call.service);
                let mean = mean.unwrap_or(target);
                (mean, mean)
            }
        };
        QueueBounds { request, answer_time, target_time }
    }

    /// Returns the latest time at which a retry can be sent and still be
    /// answered before the deadline.
    fn latest_answerable(&self) -> Instant {
        let left = self.request.deadline - self.request.arrived;
        self.request.arrived + left.saturating_sub(self.answer_time)
    }

    /// Returns the latest time at which the request can be sent and still be
    /// answered within the target.
    fn in_time_until(&self) -> Instant {
        self.request.in_time_until(self.target_time)
    }

    /// Returns the latest time at which the request can be sent and still be
    /// answered, before the deadline and before this instance stops.
    fn latest(&self, instance: &FleetInstance, now: Instant) -> Instant {
        let latest = self.request.queued_until(
            WaitReason::NoCapacity,
            self.answer_time,
            now,
        );
        let stop = instance.leaving_since.get().map(|since| {
            since + instance.stop_time().saturating_sub(self.answer_time)
        });
        stop.map_or(latest, |stop| latest.min(stop))
    }

    /// Returns the time until which the request waits for an obstacle that its
    /// own search has just found.
    fn until(&self, obstacle: &Obstacle, now: Instant) -> Instant {
        let reason = match obstacle.holder_ready_in {
            Some(_) => WaitReason::NoCapacity,
            None => obstacle.wait_reason,
        };
        self.request.queued_until(reason, self.answer_time, now)
    }

    /// Returns the time until which the request waits for an obstacle that
    /// another request has found. Remaining times in it are out of date.
    fn until_in_turn(&self, obstacle: &Obstacle, now: Instant) -> Instant {
        match obstacle.wait_reason {
            WaitReason::AdapterNotLoaded { .. } => self.until(obstacle, now),
            _ => self.request.queued_until(
                WaitReason::NoCapacity,
                self.answer_time,
                now,
            ),
        }
    }

    fn queued_request(
        &self,
        call: &CallerRequest,
        until: Instant,
    ) -> QueuedRequest {
        let metadata = &call.metadata;
        let cost = match call.key() {
            Some(_) => metadata.prompt_tokens + metadata.answer_tokens,
            None => 1,
        };
        QueuedRequest {
            priority: call.priority(),
            customer: call.customer.as_ref().map(|c| c.name.clone()),
            cost: cost as f64,
            arrived: call.arrived,
            in_time_until: self.in_time_until(),
            send_until: until,
        }
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
