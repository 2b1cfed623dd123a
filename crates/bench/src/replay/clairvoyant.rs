//! A policy that knows the trace, to compare with.
//!
//! It binds late as ours does, loads ahead by the number of requests that will
//! arrive soon, and evicts what is next needed last (Belady). It is a schedule
//! that can be reached with knowledge of the future, not a proven optimum.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::{Priority, budget::LoadBudget};

use super::{
    trace::{RequestIdx, Trace, TraceAdapter},
    world::{Command, EngineView, Policy, WorldSettings},
};

#[derive(Clone, Debug)]
struct Slot {
    adapter: TraceAdapter,
    is_ready: bool,
    running: u32,
}

#[derive(Clone, Debug)]
struct Host {
    model: usize,
    slots: Vec<Slot>,
    running: [u32; 3],
}

/// A policy that knows the future.
pub struct Clairvoyant<'a> {
    trace: &'a Trace,
    models: usize,
    slots_len: usize,
    seats: u32,
    base: Instant,
    budget: LoadBudget,
    hosts: Vec<Host>,
    waiting: BTreeMap<TraceAdapter, VecDeque<RequestIdx>>,
    /// Arrivals still to come, by adapter.
    future: Vec<VecDeque<Duration>>,
    /// Adapters by their next arrival.
    upcoming: BTreeSet<(Duration, TraceAdapter)>,
    started: BTreeMap<(usize, TraceAdapter), Instant>,
}

/// How far it looks ahead for loads.
const AHEAD: Duration = Duration::from_secs(20);

impl<'a> Clairvoyant<'a> {
    /// Returns a clairvoyant policy over a world's engines.
    pub fn new(
        trace: &'a Trace,
        world: &WorldSettings,
        base: Instant,
    ) -> Clairvoyant<'a> {
        let mut future = vec![VecDeque::new(); trace.adapters];
        for request in &trace.requests {
            future[request.adapter].push_back(request.arrives);
        }
        let upcoming = future
            .iter()
            .enumerate()
            .filter_map(|(adapter, at)| Some((*at.front()?, adapter)))
            .collect();
        let hosts = world
            .engines
            .iter()
            .enumerate()
            .flat_map(|(model, len)| std::iter::repeat_n(model, *len))
            .map(|model| Host { model, slots: Vec::new(), running: [0; 3] })
            .collect();
        Clairvoyant {
            trace,
            models: world.models,
            slots_len: world.slots,
            seats: world.seats as u32,
            base,
            budget: LoadBudget::new(world.store, base),
            hosts,
            waiting: BTreeMap::new(),
            future,
            upcoming,
            started: BTreeMap::new(),
        }
    }

    fn is_placed(&self, adapter: TraceAdapter) -> bool {
        self.hosts
            .iter()
            .any(|host| host.slots.iter().any(|s| s.adapter == adapter))
    }

    fn free_seats(&self, host: &Host, priority: Priority) -> u32 {
        let taken = match priority {
            Priority::Batch => host.running.iter().sum(),
            _ => host.running[0] + host.running[1],
        };
        self.seats.saturating_sub(taken)
    }

    fn dispatch(&mut self, adapter: TraceAdapter) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(mut queue) = self.waiting.remove(&adapter) else {
            return commands;
        };
        queue
            .make_contiguous()
            .sort_by_key(|idx| (self.trace.requests[*idx].priority, *idx));
        while let Some(request) = queue.front().copied() {
            let priority = self.trace.requests[request].priority;
            let host = (0..self.hosts.len())
                .filter(|idx| {
                    let host = &self.hosts[*idx];
                    self.free_seats(host, priority) > 0
                        && host
                            .slots
                            .iter()
                            .any(|s| s.adapter == adapter && s.is_ready)
                })
                .max_by_key(|idx| {
                    self.free_seats(&self.hosts[*idx], priority)
                });
            let Some(engine) = host else { break };
            queue.pop_front();
            let host = &mut self.hosts[engine];
            host.running[priority.rank()] += 1;
            for slot in &mut host.slots {
                slot.running += u32::from(slot.adapter == adapter);
            }
            commands.push(Command::Start { request, engine });
        }
        if !queue.is_empty() {
            self.waiting.insert(adapter, queue);
        }
        commands
    }

    /// Drops what nobody waits for any more.
    fn drop_late(&mut self, now: Instant) -> Vec<Command> {
        let at = now - self.base;
        let mut late = Vec::new();
        for queue in self.waiting.values_mut() {
            queue.retain(|request| {
                let wanted = self.trace.requests[*request];
                let is_late = at > wanted.arrives + wanted.within;
                if is_late {
                    late.push(Command::Refuse { request: *request });
                }
                !is_late
            });
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        late
    }

    fn next_need(&self, adapter: TraceAdapter, at: Duration) -> Duration {
        if self.waiting.contains_key(&adapter) {
            return at;
        }
        self.future[adapter].front().copied().unwrap_or(Duration::MAX)
    }

    /// The value of a load: what waits, and what will arrive soon.
    fn value(&self, adapter: TraceAdapter, at: Duration) -> f64 {
        let waiting = self.waiting.get(&adapter).map_or(0, VecDeque::len);
        let soon = self.future[adapter]
            .iter()
            .take_while(|next| **next < at + AHEAD)
            .map(|next| 1.0 / (1.0 + (*next - at).as_secs_f64()))
            .sum::<f64>();
        waiting as f64 * 2.0 + soon
    }

    fn place(&mut self, now: Instant) -> Vec<Command> {
        let at = now - self.base;
        let mut commands = Vec::new();
        while self.budget.may_start(now) {
            let soon = self
                .upcoming
                .iter()
                .take_while(|(next, _)| *next < at + AHEAD)
                .map(|(_, adapter)| *adapter);
            let best = self
                .waiting
                .keys()
                .copied()
                .chain(soon)
                .filter(|adapter| !self.is_placed(*adapter))
                .map(|adapter| (adapter, self.value(adapter, at)))
                .max_by(|a, b| a.1.total_cmp(&b.1));
            let Some((adapter, _)) = best else { break };
            let Some((engine, evict)) = self.room(adapter, at) else { break };
            let host = &mut self.hosts[engine];
            host.slots.retain(|slot| Some(slot.adapter) != evict);
            host.slots.push(Slot { adapter, is_ready: false, running: 0 });
            self.budget.start();
            self.started.insert((engine, adapter), now);
            commands.push(Command::Load { engine, adapter, evict });
        }
        commands
    }

    /// An empty slot, or the idle adapter that is needed last.
    fn room(
        &self,
        adapter: TraceAdapter,
        at: Duration,
    ) -> Option<(usize, Option<TraceAdapter>)> {
        let model = adapter % self.models;
        let own = self.next_need(adapter, at);
        let members =
            || self.hosts.iter().enumerate().filter(|(_, h)| h.model == model);
        let empty = members()
            .filter(|(_, host)| host.slots.len() < self.slots_len)
            .min_by_key(|(_, host)| host.running.iter().sum::<u32>());
        if let Some((engine, _)) = empty {
            return Some((engine, None));
        }
        members()
            .flat_map(|(engine, host)| {
                host.slots.iter().map(move |slot| (engine, slot))
            })
            .filter(|(_, slot)| slot.is_ready && slot.running == 0)
            .map(|(engine, slot)| {
                (self.next_need(slot.adapter, at), engine, slot.adapter)
            })
            .max()
            .filter(|(need, _, _)| *need > own)
            .map(|(_, engine, victim)| (engine, Some(victim)))
    }
}

impl Policy for Clairvoyant<'_> {
    fn arrive(&mut self, idx: RequestIdx, now: Instant) -> Vec<Command> {
        let adapter = self.trace.requests[idx].adapter;
        if let Some(at) = self.future[adapter].pop_front() {
            self.upcoming.remove(&(at, adapter));
        }
        if let Some(next) = self.future[adapter].front() {
            self.upcoming.insert((*next, adapter));
        }
        self.waiting.entry(adapter).or_default().push_back(idx);
        let mut commands = self.dispatch(adapter);
        commands.extend(self.place(now));
        commands
    }

    fn ended(
        &mut self,
        idx: RequestIdx,
        engine: usize,
        is_whole: bool,
        now: Instant,
    ) -> Vec<Command> {
        let wanted = self.trace.requests[idx];
        let host = &mut self.hosts[engine];
        let running = &mut host.running[wanted.priority.rank()];
        *running = running.saturating_sub(1);
        for slot in &mut host.slots {
            if slot.adapter == wanted.adapter {
                slot.running = slot.running.saturating_sub(1);
            }
        }
        if !is_whole {
            self.waiting.entry(wanted.adapter).or_default().push_front(idx);
        }
        let residents: Vec<TraceAdapter> =
            self.hosts[engine].slots.iter().map(|s| s.adapter).collect();
        let mut commands: Vec<Command> = residents
            .into_iter()
            .flat_map(|adapter| self.dispatch(adapter))
            .collect();
        commands.extend(self.place(now));
        commands
    }

    fn loaded(
        &mut self,
        engine: usize,
        adapter: TraceAdapter,
        is_loaded: bool,
        now: Instant,
    ) -> Vec<Command> {
        let started = self.started.remove(&(engine, adapter));
        self.budget.finish(started.map(|started| now - started));
        let host = &mut self.hosts[engine];
        if is_loaded {
            for slot in &mut host.slots {
                slot.is_ready |= slot.adapter == adapter;
            }
        } else {
            host.slots.retain(|slot| slot.adapter != adapter);
        }
        let mut commands = self.dispatch(adapter);
        commands.extend(self.place(now));
        commands
    }

    fn restarted(&mut self, engine: usize, _now: Instant) -> Vec<Command> {
        let host = &mut self.hosts[engine];
        for slot in std::mem::take(&mut host.slots) {
            if self.started.remove(&(engine, slot.adapter)).is_some() {
                self.budget.finish(None);
            }
        }
        Vec::new()
    }

    fn report(
        &mut self,
        _engine: usize,
        _view: &EngineView,
        _made: Instant,
        _now: Instant,
    ) -> Vec<Command> {
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = self.drop_late(now);
        commands.extend(self.place(now));
        commands
    }
}
