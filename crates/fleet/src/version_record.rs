//! The software versions at which the streams of each service may have begun,
//! as recorded in the platform's store.
//!
//! A stream whose caller takes it up again after all instances have ended is
//! known to none of them. If its service has had one software version only, the
//! stream began at it. So no endpoint gets requests before its version is
//! recorded, and a version stays recorded for longer than any stream lasts
//! after its last endpoint is gone.
//!
//! A store that was restored from a copy may have lost versions of a record,
//! or all of it. Such versions stay known until they are recorded again.
//!
//! This module does no I/O and reads no clock. The invariant: the record of a
//! service has each version at which a stream of it may have begun.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use sedgewall_clock::Instant;

use crate::{
    endpoint::SoftwareVersion, revision::Revision, route::ServiceName,
};

/// How long a version that was read from the record counts as recorded while
/// the service has no endpoint of it.
const VALID_WITHOUT_ENDPOINTS: Duration = Duration::from_secs(20);

/// How long a service must have had no endpoint of a version before the
/// version is removed from the record. An instance whose list of endpoints is
/// old may use one of them meanwhile.
const KEPT_WITHOUT_ENDPOINTS: Duration = Duration::from_secs(300);

/// What is known of the records.
#[derive(Clone, Debug, Default)]
pub struct RecordedVersions {
    services: HashMap<ServiceName, Record>,
}

/// What is known of the record of one service.
#[derive(Clone, Debug, Default)]
struct Record {
    versions: HashMap<SoftwareVersion, Recorded>,
    /// The newest revision at which the record was read or found missing.
    revision: Revision,
    exists: bool,
}

#[derive(Clone, Copy, Debug)]
struct Recorded {
    /// When the version was last read from the record, or an endpoint of it
    /// was last known.
    seen_at: Instant,
    /// When this instance first knew the version to be recorded, or last knew
    /// an endpoint of it.
    present_at: Instant,
    /// Whether a restored store lacks the version, so that it must be recorded
    /// again.
    is_lost: bool,
}

impl Recorded {
    /// Returns whether an endpoint of the version was known lately.
    fn is_needed(&self, now: Instant) -> bool {
        now - self.present_at < KEPT_WITHOUT_ENDPOINTS
    }
}

impl RecordedVersions {
    /// Applies the record of a service, which was read at `now`. Returns
    /// whether several versions are recorded that were not before. A record
    /// that is older than the known one changes nothing.
    pub fn apply(
        &mut self,
        service: &ServiceName,
        versions: &BTreeSet<SoftwareVersion>,
        revision: Revision,
        now: Instant,
    ) -> bool {
        let record = self.services.entry(service.clone()).or_default();
        if revision < record.revision {
            return false;
        }
        let had_several = record.versions.len() > 1;
        let is_restored = revision.era() > record.revision.era();
        record.revision = revision;
        record.exists = true;
        for (version, at) in &mut record.versions {
            at.is_lost =
                !versions.contains(version) && (at.is_lost || is_restored);
        }
        record.versions.retain(|version, at| {
            versions.contains(version) || (at.is_lost && at.is_needed(now))
        });
        for version in versions {
            let new =
                Recorded { seen_at: now, present_at: now, is_lost: false };
            record.versions.entry(version.clone()).or_insert(new).seen_at =
                now;
        }
        record.versions.len() > 1 && !had_several
    }

    /// Applies a list of all records as of a revision. Records that it lacks
    /// are lost.
    pub fn apply_missing(
        &mut self,
        is_listed: impl Fn(&ServiceName) -> bool,
        revision: Revision,
    ) {
        for (service, record) in &mut self.services {
            if is_listed(service) || revision < record.revision {
                continue;
            }
            record.revision = revision;
            record.exists = false;
            for at in record.versions.values_mut() {
                at.is_lost = true;
            }
        }
    }

    /// Returns the revision of the record of a service, if there is one.
    pub fn revision(&self, service: &str) -> Option<Revision> {
        let record = self.services.get(service)?;
        record.exists.then_some(record.revision)
    }

    /// Returns whether no record is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the services whose records lack versions, with all versions
    /// that they must have.
    pub fn lost(&self) -> Vec<(ServiceName, BTreeSet<SoftwareVersion>)> {
        self.services
            .iter()
            .filter(|(_, record)| record.versions.values().any(|v| v.is_lost))
            .map(|(service, _)| (service.clone(), self.versions(service)))
            .collect()
    }

    /// Returns whether requests may be sent to endpoints of a version.
    pub fn allows(
        &self,
        service: &str,
        version: &SoftwareVersion,
        now: Instant,
    ) -> bool {
        self.services
            .get(service)
            .and_then(|record| record.versions.get(version))
            .is_some_and(|at| {
                !at.is_lost && now - at.seen_at < VALID_WITHOUT_ENDPOINTS
            })
    }

    /// Records that a service has an endpoint of a version.
    pub fn record_present(
        &mut self,
        service: &str,
        version: &SoftwareVersion,
        now: Instant,
    ) {
        let record = self.services.get_mut(service);
        if let Some(at) = record.and_then(|r| r.versions.get_mut(version)) {
            (at.seen_at, at.present_at) = (now, now);
        }
    }

    /// Returns the versions that the record of a service has or has lost.
    pub fn versions(&self, service: &str) -> BTreeSet<SoftwareVersion> {
        let versions = self.services.get(service).map(|r| &r.versions);
        versions.into_iter().flat_map(HashMap::keys).cloned().collect()
    }

    /// Returns whether streams of a service may have begun at several versions.
    pub fn has_several(&self, service: &str) -> bool {
        let record = self.services.get(service);
        record.is_some_and(|record| record.versions.len() > 1)
    }

    /// Returns the only version at which streams of a service may have begun.
    pub fn only(&self, service: &str) -> Option<&SoftwareVersion> {
        let versions = &self.services.get(service)?.versions;
        (versions.len() == 1).then(|| versions.keys().next())?
    }

    /// Returns the services whose records have versions that may be removed,
    /// with the versions that stay.
    pub fn outdated(
        &self,
        now: Instant,
    ) -> Vec<(ServiceName, BTreeSet<SoftwareVersion>)> {
        let mut outdated = Vec::new();
        for (service, Record { versions, .. }) in &self.services {
            let kept: BTreeSet<SoftwareVersion> = versions
                .iter()
                .filter(|(_, at)| at.is_needed(now))
                .map(|(version, _)| version.clone())
                .collect();
            if !kept.is_empty() && kept.len() < versions.len() {
                outdated.push((service.clone(), kept));
            }
        }
        outdated
    }
}
