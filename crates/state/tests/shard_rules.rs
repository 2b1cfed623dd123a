//! The invariants of the policy under random sequences of events, and single
//! cases of its rules.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_state::{
    AdapterIdx, EngineIdx, Priority, RequestId, Shard, ShardAction,
    budget::StoreLimits,
    engine::SlotState,
    id::request_id,
    queue::Request,
    shard::{LoadOrder, PolicySettings, ReportedSlot, RequestEnd},
};

const ADAPTERS: u32 = 12;
const ENGINES: u32 = 3;
const SLOTS: usize = 3;
const SEATS: u32 = 4;
const ENTRY: u64 = 7;

/// An event that the harness applies to the shard. `Pass` advances the time by
/// milliseconds and ticks; `Settle` reports the requests that the entry
/// instance runs.
#[derive(Clone, Debug)]
enum Step {
    Submit { adapter: u32, priority: u8, within_ms: u64 },
    SubmitAgain(usize),
    Cancel(usize),
    End { pick: usize, how: u8 },
    EndTwice(usize),
    Loaded { pick: usize, is_loaded: bool },
    Report { engine: u32, lag_ms: u64 },
    Restart(u32),
    Leave(u32),
    Join(u32),
    Settle,
    EntryLost,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..ADAPTERS, 0u8..3, 50u64..20_000).prop_map(
            |(adapter, priority, within_ms)| Step::Submit {
                adapter,
                priority,
                within_ms
            }
        ),
        1 => any::<usize>().prop_map(Step::SubmitAgain),
        1 => any::<usize>().prop_map(Step::Cancel),
        4 => (any::<usize>(), 0u8..4)
            .prop_map(|(pick, how)| Step::End { pick, how }),
        1 => any::<usize>().prop_map(Step::EndTwice),
        4 => (any::<usize>(), prop::bool::weighted(0.8)).prop_map(
            |(pick, is_loaded)| Step::Loaded { pick, is_loaded }
        ),
        2 => (0..ENGINES, 0u64..1_500)
            .prop_map(|(engine, lag_ms)| Step::Report { engine, lag_ms }),
        1 => (0..ENGINES).prop_map(Step::Restart),
        1 => (0..ENGINES).prop_map(Step::Leave),
        1 => (0..ENGINES).prop_map(Step::Join),
        1 => Just(Step::Settle),
        1 => Just(Step::EntryLost),
        4 => (1u64..2_000).prop_map(Step::Pass),
    ]
}

/// The actual state of an engine, as opposed to the shard's state of it.
#[derive(Default)]
struct ActualEngine {
    ready: BTreeSet<AdapterIdx>,
    running: BTreeMap<RequestId, AdapterIdx>,
}

struct Harness {
    shard: Shard,
    now: Instant,
    next: u64,
    engines: Vec<ActualEngine>,
    loads: Vec<LoadOrder>,
    granted: BTreeMap<RequestId, EngineIdx>,
    submitted: Vec<(RequestId, AdapterIdx)>,
    decisions: BTreeMap<RequestId, u32>,
    load_starts: Vec<Instant>,
    limits: StoreLimits,
    ended: Vec<RequestId>,
}

impl Harness {
    fn new() -> Harness {
        let now = Instant::now();
        let limits = StoreLimits { rate_per_s: 4.0, concurrency: 2.0 };
        let settings =
            PolicySettings { queue_len: 20, ..PolicySettings::default() };
        let mut shard = Shard::new(settings, limits, now);
        for _ in 0..ADAPTERS {
            shard.add_adapter();
        }
        for engine in 0..ENGINES {
            let idx = shard.add_engine(&engine.to_string(), SLOTS, SEATS, now);
            shard.apply_report(idx, &[], now, now, &mut Vec::new());
        }
        Harness {
            shard,
            now,
            next: 0,
            engines: (0..ENGINES).map(|_| ActualEngine::default()).collect(),
            loads: Vec::new(),
            granted: BTreeMap::new(),
            submitted: Vec::new(),
            decisions: BTreeMap::new(),
            load_starts: Vec::new(),
            limits,
            ended: Vec::new(),
        }
    }

    fn request(
        &self,
        id: RequestId,
        adapter: AdapterIdx,
        priority: Priority,
        within_ms: u64,
    ) -> Request {
        Request {
            id,
            adapter,
            priority,
            caller_hash: u64::from(adapter % 3),
            submitted: self.now,
            deadline: self.now + Duration::from_millis(within_ms),
            had_available_replica: false,
        }
    }

    fn apply(&mut self, step: Step) {
        let mut actions = Vec::new();
        match step {
            Step::Submit { adapter, priority, within_ms } => {
                self.next += 1;
                let id = request_id(ENTRY, self.next);
                self.submitted.push((id, adapter));
                let priority = Priority::ALL[usize::from(priority)];
                let request = self.request(id, adapter, priority, within_ms);
                self.shard.submit(request, self.now, &mut actions);
            }
            Step::SubmitAgain(pick) => {
                let waiting = self.submitted.iter().filter(|(id, _)| {
                    self.shard.is_waiting(*id)
                        || self.shard.grant(*id).is_some()
                });
                let all: Vec<_> = waiting.copied().collect();
                if let Some((id, adapter)) = pick_from(&all, pick) {
                    let request =
                        self.request(id, adapter, Priority::Normal, 5_000);
                    self.shard.submit(request, self.now, &mut actions);
                }
            }
            Step::Cancel(pick) => {
                let all = self.submitted.clone();
                if let Some((id, _)) = pick_from(&all, pick) {
                    self.stop_running(id);
                    self.shard.cancel(id, self.now, &mut actions);
                }
            }
            Step::End { pick, how } => {
                let all: Vec<RequestId> =
                    self.granted.keys().copied().collect();
                if let Some(id) = pick_from(&all, pick) {
                    let end = match how {
                        0 => RequestEnd::Finished,
                        1 => RequestEnd::NotLoaded,
                        2 => RequestEnd::Unreachable,
                        _ => RequestEnd::Failed,
                    };
                    self.stop_running(id);
                    self.ended.push(id);
                    let is_requeued = matches!(
                        end,
                        RequestEnd::NotLoaded | RequestEnd::Unreachable
                    );
                    if is_requeued {
                        *self.decisions.entry(id).or_default() -= 1;
                    }
                    self.shard.finish(id, end, self.now, &mut actions);
                }
            }
            Step::EndTwice(pick) => {
                let all = self.ended.clone();
                // Messages of one entry instance arrive in order, so a
                // repeated end never arrives after a later grant of the same
                // request.
                if let Some(id) = pick_from(&all, pick)
                    && self.shard.grant(id).is_none()
                {
                    let end = RequestEnd::NotLoaded;
                    self.shard.finish(id, end, self.now, &mut actions);
                }
            }
            Step::Loaded { pick, is_loaded } => {
                if let Some(order) = pick_from(&self.loads, pick) {
                    self.loads.retain(|load| *load != order);
                    if is_loaded {
                        let engine = &mut self.engines[order.engine as usize];
                        engine.ready.insert(order.adapter);
                    }
                    self.shard.load_finished(
                        order.engine,
                        order.adapter,
                        is_loaded,
                        self.now,
                        &mut actions,
                    );
                }
            }
            Step::Report { engine, lag_ms } => {
                let actual = &self.engines[engine as usize];
                let slots: Vec<ReportedSlot> = actual
                    .ready
                    .iter()
                    .map(|adapter| ReportedSlot {
                        adapter: *adapter,
                        running_len: actual
                            .running
                            .values()
                            .filter(|on| *on == adapter)
                            .count()
                            as u32,
                    })
                    .collect();
                let made = self.now - Duration::from_millis(lag_ms);
                self.shard.apply_report(
                    engine,
                    &slots,
                    made,
                    self.now,
                    &mut actions,
                );
            }
            Step::Restart(engine) => {
                let actual = &mut self.engines[engine as usize];
                actual.ready.clear();
                let interrupted: Vec<RequestId> =
                    std::mem::take(&mut actual.running).into_keys().collect();
                self.loads.retain(|load| load.engine != engine);
                self.shard.engine_restarted(engine, self.now);
                for id in interrupted {
                    self.granted.remove(&id);
                    let end = RequestEnd::Failed;
                    self.shard.finish(id, end, self.now, &mut actions);
                }
            }
            Step::Leave(engine) => {
                self.shard.mark_engine_leaving(engine, self.now)
            }
            Step::Join(engine) => {
                let name = engine.to_string();
                self.shard.add_engine(&name, SLOTS, SEATS, self.now);
            }
            Step::Settle => {
                let running: Vec<RequestId> =
                    self.granted.keys().copied().collect();
                self.shard.reconcile_entry(
                    ENTRY,
                    &running,
                    self.now,
                    &mut actions,
                );
            }
            Step::EntryLost => {
                // The connections of the entry instance break, so the engines
                // stop running its requests.
                let held: Vec<RequestId> =
                    self.granted.keys().copied().collect();
                for id in held {
                    self.stop_running(id);
                }
                self.shard.entry_lost(ENTRY, self.now, &mut actions);
                let submitted = std::mem::take(&mut self.submitted);
                for (id, _) in submitted {
                    self.decisions.entry(id).or_insert(1);
                }
            }
            Step::Pass(ms) => {
                self.now += Duration::from_millis(ms);
                self.shard.tick(self.now, &mut actions);
            }
        }
        self.apply_actions(actions);
    }

    fn stop_running(&mut self, id: RequestId) {
        if let Some(engine) = self.granted.remove(&id) {
            self.engines[engine as usize].running.remove(&id);
        }
    }

    fn apply_actions(&mut self, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Grant { request, engine, adapter, .. } => {
                    *self.decisions.entry(request).or_default() += 1;
                    assert!(
                        !self.granted.contains_key(&request),
                        "a request got a second seat while it held one"
                    );
                    let host = &self.shard.engines()[engine as usize];
                    let holds = host
                        .slot(adapter)
                        .is_some_and(|slot| slot.state != SlotState::Loading);
                    assert!(holds, "a seat where the adapter is not ready");
                    let named = self.submitted.iter().find(|k| k.0 == request);
                    assert!(
                        named.is_none_or(|(_, named)| *named == adapter),
                        "a seat for an adapter that was not named"
                    );
                    let actual = &mut self.engines[engine as usize];
                    self.granted.insert(request, engine);
                    if actual.ready.contains(&adapter) {
                        actual.running.insert(request, adapter);
                    }
                }
                ShardAction::Refuse { request, .. } => {
                    *self.decisions.entry(request).or_default() += 1;
                    assert!(
                        !self.granted.contains_key(&request),
                        "a request that holds a seat was refused"
                    );
                }
                ShardAction::Load(order) => self.apply_load_order(order),
            }
        }
    }

    fn apply_load_order(&mut self, order: LoadOrder) {
        self.load_starts.push(self.now);
        let actual = &mut self.engines[order.engine as usize];
        if let Some(victim) = order.evict {
            assert!(
                !actual.running.values().any(|on| *on == victim),
                "an adapter that serves a request was to be unloaded"
            );
            actual.ready.remove(&victim);
        }
        // A load on a leaving or silent engine does not count, because the
        // engine will not serve the adapter.
        let engines = self.shard.engines();
        let is_loading = self.loads.iter().any(|load| {
            load.adapter == order.adapter
                && engines[load.engine as usize].takes_work()
        });
        assert!(!is_loading, "two loads were made for one need");
        self.loads.push(order);
    }

    fn check_invariants(&self) {
        let engines = self.shard.engines();
        for (idx, engine) in engines.iter().enumerate() {
            assert!(engine.slots.len() <= SLOTS, "more adapters than slots");
            let interactive =
                engine.granted_by_class[0] + engine.granted_by_class[1];
            assert!(interactive <= SEATS, "more requests than seats");
            for slot in &engine.slots {
                let adapter = self.shard.adapter(slot.adapter);
                let list = match slot.state {
                    SlotState::Loading => &adapter.loading,
                    _ => &adapter.ready,
                };
                assert!(
                    list.contains(&(idx as EngineIdx)),
                    "slot and replica list disagree"
                );
            }
        }
        assert!(
            f64::from(self.shard.loads_in_flight()) <= self.limits.concurrency,
            "more loads at once than the store allows"
        );
        let window = Duration::from_secs(1);
        for start in &self.load_starts {
            let within = self
                .load_starts
                .iter()
                .filter(|s| **s >= *start && **s < *start + window)
                .count();
            let allowed = 2.0 * self.limits.rate_per_s + 1.0;
            assert!(within as f64 <= allowed, "loads exceed the store's rate");
        }
        for (id, times) in &self.decisions {
            assert!(*times <= 1, "request {id:x} was decided {times} times");
        }
    }
}

fn pick_from<T: Copy>(all: &[T], pick: usize) -> Option<T> {
    (!all.is_empty()).then(|| all[pick % all.len()])
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn rules_hold_after_every_step(
        steps in prop::collection::vec(step(), 1..150)
    ) {
        let mut harness = Harness::new();
        for step in steps {
            harness.apply(step);
            harness.check_invariants();
        }
    }

    #[test]
    fn every_waiting_request_is_eventually_decided(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut harness = Harness::new();
        for step in steps {
            harness.apply(step);
        }
        // After all deadlines have passed, no request may wait.
        for _ in 0..60 {
            harness.apply(Step::Pass(1_000));
            harness.check_invariants();
        }
        prop_assert_eq!(harness.shard.waiting_len(), 0);
    }
}

fn shard_with_one_engine(seats: u32) -> (Shard, Instant) {
    let now = Instant::now();
    let limits = StoreLimits { rate_per_s: 100.0, concurrency: 100.0 };
    let mut shard = Shard::new(PolicySettings::default(), limits, now);
    for _ in 0..4 {
        shard.add_adapter();
    }
    shard.add_engine("a", 1, seats, now);
    shard.apply_report(0, &[], now, now, &mut Vec::new());
    (shard, now)
}

fn submit(
    shard: &mut Shard,
    sequence: u64,
    adapter: AdapterIdx,
    priority: Priority,
    now: Instant,
) -> Vec<ShardAction> {
    let mut actions = Vec::new();
    let request = Request {
        id: request_id(ENTRY, sequence),
        adapter,
        priority,
        caller_hash: 0,
        submitted: now,
        deadline: now + Duration::from_secs(10),
        had_available_replica: false,
    };
    shard.submit(request, now, &mut actions);
    actions
}

fn load(shard: &mut Shard, adapter: AdapterIdx, now: Instant) {
    shard.load_finished(0, adapter, true, now, &mut Vec::new());
}

#[test]
fn unload_waits_for_last_request() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    let later = now + Duration::from_secs(2);

    let actions = submit(&mut shard, 2, 1, Priority::High, later);
    assert!(
        !actions.iter().any(|a| matches!(a, ShardAction::Load(_))),
        "adapter 0 serves request 1, so its slot is not free"
    );

    let mut actions = Vec::new();
    let end = RequestEnd::Finished;
    shard.finish(request_id(ENTRY, 1), end, later, &mut actions);
    let order = LoadOrder { engine: 0, adapter: 1, evict: Some(0) };
    assert!(actions.contains(&ShardAction::Load(order)));
}

#[test]
fn unload_waits_for_requests_of_a_previous_leader() {
    let (mut shard, now) = shard_with_one_engine(4);
    let reported = [ReportedSlot { adapter: 0, running_len: 1 }];
    shard.apply_report(0, &reported, now, now, &mut Vec::new());
    let later = now + Duration::from_secs(2);

    let actions = submit(&mut shard, 1, 1, Priority::High, later);
    assert!(!actions.iter().any(|a| matches!(a, ShardAction::Load(_))));

    let idle = [ReportedSlot { adapter: 0, running_len: 0 }];
    let mut actions = Vec::new();
    shard.apply_report(0, &idle, later, later, &mut actions);
    assert!(actions.iter().any(|a| matches!(a, ShardAction::Load(_))));
}

#[test]
fn an_unused_grant_blocks_eviction_until_a_later_report() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    let later = now + Duration::from_secs(3);
    shard.reconcile_entry(ENTRY, &[], later, &mut Vec::new());
    assert_eq!(shard.granted_len(), 0);

    // After the minimum time for which an idle adapter stays resident.
    let later = later + Duration::from_secs(1);
    let actions = submit(&mut shard, 2, 1, Priority::High, later);
    assert!(
        !actions.iter().any(|a| matches!(a, ShardAction::Load(_))),
        "the engine may still run request 1"
    );

    let idle = [ReportedSlot { adapter: 0, running_len: 0 }];
    let last = later + Duration::from_secs(2);
    let mut actions = Vec::new();
    shard.apply_report(0, &idle, last, last, &mut actions);
    assert!(actions.iter().any(|a| matches!(a, ShardAction::Load(_))));
}

#[test]
fn batch_work_gives_its_seat_to_a_higher_class() {
    let (mut shard, now) = shard_with_one_engine(1);
    submit(&mut shard, 1, 0, Priority::Batch, now);
    load(&mut shard, 0, now);
    assert_eq!(shard.granted_len(), 1);

    let actions = submit(&mut shard, 2, 0, Priority::High, now);
    assert!(matches!(actions[0], ShardAction::Grant { .. }));

    let actions = submit(&mut shard, 3, 0, Priority::Batch, now);
    assert!(actions.is_empty(), "batch work waits for a free seat");
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    shard.mark_engine_leaving(0, now);
    let actions = submit(&mut shard, 2, 0, Priority::High, now);
    assert!(matches!(actions[0], ShardAction::Refuse { .. }));
}

#[test]
fn a_silent_engine_gets_no_work_and_comes_back_on_probation() {
    let (mut shard, now) = shard_with_one_engine(32);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    let later = now + Duration::from_secs(5);
    shard.tick(later, &mut Vec::new());
    let actions = submit(&mut shard, 2, 0, Priority::High, later);
    assert!(matches!(actions[0], ShardAction::Refuse { .. }));

    let reported = [ReportedSlot { adapter: 0, running_len: 1 }];
    shard.apply_report(0, &reported, now, later, &mut Vec::new());
    let mut granted = 0;
    for sequence in 3..20 {
        let actions = submit(&mut shard, sequence, 0, Priority::High, later);
        granted += actions
            .iter()
            .filter(|a| matches!(a, ShardAction::Grant { .. }))
            .count();
    }
    assert_eq!(granted, 3, "four seats on probation, one of them taken");
}

#[test]
fn refusals_spread_retry_times() {
    let (mut shard, now) = shard_with_one_engine(4);
    shard.mark_engine_leaving(0, now);
    let mut times = BTreeSet::new();
    for sequence in 0..50 {
        let actions = submit(&mut shard, sequence, 0, Priority::Normal, now);
        let ShardAction::Refuse { refusal, .. } = &actions[0] else {
            panic!("no engine takes work");
        };
        times.insert(refusal.retry_after.as_millis());
    }
    assert!(times.len() > 40, "retry times are spread");
}

#[test]
fn versions_of_an_adapter_are_distinct() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    // Index 1 stands for another version of the same adapter, which has no
    // replica.
    let actions = submit(&mut shard, 2, 1, Priority::Normal, now);
    assert!(
        !actions.iter().any(|a| matches!(a, ShardAction::Grant { .. })),
        "a request never runs on another version"
    );
}

/// Guards against requests that wait forever: an adapter whose only replica
/// was on a leaving engine counted as placed and was never loaded on another
/// one. The same holds for a silent engine.
#[test]
fn an_adapter_on_a_leaving_engine_is_loaded_elsewhere() {
    for leaves in [true, false] {
        let (mut shard, now) = shard_with_one_engine(4);
        submit(&mut shard, 1, 0, Priority::Normal, now);
        load(&mut shard, 0, now);
        shard.add_engine("b", 1, 4, now);
        shard.apply_report(1, &[], now, now, &mut Vec::new());
        let mut later = now;
        if leaves {
            shard.mark_engine_leaving(0, now);
        } else {
            // Engine "b" reports, engine "a" does not.
            later = now + Duration::from_secs(4);
            shard.apply_report(1, &[], later, later, &mut Vec::new());
            shard.tick(later, &mut Vec::new());
        }
        let actions = submit(&mut shard, 2, 0, Priority::Normal, later);
        let order = LoadOrder { engine: 1, adapter: 0, evict: None };
        assert!(actions.contains(&ShardAction::Load(order)), "{actions:?}");
    }
}

/// Guards against requests that wait forever: when the request for which a
/// slot was drained was cancelled, the slot stayed in the draining state, and
/// new requests for its adapter were never granted.
#[test]
fn a_draining_slot_serves_again_when_its_drain_is_not_needed() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    let later = now + Duration::from_secs(1);
    submit(&mut shard, 2, 1, Priority::High, later);
    shard.tick(later, &mut Vec::new());
    assert_eq!(shard.engines()[0].slots[0].state, SlotState::Draining);

    // The request for which the slot was drained is cancelled, and a new
    // request for the drained adapter arrives.
    shard.cancel(request_id(ENTRY, 2), later, &mut Vec::new());
    submit(&mut shard, 3, 0, Priority::Normal, later);
    let mut actions = Vec::new();
    shard.tick(later + Duration::from_millis(50), &mut actions);
    assert!(
        shard.grant(request_id(ENTRY, 3)).is_some(),
        "adapter 0 is there and may serve"
    );
}

/// Guards against repeated failures of loads on an engine that has fewer slots
/// than its endpoint group is configured with: the engine rejected one load
/// after another, and the shard backed off from the engine instead of
/// evicting.
#[test]
fn a_slot_shortage_reduces_observed_slots() {
    let now = Instant::now();
    let limits = StoreLimits { rate_per_s: 100.0, concurrency: 100.0 };
    let mut shard = Shard::new(PolicySettings::default(), limits, now);
    for _ in 0..4 {
        shard.add_adapter();
    }
    shard.add_engine("a", 3, 4, now);
    shard.apply_report(0, &[], now, now, &mut Vec::new());
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    shard.cancel(request_id(ENTRY, 1), now, &mut Vec::new());
    submit(&mut shard, 2, 1, Priority::Normal, now);
    shard.record_slot_shortage(0);
    shard.load_finished(0, 1, false, now, &mut Vec::new());

    let later = now + Duration::from_secs(5);
    let reported = [ReportedSlot { adapter: 0, running_len: 0 }];
    let mut actions = Vec::new();
    shard.apply_report(0, &reported, later, later, &mut actions);
    let order = LoadOrder { engine: 0, adapter: 1, evict: Some(0) };
    assert!(actions.contains(&ShardAction::Load(order)), "{actions:?}");
}

/// Guards against a new leader that takes full engines for empty ones before
/// their first report: the leader ordered loads for adapters that an engine
/// already held, and requests were rejected until their retries were spent.
#[test]
fn a_new_leader_orders_no_load_before_it_knows_what_an_engine_holds() {
    let now = Instant::now();
    let limits = StoreLimits { rate_per_s: 100.0, concurrency: 100.0 };
    let mut shard = Shard::new(PolicySettings::default(), limits, now);
    shard.add_adapter();
    shard.add_engine("a", 1, 4, now);
    let actions = submit(&mut shard, 1, 0, Priority::Normal, now);
    assert!(actions.is_empty(), "{actions:?}");

    let reported = [ReportedSlot { adapter: 0, running_len: 0 }];
    let mut actions = Vec::new();
    shard.apply_report(0, &reported, now, now, &mut actions);
    assert!(matches!(actions[0], ShardAction::Grant { .. }), "{actions:?}");
}

/// Guards against a stale replica after an engine restarted without adapters:
/// a rejected request was granted on the same engine again, until its retries
/// were spent, because the replica was kept while the engine had other grants.
#[test]
fn an_engine_that_lacks_an_adapter_gets_no_more_requests_for_it() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    submit(&mut shard, 2, 0, Priority::Normal, now);
    let mut actions = Vec::new();
    let end = RequestEnd::NotLoaded;
    shard.finish(request_id(ENTRY, 1), end, now, &mut actions);
    let order = LoadOrder { engine: 0, adapter: 0, evict: None };
    assert_eq!(actions, [ShardAction::Load(order)]);
}

/// Guards against repeated grants on an engine that cannot be connected to,
/// which went on until the engine counted as silent.
#[test]
fn an_unreachable_engine_gets_nothing_until_it_reports() {
    let (mut shard, now) = shard_with_one_engine(4);
    submit(&mut shard, 1, 0, Priority::Normal, now);
    load(&mut shard, 0, now);
    let mut actions = Vec::new();
    let end = RequestEnd::Unreachable;
    shard.finish(request_id(ENTRY, 1), end, now, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");

    let reported = [ReportedSlot { adapter: 0, running_len: 0 }];
    shard.apply_report(0, &reported, now, now, &mut actions);
    assert!(matches!(actions[0], ShardAction::Grant { .. }));
}

/// Returns the number of refused requests in a shard with one empty engine and
/// a slow weight store. Each request needs another adapter, and they arrive
/// for longer than it takes to detect an overload.
fn shard_behind_on_loads(slots: usize) -> usize {
    let now = Instant::now();
    let limits = StoreLimits { rate_per_s: 1.0, concurrency: 1.0 };
    let mut shard = Shard::new(PolicySettings::default(), limits, now);
    for _ in 0..100 {
        shard.add_adapter();
    }
    shard.add_engine("a", slots, 4, now);
    shard.apply_report(0, &[], now, now, &mut Vec::new());
    let mut refused = 0;
    let mut at = now;
    for adapter in 0..50 {
        let id = u64::from(adapter) + 1;
        let mut actions = Vec::new();
        let request = Request {
            id: request_id(ENTRY, id),
            adapter,
            priority: Priority::Normal,
            caller_hash: id,
            submitted: at,
            deadline: at + Duration::from_secs(600),
            had_available_replica: false,
        };
        shard.submit(request, at, &mut actions);
        let is_refusal = |action: &&ShardAction| {
            matches!(action, ShardAction::Refuse { .. })
        };
        refused += actions.iter().filter(is_refusal).count();
        at += Duration::from_millis(100);
    }
    refused
}

/// Guards against refusals after a cold start: the backlog of loads while the
/// slots are first filled counted as an overload, and a request was refused
/// long after the backlog had ended.
#[test]
fn a_cold_start_is_not_an_overload() {
    let refused = shard_behind_on_loads(60);
    assert_eq!(refused, 0);
}

#[test]
fn a_full_shard_with_a_load_backlog_is_overloaded() {
    let refused = shard_behind_on_loads(1);
    assert!(refused > 0);
}
