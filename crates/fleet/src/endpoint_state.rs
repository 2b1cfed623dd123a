//! One endpoint, as an instance sees it: its entry, its load, its health, and
//! which adapters it holds.
//!
//! What an engine holds comes from the platform's list, which is late, from
//! notes, which are early and lost now and then, or, at the holder of the
//! lease, from its report and our own orders alone.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use crate::{
    adapter::{AdapterKey, WeightVersion},
    cooldown::Cooldown,
    endpoint::{Endpoint, EngineReport},
    health::Health,
    note::Placed,
    work::Work,
};

/// How long a note is believed over a list that does not show it. Endpoints
/// write their entries about once a second, and a load may wait its turn.
const NOTE_PRECEDENCE: Duration = Duration::from_millis(4_000);

/// When an adapter that a report shows on its way is looked for again.
const REPORTED_LOAD_TIME: Duration = Duration::from_millis(300);

/// Adapters that an endpoint keeps at hand of those it held. Fewer than engines
/// keep, so that a load which is taken for a fast one is one.
const WARM_ADAPTERS: usize = 80;

/// An adapter on its way that is not there yet is tried again after this, or
/// after a part of the time for which it has been on its way, if that is longer.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The part, as a divisor: each further try costs a repeat, and waits too long by
/// half of this part.
const RETRY_DELAY_DIVISOR: u32 = 8;

/// How long the version before a replacement counts as there after the new one
/// should be ready: it waits for its runs, which take seconds at most.
const REPLACED_VERSION_HELD_FOR: Duration = Duration::from_secs(6);

/// A load that nothing has shown to be over counts as on its way for this many times
/// as long as it was expected to take: a new holder of the lease knows the weight
/// store's pace only after some answers, and must not order more loads than an engine
/// takes at once.
const LOAD_TIME_FACTOR: u32 = 4;

/// An adapter that is on its way may come this much later than expected, when
/// the weight store is busy. Its removal would be answered as done, and it would
/// come all the same.
const MAX_LOAD_OVERRUN: Duration = Duration::from_millis(2_000);

/// An adapter on an engine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The version that is there, or that the load brings.
    pub version: WeightVersion,
    /// From when on it takes requests.
    pub ready_at: Instant,
    /// When a note or an outcome last spoke of it.
    pub(crate) updated_at: Instant,
    /// Whether the platform's list shows it.
    pub(crate) is_listed: bool,
    /// Whether it replaces another version, which stays until its runs end.
    pub(crate) is_replacement: bool,
    /// Whether it comes from the weight store, and no request has shown yet that
    /// it is there.
    pub(crate) is_unconfirmed: bool,
    /// When its load was first heard of.
    pub(crate) load_started: Instant,
    /// Whether its engine has taken the order; before that it takes a place, and
    /// nothing else.
    pub(crate) is_ordered: bool,
    /// Until when it may still be on its way.
    pub(crate) loading_until: Instant,
}

/// One endpoint, as this instance sees it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// What the platform's list says.
    pub endpoint: Endpoint,
    /// What this instance has under way there.
    pub own_work: Work,
    /// Our part in what the holder of the lease was told last.
    pub(crate) published_work: Work,
    /// What the other instances have under way there, as each says itself.
    pub(crate) peer_work: Work,
    /// What the holder, if that is us, told last of all instances' work there.
    pub(crate) published_total: Work,
    /// What all instances have under way there, as the holder of the lease
    /// says. Where many say so, it is newer than what each says itself.
    pub(crate) total_work: Option<Work>,
    /// What our requests show.
    pub health: Health,
    /// What it is worth against an endpoint as the others, for plain services.
    pub(crate) weight: f64,
    pub(crate) placements: HashMap<AdapterKey, Placement>,
    pub(crate) removed: HashMap<AdapterKey, Instant>,
    /// Whether our own orders alone decide what it holds; then the list, which
    /// is late, says nothing about that.
    pub(crate) is_ordered_by_us: bool,
    /// What it held lately, the newest last.
    pub(crate) warm: VecDeque<AdapterKey>,
    /// Until when it takes no more from some instance: what requests wait for needs
    /// another place.
    pub(crate) saturated_until: Option<Instant>,
    /// The rest that it asked us for.
    pub(crate) cooldown: Cooldown,
}

impl Placement {
    /// Returns whether the seat takes requests.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.is_ordered && now >= self.ready_at
    }

    /// Returns whether its engine has taken the order for it.
    pub fn is_ordered(&self) -> bool {
        self.is_ordered
    }

    /// Returns whether its load is sure to be over.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.is_ready(now)
            && (self.is_listed || now >= self.updated_at + MAX_LOAD_OVERRUN)
    }

    /// Returns whether the version before may still take a place beside it.
    pub fn is_replacing(&self, now: Instant) -> bool {
        self.is_replacement && now < self.ready_at + REPLACED_VERSION_HELD_FOR
    }

    /// Returns whether its load may still be under way.
    pub fn is_loading(&self, now: Instant) -> bool {
        now < self.ready_at.max(self.loading_until)
    }

    /// Returns whether the platform's list shows it.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }
}

impl EndpointState {
    pub(crate) fn new(endpoint: Endpoint) -> EndpointState {
        EndpointState {
            endpoint,
            own_work: Work::default(),
            published_work: Work::default(),
            published_total: Work::default(),
            peer_work: Work::default(),
            total_work: None,
            health: Health::default(),
            weight: 1.0,
            placements: HashMap::new(),
            removed: HashMap::new(),
            is_ordered_by_us: false,
            warm: VecDeque::new(),
            saturated_until: None,
            cooldown: Cooldown::default(),
        }
    }

    /// Forgets what it held, what requests showed and what was learned of it.
    pub(crate) fn begin_incarnation(&mut self) {
        self.placements.clear();
        self.removed.clear();
        self.warm.clear();
        self.is_ordered_by_us = false;
        self.health = Health::default();
        self.weight = 1.0;
        self.saturated_until = None;
        self.cooldown = self.cooldown.in_new_incarnation();
    }

    /// Returns its id.
    pub fn id(&self) -> &EndpointId {
        &self.endpoint.id
    }

    /// Returns the requests of all instances under way there.
    pub fn in_flight(&self) -> u32 {
        let others = match &self.total_work {
            Some(total) => {
                total.requests.saturating_sub(self.published_work.requests)
            }
            None => self.peer_work.requests,
        };
        self.own_work.requests + others
    }

    /// Returns the prompt tokens of all instances' requests that it has yet to
    /// read.
    pub fn unread_tokens(&self) -> u64 {
        let others = match &self.total_work {
            Some(total) => total
                .unread_tokens
                .saturating_sub(self.published_work.unread_tokens),
            None => self.peer_work.unread_tokens,
        };
        self.own_work.unread_tokens + others
    }

    /// Returns whether requests run on an adapter there, as far as we know.
    pub fn uses(&self, key: &AdapterKey) -> bool {
        self.own_work.uses(key) || self.peer_work.uses(key)
    }

    /// Returns the requests under way as a part of its slots.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight()) / f64::from(self.endpoint.slots.max(1))
    }

    /// Returns whether it may get requests.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.endpoint.is_draining
            && self.health.is_usable(now)
            && self.cooldown.left(now).is_none()
    }

    /// Returns whether it takes no more from some instance now.
    pub fn is_saturated(&self, now: Instant) -> bool {
        self.saturated_until.is_some_and(|until| now < until)
    }

    /// Returns whether it holds a base model.
    pub fn has_model(&self, model: &str) -> bool {
        self.endpoint.models.iter().any(|hosted| hosted.key.model == model)
    }

    /// Returns whether we know what it holds from its report and our orders.
    /// An endpoint whose entry went and came back is not known.
    pub fn is_ordered_by_us(&self) -> bool {
        self.is_ordered_by_us
    }

    /// Returns the adapters that are there or on their way.
    pub fn placements(
        &self,
    ) -> impl Iterator<Item = (&AdapterKey, &Placement)> {
        self.placements.iter()
    }

    /// Returns one adapter that is there or on its way.
    pub fn placement(&self, key: &AdapterKey) -> Option<&Placement> {
        self.placements.get(key)
    }

    /// Notes that it holds an adapter; returns what it no longer has at hand.
    pub(crate) fn record_warm(
        &mut self,
        key: &AdapterKey,
    ) -> Option<AdapterKey> {
        self.warm.retain(|held| held != key);
        self.warm.push_back(key.clone());
        if self.warm.len() > WARM_ADAPTERS {
            return self.warm.pop_front();
        }
        None
    }

    /// Takes in the endpoint's entry.
    pub(crate) fn apply_entry(&mut self, endpoint: Endpoint, now: Instant) {
        if self.is_ordered_by_us {
            self.endpoint = endpoint;
            return;
        }
        let holds = |at: Instant| now - at < NOTE_PRECEDENCE;
        self.removed.retain(|_, at| holds(*at));
        let mut placements = HashMap::new();
        for model in &endpoint.models {
            let own = (model.key.clone(), model.version);
            for (key, version) in
                model.adapters.iter().chain(std::iter::once(&own))
            {
                if self.removed.contains_key(key) {
                    continue;
                }
                let placement = Placement {
                    version: *version,
                    ready_at: now,
                    updated_at: now,
                    is_listed: true,
                    is_replacement: false,
                    is_unconfirmed: false,
                    load_started: now,
                    is_ordered: true,
                    loading_until: now,
                };
                placements.insert(key.clone(), placement);
            }
        }
        for (key, placement) in &self.placements {
            let is_newer = placements
                .get(key)
                .is_none_or(|listed| listed.version < placement.version);
            if is_newer && !placement.is_listed && holds(placement.updated_at)
            {
                placements.insert(key.clone(), placement.clone());
            }
        }
        self.placements = placements;
        self.endpoint = endpoint;
    }

    /// Takes in its own report, which is newer than its entry.
    pub(crate) fn apply_report(
        &mut self,
        report: &EngineReport,
        now: Instant,
    ) {
        self.removed.clear();
        self.placements.clear();
        self.is_ordered_by_us = false;
        let mut endpoint = self.endpoint.clone();
        endpoint.models.clone_from(&report.models);
        self.apply_entry(endpoint, now);
        for (key, version) in &report.loading {
            let placement = Placement {
                version: *version,
                ready_at: now + REPORTED_LOAD_TIME,
                updated_at: now,
                is_listed: false,
                is_replacement: self.placements.contains_key(key),
                is_unconfirmed: false,
                load_started: now,
                is_ordered: true,
                loading_until: now + REPORTED_LOAD_TIME * LOAD_TIME_FACTOR,
            };
            self.placements.insert(key.clone(), placement);
        }
        self.is_ordered_by_us = true;
    }

    /// Takes in that an adapter is on its way.
    pub(crate) fn apply_placed(&mut self, placed: &Placed, now: Instant) {
        self.removed.remove(&placed.key);
        let before = self.placements.get(&placed.key);
        let is_replacement =
            before.is_some_and(|b| b.version < placed.version);
        // A note of the same load, with a better guess.
        let known = before.filter(|b| b.version == placed.version);
        let takes = Duration::from_millis(placed.ready_in_ms);
        let placement = Placement {
            version: placed.version,
            ready_at: now + takes,
            updated_at: now,
            is_listed: false,
            is_replacement,
            is_unconfirmed: placed.is_cold && !is_replacement,
            load_started: known
                .map_or(now, |placement| placement.load_started),
            is_ordered: true,
            loading_until: now + takes * LOAD_TIME_FACTOR,
        };
        self.placements.insert(placed.key.clone(), placement);
    }

    /// Notes that an adapter is about to be ordered.
    pub(crate) fn plan(&mut self, placed: &Placed, now: Instant) {
        self.apply_placed(placed, now);
        if let Some(placement) = self.placements.get_mut(&placed.key) {
            placement.is_ordered = false;
        }
    }

    /// Notes that the engine has taken an order that was planned: its load begins
    /// now. Returns when it is likely to be ready.
    pub(crate) fn order_accepted(
        &mut self,
        key: &AdapterKey,
        now: Instant,
    ) -> Option<Duration> {
        let placement = self.placements.get_mut(key)?;
        if !std::mem::replace(&mut placement.is_ordered, true) {
            let takes = placement
                .ready_at
                .saturating_duration_since(placement.updated_at);
            placement.ready_at = now + takes;
            placement.loading_until = now + takes * LOAD_TIME_FACTOR;
            placement.updated_at = now;
            placement.load_started = now;
        }
        Some(placement.ready_at.saturating_duration_since(now))
    }

    /// Notes that an adapter that was about to be ordered is there already.
    pub(crate) fn mark_present(&mut self, key: &AdapterKey, now: Instant) {
        if let Some(placement) = self.placements.get_mut(key) {
            placement.is_ordered = true;
            placement.is_unconfirmed = false;
            placement.ready_at = now;
            placement.loading_until = now;
        }
    }

    /// Takes in whether an adapter from the weight store was there when a request
    /// was sent to it; returns whether the holder of the lease is to hear of it.
    pub(crate) fn confirm_load(
        &mut self,
        key: &AdapterKey,
        is_there: bool,
    ) -> bool {
        let Some(placement) = self.placements.get_mut(key) else {
            return false;
        };
        let is_news = placement.is_unconfirmed;
        if is_there {
            placement.is_unconfirmed = false;
            placement.loading_until = placement.load_started;
        }
        is_news
    }

    /// Notes that it turned a request down for want of an adapter.
    pub(crate) fn record_absent(&mut self, key: &AdapterKey, now: Instant) {
        let Some(placement) = self.placements.get_mut(key) else { return };
        let elapsed = now.saturating_duration_since(placement.load_started);
        let pause = MIN_RETRY_DELAY.max(elapsed / RETRY_DELAY_DIVISOR);
        // The holder's table must not lose what takes a place.
        if placement.is_listed && !self.is_ordered_by_us {
            self.placements.remove(key);
            self.removed.insert(key.clone(), now);
        } else {
            placement.ready_at = now + pause;
        }
    }
}
