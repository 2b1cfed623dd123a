//! What entries tell the leader of a shard about their requests.

use std::rc::Rc;

use sedgewall_clock::Instant;
use sedgewall_protocol::{
    Envelope, PeerMessage,
    engine::EngineAdapter,
    message::{EndKind, Ended, RequestRef, Running, Submit},
};
use sedgewall_state::{queue::Request, shard::RequestEnd};

use crate::{
    leader::{ShardLeader, act, send_grant},
    node::Node,
};

/// Takes in a submission.
pub(crate) fn on_submit(node: &Rc<Node>, envelope: &Envelope, submit: Submit) {
    let Some(url) = node.sender_url(envelope) else { return };
    let now = Instant::now();
    let is_newer = submit.config_version > node.config.borrow().version();
    let id = submit.request;
    let mut resend = None;
    let is_led = act(node, &submit.shard, |leader, actions| {
        leader.note_entry(envelope, submit.stamp_ms, &url);
        if let Some(grant) = leader.shard.grant(id) {
            // The grant was lost on its way, or still is.
            if grant.expires > now {
                resend = Some(grant.engine);
                return;
            }
            // It can be used no more; the request waits again, from now.
            leader.shard.finish(id, RequestEnd::Finished, now, actions);
        }
        let adapter = leader.intern(EngineAdapter {
            adapter: submit.adapter.clone(),
            version: submit.version.clone(),
        });
        if is_newer {
            // The entry has a configuration that we are yet to get.
            leader.shard.set_configured(adapter, true);
        }
        let request = Request {
            id,
            adapter,
            priority: submit.priority,
            caller_hash: submit.caller_hash,
            submitted: now.checked_sub(submit.waited).unwrap_or(now),
            deadline: now + submit.time_left,
            had_available_replica: false,
        };
        leader.shard.submit(request, now, actions);
    });
    if let Some(engine) = resend {
        send_grant(node, &submit.shard, id, engine);
    }
    if !is_led {
        let shard = submit.shard;
        let message =
            PeerMessage::NotLeader(RequestRef { shard, request: id });
        node.send(&url, Some(envelope.incarnation), message);
    }
}

/// Takes in that a caller gave up.
pub(crate) fn on_cancel(node: &Rc<Node>, cancel: &RequestRef) {
    act(node, &cancel.shard, |leader, actions| {
        leader.shard.cancel(cancel.request, Instant::now(), actions);
    });
}

/// Takes in the end of a request.
pub(crate) fn on_ended(node: &Rc<Node>, ended: &Ended) {
    let end = match ended.end {
        EndKind::Finished => RequestEnd::Finished,
        EndKind::NotLoaded => RequestEnd::NotLoaded,
        EndKind::Unreachable => RequestEnd::Unreachable,
        EndKind::Failed => RequestEnd::Failed,
    };
    act(node, &ended.shard, |leader, actions| {
        leader.shard.finish(ended.request, end, Instant::now(), actions);
    });
}

/// Takes in all that an entry runs here.
pub(crate) fn on_running(
    node: &Rc<Node>,
    envelope: &Envelope,
    running: &Running,
) {
    let now = Instant::now();
    act(node, &running.shard, |leader, actions| {
        if running.epoch == leader.epoch() {
            leader.acked.insert(envelope.incarnation);
        }
        adopt_running(leader, running, now);
        for first in &running.first_tokens {
            if let Some(engine) = leader.shard.engine_idx(&first.endpoint) {
                leader.shard.record_first_token(engine, first.took, now);
            }
        }
        leader.shard.reconcile_entry(
            envelope.incarnation,
            &running.ids,
            now,
            actions,
        );
    });
}

fn adopt_running(leader: &mut ShardLeader, running: &Running, now: Instant) {
    for detail in &running.details {
        let Some(engine) = leader.shard.engine_idx(&detail.endpoint) else {
            continue;
        };
        let adapter = leader.intern(EngineAdapter {
            adapter: detail.adapter.clone(),
            version: detail.version.clone(),
        });
        let request = Request {
            id: detail.request,
            adapter,
            priority: detail.priority,
            caller_hash: 0,
            submitted: now,
            deadline: now,
            had_available_replica: true,
        };
        leader.shard.adopt_running(request, engine, now);
    }
}

/// Takes in the clock of an entry that uses led shards.
pub(crate) fn on_heartbeat(node: &Rc<Node>, envelope: &Envelope, stamp: u64) {
    let mut shards = node.shards.borrow_mut();
    for leader in shards.values_mut() {
        if let Some(entry) = leader.entries.get_mut(&envelope.incarnation) {
            entry.stamp_ms = entry.stamp_ms.max(stamp);
            entry.heard = Instant::now();
        }
    }
}
