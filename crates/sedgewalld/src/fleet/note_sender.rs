//! Sends notes to one instance or to all, through relays if there are many.
//!
//! With many instances, a note to all is sent to one instance of each other
//! zone. There, and in the sender's own zone, it goes to one instance of each
//! group, which forwards it to the rest of the group
//! ([`sedgewall_fleet::relays`]). This way the link of a small instance does
//! not carry eighty copies of each note, and few bytes cross between zones.

use std::{
    cell::Cell,
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    freshness::FreshnessReport,
    note::{GroupRelay, MAX_DIRECT_PEERS, Note},
    relays::{Group, relays, zone_relays},
};
use sedgewall_state::id::InstanceId;

use super::{datagram, instance::FleetInstance, poison};

/// The maximum size of an encoded note: the largest IPv4 datagram, less some
/// room for its headers.
pub(crate) const MAX_NOTE_BYTES: usize = 60_000;

/// Sends notes over one UDP socket.
pub(crate) struct NoteSender {
    socket: UdpSocket,
    /// The number of notes sent through relays, by which each note takes other
    /// relays than the one before.
    relay_rotation: Cell<usize>,
}

impl NoteSender {
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // A note that cannot be sent now is treated as lost.
        if let Err(err) = self.socket.send_to(bytes, to) {
            tracing::debug!(event = "note_not_sent", cause = %err);
        }
    }

    /// Sends a note to one instance.
    pub(crate) fn send_to_peer(
        &self,
        instance: &FleetInstance,
        peer: &InstanceId,
        note: &Note,
    ) {
        if let Some(address) = instance.address_of(peer) {
            self.send_to(instance, address, note);
        }
    }

    /// Sends a note to all other instances, through relays if there are many.
    pub(crate) fn broadcast(&self, instance: &FleetInstance, note: &Note) {
        let peers = instance.peers.borrow();
        if peers.len() <= MAX_DIRECT_PEERS {
            let Some(bytes) = encode(instance, note) else { return };
            if peers.is_empty() {
                for address in instance.unlisted_addresses() {
                    self.send(address, &bytes);
                }
            }
            for peer in peers.values() {
                self.send(peer.address, &bytes);
            }
            return;
        }
        let rotation = self.next_rotation();
        let (now, view) = (Instant::now(), instance.view.borrow());
        let zones = peers.iter().map(|(id, peer)| (id, &peer.zone));
        let own = &instance.settings.zone;
        for id in
            zone_relays(zones, own, |id| view.is_live_peer(id, now), rotation)
        {
            let for_zone = Note::ZoneRelay(note.clone().into());
            self.send_to(instance, peers[id].address, &for_zone);
        }
        drop(view);
        self.broadcast_in_zone(instance, note);
    }

    /// Sends a note to one instance of each group in this instance's zone.
    pub(crate) fn broadcast_in_zone(
        &self,
        instance: &FleetInstance,
        note: &Note,
    ) {
        let peers = instance.peers.borrow();
        let rotation = self.next_rotation();
        let (now, view) = (Instant::now(), instance.view.borrow());
        let own = &instance.settings.zone;
        let zones = peers.iter().map(|(id, peer)| (id, &peer.zone));
        let zones = zones.filter(|(_, zone)| *zone == own);
        for (id, group) in
            relays(zones, |id| view.is_live_peer(id, now), rotation)
        {
            let Group { index, count } = group;
            let for_group =
                GroupRelay { index, count, note: note.clone().into() };
            let note = Note::GroupRelay(for_group);
            self.send_to(instance, peers[id].address, &note);
        }
    }

    /// Returns a number that selects the relays, a different one for each
    /// note.
    fn next_rotation(&self) -> usize {
        let rotation = self.relay_rotation.get();
        self.relay_rotation.set(rotation.wrapping_add(1));
        rotation
    }

    /// Forwards a note to the other instances of the group.
    pub(crate) fn forward_to_group(
        &self,
        instance: &FleetInstance,
        relayed: &GroupRelay,
    ) {
        let Some(bytes) = encode(instance, &relayed.note) else { return };
        let group = Group { index: relayed.index, count: relayed.count };
        for (id, peer) in instance.peers.borrow().iter() {
            if peer.zone == instance.settings.zone && group.contains(id) {
                self.send(peer.address, &bytes);
            }
        }
    }

    fn send_to(&self, instance: &FleetInstance, to: SocketAddr, note: &Note) {
        if let Some(bytes) = encode(instance, note) {
            self.send(to, &bytes);
        }
    }
}

fn encode(instance: &FleetInstance, note: &Note) -> Option<Vec<u8>> {
    let endpoints_read = instance.endpoints_progress.borrow().newest_change();
    let lost_services = instance.reach.borrow().lost_services();
    let rejections = instance.view.borrow().rejection_reports(Instant::now());
    let poison_details = poison::details(instance, note);
    let freshness = match note.has_status() {
        true => instance.freshness_report(Instant::now()),
        false => FreshnessReport::default(),
    };
    let encoded = datagram::encode(
        note,
        endpoints_read,
        &lost_services,
        &rejections,
        &poison_details,
        &freshness,
    );
    match encoded {
        Ok(bytes) if bytes.len() <= MAX_NOTE_BYTES => Some(bytes),
        Ok(bytes) => {
            let len = bytes.len();
            tracing::error!(event = "note_too_large", len);
            None
        }
        Err(err) => {
            tracing::error!(event = "note_not_encoded", cause = %err);
            None
        }
    }
}

/// Opens the socket for notes.
pub(crate) fn open(
    instance: &FleetInstance,
) -> io::Result<(Rc<NoteSender>, compio::net::UdpSocket)> {
    let socket = UdpSocket::bind(instance.settings.peer_listen)?;
    socket.set_nonblocking(true)?;
    let sender = socket.try_clone()?;
    let receiver = compio::net::UdpSocket::from_std(socket)?;
    let sender = NoteSender { socket: sender, relay_rotation: Cell::new(0) };
    Ok((Rc::new(sender), receiver))
}
