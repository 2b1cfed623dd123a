//! The state of one shard: engines of one base model and the requests for
//! them.
//!
//! [`Shard`] owns the state and keeps its parts consistent. The decisions are
//! in [`admission`](crate::admission), [`dispatch`](crate::dispatch),
//! [`placement`](crate::placement) and [`eviction`](crate::eviction). Methods
//! that handle an event append the resulting actions to a list, for the caller
//! to carry out.
//!
//! The invariant is that every submitted request gets exactly one grant or one
//! refusal, unless it is cancelled, its entry instance is lost, or it is
//! requeued because its engine rejected it or could not be reached.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use sedgewall_clock::Instant;

pub use crate::{
    action::{Grant, LoadOrder, ReportedSlot, RequestEnd, ShardAction},
    settings::PolicySettings,
};
use crate::{
    adapter::Adapter,
    admission::{OverloadDetector, RefusalReason},
    allocation::StoreDemand,
    budget::{LoadBudget, StoreLimits},
    engine::{Engine, Health, SlotState},
    id::{AdapterIdx, EndpointId, EngineIdx, RequestId},
    queue::{Request, WaitingRequests},
};

/// The scheduling state of one shard, which its leader holds in memory.
#[derive(Debug)]
pub struct Shard {
    pub(crate) settings: PolicySettings,
    pub(crate) adapters: Vec<Adapter>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) waiting: WaitingRequests,
    /// The grants that have not ended. The grants of one entry instance are
    /// adjacent, because a request id begins with the incarnation of its entry
    /// instance.
    pub(crate) grants: BTreeMap<RequestId, Grant>,
    /// Adapters with waiting requests that have no available replica and that
    /// no available engine is loading.
    pub(crate) awaiting_load: BTreeSet<AdapterIdx>,
    /// Adapters with waiting requests that have an available replica.
    pub(crate) backlogged: BTreeSet<AdapterIdx>,
    pub(crate) budget: LoadBudget,
    /// The moving average of the time for which a request holds its seat, in
    /// seconds.
    pub(crate) service_s: f64,
    pub(crate) overload: OverloadDetector,
    /// The next adapter to be considered for prefetching.
    pub(crate) prefetch_cursor: AdapterIdx,
    pub(crate) engine_by_id: HashMap<EndpointId, EngineIdx>,
    pub(crate) load_started: HashMap<(EngineIdx, AdapterIdx), Instant>,
}

/// The weight of a new sample in the moving average of the service time, for
/// which a request holds its seat.
const SERVICE_SMOOTHING: f64 = 0.05;

/// The service time that is assumed before the first sample, in seconds.
const DEFAULT_SERVICE_S: f64 = 2.0;

impl Shard {
    /// Returns a shard without engines and adapters.
    pub fn new(
        settings: PolicySettings,
        limits: StoreLimits,
        now: Instant,
    ) -> Shard {
        Shard {
            settings,
            adapters: Vec::new(),
            engines: Vec::new(),
            waiting: WaitingRequests::default(),
            grants: BTreeMap::new(),
            awaiting_load: BTreeSet::new(),
            backlogged: BTreeSet::new(),
            budget: LoadBudget::new(limits, now),
            service_s: DEFAULT_SERVICE_S,
            overload: OverloadDetector::default(),
            prefetch_cursor: 0,
            engine_by_id: HashMap::new(),
            load_started: HashMap::new(),
        }
    }

    /// Replaces the settings and the limits of the weight store. Waiting and
    /// granted requests and loads in flight are not affected.
    pub fn reconfigure(
        &mut self,
        settings: PolicySettings,
        limits: StoreLimits,
    ) {
        self.settings = settings;
        self.budget.set_limits(limits);
    }

    /// Adds an adapter version and returns its index.
    pub fn add_adapter(&mut self) -> AdapterIdx {
        let adapter = Adapter { is_configured: true, ..Adapter::default() };
        self.adapters.push(adapter);
        (self.adapters.len() - 1) as AdapterIdx
    }

    /// Sets whether the current configuration contains an adapter version.
    /// Requests for other adapter versions are refused.
    pub fn set_configured(&mut self, idx: AdapterIdx, is_configured: bool) {
        self.adapters[idx as usize].is_configured = is_configured;
    }

    /// Sets the rate of requests that an operator expects for an adapter until
    /// a time.
    pub fn expect_rate(
        &mut self,
        idx: AdapterIdx,
        rate_per_s: f64,
        until: Instant,
    ) {
        let adapter = &mut self.adapters[idx as usize];
        adapter.expected_rate_per_s = rate_per_s;
        adapter.expected_until = Some(until);
    }

    /// Returns the state of an adapter version.
    pub fn adapter(&self, idx: AdapterIdx) -> &Adapter {
        &self.adapters[idx as usize]
    }

    /// Returns the number of adapter versions that were added, including those
    /// that the configuration no longer contains.
    pub fn adapters_len(&self) -> usize {
        self.adapters.len()
    }

    /// Returns all engines that were added, by index, including those that are
    /// leaving.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Returns the index of the engine with an endpoint id, if it was added.
    pub fn engine_idx(&self, endpoint: &str) -> Option<EngineIdx> {
        self.engine_by_id.get(endpoint).copied()
    }

    /// Returns the number of waiting requests.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of granted requests, each of which holds a seat.
    pub fn granted_len(&self) -> usize {
        self.grants.len()
    }

    /// Returns the grant of a request, if the request holds a seat.
    pub fn grant(&self, id: RequestId) -> Option<&Grant> {
        self.grants.get(&id)
    }

    /// Returns whether a request waits in this shard.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.waiting.contains(id)
    }

    /// Returns the shard's demand for the weight store, by which the allocator
    /// divides it: the requests that wait for a load, and their adapters.
    pub fn store_demand(&self) -> StoreDemand {
        let waiting = self.awaiting_load.iter();
        let waiting_weight = waiting
            .map(|idx| self.adapters[*idx as usize].queue.weight())
            .sum();
        let adapters = self.awaiting_load.len() as f64;
        StoreDemand { waiting_weight, adapters }
    }

    /// Replaces the shard's limits of the weight store.
    pub fn set_store_limits(&mut self, limits: StoreLimits) {
        self.budget.set_limits(limits);
    }

    /// Returns the number of loads in flight.
    pub fn loads_in_flight(&self) -> u32 {
        self.budget.in_flight()
    }

    /// Adds an engine or updates a known one, and returns its index.
    ///
    /// A known engine that is leaving returns to service on probation. If the
    /// configured number of slots of a known engine changed, the observed
    /// number is reset to it.
    pub fn add_engine(
        &mut self,
        endpoint: &str,
        configured_slots: usize,
        seats: u32,
        now: Instant,
    ) -> EngineIdx {
        if let Some(idx) = self.engine_idx(endpoint) {
            let engine = &mut self.engines[idx as usize];
            if engine.configured_slots != configured_slots {
                engine.configured_slots = configured_slots;
                engine.observed_slots = configured_slots;
            }
            engine.seats = seats;
            if engine.health == Health::Leaving {
                self.set_health(idx, Health::Probation, now);
            }
            return idx;
        }
        let idx = self.engines.len() as EngineIdx;
        let engine =
            Engine::new(endpoint.to_owned(), configured_slots, seats, now);
        self.engines.push(engine);
        self.engine_by_id.insert(endpoint.to_owned(), idx);
        idx
    }

    /// Forbids evictions on an engine until a time.
    ///
    /// Requests that a previous leader granted may still arrive at the engine
    /// and need their adapter.
    pub fn defer_evictions(&mut self, idx: EngineIdx, until: Instant) {
        self.engines[idx as usize].evict_after = until;
    }

    /// Marks an engine as leaving, so that it gets no new requests and loads.
    pub fn mark_engine_leaving(&mut self, idx: EngineIdx, now: Instant) {
        self.set_health(idx, Health::Leaving, now);
    }

    /// Admits a request to the queue or refuses it, then dispatches.
    ///
    /// A request that already waits or holds a seat is ignored, so that an
    /// entry instance may resubmit a request after a lost message.
    pub fn submit(
        &mut self,
        mut request: Request,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        let id = request.id;
        if self.waiting.contains(id) || self.grants.contains_key(&id) {
            return;
        }
        let idx = request.adapter;
        if !self.adapters[idx as usize].is_configured {
            let reason = RefusalReason::UnknownAdapter;
            let refusal = self.refusal(reason, id, Duration::ZERO);
            actions.push(ShardAction::Refuse { request: id, refusal });
            return;
        }
        self.adapters[idx as usize].popularity.record(now);
        if let Some(refusal) = self.admit(&request, now, actions) {
            actions.push(ShardAction::Refuse { request: id, refusal });
            return;
        }
        let is_available = self.has_available_replica(idx);
        let adapter = &mut self.adapters[idx as usize];
        request.had_available_replica = is_available;
        self.waiting.push(&mut adapter.queue, request);
        self.update_waiting_sets(idx);
        self.dispatch_adapter(idx, now, actions);
        self.schedule_loads(now, actions);
    }

    /// Removes a request whose caller disconnected, whether it waits or runs.
    pub fn cancel(
        &mut self,
        id: RequestId,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.remove_waiting(id).is_none() {
            self.finish(id, RequestEnd::Finished, now, actions);
        }
    }

    /// Records the outcome of a granted request, releases its seat and
    /// dispatches waiting requests.
    ///
    /// A request without a grant is ignored, so that a repeated message is
    /// harmless.
    pub fn finish(
        &mut self,
        id: RequestId,
        end: RequestEnd,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(grant) = self.grants.remove(&id) else { return };
        self.release_seat(&grant);
        match end {
            RequestEnd::Finished => self.record_service_time(&grant, now),
            RequestEnd::NotLoaded => {
                self.remove_stale_replica(&grant);
                self.requeue(&grant);
            }
            RequestEnd::Unreachable => {
                if self.engines[grant.engine as usize].takes_work() {
                    self.set_health(grant.engine, Health::Silent, now);
                }
                self.requeue(&grant);
            }
            RequestEnd::Failed => self.put_on_probation(grant.engine, now),
        }
        self.dispatch_engine(grant.engine, now, actions);
        self.dispatch_adapter(grant.adapter, now, actions);
        self.schedule_loads(now, actions);
    }

    /// Handles events that only the passing of time causes: deadlines, silent
    /// engines, and loads and prefetches that may now start. Must be called at
    /// least ten times a second.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        self.refuse_expired(now, actions);
        self.check_health(now);
        self.schedule_loads(now, actions);
        self.prefetch_next(now, actions);
    }

    /// Refuses all waiting requests, because another instance leads the shard
    /// now.
    pub fn refuse_all(
        &mut self,
        reason: RefusalReason,
        actions: &mut Vec<ShardAction>,
    ) {
        let mut ids: Vec<RequestId> =
            self.waiting.iter().map(|request| request.id).collect();
        ids.sort_unstable();
        for id in ids {
            self.remove_waiting(id);
            let refusal = self.refusal(reason, id, Duration::ZERO);
            actions.push(ShardAction::Refuse { request: id, refusal });
        }
    }

    pub(crate) fn remove_waiting(&mut self, id: RequestId) -> Option<Request> {
        let idx = self.waiting.get(id)?.adapter;
        let queue = &mut self.adapters[idx as usize].queue;
        let request = self.waiting.remove(queue, id);
        self.update_waiting_sets(idx);
        request
    }

    /// Recomputes whether an adapter belongs to `awaiting_load` and
    /// `backlogged`.
    pub(crate) fn update_waiting_sets(&mut self, idx: AdapterIdx) {
        let adapter = &self.adapters[idx as usize];
        let waits = !adapter.queue.is_empty();
        let is_available = self.has_available_replica(idx);
        let is_loading = self.is_loading(idx);
        let awaits_load = waits && !is_available && !is_loading;
        set_membership(&mut self.awaiting_load, idx, awaits_load);
        set_membership(&mut self.backlogged, idx, waits && is_available);
    }

    /// Returns whether an adapter has an available replica: an available
    /// engine has the adapter ready.
    ///
    /// A replica on a leaving or silent engine, or in a draining slot, does
    /// not count, because it takes no new requests.
    pub fn has_available_replica(&self, adapter: AdapterIdx) -> bool {
        self.adapters[adapter as usize].ready.iter().any(|engine| {
            let engine = &self.engines[*engine as usize];
            let slot = engine.slot(adapter);
            engine.takes_work()
                && slot.is_some_and(|slot| slot.state == SlotState::Ready)
        })
    }

    /// Returns whether an available engine is loading an adapter.
    pub fn is_loading(&self, adapter: AdapterIdx) -> bool {
        self.adapters[adapter as usize]
            .loading
            .iter()
            .any(|engine| self.engines[*engine as usize].takes_work())
    }

    pub(crate) fn acquire_seat(&mut self, grant: &Grant, now: Instant) {
        let engine = &mut self.engines[grant.engine as usize];
        engine.granted_by_class[grant.priority.rank()] += 1;
        if let Some(slot) = engine.slot_mut(grant.adapter) {
            slot.granted_len += 1;
            slot.last_used = now;
        }
    }

    pub(crate) fn release_seat(&mut self, grant: &Grant) {
        let engine = &mut self.engines[grant.engine as usize];
        let count = &mut engine.granted_by_class[grant.priority.rank()];
        *count = count.saturating_sub(1);
        if let Some(slot) = engine.slot_mut(grant.adapter) {
            slot.granted_len = slot.granted_len.saturating_sub(1);
        }
    }

    pub(crate) fn record_service_time(&mut self, grant: &Grant, now: Instant) {
        let took = now.saturating_duration_since(grant.granted).as_secs_f64();
        let share = SERVICE_SMOOTHING;
        self.service_s = (1.0 - share) * self.service_s + share * took;
    }

    /// Removes a replica after its engine rejected a request because the
    /// engine does not hold the adapter, unless the adapter became ready after
    /// the grant or is being loaded again.
    fn remove_stale_replica(&mut self, grant: &Grant) {
        let is_gone = self.engines[grant.engine as usize]
            .slot(grant.adapter)
            .is_some_and(|slot| {
                slot.state != SlotState::Loading
                    && slot.ready_at <= grant.granted
            });
        if is_gone {
            self.remove_replica(grant.engine, grant.adapter);
        }
    }

    fn requeue(&mut self, grant: &Grant) {
        let adapter = &mut self.adapters[grant.adapter as usize];
        self.waiting.push_front(&mut adapter.queue, grant.request.clone());
        self.update_waiting_sets(grant.adapter);
    }

    fn refuse_expired(
        &mut self,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        for id in self.waiting.expired(now) {
            self.remove_waiting(id);
            let reason = RefusalReason::DeadlinePassed;
            let refusal = self.refusal(reason, id, Duration::ZERO);
            actions.push(ShardAction::Refuse { request: id, refusal });
        }
    }
}

fn set_membership(
    set: &mut BTreeSet<AdapterIdx>,
    idx: AdapterIdx,
    is_member: bool,
) {
    if is_member {
        set.insert(idx);
    } else {
        set.remove(&idx);
    }
}
