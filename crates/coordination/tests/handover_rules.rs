//! The handover delay under expiries, restarts, freezes, lost responses and
//! takeovers: no two instances send orders within one handover delay.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    handover::{HandoverDelay, LeaseTakeover},
    lease::{
        AcquireOutcome, Candidate, Held, Lease, LeaseRecord, LeaseTiming,
        LeaseWrite, RenewOutcome, StoredLease, Watching, WriteAnswer,
    },
};

const INSTANCES: usize = 3;

/// Longer than the lease's time to live, so that the lease can expire before
/// the holder's first order.
const HANDOVER_DELAY: Duration = Duration::from_millis(3_200);

const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_millis(1_300),
    renew_every: Duration::from_millis(450),
    margin: Duration::from_millis(250),
};

/// A model of the store with a single object. Writes with an unknown outcome
/// may take effect later.
#[derive(Default)]
struct Store {
    stored: Option<StoredLease>,
    late: Vec<LeaseWrite>,
}

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> WriteAnswer {
        let current = self.stored.as_ref().map(|stored| stored.version);
        if current != write.expected {
            return WriteAnswer::Conflict;
        }
        let version = current.unwrap_or(0) + 1;
        self.stored =
            Some(StoredLease { record: write.record.clone(), version });
        WriteAnswer::Done(version)
    }

    fn send(&mut self, write: &LeaseWrite, fault: Fault) -> WriteAnswer {
        match fault {
            Fault::None => self.write(write),
            Fault::AnswerLost => {
                self.write(write);
                WriteAnswer::Unclear
            }
            Fault::Delayed => {
                self.late.push(write.clone());
                WriteAnswer::Unclear
            }
            Fault::Unreachable => WriteAnswer::Unclear,
        }
    }

    fn apply_late_writes(&mut self) {
        for write in std::mem::take(&mut self.late) {
            self.write(&write);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    AnswerLost,
    Delayed,
    Unreachable,
}

#[derive(Clone, Debug)]
enum Step {
    /// An instance acquires the lease, or renews the one that it holds.
    Act(usize, Fault),
    /// An instance sends an order if it is allowed to.
    Order(usize),
    /// Time passes for all instances; those that do not act are frozen.
    AdvanceClock(u64),
    /// An instance is killed and restarts under a new incarnation.
    Restart(usize),
    /// An instance releases the lease.
    Release(usize),
    /// Delayed writes take effect.
    LateWrites,
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        12 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Delayed),
        1 => Just(Fault::Unreachable),
    ];
    prop_oneof![
        10 => (0..INSTANCES, fault).prop_map(|(instance, f)| Step::Act(instance, f)),
        8 => (0..INSTANCES).prop_map(Step::Order),
        8 => (1u64..900).prop_map(Step::AdvanceClock),
        1 => (0..INSTANCES).prop_map(Step::Restart),
        1 => (0..INSTANCES).prop_map(Step::Release),
        1 => Just(Step::LateWrites),
    ]
}

/// An instance that competes for the lease on orders.
struct LeaseClient {
    candidate: Candidate,
    handover_delay: HandoverDelay,
    watching: Lease<Watching>,
    held: Option<(Lease<Held>, Instant)>,
}

fn new_lease() -> Lease<Watching> {
    Lease::new("orders".to_owned(), TIMING)
}

impl LeaseClient {
    fn start(idx: usize, incarnation: u64) -> LeaseClient {
        let candidate = Candidate {
            instance: format!("i{idx}"),
            incarnation,
            peer_url: String::new(),
        };
        let handover_delay = HandoverDelay::new(HANDOVER_DELAY);
        LeaseClient {
            candidate,
            handover_delay,
            watching: new_lease(),
            held: None,
        }
    }

    fn act(&mut self, store: &mut Store, fault: Fault, now: Instant) {
        match self.held.take() {
            Some((lease, from)) if lease.is_current(now) => {
                self.renew(lease, from, store, fault, now);
            }
            Some(_) => self.watching = new_lease(),
            None if fault == Fault::Unreachable => {}
            None => self.try_acquire(store, fault, now),
        }
    }

    fn try_acquire(&mut self, store: &mut Store, fault: Fault, now: Instant) {
        self.watching.observe(store.stored.clone(), now);
        let before = self.watching.seen().cloned();
        let own = &self.candidate.instance;
        let is_own = before.as_ref().is_some_and(|b| b.holder == *own);
        if !is_own && !self.watching.is_free(now) {
            return;
        }
        let is_released = before.as_ref().is_some_and(|b| b.is_released);
        let ended = match is_released {
            true => now,
            false => self.watching.latest_expiry(None).unwrap_or(now),
        };
        let watching = std::mem::replace(&mut self.watching, new_lease());
        let acquiring = watching.acquire(&self.candidate, now);
        let answer = store.send(acquiring.write(), fault);
        let acquired = match acquiring.complete_acquire(answer, now) {
            AcquireOutcome::Unclear(acquiring) => {
                acquiring.resolve(store.stored.clone(), now)
            }
            acquired => acquired,
        };
        if let AcquireOutcome::Held(lease) = acquired {
            self.begin(lease, before.as_ref(), ended, now);
        }
    }

    fn begin(
        &mut self,
        lease: Lease<Held>,
        before: Option<&LeaseRecord>,
        ended: Instant,
        now: Instant,
    ) {
        let takeover = LeaseTakeover { taken: lease.record(), before, ended };
        let from = self.handover_delay.record_takeover(takeover, now);
        self.held = Some((lease, from));
    }

    fn renew(
        &mut self,
        mut lease: Lease<Held>,
        from: Instant,
        store: &mut Store,
        fault: Fault,
        now: Instant,
    ) {
        if now >= from {
            lease.complete_handover();
        }
        let write = lease.renewal();
        let answer = store.send(&write, fault);
        let renewed = match lease.complete_renewal(write, answer, now, now) {
            RenewOutcome::Held(lease)
                if answer == WriteAnswer::Unclear
                    && fault != Fault::Unreachable =>
            {
                lease.reconcile(store.stored.clone(), now)
            }
            renewed => renewed,
        };
        match renewed {
            RenewOutcome::Held(lease) => self.held = Some((lease, from)),
            RenewOutcome::Lost(watching) => self.watching = watching,
        }
    }

    fn may_order(&self, now: Instant) -> bool {
        self.held
            .as_ref()
            .is_some_and(|(lease, from)| lease.is_current(now) && now >= *from)
    }

    fn release(&mut self, store: &mut Store) {
        if let Some((lease, _)) = self.held.take() {
            store.write(&lease.release());
            self.watching = new_lease();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn no_two_instances_order_within_a_handover_delay(
        steps in prop::collection::vec(step(), 1..300)
    ) {
        let mut now = Instant::now();
        let mut store = Store::default();
        let mut instances: Vec<LeaseClient> =
            (0..INSTANCES).map(|n| LeaseClient::start(n, n as u64)).collect();
        let mut last_incarnation = INSTANCES as u64;
        let mut last: Option<(usize, Instant)> = None;
        for step in steps {
            match step {
                Step::Act(instance, fault) => {
                    instances[instance].act(&mut store, fault, now);
                }
                Step::Order(instance) if instances[instance].may_order(now) => {
                    if let Some((other, at)) = last && other != instance {
                        prop_assert!(
                            now - at >= HANDOVER_DELAY,
                            "i{} ordered {:?} after i{}",
                            instance, now - at, other,
                        );
                    }
                    last = Some((instance, now));
                }
                Step::Order(_) => {}
                Step::AdvanceClock(ms) => now += Duration::from_millis(ms),
                Step::Restart(instance) => {
                    last_incarnation += 1;
                    instances[instance] = LeaseClient::start(instance, last_incarnation);
                }
                Step::Release(instance) => instances[instance].release(&mut store),
                Step::LateWrites => store.apply_late_writes(),
            }
        }
    }
}

/// Returns the store, the second of two instances, and the time at which the
/// second instance acquired the expired lease of the first one. The first
/// instance may send orders from the start of its lease.
fn taken_over() -> (Store, LeaseClient, Instant) {
    let start = Instant::now();
    let mut store = Store::default();
    let mut first = LeaseClient::start(1, 1);
    first.act(&mut store, Fault::None, start);
    assert!(first.may_order(start));
    let mut second = LeaseClient::start(2, 2);
    second.act(&mut store, Fault::None, start);
    let expired_at = start + TIMING.time_to_live + TIMING.margin;
    second.act(&mut store, Fault::None, expired_at);
    assert!(second.held.is_some() && !second.may_order(expired_at));
    (store, second, expired_at)
}

/// Guards against orders of two holders within one handover delay when the new
/// holder is killed right after the takeover and restarts: it finds its own
/// record, but the process that knew of the pending delay is gone.
#[test]
fn the_handover_delay_survives_a_restart_of_the_holder() {
    let (mut store, _, taken_at) = taken_over();
    let mut restarted = LeaseClient::start(2, 3);
    let restarted_at = taken_at + Duration::from_millis(300);
    restarted.act(&mut store, Fault::None, restarted_at);
    assert!(restarted.held.is_some() && !restarted.may_order(restarted_at));
    let mut now = restarted_at;
    while now < restarted_at + HANDOVER_DELAY {
        assert!(!restarted.may_order(now));
        restarted.act(&mut store, Fault::None, now);
        now += TIMING.renew_every;
    }
    restarted.act(&mut store, Fault::None, now);
    assert!(restarted.may_order(now));
}

/// A holder that has sent orders remains the same holder after its restart, so
/// that another delay would only hold up loads.
#[test]
fn a_holder_past_its_handover_delay_orders_at_once_after_a_restart() {
    let (mut store, mut second, taken_at) = taken_over();
    let mut now = taken_at;
    while !second.may_order(now) {
        now += TIMING.renew_every;
        second.act(&mut store, Fault::None, now);
    }
    second.act(&mut store, Fault::None, now);
    let mut restarted = LeaseClient::start(2, 3);
    restarted.act(&mut store, Fault::None, now);
    assert!(restarted.may_order(now));
}

/// A process that lets its lease expire and acquires it again waits only for
/// the rest of the handover delay.
#[test]
fn reacquiring_an_expired_lease_keeps_the_handover_deadline() {
    let (mut store, mut second, taken_at) = taken_over();
    let (_, first_order_at) =
        *second.held.as_ref().expect("the second instance holds the lease");
    let expired_at = taken_at + TIMING.time_to_live;
    second.act(&mut store, Fault::None, expired_at);
    assert!(second.held.is_none());
    second.act(&mut store, Fault::None, expired_at);
    let (_, reacquired_order_at) =
        *second.held.as_ref().expect("the second instance holds the lease");
    assert_eq!(reacquired_order_at, first_order_at);
}
