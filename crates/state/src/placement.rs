//! Placement: the choice of the adapter to load next and of its engine.
//!
//! The weight store is the bottleneck during a spike, so the next adapter to
//! load is the one whose load removes the largest weighted wait: that of the
//! waiting requests and of those expected to arrive during a load. The module
//! keeps one invariant: no load of an adapter is ordered while an available
//! engine is loading it, so that the same waiting requests do not cause two
//! loads.

use sedgewall_clock::Instant;

use crate::{
    engine::SlotState,
    eviction::PlacementTarget,
    id::AdapterIdx,
    priority::Priority,
    shard::{LoadOrder, Shard, ShardAction},
};

/// An adapter is prefetched over another one only if its expected request rate
/// exceeds the cost of evicting the other by this factor. The margin keeps two
/// adapters from replacing each other repeatedly.
const PREFETCH_MARGIN: f64 = 2.0;

/// The expected requests per second below which an adapter is not prefetched.
const PREFETCH_MIN_RATE_PER_S: f64 = 0.02;

/// The number of adapters that one tick considers for prefetching.
const PREFETCH_SCAN: AdapterIdx = 256;

/// A prefetch starts only if the loads in flight plus this number do not
/// exceed the limit on concurrent loads. With 1, a prefetch may fill the
/// limit; only a limit below one concurrent load is left to new requests.
const PREFETCH_RESERVE: u32 = 1;

impl Shard {
    /// Orders loads while the budget allows and an adapter needs one.
    pub(crate) fn schedule_loads(
        &mut self,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        while self.budget.may_start(now) {
            let Some(adapter) = self.next_to_load(now) else { break };
            if self.cancel_drain(adapter) {
                self.dispatch_adapter(adapter, now, actions);
                continue;
            }
            match self.cheapest_target(adapter, now) {
                Some(target) => self.order_load(adapter, target, now, actions),
                None => {
                    self.drain_for(adapter, now);
                    break;
                }
            }
        }
    }

    /// Puts a draining slot of an adapter on an available engine back into
    /// service.
    ///
    /// Returns whether there was such a slot.
    fn cancel_drain(&mut self, adapter: AdapterIdx) -> bool {
        let ready = self.adapters[adapter as usize].ready.clone();
        for engine in ready {
            let host = &mut self.engines[engine as usize];
            if !host.takes_work() {
                continue;
            }
            if let Some(slot) = host.slot_mut(adapter)
                && slot.state == SlotState::Draining
            {
                slot.state = SlotState::Ready;
                self.update_waiting_sets(adapter);
                return true;
            }
        }
        false
    }

    /// Considers the next few adapters for prefetching, which is a load before
    /// any request waits for the adapter.
    ///
    /// Each call considers a fixed number of adapters, so that its cost does
    /// not grow with their number. With ten calls a second, all of 24,000
    /// adapters are considered in less than ten seconds.
    pub(crate) fn prefetch_next(
        &mut self,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.adapters.is_empty() || !self.awaiting_load.is_empty() {
            return;
        }
        let len = self.adapters.len() as AdapterIdx;
        for _ in 0..PREFETCH_SCAN.min(len) {
            let candidate = self.prefetch_cursor % len;
            self.prefetch_cursor = (candidate + 1) % len;
            self.prefetch(candidate, now, actions);
        }
    }

    /// Prefetches an adapter if no request waits for a load, the budget
    /// allows, and the expected request rate of the adapter is high enough.
    fn prefetch(
        &mut self,
        candidate: AdapterIdx,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        if !self.awaiting_load.is_empty() || !self.budget.may_start(now) {
            return;
        }
        if self.budget.in_flight() + PREFETCH_RESERVE
            > self.budget.limits().concurrency as u32
        {
            return;
        }
        let adapter = &self.adapters[candidate as usize];
        let rate = adapter.rate_per_s(now);
        let may_load = adapter.is_configured
            && !adapter.is_placed()
            && adapter.may_load(now);
        if !may_load || rate < PREFETCH_MIN_RATE_PER_S {
            return;
        }
        let Some(target) = self.cheapest_target(candidate, now) else {
            return;
        };
        if target.evict.is_none() || rate > target.cost * PREFETCH_MARGIN {
            self.order_load(candidate, target, now, actions);
        }
    }

    /// Returns the adapter whose load removes the largest weighted wait, if
    /// any adapter needs a load.
    fn next_to_load(&self, now: Instant) -> Option<AdapterIdx> {
        let awaiting_load = self
            .awaiting_load
            .iter()
            .copied()
            .filter(|idx| self.adapters[*idx as usize].may_load(now))
            .map(|idx| (idx, self.load_value(idx, now)));
        let backlogged = self
            .backlogged
            .iter()
            .copied()
            .filter(|idx| self.needs_replica(*idx, now))
            .map(|idx| (idx, self.replica_value(idx, now)));
        awaiting_load
            .chain(backlogged)
            .max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))
            .map(|(idx, _)| idx)
    }

    /// Returns the weighted wait that a first replica of an adapter removes
    /// per second: the weight of the waiting requests, of those expected
    /// during a load, and of aging.
    fn load_value(&self, idx: AdapterIdx, now: Instant) -> f64 {
        let adapter = &self.adapters[idx as usize];
        let ahead_s = self.budget.load_time().as_secs_f64();
        let expected = adapter.rate_per_s(now) * ahead_s;
        adapter.queue.weight()
            + expected * Priority::Normal.weight()
            + self.aged_weight(idx, now)
    }

    /// Returns an additional weight that grows with the square of the waiting
    /// time, so that a rarely requested adapter is eventually loaded.
    fn aged_weight(&self, idx: AdapterIdx, now: Instant) -> f64 {
        let queue = &self.adapters[idx as usize].queue;
        let aging_s = self.settings.aging.as_secs_f64().max(0.001);
        Priority::ALL
            .iter()
            .filter_map(|priority| self.waiting.head(queue, *priority))
            .map(|head| {
                let waited = now.saturating_duration_since(head.submitted);
                let periods = waited.as_secs_f64() / aging_s;
                periods * periods * head.priority.weight()
            })
            .sum()
    }

    /// Returns the weighted wait that a further replica of an adapter removes:
    /// the value of a first replica, divided by the number of replicas
    /// including the further one.
    ///
    /// The division approximates the part of the queue that the present
    /// replicas cannot serve within the time of a load.
    fn replica_value(&self, idx: AdapterIdx, now: Instant) -> f64 {
        let adapter = &self.adapters[idx as usize];
        let replicas = adapter.ready.len() as f64;
        self.load_value(idx, now) / (replicas + 1.0)
    }

    fn needs_replica(&self, idx: AdapterIdx, now: Instant) -> bool {
        let adapter = &self.adapters[idx as usize];
        if !adapter.loading.is_empty() || !adapter.may_load(now) {
            return false;
        }
        let seats: u32 = adapter
            .ready
            .iter()
            .map(|engine| self.engines[*engine as usize].seats)
            .sum();
        let per_s = f64::from(seats.max(1)) / self.service_s.max(0.01);
        let queue_s = f64::from(adapter.queue.len()) / per_s;
        let load_s = self.budget.load_time().as_secs_f64();
        queue_s > load_s * self.settings.replica_threshold()
    }

    pub(crate) fn order_load(
        &mut self,
        adapter: AdapterIdx,
        target: PlacementTarget,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(victim) = target.evict {
            self.remove_replica(target.engine, victim);
        }
        self.begin_load(target.engine, adapter, now);
        self.budget.start();
        let order =
            LoadOrder { engine: target.engine, adapter, evict: target.evict };
        actions.push(ShardAction::Load(order));
    }
}
