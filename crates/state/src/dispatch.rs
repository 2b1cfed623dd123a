//! Dispatch of waiting requests to free seats.
//!
//! Requests are bound late: a request is assigned to an engine only when a
//! seat is free on an engine that has the request's adapter ready. Requests of
//! one adapter and priority class keep their order of arrival; the first
//! requests of these queues are ordered by priority class, then by deadline.
//! Each aging time that a request has waited raises it by one class, so that
//! no request starves.

use sedgewall_clock::Instant;

use crate::{
    engine::SlotState,
    id::{AdapterIdx, EngineIdx},
    priority::Priority,
    queue::Request,
    shard::{Grant, Shard, ShardAction},
};

/// The key by which the first requests of queues are ordered; the smallest is
/// dispatched first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct DispatchKey {
    rank: usize,
    deadline: Instant,
}

impl Shard {
    /// Grants waiting requests of one adapter while seats are free.
    pub(crate) fn dispatch_adapter(
        &mut self,
        adapter: AdapterIdx,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        while let Some(priority) = self.most_urgent_class(adapter, now) {
            let Some(engine) = self.engine_for(adapter, priority) else {
                return;
            };
            self.grant_head(adapter, priority, engine, now, actions);
        }
    }

    /// Fills the free seats of one engine from the queues of its adapters.
    pub(crate) fn dispatch_engine(
        &mut self,
        engine: EngineIdx,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        while let Some((adapter, priority)) = self.next_for_engine(engine, now)
        {
            self.grant_head(adapter, priority, engine, now, actions);
        }
    }

    /// Returns the engine on which a request of one adapter should run.
    ///
    /// If the batch weight exceeds the stall weight, this is the engine with
    /// the fewest free seats. Otherwise it is the engine with the most free
    /// seats, which keeps the steps of its batch short.
    pub(crate) fn engine_for(
        &self,
        adapter: AdapterIdx,
        priority: Priority,
    ) -> Option<EngineIdx> {
        let prefers_full_batches = self.settings.prefers_full_batches();
        self.adapters[adapter as usize]
            .ready
            .iter()
            .copied()
            .filter(|idx| {
                let engine = &self.engines[*idx as usize];
                engine.free_seats(priority) > 0
                    && engine
                        .slot(adapter)
                        .is_some_and(|slot| slot.state == SlotState::Ready)
            })
            .min_by_key(|idx| {
                let free = self.engines[*idx as usize].free_seats(priority);
                if prefers_full_batches { free } else { u32::MAX - free }
            })
    }

    fn next_for_engine(
        &self,
        engine: EngineIdx,
        now: Instant,
    ) -> Option<(AdapterIdx, Priority)> {
        let host = &self.engines[engine as usize];
        host.slots
            .iter()
            .filter(|slot| slot.state == SlotState::Ready)
            .filter_map(|slot| self.most_urgent_on(engine, slot.adapter, now))
            .min_by_key(|(key, adapter, _)| (*key, *adapter))
            .map(|(_, adapter, priority)| (adapter, priority))
    }

    /// Returns the key, adapter and priority class of an adapter's most urgent
    /// request that has a free seat on an engine.
    fn most_urgent_on(
        &self,
        engine: EngineIdx,
        adapter: AdapterIdx,
        now: Instant,
    ) -> Option<(DispatchKey, AdapterIdx, Priority)> {
        let host = &self.engines[engine as usize];
        let queue = &self.adapters[adapter as usize].queue;
        Priority::ALL
            .iter()
            .filter(|priority| host.free_seats(**priority) > 0)
            .filter_map(|priority| {
                let head = self.waiting.head(queue, *priority)?;
                Some((self.dispatch_key(head, now), adapter, *priority))
            })
            .min()
    }

    fn most_urgent_class(
        &self,
        adapter: AdapterIdx,
        now: Instant,
    ) -> Option<Priority> {
        let queue = &self.adapters[adapter as usize].queue;
        Priority::ALL
            .iter()
            .filter_map(|priority| {
                let head = self.waiting.head(queue, *priority)?;
                Some((self.dispatch_key(head, now), *priority))
            })
            .min()
            .map(|(_, priority)| priority)
    }

    fn dispatch_key(&self, request: &Request, now: Instant) -> DispatchKey {
        let waited = now.saturating_duration_since(request.submitted);
        let aging = self.settings.aging.as_secs_f64().max(0.001);
        let raised = (waited.as_secs_f64() / aging) as usize;
        DispatchKey {
            rank: request.priority.rank().saturating_sub(raised),
            deadline: request.deadline,
        }
    }

    fn grant_head(
        &mut self,
        adapter: AdapterIdx,
        priority: Priority,
        engine: EngineIdx,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        let queue = &mut self.adapters[adapter as usize].queue;
        let Some(request) = self.waiting.pop(queue, priority) else { return };
        self.update_waiting_sets(adapter);
        let grant = Grant {
            adapter,
            engine,
            priority,
            granted: now,
            expires: now + self.settings.grant_validity,
            request: request.clone(),
        };
        self.acquire_seat(&grant, now);
        self.grants.insert(request.id, grant);
        actions.push(ShardAction::Grant {
            request: request.id,
            engine,
            adapter,
            waited: now.saturating_duration_since(request.submitted),
            is_stalled: !request.had_available_replica,
        });
    }
}
