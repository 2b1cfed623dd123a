//! The residence time of requests at the endpoints of a plain service
//! (queueing, processing, and transfer), and the duration of streams, as
//! measured on this instance's own requests.

use std::time::Duration;

use crate::latency_regression::LatencyRegression;

/// The weight of the newest request in the mean. About the last 30 requests
/// count, which an instance with five requests per second sends within six
/// seconds.
const NEWEST_WEIGHT: f64 = 0.03;

/// The maximum time that a stream counts for, in multiples of the mean.
const MAX_STREAM_FACTOR: u32 = 2;

/// A lower bound of the maximum time that a stream counts for, so that the
/// mean can rise again after very short streams.
const MIN_STREAM_LIMIT: Duration = Duration::from_millis(100);

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

/// The mean time from the headers to the end of streamed responses, of one
/// route.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTime(Option<Duration>);

impl StreamTime {
    /// Adds a stream that took `took`. One that took far longer than the mean
    /// counts as at most `MAX_STREAM_FACTOR` means: its caller may have read
    /// it slowly.
    pub fn observe(&mut self, took: Duration) {
        let mean = self.0.unwrap_or(took);
        let most = (mean * MAX_STREAM_FACTOR).max(MIN_STREAM_LIMIT);
        let took = took.min(most);
        let kept = mean.mul_f64(1.0 - NEWEST_WEIGHT);
        self.0 = Some(kept + took.mul_f64(NEWEST_WEIGHT));
    }

    /// Returns the mean, or `None` before the first stream has ended.
    pub fn mean(&self) -> Option<Duration> {
        self.0
    }
}
