//! Cooldown that an endpoint asks for when it turns a request away.
//!
//! An endpoint that turns requests away looks idle, and would get more of them than
//! any other. It gets none until its rest is over; then one request shows whether it
//! takes requests again, so that not all that wait go there at once. The invariant:
//! within a rest no request is sent, whatever else is heard of the endpoint.

use std::time::Duration;

use sedgewall_clock::Instant;

/// How long the first request after a rest keeps others away without an answer: its
/// caller may have left.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How late an entry may show that an endpoint has begun a new life: what was asked
/// for in this time before may be the new life's wish.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(4);

/// The rest of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cooldown {
    /// When it ends or ended; none once a request was answered otherwise since.
    until: Option<Instant>,
    /// When it was last asked for.
    requested_at: Option<Instant>,
    /// When a request was sent since it ended.
    probe_sent: Option<Instant>,
}

impl Cooldown {
    /// Takes in that the endpoint asks for rest; returns whether it did not rest
    /// before.
    pub fn extend(&mut self, cooldown: Duration, now: Instant) -> bool {
        let is_news = self.until.is_none_or(|until| now >= until);
        let until =
            self.until.map_or(now + cooldown, |u| u.max(now + cooldown));
        *self = Cooldown {
            until: Some(until),
            requested_at: Some(now),
            probe_sent: None,
        };
        is_news
    }

    /// Returns what is left of it where the endpoint turns out to have begun a new
    /// life: what the life before asked for is void.
    pub fn in_new_incarnation(&self) -> Cooldown {
        let longest = self.requested_at.map(|at| at + MAX_ENTRY_DELAY);
        let until = self.until.zip(longest).map(|(u, most)| u.min(most));
        Cooldown { until, ..*self }
    }

    /// Returns when a request may be sent; nothing if it may be now.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let until = self.until?;
        let probed = self.probe_sent.map(|sent| sent + PROBE_TIMEOUT);
        let from = probed.map_or(until, |probed| until.max(probed));
        let left = from.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether the endpoint asked for rest that is not over.
    pub fn is_cooling_down(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Notes that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        if self.until.is_some() {
            self.probe_sent = Some(now);
        }
    }

    /// Notes an answer that asks for no rest, to a request that was sent at a moment;
    /// returns whether that ends the rest.
    pub fn record_answer(&mut self, sent: Instant) -> bool {
        let is_over = self.until.is_some_and(|until| sent >= until);
        if is_over {
            *self = Cooldown::default();
        }
        is_over
    }
}
