//! Heartbeats to peers, and the periodic repair of the state that lost
//! messages left inconsistent.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_protocol::{PeerMessage, message::Running};
use sedgewall_state::ShardId;

use crate::{election, entry, instance::Instance};

/// The interval of heartbeats to at most [`PEERS_PER_INTERVAL_STEP`] peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The number of peers by which the interval grows one step: it is
/// [`HEARTBEAT_INTERVAL`] for each started group of so many peers.
const PEERS_PER_INTERVAL_STEP: u32 = 8;

/// The maximum interval of heartbeats. An entry counts as lost after 3 s
/// without one.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval of the repair of the state that lost messages left
/// inconsistent.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// How long a submission stays unanswered before it is sent again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(900);

/// Sends heartbeats and repairs inconsistent state; never returns.
pub(crate) async fn run(instance: Rc<Instance>) {
    let mut last_repair = Instant::now();
    loop {
        let sent = send_heartbeats(&instance);
        if last_repair.elapsed() >= REPAIR_INTERVAL {
            last_repair = Instant::now();
            send_running(&instance);
            resubmit_waiting(&instance);
            instance.membership.borrow_mut().remove_expired(Instant::now());
            close_stale_connections(&instance);
        }
        compio::time::sleep(heartbeat_interval(sent as u32)).await;
    }
}

/// Returns the interval of heartbeats to a number of peers.
///
/// The interval grows with the number of peers: a leader that sent four
/// heartbeats a second to each of a hundred entries would mostly send
/// heartbeats.
fn heartbeat_interval(peers: u32) -> Duration {
    let interval =
        HEARTBEAT_INTERVAL * peers.div_ceil(PEERS_PER_INTERVAL_STEP).max(1);
    interval.min(MAX_HEARTBEAT_INTERVAL)
}

/// Closes the connections to addresses that no known instance has any more,
/// because nng would dial them forever.
fn close_stale_connections(instance: &Rc<Instance>) {
    let known: BTreeSet<String> =
        instance.membership.borrow().peer_urls().into_values().collect();
    instance.peers.borrow_mut().retain(|url| known.contains(url));
}

/// Sends a heartbeat to each peer that should receive those of this instance,
/// and returns the number of these peers.
pub(crate) fn send_heartbeats(instance: &Rc<Instance>) -> usize {
    let heartbeat = instance.heartbeat();
    let partners = partners(instance);
    let targets = instance
        .membership
        .borrow()
        .heartbeat_targets(instance.id(), |id| partners.contains(id));
    for url in &targets {
        let message = PeerMessage::Heartbeat(heartbeat.clone());
        instance.send(url, None, message);
    }
    targets.len()
}

/// Returns the leaders that this instance knows, and the entries of the shards
/// that it leads.
fn partners(instance: &Instance) -> BTreeSet<String> {
    let mut ids: BTreeSet<String> = instance
        .leaders
        .borrow()
        .values()
        .map(|leader| leader.instance.clone())
        .collect();
    for leader in instance.shards.borrow().values() {
        ids.extend(leader.entry_ids());
    }
    ids
}

/// Sends each leader the requests that this entry runs on its grants.
fn send_running(instance: &Rc<Instance>) {
    let mut running = instance.requests.borrow().running();
    let shards: Vec<ShardId> =
        instance.leaders.borrow().keys().cloned().collect();
    for shard in shards {
        let Some(leader) = instance.leader_of(&shard) else { continue };
        let ids = running
            .remove(&shard)
            .unwrap_or_default()
            .iter()
            .map(|request| request.request)
            .collect();
        let first_tokens =
            instance.requests.borrow_mut().take_first_tokens(&shard);
        let message = PeerMessage::Running(Running {
            shard,
            epoch: leader.epoch,
            ids,
            details: Vec::new(),
            first_tokens,
        });
        instance.send(&leader.peer_url, Some(leader.incarnation), message);
    }
}

/// Submits requests again that no leader has answered.
///
/// The known leader may be gone, and its successor may not know of this
/// instance and send it no heartbeat; so the lease is read too.
fn resubmit_waiting(instance: &Rc<Instance>) {
    let waiting = instance.requests.borrow().waiting();
    let mut unanswered = BTreeSet::new();
    for id in waiting {
        let is_due =
            instance.requests.borrow().get(id).is_some_and(|tracked| {
                tracked.sent.elapsed() >= RESUBMIT_AFTER
            });
        if !is_due {
            continue;
        }
        let shard = instance
            .requests
            .borrow()
            .get(id)
            .map(|tracked| tracked.shard.clone());
        unanswered.extend(shard);
        entry::send_submit(instance, id);
    }
    for shard in unanswered {
        let is_leader_lost = instance.leader_of(&shard).is_none_or(|leader| {
            leader.incarnation != instance.incarnation
                && !instance
                    .membership
                    .borrow()
                    .is_live(&leader.instance, Instant::now())
        });
        if is_leader_lost {
            let instance = instance.clone();
            compio::runtime::spawn(async move {
                election::look_up_leader(&instance, &shard).await;
            })
            .detach();
        }
    }
}
