//! Takes, renews and gives up the leases of shards.
//!
//! One task for each shard. Only the few instances that a shard prefers look
//! at its lease; all others learn of leaders from heartbeats.

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
    entry, leader,
    node::{Leader, Node, Stage, pause},
};

/// Instances that look at a shard's lease.
const CANDIDATES_LEN: usize = 3;

/// How much longer than the one before it each candidate waits.
const RANK_DELAY: Duration = Duration::from_millis(200);

const UNCLEAR_PAUSE: Duration = Duration::from_millis(100);

thread_local! {
    static WATCHED: RefCell<HashSet<ShardId>> = RefCell::default();
}

/// Starts a task for each shard of the configuration that has none yet.
pub(crate) fn ensure(node: &Rc<Node>) {
    for shard in node.view().config.shard_ids() {
        let is_new = WATCHED.with_borrow_mut(|w| w.insert(shard.clone()));
        if is_new {
            let node = node.clone();
            compio::runtime::spawn(run(node, shard)).detach();
        }
    }
}

/// Follows one shard's lease until the configuration drops the shard.
async fn run(node: Rc<Node>, shard: ShardId) {
    let times = node.settings.lease.timing();
    let mut watching = Lease::new(shard.clone(), times);
    loop {
        let Some(held) = win(&node, &shard, watching).await else { break };
        leader::take_up(&node, &shard, held);
        watching = lead(&node, &shard).await;
        leader::step_down(&node, &shard);
    }
    WATCHED.with_borrow_mut(|w| w.remove(&shard));
    debug!("lease: {shard} is not watched any more.");
}

/// Waits until the lease is ours; none if the shard is gone.
async fn win(
    node: &Rc<Node>,
    shard: &ShardId,
    mut watching: Lease<Watching>,
) -> Option<Lease<Held>> {
    let look_every = node.settings.lease.timing().renew_every;
    let mut free_since = None;
    loop {
        if !is_configured(node, shard) {
            return None;
        }
        let Some(rank) = rank(node, shard) else {
            free_since = None;
            pause(look_every).await;
            continue;
        };
        if let Ok(stored) = read(node, shard).await {
            watching.observe(stored, Instant::now());
        }
        note_seen(node, shard, watching.seen());
        if !watching.is_free(Instant::now()) {
            free_since = None;
            pause(look_every).await;
            continue;
        }
        let since: Instant = *free_since.get_or_insert_with(Instant::now);
        if since.elapsed() < RANK_DELAY * rank as u32 {
            pause(look_every / 4).await;
            continue;
        }
        let acquiring = watching.acquire(&candidate(node), Instant::now());
        match acquire(node, shard, acquiring).await {
            Ok(held) => return Some(held),
            Err(lost) => watching = lost,
        }
        free_since = None;
    }
}

async fn acquire(
    node: &Rc<Node>,
    shard: &ShardId,
    acquiring: Lease<Acquiring>,
) -> Result<Lease<Held>, Lease<Watching>> {
    let answer = write(node, acquiring.write()).await;
    let mut unclear = match acquiring.complete_acquire(answer, Instant::now())
    {
        AcquireOutcome::Held(held) => return Ok(held),
        AcquireOutcome::Lost(watching) => return Err(watching),
        AcquireOutcome::Unclear(acquiring) => acquiring,
    };
    loop {
        compio::time::sleep(UNCLEAR_PAUSE).await;
        let Ok(stored) = read(node, shard).await else { continue };
        match unclear.resolve(stored, Instant::now()) {
            AcquireOutcome::Held(held) => return Ok(held),
            AcquireOutcome::Lost(watching) => return Err(watching),
            AcquireOutcome::Unclear(acquiring) => unclear = acquiring,
        }
    }
}

/// Renews the lease until it is lost or given up.
async fn lead(node: &Rc<Node>, shard: &ShardId) -> Lease<Watching> {
    let renew_every = node.settings.lease.timing().renew_every;
    loop {
        let Some(held) = leader::lease(node, shard) else {
            return Lease::new(shard.clone(), node.settings.lease.timing());
        };
        let is_unwanted = node.stage.get() == Stage::Leaving
            || !is_configured(node, shard)
            || leader::is_deposed(node, shard);
        if is_unwanted {
            return release(node, held).await;
        }
        let sent = Instant::now();
        let renewal = held.renewal();
        let answer = write(node, &renewal).await;
        let renewed =
            held.complete_renewal(renewal, answer, sent, Instant::now());
        let renewed = match (answer, renewed) {
            (WriteAnswer::Unclear, RenewOutcome::Held(held)) => {
                reconcile(node, shard, held).await
            }
            // A conflict may be our own renewal whose answer was lost.
            (WriteAnswer::Conflict, _) => match leader::lease(node, shard) {
                Some(held) => reconcile(node, shard, held).await,
                None => {
                    return Lease::new(
                        shard.clone(),
                        node.settings.lease.timing(),
                    );
                }
            },
            (_, renewed) => renewed,
        };
        match renewed {
            RenewOutcome::Held(held) => leader::set_lease(node, shard, held),
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
    node: &Rc<Node>,
    shard: &ShardId,
    held: Lease<Held>,
) -> RenewOutcome {
    match read(node, shard).await {
        Ok(stored) => held.reconcile(stored, Instant::now()),
        // The platform is out: nobody else can take the lease through it.
        Err(_) => RenewOutcome::Held(held),
    }
}

async fn release(node: &Rc<Node>, held: Lease<Held>) -> Lease<Watching> {
    let answer = write(node, &held.release()).await;
    info!("lease: {} was released: {answer:?}.", held.record().shard);
    held.into_watching(Instant::now())
}

fn is_configured(node: &Node, shard: &str) -> bool {
    node.view().config.shard_ids().iter().any(|id| id == shard)
}

/// Our place among the shard's candidates; none if we are not one.
fn rank(node: &Node, shard: &str) -> Option<usize> {
    if node.stage.get() == Stage::Leaving {
        return None;
    }
    let membership = node.membership.borrow();
    let view = node.view();
    let region = shard.split('.').next().unwrap_or("");
    let others = membership.candidates(node.id(), Instant::now());
    let in_region = |id: &str| {
        let zone = membership.zone_of(id);
        zone.is_some_and(|zone| view.config.region_of(zone) == region)
    };
    let mut ids: Vec<&str> =
        others.iter().copied().filter(|id| in_region(id)).collect();
    if view.config.region_of(&node.settings.zone) != region {
        if !ids.is_empty() {
            // A region's own instances lead its shards while there are any.
            return None;
        }
        ids = others;
    }
    ids.push(node.id());
    rendezvous::ranking(ids, shard)
        .into_iter()
        .take(CANDIDATES_LEN)
        .position(|id| id == node.id())
}

fn candidate(node: &Node) -> Candidate {
    Candidate {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation,
        peer_url: node.settings.peer_url(),
    }
}

async fn read(
    node: &Rc<Node>,
    shard: &str,
) -> Result<Option<StoredLease>, PlatformError> {
    let object = node.platform.get(&lease_key(shard)).await;
    node.note_platform(object.is_ok());
    let Some(object) = object? else { return Ok(None) };
    let record: LeaseRecord = serde_json::from_slice(&object.value)
        .map_err(|err| PlatformError::Unreadable(err.to_string()))?;
    Ok(Some(StoredLease { record, version: object.version }))
}

async fn write(node: &Rc<Node>, write: &LeaseWrite) -> WriteAnswer {
    let key = lease_key(&write.record.shard);
    let value = serde_json::to_vec(&write.record).unwrap_or_default();
    let answer = node.platform.put(&key, value, write.expected).await;
    node.note_platform(answer != WriteAnswer::Unclear);
    answer
}

/// Reads who leads a shard, for an entry that hears of no leader.
pub(crate) async fn look_up(node: &Rc<Node>, shard: &str) {
    if let Ok(stored) = read(node, shard).await {
        let record = stored.map(|stored| stored.record);
        note_seen(node, shard, record.as_ref());
    }
}

/// Takes in a lease record that a read showed.
fn note_seen(node: &Rc<Node>, shard: &str, record: Option<&LeaseRecord>) {
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
    learn_leader(node, shard, leader);
}

/// Takes in that somebody leads a shard, and turns to them if that is news.
pub(crate) fn learn_leader(node: &Rc<Node>, shard: &str, leader: Leader) {
    let detail =
        format!("{} leads in epoch {}", leader.instance, leader.epoch);
    if node.note_leader(shard, leader) {
        node.event(EventKind::Lease, None, shard, "", detail);
        entry::turn_to_leader(node, shard);
    }
}
