//! The fake world of a replay: engines, weight store and time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::budget::StoreLimits;

use super::{
    report::Figures,
    trace::{RequestIdx, Trace, TraceAdapter},
};

/// What the world is made of.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Base models; adapter `a` belongs to model `a % models`.
    pub models: usize,
    /// Engines of each base model.
    pub engines: Vec<usize>,
    /// Adapters that an engine holds.
    pub slots: usize,
    /// Requests in an engine's batch.
    pub seats: usize,
    /// The time of a step with an empty batch.
    pub step: Duration,
    /// What each request in the batch adds to a step.
    pub seat: Duration,
    /// The weight store's limits.
    pub store: StoreLimits,
    /// The time of a load at full speed.
    pub load: Duration,
    /// When engines restart with nothing loaded, and which.
    pub restarts: Vec<Restart>,
    /// The part of loads that fail, in percent, by a fixed pattern.
    pub load_failures_pct: u64,
}

/// A restart of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// When, from the start of the trace.
    pub at: Duration,
    /// Which engine.
    pub engine: usize,
}

/// What a policy wants done.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Start a request on an engine that holds its adapter.
    Start {
        /// The request.
        request: RequestIdx,
        /// The engine.
        engine: usize,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        request: RequestIdx,
    },
    /// Load an adapter, after unloading another.
    Load {
        /// The engine.
        engine: usize,
        /// What to load.
        adapter: TraceAdapter,
        /// What leaves.
        evict: Option<TraceAdapter>,
    },
}

/// An engine as a report shows it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Its base model.
    pub model: usize,
    /// The adapters that are ready, with the requests on each.
    pub ready: Vec<(TraceAdapter, u32)>,
}

/// A way to place, load and refuse.
pub trait Policy {
    /// A request arrives.
    fn arrive(&mut self, idx: RequestIdx, now: Instant) -> Vec<Command>;
    /// A request ended on an engine, in full or cut by a restart.
    fn ended(
        &mut self,
        idx: RequestIdx,
        engine: usize,
        is_whole: bool,
        now: Instant,
    ) -> Vec<Command>;
    /// A load ended.
    fn loaded(
        &mut self,
        engine: usize,
        adapter: TraceAdapter,
        is_loaded: bool,
        now: Instant,
    ) -> Vec<Command>;
    /// An engine restarted with nothing loaded.
    fn restarted(&mut self, engine: usize, now: Instant) -> Vec<Command>;
    /// A report came; it shows the engine as it was at `made`.
    fn report(
        &mut self,
        engine: usize,
        view: &EngineView,
        made: Instant,
        now: Instant,
    ) -> Vec<Command>;
    /// Time passed.
    fn tick(&mut self, now: Instant) -> Vec<Command>;
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Arrive(RequestIdx),
    Step(usize),
    LoadStart(u64),
    StoreProgress(u64),
    Restart(usize),
    Report(usize),
    GiveReport(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: RequestIdx,
    adapter: TraceAdapter,
    left: u32,
    rank: usize,
    order: u64,
}

#[derive(Clone, Debug)]
struct FakeEngine {
    model: usize,
    slots: BTreeMap<TraceAdapter, Option<Duration>>,
    running: Vec<Running>,
    is_stepping: bool,
    boot: u64,
    last_report: Option<(Duration, EngineView)>,
}

#[derive(Clone, Copy, Debug)]
struct StoreLoad {
    id: u64,
    engine: usize,
    adapter: TraceAdapter,
    boot: u64,
    left_s: f64,
}

/// A world in which a trace runs.
pub struct World<'a> {
    settings: &'a WorldSettings,
    trace: &'a Trace,
    base: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, EventKind)>>,
    order: u64,
    engines: Vec<FakeEngine>,
    loads: Vec<StoreLoad>,
    waiting_loads: BTreeMap<u64, StoreLoad>,
    next_load: u64,
    store_free: Duration,
    store_touched: Duration,
    store_turn: u64,
    figures: Figures,
}

const TICK: Duration = Duration::from_millis(50);
const REPORT_EVERY: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(200);

/// After the trace, what runs may end for this long.
const TAIL: Duration = Duration::from_secs(130);

impl<'a> World<'a> {
    /// Returns a world at the start of a trace.
    pub fn new(settings: &'a WorldSettings, trace: &'a Trace) -> World<'a> {
        let engines = settings
            .engines
            .iter()
            .enumerate()
            .flat_map(|(model, len)| std::iter::repeat_n(model, *len))
            .map(|model| FakeEngine {
                model,
                slots: BTreeMap::new(),
                running: Vec::new(),
                is_stepping: false,
                boot: 0,
                last_report: None,
            })
            .collect();
        World {
            settings,
            trace,
            base: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            engines,
            loads: Vec::new(),
            waiting_loads: BTreeMap::new(),
            next_load: 0,
            store_free: Duration::ZERO,
            store_touched: Duration::ZERO,
            store_turn: 0,
            figures: Figures::new(trace),
        }
    }

    /// Returns the time at which policies see the start of the trace.
    pub fn base(&self) -> Instant {
        self.base
    }

    /// Runs the whole trace through a policy.
    pub fn run(mut self, policy: &mut dyn Policy) -> Figures {
        for (idx, request) in self.trace.requests.iter().enumerate() {
            self.schedule(request.arrives, EventKind::Arrive(idx));
        }
        for restart in &self.settings.restarts {
            self.schedule(restart.at, EventKind::Restart(restart.engine));
        }
        for engine in 0..self.engines.len() {
            self.schedule(REPORT_EVERY, EventKind::Report(engine));
        }
        self.schedule(TICK, EventKind::Tick);
        let end = self.trace.lasts + TAIL;
        while let Some(Reverse((at, _, kind))) = self.events.pop() {
            if at > end || self.figures.is_settled(at, self.trace) {
                break;
            }
            self.now = at;
            let commands = self.happen(kind, policy);
            self.carry_out(commands, policy);
        }
        self.figures.close(self.trace);
        self.figures
    }

    fn happen(
        &mut self,
        kind: EventKind,
        policy: &mut dyn Policy,
    ) -> Vec<Command> {
        let now = self.base + self.now;
        match kind {
            EventKind::Arrive(idx) => policy.arrive(idx, now),
            EventKind::Step(engine) => self.step(engine, policy),
            EventKind::LoadStart(id) => {
                self.start_load(id);
                Vec::new()
            }
            EventKind::StoreProgress(turn) => self.progress(turn, policy),
            EventKind::Restart(engine) => self.restart(engine, policy),
            EventKind::Report(engine) => {
                let view = self.view(engine);
                self.engines[engine].last_report = Some((self.now, view));
                let at = self.now + REPORT_LAG;
                self.schedule(at, EventKind::GiveReport(engine));
                let next = self.now + REPORT_EVERY;
                self.schedule(next, EventKind::Report(engine));
                Vec::new()
            }
            EventKind::GiveReport(engine) => {
                let report = self.engines[engine].last_report.clone();
                let Some((made, view)) = report else { return Vec::new() };
                policy.report(engine, &view, self.base + made, now)
            }
            EventKind::Tick => {
                self.schedule(self.now + TICK, EventKind::Tick);
                policy.tick(now)
            }
        }
    }

    fn carry_out(&mut self, commands: Vec<Command>, policy: &mut dyn Policy) {
        let mut todo = std::collections::VecDeque::from(commands);
        while let Some(command) = todo.pop_front() {
            match command {
                Command::Start { request, engine } => {
                    self.start(request, engine);
                }
                Command::Refuse { request } => {
                    self.figures.refuse(request, self.now);
                }
                Command::Load { engine, adapter, evict } => {
                    if let Some(victim) = evict {
                        self.unload(engine, victim);
                    }
                    if !self.order_load(engine, adapter) {
                        let now = self.base + self.now;
                        let more = policy.loaded(engine, adapter, false, now);
                        todo.extend(more);
                    }
                }
            }
        }
    }

    fn start(&mut self, request: RequestIdx, engine: usize) {
        let wanted = self.trace.requests[request];
        let host = &mut self.engines[engine];
        let Some(Some(ready)) = host.slots.get(&wanted.adapter) else {
            self.figures.wrong_starts += 1;
            return;
        };
        let stall = ready.saturating_sub(wanted.arrives);
        self.order += 1;
        host.running.push(Running {
            request,
            adapter: wanted.adapter,
            left: wanted.tokens.max(1),
            rank: wanted.priority.rank(),
            order: self.order,
        });
        self.figures.start(request, self.now, stall);
        self.wake(engine);
    }

    fn wake(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        if host.is_stepping || host.running.is_empty() {
            return;
        }
        host.is_stepping = true;
        let batch = host.running.len().min(self.settings.seats) as u32;
        let took = self.settings.step + self.settings.seat * batch;
        self.schedule(self.now + took, EventKind::Step(engine));
    }

    fn step(
        &mut self,
        engine: usize,
        policy: &mut dyn Policy,
    ) -> Vec<Command> {
        let seats = self.settings.seats;
        let host = &mut self.engines[engine];
        host.is_stepping = false;
        host.running.sort_by_key(|seq| (seq.rank, seq.order));
        let batch = host.running.len().min(seats);
        self.figures.note_step(batch, seats);
        for seq in host.running.iter_mut().take(batch) {
            seq.left -= 1;
            self.figures.note_token(seq.request, self.now);
        }
        let (over, running): (Vec<_>, Vec<_>) =
            host.running.drain(..).partition(|seq| seq.left == 0);
        host.running = running;
        let now = self.base + self.now;
        let mut commands = Vec::new();
        for seq in over {
            self.figures.end(seq.request, self.now);
            commands.extend(policy.ended(seq.request, engine, true, now));
        }
        self.wake(engine);
        commands
    }

    fn unload(&mut self, engine: usize, adapter: TraceAdapter) {
        let host = &mut self.engines[engine];
        if host.running.iter().any(|seq| seq.adapter == adapter) {
            self.figures.unloaded_while_serving += 1;
        }
        if host.slots.remove(&adapter).is_some() {
            self.figures.evictions += 1;
        }
    }

    fn order_load(&mut self, engine: usize, adapter: TraceAdapter) -> bool {
        self.figures.loads += 1;
        let slots = self.settings.slots;
        let host = &mut self.engines[engine];
        if host.slots.contains_key(&adapter) || host.slots.len() >= slots {
            return false;
        }
        host.slots.insert(adapter, None);
        let boot = host.boot;
        self.next_load += 1;
        let id = self.next_load;
        // The store starts loads at its rate; a second's worth is saved up.
        let gap =
            Duration::from_secs_f64(1.0 / self.settings.store.rate_per_s);
        let saved = Duration::from_secs(1).saturating_sub(gap);
        let start = self.store_free.max(self.now.saturating_sub(saved));
        self.store_free = start + gap;
        let left_s = self.settings.load.as_secs_f64();
        let load = StoreLoad { id, engine, adapter, boot, left_s };
        self.waiting_loads.insert(id, load);
        self.schedule(start.max(self.now), EventKind::LoadStart(id));
        true
    }

    fn start_load(&mut self, id: u64) {
        self.advance_store();
        if let Some(load) = self.waiting_loads.remove(&id) {
            self.loads.push(load);
        }
        self.figures.note_loads_at_once(self.loads.len());
        self.plan_store();
    }

    fn progress(
        &mut self,
        turn: u64,
        policy: &mut dyn Policy,
    ) -> Vec<Command> {
        if turn != self.store_turn {
            return Vec::new();
        }
        self.advance_store();
        let (over, left): (Vec<_>, Vec<_>) =
            self.loads.drain(..).partition(|load| load.left_s <= 1e-9);
        self.loads = left;
        let now = self.base + self.now;
        let mut commands = Vec::new();
        for load in over {
            let host = &mut self.engines[load.engine];
            if host.boot != load.boot {
                continue;
            }
            let pct = self.settings.load_failures_pct;
            let is_loaded = load.id * 37 % 100 >= pct;
            if is_loaded {
                host.slots.insert(load.adapter, Some(self.now));
            } else {
                host.slots.remove(&load.adapter);
            }
            let more =
                policy.loaded(load.engine, load.adapter, is_loaded, now);
            commands.extend(more);
        }
        self.plan_store();
        commands
    }

    fn advance_store(&mut self) {
        let elapsed = (self.now - self.store_touched).as_secs_f64();
        self.store_touched = self.now;
        let speed = self.store_speed();
        for load in &mut self.loads {
            load.left_s -= elapsed * speed;
        }
    }

    fn store_speed(&self) -> f64 {
        let active = self.loads.len().max(1) as f64;
        (self.settings.store.concurrency / active).min(1.0)
    }

    fn plan_store(&mut self) {
        self.store_turn += 1;
        let least = self.loads.iter().map(|load| load.left_s);
        let Some(left_s) = least.min_by(f64::total_cmp) else { return };
        let wait = left_s.max(0.0) / self.store_speed();
        let at =
            self.now + Duration::from_secs_f64(wait) + Duration::from_nanos(1);
        self.schedule(at, EventKind::StoreProgress(self.store_turn));
    }

    fn restart(
        &mut self,
        engine: usize,
        policy: &mut dyn Policy,
    ) -> Vec<Command> {
        let host = &mut self.engines[engine];
        host.boot += 1;
        host.slots.clear();
        host.last_report = None;
        let cut = std::mem::take(&mut host.running);
        let now = self.base + self.now;
        let mut commands = policy.restarted(engine, now);
        for seq in cut {
            self.figures.cut(seq.request);
            commands.extend(policy.ended(seq.request, engine, false, now));
        }
        commands
    }

    fn view(&self, engine: usize) -> EngineView {
        let host = &self.engines[engine];
        let ready = host
            .slots
            .iter()
            .filter(|(_, ready)| ready.is_some())
            .map(|(adapter, _)| {
                let on_it =
                    host.running.iter().filter(|seq| seq.adapter == *adapter);
                (*adapter, on_it.count() as u32)
            })
            .collect();
        EngineView { model: host.model, ready }
    }

    fn schedule(&mut self, at: Duration, kind: EventKind) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, kind)));
    }
}
