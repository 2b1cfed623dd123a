//! Handlers of the messages that entries send to the leader of a shard about
//! their requests.

use std::rc::Rc;

use sedgewall_clock::Instant;
use sedgewall_protocol::{
    Envelope, PeerMessage,
    engine::EngineAdapter,
    message::{EndKind, Ended, RequestRef, Running, Submit},
};
use sedgewall_state::{queue::Request, shard::RequestEnd};

use crate::{
    instance::Instance,
    leader::{ShardLeader, apply_change, send_grant},
};

/// Handles a submission: queues the request, or sends its grant again.
pub(crate) fn on_submit(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    submit: Submit,
) {
    let Some(url) = instance.sender_url(envelope) else { return };
    let now = Instant::now();
    let is_newer = submit.config_version > instance.config.borrow().version();
    let id = submit.request;
    let mut resend = None;
    let is_led = apply_change(instance, &submit.shard, |leader, actions| {
        leader.record_entry(envelope, submit.stamp_ms, &url);
        if let Some(grant) = leader.shard.grant(id) {
            // This leader has granted the request already; the entry has not
            // received the grant, or had not when it submitted again.
            if grant.expires > now {
                resend = Some(grant.engine);
                return;
            }
            // The grant has expired; the request is queued again from now on.
            leader.shard.finish(id, RequestEnd::Finished, now, actions);
        }
        let adapter = leader.intern(EngineAdapter {
            adapter: submit.adapter.clone(),
            version: submit.version.clone(),
        });
        if is_newer {
            // The entry has a newer configuration, which this instance has not
            // received yet.
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
        send_grant(instance, &submit.shard, id, engine);
    }
    if !is_led {
        let shard = submit.shard;
        let message =
            PeerMessage::NotLeader(RequestRef { shard, request: id });
        instance.send(&url, Some(envelope.incarnation), message);
    }
}

/// Handles the cancellation of a request by its caller.
pub(crate) fn on_cancel(instance: &Rc<Instance>, cancel: &RequestRef) {
    apply_change(instance, &cancel.shard, |leader, actions| {
        leader.shard.cancel(cancel.request, Instant::now(), actions);
    });
}

/// Handles the end of an attempt to run a request.
pub(crate) fn on_ended(instance: &Rc<Instance>, ended: &Ended) {
    let end = match ended.end {
        EndKind::Finished => RequestEnd::Finished,
        EndKind::NotLoaded => RequestEnd::NotLoaded,
        EndKind::Unreachable => RequestEnd::Unreachable,
        EndKind::Failed => RequestEnd::Failed,
    };
    apply_change(instance, &ended.shard, |leader, actions| {
        leader.shard.finish(ended.request, end, Instant::now(), actions);
    });
}

/// Handles the list of the requests that an entry runs on this shard.
pub(crate) fn on_running(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    running: &Running,
) {
    let now = Instant::now();
    apply_change(instance, &running.shard, |leader, actions| {
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

/// Records the clock of an entry in the led shards that it uses.
pub(crate) fn on_heartbeat(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    uptime_ms: u64,
) {
    let mut shards = instance.shards.borrow_mut();
    for leader in shards.values_mut() {
        if let Some(entry) = leader.entries.get_mut(&envelope.incarnation) {
            entry.uptime_ms = entry.uptime_ms.max(uptime_ms);
            entry.last_heard = Instant::now();
        }
    }
}
