//! When an instance speaks to the others.
//!
//! Among a few instances everything is told at once. Among many, one of them,
//! the holder of the lease on orders, hears all and tells the sums, and each
//! other paces what it says so that the holder can hear it. The invariant: a
//! pause is counted from what was last said, with the pace that holds *now*. So
//! a new holder speaks at once, and not when the pace of the time without a
//! holder would have let it.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::note::MAX_DIRECT_PEERS;

/// How often each instance says what it has under way, at the least.
const STATUS_INTERVAL: Duration = Duration::from_millis(150);

/// The pause between two notes that an instance hears from all others
/// together while there is no holder of the lease: with many instances each
/// speaks less often, so that a small machine spends no more on hearing them.
const LEADERLESS_RECEIVE_INTERVAL: Duration = Duration::from_millis(25);

/// How often it says what was asked for, if nothing waits.
const DEMAND_INTERVAL: Duration = Duration::from_millis(300);

/// The pause between two notes of what requests wait for. An adapter takes 250
/// ms from the weight store, and a request for one that is absent has some 130
/// ms until it must be on its way; so it is asked for at once, and only what
/// comes in the same moment is told together. With the pause of
/// [`SENT_INTERVAL_PER_PEER`] between 195 instances, each of which sends some four requests
/// a second, 7 of 100 streams were refused on a calm day.
const WAITING_INTERVAL: Duration = Duration::from_millis(5);

/// What each of many peers adds to the pause between two notes on what was sent
/// to engines. The holder hears some 1,000 a second at the most, each some 20
/// us.
const SENT_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);

/// The least pause between two notes of what an instance has under way, when
/// it has sent large prompts.
const MIN_INTERIM_INTERVAL: Duration = Duration::from_millis(20);

/// The pause between two batches, where there are many peers.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// What an instance is to the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It holds the lease on orders.
    Holder,
    /// It hears somebody else hold the lease.
    Follower,
    /// It hears nobody hold the lease.
    Leaderless,
}

/// The fleet around an instance.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// The other instances.
    pub peers: usize,
    /// What this one is to them.
    pub role: Role,
}

/// What an instance has to say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pending {
    /// Whether the store was lost or regained.
    pub has_store_change: bool,
    /// Whether a large prompt was sent to an engine.
    pub has_large_prompt: bool,
    /// Whether notes wait to go to all.
    pub has_batch: bool,
    /// Whether requests wait for adapters, or an engine could not be reached.
    pub has_waiting: bool,
    /// Whether requests were sent to engines.
    pub has_sent: bool,
}

/// What is to be said now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Due {
    /// What is under way, to all who are told so regularly.
    pub status: bool,
    /// The same between two regular notes.
    pub interim_work: bool,
    /// The notes that wait to go to all.
    pub batch: bool,
    /// What was asked for and what requests wait for.
    pub demand: bool,
}

/// Knows when an instance last said what.
#[derive(Clone, Debug, Default)]
pub struct NoteSchedule {
    status: Option<Instant>,
    work: Option<Instant>,
    batch: Option<Instant>,
    demand: Option<Instant>,
}

impl Topology {
    /// Returns whether notes to all go through relays and sums.
    pub fn uses_relays(self) -> bool {
        self.peers > MAX_DIRECT_PEERS
    }

    /// Returns the pause between two notes of what an instance has under way.
    /// Among many, each tells the holder, and the holder tells all the sums.
    /// Without a holder each tells all, less often.
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

    /// A few instances hear at once what engines get and lose. Many hear it a
    /// little later; who waits for an adapter is told at once in any case.
    fn batch_pause(self) -> Duration {
        if self.uses_relays() { BATCH_INTERVAL } else { Duration::ZERO }
    }

    /// The pause between two notes on what was sent: the holder hears those of
    /// all.
    fn sent_pause(self) -> Duration {
        if self.uses_relays() {
            SENT_INTERVAL_PER_PEER * self.count()
        } else {
            Duration::ZERO
        }
    }

    /// Among a few instances, all hear soon what was sent; among many, only
    /// the holder does, as often as it can hear them all.
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
    /// Returns how long an instance may be silent that has this to say.
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
        if pending.has_store_change {
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

    /// Returns what is due, and notes that it is said now.
    pub fn take(
        &mut self,
        pending: Pending,
        topology: Topology,
        now: Instant,
    ) -> Due {
        let is_over = |last: Option<Instant>, pause: Duration| {
            last.is_none_or(|last| now >= last + pause)
        };
        let status = pending.has_store_change
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
