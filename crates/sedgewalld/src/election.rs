//! Acquires, renews and releases the leases of shards.
//!
//! There is one task for each shard. Only the few instances that rank highest
//! for a shard read its lease; all others learn the leader from heartbeats.

use std::{cell::RefCell, collections::HashSet, rc::Rc, time::Duration};

use log::{debug, info, warn};
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    lease::{
        AcquireOutcome, Acquiring, Candidate, Held, Lease, LeaseRecord,
        LeaseWrite, RenewOutcome, StoredLease, Watching, WriteAnswer,
    },
    rendezvous,
    timeline::EventKind,
};
use sedgewall_protocol::platform::lease_key;
use sedgewall_state::ShardId;
use sedgewall_transport::PlatformError;

use crate::{
    entry,
    instance::{Instance, Leader, Stage, sleep_with_jitter},
    leader,
};

/// The number of instances that poll a shard's lease.
const MAX_CANDIDATES: usize = 3;

/// The additional time for which each candidate waits, compared with the one
/// ranked before it, before it acquires a free lease.
const RANK_DELAY: Duration = Duration::from_millis(200);

/// The delay before a lease is read after a write with an unclear outcome.
const REREAD_DELAY: Duration = Duration::from_millis(100);

thread_local! {
    static SHARDS_WITH_TASK: RefCell<HashSet<ShardId>> = RefCell::default();
}

/// Starts a task for each shard of the configuration that has none yet.
pub(crate) fn start_missing_tasks(instance: &Rc<Instance>) {
    for shard in instance.view().config.shard_ids() {
        let is_new = SHARDS_WITH_TASK
            .with_borrow_mut(|shards| shards.insert(shard.clone()));
        if is_new {
            let instance = instance.clone();
            compio::runtime::spawn(run(instance, shard)).detach();
        }
    }
}

/// Runs the lease task of a shard until the configuration drops the shard.
async fn run(instance: Rc<Instance>, shard: ShardId) {
    let times = instance.settings.lease.timing();
    let mut watching = Lease::new(shard.clone(), times);
    loop {
        let Some(held) = wait_for_lease(&instance, &shard, watching).await
        else {
            break;
        };
        leader::start_leading(&instance, &shard, held);
        watching = renew_until_lost(&instance, &shard).await;
        leader::step_down(&instance, &shard);
    }
    SHARDS_WITH_TASK.with_borrow_mut(|shards| shards.remove(&shard));
    debug!("lease: {shard} was removed from the configuration.");
}

/// Waits until this instance holds the lease. Returns `None` if the
/// configuration no longer has the shard.
async fn wait_for_lease(
    instance: &Rc<Instance>,
    shard: &ShardId,
    mut watching: Lease<Watching>,
) -> Option<Lease<Held>> {
    let poll_interval = instance.settings.lease.timing().renew_every;
    let mut free_since = None;
    loop {
        if !is_configured(instance, shard) {
            return None;
        }
        let Some(rank) = rank(instance, shard) else {
            free_since = None;
            sleep_with_jitter(poll_interval).await;
            continue;
        };
        if let Ok(stored) = read(instance, shard).await {
            watching.observe(stored, Instant::now());
        }
        record_holder(instance, shard, watching.seen());
        if !watching.is_free(Instant::now()) {
            free_since = None;
            sleep_with_jitter(poll_interval).await;
            continue;
        }
        let since: Instant = *free_since.get_or_insert_with(Instant::now);
        if since.elapsed() < RANK_DELAY * rank as u32 {
            sleep_with_jitter(poll_interval / 4).await;
            continue;
        }
        let acquiring = watching.acquire(&candidate(instance), Instant::now());
        match acquire(instance, shard, acquiring).await {
            Ok(held) => return Some(held),
            Err(lost) => watching = lost,
        }
        free_since = None;
    }
}

async fn acquire(
    instance: &Rc<Instance>,
    shard: &ShardId,
    acquiring: Lease<Acquiring>,
) -> Result<Lease<Held>, Lease<Watching>> {
    let answer = write(instance, acquiring.write()).await;
    let mut pending = match acquiring.complete_acquire(answer, Instant::now())
    {
        AcquireOutcome::Held(held) => return Ok(held),
        AcquireOutcome::Lost(watching) => return Err(watching),
        AcquireOutcome::Unclear(acquiring) => acquiring,
    };
    loop {
        compio::time::sleep(REREAD_DELAY).await;
        let Ok(stored) = read(instance, shard).await else { continue };
        match pending.resolve(stored, Instant::now()) {
            AcquireOutcome::Held(held) => return Ok(held),
            AcquireOutcome::Lost(watching) => return Err(watching),
            AcquireOutcome::Unclear(acquiring) => pending = acquiring,
        }
    }
}

/// Renews the lease until it is lost or released.
async fn renew_until_lost(
    instance: &Rc<Instance>,
    shard: &ShardId,
) -> Lease<Watching> {
    let renew_every = instance.settings.lease.timing().renew_every;
    loop {
        let Some(held) = leader::lease(instance, shard) else {
            return Lease::new(
                shard.clone(),
                instance.settings.lease.timing(),
            );
        };
        let must_release = instance.stage.get() == Stage::Leaving
            || !is_configured(instance, shard)
            || leader::is_superseded(instance, shard);
        if must_release {
            return release(instance, held).await;
        }
        let sent = Instant::now();
        let renewal = held.renewal();
        let answer = write(instance, &renewal).await;
        let renewed =
            held.complete_renewal(renewal, answer, sent, Instant::now());
        let renewed = match (answer, renewed) {
            (WriteAnswer::Unclear, RenewOutcome::Held(held)) => {
                reconcile(instance, shard, held).await
            }
            // The conflict may be with an earlier renewal by this instance
            // whose answer was lost.
            (WriteAnswer::Conflict, _) => match leader::lease(instance, shard)
            {
                Some(held) => reconcile(instance, shard, held).await,
                None => {
                    return Lease::new(
                        shard.clone(),
                        instance.settings.lease.timing(),
                    );
                }
            },
            (_, renewed) => renewed,
        };
        match renewed {
            RenewOutcome::Held(held) => {
                leader::set_lease(instance, shard, held)
            }
            RenewOutcome::Lost(watching) => {
                warn!("lease: {shard} was taken by another instance.");
                return watching;
            }
        }
        let spent = sent.elapsed();
        compio::time::sleep(renew_every.saturating_sub(spent)).await;
    }
}

async fn reconcile(
    instance: &Rc<Instance>,
    shard: &ShardId,
    held: Lease<Held>,
) -> RenewOutcome {
    match read(instance, shard).await {
        Ok(stored) => held.reconcile(stored, Instant::now()),
        // The lease cannot be read. Keep it: its time of last renewal is
        // unchanged, so `is_current` turns false when another instance may
        // take it.
        Err(_) => RenewOutcome::Held(held),
    }
}

async fn release(
    instance: &Rc<Instance>,
    held: Lease<Held>,
) -> Lease<Watching> {
    let answer = write(instance, &held.release()).await;
    info!("lease: {} was released: {answer:?}.", held.record().shard);
    held.into_watching(Instant::now())
}

fn is_configured(instance: &Instance, shard: &str) -> bool {
    instance.view().config.shard_ids().iter().any(|id| id == shard)
}

/// Returns this instance's rank among the shard's candidates, or `None` if it
/// is not a candidate.
fn rank(instance: &Instance, shard: &str) -> Option<usize> {
    if instance.stage.get() == Stage::Leaving {
        return None;
    }
    let membership = instance.membership.borrow();
    let view = instance.view();
    let region = shard.split('.').next().unwrap_or("");
    let others = membership.candidates(instance.id(), Instant::now());
    let in_region = |id: &str| {
        let zone = membership.zone_of(id);
        zone.is_some_and(|zone| view.config.region_of(zone) == region)
    };
    let mut ids: Vec<&str> =
        others.iter().copied().filter(|id| in_region(id)).collect();
    if view.config.region_of(&instance.settings.zone) != region {
        if !ids.is_empty() {
            // While the region has instances of its own, these lead its
            // shards.
            return None;
        }
        ids = others;
    }
    ids.push(instance.id());
    rendezvous::ranking(ids, shard)
        .into_iter()
        .take(MAX_CANDIDATES)
        .position(|id| id == instance.id())
}

fn candidate(instance: &Instance) -> Candidate {
    Candidate {
        epoch_floor: 0,
        has_no_predecessor: true,
        instance: instance.settings.instance.clone(),
        incarnation: instance.incarnation,
        peer_url: instance.settings.peer_url(),
    }
}

async fn read(
    instance: &Rc<Instance>,
    shard: &str,
) -> Result<Option<StoredLease>, PlatformError> {
    let object = instance.platform.get(&lease_key(shard)).await;
    instance.set_platform_reached(object.is_ok());
    let Some(object) = object? else { return Ok(None) };
    let record: LeaseRecord = serde_json::from_slice(&object.value)
        .map_err(|err| PlatformError::Unreadable(err.to_string()))?;
    Ok(Some(StoredLease { record, version: object.version }))
}

async fn write(instance: &Rc<Instance>, write: &LeaseWrite) -> WriteAnswer {
    let key = lease_key(&write.record.shard);
    let value = serde_json::to_vec(&write.record).unwrap_or_default();
    let answer = instance.platform.put(&key, value, write.expected).await;
    instance.set_platform_reached(answer != WriteAnswer::Unclear);
    answer
}

/// Reads the leader of a shard from its lease, for an entry that receives no
/// heartbeat from a leader.
pub(crate) async fn look_up_leader(instance: &Rc<Instance>, shard: &str) {
    if let Ok(stored) = read(instance, shard).await {
        let record = stored.map(|stored| stored.record);
        record_holder(instance, shard, record.as_ref());
    }
}

/// Records the holder of a lease that was read as the shard's leader, unless
/// the lease is released.
fn record_holder(
    instance: &Rc<Instance>,
    shard: &str,
    record: Option<&LeaseRecord>,
) {
    let Some(record) = record else { return };
    if record.is_released {
        return;
    }
    let leader = Leader {
        instance: record.holder.clone(),
        incarnation: record.incarnation,
        peer_url: record.peer_url.clone(),
        epoch: record.epoch,
    };
    apply_leader(instance, shard, leader);
}

/// Records the leader of a shard, and resynchronises with a leader that was
/// not known yet.
pub(crate) fn apply_leader(
    instance: &Rc<Instance>,
    shard: &str,
    leader: Leader,
) {
    let detail =
        format!("{} leads in epoch {}", leader.instance, leader.epoch);
    if instance.update_leader(shard, leader) {
        instance.record_event(EventKind::Lease, None, shard, "", detail);
        entry::resync_with_leader(instance, shard);
    }
}
