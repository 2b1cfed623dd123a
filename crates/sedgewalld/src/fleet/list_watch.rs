//! Keeps one kind of objects in the platform's store up to date by listing and
//! watching them.
//!
//! Each kind is listed once and then watched. While the store is out, the last
//! known state stays in force. What to do with the objects is up to the
//! [`ObjectHandler`] of the kind.
//!
//! Invariant: where neither a read of the newest state nor another instance
//! confirms what is known of a kind, the store is read on a new connection
//! within the time that [`sedgewall_fleet::freshness`] sets, whatever the open
//! watch does.

use std::{pin::pin, rc::Rc, time::Duration};

use futures_util::{FutureExt, select};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    back_off::{BackOff, CallKind},
    freshness::{Freshness as FreshnessState, MIN_WATCH, Turn, WatchedKind},
};
use sedgewall_platform::{
    StoreError,
    config::{CONFIG_KIND, CONFIG_NAME},
    store::{Change, Changes, Freshness, Listing, Revision},
};

use super::{instance::FleetInstance, notify::Notify};

/// The timeout of a watch of any kind but endpoints. Calls to the store are
/// billed, and what another instance reports in a newer version is listed soon
/// anyway. The timeout is well within the history that the store keeps: a
/// longer watch finds its revision gone.
pub(crate) const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(12);

/// The number of instances whose watches include everything that the store has
/// acknowledged. With three of them cut off at once, one still tells all
/// others.
pub(crate) const FRESH_WATCHERS: usize = 4;

/// The timeout of a probe of the store. The lease leaves 0.85 s from the first
/// renewal that fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// The pause between probes while they show that the store is out and no other
/// call has reached it.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Handles the objects of one kind.
pub(crate) trait ObjectHandler {
    const KIND: &'static str;
    const WATCHED_KIND: WatchedKind;
    /// How long a watch waits for changes while other instances confirm what
    /// is known here.
    const WATCH_TIMEOUT: Duration;
    /// How fresh the first list must be. A cheaper list that may be seconds
    /// old suffices for a kind whose newest state may become known a second
    /// later: the first watch continues from the list and brings what it
    /// lacks.
    const FIRST_LIST_FRESHNESS: Freshness = Freshness::SecondsOld;
    /// Returns the pause before the next watch.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// Returns the notification that makes all objects of the kind be listed
    /// again.
    fn relist_notify(&self) -> Rc<Notify>;
    /// Whether calls for this kind, and for no other, are retried soon while
    /// the store is out. Applies to instances that do not watch for all
    /// others.
    const RETRIES_EARLY: bool = false;
    /// Returns whether other instances have reported newer state than the last
    /// list or watch has shown, and resets that.
    fn take_behind(&self) -> bool {
        false
    }
    /// Returns the freshness and the timeout of the next watch, if they do not
    /// depend on this instance's rank.
    fn watch_override(&self) -> Option<(Freshness, Duration)> {
        None
    }
    /// Records that the store answered a call that was sent at `sent`.
    fn record_read(&self, _sent: Instant) {}
    /// Records that all changes before `until` are known.
    fn confirm(&self, _until: Instant) {}
    /// Records that all changes up to a revision are known.
    fn record_position(&self, _until: Revision, _freshness: Freshness) {}
    /// Records that a list is sent.
    fn begin_list(&self) {}
    /// Records that a watch is sent.
    fn begin_watch(&self, _freshness: Freshness) {}
    /// Records that the watch is no longer open.
    fn end_watch(&self) {}
    /// Handles a complete list of the objects.
    fn handle_list(&self, listing: Listing);
    /// Handles one change.
    fn handle_change(&self, change: Change);
}

/// Starts to list and watch one kind of objects.
pub(crate) fn spawn<F: ObjectHandler + 'static>(
    instance: &Rc<FleetInstance>,
    handler: F,
) {
    instance.event_loop.spawn("watch", run(instance.clone(), handler));
}

/// The state of listing and watching one kind of objects.
struct ListWatch<F> {
    instance: Rc<FleetInstance>,
    handler: F,
    /// The revision that the next watch continues from. If there is none, all
    /// objects are listed.
    since: Option<Revision>,
    /// How fresh the next list must be, if that does not depend on this
    /// instance's rank.
    list_freshness_override: Option<Freshness>,
    /// How fresh the last watch had to be.
    watch_freshness: Freshness,
    /// Whether the last call for this kind failed.
    last_call_failed: bool,
    /// Whether the next watch only reads the changes so far, on a new
    /// connection.
    is_read_due: bool,
    back_off: BackOff,
}

/// How a watch ended.
enum WatchEnd {
    Answered(Changes),
    /// The kind was to be listed again.
    Notified,
    /// The newest state had not been confirmed for too long, and it is this
    /// instance's turn to read it.
    Overdue(Turn),
}

async fn run<F: ObjectHandler>(instance: Rc<FleetInstance>, handler: F) {
    let in_force_within = instance.in_force_within();
    let mut state = ListWatch {
        instance,
        handler,
        since: None,
        list_freshness_override: Some(F::FIRST_LIST_FRESHNESS),
        watch_freshness: Freshness::Newest,
        last_call_failed: false,
        is_read_due: false,
        back_off: BackOff::within(in_force_within),
    };
    loop {
        state.step().await;
    }
}

impl<F: ObjectHandler> ListWatch<F> {
    /// Lists or watches once, and then pauses as the outcome requires.
    async fn step(&mut self) {
        let sent = Instant::now();
        let era = self.instance.store.era();
        if self.since.is_some_and(|since| since.era() < era) {
            self.since = None;
        }
        let done = match self.since {
            None => self.list().await.map(Some),
            Some(revision) => self.watch(revision).await,
        };
        match done {
            Ok(Some(revision)) => self.on_success(revision).await,
            // A notification asks for a list of all objects.
            Ok(None) => self.since = None,
            Err(StoreError::HistoryGone) => {
                tracing::warn!(event = "history_gone", kind = F::KIND);
                self.since = None;
                // A list that may be seconds old may lie before the history
                // that the store still has.
                self.list_freshness_override = Some(Freshness::Newest);
            }
            Err(StoreError::Restored(_)) if self.since.take().is_some() => {
                self.list_freshness_override = Some(Freshness::Newest);
            }
            Err(err) => self.on_failure(sent, &err).await,
        }
    }

    /// Lists all objects, which answers all notifications up to now.
    async fn list(&mut self) -> Result<Revision, StoreError> {
        self.handler.relist_notify().clear();
        let freshness = self.next_list_freshness();
        let sent = Instant::now();
        self.handler.begin_list();
        let listing = self.list_in_latest_era(freshness).await?;
        self.list_freshness_override = None;
        let revision = listing.revision;
        log_unreadable(F::KIND, &listing.unreadable);
        tracing::info!(
            event = "listed",
            kind = F::KIND,
            objects = listing.objects.len(),
            %revision,
        );
        self.handler.handle_list(listing);
        self.handler.record_position(revision, freshness);
        self.handler.record_read(sent);
        if freshness == Freshness::Newest {
            self.confirm(sent);
        }
        Ok(revision)
    }

    /// Records that all changes before `until` are known.
    fn confirm(&self, until: Instant) {
        self.handler.confirm(until);
        self.instance.freshness.confirm(F::WATCHED_KIND, until);
    }

    /// Lists all objects. A list that may be seconds old may show what the
    /// store held before it was restored; the newest is then listed instead.
    async fn list_in_latest_era(
        &self,
        freshness: Freshness,
    ) -> Result<Listing, StoreError> {
        let store = &self.instance.store;
        let is_old = |listed: &Listing| listed.revision.era() < store.era();
        let mut listing = store.list(F::KIND, freshness).await?;
        if is_old(&listing) && freshness == Freshness::SecondsOld {
            listing = store.list(F::KIND, Freshness::Newest).await?;
        }
        self.instance.check_store_era();
        match is_old(&listing) {
            true => Err(StoreError::Restored(store.era())),
            false => Ok(listing),
        }
    }

    /// Returns how fresh the next list must be.
    ///
    /// After an outage, most instances list with [`Freshness::SecondsOld`],
    /// for a tenth of the price, and learn from notes if the list was too old.
    /// If 195 instances listed four kinds with [`Freshness::Newest`], that
    /// would be 780 calls at once.
    fn next_list_freshness(&mut self) -> Freshness {
        let is_read = std::mem::take(&mut self.is_read_due);
        match self.list_freshness_override {
            _ if is_read => Freshness::Newest,
            Some(freshness) => freshness,
            None if self.handler.take_behind() => Freshness::Newest,
            None if self.handler.watch_override().is_some() => {
                Freshness::Newest
            }
            None => rank_freshness(&self.instance),
        }
    }

    /// Waits for changes. Returns the revision to continue from, or none if
    /// the kind must be listed again.
    async fn watch(
        &mut self,
        since: Revision,
    ) -> Result<Option<Revision>, StoreError> {
        let is_read = std::mem::take(&mut self.is_read_due);
        let (freshness, wait) = match is_read {
            true => (Freshness::Newest, MIN_WATCH),
            false => self.next_watch(),
        };
        if !is_read {
            self.watch_freshness = freshness;
        }
        let sent = Instant::now();
        self.handler.begin_watch(freshness);
        let watch = self.instance.store.watch(F::KIND, since, wait, freshness);
        let ended = self.watch_until_end(watch, is_read).await;
        self.handler.end_watch();
        let changes = match ended? {
            WatchEnd::Answered(changes) => changes,
            WatchEnd::Notified => return Ok(None),
            WatchEnd::Overdue(turn) => {
                self.note_overdue(turn, Some(sent));
                return Ok(Some(since));
            }
        };
        log_unreadable(F::KIND, &changes.unreadable);
        // A watch that ends without a change has waited its whole timeout at
        // the store, so the state is known up to its end.
        let is_empty =
            changes.changes.is_empty() && changes.unreadable.is_empty();
        let has_timed_out = is_empty && sent.elapsed() >= wait;
        for change in changes.changes {
            self.handler.handle_change(change);
        }
        self.handler.record_position(changes.revision, freshness);
        let known_until = match has_timed_out {
            true => sent + wait,
            false => sent,
        };
        self.handler.record_read(known_until);
        if freshness == Freshness::Newest {
            self.confirm(known_until);
        }
        if is_read && FreshnessState::reports_reads(self.instance.turn()) {
            self.instance.has_urgent_report.set(true);
            self.instance.notify_notes();
        }
        Ok(Some(changes.revision))
    }

    /// Returns the freshness and the timeout of the next watch.
    fn next_watch(&self) -> (Freshness, Duration) {
        let own = self.handler.watch_override();
        let (freshness, longest) = match own {
            Some(own) => own,
            None => {
                let before = self.watch_freshness;
                (
                    next_watch_freshness(&self.instance, before, F::KIND),
                    F::WATCH_TIMEOUT,
                )
            }
        };
        if freshness == Freshness::SecondsOld {
            return (freshness, longest);
        }
        let known = self.instance.freshness.of(F::WATCHED_KIND);
        let turn = self.instance.turn();
        (freshness, known.watch_timeout(turn, longest, Instant::now()))
    }

    /// Waits for the end of a watch, for a notification that the kind must be
    /// listed again, or until the newest state must be read.
    async fn watch_until_end(
        &self,
        watch: impl Future<Output = Result<Changes, StoreError>>,
        is_read: bool,
    ) -> Result<WatchEnd, StoreError> {
        let notify = self.handler.relist_notify();
        let mut watch = pin!(watch.fuse());
        let mut notified = pin!(notified(&notify).fuse());
        let mut overdue = pin!(self.overdue(is_read).fuse());
        select! {
            watched = watch => {
                self.instance.check_store_era();
                watched.map(WatchEnd::Answered)
            }
            () = notified => Ok(WatchEnd::Notified),
            turn = overdue => Ok(WatchEnd::Overdue(turn)),
        }
    }

    /// Waits until the newest state must be read, and returns this instance's
    /// turn. Never returns during the read itself, whose timeout bounds it.
    async fn overdue(&self, is_read: bool) -> Turn {
        if is_read {
            return std::future::pending().await;
        }
        let draw = rand::random();
        loop {
            // The rank changes while other instances come and go.
            let turn = Turn { draw, ..self.instance.turn() };
            let known = self.instance.freshness.of(F::WATCHED_KIND);
            let left =
                known.read_due(turn).saturating_duration_since(Instant::now());
            if left.is_zero() {
                return turn;
            }
            compio::time::sleep(left).await;
        }
    }

    /// Makes the next watch read the newest state on a new connection: those
    /// that are open may be dead. `watch_sent` is when the open watch was
    /// sent, if there is one.
    fn note_overdue(&mut self, turn: Turn, watch_sent: Option<Instant>) {
        self.is_read_due = true;
        self.instance.store.close_idle_connections();
        let known = self.instance.freshness.of(F::WATCHED_KIND);
        let age = known.age(Instant::now());
        tracing::info!(
            event = "read_due",
            kind = F::KIND,
            rank = turn.rank,
            age_ms = age.map(|age| age.as_millis() as u64),
            watch_open_ms =
                watch_sent.map(|sent| sent.elapsed().as_millis() as u64),
        );
    }

    /// Continues from a revision after the handler's pause.
    async fn on_success(&mut self, revision: Revision) {
        if self.is_read_due {
            // The watch was abandoned, which shows nothing of the store.
            self.since = Some(revision);
            return;
        }
        self.instance.record_store_success();
        let notify = self.handler.relist_notify();
        if std::mem::take(&mut self.last_call_failed) {
            tracing::info!(event = "store_regained", kind = F::KIND);
            self.instance.relist_others(&notify);
        }
        self.back_off.answered();
        let known = self.instance.freshness.of(F::WATCHED_KIND);
        let turn = self.instance.turn();
        let pause = self.handler.pause().min(known.max_pause(turn));
        let began = Instant::now();
        let is_notified =
            !pause.is_zero() && self.pause_unless_overdue(pause).await;
        // After a long pause, the store may have dropped the changes that
        // follow the revision.
        let is_old = began.elapsed() > DEFAULT_WATCH_TIMEOUT;
        self.since = (!is_notified && !is_old).then_some(revision);
    }

    /// Waits until the end of the pause, or until the newest state must be
    /// read. Returns whether the kind must be listed again.
    async fn pause_unless_overdue(&mut self, pause: Duration) -> bool {
        let notify = self.handler.relist_notify();
        let turn = {
            let mut paused = pin!(notify.wait(pause).fuse());
            let mut overdue = pin!(self.overdue(false).fuse());
            select! {
                is_notified = paused => return is_notified,
                turn = overdue => turn,
            }
        };
        self.note_overdue(turn, None);
        false
    }

    /// Waits before the next call, or until another kind has reached the
    /// store. The first kind that reaches it notifies the others.
    async fn on_failure(&mut self, sent: Instant, err: &StoreError) {
        self.instance.record_store_failure(sent, err);
        let cause = err.to_string();
        if !std::mem::replace(&mut self.last_call_failed, true) {
            tracing::warn!(event = "store_lost", kind = F::KIND, cause);
            if !F::RETRIES_EARLY {
                // The watch of the configuration may be open on a connection
                // that brings nothing more.
                self.instance.configuration_relist_notify.notify();
            }
        }
        // A watch answers only on a change. A list shows at once that the
        // store is back, and what was missed.
        let is_list = self.since.take().is_none();
        let calls = match rank_freshness(&self.instance) {
            Freshness::Newest => CallKind::Watcher,
            Freshness::SecondsOld if F::RETRIES_EARLY => CallKind::First,
            Freshness::SecondsOld => CallKind::Notified,
        };
        let is_out =
            self.instance.store_reachability.borrow().is_unreachable();
        let pause = self.back_off.failed(calls, is_out);
        tracing::info!(
            event = "store_call_failed",
            kind = F::KIND,
            is_list,
            sent_ms_ago = sent.elapsed().as_millis() as u64,
            next_in_ms = pause.as_millis() as u64,
            cause,
        );
        self.wait_for_retry(pause).await;
    }

    /// Waits until the timeout, or until another kind has reached the store.
    ///
    /// Notifications are ignored while the store is out: reports of newer
    /// state do not mean that the store answers this instance. Retrying on
    /// each of them, 68 instances that the store turned away for 9 s made
    /// 1,100 calls.
    async fn wait_for_retry(&self, pause: Duration) {
        let notify = self.handler.relist_notify();
        let until = Instant::now() + pause;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let is_notified = notify.wait(left).await;
            let is_out =
                self.instance.store_reachability.borrow().is_unreachable();
            if !is_notified || !is_out {
                return;
            }
        }
    }
}

/// Logs one line for each object whose name cannot even be read.
fn log_unreadable(kind: &str, causes: &[String]) {
    for cause in causes {
        tracing::error!(event = "object_unreadable", kind, cause);
    }
}

/// Returns how fresh the next watch must be, by this instance's rank.
///
/// A few instances get all changes at once and tell the other instances. The
/// other instances watch for a tenth of the price, which makes up for lost
/// notes.
fn next_watch_freshness(
    instance: &FleetInstance,
    before: Freshness,
    kind: &str,
) -> Freshness {
    let freshness = rank_freshness(instance);
    if freshness != before {
        let rank = instance.rank(0);
        tracing::info!(event = "watch", kind, rank, freshness = ?freshness);
    }
    freshness
}

fn rank_freshness(instance: &FleetInstance) -> Freshness {
    match instance.rank(0) < FRESH_WATCHERS {
        true => Freshness::Newest,
        false => Freshness::SecondsOld,
    }
}

/// Probes whether the store answers and reports that to the lease holder.
/// Watches may still wait on connections from before an outage.
pub(crate) fn probe_store(instance: &Rc<FleetInstance>) {
    if !instance.store_reachability.borrow_mut().begin_probe() {
        return;
    }
    let instance = instance.clone();
    compio::runtime::spawn(async move {
        loop {
            let sent = Instant::now();
            let probe = instance.store.probe(CONFIG_KIND, CONFIG_NAME);
            let probed = compio::time::timeout(PROBE_TIMEOUT, probe)
                .await
                .unwrap_or(Err(StoreError::TimedOut));
            tracing::info!(event = "store_probed", is_out = probed.is_err());
            let Err(err) = probed else {
                instance.record_store_success();
                break;
            };
            instance.record_store_failure(sent, &err);
            compio::time::sleep(PROBE_PAUSE).await;
            if !instance.store_reachability.borrow().is_unreachable() {
                break;
            }
        }
        instance.store_reachability.borrow_mut().end_probe();
    })
    .detach();
}

/// Waits for a notification.
async fn notified(notify: &Notify) {
    while !notify.wait(DEFAULT_WATCH_TIMEOUT).await {}
}
