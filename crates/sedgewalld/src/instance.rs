//! The state that all tasks of one instance share.
//!
//! All tasks run on one thread, so the shared state is in cells. To rule out a
//! borrow that fails at run time, no borrow is held across an `await`.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime},
};

use futures_channel::mpsc;
use log::debug;
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    config_version::ConfigTracker,
    membership::{
        Heartbeat, InstanceList, Leadership, Membership, MembershipTimeouts,
    },
    timeline::{Event, EventKind, HybridLogicalClock, Timeline},
};
use sedgewall_protocol::{Envelope, PeerMessage, settings::Settings};
use sedgewall_state::{Epoch, Incarnation, InstanceId, RequestId, ShardId};
use sedgewall_transport::{
    EngineClient, HttpClient, PeerSender, PlatformClient,
};

use crate::{
    claims::ClaimTable, leader::ShardLeader, requests::RequestTable,
    routes::ConfigView, services::ServiceTable, stop_end::StopEnd,
};

/// The lifecycle stage of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// No configuration has been adopted yet.
    Starting,
    /// The instance has a configuration, and `/readyz` answers ready.
    Ready,
    /// The instance still accepts requests, but is not ready. It exits once no
    /// request is open and it leads no shard, or after the drain timeout.
    Leaving,
}

/// The leader of a shard, as far as this instance knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Leader {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) peer_url: String,
    pub(crate) epoch: Epoch,
}

/// The shared state of this instance.
pub(crate) struct Instance {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) http: HttpClient,
    pub(crate) platform: PlatformClient,
    pub(crate) engines: EngineClient,
    pub(crate) stage: Cell<Stage>,
    pub(crate) stop_end: StopEnd,
    /// Whether the platform answered the last call.
    pub(crate) is_platform_reached: Cell<bool>,
    pub(crate) peers: RefCell<PeerSender>,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) instances: RefCell<InstanceList>,
    pub(crate) config: RefCell<ConfigTracker>,
    /// The current configuration, indexed for routing.
    pub(crate) view: RefCell<Rc<ConfigView>>,
    /// The known leaders of all shards.
    pub(crate) leaders: RefCell<HashMap<ShardId, Leader>>,
    /// The shards that this instance leads.
    pub(crate) shards: RefCell<HashMap<ShardId, ShardLeader>>,
    pub(crate) requests: RefCell<RequestTable>,
    pub(crate) claims: RefCell<ClaimTable>,
    pub(crate) services: RefCell<ServiceTable>,
    clock: RefCell<HybridLogicalClock>,
    timeline: RefCell<Timeline>,
    /// The messages from this instance to itself.
    local_tx: mpsc::UnboundedSender<Envelope>,
}

impl Instance {
    /// Returns the instance and the receiver of the messages that it sends to
    /// itself.
    pub(crate) fn new(
        settings: Settings,
        http: HttpClient,
    ) -> (Rc<Instance>, mpsc::UnboundedReceiver<Envelope>) {
        let (local_tx, local_rx) = mpsc::unbounded();
        let platform =
            PlatformClient::new(http.clone(), &settings.platform_url);
        let timeline_len = settings.limits.timeline_len;
        let instance = Instance {
            incarnation: rand::random(),
            started: Instant::now(),
            engines: EngineClient::new(http.clone()),
            http,
            platform,
            stage: Cell::new(Stage::Starting),
            stop_end: StopEnd::default(),
            is_platform_reached: Cell::new(true),
            peers: RefCell::default(),
            membership: RefCell::new(Membership::new(
                MembershipTimeouts::default(),
            )),
            instances: RefCell::default(),
            config: RefCell::default(),
            view: RefCell::default(),
            leaders: RefCell::default(),
            shards: RefCell::default(),
            requests: RefCell::new(RequestTable::new(&settings.limits)),
            claims: RefCell::default(),
            services: RefCell::default(),
            clock: RefCell::default(),
            timeline: RefCell::new(Timeline::new(timeline_len)),
            local_tx,
            settings,
        };
        (Rc::new(instance), local_rx)
    }

    /// Returns this instance's name.
    pub(crate) fn id(&self) -> &str {
        &self.settings.instance
    }

    /// Returns the time since this process started, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the current configuration.
    pub(crate) fn view(&self) -> Rc<ConfigView> {
        self.view.borrow().clone()
    }

    /// Sends a message to a peer or to this instance itself.
    ///
    /// A message that cannot be queued is dropped; the periodic repair makes
    /// up for the loss.
    pub(crate) fn send(
        &self,
        url: &str,
        to_incarnation: Option<Incarnation>,
        message: PeerMessage,
    ) {
        let envelope = Envelope {
            from: self.settings.instance.clone(),
            incarnation: self.incarnation,
            to_incarnation,
            stamp: self.clock.borrow_mut().tick(SystemTime::now()),
            message,
        };
        if to_incarnation == Some(self.incarnation) {
            let _ = self.local_tx.unbounded_send(envelope);
            return;
        }
        if let Err(err) = self.peers.borrow_mut().send(url, &envelope) {
            metrics::counter!("sedgewall_peer_dropped_total").increment(1);
            debug!("peer: {err}.");
        }
    }

    /// Sends a message to the sender of `envelope`, if its address is known.
    pub(crate) fn reply(&self, envelope: &Envelope, message: PeerMessage) {
        if let Some(url) = self.sender_url(envelope) {
            self.send(&url, Some(envelope.incarnation), message);
        }
    }

    /// Returns the peer URL of the sender of a message, if it is known.
    pub(crate) fn sender_url(&self, envelope: &Envelope) -> Option<String> {
        if envelope.incarnation == self.incarnation {
            return Some(self.settings.peer_url());
        }
        let membership = self.membership.borrow();
        membership.url_of(&envelope.from).map(str::to_owned)
    }

    /// Advances the clock past the timestamp of a received message.
    pub(crate) fn update_clock(&self, envelope: &Envelope) {
        self.clock.borrow_mut().receive(envelope.stamp);
    }

    /// Appends an event to the timeline.
    pub(crate) fn record_event(
        &self,
        kind: EventKind,
        request: Option<RequestId>,
        subject: impl Into<String>,
        endpoint: impl Into<String>,
        detail: impl Into<String>,
    ) {
        let event = Event {
            stamp: self.clock.borrow_mut().tick(SystemTime::now()),
            instance: self.settings.instance.clone(),
            kind,
            request,
            subject: subject.into(),
            endpoint: endpoint.into(),
            detail: detail.into(),
        };
        self.timeline.borrow_mut().push(event);
    }

    /// Returns the events of the timeline, oldest first.
    pub(crate) fn events(&self) -> Vec<Event> {
        self.timeline.borrow().events().cloned().collect()
    }

    /// Records whether the platform answered a call; logs each change.
    pub(crate) fn set_platform_reached(&self, is_reached: bool) {
        if self.is_platform_reached.replace(is_reached) == is_reached {
            return;
        }
        let detail = if is_reached { "reached again" } else { "out of reach" };
        log::warn!("platform: {detail}.");
        self.record_event(EventKind::Platform, None, "", "", detail);
    }

    /// Returns the heartbeat to send now.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let leads = self
            .shards
            .borrow()
            .values()
            .map(|leader| Leadership {
                shard: leader.shard_id.clone(),
                epoch: leader.epoch(),
            })
            .collect();
        Heartbeat {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            peer_url: self.settings.peer_url(),
            stamp_ms: self.uptime_ms(),
            config_version: self.config.borrow().version(),
            is_leaving: self.stage.get() == Stage::Leaving,
            is_platform_reached: self.is_platform_reached.get(),
            leads,
        }
    }

    /// Returns the known leader of a shard.
    pub(crate) fn leader_of(&self, shard: &str) -> Option<Leader> {
        self.leaders.borrow().get(shard).cloned()
    }

    /// Records the leader of a shard if its epoch is higher than that of the
    /// known leader. Returns whether it was recorded.
    pub(crate) fn update_leader(&self, shard: &str, leader: Leader) -> bool {
        let mut leaders = self.leaders.borrow_mut();
        if leaders.get(shard).is_some_and(|known| known.epoch >= leader.epoch)
        {
            return false;
        }
        debug!(
            "lease: {} leads {shard} in epoch {}.",
            leader.instance, leader.epoch
        );
        leaders.insert(shard.to_owned(), leader);
        true
    }

    /// Returns the highest epoch that is known of a shard, or 0.
    pub(crate) fn highest_epoch(&self, shard: &str) -> Epoch {
        self.leaders.borrow().get(shard).map_or(0, |leader| leader.epoch)
    }
}

/// Sleeps for `base`, give or take a random 25 %, so that instances do not act
/// in lockstep.
pub(crate) async fn sleep_with_jitter(base: Duration) {
    let factor: f64 = rand::random_range(0.75..1.25);
    compio::time::sleep(base.mul_f64(factor)).await;
}
