//! The other instances: where they are reached, how many share what all may do, and
//! to whom a duty falls.
//!
//! What an entry in the store says of an instance goes before where it was heard from.

use std::{net::SocketAddr, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::instance::{FleetInstance, Peer};

/// An instance that was not heard for this long after its entry was read is
/// not there.
const NEW_PEER_GRACE: Duration = Duration::from_secs(6);

/// An address from which nothing was heard for this long is forgotten: among
/// many, an instance tells all others every 2.4 s.
const ADDRESS_TTL: Duration = Duration::from_secs(5);

/// Where an instance without a known entry was heard from.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedAddress {
    address: SocketAddr,
    at: Instant,
}

impl FleetInstance {
    /// Notes where an instance's own note came from.
    pub(crate) fn record_address(&self, id: &InstanceId, address: SocketAddr) {
        if self.peers.borrow().contains_key(id) || id == self.id() {
            return;
        }
        let heard = ObservedAddress { address, at: Instant::now() };
        let known =
            self.observed_addresses.borrow_mut().insert(id.clone(), heard);
        if known.is_none() {
            tracing::info!(event = "unlisted_heard", from = id, %address);
        }
    }

    /// Forgets the addresses of instances that are listed now or silent.
    pub(crate) fn drop_stale_addresses(&self, now: Instant) {
        let peers = self.peers.borrow();
        self.observed_addresses.borrow_mut().retain(|id, heard| {
            !peers.contains_key(id) && now - heard.at < ADDRESS_TTL
        });
    }

    /// Returns where notes to an instance go: as its entry says, or, while that
    /// is not known, where it was heard from.
    pub(crate) fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let listed = self.peers.borrow().get(id).map(|peer| peer.address);
        let heard =
            || self.observed_addresses.borrow().get(id).map(|h| h.address);
        listed.or_else(heard)
    }

    /// Returns where a note to all goes while no other instance is listed.
    pub(crate) fn unlisted_addresses(&self) -> Vec<SocketAddr> {
        self.observed_addresses
            .borrow()
            .values()
            .map(|heard| heard.address)
            .collect()
    }

    /// Returns how many instances share what all may do together. One more is
    /// counted for those that we do not hear.
    pub(crate) fn instance_count(&self) -> usize {
        let known = self.peers.borrow().len();
        let live = self.view.borrow().live_peers(Instant::now());
        known.max(live) + 1
    }

    /// Returns how many of the instances that are there come before this one,
    /// in an order that the larger ones lead and that a draw shuffles: so a
    /// duty falls to few, without a word, and to others after each draw.
    pub(crate) fn rank(&self, seed: u64) -> usize {
        let own = rank_key(self.id(), self.cpu_percent(), seed);
        let now = Instant::now();
        let peers = self.peers.borrow();
        let before = peers.iter().filter(|(id, peer)| {
            self.is_live(id, peer, now)
                && rank_key(id, peer.cpu_percent, seed) < own
        });
        before.count()
    }

    /// Returns the first other instances that are there, in the order of
    /// [`FleetInstance::rank`] without a draw.
    pub(crate) fn largest_peers(&self, count: usize) -> Vec<InstanceId> {
        let now = Instant::now();
        let peers = self.peers.borrow();
        let mut there: Vec<_> = peers
            .iter()
            .filter(|(id, peer)| self.is_live(id, peer, now))
            .map(|(id, peer)| (rank_key(id, peer.cpu_percent, 0), id))
            .collect();
        there.sort_unstable();
        there.truncate(count);
        there.into_iter().map(|(_, id)| id.clone()).collect()
    }

    fn is_live(&self, id: &InstanceId, peer: &Peer, now: Instant) -> bool {
        now - peer.known_since < NEW_PEER_GRACE
            || self.view.borrow().is_live_peer(id, now)
    }
}

/// Returns an instance's place in an order that larger ones lead and that a draw
/// shuffles.
fn rank_key(
    id: &InstanceId,
    cpu_percent: u32,
    seed: u64,
) -> (std::cmp::Reverse<u32>, u64) {
    let hash = xxh3_64_with_seed(id.as_bytes(), seed);
    (std::cmp::Reverse(cpu_percent), hash)
}
