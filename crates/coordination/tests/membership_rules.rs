//! Membership with a lagging instance list, silent peers and flapping peers.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_coordination::{
    membership::{
        HASHED_HEARTBEAT_TARGETS, Heartbeat, InstanceList, ListedInstance,
        ListedState, MAX_FULL_MESH, Membership, MembershipTimeouts, OWN_GROUP,
    },
    rendezvous::ranking,
};

fn heartbeat(instance: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.to_owned(),
        incarnation,
        zone: "z".to_owned(),
        peer_url: format!("tcp://{instance}"),
        stamp_ms: 0,
        config_version: 0,
        is_leaving: false,
        is_platform_reached: true,
        leads: Vec::new(),
    }
}

fn list(names: impl Iterator<Item = String>) -> InstanceList {
    let instances = names.map(|id| ListedInstance {
        address: format!("tcp://{id}"),
        id,
        group: OWN_GROUP.to_owned(),
        zone: "z".to_owned(),
        state: ListedState::Live,
        operator_address: None,
    });
    InstanceList { revision: 1, instances: instances.collect() }
}

#[test]
fn a_heartbeat_counts_before_the_list_shows_the_instance() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipTimeouts::default());
    assert!(membership.record_heartbeat(heartbeat("a", 1), now));
    assert!(membership.is_live("a", now));
}

#[test]
fn silence_counts_before_the_list_drops_the_instance() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.observe_list(&list(["a".to_owned()].into_iter()));
    membership.record_heartbeat(heartbeat("a", 1), now);
    assert!(!membership.is_live("a", now + Duration::from_secs(2)));
}

#[test]
fn a_leaving_instance_is_not_live_again_in_the_same_incarnation() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipTimeouts::default());
    membership.record_heartbeat(heartbeat("a", 1), now);
    let leaving = Heartbeat { is_leaving: true, ..heartbeat("a", 1) };
    membership.record_heartbeat(leaving, now);
    // A heartbeat that was sent before the departure was announced and arrives
    // after it.
    membership.record_heartbeat(heartbeat("a", 1), now);
    assert!(!membership.is_live("a", now));
    membership.record_heartbeat(heartbeat("a", 2), now);
    assert!(membership.is_live("a", now));
}

#[test]
fn a_flapping_instance_needs_longer_to_become_stable() {
    let mut now = Instant::now();
    let timeouts = MembershipTimeouts::default();
    let mut membership = Membership::new(timeouts);
    membership.record_heartbeat(heartbeat("a", 1), now);
    assert!(membership.is_stable("a", now));
    for flap in 1..4u32 {
        now += timeouts.silent_after * 2;
        membership.record_heartbeat(heartbeat("a", 1), now);
        assert!(membership.is_live("a", now));
        assert!(!membership.is_stable("a", now));
        let mut waited = Duration::ZERO;
        while !membership.is_stable("a", now) {
            now += timeouts.silent_after / 2;
            waited += timeouts.silent_after / 2;
            membership.record_heartbeat(heartbeat("a", 1), now);
        }
        assert_eq!(waited, timeouts.damping * flap);
    }
}

#[test]
fn heartbeat_targets_stay_bounded_as_instances_are_added() {
    let targets = |instances: usize| {
        let mut membership = Membership::new(MembershipTimeouts::default());
        let names = (0..instances).map(|idx| format!("i{idx}"));
        membership.observe_list(&list(names));
        membership.heartbeat_targets("i0", |id| id == "i5").len()
    };
    assert_eq!(targets(7), 6);
    assert_eq!(targets(MAX_FULL_MESH), MAX_FULL_MESH - 1);
    assert!(targets(100) <= HASHED_HEARTBEAT_TARGETS + 1);
    assert!(targets(400) <= HASHED_HEARTBEAT_TARGETS + 1);
}

/// Guards against a read load that grows with the number of instances: with
/// heartbeats from only a few instances, each of 24 instances considered
/// itself a candidate for the shard and read the shard's lease, 48 reads per
/// second in total.
#[test]
fn instances_in_a_partial_mesh_agree_on_candidates() {
    let now = Instant::now();
    let names = || (0..24).map(|idx| format!("i{idx}"));
    let mut ranked = Vec::new();
    for own in names() {
        let mut membership = Membership::new(MembershipTimeouts::default());
        membership.observe_list(&list(names()));
        membership.record_heartbeat(heartbeat("i3", 1), now);
        let mut ids = membership.candidates(&own, now);
        ids.push(&own);
        let order = ranking(ids, "shard");
        ranked.push(order[..3].join(" "));
    }
    ranked.dedup();
    assert_eq!(ranked.len(), 1);
}
