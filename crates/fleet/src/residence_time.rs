//! How long requests of a plain service are under way at its endpoints, as our
//! own show: in its queue, at work and on the way back.

use std::time::Duration;

use crate::latency_regression::LatencyRegression;

/// Weight of the newest request: the last 30 or so count, which an instance with
/// five requests a second sees within six seconds.
const NEWEST_WEIGHT: f64 = 0.03;

/// The regression is fitted against thousandths of a request for each slot.
const PER_SLOT: f64 = 1_000.0;

/// What was seen lately.
#[derive(Clone, Debug)]
pub struct ResidenceTime {
    mean: Duration,
    regression: LatencyRegression,
}

impl ResidenceTime {
    /// Returns what one request shows that found so many others for each slot.
    pub fn of(load: f64, took: Duration) -> ResidenceTime {
        let mut residence = ResidenceTime {
            mean: took,
            regression: LatencyRegression::default(),
        };
        residence.observe(load, took);
        residence
    }

    /// Takes in a request that found so many others for each slot.
    pub fn observe(&mut self, load: f64, took: Duration) {
        let kept = self.mean.mul_f64(1.0 - NEWEST_WEIGHT);
        self.mean = kept + took.mul_f64(NEWEST_WEIGHT);
        self.regression.observe((load * PER_SLOT) as u64, took);
    }

    /// Returns the mean time.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the time of a request that finds so many others for each slot;
    /// none before enough was seen.
    pub fn predict(&self, load: f64) -> Option<Duration> {
        self.regression.predict((load * PER_SLOT) as u64)
    }
}
