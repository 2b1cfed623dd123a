//! Membership of instances, from the platform's instance list and from
//! heartbeats.
//!
//! The list lags behind the actual state. An instance therefore counts as live
//! once it sends heartbeats, before the list shows it, and as absent once it
//! is silent, before the list drops it. The invariant: an instance that
//! announced its departure is never live again under the same incarnation.

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

/// The group under which the instance list contains sedgewall's instances.
pub const OWN_GROUP: &str = "sedgewall";

/// The state of an instance or endpoint according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The platform is removing the instance.
    Leaving,
}

/// One entry of the platform's instance list: an instance of sedgewall or an
/// endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The platform's name for the instance or endpoint.
    pub id: EndpointId,
    /// The endpoint group (endpoints of one kind with the same base model,
    /// slots and seats), or [`OWN_GROUP`].
    pub group: GroupName,
    /// The availability zone of the instance or endpoint.
    pub zone: ZoneName,
    /// The address for requests: `ip:port` for an endpoint, a peer URL for an
    /// instance of sedgewall.
    pub address: String,
    /// The state according to the platform.
    pub state: ListedState,
    /// The address for operators, only for instances of sedgewall.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<String>,
}

/// The platform's instance list at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// The revision, which rises with each change of the list.
    pub revision: u64,
    /// The instances of sedgewall and the endpoints of all groups.
    pub instances: Vec<ListedInstance>,
}

/// A heartbeat, which an instance sends to its peers at regular intervals.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the sender.
    pub instance: InstanceId,
    /// The sender's incarnation: a number drawn at random at each start of the
    /// process. It is compared for equality only, and does not count restarts.
    pub incarnation: Incarnation,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// The URL at which peers reach the sender.
    pub peer_url: String,
    /// The time of sending, in milliseconds on the sender's own monotonic
    /// clock.
    pub stamp_ms: u64,
    /// The version of the configuration that the sender has in force.
    pub config_version: ConfigVersion,
    /// Whether the sender is shutting down.
    pub is_leaving: bool,
    /// Whether the platform answered the sender's last call.
    pub is_platform_reached: bool,
    /// The shards that the sender leads.
    pub leads: Vec<Leadership>,
}

/// A shard that the sender of a heartbeat leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leadership {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the lease on the shard.
    pub epoch: Epoch,
}

/// The time-outs of failure detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipTimeouts {
    /// The time without a heartbeat after which a peer counts as absent.
    pub silent_after: Duration,
    /// The time that a peer must be live without a gap before it counts as
    /// stable, for each absence or restart in [`Peer::flaps`].
    pub damping: Duration,
    /// The time without a heartbeat after which a peer that is not listed is
    /// removed.
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

/// The maximum number of instances that all exchange heartbeats with each
/// other (full mesh).
pub const MAX_FULL_MESH: usize = 8;

/// The number of peers, chosen by rendezvous hashing of the instance's own
/// name, that an instance sends heartbeats to if there are more than
/// [`MAX_FULL_MESH`] instances.
pub const HASHED_HEARTBEAT_TARGETS: usize = 4;

/// The maximum number of absences and restarts that damping counts.
const MAX_FLAPS: u32 = 8;

/// An instance's view of one of its peers.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The last accepted heartbeat of the peer.
    pub last_heartbeat: Heartbeat,
    /// The time at which the last heartbeat was received.
    pub last_heard: Instant,
    /// The time since which heartbeats have been received without a gap.
    pub live_since: Instant,
    /// The number of absences and restarts since the peer was first heard, at
    /// most `MAX_FLAPS`. The number never decreases while the peer is known.
    pub flaps: u32,
}

/// An instance's view of all its peers.
#[derive(Clone, Debug)]
pub struct Membership {
    timeouts: MembershipTimeouts,
    peers: BTreeMap<InstanceId, Peer>,
    listed: BTreeMap<InstanceId, ListedInstance>,
}

impl Membership {
    /// Returns a membership without any known instance.
    pub fn new(timeouts: MembershipTimeouts) -> Membership {
        Membership {
            timeouts,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Replaces the known listing by the instances of sedgewall in the
    /// platform's list.
    pub fn observe_list(&mut self, list: &InstanceList) {
        self.listed = list
            .instances
            .iter()
            .filter(|instance| instance.group == OWN_GROUP)
            .map(|instance| (instance.id.clone(), instance.clone()))
            .collect();
    }

    /// Records a heartbeat, and returns whether its sender is new or was
    /// restarted.
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
            // An announced departure is final for an incarnation: a heartbeat
            // that was delayed in transit must not revoke it.
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

    /// Returns whether an instance is live: it sent a heartbeat recently, and
    /// neither it nor the platform's list says that it is leaving.
    pub fn is_live(&self, instance: &str, now: Instant) -> bool {
        let Some(peer) = self.peers.get(instance) else { return false };
        let silence = now.saturating_duration_since(peer.last_heard);
        silence <= self.timeouts.silent_after
            && !peer.last_heartbeat.is_leaving
            && !self.is_listed_leaving(instance)
    }

    /// Returns whether an instance is stable, so that it may be preferred as
    /// an owner: it is live, and has been without a gap for the damping time
    /// multiplied by [`Peer::flaps`].
    pub fn is_stable(&self, instance: &str, now: Instant) -> bool {
        let Some(peer) = self.peers.get(instance) else { return false };
        let live_for = now.saturating_duration_since(peer.live_since);
        self.is_live(instance, now)
            && live_for >= self.timeouts.damping * peer.flaps
    }

    /// Returns the names of the stable instances, sorted.
    pub fn stable(&self, now: Instant) -> Vec<&str> {
        self.peers
            .keys()
            .filter(|id| self.is_stable(id, now))
            .map(String::as_str)
            .collect()
    }

    /// Returns a peer that sent a heartbeat and has not been removed.
    pub fn peer(&self, instance: &str) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Returns all peers that sent a heartbeat and have not been removed.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peer URL of an instance, from its last heartbeat or else
    /// from the list.
    pub fn url_of(&self, id: &str) -> Option<&str> {
        let heartbeat_value =
            self.peers.get(id).map(|p| p.last_heartbeat.peer_url.as_str());
        heartbeat_value
            .or_else(|| self.listed.get(id).map(|l| l.address.as_str()))
    }

    /// Returns the peer URLs of all known instances, from their last
    /// heartbeats or else from the list.
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

    /// Returns the names of the instances of sedgewall that the platform lists
    /// as live, sorted.
    pub fn listed_live(&self) -> impl Iterator<Item = &str> {
        self.listed
            .values()
            .filter(|listed| listed.state == ListedState::Live)
            .map(|listed| listed.id.as_str())
    }

    /// Returns whether more than [`MAX_FULL_MESH`] instances are known, so
    /// that not all exchange heartbeats.
    pub fn is_partial_mesh(&self) -> bool {
        self.peer_urls().len() > MAX_FULL_MESH
    }

    /// Returns the other instances that may be preferred as owners, sorted.
    ///
    /// In a full mesh, heartbeats decide. In a partial mesh, most healthy
    /// instances send no heartbeats to this one, so the platform's list
    /// decides, which all instances see alike.
    pub fn candidates(&self, own_id: &str, now: Instant) -> Vec<&str> {
        if !self.is_partial_mesh() {
            return self.stable(now);
        }
        self.listed_live()
            .filter(|id| *id != own_id)
            .filter(|id| {
                self.peers
                    .get(*id)
                    .is_none_or(|peer| !peer.last_heartbeat.is_leaving)
            })
            .collect()
    }

    /// Returns the availability zone of an instance, from its last heartbeat
    /// or else from the list.
    pub fn zone_of(&self, id: &str) -> Option<&str> {
        let heartbeat_value =
            self.peers.get(id).map(|peer| peer.last_heartbeat.zone.as_str());
        heartbeat_value
            .or_else(|| self.listed.get(id).map(|l| l.zone.as_str()))
    }

    /// Returns the peer URLs to send heartbeats to.
    ///
    /// Up to [`MAX_FULL_MESH`] instances, these are all other instances.
    /// Beyond that, they are [`HASHED_HEARTBEAT_TARGETS`] peers, chosen by
    /// rendezvous hashing of `own_id`, and the instances for which
    /// `is_partner` returns true: the leaders that this instance sends
    /// requests to, and the entry instances that send requests to this one.
    /// The choice by hashing is not mutual. The number of hashed targets, and
    /// so their cost per instance, stays constant as instances are added.
    pub fn heartbeat_targets(
        &self,
        own_id: &str,
        is_partner: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let urls = self.peer_urls();
        let others = || urls.iter().filter(|(id, _)| id.as_str() != own_id);
        if urls.len() <= MAX_FULL_MESH {
            return others().map(|(_, url)| url.clone()).collect();
        }
        let ids = others().map(|(id, _)| id.as_str());
        let hashed_targets: BTreeSet<&str> = ranking(ids, own_id)
            .into_iter()
            .take(HASHED_HEARTBEAT_TARGETS)
            .collect();
        others()
            .filter(|(id, _)| {
                hashed_targets.contains(id.as_str()) || is_partner(id)
            })
            .map(|(_, url)| url.clone())
            .collect()
    }

    /// Removes peers that are not listed and have been silent for
    /// [`MembershipTimeouts::forget_after`].
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
