//! The selection of instances that relay notes, and of the recipients of each
//! relay.
//!
//! The instances of each zone are divided into groups of about [`GROUP_LEN`]
//! by their ids alone, so that sender and relay agree on the groups without
//! exchanging a list. Between zones a note is sent once, to one instance that
//! relays it to the groups of its own zone. The invariant: a note reaches each
//! instance if no relay is lost. A lost relay costs its group or zone that
//! note, and the next note goes through another relay.

use std::collections::BTreeMap;

use sedgewall_state::id::{InstanceId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

/// The approximate number of instances that one relay forwards a note to. A
/// lease holder that sent notes to each of 79 instances directly filled its
/// link of 10 Mbit/s, and orders took 100 to 600 ms.
pub const GROUP_LEN: usize = 9;

/// One group of the instances in a zone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Group {
    /// The index of the group within the zone, from 0.
    pub index: u32,
    /// The number of groups in the zone.
    pub count: u32,
}

impl Group {
    /// Returns whether an instance of the zone belongs to the group.
    pub fn contains(self, id: &InstanceId) -> bool {
        group_of(id, self.count) == self
    }
}

fn group_of(id: &InstanceId, count: u32) -> Group {
    let count = count.max(1);
    let index = (xxh3_64(id.as_bytes()) % u64::from(count)) as u32;
    Group { index, count }
}

/// Returns one relay for each group of each zone. Instances that were heard
/// lately, according to `is_heard`, are preferred; `turn` rotates among them.
pub fn relays<'a>(
    instances: impl Iterator<Item = (&'a InstanceId, &'a ZoneName)>,
    is_heard: impl Fn(&InstanceId) -> bool,
    turn: usize,
) -> Vec<(&'a InstanceId, Group)> {
    let mut zones: BTreeMap<&ZoneName, Vec<&InstanceId>> = BTreeMap::new();
    for (id, zone) in instances {
        zones.entry(zone).or_default().push(id);
    }
    let mut groups: BTreeMap<(&ZoneName, Group), Vec<&InstanceId>> =
        BTreeMap::new();
    for (zone, ids) in zones {
        let count = ids.len().div_ceil(GROUP_LEN) as u32;
        for id in ids {
            groups.entry((zone, group_of(id, count))).or_default().push(id);
        }
    }
    let chosen = groups
        .into_iter()
        .map(|((_, group), ids)| (choose(&ids, &is_heard, turn), group));
    chosen.collect()
}

/// Returns one instance of each other zone, which relays a note within its
/// zone. With one relay per group of the other zones, 195 instances in five
/// zones sent each note four times as often between zones.
pub fn zone_relays<'a>(
    instances: impl Iterator<Item = (&'a InstanceId, &'a ZoneName)>,
    own_zone: &ZoneName,
    is_heard: impl Fn(&InstanceId) -> bool,
    turn: usize,
) -> Vec<&'a InstanceId> {
    let mut zones: BTreeMap<&ZoneName, Vec<&InstanceId>> = BTreeMap::new();
    for (id, zone) in instances.filter(|(_, zone)| *zone != own_zone) {
        zones.entry(zone).or_default().push(id);
    }
    zones.values().map(|ids| choose(ids, &is_heard, turn)).collect()
}

/// Returns the instance for this turn, from those that were heard if there are
/// any.
fn choose<'a>(
    ids: &[&'a InstanceId],
    is_heard: impl Fn(&InstanceId) -> bool,
    turn: usize,
) -> &'a InstanceId {
    let heard: Vec<&InstanceId> =
        ids.iter().copied().filter(|id| is_heard(id)).collect();
    let from = if heard.is_empty() { ids } else { &heard };
    from[turn % from.len()]
}
