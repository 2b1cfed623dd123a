//! What all parts of an instance share, and nothing that acts on its own.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::RandomState,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use sedgewall_clock::Instant;
use sedgewall_coordination::lease::{NotedLease, WriteAnswer};
use sedgewall_fleet::{
    adapter::AdapterKey,
    catch_up::CatchUp,
    demand::Demand,
    load_times::LoadTimes,
    note::{LeaderLease, Note},
    poison::PoisonDetector,
    rate_limiter::RateLimiter,
    recent_successes::RecentSuccesses,
    retry_budget::{RetryAllowance, RetryBudget},
    route::RoutingConfiguration,
    store_reachability::{CallFailure, StoreReachability},
    store_reports::{REPORT_VALID_FOR, StoreReports},
    suspicion::Suspicions,
    view::FleetView,
};
use sedgewall_platform::{Store, StoreError};
use sedgewall_protocol::settings::{FleetSettings, Settings};
use sedgewall_state::id::{
    EndpointId, Epoch, Incarnation, InstanceId, ZoneName,
};
use sedgewall_transport::EndpointPool;

use super::{
    keys::Keys, notify::Notify, peers::ObservedAddress,
    watch_poison::PoisonRecords,
};

/// Notes of the holder that may be lost in a row before it is missed.
const MAX_LOST_LEADER_NOTES: u32 = 4;

/// The holder is asked for the same adapter again after this long.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Adapters that were asked for, beyond which old ones are forgotten.
const MAX_REMEMBERED_REQUESTS: usize = 512;

/// Where an instance is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// It knows no configuration yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// Another instance, as its entry in the store says.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Where its notes go.
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// The part of a processor that it has, in hundredths.
    pub(crate) cpu_percent: u32,
    /// When we read its entry first.
    pub(crate) known_since: Instant,
}

/// The instance that gives orders.
#[derive(Clone, Debug)]
pub(crate) struct KnownLeader {
    pub(crate) instance: InstanceId,
    pub(crate) epoch: Epoch,
    /// What it said of its lease.
    pub(crate) noted: NotedLease,
    pub(crate) holds_until: Instant,
}

/// The lease on orders, as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeldLease {
    pub(crate) epoch: Epoch,
    /// The last renewal that the store has answered.
    pub(crate) renewal: u64,
    /// Until then, nobody else can have it.
    pub(crate) current_until: Instant,
    /// Before that, engines may still hear the holder before us.
    pub(crate) order_from: Instant,
}

/// What a request showed of an adapter on its way.
#[derive(Clone, Debug)]
pub(crate) struct ObservedLoad {
    pub(crate) endpoint: EndpointId,
    pub(crate) key: AdapterKey,
    pub(crate) is_there: bool,
    /// When the request was sent.
    pub(crate) sent: Instant,
}

/// Counts of work since the start.
#[derive(Debug, Default)]
pub(crate) struct NoteCounters {
    /// Notes that were heard.
    pub(crate) notes_received: Cell<u64>,
    /// Notes of what requests wait for that were heard.
    pub(crate) asked_received: Cell<u64>,
}

impl HeldLease {
    /// Returns how long the lease still holds: without another renewal, or,
    /// where it goes on because nobody reaches the store, without another word
    /// of the others.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        match self.current_until.saturating_duration_since(now) {
            Duration::ZERO => REPORT_VALID_FOR,
            left => left,
        }
    }
}

/// What all parts of an instance share.
pub(crate) struct FleetInstance {
    pub(crate) settings: Settings,
    pub(crate) fleet: FleetSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) stage: Cell<Stage>,
    /// When it was told to stop.
    pub(crate) leaving_since: Cell<Option<Instant>>,
    pub(crate) routing: RefCell<Option<Rc<RoutingConfiguration>>>,
    /// When it was last read, from the store or another instance.
    pub(crate) configuration_read: Cell<Option<Instant>>,
    /// What others know, and whom we ask for what we miss.
    pub(crate) catch_up: RefCell<CatchUp>,
    /// Requests that wait for a newer configuration.
    pub(super) configuration_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    pub(crate) view: RefCell<FleetView>,
    pub(crate) demand: RefCell<Demand>,
    /// What was seen of loads from the weight store, while we had the lease.
    pub(crate) load_times: RefCell<LoadTimes>,
    /// What our requests saw of adapters on their way, for the holder to hear.
    pub(crate) observed_loads: RefCell<Vec<ObservedLoad>>,
    pub(crate) requested_adapters: RefCell<HashMap<AdapterKey, u32>>,
    pub(crate) awaited_adapters: RefCell<HashMap<AdapterKey, u8>>,
    /// Our part of what customers may use.
    pub(crate) shares: RefCell<RateLimiter>,
    /// Whether keys that were taken away are sure to be known.
    pub(crate) keys: Keys,
    /// Whether the store answers us.
    pub(crate) store_contact: RefCell<StoreReachability>,
    /// What the other instances say of themselves.
    pub(crate) store_reports: RefCell<StoreReports>,
    /// Endpoints that take no more from us, and until when, for the holder to hear.
    pub(crate) saturated: RefCell<BTreeMap<EndpointId, Instant>>,
    /// When a value of an answer's head that cannot be read was last logged.
    pub(crate) unreadable_logged: Cell<Option<Instant>>,
    /// Engines that could not be reached, for the holder to hear.
    pub(crate) unreachable: RefCell<BTreeSet<EndpointId>>,
    /// What the holder heard of such.
    pub(crate) suspicions: RefCell<Suspicions>,
    /// The longest time that a caller gave, by route.
    longest_time_limits: RefCell<HashMap<String, Duration>>,
    /// When the holder was last asked for an adapter.
    last_requested: RefCell<HashMap<AdapterKey, Instant>>,
    pub(crate) budget: RefCell<RetryBudget>,
    /// The other instances and where their notes go.
    pub(crate) peers: RefCell<BTreeMap<InstanceId, Peer>>,
    /// Where instances were heard from whose entries are not known here: an
    /// instance that loses the store before it has listed them catches up from
    /// these.
    pub(super) observed_addresses:
        RefCell<HashMap<InstanceId, ObservedAddress>>,
    /// Our own entry, as it was listed.
    pub(crate) own_entry: RefCell<Option<serde_json::Value>>,
    /// Whether the entries of instances were listed once.
    pub(crate) has_listed_instances: Cell<bool>,
    pub(crate) leader: RefCell<Option<KnownLeader>>,
    /// Our own lease on orders, if we have it.
    pub(crate) held: Cell<Option<HeldLease>>,
    pub(crate) pool: EndpointPool,
    /// What was seen of requests that end endpoints.
    pub(crate) poison: RefCell<PoisonDetector>,
    /// What ended well here lately, by hashes that this process keys.
    pub(crate) recent_successes: RefCell<RecentSuccesses>,
    pub(crate) hash_key: RandomState,
    /// What of it stands in the store.
    pub(crate) poison_records: RefCell<PoisonRecords>,
    pub(crate) poison_records_notify: Notify,
    pub(crate) poison_notify: Rc<Notify>,
    /// Whether this instance watches them for the others.
    pub(crate) is_poison_watcher: Cell<bool>,
    /// Endpoints at which a run broke off, while it is looked at whether they are
    /// still there.
    pub(crate) probed_endpoints: RefCell<BTreeSet<EndpointId>>,
    /// Connections to other instances.
    pub(crate) peer_pool: EndpointPool,
    pub(crate) store: Store,
    /// Requests that were read and are not answered to the end.
    pub(crate) open_requests: Cell<usize>,
    adapter_waiters: RefCell<HashMap<AdapterKey, Vec<oneshot::Sender<()>>>>,
    loader_notify: Notify,
    pub(super) catch_up_notify: Notify,
    notes_notify: Notify,
    /// Whether a large prompt was sent that the others have not heard of.
    pub(crate) has_unreported_work: Cell<bool>,
    /// Whether requests were sent to engines of which the holder has not heard.
    pub(crate) has_unreported_sends: Cell<bool>,
    /// Ring when what was watched must be listed anew.
    pub(crate) configuration_notify: Rc<Notify>,
    pub(crate) versions_notify: Rc<Notify>,
    /// Whether others were heard to know newer ones for a while.
    pub(crate) is_configuration_behind: Cell<bool>,
    pub(crate) is_versions_behind: Cell<bool>,
    /// Whether the newest configuration could not be read.
    pub(crate) is_configuration_unreadable: Cell<bool>,
    pub(crate) instances_notify: Rc<Notify>,
    pub(crate) endpoints_notify: Rc<Notify>,
    /// Since when others are heard to know more than we do.
    pub(crate) behind_since: Cell<Option<Instant>>,
    /// What this instance has done, for the log.
    pub(crate) counters: NoteCounters,
    /// The renewal that another instance was asked for, by its number.
    pub(crate) renewal: RefCell<Option<(u64, oneshot::Sender<WriteAnswer>)>>,
    /// Notes that wait to go to one instance each.
    pub(crate) unicast_queue: RefCell<Vec<(InstanceId, Note)>>,
    /// Notes that wait to go to all others.
    pub(crate) broadcast_queue: RefCell<Vec<Note>>,
    /// Who waits for an adapter, at the holder of the lease.
    pub(crate) awaiting_instances:
        RefCell<HashMap<AdapterKey, BTreeSet<InstanceId>>>,
}

impl FleetInstance {
    pub(crate) fn new(
        settings: Settings,
        fleet: FleetSettings,
        store_address: SocketAddr,
    ) -> Rc<FleetInstance> {
        let allowance = RetryAllowance {
            share: fleet.retry_share,
            slack: fleet.retry_slack,
            window: Duration::from_secs_f64(fleet.retry_window_s),
        };
        let budget = match fleet.has_run_before {
            true => RetryBudget::after_restart(allowance, Instant::now()),
            false => RetryBudget::new(allowance),
        };
        let revoke_within = fleet.revoke_within_ms.map(Duration::from_millis);
        let view = FleetView::new(&settings.zone);
        let pool = EndpointPool::new();
        Rc::new(FleetInstance {
            settings,
            fleet,
            incarnation: rand::random(),
            stage: Cell::new(Stage::Starting),
            leaving_since: Cell::new(None),
            routing: RefCell::default(),
            configuration_read: Cell::default(),
            catch_up: RefCell::default(),
            configuration_waiters: RefCell::default(),
            view: RefCell::new(view),
            demand: RefCell::default(),
            load_times: RefCell::default(),
            observed_loads: RefCell::default(),
            requested_adapters: RefCell::default(),
            awaited_adapters: RefCell::default(),
            shares: RefCell::default(),
            keys: Keys::new(revoke_within),
            store_contact: RefCell::default(),
            store_reports: RefCell::default(),
            saturated: RefCell::default(),
            unreadable_logged: Cell::default(),
            unreachable: RefCell::default(),
            suspicions: RefCell::default(),
            longest_time_limits: RefCell::default(),
            last_requested: RefCell::default(),
            budget: RefCell::new(budget),
            peers: RefCell::default(),
            observed_addresses: RefCell::default(),
            own_entry: RefCell::default(),
            has_listed_instances: Cell::new(false),
            leader: RefCell::default(),
            held: Cell::new(None),
            store: Store::new(EndpointPool::new(), store_address),
            pool,
            poison: RefCell::default(),
            recent_successes: RefCell::new(RecentSuccesses::new(
                Instant::now(),
            )),
            hash_key: RandomState::new(),
            poison_records: RefCell::default(),
            poison_records_notify: Notify::default(),
            poison_notify: Rc::default(),
            is_poison_watcher: Cell::new(true),
            probed_endpoints: RefCell::default(),
            peer_pool: EndpointPool::new(),
            open_requests: Cell::new(0),
            adapter_waiters: RefCell::default(),
            loader_notify: Notify::default(),
            catch_up_notify: Notify::default(),
            notes_notify: Notify::default(),
            has_unreported_work: Cell::new(false),
            has_unreported_sends: Cell::new(false),
            configuration_notify: Rc::default(),
            versions_notify: Rc::default(),
            is_configuration_behind: Cell::new(false),
            is_versions_behind: Cell::new(false),
            is_configuration_unreadable: Cell::new(false),
            instances_notify: Rc::default(),
            endpoints_notify: Rc::default(),
            behind_since: Cell::new(None),
            counters: NoteCounters::default(),
            renewal: RefCell::default(),
            unicast_queue: RefCell::default(),
            broadcast_queue: RefCell::default(),
            awaiting_instances: RefCell::default(),
        })
    }

    pub(crate) fn id(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// Returns whether requests need keys.
    pub(crate) fn has_customers(&self) -> bool {
        self.routing().is_some_and(|d| !d.customers.is_empty())
    }

    /// Returns whether requests may come here: those that need a key could not be
    /// served where keys that were taken away are not known.
    pub(crate) fn takes_requests(&self) -> bool {
        let is_fresh = !self.has_customers() || self.keys.are_fresh();
        self.stage.get() == Stage::Ready && is_fresh
    }

    /// Returns our lease on orders, while it is sure to be ours: until it ends,
    /// or while the store is out for all who could take it.
    pub(crate) fn current_lease(&self, now: Instant) -> Option<HeldLease> {
        let held = self.held.get()?;
        (now < held.current_until || self.no_instance_reaches_store(now))
            .then_some(held)
    }

    /// Returns whether no instance can take the lease now.
    pub(crate) fn no_instance_reaches_store(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        let words = self.store_reports.borrow();
        !peers.is_empty() && words.no_instance_reaches_store(peers.keys(), now)
    }

    /// Notes that the store answered; others hear at once what changed.
    pub(crate) fn record_store_success(&self) {
        if self.store_contact.borrow_mut().record_success(Instant::now()) {
            self.notify_notes();
        }
    }

    /// Notes that a call to the store failed; others hear at once what changed.
    pub(crate) fn record_store_failure(
        &self,
        sent: Instant,
        err: &StoreError,
    ) {
        let failure = CallFailure {
            sent,
            noticed: Instant::now(),
            is_unanswered: matches!(err, StoreError::Unanswered),
        };
        if self.store_contact.borrow_mut().record_failure(failure) {
            self.notify_notes();
        }
    }

    /// Returns the instance that gives orders, if it was heard lately.
    pub(crate) fn live_leader(&self, now: Instant) -> Option<KnownLeader> {
        let leader = self.leader.borrow().clone()?;
        (now < leader.holds_until).then_some(leader)
    }

    /// Notes who gives orders; an older epoch than the known one is ignored.
    pub(crate) fn record_leader(
        &self,
        instance: &str,
        lead: LeaderLease,
        next_in: Duration,
    ) {
        let epoch = lead.epoch;
        let now = Instant::now();
        let mut leader = self.leader.borrow_mut();
        if leader.as_ref().is_some_and(|known| known.epoch > epoch) {
            return;
        }
        let is_new = leader.as_ref().is_none_or(|known| known.epoch < epoch);
        if is_new {
            tracing::info!(event = "leader_heard", instance, epoch);
        }
        let instance = instance.to_owned();
        let holds_until = now + next_in * MAX_LOST_LEADER_NOTES;
        let noted = NotedLease {
            epoch,
            renewal: lead.renewal,
            ends_by: now + Duration::from_millis(lead.left_ms),
        };
        *leader = Some(KnownLeader { instance, epoch, noted, holds_until });
        drop(leader);
        if is_new {
            // It knows nothing of us yet, and our pace is that of a time
            // without a holder.
            self.notify_notes();
        }
    }

    /// Returns the part of a processor that this instance has, in hundredths.
    pub(crate) fn cpu_percent(&self) -> u32 {
        (self.fleet.cpu_share * 100.0) as u32
    }

    /// Returns the longest time that a caller gave on a route, this one's
    /// included. First tries have the whole of it, later ones what is left.
    pub(crate) fn longest_time_limit(
        &self,
        route: &str,
        time_limit: Duration,
    ) -> Duration {
        let mut longest = self.longest_time_limits.borrow_mut();
        let Some(known) = longest.get_mut(route) else {
            longest.insert(route.to_owned(), time_limit);
            return time_limit;
        };
        *known = time_limit.max(*known);
        *known
    }

    /// Forgets the patience of routes, which a new configuration may change.
    pub(crate) fn clear_time_limits(&self) {
        self.longest_time_limits.borrow_mut().clear();
    }

    /// Asks the holder of the lease for an adapter that a request of this rank
    /// waits for. Many requests ask once in a while: the holder remembers, and
    /// a lost note is repaired by the next.
    pub(crate) fn request_adapter(&self, key: &AdapterKey, rank: u8) {
        let now = Instant::now();
        let mut last_requested = self.last_requested.borrow_mut();
        let is_known = last_requested
            .get(key)
            .is_some_and(|at| now - *at < ADAPTER_REQUEST_INTERVAL);
        if is_known {
            return;
        }
        if last_requested.len() > MAX_REMEMBERED_REQUESTS {
            last_requested
                .retain(|_, at| now - *at < ADAPTER_REQUEST_INTERVAL);
        }
        last_requested.insert(key.clone(), now);
        let mut waiting = self.awaited_adapters.borrow_mut();
        let known = waiting.entry(key.clone()).or_insert(rank);
        *known = rank.min(*known);
        drop(waiting);
        self.notify_notes();
    }

    /// Waits until something is heard of an adapter, or for a time.
    pub(crate) async fn wait_for_adapter(
        &self,
        key: &AdapterKey,
        within: Duration,
    ) {
        let (tx, rx) = oneshot::channel();
        self.adapter_waiters
            .borrow_mut()
            .entry(key.clone())
            .or_default()
            .push(tx);
        // Either way the request looks again.
        let _ = compio::time::timeout(within, rx).await;
    }

    /// Wakes the requests that wait for an adapter.
    pub(crate) fn wake(&self, key: &AdapterKey) {
        let waiting = self.adapter_waiters.borrow_mut().remove(key);
        for tx in waiting.into_iter().flatten() {
            // Its request may be gone.
            let _ = tx.send(());
        }
    }

    /// Wakes the requests whose adapters the table now shows.
    pub(crate) fn wake_all(&self) {
        let waiting: Vec<_> =
            self.adapter_waiters.borrow_mut().drain().collect();
        for tx in waiting.into_iter().flat_map(|(_, waiters)| waiters) {
            let _ = tx.send(());
        }
    }

    /// Makes everything that is watched be listed anew, but for what was just
    /// listed and has this notify. Watches that were under way while the store was
    /// out may never be answered; what was listed since is known. Without that, the
    /// first answer of each kind made all others list again: 2,285 lists, three for
    /// each instance and kind, when all watches of 195 instances were cut once.
    pub(crate) fn relist_others(&self, listed: &Rc<Notify>) {
        let failed = self.store_contact.borrow().last_failure();
        let is_known = |notify: &Notify| {
            failed.is_some_and(|call| notify.was_cleared_since(call.noticed))
        };
        let all = [
            &self.configuration_notify,
            &self.versions_notify,
            &self.instances_notify,
            &self.endpoints_notify,
            &self.poison_notify,
        ];
        for notify in all.iter().filter(|n| !Rc::ptr_eq(n, listed)) {
            if !is_known(notify) {
                notify.notify();
            }
        }
    }

    /// Wakes the part that gives orders.
    pub(crate) fn notify_loader(&self) {
        self.loader_notify.notify();
    }

    /// Waits for [`FleetInstance::notify_loader`], or for a time.
    pub(crate) async fn loader_notified(&self, within: Duration) {
        self.loader_notify.wait(within).await;
    }

    /// Wakes the part that sends notes.
    pub(crate) fn notify_notes(&self) {
        self.notes_notify.notify();
    }

    /// Waits for [`FleetInstance::notify_notes`], or for a time.
    pub(crate) async fn notes_notified(&self, within: Duration) {
        self.notes_notify.wait(within).await;
    }
}
