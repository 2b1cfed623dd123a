//! Tests that an instance keeps fresh knowledge of the keys in force while the
//! store answers, whatever the operator changes. Compares ways of watching the
//! store, and of polling the instances that watch, in virtual time.

use std::time::Duration;

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sedgewall_clock::Instant;
use sedgewall_fleet::revocation::{FreshnessPoll, KeyFreshness};

/// Time within which a revoked key must stop.
const WITHIN: Duration = Duration::from_millis(5_000);

/// The remaining time after the margin for clocks.
const MAX_AGE_MS: u64 = 4_700;

/// Time for which a call without an answer is waited for, beyond the wait of a
/// watch.
const UNANSWERED_MS: u64 = 1_000;

/// Minimum and maximum pause after a failed call.
const BACKOFF_MS: (u64, u64) = (150, 1_200);

/// Number of instances, and of those that watch the store.
const INSTANCES: usize = 74;
const WATCHERS: usize = 4;

/// Interval at which an instance checks whether to poll.
const CHECK_INTERVAL_MS: u64 = 100;

/// Duration of a simulation.
const DURATION_MS: u64 = 60_000;

/// How an instance keeps its knowledge fresh.
#[derive(Clone, Copy, Debug)]
enum WatchPolicy {
    /// Each watch waits two thirds of the maximum age.
    Fixed,
    /// Each watch waits a third of the maximum age, so that any two fit into
    /// it.
    Short,
    /// As `Fixed`, with a read after each change.
    ReadAfterChange,
    /// Each watch waits two thirds of the remaining time.
    WhatIsLeft,
    /// As `WhatIsLeft`, but at most a quarter of the maximum age. Used by
    /// instances that watch on behalf of all.
    Watcher,
}

/// The events at the store.
#[derive(Clone, Debug, Default)]
struct Store {
    /// Times of configuration changes, in milliseconds.
    changes: Vec<u64>,
    /// Intervals in which calls are lost, in milliseconds.
    cuts: Vec<(u64, u64)>,
    /// Delay of each answer, in milliseconds.
    answer_ms: u64,
}

/// The cost of a way.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    calls: u32,
    unsure_ms: u64,
}

impl Store {
    fn is_cut(&self, from: u64, to: u64) -> bool {
        self.cuts.iter().any(|(began, ended)| from < *ended && *began <= to)
    }

    /// Returns the first change after a time.
    fn next_change(&self, after: u64) -> Option<u64> {
        self.changes.iter().copied().filter(|at| *at > after).min()
    }
}

/// Simulates an instance that lists once and then watches.
struct Simulation<'a> {
    store: &'a Store,
    policy: WatchPolicy,
    start: Instant,
    known: KeyFreshness,
    known_until_ms: u64,
    /// Time up to which changes were received.
    heard_ms: u64,
    now_ms: u64,
    back_off_ms: u64,
    is_lost: bool,
    cost: Cost,
    /// Pairs of a time and the time up to which all changes were known then.
    confirmed: Vec<(u64, u64)>,
}

impl<'a> Simulation<'a> {
    fn new(store: &'a Store, policy: WatchPolicy) -> Simulation<'a> {
        let start = Instant::now();
        let mut known = KeyFreshness::new(Some(WITHIN));
        known.confirm(start);
        Simulation {
            store,
            policy,
            start,
            known,
            known_until_ms: 0,
            heard_ms: 0,
            now_ms: 0,
            back_off_ms: BACKOFF_MS.0,
            is_lost: false,
            cost: Cost::default(),
            confirmed: vec![(0, 0)],
        }
    }

    fn run(self) -> Cost {
        self.finished().cost
    }

    fn finished(mut self) -> Self {
        while self.now_ms < DURATION_MS {
            match self.is_lost {
                true => self.read(),
                false => self.watch(),
            }
        }
        self
    }

    fn wait_ms(&self) -> u64 {
        let now = self.start + Duration::from_millis(self.now_ms);
        match self.policy {
            WatchPolicy::Fixed | WatchPolicy::ReadAfterChange => {
                MAX_AGE_MS * 2 / 3
            }
            WatchPolicy::Short => MAX_AGE_MS / 3,
            WatchPolicy::WhatIsLeft => {
                let age = self.known.age(now).expect("it was confirmed");
                (MAX_AGE_MS - MAX_AGE_MS.min(age.as_millis() as u64)) * 2 / 3
                    + 1
            }
            WatchPolicy::Watcher => {
                self.known.watch_timeout(now).expect("bounded").as_millis()
                    as u64
            }
        }
    }

    fn watch(&mut self) {
        let (sent, wait) = (self.now_ms, self.wait_ms());
        let change = self.store.next_change(self.heard_ms);
        let changed_at = change.map(|at| at.max(sent));
        let seen_at = changed_at.filter(|at| *at <= sent + wait);
        let done = seen_at.unwrap_or(sent + wait);
        self.cost.calls += 1;
        if self.store.is_cut(sent, done) {
            return self.lost(sent + wait + UNANSWERED_MS);
        }
        self.answered(done);
        self.confirm(if seen_at.is_some() { sent } else { done });
        if seen_at.is_some()
            && matches!(self.policy, WatchPolicy::ReadAfterChange)
        {
            self.read();
        }
    }

    fn read(&mut self) {
        let sent = self.now_ms;
        self.cost.calls += 1;
        if self.store.is_cut(sent, sent) {
            return self.lost(sent + UNANSWERED_MS);
        }
        self.answered(sent);
        self.confirm(sent);
    }

    fn answered(&mut self, at: u64) {
        self.heard_ms = at;
        self.now_ms = at + self.store.answer_ms;
        self.is_lost = false;
        self.back_off_ms = BACKOFF_MS.0;
    }

    fn lost(&mut self, noticed: u64) {
        self.is_lost = true;
        self.now_ms = noticed + self.back_off_ms;
        self.back_off_ms = (self.back_off_ms * 2).min(BACKOFF_MS.1);
    }

    fn confirm(&mut self, until: u64) {
        let sure_until = self.known_until_ms + MAX_AGE_MS;
        self.cost.unsure_ms += self.now_ms.saturating_sub(sure_until);
        self.known_until_ms = self.known_until_ms.max(until);
        self.confirmed.push((self.now_ms, self.known_until_ms));
        self.known.confirm(self.start + Duration::from_millis(until));
    }
}

fn cost(store: &Store, policy: WatchPolicy) -> Cost {
    let cost = Simulation::new(store, policy).run();
    println!("{policy:?}: {cost:?}");
    cost
}

fn every(ms: u64) -> Vec<u64> {
    (1..DURATION_MS / ms).map(|n| n * ms).collect()
}

/// Symptom: all instances rejected requests with keys for 0.8 s although the
/// store worked. Sequence: the configuration changes near the end of a watch;
/// its answer confirms the time at which the watch was sent, 3.1 s ago; the
/// next watch waits for 3.1 s and ends 6.2 s after that time. Cause: each
/// watch waited for a fixed time, whatever time was left.
#[test]
fn a_change_late_in_a_watch_keeps_keys_fresh() {
    let store =
        Store { changes: vec![3_000], answer_ms: 4, ..Store::default() };
    assert!(cost(&store, WatchPolicy::Fixed).unsure_ms > 1_000);
    assert_eq!(cost(&store, WatchPolicy::WhatIsLeft).unsure_ms, 0);
}

/// Simulates an instance that polls those that watch, and reads the store
/// where that is not enough.
fn simulate_poller(
    store: &Store,
    watchers: &[Simulation<'_>],
    lost: f64,
    seed: u64,
) -> Cost {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut known = KeyFreshness::new(Some(WITHIN));
    known.confirm(start);
    let mut poll = FreshnessPoll::default();
    let mut cost = Cost::default();
    let mut read_again_ms = 0;
    // Changes up to this time are in force here.
    let mut has_ms = 0;
    let mut now_ms = seed % CHECK_INTERVAL_MS;
    while now_ms < DURATION_MS {
        let now = at(now_ms);
        if known.is_read_due(now) && now_ms >= read_again_ms {
            cost.calls += 1;
            read_again_ms = now_ms + 600;
            if !store.is_cut(now_ms, now_ms) {
                known.confirm(now);
                has_ms = now_ms;
            }
        }
        if known.next_poll_in(&poll, now) == Some(Duration::ZERO) {
            let watcher = &watchers[poll.next_target(watchers.len())];
            let number = poll.start(now);
            let heard = watcher.confirmed.iter().rev();
            let until = heard.copied().find(|c| c.0 <= now_ms);
            let age_ms = until.map(|(_, until)| now_ms - until);
            if let Some(age_ms) = age_ms
                && !rng.random_bool(lost)
            {
                let age = Duration::from_millis(age_ms);
                let until = poll.record_answer(number, age);
                let until = until.expect("the answer is to the question");
                // A newer version is in force there and is read first.
                let newer = store.next_change(has_ms);
                if newer.is_some_and(|at| at + store.answer_ms <= now_ms) {
                    cost.calls += 1;
                    has_ms = now_ms;
                    known.confirm(now);
                } else {
                    known.confirm(until);
                }
            }
        }
        cost.unsure_ms +=
            if known.is_fresh(now) { 0 } else { CHECK_INTERVAL_MS };
        now_ms += CHECK_INTERVAL_MS;
    }
    cost
}

/// Returns the cost of all instances of a fleet of which four watch and the
/// others poll.
fn simulate_fleet(store: &Store, lost: f64) -> Cost {
    let watchers: Vec<Simulation<'_>> = (0..WATCHERS)
        .map(|_| Simulation::new(store, WatchPolicy::Watcher).finished())
        .collect();
    let watched = watchers.iter().map(|watcher| watcher.cost);
    let asked = (WATCHERS..INSTANCES)
        .map(|n| simulate_poller(store, &watchers, lost, n as u64));
    watched.chain(asked).fold(Cost::default(), |sum, cost| Cost {
        calls: sum.calls + cost.calls,
        unsure_ms: sum.unsure_ms + cost.unsure_ms,
    })
}

/// Compares the ways that stay fresh by their calls to the store, which have a
/// price.
#[test]
fn few_watchers_and_many_pollers_take_the_fewest_calls() {
    for (name, changes) in [
        ("none", Vec::new()),
        ("each 20 s", every(20_000)),
        ("each 7 s", every(7_000)),
        ("a storm", (0..20).map(|n| 30_000 + n * 400).collect()),
    ] {
        println!("== changes: {name}");
        let store = Store { changes, answer_ms: 4, ..Store::default() };
        let left = cost(&store, WatchPolicy::WhatIsLeft);
        let short = cost(&store, WatchPolicy::Short);
        let read = cost(&store, WatchPolicy::ReadAfterChange);
        cost(&store, WatchPolicy::Fixed);
        assert_eq!((left.unsure_ms, short.unsure_ms), (0, 0), "{name}");
        assert!(left.calls <= short.calls, "{name}");
        assert!(left.calls <= read.calls, "{name}");
        let ours = simulate_fleet(&store, 0.01);
        println!("{INSTANCES} instances, asked: {ours:?}");
        assert_eq!(ours.unsure_ms, 0, "{name}");
        assert!(ours.calls * 2 < left.calls * INSTANCES as u32, "{name}");
    }
}

/// An instance that is cut off from the store alone relies on what the other
/// instances know.
#[test]
fn an_instance_cut_off_from_the_store_alone_stays_fresh() {
    let store = Store { answer_ms: 4, ..Store::default() };
    let watchers: Vec<Simulation<'_>> = (0..WATCHERS)
        .map(|_| Simulation::new(&store, WatchPolicy::Watcher).finished())
        .collect();
    let cuts = vec![(10_000, 50_000)];
    let cut_off = Store { cuts, ..Store::default() };
    assert_eq!(simulate_poller(&cut_off, &watchers, 0.05, 7).unsure_ms, 0);
    assert!(cost(&cut_off, WatchPolicy::WhatIsLeft).unsure_ms > 30_000);
}

/// An answer confirms changes up to its question, however late it arrives, and
/// confirms nothing once another question has been sent.
#[test]
fn a_late_answer_confirms_nothing_newer_than_its_question() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let mut poll = FreshnessPoll::default();
    let first = poll.start(start + ms(1_000));
    assert_eq!(poll.record_answer(first, ms(300)), Some(start + ms(700)));
    let second = poll.start(start + ms(2_000));
    assert_eq!(poll.record_answer(first, ms(0)), None);
    assert_eq!(poll.record_answer(second, ms(0)), Some(start + ms(2_000)));
}

/// An outage, wherever it falls between watches, makes the instance reject
/// requests for less time than with watches of a fixed wait, since more time
/// is left when the outage starts after a change.
#[test]
fn an_instance_that_was_cut_off_is_stale_for_less_time() {
    for cut_ms in [500, 2_000, 4_000, 9_000] {
        println!("== cut off for {cut_ms} ms");
        let mean_ms = |policy| {
            let began = (20_000..27_000).step_by(100);
            let unsure = began.map(|began| {
                let cuts = vec![(began, began + cut_ms)];
                let changes = every(7_000);
                let store = Store { cuts, answer_ms: 4, changes };
                Simulation::new(&store, policy).run().unsure_ms
            });
            unsure.sum::<u64>() / 70
        };
        let ours = mean_ms(WatchPolicy::WhatIsLeft);
        let others = [
            WatchPolicy::Fixed,
            WatchPolicy::Short,
            WatchPolicy::ReadAfterChange,
        ];
        println!(
            "{ours} ms; {:?}",
            others.map(|policy| (policy, mean_ms(policy)))
        );
        assert!(ours <= mean_ms(WatchPolicy::Fixed));
    }
}

proptest! {
    #[test]
    fn a_working_store_keeps_keys_fresh(
        mut changes in proptest::collection::vec(0..DURATION_MS, 0..60),
        answer_ms in 1_u64..300,
    ) {
        changes.sort_unstable();
        let store = Store { changes, answer_ms, cuts: Vec::new() };
        prop_assert_eq!(Simulation::new(&store, WatchPolicy::WhatIsLeft).run().unsure_ms, 0);
        prop_assert_eq!(Simulation::new(&store, WatchPolicy::Watcher).run().unsure_ms, 0);
        prop_assert_eq!(simulate_fleet(&store, 0.02).unsure_ms, 0);
    }
}
