//! One instance's table of endpoints, and its choice for each request.
//!
//! The table joins three sources: the platform's list (late, but what holds in
//! the end), notes of other instances (early, and lost now and then) and the
//! outcomes of our own requests. The invariant: an endpoint that is leaving,
//! or that is not known to hold what a request names, is never chosen.

mod under_way;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use sedgewall_state::id::{EndpointId, Epoch, InstanceId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use self::under_way::PeerLoad;
use crate::{
    adapter::{AdapterKey, WeightVersion},
    adapter_index::AdapterIndex,
    endpoint::{Endpoint, EngineReport},
    endpoint_state::EndpointState,
    note::{FEW_PEERS, Placed, Removed},
    pace::Pace,
    route::ServiceName,
};

/// How long requests may go to the old version after a newer one was named.
/// The platform allows 5 s; the rest is for queues at the engine.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(2_500);

/// What another availability zone costs, in parts of an endpoint's load:
/// bytes between zones have a price.
const OTHER_ZONE_COST: f64 = 0.14;

/// What a share of failed requests costs, in parts of an endpoint's load: an
/// endpoint that fails half of its requests gets one only if the others are
/// nearly full.
const FAILURE_COST: f64 = 1.5;

/// What is drawn for each request and endpoint, in parts of an endpoint's load:
/// among few instances, which know well what the others do, it only tells
/// equal endpoints apart.
const FEW_DOUBT: f64 = 0.05;

/// The same among many. What they know of each other is older than a short
/// request lasts; without the draw all choose the same endpoint until the next
/// note.
const MANY_DOUBT: f64 = 0.4;

/// Requests on an engine, as a multiple of its slots, beyond which it gets no
/// more: those behind would wait for a whole answer to end.
const ENGINE_FILL: f64 = 1.1;

/// The same for a plain service, whose requests are short: three waiting
/// behind each slot still come in time.
const SERVICE_FILL: f64 = 4.0;

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
    pub is_patient: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this endpoint.
    Send(Target),
    /// Nowhere yet; the adapter is on its way and may be ready then.
    Coming(Duration),
    /// Nowhere; no usable engine holds the adapter.
    Absent,
    /// Nowhere; all that could serve it are full.
    Full,
    /// Nowhere yet: it would come late at all that hold the adapter, and sooner
    /// at another engine, where the adapter may be ready then if it is known to
    /// be on its way.
    Busy(Option<Duration>),
    /// Nowhere; the service has no usable endpoint.
    Nobody,
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

/// One instance's table of endpoints.
#[derive(Clone, Debug)]
pub struct FleetView {
    zone: ZoneName,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Which endpoints each service has.
    services: HashMap<ServiceName, BTreeSet<EndpointId>>,
    /// Which endpoints have a seat for an adapter.
    holders: AdapterIndex,
    /// Which endpoints are likely to have an adapter at hand.
    warm: AdapterIndex,
    peers: HashMap<InstanceId, PeerLoad>,
    /// Until when the holder's sums count.
    totals_until: Option<Instant>,
    newest: HashMap<AdapterKey, (WeightVersion, Instant)>,
    /// How fast the engines of each service begin to answer.
    paces: HashMap<ServiceName, Pace>,
}

impl FleetView {
    /// Returns an empty table for an instance in this zone.
    pub fn new(zone: &str) -> FleetView {
        FleetView {
            zone: zone.to_owned(),
            endpoints: BTreeMap::new(),
            services: HashMap::new(),
            holders: AdapterIndex::default(),
            warm: AdapterIndex::default(),
            peers: HashMap::new(),
            totals_until: None,
            newest: HashMap::new(),
            paces: HashMap::new(),
        }
    }

    /// Takes in one endpoint's entry.
    pub fn list(&mut self, endpoint: Endpoint, now: Instant) {
        let id = endpoint.id.clone();
        if !self.endpoints.contains_key(&id) {
            let mut state = EndpointState::new(endpoint.clone());
            state.others_work = self.others_work(&id);
            self.endpoints.insert(id.clone(), state);
            let of_service = self.services.entry(endpoint.service.clone());
            of_service.or_default().insert(id.clone());
        }
        self.change_seats(&id, |state| state.list(endpoint, now));
    }

    /// Changes what an endpoint holds, and the indexes with it.
    fn change_seats(
        &mut self,
        id: &EndpointId,
        change: impl FnOnce(&mut EndpointState),
    ) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        let before: Vec<AdapterKey> = state.seats.keys().cloned().collect();
        change(state);
        for key in before.iter().filter(|k| !state.seats.contains_key(k)) {
            self.holders.remove(key, id);
        }
        let new: Vec<AdapterKey> = state
            .seats
            .keys()
            .filter(|key| !before.contains(key))
            .cloned()
            .collect();
        for key in new {
            self.holders.insert(&key, id);
            self.note_warm(id, &key);
        }
    }

    fn note_warm(&mut self, id: &EndpointId, key: &AdapterKey) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        self.warm.insert(key, id);
        if let Some(cold) = state.note_warm(key) {
            self.warm.remove(&cold, id);
        }
    }

    /// Takes in an engine's own report, which is newer than its entry.
    pub fn hear_report(
        &mut self,
        id: &EndpointId,
        report: &EngineReport,
        now: Instant,
    ) {
        self.change_seats(id, |state| state.hear_report(report, now));
    }

    /// Notes that nobody knows what an engine holds, until it reports again.
    pub fn lose_track(&mut self, id: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.is_ordered_by_us = false;
        }
    }

    /// Believes the platform's list again about what engines hold, because
    /// another instance may order them.
    pub fn stop_ordering(&mut self, now: Instant) {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.change_seats(&id, |state| {
                if std::mem::take(&mut state.is_ordered_by_us) {
                    state.list(state.endpoint.clone(), now);
                }
            });
        }
    }

    /// Takes an endpoint out whose entry is gone.
    pub fn unlist(&mut self, id: &EndpointId) {
        let Some(state) = self.endpoints.remove(id) else { return };
        for key in state.seats.keys() {
            self.holders.remove(key, id);
        }
        for key in &state.warm {
            self.warm.remove(key, id);
        }
        if let Some(ids) = self.services.get_mut(&state.endpoint.service) {
            ids.remove(id);
        }
    }

    /// Returns where an adapter is or will be, as a note for an instance that
    /// asks.
    pub fn whereabouts(
        &self,
        key: &AdapterKey,
        epoch: Epoch,
        now: Instant,
    ) -> Vec<Placed> {
        let usable = self.holders(key).filter(|s| s.is_usable(now));
        let seats = usable.filter_map(|s| Some((s, s.seats.get(key)?)));
        seats
            .map(|(state, seat)| Placed {
                epoch,
                endpoint: state.endpoint.id.clone(),
                key: key.clone(),
                version: seat.version,
                ready_in_ms: seat
                    .ready_at
                    .saturating_duration_since(now)
                    .as_millis() as u64,
            })
            .collect()
    }

    /// Takes in that another instance saw an endpoint leave.
    pub fn hear_leaving(&mut self, id: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.endpoint.is_draining = true;
        }
    }

    /// Takes in that several instances cannot reach an endpoint.
    pub fn hear_suspect(&mut self, id: &EndpointId, now: Instant) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.health.suspect(now);
        }
    }

    /// Returns how many versions of weights were named, counting each rise.
    pub fn versions_named(&self) -> u64 {
        self.newest.values().map(|(version, _)| version).sum()
    }

    /// Notes the newest version of a model or adapter.
    pub fn name_version(
        &mut self,
        key: &AdapterKey,
        version: WeightVersion,
        now: Instant,
    ) {
        let known = self.newest.get(key).map_or(0, |(known, _)| *known);
        if version > known {
            self.newest.insert(key.clone(), (version, now));
        }
    }

    /// Returns the newest version that was named, and when we heard of it.
    pub fn newest(
        &self,
        key: &AdapterKey,
    ) -> Option<(WeightVersion, Instant)> {
        self.newest.get(key).copied()
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a service.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = &EndpointState> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Returns the endpoints that hold an adapter, or will soon.
    pub fn holders(
        &self,
        key: &AdapterKey,
    ) -> impl Iterator<Item = &EndpointState> {
        let ids = self.holders.get(key).iter();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Returns the engines that are likely to have an adapter at hand.
    pub fn warm(&self, key: &AdapterKey) -> &[EndpointId] {
        self.warm.get(key)
    }

    /// Returns one endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns one endpoint, to note outcomes.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Takes in that an adapter is on its way.
    pub fn hear_placed(&mut self, placed: &Placed, now: Instant) {
        let id = &placed.endpoint;
        self.change_seats(id, |state| state.hear_placed(placed, now));
        self.note_warm(id, &placed.key);
    }

    /// Takes in that an adapter leaves an engine.
    pub fn hear_removed(&mut self, removed: &Removed, now: Instant) {
        self.change_seats(&removed.endpoint, |state| {
            state.seats.remove(&removed.key);
            state.removed.insert(removed.key.clone(), now);
        });
    }

    /// Takes an adapter out that a load did not bring after all.
    pub fn take_back(&mut self, id: &EndpointId, key: &AdapterKey) {
        self.change_seats(id, |state| {
            state.seats.remove(key);
            state.warm.retain(|held| held != key);
        });
        self.warm.remove(key, id);
    }

    /// Notes that an engine turned a request down because it does not hold an
    /// adapter, or not yet. It is tried again after a pause, or when the list
    /// shows the adapter again.
    pub fn note_absent(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        pause: Duration,
        now: Instant,
    ) {
        self.change_seats(id, |state| {
            state.note_absent(key, pause, now);
        });
    }

    /// Chooses an endpoint for a request.
    pub fn choose(&self, need: Need<'_>, now: Instant) -> Choice {
        let is_usable = |state: &&EndpointState| {
            state.endpoint.service == need.service
                && state.is_usable(now)
                && !need.exclude.contains(state.id())
        };
        let Some(key) = need.key else {
            let all = self.of_service(need.service).filter(is_usable);
            return self.choose_among(all, need, now);
        };
        let holders = self.holders(key).filter(is_usable);
        match self.choose_among(holders, need, now) {
            Choice::Nobody => {
                match self.of_service(need.service).any(|s| is_usable(&s)) {
                    true => Choice::Absent,
                    false => Choice::Nobody,
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
        let mut found = Choice::Nobody;
        let mut best: Option<(f64, &EndpointState)> = None;
        for state in usable {
            if let Some(obstacle) = self.obstacle(state, need, now) {
                found = nearer(found, obstacle);
                continue;
            }
            let cost = self.cost(state, need);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, state));
            }
        }
        let Some((_, state)) = best else { return found };
        if need.is_patient && self.would_be_late(state, need) {
            return Choice::Busy(match found {
                Choice::Coming(ready_in) => Some(ready_in),
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
    fn obstacle(
        &self,
        state: &EndpointState,
        need: Need<'_>,
        now: Instant,
    ) -> Option<Choice> {
        let fill = match need.key {
            Some(_) => ENGINE_FILL,
            None => SERVICE_FILL,
        };
        let full = (state.load() >= fill).then_some(Choice::Full);
        let Some(key) = need.key else { return full };
        let Some(seat) = state.seats.get(key) else {
            return Some(Choice::Absent);
        };
        if self.is_outdated(key, seat.version, now) {
            return Some(Choice::Absent);
        }
        if !seat.is_ready(now) {
            return Some(Choice::Coming(seat.ready_at - now));
        }
        full
    }

    fn target(
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
        let doubt = match self.peers.len() > FEW_PEERS {
            true => MANY_DOUBT,
            false => FEW_DOUBT,
        };
        let wait = self.predicted(state, need).map_or(0.0, |wait| {
            wait.as_secs_f64() / need.target_latency.as_secs_f64().max(1e-3)
        });
        state.load() + wait + zone + failures + spread * doubt
    }

    /// Returns when a request's answer is likely to begin at an endpoint.
    fn predicted(
        &self,
        state: &EndpointState,
        need: Need<'_>,
    ) -> Option<Duration> {
        need.key?;
        let tokens = state.unread_tokens() + need.prompt_tokens;
        self.paces.get(need.service)?.predict(tokens)
    }

    /// Returns how much an endpoint has to do: requests as a part of its slots,
    /// and the seconds that it needs for the prompts it has yet to read.
    pub fn pressure(&self, state: &EndpointState) -> f64 {
        state.load() + self.backlog(state).as_secs_f64()
    }

    /// Returns how long an engine reads before a new prompt's turn.
    pub fn backlog(&self, state: &EndpointState) -> Duration {
        self.reading_time(state.id(), state.unread_tokens())
    }

    /// Returns how long an endpoint reads so many tokens.
    pub fn reading_time(&self, id: &EndpointId, tokens: u64) -> Duration {
        let state = self.endpoints.get(id);
        let pace = state.and_then(|s| self.paces.get(&s.endpoint.service));
        pace.map_or(Duration::ZERO, |pace| pace.reading_time(tokens))
    }

    /// Takes in how long an engine took to begin an answer, before which it
    /// had to read so many tokens.
    pub fn observe_pace(
        &mut self,
        service: &str,
        tokens: u64,
        took: Duration,
    ) {
        let Some(pace) = self.paces.get_mut(service) else {
            self.paces.insert(service.to_owned(), Pace::default());
            return self.observe_pace(service, tokens, took);
        };
        pace.observe(tokens, took);
    }
}

/// Returns which of two reasons not to send is nearer to a send.
fn nearer(a: Choice, b: Choice) -> Choice {
    let rank = |choice: &Choice| match choice {
        Choice::Send(_) | Choice::Busy(_) => 0,
        Choice::Full => 1,
        Choice::Coming(_) => 2,
        Choice::Absent => 3,
        Choice::Nobody => 4,
    };
    match (&a, &b) {
        (Choice::Coming(x), Choice::Coming(y)) => Choice::Coming(*x.min(y)),
        _ if rank(&b) < rank(&a) => b,
        _ => a,
    }
}
