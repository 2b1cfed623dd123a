//! The life of a load: ordered, ended, failed, given up.
//!
//! Slots and replica lists change together here and nowhere else. A failed load
//! backs off with a spread, and goes to another engine first.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    action::ShardAction,
    engine::{Slot, SlotState},
    id::{AdapterIdx, EngineIdx},
    shard::Shard,
};

/// The wait after the first failed load.
const LOAD_BACKOFF: Duration = Duration::from_millis(500);

/// The longest wait after failed loads.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(30);

impl Shard {
    /// Notes the end of a load.
    pub fn load_finished(
        &mut self,
        engine: EngineIdx,
        adapter: AdapterIdx,
        is_loaded: bool,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(started) = self.load_started.remove(&(engine, adapter))
        else {
            return;
        };
        let took = now.saturating_duration_since(started);
        self.budget.finish(is_loaded.then_some(took));
        let state = &mut self.adapters[adapter as usize];
        state.loading.retain(|idx| *idx != engine);
        if is_loaded {
            self.complete_load(engine, adapter, now);
        } else {
            self.record_load_failure(engine, adapter, now);
        }
        self.update_waiting_sets(adapter);
        self.dispatch_adapter(adapter, now, actions);
        self.schedule_loads(now, actions);
    }

    /// Notes that an engine had no slot for a load, although the
    /// configuration says that it has more.
    ///
    /// What it holds is believed until a report shows more.
    pub fn record_slot_shortage(&mut self, idx: EngineIdx) {
        let engine = &mut self.engines[idx as usize];
        let held = engine
            .slots
            .iter()
            .filter(|slot| slot.state != SlotState::Loading)
            .count();
        engine.slot_capacity = engine.slot_capacity.min(held.max(1));
    }

    pub(crate) fn begin_load(
        &mut self,
        engine: EngineIdx,
        adapter: AdapterIdx,
        now: Instant,
    ) {
        self.engines[engine as usize].slots.push(Slot {
            adapter,
            state: SlotState::Loading,
            granted_len: 0,
            untracked_len: 0,
            ready_at: now,
            last_used: now,
        });
        self.adapters[adapter as usize].loading.push(engine);
        self.load_started.insert((engine, adapter), now);
        self.update_waiting_sets(adapter);
    }

    /// Removes an adapter from an engine's slots.
    pub(crate) fn remove_replica(
        &mut self,
        engine: EngineIdx,
        adapter: AdapterIdx,
    ) {
        let host = &mut self.engines[engine as usize];
        host.slots.retain(|slot| slot.adapter != adapter);
        let state = &mut self.adapters[adapter as usize];
        state.ready.retain(|idx| *idx != engine);
        state.loading.retain(|idx| *idx != engine);
        self.update_waiting_sets(adapter);
    }

    pub(crate) fn complete_load(
        &mut self,
        engine: EngineIdx,
        adapter: AdapterIdx,
        now: Instant,
    ) {
        let host = &mut self.engines[engine as usize];
        host.load_failures = 0;
        if let Some(slot) = host.slot_mut(adapter) {
            slot.state = SlotState::Ready;
            slot.ready_at = now;
            slot.last_used = now;
        }
        let state = &mut self.adapters[adapter as usize];
        state.load_failures = 0;
        if !state.ready.contains(&engine) {
            state.ready.push(engine);
        }
    }

    /// Keeps a failed load from being tried at once, on this engine or for
    /// this adapter; the spread keeps many from coming back together.
    pub(crate) fn record_load_failure(
        &mut self,
        engine: EngineIdx,
        adapter: AdapterIdx,
        now: Instant,
    ) {
        self.remove_replica(engine, adapter);
        let state = &mut self.adapters[adapter as usize];
        state.load_failures += 1;
        let seed = u64::from(adapter) << 32 | u64::from(engine);
        let wait = backoff(state.load_failures, seed);
        // Another engine may work at once; a second failure is the adapter's.
        state.load_after = (state.load_failures > 1).then(|| now + wait);
        let host = &mut self.engines[engine as usize];
        host.load_failures += 1;
        host.load_after = Some(now + backoff(host.load_failures, seed));
    }

    pub(crate) fn abandon_load(
        &mut self,
        engine: EngineIdx,
        adapter: AdapterIdx,
    ) {
        if self.load_started.remove(&(engine, adapter)).is_some() {
            self.budget.finish(None);
        }
    }
}

/// Doubles with each failure, between half and all of the value.
fn backoff(failures: u32, seed: u64) -> Duration {
    let doubled = LOAD_BACKOFF.saturating_mul(1 << failures.min(8));
    let hash = xxhash_rust::xxh3::xxh3_64(
        &(seed ^ u64::from(failures)).to_le_bytes(),
    );
    let spread = (hash >> 11) as f64 / (1u64 << 53) as f64;
    doubled.min(MAX_LOAD_BACKOFF).mul_f64(0.5 + 0.5 * spread)
}
