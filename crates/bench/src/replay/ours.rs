//! Our policy in a replay: one shard for each base model, as shipped.

use std::collections::HashMap;

use sedgewall_clock::Instant;
use sedgewall_state::{
    AdapterIdx, RequestId, Shard, ShardAction,
    allocation::{ALLOCATION_INTERVAL, Allocator, guaranteed_limits},
    budget::StoreLimits,
    queue::Request,
    shard::{PolicySettings, ReportedSlot, RequestEnd},
};

use super::{
    trace::{RequestIdx, Trace, TraceAdapter},
    world::{Command, EngineView, Policy, WorldSettings},
};

struct OurShard {
    shard: Shard,
    /// Engines of the world, by our index.
    engines: Vec<usize>,
    adapters: Vec<TraceAdapter>,
    index: HashMap<TraceAdapter, AdapterIdx>,
    allotted: Option<StoreLimits>,
}

/// Our policy.
pub struct Ours<'a> {
    trace: &'a Trace,
    models: usize,
    shards: Vec<OurShard>,
    /// The shard and our index of each engine of the world.
    places: Vec<(usize, u32)>,
    allocator: Allocator,
    ask_at: Instant,
}

impl<'a> Ours<'a> {
    /// Returns our policy over a world's engines.
    pub fn new(
        trace: &'a Trace,
        world: &WorldSettings,
        settings: PolicySettings,
        base: Instant,
    ) -> Ours<'a> {
        let names = (0..world.models).map(|model| model.to_string());
        let allocator = Allocator::new(world.store, names, base);
        let share = match world.models {
            1 => world.store,
            len => guaranteed_limits(world.store, len),
        };
        let mut places = Vec::new();
        let mut shards = Vec::new();
        let mut engine = 0;
        for model in 0..world.models {
            let mut shard = OurShard {
                shard: Shard::new(settings, share, base),
                engines: Vec::new(),
                adapters: Vec::new(),
                index: HashMap::new(),
                allotted: None,
            };
            for _ in 0..world.engines[model] {
                let name = engine.to_string();
                let seats = world.seats as u32;
                let idx =
                    shard.shard.add_engine(&name, world.slots, seats, base);
                // It holds nothing, and has said so.
                shard.shard.apply_report(
                    idx,
                    &[],
                    base,
                    base,
                    &mut Vec::new(),
                );
                shard.engines.push(engine);
                places.push((model, idx));
                engine += 1;
            }
            for adapter in (model..trace.adapters).step_by(world.models) {
                let idx = shard.shard.add_adapter();
                shard.index.insert(adapter, idx);
                shard.adapters.push(adapter);
            }
            shards.push(shard);
        }
        Ours {
            trace,
            models: world.models,
            shards,
            places,
            allocator,
            ask_at: base,
        }
    }

    fn act(
        &mut self,
        model: usize,
        change: impl FnOnce(&mut OurShard, &mut Vec<ShardAction>),
    ) -> Vec<Command> {
        let mut actions = Vec::new();
        let shard = &mut self.shards[model];
        change(shard, &mut actions);
        actions
            .into_iter()
            .map(|action| match action {
                ShardAction::Grant { request, engine, .. } => Command::Start {
                    request: request as RequestIdx,
                    engine: shard.engines[engine as usize],
                },
                ShardAction::Refuse { request, .. } => {
                    Command::Refuse { request: request as RequestIdx }
                }
                ShardAction::Load(order) => Command::Load {
                    engine: shard.engines[order.engine as usize],
                    adapter: shard.adapters[order.adapter as usize],
                    evict: order.evict.map(|idx| shard.adapters[idx as usize]),
                },
            })
            .collect()
    }

    /// Asks for parts of the store; what was answered last time is put in
    /// force now, because in service it takes a message each way.
    fn reallocate(&mut self, now: Instant) {
        if now < self.ask_at {
            return;
        }
        self.ask_at = now + ALLOCATION_INTERVAL;
        for (model, shard) in self.shards.iter_mut().enumerate() {
            if let Some(limits) = shard.allotted.take() {
                shard.shard.set_store_limits(limits);
            }
            let demand = shard.shard.store_demand();
            let name = model.to_string();
            let limits = self.allocator.allocate(&name, demand, now);
            shard.allotted = Some(limits);
        }
    }

    fn request(&self, idx: RequestIdx, now: Instant) -> Request {
        let wanted = self.trace.requests[idx];
        let shard = &self.shards[wanted.adapter % self.models];
        Request {
            id: idx as RequestId,
            adapter: shard.index[&wanted.adapter],
            priority: wanted.priority,
            caller_hash: wanted.caller,
            submitted: now,
            deadline: now + wanted.within,
            had_available_replica: false,
        }
    }
}

impl Policy for Ours<'_> {
    fn arrive(&mut self, idx: RequestIdx, now: Instant) -> Vec<Command> {
        let request = self.request(idx, now);
        let model = self.trace.requests[idx].adapter % self.models;
        self.act(model, |s, actions| s.shard.submit(request, now, actions))
    }

    fn ended(
        &mut self,
        idx: RequestIdx,
        engine: usize,
        is_whole: bool,
        now: Instant,
    ) -> Vec<Command> {
        let (model, _) = self.places[engine];
        let end = match is_whole {
            true => RequestEnd::Finished,
            false => RequestEnd::Failed,
        };
        let again = (!is_whole).then(|| self.request(idx, now));
        self.act(model, |s, actions| {
            s.shard.finish(idx as RequestId, end, now, actions);
            if let Some(request) = again {
                s.shard.submit(request, now, actions);
            }
        })
    }

    fn loaded(
        &mut self,
        engine: usize,
        adapter: TraceAdapter,
        is_loaded: bool,
        now: Instant,
    ) -> Vec<Command> {
        let (model, idx) = self.places[engine];
        self.act(model, |s, actions| {
            let adapter = s.index[&adapter];
            s.shard.load_finished(idx, adapter, is_loaded, now, actions);
        })
    }

    fn restarted(&mut self, engine: usize, now: Instant) -> Vec<Command> {
        let (model, idx) = self.places[engine];
        self.act(model, |s, _| s.shard.engine_restarted(idx, now))
    }

    fn report(
        &mut self,
        engine: usize,
        view: &EngineView,
        made: Instant,
        now: Instant,
    ) -> Vec<Command> {
        let (model, idx) = self.places[engine];
        self.act(model, |s, actions| {
            let slots: Vec<ReportedSlot> = view
                .ready
                .iter()
                .map(|(adapter, running)| ReportedSlot {
                    adapter: s.index[adapter],
                    running_len: *running,
                })
                .collect();
            s.shard.apply_report(idx, &slots, made, now, actions);
        })
    }

    fn tick(&mut self, now: Instant) -> Vec<Command> {
        self.reallocate(now);
        (0..self.models)
            .flat_map(|model| {
                self.act(model, |s, actions| s.shard.tick(now, actions))
            })
            .collect()
    }
}
