//! The encoding of datagrams between instances.
//!
//! A datagram is a note in MessagePack, followed by the newest change of an
//! endpoint's entry that its sender has read, the services whose endpoints are
//! out of the sender's reach, the rejections by brittle endpoints that it
//! knows, details of the crashes and successes in the note, how old the sender's
//! knowledge of each watched kind is, and which runs differ from others of the
//! same request in the details. Of the last five, those after which there is
//! nothing are left out. Instances of earlier releases ignore
//! what follows the values that they know. A later release may append further
//! ones.

use std::collections::BTreeSet;

use sedgewall_fleet::{
    freshness::FreshnessReport, note::Note, poison::ReportDetails,
    revision::Revision, room_share::RejectionReport, route::ServiceName,
};
use serde::Deserialize;

/// The content of a received datagram.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub(crate) note: Note,
    /// The newest change of an endpoint's entry that the sender has read,
    /// unless the sender is of an earlier release.
    pub(crate) endpoints_read: Option<Revision>,
    /// The services whose endpoints are out of the sender's reach.
    pub(crate) lost_services: Vec<ServiceName>,
    /// Recent rejections by brittle endpoints.
    pub(crate) rejections: Vec<RejectionReport>,
    /// Details of the crashes and successes in the note.
    pub(crate) poison_details: ReportDetails,
    /// How old the sender's knowledge of each watched kind is.
    pub(crate) freshness: FreshnessReport,
}

/// Encodes a datagram.
pub(crate) fn encode(
    note: &Note,
    endpoints_read: Revision,
    lost_services: &BTreeSet<ServiceName>,
    rejections: &[RejectionReport],
    poison_details: &ReportDetails,
    freshness: &FreshnessReport,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(note)?;
    rmp_serde::encode::write(&mut bytes, &endpoints_read)?;
    let differing_runs = &poison_details.differing_runs;
    let has_differing_runs = !differing_runs.is_empty();
    let has_freshness = !freshness.0.is_empty() || has_differing_runs;
    let has_details = !poison_details.is_empty() || has_freshness;
    if !lost_services.is_empty() || !rejections.is_empty() || has_details {
        rmp_serde::encode::write(&mut bytes, lost_services)?;
        rmp_serde::encode::write(&mut bytes, rejections)?;
    }
    if has_details {
        rmp_serde::encode::write(&mut bytes, poison_details)?;
    }
    if has_freshness {
        rmp_serde::encode::write(&mut bytes, freshness)?;
    }
    if has_differing_runs {
        rmp_serde::encode::write(&mut bytes, differing_runs)?;
    }
    Ok(bytes)
}

/// Decodes a datagram.
pub(crate) fn decode(
    bytes: &[u8],
) -> Result<Datagram, rmp_serde::decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    let note = Note::deserialize(&mut decoder)?;
    let endpoints_read = Revision::deserialize(&mut decoder).ok();
    let lost_services = Vec::deserialize(&mut decoder).unwrap_or_default();
    let rejections = Vec::deserialize(&mut decoder).unwrap_or_default();
    let mut poison_details =
        ReportDetails::deserialize(&mut decoder).unwrap_or_default();
    let freshness =
        FreshnessReport::deserialize(&mut decoder).unwrap_or_default();
    poison_details.differing_runs =
        Vec::deserialize(&mut decoder).unwrap_or_default();
    Ok(Datagram {
        note,
        endpoints_read,
        lost_services,
        rejections,
        poison_details,
        freshness,
    })
}
