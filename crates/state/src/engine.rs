//! What the shard knows of one engine: its slots, its seats and its health.
//!
//! A slot holds one adapter version; a seat holds one running request. The
//! module keeps the rule that a slot with granted or running requests is never
//! free to be evicted: [`Engine::idle_slots`] is the only way to a victim.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    id::{AdapterIdx, EndpointId},
    priority::{CLASSES, Priority},
};

/// The life of a slot's content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// A load order is out.
    Loading,
    /// The adapter serves.
    Ready,
    /// The adapter finishes what it runs and takes nothing new.
    Draining,
}

/// One occupied adapter slot.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The adapter version in it.
    pub adapter: AdapterIdx,
    /// Its state.
    pub state: SlotState,
    /// Requests that we granted and that have not ended.
    pub granted_len: u32,
    /// Requests that the engine's last report showed beyond our grants, such
    /// as those of a previous leader.
    pub untracked_len: u32,
    /// When it became ready, or its load began.
    pub ready_at: Instant,
    /// When it was last granted to, or became ready.
    pub last_used: Instant,
}

impl Slot {
    /// Returns whether nothing runs in it, as far as anybody knows.
    pub fn is_idle(&self) -> bool {
        self.granted_len == 0 && self.untracked_len == 0
    }
}

/// How far an engine is trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It gets work up to its seats.
    Live,
    /// It came back or was slow; it gets a few requests at a time.
    Probation,
    /// Its reports stopped; it gets nothing.
    Silent,
    /// It is leaving; it gets nothing and finishes what it runs.
    Leaving,
}

/// One engine of the shard.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The platform's name for it.
    pub endpoint: EndpointId,
    /// How many adapters the configuration says it holds at once.
    pub configured_slots: usize,
    /// How many it holds at once, as far as it has shown.
    pub slot_capacity: usize,
    /// How many requests it runs in one batch.
    pub seats: u32,
    /// Occupied slots.
    pub slots: Vec<Slot>,
    /// Granted requests by class.
    pub running: [u32; CLASSES],
    /// Its health.
    pub health: Health,
    /// Whether it has reported since we know of it. A new leader orders no
    /// load before, because it does not know what the engine holds.
    pub has_reported: bool,
    /// When its last report came.
    pub last_report: Instant,
    /// When it entered its present health.
    pub health_since: Instant,
    /// Smoothed time to the first token, in seconds.
    pub first_token_s: f64,
    /// No load is ordered before this time.
    pub load_after: Option<Instant>,
    /// Failed loads in a row.
    pub load_failures: u32,
    /// Nothing is evicted before this time, because a previous leader's
    /// grants may still arrive.
    pub evict_after: Instant,
}

/// Requests that an engine on probation runs at once.
pub const PROBATION_SEATS: u32 = 4;

/// How long an engine stays on probation.
pub const PROBATION_PERIOD: Duration = Duration::from_secs(5);

impl Engine {
    /// Returns an engine that holds nothing yet.
    pub fn new(
        endpoint: EndpointId,
        slot_capacity: usize,
        seats: u32,
        now: Instant,
    ) -> Engine {
        Engine {
            endpoint,
            configured_slots: slot_capacity,
            slot_capacity,
            seats,
            slots: Vec::with_capacity(slot_capacity),
            running: [0; CLASSES],
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

    /// Returns the number of requests granted here.
    pub fn running_len(&self) -> u32 {
        self.running.iter().sum()
    }

    /// Returns whether the engine may get new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.health, Health::Live | Health::Probation)
    }

    /// Returns the seats that a request of one class finds free.
    ///
    /// The engine honours priorities, so batch work gives way: a request of a
    /// higher class may take a seat that batch work holds.
    pub fn free_seats(&self, priority: Priority) -> u32 {
        let seats = match self.health {
            Health::Live => self.seats,
            Health::Probation => self.seats.min(PROBATION_SEATS),
            Health::Silent | Health::Leaving => return 0,
        };
        let taken = match priority {
            Priority::Batch => self.running_len(),
            _ => self.running[0] + self.running[1],
        };
        seats.saturating_sub(taken)
    }

    /// Returns the slot that holds an adapter.
    pub fn slot(&self, adapter: AdapterIdx) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.adapter == adapter)
    }

    /// Returns the slot that holds an adapter, to change it.
    pub fn slot_mut(&mut self, adapter: AdapterIdx) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.adapter == adapter)
    }

    /// Returns whether a slot is empty.
    pub fn has_empty_slot(&self) -> bool {
        self.slots.len() < self.slot_capacity
    }

    /// Returns whether a load is under way here.
    pub fn is_loading(&self) -> bool {
        self.slots.iter().any(|slot| slot.state == SlotState::Loading)
    }

    /// Returns the slots whose adapter may be unloaded now.
    pub fn idle_slots(&self, now: Instant) -> impl Iterator<Item = &Slot> {
        let may_evict = self.evict_after <= now;
        self.slots.iter().filter(move |slot| {
            may_evict && slot.state != SlotState::Loading && slot.is_idle()
        })
    }

    /// Returns whether a load may be ordered here now.
    pub fn may_load(&self, now: Instant) -> bool {
        self.health == Health::Live
            && self.has_reported
            && self.load_after.is_none_or(|after| after <= now)
    }

    /// Changes the health and notes the time.
    pub fn set_health(&mut self, health: Health, now: Instant) {
        if self.health != health {
            self.health = health;
            self.health_since = now;
        }
    }
}
