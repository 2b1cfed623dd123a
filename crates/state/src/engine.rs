//! The shard's state of one engine: its slots, its seats and its health.
//!
//! A slot holds one adapter version; a seat holds one running request. The
//! module keeps one invariant: a slot with granted or running requests is
//! never evicted. Eviction selects its victims only from
//! [`Engine::idle_slots`].

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    id::{AdapterIdx, EndpointId},
    priority::{CLASSES, Priority},
};

/// The state of the adapter in a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// The engine was ordered to load the adapter and has not answered.
    Loading,
    /// The adapter is loaded and takes requests.
    Ready,
    /// The adapter finishes its running requests and takes no new ones.
    Draining,
}

/// An adapter slot of an engine that holds or loads an adapter.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The adapter version in the slot.
    pub adapter: AdapterIdx,
    /// The state of that adapter version.
    pub state: SlotState,
    /// The number of requests that this leader granted in the slot and that
    /// have not ended.
    pub granted_len: u32,
    /// The number of requests that may run in the slot without a grant of this
    /// leader: those of a previous leader that the engine reported, and those
    /// whose grant expired and was released.
    pub untracked_len: u32,
    /// The time at which the adapter became ready or, while it loads, at which
    /// the load was ordered.
    pub ready_at: Instant,
    /// The time at which the adapter was last used: its load was ordered, the
    /// adapter became ready or got a grant, or an expired grant was released.
    pub last_used: Instant,
}

impl Slot {
    /// Returns whether no request is known to run in the slot.
    pub fn is_idle(&self) -> bool {
        self.granted_len == 0 && self.untracked_len == 0
    }
}

/// The health of an engine, which limits the work that it gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The engine gets as many requests as it has seats; see
    /// [`Engine::free_seats`] for batch requests.
    Live,
    /// The engine restarted, returned to service, failed or was slow. It gets
    /// requests as if it had at most [`PROBATION_SEATS`] seats; see
    /// [`Engine::free_seats`].
    Probation,
    /// The engine's reports stopped, or it could not be connected to. It gets
    /// no requests.
    Silent,
    /// The engine is leaving. It gets no requests and finishes the running
    /// ones.
    Leaving,
}

/// The state of one engine of the shard.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The id that the platform gives to the engine.
    pub endpoint: EndpointId,
    /// The number of adapters that the engine can hold according to the
    /// configuration.
    pub configured_slots: usize,
    /// The number of adapters that the engine can hold as observed:
    /// `configured_slots` until the engine rejects a load for lack of a slot.
    /// Reports that list more adapters raise the number again, up to
    /// `configured_slots`.
    pub observed_slots: usize,
    /// The number of requests that the engine runs in one batch.
    pub seats: u32,
    /// The slots that hold or load an adapter; empty slots are not listed.
    pub slots: Vec<Slot>,
    /// The number of granted requests that have not ended, by priority class.
    pub granted_by_class: [u32; CLASSES],
    /// The health of the engine, which limits the work that it gets.
    pub health: Health,
    /// Whether the engine has reported to this leader. A new leader orders no
    /// load before the first report, because it does not know which adapters
    /// the engine holds.
    pub has_reported: bool,
    /// The time at which the last report arrived or, before the first one, at
    /// which the engine was added.
    pub last_report: Instant,
    /// The time at which `health` last changed.
    pub health_since: Instant,
    /// The moving average of the time to the first token, in seconds, which
    /// starts at 0.
    pub first_token_s: f64,
    /// The end of the back-off after failed loads; no load starts before it.
    pub load_after: Option<Instant>,
    /// The number of consecutive failed loads, of any adapter.
    pub load_failures: u32,
    /// The time before which no adapter is evicted, because a request that a
    /// previous leader granted may still arrive.
    pub evict_after: Instant,
}

/// The maximum number of seats that an engine on probation has for new
/// requests. As on a live engine, batch requests do not take seats from the
/// higher classes.
pub const PROBATION_SEATS: u32 = 4;

/// The shortest time for which an engine stays on probation.
pub const PROBATION_PERIOD: Duration = Duration::from_secs(5);

impl Engine {
    /// Returns a live engine without adapters that has not reported.
    pub fn new(
        endpoint: EndpointId,
        configured_slots: usize,
        seats: u32,
        now: Instant,
    ) -> Engine {
        Engine {
            endpoint,
            configured_slots,
            observed_slots: configured_slots,
            seats,
            slots: Vec::with_capacity(configured_slots),
            granted_by_class: [0; CLASSES],
            health: Health::Live,
            has_reported: false,
            last_report: now,
            health_since: now,
            first_token_s: 0.0,
            load_after: None,
            load_failures: 0,
            evict_after: now,
        }
    }

    /// Returns the number of granted requests that have not ended.
    pub fn granted_len(&self) -> u32 {
        self.granted_by_class.iter().sum()
    }

    /// Returns whether the engine may get new requests: it is live or on
    /// probation.
    pub fn takes_work(&self) -> bool {
        matches!(self.health, Health::Live | Health::Probation)
    }

    /// Returns the number of seats that are available to requests of a
    /// priority class.
    ///
    /// The engine honours priorities: batch requests give way. So batch
    /// requests are not counted for the higher classes, and a request of a
    /// higher class may take a seat that a batch request holds.
    pub fn free_seats(&self, priority: Priority) -> u32 {
        let seats = match self.health {
            Health::Live => self.seats,
            Health::Probation => self.seats.min(PROBATION_SEATS),
            Health::Silent | Health::Leaving => return 0,
        };
        let taken = match priority {
            Priority::Batch => self.granted_len(),
            _ => self.granted_by_class[0] + self.granted_by_class[1],
        };
        seats.saturating_sub(taken)
    }

    /// Returns the slot that holds or loads an adapter.
    pub fn slot(&self, adapter: AdapterIdx) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.adapter == adapter)
    }

    /// Returns a mutable reference to the slot that holds or loads an adapter.
    pub fn slot_mut(&mut self, adapter: AdapterIdx) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.adapter == adapter)
    }

    /// Returns whether the engine has an empty slot.
    pub fn has_empty_slot(&self) -> bool {
        self.slots.len() < self.observed_slots
    }

    /// Returns whether the engine is loading an adapter.
    pub fn is_loading(&self) -> bool {
        self.slots.iter().any(|slot| slot.state == SlotState::Loading)
    }

    /// Returns the slots whose adapter may be evicted now: those without
    /// requests that are not loading, once evictions are allowed.
    pub fn idle_slots(&self, now: Instant) -> impl Iterator<Item = &Slot> {
        let may_evict = self.evict_after <= now;
        self.slots.iter().filter(move |slot| {
            may_evict && slot.state != SlotState::Loading && slot.is_idle()
        })
    }

    /// Returns whether the engine may be ordered to load an adapter now.
    pub fn may_load(&self, now: Instant) -> bool {
        self.health == Health::Live
            && self.has_reported
            && self.load_after.is_none_or(|after| after <= now)
    }

    /// Sets the health, and the time of its change if it changed.
    pub fn set_health(&mut self, health: Health, now: Instant) {
        if self.health != health {
            self.health = health;
            self.health_since = now;
        }
    }
}
