//! Takes in messages of peers, and of this instance to itself.

use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select};
use log::info;
use sedgewall_clock::Instant;
use sedgewall_coordination::{membership::Heartbeat, timeline::EventKind};
use sedgewall_protocol::{Envelope, PeerMessage};
use sedgewall_transport::PeerListener;

use crate::{
    claims, config_sync, election, entry, led_requests,
    node::{Leader, Node},
    store,
};

/// Messages handled in one turn before others get theirs.
///
/// Streams and messages share one loop; a bound on either keeps the other on
/// time.
const TURN_LEN: usize = 128;

/// Takes in messages for ever.
pub(crate) async fn run(
    node: Rc<Node>,
    mut listener: PeerListener,
    mut local: mpsc::UnboundedReceiver<Envelope>,
) {
    loop {
        let envelope = select! {
            envelope = listener.next().fuse() => envelope,
            envelope = local.next() => envelope,
        };
        let Some(envelope) = envelope else { return };
        take(&node, envelope);
        for _ in 1..TURN_LEN {
            let next = match local.try_recv() {
                Ok(envelope) => Some(envelope),
                Err(_) => listener.try_next(),
            };
            let Some(envelope) = next else { break };
            take(&node, envelope);
        }
        let dropped = listener.dropped();
        metrics::counter!("sedgewall_inbox_dropped_total").absolute(dropped);
    }
}

fn take(node: &Rc<Node>, envelope: Envelope) {
    let is_for_us = envelope
        .to_incarnation
        .is_none_or(|incarnation| incarnation == node.incarnation);
    if !is_for_us {
        // It was meant for an earlier life of this instance.
        return;
    }
    node.note_stamp(&envelope);
    match &envelope.message {
        PeerMessage::Heartbeat(heartbeat) => {
            on_heartbeat(node, &envelope, heartbeat);
        }
        PeerMessage::Submit(submit) => {
            led_requests::on_submit(node, &envelope, submit.clone());
        }
        PeerMessage::Cancel(cancel) => led_requests::on_cancel(node, cancel),
        PeerMessage::Ended(ended) => led_requests::on_ended(node, ended),
        PeerMessage::Running(running) => {
            led_requests::on_running(node, &envelope, running);
        }
        PeerMessage::Granted(granted) => entry::on_granted(node, granted),
        PeerMessage::Refused(refused) => entry::on_refused(node, refused),
        PeerMessage::NotLeader(_) => {
            // The periodic repair submits again, to whoever leads by then.
        }
        PeerMessage::Claim(claim) => claims::on_claim(node, &envelope, claim),
        PeerMessage::ReleaseClaim(claim) => claims::on_release(node, claim),
        PeerMessage::Claimed(reply) => claims::on_reply(node, reply),
        PeerMessage::Demand(demand) => {
            store::on_demand(node, &envelope, demand);
        }
        PeerMessage::Allotted(allotment) => {
            store::on_allotted(node, allotment);
        }
        PeerMessage::AskConfig(ask) => {
            config_sync::on_ask(node, &envelope, ask);
        }
        PeerMessage::ConfigPart(part) => {
            config_sync::on_part(node, &envelope, part.clone());
        }
    }
}

fn on_heartbeat(node: &Rc<Node>, envelope: &Envelope, heartbeat: &Heartbeat) {
    let is_new = node
        .membership
        .borrow_mut()
        .record_heartbeat(heartbeat.clone(), Instant::now());
    if is_new {
        info!("member: {} is heard.", heartbeat.instance);
        let detail = "heard";
        node.event(EventKind::Member, None, "", &heartbeat.instance, detail);
    }
    led_requests::on_heartbeat(node, envelope, heartbeat.stamp_ms);
    for lead in &heartbeat.leads {
        let leader = Leader {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation,
            peer_url: heartbeat.peer_url.clone(),
            epoch: lead.epoch,
        };
        election::learn_leader(node, &lead.shard, leader);
    }
    if heartbeat.config_version > node.config.borrow().version()
        && !node.is_platform_reached.get()
    {
        config_sync::ask_peer(node, envelope);
    }
}
