//! Decides how long a request that cannot be sent yet waits, and when a
//! rejected caller may retry.
//!
//! A request waits while it can still be served in time, by what is known of
//! the reason: when its adapter will be loaded, how long a load takes, and how
//! long the engine takes from there. A request that is certain to be late
//! still waits if its adapter is loading, because its answer comes sooner than
//! that of a retry. All other requests are rejected as soon as they are known
//! to be late.
//!
//! The invariant: no request waits beyond its deadline.

use std::time::Duration;

use sedgewall_clock::Instant;

/// Maximum delay before a retry, as a fraction of the caller's remaining time.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.31;

/// Jitter that is subtracted from the retry delay, as a fraction of it, so
/// that callers that were rejected together do not retry together.
const JITTER_FRACTION: f64 = 0.2;

/// Fraction of the target latency for which a request waits for capacity where
/// the length of the queue is unknown. A request that is sent by then is
/// answered in time as far as engines keep to their recent latency.
const CAPACITY_WAIT_FRACTION: f64 = 0.22;

/// Maximum time for which a request waits for an endpoint, whatever its
/// target. An instance that stops has 8 s to finish all requests.
pub const MAX_WAIT: Duration = Duration::from_secs(4);

/// A request that cannot be sent yet.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the caller must have an answer.
    pub deadline: Instant,
    /// Target time from the request's arrival to the start of its answer.
    pub target: Duration,
    /// Expected time that an engine takes to start the answer.
    pub engine_time: Duration,
    /// Whether the caller was rejected before. It has no time left for another
    /// retry.
    pub is_later_try: bool,
}

/// Why a request cannot be sent yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// The adapter is loading and will be ready after this time.
    AdapterLoading(Duration),
    /// No engine holds or loads the adapter.
    AdapterNotLoaded {
        /// Time that a load takes now, once it starts.
        load_time: Duration,
    },
    /// All suitable endpoints are at capacity, or none is usable.
    NoCapacity,
    /// All suitable endpoints announce that they accept no requests until this
    /// time has passed.
    Saturated(Duration),
}

impl WaitingRequest {
    /// Returns the time until which the request waits for this reason. It is
    /// rejected at once if that time is before `now`.
    pub fn wait_until(&self, reason: WaitReason, now: Instant) -> Instant {
        let latest = self.latest_send().min(self.arrived + MAX_WAIT);
        match reason {
            // The answer is certain; a retry would get it later.
            WaitReason::AdapterLoading(ready_in)
                if now + ready_in <= latest =>
            {
                latest
            }
            WaitReason::AdapterLoading(_) => self.arrived,
            // A wait that is known to be too long is not started.
            WaitReason::Saturated(ready_in)
                if now + ready_in > self.capacity_deadline() =>
            {
                self.arrived
            }
            _ if self.is_later_try => latest,
            WaitReason::AdapterNotLoaded { load_time } => {
                self.latest_start(load_time).min(latest)
            }
            WaitReason::NoCapacity | WaitReason::Saturated(_) => {
                self.capacity_deadline().min(latest)
            }
        }
    }

    /// Returns the time until which the request waits in a queue
    /// ([`crate::wait_queue`]) for this reason; `answer_time` is the expected
    /// time from the send to the end of the answer. It is rejected at once if
    /// that time is before `now`.
    ///
    /// A first try waits as long as its answer is possible, because a caller
    /// that is rejected gets its answer later than one that waits. The
    /// exception is an adapter that nobody loads: the weight store is then the
    /// limit, and loads for requests that are late anyway would make later
    /// requests late too.
    pub fn queued_until(
        &self,
        reason: WaitReason,
        answer_time: Duration,
        now: Instant,
    ) -> Instant {
        let left = self.deadline.saturating_duration_since(self.arrived);
        let latest =
            self.arrived + left.saturating_sub(answer_time).min(MAX_WAIT);
        match reason {
            // A wait that is known to be too long is not started.
            WaitReason::AdapterLoading(ready_in)
            | WaitReason::Saturated(ready_in)
                if now + ready_in > latest =>
            {
                self.arrived
            }
            WaitReason::AdapterNotLoaded { load_time }
                if !self.is_later_try =>
            {
                self.latest_start(load_time).min(latest)
            }
            _ => latest,
        }
    }

    /// Returns the latest time to send the request so that its answer begins
    /// within the target, or for a plain service ends within it;
    /// `answer_time` is the expected time until then.
    pub fn in_time_until(&self, answer_time: Duration) -> Instant {
        self.arrived + self.target.saturating_sub(answer_time)
    }

    /// Returns the time until which the request waits for capacity.
    fn capacity_deadline(&self) -> Instant {
        self.arrived + self.target.mul_f64(CAPACITY_WAIT_FRACTION)
    }

    /// Returns the latest time at which a step of this duration may start so
    /// that the answer starts within the target.
    fn latest_start(&self, takes: Duration) -> Instant {
        let needs = self.engine_time + takes;
        self.arrived + self.target.saturating_sub(needs)
    }

    /// Returns the latest time at which the request can be sent and still be
    /// answered before its deadline.
    fn latest_send(&self) -> Instant {
        let left = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + left.saturating_sub(self.engine_time.max(self.target))
    }
}

/// Returns the delay after which a rejected caller may retry. `left` is the
/// caller's remaining time, `gone_in` the time after which the reason for the
/// rejection is expected to be gone, and `draw` a random number between 0 and
/// 1.
pub fn retry_delay(
    left: Duration,
    gone_in: Option<Duration>,
    draw: f64,
) -> Duration {
    let most = left.mul_f64(MAX_RETRY_DELAY_FRACTION);
    let wanted = gone_in.map_or(most, |time| time.min(most));
    wanted.mul_f64(1.0 - JITTER_FRACTION * draw.clamp(0.0, 1.0))
}

/// Returns the delay after which a rejected caller may retry that has a
/// position in the queue; `wait` is the expected time until its turn. Callers
/// whose turns come at different times need no jitter.
pub fn retry_delay_in_turn(
    left: Duration,
    wait: Option<Duration>,
    draw: f64,
) -> Duration {
    let most = left.mul_f64(MAX_RETRY_DELAY_FRACTION);
    match wait {
        Some(wait) if wait < most => wait,
        _ => retry_delay(left, None, draw),
    }
}
