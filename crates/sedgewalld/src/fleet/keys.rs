//! How sure this instance is to know which keys are in force.
//!
//! A few instances watch the store's configuration, each change and its absence;
//! the others ask them, and the store itself where their answers grow old. With
//! 74 instances that is a seventh of the calls to the store that a watch at each
//! takes, and one that is cut off from the store alone goes on to serve. The
//! invariant: keys count as known only up to a moment that a call to the store
//! confirmed, here or at an instance that was asked after it.

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

/// Instances that watch for all. Three may be cut off at once and one still
/// answers.
const WATCHERS: usize = 4;

/// How often an instance that asks nobody looks whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// While the store is asked, it is not asked again.
const READ_INTERVAL: Duration = Duration::from_millis(600);

/// What an instance knows of the keys in force.
pub(crate) struct Keys {
    known: Cell<KeyFreshness>,
    asking: RefCell<FreshnessPoll>,
    /// Whom the last question went to.
    last_asked: RefCell<Option<InstanceId>>,
    /// Whether this instance watches for all.
    is_watching: Cell<bool>,
    read_at: Cell<Option<Instant>>,
    /// Whether it was logged that it is not sure.
    has_logged_stale: Cell<bool>,
}

impl Keys {
    pub(crate) fn new(within: Option<Duration>) -> Keys {
        Keys {
            known: Cell::new(KeyFreshness::new(within)),
            asking: RefCell::default(),
            last_asked: RefCell::default(),
            is_watching: Cell::new(false),
            read_at: Cell::new(None),
            has_logged_stale: Cell::new(false),
        }
    }

    /// Takes in that all changes of the configuration before a moment are known.
    pub(crate) fn confirm(&self, until: Instant) {
        let mut known = self.known.get();
        known.confirm(until);
        self.known.set(known);
        let is_fresh = known.is_fresh(Instant::now());
        if is_fresh && self.has_logged_stale.replace(false) {
            tracing::info!(event = "keys_sure");
        }
    }

    /// Returns whether it is sure which keys are in force; one line when that is
    /// no longer so.
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

/// Returns how long the next watch of the configuration waits, if this instance is
/// one of those that watch for all.
pub(crate) fn watch_timeout(instance: &FleetInstance) -> Option<Duration> {
    let is_watching = instance.has_customers() && instance.rank(0) < WATCHERS;
    instance.keys.is_watching.set(is_watching);
    let wait = instance.keys.known.get().watch_timeout(Instant::now());
    wait.filter(|_| is_watching)
}

/// Asks those that watch, and the store where that is not enough, for ever.
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

/// Returns when to ask, if this instance does.
fn next_question_in(instance: &FleetInstance) -> Option<Duration> {
    let asks = instance.has_customers() && !instance.keys.is_watching.get();
    let asking = instance.keys.asking.borrow();
    let due = instance.keys.known.get().next_poll_in(&asking, Instant::now());
    due.filter(|_| asks)
}

/// Makes the configuration be listed with all that was acknowledged.
fn reread(instance: &FleetInstance, now: Instant) {
    let keys = &instance.keys;
    if keys.read_at.get().is_some_and(|at| now < at + READ_INTERVAL) {
        return;
    }
    keys.read_at.set(Some(now));
    instance.is_configuration_behind.set(true);
    instance.configuration_notify.notify();
}

fn ask(instance: &FleetInstance, sender: &NoteSender, now: Instant) {
    let watchers = instance.largest_peers(WATCHERS);
    let mut asking = instance.keys.asking.borrow_mut();
    let number = asking.start(now);
    let Some(peer) = watchers.get(asking.next_target(watchers.len())) else {
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

/// Gets a newer configuration from an instance that has it; the next question says
/// whether that is the newest. From the store it is read once what is known is old.
fn fetch_newer(
    instance: &FleetInstance,
    peer: Option<&InstanceId>,
    configuration: ConfigurationVersion,
    now: Instant,
) {
    let Some(peer) = peer else { return reread(instance, now) };
    let told = StateSummary { configuration, ..instance.knowledge() };
    notes::record_state_summary(instance, peer, told, now);
    instance.notify_catch_up();
}

/// Answers another instance.
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
        // Rounded up: what is said to be known must be.
        age_ms: age.as_millis() as u64 + 1,
        configuration: instance.configuration_version().unwrap_or(0),
    };
    sender.send_to_peer(instance, from, &answer);
}

/// Hears an answer. Where a newer version is in force there, that is asked for first.
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
    let until = instance.keys.asking.borrow_mut().record_answer(number, age);
    if let Some(until) = until {
        instance.keys.confirm(until);
    }
}
