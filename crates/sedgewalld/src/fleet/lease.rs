//! The lease on orders to engines, kept in the platform's store.
//!
//! The rules are those of [`sedgewall_coordination::lease`]; here they meet
//! the store. Engines that do not check epochs must hear one holder at a time,
//! so a new holder waits until the last order of the one before is a whole
//! turn old ([`sedgewall_coordination::turn`]).

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use sedgewall_coordination::{
    lease::{
        Acquired, Acquiring, Candidate, Held, Lease, LeaseRecord, LeaseTimes,
        LeaseWrite, Renewed, StoredLease, Watching, WriteAnswer,
    },
    turn::{Takeover, Turns},
};
use sedgewall_fleet::note::Note;
use sedgewall_platform::{StoreError, store::StoredObject};
use serde::Deserialize;

use super::node::{FleetNode, HeldLease, Stage};

/// The kind of leases in the store.
const LEASES_KIND: &str = "sedgewall-leases";

/// The name of the lease on orders.
const ORDERS_LEASE: &str = "orders";

/// How long the lease holds after its last renewal. A slow store answers in
/// some 300 ms; a holder that dies stops all loads for this long.
const TIME_TO_LIVE: Duration = Duration::from_millis(1_300);

/// How often it is renewed. Each renewal is a priced call.
const RENEW_EVERY: Duration = Duration::from_millis(450);

/// What a challenger waits beyond the time to live: steady clocks agree to
/// within a few per cent, and an order travels for some milliseconds.
const MARGIN: Duration = Duration::from_millis(250);

/// What a new holder waits beyond the turn between two holders.
const TURN_MARGIN: Duration = Duration::from_millis(200);

/// How often the first in rank looks at the record when it hears no holder.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// What each rank waits longer, before its first look and between two: the
/// first ones take the lease, and calls to the store have a price.
const RANK_WAITS: Duration = Duration::from_millis(120);

/// What the smallest instance waits before it takes a lease that nobody ever
/// held. All start within some 300 ms.
const SMALLEST_WAITS: Duration = Duration::from_millis(2_000);

/// The longest that an instance waits for those of a higher rank.
const LONGEST_RANK_WAIT: Duration = Duration::from_secs(5);

/// How often the holder looks whether a renewal is due.
const TICK: Duration = Duration::from_millis(50);

/// After the store was regained, what a holder said of its lease before is not
/// used for this long.
const OUTAGE_MARKS: Duration = Duration::from_secs(30);

/// What the holder waits after a renewal failed: two more fit into the time to
/// live, and calls that fail have a price too.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// What is left of a planned stop when the holder gives the lease up: the
/// store may take 0.3 s to answer, and the stop ends 0.7 s before its time.
/// Ordering on until then brought +0.007 +- 0.005 of worth (17 days).
const HAND_OVER: Duration = Duration::from_millis(1_800);

/// Takes the lease when nobody holds it, and keeps it, for ever.
pub(crate) async fn run(node: Rc<FleetNode>) {
    let turn = Duration::from_millis(node.fleet.order_turn_ms) + TURN_MARGIN;
    let mut turns = Turns::new(turn);
    let mut watching = new_lease();
    loop {
        compio::time::sleep(LOOK_EVERY).await;
        if !may_challenge(&node) {
            continue;
        }
        compio::time::sleep(rank_wait(&node)).await;
        if !may_challenge(&node) {
            continue;
        }
        if let Some(taken) = take(&node, watching).await {
            let kept = begin(&node, taken, &mut turns);
            keep(&node, kept).await;
        }
        watching = new_lease();
    }
}

/// Returns whether this instance takes requests and hears no holder.
fn may_challenge(node: &FleetNode) -> bool {
    node.stage.get() == Stage::Ready
        && node.live_leader(Instant::now()).is_none()
}

/// Returns what this instance waits for those of a higher rank.
fn rank_wait(node: &FleetNode) -> Duration {
    let leader = node.leader.borrow();
    let epoch = leader.as_ref().map_or(0, |leader| leader.epoch);
    let rank = u32::try_from(node.rank(epoch)).unwrap_or(u32::MAX);
    RANK_WAITS.saturating_mul(rank).min(LONGEST_RANK_WAIT)
}

fn new_lease() -> Lease<Watching> {
    let times = LeaseTimes {
        time_to_live: TIME_TO_LIVE,
        renew_every: RENEW_EVERY,
        margin: MARGIN,
    };
    Lease::new(ORDERS_LEASE.to_owned(), times)
}

/// A lease that was just taken.
struct Taken {
    lease: Lease<Held>,
    /// The record that stood there before.
    before: Option<LeaseRecord>,
    /// When that one's lease had ended, at the latest.
    ended: Instant,
    /// When the write was sent, from which the time to live counts.
    sent: Instant,
}

/// Watches the record until it is free or somebody is heard to hold it, and
/// tries to take it.
async fn take(
    node: &FleetNode,
    mut watching: Lease<Watching>,
) -> Option<Taken> {
    // Whoever holds the lease decides for all engines: a large instance takes
    // it first. Where somebody held it before, every moment counts more.
    let handicap = SMALLEST_WAITS.mul_f64(1.0 - node.fleet.cpu_share.min(1.0));
    let mut has_waited = false;
    loop {
        if !may_challenge(node) {
            return None;
        }
        let stored = read(node).await.ok()?;
        if stored.is_none() && !std::mem::replace(&mut has_waited, true) {
            compio::time::sleep(handicap).await;
            continue;
        }
        let now = Instant::now();
        watching.observe(stored, now);
        let before = watching.seen().cloned();
        let is_own =
            before.as_ref().is_some_and(|record| record.holder == *node.id());
        if is_own || watching.is_free(now) {
            let ended = ended_by(node, &watching, now);
            let acquiring = watching.acquire(&candidate(node), now);
            let lease = acquire(node, acquiring).await?;
            return Some(Taken { lease, before, ended, sent: now });
        }
        compio::time::sleep(LOOK_EVERY + rank_wait(node)).await;
    }
}

/// Returns when the lease that is free now had ended. One that was given up
/// ended just before we saw so.
fn ended_by(
    node: &FleetNode,
    watching: &Lease<Watching>,
    now: Instant,
) -> Instant {
    let is_released = watching.seen().is_some_and(|seen| seen.is_released);
    if is_released {
        return now;
    }
    // A holder may go on while all say that the store is out, we among them:
    // then what it said before that has not ended its lease.
    let contact = node.store_contact.borrow();
    let was_out = contact.was_out_within(OUTAGE_MARKS, now);
    let noted = node.leader.borrow().as_ref().map(|leader| leader.noted);
    watching.ended_by(noted.filter(|_| !was_out)).unwrap_or(now)
}

async fn acquire(
    node: &FleetNode,
    acquiring: Lease<Acquiring>,
) -> Option<Lease<Held>> {
    let answer = write(node, acquiring.write()).await;
    match acquiring.answer(answer, Instant::now()) {
        Acquired::Held(held) => Some(held),
        Acquired::Lost(_) => None,
        Acquired::Unclear(acquiring) => {
            let stored = read(node).await.ok()?;
            match acquiring.settle(stored, Instant::now()) {
                Acquired::Held(held) => Some(held),
                Acquired::Lost(_) | Acquired::Unclear(_) => None,
            }
        }
    }
}

/// A lease that we keep.
struct Kept {
    lease: Lease<Held>,
    /// When the last renewal was sent that the store answered.
    renewed: Instant,
    /// Before that, engines may still hear the holder before us.
    order_from: Instant,
}

/// Renews the lease until it is lost or this instance leaves.
async fn keep(node: &FleetNode, mut kept: Kept) {
    loop {
        let now = Instant::now();
        if now >= kept.order_from {
            kept.lease.end_turn();
        }
        let is_current =
            kept.lease.is_current(now) || node.nobody_reaches_store(now);
        if !is_current {
            node.held.set(None);
            let epoch = kept.lease.epoch();
            tracing::warn!(event = "lease_lapsed", epoch);
            return;
        }
        let before = node.held.replace(Some(HeldLease {
            epoch: kept.lease.epoch(),
            renewal: kept.lease.record().renewal,
            current_until: kept.renewed + TIME_TO_LIVE,
            order_from: kept.order_from,
        }));
        if before.is_none() {
            // The others must hear of it before they can ask for anything.
            node.ring_notes();
        }
        if must_hand_over(node, now) {
            return release(node, &kept.lease).await;
        }
        if !kept.lease.is_renewal_due(now) {
            compio::time::sleep(TICK).await;
            continue;
        }
        let Some(renewed) = renew(node, kept).await else {
            node.held.set(None);
            tracing::warn!(event = "lease_lost");
            return;
        };
        kept = renewed;
    }
}

/// Returns whether this instance stops so soon that another must take the
/// lease. Nobody gives orders for a turn after that, so it is done once and late:
/// instances that stop one after the other would pass it on each time.
fn must_hand_over(node: &FleetNode, now: Instant) -> bool {
    let Some(since) = node.leaving_since.get() else { return false };
    let grace = Duration::from_secs_f64(node.fleet.grace_s);
    now - since >= grace.saturating_sub(HAND_OVER)
}

fn begin(node: &FleetNode, taken: Taken, turns: &mut Turns) -> Kept {
    let now = Instant::now();
    let takeover = Takeover {
        taken: taken.lease.record(),
        before: taken.before.as_ref(),
        ended: taken.ended,
    };
    let order_from = turns.begin(takeover, now);
    tracing::info!(
        event = "lease_taken",
        epoch = taken.lease.epoch(),
        before = taken.before.map(|record| record.holder),
        rank = node.rank(taken.lease.epoch() - 1),
        orders_in_ms =
            order_from.saturating_duration_since(now).as_millis() as u64,
    );
    Kept { lease: taken.lease, renewed: taken.sent, order_from }
}

async fn release(node: &FleetNode, lease: &Lease<Held>) {
    node.held.set(None);
    let answer = write(node, &lease.release()).await;
    let epoch = lease.epoch();
    tracing::info!(event = "lease_released", epoch, answer = ?answer);
}

/// Renews the lease once. An answer that was lost leaves the time of the last
/// renewal as it is; returns nothing if somebody else has the lease.
async fn renew(node: &FleetNode, kept: Kept) -> Option<Kept> {
    let Kept { lease, renewed, order_from } = kept;
    let renewal = lease.renewal();
    let sent = Instant::now();
    let answer = write(node, &renewal).await;
    let is_done = matches!(answer, WriteAnswer::Done(_));
    let Renewed::Held(lease) =
        lease.renewed(renewal, answer, sent, Instant::now())
    else {
        return None;
    };
    if is_done {
        return Some(Kept { lease, renewed: sent, order_from });
    }
    node.outbox.borrow_mut().push(Note::StoreFails);
    node.ring_notes();
    let Ok(stored) = read(node).await else {
        compio::time::sleep(FAILED_PAUSE).await;
        return Some(Kept { lease, renewed, order_from });
    };
    match lease.reconcile(stored, Instant::now()) {
        Renewed::Held(lease) => Some(Kept { lease, renewed, order_from }),
        Renewed::Lost(_) => None,
    }
}

fn candidate(node: &FleetNode) -> Candidate {
    Candidate {
        instance: node.id().clone(),
        incarnation: node.incarnation,
        peer_url: node.settings.peer_listen.to_string(),
    }
}

async fn read(node: &FleetNode) -> Result<Option<StoredLease>, StoreError> {
    let sent = Instant::now();
    let read = node.store.get(LEASES_KIND, ORDERS_LEASE).await;
    // The holder counts on our word: who can read the record can take it.
    match &read {
        Ok(_) => node.store_reached(),
        Err(err) => node.store_failed(sent, err),
    }
    Ok(read?.and_then(|object| decode(&object)))
}

fn decode(object: &StoredObject) -> Option<StoredLease> {
    match LeaseRecord::deserialize(&object.spec) {
        Ok(record) => Some(StoredLease { record, version: object.revision }),
        Err(err) => {
            tracing::error!(event = "lease_unreadable", cause = %err);
            None
        }
    }
}

async fn write(node: &FleetNode, write: &LeaseWrite) -> WriteAnswer {
    let spec = match serde_json::to_value(&write.record) {
        Ok(spec) => spec,
        Err(err) => {
            tracing::error!(event = "lease_not_encoded", cause = %err);
            return WriteAnswer::Unclear;
        }
    };
    let (kind, name) = (LEASES_KIND, ORDERS_LEASE);
    let written = match write.expected {
        Some(revision) => {
            node.store.replace(kind, name, revision, &spec).await
        }
        None => node.store.create(kind, name, &spec).await,
    };
    match written {
        Ok(object) => WriteAnswer::Done(object.revision),
        Err(StoreError::Conflict(_) | StoreError::Missing) => {
            WriteAnswer::Conflict
        }
        Err(_) => WriteAnswer::Unclear,
    }
}
