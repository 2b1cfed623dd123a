//! The handover delay between two holders of a lease.
//!
//! Endpoints that do not check epochs must receive orders of one holder at a
//! time, so a new holder waits for the handover delay (setting
//! `order_turn_ms`) after its predecessor's lease has expired. The invariant:
//! orders of two instances are at least one handover delay apart, also across
//! expiries, restarts and takeovers. The lease record says whether the delay
//! is still pending ([`LeaseRecord::is_handover_pending`]), because the
//! process that acquired the lease may terminate before its first order.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::{Epoch, InstanceId};

use crate::lease::{Lease, LeaseRecord, Watching};

/// What an instance knows, besides the record, when it may acquire the lease.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverContext<'a> {
    /// The instance.
    pub own: &'a InstanceId,
    /// The lowest epoch of the store's current era. A record below it was
    /// restored from a copy, and later ones may be lost.
    pub epoch_floor: Epoch,
    /// Whether this instance's own lease was current until the restore that
    /// began the current era.
    pub held_until_restore: bool,
    /// Whether no lease can be lost: this instance has been up since the first
    /// start of the system, and has seen no restore.
    pub is_first_era: bool,
}

/// Whether an instance may acquire the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TakeoverDecision {
    /// Another instance may hold the lease.
    Wait,
    /// The lease may be acquired.
    Acquire {
        /// The last holder's record, if it is known.
        last: Option<LeaseRecord>,
        /// Whether no other instance can have held the lease since this one
        /// held it last, or ever.
        has_no_predecessor: bool,
    },
}

impl TakeoverDecision {
    /// Decides by the observed record. Without the last holder's record, the
    /// instance that held the lease until the restore is the last holder.
    pub fn new(
        watching: &Lease<Watching>,
        context: TakeoverContext<'_>,
        now: Instant,
    ) -> TakeoverDecision {
        let seen = watching.seen();
        let last = seen.filter(|seen| seen.epoch >= context.epoch_floor);
        let is_own = last.is_some_and(|last| last.holder == *context.own);
        let is_last_holder = last.is_none() && context.held_until_restore;
        if !is_own && !is_last_holder && !watching.is_free(now) {
            return TakeoverDecision::Wait;
        }
        let is_first = seen.is_none() && context.is_first_era;
        TakeoverDecision::Acquire {
            last: last.cloned(),
            has_no_predecessor: is_last_holder || is_first,
        }
    }
}

/// A lease that was just acquired, and the record that it replaced.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTakeover<'a> {
    /// The record that this instance wrote.
    pub taken: &'a LeaseRecord,
    /// The record that was replaced, if there was one and it was the last
    /// holder's. A store that was restored from a copy may show an earlier
    /// one, or none.
    pub before: Option<&'a LeaseRecord>,
    /// The latest time at which the replaced lease expired.
    pub ended: Instant,
}

/// Determines when an instance that acquired the lease may send its first
/// order.
#[derive(Clone, Debug)]
pub struct HandoverDelay {
    delay: Duration,
    /// The epoch of the lease that this process acquired last, and the
    /// earliest time of its first order.
    last: Option<(Epoch, Instant)>,
}

impl HandoverDelay {
    /// Returns the state of a process that has not held the lease yet.
    pub fn new(delay: Duration) -> HandoverDelay {
        HandoverDelay { delay, last: None }
    }

    /// Records that the lease was acquired, and returns the earliest time of
    /// the first order.
    ///
    /// To the endpoints, an instance that replaces its own record remains the
    /// same holder. The replaced record says whether the handover delay was
    /// still pending; only the process that wrote the record knows how much of
    /// the delay is left. Any other process waits for the whole delay.
    pub fn record_takeover(
        &mut self,
        takeover: LeaseTakeover<'_>,
        now: Instant,
    ) -> Instant {
        let LeaseTakeover { taken, before, ended } = takeover;
        let order_from = match before {
            _ if !taken.is_handover_pending => now,
            Some(before) if before.holder == taken.holder => {
                self.first_order_at(before.epoch, now)
            }
            _ => ended + self.delay,
        };
        self.last = Some((taken.epoch, order_from));
        order_from
    }

    /// Returns the earliest time of the first order under an epoch that this
    /// instance held; a whole delay from now if another process acquired it.
    fn first_order_at(&self, epoch: Epoch, now: Instant) -> Instant {
        let known = self.last.filter(|(known, _)| *known == epoch);
        known.map_or(now + self.delay, |(_, order_from)| order_from)
    }
}
