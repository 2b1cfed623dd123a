//! State that all tasks of an instance share. Nothing in this module runs on
//! its own.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared, select_biased};
use sedgewall_clock::Instant;
use sedgewall_coordination::lease::{AnnouncedLease, WriteAnswer};
use sedgewall_fleet::{
    adapter::AdapterKey,
    catch_up::CatchUp,
    demand::Demand,
    endpoint_reach::EndpointReach,
    engine_pools::{
        RequestClass, StreamCounts, StreamReports, WaitingClasses,
    },
    features::Feature,
    load_times::LoadTimes,
    note::{LeaderLease, Note},
    poison::PoisonDetector,
    rate_limiter::RateLimiter,
    read_progress::ReadProgress,
    residence_time::StreamTime,
    retry_budget::{RetryAllowance, RetryBudget},
    route::{RoutingConfiguration, ServiceName},
    store_reachability::{CallFailure, StoreReachability},
    store_reports::{REPORT_VALID_FOR, StoreReports},
    suspicion::Suspicions,
    view::{FleetView, Target},
};
use sedgewall_platform::{
    Store, StoreError,
    store::{Revision, StoreEra},
};
use sedgewall_protocol::settings::{FleetSettings, Settings};
use sedgewall_state::id::{
    EndpointId, Epoch, Incarnation, InstanceId, ZoneName,
};
use sedgewall_transport::EndpointPool;

use super::{
    buffers::{CONNECTION_BUFFER, Memory},
    engine_pools::PoolServices,
    forwarding::Forwards,
    freshness::FreshnessTable,
    intake::IntakeQueue,
    keys::Keys,
    notify::Notify,
    peers::ObservedAddress,
    reach::{LossReports, SilenceSignals},
    stream_records::StreamRecords,
    streams::Streams,
    version_records::VersionRecords,
    wait_queues::WaitQueues,
    watch_poison::PoisonRecords,
};
use crate::event_loop::EventLoop;

/// The number of consecutive notes of the lease holder that may be lost before
/// it counts as gone.
const MAX_LOST_LEADER_NOTES: u32 = 4;

/// The minimum interval between two requests to the lease holder for the same
/// adapter.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// The number of remembered adapter requests above which old ones are dropped.
const MAX_REMEMBERED_REQUESTS: usize = 512;

/// How long connections are still accepted after a shutdown was announced:
/// until the load balancer has probed readiness twice, one second apart.
pub(super) const BALANCER_GRACE: Duration = Duration::from_millis(2_400);

/// The part of the configured grace period (`grace_s`) that is reserved for the
/// answers to requests that have not ended, and for ending the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// The part of the configured grace period that is reserved for ending the
/// process.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// The lifecycle stage of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// No configuration is known yet.
    Starting,
    /// Requests are accepted.
    Ready,
    /// The instance shuts down and finishes the requests that it has.
    Leaving,
}

/// Another instance, as described by its entry in the store.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The address to which notes for that instance are sent.
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// The share of a processor core that the instance has, in percent.
    pub(crate) cpu_percent: u32,
    /// Whether the instance can read notes on engine pools.
    pub(crate) reads_pools: bool,
    /// Whether the instance takes requests that others forward to it.
    pub(crate) takes_forwarded: bool,
    /// Whether the instance knows where streams began.
    pub(crate) tracks_streams: bool,
    /// The revision of the other instance's entry.
    pub(crate) revision: Revision,
    /// When the other instance's entry was first read here.
    pub(crate) known_since: Instant,
}

/// The lease holder, as known from its notes.
#[derive(Clone, Debug)]
pub(crate) struct KnownLeader {
    pub(crate) instance: InstanceId,
    pub(crate) epoch: Epoch,
    /// The state of the lease, as the holder reported it.
    pub(crate) noted: AnnouncedLease,
    /// When the holder counts as gone, unless another of its notes arrives.
    pub(crate) holds_until: Instant,
}

/// The lease on orders, as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeldLease {
    pub(crate) epoch: Epoch,
    /// The number of the last renewal that the store confirmed.
    pub(crate) renewal: u64,
    /// Until this time no other instance can take the lease.
    pub(crate) current_until: Instant,
    /// The earliest time for orders. Before it, engines may still receive
    /// orders of the previous holder.
    pub(crate) order_from: Instant,
}

/// Whether an adapter that was still loading had arrived when a request was
/// sent to it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedLoad {
    pub(crate) endpoint: EndpointId,
    pub(crate) key: AdapterKey,
    /// Whether the adapter was loaded by then.
    pub(crate) is_there: bool,
    /// When the request was sent.
    pub(crate) sent: Instant,
}

/// The requests for an adapter since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestedAdapter {
    pub(crate) requests: u32,
    /// Tokens of long prompts.
    pub(crate) long_tokens: u64,
}

/// An adapter that requests wait for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwaitedAdapter {
    /// The priority of the most urgent request.
    pub(crate) priority: u8,
    /// The classes of the requests, if the engines are split.
    pub(crate) classes: WaitingClasses,
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct NoteCounters {
    /// The number of notes received.
    pub(crate) notes_received: Cell<u64>,
    /// The number of notes received that ask for adapters.
    pub(crate) demand_reports_received: Cell<u64>,
}

impl HeldLease {
    /// Returns how long the lease still holds without another renewal. While
    /// the lease goes on because no instance reaches the store, returns how
    /// long it holds without new reports of the other instances.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        match self.current_until.saturating_duration_since(now) {
            Duration::ZERO => REPORT_VALID_FOR,
            left => left,
        }
    }
}

/// The state that all tasks of one instance share.
pub(crate) struct FleetInstance {
    pub(crate) settings: Settings,
    pub(crate) fleet: FleetSettings,
    pub(crate) incarnation: Incarnation,
    /// The measurements of the event loop.
    pub(crate) event_loop: Rc<EventLoop>,
    /// Requests that were read and have not begun.
    pub(crate) intake: IntakeQueue,
    pub(crate) stage: Cell<Stage>,
    /// When the instance was told to stop.
    pub(crate) leaving_since: Cell<Option<Instant>>,
    /// Ends the time in which a stop waits for requests.
    end_of_stop: RefCell<Option<oneshot::Sender<()>>>,
    stop_ended: Shared<oneshot::Receiver<()>>,
    pub(crate) routing: RefCell<Option<Rc<RoutingConfiguration>>>,
    /// When the configuration was last read, from the store or another
    /// instance.
    pub(crate) configuration_read: Cell<Option<Instant>>,
    /// The state that other instances report to have, and which of them to ask
    /// for what is missing here.
    pub(crate) catch_up: RefCell<CatchUp>,
    /// Requests that wait for a newer configuration.
    pub(super) configuration_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// What this instance knows of the endpoints: their adapters, load (from
    /// its own and from other instances' requests), limits and departures, and
    /// the newest versions of weights.
    pub(crate) view: RefCell<FleetView>,
    /// At the lease holder: the demand for adapters.
    pub(crate) demand: RefCell<Demand>,
    /// Load times from the weight store, observed while this instance held the
    /// lease.
    pub(crate) load_times: RefCell<LoadTimes>,
    /// What requests showed of adapters that were still loading, to be
    /// reported to the lease holder.
    pub(crate) observed_loads: RefCell<Vec<ObservedLoad>>,
    /// The requests for each adapter since the last report to the lease
    /// holder.
    pub(crate) requested_adapters:
        RefCell<HashMap<AdapterKey, RequestedAdapter>>,
    /// Adapters that requests wait for.
    pub(crate) awaited_adapters: RefCell<HashMap<AdapterKey, AwaitedAdapter>>,
    /// This instance's streams, for the decision on engine pools.
    pub(crate) stream_counts: RefCell<StreamCounts>,
    /// The services that take part in engine pools.
    pub(crate) pool_services: RefCell<PoolServices>,
    /// The streams of all instances, as far as their notes reach this one.
    pub(crate) stream_reports: RefCell<StreamReports>,
    /// This instance's share of each customer's allowance.
    pub(crate) rate_limiter: RefCell<RateLimiter>,
    /// Whether all revocations of keys are certain to be known here.
    pub(crate) keys: Keys,
    /// How old what is known of each watched kind is.
    pub(crate) freshness: FreshnessTable,
    /// Whether the store answers this instance.
    pub(crate) store_reachability: RefCell<StoreReachability>,
    /// Whether each other instance reports that it reaches the store.
    pub(crate) store_reports: RefCell<StoreReports>,
    /// Endpoints that take no more requests from this instance, and until
    /// when, to be reported to the lease holder.
    pub(crate) saturated: RefCell<BTreeMap<EndpointId, Instant>>,
    /// When an unreadable response header was last logged.
    pub(crate) unreadable_logged: Cell<Option<Instant>>,
    /// Whether this instance reaches the endpoints of each service.
    pub(crate) reach: RefCell<EndpointReach>,
    /// Notified when a connection to an endpoint has failed.
    pub(crate) reach_notify: Notify,
    /// Whether the other instances must be told at once of a change of `reach`
    /// or of a rejection by a brittle endpoint.
    pub(crate) has_urgent_report: Cell<bool>,
    /// Requests that are told when their service has become silent.
    pub(crate) silence_signals: SilenceSignals,
    /// The services that other instances do not reach.
    pub(crate) loss_reports: LossReports,
    /// Requests that are forwarded to other instances.
    pub(crate) forwards: Forwards,
    /// Where streams began.
    pub(crate) streams: Streams,
    /// The software versions at which streams may have begun, as recorded in
    /// the store.
    pub(crate) version_records: VersionRecords,
    /// The records of streams in the store.
    pub(crate) stream_records: StreamRecords,
    /// Engines that could not be reached while others could, to be reported to
    /// the lease holder.
    pub(crate) unreachable: RefCell<BTreeSet<EndpointId>>,
    /// At the lease holder: reports of unreachable engines.
    pub(crate) suspicions: RefCell<Suspicions>,
    /// The longest time limit that a caller stated, by route.
    longest_time_limits: RefCell<HashMap<String, Duration>>,
    /// The duration of streams, by route.
    stream_times: RefCell<HashMap<String, StreamTime>>,
    /// When the lease holder was last asked for each adapter, by class if the
    /// engines are split.
    last_requested:
        RefCell<HashMap<(AdapterKey, Option<RequestClass>), Instant>>,
    /// This instance's use of the retry budget that all instances share.
    pub(crate) budget: RefCell<RetryBudget>,
    /// The other instances, as listed in the store.
    pub(crate) peers: RefCell<BTreeMap<InstanceId, Peer>>,
    /// Source addresses of notes from instances that are not listed here. An
    /// instance that loses the store before it has listed the other instances
    /// fetches the state that it is missing from these addresses.
    pub(super) observed_addresses:
        RefCell<HashMap<InstanceId, ObservedAddress>>,
    /// This instance's own entry, as the store listed it.
    pub(crate) own_entry: RefCell<Option<serde_json::Value>>,
    /// Notified when the own entry was missing in a list.
    pub(crate) own_entry_notify: Notify,
    /// Whether the entries of the instances were listed at least once.
    pub(crate) has_listed_instances: Cell<bool>,
    /// The last known lease holder.
    pub(crate) leader: RefCell<Option<KnownLeader>>,
    /// This instance's lease on orders, if it holds it.
    pub(crate) held: Cell<Option<HeldLease>>,
    pub(crate) pool: EndpointPool,
    /// The budgets of the bytes held for callers and endpoints.
    pub(crate) memory: Memory,
    /// Evidence of requests that crash endpoints.
    pub(crate) poison: RefCell<PoisonDetector>,
    /// Notified when the detector must search for responsible features.
    pub(crate) poison_search_notify: Notify,
    /// The parts of prompts that features of interrupted runs stand for.
    pub(crate) poison_parts: RefCell<HashMap<Feature, String>>,
    /// The records of condemned requests in the store.
    pub(crate) poison_records: RefCell<PoisonRecords>,
    /// Notified when records may have to be written or deleted.
    pub(crate) poison_records_notify: Notify,
    pub(crate) poison_relist_notify: Rc<Notify>,
    /// Notified when a feature was found responsible for crashes.
    pub(crate) poison_confirm_notify: Notify,
    /// Whether this instance is one of those that watch the records of
    /// condemned requests for all instances.
    pub(crate) is_poison_watcher: Cell<bool>,
    /// Endpoints that are being probed because a run broke off there.
    pub(crate) probed_endpoints: RefCell<BTreeSet<EndpointId>>,
    /// Endpoints of which it is being found out whether they have ended.
    pub(crate) undecided_endpoints: RefCell<BTreeSet<EndpointId>>,
    /// Endpoints that refused a connection after a run broke off, while no
    /// other endpoint showed that this instance's own paths are sound.
    pub(crate) unconfirmed_ends: RefCell<BTreeMap<EndpointId, SocketAddr>>,
    /// When it was last tried to confirm them.
    pub(crate) ends_tried_at: Cell<Option<Instant>>,
    /// Connections to other instances.
    pub(crate) peer_pool: EndpointPool,
    pub(crate) store: Store,
    /// The number of requests that were received and are not fully answered.
    pub(crate) open_requests: Cell<usize>,
    /// Requests that wait for each adapter.
    adapter_waiters: RefCell<HashMap<AdapterKey, Vec<oneshot::Sender<()>>>>,
    /// The queues of requests that wait for an endpoint, if waiting is
    /// ordered.
    pub(crate) wait_queues: Option<WaitQueues>,
    planner_notify: Notify,
    pub(super) catch_up_notify: Notify,
    notes_notify: Notify,
    /// Whether a large prompt was sent that no note has reported yet.
    pub(crate) has_unreported_work: Cell<bool>,
    /// Whether requests were sent to engines that no note to the lease holder
    /// has reported yet.
    pub(crate) has_unreported_sends: Cell<bool>,
    /// Notified when the configuration must be listed again. The same holds
    /// for the notifications of the other watched kinds.
    pub(crate) configuration_relist_notify: Rc<Notify>,
    pub(crate) versions_relist_notify: Rc<Notify>,
    /// Whether other instances have reported a newer configuration for a
    /// while.
    pub(crate) is_configuration_behind: Cell<bool>,
    /// Whether other instances have reported newer versions of weights for a
    /// while.
    pub(crate) is_versions_behind: Cell<bool>,
    /// Whether the newest configuration in the store could not be read.
    pub(crate) is_configuration_unreadable: Cell<bool>,
    /// The era of the store as of the last answer, or none before the first.
    pub(crate) store_era: Cell<Option<StoreEra>>,
    /// Whether the store was restored since the start of this process.
    pub(crate) has_seen_restore: Cell<bool>,
    pub(crate) instances_relist_notify: Rc<Notify>,
    pub(crate) endpoints_relist_notify: Rc<Notify>,
    /// How far this instance has read the entries of endpoints.
    pub(crate) endpoints_progress: RefCell<ReadProgress>,
    /// Since when other instances have reported newer state than this one has.
    pub(crate) behind_since: Cell<Option<Instant>>,
    /// Counters for the log.
    pub(crate) counters: NoteCounters,
    /// The renewal that other instances were asked to send, with the number of
    /// the request.
    pub(crate) renewal: RefCell<Option<(u64, oneshot::Sender<WriteAnswer>)>>,
    /// Notes that wait to be sent to one instance each.
    pub(crate) unicast_queue: RefCell<Vec<(InstanceId, Note)>>,
    /// Notes that wait to be sent to all other instances.
    pub(crate) broadcast_queue: RefCell<Vec<Note>>,
    /// At the lease holder: the instances that wait for each adapter.
    pub(crate) awaiting_instances:
        RefCell<HashMap<AdapterKey, BTreeSet<InstanceId>>>,
}

impl FleetInstance {
    pub(crate) fn new(
        settings: Settings,
        fleet: FleetSettings,
        store_address: SocketAddr,
        event_loop: Rc<EventLoop>,
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
        let in_force_within = Duration::from_millis(fleet.in_force_within_ms);
        let has_queues = fleet.ordered_waiting.unwrap_or_default();
        let wait_queues =
            has_queues.then(|| WaitQueues::new(settings.limits.requests));
        let view = FleetView::new(&settings.zone);
        let memory = Memory::new(&fleet);
        let pool = EndpointPool::with_max_buffer(CONNECTION_BUFFER);
        let (end_of_stop, stop_ended) = oneshot::channel();
        Rc::new(FleetInstance {
            settings,
            fleet,
            incarnation: rand::random(),
            event_loop,
            intake: IntakeQueue::default(),
            stage: Cell::new(Stage::Starting),
            leaving_since: Cell::new(None),
            end_of_stop: RefCell::new(Some(end_of_stop)),
            stop_ended: stop_ended.shared(),
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
            stream_counts: RefCell::default(),
            pool_services: RefCell::default(),
            stream_reports: RefCell::default(),
            rate_limiter: RefCell::default(),
            keys: Keys::new(revoke_within),
            freshness: FreshnessTable::new(in_force_within, Instant::now()),
            store_reachability: RefCell::default(),
            store_reports: RefCell::default(),
            saturated: RefCell::default(),
            unreadable_logged: Cell::default(),
            reach: RefCell::default(),
            reach_notify: Notify::default(),
            has_urgent_report: Cell::default(),
            silence_signals: SilenceSignals::default(),
            loss_reports: LossReports::default(),
            forwards: Forwards::default(),
            streams: Streams::default(),
            version_records: VersionRecords::default(),
            stream_records: StreamRecords::default(),
            unreachable: RefCell::default(),
            suspicions: RefCell::default(),
            longest_time_limits: RefCell::default(),
            stream_times: RefCell::default(),
            last_requested: RefCell::default(),
            budget: RefCell::new(budget),
            peers: RefCell::default(),
            observed_addresses: RefCell::default(),
            own_entry: RefCell::default(),
            own_entry_notify: Notify::default(),
            has_listed_instances: Cell::new(false),
            leader: RefCell::default(),
            held: Cell::new(None),
            store: Store::new(EndpointPool::new(), store_address),
            pool,
            memory,
            poison: RefCell::new(
                PoisonDetector::deferred().with_start(Instant::now()),
            ),
            poison_search_notify: Notify::default(),
            poison_parts: RefCell::default(),
            poison_records: RefCell::default(),
            poison_records_notify: Notify::default(),
            poison_relist_notify: Rc::default(),
            poison_confirm_notify: Notify::default(),
            is_poison_watcher: Cell::new(true),
            probed_endpoints: RefCell::default(),
            undecided_endpoints: RefCell::default(),
            unconfirmed_ends: RefCell::default(),
            ends_tried_at: Cell::default(),
            peer_pool: EndpointPool::with_max_buffer(CONNECTION_BUFFER),
            open_requests: Cell::new(0),
            adapter_waiters: RefCell::default(),
            wait_queues,
            planner_notify: Notify::default(),
            catch_up_notify: Notify::default(),
            notes_notify: Notify::default(),
            has_unreported_work: Cell::new(false),
            has_unreported_sends: Cell::new(false),
            configuration_relist_notify: Rc::default(),
            versions_relist_notify: Rc::default(),
            is_configuration_behind: Cell::new(false),
            is_versions_behind: Cell::new(false),
            is_configuration_unreadable: Cell::new(false),
            store_era: Cell::new(None),
            has_seen_restore: Cell::new(false),
            instances_relist_notify: Rc::default(),
            endpoints_relist_notify: Rc::default(),
            endpoints_progress: RefCell::default(),
            behind_since: Cell::new(None),
            counters: NoteCounters::default(),
            renewal: RefCell::default(),
            unicast_queue: RefCell::default(),
            broadcast_queue: RefCell::default(),
            awaiting_instances: RefCell::default(),
        })
    }

    /// Returns how long a planned stop may take until it is cut off.
    pub(crate) fn stop_time(&self) -> Duration {
        let grace = Duration::from_secs_f64(self.fleet.grace_s);
        grace.saturating_sub(STOP_MARGIN)
    }

    /// Returns how long a planned stop may take until all answers were sent.
    pub(crate) fn last_answers_time(&self) -> Duration {
        let grace = Duration::from_secs_f64(self.fleet.grace_s);
        grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns whether a request that has not begun is to be refused, because
    /// this instance may stop before it has ended. Until the load balancer has
    /// noticed the stop, a caller may not reach any other instance.
    pub(crate) fn stops_before(&self, deadline: Instant) -> bool {
        self.leaving_since.get().is_some_and(|since| {
            since.elapsed() >= BALANCER_GRACE
                && deadline > since + self.stop_time()
        })
    }

    /// Records a failure of an endpoint, unless this instance's own path to the
    /// endpoints of its service is cut.
    pub(crate) fn record_endpoint_failure(
        &self,
        service: &ServiceName,
        target: &Target,
    ) {
        if self.reach.borrow().is_lost(service) {
            return;
        }
        if let Some(state) = self.view.borrow_mut().get_mut(&target.id) {
            state.health.failed(Instant::now());
        }
    }

    /// Has requests that still wait for a response answered now, because the
    /// process ends.
    pub(crate) fn end_stop(&self) {
        self.end_of_stop.take();
    }

    /// Waits for a part of the work on a request that has no response yet.
    /// Returns `None` if the request must be answered before that, because the
    /// process ends.
    pub(crate) async fn before_stop_ends<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut stop_ended = self.stop_ended.clone().fuse();
        select_biased! {
            done = pin!(work.fuse()) => Some(done),
            _ = stop_ended => None,
        }
    }

    pub(crate) fn id(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// Returns whether the configuration has customers, so that requests need
    /// keys.
    pub(crate) fn has_customers(&self) -> bool {
        self.routing().is_some_and(|d| !d.customers.is_empty())
    }

    /// Returns whether this instance is ready for requests. Where requests
    /// need keys, it is not ready while it may have missed the revocation of a
    /// key.
    pub(crate) fn takes_requests(&self) -> bool {
        let is_fresh = !self.has_customers() || self.keys.are_fresh();
        self.stage.get() == Stage::Ready && is_fresh
    }

    /// Returns this instance's lease on orders while no other instance can
    /// have it: until it expires, or for as long as no instance reaches the
    /// store to take it.
    pub(crate) fn current_lease(&self, now: Instant) -> Option<HeldLease> {
        let held = self.held.get()?;
        (now < held.current_until || self.no_instance_can_acquire_lease(now))
            .then_some(held)
    }

    /// Returns whether the store is out of reach for all instances, so that
    /// none can take the lease.
    pub(crate) fn no_instance_can_acquire_lease(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        let reports = self.store_reports.borrow();
        !peers.is_empty()
            && reports.no_instance_can_acquire_lease(peers.keys(), now)
    }

    /// Records that the store answered. A change of reachability is reported
    /// to the other instances at once.
    pub(crate) fn record_store_success(&self) {
        self.check_store_era();
        let now = Instant::now();
        if !self.store_reachability.borrow_mut().record_success(now) {
            return;
        }
        self.notify_notes();
        // A watch that was sent on a silent path is never answered, and is
        // abandoned 5 s after it was sent. Meanwhile requests would go to
        // endpoints that have left.
        if !self.is_listed_since_failure(&self.endpoints_relist_notify) {
            self.endpoints_relist_notify.notify_waiting();
        }
    }

    /// Checks whether the store was restored from a copy since its last
    /// answer. If so, all kinds that wait for changes are listed again.
    pub(crate) fn check_store_era(&self) {
        if !self.store.has_answered() {
            return;
        }
        let era = self.store.era();
        let known = self.store_era.replace(Some(era)).unwrap_or(era);
        if era <= known {
            return;
        }
        tracing::warn!(event = "store_restored", era, known_era = known);
        self.has_seen_restore.set(true);
        let now = Instant::now();
        self.store_reachability.borrow_mut().record_restore(now);
        for notify in self.relist_notifies() {
            notify.notify_waiting();
        }
        self.version_records.store_restored();
    }

    /// Records that a call to the store failed. A change of reachability is
    /// reported to the other instances at once.
    pub(crate) fn record_store_failure(
        &self,
        sent: Instant,
        err: &StoreError,
    ) {
        let failure = CallFailure {
            sent,
            noticed: Instant::now(),
            is_unanswered: matches!(err, StoreError::TimedOut),
        };
        if self.store_reachability.borrow_mut().record_failure(failure) {
            self.notify_notes();
        }
    }

    /// Returns the lease holder, if it has sent a note lately.
    pub(crate) fn live_leader(&self, now: Instant) -> Option<KnownLeader> {
        let leader = self.leader.borrow().clone()?;
        (now < leader.holds_until).then_some(leader)
    }

    /// Records which instance holds the lease. A report with an older epoch
    /// than the known one is ignored.
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
        let noted = AnnouncedLease {
            epoch,
            renewal: lead.renewal,
            expires_by: now + Duration::from_millis(lead.left_ms),
        };
        *leader = Some(KnownLeader { instance, epoch, noted, holds_until });
        drop(leader);
        if is_new {
            // The new holder knows nothing of this instance yet, and without a
            // holder notes are sent less often.
            self.notify_notes();
        }
    }

    /// Returns the share of a processor core that this instance has, in
    /// percent.
    pub(crate) fn cpu_percent(&self) -> u32 {
        (self.fleet.cpu_share * 100.0) as u32
    }

    /// Returns the longest time limit that a caller stated on a route,
    /// including the given one. First tries state the full time limit, later
    /// tries what is left of it.
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

    /// Clears the longest time limits and the stream times of all routes,
    /// because a new configuration may change them.
    pub(crate) fn clear_time_limits(&self) {
        self.longest_time_limits.borrow_mut().clear();
        self.stream_times.borrow_mut().clear();
    }

    /// Records the time from the headers to the end of a stream of a route.
    pub(crate) fn observe_stream_time(&self, route: &str, took: Duration) {
        let mut times = self.stream_times.borrow_mut();
        match times.get_mut(route) {
            Some(time) => time.observe(took),
            None => {
                let time = times.entry(route.to_owned()).or_default();
                time.observe(took);
            }
        }
    }

    /// Returns the mean time from the headers to the end of a stream of a
    /// route, or `None` if none has ended yet.
    pub(crate) fn mean_stream_time(&self, route: &str) -> Option<Duration> {
        self.stream_times.borrow().get(route)?.mean()
    }

    /// Asks the lease holder for an adapter that a request of the given
    /// priority waits for; `class` is its class if the engines are split. The
    /// holder is asked for the same adapter and class once per interval: it
    /// remembers them, and asking again makes up for a lost note.
    pub(crate) fn request_adapter(
        &self,
        key: &AdapterKey,
        priority: u8,
        class: Option<RequestClass>,
    ) {
        let now = Instant::now();
        let mut last_requested = self.last_requested.borrow_mut();
        let id = (key.clone(), class);
        let is_known = last_requested
            .get(&id)
            .is_some_and(|at| now - *at < ADAPTER_REQUEST_INTERVAL);
        if is_known {
            return;
        }
        if last_requested.len() > MAX_REMEMBERED_REQUESTS {
            last_requested
                .retain(|_, at| now - *at < ADAPTER_REQUEST_INTERVAL);
        }
        last_requested.insert(id, now);
        let mut waiting = self.awaited_adapters.borrow_mut();
        let classes = WaitingClasses::default();
        let known = waiting
            .entry(key.clone())
            .or_insert(AwaitedAdapter { priority, classes });
        known.priority = priority.min(known.priority);
        if let Some(class) = class {
            known.classes.insert(class);
        }
        drop(waiting);
        self.notify_notes();
    }

    /// Waits until the state of an adapter changes, or until the timeout.
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
        // Woken or timed out, the request checks the endpoints again.
        let _ = compio::time::timeout(within, rx).await;
    }

    /// Wakes the requests that wait for an adapter.
    pub(crate) fn wake(&self, key: &AdapterKey) {
        let waiting = self.adapter_waiters.borrow_mut().remove(key);
        for tx in waiting.into_iter().flatten() {
            // Fails if the request no longer waits: its wait timed out, or it
            // ended.
            let _ = tx.send(());
        }
        if let Some(queues) = &self.wait_queues {
            queues.wake_adapter(key);
        }
    }

    /// Wakes all requests that wait for an adapter, and the heads of all
    /// queues.
    pub(crate) fn wake_all(&self) {
        let waiting: Vec<_> =
            self.adapter_waiters.borrow_mut().drain().collect();
        for tx in waiting.into_iter().flat_map(|(_, waiters)| waiters) {
            let _ = tx.send(());
        }
        if let Some(queues) = &self.wait_queues {
            queues.wake_all();
        }
    }

    /// Makes all watched kinds be listed again, except the one that was just
    /// listed.
    ///
    /// Watches that were open while the store was out may never be answered. A
    /// kind that was listed after the last failed call is left out too.
    /// Otherwise the first answer for each kind made all other kinds be listed
    /// again: 2,285 lists, three for each instance and kind, when all watches
    /// of 195 instances were cut once.
    pub(crate) fn relist_others(&self, listed: &Rc<Notify>) {
        let all = self.relist_notifies();
        for notify in all.iter().filter(|n| !Rc::ptr_eq(n, listed)) {
            if !self.is_listed_since_failure(notify) {
                notify.notify();
            }
        }
    }

    /// Returns whether a list of a kind was begun after the last failed call.
    fn is_listed_since_failure(&self, kind: &Notify) -> bool {
        let failed = self.store_reachability.borrow().last_failure();
        failed.is_some_and(|call| kind.was_cleared_since(call.noticed))
    }

    fn relist_notifies(&self) -> [&Rc<Notify>; 5] {
        [
            &self.configuration_relist_notify,
            &self.versions_relist_notify,
            &self.instances_relist_notify,
            &self.endpoints_relist_notify,
            &self.poison_relist_notify,
        ]
    }

    /// Wakes the task that gives orders.
    pub(crate) fn notify_planner(&self) {
        self.planner_notify.notify();
    }

    /// Waits for [`FleetInstance::notify_planner`], or until the timeout.
    pub(crate) async fn planner_notified(&self, within: Duration) {
        self.planner_notify.wait(within).await;
    }

    /// Wakes the task that sends notes.
    pub(crate) fn notify_notes(&self) {
        self.notes_notify.notify();
    }

    /// Waits for [`FleetInstance::notify_notes`], or until the timeout.
    pub(crate) async fn notes_notified(&self, within: Duration) {
        self.notes_notify.wait(within).await;
    }
}
