//! Heartbeats to peers, and the periodic repair of what lost messages left.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_protocol::{PeerMessage, message::Running};
use sedgewall_state::ShardId;

use crate::{election, entry, instance::Instance};

/// How often heartbeats are sent to few peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// So many peers count as few; with more, heartbeats go out more seldom.
const MAX_DIRECT_PEERS: u32 = 8;

/// The longest time between heartbeats. An entry counts as lost after 3 s.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How often what lost messages left behind is repaired.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// How long a submission stays unanswered before it is sent again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(900);

/// Sends heartbeats for ever.
pub(crate) async fn run(instance: Rc<Instance>) {
    let mut last_repair = Instant::now();
    loop {
        let sent = send_heartbeats(&instance);
        if last_repair.elapsed() >= REPAIR_INTERVAL {
            last_repair = Instant::now();
            send_running(&instance);
            resubmit_waiting(&instance);
            instance.membership.borrow_mut().sweep(Instant::now());
            close_stale_connections(&instance);
        }
        compio::time::sleep(heartbeat_interval(sent as u32)).await;
    }
}

/// A leader that a hundred entries use would spend its allowance on
/// heartbeats alone, four times a second each.
fn heartbeat_interval(peers: u32) -> Duration {
    let interval =
        HEARTBEAT_INTERVAL * peers.div_ceil(MAX_DIRECT_PEERS).max(1);
    interval.min(MAX_HEARTBEAT_INTERVAL)
}

/// Closes the links to addresses that no known instance has any more; nng
/// would dial them for ever.
fn close_stale_connections(instance: &Rc<Instance>) {
    let known: BTreeSet<String> =
        instance.membership.borrow().peer_urls().into_values().collect();
    instance.peers.borrow_mut().retain(|url| known.contains(url));
}

/// Sends one heartbeat to each peer that should hear us, and returns how many
/// that are.
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

/// The leaders that we use, and the entries that use us as a leader.
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

/// Tells each leader all that we run on its grants.
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

/// Sends submissions again that no leader has answered.
///
/// The leader that we know may be gone, and its successor may not know that we
/// exist; so the lease itself is looked up too.
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
