//! The clock by which everything is decided.
//!
//! A machine may be suspended for seconds. The clock behind [`std::time::Instant`]
//! stands still meanwhile, so that a lease looks current that another instance has
//! taken since, and keys look sure that were taken away. [`Instant`] counts that
//! time. Timers of the loop run on the other clock and come late by it, as they do
//! after a pause of the process.

// This module alone compares the two clocks.
#![allow(clippy::disallowed_types)]

use std::time::Duration;

pub use boot_time::Instant;

/// A suspension that is shorter counts as the drift between two readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Notices that the machine was suspended: one clock went on and the other stood.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    boottime: Instant,
    monotonic: std::time::Instant,
}

impl SuspendDetector {
    /// Begins to watch.
    pub fn start() -> SuspendDetector {
        SuspendDetector {
            boottime: Instant::now(),
            monotonic: std::time::Instant::now(),
        }
    }

    /// Returns for how long the machine was suspended since the last look, if it was.
    pub fn check(&mut self) -> Option<Duration> {
        let now = SuspendDetector::start();
        let boottime = now.boottime - self.boottime;
        let monotonic = now.monotonic - self.monotonic;
        *self = now;
        boottime
            .checked_sub(monotonic)
            .filter(|suspended| *suspended >= MIN_SUSPENSION)
    }
}
