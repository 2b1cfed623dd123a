//! Follows one kind of objects in the platform's store.
//!
//! Each kind is listed once and then watched. While the store is out, what was
//! known stays in force; what a kind means is for its [`Follower`].

use std::{pin::pin, rc::Rc, time::Duration};

use futures_util::{FutureExt, select};
use sedgewall_clock::Instant;
use sedgewall_fleet::back_off::{BackOff, CallKind};
use sedgewall_platform::{
    StoreError,
    config::{CONFIG_KIND, CONFIG_NAME},
    store::{Change, Freshness, Listing, Revision},
};

use super::{instance::FleetInstance, notify::Notify};

/// How long a watch waits, but for that of endpoints. Each call has a price, and what
/// other instances know in a newer version is listed soon. It is well within the
/// history that the store keeps: a watch that waits longer finds its revision gone.
pub(crate) const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(12);

/// Instances that watch with all that was acknowledged. Three may be cut off at
/// once and one still tells all others.
pub(crate) const FRESH_WATCHERS: usize = 4;

/// The longest time for the answer to a probe: the lease leaves 0.85 s from the
/// first renewal that fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// While a probe says that the store is out, and no other call has reached it,
/// it is probed again after this long.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Takes in the objects of one kind.
pub(crate) trait ObjectHandler {
    const KIND: &'static str;
    const WATCH_TIMEOUT: Duration;
    /// How new the first list has to be. What the watch tells next follows on
    /// it, so a start is cheap where a second more does no harm.
    const FIRST_LIST_FRESHNESS: Freshness = Freshness::SecondsOld;
    /// The pause before the next watch.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// Notified when all is to be listed anew.
    fn relist_notify(&self) -> Rc<Notify>;
    /// Whether its calls, and no other kind's, are tried soon while the store is
    /// out, at an instance that does not watch for the others.
    const RETRIES_EARLY: bool = false;
    /// Returns whether others were heard to know more than the last list and
    /// watch have shown; told once.
    fn take_behind(&self) -> bool {
        false
    }
    /// Returns how new a watch has to be and how long it waits, if that does not
    /// go by our rank.
    fn watch_override(&self) -> Option<(Freshness, Duration)> {
        None
    }
    /// Takes in that the store answered a call that was sent at a moment.
    fn record_read(&self, _sent: Instant) {}
    /// Takes in that all changes before a moment are known.
    fn confirm(&self, _until: Instant) {}
    /// Takes in all objects.
    fn handle_list(&self, listing: Listing);
    /// Takes in one change.
    fn handle_change(&self, change: Change);
}

/// Starts to follow one kind.
pub(crate) fn spawn<F: ObjectHandler + 'static>(
    instance: &Rc<FleetInstance>,
    handler: F,
) {
    compio::runtime::spawn(run(instance.clone(), handler)).detach();
}

/// How far the following of one kind has come.
struct ListWatch<F> {
    instance: Rc<FleetInstance>,
    handler: F,
    /// Where the next watch goes on; without it, all is listed.
    since: Option<Revision>,
    /// How new the next list has to be, if that does not go by our rank.
    list_freshness_override: Option<Freshness>,
    /// How new the last watch had to be.
    watch_freshness: Freshness,
    /// Whether the last call of this kind failed.
    last_call_failed: bool,
    back_off: BackOff,
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
        back_off: BackOff::within(in_force_within),
    };
    loop {
        state.step().await;
    }
}

impl<F: ObjectHandler> ListWatch<F> {
    /// Lists or watches once, and pauses as its outcome asks for.
    async fn step(&mut self) {
        let sent = Instant::now();
        let done = match self.since {
            None => self.list().await.map(Some),
            Some(revision) => self.watch(revision).await,
        };
        match done {
            Ok(Some(revision)) => self.on_success(revision).await,
            // What was watched is to be listed anew.
            Ok(None) => self.since = None,
            Err(StoreError::HistoryGone) => {
                tracing::warn!(event = "history_gone", kind = F::KIND);
                self.since = None;
                // What is seconds old may lie before the history that is left.
                self.list_freshness_override = Some(Freshness::Newest);
            }
            Err(err) => self.on_failure(sent, &err).await,
        }
    }

    /// Lists all objects, which answers every notification until now.
    async fn list(&mut self) -> Result<Revision, StoreError> {
        self.handler.relist_notify().clear();
        let freshness = self.next_list_freshness();
        let sent = Instant::now();
        let listing = self.instance.store.list(F::KIND, freshness).await?;
        self.list_freshness_override = None;
        let revision = listing.revision;
        log_unreadable(F::KIND, &listing.unreadable);
        tracing::info!(
            event = "listed",
            kind = F::KIND,
            objects = listing.objects.len(),
            revision,
        );
        self.handler.handle_list(listing);
        self.handler.record_read(sent);
        if freshness == Freshness::Newest {
            self.handler.confirm(sent);
        }
        Ok(revision)
    }

    /// Returns how new the next list has to be. Most instances list for a tenth
    /// of the price after an outage, and hear in notes if that was too old: 195
    /// instances that list four kinds with all that was acknowledged are 780 calls
    /// at once.
    fn next_list_freshness(&self) -> Freshness {
        match self.list_freshness_override {
            Some(freshness) => freshness,
            None if self.handler.take_behind() => Freshness::Newest,
            None if self.handler.watch_override().is_some() => {
                Freshness::Newest
            }
            None => rank_freshness(&self.instance),
        }
    }

    /// Waits for changes; returns nothing if the notify rang before any came.
    async fn watch(
        &mut self,
        since: Revision,
    ) -> Result<Option<Revision>, StoreError> {
        let (freshness, wait) = match self.handler.watch_override() {
            Some(own) => own,
            None => {
                let before = self.watch_freshness;
                (
                    next_watch_freshness(&self.instance, before, F::KIND),
                    F::WATCH_TIMEOUT,
                )
            }
        };
        self.watch_freshness = freshness;
        let sent = Instant::now();
        let store = &self.instance.store;
        let watch = store.watch(F::KIND, since, wait, freshness);
        let notify = self.handler.relist_notify();
        let mut watch = pin!(watch.fuse());
        let mut notified = pin!(notified(&notify).fuse());
        let changes = select! {
            watched = watch => watched?,
            () = notified => return Ok(None),
        };
        log_unreadable(F::KIND, &changes.unreadable);
        // A watch that ended without a change has waited at the store.
        let is_empty =
            changes.changes.is_empty() && changes.unreadable.is_empty();
        let has_timed_out = is_empty && sent.elapsed() >= wait;
        for change in changes.changes {
            self.handler.handle_change(change);
        }
        self.handler.record_read(if has_timed_out {
            sent + wait
        } else {
            sent
        });
        if freshness == Freshness::Newest {
            self.handler.confirm(if has_timed_out {
                sent + wait
            } else {
                sent
            });
        }
        Ok(Some(changes.revision))
    }

    /// Goes on from a revision after the follower's pause.
    async fn on_success(&mut self, revision: Revision) {
        self.instance.record_store_success();
        let notify = self.handler.relist_notify();
        if std::mem::take(&mut self.last_call_failed) {
            tracing::info!(event = "store_regained", kind = F::KIND);
            self.instance.relist_others(&notify);
        }
        self.back_off.answered();
        let pause = self.handler.pause();
        let is_notified = !pause.is_zero() && notify.wait(pause).await;
        // After a long pause, what follows on the revision may be gone.
        let is_old = pause > DEFAULT_WATCH_TIMEOUT;
        self.since = (!is_notified && !is_old).then_some(revision);
    }

    /// Waits before the next call, or until another kind reaches the store: the
    /// first one that does notifies the others.
    async fn on_failure(&mut self, sent: Instant, err: &StoreError) {
        self.instance.record_store_failure(sent, err);
        let cause = err.to_string();
        if !std::mem::replace(&mut self.last_call_failed, true) {
            tracing::warn!(event = "store_lost", kind = F::KIND, cause);
            if !F::RETRIES_EARLY {
                // Its watch may wait on a channel that says nothing further.
                self.instance.configuration_notify.notify();
            }
        }
        // A watch answers only once something changes; a list tells at once
        // that the store is regained, and what was missed.
        let is_list = self.since.take().is_none();
        let calls = match rank_freshness(&self.instance) {
            Freshness::Newest => CallKind::Watcher,
            Freshness::SecondsOld if F::RETRIES_EARLY => CallKind::First,
            Freshness::SecondsOld => CallKind::Notified,
        };
        let is_out = self.instance.store_contact.borrow().is_unreachable();
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

    /// Waits for a time, or until another kind has reached the store. That
    /// others know more does not make the store answer us: 68 instances that
    /// the store turned away for 9 s tried each time they heard so, 1,100 calls.
    async fn wait_for_retry(&self, pause: Duration) {
        let notify = self.handler.relist_notify();
        let until = Instant::now() + pause;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let is_notified = notify.wait(left).await;
            let is_out = self.instance.store_contact.borrow().is_unreachable();
            if !is_notified || !is_out {
                return;
            }
        }
    }
}

/// One line for each object of which not even the name can be read.
fn log_unreadable(kind: &str, causes: &[String]) {
    for cause in causes {
        tracing::error!(event = "object_unreadable", kind, cause);
    }
}

/// A few instances hear everything at once and tell the others, who watch for
/// a tenth of the price and repair with it what notes lost.
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

/// Sees whether the store answers, for the holder of the lease to hear. Our own
/// watches may still wait on connections that were made before an outage.
pub(crate) fn probe_store(instance: &Rc<FleetInstance>) {
    if !instance.store_contact.borrow_mut().begin_probe() {
        return;
    }
    let instance = instance.clone();
    compio::runtime::spawn(async move {
        loop {
            let sent = Instant::now();
            let probe = instance.store.probe(CONFIG_KIND, CONFIG_NAME);
            let probed = compio::time::timeout(PROBE_TIMEOUT, probe)
                .await
                .unwrap_or(Err(StoreError::Unanswered));
            tracing::info!(event = "store_probed", is_out = probed.is_err());
            let Err(err) = probed else {
                instance.record_store_success();
                break;
            };
            instance.record_store_failure(sent, &err);
            compio::time::sleep(PROBE_INTERVAL).await;
            if !instance.store_contact.borrow().is_unreachable() {
                break;
            }
        }
        instance.store_contact.borrow_mut().end_probe();
    })
    .detach();
}

/// Waits for a notify.
async fn notified(notify: &Notify) {
    while !notify.wait(DEFAULT_WATCH_TIMEOUT).await {}
}
