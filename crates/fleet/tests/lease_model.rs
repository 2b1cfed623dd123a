//! A model in virtual time of the lease on orders: instances that report to
//! each other, a store, an engine that checks no epochs, and orders on their
//! way. Instances are cut off from the store, from each other and from the
//! engine, killed, stopped and paused, in any combination.
//!
//! The invariants, for the orders that the engine carries out: those of two
//! holders are at least [`MIN_TURN`] apart, except for orders that are late or
//! arrive as a cut ends; an epoch has one holder; and epochs never fall.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    handover::{
        HandoverDelay, LeaseTakeover, TakeoverContext, TakeoverDecision,
    },
    lease::{
        AcquireOutcome, Candidate, Held, Lease, LeaseTiming, LeaseWrite,
        RenewOutcome, StoredLease, Watching, WriteAnswer,
    },
};
use sedgewall_fleet::{
    adapter::AdapterKey,
    order::Task,
    order_count::{OrderCount, OrderResult},
    store_reports::StoreReports,
};

const INSTANCES: usize = 4;

/// The least time between orders of two holders.
const MIN_TURN: Duration = Duration::from_millis(3_000);

const HANDOVER_DELAY: Duration = Duration::from_millis(3_200);

const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_millis(1_300),
    renew_every: Duration::from_millis(450),
    margin: Duration::from_millis(250),
};

/// The time that must be left of the lease when an order is sent.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// The interval of reports to the other instances.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// How long a stopping process runs after the signal.
const STOP_TIME: Duration = Duration::from_millis(2_000);

/// The interval between two orders of a holder.
const ORDER_INTERVAL: Duration = Duration::from_millis(2_000);

/// How long an unanswered order is waited for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// How much later than the end of a cut held bytes arrive at most.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(900);

/// How long the engine keeps an order that it leaves unanswered.
const LATE_BY: Duration = Duration::from_millis(6_000);

const TICK: Duration = Duration::from_millis(50);

/// What closing a connection does to bytes that have not left the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Close {
    /// They are delivered once the network lets them through.
    Orderly,
    /// They are discarded.
    Reset,
}

/// The order that an instance sends first in each epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstOrder {
    /// The load of a model that the engine holds already.
    HeldModel,
    /// The removal of an adapter that the engine holds.
    Removal,
}

/// The rules under test.
#[derive(Clone, Copy, Debug)]
struct Rules {
    close: Close,
    first_order: FirstOrder,
}

const RULES: Rules =
    Rules { close: Close::Reset, first_order: FirstOrder::Removal };

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, and everything that runs goes on.
    Run(u64),
    /// Cuts or restores an instance's path to the store.
    Store(usize, bool),
    /// Cuts or restores the path from one instance to another.
    Notes(usize, usize, bool),
    /// Cuts or restores all paths from and to an instance, except to the
    /// engine.
    Isolate(usize, bool),
    /// Cuts or restores an instance's path to the engine.
    Engine(usize, bool),
    /// The engine leaves the next orders unanswered and carries them out
    /// seconds later.
    LateOrders(bool),
    /// Stops an instance; it ends after [`STOP_TIME`].
    Terminate(usize),
    /// Kills an instance.
    Kill(usize),
    /// Starts an instance that is not running.
    Start(usize),
    /// Suspends an instance, or resumes it.
    Pause(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0..INSTANCES;
    prop_oneof![
        14 => (50u64..3_000).prop_map(Step::Run),
        2 => (at.clone(), any::<bool>()).prop_map(|(i, b)| Step::Store(i, b)),
        1 => (at.clone(), at.clone(), any::<bool>())
            .prop_map(|(i, j, b)| Step::Notes(i, j, b)),
        3 => (at.clone(), any::<bool>()).prop_map(|(i, b)| Step::Isolate(i, b)),
        2 => (at.clone(), any::<bool>()).prop_map(|(i, b)| Step::Engine(i, b)),
        1 => any::<bool>().prop_map(Step::LateOrders),
        1 => at.clone().prop_map(Step::Terminate),
        1 => at.clone().prop_map(Step::Kill),
        3 => at.clone().prop_map(Step::Start),
        1 => (at, any::<bool>()).prop_map(|(i, b)| Step::Pause(i, b)),
    ]
}

/// The store, with the lease as its only object.
#[derive(Default)]
struct Store(Option<StoredLease>);

impl Store {
    fn write(&mut self, write: &LeaseWrite) -> WriteAnswer {
        let current = self.0.as_ref().map(|stored| stored.version);
        if current != write.expected {
            return WriteAnswer::Conflict;
        }
        let version = current.unwrap_or(0) + 1;
        let record = write.record.clone();
        self.0 = Some(StoredLease { record, version });
        WriteAnswer::Done(version)
    }
}

/// An order that has not been answered yet.
#[derive(Clone, Debug)]
struct SentOrder {
    from: usize,
    incarnation: u64,
    epoch: u64,
    expected: u64,
    task: Task,
    sent: Instant,
    place: Place,
    /// Whether it arrives as a cut ends.
    was_held: bool,
}

/// Where an unanswered order is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    /// Held on its sender's machine by a cut; the connection was closed if
    /// `is_closed` is set.
    Held { is_closed: bool },
    /// At the engine, which carries it out at this time.
    Engine(Instant),
}

/// The engine. It holds its model and any adapter that is asked to be removed.
struct Engine {
    count: u64,
    leaves_unanswered: bool,
    /// The holder, the epoch and the time of the last order that was taken.
    last: Option<(usize, u64, Instant)>,
    violations: Vec<String>,
}

impl Engine {
    /// Carries an order out, unless it states another count.
    fn take(&mut self, order: &SentOrder, now: Instant) -> OrderResult {
        if order.expected != self.count {
            return OrderResult::Unclear;
        }
        self.check(order, now);
        if matches!(order.task, Task::LoadModel(_)) {
            return OrderResult::Done;
        }
        self.count += 1;
        OrderResult::Done
    }

    fn check(&mut self, order: &SentOrder, now: Instant) {
        let (from, epoch) = (order.from, order.epoch);
        let is_late = order.was_held || now - order.sent >= ORDER_TIMEOUT;
        if let Some((last, last_epoch, at)) = self.last {
            if last != from && !is_late && now - at < MIN_TURN {
                let gap = now - at;
                self.violations
                    .push(format!("i{from} ordered {gap:?} after i{last}"));
            }
            if epoch < last_epoch || (epoch == last_epoch && last != from) {
                self.violations
                    .push(format!("epoch {epoch} after {last_epoch}"));
            }
        }
        // A late order says nothing about who holds the lease now.
        if !is_late || self.last.is_none_or(|(_, last, _)| last < epoch) {
            let at = if is_late { order.sent } else { now };
            self.last = Some((from, epoch, at));
        }
    }
}

/// One run of an instance's process.
struct Process {
    idx: usize,
    incarnation: u64,
    leaving_since: Option<Instant>,
    is_paused: bool,
    reports: StoreReports,
    store_is_out: bool,
    last_report: Option<Instant>,
    handover_delay: HandoverDelay,
    watching: Lease<Watching>,
    held: Option<HeldLease>,
    orders: OrderCount,
    last_order: Option<Instant>,
    /// Whether the first order of the epoch was sent.
    has_loaded_model: bool,
}

/// A lease, as `sedgewalld` keeps it.
struct HeldLease {
    lease: Lease<Held>,
    order_from: Instant,
    lapsed_at: Option<Instant>,
}

fn new_lease() -> Lease<Watching> {
    Lease::new("orders".to_owned(), TIMING)
}

impl Process {
    fn start(idx: usize, incarnation: u64) -> Process {
        Process {
            idx,
            incarnation,
            leaving_since: None,
            is_paused: false,
            reports: StoreReports::default(),
            store_is_out: false,
            last_report: None,
            handover_delay: HandoverDelay::new(HANDOVER_DELAY),
            watching: new_lease(),
            held: None,
            orders: OrderCount::default(),
            last_order: None,
            has_loaded_model: false,
        }
    }

    fn name(idx: usize) -> String {
        format!("i{idx}")
    }

    fn no_instance_can_acquire_lease(&self, now: Instant) -> bool {
        let others: Vec<String> = (0..INSTANCES)
            .filter(|idx| *idx != self.idx)
            .map(Process::name)
            .collect();
        self.reports.no_instance_can_acquire_lease(others.iter(), now)
    }

    /// Acquires the lease or keeps it, with or without the store.
    fn drive_lease(
        &mut self,
        store: &mut Store,
        reaches_store: bool,
        now: Instant,
    ) {
        self.store_is_out = !reaches_store;
        match self.held.take() {
            Some(held) => self.keep(held, store, reaches_store, now),
            None if reaches_store && self.leaving_since.is_none() => {
                self.try_acquire(store, now);
            }
            None => self.watching = new_lease(),
        }
    }

    fn try_acquire(&mut self, store: &mut Store, now: Instant) {
        self.watching.observe(store.0.clone(), now);
        let own = Process::name(self.idx);
        let context = TakeoverContext {
            own: &own,
            epoch_floor: 0,
            held_until_restore: false,
            is_first_era: self.incarnation < INSTANCES as u64,
        };
        let decision = TakeoverDecision::new(&self.watching, context, now);
        let TakeoverDecision::Acquire { last, has_no_predecessor } = decision
        else {
            return;
        };
        let ended = self.watching.latest_expiry(None).unwrap_or(now);
        let candidate = Candidate {
            instance: own.clone(),
            incarnation: self.incarnation,
            peer_url: String::new(),
            epoch_floor: 0,
            has_no_predecessor,
        };
        let watching = std::mem::replace(&mut self.watching, new_lease());
        let acquiring = watching.acquire(&candidate, now);
        let answer = store.write(acquiring.write());
        if let AcquireOutcome::Held(lease) =
            acquiring.complete_acquire(answer, now)
        {
            let before = last.as_ref();
            let taken = lease.record();
            let takeover = LeaseTakeover { taken, before, ended };
            let order_from =
                self.handover_delay.record_takeover(takeover, now);
            self.held = Some(HeldLease { lease, order_from, lapsed_at: None });
        }
    }

    fn keep(
        &mut self,
        mut held: HeldLease,
        store: &mut Store,
        reaches_store: bool,
        now: Instant,
    ) {
        if now >= held.order_from {
            held.lease.complete_handover();
        }
        if self.is_current(&held, now) {
            held.lapsed_at = None;
        } else {
            let lapsed_at = *held.lapsed_at.get_or_insert(now);
            if now - lapsed_at >= TIMING.time_to_live + TIMING.margin {
                return;
            }
        }
        if reaches_store && held.lease.is_renewal_due(now) {
            let write = held.lease.renewal();
            let answer = store.write(&write);
            let HeldLease { lease, order_from, lapsed_at } = held;
            if let RenewOutcome::Held(lease) =
                lease.complete_renewal(write, answer, now, now)
            {
                self.held = Some(HeldLease { lease, order_from, lapsed_at });
            }
            return;
        }
        self.held = Some(held);
    }

    fn is_current(&self, held: &HeldLease, now: Instant) -> bool {
        held.lease.is_current(now) || self.no_instance_can_acquire_lease(now)
    }

    /// Returns the next order, if the process may send one now.
    fn next_order(
        &mut self,
        engine_count: u64,
        rules: Rules,
        now: Instant,
    ) -> Option<SentOrder> {
        let held = self.held.as_ref()?;
        if held.lapsed_at.is_some()
            || now < held.order_from
            || !self.is_current(held, now + ORDER_MARGIN)
        {
            return None;
        }
        let epoch = held.lease.epoch();
        if self.orders.epoch() != epoch {
            self.orders = OrderCount::new(epoch);
            self.has_loaded_model = false;
            self.last_order = None;
        }
        if self.last_order.is_some_and(|at| now - at < ORDER_INTERVAL) {
            return None;
        }
        self.last_order = Some(now);
        if self.orders.get().is_none() {
            // The engine's report.
            self.orders.set(Some(engine_count));
        }
        let is_first = !self.orders.is_raised();
        let task = match rules.first_order {
            FirstOrder::HeldModel if is_first && !self.has_loaded_model => {
                self.has_loaded_model = true;
                Task::LoadModel("m1".to_owned())
            }
            FirstOrder::HeldModel | FirstOrder::Removal => {
                Task::Unload(AdapterKey::base("m1"))
            }
        };
        Some(SentOrder {
            from: self.idx,
            incarnation: self.incarnation,
            epoch,
            expected: self.orders.get()?,
            task,
            sent: now,
            place: Place::Held { is_closed: false },
            was_held: false,
        })
    }
}

/// Instances, the store, the engine, and what is on its way between them.
struct World {
    rules: Rules,
    now: Instant,
    store: Store,
    engine: Engine,
    processes: Vec<Option<Process>>,
    last_incarnation: u64,
    store_is_cut: [bool; INSTANCES],
    /// Whether the path from one instance to another is cut.
    notes_are_cut: [[bool; INSTANCES]; INSTANCES],
    engine_is_cut: [bool; INSTANCES],
    orders: Vec<SentOrder>,
}

impl World {
    fn new(rules: Rules) -> World {
        let start = |idx| Some(Process::start(idx, idx as u64));
        World {
            rules,
            now: Instant::now(),
            store: Store::default(),
            engine: Engine {
                count: 0,
                leaves_unanswered: false,
                last: None,
                violations: Vec::new(),
            },
            processes: (0..INSTANCES).map(start).collect(),
            last_incarnation: INSTANCES as u64,
            store_is_cut: Default::default(),
            notes_are_cut: Default::default(),
            engine_is_cut: Default::default(),
            orders: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Run(ms) => {
                let until = self.now + Duration::from_millis(ms);
                while self.now < until {
                    self.tick();
                }
            }
            Step::Store(idx, is_cut) => self.store_is_cut[idx] = is_cut,
            Step::Notes(from, to, is_cut) => {
                self.notes_are_cut[from][to] = is_cut;
            }
            Step::Isolate(idx, is_cut) => {
                self.store_is_cut[idx] = is_cut;
                for other in 0..INSTANCES {
                    self.notes_are_cut[idx][other] = is_cut;
                    self.notes_are_cut[other][idx] = is_cut;
                }
            }
            Step::Engine(idx, is_cut) => self.cut_engine(idx, is_cut),
            Step::LateOrders(is_on) => self.engine.leaves_unanswered = is_on,
            Step::Terminate(idx) => {
                if let Some(process) = &mut self.processes[idx] {
                    process.leaving_since.get_or_insert(self.now);
                }
            }
            Step::Kill(idx) => self.end(idx),
            Step::Start(idx) if self.processes[idx].is_none() => {
                self.last_incarnation += 1;
                let process = Process::start(idx, self.last_incarnation);
                self.processes[idx] = Some(process);
            }
            Step::Start(_) => {}
            Step::Pause(idx, is_paused) => {
                if let Some(process) = &mut self.processes[idx] {
                    process.is_paused = is_paused;
                }
            }
        }
    }

    fn cut_engine(&mut self, idx: usize, is_cut: bool) {
        self.engine_is_cut[idx] = is_cut;
        if is_cut {
            return;
        }
        let now = self.now;
        for order in self.orders.iter_mut().filter(|o| o.from == idx) {
            if let Place::Held { is_closed } = order.place {
                let delay = match is_closed {
                    true => RETRANSMISSION_DELAY,
                    false => Duration::ZERO,
                };
                order.place = Place::Engine(now + delay);
                order.was_held = true;
            }
        }
    }

    /// Ends a process; the kernel closes its connections.
    fn end(&mut self, idx: usize) {
        self.processes[idx] = None;
        self.close_connections(idx);
    }

    fn close_connections(&mut self, idx: usize) {
        let is_reset = self.rules.close == Close::Reset;
        let is_held = |order: &SentOrder| {
            order.from == idx && matches!(order.place, Place::Held { .. })
        };
        self.orders.retain(|order| !(is_held(order) && is_reset));
        for order in self.orders.iter_mut().filter(|o| is_held(o)) {
            order.place = Place::Held { is_closed: true };
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.deliver_orders();
        for idx in 0..INSTANCES {
            self.run_process(idx);
        }
    }

    fn run_process(&mut self, idx: usize) {
        let now = self.now;
        let reaches_store = !self.store_is_cut[idx];
        let Some(process) = &mut self.processes[idx] else { return };
        if process.is_paused {
            return;
        }
        let is_over = process
            .leaving_since
            .is_some_and(|since| now - since >= STOP_TIME);
        if is_over {
            if let Some(held) = process.held.take()
                && reaches_store
            {
                self.store.write(&held.lease.release());
            }
            return self.end(idx);
        }
        process.drive_lease(&mut self.store, reaches_store, now);
        self.give_up_order(idx);
        self.send_order(idx);
        self.send_report(idx);
    }

    fn send_report(&mut self, idx: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[idx] else { return };
        if process.last_report.is_some_and(|at| now - at < REPORT_INTERVAL) {
            return;
        }
        process.last_report = Some(now);
        let is_out = process.store_is_out;
        let is_leaving = process.leaving_since.is_some();
        let from = Process::name(idx);
        for to in (0..INSTANCES).filter(|to| *to != idx) {
            if let Some(other) = &mut self.processes[to]
                && !other.is_paused
                && !self.notes_are_cut[idx][to]
            {
                other.reports.record(&from, is_out, is_leaving, now);
            }
        }
    }

    fn send_order(&mut self, idx: usize) {
        let (now, rules) = (self.now, self.rules);
        let Some(process) = &mut self.processes[idx] else { return };
        let incarnation = process.incarnation;
        if self.orders.iter().any(|o| o.incarnation == incarnation) {
            return;
        }
        let count = self.engine.count;
        let Some(mut order) = process.next_order(count, rules, now) else {
            return;
        };
        if self.engine_is_cut[idx] {
            return self.orders.push(order);
        }
        if self.engine.leaves_unanswered {
            order.place = Place::Engine(now + LATE_BY);
            return self.orders.push(order);
        }
        let result = self.engine.take(&order, now);
        process.orders.record(&order.task, result);
    }

    /// Gives up the order of a process that has not been answered in time.
    fn give_up_order(&mut self, idx: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[idx] else { return };
        let incarnation = process.incarnation;
        let overdue = self.orders.iter_mut().find(|order| {
            order.incarnation == incarnation
                && now - order.sent >= ORDER_TIMEOUT
        });
        let Some(order) = overdue else { return };
        process.orders.record(&order.task, OrderResult::Unclear);
        // The process waits for it no longer.
        order.incarnation = u64::MAX;
        self.close_connections(idx);
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let is_due = |order: &SentOrder| matches!(order.place, Place::Engine(at) if at <= now);
        let (due, left) =
            std::mem::take(&mut self.orders).into_iter().partition(is_due);
        self.orders = left;
        let due: Vec<SentOrder> = due;
        for order in due {
            let result = self.engine.take(&order, now);
            if let Some(process) = &mut self.processes[order.from]
                && process.incarnation == order.incarnation
            {
                process.orders.record(&order.task, result);
            }
        }
    }
}

/// Plays steps and returns the violations.
fn violations(rules: Rules, steps: &[Step]) -> Vec<String> {
    let mut world = World::new(rules);
    for step in steps {
        world.apply(*step);
    }
    world.engine.violations
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn engines_get_orders_of_one_holder_and_rising_epochs(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        prop_assert_eq!(violations(RULES, &steps), Vec::<String>::new());
    }
}

/// The holder of the first epoch, which is the first instance.
const HOLDER: usize = 0;

/// Guards against a holder that is cut off and trusts the reports of processes
/// that have ended.
#[test]
fn a_holder_does_not_outlast_the_processes_that_were_leaving() {
    let steps = [
        Step::Run(500),
        Step::Terminate(1),
        Step::Terminate(2),
        Step::Terminate(3),
        Step::Run(2_500),
        Step::Isolate(HOLDER, true),
        Step::Start(1),
        Step::Run(8_000),
    ];
    assert_eq!(violations(RULES, &steps), Vec::<String>::new());
}

/// Guards against a holder without the store that takes an instance which it
/// cannot hear for one without the store.
#[test]
fn a_holder_does_not_outlast_the_return_of_a_silent_instance() {
    let steps = [
        Step::Run(500),
        Step::Isolate(1, true),
        Step::Run(6_000),
        Step::Store(HOLDER, true),
        Step::Store(2, true),
        Step::Store(3, true),
        Step::Run(1_500),
        Step::Store(1, false),
        Step::Run(8_000),
    ];
    assert_eq!(violations(RULES, &steps), Vec::<String>::new());
}

/// Guards against an order that is held on the path to its engine and arrives
/// after one of the next epoch, unless connections are reset.
#[test]
fn only_a_reset_takes_back_an_order_that_was_given_up() {
    let steps = [
        Step::Run(500),
        Step::Engine(HOLDER, true),
        Step::Run(2_500),
        Step::Kill(HOLDER),
        Step::Start(HOLDER),
        Step::Run(200),
        Step::Engine(HOLDER, false),
        Step::Run(3_000),
    ];
    let orderly =
        Rules { close: Close::Orderly, first_order: FirstOrder::HeldModel };
    assert_eq!(violations(orderly, &steps), ["epoch 1 after 2"]);
    let reset = Rules { close: Close::Reset, ..orderly };
    assert_eq!(violations(reset, &steps), Vec::<String>::new());
    assert_eq!(violations(RULES, &steps), Vec::<String>::new());
}

/// Guards against an order that its engine was left with and carries out after
/// a first order of the next epoch which did not raise the count.
#[test]
fn an_order_that_raises_the_count_voids_those_that_the_engine_has() {
    let steps = [
        Step::Run(500),
        Step::LateOrders(true),
        Step::Run(2_000),
        Step::Kill(HOLDER),
        Step::LateOrders(false),
        Step::Start(HOLDER),
        Step::Run(200),
        Step::LateOrders(true),
        Step::Run(8_000),
    ];
    let rules = Rules { first_order: FirstOrder::HeldModel, ..RULES };
    assert_eq!(violations(rules, &steps), ["epoch 1 after 2"]);
    assert_eq!(violations(RULES, &steps), Vec::<String>::new());
}
