//! The residence time of requests at the endpoints of a plain service:
//! queueing, processing, and transfer, as measured on this instance's own
//! requests.

use std::time::Duration;

use crate::latency_regression::LatencyRegression;

/// The weight of the newest request in the mean. About the last 30 requests
/// count, which an instance with five requests per second sends within six
/// seconds.
const NEWEST_WEIGHT: f64 = 0.03;

/// The regression takes integers, so loads are given in thousandths of a
/// request per slot.
const PER_SLOT: f64 = 1_000.0;

/// The recent residence times of one service.
#[derive(Clone, Debug)]
pub struct ResidenceTime {
    mean: Duration,
    regression: LatencyRegression,
}

impl ResidenceTime {
    /// Returns the residence times after a first request, which took `took`
    /// and found `load` other requests per slot.
    pub fn of(load: f64, took: Duration) -> ResidenceTime {
        let mut residence = ResidenceTime {
            mean: took,
            regression: LatencyRegression::default(),
        };
        residence.observe(load, took);
        residence
    }

    /// Adds a request that took `took` and found `load` other requests per
    /// slot.
    pub fn observe(&mut self, load: f64, took: Duration) {
        let kept = self.mean.mul_f64(1.0 - NEWEST_WEIGHT);
        self.mean = kept + took.mul_f64(NEWEST_WEIGHT);
        self.regression.observe((load * PER_SLOT) as u64, took);
    }

    /// Returns the mean residence time.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the expected residence time of a request that finds `load`
    /// other requests per slot, or `None` before enough requests were
    /// observed.
    pub fn predict(&self, load: f64) -> Option<Duration> {
        self.regression.predict((load * PER_SLOT) as u64)
    }
}
