//! Which instances pass a note on, and to whom.
//!
//! Each zone's instances form groups of about [`GROUP_LEN`] by their ids alone,
//! so that whoever sends and whoever passes on agree without a list. Between
//! zones a note goes once, to one instance that passes it on to the groups of its
//! own. The invariant: a note reaches each instance, if no relay is lost; a lost
//! one costs its group or zone that note, and the next goes through another.

use std::collections::BTreeMap;

use sedgewall_state::id::{InstanceId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

/// Instances that one relay passes a note on to, about. Measured on a calm day
/// of 79 instances with 10 Mbit/s: a holder that told each by itself filled its
/// link, and orders took 100 to 600 ms.
pub const GROUP_LEN: usize = 9;

/// One group of a zone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Group {
    /// Its number, from 0 on.
    pub index: u32,
    /// How many the zone has.
    pub count: u32,
}

impl Group {
    /// Returns whether an instance of the zone belongs to it.
    pub fn contains(self, id: &InstanceId) -> bool {
        group_of(id, self.count) == self
    }
}

fn group_of(id: &InstanceId, count: u32) -> Group {
    let count = count.max(1);
    let index = (xxh3_64(id.as_bytes()) % u64::from(count)) as u32;
    Group { index, count }
}

/// Returns one relay for each group of each zone. `is_heard` says who was heard
/// lately; those go first, and `turn` chooses among them.
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

/// Returns one instance of each zone but our own, which passes a note on there.
/// With a relay for each group of other zones, 195 instances in five zones sent
/// each note to all four times as often between zones.
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

/// Chooses one instance by turns, of those that were heard if there are any.
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
