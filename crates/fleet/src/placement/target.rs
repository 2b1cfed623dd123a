//! Where an adapter goes: the engine that is its home, and what makes way there.

use std::{net::SocketAddr, time::Duration};

use sedgewall_state::id::EndpointId;

use super::{MAX_UTILIZATION, PlanningPass, SERVICE_TIME_S};
use crate::{
    adapter::AdapterKey,
    endpoint_state::EndpointState,
    engine_headroom::{EngineHeadroom, NextSlot},
    order::{Order, Task},
    view::{BUSY_BACKLOG, OTHER_ZONE_COST},
};

/// What the removal of an adapter costs, in parts of an engine's load: a free
/// place is taken first.
const EVICTION_COST: f64 = 0.1;

/// An adapter that was asked for within this time is not removed: a request
/// may be on its way to it that nobody has told of yet.
const RECENT_USE: Duration = Duration::from_millis(300);

/// The engine that an adapter goes to.
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
    /// The engine for an adapter. One that has it at hand keeps it, even if
    /// that takes a moment: a load from the weight store has a price. Else it
    /// is one with the least to do, in the zone that asks if possible. While no
    /// engine that has it at hand can take one more, a place that is free elsewhere
    /// is taken: after many engines were replaced 250 of 1,000 requests a second
    /// were refused beside 160 free places. Making way for it elsewhere
    /// removes what is asked for there: where places are scarce that costs more than it
    /// brings (`docs/DECISIONS.md`).
    pub(super) fn find_target(
        &mut self,
        key: &AdapterKey,
    ) -> Option<PlacementTarget> {
        let engines = self.engines.take().unwrap_or_else(|| self.headrooms());
        let target = self.cheapest_target(key, &engines);
        self.engines = Some(engines);
        target
    }

    fn cheapest_target(
        &self,
        key: &AdapterKey,
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

    /// Returns what each engine that is known and usable can take.
    fn headrooms(&self) -> Vec<EngineHeadroom> {
        let takes_more = |s: &&EndpointState| {
            s.is_usable(self.now) && !s.is_saturated(self.now)
        };
        let usable = self.engines().filter(takes_more);
        usable.map(|state| self.headroom(state)).collect()
    }

    fn headroom(&self, state: &EndpointState) -> EngineHeadroom {
        // The base model is on all engines, and its share the same on each; to
        // count its holders for each took 0.34 ms an order among 1,010 engines, and the
        // next look came 2 s later.
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
                let rate_per_s = self.rate(&victim);
                NextSlot::AfterEvicting(victim, rate_per_s)
            }
        }
    }

    /// Looks again at what an engine can take, after an order.
    pub(super) fn refresh_headroom(&mut self, id: &EndpointId) {
        let Some(mut engines) = self.engines.take() else { return };
        let known = engines.iter_mut().find(|e| e.endpoint == *id);
        if let (Some(known), Some(state)) = (known, self.view.get(id)) {
            *known = self.headroom(state);
        }
        self.engines = Some(engines);
    }

    /// Returns what must leave an engine for one more adapter: nothing, or
    /// the one that is asked for least and not in use. None if nothing may.
    ///
    /// An engine takes no order while one that was ordered out still runs:
    /// with streams of 3 s that cost four fifths of the time in which engines
    /// could load. Adapters that requests run on are left alone
    /// (`docs/DECISIONS.md`).
    pub(super) fn make_room(
        &self,
        state: &EndpointState,
    ) -> Option<Option<AdapterKey>> {
        let places = self.group.adapter_places();
        let adapters =
            || state.placements().filter(|(k, _)| k.adapter.is_some());
        let replaced = adapters().filter(|(_, s)| s.is_replacing(self.now));
        let taken = adapters().count() + replaced.count();
        if taken < places {
            return Some(None);
        }
        if taken > places {
            return None;
        }
        adapters()
            .filter(|(_, placement)| placement.is_settled(self.now))
            .filter(|(key, _)| !state.uses(key) && !self.may_be_in_use(key))
            .min_by(|a, b| self.rate(a.0).total_cmp(&self.rate(b.0)))
            .map(|(key, _)| Some(key.clone()))
    }

    fn may_be_in_use(&self, key: &AdapterKey) -> bool {
        let Some(demand) = self.demand.get(key) else { return false };
        self.now - demand.last_requested < RECENT_USE
    }
}
