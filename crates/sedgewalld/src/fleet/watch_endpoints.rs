//! Handler for the platform's list of endpoints.
//!
//! Invariant: an endpoint that the store shows as leaving or gone, to this
//! instance or to any instance that it has notes from, gets no new requests.
//! The exception is a time after an outage in which lapsed entries come back.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::{Endpoint, SoftwareVersion},
    freshness::WatchedKind,
    note::Note,
    read_progress::WATCH_ANSWER_TIME,
};
use sedgewall_platform::{
    endpoint::{ENDPOINTS_KIND, decode_endpoint},
    store::{Change, Freshness, Listing, Revision, StoredObject},
};
use sedgewall_state::id::EndpointId;

use super::{
    instance::FleetInstance,
    list_watch::{FRESH_WATCHERS, ObjectHandler},
    notify::Notify,
    poison, version_records,
};

/// The timeout of a watch of endpoints. A connection that died silently is
/// detected after this time, and then all endpoints are listed again.
const ENDPOINTS_WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// The pause between two watches of endpoints, so that one call brings many
/// changes. A leaving endpoint may get requests for 2 s after the store has
/// acknowledged that it leaves.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(650);

/// The minimum pause per other instance. With many instances each may pause
/// for longer, because the first one that sees an endpoint leave tells all
/// others.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(40);

/// The maximum pause between two watches of endpoints.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);

/// How long after the store came back a missing entry may have lapsed in the
/// outage: twice the time that a lapsed entry takes to come back.
const LAPSE_DOUBT_WINDOW: Duration = Duration::from_secs(4);

/// How long after the end of an outage a lapsed entry is back in the store,
/// according to the platform's documentation.
const ENTRY_RETURN_TIME: Duration = Duration::from_millis(2_000);

/// The time from a change of an entry to its arrival here, in addition to the
/// pause between two watches.
const WATCH_DELAY: Duration = Duration::from_millis(50);

/// Handles the entries of endpoints.
#[derive(Clone)]
pub(crate) struct Endpoints {
    instance: Rc<FleetInstance>,
    /// Endpoints whose entries lapsed and may come back soon, with the
    /// revision at which they were missing.
    lapsed: Rc<RefCell<HashMap<EndpointId, Revision>>>,
    /// Whether the answer that is being handled lacks a known entry.
    has_missing: Rc<Cell<bool>>,
}

impl ObjectHandler for Endpoints {
    const KIND: &'static str = ENDPOINTS_KIND;
    const WATCHED_KIND: WatchedKind = WatchedKind::Endpoints;
    const WATCH_TIMEOUT: Duration = ENDPOINTS_WATCH_TIMEOUT;

    fn pause(&self) -> Duration {
        watch_pause(&self.instance)
    }

    fn relist_notify(&self) -> Rc<Notify> {
        self.instance.endpoints_relist_notify.clone()
    }

    fn begin_list(&self) {
        self.instance.endpoints_progress.borrow_mut().begin_list();
    }

    fn begin_watch(&self, freshness: Freshness) {
        if freshness == Freshness::Newest {
            let now = Instant::now();
            let mut progress = self.instance.endpoints_progress.borrow_mut();
            if progress.begin_watch(now) {
                check_watch_later(&self.instance);
            }
        }
    }

    fn end_watch(&self) {
        self.instance.endpoints_progress.borrow_mut().end_watch();
    }

    fn record_position(&self, until: Revision, freshness: Freshness) {
        let mut progress = self.instance.endpoints_progress.borrow_mut();
        if self.has_missing.take() {
            progress.record_missing(until);
        }
        match freshness {
            Freshness::Newest => progress.record_newest(until),
            Freshness::SecondsOld => progress.record_read(until),
        }
    }

    fn handle_list(&self, listing: Listing) {
        let read: Vec<Endpoint> =
            listing.objects.iter().filter_map(decoded).collect();
        let listed: HashSet<&EndpointId> =
            read.iter().map(|endpoint| &endpoint.id).collect();
        // A list that may be seconds old does not show newer entries.
        let known: Vec<EndpointId> = self
            .instance
            .view
            .borrow()
            .endpoints()
            .filter(|state| state.endpoint.revision <= listing.revision)
            .map(|state| state.id().clone())
            .collect();
        let is_gone = |id: &EndpointId| !listed.contains(id);
        for id in known.iter().filter(|id| is_gone(id)) {
            self.entry_missing(id, listing.revision);
        }
        // Entries that wait for their records are not in the view yet.
        self.instance.version_records.unrecorded.borrow_mut().retain(
            |id, entry| !is_gone(id) || entry.revision > listing.revision,
        );
        for endpoint in read {
            self.apply(endpoint);
        }
        broadcast_departures(&self.instance);
        self.instance.wake_all();
        self.instance.notify_planner();
    }

    fn handle_change(&self, change: Change) {
        let Change { object, is_deleted } = change;
        if is_deleted {
            self.entry_missing(&object.name, object.revision);
            broadcast_departures(&self.instance);
            return;
        }
        match decoded(&object) {
            Some(endpoint) => self.apply(endpoint),
            // The entry no longer describes an endpoint, whatever it described
            // before.
            None => self.entry_missing(&object.name, object.revision),
        }
        broadcast_departures(&self.instance);
        self.instance.wake_all();
    }
}

impl Endpoints {
    pub(crate) fn new(instance: &Rc<FleetInstance>) -> Endpoints {
        Endpoints {
            instance: instance.clone(),
            lapsed: Rc::default(),
            has_missing: Rc::default(),
        }
    }

    /// Applies an entry, once its software version is recorded.
    fn apply(&self, endpoint: Endpoint) {
        let instance = &self.instance;
        let service = &endpoint.service;
        let unrecorded =
            endpoint.software_version.as_ref().filter(|version| {
                !endpoint.is_draining
                    && instance.needs_version_record(service)
                    && !instance.version_records.allows(service, version)
            });
        match unrecorded.cloned() {
            Some(version) => self.apply_once_recorded(endpoint, version),
            None => self.apply_now(endpoint),
        }
    }

    /// Keeps an entry until its software version is recorded.
    fn apply_once_recorded(
        &self,
        endpoint: Endpoint,
        version: SoftwareVersion,
    ) {
        let service = endpoint.service.clone();
        let is_same = {
            let (service, version) = (service.clone(), version.clone());
            move |entry: &Endpoint| {
                entry.service == service
                    && entry.software_version.as_ref() == Some(&version)
            }
        };
        let instance = &self.instance;
        instance.view.borrow_mut().hold_back(&endpoint.id, &version);
        let mut unrecorded = instance.version_records.unrecorded.borrow_mut();
        let is_being_recorded = unrecorded.values().any(&is_same);
        unrecorded.insert(endpoint.id.clone(), endpoint);
        if is_being_recorded {
            return;
        }
        let handler = self.clone();
        compio::runtime::spawn(async move {
            version_records::record(&handler.instance, &service, &version)
                .await;
            let records = &handler.instance.version_records;
            let recorded: Vec<Endpoint> = records
                .unrecorded
                .borrow_mut()
                .extract_if(|_, entry| is_same(entry))
                .map(|(_, entry)| entry)
                .collect();
            for entry in recorded {
                handler.apply_now(entry);
            }
            handler.instance.wake_all();
            handler.instance.notify_planner();
        })
        .detach();
    }

    fn apply_now(&self, endpoint: Endpoint) {
        let records = &self.instance.version_records;
        records.unrecorded.borrow_mut().remove(&endpoint.id);
        let mut view = self.instance.view.borrow_mut();
        // An entry that comes back belongs to the same incarnation of the
        // endpoint, but the engine must report again what it holds.
        if self.lapsed.borrow_mut().remove(&endpoint.id).is_some() {
            view.invalidate_contents(&endpoint.id);
        }
        let known = view.get(&endpoint.id);
        let was_draining = known.map(|state| state.endpoint.is_draining);
        if was_draining != Some(endpoint.is_draining) {
            tracing::info!(
                event = "endpoint",
                endpoint = endpoint.id,
                service = endpoint.service,
                zone = endpoint.zone,
                is_draining = endpoint.is_draining,
                adapters = adapter_count(&endpoint),
                revision = %endpoint.revision,
                software_version = endpoint
                    .software_version
                    .as_ref()
                    .map(tracing::field::display),
            );
        }
        let known_revision = known.map(|state| state.endpoint.revision);
        self.instance
            .endpoints_progress
            .borrow_mut()
            .record_change(endpoint.revision);
        let (id, revision) = (endpoint.id.clone(), endpoint.revision);
        let is_draining = endpoint.is_draining;
        let is_applied = view.apply_entry(endpoint, Instant::now());
        // A list that may be seconds old shows many entries that are older
        // than the known ones.
        if !is_applied && was_draining != Some(is_draining) {
            tracing::warn!(
                event = "entry_ignored",
                endpoint = id,
                is_draining,
                %revision,
                known_revision =
                    known_revision.map(tracing::field::display),
            );
        }
    }

    /// Removes an endpoint whose entry was missing at a revision of the store.
    /// Just after an outage the entry may only have lapsed, so the removal is
    /// delayed: a live endpoint writes its entry again.
    fn entry_missing(&self, id: &EndpointId, revision: Revision) {
        let now = Instant::now();
        self.has_missing.set(true);
        self.instance.version_records.unrecorded.borrow_mut().remove(id);
        let reachability = self.instance.store_reachability.borrow();
        let left = reachability.missing_entry_grace(now);
        if left.is_zero() {
            remove_endpoint(&self.instance, id, revision);
            return;
        }
        if self.lapsed.borrow().contains_key(id) {
            return;
        }
        self.lapsed.borrow_mut().insert(id.clone(), revision);
        let last = reachability.last_failure();
        let ms_ago = |at: Instant| (now - at).as_millis() as u64;
        tracing::info!(
            event = "endpoint_lapsed",
            endpoint = id,
            %revision,
            left_ms = left.as_millis() as u64,
            known_out_ms_ago = last.map(|last| ms_ago(last.unreachable_at())),
        );
        let (instance, lapsed) = (self.instance.clone(), self.lapsed.clone());
        let id = id.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(left).await;
            // The entry came back, or came back and lapsed again, which has a
            // delay of its own.
            if lapsed.borrow().get(&id) != Some(&revision) {
                return;
            }
            lapsed.borrow_mut().remove(&id);
            remove_endpoint(&instance, &id, revision);
            broadcast_departures(&instance);
        })
        .detach();
    }
}

/// Applies another instance's report of the newest change of an endpoint's
/// entry that it has read. A watch that does not return that change soon is
/// lost.
pub(crate) fn apply_report(
    instance: &Rc<FleetInstance>,
    newest_change: Revision,
) {
    let now = Instant::now();
    let mut progress = instance.endpoints_progress.borrow_mut();
    if progress.record_report(newest_change, now) {
        check_watch_later(instance);
    }
}

/// Makes endpoints be listed if the open watch has still not returned a change
/// that another instance has read, after the time that the store may take to
/// answer.
fn check_watch_later(instance: &Rc<FleetInstance>) {
    let instance = instance.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(WATCH_ANSWER_TIME).await;
        let progress = instance.endpoints_progress.borrow();
        let Some(lost) = progress.lost_watch(Instant::now()) else { return };
        metrics::counter!("sedgewall_store_watches_lost_total").increment(1);
        tracing::warn!(
            event = "watch_lost",
            kind = ENDPOINTS_KIND,
            open_ms = lost.open_for.as_millis() as u64,
            read = %lost.read,
            newest_reported = %lost.newest_reported,
        );
        instance.endpoints_relist_notify.notify();
    })
    .detach();
}

/// Returns the pause before the next watch of endpoints.
fn watch_pause(instance: &FleetInstance) -> Duration {
    let peers = instance.live_peer_count() as u32;
    ENDPOINTS_PAUSE.max(PAUSE_PER_INSTANCE * peers).min(MAX_PAUSE)
}

fn remove_endpoint(
    instance: &Rc<FleetInstance>,
    id: &EndpointId,
    revision: Revision,
) {
    let now = Instant::now();
    let reachability = instance.store_reachability.borrow();
    let is_sure = !reachability.was_disturbed_within(LAPSE_DOUBT_WINDOW, now);
    drop(reachability);
    tracing::info!(event = "endpoint_gone", endpoint = id, %revision, is_sure);
    if is_sure {
        poison::endpoint_ended(instance, id);
    }
    let mut view = instance.view.borrow_mut();
    let was_leaving =
        view.get(id).is_none_or(|state| state.endpoint.is_draining);
    view.remove_entry(id, revision, is_sure, now);
    drop(view);
    if !is_sure && !was_leaving {
        report_once_certain(instance, id);
    }
}

/// Tells the other instances of an endpoint whose entry might have lapsed, if
/// the entry is still missing when all lapsed entries are back. An instance
/// whose watch of endpoints is lost learns of the departure from this alone.
/// In a large fleet only the instances that watch for all others report it.
fn report_once_certain(instance: &Rc<FleetInstance>, id: &EndpointId) {
    let (instance, id) = (instance.clone(), id.clone());
    compio::runtime::spawn(async move {
        loop {
            let return_time =
                ENTRY_RETURN_TIME + watch_pause(&instance) + WATCH_DELAY;
            let left = instance
                .store_reachability
                .borrow()
                .return_time_left(return_time, Instant::now());
            if left == Some(Duration::ZERO) {
                break;
            }
            compio::time::sleep(left.unwrap_or(return_time)).await;
        }
        if instance.rank(0) < FRESH_WATCHERS {
            let now = Instant::now();
            instance.view.borrow_mut().confirm_departure(&id, now);
            broadcast_departures(&instance);
        }
    })
    .detach();
}

/// Tells all other instances of endpoints that this one has seen leave. Their
/// watches may be late, or their path to the store cut.
pub(crate) fn broadcast_departures(instance: &FleetInstance) {
    let unsent = instance.view.borrow_mut().take_unsent_departures();
    if unsent.is_empty() {
        return;
    }
    instance
        .broadcast_queue
        .borrow_mut()
        .extend(unsent.into_iter().map(Note::Departed));
    instance.notify_notes();
}

fn adapter_count(endpoint: &Endpoint) -> usize {
    endpoint.models.iter().map(|model| model.adapters.len()).sum()
}

fn decoded(object: &StoredObject) -> Option<Endpoint> {
    match decode_endpoint(&object.name, object.revision, &object.spec) {
        Ok(endpoint) => Some(endpoint),
        Err(err) => {
            let cause = err.to_string();
            tracing::error!(event = "endpoint_unreadable", cause);
            None
        }
    }
}
