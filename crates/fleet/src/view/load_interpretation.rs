//! Load balancing over the endpoints of a plain service, with load information
//! that is older than a request lasts.
//!
//! Many instances, each with a few requests per second, know the same totals.
//! These are about 0.45 s old, while requests last 0.06 s. If each instance
//! chose the endpoint that looks least loaded, all would choose the same one
//! until the next totals: that endpoint rejected one request in four while
//! others were idle. Instances therefore interpret the load (Dahlin,
//! "Interpreting stale load information", 1999): they estimate the requests
//! that arrived since the totals were taken, assume that these fill the
//! endpoints to one common level, and send this request to each endpoint with
//! a probability in proportion to what it lacks to that level. If totals are
//! fresh relative to the residence time, this chooses the least loaded
//! endpoint; if they are old, it is a random choice by capacity. Nothing is
//! configured: the residence time is measured, and the age of the totals is
//! known.
//!
//! The invariant: an endpoint at or above the level gets nothing, and the
//! shares add up to the expected arrivals.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use super::{Choice, FleetView, Need};
use crate::{endpoint_state::EndpointState, residence_time::ResidenceTime};

/// The exponent that reduces the capacity of a failing endpoint. An endpoint
/// that fails half of its requests gets an eighth of what a healthy one gets.
const FAILURE_POWER: i32 = 3;

/// The factor on the capacity of an endpoint in another availability zone.
/// Traffic between zones is charged.
const OTHER_ZONE_CAPACITY: f64 = 0.7;

/// The mean residence time, as a fraction of the target latency, up to which
/// all requests are admitted. Some requests take 1.6 times as long as the
/// mean, because of their own work and of unequal queues.
const ADMITS_ALL_BELOW: f64 = 0.6;

/// The range above [`ADMITS_ALL_BELOW`] over which the admitted fraction falls
/// to zero. It is wide, so that many instances with the same stale totals do
/// not alternate between admitting all and none.
const ADMITS_LESS_OVER: f64 = 0.5;

/// Decorrelates the random draw for admission from the one for the endpoint.
const ADMISSION_SALT: u64 = 0x5EDC;

/// The capacity and load of an endpoint that may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The number of slots, weighted by zone, learned weight, and failure
    /// rate.
    pub slots: f64,
    /// The known number of requests in flight.
    pub in_flight: f64,
}

/// Returns how many of the expected requests each endpoint gets, so that all
/// endpoints below a common level are filled up to it.
pub fn shares(endpoints: &[Capacity], expected_arrivals: f64) -> Vec<f64> {
    let level = level(endpoints, expected_arrivals);
    let shortfall = |e: &Capacity| (level * e.slots - e.in_flight).max(0.0);
    endpoints.iter().map(shortfall).collect()
}

/// Returns the common level, in requests per slot, to which
/// `expected_arrivals` more requests fill the endpoints.
fn level(endpoints: &[Capacity], expected_arrivals: f64) -> f64 {
    let load = |e: &Capacity| e.in_flight / e.slots;
    let mut by_load: Vec<&Capacity> = endpoints.iter().collect();
    by_load.sort_by(|a, b| load(a).total_cmp(&load(b)));
    let (mut slots, mut requests, mut level) = (0.0, expected_arrivals, 0.0);
    for endpoint in by_load {
        if slots > 0.0 && load(endpoint) >= level {
            break;
        }
        slots += endpoint.slots;
        requests += endpoint.in_flight;
        level = requests / slots;
    }
    level
}

impl FleetView {
    /// Chooses one of the usable endpoints of a plain service.
    pub(super) fn choose_balanced<'a>(
        &'a self,
        usable: impl Iterator<Item = &'a EndpointState>,
        need: Need<'_>,
        now: Instant,
    ) -> Choice {
        let mut is_full = false;
        let mut open: Vec<(&EndpointState, Capacity)> = Vec::new();
        for state in usable {
            match self.obstacle(state, need, now) {
                Some(_) => is_full = true,
                None => open.push((state, self.capacity(state))),
            }
        }
        if open.is_empty() {
            return if is_full { Choice::Full } else { Choice::NoEndpoint };
        }
        if !self.admits(&open, need) {
            return Choice::Full;
        }
        let capacities: Vec<Capacity> = open.iter().map(|o| o.1).collect();
        let expected_arrivals =
            self.expected_arrivals(need.service, &capacities, now);
        let shares = shares(&capacities, expected_arrivals);
        let send = need.draw ^ need.exclude.len() as u64;
        let mut left = unit_draw(send) * shares.iter().sum::<f64>();
        let chosen = shares.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        // Rounding errors may leave no endpoint at the end of the range.
        let chosen = chosen.unwrap_or(open.len() - 1);
        Choice::Send(self.target(open[chosen].0, need, now))
    }

    /// Returns whether a request is admitted, given the probability that it is
    /// served in time.
    ///
    /// During a spike more requests arrive for some seconds than the endpoints
    /// can process. If all were queued, all would be late. If requests were
    /// rejected beyond a fixed limit, either all or none would be, since the
    /// load information is older than the time that a queue takes to fill. The
    /// admitted fraction therefore falls as the expected residence time rises,
    /// which is predicted from the load of all endpoints together.
    fn admits(
        &self,
        open: &[(&EndpointState, Capacity)],
        need: Need<'_>,
    ) -> bool {
        let slots = |s: &EndpointState| f64::from(s.endpoint.slots.max(1));
        let all_slots: f64 = open.iter().map(|o| slots(o.0)).sum();
        let load = open.iter().map(|o| o.1.in_flight).sum::<f64>() / all_slots;
        // With free slots a request does not queue, however long it takes.
        if load < 1.0 {
            return true;
        }
        if need.is_late {
            return false;
        }
        let residence = self.residence_times.get(need.service);
        let Some(takes) =
            residence.and_then(|residence| residence.predict(load))
        else {
            return true;
        };
        let target_s = need.target_latency.as_secs_f64().max(1e-3);
        let beyond = takes.as_secs_f64() / target_s - ADMITS_ALL_BELOW;
        let draw = unit_draw(need.draw ^ ADMISSION_SALT);
        draw < 1.0 - beyond / ADMITS_LESS_OVER
    }

    fn capacity(&self, state: &EndpointState) -> Capacity {
        let good = 1.0 - state.health.failed_share();
        let zone = match state.endpoint.zone == self.zone {
            true => 1.0,
            false => OTHER_ZONE_CAPACITY,
        };
        let slots = f64::from(state.endpoint.slots.max(1));
        Capacity {
            slots: slots
                * zone
                * state.weight
                * good.powi(FAILURE_POWER).max(f64::EPSILON),
            in_flight: f64::from(state.in_flight()),
        }
    }

    /// Returns the expected number of requests to a service, this one
    /// included, between the requests that the totals show and the time at
    /// which they show a request sent now. By Little's law, as many requests
    /// arrive within the residence time as are in flight.
    fn expected_arrivals(
        &self,
        service: &str,
        endpoints: &[Capacity],
        now: Instant,
    ) -> f64 {
        let in_flight: f64 = endpoints.iter().map(|e| e.in_flight).sum();
        let staleness = self.staleness(now);
        let residence =
            self.residence_times.get(service).map(ResidenceTime::mean);
        let turns = match residence {
            Some(residence) => {
                staleness.as_secs_f64() / residence.as_secs_f64().max(1e-3)
            }
            None if staleness.is_zero() => 0.0,
            None => 1.0,
        };
        in_flight * turns + 1.0
    }

    /// Returns how long requests are missing from the load information: from
    /// their sending until all instances know of them. Instances publish at
    /// random times, so that a request is published half an interval after it
    /// was sent on average, and published work is half an interval old on
    /// average when it is used.
    fn staleness(&self, now: Instant) -> Duration {
        match self.totals {
            // Instances report to the lease holder half as often as the holder
            // publishes the totals.
            Some(totals) => {
                now.saturating_duration_since(totals.received_at)
                    + totals.interval * 2
            }
            None => self.peer_interval,
        }
    }

    /// Returns the mean time that requests are in flight at the endpoints of a
    /// plain service, or `None` before a request has ended there.
    pub fn mean_residence_time(&self, service: &str) -> Option<Duration> {
        self.residence_times.get(service).map(ResidenceTime::mean)
    }

    /// Records how long a request was in flight at an endpoint that had `load`
    /// other known requests per slot.
    pub fn observe_residence_time(
        &mut self,
        id: &EndpointId,
        load: f64,
        took: Duration,
    ) {
        let Some(state) = self.endpoints.get(id) else { return };
        let service = &state.endpoint.service;
        match self.residence_times.get_mut(service) {
            Some(residence) => residence.observe(load, took),
            None => {
                self.residence_times
                    .insert(service.clone(), ResidenceTime::of(load, took));
            }
        }
    }
}

/// Returns a number between 0 and 1 that is derived from `seed`.
fn unit_draw(seed: u64) -> f64 {
    xxh3_64(&seed.to_le_bytes()) as f64 / u64::MAX as f64
}
