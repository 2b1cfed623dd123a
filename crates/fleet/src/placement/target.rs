//! Selects the engine that an adapter is placed on, and the adapter to evict
//! from it.

use std::{net::SocketAddr, time::Duration};

use sedgewall_state::id::EndpointId;

use super::{MAX_UTILIZATION, PlacementWish, PlanningPass, SERVICE_TIME_S};
use crate::{
    adapter::AdapterKey,
    endpoint_state::EndpointState,
    engine_headroom::{EngineHeadroom, NextSlot},
    engine_pools::RequestClass,
    order::{Order, Task},
    view::{BUSY_BACKLOG, OTHER_ZONE_COST},
};

/// Cost of an eviction, as a fraction of an engine's load, so that a free
/// place is preferred.
const EVICTION_COST: f64 = 0.1;

/// Time after a request during which its adapter is not evicted. The request
/// may be on its way to the engine without having been reported to the lease
/// holder.
const RECENT_USE: Duration = Duration::from_millis(300);

/// The rate of tokens of long prompts, per second, below which an adapter
/// counts as one without long prompts. A prompt of 9,190 tokens counts for
/// 24 s.
const MIN_LONG_TOKENS: f64 = 1.0;

/// The engine that an adapter is placed on.
pub(super) struct PlacementTarget {
    pub(super) endpoint: EndpointId,
    address: SocketAddr,
    pub(super) victim: Option<AdapterKey>,
    pub(super) is_warm: bool,
}

impl PlacementTarget {
    pub(super) fn order(&self, task: Task, is_cold: bool) -> Order {
        Order {
            endpoint: self.endpoint.clone(),
            address: self.address,
            task,
            is_cold,
        }
    }
}

impl PlanningPass<'_> {
    /// Returns the engine to place an adapter on, of the pool for a class of
    /// requests, or `None` if no engine can take it.
    ///
    /// An engine that still has the adapter in its own memory is preferred,
    /// even if the adapter has to wait for a place there, because a load from
    /// the weight store has a price. Otherwise the engine with the least load
    /// is chosen, if possible in the zone that requests the adapter.
    ///
    /// If every engine with the adapter in memory is unable to take one more,
    /// a free place on another engine is used. Without this rule, 250 of 1,000
    /// requests per second were refused beside 160 free places after many
    /// engines had been replaced. An adapter is not evicted elsewhere for
    /// this: where places are scarce, evicting an adapter that has demand
    /// costs more than it gains (`docs/DECISIONS.md`).
    pub(super) fn find_target(
        &mut self,
        key: &AdapterKey,
        wish: PlacementWish<'_>,
    ) -> Option<PlacementTarget> {
        let engines = self.engines.take().unwrap_or_else(|| self.headrooms());
        let target = self.cheapest_target(key, wish, &engines);
        self.engines = Some(engines);
        target
    }

    fn cheapest_target(
        &self,
        key: &AdapterKey,
        wish: PlacementWish<'_>,
        engines: &[EngineHeadroom],
    ) -> Option<PlacementTarget> {
        let zone = self.demand.get(key).map(|d| d.zone.as_str());
        let holds: Vec<&EndpointId> =
            self.view.holders(key).map(EndpointState::id).collect();
        let warm = self.view.warm(key);
        let candidates = || {
            engines.iter().filter(|engine| {
                !engine.is_full
                    && (holds.is_empty() || engine.backlog < BUSY_BACKLOG)
                    && engine.models.contains(&key.model)
                    && !holds.contains(&&engine.endpoint)
                    && self.is_in_pool(&engine.endpoint, wish.class)
                    && self.is_of_version(&engine.endpoint, wish)
            })
        };
        let is_warm =
            |engine: &EngineHeadroom| warm.contains(&engine.endpoint);
        let has_place = |engine: &EngineHeadroom| {
            !matches!(engine.next_slot, NextSlot::None)
        };
        let is_warm_somewhere = candidates().any(is_warm)
            && (candidates().any(|e| is_warm(e) && has_place(e))
                || !candidates()
                    .any(|e| matches!(e.next_slot, NextSlot::Free)));
        let mut best: Option<(f64, &EngineHeadroom)> = None;
        for engine in candidates() {
            if warm.contains(&engine.endpoint) != is_warm_somewhere {
                continue;
            }
            let eviction_cost = match &engine.next_slot {
                NextSlot::None => continue,
                NextSlot::Free => 0.0,
                NextSlot::AfterEvicting(_, rate_per_s) => {
                    EVICTION_COST + rate_per_s
                }
            };
            let is_near = Some(engine.zone.as_str()) == zone;
            let expected = engine.rate_per_s * SERVICE_TIME_S;
            let cost = expected / f64::from(self.group.slots)
                + engine.pressure
                + eviction_cost
                + if is_near { 0.0 } else { OTHER_ZONE_COST };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, engine));
            }
        }
        let (_, engine) = best?;
        let victim = match &engine.next_slot {
            NextSlot::AfterEvicting(victim, _) => Some(victim.clone()),
            NextSlot::None | NextSlot::Free => None,
        };
        Some(PlacementTarget {
            endpoint: engine.endpoint.clone(),
            address: engine.address,
            victim,
            is_warm: is_warm_somewhere,
        })
    }

    fn is_of_version(&self, id: &EndpointId, wish: PlacementWish<'_>) -> bool {
        wish.software_version.is_none_or(|version| {
            let state = self.view.get(id);
            let known = state.map(|s| s.endpoint.software_version.as_ref());
            known.flatten() == Some(version)
        })
    }

    /// Returns the headroom of each usable engine whose contents are known.
    fn headrooms(&self) -> Vec<EngineHeadroom> {
        let takes_more = |s: &&EndpointState| {
            s.is_usable(self.now) && !s.is_saturated(self.now)
        };
        let usable = self.engines().filter(takes_more);
        usable.map(|state| self.headroom(state)).collect()
    }

    fn headroom(&self, state: &EndpointState) -> EngineHeadroom {
        // The base model is excluded: every engine holds it, so that its share
        // is the same on each. Counting its holders for each engine took 0.34
        // ms per order with 1,010 engines and delayed the next pass by 2 s.
        let adapters =
            state.placements().filter(|(key, _)| key.adapter.is_some());
        let shares = adapters.map(|(key, _)| {
            self.rate(key) / self.holders(key).count().max(1) as f64
        });
        let models = state.endpoint.models.iter();
        EngineHeadroom {
            endpoint: state.id().clone(),
            address: state.endpoint.address,
            zone: state.endpoint.zone.clone(),
            models: models.map(|model| model.key.model.clone()).collect(),
            is_full: state.load() >= MAX_UTILIZATION,
            backlog: self.view.backlog(state),
            pressure: self.view.pressure(state),
            rate_per_s: shares.sum(),
            next_slot: self.next_place(state),
        }
    }

    fn next_place(&self, state: &EndpointState) -> NextSlot {
        if self.is_loading_limit_reached(state) {
            return NextSlot::None;
        }
        match self.make_room(state) {
            None => NextSlot::None,
            Some(None) => NextSlot::Free,
            Some(Some(victim)) => {
                let rate_per_s = self.rate_at(state, &victim);
                NextSlot::AfterEvicting(victim, rate_per_s)
            }
        }
    }

    /// Recomputes the headroom of an engine after an order.
    pub(super) fn refresh_headroom(&mut self, id: &EndpointId) {
        let Some(mut engines) = self.engines.take() else { return };
        let known = engines.iter_mut().find(|e| e.endpoint == *id);
        if let (Some(known), Some(state)) = (known, self.view.get(id)) {
            *known = self.headroom(state);
        }
        self.engines = Some(engines);
    }

    /// Returns the adapter to evict so that an engine can load one more:
    /// `Some(None)` if a place is free, or the adapter with the lowest rate
    /// that is not in use. Returns `None` if no place can be made.
    ///
    /// An adapter whose load may go on is not evicted: an engine answers an
    /// order to unload it with success, and loads it all the same.
    ///
    /// Adapters with running requests are not evicted (`docs/DECISIONS.md`).
    /// An engine takes no order while a request runs on an adapter that it was
    /// ordered to unload: with streams of 3 s, this blocked loads for four
    /// fifths of the time.
    pub(super) fn make_room(
        &self,
        state: &EndpointState,
    ) -> Option<Option<AdapterKey>> {
        let places = self.group.adapter_places();
        let used: usize = state
            .placements()
            .filter(|(key, _)| key.adapter.is_some())
            .map(|(_, placement)| placement.occupied_slots())
            .sum();
        if used < places {
            return Some(None);
        }
        if used > places {
            return None;
        }
        self.least_requested_idle(state).map(Some)
    }

    /// Returns the adapter of an engine with the lowest rate that is not in
    /// use.
    pub(super) fn least_requested_idle(
        &self,
        state: &EndpointState,
    ) -> Option<AdapterKey> {
        state
            .placements()
            .filter(|(key, _)| key.adapter.is_some())
            .filter(|(_, p)| p.is_settled(self.now) && p.has_ended())
            .filter(|(key, _)| !state.uses(key) && !self.may_be_in_use(key))
            .map(|(key, _)| (self.rate_at(state, key), key))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key.clone())
    }

    /// Returns the rate of an adapter's requests as far as an engine gets
    /// them: none if the engine is in the pool for long prompts, the adapter
    /// has no long prompts, and an engine of the other pool holds it. The
    /// other pool has no such rule, because demand does not count short
    /// requests by adapter.
    fn rate_at(&self, state: &EndpointState, key: &AdapterKey) -> f64 {
        let is_unused = self
            .view
            .pool(self.service, RequestClass::Long)
            .is_some_and(|pool| {
                pool.contains(state.id())
                    && self.demand.get(key).is_none_or(|demand| {
                        demand.long_tokens_per_s(self.now) < MIN_LONG_TOKENS
                    })
                    && self.holders(key).any(|h| !pool.contains(h.id()))
            });
        match is_unused {
            true => 0.0,
            false => self.rate(key),
        }
    }

    fn may_be_in_use(&self, key: &AdapterKey) -> bool {
        let Some(demand) = self.demand.get(key) else { return false };
        self.now - demand.last_requested < RECENT_USE
    }
}
