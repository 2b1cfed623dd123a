//! The choice of an endpoint for a request.
//!
//! The endpoint with the lowest cost is chosen. The cost combines requests in
//! flight, the expected time to the first event, recent failures, and the
//! zone. The invariant: an endpoint that is leaving, or that is not known to
//! hold what the request needs in a current version, is never chosen.

use std::{net::SocketAddr, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use super::FleetView;
use crate::{
    adapter::{AdapterKey, WeightVersion},
    endpoint::SoftwareVersion,
    endpoint_state::EndpointState,
    engine_pools::OTHER_POOL_COST,
    latency_regression::LatencyRegression,
    note::MAX_DIRECT_PEERS,
};

/// The cost of an endpoint in another availability zone, as a fraction of an
/// endpoint's load. Traffic between zones is charged.
pub(crate) const OTHER_ZONE_COST: f64 = 0.14;

/// The cost of a failure rate of 1, as a fraction of an endpoint's load. An
/// endpoint that fails half of its requests is chosen only if all other
/// endpoints are nearly full.
const FAILURE_COST: f64 = 1.5;

/// The maximum random cost per request and endpoint, as a fraction of an
/// endpoint's load, with few instances. These know each other's load well, and
/// the random cost only breaks ties.
const NOISE_FEW_PEERS: f64 = 0.05;

/// The maximum random cost with many instances. Their knowledge of each
/// other's load is older than a short request lasts, and without the random
/// cost all would choose the same endpoint until the next note.
const NOISE_MANY_PEERS: f64 = 0.4;

/// The load beyond which an engine gets no more requests, as a multiple of its
/// slots. Further requests would wait for the end of an entire response.
const MAX_ENGINE_LOAD: f64 = 1.1;

/// The same for a resumed stream, which can use the engines of one software
/// version only. These may be few, and new streams fill them as any others.
const MAX_RESUMED_ENGINE_LOAD: f64 = 1.4;

/// The load beyond which an endpoint of a plain service gets no more requests.
/// Requests are short there, and three that wait per slot are still in time.
const MAX_SERVICE_LOAD: f64 = 4.0;

/// The retry delay for an adapter that should be ready, but whose engine has
/// not accepted the order yet.
const MIN_LOADING_DELAY: Duration = Duration::from_millis(20);

/// The prefill backlog beyond which an engine counts as busy. Beyond it,
/// loading the adapter on another engine from the weight store, which takes
/// 0.25 s, is faster than waiting for the queued prompts.
pub(crate) const BUSY_BACKLOG: Duration = Duration::from_millis(300);

/// What a request needs from an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The model or adapter; `None` for a plain service.
    pub key: Option<&'a AdapterKey>,
    /// Endpoints that have already rejected the request.
    pub exclude: &'a [EndpointId],
    /// The software version at which the request's stream began, if it is
    /// resumed. It may go on at no other.
    pub software_version: Option<&'a SoftwareVersion>,
    /// A random number that distributes requests over equal endpoints.
    pub draw: u64,
    /// The number of tokens in the request's prompt.
    pub prompt_tokens: u64,
    /// The time within which the response should begin.
    pub target_latency: Duration,
    /// Whether the request may wait for an engine on which it begins sooner.
    pub may_wait: bool,
    /// Whether the answer will be late wherever the request is sent. Such a
    /// request takes free slots of a plain service only.
    pub is_late: bool,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to this endpoint.
    Send(Target),
    /// Wait: the adapter is being loaded, and is expected to be ready after
    /// this time.
    Loading(Duration),
    /// No usable engine holds the adapter.
    Absent,
    /// All endpoints that could serve the request are full.
    Full,
    /// Wait: the request would be late on each engine that holds the adapter,
    /// and sooner on another one. If the adapter is being loaded there, the
    /// value is the time until it is expected to be ready.
    Busy(Option<Duration>),
    /// The service has no usable endpoint.
    NoEndpoint,
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The version of the endpoint's software, if it is known.
    pub software_version: Option<SoftwareVersion>,
    /// The version of the weights that the engine must have loaded, if a newer
    /// one was announced.
    pub expect_version: Option<WeightVersion>,
    /// The known number of requests in flight there before this one.
    pub in_flight: u32,
    /// The prompt tokens that await prefill there before this request's.
    pub unread_tokens: u64,
    /// The expected time until the response begins; `None` if nothing is
    /// known.
    pub predicted: Option<Duration>,
}

impl FleetView {
    /// Chooses an endpoint for a request.
    pub fn choose(&self, need: Need<'_>, now: Instant) -> Choice {
        let is_usable = |state: &&EndpointState| {
            state.endpoint.service == need.service
                && state.is_usable(now)
                && !need.exclude.contains(state.id())
                && need.software_version.is_none_or(|version| {
                    state.endpoint.software_version.as_ref() == Some(version)
                })
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
        // The closest obstacle among the engines of the request's own pool.
        let mut found_in_pool = Choice::NoEndpoint;
        let mut best: Option<(f64, &EndpointState)> = None;
        let pool = self.request_pool(need);
        for state in usable {
            let is_other = pool.is_some_and(|pool| !pool.contains(state.id()));
            if let Some(obstacle) = self.obstacle(state, need, now) {
                if !is_other && pool.is_some() {
                    found_in_pool =
                        closer_obstacle(found_in_pool, obstacle.clone());
                }
                found = closer_obstacle(found, obstacle);
                continue;
            }
            let mut cost = self.cost(state, need);
            if is_other {
                cost += OTHER_POOL_COST;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, state));
            }
        }
        let Some((_, state)) = best else { return found };
        if need.may_wait
            && let Some(pool) = pool
            && !pool.contains(state.id())
            && self.has_usable_engine(pool, need, now)
        {
            return Choice::Busy(match found_in_pool {
                Choice::Loading(ready_in) => Some(ready_in),
                _ => None,
            });
        }
        if need.may_wait && self.would_be_late(state, need) {
            return Choice::Busy(match found {
                Choice::Loading(ready_in) => Some(ready_in),
                _ => None,
            });
        }
        Choice::Send(self.target(state, need, now))
    }

    /// Returns whether a request would be late at an engine because of the
    /// prompts queued before it.
    fn would_be_late(&self, state: &EndpointState, need: Need<'_>) -> bool {
        self.predicted(state, need).is_some_and(|p| p > need.target_latency)
            && self.backlog(state) > BUSY_BACKLOG
    }

    /// Returns why a request cannot be sent to an endpoint now, if it cannot.
    pub(super) fn obstacle(
        &self,
        state: &EndpointState,
        need: Need<'_>,
        now: Instant,
    ) -> Option<Choice> {
        let max_load = match (need.key, need.software_version) {
            (Some(_), None) => MAX_ENGINE_LOAD,
            (Some(_), Some(_)) => MAX_RESUMED_ENGINE_LOAD,
            (None, _) => MAX_SERVICE_LOAD,
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
        let expect_version =
            need.key.and_then(|key| self.expected(state, key, now));
        Target {
            id: state.endpoint.id.clone(),
            address: state.endpoint.address,
            software_version: state.endpoint.software_version.clone(),
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
        let named = self.newest.get(key);
        named.is_some_and(|named| version < named.oldest_usable(now))
    }

    /// Returns the version that an engine must have loaded, or none if it may
    /// have any. Of several versions that may be used, it is the one that the
    /// engine is known to have.
    fn expected(
        &self,
        state: &EndpointState,
        key: &AdapterKey,
        now: Instant,
    ) -> Option<WeightVersion> {
        let oldest = self.newest.get(key)?.oldest_usable(now);
        let loaded = state.placement(key).map(|p| p.version);
        (oldest > 0).then(|| oldest.max(loaded.unwrap_or(oldest)))
    }

    fn cost(&self, state: &EndpointState, need: Need<'_>) -> f64 {
        let zone = match state.endpoint.zone == self.zone {
            true => 0.0,
            false => OTHER_ZONE_COST,
        };
        // The random part breaks ties, so that instances with the same table
        // do not all choose the same endpoint.
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

    /// Returns the expected time until a request's response begins at an
    /// endpoint.
    fn predicted(
        &self,
        state: &EndpointState,
        need: Need<'_>,
    ) -> Option<Duration> {
        need.key?;
        let tokens = state.unread_tokens() + need.prompt_tokens;
        self.first_event_times.get(need.service)?.predict(tokens)
    }

    /// Returns the expected time to the first event of a response to a prompt,
    /// at an engine of the service with no other prompt to prefill.
    pub fn idle_first_event_time(
        &self,
        service: &str,
        prompt_tokens: u64,
    ) -> Duration {
        let regression = self.first_event_times.get(service);
        regression.and_then(|p| p.predict(prompt_tokens)).unwrap_or_default()
    }

    /// Returns how loaded an endpoint is: requests in flight as a fraction of
    /// its slots, plus its prefill backlog in seconds. Requests alone do not
    /// show long prompts, and placed adapters on engines with a backlog of 0.4
    /// s (`docs/DECISIONS.md`).
    pub fn pressure(&self, state: &EndpointState) -> f64 {
        state.load() + self.backlog(state).as_secs_f64()
    }

    /// Returns how long an engine prefills queued prompts before it starts on
    /// a new one.
    pub fn backlog(&self, state: &EndpointState) -> Duration {
        self.prefill_time(state.id(), state.unread_tokens())
    }

    /// Returns how long an endpoint takes to prefill `tokens` tokens.
    pub fn prefill_time(&self, id: &EndpointId, tokens: u64) -> Duration {
        self.endpoints.get(id).map_or(Duration::ZERO, |state| {
            self.service_prefill_time(&state.endpoint.service, tokens)
        })
    }

    /// Returns how long an engine of a service takes to prefill `tokens`
    /// tokens, or zero before that is known.
    pub fn service_prefill_time(
        &self,
        service: &str,
        tokens: u64,
    ) -> Duration {
        let regression = self.first_event_times.get(service);
        regression.map_or(Duration::ZERO, |regression| {
            regression.prefill_time(tokens)
        })
    }

    /// Records how long an engine took to begin a response before which it had
    /// to prefill `tokens` tokens.
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

/// Returns which of two obstacles is closer to being resolved.
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
