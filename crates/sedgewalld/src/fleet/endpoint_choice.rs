//! Looks for an endpoint that can take a request now, and tells why there is
//! none.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    view::{Choice, Need, Target},
    wait_policy::WaitReason,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    attempt::CallerRequest,
    instance::FleetInstance,
    permits::{Permits, PermittedChoice},
    progress::Progress,
    refusal::Reason,
};

/// How long a request that would be late at every endpoint waits for its
/// adapter to be loaded on an engine that can start sooner. A load from the
/// weight store takes 0.25 s; the rest is for giving the order.
const LOAD_WAIT: Duration = Duration::from_millis(330);

/// The search of one request for an endpoint.
pub(crate) struct EndpointSearch<'a> {
    instance: &'a FleetInstance,
    call: &'a CallerRequest,
    permits: Permits,
    draw: u64,
    /// Until when the request waits if its answer would be late on every
    /// engine that holds the adapter, and another engine can load it.
    load_wait_end: Instant,
    /// When the answer can no longer be in time. Late requests are sent only
    /// while a plain service has free slots, because they would make requests
    /// late that can still be in time.
    late_from: Option<Instant>,
    /// The load information that the last draw was made for.
    load_heard_at: Option<Instant>,
}

/// What a search finds.
pub(crate) enum Found {
    /// The request can be sent to this endpoint.
    Endpoint(Target),
    /// The request would be late at each endpoint that can take it, and waits
    /// for at most this time for a better one.
    Later(Duration),
    /// No endpoint can take the request.
    Nothing(Obstacle),
    /// No endpoint is left of the software version at which the stream began.
    NoneOfVersion,
}

/// Why no endpoint can take a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Obstacle {
    /// The reason for a rejection of the request.
    pub(crate) reason: Reason,
    pub(crate) wait_reason: WaitReason,
    /// The time until an endpoint that was skipped because of its limit may
    /// take requests again.
    pub(crate) limit_ends_in: Option<Duration>,
    /// For an adapter that is not loaded elsewhere: the time until an endpoint
    /// that holds it may take requests again, after a limit or a cooldown.
    pub(crate) holder_ready_in: Option<Duration>,
}

impl Obstacle {
    /// Returns the time until an endpoint is expected to take the request, if
    /// it is known.
    pub(crate) fn available_in(&self) -> Option<Duration> {
        match self.wait_reason {
            WaitReason::AdapterLoading(ready_in)
            | WaitReason::Saturated(ready_in) => Some(ready_in),
            WaitReason::AdapterNotLoaded { .. } | WaitReason::NoCapacity => {
                self.limit_ends_in
            }
        }
    }
}

impl<'a> EndpointSearch<'a> {
    pub(crate) fn begin(
        instance: &'a FleetInstance,
        call: &'a CallerRequest,
        now: Instant,
    ) -> EndpointSearch<'a> {
        let draw = xxh3_64(call.metadata.request_id.as_bytes());
        EndpointSearch {
            instance,
            call,
            permits: Permits::new(draw),
            draw,
            load_wait_end: now + LOAD_WAIT,
            late_from: None,
            load_heard_at: instance.view.borrow().load_heard_at(),
        }
    }

    /// Changes the random number by which a plain service admits the request
    /// and by which its endpoint is chosen, if the load of the endpoints was
    /// heard of since the last change.
    ///
    /// Admission depends on the load and the number. With the same number for
    /// its whole wait, the head of a queue could keep back requests that the
    /// service would admit. With a new number for each look, a request that
    /// looks often enough is admitted at any load: the endpoints rejected a
    /// third of what they got.
    pub(crate) fn redraw(&mut self) {
        let heard_at = self.instance.view.borrow().load_heard_at();
        if self.load_heard_at != heard_at {
            self.load_heard_at = heard_at;
            self.draw = xxh3_64(&self.draw.to_le_bytes());
        }
    }

    /// Sends the request to a plain service only while it has free slots, from
    /// this time on.
    pub(crate) fn set_late_from(&mut self, at: Instant) {
        self.late_from = Some(at);
    }

    /// Ends the wait for an engine on which the answer would begin sooner.
    pub(crate) fn end_load_wait(&mut self, at: Instant) {
        self.load_wait_end = self.load_wait_end.min(at);
    }

    /// Looks for an endpoint among those that the request was not sent to.
    pub(crate) fn look(
        &mut self,
        progress: &mut Progress,
        now: Instant,
    ) -> Found {
        let (instance, call) = (self.instance, self.call);
        let excluded = progress.excluded();
        let need = Need {
            service: &call.service,
            key: call.key(),
            exclude: &excluded,
            software_version: progress.software_version.as_ref(),
            draw: self.draw,
            prompt_tokens: call.metadata.prompt_tokens,
            target_latency: call.route.target_latency,
            may_wait: now < self.load_wait_end,
            is_late: self.late_from.is_some_and(|from| now > from),
        };
        let PermittedChoice { choice, limit_ends_in } =
            self.permits.choose(instance, need, now);
        if let Some(version) = &progress.software_version
            && !matches!(choice, Choice::Send(_))
        {
            let view = instance.view.borrow();
            if !view.has_software_version(&call.service, version) {
                return Found::NoneOfVersion;
            }
        }
        let mut holder_ready_in = None;
        let (reason, wait_reason) = match choice {
            Choice::Send(target) => return Found::Endpoint(target),
            Choice::Loading(ready_in) => {
                (Reason::AdapterAbsent, WaitReason::AdapterLoading(ready_in))
            }
            Choice::Absent => {
                let cooling_down = call.key().and_then(|key| {
                    instance.mark_holders_cooling_down(key, now)
                });
                holder_ready_in = limit_ends_in.or(cooling_down);
                request_adapter(instance, call, progress);
                let load_time = instance.view.borrow().load_time();
                let reason = match holder_ready_in {
                    Some(_) => Reason::EndpointsLimited,
                    None => Reason::AdapterAbsent,
                };
                (reason, WaitReason::AdapterNotLoaded { load_time })
            }
            Choice::Full => {
                request_adapter(instance, call, progress);
                (Reason::Full, WaitReason::NoCapacity)
            }
            Choice::Busy(ready_in) => {
                if ready_in.is_none() {
                    request_adapter(instance, call, progress);
                }
                let left = self.load_wait_end - now;
                return Found::Later(ready_in.unwrap_or(left).min(left));
            }
            Choice::NoEndpoint => {
                // No endpoint is usable. If some were excluded because they
                // failed this request, a repeatable request may try them
                // again.
                if progress.runs > 0 {
                    progress.tried.clear();
                }
                let cooling_down = || {
                    let view = instance.view.borrow();
                    view.service_cooldown(&call.service, now)
                };
                match limit_ends_in.or_else(cooling_down) {
                    Some(ready_in) => (
                        Reason::EndpointsLimited,
                        WaitReason::Saturated(ready_in),
                    ),
                    None => (Reason::NobodyThere, WaitReason::NoCapacity),
                }
            }
        };
        Found::Nothing(Obstacle {
            reason,
            wait_reason,
            limit_ends_in,
            holder_ready_in,
        })
    }
}

/// Asks the lease holder to load the request's adapter.
fn request_adapter(
    instance: &FleetInstance,
    call: &CallerRequest,
    progress: &Progress,
) {
    if let Some(key) = call.key() {
        if let Some(version) = &progress.software_version {
            return instance.request_adapter_at(key, version);
        }
        let class = instance.split_class(call);
        instance.request_adapter(key, call.priority(), class);
    }
}
