//! The software versions that the endpoints of each service have and have had.

use std::collections::{BTreeMap, HashMap};

use sedgewall_clock::Instant;

use super::FleetView;
use crate::{
    endpoint::SoftwareVersion,
    route::ServiceName,
    stream_origins::{MAX_STREAM_AGE, OriginKnowledge},
};

/// The software versions of endpoints that are gone, and since when this
/// instance has known the endpoints of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct PastVersions {
    /// When an endpoint of a version was last removed or changed its version.
    gone: HashMap<ServiceName, BTreeMap<Option<SoftwareVersion>, Instant>>,
    known_since: HashMap<ServiceName, Instant>,
}

impl PastVersions {
    pub(super) fn record_known(&mut self, service: &str, now: Instant) {
        if !self.known_since.contains_key(service) {
            self.known_since.insert(service.to_owned(), now);
        }
    }

    pub(super) fn record_gone(
        &mut self,
        service: &str,
        version: Option<SoftwareVersion>,
        now: Instant,
    ) {
        let gone = self.gone.entry(service.to_owned()).or_default();
        gone.retain(|_, at| now - *at < MAX_STREAM_AGE);
        gone.insert(version, now);
    }
}

impl FleetView {
    /// Returns what the software versions of a service tell of a stream whose
    /// origin is not known.
    pub fn version_knowledge(
        &self,
        service: &str,
        now: Instant,
    ) -> OriginKnowledge {
        let known_since = self.past_versions.known_since.get(service);
        if known_since.is_none_or(|since| now - *since < MAX_STREAM_AGE) {
            return OriginKnowledge::Nothing;
        }
        let present = self
            .of_service(service)
            .map(|state| state.endpoint.software_version.as_ref());
        let gone = self.past_versions.gone.get(service).into_iter().flatten();
        let gone = gone
            .filter(|(_, at)| now - **at < MAX_STREAM_AGE)
            .map(|(version, _)| version.as_ref());
        let mut only: Option<&SoftwareVersion> = None;
        for version in present.chain(gone) {
            match (version, only) {
                (None, _) => return OriginKnowledge::SeveralVersions,
                (Some(version), Some(known)) if version != known => {
                    return OriginKnowledge::SeveralVersions;
                }
                (Some(version), _) => only = Some(version),
            }
        }
        match only {
            Some(version) => OriginKnowledge::OnlyVersion(version.clone()),
            None => OriginKnowledge::Nothing,
        }
    }

    /// Returns whether a service has an endpoint of a software version that
    /// does not leave.
    pub fn has_software_version(
        &self,
        service: &str,
        version: &SoftwareVersion,
    ) -> bool {
        self.of_service(service).any(|state| {
            !state.endpoint.is_draining
                && state.endpoint.software_version.as_ref() == Some(version)
        })
    }

    /// Returns the number of endpoints of each software version of a service,
    /// without those that leave.
    pub fn software_versions(
        &self,
        service: &str,
    ) -> BTreeMap<Option<SoftwareVersion>, usize> {
        let mut counts = BTreeMap::new();
        for state in self.of_service(service) {
            if !state.endpoint.is_draining {
                let version = state.endpoint.software_version.clone();
                *counts.entry(version).or_default() += 1;
            }
        }
        counts
    }
}
