//! Schedules the notes of an instance.
//!
//! In a small fleet, everything is sent at once. In a large one, the lease
//! holder receives the notes of all instances and sends the totals, and each
//! other instance paces its notes so that the holder can process them.
//!
//! The invariant: an interval is counted from the last note, with the length
//! that applies *now*. So a new lease holder sends at once, and does not wait
//! for the longer interval that applied while there was no holder.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::note::MAX_DIRECT_PEERS;

/// Interval between two status notes of an instance, at least.
const STATUS_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between two notes that an instance receives from all others
/// together while there is no lease holder. With many instances, each sends
/// less often, so that a small machine spends no more time on receiving.
const LEADERLESS_RECEIVE_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between two reports of demand while no request waits.
const DEMAND_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between two notes on adapters that requests wait for. An adapter
/// takes 250 ms to load from the weight store, and a request for an absent
/// adapter has about 130 ms until its load must have started. So the note is
/// sent at once, and only requests of the same moment are combined. With the
/// interval of [`SENT_INTERVAL_PER_PEER`] between 195 instances, each of which
/// sends about four requests per second, 7 of 100 streams were refused without
/// any fault.
const WAITING_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between two notes on requests that were sent to engines, per peer,
/// in a large fleet. The lease holder then receives at most 1,000 notes per
/// second, which take about 20 µs each.
const SENT_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);

/// Minimum interval between two interim reports of work after large prompts
/// were sent.
const MIN_INTERIM_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two batches in a large fleet.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// The role of an instance in the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The instance holds the lease on orders.
    Holder,
    /// Another instance is known to hold the lease.
    Follower,
    /// No instance is known to hold the lease.
    Leaderless,
}

/// The size of the fleet and the role of this instance in it.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of other instances.
    pub peers: usize,
    /// The role of this instance.
    pub role: Role,
}

/// What an instance has to send.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pending {
    /// Whether the reachability of the store or of a service has changed.
    pub has_urgent_change: bool,
    /// Whether a large prompt was sent to an engine since the last report of
    /// work.
    pub has_large_prompt: bool,
    /// Whether notes to all instances are queued.
    pub has_batch: bool,
    /// Whether the lease holder must be told of requests that wait for
    /// adapters, of unreachable engines or of observed loads.
    pub has_waiting: bool,
    /// Whether requests were sent to engines since the last report of demand.
    pub has_sent: bool,
}

/// The notes that are due now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Due {
    /// Whether the regular status note is due.
    pub status: bool,
    /// Whether an interim report of work between two status notes is due.
    pub interim_work: bool,
    /// Whether the queued notes to all instances are due.
    pub batch: bool,
    /// Whether the report of demand for adapters is due.
    pub demand: bool,
}

/// Records when each kind of note was last sent.
#[derive(Clone, Debug, Default)]
pub struct NoteSchedule {
    status: Option<Instant>,
    work: Option<Instant>,
    batch: Option<Instant>,
    demand: Option<Instant>,
}

impl Topology {
    /// Returns whether notes to all instances go through relays, and work is
    /// reported as totals.
    pub fn uses_relays(self) -> bool {
        self.peers > MAX_DIRECT_PEERS
    }

    /// Returns the interval between two status notes. In a large fleet, each
    /// instance sends them to the lease holder, and the holder sends the
    /// totals to all. Without a holder, each instance sends to all, less
    /// often.
    pub fn status_pause(self) -> Duration {
        match self.role {
            _ if !self.uses_relays() => STATUS_INTERVAL,
            Role::Holder => STATUS_INTERVAL,
            Role::Follower => STATUS_INTERVAL * 2,
            Role::Leaderless => {
                STATUS_INTERVAL.max(LEADERLESS_RECEIVE_INTERVAL * self.count())
            }
        }
    }

    /// Returns the interval between two batches. In a small fleet, loads and
    /// evictions are announced at once. In a large one, they are announced a
    /// little later; instances that wait for an adapter are notified at once
    /// in any case.
    fn batch_pause(self) -> Duration {
        if self.uses_relays() { BATCH_INTERVAL } else { Duration::ZERO }
    }

    /// Returns the interval between two notes on sent requests, of which the
    /// lease holder receives those of all instances.
    fn sent_pause(self) -> Duration {
        if self.uses_relays() {
            SENT_INTERVAL_PER_PEER * self.count()
        } else {
            Duration::ZERO
        }
    }

    /// Returns the interval between two interim reports of work. In a small
    /// fleet, they go to all instances; in a large one, only to the lease
    /// holder, as often as it can process those of all.
    fn interim_pause(self) -> Duration {
        MIN_INTERIM_INTERVAL.max(self.sent_pause())
    }

    fn demand_pause(self, pending: Pending) -> Duration {
        match pending {
            Pending { has_waiting: true, .. } if self.uses_relays() => {
                WAITING_INTERVAL
            }
            Pending { has_waiting: true, .. } => Duration::ZERO,
            Pending { has_sent: true, .. } => self.sent_pause(),
            _ => DEMAND_INTERVAL,
        }
    }

    fn count(self) -> u32 {
        u32::try_from(self.peers).unwrap_or(u32::MAX)
    }
}

impl NoteSchedule {
    /// Returns how long the instance may wait before it must send the pending
    /// notes.
    pub fn wait(
        &self,
        pending: Pending,
        topology: Topology,
        now: Instant,
    ) -> Duration {
        let left = |last: Option<Instant>, pause: Duration| match last {
            Some(last) => (last + pause).saturating_duration_since(now),
            None => Duration::ZERO,
        };
        if pending.has_urgent_change {
            return Duration::ZERO;
        }
        let mut wait = left(self.status, topology.status_pause())
            .min(left(self.demand, topology.demand_pause(pending)));
        if pending.has_large_prompt {
            wait = wait.min(left(self.work, topology.interim_pause()));
        }
        if pending.has_batch {
            wait = wait.min(left(self.batch, topology.batch_pause()));
        }
        wait
    }

    /// Returns the notes that are due, and records them as sent now.
    pub fn take(
        &mut self,
        pending: Pending,
        topology: Topology,
        now: Instant,
    ) -> Due {
        let is_over = |last: Option<Instant>, pause: Duration| {
            last.is_none_or(|last| now >= last + pause)
        };
        let status = pending.has_urgent_change
            || is_over(self.status, topology.status_pause());
        let interim_work = !status
            && pending.has_large_prompt
            && is_over(self.work, topology.interim_pause());
        let batch =
            pending.has_batch && is_over(self.batch, topology.batch_pause());
        let demand = is_over(self.demand, topology.demand_pause(pending));
        let note = |last: &mut Option<Instant>, is_due: bool| {
            if is_due {
                *last = Some(now);
            }
        };
        note(&mut self.status, status);
        note(&mut self.work, status || interim_work);
        note(&mut self.batch, batch);
        note(&mut self.demand, demand);
        Due { status, interim_work, batch, demand }
    }
}
