//! Whether a request is taken in, and what a refusal tells.
//!
//! A request that cannot meet its deadline is refused at once, as not run, and
//! told when to come back. The module keeps one invariant: a refusal never
//! waits, and its retry time is spread so that the refused do not come back
//! together.

use std::time::Duration;

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::{
    id::RequestId,
    priority::Priority,
    queue::Request,
    shard::{Shard, ShardAction},
};

/// Why a request was refused. None of these requests was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The predicted wait passes the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The queue is full and nothing of lower priority could be shed.
    QueueFull,
    /// The request was shed for one of higher priority.
    Shed,
    /// The caller has its share of the queue.
    CallerShare,
    /// No engine of the shard takes work.
    NoEngine,
    /// The adapter or version is not in the configuration.
    UnknownAdapter,
    /// The instance is not the shard's leader any more.
    NotLeader,
    /// Nobody leads the shard and the request could not wait longer.
    NoLeader,
    /// The entry has as many requests as it may hold.
    EntryFull,
    /// The engine turned the request down too often.
    RetriesSpent,
}

impl RefusalReason {
    /// Returns the reason as it is written in logs, metrics and problems.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::DeadlineUnreachable => "deadline_unreachable",
            RefusalReason::DeadlinePassed => "deadline_passed",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Shed => "shed",
            RefusalReason::CallerShare => "caller_share",
            RefusalReason::NoEngine => "no_engine",
            RefusalReason::UnknownAdapter => "unknown_adapter",
            RefusalReason::NotLeader => "not_leader",
            RefusalReason::NoLeader => "no_leader",
            RefusalReason::EntryFull => "entry_full",
            RefusalReason::RetriesSpent => "retries_spent",
        }
    }
}

/// A refusal: the reason and when to come back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a new try is worth while.
    pub retry_after: Duration,
}

/// The shortest retry time that a refusal tells.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// The longest retry time that a refusal tells.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Tells a lasting overload from a burst.
///
/// In a lasting overload the queue is as long as the longest deadline allows,
/// and all who are served wait that long for nothing: the store serves as many
/// with a short queue. So once every predicted wait has been above the target
/// for a while, waits above the target are refused at once. The idea is that
/// of controlled delay (CoDel, RFC 8289), applied to admission.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OverloadDetector {
    above_since: Option<Instant>,
}

/// How long waits must stay above the target to count as an overload.
const OVERLOAD_AFTER: Duration = Duration::from_secs(3);

impl OverloadDetector {
    fn observe(&mut self, wait: Duration, target: Duration, now: Instant) {
        if wait <= target / 2 {
            self.above_since = None;
        } else if wait > target {
            self.above_since.get_or_insert(now);
        }
    }

    fn is_overloaded(&self, now: Instant) -> bool {
        self.above_since.is_some_and(|since| {
            now.saturating_duration_since(since) >= OVERLOAD_AFTER
        })
    }
}

impl Shard {
    /// Returns the refusal of a new request, or none if it may wait.
    ///
    /// A full queue sheds the youngest request of the lowest class below the
    /// new one's, and that refusal goes to `actions`.
    pub(crate) fn admit(
        &mut self,
        request: &Request,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) -> Option<Refusal> {
        if !self.engines.iter().any(|engine| engine.takes_work()) {
            return Some(self.refusal(
                RefusalReason::NoEngine,
                request.id,
                MIN_RETRY,
            ));
        }
        let wait = self.predicted_wait(request);
        let left = request.deadline.saturating_duration_since(now);
        if self.indicates_load_backlog(request) {
            self.overload.observe(wait, self.settings.target_wait, now);
        }
        let is_limited = request.priority == Priority::Normal
            && self.overload.is_overloaded(now);
        let longest = match is_limited {
            true => left.min(self.settings.target_wait),
            false => left,
        };
        if wait > longest {
            let reason = RefusalReason::DeadlineUnreachable;
            return Some(self.refusal(reason, request.id, wait - longest));
        }
        if self.exceeds_caller_share(request) {
            let reason = RefusalReason::CallerShare;
            return Some(self.refusal(reason, request.id, wait));
        }
        if self.waiting.len() < self.settings.queue_len {
            return None;
        }
        if self.shed_below(request.priority, actions) {
            return None;
        }
        Some(self.refusal(RefusalReason::QueueFull, request.id, wait))
    }

    /// Whether a request's predicted wait tells how far behind loads are: it
    /// is of normal priority and the first to need its adapter. While an
    /// engine has an empty slot, the shard is being filled: that backlog ends
    /// by itself and is no overload.
    fn indicates_load_backlog(&self, request: &Request) -> bool {
        let adapter = &self.adapters[request.adapter as usize];
        let is_filled =
            !self.engines.iter().any(|engine| engine.has_empty_slot());
        is_filled
            && request.priority == Priority::Normal
            && !self.is_served(request.adapter)
            && !self.is_loading(request.adapter)
            && adapter.queue.is_empty()
    }

    /// Returns how long a new request is expected to wait for its first seat.
    pub fn predicted_wait(&self, request: &Request) -> Duration {
        let seat_wait = self.predicted_seat_wait(request.priority);
        if self.is_served(request.adapter) {
            return seat_wait;
        }
        let load_time = self.budget.load_time();
        if self.is_loading(request.adapter) {
            return seat_wait + load_time;
        }
        let ahead = self.loads_ahead(request);
        let rate = self.budget.sustained_rate_per_s();
        seat_wait + load_time + Duration::from_secs_f64(ahead / rate)
    }

    /// Loads that come before the one that a request would need.
    fn loads_ahead(&self, request: &Request) -> f64 {
        let own = self.adapters[request.adapter as usize].queue.weight()
            + request.priority.weight();
        self.unplaced
            .iter()
            .filter(|idx| {
                let adapter = &self.adapters[**idx as usize];
                adapter.queue.weight() >= own
            })
            .count() as f64
    }

    fn predicted_seat_wait(&self, priority: Priority) -> Duration {
        let ahead: u32 = Priority::ALL[..=priority.rank()]
            .iter()
            .map(|class| self.waiting.len_of(*class))
            .sum();
        let seats: u32 = self
            .engines
            .iter()
            .filter(|engine| engine.takes_work())
            .map(|engine| engine.seats)
            .sum();
        let free: u32 = self
            .engines
            .iter()
            .map(|engine| engine.free_seats(priority))
            .sum();
        if ahead < free {
            return Duration::ZERO;
        }
        let per_seat_s = self.service_s / f64::from(seats.max(1));
        Duration::from_secs_f64(f64::from(ahead - free) * per_seat_s)
    }

    fn exceeds_caller_share(&self, request: &Request) -> bool {
        let half_full = self.waiting.len() * 2 >= self.settings.queue_len;
        let share =
            self.settings.queue_len as f64 * self.settings.caller_share;
        let own = self.waiting.len_of_caller(request.caller_hash);
        half_full && f64::from(own) >= share
    }

    fn shed_below(
        &mut self,
        priority: Priority,
        actions: &mut Vec<ShardAction>,
    ) -> bool {
        for class in Priority::ALL.iter().rev() {
            if *class <= priority {
                return false;
            }
            let Some(victim) = self.waiting.youngest(*class) else {
                continue;
            };
            let id = victim.id;
            let refusal = self.refusal(RefusalReason::Shed, id, MIN_RETRY);
            self.remove_waiting(id);
            actions.push(ShardAction::Refuse { request: id, refusal });
            return true;
        }
        false
    }

    /// Returns a refusal whose retry time lies between one and two times the
    /// predicted wait; the request's id decides where.
    pub(crate) fn refusal(
        &self,
        reason: RefusalReason,
        request: RequestId,
        wait: Duration,
    ) -> Refusal {
        let hash = xxhash_rust::xxh3::xxh3_64(&request.to_le_bytes());
        let spread = (hash >> 11) as f64 / (1u64 << 53) as f64;
        let base = wait.clamp(MIN_RETRY, MAX_RETRY);
        Refusal { reason, retry_after: base.mul_f64(1.0 + spread) }
    }
}
