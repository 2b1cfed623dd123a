//! Which instances and endpoints are there, from the platform's instance list
//! and from heartbeats.
//!
//! The list lags behind reality, so a heartbeat counts as life before the list
//! shows the instance, and silence counts as absence before the list drops it.
//! The module keeps one invariant: whoever announced that it leaves is never
//! live again under the same incarnation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::{
    ConfigVersion, EndpointId, Epoch, GroupName, Incarnation, InstanceId,
    ShardId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::rendezvous::ranking;

/// The group that the instance list names for our own instances.
pub const OWN_GROUP: &str = "sedgewall";

/// How the platform sees an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is being taken away.
    Leaving,
}

/// One line of the platform's instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The platform's name for it.
    pub id: EndpointId,
    /// The endpoint group, or [`OWN_GROUP`].
    pub group: GroupName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it is reached: `ip:port`, or a peer URL for our own instances.
    pub address: String,
    /// Its state.
    pub state: ListedState,
    /// Where operators reach it, for our own instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<String>,
}

/// The platform's instance list at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Rises with each change.
    pub revision: u64,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}

/// What a heartbeat says of its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where peers reach it.
    pub peer_url: String,
    /// Milliseconds on the sender's own monotonic clock.
    pub stamp_ms: u64,
    /// The configuration that it has in force.
    pub config_version: ConfigVersion,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Whether its last call to the platform was answered.
    pub is_platform_reached: bool,
    /// The shards that it leads.
    pub leads: Vec<Leadership>,
}

/// A shard that an instance leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leadership {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of its lease.
    pub epoch: Epoch,
}

/// The times of membership.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipTimeouts {
    /// A peer silent for this long counts as absent.
    pub silent_after: Duration,
    /// A peer that came back waits this long for each recent absence.
    pub damping: Duration,
    /// A peer absent for this long is forgotten.
    pub forget_after: Duration,
}

impl Default for MembershipTimeouts {
    fn default() -> MembershipTimeouts {
        MembershipTimeouts {
            silent_after: Duration::from_millis(1_000),
            damping: Duration::from_millis(1_000),
            forget_after: Duration::from_secs(300),
        }
    }
}

/// Up to this many instances, all hear each other.
pub const MAX_FULL_MESH: usize = 8;

/// Beyond that, how many ring neighbours an instance sends heartbeats to.
pub const RING_NEIGHBOURS: usize = 4;

/// The most absences that damping counts.
const MAX_FLAPS: u32 = 8;

/// One of our own instances, as another sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What its last heartbeat said.
    pub last_heartbeat: Heartbeat,
    /// When that came.
    pub last_heard: Instant,
    /// Since when it has been heard without a gap.
    pub live_since: Instant,
    /// Recent absences.
    pub flaps: u32,
}

/// All of our own instances, as one of them sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    timeouts: MembershipTimeouts,
    peers: BTreeMap<InstanceId, Peer>,
    listed: BTreeMap<InstanceId, ListedInstance>,
}

impl Membership {
    /// Returns a membership that knows nobody.
    pub fn new(timeouts: MembershipTimeouts) -> Membership {
        Membership {
            timeouts,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list.
    pub fn observe_list(&mut self, list: &InstanceList) {
        self.listed = list
            .instances
            .iter()
            .filter(|instance| instance.group == OWN_GROUP)
            .map(|instance| (instance.id.clone(), instance.clone()))
            .collect();
    }

    /// Takes in a heartbeat. Returns whether the peer is new or restarted.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> bool {
        let silent_after = self.timeouts.silent_after;
        let Some(peer) = self.peers.get_mut(&heartbeat.instance) else {
            self.insert(heartbeat, now);
            return true;
        };
        let is_restarted =
            peer.last_heartbeat.incarnation != heartbeat.incarnation;
        if !is_restarted && peer.last_heartbeat.is_leaving {
            // What was announced stays so; a late heartbeat changes nothing.
            peer.last_heard = now;
            return false;
        }
        let gap = now.saturating_duration_since(peer.last_heard);
        if is_restarted || gap > silent_after {
            peer.live_since = now;
            peer.flaps = (peer.flaps + 1).min(MAX_FLAPS);
        }
        peer.last_heartbeat = heartbeat;
        peer.last_heard = now;
        is_restarted
    }

    /// Returns whether an instance is live: heard of lately and not leaving.
    pub fn is_live(&self, instance: &str, now: Instant) -> bool {
        let Some(peer) = self.peers.get(instance) else { return false };
        let silence = now.saturating_duration_since(peer.last_heard);
        silence <= self.timeouts.silent_after
            && !peer.last_heartbeat.is_leaving
            && !self.is_listed_leaving(instance)
    }

    /// Returns whether an instance may be preferred as an owner: live, and
    /// for long enough after its recent absences.
    pub fn is_stable(&self, instance: &str, now: Instant) -> bool {
        let Some(peer) = self.peers.get(instance) else { return false };
        let live_for = now.saturating_duration_since(peer.live_since);
        self.is_live(instance, now)
            && live_for >= self.timeouts.damping * peer.flaps
    }

    /// Returns the names of the steady instances, in order.
    pub fn stable(&self, now: Instant) -> Vec<&str> {
        self.peers
            .keys()
            .filter(|id| self.is_stable(id, now))
            .map(String::as_str)
            .collect()
    }

    /// Returns a peer that was ever heard of and not yet forgotten.
    pub fn peer(&self, instance: &str) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Returns all peers that were heard of and not yet forgotten.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns where an instance is reached, heard of or listed.
    pub fn url_of(&self, id: &str) -> Option<&str> {
        let heartbeat_value =
            self.peers.get(id).map(|p| p.last_heartbeat.peer_url.as_str());
        heartbeat_value
            .or_else(|| self.listed.get(id).map(|l| l.address.as_str()))
    }

    /// Returns where all known instances are reached, heard of or listed.
    pub fn peer_urls(&self) -> BTreeMap<InstanceId, String> {
        let mut urls: BTreeMap<InstanceId, String> = self
            .listed
            .values()
            .map(|listed| (listed.id.clone(), listed.address.clone()))
            .collect();
        for peer in self.peers.values() {
            urls.insert(
                peer.last_heartbeat.instance.clone(),
                peer.last_heartbeat.peer_url.clone(),
            );
        }
        urls
    }

    /// Returns the names of our own instances that the platform lists as
    /// live, in order.
    pub fn listed_live(&self) -> impl Iterator<Item = &str> {
        self.listed
            .values()
            .filter(|listed| listed.state == ListedState::Live)
            .map(|listed| listed.id.as_str())
    }

    /// Returns whether so many instances are known that not all hear each
    /// other.
    pub fn is_partial_mesh(&self) -> bool {
        self.peer_urls().len() > MAX_FULL_MESH
    }

    /// Returns the other instances that may be preferred as owners, in order.
    ///
    /// While all hear each other, heartbeats decide. Beyond that most are
    /// silent to us and well, and what all see alike is the platform's list.
    pub fn candidates(&self, own: &str, now: Instant) -> Vec<&str> {
        if !self.is_partial_mesh() {
            return self.stable(now);
        }
        self.listed_live()
            .filter(|id| *id != own)
            .filter(|id| {
                self.peers
                    .get(*id)
                    .is_none_or(|peer| !peer.last_heartbeat.is_leaving)
            })
            .collect()
    }

    /// Returns the availability zone of an instance, heard of or listed.
    pub fn zone_of(&self, id: &str) -> Option<&str> {
        let heartbeat_value =
            self.peers.get(id).map(|peer| peer.last_heartbeat.zone.as_str());
        heartbeat_value
            .or_else(|| self.listed.get(id).map(|l| l.zone.as_str()))
    }

    /// Returns whom to send heartbeats to.
    ///
    /// Few instances all hear each other. Beyond [`MAX_FULL_MESH`] each sends to
    /// its ring neighbours and to those that `is_partner` names, which are the
    /// leaders that it uses and the entries that use it; the cost of a node
    /// then stays flat as nodes are added.
    pub fn heartbeat_targets(
        &self,
        own: &str,
        is_partner: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let urls = self.peer_urls();
        let others = || urls.iter().filter(|(id, _)| id.as_str() != own);
        if urls.len() <= MAX_FULL_MESH {
            return others().map(|(_, url)| url.clone()).collect();
        }
        let ids = others().map(|(id, _)| id.as_str());
        let neighbours: BTreeSet<&str> =
            ranking(ids, own).into_iter().take(RING_NEIGHBOURS).collect();
        others()
            .filter(|(id, _)| {
                neighbours.contains(id.as_str()) || is_partner(id)
            })
            .map(|(_, url)| url.clone())
            .collect()
    }

    /// Forgets peers that have been absent for long and are not listed.
    pub fn remove_expired(&mut self, now: Instant) {
        let forget_after = self.timeouts.forget_after;
        let listed = &self.listed;
        self.peers.retain(|id, peer| {
            let silence = now.saturating_duration_since(peer.last_heard);
            silence < forget_after || listed.contains_key(id)
        });
    }

    fn is_listed_leaving(&self, instance: &str) -> bool {
        self.listed
            .get(instance)
            .is_some_and(|listed| listed.state == ListedState::Leaving)
    }

    fn insert(&mut self, heartbeat: Heartbeat, now: Instant) {
        let id = heartbeat.instance.clone();
        let peer = Peer {
            last_heartbeat: heartbeat,
            last_heard: now,
            live_since: now,
            flaps: 0,
        };
        self.peers.insert(id, peer);
    }
}
