//! Keeps the records of condemned requests in the platform's store, and
//! handles changes of them.
//!
//! The instances' own knowledge ends with their processes, and an instance
//! that gets no notes learns of condemned requests from the store alone. Each
//! condemned request is an object that is named by its digest. An operator
//! releases a request by deleting its object.

use std::{
    cell::Cell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    back_off::{BackOff, CallKind},
    freshness::WatchedKind,
    incarnation::EndpointIncarnation,
    poison::{CONDEMNED_FOR, Condemned, MergeOutcome},
    request_digest::RequestDigest,
};
use sedgewall_platform::{
    StoreError,
    store::{Change, Listing, Revision, StoredObject},
};
use serde::{Deserialize, Serialize};

use super::{
    instance::FleetInstance,
    list_watch::{DEFAULT_WATCH_TIMEOUT, FRESH_WATCHERS, ObjectHandler},
    notify::Notify,
    poison,
};

/// The kind of records of condemned requests in the store.
const POISON_KIND: &str = "sedgewall-poison-requests";

/// The delay per rank before an instance writes a record, so that only one
/// instance writes it.
const WRITE_DELAY_PER_RANK: Duration = Duration::from_millis(250);

/// The interval at which an instance that does not watch the records lists
/// them. It learns of them from notes; the list makes up for lost notes. If
/// all instances watched them, as they do the configuration, there would be 11
/// of 100 more calls to the store with 79 instances.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);

/// The delay before the first watch. Until an instance has listed the others,
/// it ranks itself first; instances that start together find each other's
/// entries 1.5 s later. Without the delay, 79 instances that each began with a
/// watch of their own made 74 calls more.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(2);

/// The interval at which expired records are looked for.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// How long a record is kept after it expires, because the clocks of instances
/// differ by seconds.
const EXPIRY_MARGIN: Duration = Duration::from_secs(60);

/// The record of one condemned request in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct PoisonRecord {
    /// The endpoints that crashed under the request.
    endpoints: Vec<EndpointIncarnation>,
    /// When it was condemned, in milliseconds of Unix time.
    condemned_unix_ms: u64,
}

/// The known records in the store.
#[derive(Debug, Default)]
pub(crate) struct PoisonRecords(HashMap<RequestDigest, KnownRecord>);

#[derive(Clone, Copy, Debug)]
struct KnownRecord {
    revision: Revision,
    /// When the record may be deleted.
    expires_at: Instant,
    /// Whether a run of the request has succeeded since it was condemned, or
    /// an operator has released it.
    is_refuted: bool,
}

/// A pending change of the records in the store.
enum RecordChange {
    Write(Condemned),
    Delete(RequestDigest, Revision),
}

/// Handles the records of condemned requests.
pub(crate) struct PoisonRequests {
    instance: Rc<FleetInstance>,
    /// Whether the first pause is still to come.
    is_first: Cell<bool>,
}

impl ObjectHandler for PoisonRequests {
    const KIND: &'static str = POISON_KIND;
    const WATCHED_KIND: WatchedKind = WatchedKind::Condemned;
    const WATCH_TIMEOUT: Duration = DEFAULT_WATCH_TIMEOUT;

    fn pause(&self) -> Duration {
        if self.is_first.take() {
            return FIRST_WATCH_DELAY;
        }
        match is_watcher(&self.instance) {
            true => Duration::ZERO,
            false => RELIST_INTERVAL,
        }
    }

    fn relist_notify(&self) -> Rc<Notify> {
        self.instance.poison_relist_notify.clone()
    }

    fn handle_list(&self, listing: Listing) {
        let is_listed = |digest: &RequestDigest| {
            let name = digest.to_string();
            listing.objects.iter().any(|object| object.name == name)
        };
        // A list that may be seconds old does not show newer records.
        let missing: Vec<(RequestDigest, Revision)> = self
            .instance
            .poison_records
            .borrow()
            .0
            .iter()
            .filter(|(_, known)| known.revision <= listing.revision)
            .map(|(digest, known)| (*digest, known.revision))
            .filter(|(digest, _)| !is_listed(digest))
            .collect();
        for (digest, known) in missing {
            match known.era() < listing.revision.era() {
                true => self.record_lost(digest),
                false => self.record_gone(digest),
            }
        }
        for object in &listing.objects {
            self.apply(object);
        }
    }

    fn handle_change(&self, change: Change) {
        if !change.is_deleted {
            return self.apply(&change.object);
        }
        if let Some(digest) = RequestDigest::parse(&change.object.name) {
            self.record_gone(digest);
        }
    }
}

impl PoisonRequests {
    pub(crate) fn new(instance: &Rc<FleetInstance>) -> PoisonRequests {
        PoisonRequests {
            instance: instance.clone(),
            is_first: Cell::new(true),
        }
    }

    fn apply(&self, object: &StoredObject) {
        let Some(digest) = RequestDigest::parse(&object.name) else {
            let name = &object.name;
            tracing::error!(event = "poison_record_unreadable", name);
            return;
        };
        let record = match PoisonRecord::deserialize(&object.spec) {
            Ok(record) => record,
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "poison_record_unreadable", cause);
                return;
            }
        };
        let ms_ago = unix_ms().saturating_sub(record.condemned_unix_ms);
        let ago = Duration::from_millis(ms_ago);
        let left = CONDEMNED_FOR.saturating_sub(ago);
        let endpoints = record.endpoints;
        let condemned = Condemned { digest, ms_ago, endpoints };
        let outcome =
            poison::merge_condemned(&self.instance, &condemned, "store");
        let known = KnownRecord {
            revision: object.revision,
            expires_at: Instant::now() + left + EXPIRY_MARGIN,
            is_refuted: matches!(
                outcome,
                MergeOutcome::Refuted | MergeOutcome::Released
            ),
        };
        self.instance.poison_records.borrow_mut().0.insert(digest, known);
        wake_record_keeper(&self.instance);
    }

    /// Forgets a record that the store lost when it was restored. It is written
    /// again if the request is still condemned.
    fn record_lost(&self, digest: RequestDigest) {
        self.instance.poison_records.borrow_mut().0.remove(&digest);
        tracing::warn!(event = "poison_record_lost", %digest);
        wake_record_keeper(&self.instance);
    }

    /// Releases a request whose record was deleted, because it expired or by
    /// an operator.
    fn record_gone(&self, digest: RequestDigest) {
        if self
            .instance
            .poison_records
            .borrow_mut()
            .0
            .remove(&digest)
            .is_none()
        {
            return;
        }
        tracing::info!(event = "poison_released", %digest);
        self.instance.poison.borrow_mut().release(digest, Instant::now());
        poison::request_search(&self.instance);
    }
}

fn is_watcher(instance: &FleetInstance) -> bool {
    instance.rank(0) < FRESH_WATCHERS
}

/// Updates whether this instance watches the records for all instances, and
/// starts to watch if it has become one of the watchers, because the instances
/// that ranked before it have left or are silent.
pub(crate) fn update_watcher_role(instance: &FleetInstance) {
    let is_watcher = is_watcher(instance);
    if is_watcher && !instance.is_poison_watcher.replace(is_watcher) {
        instance.poison_relist_notify.notify();
    }
    instance.is_poison_watcher.set(is_watcher);
}

/// Marks the record of a request for deletion, because a run of the request
/// succeeded.
pub(crate) fn mark_refuted(instance: &FleetInstance, digest: RequestDigest) {
    if let Some(known) =
        instance.poison_records.borrow_mut().0.get_mut(&digest)
    {
        known.is_refuted = true;
    }
    wake_record_keeper(instance);
}

/// Wakes the task that keeps the records.
pub(crate) fn wake_record_keeper(instance: &FleetInstance) {
    instance.poison_records_notify.notify();
}

/// Writes missing records of condemned requests, and deletes those that have
/// expired or are refuted. Never returns.
pub(crate) async fn keep_records(instance: Rc<FleetInstance>) {
    let mut back_off = BackOff::default();
    loop {
        instance.poison_records_notify.wait(EXPIRY_CHECK_INTERVAL).await;
        while let Some(pending) = next_change(&instance) {
            // The instance of the first rank makes the change, which the
            // others then see in the store.
            let rank = instance.rank(0) as u32;
            compio::time::sleep(WRITE_DELAY_PER_RANK * rank).await;
            if !is_still_due(&instance, &pending) {
                continue;
            }
            match make_change(&instance, &pending).await {
                Ok(()) => back_off.answered(),
                Err(err) => {
                    let cause = err.to_string();
                    tracing::info!(event = "poison_record_failed", cause);
                    let pause = back_off.failed(CallKind::Watcher, true);
                    compio::time::sleep(pause).await;
                }
            }
        }
    }
}

fn next_change(instance: &FleetInstance) -> Option<RecordChange> {
    let now = Instant::now();
    let records = instance.poison_records.borrow();
    let condemned = instance.poison.borrow().condemned(now);
    let unwritten =
        condemned.into_iter().find(|c| !records.0.contains_key(&c.digest));
    if let Some(unwritten) = unwritten {
        return Some(RecordChange::Write(unwritten));
    }
    let verdict = |digest| instance.poison.borrow().verdict(digest, now);
    let deletable = records.0.iter().find(|(digest, known)| {
        (known.is_refuted || now >= known.expires_at)
            && verdict(**digest).is_none()
    });
    deletable
        .map(|(digest, known)| RecordChange::Delete(*digest, known.revision))
}

fn is_still_due(instance: &FleetInstance, pending: &RecordChange) -> bool {
    let digest = match pending {
        RecordChange::Write(condemned) => condemned.digest,
        RecordChange::Delete(digest, _) => *digest,
    };
    let is_known = instance.poison_records.borrow().0.contains_key(&digest);
    let verdict = instance.poison.borrow().verdict(digest, Instant::now());
    match pending {
        RecordChange::Write(_) => !is_known && verdict.is_some(),
        RecordChange::Delete(..) => is_known && verdict.is_none(),
    }
}

async fn make_change(
    instance: &FleetInstance,
    pending: &RecordChange,
) -> Result<(), StoreError> {
    match pending {
        RecordChange::Write(condemned) => write(instance, condemned).await,
        RecordChange::Delete(digest, revision) => {
            let name = digest.to_string();
            let deleted =
                instance.store.delete(POISON_KIND, &name, *revision).await;
            match deleted {
                Err(StoreError::NotFound | StoreError::Conflict(_)) => {}
                deleted => deleted?,
            }
            instance.poison_records.borrow_mut().0.remove(digest);
            tracing::info!(event = "poison_record_deleted", %digest);
            Ok(())
        }
    }
}

async fn write(
    instance: &FleetInstance,
    condemned: &Condemned,
) -> Result<(), StoreError> {
    let Condemned { digest, ms_ago, endpoints } = condemned;
    let record = PoisonRecord {
        endpoints: endpoints.clone(),
        condemned_unix_ms: unix_ms().saturating_sub(*ms_ago),
    };
    let spec = serde_json::to_value(&record)
        .map_err(|err| StoreError::OutcomeUnknown(err.to_string()))?;
    let name = digest.to_string();
    let revision = match instance.store.create(POISON_KIND, &name, &spec).await
    {
        Ok(object) => object.revision,
        // Another instance has written the record. Its revision is unknown
        // until it is read, and until then no list counts as showing that it
        // is gone.
        Err(StoreError::Conflict(known)) => {
            known.map_or(Revision::MAX, |object| object.revision)
        }
        Err(err) => return Err(err),
    };
    let expires_at = Instant::now() + CONDEMNED_FOR + EXPIRY_MARGIN;
    let known = KnownRecord { revision, expires_at, is_refuted: false };
    instance.poison_records.borrow_mut().0.insert(*digest, known);
    tracing::info!(event = "poison_record_written", %digest, %revision);
    Ok(())
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
