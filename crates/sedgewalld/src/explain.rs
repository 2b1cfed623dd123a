//! What a leader reports to operators: the state of its shards, and the reason
//! for the placement of an adapter.

use sedgewall_clock::Instant;
use sedgewall_protocol::{
    engine::EngineAdapter,
    operator::{AdapterExplanation, EngineStatus, ShardStatus},
};
use sedgewall_state::{AdapterIdx, EngineIdx, engine::Health};

use crate::{instance::Instance, leader::ShardLeader};

/// Returns the status of all shards that this instance leads.
pub(crate) fn statuses(instance: &Instance) -> Vec<ShardStatus> {
    let shards = instance.shards.borrow();
    let mut statuses: Vec<ShardStatus> =
        shards.values().map(ShardLeader::status).collect();
    statuses.sort_by(|a, b| a.shard.cmp(&b.shard));
    statuses
}

/// Explains the placement of an adapter, if this instance leads its shard.
pub(crate) fn explain(
    instance: &Instance,
    adapter: &EngineAdapter,
) -> Option<AdapterExplanation> {
    let now = Instant::now();
    let shards = instance.shards.borrow();
    let (leader, idx) = shards
        .values()
        .find_map(|leader| Some((leader, *leader.index.get(adapter)?)))?;
    let state = leader.shard.adapter(idx);
    Some(AdapterExplanation {
        adapter: leader.label(idx),
        shard: leader.shard_id.clone(),
        rate_per_s: state.rate_per_s(now),
        waiting_len: state.queue.len(),
        ready_on: leader.endpoints(&state.ready),
        loading_on: leader.endpoints(&state.loading),
        // The adapter's failed loads in a row.
        load_failures: state.load_failures,
        next: leader.next_step(idx, now),
    })
}

impl ShardLeader {
    pub(crate) fn status(&self) -> ShardStatus {
        let engines = self
            .shard
            .engines()
            .iter()
            .map(|engine| EngineStatus {
                endpoint: engine.endpoint.clone(),
                health: format!("{:?}", engine.health).to_lowercase(),
                running_len: engine.granted_len(),
                seats: engine.seats,
                adapters: engine
                    .slots
                    .iter()
                    .map(|slot| self.label(slot.adapter))
                    .collect(),
            })
            .collect();
        ShardStatus {
            shard: self.shard_id.clone(),
            epoch: self.epoch(),
            waiting_len: self.shard.waiting_len(),
            granted_len: self.shard.granted_len(),
            loads_in_flight: self.shard.loads_in_flight(),
            engines,
        }
    }

    pub(crate) fn endpoints(&self, engines: &[EngineIdx]) -> Vec<String> {
        engines
            .iter()
            .map(|idx| self.engines[*idx as usize].endpoint.clone())
            .collect()
    }

    fn next_step(&self, idx: AdapterIdx, now: Instant) -> String {
        let state = self.shard.adapter(idx);
        let live = self
            .shard
            .engines()
            .iter()
            .filter(|engine| engine.health == Health::Live)
            .count();
        if !state.is_configured {
            return "not in the configuration; leaves when idle".to_owned();
        }
        if !state.may_load(now) {
            return "loads failed; the next one waits".to_owned();
        }
        if state.queue.is_empty() && state.ready.is_empty() {
            return "nobody asks for it; it is loaded on need".to_owned();
        }
        if state.queue.is_empty() {
            return "stays while it is asked for more than others".to_owned();
        }
        if state.is_placed() {
            return "requests wait for seats".to_owned();
        }
        format!("waits for its load; {live} engines are live")
    }
}
