//! Cooldowns that endpoints ask for when they reject requests.
//!
//! An endpoint that rejects requests looks idle, and would attract more of
//! them than any other endpoint. It therefore gets none until the cooldown has
//! ended. A single probe request then shows whether the endpoint accepts
//! requests again, so that not all waiting requests go there at once. The
//! invariant: no request is sent during a cooldown, whatever else is learned
//! of the endpoint.

use std::time::Duration;

use sedgewall_clock::Instant;

/// How long an unanswered probe request keeps other requests away. The caller
/// of the probe may have disconnected, and no answer would ever come.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How late an endpoint's entry may show a new incarnation. A cooldown that
/// was requested within this time before may be one of the new incarnation.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(4);

/// The cooldown of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cooldown {
    /// The end of the latest cooldown; `None` once a later request was
    /// answered without asking for one.
    until: Option<Instant>,
    /// When the endpoint last asked for a cooldown.
    requested_at: Option<Instant>,
    /// When a probe request was sent after the cooldown ended.
    probe_sent: Option<Instant>,
}

impl Cooldown {
    /// Records that the endpoint asks for a cooldown. Returns whether no
    /// cooldown was in effect before.
    pub fn extend(&mut self, cooldown: Duration, now: Instant) -> bool {
        let is_new = self.until.is_none_or(|until| now >= until);
        let until =
            self.until.map_or(now + cooldown, |u| u.max(now + cooldown));
        *self = Cooldown {
            until: Some(until),
            requested_at: Some(now),
            probe_sent: None,
        };
        is_new
    }

    /// Returns the part of the cooldown that stays in effect in a new
    /// incarnation. What the previous incarnation asked for is void.
    pub fn in_new_incarnation(&self) -> Cooldown {
        let longest = self.requested_at.map(|at| at + MAX_ENTRY_DELAY);
        let until = self.until.zip(longest).map(|(u, most)| u.min(most));
        Cooldown { until, ..*self }
    }

    /// Returns the time until a request may be sent, or `None` if one may be
    /// sent now.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let until = self.until?;
        let probed = self.probe_sent.map(|sent| sent + PROBE_TIMEOUT);
        let from = probed.map_or(until, |probed| until.max(probed));
        let left = from.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether a cooldown is in effect.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        if self.until.is_some() {
            self.probe_sent = Some(now);
        }
    }

    /// Records a response that asks for no cooldown; `sent` is when its
    /// request was sent. Returns whether the response ends the cooldown.
    pub fn record_answer(&mut self, sent: Instant) -> bool {
        let is_over = self.until.is_some_and(|until| sent >= until);
        if is_over {
            *self = Cooldown::default();
        }
        is_over
    }
}
