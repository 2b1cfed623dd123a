//! The periodic tasks of a shard's leader: ticks of the policy, reports of
//! engines, removal of lost entries, and demands on the weight store.

use std::{
    rc::Rc,
    time::{Duration, SystemTime},
};

use sedgewall_clock::Instant;
use sedgewall_protocol::engine::{EngineAdapter, EngineReport};
use sedgewall_state::{
    EngineIdx, Epoch, Incarnation, ShardAction, ShardId,
    allocation::ALLOCATION_INTERVAL, shard::ReportedSlot,
};

use crate::{
    instance::Instance,
    leader::{
        EntryLink, ShardLeader, apply_change, update_eviction_deferrals,
    },
    store,
};

/// The interval of the policy's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which engines are asked for reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The interval of reports in a large shard. An engine counts as silent after
/// 2.5 s without a report.
const LARGE_SHARD_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The number of engines above which a shard counts as large, because each
/// report costs the leader 0.1 ms.
const LARGE_SHARD_ENGINES: usize = 16;

/// The interval of [`run_housekeeping`].
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// How long before its start a declared spike is prepared for.
const SPIKE_LEAD_TIME: Duration = Duration::from_secs(120);

/// The maximum age of a report when the engine sends it.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// The silence after which an entry is removed, so that restarts do not
/// accumulate entries. The entry has no grants left by then.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);

/// The silence after which an entry counts as lost, along with its requests.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum LeaderTask {
    Tick,
    Reports,
    Housekeeping,
    Store,
}

impl LeaderTask {
    const ALL: [LeaderTask; 4] = [
        LeaderTask::Tick,
        LeaderTask::Reports,
        LeaderTask::Housekeeping,
        LeaderTask::Store,
    ];

    fn interval(self, instance: &Instance, shard_id: &str) -> Duration {
        match self {
            LeaderTask::Tick => TICK_INTERVAL,
            LeaderTask::Reports => report_interval(instance, shard_id),
            LeaderTask::Housekeeping => HOUSEKEEPING_INTERVAL,
            LeaderTask::Store => ALLOCATION_INTERVAL,
        }
    }
}

/// Starts the periodic tasks of a leader, for one epoch of a shard.
pub(crate) fn start(
    instance: &Rc<Instance>,
    shard_id: &ShardId,
    epoch: Epoch,
) {
    for task in LeaderTask::ALL {
        let instance = instance.clone();
        let shard_id = shard_id.clone();
        compio::runtime::spawn(run_task(instance, shard_id, epoch, task))
            .detach();
    }
}

/// Runs a periodic task until this instance no longer leads the shard in this
/// epoch.
async fn run_task(
    instance: Rc<Instance>,
    shard_id: ShardId,
    epoch: Epoch,
    task: LeaderTask,
) {
    loop {
        let is_led = instance
            .shards
            .borrow()
            .get(&shard_id)
            .is_some_and(|leader| leader.epoch() == epoch);
        if !is_led {
            return;
        }
        match task {
            LeaderTask::Tick => tick(&instance, &shard_id),
            LeaderTask::Reports => request_reports(&instance, &shard_id),
            LeaderTask::Housekeeping => run_housekeeping(&instance, &shard_id),
            LeaderTask::Store => {
                store::request_allotment(&instance, &shard_id)
            }
        }
        compio::time::sleep(task.interval(&instance, &shard_id)).await;
    }
}

fn report_interval(instance: &Instance, shard_id: &str) -> Duration {
    let shards = instance.shards.borrow();
    let engines = shards.get(shard_id).map_or(0, |l| l.engines.len());
    match engines > LARGE_SHARD_ENGINES {
        true => LARGE_SHARD_REPORT_INTERVAL,
        false => REPORT_INTERVAL,
    }
}

fn tick(instance: &Rc<Instance>, shard_id: &str) {
    apply_change(instance, shard_id, |leader, actions| {
        leader.shard.tick(Instant::now(), actions);
    });
}

fn request_reports(instance: &Rc<Instance>, shard_id: &ShardId) {
    let mut shards = instance.shards.borrow_mut();
    let Some(leader) = shards.get_mut(shard_id) else { return };
    for (idx, link) in leader.engines.iter_mut().enumerate() {
        if std::mem::replace(&mut link.is_report_pending, true) {
            continue;
        }
        let instance = instance.clone();
        let shard_id = shard_id.clone();
        let address = link.address.clone();
        let engine = idx as EngineIdx;
        compio::runtime::spawn(async move {
            let requested = Instant::now();
            let report = instance.engines.report(&address).await.ok();
            record_report(&instance, &shard_id, engine, report, requested);
        })
        .detach();
    }
}

fn record_report(
    instance: &Rc<Instance>,
    shard_id: &str,
    engine: EngineIdx,
    report: Option<EngineReport>,
    requested: Instant,
) {
    apply_change(instance, shard_id, |leader, actions| {
        let Some(link) = leader.engines.get_mut(engine as usize) else {
            return;
        };
        link.is_report_pending = false;
        let Some(report) = report else { return };
        let now = Instant::now();
        let is_restarted =
            link.boot.replace(report.boot).is_some_and(|b| b != report.boot);
        if is_restarted {
            leader.shard.engine_restarted(engine, now);
        }
        let slots: Vec<ReportedSlot> = report
            .slots
            .into_iter()
            .filter(|slot| slot.is_ready)
            .map(|slot| ReportedSlot {
                adapter: leader.intern(slot.adapter),
                running_len: slot.running_len,
            })
            .collect();
        // A report may be `MAX_REPORT_LAG` old when the engine sends it, so it
        // counts only for what happened that long before it was requested.
        let as_of = requested.checked_sub(MAX_REPORT_LAG).unwrap_or(requested);
        leader.shard.apply_report(engine, &slots, as_of, now, actions);
    });
}

/// Removes lost entries, checks whether all entries know the epoch, and
/// announces declared spikes to the policy.
fn run_housekeeping(instance: &Rc<Instance>, shard_id: &str) {
    let now = Instant::now();
    let view = instance.view();
    apply_change(instance, shard_id, |leader, actions| {
        remove_lost_entries(instance, leader, now, actions);
        if !leader.is_barrier_passed && all_entries_acked(instance, leader) {
            leader.is_barrier_passed = true;
            update_eviction_deferrals(leader);
        }
        for spike in &view.config.expected_spikes {
            let name = EngineAdapter {
                adapter: spike.adapter.clone(),
                version: spike.version.clone(),
            };
            let Some(idx) = leader.index.get(&name).copied() else { continue };
            let prepare_from = spike.starts.checked_sub(SPIKE_LEAD_TIME);
            let prepare_from = prepare_from.unwrap_or(spike.starts);
            let wall = SystemTime::now();
            let Ok(left) = (spike.starts + spike.lasts).duration_since(wall)
            else {
                continue;
            };
            if prepare_from <= wall {
                leader.shard.expect_rate(idx, spike.rate_per_s, now + left);
            }
        }
    });
}

fn remove_lost_entries(
    instance: &Rc<Instance>,
    leader: &mut ShardLeader,
    now: Instant,
    actions: &mut Vec<ShardAction>,
) {
    let lost: Vec<Incarnation> = leader
        .entries
        .iter()
        .filter(|(incarnation, entry)| {
            !is_entry_live(instance, entry, **incarnation, now)
        })
        .map(|(incarnation, _)| *incarnation)
        .collect();
    for incarnation in lost {
        leader.shard.entry_lost(incarnation, now, actions);
    }
    leader.entries.retain(|incarnation, entry| {
        *incarnation == instance.incarnation
            || now.saturating_duration_since(entry.last_heard)
                < ENTRY_RETENTION
    });
}

/// Returns whether an entry is live.
///
/// An entry that is stopping still finishes its requests, so it counts as
/// live. An entry that is silent for [`ENTRY_TIMEOUT`], or whose instance runs
/// in another incarnation, does not.
fn is_entry_live(
    instance: &Instance,
    entry: &EntryLink,
    incarnation: Incarnation,
    now: Instant,
) -> bool {
    if incarnation == instance.incarnation {
        return true;
    }
    let membership = instance.membership.borrow();
    let Some(peer) = membership.peer(&entry.instance) else { return false };
    let silence = now.saturating_duration_since(entry.last_heard);
    peer.last_heartbeat.incarnation == incarnation && silence < ENTRY_TIMEOUT
}

/// Returns whether every instance that is listed as live knows this epoch.
fn all_entries_acked(instance: &Instance, leader: &ShardLeader) -> bool {
    let membership = instance.membership.borrow();
    membership.listed_live().all(|id| {
        if id == instance.id() {
            return true;
        }
        membership.peer(id).is_some_and(|peer| {
            leader.acked.contains(&peer.last_heartbeat.incarnation)
        })
    })
}
