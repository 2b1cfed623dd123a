//! The lease on orders to engines, kept in the platform's store.
//!
//! The rules are those of [`sedgewall_coordination::lease`]; this module
//! applies them to the store. Engines that do not check epochs must receive
//! orders from one holder at a time, so a new holder gives no orders until the
//! last order of the previous holder is a whole turn old
//! ([`sedgewall_coordination::handover`]).

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_coordination::{
    handover::{
        HandoverDelay, LeaseTakeover, TakeoverContext, TakeoverDecision,
    },
    lease::{
        AcquireOutcome, Acquiring, AnnouncedLease, Candidate, Held, Lease,
        LeaseRecord, LeaseTiming, RenewOutcome, Watching, WriteAnswer,
    },
};
use sedgewall_fleet::{
    lease_era::{epoch_floor, era_of},
    note::Note,
    revision::StoreEra,
    store_reachability::ReportedOutage,
    store_reports::REPORT_VALID_FOR,
};
use sedgewall_state::id::Epoch;

use super::{
    instance::{FleetInstance, HeldLease, Stage},
    lease_store::{self, RenewalPath},
};

/// How long the lease holds after its last renewal. A slow store answers in
/// some 300 ms. When a holder dies, all loads stop for this long.
const TIME_TO_LIVE: Duration = Duration::from_millis(1_300);

/// The interval between renewals. Each renewal is a call to the store, which
/// is billed.
const RENEW_EVERY: Duration = Duration::from_millis(450);

/// How much longer than the time to live a challenger waits: monotonic clocks
/// agree to within a few per cent, and an order takes some milliseconds to
/// arrive.
const CHALLENGE_MARGIN: Duration = Duration::from_millis(250);

/// How much longer than a turn a new holder waits before its first order.
const TURN_MARGIN: Duration = Duration::from_millis(200);

/// The interval at which the instance of the first rank reads the record while
/// no lease holder is known.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The additional delay for each rank, before the first read of the record and
/// between reads. The first ranks take the lease, and calls to the store are
/// billed.
const DELAY_PER_RANK: Duration = Duration::from_millis(120);

/// How long the smallest instance waits before it takes a lease that was never
/// held. All instances start within some 300 ms of each other.
const SMALLEST_INSTANCE_DELAY: Duration = Duration::from_millis(2_000);

/// The maximum wait for the first list of the other instances. Without the
/// store, this instance could not take the lease either.
const PEERS_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an instance waits at the first start of the system, when all
/// instances write their entries, which are watched every 1.5 s.
const FIRST_START_DELAY: Duration = Duration::from_millis(2_500);

/// The maximum delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_secs(5);

/// The interval at which the holder checks whether a renewal is due.
const TICK: Duration = Duration::from_millis(50);

/// How long this instance's report that the store is out takes to reach the
/// holder.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// How long the holder waits after a failed renewal. Two more renewals fit
/// into the time to live, and failed calls are billed too.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long before the end of the grace period a stopping holder releases the
/// lease. The store may take 0.3 s to answer, and the process ends 0.7 s
/// before the grace period does. No instance gives orders for a turn after the
/// release, so the lease is released as late as possible.
const RELEASE_BEFORE_GRACE_END: Duration = Duration::from_millis(1_800);

/// How long other instances may renew the lease for a holder that cannot reach
/// the store. Such a holder learns of endpoints that left, but not of new
/// endpoints and new versions. Releasing the lease, however, stops all loads
/// for some 4 s.
const MAX_PEER_RENEWAL_TIME: Duration = Duration::from_secs(15);

/// How long a holder that reaches no engine keeps the lease. After a release
/// no instance gives orders for a turn.
const LOST_ENGINES_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Takes the lease when no instance holds it, and keeps it. Never returns.
pub(crate) async fn run(instance: Rc<FleetInstance>) {
    let turn =
        Duration::from_millis(instance.fleet.order_turn_ms) + TURN_MARGIN;
    let mut handover_delay = HandoverDelay::new(turn);
    wait_for_peers(&instance).await;
    let mut watching = new_lease();
    // The era that began while this instance held the lease. In that era it
    // is the last holder until a record of the era says otherwise.
    let mut held_into = None;
    loop {
        compio::time::sleep(POLL_INTERVAL).await;
        if !may_challenge(&instance) {
            continue;
        }
        compio::time::sleep(rank_delay(&instance)).await;
        if !may_challenge(&instance) {
            continue;
        }
        if let Some(taken) = take(&instance, watching, held_into).await {
            let kept = begin_holding(&instance, taken, &mut handover_delay);
            held_into = keep(&instance, kept).await;
        }
        watching = new_lease();
    }
}

/// Waits until the other instances are listed, which an instance needs to know
/// its rank.
///
/// All instances start at once, and an instance that knows no other ranks
/// itself first: without this wait, 195 instances read the record two or three
/// times each, at the full price.
async fn wait_for_peers(instance: &FleetInstance) {
    let began = Instant::now();
    while !instance.has_listed_instances.get()
        && began.elapsed() < PEERS_TIMEOUT
    {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    if !instance.fleet.has_run_before {
        // The other instances are still writing their entries.
        compio::time::sleep(FIRST_START_DELAY).await;
    }
}

/// Returns whether this instance is ready to hold the lease and knows of no
/// lease holder.
fn may_challenge(instance: &FleetInstance) -> bool {
    instance.stage.get() == Stage::Ready
        && instance.live_leader(Instant::now()).is_none()
        && !instance.others_reach_lost_engines()
}

/// Returns how long this instance waits for the instances that rank before it.
fn rank_delay(instance: &FleetInstance) -> Duration {
    let leader = instance.leader.borrow();
    let epoch = leader.as_ref().map_or(0, |leader| leader.epoch);
    let rank = u32::try_from(instance.rank(epoch)).unwrap_or(u32::MAX);
    DELAY_PER_RANK.saturating_mul(rank).min(MAX_RANK_DELAY)
}

fn new_lease() -> Lease<Watching> {
    let times = LeaseTiming {
        time_to_live: TIME_TO_LIVE,
        renew_every: RENEW_EVERY,
        margin: CHALLENGE_MARGIN,
    };
    Lease::new(lease_store::ORDERS_LEASE.to_owned(), times)
}

/// A lease that was just taken.
struct TakenLease {
    lease: Lease<Held>,
    /// The last holder's record, if it is known.
    last: Option<LeaseRecord>,
    /// The latest time at which the last holder's lease ended.
    ended: Instant,
    /// When the write was sent, from which the time to live counts.
    sent: Instant,
}

/// Watches the record and tries to take the lease once it is free. Gives up if
/// another instance turns out to hold it.
async fn take(
    instance: &FleetInstance,
    mut watching: Lease<Watching>,
    held_into: Option<StoreEra>,
) -> Option<TakenLease> {
    // The lease holder plans for all engines, so large instances are preferred
    // for a lease that was never held. If it was held before, a fast takeover
    // matters more.
    let size_delay = SMALLEST_INSTANCE_DELAY
        .mul_f64(1.0 - instance.fleet.cpu_share.min(1.0));
    let mut has_waited = false;
    let mut era = instance.store.era();
    loop {
        if !may_challenge(instance) {
            return None;
        }
        let stored = lease_store::read(instance).await.ok()?;
        if era < instance.store.era() {
            era = instance.store.era();
            // The numbers of versions start again in a new era.
            watching = new_lease();
        }
        let held_until_restore = held_into == Some(era);
        if stored.is_none()
            && !held_until_restore
            && !std::mem::replace(&mut has_waited, true)
        {
            compio::time::sleep(size_delay).await;
            continue;
        }
        let now = Instant::now();
        watching.observe(stored, now);
        let context = TakeoverContext {
            own: instance.id(),
            epoch_floor: epoch_floor(era),
            held_until_restore,
            is_first_era: !instance.fleet.has_run_before
                && !instance.has_seen_restore.get(),
        };
        let decision = TakeoverDecision::new(&watching, context, now);
        if let TakeoverDecision::Acquire { last, has_no_predecessor } =
            decision
        {
            let ended = match last {
                Some(_) => latest_expiry(instance, &watching, now),
                None => unknown_holders_expiry(instance, now),
            };
            let epoch_floor = context.epoch_floor;
            let candidate =
                candidate(instance, epoch_floor, has_no_predecessor);
            let acquiring = watching.acquire(&candidate, now);
            let lease = acquire(instance, acquiring).await?;
            return Some(TakenLease { lease, last, ended, sent: now });
        }
        compio::time::sleep(POLL_INTERVAL + rank_delay(instance)).await;
    }
}

/// Returns when the lease that is now free ended. A released lease ended just
/// before the release was seen.
fn latest_expiry(
    instance: &FleetInstance,
    watching: &Lease<Watching>,
    now: Instant,
) -> Instant {
    let is_released = watching.seen().is_some_and(|seen| seen.is_released);
    if is_released {
        return now;
    }
    let leader = instance.leader.borrow();
    let noted = leader.as_ref().map(|leader| leader.noted);
    // A holder keeps its lease while all instances, this one included, report
    // that the store is out, so the end of the lease that it reported before
    // that does not count. Waiting by the record alone, for 30 s after an
    // outage, left 2 s more without orders.
    let reachability = instance.store_reachability.borrow();
    let noted =
        match reachability.reported_outage(REPORT_VALID_FOR + REPORT_DELAY) {
            ReportedOutage::Never => noted,
            ReportedOutage::Until(end) => noted.map(|noted| AnnouncedLease {
                expires_by: noted.expires_by.max(end),
                ..noted
            }),
            ReportedOutage::Ongoing => None,
        };
    watching.latest_expiry(noted).unwrap_or(now)
}

/// Returns when the lease of a holder whose record is lost has ended: such a
/// holder loses it with its next renewal, but may go on for as long as other
/// instances report that the store is out.
fn unknown_holders_expiry(instance: &FleetInstance, now: Instant) -> Instant {
    let reports_valid_for = REPORT_VALID_FOR + REPORT_DELAY;
    let reachability = instance.store_reachability.borrow();
    let reported_until = match reachability.reported_outage(reports_valid_for)
    {
        ReportedOutage::Never => now,
        ReportedOutage::Until(end) => end,
        ReportedOutage::Ongoing => now + reports_valid_for,
    };
    reported_until.max(now + TIME_TO_LIVE)
}

async fn acquire(
    instance: &FleetInstance,
    acquiring: Lease<Acquiring>,
) -> Option<Lease<Held>> {
    let answer = lease_store::write(instance, acquiring.write()).await;
    match acquiring.complete_acquire(answer, Instant::now()) {
        AcquireOutcome::Held(held) => Some(held),
        AcquireOutcome::Lost(_) => None,
        AcquireOutcome::Unclear(acquiring) => {
            let stored = lease_store::read(instance).await.ok()?;
            match acquiring.resolve(stored, Instant::now()) {
                AcquireOutcome::Held(held) => Some(held),
                AcquireOutcome::Lost(_) | AcquireOutcome::Unclear(_) => None,
            }
        }
    }
}

/// A lease that this instance holds and keeps renewing.
struct KeptLease {
    lease: Lease<Held>,
    /// When the last renewal that the store confirmed was sent.
    renewed: Instant,
    /// The earliest time for orders. Before it, engines may still receive
    /// orders of the previous holder.
    order_from: Instant,
    /// When the renewal that the store has yet to confirm was first sent.
    renewal_sent: Option<Instant>,
    /// Since when other instances send the renewals for this one.
    renewed_by_peers_since: Option<Instant>,
    /// Since when another instance may be able to acquire the lease, so that
    /// this one gives no orders.
    lapsed_at: Option<Instant>,
    /// Whether the lease has expired and goes on because no instance can
    /// acquire it.
    is_extended: bool,
}

/// Renews the lease until it is lost or this instance leaves. Returns the
/// store's new era if the lease was current until a restore ended it, and the
/// handover delay had passed.
async fn keep(
    instance: &FleetInstance,
    mut kept: KeptLease,
) -> Option<StoreEra> {
    loop {
        let now = Instant::now();
        if now >= kept.order_from {
            kept.lease.complete_handover();
        }
        let is_renewed = kept.lease.is_current(now);
        let is_current =
            is_renewed || instance.no_instance_can_acquire_lease(now);
        let is_extended = is_current && !is_renewed;
        if is_extended != std::mem::replace(&mut kept.is_extended, is_extended)
        {
            log_extension(instance, &kept, now);
        }
        if is_current {
            hold(instance, &mut kept);
        } else if is_given_up(instance, &mut kept, now) {
            return None;
        }
        let is_peer_renewal_over = kept
            .renewed_by_peers_since
            .is_some_and(|since| now - since >= MAX_PEER_RENEWAL_TIME);
        if is_peer_renewal_over
            || must_release(instance, now)
            || has_lost_engines(instance, now)
        {
            release(instance, &kept.lease).await;
            return None;
        }
        if !kept.lease.is_renewal_due(now) {
            compio::time::sleep(TICK).await;
            continue;
        }
        let (epoch, order_from) = (kept.lease.epoch(), kept.order_from);
        let Some(renewed) = renew(instance, kept).await else {
            instance.held.set(None);
            // No other instance can have acquired the lease in the era in
            // which it was current until now.
            let era = instance.store.era();
            let ended_by_restore = era_of(epoch) < era;
            tracing::warn!(event = "lease_lost", epoch, ended_by_restore);
            let is_past_handover = now >= order_from;
            return (ended_by_restore && is_past_handover).then_some(era);
        };
        kept = renewed;
    }
}

/// Logs that the lease goes on although it has expired, or no longer does, and
/// the reports of the other instances that this is based on.
fn log_extension(instance: &FleetInstance, kept: &KeptLease, now: Instant) {
    let peers = instance.peers.borrow();
    let reports = instance.store_reports.borrow();
    let counts = reports.counts(peers.keys(), now);
    tracing::info!(
        event = "lease_extended",
        epoch = kept.lease.epoch(),
        is_extended = kept.is_extended,
        store_is_out = counts.store_is_out,
        leaving = counts.leaving,
        reaching_store = counts.reaching_store,
        unheard = counts.unheard,
        oldest_report_ms = counts.oldest_report.as_millis() as u64,
    );
}

/// Records that this instance holds the lease.
fn hold(instance: &FleetInstance, kept: &mut KeptLease) {
    let epoch = kept.lease.epoch();
    if kept.lapsed_at.take().is_some() {
        tracing::info!(event = "lease_regained", epoch);
    }
    let before = instance.held.replace(Some(HeldLease {
        epoch,
        renewal: kept.lease.record().renewal,
        current_until: kept.renewed + TIME_TO_LIVE,
        order_from: kept.order_from,
    }));
    if before.is_none() {
        // The other instances can only ask for adapters once they know the
        // holder.
        instance.notify_notes();
    }
}

/// Records that the lease has lapsed, and returns whether to stop renewing it.
///
/// A lapsed lease can be renewed until another instance acquires it, which
/// takes that instance a whole time to live from when it reaches the store.
/// After an outage, another instance often reaches the store before the
/// holder does.
fn is_given_up(
    instance: &FleetInstance,
    kept: &mut KeptLease,
    now: Instant,
) -> bool {
    instance.held.set(None);
    let lapsed_at = *kept.lapsed_at.get_or_insert_with(|| {
        let epoch = kept.lease.epoch();
        tracing::warn!(event = "lease_lapsed", epoch);
        now
    });
    let is_given_up = now - lapsed_at >= TIME_TO_LIVE + CHALLENGE_MARGIN;
    if is_given_up {
        tracing::info!(event = "lease_given_up", epoch = kept.lease.epoch());
    }
    is_given_up
}

/// Returns whether this instance stops so soon that it must release the lease.
/// No instance gives orders for a turn after a release, so it is done once and
/// late: instances that are stopped one after the other would otherwise pass
/// the lease on each time.
fn must_release(instance: &FleetInstance, now: Instant) -> bool {
    let Some(since) = instance.leaving_since.get() else { return false };
    let grace = Duration::from_secs_f64(instance.fleet.grace_s);
    now - since >= grace.saturating_sub(RELEASE_BEFORE_GRACE_END)
}

/// Returns whether this instance has reached no engine of a service for a
/// while, so that it can give no orders, and another instance does.
fn has_lost_engines(instance: &FleetInstance, now: Instant) -> bool {
    let reach = instance.reach.borrow();
    let lost = instance.engine_services();
    let lost = lost.iter().filter_map(|service| reach.lost_since(service));
    lost.min().is_some_and(|since| now - since >= LOST_ENGINES_TIMEOUT)
        && instance.others_reach_lost_engines()
}

fn begin_holding(
    instance: &FleetInstance,
    taken: TakenLease,
    handover_delay: &mut HandoverDelay,
) -> KeptLease {
    let now = Instant::now();
    let takeover = LeaseTakeover {
        taken: taken.lease.record(),
        before: taken.last.as_ref(),
        ended: taken.ended,
    };
    let order_from = handover_delay.record_takeover(takeover, now);
    tracing::info!(
        event = "lease_taken",
        epoch = taken.lease.epoch(),
        before = taken.last.map(|record| record.holder),
        rank = instance.rank(taken.lease.epoch() - 1),
        orders_in_ms =
            order_from.saturating_duration_since(now).as_millis() as u64,
    );
    KeptLease {
        lease: taken.lease,
        renewed: taken.sent,
        order_from,
        renewal_sent: None,
        renewed_by_peers_since: None,
        lapsed_at: None,
        is_extended: false,
    }
}

async fn release(instance: &FleetInstance, lease: &Lease<Held>) {
    instance.held.set(None);
    let (answer, _) = lease_store::renew(instance, &lease.release()).await;
    let epoch = lease.epoch();
    tracing::info!(event = "lease_released", epoch, answer = ?answer);
}

/// Renews the lease once, directly or through another instance. Returns none
/// if another instance has taken the lease.
///
/// A renewal without an answer is repeated unchanged and counts from its first
/// send, because the store may have applied that one.
async fn renew(
    instance: &FleetInstance,
    kept: KeptLease,
) -> Option<KeptLease> {
    let KeptLease { lease, renewal_sent, renewed_by_peers_since, .. } = kept;
    let renewal = lease.renewal();
    let first_sent = renewal_sent.unwrap_or_else(Instant::now);
    let (answer, path) = lease_store::renew(instance, &renewal).await;
    let RenewOutcome::Held(lease) =
        lease.complete_renewal(renewal, answer, first_sent, Instant::now())
    else {
        return None;
    };
    if matches!(answer, WriteAnswer::Done(_)) {
        let renewed_by_peers_since = match path {
            RenewalPath::Direct => None,
            RenewalPath::Peer => renewed_by_peers_since.or(Some(first_sent)),
        };
        return Some(KeptLease {
            lease,
            renewed: first_sent,
            renewal_sent: None,
            renewed_by_peers_since,
            ..kept
        });
    }
    // Makes all instances check whether the store answers them: while the
    // store answers no instance, none can take the lease.
    instance.broadcast_queue.borrow_mut().push(Note::ProbeStore);
    instance.notify_notes();
    compio::time::sleep(RENEWAL_RETRY_PAUSE).await;
    Some(KeptLease { lease, renewal_sent: Some(first_sent), ..kept })
}

fn candidate(
    instance: &FleetInstance,
    epoch_floor: Epoch,
    has_no_predecessor: bool,
) -> Candidate {
    Candidate {
        instance: instance.id().clone(),
        incarnation: instance.incarnation,
        peer_url: instance.settings.peer_listen.to_string(),
        epoch_floor,
        has_no_predecessor,
    }
}
