//! A model, without I/O, of instances that read one configuration from a store
//! and from each other, with partitions, lost notes, stale reads and restarts.

use std::time::Duration;

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    back_off::{BackOff, CallKind},
    catch_up::{CatchUp, StateSummary, Step},
};

/// One step of the model.
const TICK: Duration = Duration::from_millis(10);

/// Number of ticks in one simulation, which spans 30 s.
const TICKS: u32 = 3_000;

/// Time within which a version is in force wherever a path to the store or to
/// another instance that has it exists.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// Interval between the notes of an instance, in ticks.
const NOTE_INTERVAL: u32 = 15;

/// Timeout of a call to the store, in ticks.
const CALL_TICKS: u32 = 120;

/// Timeout of a request to another instance, in ticks.
const FETCH_TICKS: u32 = 20;

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    instances: usize,
    /// Ticks between two versions.
    change_every: u32,
    /// Ticks between two faults.
    fault_every: u32,
    /// Maximum duration of a fault, in ticks.
    fault_for: u32,
    /// Fraction of the notes that is lost.
    lost: f64,
    /// Lag of reads by instances that do not watch the store, in ticks.
    stale: u32,
    seed: u64,
}

/// State of an instance's access to the store.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// The instance receives each change.
    Watching,
    /// The instance waits for an answer until this tick.
    Calling(u32),
    /// The instance pauses until this tick.
    Pausing(u32),
}

struct Instance {
    version: u64,
    catch_up: CatchUp,
    back_off: BackOff,
    reading: Reading,
    /// Timeout of the current request to another instance, and the instance.
    asking: Option<(u32, usize)>,
    next_step: u32,
    /// Tick of the last restart.
    restarted_at: u32,
    /// Tick until which the instance is cut off from the store.
    cut_until: u32,
}

impl Instance {
    fn new(tick: u32) -> Instance {
        Instance {
            version: 0,
            catch_up: CatchUp::default(),
            back_off: BackOff::within(IN_FORCE_WITHIN),
            reading: Reading::Calling(tick + CALL_TICKS),
            asking: None,
            next_step: tick,
            restarted_at: tick,
            cut_until: 0,
        }
    }
}

/// The outcome of one simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Delay, instance and version of each case in which a version was not in
    /// force in time.
    late: Vec<(Duration, usize, u64)>,
    /// Number of times that an instance went back to an older version within
    /// one run.
    back: u32,
    questions: u32,
}

struct World {
    scenario: Scenario,
    rng: StdRng,
    origin: Instant,
    instances: Vec<Instance>,
    /// Ticks until which messages from one instance to another are lost.
    links: Vec<Vec<u32>>,
    /// Tick at which the store acknowledged each version.
    acknowledged: Vec<u32>,
    /// For each pair, the tick since which messages pass in both directions.
    whole_since: Vec<Vec<u32>>,
    /// Ticks since which each instance has had each version.
    had_since: Vec<Vec<u32>>,
    outcome: Outcome,
}

impl World {
    fn new(scenario: Scenario) -> World {
        let n = scenario.instances;
        World {
            scenario,
            rng: StdRng::seed_from_u64(scenario.seed),
            origin: Instant::now(),
            instances: (0..n).map(|_| Instance::new(0)).collect(),
            links: vec![vec![0; n]; n],
            acknowledged: vec![0, 0],
            whole_since: vec![vec![0; n]; n],
            had_since: vec![vec![]; n],
            outcome: Outcome::default(),
        }
    }

    fn at(&self, tick: u32) -> Instant {
        self.origin + TICK * tick
    }

    fn newest(&self) -> u64 {
        self.acknowledged.len() as u64 - 1
    }

    /// Returns the version that an instance reads from the store.
    fn shown(&self, idx: usize, tick: u32) -> u64 {
        let lag = if idx == 0 { 0 } else { self.scenario.stale };
        let shown = self.acknowledged.iter().rposition(|at| at + lag <= tick);
        shown.unwrap_or(0) as u64
    }

    fn reaches(&self, from: usize, to: usize, tick: u32) -> bool {
        self.links[from][to] <= tick
    }

    fn faults(&mut self, tick: u32) {
        if !tick.is_multiple_of(self.scenario.fault_every) || tick == 0 {
            return;
        }
        let n = self.scenario.instances;
        let until = tick + self.rng.random_range(1..=self.scenario.fault_for);
        let idx = self.rng.random_range(0..n);
        match self.rng.random_range(0..5) {
            0 | 1 => self.instances[idx].cut_until = until,
            2 => {
                let other = self.rng.random_range(0..n);
                self.links[idx][other] = until;
            }
            3 => {
                for other in 0..n {
                    self.links[idx][other] = until;
                    self.links[other][idx] = until;
                }
            }
            _ => {
                self.instances[idx] = Instance::new(tick);
                self.had_since[idx].clear();
            }
        }
    }

    fn read(&mut self, idx: usize, tick: u32) {
        let shown = self.shown(idx, tick);
        let is_cut = tick < self.instances[idx].cut_until;
        let calls = if idx == 0 { CallKind::Watcher } else { CallKind::First };
        let instance = &mut self.instances[idx];
        match instance.reading {
            Reading::Watching if is_cut => {
                instance.reading = Reading::Calling(tick + CALL_TICKS);
            }
            Reading::Watching => {
                instance.version = instance.version.max(shown)
            }
            Reading::Calling(until) if tick < until && is_cut => {}
            Reading::Calling(until) if tick < until => {
                // A call that was in progress during the outage is lost; a new
                // one is answered at once.
                let sent = until - CALL_TICKS;
                if sent >= instance.cut_until {
                    instance.back_off.answered();
                    instance.reading = Reading::Watching;
                    instance.version = instance.version.max(shown);
                }
            }
            Reading::Calling(_) => {
                let pause = instance.back_off.failed(calls, true);
                let ticks = (pause.as_millis() / TICK.as_millis()) as u32;
                instance.reading = Reading::Pausing(tick + ticks);
            }
            Reading::Pausing(until) if tick < until => {}
            Reading::Pausing(_) => {
                instance.reading = Reading::Calling(tick + CALL_TICKS);
            }
        }
    }

    fn tell(&mut self, idx: usize, tick: u32) {
        if !(tick + idx as u32).is_multiple_of(NOTE_INTERVAL) {
            return;
        }
        let knows = StateSummary {
            configuration: self.instances[idx].version,
            ..StateSummary::default()
        };
        let now = self.at(tick);
        for other in 0..self.scenario.instances {
            let is_lost = self.rng.random_bool(self.scenario.lost);
            if other == idx || is_lost || !self.reaches(idx, other, tick) {
                continue;
            }
            let heard = &mut self.instances[other];
            heard.catch_up.record_peer(&idx.to_string(), knows, true, now);
            heard.next_step = tick;
        }
    }

    fn ask(&mut self, idx: usize, tick: u32) {
        let now = self.at(tick);
        if let Some((until, whom)) = self.instances[idx].asking {
            let is_way =
                self.reaches(idx, whom, tick) && self.reaches(whom, idx, tick);
            let theirs = self.instances[whom].version;
            let instance = &mut self.instances[idx];
            if is_way {
                instance.asking = None;
                if theirs > instance.version {
                    instance.version = theirs;
                } else {
                    instance.catch_up.fetch_failed(&whom.to_string(), now);
                }
            } else if tick >= until {
                instance.asking = None;
                instance.catch_up.fetch_failed(&whom.to_string(), now);
            }
            return;
        }
        if tick < self.instances[idx].next_step {
            return;
        }
        let draw = self.rng.random();
        let others = self.scenario.instances - 1;
        let instance = &mut self.instances[idx];
        let own = StateSummary {
            configuration: instance.version,
            ..StateSummary::default()
        };
        match instance.catch_up.step(own, others, draw, now) {
            Step::Idle => instance.next_step = u32::MAX,
            Step::Wait(until) => {
                let wait = until.saturating_duration_since(now).as_millis();
                instance.next_step = tick + 1 + (wait / 10) as u32;
            }
            Step::Fetch(whom) => {
                let whom = whom.parse().expect("an index");
                instance.asking = Some((tick + FETCH_TICKS, whom));
                instance.next_step = tick;
                self.outcome.questions += 1;
            }
        }
    }

    /// Records since when paths work and versions are present, and checks for
    /// late versions.
    fn check(&mut self, tick: u32, before: &[u64]) {
        let n = self.scenario.instances;
        for (idx, before) in before.iter().enumerate() {
            let version = self.instances[idx].version;
            let is_same_life = self.instances[idx].restarted_at < tick;
            self.outcome.back += u32::from(is_same_life && version < *before);
            let had = &mut self.had_since[idx];
            while (had.len() as u64) <= version {
                had.push(tick);
            }
            for other in 0..n {
                let is_whole = self.reaches(idx, other, tick)
                    && self.reaches(other, idx, tick);
                if !is_whole {
                    self.whole_since[idx][other] = tick + 1;
                }
            }
        }
        let within = (IN_FORCE_WITHIN.as_millis() / TICK.as_millis()) as u32;
        for idx in 0..n {
            let version = self.instances[idx].version;
            if version >= self.newest() {
                continue;
            }
            let missed = version + 1;
            let held_up = self.instances[idx].restarted_at;
            let since = (0..n).filter(|other| *other != idx).filter_map(|o| {
                let had = *self.had_since[o].get(missed as usize)?;
                let since = had.max(self.whole_since[idx][o]).max(held_up);
                Some(since.max(self.instances[o].restarted_at))
            });
            let store = (idx == 0 || self.scenario.stale == 0).then(|| {
                let acked = self.acknowledged[missed as usize];
                acked.max(self.instances[idx].cut_until).max(held_up)
            });
            let Some(since) = since.chain(store).min() else { continue };
            if tick > since + within {
                let late = (TICK * (tick - since), idx, missed);
                self.outcome.late.push(late);
            }
        }
    }

    fn simulate(mut self) -> Outcome {
        for tick in 1..TICKS {
            if tick.is_multiple_of(self.scenario.change_every) {
                self.acknowledged.push(tick);
            }
            let before: Vec<u64> =
                self.instances.iter().map(|i| i.version).collect();
            self.faults(tick);
            for idx in 0..self.scenario.instances {
                self.read(idx, tick);
                self.tell(idx, tick);
                self.ask(idx, tick);
            }
            self.check(tick, &before);
        }
        self.outcome
    }
}

prop_compose! {
    fn any_scenario()(
        instances in 2_usize..9,
        change_every in 20_u32..300,
        fault_every in 15_u32..400,
        fault_for in 50_u32..1_500,
        lost in 0.0..0.3_f64,
        stale in prop_oneof![Just(0_u32), 0_u32..800],
        seed in any::<u64>(),
    ) -> Scenario {
        Scenario {
            instances, change_every, fault_every, fault_for, lost, stale, seed,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a configuration that is not in force in time: one that
    /// the store had acknowledged 2.2 s before was not in force at an instance
    /// whose path to the store was cut, although six others had it and
    /// reported its version. Wherever a path to the store, or to an instance
    /// that has the version, works for the time within which it must be in
    /// force, it is; and no instance goes back to an older version.
    #[test]
    fn a_version_is_in_force_in_time_wherever_a_path_exists(scenario in any_scenario()) {
        let outcome = World::new(scenario).simulate();
        prop_assert_eq!(outcome.back, 0);
        let late = outcome.late.first();
        prop_assert!(late.is_none(), "{:?} of {}", late, outcome.late.len());
    }
}

/// A case in which a version was in force 2.01 s late if no instance asks
/// another: an instance whose reads lag by 0.13 s was cut off from the store
/// again and again, beside one that had the version.
#[test]
fn a_version_that_only_peers_can_bring_is_in_force_in_time() {
    let outcome = World::new(Scenario {
        instances: 2,
        change_every: 20,
        fault_every: 49,
        fault_for: 50,
        lost: 0.0,
        stale: 13,
        seed: 16_836_398_738_045_868_757,
    })
    .simulate();
    assert!(outcome.late.is_empty(), "{:?}", outcome.late);
    assert!(outcome.questions > 0);
}
