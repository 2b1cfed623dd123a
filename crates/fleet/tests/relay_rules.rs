//! Tests of notes that are sent to all instances through relays.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use sedgewall_fleet::relays::{GROUP_LEN, Group, relays, zone_relays};

fn instances(zones: &[usize]) -> BTreeMap<String, String> {
    let mut all = BTreeMap::new();
    for (zone, count) in zones.iter().enumerate() {
        for n in 0..*count {
            all.insert(format!("front-z{zone}-{n}"), format!("z{zone}"));
        }
    }
    all
}

/// Returns the instances that receive a note, once per reception, if the
/// relays in `lost` are lost.
fn receivers(
    all: &BTreeMap<String, String>,
    chosen: &[(&String, Group)],
    lost: &BTreeSet<String>,
) -> Vec<String> {
    let mut received = Vec::new();
    for (relay, group) in chosen.iter().filter(|(r, _)| !lost.contains(*r)) {
        received.push((*relay).clone());
        let rest = all.iter().filter(|(id, zone)| {
            *zone == &all[*relay] && group.contains(id) && id != relay
        });
        received.extend(rest.map(|(id, _)| id.clone()));
    }
    received
}

proptest! {
    #[test]
    fn each_instance_receives_a_note_once(
        zones in proptest::collection::vec(1usize..60, 1..5),
        turn in any::<usize>(),
    ) {
        let all = instances(&zones);
        let chosen = relays(all.iter(), |_| true, turn);
        let mut received = receivers(&all, &chosen, &BTreeSet::new());
        received.sort();
        prop_assert_eq!(received, all.keys().cloned().collect::<Vec<_>>());
        let groups: usize = zones.iter().map(|n| n.div_ceil(GROUP_LEN)).sum();
        prop_assert!(chosen.len() <= groups);
    }

    #[test]
    fn a_lost_relay_costs_its_group_one_note_only(
        count in 10usize..60,
        turn in 0usize..1_000,
        lost in 0usize..10,
    ) {
        let all = instances(&[count]);
        let lost = BTreeSet::from([format!("front-z0-{lost}")]);
        let mut received = BTreeSet::new();
        for turn in turn..turn + 2 {
            let chosen = relays(all.iter(), |_| true, turn);
            received.extend(receivers(&all, &chosen, &lost));
        }
        let missed: Vec<&String> =
            all.keys().filter(|id| !received.contains(*id)).collect();
        // An instance that is alone in its group has no other relay.
        prop_assert!(missed.iter().all(|id| lost.contains(*id)));
    }
}

#[test]
fn instances_heard_lately_are_preferred_as_relays() {
    let all = instances(&[9]);
    let chosen = relays(all.iter(), |id| id == "front-z0-4", 7);
    assert_eq!(chosen.len(), 1);
    assert_eq!(chosen[0].0, "front-z0-4");
}

/// Between zones a note is sent once, whatever the number of instances there,
/// and each time through a different one of them.
#[test]
fn a_note_goes_to_each_other_zone_once() {
    let all: Vec<(String, String)> = (0..200)
        .map(|n| (format!("front-{n}"), format!("z{}", n % 5)))
        .collect();
    let zone_of = |id: &String| {
        let found = all.iter().find(|(known, _)| known == id);
        found.map(|(_, zone)| zone.clone()).unwrap_or_default()
    };
    let own = "z2".to_owned();
    let mut first = std::collections::BTreeSet::new();
    for turn in 0..40 {
        let instances = all.iter().map(|(id, zone)| (id, zone));
        let chosen = zone_relays(instances, &own, |id| id != "front-0", turn);
        let mut zones: Vec<String> =
            chosen.iter().map(|id| zone_of(id)).collect();
        zones.sort();
        assert_eq!(zones, ["z0", "z1", "z3", "z4"]);
        assert!(!chosen.iter().any(|id| *id == "front-0"));
        first.insert(chosen[0].clone());
    }
    assert_eq!(first.len(), 39);
}
