//! How often an adapter is asked for, followed on two horizons.
//!
//! The short horizon sees a shift of the popular adapters within a minute; the
//! long one remembers what a quiet quarter of an hour would otherwise forget.
//! Both are exponentially decayed counts, so an adapter costs two numbers and a
//! time, and an idle adapter costs no work at all.

use std::time::Duration;

use sedgewall_clock::Instant;

/// The time constant of the short horizon.
pub const SHORT_HORIZON: Duration = Duration::from_secs(60);

/// The time constant of the long horizon.
pub const LONG_HORIZON: Duration = Duration::from_secs(1_800);

/// How much the short horizon counts against the long one.
const SHORT_SHARE: f64 = 0.7;

/// A decayed request rate on two horizons.
#[derive(Clone, Copy, Debug)]
pub struct Popularity {
    short_count: f64,
    long_count: f64,
    updated: Option<Instant>,
}

impl Popularity {
    /// Returns the popularity of an adapter that was never asked for.
    pub fn new() -> Popularity {
        Popularity { short_count: 0.0, long_count: 0.0, updated: None }
    }

    /// Counts one request.
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
