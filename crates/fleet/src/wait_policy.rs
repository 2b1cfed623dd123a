//! How long a request that cannot be sent now is held, and when its caller may
//! come back.
//!
//! A request is held while it can still be served in time, by what is known of
//! the obstacle: when its adapter comes, what a load takes, and what the engine
//! takes from there. One that can only be late is held where an answer is certain
//! to come, because its adapter is on its way: the answer comes sooner than to a
//! new try. All others are rejected as soon as that is known. The invariant: no
//! request is held beyond the time at which its caller must have an answer.

use std::time::Duration;

use sedgewall_clock::Instant;

/// Of the time that is left, a caller waits this part at most before it comes
/// back.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.31;

/// What is drawn off the time to come back, as a part of it: callers that were
/// rejected in the same moment do not come back as one wave.
const JITTER_FRACTION: f64 = 0.2;

/// The part of the target for which a request waits for a free place, in a queue
/// of which nothing is known: it is then sent in time as far as the engine keeps
/// to what it took lately.
const CAPACITY_WAIT_FRACTION: f64 = 0.22;

/// How long a request looks for an endpoint at most before it is sent, however
/// long its target is: an instance that stops has 8 s for all.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// A request that cannot be sent now.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller must have an answer.
    pub deadline: Instant,
    /// Within this time its answer should begin.
    pub target: Duration,
    /// What an engine is likely to take until its answer begins.
    pub engine_time: Duration,
    /// Whether its caller was rejected before: another rejection leaves it
    /// nothing.
    pub is_later_try: bool,
}

/// Why a request cannot be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// Its adapter is on its way and ready after this time.
    AdapterLoading(Duration),
    /// Its adapter is nowhere; a load takes this long from when it begins.
    AdapterNotLoaded {
        /// What a load takes now.
        load_time: Duration,
    },
    /// All endpoints that could take it are full, or none is usable.
    NoCapacity,
    /// All endpoints that could take it announce that they take no more, until this
    /// time has passed.
    Saturated(Duration),
}

impl WaitingRequest {
    /// Returns until when it is held for an obstacle; it is rejected at once if
    /// that lies before now.
    pub fn wait_until(&self, reason: WaitReason, now: Instant) -> Instant {
        let latest = self.latest_send().min(self.arrived + MAX_WAIT);
        match reason {
            // An answer is certain to come; a new try would have it later.
            WaitReason::AdapterLoading(ready_in)
                if now + ready_in <= latest =>
            {
                latest
            }
            WaitReason::AdapterLoading(_) => self.arrived,
            // What is known to come too late is rejected at once.
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

    /// Returns until when it waits for a place.
    fn capacity_deadline(&self) -> Instant {
        self.arrived + self.target.mul_f64(CAPACITY_WAIT_FRACTION)
    }

    /// Returns the last moment at which something that takes so long may begin
    /// for the answer to begin in time.
    fn latest_start(&self, takes: Duration) -> Instant {
        let needs = self.engine_time + takes;
        self.arrived + self.target.saturating_sub(needs)
    }

    /// Returns the last moment at which it can be sent and be answered.
    fn latest_send(&self) -> Instant {
        let left = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + left.saturating_sub(self.engine_time.max(self.target))
    }
}

/// Returns when a caller may come back that has this much time left and whose
/// obstacle is likely to be gone after another; `draw` is a number between 0 and
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
