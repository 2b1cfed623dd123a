//! The choice of an endpoint for a request.
//!
//! The least cost wins: requests under way, the time until the answer is likely
//! to begin, failures lately and the zone. The invariant: an endpoint that is
//! leaving, or that is not known to hold what a request names in a version that
//! counts, is never chosen.

use std::{net::SocketAddr, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use super::{FleetView, OLD_VERSION_GRACE};
use crate::{
    adapter::{AdapterKey, WeightVersion},
    endpoint_state::EndpointState,
    latency_regression::LatencyRegression,
    note::MAX_DIRECT_PEERS,
};

/// What another availability zone costs, in parts of an endpoint's load:
/// bytes between zones have a price.
pub(crate) const OTHER_ZONE_COST: f64 = 0.14;

/// What a share of failed requests costs, in parts of an endpoint's load: an
/// endpoint that fails half of its requests gets one only if the others are
/// nearly full.
const FAILURE_COST: f64 = 1.5;

/// What is drawn for each request and endpoint, in parts of an endpoint's load:
/// among few instances, which know well what the others do, it only tells
/// equal endpoints apart.
const NOISE_FEW_PEERS: f64 = 0.05;

/// The same among many. What they know of each other is older than a short
/// request lasts; without the draw all choose the same endpoint until the next
/// note.
const NOISE_MANY_PEERS: f64 = 0.4;

/// Requests on an engine, as a multiple of its slots, beyond which it gets no
/// more: those behind would wait for a whole answer to end.
const MAX_ENGINE_LOAD: f64 = 1.1;

/// The same for a plain service, whose requests are short: three waiting
/// behind each slot still come in time.
const MAX_SERVICE_LOAD: f64 = 4.0;

/// An adapter whose engine has not taken the order yet is looked for again after
/// this, when it should have been there.
const MIN_LOADING_DELAY: Duration = Duration::from_millis(20);

/// An engine that reads prompts for longer than this before a new one's turn
/// is busy: an adapter would come to another engine from the weight store in a
/// quarter of a second.
pub(crate) const BUSY_BACKLOG: Duration = Duration::from_millis(300);

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// The model or adapter; none for a plain service.
    pub key: Option<&'a AdapterKey>,
    /// Endpoints that have already turned it down.
    pub exclude: &'a [EndpointId],
    /// A number that spreads equal choices.
    pub draw: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Within this time, its answer should begin.
    pub target_latency: Duration,
    /// Whether it may wait for a place where it begins sooner.
    pub may_wait: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this endpoint.
    Send(Target),
    /// Nowhere yet; the adapter is on its way and may be ready then.
    Loading(Duration),
    /// Nowhere; no usable engine holds the adapter.
    Absent,
    /// Nowhere; all that could serve it are full.
    Full,
    /// Nowhere yet: it would come late at all that hold the adapter, and sooner
    /// at another engine, where the adapter may be ready then if it is known to
    /// be on its way.
    Busy(Option<Duration>),
    /// Nowhere; the service has no usable endpoint.
    NoEndpoint,
}

/// The endpoint that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its id.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// The version that the engine must have, if a newer one was named.
    pub expect_version: Option<WeightVersion>,
    /// Requests under way there before this one, as far as we know.
    pub in_flight: u32,
    /// Prompt tokens that it has yet to read before this one's.
    pub unread_tokens: u64,
    /// When the answer is likely to begin, from now; none if nothing is known.
    pub predicted: Option<Duration>,
}

impl FleetView {
    /// Chooses an endpoint for a request.
    pub fn choose(&self, need: Need<'_>, now: Instant) -> Choice {
        let is_usable = |state: &&EndpointState| {
            state.endpoint.service == need.service
                && state.is_usable(now)
                && !need.exclude.contains(state.id())
        };
        let Some(key) = need.key else {
            let all = self.of_service(need.service).filter(is_usable);
            return self.choose_balanced(all, need, now);
        };
        let holders = self.holders(key).filter(is_usable);
        match self.choose_among(holders, need, now) {
            Choice::NoEndpoint => {
                match self.of_service(need.service).any(|s| is_usable(&s)) {
                    true => Choice::Absent,
                    false => Choice::NoEndpoint,
                }
            }
            found => found,
        }
    }

    fn choose_among<'a>(
        &'a self,
        usable: impl Iterator<Item = &'a EndpointState>,
        need: Need<'_>,
        now: Instant,
    ) -> Choice {
        let mut found = Choice::NoEndpoint;
        let mut best: Option<(f64, &EndpointState)> = None;
        for state in usable {
            if let Some(obstacle) = self.obstacle(state, need, now) {
                found = closer_obstacle(found, obstacle);
                continue;
            }
            let cost = self.cost(state, need);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, state));
            }
        }
        let Some((_, state)) = best else { return found };
        if need.may_wait && self.would_be_late(state, need) {
            return Choice::Busy(match found {
                Choice::Loading(ready_in) => Some(ready_in),
                _ => None,
            });
        }
        Choice::Send(self.target(state, need, now))
    }

    /// Returns whether a request would come late at an engine because of the
    /// prompts before it.
    fn would_be_late(&self, state: &EndpointState, need: Need<'_>) -> bool {
        self.predicted(state, need).is_some_and(|p| p > need.target_latency)
            && self.backlog(state) > BUSY_BACKLOG
    }

    /// Returns why a request cannot go to an endpoint now, if it cannot.
    pub(super) fn obstacle(
        &self,
        state: &EndpointState,
        need: Need<'_>,
        now: Instant,
    ) -> Option<Choice> {
        let max_load = match need.key {
            Some(_) => MAX_ENGINE_LOAD,
            None => MAX_SERVICE_LOAD,
        };
        let full = (state.load() >= max_load).then_some(Choice::Full);
        let Some(key) = need.key else { return full };
        let Some(placement) = state.placements.get(key) else {
            return Some(Choice::Absent);
        };
        if self.is_outdated(key, placement.version, now) {
            return Some(Choice::Absent);
        }
        if !placement.is_ready(now) {
            let left = placement.ready_at.saturating_duration_since(now);
            return Some(Choice::Loading(left.max(MIN_LOADING_DELAY)));
        }
        full
    }

    pub(super) fn target(
        &self,
        state: &EndpointState,
        need: Need<'_>,
        now: Instant,
    ) -> Target {
        let newest = need.key.and_then(|key| self.newest.get(key));
        let expect_version = newest
            .filter(|(_, named)| now - *named >= OLD_VERSION_GRACE)
            .map(|(version, _)| *version);
        Target {
            id: state.endpoint.id.clone(),
            address: state.endpoint.address,
            expect_version,
            in_flight: state.in_flight(),
            unread_tokens: state.unread_tokens(),
            predicted: self.predicted(state, need),
        }
    }

    fn is_outdated(
        &self,
        key: &AdapterKey,
        version: WeightVersion,
        now: Instant,
    ) -> bool {
        let Some((newest, named)) = self.newest.get(key) else { return false };
        version < *newest && now - *named >= OLD_VERSION_GRACE
    }

    fn cost(&self, state: &EndpointState, need: Need<'_>) -> f64 {
        let zone = match state.endpoint.zone == self.zone {
            true => 0.0,
            false => OTHER_ZONE_COST,
        };
        // Equal endpoints are told apart by the draw, so that instances with
        // the same table do not all choose the same one.
        let hash = xxh3_64(state.endpoint.id.as_bytes()) ^ need.draw;
        let spread = xxh3_64(&hash.to_le_bytes()) as f64 / u64::MAX as f64;
        let failures = state.health.failed_share() * FAILURE_COST;
        let noise = match self.peers.len() > MAX_DIRECT_PEERS {
            true => NOISE_MANY_PEERS,
            false => NOISE_FEW_PEERS,
        };
        let wait = self.predicted(state, need).map_or(0.0, |wait| {
            wait.as_secs_f64() / need.target_latency.as_secs_f64().max(1e-3)
        });
        state.load() + wait + zone + failures + spread * noise
    }

    /// Returns when a request's answer is likely to begin at an endpoint.
    fn predicted(
        &self,
        state: &EndpointState,
        need: Need<'_>,
    ) -> Option<Duration> {
        need.key?;
        let tokens = state.unread_tokens() + need.prompt_tokens;
        self.first_event_times.get(need.service)?.predict(tokens)
    }

    /// Returns what an engine of a service is likely to take until the answer to a
    /// prompt begins, if it has no other to read.
    pub fn idle_first_event_time(
        &self,
        service: &str,
        prompt_tokens: u64,
    ) -> Duration {
        let regression = self.first_event_times.get(service);
        regression.and_then(|p| p.predict(prompt_tokens)).unwrap_or_default()
    }

    /// Returns how much an endpoint has to do: requests as a part of its slots,
    /// and the seconds that it needs for the prompts it has yet to read. Requests
    /// alone do not show long prompts, and choose homes where 0.4 s wait
    /// (`docs/DECISIONS.md`).
    pub fn pressure(&self, state: &EndpointState) -> f64 {
        state.load() + self.backlog(state).as_secs_f64()
    }

    /// Returns how long an engine reads before a new prompt's turn.
    pub fn backlog(&self, state: &EndpointState) -> Duration {
        self.prefill_time(state.id(), state.unread_tokens())
    }

    /// Returns how long an endpoint reads so many tokens.
    pub fn prefill_time(&self, id: &EndpointId, tokens: u64) -> Duration {
        let state = self.endpoints.get(id);
        let regression = state
            .and_then(|s| self.first_event_times.get(&s.endpoint.service));
        regression.map_or(Duration::ZERO, |regression| {
            regression.prefill_time(tokens)
        })
    }

    /// Takes in how long an engine took to begin an answer, before which it
    /// had to read so many tokens.
    pub fn observe_first_event(
        &mut self,
        service: &str,
        tokens: u64,
        took: Duration,
    ) {
        let Some(regression) = self.first_event_times.get_mut(service) else {
            self.first_event_times
                .insert(service.to_owned(), LatencyRegression::default());
            return self.observe_first_event(service, tokens, took);
        };
        regression.observe(tokens, took);
    }
}

/// Returns which of two reasons not to send is nearer to a send.
fn closer_obstacle(a: Choice, b: Choice) -> Choice {
    let rank = |choice: &Choice| match choice {
        Choice::Send(_) | Choice::Busy(_) => 0,
        Choice::Full => 1,
        Choice::Loading(_) => 2,
        Choice::Absent => 3,
        Choice::NoEndpoint => 4,
    };
    match (&a, &b) {
        (Choice::Loading(x), Choice::Loading(y)) => Choice::Loading(*x.min(y)),
        _ if rank(&b) < rank(&a) => b,
        _ => a,
    }
}
