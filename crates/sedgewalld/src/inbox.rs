//! Receives messages from peers, and from this instance to itself.

use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select};
use log::info;
use sedgewall_clock::Instant;
use sedgewall_coordination::{membership::Heartbeat, timeline::EventKind};
use sedgewall_protocol::{Envelope, PeerMessage};
use sedgewall_transport::PeerListener;

use crate::{
    claims, config_sync, election, entry, entry_messages,
    instance::{Instance, Leader},
    store,
};

/// The maximum number of messages handled before the task yields.
///
/// Streams and messages share one event loop; a limit on each keeps the other
/// from being delayed.
const MAX_BATCH_LEN: usize = 128;

/// Dispatches messages until a source of messages ends.
pub(crate) async fn run(
    instance: Rc<Instance>,
    mut listener: PeerListener,
    mut local: mpsc::UnboundedReceiver<Envelope>,
) {
    loop {
        let envelope = select! {
            envelope = listener.next().fuse() => envelope,
            envelope = local.next() => envelope,
        };
        let Some(envelope) = envelope else { return };
        dispatch(&instance, envelope);
        for _ in 1..MAX_BATCH_LEN {
            let next = match local.try_recv() {
                Ok(envelope) => Some(envelope),
                Err(_) => listener.try_next(),
            };
            let Some(envelope) = next else { break };
            dispatch(&instance, envelope);
        }
        let dropped = listener.dropped();
        metrics::counter!("sedgewall_inbox_dropped_total").absolute(dropped);
    }
}

fn dispatch(instance: &Rc<Instance>, envelope: Envelope) {
    let is_for_us = envelope
        .to_incarnation
        .is_none_or(|incarnation| incarnation == instance.incarnation);
    if !is_for_us {
        // The message was meant for an earlier incarnation of this instance.
        return;
    }
    instance.update_clock(&envelope);
    match &envelope.message {
        PeerMessage::Heartbeat(heartbeat) => {
            on_heartbeat(instance, &envelope, heartbeat);
        }
        PeerMessage::Submit(submit) => {
            entry_messages::on_submit(instance, &envelope, submit.clone());
        }
        PeerMessage::Cancel(cancel) => {
            entry_messages::on_cancel(instance, cancel)
        }
        PeerMessage::Ended(ended) => entry_messages::on_ended(instance, ended),
        PeerMessage::Running(running) => {
            entry_messages::on_running(instance, &envelope, running);
        }
        PeerMessage::Granted(granted) => entry::on_granted(instance, granted),
        PeerMessage::Refused(refused) => entry::on_refused(instance, refused),
        PeerMessage::NotLeader(_) => {
            // The periodic repair submits the request again, to the leader
            // that is known by then.
        }
        PeerMessage::Claim(claim) => {
            claims::on_claim(instance, &envelope, claim)
        }
        PeerMessage::ReleaseClaim(claim) => {
            claims::on_release(instance, claim)
        }
        PeerMessage::Claimed(reply) => claims::on_reply(instance, reply),
        PeerMessage::Demand(demand) => {
            store::on_demand(instance, &envelope, demand);
        }
        PeerMessage::Allotted(allotment) => {
            store::on_allotment(instance, allotment);
        }
        PeerMessage::AskConfig(ask) => {
            config_sync::on_request(instance, &envelope, ask);
        }
        PeerMessage::ConfigPart(part) => {
            config_sync::on_config_part(instance, &envelope, part.clone());
        }
    }
}

fn on_heartbeat(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    heartbeat: &Heartbeat,
) {
    let is_new = instance
        .membership
        .borrow_mut()
        .record_heartbeat(heartbeat.clone(), Instant::now());
    if is_new {
        info!("member: {} is a new or restarted peer.", heartbeat.instance);
        let detail = "heard";
        instance.record_event(
            EventKind::Member,
            None,
            "",
            &heartbeat.instance,
            detail,
        );
    }
    entry_messages::on_heartbeat(instance, envelope, heartbeat.stamp_ms);
    for lead in &heartbeat.leads {
        let leader = Leader {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation,
            peer_url: heartbeat.peer_url.clone(),
            epoch: lead.epoch,
        };
        election::apply_leader(instance, &lead.shard, leader);
    }
    if heartbeat.config_version > instance.config.borrow().version()
        && !instance.is_platform_reached.get()
    {
        config_sync::request_from_peer(instance, envelope);
    }
}
