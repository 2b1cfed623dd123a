//! How requests spread over the endpoints of a plain service, by sums that are
//! older than a request lasts.
//!
//! The load pattern: many instances, each with a few requests a second, see the
//! same sums, some 0.45 s old, of requests that last 0.06 s. If each takes the
//! endpoint that looks empty, all take the same one until the next sums: it
//! rejected one arrival in four while others idled. So an instance counts what
//! must have come since (load interpretation, after Dahlin, "Interpreting stale
//! load information", 1999): the requests that the sums do not show yet are taken
//! to fill the endpoints to one level, and this request goes to each with the
//! part that it still lacks to that level. Where sums are fresh against the time
//! that a request lasts, this is the least loaded endpoint; where they are old,
//! a draw by capacity. Nothing is configured: the time that a request lasts is
//! observed, the age of the sums is known.
//!
//! The invariant: an endpoint without a lack gets nothing, and the parts add up
//! to what is to come.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use super::{Choice, FleetView, Need};
use crate::{endpoint_state::EndpointState, residence_time::ResidenceTime};

/// How much an endpoint that fails loses of its capacity: one that fails half of
/// its requests gets an eighth of what another gets.
const FAILURE_POWER: i32 = 3;

/// What an endpoint in another availability zone counts of its capacity: bytes
/// between zones have a price.
const OTHER_ZONE_CAPACITY: f64 = 0.7;

/// The time that a request takes at the mean, as a part of its target, up to which
/// all are admitted: some take 1.6 times as long as the mean, by their own work
/// and by queues that differ.
const ADMITS_ALL_BELOW: f64 = 0.6;

/// The part of the target over which the admitted part falls to none. Wide, so
/// that many instances with the same old sums do not admit all and then none.
const ADMITS_LESS_OVER: f64 = 0.5;

/// Tells the draw of admission from that of the endpoint.
const ADMISSION_SALT: u64 = 0x5EDC;

/// An endpoint that may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests that it works on at once, less what it fails.
    pub slots: f64,
    /// Requests under way there, as far as is known.
    pub in_flight: f64,
}

/// Returns how many of the requests to come each endpoint gets, so that all are
/// filled to one level, as far as they lie below it.
pub fn shares(endpoints: &[Capacity], expected_arrivals: f64) -> Vec<f64> {
    let level = level(endpoints, expected_arrivals);
    let shortfall = |e: &Capacity| (level * e.slots - e.in_flight).max(0.0);
    endpoints.iter().map(shortfall).collect()
}

/// Returns the requests for each slot to which so many more fill the endpoints.
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
    /// Chooses among the endpoints of a plain service.
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
        // Rounding may leave nothing behind the last one.
        let chosen = chosen.unwrap_or(open.len() - 1);
        Choice::Send(self.target(open[chosen].0, need, now))
    }

    /// Returns whether a request is admitted that would probably come in time.
    ///
    /// The load pattern: for some seconds more requests come than the endpoints
    /// can do. Sent to their queues, all come late; rejected from a limit on, all
    /// or none are, since what is known is older than a queue takes to fill. So
    /// the part that is admitted falls with the time that requests take, by the
    /// load of all endpoints together.
    fn admits(
        &self,
        open: &[(&EndpointState, Capacity)],
        need: Need<'_>,
    ) -> bool {
        let slots = |s: &EndpointState| f64::from(s.endpoint.slots.max(1));
        let all_slots: f64 = open.iter().map(|o| slots(o.0)).sum();
        let load = open.iter().map(|o| o.1.in_flight).sum::<f64>() / all_slots;
        // With free slots a request does not wait, whatever it takes.
        if load < 1.0 {
            return true;
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

    /// Returns how many requests come to a service, this one included, from what
    /// the sums show until they show what is sent now. By Little's law as many
    /// come in the time that a request lasts as are under way.
    fn expected_arrivals(
        &self,
        service: &str,
        endpoints: &[Capacity],
        now: Instant,
    ) -> f64 {
        let under_way: f64 = endpoints.iter().map(|e| e.in_flight).sum();
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
        under_way * turns + 1.0
    }

    /// Returns how long it takes from a send until all know of it, and what came
    /// before it in that time: instances speak at random moments, so what each
    /// says is half a pause old, and heard half a pause later.
    fn staleness(&self, now: Instant) -> Duration {
        match self.totals {
            // The others tell the holder half as often as it tells all.
            Some(heard) => {
                now.saturating_duration_since(heard.at) + heard.pause * 2
            }
            None => self.peer_pause,
        }
    }

    /// Takes in how long a request was under way at an endpoint that had so many
    /// others for each slot, as far as was known.
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

/// Returns a number between 0 and 1.
fn unit_draw(seed: u64) -> f64 {
    xxh3_64(&seed.to_le_bytes()) as f64 / u64::MAX as f64
}
