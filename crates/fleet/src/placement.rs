//! Plans which adapters are loaded on which engine.
//!
//! Only the instance that holds the lease on orders runs the planner.
//! Frequently requested adapters get replicas while their engines are short of
//! slots, preferably in the zone that requests them. Rarely requested adapters
//! get one engine and return to it: an engine that held an adapter recently
//! reloads it from its own memory, without the weight store.
//!
//! The invariants: no engine is ordered to hold more adapters than it has
//! places, or to load more at once than it accepts; no engine gets an order
//! before it has reported what it holds; and loads of base models stay within
//! the rate of the weight store.

mod target;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, Epoch};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    demand::{AdapterDemand, Demand},
    endpoint::SoftwareVersion,
    endpoint_state::EndpointState,
    engine_headroom::EngineHeadroom,
    engine_pools::{MAX_REPLICA_PREFILL_SHARE, RequestClass},
    load_rate_limiter::LoadRateLimiter,
    load_times::LoadTimes,
    note::{Placed, Removed},
    order::{Order, Task},
    route::{EngineGroup, RoutingConfiguration},
    view::{BUSY_BACKLOG, FleetView},
};

/// Maximum number of adapters that load on one engine at the same time. The
/// platform allows this many.
const MAX_LOADING_PER_ENGINE: usize = 4;

/// Fraction of an engine's slots that requests for one adapter may use before
/// the adapter gets another replica.
const MAX_ADAPTER_SLOT_SHARE: f64 = 0.2;

/// Mean time that a request holds a slot, in seconds. Converts a request rate
/// to a number of concurrent requests.
const SERVICE_TIME_S: f64 = 0.7;

/// Fraction of an engine's slots in use from which on the adapters that it
/// holds get another replica.
const MAX_UTILIZATION: f64 = 0.85;

/// Interval at which a report is requested again from an engine that has not
/// sent one.
const SYNC_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum interval between two questions to an engine for the loads that have
/// ended.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between full planning passes, which handle new engines, new
/// versions and replicas. The passes between them only place adapters that
/// requests wait for.
const FULL_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an order without a visible effect is given again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Plans placement on all engines while this instance holds the lease.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    epoch: Epoch,
    load_limiter: LoadRateLimiter,
    ordered: HashMap<(EndpointId, AdapterKey), Instant>,
    /// When each engine was last asked which loads have ended.
    loads_asked_at: HashMap<EndpointId, Instant>,
    /// The engines whose count of orders an order of this epoch has raised.
    raised: HashSet<EndpointId>,
    /// Time of the last full planning pass.
    last_full_pass: Option<Instant>,
}

impl PlacementPlanner {
    /// Returns the planner of a new epoch. From the second epoch on, it
    /// assumes that the previous lease holder used the full rate of the weight
    /// store until now.
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
            loads_asked_at: HashMap::new(),
            raised: HashSet::new(),
            last_full_pass: None,
        }
    }

    /// Returns the orders to give now. The view is updated as if every order
    /// had been carried out.
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
                pass.confirm_loads(&mut orders);
                pass.load_models(&mut orders);
                pass.replace_versions(&mut orders);
                pass.add_replicas(&mut orders);
            }
            pass.serve_resumed(&mut orders);
            pass.serve_demand(&mut orders);
        }
        orders
    }

    /// Records that an order of an epoch has raised an engine's count of
    /// orders, so that it carries out none of an earlier epoch any more.
    pub fn record_raised_count(&mut self, epoch: Epoch, id: &EndpointId) {
        if epoch == self.epoch && !self.raised.contains(id) {
            self.raised.insert(id.clone());
        }
    }

    /// Returns how many base models may be loaded now within the rate of the
    /// weight store.
    pub fn loads_left(&mut self, loads_per_s: f64, now: Instant) -> u32 {
        self.load_limiter.available(now, loads_per_s)
    }

    fn expire_orders(&mut self, now: Instant) {
        self.ordered.retain(|_, at| now - *at < ORDER_RETRY_INTERVAL);
        self.loads_asked_at.retain(|_, at| now - *at < CONFIRM_INTERVAL);
    }
}

/// The engines that an adapter may be placed on.
#[derive(Clone, Copy, Debug, Default)]
struct PlacementWish<'a> {
    /// Those of the pool for a class of requests.
    class: Option<RequestClass>,
    /// Those of a software version.
    software_version: Option<&'a SoftwareVersion>,
}

impl<'a> PlacementWish<'a> {
    fn of_class(class: Option<RequestClass>) -> PlacementWish<'a> {
        PlacementWish { class, software_version: None }
    }

    fn at_version(version: &'a SoftwareVersion) -> PlacementWish<'a> {
        PlacementWish { class: None, software_version: Some(version) }
    }
}

/// The order that precedes the load of a base model, so that the engine carries
/// out no order of an earlier epoch after it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PrecedingOrder {
    /// None is needed.
    None,
    /// Unload this adapter.
    Unload(AdapterKey),
    /// Any order that the next passes give.
    Awaited,
}

/// One planning pass over the engines of one service.
struct PlanningPass<'a> {
    planner: &'a mut PlacementPlanner,
    service: &'a str,
    group: &'a EngineGroup,
    view: &'a mut FleetView,
    demand: &'a mut Demand,
    times: &'a mut LoadTimes,
    now: Instant,
    /// Headroom of each engine. Computed on first use; an engine that gets an
    /// order is computed again.
    engines: Option<Vec<EngineHeadroom>>,
}

impl PlanningPass<'_> {
    /// Asks the engines with loads that should have ended which of them have.
    fn confirm_loads(&mut self, orders: &mut Vec<Order>) {
        let overdue: Vec<(EndpointId, SocketAddr)> = self
            .engines()
            .filter(|s| s.placements().any(|(_, p)| p.is_overdue(self.now)))
            .map(|state| (state.endpoint.id.clone(), state.endpoint.address))
            .collect();
        for (endpoint, address) in overdue {
            let asked = self.planner.loads_asked_at.get(&endpoint);
            if asked.is_some_and(|at| self.now - *at < CONFIRM_INTERVAL) {
                continue;
            }
            self.planner.loads_asked_at.insert(endpoint.clone(), self.now);
            let task = Task::ConfirmLoads;
            orders.push(Order { endpoint, address, task, is_cold: false });
        }
    }

    /// Requests a report from each engine whose contents are unknown, and from
    /// those where a replacement does not end.
    fn sync_engines(&mut self, orders: &mut Vec<Order>) {
        let unconfirmed: Vec<EndpointId> = self
            .engines()
            .filter(|state| state.needs_report(self.now))
            .map(|state| state.id().clone())
            .collect();
        for id in unconfirmed {
            self.view.invalidate_contents(&id);
        }
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

    /// Loads the base model on engines that hold none.
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

    /// Replaces outdated versions. The newest version is loaded beside the
    /// outdated one if it has demand and the engine has a place free until the
    /// requests on the outdated version have ended. Otherwise the outdated
    /// version is unloaded, and demand brings the newest one. A version that
    /// may still be loading is neither: its load may end after that of the
    /// newest one, and goes on if it is unloaded.
    fn replace_versions(&mut self, orders: &mut Vec<Order>) {
        let mut outdated = Vec::new();
        for state in self.engines() {
            for (key, placement) in state.placements() {
                let newest = self.view.newest(key);
                if let Some((newest, _)) = newest
                    && placement.version < newest
                {
                    let id = state.endpoint.id.clone();
                    let address = state.endpoint.address;
                    let is_settled = placement.is_settled(self.now)
                        && placement.has_ended();
                    outdated.push((
                        (id, address),
                        key.clone(),
                        newest,
                        is_settled,
                    ));
                }
            }
        }
        for ((endpoint, address), key, newest, is_settled) in outdated {
            let is_replaceable = key.adapter.is_none()
                || (self.demand.get(&key).is_some()
                    && self.has_free_place(&endpoint)
                    && self
                        .times
                        .can_start_load(self.group.loads_per_s, self.now));
            let is_adapter = key.adapter.is_some();
            if is_adapter && !is_settled || !self.is_known(&endpoint) {
                continue;
            }
            if is_adapter && is_replaceable && !self.takes_load(&endpoint) {
                continue;
            }
            let first = match key.adapter {
                None => self.order_before_model_load(&endpoint),
                Some(_) => PrecedingOrder::None,
            };
            if first == PrecedingOrder::Awaited
                || !self.claim_order(&endpoint, &key)
            {
                continue;
            }
            let order = |task, is_cold| Order {
                endpoint: endpoint.clone(),
                address,
                task,
                is_cold,
            };
            if key.adapter.is_none() {
                if let PrecedingOrder::Unload(victim) = first {
                    self.remove(&endpoint, &victim);
                    orders.push(order(Task::Unload(victim), false));
                }
                let task = Task::LoadModel(key.model.clone());
                orders.push(order(task, true));
            } else if is_replaceable {
                let placed = self.start_cold_load(&endpoint, &key, newest);
                self.view.plan_placement(&placed, self.now);
                orders.push(order(Task::Load(key, newest), true));
            } else {
                self.remove(&endpoint, &key);
                orders.push(order(Task::Unload(key), false));
            }
        }
    }

    /// Returns the order that must precede the load of a newer version of a
    /// base model.
    ///
    /// Such a load raises no count if the engine holds that version already.
    /// An order of an earlier epoch that the engine was left with would then
    /// be carried out after it.
    fn order_before_model_load(&self, id: &EndpointId) -> PrecedingOrder {
        let Some(state) = self.view.get(id) else {
            return PrecedingOrder::None;
        };
        let mut adapters =
            state.placements().filter(|(key, _)| key.adapter.is_some());
        let holds_none = adapters.next().is_none();
        if self.planner.raised.contains(id) || holds_none {
            return PrecedingOrder::None;
        }
        match self.least_requested_idle(state) {
            Some(victim) => PrecedingOrder::Unload(victim),
            None => PrecedingOrder::Awaited,
        }
    }

    /// Places adapters that requests wait for and that no engine can serve, in
    /// descending order of popularity.
    fn serve_demand(&mut self, orders: &mut Vec<Order>) {
        let mut wanted: Vec<(f64, AdapterKey, Option<RequestClass>)> =
            Vec::new();
        for (key, demand) in self.demand.iter() {
            if !self.serves_model(key) || !demand.has_waiting(self.now) {
                continue;
            }
            for class in self.waiting_classes(demand) {
                if !self.can_be_served(key, class) {
                    let popularity = demand.popularity(self.now);
                    wanted.push((popularity, key.clone(), class));
                }
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, key, class) in wanted {
            if !self.place(&key, PlacementWish::of_class(class), orders) {
                continue;
            }
            match class {
                Some(class) => self.demand.clear_waiting_class(&key, class),
                None => self.demand.clear_waiting(&key),
            }
        }
    }

    /// Places adapters that resumed streams wait for on engines of the software
    /// version at which the streams began.
    fn serve_resumed(&mut self, orders: &mut Vec<Order>) {
        for (key, version) in self.demand.waiting_at(self.now) {
            if !self.serves_model(&key) {
                continue;
            }
            let is_held = self.holders(&key).any(|state| {
                state.endpoint.software_version.as_ref() == Some(&version)
            });
            let wanted = PlacementWish::at_version(&version);
            if is_held || self.place(&key, wanted, orders) {
                self.demand.clear_waiting_at(&key, &version);
            }
        }
    }

    /// Returns the classes of the requests that wait for an adapter; `None`
    /// stands for requests that any engine may serve.
    fn waiting_classes(
        &self,
        demand: &AdapterDemand,
    ) -> Vec<Option<RequestClass>> {
        let classes = demand.waiting_classes();
        if self.view.split(self.service).is_none() || classes.is_empty() {
            return vec![None];
        }
        let both = [RequestClass::Short, RequestClass::Long];
        let waiting = both.into_iter().filter(|c| classes.contains(*c));
        waiting.map(Some).collect()
    }

    /// Returns whether an engine is in the pool for a class. If that pool has
    /// no usable engine, all engines count, because the other pool serves its
    /// requests.
    fn is_in_pool(
        &self,
        id: &EndpointId,
        class: Option<RequestClass>,
    ) -> bool {
        let Some(class) = class else { return true };
        let Some(pool) = self.view.pool(self.service, class) else {
            return true;
        };
        pool.contains(id)
            || !self
                .engines()
                .any(|s| pool.contains(s.id()) && s.is_usable(self.now))
    }

    /// Returns whether an engine that holds or loads the adapter has room for
    /// another request of a class.
    fn can_be_served(
        &self,
        key: &AdapterKey,
        class: Option<RequestClass>,
    ) -> bool {
        self.holders(key).any(|state| {
            state.load() < MAX_UTILIZATION
                && self.view.backlog(state) < BUSY_BACKLOG
                && !state.is_saturated(self.now)
                && self.is_in_pool(state.id(), class)
        })
    }

    /// Adds a replica of each adapter whose requests use up its share of the
    /// slots on the engines that hold it, or, in the pool for long prompts,
    /// its share of their prefill time.
    fn add_replicas(&mut self, orders: &mut Vec<Order>) {
        let slots = f64::from(self.group.slots.max(1));
        let is_split = self.view.split(self.service).is_some();
        let prefill_s_per_token = match is_split {
            true => self.prefill_s_per_token(),
            false => 0.0,
        };
        let mut short = Vec::new();
        for (key, demand) in self.demand.iter() {
            if !self.serves_model(key) || key.adapter.is_none() {
                continue;
            }
            let in_flight = self.rate(key) * SERVICE_TIME_S;
            let by_requests =
                (in_flight / (slots * MAX_ADAPTER_SLOT_SHARE)).ceil();
            if !is_split {
                if by_requests <= 1.0 {
                    continue;
                }
                let has = self.holders(key).count() as f64;
                if has >= 1.0 && has < by_requests {
                    short.push((in_flight / has, key.clone(), None));
                }
                continue;
            }
            let prefill_s_per_s =
                demand.long_tokens_per_s(self.now) * prefill_s_per_token;
            let by_prefill =
                (prefill_s_per_s / MAX_REPLICA_PREFILL_SHARE).ceil();
            let wanted = [
                (RequestClass::Short, by_requests),
                (RequestClass::Long, by_prefill),
            ];
            for (class, wanted) in wanted {
                let in_pool = self
                    .holders(key)
                    .filter(|state| self.is_in_pool(state.id(), Some(class)));
                let has = in_pool.count() as f64;
                if wanted > 1.0 && has >= 1.0 && has < wanted {
                    short.push((wanted / has, key.clone(), Some(class)));
                }
            }
        }
        short.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, key, class) in short {
            self.place(&key, PlacementWish::of_class(class), orders);
        }
    }

    /// Returns the time that engines are busy for each token of a long prompt,
    /// in seconds.
    fn prefill_s_per_token(&self) -> f64 {
        let served =
            self.demand.iter().filter(|(key, _)| self.serves_model(key));
        let tokens_per_s: f64 =
            served.map(|(_, d)| d.long_tokens_per_s(self.now)).sum();
        let time = self.view.prefill_s_per_token(self.service, tokens_per_s);
        time.unwrap_or_default()
    }

    /// Orders one more engine, of the pool for a class or of a software
    /// version, to load an adapter. If no engine has the adapter and no engine
    /// of the pool can take it, one of the other pool is used. Returns whether
    /// an engine was found.
    fn place(
        &mut self,
        key: &AdapterKey,
        wish: PlacementWish<'_>,
        orders: &mut Vec<Order>,
    ) -> bool {
        let can_start =
            self.times.can_start_load(self.group.loads_per_s, self.now);
        if !can_start && self.view.warm(key).is_empty() {
            return false;
        }
        let mut target = self.find_target(key, wish);
        if target.is_none()
            && wish.class.is_some()
            && self.holders(key).next().is_none()
        {
            target = self.find_target(key, PlacementWish::default());
        }
        let Some(target) = target else { return false };
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

    /// Returns whether an engine has a free place, without an eviction.
    fn has_free_place(&self, id: &EndpointId) -> bool {
        let state = self.view.get(id);
        state.is_some_and(|state| self.make_room(state) == Some(None))
    }

    /// Returns whether an engine accepts one more load beside those that are
    /// in progress.
    fn takes_load(&self, id: &EndpointId) -> bool {
        let state = self.view.get(id);
        state.is_some_and(|state| !self.is_loading_limit_reached(state))
    }

    fn rate(&self, key: &AdapterKey) -> f64 {
        self.demand.get(key).map_or(0.0, |d| d.rate_per_s(self.now))
    }

    /// Returns the usable engines that hold or load an adapter.
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

    /// Returns whether an engine may have as many loads in progress as it
    /// accepts. A load counts until the engine or a request has shown its end.
    fn is_loading_limit_reached(&self, state: &EndpointState) -> bool {
        let loading = state.placements().filter(|(_, p)| !p.has_ended());
        loading.count() >= MAX_LOADING_PER_ENGINE
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

    /// Returns whether it is known what an engine holds.
    fn is_known(&self, endpoint: &EndpointId) -> bool {
        self.view.get(endpoint).is_some_and(EndpointState::is_ordered_by_us)
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

    /// Starts a load from the weight store and returns the note that announces
    /// it.
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

    /// Returns the note that announces a load from an engine's own memory.
    fn start_warm_load(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        version: WeightVersion,
    ) -> Placed {
        let takes = self.times.predict_warm_load();
        self.times.start_warm_load(endpoint, key);
        self.placed(endpoint, key, version, takes, false)
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

    /// Returns whether an order for this endpoint and key may be given now,
    /// and records it if so. A recent order for the same pair is not repeated
    /// at once.
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

    /// Consumes one load of a base model if the rate of the weight store
    /// allows it.
    fn acquire_model_load(&mut self) -> bool {
        let rate = self.group.loads_per_s;
        let is_allowed = self.planner.loads_left(rate, self.now) > 0;
        if is_allowed {
            self.planner.load_limiter.record(self.now);
        }
        is_allowed
    }
}
