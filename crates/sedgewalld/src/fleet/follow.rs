//! Follows the platform's store: configuration, endpoints, versions of
//! weights, and the other instances.
//!
//! Each kind is listed once and then watched. While the store is out, what was
//! known stays in force. The invariant: a configuration is never replaced by
//! an older one.

use std::{
    cell::RefCell,
    collections::HashSet,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, select};
use sedgewall_fleet::note::Note;
use sedgewall_platform::{
    StoreError,
    config::{
        CONFIG_KIND, CONFIG_NAME, VERSIONS_KIND, decode_config, decode_version,
    },
    endpoint::{ENDPOINTS_KIND, decode_endpoint},
    store::{Change, Freshness, StoredObject},
};
use sedgewall_state::id::{EndpointId, ZoneName};
use serde::{Deserialize, Serialize};

use super::node::{Bell, FleetNode, Peer, Stage};

/// The kind of our own instances' entries.
pub(crate) const INSTANCES_KIND: &str = "sedgewall-instances";

/// How long a watch of endpoints waits for a change. A channel that went dead
/// without a word is noticed after this time; then all is listed anew.
const ENDPOINTS_WATCH: Duration = Duration::from_secs(4);

/// How long other watches wait. Each call has a price; what other instances
/// know in a newer version is listed soon. It is well within the history that
/// the store keeps, 20 s on the deployments that we know: a watch that waits
/// longer finds its revision gone.
const QUIET_WATCH: Duration = Duration::from_secs(12);

/// The pause between two watches of endpoints, so that many changes come in
/// one call. A leaving endpoint may get work for 2 s after the store has taken
/// its word.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(650);

/// What each instance adds to this pause: the first one that sees an endpoint
/// leave tells all others.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(40);

/// Instances that watch with all that was acknowledged. Three may be cut off at
/// once and one still tells all others.
const FRESH_WATCHERS: usize = 4;

/// The longest time for the answer to a probe: the lease leaves 0.85 s from the
/// first renewal that fails.
const PROBE_TIME: Duration = Duration::from_millis(450);

/// While a probe says that the store is out, and no other call has reached it,
/// it is probed again after this long.
const PROBE_AGAIN: Duration = Duration::from_millis(500);

/// The pause between two watches of instances: all write their entries when
/// all start, and each that is watched would wake all others.
const INSTANCES_PAUSE: Duration = Duration::from_millis(1_500);

/// The longest pause between two watches of endpoints.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);

/// The first pause after a failed call; it doubles.
const FIRST_BACK_OFF: Duration = Duration::from_millis(150);

/// The longest pause after failed calls.
const LONGEST_BACK_OFF: Duration = Duration::from_millis(1_200);

/// The same for an instance that does not watch for the others.
const OTHERS_BACK_OFF: Duration = Duration::from_millis(2_500);

/// The longest pause after failed calls of a kind that is rung for when
/// another kind reaches the store again: one kind's calls show that.
const RUNG_BACK_OFF: Duration = Duration::from_secs(4);

/// What an instance tells the others about itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct InstanceEntry {
    /// Where its notes go.
    notes_address: SocketAddr,
    /// Where it is.
    zone: ZoneName,
    /// The part of a processor that it has, in hundredths.
    cpu_percent: u32,
}

/// Takes in the objects of one kind.
trait Follower {
    const KIND: &'static str;
    const WATCH: Duration;
    /// How new the first list has to be. What the watch tells next follows on
    /// it, so a start is cheap where a second more does no harm.
    const FIRST_LIST: Freshness = Freshness::SecondsOld;
    /// The pause before the next watch.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// What rings when all is to be listed anew.
    fn bell(&self) -> Option<Rc<Bell>> {
        None
    }
    /// The longest pause after failed calls, where others watch as well. What
    /// has a bell is rung for once the store is regained.
    fn longest_back_off(&self) -> Duration {
        match self.bell() {
            Some(_) => RUNG_BACK_OFF,
            None => OTHERS_BACK_OFF,
        }
    }
    /// Takes in all objects.
    fn list(&self, objects: Vec<StoredObject>);
    /// Takes in one change.
    fn change(&self, change: Change);
}

struct Configuration(Rc<FleetNode>);
struct Endpoints {
    node: Rc<FleetNode>,
    /// Endpoints whose entries are gone, and may be back soon.
    lapsed: Rc<RefCell<HashSet<EndpointId>>>,
}
struct Versions(Rc<FleetNode>);
struct Instances(Rc<FleetNode>);

/// Starts to follow everything.
pub(crate) fn start(node: &Rc<FleetNode>) {
    spawn(node, Configuration(node.clone()));
    let lapsed = Rc::default();
    spawn(node, Endpoints { node: node.clone(), lapsed });
    spawn(node, Versions(node.clone()));
    spawn(node, Instances(node.clone()));
    compio::runtime::spawn(announce(node.clone())).detach();
}

fn spawn<F: Follower + 'static>(node: &Rc<FleetNode>, follower: F) {
    compio::runtime::spawn(follow(node.clone(), follower)).detach();
}

async fn follow<F: Follower>(node: Rc<FleetNode>, follower: F) {
    let mut back_off = FIRST_BACK_OFF;
    let mut since = None;
    let mut is_out = false;
    let mut watches = Freshness::Newest;
    let mut lists = F::FIRST_LIST;
    loop {
        let done = match since {
            None => node.store.list(F::KIND, lists).await.map(|listing| {
                lists = Freshness::Newest;
                tracing::info!(
                    event = "listed",
                    kind = F::KIND,
                    objects = listing.objects.len(),
                    revision = listing.revision,
                );
                follower.list(listing.objects);
                listing.revision
            }),
            Some(revision) => {
                watches = freshness(&node, watches, F::KIND);
                let watch =
                    node.store.watch(F::KIND, revision, F::WATCH, watches);
                let mut watch = pin!(watch.fuse());
                let bell = follower.bell();
                let mut rung = pin!(rung(bell).fuse());
                let watched = select! {
                    watched = watch => watched,
                    () = rung => {
                        since = None;
                        continue;
                    }
                };
                watched.map(|changes| {
                    for change in changes.changes {
                        follower.change(change);
                    }
                    changes.revision
                })
            }
        };
        match done {
            Ok(revision) => {
                node.note_store(false);
                if is_out {
                    tracing::info!(event = "store_regained", kind = F::KIND);
                    is_out = false;
                    node.list_anew();
                }
                since = Some(revision);
                back_off = FIRST_BACK_OFF;
                compio::time::sleep(follower.pause()).await;
            }
            Err(StoreError::HistoryGone) => {
                tracing::warn!(event = "history_gone", kind = F::KIND);
                since = None;
            }
            Err(err) => {
                node.note_store(true);
                if !is_out {
                    let cause = err.to_string();
                    tracing::warn!(
                        event = "store_lost",
                        kind = F::KIND,
                        cause
                    );
                    is_out = true;
                }
                // Whoever regains the store first rings for the others.
                let mut regained = pin!(rung(follower.bell()).fuse());
                let mut pause = pin!(compio::time::sleep(back_off).fuse());
                select! {
                    () = pause => {}
                    () = regained => since = None,
                }
                let longest = match node.rank(0) < FRESH_WATCHERS {
                    true => LONGEST_BACK_OFF,
                    false => follower.longest_back_off(),
                };
                back_off = (back_off * 2).min(longest);
            }
        }
    }
}

/// A few instances hear everything at once and tell the others, who watch for
/// a tenth of the price and repair with it what notes lost.
fn freshness(node: &FleetNode, before: Freshness, kind: &str) -> Freshness {
    let rank = node.rank(0);
    let freshness = match rank < FRESH_WATCHERS {
        true => Freshness::Newest,
        false => Freshness::SecondsOld,
    };
    if freshness != before {
        tracing::info!(event = "watch", kind, rank, freshness = ?freshness);
    }
    freshness
}

/// Sees whether the store answers, for the holder of the lease to hear. Our own
/// watches may still wait on connections that were made before an outage.
pub(crate) fn probe_store(node: &Rc<FleetNode>) {
    if node.store_is_out.get() || node.is_probing.replace(true) {
        return;
    }
    let node = node.clone();
    compio::runtime::spawn(async move {
        loop {
            let probe = node.store.probe(CONFIG_KIND, CONFIG_NAME);
            let answered = compio::time::timeout(PROBE_TIME, probe).await;
            let is_out = !matches!(answered, Ok(Ok(())));
            tracing::info!(event = "store_probed", is_out);
            node.note_store(is_out);
            if !is_out {
                break;
            }
            compio::time::sleep(PROBE_AGAIN).await;
            if !node.store_is_out.get() {
                break;
            }
        }
        node.is_probing.set(false);
    })
    .detach();
}

/// Waits for a bell; for ever, if there is none.
async fn rung(bell: Option<Rc<Bell>>) {
    match bell {
        Some(bell) => while !bell.wait(QUIET_WATCH).await {},
        None => std::future::pending().await,
    }
}

impl Follower for Configuration {
    const KIND: &'static str = CONFIG_KIND;
    /// An older configuration must not be in force after a newer one.
    const FIRST_LIST: Freshness = Freshness::Newest;
    const WATCH: Duration = QUIET_WATCH;

    fn bell(&self) -> Option<Rc<Bell>> {
        Some(self.0.configuration_bell.clone())
    }

    fn list(&self, objects: Vec<StoredObject>) {
        for object in objects {
            self.take(&object);
        }
    }

    fn change(&self, change: Change) {
        // A configuration that is gone stays in force.
        if !change.is_deleted {
            self.take(&change.object);
        }
    }
}

impl Configuration {
    fn take(&self, object: &StoredObject) {
        if object.name != CONFIG_NAME {
            return;
        }
        let node = &self.0;
        let deployment = match decode_config(&object.spec) {
            Ok(deployment) => deployment,
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "configuration_unreadable", cause);
                return;
            }
        };
        let known = node.deployment().map_or(0, |known| known.version);
        if deployment.version <= known {
            return;
        }
        tracing::info!(
            event = "configuration",
            version = deployment.version,
            routes = deployment.routes.len(),
            replaces = known,
        );
        *node.deployment.borrow_mut() = Some(Rc::new(deployment));
        node.forget_patience();
        if node.stage.get() == Stage::Starting {
            node.stage.set(Stage::Ready);
        }
        node.wake_all();
    }
}

impl Follower for Endpoints {
    const KIND: &'static str = ENDPOINTS_KIND;
    const WATCH: Duration = ENDPOINTS_WATCH;

    fn pause(&self) -> Duration {
        let peers = self.node.peers.borrow().len() as u32;
        ENDPOINTS_PAUSE.max(PAUSE_PER_INSTANCE * peers).min(LONGEST_PAUSE)
    }

    fn list(&self, objects: Vec<StoredObject>) {
        let read: Vec<_> = objects.iter().filter_map(decoded).collect();
        let listed: HashSet<&EndpointId> =
            read.iter().map(|endpoint| &endpoint.id).collect();
        let known: Vec<EndpointId> = self
            .node
            .view
            .borrow()
            .endpoints()
            .map(|state| state.id().clone())
            .collect();
        for id in known.iter().filter(|id| !listed.contains(id)) {
            self.entry_gone(id);
        }
        for endpoint in read {
            self.entry_back(&endpoint.id);
            self.node.view.borrow_mut().list(endpoint, Instant::now());
        }
        self.node.wake_all();
        self.node.ring_loader();
    }

    fn change(&self, change: Change) {
        let node = &self.node;
        let id = &change.object.name;
        if change.is_deleted {
            self.entry_gone(id);
            return;
        }
        let Some(endpoint) = decoded(&change.object) else { return };
        self.entry_back(id);
        let mut view = node.view.borrow_mut();
        let was_draining =
            view.get(id).map(|state| state.endpoint.is_draining);
        if was_draining != Some(endpoint.is_draining) {
            tracing::info!(
                event = "endpoint",
                endpoint = id,
                service = endpoint.service,
                zone = endpoint.zone,
                is_draining = endpoint.is_draining,
                adapters = adapter_count(&endpoint),
                revision = change.object.revision,
            );
        }
        let is_leaving = was_draining == Some(false) && endpoint.is_draining;
        view.list(endpoint, Instant::now());
        drop(view);
        if is_leaving {
            node.outbox.borrow_mut().push(Note::Leaving(id.clone()));
            node.ring_notes();
        }
        node.wake_all();
    }
}

impl Endpoints {
    /// Takes an endpoint out whose entry is gone. Just after an outage it may
    /// have lapsed meanwhile, and is waited for: a live endpoint writes it again.
    fn entry_gone(&self, id: &EndpointId) {
        let left = self.node.entries_return_within(Instant::now());
        if left.is_zero() {
            take_out(&self.node, id);
            return;
        }
        if !self.lapsed.borrow_mut().insert(id.clone()) {
            return;
        }
        let left_ms = left.as_millis() as u64;
        tracing::info!(event = "endpoint_lapsed", endpoint = id, left_ms);
        let (node, lapsed) = (self.node.clone(), self.lapsed.clone());
        let id = id.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(left).await;
            if lapsed.borrow_mut().remove(&id) {
                take_out(&node, &id);
            }
        })
        .detach();
    }

    /// An entry that is there again belongs to the same life of its endpoint,
    /// but what that holds is asked for anew.
    fn entry_back(&self, id: &EndpointId) {
        if self.lapsed.borrow_mut().remove(id) {
            self.node.view.borrow_mut().lose_track(id);
        }
    }
}

fn take_out(node: &FleetNode, id: &EndpointId) {
    tracing::info!(event = "endpoint_gone", endpoint = id);
    node.view.borrow_mut().unlist(id);
}

fn adapter_count(endpoint: &sedgewall_fleet::endpoint::Endpoint) -> usize {
    endpoint.models.iter().map(|model| model.adapters.len()).sum()
}

fn decoded(
    object: &StoredObject,
) -> Option<sedgewall_fleet::endpoint::Endpoint> {
    match decode_endpoint(&object.name, &object.spec) {
        Ok(endpoint) => Some(endpoint),
        Err(err) => {
            let cause = err.to_string();
            tracing::error!(event = "endpoint_unreadable", cause);
            None
        }
    }
}

impl Follower for Versions {
    const KIND: &'static str = VERSIONS_KIND;
    const WATCH: Duration = QUIET_WATCH;

    fn bell(&self) -> Option<Rc<Bell>> {
        Some(self.0.versions_bell.clone())
    }

    fn list(&self, objects: Vec<StoredObject>) {
        for object in objects {
            self.take(&object);
        }
    }

    fn change(&self, change: Change) {
        if !change.is_deleted {
            self.take(&change.object);
        }
    }
}

impl Versions {
    fn take(&self, object: &StoredObject) {
        match decode_version(&object.name, &object.spec) {
            Ok((key, version)) => {
                let name = key.to_string();
                tracing::info!(event = "version", key = name, version);
                let mut view = self.0.view.borrow_mut();
                view.name_version(&key, version, Instant::now());
                drop(view);
                self.0.ring_loader();
            }
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "version_unreadable", cause);
            }
        }
    }
}

impl Follower for Instances {
    const KIND: &'static str = INSTANCES_KIND;
    const WATCH: Duration = QUIET_WATCH;

    fn pause(&self) -> Duration {
        INSTANCES_PAUSE
    }

    fn bell(&self) -> Option<Rc<Bell>> {
        Some(self.0.instances_bell.clone())
    }

    fn list(&self, objects: Vec<StoredObject>) {
        let is_listed =
            |id: &String| objects.iter().any(|object| object.name == *id);
        self.0.peers.borrow_mut().retain(|id, _| is_listed(id));
        for object in objects {
            self.take(&object);
        }
    }

    fn change(&self, change: Change) {
        if change.is_deleted {
            self.0.peers.borrow_mut().remove(&change.object.name);
        } else {
            self.take(&change.object);
        }
    }
}

impl Instances {
    fn take(&self, object: &StoredObject) {
        if object.name == *self.0.id() {
            return;
        }
        match InstanceEntry::deserialize(&object.spec) {
            Ok(entry) => {
                let mut peers = self.0.peers.borrow_mut();
                let known = peers.get(&object.name);
                let peer = Peer {
                    address: entry.notes_address,
                    zone: entry.zone,
                    cpu_percent: entry.cpu_percent,
                    known_since: known
                        .map_or_else(Instant::now, |peer| peer.known_since),
                };
                peers.insert(object.name.clone(), peer);
            }
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "instance_unreadable", cause);
            }
        }
    }
}

/// Writes our own entry, until the store has it.
async fn announce(node: Rc<FleetNode>) {
    let entry = InstanceEntry {
        notes_address: node.settings.peer_listen,
        zone: node.settings.zone.clone(),
        cpu_percent: node.cpu_percent(),
    };
    let Ok(spec) = serde_json::to_value(&entry) else { return };
    let mut back_off = FIRST_BACK_OFF;
    while let Err(err) = write_entry(&node, &spec).await {
        let cause = err.to_string();
        tracing::warn!(event = "announce_failed", cause);
        compio::time::sleep(back_off).await;
        back_off = (back_off * 2).min(LONGEST_BACK_OFF);
    }
}

async fn write_entry(
    node: &FleetNode,
    spec: &serde_json::Value,
) -> Result<(), StoreError> {
    let written = node.store.create(INSTANCES_KIND, node.id(), spec).await;
    match written {
        // A start at the same address changes nothing.
        Err(StoreError::Conflict(Some(known))) if known.spec == *spec => {
            Ok(())
        }
        Err(StoreError::Conflict(Some(known))) => {
            let revision = known.revision;
            let (kind, name) = (INSTANCES_KIND, node.id());
            node.store.replace(kind, name, revision, spec).await.map(|_| ())
        }
        written => written.map(|_| ()),
    }
}
