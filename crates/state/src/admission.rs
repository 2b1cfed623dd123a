//! Admission control: whether a new request may wait, and its refusal.
//!
//! A request that is not expected to meet its deadline is refused at once. The
//! refusal says that the request did not run, and when to retry it. The module
//! keeps one invariant: a refusal is never delayed, and its retry time has
//! jitter, so that refused callers do not return at the same time.

use std::time::Duration;

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::{
    id::RequestId,
    priority::Priority,
    queue::Request,
    shard::{Shard, ShardAction},
};

/// The reason for which a request was refused. A refused request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The predicted wait exceeds the time until the deadline or, for a
    /// request of normal priority during a sustained overload, the target
    /// wait.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The queue is full and holds no request of lower priority to shed.
    QueueFull,
    /// The request was removed from a full queue in favour of a request of
    /// higher priority.
    Shed,
    /// The queue is at least half full, and the caller holds its maximum share
    /// of the queue.
    CallerShare,
    /// No engine of the shard is available.
    NoEngine,
    /// The configuration does not contain the adapter version.
    UnknownAdapter,
    /// The instance no longer leads the shard.
    NotLeader,
    /// No instance leads the shard, and the request could not wait longer.
    NoLeader,
    /// The entry instance holds its maximum number of requests.
    EntryFull,
    /// No further retry is allowed after an engine rejected the request or
    /// could not be reached.
    RetriesSpent,
}

impl RefusalReason {
    /// Returns the name of the reason in logs, metrics and problem documents.
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

/// The refusal of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason for which the request was refused.
    pub reason: RefusalReason,
    /// The time after which the caller may retry the request.
    pub retry_after: Duration,
}

/// The minimum of a refusal's retry time, before jitter.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// The maximum of a refusal's retry time, before jitter.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Distinguishes a sustained overload from a burst.
///
/// In a sustained overload, the queue grows until waits reach the longest
/// deadline. That delays all requests without a gain in throughput, because
/// the weight store serves as many requests with a short queue as with a long
/// one. So once predicted waits have been above the target for
/// [`OVERLOAD_AFTER`], a new request of normal priority whose predicted wait
/// is above the target is refused at once. Requests of the other classes are
/// refused only if their predicted wait exceeds the time until their deadline.
/// This is the idea of controlled delay (CoDel, RFC 8289), applied to
/// admission.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OverloadDetector {
    above_since: Option<Instant>,
}

/// The time from the first predicted wait above the target until the shard
/// counts as overloaded. A predicted wait of at most half the target ends the
/// overload or resets this time.
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
    /// Returns the refusal of a new request, or `None` if it may wait.
    ///
    /// If the queue is full, the most recent request of the lowest priority
    /// class is shed, provided that its class is below that of the new
    /// request. The refusal of the shed request is appended to `actions`.
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

    /// Returns whether a request's predicted wait indicates the backlog of
    /// loads: the request has normal priority and is the first that needs its
    /// adapter.
    ///
    /// While an engine has an empty slot, the shard is still being filled. The
    /// backlog of loads then ends by itself and is not an overload.
    fn indicates_load_backlog(&self, request: &Request) -> bool {
        let adapter = &self.adapters[request.adapter as usize];
        let is_filled =
            !self.engines.iter().any(|engine| engine.has_empty_slot());
        is_filled
            && request.priority == Priority::Normal
            && !self.has_available_replica(request.adapter)
            && !self.is_loading(request.adapter)
            && adapter.queue.is_empty()
    }

    /// Returns the time that a new request is expected to wait for a seat.
    pub fn predicted_wait(&self, request: &Request) -> Duration {
        let seat_wait = self.predicted_seat_wait(request.priority);
        if self.has_available_replica(request.adapter) {
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

    /// Returns the number of loads that come before the load that a request
    /// needs.
    fn loads_ahead(&self, request: &Request) -> f64 {
        let own = self.adapters[request.adapter as usize].queue.weight()
            + request.priority.weight();
        self.awaiting_load
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

    /// Returns a refusal whose retry time is `wait`, within [`MIN_RETRY`] and
    /// [`MAX_RETRY`], times a jitter between 1 and 2. The jitter is derived
    /// from the request id, because this crate draws no random numbers.
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
