//! Heartbeats to peers, and the periodic repair of what lost messages left.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_protocol::{PeerMessage, message::Running};
use sedgewall_state::ShardId;

use crate::{election, entry, node::Node};

/// How often heartbeats are sent to few peers.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);

/// So many peers count as few; with more, heartbeats go out more seldom.
const MAX_DIRECT_PEERS: u32 = 8;

/// The longest time between heartbeats. An entry counts as lost after 3 s.
const LONGEST_GAP: Duration = Duration::from_secs(1);

/// How often what lost messages left behind is repaired.
const REPAIR_EVERY: Duration = Duration::from_secs(1);

/// How long a submission stays unanswered before it is sent again.
const RESUBMIT_AFTER: Duration = Duration::from_millis(900);

/// Sends heartbeats for ever.
pub(crate) async fn run(node: Rc<Node>) {
    let mut repaired = Instant::now();
    loop {
        let sent = send_heartbeats(&node);
        if repaired.elapsed() >= REPAIR_EVERY {
            repaired = Instant::now();
            send_running(&node);
            resubmit_waiting(&node);
            node.membership.borrow_mut().remove_expired(Instant::now());
            close_old_links(&node);
        }
        compio::time::sleep(gap(sent as u32)).await;
    }
}

/// A leader that a hundred entries use would spend its allowance on
/// heartbeats alone, four times a second each.
fn gap(peers: u32) -> Duration {
    let gap = HEARTBEAT_EVERY * peers.div_ceil(MAX_DIRECT_PEERS).max(1);
    gap.min(LONGEST_GAP)
}

/// Closes the links to addresses that no known instance has any more; nng
/// would dial them for ever.
fn close_old_links(node: &Rc<Node>) {
    let known: BTreeSet<String> =
        node.membership.borrow().peer_urls().into_values().collect();
    node.peers.borrow_mut().retain(|url| known.contains(url));
}

/// Sends one heartbeat to each peer that should hear us, and returns how many
/// that are.
pub(crate) fn send_heartbeats(node: &Rc<Node>) -> usize {
    let heartbeat = node.heartbeat();
    let partners = partners(node);
    let targets = node
        .membership
        .borrow()
        .heartbeat_targets(node.id(), |id| partners.contains(id));
    for url in &targets {
        let message = PeerMessage::Heartbeat(heartbeat.clone());
        node.send(url, None, message);
    }
    targets.len()
}

/// The leaders that we use, and the entries that use us as a leader.
fn partners(node: &Node) -> BTreeSet<String> {
    let mut ids: BTreeSet<String> = node
        .leaders
        .borrow()
        .values()
        .map(|leader| leader.instance.clone())
        .collect();
    for leader in node.shards.borrow().values() {
        ids.extend(leader.entry_ids());
    }
    ids
}

/// Tells each leader all that we run on its grants.
fn send_running(node: &Rc<Node>) {
    let mut running = node.requests.borrow().running();
    let shards: Vec<ShardId> = node.leaders.borrow().keys().cloned().collect();
    for shard in shards {
        let Some(leader) = node.leader_of(&shard) else { continue };
        let ids = running
            .remove(&shard)
            .unwrap_or_default()
            .iter()
            .map(|request| request.request)
            .collect();
        let first_tokens =
            node.requests.borrow_mut().take_first_tokens(&shard);
        let message = PeerMessage::Running(Running {
            shard,
            epoch: leader.epoch,
            ids,
            details: Vec::new(),
            first_tokens,
        });
        node.send(&leader.peer_url, Some(leader.incarnation), message);
    }
}

/// Sends submissions again that no leader has answered.
///
/// The leader that we know may be gone, and its successor may not know that we
/// exist; so the lease itself is looked up too.
fn resubmit_waiting(node: &Rc<Node>) {
    let waiting = node.requests.borrow().waiting();
    let mut unanswered = BTreeSet::new();
    for id in waiting {
        let is_due = node
            .requests
            .borrow()
            .get(id)
            .is_some_and(|held| held.sent.elapsed() >= RESUBMIT_AFTER);
        if !is_due {
            continue;
        }
        let shard =
            node.requests.borrow().get(id).map(|held| held.shard.clone());
        unanswered.extend(shard);
        entry::send_submit(node, id);
    }
    for shard in unanswered {
        let is_silent = node.leader_of(&shard).is_none_or(|leader| {
            leader.incarnation != node.incarnation
                && !node
                    .membership
                    .borrow()
                    .is_live(&leader.instance, Instant::now())
        });
        if is_silent {
            let node = node.clone();
            compio::runtime::spawn(async move {
                election::look_up(&node, &shard).await;
            })
            .detach();
        }
    }
}
