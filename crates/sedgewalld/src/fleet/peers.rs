//! The other instances: their addresses, how many of them share a limit, and
//! which of them takes on a duty.
//!
//! The address in an instance's entry in the store takes precedence over the
//! source address of its notes.

use std::{net::SocketAddr, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::instance::{FleetInstance, Peer};

/// How long an instance counts as alive after its entry was first read, if no
/// note of it has come.
const NEW_PEER_GRACE: Duration = Duration::from_secs(6);

/// How long a source address is kept after its last note. With many instances,
/// each sends a note to all every 2.4 s.
const ADDRESS_TTL: Duration = Duration::from_secs(5);

/// How long an instance may be heard without being listed before instances are
/// listed again. The watch of instances pauses for 1.5 s, and its answer may be
/// some time old; a watch that was lost on the way is abandoned after 13 s.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);

/// The source address of notes from an instance that is not listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedAddress {
    address: SocketAddr,
    /// When the first note came.
    since: Instant,
    /// When the last note came.
    at: Instant,
    /// Whether instances were listed again because of this instance.
    has_relisted: bool,
}

impl FleetInstance {
    /// Records the source address of an instance's own note.
    pub(crate) fn record_address(&self, id: &InstanceId, address: SocketAddr) {
        if self.peers.borrow().contains_key(id) || id == self.id() {
            return;
        }
        let now = Instant::now();
        let mut all = self.observed_addresses.borrow_mut();
        if let Some(known) = all.get_mut(id) {
            (known.address, known.at) = (address, now);
            let is_overdue = now - known.since >= UNLISTED_TIMEOUT;
            if is_overdue && !std::mem::replace(&mut known.has_relisted, true)
            {
                tracing::warn!(event = "unlisted_relist", from = id);
                self.instances_relist_notify.notify();
            }
            return;
        }
        tracing::info!(event = "unlisted_heard", from = id, %address);
        let since = now;
        let has_relisted = false;
        let new = ObservedAddress { address, since, at: now, has_relisted };
        all.insert(id.clone(), new);
    }

    /// Drops the addresses of instances that are listed by now or silent.
    pub(crate) fn drop_stale_addresses(&self, now: Instant) {
        let peers = self.peers.borrow();
        self.observed_addresses.borrow_mut().retain(|id, observed| {
            !peers.contains_key(id) && now - observed.at < ADDRESS_TTL
        });
    }

    /// Returns the address for notes to an instance: the one in its entry, or
    /// the source address of its notes while the entry is unknown.
    pub(crate) fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let listed = self.peers.borrow().get(id).map(|peer| peer.address);
        let observed =
            || self.observed_addresses.borrow().get(id).map(|h| h.address);
        listed.or_else(observed)
    }

    /// Returns the addresses for a note to all while no other instance is
    /// listed.
    pub(crate) fn unlisted_addresses(&self) -> Vec<SocketAddr> {
        self.observed_addresses
            .borrow()
            .values()
            .map(|observed| observed.address)
            .collect()
    }

    /// Returns how many instances share a common limit. The count includes one
    /// more for instances that this one has no notes from.
    pub(crate) fn instance_count(&self) -> usize {
        let known = self.peers.borrow().len();
        let live = self.view.borrow().live_peers(Instant::now());
        known.max(live) + 1
    }

    /// Returns how many live instances come before this one in an order by
    /// their share of a processor core, the largest first, that `seed`
    /// shuffles among equals. A duty that falls to the first ranks thus goes to
    /// few instances without coordination, and to other instances with each new
    /// seed.
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

    /// Returns the first live instances other than this one, in the order of
    /// [`FleetInstance::rank`] with seed 0.
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

    /// Returns whether all live instances can read notes on engine pools.
    pub(crate) fn all_peers_read_pools(&self) -> bool {
        let now = Instant::now();
        self.has_listed_instances.get()
            && self.peers.borrow().iter().all(|(id, peer)| {
                peer.reads_pools || !self.is_live(id, peer, now)
            })
    }

    /// Returns the number of other instances that are alive.
    pub(crate) fn live_peer_count(&self) -> usize {
        let now = Instant::now();
        let peers = self.peers.borrow();
        peers.iter().filter(|(id, peer)| self.is_live(id, peer, now)).count()
    }

    /// Returns whether a listed instance counts as alive.
    pub(crate) fn is_live(
        &self,
        id: &InstanceId,
        peer: &Peer,
        now: Instant,
    ) -> bool {
        now - peer.known_since < NEW_PEER_GRACE
            || self.view.borrow().is_live_peer(id, now)
    }
}

/// Returns the sort key of an instance: by its share of a processor core, the
/// largest first, and shuffled by `seed` among equals.
fn rank_key(
    id: &InstanceId,
    cpu_percent: u32,
    seed: u64,
) -> (std::cmp::Reverse<u32>, u64) {
    let hash = xxh3_64_with_seed(id.as_bytes(), seed);
    (std::cmp::Reverse(cpu_percent), hash)
}
