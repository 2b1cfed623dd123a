//! Guards against entries of instances that are gone for good: 64 replaced
//! instances left theirs, and the pause between two watches of endpoints grew
//! with each.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::lost_instances::{KEPT_UNHEARD, LostInstances};

fn record(
    lost: &mut LostInstances,
    listed: &[(&str, bool)],
    now: Instant,
) -> Vec<String> {
    let listed: Vec<(String, bool)> = listed
        .iter()
        .map(|(id, is_alive)| ((*id).to_owned(), *is_alive))
        .collect();
    lost.record(listed.iter().map(|(id, alive)| (id, *alive)), now)
}

#[test]
fn an_instance_that_is_not_heard_for_long_is_lost() {
    let start = Instant::now();
    let mut lost = LostInstances::default();
    let both = [("i1", true), ("i2", false)];
    assert!(record(&mut lost, &both, start).is_empty());
    let before = start + KEPT_UNHEARD - Duration::from_millis(1);
    assert!(record(&mut lost, &both, before).is_empty());
    assert_eq!(record(&mut lost, &both, start + KEPT_UNHEARD), ["i2"]);
}

#[test]
fn an_instance_that_is_heard_meanwhile_is_not_lost() {
    let start = Instant::now();
    let mut lost = LostInstances::default();
    record(&mut lost, &[("i1", false)], start);
    let heard = start + KEPT_UNHEARD / 2;
    record(&mut lost, &[("i1", true)], heard);
    let later = heard + KEPT_UNHEARD - Duration::from_millis(1);
    assert!(record(&mut lost, &[("i1", false)], later).is_empty());
}

/// The entry of an instance that was deleted and written again is new.
#[test]
fn an_entry_that_returns_counts_from_then() {
    let start = Instant::now();
    let mut lost = LostInstances::default();
    record(&mut lost, &[("i1", false)], start);
    record(&mut lost, &[], start + KEPT_UNHEARD);
    let again = start + 2 * KEPT_UNHEARD;
    assert!(record(&mut lost, &[("i1", false)], again).is_empty());
}
