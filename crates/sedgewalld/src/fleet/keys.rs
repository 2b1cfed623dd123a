//! Freshness of the keys in force: how certain it is that this instance knows
//! of every revoked key.
//!
//! A few instances watch the configuration in the store, both for changes and
//! for their absence. The other instances ask these, and read the store
//! themselves when the answers get too old. With 74 instances this takes a
//! seventh of the calls to the store that a watch by each instance would, and
//! an instance that alone is cut off from the store goes on serving.
//!
//! Invariant: keys count as known only up to a moment that a call to the store
//! has confirmed, made by this instance or by the instance that was asked,
//! after the question.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    catch_up::StateSummary,
    configuration::ConfigurationVersion,
    note::Note,
    revocation::{FreshnessPoll, KeyFreshness},
};
use sedgewall_state::id::InstanceId;

use super::{instance::FleetInstance, note_sender::NoteSender, notes};

/// The number of instances that watch the configuration for all others. With
/// three of them cut off at once, one still answers.
const WATCHERS: usize = 4;

/// The interval at which an instance that asks no other instance checks
/// whether it must ask one.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum interval between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(600);

/// What an instance knows about the keys in force.
pub(crate) struct Keys {
    known: Cell<KeyFreshness>,
    poll: RefCell<FreshnessPoll>,
    /// The instance that the last question was sent to.
    last_asked: RefCell<Option<InstanceId>>,
    /// Whether this instance is one of those that watch the configuration for
    /// all others.
    is_watching: Cell<bool>,
    read_at: Cell<Option<Instant>>,
    /// Whether it was logged that keys are no longer certain to be known.
    has_logged_stale: Cell<bool>,
}

impl Keys {
    pub(crate) fn new(within: Option<Duration>) -> Keys {
        Keys {
            known: Cell::new(KeyFreshness::new(within)),
            poll: RefCell::default(),
            last_asked: RefCell::default(),
            is_watching: Cell::new(false),
            read_at: Cell::new(None),
            has_logged_stale: Cell::new(false),
        }
    }

    /// Records that all changes of the configuration before `until` are known.
    pub(crate) fn confirm(&self, until: Instant) {
        let mut known = self.known.get();
        known.confirm(until);
        self.known.set(known);
        let is_fresh = known.is_fresh(Instant::now());
        if is_fresh && self.has_logged_stale.replace(false) {
            tracing::info!(event = "keys_sure");
        }
    }

    /// Returns whether all keys in force are certain to be known. Logs a line
    /// when that ceases to be so.
    pub(crate) fn are_fresh(&self) -> bool {
        let known = self.known.get();
        let now = Instant::now();
        let is_fresh = known.is_fresh(now);
        if !is_fresh && !self.has_logged_stale.replace(true) {
            let known_ms_ago =
                known.age(now).map(|age| age.as_millis() as u64);
            tracing::warn!(event = "keys_unsure", known_ms_ago);
        }
        is_fresh
    }
}

/// Returns the timeout of the next watch of the configuration, if this
/// instance is one of those that watch it for all others.
pub(crate) fn watch_timeout(instance: &FleetInstance) -> Option<Duration> {
    let is_watching = instance.has_customers() && instance.rank(0) < WATCHERS;
    instance.keys.is_watching.set(is_watching);
    let wait = instance.keys.known.get().watch_timeout(Instant::now());
    wait.filter(|_| is_watching)
}

/// Keeps the known keys fresh by asking the instances that watch, and by
/// reading the store where that is not enough. Never returns.
pub(crate) async fn keep_fresh(
    instance: Rc<FleetInstance>,
    sender: Rc<NoteSender>,
) {
    loop {
        let pause = next_question_in(&instance).unwrap_or(CHECK_INTERVAL);
        compio::time::sleep(pause).await;
        if next_question_in(&instance) != Some(Duration::ZERO) {
            continue;
        }
        let now = Instant::now();
        if instance.keys.known.get().is_read_due(now) {
            reread(&instance, now);
        }
        ask(&instance, &sender, now);
    }
}

/// Returns the time until the next question, or none if this instance asks
/// nobody. An instance that watches asks the others that do once its own
/// watch does not keep the keys fresh.
fn next_question_in(instance: &FleetInstance) -> Option<Duration> {
    let now = Instant::now();
    let known = instance.keys.known.get();
    let is_kept_fresh =
        instance.keys.is_watching.get() && !known.is_read_due(now);
    let asks = instance.has_customers() && !is_kept_fresh;
    let poll = instance.keys.poll.borrow();
    known.next_poll_in(&poll, now).filter(|_| asks)
}

/// Makes the configuration be listed again, including everything that the
/// store has acknowledged.
fn reread(instance: &FleetInstance, now: Instant) {
    let keys = &instance.keys;
    if keys.read_at.get().is_some_and(|at| now < at + READ_INTERVAL) {
        return;
    }
    keys.read_at.set(Some(now));
    instance.is_configuration_behind.set(true);
    instance.configuration_relist_notify.notify();
}

fn ask(instance: &FleetInstance, sender: &NoteSender, now: Instant) {
    let watchers = instance.largest_peers(WATCHERS);
    let mut poll = instance.keys.poll.borrow_mut();
    let number = poll.start(now);
    let Some(peer) = watchers.get(poll.next_target(watchers.len())) else {
        return;
    };
    let from = instance.id().clone();
    *instance.keys.last_asked.borrow_mut() = Some(peer.clone());
    sender.send_to_peer(
        instance,
        peer,
        &Note::FreshnessQuery { from, number },
    );
}

/// Fetches a newer configuration from an instance that has it; the next
/// question shows whether that configuration is the newest. The store is read
/// only once the known keys get too old, or if no instance was asked.
fn fetch_newer(
    instance: &FleetInstance,
    peer: Option<&InstanceId>,
    configuration: ConfigurationVersion,
    now: Instant,
) {
    let Some(peer) = peer else { return reread(instance, now) };
    let summary = StateSummary { configuration, ..instance.state_summary() };
    notes::record_state_summary(instance, peer, summary, now);
    instance.notify_catch_up();
}

/// Answers a question of another instance.
pub(crate) fn answer(
    instance: &FleetInstance,
    sender: &NoteSender,
    from: &InstanceId,
    number: u64,
) {
    let Some(age) = instance.keys.known.get().age(Instant::now()) else {
        return;
    };
    let answer = Note::FreshnessAnswer {
        number,
        // Rounded up, so that the answer never claims too much.
        age_ms: age.as_millis() as u64 + 1,
        configuration: instance.configuration_version().unwrap_or(0),
    };
    sender.send_to_peer(instance, from, &answer);
}

/// Applies an answer. If a newer configuration is in force at the other
/// instance, that one is fetched first.
pub(crate) fn apply_answer(
    instance: &FleetInstance,
    number: u64,
    age_ms: u64,
    configuration: u64,
) {
    let now = Instant::now();
    let known = instance.configuration_version().unwrap_or(0);
    if configuration > known {
        let peer = instance.keys.last_asked.borrow().clone();
        return fetch_newer(instance, peer.as_ref(), configuration, now);
    }
    let age = Duration::from_millis(age_ms);
    let until = instance.keys.poll.borrow_mut().record_answer(number, age);
    if let Some(until) = until {
        instance.keys.confirm(until);
    }
}
