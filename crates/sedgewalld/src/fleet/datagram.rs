//! The encoding of datagrams between instances.
//!
//! A datagram is a note in MessagePack, followed by the newest change of an
//! endpoint's entry that its sender has read. Instances of earlier releases
//! ignore what follows a note. A later release may append further values.

use sedgewall_fleet::{note::Note, revision::Revision};
use serde::Deserialize;

/// The content of a received datagram.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub(crate) note: Note,
    /// The newest change of an endpoint's entry that the sender has read,
    /// unless the sender is of an earlier release.
    pub(crate) endpoints_read: Option<Revision>,
}

/// Encodes a datagram.
pub(crate) fn encode(
    note: &Note,
    endpoints_read: Revision,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(note)?;
    rmp_serde::encode::write(&mut bytes, &endpoints_read)?;
    Ok(bytes)
}

/// Decodes a datagram.
pub(crate) fn decode(
    bytes: &[u8],
) -> Result<Datagram, rmp_serde::decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    let note = Note::deserialize(&mut decoder)?;
    let endpoints_read = Revision::deserialize(&mut decoder).ok();
    Ok(Datagram { note, endpoints_read })
}
