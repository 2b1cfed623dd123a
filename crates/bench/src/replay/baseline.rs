//! Simple ways of routing, to compare with.
//!
//! They see every engine exactly and at once, which no router of several
//! instances does, so they are stronger here than they would be in service.
//! A request is bound to an engine when it arrives; if its adapter is not
//! there it is loaded on demand, in place of the one that was used longest
//! ago and serves nothing.

use std::collections::VecDeque;

use sedgewall_clock::Instant;
use sedgewall_coordination::rendezvous;

use super::{
    trace::{RequestIdx, Trace, TraceAdapter},
    world::{Command, EngineView, Policy, WorldSettings},
};

/// How an engine is picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pick {
    /// The least loaded engine that has the adapter, or else the least loaded.
    LeastLoaded,
    /// Always the same engine for an adapter.
    HashAffinity,
    /// One after the other.
    RoundRobin,
}

#[derive(Clone, Debug)]
struct BaseSlot {
    adapter: TraceAdapter,
    is_ready: bool,
    running: u32,
    used: Instant,
}

#[derive(Clone, Debug)]
struct BaseEngine {
    model: usize,
    slots: Vec<BaseSlot>,
    running: u32,
    waiting: VecDeque<RequestIdx>,
}

/// A simple way of routing.
pub struct Baseline<'a> {
    trace: &'a Trace,
    pick: Pick,
    models: usize,
    slots_len: usize,
    base: Instant,
    engines: Vec<BaseEngine>,
    turn: usize,
}

impl<'a> Baseline<'a> {
    /// Returns a baseline over a world's engines.
    pub fn new(
        trace: &'a Trace,
        world: &WorldSettings,
        pick: Pick,
        base: Instant,
    ) -> Baseline<'a> {
        let engines = world
            .engines
            .iter()
            .enumerate()
            .flat_map(|(model, len)| std::iter::repeat_n(model, *len))
            .map(|model| BaseEngine {
                model,
                slots: Vec::new(),
                running: 0,
                waiting: VecDeque::new(),
            })
            .collect();
        Baseline {
            trace,
            pick,
            models: world.models,
            slots_len: world.slots,
            base,
            engines,
            turn: 0,
        }
    }

    fn choose(&mut self, adapter: TraceAdapter) -> usize {
        let model = adapter % self.models;
        let members: Vec<usize> = (0..self.engines.len())
            .filter(|idx| self.engines[*idx].model == model)
            .collect();
        match self.pick {
            Pick::RoundRobin => {
                self.turn += 1;
                members[self.turn % members.len()]
            }
            Pick::HashAffinity => members
                .iter()
                .copied()
                .max_by_key(|idx| {
                    let node = idx.to_string();
                    rendezvous::score(&node, &adapter.to_string())
                })
                .unwrap_or(0),
            Pick::LeastLoaded => members
                .iter()
                .copied()
                .min_by_key(|idx| {
                    let engine = &self.engines[*idx];
                    let has =
                        engine.slots.iter().any(|s| s.adapter == adapter);
                    let load = engine.running as usize + engine.waiting.len();
                    (!has, load)
                })
                .unwrap_or(0),
        }
    }

    /// Starts what can be started on an engine, and loads what is missing.
    fn serve(&mut self, idx: usize, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        let waiting = std::mem::take(&mut self.engines[idx].waiting);
        for request in waiting {
            let wanted = self.trace.requests[request];
            if now - self.base > wanted.arrives + wanted.within {
                // Its caller gave up; a router would waste a load on it.
                commands.push(Command::Refuse { request });
                continue;
            }
            let engine = &mut self.engines[idx];
            let slot =
                engine.slots.iter_mut().find(|s| s.adapter == wanted.adapter);
            match slot {
                Some(slot) if slot.is_ready => {
                    slot.running += 1;
                    slot.used = now;
                    engine.running += 1;
                    commands.push(Command::Start { request, engine: idx });
                }
                Some(_) => engine.waiting.push_back(request),
                None => {
                    engine.waiting.push_back(request);
                    commands.extend(self.load(idx, wanted.adapter, now));
                }
            }
        }
        commands
    }

    fn load(
        &mut self,
        idx: usize,
        adapter: TraceAdapter,
        now: Instant,
    ) -> Option<Command> {
        let slots_len = self.slots_len;
        let engine = &mut self.engines[idx];
        let mut evict = None;
        if engine.slots.len() >= slots_len {
            let victim = engine
                .slots
                .iter()
                .filter(|slot| slot.is_ready && slot.running == 0)
                .min_by_key(|slot| slot.used)?
                .adapter;
            engine.slots.retain(|slot| slot.adapter != victim);
            evict = Some(victim);
        }
        let slot =
            BaseSlot { adapter, is_ready: false, running: 0, used: now };
        engine.slots.push(slot);
        Some(Command::Load { engine: idx, adapter, evict })
    }
}

impl Policy for Baseline<'_> {
    fn arrive(&mut self, idx: RequestIdx, now: Instant) -> Vec<Command> {
        let engine = self.choose(self.trace.requests[idx].adapter);
        self.engines[engine].waiting.push_back(idx);
        self.serve(engine, now)
    }

    fn ended(
        &mut self,
        idx: RequestIdx,
        engine: usize,
        is_whole: bool,
        now: Instant,
    ) -> Vec<Command> {
        let adapter = self.trace.requests[idx].adapter;
        let host = &mut self.engines[engine];
        host.running = host.running.saturating_sub(1);
        if let Some(slot) =
            host.slots.iter_mut().find(|s| s.adapter == adapter)
        {
            slot.running = slot.running.saturating_sub(1);
        }
        if !is_whole {
            return self.arrive(idx, now);
        }
        self.serve(engine, now)
    }

    fn loaded(
        &mut self,
        engine: usize,
        adapter: TraceAdapter,
        is_loaded: bool,
        now: Instant,
    ) -> Vec<Command> {
        let host = &mut self.engines[engine];
        if is_loaded {
            for slot in &mut host.slots {
                slot.is_ready |= slot.adapter == adapter;
            }
        } else {
            host.slots.retain(|slot| slot.adapter != adapter);
        }
        self.serve(engine, now)
    }

    fn restarted(&mut self, engine: usize, now: Instant) -> Vec<Command> {
        let host = &mut self.engines[engine];
        host.slots.clear();
        host.running = 0;
        self.serve(engine, now)
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

    /// Callers give up at their deadlines.
    fn tick(&mut self, now: Instant) -> Vec<Command> {
        (0..self.engines.len())
            .flat_map(|engine| self.serve(engine, now))
            .collect()
    }
}
