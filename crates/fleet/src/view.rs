//! One instance's table of endpoints, and its choice of an endpoint for each
//! request.
//!
//! The table combines three sources: the platform's list, which is late but
//! authoritative; notes of other instances, which are early but may be lost;
//! and the outcomes of this instance's own requests. The invariant: an
//! endpoint that any source showed to leave, or that is not known to hold what
//! a request needs, is never chosen.

mod choice;
mod cooldowns;
mod departures;
mod in_flight;
mod learned_weights;
mod limits;
pub mod load_interpretation;
mod named_versions;
mod pools;
mod rooms;
mod software_versions;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, Epoch, InstanceId, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) use self::choice::{BUSY_BACKLOG, OTHER_ZONE_COST};
pub use self::choice::{Choice, Need, Target};
pub use self::in_flight::Totals;
use self::in_flight::{PeerLoad, ReceivedTotals};
pub use self::limits::AnsweredRequest;
use self::{named_versions::NamedVersions, software_versions::PastVersions};
use crate::{
    adapter::{AdapterKey, WeightVersion},
    adapter_index::AdapterIndex,
    cooldown::Cooldown,
    departure::{Departure, Departures},
    endpoint::{Endpoint, EngineReport, SoftwareVersion},
    endpoint_state::EndpointState,
    engine_pools::PoolSplit,
    incarnation::{Incarnation, IncarnationStatus, Incarnations},
    latency_regression::LatencyRegression,
    limit_share::LimitShares,
    note::{Placed, Removed},
    residence_time::ResidenceTime,
    revision::Revision,
    room_share::RoomShares,
    route::ServiceName,
};

/// The maximum number of entries in one note. Each takes about 80 bytes, and a
/// datagram holds 64 kB.
const MAX_ENTRIES: usize = 256;

/// One instance's table of endpoints.
#[derive(Clone, Debug)]
pub struct FleetView {
    zone: ZoneName,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    /// The endpoints of each service.
    services: HashMap<ServiceName, BTreeSet<EndpointId>>,
    /// The endpoints that have a placement of each adapter.
    holders: AdapterIndex,
    /// The endpoints that are assumed to have each adapter cached.
    warm: AdapterIndex,
    peers: HashMap<InstanceId, PeerLoad>,
    /// The lease holder's totals, while they are valid.
    totals: Option<ReceivedTotals>,
    /// The index of the next endpoint whose total is published in turn.
    next_total: usize,
    /// The interval at which each other instance publishes its work in flight.
    peer_interval: Duration,
    newest: HashMap<AdapterKey, NamedVersions>,
    departures: Departures,
    incarnations: Incarnations,
    /// This instance's shares of the limits that endpoints announce.
    limits: LimitShares,
    /// This instance's shares of the room at brittle endpoints.
    rooms: RoomShares,
    /// Cooldowns of endpoints whose entries lapsed. These endpoints may be
    /// listed again before the cooldown ends.
    lapsed_cooldowns: HashMap<EndpointId, Cooldown>,
    /// Departures that this instance detected and has not sent to the other
    /// instances yet.
    unsent_departures: Vec<Departure>,
    /// The time to the first event at the engines of each service.
    first_event_times: HashMap<ServiceName, LatencyRegression>,
    /// The residence time of requests of each plain service.
    residence_times: HashMap<ServiceName, ResidenceTime>,
    /// The splits of engines into pools, by service.
    splits: HashMap<ServiceName, PoolSplit>,
    /// The epoch and sequence number of the note that the splits are from.
    splits_heard: Option<(Epoch, u64)>,
    /// The software versions of endpoints that are gone.
    past_versions: PastVersions,
    /// When the weights of the endpoints were last updated.
    learned_at: Option<Instant>,
    /// The expected duration of the last load from the weight store.
    load_time: Duration,
}

impl FleetView {
    /// Returns an empty table for an instance in this availability zone.
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
            peer_interval: Duration::ZERO,
            newest: HashMap::new(),
            departures: Departures::default(),
            incarnations: Incarnations::default(),
            limits: LimitShares::default(),
            rooms: RoomShares::default(),
            lapsed_cooldowns: HashMap::new(),
            unsent_departures: Vec::new(),
            first_event_times: HashMap::new(),
            residence_times: HashMap::new(),
            splits: HashMap::new(),
            splits_heard: None,
            past_versions: PastVersions::default(),
            learned_at: None,
            load_time: Duration::ZERO,
        }
    }

    /// Returns the expected duration of the last load from the weight store,
    /// or zero before the first one is known.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Applies one endpoint's entry. An entry from before the endpoint's
    /// departure, which a list that is seconds old may show, does not bring
    /// the endpoint back. An entry that is older than the known one changes
    /// nothing. Returns whether the entry was applied.
    pub fn apply_entry(
        &mut self,
        mut endpoint: Endpoint,
        now: Instant,
    ) -> bool {
        let id = endpoint.id.clone();
        if endpoint.is_draining {
            self.see_departure(&id, endpoint.revision, true, now);
        }
        let known = self.get(&id).map(|state| state.endpoint.revision);
        if known.is_some_and(|known| known > endpoint.revision) {
            // If the store restored the known entry from a copy, the older
            // one may show a later state of the endpoint.
            self.mark_departed(&id);
            return false;
        }
        let (born, revision) = (endpoint.born, endpoint.revision);
        match self.incarnations.apply_entry(&id, born, revision, now) {
            IncarnationStatus::Current => {}
            IncarnationStatus::New => self.begin_incarnation(&id, now),
            IncarnationStatus::Ended => return false,
        }
        let born = endpoint.born.or(self.incarnations.born(&id));
        self.record_software_version(&mut endpoint, now);
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
        true
    }

    /// Stops requests to an endpoint until its next entry is applied, if the
    /// known one shows another software version: the endpoint has restarted,
    /// and streams that begin there do not begin at the known version.
    pub fn hold_back(&mut self, id: &EndpointId, version: &SoftwareVersion) {
        if let Some(state) = self.endpoints.get_mut(id) {
            let known = state.endpoint.software_version.as_ref();
            state.is_held_back |= known != Some(version);
        }
    }

    /// Keeps the known software version of an endpoint whose entry comes from
    /// another instance, which does not pass it on.
    fn record_software_version(
        &mut self,
        endpoint: &mut Endpoint,
        now: Instant,
    ) {
        self.past_versions.record_known(&endpoint.service, now);
        let Some(state) = self.endpoints.get(&endpoint.id) else { return };
        let known = &state.endpoint;
        if endpoint.software_version.is_none() {
            endpoint.software_version.clone_from(&known.software_version);
        }
        if endpoint.software_version != known.software_version
            && known.software_version.is_some()
        {
            let version = known.software_version.clone();
            self.past_versions.record_gone(&known.service, version, now);
        }
    }

    /// Applies entries that another instance knows, without their adapters,
    /// while this instance does not reach the store. Entries of new endpoints
    /// are used, and newer entries of engines whose adapters this instance
    /// knows by itself.
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

    /// Returns the newest revision of all known entries.
    pub fn newest_revision(&self) -> Revision {
        let revisions = self.endpoints.values().map(|s| s.endpoint.revision);
        revisions.max().unwrap_or_default()
    }

    /// Returns the entries that are newer than a revision, without their
    /// adapters: the oldest first, as many as fit a note.
    pub fn entries_since(&self, revision: Revision) -> Vec<Endpoint> {
        let newer = |s: &&EndpointState| s.endpoint.revision > revision;
        let mut newer: Vec<&EndpointState> =
            self.endpoints.values().filter(newer).collect();
        newer.sort_by_key(|state| state.endpoint.revision);
        newer.truncate(MAX_ENTRIES);
        newer.iter().map(|s| s.endpoint.without_adapters()).collect()
    }

    /// Changes the placements of an endpoint, and updates the indexes.
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

    /// Clears the state of an endpoint's previous incarnation. This instance's
    /// requests that are in flight there end one by one.
    fn begin_incarnation(&mut self, id: &EndpointId, now: Instant) {
        self.limits.end_incarnation(id);
        self.rooms.end_incarnation(id);
        if let Some(cooldown) = self.lapsed_cooldowns.get_mut(id) {
            *cooldown = cooldown.in_new_incarnation();
        }
        let Some(state) = self.endpoints.get(id) else { return };
        for key in &state.warm {
            self.warm.remove(key, id);
        }
        let Endpoint { service, software_version, .. } = &state.endpoint;
        if let Some(version) = software_version.clone() {
            self.past_versions.record_gone(service, Some(version), now);
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

    /// Applies an engine's own report, which is newer than its entry. Returns
    /// whether the report refers to the engine's current incarnation.
    pub fn apply_report(
        &mut self,
        id: &EndpointId,
        report: &EngineReport,
        now: Instant,
    ) -> bool {
        match self.incarnations.apply_report(id, report.born, now) {
            IncarnationStatus::Current => {}
            IncarnationStatus::New => self.begin_incarnation(id, now),
            IncarnationStatus::Ended => return false,
        }
        self.change_placements(id, |state| state.apply_report(report, now));
        true
    }

    /// Records the loads that have ended by an engine's report, which shows
    /// everything up to `as_of`. What the engine holds is unknown if the report
    /// lacks an earlier load, or comes from another incarnation.
    pub fn confirm_loads(
        &mut self,
        id: &EndpointId,
        report: &EngineReport,
        as_of: Instant,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else { return };
        let is_current = self.incarnations.born(id) == report.born;
        if !is_current || !state.confirm_loads(report, as_of) {
            state.is_ordered_by_us = false;
        }
    }

    /// Returns the current incarnation of an endpoint, if it reports one.
    pub fn incarnation(&self, id: &EndpointId) -> Option<Incarnation> {
        self.incarnations.born(id)
    }

    /// Records that the adapters on an engine are unknown until the engine
    /// reports again.
    pub fn invalidate_contents(&mut self, id: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.is_ordered_by_us = false;
        }
    }

    /// Uses the platform's list again for the adapters on engines, because
    /// another instance may order loads and removals.
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

    /// Removes an endpoint whose entry is gone as of a revision of the store.
    ///
    /// If the entry may only have lapsed in an outage, `is_sure` is false and
    /// the other instances are not told before
    /// [`FleetView::confirm_departure`]. Otherwise the instance that waits the
    /// shortest time would decide for all instances.
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
        let Endpoint { service, software_version, .. } = &state.endpoint;
        let version = software_version.clone();
        self.past_versions.record_gone(service, version, now);
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

    /// Returns the placements of an adapter as notes for an instance that asks
    /// for them.
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
                is_cold: placement.is_cold && placement.is_unconfirmed,
                born: self.incarnations.born(&state.endpoint.id),
            })
            .collect()
    }

    /// Marks an endpoint as suspect for `time`, because several instances
    /// cannot reach it.
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

    /// Returns the newest announced version of each model and adapter.
    pub fn newest_versions(
        &self,
    ) -> impl Iterator<Item = (&AdapterKey, WeightVersion)> {
        self.newest
            .iter()
            .filter_map(|(key, named)| Some((key, named.newest()?.0)))
    }

    /// Returns the number of announced versions of weights, counting each
    /// increase.
    pub fn versions_announced(&self) -> u64 {
        self.newest_versions().map(|(_, version)| version).sum()
    }

    /// Records an announced version of a model or adapter. Returns whether it
    /// is newer than the known one.
    pub fn record_version(
        &mut self,
        key: &AdapterKey,
        version: WeightVersion,
        now: Instant,
    ) -> bool {
        match self.newest.get_mut(key) {
            Some(named) => named.record(version, now),
            None => {
                let named = self.newest.entry(key.clone()).or_default();
                version > 0 && named.record(version, now)
            }
        }
    }

    /// Returns the newest announced version of a model or adapter, and when
    /// this instance learned of it.
    pub fn newest(
        &self,
        key: &AdapterKey,
    ) -> Option<(WeightVersion, Instant)> {
        self.newest.get(key)?.newest()
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

    /// Returns up to `count` endpoints of a service at which to probe whether
    /// the service is reached, in a random order. Endpoints whose last request
    /// was served come first, because others may have crashed.
    pub fn probe_candidates(
        &self,
        service: &str,
        count: usize,
        draw: u64,
    ) -> Vec<(EndpointId, SocketAddr)> {
        let mut all: Vec<_> = self
            .of_service(service)
            .filter(|state| !state.endpoint.is_draining)
            .map(|state| {
                let hash = xxh3_64_with_seed(state.id().as_bytes(), draw);
                (!state.health.is_sound(), hash, state)
            })
            .collect();
        all.sort_unstable_by_key(|(is_unsound, hash, _)| (*is_unsound, *hash));
        all.truncate(count);
        all.into_iter()
            .map(|(_, _, state)| (state.id().clone(), state.endpoint.address))
            .collect()
    }

    /// Revokes the ejections of a service's endpoints, because the failures
    /// were due to this instance's own path.
    pub fn revoke_ejections(&mut self, service: &str) {
        let ids = self.services.get(service).into_iter().flatten();
        for id in ids {
            if let Some(state) = self.endpoints.get_mut(id) {
                state.health.revoke_ejections();
            }
        }
    }

    /// Returns the endpoints that hold an adapter or are loading it.
    pub fn holders(
        &self,
        key: &AdapterKey,
    ) -> impl Iterator<Item = &EndpointState> {
        let ids = self.holders.get(key).iter();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Returns the engines that are assumed to have an adapter cached.
    pub fn warm(&self, key: &AdapterKey) -> &[EndpointId] {
        self.warm.get(key)
    }

    /// Returns one endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns one endpoint for recording the outcome of a request.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Applies a note that an adapter is being loaded. A note that refers to
    /// another incarnation of the engine is ignored: either the incarnation
    /// has ended, or the engine's entry shows it soon.
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

    /// Records an adapter that is about to be ordered. It occupies a slot from
    /// now on, and gets requests once its engine has accepted the order.
    pub fn plan_placement(&mut self, placed: &Placed, now: Instant) {
        let id = &placed.endpoint;
        if placed.is_cold {
            self.load_time = Duration::from_millis(placed.ready_in_ms);
        }
        self.change_placements(id, |state| state.plan(placed, now));
        self.record_warm(id, &placed.key);
    }

    /// Records that an engine has accepted a planned order. Returns the time
    /// until the adapter is expected to be ready.
    pub fn order_accepted(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) -> Option<Duration> {
        self.endpoints.get_mut(id)?.order_accepted(key, now)
    }

    /// Records that an adapter which was about to be ordered is already
    /// loaded.
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

    /// Applies a note that an adapter is being removed from an engine.
    pub fn apply_removed(&mut self, removed: &Removed, now: Instant) {
        if !self.incarnations.is_current(&removed.endpoint, removed.born) {
            return;
        }
        self.change_placements(&removed.endpoint, |state| {
            state.placements.remove(&removed.key);
            state.removed.insert(removed.key.clone(), now);
        });
    }

    /// Removes the placement of an adapter whose load failed.
    pub fn remove_placement(&mut self, id: &EndpointId, key: &AdapterKey) {
        self.change_placements(id, |state| {
            state.placements.remove(key);
            state.warm.retain(|held| held != key);
        });
        self.warm.remove(key, id);
    }

    /// Records that an engine rejected a request because it does not hold the
    /// adapter, or not yet. The engine is tried again after a delay, or once
    /// the list shows the adapter again.
    pub fn record_absent(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) {
        self.change_placements(id, |state| state.record_absent(key, now));
    }

    /// Records whether an adapter that is being loaded was already loaded when
    /// a request for it was sent. Returns whether the lease holder must be
    /// notified.
    pub fn confirm_load(
        &mut self,
        id: &EndpointId,
        key: &AdapterKey,
        is_there: bool,
        sent: Instant,
    ) -> bool {
        let state = self.endpoints.get_mut(id);
        state.is_some_and(|state| state.confirm_load(key, is_there, sent))
    }
}
