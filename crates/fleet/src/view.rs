//! One instance's table of endpoints, and its choice for each request.
//!
//! The table joins three sources: the platform's list (late, but what holds in
//! the end), notes of other instances (early, and lost now and then) and the
//! outcomes of our own requests. The invariant: an endpoint that any of them
//! showed to leave, or that is not known to hold what a request names, is never
//! chosen.

mod choice;
mod cooldowns;
mod departures;
mod in_flight;
mod learned_weights;
mod limits;
pub mod load_interpretation;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, Epoch, InstanceId, ZoneName};

pub(crate) use self::choice::{BUSY_BACKLOG, OTHER_ZONE_COST};
pub use self::choice::{Choice, Need, Target};
pub use self::in_flight::Totals;
use self::in_flight::{HeardTotals, PeerLoad};
pub use self::limits::AnsweredRequest;
use crate::{
    adapter::{AdapterKey, WeightVersion},
    adapter_index::AdapterIndex,
    cooldown::Cooldown,
    departure::{Departure, Departures},
    endpoint::{Endpoint, EngineReport, Revision},
    endpoint_state::EndpointState,
    incarnation::{Incarnation, IncarnationStatus, Incarnations},
    latency_regression::LatencyRegression,
    limit_share::LimitShares,
    note::{Placed, Removed},
    residence_time::ResidenceTime,
    route::ServiceName,
};

/// How long requests may go to the old version after a newer one was named.
/// The platform allows 5 s; the rest is for queues at the engine.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(2_500);

/// Entries in one note at most: each takes some 80 bytes, and a datagram holds
/// 64 kB.
const MAX_ENTRIES: usize = 256;

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
    /// The holder's sums, while they count.
    totals: Option<HeardTotals>,
    /// Whose sums are told next in turn.
    next_total: usize,
    /// How often each other instance says what it has under way.
    peer_pause: Duration,
    newest: HashMap<AdapterKey, (WeightVersion, Instant)>,
    departures: Departures,
    incarnations: Incarnations,
    /// Our parts of the limits that endpoints announce.
    limits: LimitShares,
    /// Rests of endpoints whose entries lapsed, which may be back before their end.
    lapsed_cooldowns: HashMap<EndpointId, Cooldown>,
    /// Departures that we saw in the store and the others have not heard of.
    unsent_departures: Vec<Departure>,
    /// How fast the engines of each service begin to answer.
    first_event_times: HashMap<ServiceName, LatencyRegression>,
    /// How long requests of each plain service are under way.
    residence_times: HashMap<ServiceName, ResidenceTime>,
    /// When the endpoints' parts were last learned.
    learned_at: Option<Instant>,
    /// What the last load from the weight store was expected to take.
    load_time: Duration,
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
            totals: None,
            next_total: 0,
            peer_pause: Duration::ZERO,
            newest: HashMap::new(),
            departures: Departures::default(),
            incarnations: Incarnations::default(),
            limits: LimitShares::default(),
            lapsed_cooldowns: HashMap::new(),
            unsent_departures: Vec::new(),
            first_event_times: HashMap::new(),
            residence_times: HashMap::new(),
            learned_at: None,
            load_time: Duration::ZERO,
        }
    }

    /// Returns what a load from the weight store was last expected to take;
    /// nothing before one was heard of.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Takes in one endpoint's entry. An entry from before it left, which a
    /// list that is seconds old may show, does not bring it back, and one that is
    /// older than what is known changes nothing.
    pub fn apply_entry(&mut self, mut endpoint: Endpoint, now: Instant) {
        let id = endpoint.id.clone();
        if endpoint.is_draining {
            self.see_departure(&id, endpoint.revision, true, now);
        }
        let known = self.get(&id).map(|state| state.endpoint.revision);
        if known.is_some_and(|known| known > endpoint.revision) {
            return;
        }
        let (born, revision) = (endpoint.born, endpoint.revision);
        match self.incarnations.apply_entry(&id, born, revision, now) {
            IncarnationStatus::Current => {}
            IncarnationStatus::New => self.begin_incarnation(&id),
            IncarnationStatus::Ended => return,
        }
        let born = endpoint.born.or(self.incarnations.born(&id));
        endpoint.is_draining |=
            self.departures.has_left(&id, endpoint.revision, born);
        let is_back = !endpoint.is_draining
            && self.get(&id).is_some_and(|state| state.endpoint.is_draining);
        if is_back {
            self.invalidate_contents(&id);
        }
        if !self.endpoints.contains_key(&id) {
            let mut state = EndpointState::new(endpoint.clone());
            state.peer_work = self.peer_work(&id);
            state.cooldown =
                self.lapsed_cooldowns.remove(&id).unwrap_or_default();
            self.endpoints.insert(id.clone(), state);
            let of_service = self.services.entry(endpoint.service.clone());
            of_service.or_default().insert(id.clone());
        }
        self.change_placements(&id, |state| state.apply_entry(endpoint, now));
    }

    /// Takes in entries that another instance knows, without their adapters, while
    /// we do not reach the store: those of new endpoints, and newer ones of engines
    /// whose adapters we know by ourselves.
    pub fn apply_entries(&mut self, entries: Vec<Endpoint>, now: Instant) {
        for entry in entries {
            let is_useful = self
                .get(&entry.id)
                .is_none_or(|state| state.is_ordered_by_us());
            if is_useful {
                self.apply_entry(entry, now);
            }
        }
    }

    /// Returns the newest revision of an entry that is known.
    pub fn newest_revision(&self) -> Revision {
        let revisions = self.endpoints.values().map(|s| s.endpoint.revision);
        revisions.max().unwrap_or_default()
    }

    /// Returns entries that are newer than a revision, without their adapters: the
    /// oldest first, as many as fit a note.
    pub fn entries_since(&self, revision: Revision) -> Vec<Endpoint> {
        let newer = |s: &&EndpointState| s.endpoint.revision > revision;
        let mut newer: Vec<&EndpointState> =
            self.endpoints.values().filter(newer).collect();
        newer.sort_by_key(|state| state.endpoint.revision);
        newer.truncate(MAX_ENTRIES);
        newer.iter().map(|s| s.endpoint.without_adapters()).collect()
    }

    /// Changes what an endpoint holds, and the indexes with it.
    fn change_placements(
        &mut self,
        id: &EndpointId,
        change: impl FnOnce(&mut EndpointState),
    ) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        let before: Vec<AdapterKey> =
            state.placements.keys().cloned().collect();
        change(state);
        for key in before.iter().filter(|k| !state.placements.contains_key(k))
        {
            self.holders.remove(key, id);
        }
        let new: Vec<AdapterKey> = state
            .placements
            .keys()
            .filter(|key| !before.contains(key))
            .cloned()
            .collect();
        for key in new {
            self.holders.insert(&key, id);
            self.record_warm(id, &key);
        }
    }

    /// Forgets all that an endpoint held and showed in the life before. What we
    /// have under way there ends by itself, request by request.
    fn begin_incarnation(&mut self, id: &EndpointId) {
        self.limits.end_incarnation(id);
        if let Some(rest) = self.lapsed_cooldowns.get_mut(id) {
            *rest = rest.in_new_incarnation();
        }
        let Some(state) = self.endpoints.get(id) else { return };
        for key in &state.warm {
            self.warm.remove(key, id);
        }
        self.change_placements(id, EndpointState::begin_incarnation);
    }

    fn record_warm(&mut self, id: &EndpointId, key: &AdapterKey) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        self.warm.insert(key, id);
        if let Some(cold) = state.record_warm(key) {
            self.warm.remove(&cold, id);
        }
    }

    /// Takes in an engine's own report, which is newer than its entry; returns
    /// whether it speaks of the life that the engine has now.
    pub fn apply_report(
        &mut self,
        id: &EndpointId,
        report: &EngineReport,
        now: Instant,
    ) -> bool {
        match self.incarnations.apply_report(id, report.born, now) {
            IncarnationStatus::Current => {}
            IncarnationStatus::New => self.begin_incarnation(id),
            IncarnationStatus::Ended => return false,
        }
        self.change_placements(id, |state| state.apply_report(report, now));
        true
    }

    /// Returns which life an endpoint has now, if it tells its lives apart.
    pub fn incarnation(&self, id: &EndpointId) -> Option<Incarnation> {
        self.incarnations.born(id)
    }

    /// Notes that nobody knows what an engine holds, until it reports again.
    pub fn invalidate_contents(&mut self, id: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.is_ordered_by_us = false;
        }
    }

    /// Believes the platform's list again about what engines hold, because
    /// another instance may order them.
    pub fn stop_ordering(&mut self, now: Instant) {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.change_placements(&id, |state| {
                if std::mem::take(&mut state.is_ordered_by_us) {
                    state.apply_entry(state.endpoint.clone(), now);
                }
            });
        }
    }

    /// Takes an endpoint out whose entry is gone, as of a revision of the store.
    /// If it may only have lapsed in an outage we are not sure, and tell nobody:
    /// of all instances, the one that waited least would decide for them.
    pub fn remove_entry(
        &mut self,
        id: &EndpointId,
        revision: Revision,
        is_sure: bool,
        now: Instant,
    ) {
        let known = self.endpoints.get(id);
        let Some(known) = known.map(|state| state.endpoint.revision) else {
            return;
        };
        self.see_departure(id, revision.max(known), is_sure, now);
        let Some(state) = self.endpoints.remove(id) else { return };
        if state.cooldown.is_cooling_down(now) {
            self.lapsed_cooldowns.insert(id.clone(), state.cooldown);
        }
        for key in state.placements.keys() {
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
    pub fn placement_notes(
        &self,
        key: &AdapterKey,
        epoch: Epoch,
        now: Instant,
    ) -> Vec<Placed> {
        let usable = self.holders(key).filter(|s| s.is_usable(now));
        let placements =
            usable.filter_map(|s| Some((s, s.placements.get(key)?)));
        placements
            .filter(|(_, placement)| placement.is_ordered())
            .map(|(state, placement)| Placed {
                epoch,
                endpoint: state.endpoint.id.clone(),
                key: key.clone(),
                version: placement.version,
                ready_in_ms: placement
                    .ready_at
                    .saturating_duration_since(now)
                    .as_millis() as u64,
                is_cold: placement.is_unconfirmed,
                born: self.incarnations.born(&state.endpoint.id),
            })
            .collect()
    }

    /// Takes in that several instances cannot reach an endpoint.
    pub fn mark_suspect(
        &mut self,
        id: &EndpointId,
        time: Duration,
        now: Instant,
    ) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.health.suspect(time, now);
        }
    }

    /// Returns the newest version of each model and adapter that one was named of.
    pub fn newest_versions(
        &self,
    ) -> impl Iterator<Item = (&AdapterKey, WeightVersion)> {
        self.newest.iter().map(|(key, (version, _))| (key, *version))
    }

    /// Returns how many versions of weights were named, counting each rise.
    pub fn versions_announced(&self) -> u64 {
        self.newest.values().map(|(version, _)| version).sum()
    }

    /// Notes the newest version of a model or adapter; returns whether it is news.
    pub fn record_version(
        &mut self,
        key: &AdapterKey,
        version: WeightVersion,
        now: Instant,
    ) -> bool {
        let known = self.newest.get(key).map_or(0, |(known, _)| *known);
        let is_news = version > known;
        if is_news {
            self.newest.insert(key.clone(), (version, now));
        }
        is_news
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

    /// Takes in that an adapter is on its way. To a life of its engine that is
    /// over, it is not; of one that we have not heard of, the entry tells soon.
    pub fn apply_placed(&mut self, placed: &Placed, now: Instant) {
        let id = &placed.endpoint;
        if !self.incarnations.is_current(id, placed.born) {
            return;
        }
        if placed.is_cold {
            self.load_time = Duration::from_millis(placed.ready_in_ms);
        }
        self.change_placements(id, |state| state.apply_placed(placed, now));
        self.record_warm(id, &placed.key);
    }

    /// Notes that an adapter is about to be ordered: it takes a place from now on,
    /// and requests once its engine has taken the order.
    pub fn plan_placement(&mut self, placed: &Placed, now: Instant) {
        let id = &placed.endpoint;
        if placed.is_cold {
            self.load_time = Duration::from_millis(placed.ready_in_ms);
        }
        self.change_placements(id, |state| state.plan(placed, now));
        self.record_warm(id, &placed.key);
    }

    /// Notes that an engine has taken an order that was planned; returns when the
    /// adapter is likely to be ready.
    pub fn order_accepted(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) -> Option<Duration> {
        self.endpoints.get_mut(id)?.order_accepted(key, now)
    }

    /// Notes that an adapter that was about to be ordered is there already.
    pub fn mark_present(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.mark_present(key, now);
        }
    }

    /// Takes in that an adapter leaves an engine.
    pub fn apply_removed(&mut self, removed: &Removed, now: Instant) {
        if !self.incarnations.is_current(&removed.endpoint, removed.born) {
            return;
        }
        self.change_placements(&removed.endpoint, |state| {
            state.placements.remove(&removed.key);
            state.removed.insert(removed.key.clone(), now);
        });
    }

    /// Takes an adapter out that a load did not bring after all.
    pub fn remove_placement(&mut self, id: &EndpointId, key: &AdapterKey) {
        self.change_placements(id, |state| {
            state.placements.remove(key);
            state.warm.retain(|held| held != key);
        });
        self.warm.remove(key, id);
    }

    /// Notes that an engine turned a request down because it does not hold an
    /// adapter, or not yet. It is tried again after a pause, or when the list
    /// shows the adapter again.
    pub fn record_absent(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) {
        self.change_placements(id, |state| state.record_absent(key, now));
    }

    /// Takes in whether an adapter from the weight store was there when a request
    /// was sent to it; returns whether the holder of the lease is to hear of it.
    pub fn confirm_load(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        is_there: bool,
    ) -> bool {
        let state = self.endpoints.get_mut(id);
        state.is_some_and(|state| state.confirm_load(key, is_there))
    }
}
