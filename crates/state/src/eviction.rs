//! Eviction: the choice of the adapter that a load replaces on an engine.
//!
//! The victim is the idle adapter with the lowest expected request rate per
//! replica. The module keeps one invariant: an adapter with granted or running
//! requests is never evicted. If a load finds no engine with an empty or
//! evictable slot, a busy slot may be *drained*: the slot gets no new requests
//! and can be evicted when its last request ends.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    engine::{Slot, SlotState},
    id::{AdapterIdx, EngineIdx},
    shard::Shard,
};

/// The engine for a load, the adapter to evict there, which is `None` if the
/// engine has an empty slot, and the cost, in expected requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlacementTarget {
    pub(crate) engine: EngineIdx,
    pub(crate) evict: Option<AdapterIdx>,
    pub(crate) cost: f64,
}

/// The shortest time for which an adapter stays resident after its last use,
/// because the requests that it was loaded for are often followed by more.
const MIN_RESIDENCY: Duration = Duration::from_millis(500);

/// The cost of placing a load on an engine whose batch is full, in the unit of
/// a victim's retention value, requests per second. The cost is multiplied by
/// `PolicySettings::spread_preference`, so that it is negative if full batches
/// are preferred.
const BUSY_COST: f64 = 0.05;

impl Shard {
    /// Returns the engine on which the load of an adapter costs least, with
    /// the adapter to evict there if the engine has no empty slot. Returns
    /// `None` if no engine can load the adapter now.
    pub(crate) fn cheapest_target(
        &self,
        adapter: AdapterIdx,
        now: Instant,
    ) -> Option<PlacementTarget> {
        (0..self.engines.len() as EngineIdx)
            .filter_map(|engine| self.target_on(engine, adapter, now))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn target_on(
        &self,
        engine: EngineIdx,
        adapter: AdapterIdx,
        now: Instant,
    ) -> Option<PlacementTarget> {
        let host = &self.engines[engine as usize];
        if !host.may_load(now) || host.slot(adapter).is_some() {
            return None;
        }
        let busy =
            f64::from(host.granted_len()) / f64::from(host.seats.max(1));
        let busy_cost = busy * BUSY_COST * self.settings.spread_preference();
        if host.has_empty_slot() {
            return Some(PlacementTarget {
                engine,
                evict: None,
                cost: busy_cost,
            });
        }
        let (victim, need) = host
            .idle_slots(now)
            .filter(|slot| self.is_evictable(slot, now))
            .map(|slot| {
                (slot.adapter, self.retention_value(slot.adapter, now))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(PlacementTarget {
            engine,
            evict: Some(victim),
            cost: need + busy_cost,
        })
    }

    fn is_evictable(&self, slot: &Slot, now: Instant) -> bool {
        let stayed = now.saturating_duration_since(slot.last_used);
        slot.state == SlotState::Draining
            || (stayed >= MIN_RESIDENCY
                && self.adapters[slot.adapter as usize].queue.is_empty())
    }

    /// Returns the value of retaining one replica of an adapter: the expected
    /// requests per second, divided by the number of replicas.
    pub(crate) fn retention_value(
        &self,
        idx: AdapterIdx,
        now: Instant,
    ) -> f64 {
        let adapter = &self.adapters[idx as usize];
        let replicas = adapter.ready.len() + adapter.loading.len();
        adapter.rate_per_s(now) / replicas.max(1) as f64
    }

    /// Starts to drain a busy slot for an adapter for which there is no
    /// placement target. Of the slots whose adapter has a queue of lower
    /// weight than the queue of `adapter`, this is the slot with the lowest
    /// sum of running requests and retention value.
    ///
    /// Returns whether a drain was started. At most one slot of the shard
    /// drains at a time.
    pub(crate) fn drain_for(
        &mut self,
        adapter: AdapterIdx,
        now: Instant,
    ) -> bool {
        let already_draining = self.engines.iter().any(|engine| {
            engine.slots.iter().any(|slot| slot.state == SlotState::Draining)
        });
        if already_draining {
            return false;
        }
        let Some((engine, victim)) = self.least_busy_slot(adapter, now) else {
            return false;
        };
        let Some(slot) = self.engines[engine as usize].slot_mut(victim) else {
            return false;
        };
        slot.state = SlotState::Draining;
        self.update_waiting_sets(victim);
        true
    }

    fn least_busy_slot(
        &self,
        adapter: AdapterIdx,
        now: Instant,
    ) -> Option<(EngineIdx, AdapterIdx)> {
        let wanted = self.adapters[adapter as usize].queue.weight();
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.may_load(now))
            .filter(|(_, engine)| engine.slot(adapter).is_none())
            .flat_map(|(idx, engine)| {
                engine.slots.iter().map(move |slot| (idx, slot))
            })
            .filter(|(_, slot)| slot.state == SlotState::Ready)
            .map(|(idx, slot)| {
                let busy = f64::from(slot.granted_len + slot.untracked_len);
                let queued =
                    self.adapters[slot.adapter as usize].queue.weight();
                let value = self.retention_value(slot.adapter, now);
                (idx, slot.adapter, queued, busy + value)
            })
            .filter(|(_, _, queued, _)| *queued < wanted)
            .min_by(|a, b| a.3.total_cmp(&b.3))
            .map(|(idx, victim, _, _)| (idx as EngineIdx, victim))
    }
}
