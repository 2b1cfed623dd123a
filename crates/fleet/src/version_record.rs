//! The software versions at which the streams of each service may have begun,
//! as recorded in the platform's store.
//!
//! A stream whose caller takes it up again after all instances have ended is
//! known to none of them. If its service has had one software version only, the
//! stream began at it. So no endpoint gets requests before its version is
//! recorded, and a version stays recorded for longer than any stream lasts
//! after its last endpoint is gone.
//!
//! This module does no I/O and reads no clock. The invariant: the record of a
//! service has each version at which a stream of it may have begun.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use sedgewall_clock::Instant;

use crate::{endpoint::SoftwareVersion, route::ServiceName};

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
    services: HashMap<ServiceName, HashMap<SoftwareVersion, Recorded>>,
}

#[derive(Clone, Copy, Debug)]
struct Recorded {
    /// When the version was last read from the record, or an endpoint of it
    /// was last known.
    seen_at: Instant,
    /// When this instance first knew the version to be recorded, or last knew
    /// an endpoint of it.
    present_at: Instant,
}

impl RecordedVersions {
    /// Applies the record of a service, which was read at `now`. Returns
    /// whether several versions are recorded that were not before.
    pub fn apply(
        &mut self,
        service: &ServiceName,
        versions: &BTreeSet<SoftwareVersion>,
        now: Instant,
    ) -> bool {
        let known = self.services.entry(service.clone()).or_default();
        let had_several = known.len() > 1;
        known.retain(|version, _| versions.contains(version));
        for version in versions {
            let new = Recorded { seen_at: now, present_at: now };
            known.entry(version.clone()).or_insert(new).seen_at = now;
        }
        known.len() > 1 && !had_several
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
            .and_then(|versions| versions.get(version))
            .is_some_and(|at| now - at.seen_at < VALID_WITHOUT_ENDPOINTS)
    }

    /// Records that a service has an endpoint of a version.
    pub fn record_present(
        &mut self,
        service: &str,
        version: &SoftwareVersion,
        now: Instant,
    ) {
        let versions = self.services.get_mut(service);
        if let Some(at) = versions.and_then(|all| all.get_mut(version)) {
            (at.seen_at, at.present_at) = (now, now);
        }
    }

    /// Returns the recorded versions of a service.
    pub fn versions(&self, service: &str) -> BTreeSet<SoftwareVersion> {
        let versions = self.services.get(service);
        versions.into_iter().flat_map(HashMap::keys).cloned().collect()
    }

    /// Returns whether streams of a service may have begun at several versions.
    pub fn has_several(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|all| all.len() > 1)
    }

    /// Returns the only version at which streams of a service may have begun.
    pub fn only(&self, service: &str) -> Option<&SoftwareVersion> {
        let versions = self.services.get(service)?;
        (versions.len() == 1).then(|| versions.keys().next())?
    }

    /// Returns the services whose records have versions that may be removed,
    /// with the versions that stay.
    pub fn outdated(
        &self,
        now: Instant,
    ) -> Vec<(ServiceName, BTreeSet<SoftwareVersion>)> {
        let mut outdated = Vec::new();
        for (service, versions) in &self.services {
            let stays =
                |at: &Recorded| now - at.present_at < KEPT_WITHOUT_ENDPOINTS;
            let kept: BTreeSet<SoftwareVersion> = versions
                .iter()
                .filter(|(_, at)| stays(at))
                .map(|(version, _)| version.clone())
                .collect();
            if !kept.is_empty() && kept.len() < versions.len() {
                outdated.push((service.clone(), kept));
            }
        }
        outdated
    }
}
