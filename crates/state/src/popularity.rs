//! The request rate of an adapter, estimated over two time horizons.
//!
//! The short horizon follows a shift of popularity between adapters within a
//! minute. The long horizon keeps the popularity of an adapter that gets no
//! requests for a quarter of an hour. Both are exponentially decayed counts,
//! so that an adapter needs two numbers and a timestamp, and an idle adapter
//! costs no computation.

use std::time::Duration;

use sedgewall_clock::Instant;

/// The time constant of the short horizon.
pub const SHORT_HORIZON: Duration = Duration::from_secs(60);

/// The time constant of the long horizon.
pub const LONG_HORIZON: Duration = Duration::from_secs(1_800);

/// The weight of the short horizon; the long one has the rest, up to 1.
const SHORT_SHARE: f64 = 0.7;

/// An exponentially decayed request rate over two time horizons.
#[derive(Clone, Copy, Debug)]
pub struct Popularity {
    short_count: f64,
    long_count: f64,
    updated: Option<Instant>,
}

impl Popularity {
    /// Returns the popularity of an adapter without requests.
    pub fn new() -> Popularity {
        Popularity { short_count: 0.0, long_count: 0.0, updated: None }
    }

    /// Records one request.
    pub fn record(&mut self, now: Instant) {
        self.decay(now);
        self.short_count += 1.0;
        self.long_count += 1.0;
    }

    /// Returns the expected requests per second.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated);
        let short = self.short_count * decay_factor(elapsed, SHORT_HORIZON)
            / SHORT_HORIZON.as_secs_f64();
        let long = self.long_count * decay_factor(elapsed, LONG_HORIZON)
            / LONG_HORIZON.as_secs_f64();
        SHORT_SHARE * short + (1.0 - SHORT_SHARE) * long
    }

    fn decay(&mut self, now: Instant) {
        if let Some(updated) = self.updated {
            let elapsed = now.saturating_duration_since(updated);
            self.short_count *= decay_factor(elapsed, SHORT_HORIZON);
            self.long_count *= decay_factor(elapsed, LONG_HORIZON);
        }
        self.updated = Some(now);
    }
}

impl Default for Popularity {
    fn default() -> Popularity {
        Popularity::new()
    }
}

fn decay_factor(elapsed: Duration, horizon: Duration) -> f64 {
    (-elapsed.as_secs_f64() / horizon.as_secs_f64()).exp()
}
