//! The life cycle of a load: ordered, completed, failed or abandoned.
//!
//! This module changes the slots of the engine and the replica lists of the
//! adapter together. After a failed load, the engine backs off from loads. The
//! adapter backs off only from its second consecutive failure on, so that its
//! load may be retried at once on another engine. Back-offs have jitter.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    action::ShardAction,
    engine::{Slot, SlotState},
    id::{AdapterIdx, EngineIdx},
    shard::Shard,
};

/// The base of the exponential back-off after failed loads.
const LOAD_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum back-off after failed loads.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(30);

impl Shard {
    /// Records the end of a load, and dispatches the requests that wait for
    /// the adapter.
    ///
    /// A load that is not in flight is ignored.
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

    /// Records that an engine rejected a load for lack of a slot, although the
    /// engine has an empty slot according to
    /// [`Engine::observed_slots`](crate::engine::Engine::observed_slots).
    ///
    /// Lowers `observed_slots` to the number of adapters that the engine
    /// holds, but not below 1, until a report lists more.
    pub fn record_slot_shortage(&mut self, idx: EngineIdx) {
        let engine = &mut self.engines[idx as usize];
        let held = engine
            .slots
            .iter()
            .filter(|slot| slot.state != SlotState::Loading)
            .count();
        engine.observed_slots = engine.observed_slots.min(held.max(1));
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

    /// Removes an adapter from an engine's slots, and the engine from the
    /// adapter's replica lists.
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

    /// Records a failed load and starts the back-off of its engine and, from
    /// the second consecutive failure on, of its adapter. Jitter keeps many
    /// failed loads from being retried at the same time.
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
        // After the first failure, the load may succeed on another engine, so
        // the adapter does not back off. A second failure is attributed to the
        // adapter.
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

/// Returns the back-off after a number of consecutive failures: it doubles
/// with each failure, and jitter takes off up to half of it.
fn backoff(failures: u32, seed: u64) -> Duration {
    let doubled = LOAD_BACKOFF.saturating_mul(1 << failures.min(8));
    let hash = xxhash_rust::xxh3::xxh3_64(
        &(seed ^ u64::from(failures)).to_le_bytes(),
    );
    let spread = (hash >> 11) as f64 / (1u64 << 53) as f64;
    doubled.min(MAX_LOAD_BACKOFF).mul_f64(0.5 + 0.5 * spread)
}
