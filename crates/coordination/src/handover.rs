//! Turns between two holders of a lease.
//!
//! Endpoints that do not check epochs must hear one holder at a time, so a new
//! holder lets a whole turn pass after the lease of the one before has ended.
//! The invariant: two instances never give orders within one turn, whatever
//! lapses, restarts or is taken over meanwhile. What a holder still has to wait
//! for stands in its record ([`LeaseRecord::is_handover_pending`]), because the
//! process that took the lease may be gone before its first order.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::Epoch;

use crate::lease::LeaseRecord;

/// A lease that was just taken, and what stood there before.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTakeover<'a> {
    /// Our record, as it was written.
    pub taken: &'a LeaseRecord,
    /// The record that it replaced.
    pub before: Option<&'a LeaseRecord>,
    /// When the lease of the record before had ended at the latest.
    pub ended: Instant,
}

/// Knows from when on one instance may give orders.
#[derive(Clone, Debug)]
pub struct HandoverDelay {
    delay: Duration,
    /// The last lease that we took, and when its first order was due.
    last: Option<(Epoch, Instant)>,
}

impl HandoverDelay {
    /// Returns the turns of an instance that has held nothing yet.
    pub fn new(delay: Duration) -> HandoverDelay {
        HandoverDelay { delay, last: None }
    }

    /// Takes in that the lease was taken; returns when its first order is due.
    ///
    /// An instance that finds its own record is the same holder to the
    /// endpoints. Whether the turn after the holder before it had passed is
    /// told by that record; how much of it is left, only by the process that
    /// wrote it. Any other process waits for a whole turn.
    pub fn record_takeover(
        &mut self,
        takeover: LeaseTakeover<'_>,
        now: Instant,
    ) -> Instant {
        let LeaseTakeover { taken, before, ended } = takeover;
        let order_from = match before {
            Some(before) if taken.is_handover_pending => {
                match before.holder == taken.holder {
                    true => self.first_order_at(before.epoch, now),
                    false => ended + self.delay,
                }
            }
            _ => now,
        };
        self.last = Some((taken.epoch, order_from));
        order_from
    }

    /// Returns when the first order of a lease of ours was due.
    fn first_order_at(&self, epoch: Epoch, now: Instant) -> Instant {
        let known = self.last.filter(|(known, _)| *known == epoch);
        known.map_or(now + self.delay, |(_, order_from)| order_from)
    }
}
