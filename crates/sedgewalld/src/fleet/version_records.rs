//! Keeps the record of each service's software versions in the platform's
//! store, and reads it for streams that nobody knows.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    back_off::{BackOff, CallKind},
    endpoint::{Endpoint, SoftwareVersion},
    route::ServiceName,
    version_record::RecordedVersions,
};
use sedgewall_platform::{
    StoreError,
    store::{Freshness, Revision},
};
use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};

use super::{
    coalesced::Coalesced, instance::FleetInstance, notify::Notify, streams,
};

/// The kind of records in the store, which are named by their services.
const VERSIONS_KIND: &str = "sedgewall-software-versions";

/// The maximum delay before an instance adds a version to a record, so that
/// one of those that find it missing adds it for all.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);

/// The interval at which the versions of known endpoints are noted, and
/// versions without endpoints are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// The record of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct VersionRecord {
    versions: BTreeSet<SoftwareVersion>,
}

/// The records as last read.
#[derive(Default)]
pub(crate) struct VersionRecords {
    recorded: RefCell<RecordedVersions>,
    read: Rc<Coalesced>,
    /// Lists that may be seconds old.
    old_read: Rc<Coalesced>,
    /// The delay before this instance adds versions to records.
    write_delay: OnceCell<Duration>,
    /// Entries whose software versions are not recorded yet. Their endpoints
    /// get no requests before.
    pub(crate) unrecorded: RefCell<HashMap<EndpointId, Endpoint>>,
    /// Whether the store was restored since the records were last compared
    /// with what is known.
    may_lack_versions: Cell<bool>,
    /// Notified when another configuration is in force, or when the store was
    /// restored.
    recheck_notify: Notify,
}

impl FleetInstance {
    /// Returns whether the versions of a service must be recorded before its
    /// endpoints get requests: a stream of it may be resumed, or that is not
    /// known yet.
    pub(crate) fn needs_version_record(&self, service: &str) -> bool {
        self.routing().is_none_or(|routing| {
            let mut resumable =
                routing.routes.iter().filter(|route| route.is_resumable);
            resumable.any(|route| {
                route.backends.iter().any(|b| b.service == service)
            })
        })
    }
}

impl VersionRecords {
    /// Records versions that another configuration requires.
    pub(crate) fn configuration_changed(&self) {
        self.recheck_notify.notify();
    }

    /// Records the versions again that a restored store lacks.
    pub(crate) fn store_restored(&self) {
        self.may_lack_versions.set(true);
        self.recheck_notify.notify();
    }

    /// Returns whether requests may be sent to endpoints of a version.
    pub(crate) fn allows(
        &self,
        service: &str,
        version: &SoftwareVersion,
    ) -> bool {
        self.recorded.borrow().allows(service, version, Instant::now())
    }

    /// Returns the delay before this instance adds versions to records.
    fn write_delay(&self) -> Duration {
        let draw = || MAX_WRITE_DELAY.mul_f64(rand::random());
        *self.write_delay.get_or_init(draw)
    }

    /// Returns whether streams of a service may have begun at several versions.
    pub(crate) fn has_several(&self, service: &str) -> bool {
        self.recorded.borrow().has_several(service)
    }

    /// Returns the only version at which streams of a service may have begun,
    /// as last read. There is none while a version is not recorded yet:
    /// instances that learned of its endpoint otherwise may have used it.
    pub(crate) fn only(&self, service: &str) -> Option<SoftwareVersion> {
        let is_unrecorded =
            |entry: &Endpoint| entry.service == service && !entry.is_draining;
        match self.unrecorded.borrow().values().any(is_unrecorded) {
            true => None,
            false => self.recorded.borrow().only(service).cloned(),
        }
    }
}

/// Reads all records, with everything that was recorded before the call.
/// Returns whether the store has answered.
pub(crate) async fn read(instance: &Rc<FleetInstance>) -> bool {
    let caller = instance.clone();
    let coalesced = instance.version_records.read.clone();
    coalesced.run(move || list(caller.clone(), Freshness::Newest)).await
}

/// Reads all records as they were some seconds ago, which is cheaper. A
/// version is kept in its record for much longer than that.
async fn read_old(instance: &Rc<FleetInstance>) -> bool {
    let caller = instance.clone();
    let coalesced = instance.version_records.old_read.clone();
    coalesced.run(move || list(caller.clone(), Freshness::SecondsOld)).await
}

async fn list(instance: Rc<FleetInstance>, freshness: Freshness) -> bool {
    let listed = instance.store.list(VERSIONS_KIND, freshness).await;
    let listing = match listed {
        Ok(listing) => listing,
        Err(err) => {
            let cause = err.to_string();
            tracing::warn!(event = "version_records_not_read", cause);
            return false;
        }
    };
    // The answer may be the first one of a restored store.
    instance.check_store_era();
    if freshness == Freshness::Newest {
        let is_listed = |service: &ServiceName| {
            listing.objects.iter().any(|object| object.name == *service)
        };
        let records = &instance.version_records;
        records
            .recorded
            .borrow_mut()
            .apply_missing(is_listed, listing.revision);
    }
    for object in listing.objects {
        match VersionRecord::deserialize(&object.spec) {
            Ok(record) => {
                apply(&instance, &object.name, object.revision, &record)
            }
            Err(err) => {
                let (service, cause) = (object.name, err.to_string());
                tracing::error!(
                    event = "version_record_unreadable",
                    service,
                    cause
                );
            }
        }
    }
    true
}

fn apply(
    instance: &FleetInstance,
    service: &ServiceName,
    revision: Revision,
    record: &VersionRecord,
) {
    let records = &instance.version_records;
    let has_several = records.recorded.borrow_mut().apply(
        service,
        &record.versions,
        revision,
        Instant::now(),
    );
    if has_several {
        tracing::info!(
            event = "several_software_versions",
            service,
            versions = ?record.versions,
        );
        streams::record_recent(instance, service);
    }
}

/// Adds a version to the record of a service unless it is there, with retries
/// until the store has it or the service needs no record.
pub(crate) async fn record(
    instance: &Rc<FleetInstance>,
    service: &ServiceName,
    version: &SoftwareVersion,
) {
    let mut back_off = BackOff::within(instance.in_force_within());
    let mut has_waited = false;
    while instance.needs_version_record(service) {
        // At a start, all instances read the records of all services.
        let is_read = match has_waited {
            false => read_old(instance).await,
            true => read(instance).await,
        };
        let records = &instance.version_records;
        if records.allows(service, version) {
            return;
        }
        if !is_read {
            let pause = back_off.failed(CallKind::Watcher, true);
            compio::time::sleep(pause).await;
            continue;
        }
        back_off.answered();
        if !std::mem::replace(&mut has_waited, true) {
            compio::time::sleep(records.write_delay()).await;
            continue;
        }
        if let Err(err) = add(instance, service, version).await {
            let cause = err.to_string();
            tracing::warn!(event = "version_not_recorded", service, cause);
            let pause = back_off.failed(CallKind::Watcher, true);
            compio::time::sleep(pause).await;
        }
    }
}

async fn add(
    instance: &FleetInstance,
    service: &ServiceName,
    version: &SoftwareVersion,
) -> Result<(), StoreError> {
    let records = &instance.version_records;
    let mut versions = records.recorded.borrow().versions(service);
    versions.insert(version.clone());
    tracing::info!(event = "version_recorded", service, %version);
    write(instance, service, versions).await
}

/// Writes the record of a service if it has not changed since it was read.
async fn write(
    instance: &FleetInstance,
    service: &ServiceName,
    versions: BTreeSet<SoftwareVersion>,
) -> Result<(), StoreError> {
    let record = VersionRecord { versions };
    let Ok(spec) = serde_json::to_value(&record) else { return Ok(()) };
    let known = instance.version_records.recorded.borrow().revision(service);
    let store = &instance.store;
    let written = match known {
        Some(revision) => {
            store.replace(VERSIONS_KIND, service, revision, &spec).await
        }
        None => store.create(VERSIONS_KIND, service, &spec).await,
    };
    match written {
        Ok(object) => apply(instance, service, object.revision, &record),
        // Another instance was first; what it has written is read next.
        Err(StoreError::Conflict(_) | StoreError::NotFound) => {}
        Err(err) => return Err(err),
    }
    Ok(())
}

/// Adds the versions of endpoints that are used and not recorded, because a new
/// configuration makes their streams resumable, and removes those whose
/// endpoints have been gone for long, while this instance holds the lease.
/// Never returns.
pub(crate) async fn keep(instance: Rc<FleetInstance>) {
    loop {
        let records = &instance.version_records;
        if records.recheck_notify.wait(CLEANUP_INTERVAL).await {
            if records.may_lack_versions.take() {
                record_lost(&instance).await;
            }
            for (service, version) in unrecorded(&instance) {
                record(&instance, &service, &version).await;
            }
        }
        let now = Instant::now();
        record_present(&instance, now);
        if instance.current_lease(now).is_none()
            || instance.store_reachability.borrow().is_unreachable()
        {
            continue;
        }
        let outdated =
            instance.version_records.recorded.borrow().outdated(now);
        for (service, kept) in outdated {
            tracing::info!(event = "versions_gone", service, ?kept);
            if let Err(err) = write(&instance, &service, kept).await {
                let cause = err.to_string();
                tracing::warn!(event = "versions_not_removed", service, cause);
            }
        }
    }
}

/// Adds the versions again that the records of a restored store lack, with
/// retries until it has them.
async fn record_lost(instance: &Rc<FleetInstance>) {
    let records = &instance.version_records;
    if records.recorded.borrow().is_empty() {
        return;
    }
    let mut back_off = BackOff::within(instance.in_force_within());
    compio::time::sleep(records.write_delay()).await;
    while !read(instance).await || !add_lost(instance).await {
        let pause = back_off.failed(CallKind::Watcher, true);
        compio::time::sleep(pause).await;
    }
}

/// Adds the versions that the records lack, as last read. Returns whether none
/// is missing any more.
async fn add_lost(instance: &FleetInstance) -> bool {
    let recorded = &instance.version_records.recorded;
    let lost = recorded.borrow().lost();
    for (service, versions) in lost {
        tracing::info!(event = "versions_recorded_again", service, ?versions);
        if let Err(err) = write(instance, &service, versions).await {
            let cause = err.to_string();
            tracing::warn!(event = "version_not_recorded", service, cause);
            return false;
        }
    }
    recorded.borrow().lost().is_empty()
}

/// Returns the versions of known endpoints that must be recorded and are not.
fn unrecorded(
    instance: &FleetInstance,
) -> BTreeSet<(ServiceName, SoftwareVersion)> {
    let view = instance.view.borrow();
    let used = view.endpoints().filter_map(|state| {
        let Endpoint { service, software_version, .. } = &state.endpoint;
        Some((service.clone(), software_version.clone()?))
    });
    used.filter(|(service, version)| {
        instance.needs_version_record(service)
            && !instance.version_records.allows(service, version)
    })
    .collect()
}

fn record_present(instance: &FleetInstance, now: Instant) {
    let view = instance.view.borrow();
    let mut recorded = instance.version_records.recorded.borrow_mut();
    for state in view.endpoints() {
        let endpoint = &state.endpoint;
        if let Some(version) = &endpoint.software_version {
            recorded.record_present(&endpoint.service, version, now);
        }
    }
}
