//! The state of one endpoint as this instance knows it: entry, load, health,
//! and adapter placements.
//!
//! Placements come from three sources: the platform's list, which is late;
//! notes of other instances, which are early but may be lost; and, at the
//! lease holder, the engine's report and the holder's own orders alone.

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

/// How long a note takes precedence over a list that does not show its change.
/// Endpoints write their entries about once a second, and a load may be queued
/// before it starts.
const NOTE_PRECEDENCE: Duration = Duration::from_millis(4_000);

/// The time after which an adapter that a report shows as loading is expected
/// to be ready.
const REPORTED_LOAD_TIME: Duration = Duration::from_millis(300);

/// The number of recently held adapters that an endpoint is assumed to have
/// cached. It is below the cache size of real engines, so that a load which is
/// expected to be fast is fast.
const WARM_ADAPTERS: usize = 80;

/// The minimum delay before a request is sent again to an adapter that was not
/// loaded yet. The delay is the greater of this and the elapsed load time
/// divided by [`RETRY_DELAY_DIVISOR`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The divisor of the elapsed load time that gives the retry delay. Each retry
/// costs a repeated request, and a delay overshoots the end of the load by
/// half its length on average.
const RETRY_DELAY_DIVISOR: u32 = 8;

/// How long a replacement goes on without a sign of its end before the engine
/// is asked for a report. Usually its entry shows the end within seconds.
const REPLACEMENT_REPORT_INTERVAL: Duration = Duration::from_secs(6);

/// A load should have ended after this multiple of its expected duration. A new
/// lease holder learns the weight store's speed only from the first loads.
const LOAD_TIME_FACTOR: u32 = 4;

/// The minimum age of a load that counts as overdue. A report does not show
/// the end of a younger one, because it is some hundred milliseconds old.
const MIN_OVERDUE_AGE: Duration = Duration::from_millis(500);

/// How much later than expected a load usually finishes at the latest when the
/// weight store is busy.
const MAX_LOAD_OVERRUN: Duration = Duration::from_millis(2_000);

/// The placement of an adapter on an engine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The version that is loaded or being loaded.
    pub version: WeightVersion,
    /// The time from which the adapter is expected to serve requests.
    pub ready_at: Instant,
    /// When a note or the outcome of an order last changed this placement.
    pub(crate) updated_at: Instant,
    /// Whether the platform's list shows the adapter.
    pub(crate) is_listed: bool,
    /// The number of older versions that may occupy slots of their own. Each
    /// stays loaded until its running requests end, which only the engine
    /// knows.
    pub(crate) replaced_versions: u32,
    /// Whether the adapter is loaded from the weight store, and not from the
    /// engine's own memory.
    pub(crate) is_cold: bool,
    /// Whether no request has confirmed the load yet.
    pub(crate) is_unconfirmed: bool,
    /// Whether the engine or a request has shown that the load has ended.
    pub(crate) has_ended: bool,
    /// When this instance first learned of the load.
    pub(crate) load_started: Instant,
    /// Whether the engine has accepted the order. Before that the placement
    /// reserves a slot but gets no requests.
    pub(crate) is_ordered: bool,
    /// The time by which the load should have ended. It is exceeded while the
    /// weight store is busy.
    pub(crate) loading_until: Instant,
}

/// One endpoint, as this instance knows it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint's entry in the platform's list.
    pub endpoint: Endpoint,
    /// This instance's requests in flight at the endpoint.
    pub own_work: Work,
    /// This instance's own work as it last published it; a total of the lease
    /// holder contains it.
    pub(crate) published_work: Work,
    /// The work in flight there of all other instances, as each reports its
    /// own.
    pub(crate) peer_work: Work,
    /// The total that this instance last published for the endpoint, if it is
    /// the lease holder.
    pub(crate) published_total: Work,
    /// The total work in flight there, as published by the lease holder. With
    /// many instances the totals are fresher than the reports of single
    /// instances.
    pub(crate) total_work: Option<Work>,
    /// The endpoint's health, from the outcomes of this instance's requests.
    pub health: Health,
    /// The endpoint's learned capacity relative to an average endpoint, for
    /// plain services.
    pub(crate) weight: f64,
    pub(crate) placements: HashMap<AdapterKey, Placement>,
    pub(crate) removed: HashMap<AdapterKey, Instant>,
    /// Whether the engine's report and this instance's orders alone determine
    /// what the engine holds. The platform's list, which is late, is then
    /// ignored.
    pub(crate) is_ordered_by_us: bool,
    /// The adapters that the endpoint held recently, the newest last.
    pub(crate) warm: VecDeque<AdapterKey>,
    /// The time until which the endpoint is saturated for some instance;
    /// adapters with waiting requests need another engine until then.
    pub(crate) saturated_until: Option<Instant>,
    /// The cooldown that the endpoint asked this instance for.
    pub(crate) cooldown: Cooldown,
    /// Whether the endpoint gets no requests until its next entry is applied.
    pub(crate) is_held_back: bool,
}

impl Placement {
    /// Returns whether the adapter is expected to serve requests now.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.is_ordered && now >= self.ready_at
    }

    /// Returns whether the engine has accepted the order for this placement.
    pub fn is_ordered(&self) -> bool {
        self.is_ordered
    }

    /// Returns whether the load should have ended. Only [`Self::has_ended`]
    /// makes it certain.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.is_ready(now)
            && !self.is_replacing()
            && (self.is_listed || now >= self.updated_at + MAX_LOAD_OVERRUN)
    }

    /// Returns whether the load is certain to have ended. An engine answers an
    /// order to unload an adapter that it is loading with success, and loads
    /// it all the same.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns whether older versions may still occupy slots.
    pub fn is_replacing(&self) -> bool {
        self.replaced_versions > 0
    }

    /// Returns the number of slots that all versions of the adapter may
    /// occupy.
    pub fn occupied_slots(&self) -> usize {
        1 + self.replaced_versions as usize
    }

    /// Returns whether the load should still be in progress. Only
    /// [`Self::has_ended`] makes it certain. A replacement is in progress until
    /// the engine shows that it has ended.
    pub fn is_loading(&self, now: Instant) -> bool {
        self.is_replacing() || now < self.ready_at.max(self.loading_until)
    }

    /// Returns whether the load should have ended and nothing has shown that.
    pub fn is_overdue(&self, now: Instant) -> bool {
        !self.has_ended
            && !self.is_loading(now)
            && now >= self.load_started + MIN_OVERDUE_AGE
    }

    /// Returns the number of older versions that may occupy slots once a load
    /// of `version` has been ordered.
    fn replaced_by(&self, version: WeightVersion) -> u32 {
        self.replaced_versions + u32::from(self.version < version)
    }

    /// Returns whether the platform's list shows the adapter.
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
            is_held_back: false,
        }
    }

    /// Clears placements, health, and learned values of the previous
    /// incarnation.
    pub(crate) fn begin_incarnation(&mut self) {
        self.placements.clear();
        self.removed.clear();
        self.warm.clear();
        self.is_ordered_by_us = false;
        self.endpoint.software_version = None;
        self.health = Health::default();
        self.weight = 1.0;
        self.saturated_until = None;
        self.cooldown = self.cooldown.in_new_incarnation();
    }

    /// Returns the endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.endpoint.id
    }

    /// Returns the number of requests in flight there, of all instances.
    pub fn in_flight(&self) -> u32 {
        let peer_requests = match &self.total_work {
            Some(total) => {
                total.requests.saturating_sub(self.published_work.requests)
            }
            None => self.peer_work.requests,
        };
        self.own_work.requests + peer_requests
    }

    /// Returns the number of prompt tokens that await prefill there, of all
    /// instances' requests.
    pub fn unread_tokens(&self) -> u64 {
        let peer_tokens = match &self.total_work {
            Some(total) => total
                .unread_tokens
                .saturating_sub(self.published_work.unread_tokens),
            None => self.peer_work.unread_tokens,
        };
        self.own_work.unread_tokens + peer_tokens
    }

    /// Returns whether any known request in flight there uses the adapter.
    pub fn uses(&self, key: &AdapterKey) -> bool {
        self.own_work.uses(key) || self.peer_work.uses(key)
    }

    /// Returns the requests in flight as a fraction of the endpoint's slots.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight()) / f64::from(self.endpoint.slots.max(1))
    }

    /// Returns whether the endpoint may get requests: it is neither draining,
    /// nor held back, nor ejected, nor cooling down.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.endpoint.is_draining
            && !self.is_held_back
            && self.health.is_usable(now)
            && self.cooldown.left(now).is_none()
    }

    /// Returns whether the endpoint is currently saturated for some instance.
    pub fn is_saturated(&self, now: Instant) -> bool {
        self.saturated_until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint serves a base model.
    pub fn has_model(&self, model: &str) -> bool {
        self.endpoint.models.iter().any(|hosted| hosted.key.model == model)
    }

    /// Returns whether the placements are known from the engine's report and
    /// this instance's orders. They are unknown for an endpoint whose entry
    /// was removed and added again.
    pub fn is_ordered_by_us(&self) -> bool {
        self.is_ordered_by_us
    }

    /// Returns the adapters that are loaded or being loaded, with their
    /// placements.
    pub fn placements(
        &self,
    ) -> impl Iterator<Item = (&AdapterKey, &Placement)> {
        self.placements.iter()
    }

    /// Returns the placement of one adapter that is loaded or being loaded.
    pub fn placement(&self, key: &AdapterKey) -> Option<&Placement> {
        self.placements.get(key)
    }

    /// Records that the endpoint holds an adapter. Returns the adapter that is
    /// no longer assumed to be cached there, if there is one.
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

    /// Applies the endpoint's entry in the platform's list.
    pub(crate) fn apply_entry(&mut self, endpoint: Endpoint, now: Instant) {
        self.is_held_back = false;
        if self.is_ordered_by_us {
            self.end_replacements(&endpoint);
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
                    replaced_versions: 0,
                    is_cold: false,
                    is_unconfirmed: false,
                    has_ended: true,
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

    /// Frees the slots of replaced versions that the endpoint's entry no
    /// longer shows. An entry never shows the new version before the old one
    /// is gone, however late it is.
    fn end_replacements(&mut self, endpoint: &Endpoint) {
        let shown = || {
            endpoint.models.iter().flat_map(|model| {
                let base = std::iter::once((&model.key, model.version));
                base.chain(model.adapters.iter().map(|(key, v)| (key, *v)))
            })
        };
        for (key, version) in shown() {
            let Some(placement) = self.placements.get_mut(key) else {
                continue;
            };
            let shows_older = shown()
                .any(|(other, held)| other == key && held < placement.version);
            if placement.is_replacing()
                && version >= placement.version
                && !shows_older
            {
                placement.replaced_versions = 0;
                placement.is_listed = true;
                placement.has_ended = true;
                placement.loading_until = placement.load_started;
            }
        }
    }

    /// Returns whether a replacement has gone on for so long that the engine
    /// must be asked for a report.
    pub(crate) fn needs_report(&self, now: Instant) -> bool {
        self.placements.values().any(|placement| {
            placement.is_replacing()
                && now >= placement.updated_at + REPLACEMENT_REPORT_INTERVAL
        })
    }

    /// Applies the engine's own report, which is newer than its entry.
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
            // Each load occupies a slot of its own, also that of a version
            // which is older than the one that is held.
            let held = self.placements.get(key);
            let replaced_versions =
                held.map_or(0, |held| held.replaced_versions + 1);
            let newest = held.map_or(0, |held| held.version);
            let placement = Placement {
                version: newest.max(*version),
                ready_at: now + REPORTED_LOAD_TIME,
                updated_at: now,
                is_listed: false,
                replaced_versions,
                is_cold: false,
                is_unconfirmed: replaced_versions == 0,
                has_ended: false,
                load_started: now,
                is_ordered: true,
                loading_until: now + REPORTED_LOAD_TIME * LOAD_TIME_FACTOR,
            };
            self.placements.insert(key.clone(), placement);
        }
        self.is_ordered_by_us = true;
    }

    /// Records the loads that have ended by the engine's report, which shows
    /// everything up to `as_of`. Returns whether it shows each earlier load.
    pub(crate) fn confirm_loads(
        &mut self,
        report: &EngineReport,
        as_of: Instant,
    ) -> bool {
        let mut shows_all = true;
        for (key, placement) in &mut self.placements {
            if placement.has_ended
                || placement.is_replacing()
                || !placement.is_ordered
                || placement.load_started >= as_of
            {
                continue;
            }
            let is_of_key = |(shown, _): &&(AdapterKey, _)| shown == key;
            if report.loading.iter().any(|shown| is_of_key(&shown)) {
                continue;
            }
            let mut held = report.models.iter().flat_map(|m| &m.adapters);
            let held = held.find(is_of_key).map(|(_, version)| *version);
            placement.has_ended = held == Some(placement.version);
            shows_all &= placement.has_ended;
        }
        shows_all
    }

    /// Applies a note that an adapter is being loaded.
    pub(crate) fn apply_placed(&mut self, placed: &Placed, now: Instant) {
        self.removed.remove(&placed.key);
        let before = self.placements.get(&placed.key);
        let replaced_versions =
            before.map_or(0, |before| before.replaced_by(placed.version));
        // A note about the same load may bring a better estimate.
        let known = before.filter(|b| b.version == placed.version);
        let takes = Duration::from_millis(placed.ready_in_ms);
        let placement = Placement {
            version: placed.version,
            ready_at: now + takes,
            updated_at: now,
            is_listed: false,
            replaced_versions,
            is_cold: placed.is_cold,
            // A note without a delay is about an adapter that is loaded.
            is_unconfirmed: replaced_versions == 0
                && (placed.is_cold || !takes.is_zero()),
            has_ended: false,
            load_started: known
                .map_or(now, |placement| placement.load_started),
            is_ordered: true,
            loading_until: now + takes * LOAD_TIME_FACTOR,
        };
        self.placements.insert(placed.key.clone(), placement);
    }

    /// Records an adapter that is about to be ordered.
    pub(crate) fn plan(&mut self, placed: &Placed, now: Instant) {
        self.apply_placed(placed, now);
        if let Some(placement) = self.placements.get_mut(&placed.key) {
            placement.is_ordered = false;
        }
    }

    /// Records that the engine has accepted a planned order, which starts the
    /// load. Returns the time until the adapter is expected to be ready.
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

    /// Records that an adapter which was about to be ordered is already
    /// loaded.
    pub(crate) fn mark_present(&mut self, key: &AdapterKey, now: Instant) {
        if let Some(placement) = self.placements.get_mut(key) {
            placement.is_ordered = true;
            placement.is_cold = false;
            placement.ready_at = now;
            placement.loading_until = now;
        }
    }

    /// Records whether an adapter that is being loaded was already loaded when
    /// a request for it was sent. Returns whether the lease holder must be
    /// notified.
    pub(crate) fn confirm_load(
        &mut self,
        key: &AdapterKey,
        is_there: bool,
        sent: Instant,
    ) -> bool {
        let Some(placement) = self.placements.get_mut(key) else {
            return false;
        };
        // An earlier request found what was there before this load, and any
        // request may run on the version that is being replaced.
        if !placement.is_unconfirmed || sent < placement.load_started {
            return false;
        }
        if is_there {
            placement.is_unconfirmed = false;
            placement.has_ended = true;
            placement.loading_until = placement.load_started;
        }
        // The time of a load from the engine's own memory is not estimated.
        is_there || placement.is_cold
    }

    /// Records that the endpoint rejected a request because the adapter was
    /// not loaded.
    pub(crate) fn record_absent(&mut self, key: &AdapterKey, now: Instant) {
        let Some(placement) = self.placements.get_mut(key) else { return };
        let elapsed = now.saturating_duration_since(placement.load_started);
        let pause = MIN_RETRY_DELAY.max(elapsed / RETRY_DELAY_DIVISOR);
        // The lease holder's table must keep each placement that occupies a
        // slot.
        if placement.is_listed && !self.is_ordered_by_us {
            self.placements.remove(key);
            self.removed.insert(key.clone(), now);
        } else {
            placement.ready_at = now + pause;
        }
    }
}
