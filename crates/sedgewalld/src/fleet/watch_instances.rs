//! Handler for the entries of the other instances, and the task that writes
//! this instance's own entry.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    back_off::{BackOff, CallKind},
    freshness::WatchedKind,
    lost_instances::LostInstances,
};
use sedgewall_platform::{
    StoreError,
    store::{Change, Listing, Revision, StoredObject},
};
use sedgewall_state::id::{InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

use super::{
    instance::{FleetInstance, Peer},
    list_watch::{DEFAULT_WATCH_TIMEOUT, ObjectHandler},
    notify::Notify,
};

/// The kind of instance entries in the store.
pub(crate) const INSTANCES_KIND: &str = "sedgewall-instances";

/// The pause between two watches of instances. At a start of the system all
/// instances write their entries, and each write would otherwise wake the
/// watches of all others.
const INSTANCES_PAUSE: Duration = Duration::from_millis(1_500);

/// How long an instance waits for the first list before it writes its entry.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval at which an instance checks whether the first list has come.
const FIRST_LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long one wait for the loss of the own entry takes.
const OWN_ENTRY_WAIT: Duration = Duration::from_secs(60);

/// The interval at which instances that are gone for good are looked for.
const LOST_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The entry of an instance in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct InstanceEntry {
    /// The address to which notes for the instance are sent.
    notes_address: SocketAddr,
    /// The availability zone of the instance.
    zone: ZoneName,
    /// The share of a processor core that the instance has, in percent.
    cpu_percent: u32,
    /// Whether the instance can read notes on engine pools. Instances of the
    /// previous release cannot, and reject the entire note.
    #[serde(default)]
    reads_pools: bool,
    /// Whether the instance takes requests that others forward to it.
    /// Instances of the previous release do not.
    #[serde(default)]
    takes_forwarded: bool,
    /// Whether the instance knows where streams began. Instances of the
    /// previous release do not, and cannot read notes on that.
    #[serde(default)]
    tracks_streams: bool,
}

/// Handles the entries of the other instances.
pub(crate) struct Instances(pub(crate) Rc<FleetInstance>);

impl ObjectHandler for Instances {
    const KIND: &'static str = INSTANCES_KIND;
    const WATCHED_KIND: WatchedKind = WatchedKind::Instances;
    const WATCH_TIMEOUT: Duration = DEFAULT_WATCH_TIMEOUT;

    fn pause(&self) -> Duration {
        INSTANCES_PAUSE
    }

    fn relist_notify(&self) -> Rc<Notify> {
        self.0.instances_relist_notify.clone()
    }

    fn handle_list(&self, listing: Listing) {
        let objects = listing.objects;
        let own = objects.iter().find(|object| object.name == *self.0.id());
        let is_missing = own.is_none();
        *self.0.own_entry.borrow_mut() = own.map(|object| object.spec.clone());
        if self.0.has_listed_instances.replace(true) && is_missing {
            self.0.own_entry_notify.notify();
        }
        let is_listed =
            |id: &String| objects.iter().any(|object| object.name == *id);
        self.0.peers.borrow_mut().retain(|id, _| is_listed(id));
        self.0.store_reports.borrow_mut().retain(is_listed);
        for object in objects {
            self.apply(&object);
        }
        self.0.forget_pool_services();
    }

    fn handle_change(&self, change: Change) {
        if change.is_deleted {
            if change.object.name == *self.0.id() {
                self.0.own_entry_notify.notify();
            }
            let gone = change.object.name;
            self.0.peers.borrow_mut().remove(&gone);
            self.0.store_reports.borrow_mut().retain(|id| *id != gone);
        } else {
            self.apply(&change.object);
        }
        self.0.forget_pool_services();
    }
}

impl Instances {
    fn apply(&self, object: &StoredObject) {
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
                    reads_pools: entry.reads_pools,
                    takes_forwarded: entry.takes_forwarded,
                    tracks_streams: entry.tracks_streams,
                    revision: object.revision,
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

/// Writes this instance's own entry, and again whenever it is missing: the
/// store was restored from a copy without it, or the lease holder deleted it
/// because this instance was cut off. Never returns.
pub(crate) async fn keep_registered(instance: Rc<FleetInstance>) {
    loop {
        register(&instance).await;
        while !instance.own_entry_notify.wait(OWN_ENTRY_WAIT).await {}
        tracing::warn!(event = "own_entry_missing");
    }
}

/// Deletes the entries of instances that are gone for good, while this
/// instance holds the lease. Never returns.
pub(crate) async fn delete_lost(instance: Rc<FleetInstance>) {
    let mut lost = LostInstances::default();
    loop {
        compio::time::sleep(LOST_CHECK_INTERVAL).await;
        let now = Instant::now();
        let entries = lost_entries(&instance, &mut lost, now);
        if instance.current_lease(now).is_none()
            || instance.store_reachability.borrow().is_unreachable()
        {
            continue;
        }
        for (id, revision) in entries {
            tracing::info!(event = "lost_instance_deleted", instance = id);
            let deleted =
                instance.store.delete(INSTANCES_KIND, &id, revision).await;
            if let Err(err) = deleted {
                let cause = err.to_string();
                tracing::warn!(
                    event = "lost_instance_kept",
                    instance = id,
                    cause,
                );
            }
        }
    }
}

/// Returns the entries of instances that are gone for good, with the revision
/// at which each was read.
fn lost_entries(
    instance: &FleetInstance,
    lost: &mut LostInstances,
    now: Instant,
) -> Vec<(InstanceId, Revision)> {
    let peers = instance.peers.borrow();
    let listed =
        peers.iter().map(|(id, peer)| (id, instance.is_live(id, peer, now)));
    let lost = lost.record(listed, now);
    let entries = lost.into_iter().filter_map(|id| {
        let revision = peers.get(&id)?.revision;
        Some((id, revision))
    });
    entries.collect()
}

/// Writes this instance's own entry, with retries until the store has it.
async fn register(instance: &FleetInstance) {
    let entry = InstanceEntry {
        notes_address: instance.settings.peer_listen,
        zone: instance.settings.zone.clone(),
        cpu_percent: instance.cpu_percent(),
        reads_pools: true,
        takes_forwarded: true,
        tracks_streams: true,
    };
    let Ok(spec) = serde_json::to_value(&entry) else { return };
    // An instance that restarts at the same address finds its entry in the
    // first list. Writing it again would change nothing and still be billed.
    let until = Instant::now() + FIRST_LIST_TIMEOUT;
    while !instance.has_listed_instances.get() && Instant::now() < until {
        compio::time::sleep(FIRST_LIST_POLL_INTERVAL).await;
    }
    if instance.own_entry.take().is_some_and(|known| known == spec) {
        return;
    }
    let mut back_off = BackOff::default();
    while let Err(err) = write_entry(instance, &spec).await {
        let cause = err.to_string();
        tracing::warn!(event = "announce_failed", cause);
        compio::time::sleep(back_off.failed(CallKind::Watcher, true)).await;
    }
}

async fn write_entry(
    instance: &FleetInstance,
    spec: &serde_json::Value,
) -> Result<(), StoreError> {
    let written =
        instance.store.create(INSTANCES_KIND, instance.id(), spec).await;
    match written {
        // A restart at the same address changes nothing.
        Err(StoreError::Conflict(Some(known))) if known.spec == *spec => {
            Ok(())
        }
        Err(StoreError::Conflict(Some(known))) => {
            let revision = known.revision;
            let (kind, name) = (INSTANCES_KIND, instance.id());
            instance
                .store
                .replace(kind, name, revision, spec)
                .await
                .map(|_| ())
        }
        written => written.map(|_| ()),
    }
}
