//! What the holder of the lease orders: which adapters sit on which engine.
//!
//! The head of the popularity gets replicas, one in each zone that asks and
//! more where an engine would fill up. The tail gets one home, and keeps it:
//! an engine that lately held an adapter loads it again from its own memory,
//! without the weight store. The invariants: no engine is ordered to hold more
//! adapters than it has places, and none before it is known what it holds; and
//! loads of base models stay within the weight store's rate.

mod target;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, Epoch};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    demand::Demand,
    endpoint_state::EndpointState,
    engine_headroom::EngineHeadroom,
    load_rate_limiter::LoadRateLimiter,
    load_times::LoadTimes,
    note::{Placed, Removed},
    order::{Order, Task},
    route::{EngineGroup, RoutingConfiguration},
    view::{BUSY_BACKLOG, FleetView},
};

/// Adapters on their way to one engine at once; the platform allows this many.
const MAX_LOADING_PER_ENGINE: usize = 4;

/// Requests under way for one adapter on one engine, as a part of its slots,
/// beyond which another engine gets the adapter too.
const MAX_ADAPTER_SLOT_SHARE: f64 = 0.2;

/// How long a request holds a slot, to turn rates into requests under way.
const SERVICE_TIME_S: f64 = 0.7;

/// Requests under way as a part of an engine's slots, beyond which what it
/// holds gets another engine too.
const MAX_UTILIZATION: f64 = 0.85;

/// An engine that has not reported is asked again after this long.
const SYNC_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// How often more is looked at than what requests wait for: engines that came,
/// versions, replicas.
const FULL_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// An order that shows no effect is given again after this long.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Decides for all engines, while its instance holds the lease.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    epoch: Epoch,
    load_limiter: LoadRateLimiter,
    ordered: HashMap<(EndpointId, AdapterKey), Instant>,
    /// When all was looked at, not only what requests wait for.
    last_full_pass: Option<Instant>,
}

impl PlacementPlanner {
    /// Returns the loader of a new epoch. Whoever held the lease before may
    /// have used the weight store's whole rate until now.
    pub fn new(
        epoch: Epoch,
        mut load_limiter: LoadRateLimiter,
        now: Instant,
    ) -> PlacementPlanner {
        if epoch > 1 {
            load_limiter.assume_used(now);
        }
        PlacementPlanner {
            epoch,
            load_limiter,
            ordered: HashMap::new(),
            last_full_pass: None,
        }
    }

    /// Decides what to order now. The view is changed as if all orders were
    /// taken.
    pub fn plan(
        &mut self,
        routing: &RoutingConfiguration,
        view: &mut FleetView,
        demand: &mut Demand,
        times: &mut LoadTimes,
        now: Instant,
    ) -> Vec<Order> {
        let is_full_pass = self
            .last_full_pass
            .is_none_or(|at| now - at >= FULL_PASS_INTERVAL);
        if is_full_pass {
            self.last_full_pass = Some(now);
            self.expire_orders(now);
        }
        let mut orders = Vec::new();
        for (service, group) in routing.engines() {
            let mut pass = PlanningPass {
                planner: self,
                service,
                group,
                view,
                demand,
                times,
                now,
                engines: None,
            };
            if is_full_pass {
                pass.sync_engines(&mut orders);
                pass.load_models(&mut orders);
                pass.replace_versions(&mut orders);
                pass.add_replicas(&mut orders);
            }
            pass.serve_demand(&mut orders);
        }
        orders
    }

    /// Returns how many loads the weight store allows now.
    pub fn loads_left(&mut self, loads_per_s: f64, now: Instant) -> u32 {
        self.load_limiter.available(now, loads_per_s)
    }

    fn expire_orders(&mut self, now: Instant) {
        self.ordered.retain(|_, at| now - *at < ORDER_RETRY_INTERVAL);
    }
}

/// One look at the engines of one service.
struct PlanningPass<'a> {
    planner: &'a mut PlacementPlanner,
    service: &'a str,
    group: &'a EngineGroup,
    view: &'a mut FleetView,
    demand: &'a mut Demand,
    times: &'a mut LoadTimes,
    now: Instant,
    /// What each engine can take; computed when first asked for, and again
    /// for the engine that gets an order.
    engines: Option<Vec<EngineHeadroom>>,
}

impl PlanningPass<'_> {
    /// Engines of which nobody knows what they hold are asked.
    fn sync_engines(&mut self, orders: &mut Vec<Order>) {
        let asked = AdapterKey::base("");
        let unknown: Vec<(EndpointId, SocketAddr)> = self
            .view
            .of_service(self.service)
            .filter(|state| !state.endpoint.is_draining)
            .filter(|state| !state.cooldown.is_cooling_down(self.now))
            .filter(|state| !state.is_ordered_by_us())
            .map(|state| (state.endpoint.id.clone(), state.endpoint.address))
            .collect();
        for (endpoint, address) in unknown {
            let id = (endpoint.clone(), asked.clone());
            if let Some(at) = self.planner.ordered.get(&id)
                && self.now - *at < SYNC_RETRY_INTERVAL
            {
                continue;
            }
            self.planner.ordered.insert(id, self.now);
            let task = Task::Sync;
            orders.push(Order { endpoint, address, task, is_cold: false });
        }
    }

    /// Engines that came empty get a base model.
    fn load_models(&mut self, orders: &mut Vec<Order>) {
        let Some(model) = self.group.models.first() else { return };
        let key = AdapterKey::base(&model.name);
        let empty: Vec<(EndpointId, SocketAddr)> = self
            .engines()
            .filter(|state| state.endpoint.models.is_empty())
            .map(|state| (state.endpoint.id.clone(), state.endpoint.address))
            .collect();
        for (endpoint, address) in empty {
            if !self.claim_order(&endpoint, &key) || !self.acquire_model_load()
            {
                continue;
            }
            let task = Task::LoadModel(model.name.clone());
            orders.push(Order { endpoint, address, task, is_cold: true });
        }
    }

    /// Where an older version sits, the newest one replaces it if it is asked
    /// for and has a place until the old one's runs have ended; else the old
    /// one goes, and requests bring the newest one.
    fn replace_versions(&mut self, orders: &mut Vec<Order>) {
        let mut old = Vec::new();
        for state in self.engines() {
            for (key, placement) in state.placements() {
                let newest = self.view.newest(key);
                if let Some((newest, _)) = newest
                    && placement.version < newest
                {
                    let id = state.endpoint.id.clone();
                    let address = state.endpoint.address;
                    old.push((id, address, key.clone(), newest));
                }
            }
        }
        for (endpoint, address, key, newest) in old {
            if !self.claim_order(&endpoint, &key) {
                continue;
            }
            let order = |task, is_cold| Order {
                endpoint: endpoint.clone(),
                address,
                task,
                is_cold,
            };
            if key.adapter.is_none() {
                let task = Task::LoadModel(key.model.clone());
                orders.push(order(task, true));
            } else if self.demand.get(&key).is_some()
                && self.has_free_place(&endpoint)
                && self.times.can_start_load(self.group.loads_per_s, self.now)
            {
                let placed = self.start_cold_load(&endpoint, &key, newest);
                self.view.plan_placement(&placed, self.now);
                orders.push(order(Task::Load(key, newest), true));
            } else {
                self.remove(&endpoint, &key);
                orders.push(order(Task::Unload(key), false));
            }
        }
    }

    /// What requests wait for and no engine can serve gets a home, or one
    /// more; first what is asked for most.
    fn serve_demand(&mut self, orders: &mut Vec<Order>) {
        let mut wanted: Vec<(f64, AdapterKey)> = Vec::new();
        for (key, demand) in self.demand.iter() {
            if self.serves_model(key)
                && demand.has_waiting(self.now)
                && !self.can_be_served(key)
            {
                wanted.push((demand.popularity(self.now), key.clone()));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, key) in wanted {
            if self.place(&key, orders) {
                self.demand.clear_waiting(&key);
            }
        }
    }

    /// Returns whether some engine that holds an adapter, or will soon, has
    /// room for a request.
    fn can_be_served(&self, key: &AdapterKey) -> bool {
        self.holders(key).any(|state| {
            state.load() < MAX_UTILIZATION
                && self.view.backlog(state) < BUSY_BACKLOG
                && !state.is_saturated(self.now)
        })
    }

    /// Adapters that fill their engines get another one.
    fn add_replicas(&mut self, orders: &mut Vec<Order>) {
        let slots = f64::from(self.group.slots.max(1));
        let mut short = Vec::new();
        for (key, _) in self.demand.iter() {
            if !self.serves_model(key) || key.adapter.is_none() {
                continue;
            }
            let under_way = self.rate(key) * SERVICE_TIME_S;
            let wanted = (under_way / (slots * MAX_ADAPTER_SLOT_SHARE)).ceil();
            if wanted <= 1.0 {
                continue;
            }
            let has = self.holders(key).count() as f64;
            if has >= 1.0 && has < wanted {
                short.push((under_way / has, key.clone()));
            }
        }
        short.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, key) in short {
            self.place(&key, orders);
        }
    }

    /// Puts an adapter on one more engine; returns whether it could.
    fn place(&mut self, key: &AdapterKey, orders: &mut Vec<Order>) -> bool {
        let can_start =
            self.times.can_start_load(self.group.loads_per_s, self.now);
        if !can_start && self.view.warm(key).is_empty() {
            return false;
        }
        let Some(target) = self.find_target(key) else { return false };
        if !target.is_warm && !can_start {
            return false;
        }
        if let Some(victim) = &target.victim {
            self.remove(&target.endpoint, victim);
            let task = Task::Unload(victim.clone());
            orders.push(target.order(task, false));
        }
        let version = self.view.newest(key).map_or(1, |(newest, _)| newest);
        let placed = match target.is_warm {
            true => self.start_warm_load(&target.endpoint, key, version),
            false => self.start_cold_load(&target.endpoint, key, version),
        };
        self.view.plan_placement(&placed, self.now);
        self.refresh_headroom(&target.endpoint);
        let task = Task::Load(key.clone(), version);
        orders.push(target.order(task, !target.is_warm));
        true
    }

    /// Returns whether an engine has a place for one more adapter as it is.
    fn has_free_place(&self, id: &EndpointId) -> bool {
        let state = self.view.get(id);
        state.is_some_and(|state| self.make_room(state) == Some(None))
    }

    fn rate(&self, key: &AdapterKey) -> f64 {
        self.demand.get(key).map_or(0.0, |d| d.rate_per_s(self.now))
    }

    /// Returns the usable engines that hold an adapter, or will soon.
    fn holders(
        &self,
        key: &AdapterKey,
    ) -> impl Iterator<Item = &EndpointState> {
        self.view.holders(key).filter(|state| {
            state.endpoint.service == self.service
                && !state.endpoint.is_draining
                && state.is_ordered_by_us()
                && state.is_usable(self.now)
        })
    }

    fn is_loading_limit_reached(&self, state: &EndpointState) -> bool {
        let on_their_way = state
            .placements()
            .filter(|(_, placement)| placement.is_loading(self.now));
        on_their_way.count() >= MAX_LOADING_PER_ENGINE
    }

    fn serves_model(&self, key: &AdapterKey) -> bool {
        self.group.models.iter().any(|model| model.name == key.model)
    }

    fn engines(&self) -> impl Iterator<Item = &EndpointState> {
        let stays = |state: &&EndpointState| {
            !state.endpoint.is_draining
                && !state.cooldown.is_cooling_down(self.now)
        };
        let is_known = |state: &&EndpointState| state.is_ordered_by_us();
        let engines = self.view.of_service(self.service);
        engines.filter(stays).filter(is_known)
    }

    fn remove(&mut self, endpoint: &EndpointId, key: &AdapterKey) {
        let removed = Removed {
            epoch: self.planner.epoch,
            endpoint: endpoint.clone(),
            key: key.clone(),
            born: self.view.incarnation(endpoint),
        };
        self.view.apply_removed(&removed, self.now);
    }

    /// Begins a load from the weight store.
    fn start_cold_load(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        version: WeightVersion,
    ) -> Placed {
        let takes = self.times.predict_cold_load(self.now);
        self.times.start_load(endpoint, key, self.now);
        self.placed(endpoint, key, version, takes, true)
    }

    /// Begins a load from an engine's own memory.
    fn start_warm_load(
        &self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        version: WeightVersion,
    ) -> Placed {
        self.placed(
            endpoint,
            key,
            version,
            self.times.predict_warm_load(),
            false,
        )
    }

    fn placed(
        &self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        version: WeightVersion,
        takes: Duration,
        is_cold: bool,
    ) -> Placed {
        Placed {
            epoch: self.planner.epoch,
            endpoint: endpoint.clone(),
            key: key.clone(),
            version,
            ready_in_ms: takes.as_millis() as u64,
            is_cold,
            born: self.view.incarnation(endpoint),
        }
    }

    /// Returns whether an order on this key is due; it is not again at once.
    fn claim_order(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
    ) -> bool {
        let id = (endpoint.clone(), key.clone());
        if self.planner.ordered.contains_key(&id) {
            return false;
        }
        self.planner.ordered.insert(id, self.now);
        true
    }

    /// Takes a load of a base model, if the weight store's rate allows one.
    fn acquire_model_load(&mut self) -> bool {
        let rate = self.group.loads_per_s;
        let is_allowed = self.planner.loads_left(rate, self.now) > 0;
        if is_allowed {
            self.planner.load_limiter.record(self.now);
        }
        is_allowed
    }
}
