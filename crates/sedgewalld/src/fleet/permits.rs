//! The selection of an endpoint for a request under the rate limits that
//! endpoints announce, and under the room at brittle endpoints.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    limit_share::{Permit, PermitRequest},
    view::{Choice, Need},
};
use sedgewall_state::id::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::instance::FleetInstance;

/// The minimum time for which an endpoint whose limit denied a request is
/// reported as saturated, so that the adapters requests wait for are placed
/// elsewhere.
const SATURATED_FOR: Duration = Duration::from_secs(1);

/// A selection that respects rate limits.
pub(crate) struct PermittedChoice {
    pub(crate) choice: Choice,
    /// The time until an endpoint that was skipped because of its limit may
    /// take requests again.
    pub(crate) limit_ends_in: Option<Duration>,
}

/// The permits that one request has asked for.
pub(crate) struct Permits {
    /// The random number that decides about permits. It stays the same for
    /// all searches of a request, so that waiting does not raise its chance.
    draw: u64,
    /// Endpoints at which the request was counted as demand.
    counted_as_demand: Vec<EndpointId>,
}

impl Permits {
    pub(crate) fn new(draw: u64) -> Permits {
        Permits { draw, counted_as_demand: Vec::new() }
    }

    /// Selects an endpoint that may receive the request now.
    pub(crate) fn choose(
        &mut self,
        instance: &FleetInstance,
        need: Need<'_>,
        now: Instant,
    ) -> PermittedChoice {
        let mut denied: Vec<EndpointId> = Vec::new();
        let mut limit_ends_in: Option<Duration> = None;
        let is_brittle = instance.view.borrow().is_brittle(need.service);
        let mut lacks_room = false;
        loop {
            let choice = match denied.is_empty() {
                true => instance.view.borrow().choose(need, now),
                false => {
                    let exclude = [need.exclude, &denied].concat();
                    let need = Need { exclude: &exclude, ..need };
                    instance.view.borrow().choose(need, now)
                }
            };
            let Choice::Send(target) = &choice else {
                let choice = if lacks_room { Choice::Full } else { choice };
                return PermittedChoice { choice, limit_ends_in };
            };
            let has_limit =
                instance.view.borrow().limit_per_s(&target.id).is_some();
            if !has_limit && !is_brittle {
                return PermittedChoice { choice, limit_ends_in };
            }
            let id = target.id.clone();
            let instances = instance.known_instance_count();
            let mut view = instance.view.borrow_mut();
            if !self.counted_as_demand.contains(&id) {
                view.record_demand(&id, now);
                view.record_room_demand(need.service, now);
                self.counted_as_demand.push(id.clone());
            }
            let hash = xxh3_64_with_seed(id.as_bytes(), self.draw);
            let request = PermitRequest {
                draw: hash as f64 / u64::MAX as f64,
                instances,
            };
            if is_brittle
                && view.take_room(&id, request, now) != Permit::Granted
            {
                lacks_room = true;
                denied.push(id);
                continue;
            }
            match view.take_permit(&id, request, now) {
                Permit::Granted => {
                    return PermittedChoice { choice, limit_ends_in };
                }
                Permit::Denied { ready_in } => {
                    let first =
                        limit_ends_in.unwrap_or(ready_in).min(ready_in);
                    limit_ends_in = Some(first);
                    let until = now + ready_in.max(SATURATED_FOR);
                    instance.saturated.borrow_mut().insert(id.clone(), until);
                    denied.push(id);
                }
            }
        }
    }
}

impl FleetInstance {
    /// Returns how many instances share a common limit, or none before the
    /// other instances are listed.
    fn known_instance_count(&self) -> Option<usize> {
        self.has_listed_instances.get().then(|| self.instance_count())
    }

    /// Marks the endpoints that hold an adapter and are cooling down as
    /// saturated, so that the adapter is also placed elsewhere. Returns when
    /// the first of them takes requests again.
    pub(crate) fn mark_holders_cooling_down(
        &self,
        key: &AdapterKey,
        now: Instant,
    ) -> Option<Duration> {
        let cooling_down = self.view.borrow().holders_cooling_down(key, now);
        let first = cooling_down.iter().map(|(_, left)| *left).min();
        let mut saturated = self.saturated.borrow_mut();
        for (id, left) in cooling_down {
            saturated.insert(id, now + left);
        }
        first
    }

    /// Returns the endpoints that take no more requests from this instance,
    /// and for how many milliseconds.
    pub(crate) fn saturated_for(
        &self,
        now: Instant,
    ) -> Vec<(EndpointId, u64)> {
        let saturated = self.saturated.borrow();
        let left = saturated.iter().map(|(id, until)| {
            (id.clone(), until.saturating_duration_since(now))
        });
        left.filter(|(_, left)| !left.is_zero())
            .map(|(id, left)| (id, left.as_millis() as u64))
            .collect()
    }

    /// Drops endpoints that take requests from this instance again.
    pub(crate) fn forget_saturated(&self, now: Instant) {
        self.saturated.borrow_mut().retain(|_, until| now < *until);
    }
}
