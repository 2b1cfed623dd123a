//! A monotonic clock that includes the time for which the machine is
//! suspended.
//!
//! All decisions about time use [`Instant`], which reads `CLOCK_BOOTTIME`. The
//! clock behind [`std::time::Instant`] (`CLOCK_MONOTONIC`) stops while the
//! machine is suspended, which can take seconds. With that clock, an instance
//! would still consider its lease valid after another instance has acquired
//! it, and would still consider keys valid after they have been revoked.
//!
//! The timers of the event loop run on `CLOCK_MONOTONIC`. They fire late by
//! the time of a suspension, as they do after a pause of the process.

// `std::time::Instant` is disallowed elsewhere; only this module compares the
// two clocks.
#![allow(clippy::disallowed_types)]

use std::time::Duration;

pub use boot_time::Instant;

/// The shortest difference that counts as a suspension. The two clocks are not
/// read at the same moment, so smaller differences occur without a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Detects that the machine was suspended.
///
/// It compares the time that passed on `CLOCK_BOOTTIME`, which advances during
/// a suspension, with the time that passed on `CLOCK_MONOTONIC`, which does
/// not.
#[derive(Clone, Copy, Debug)]
pub struct SuspendDetector {
    boottime: Instant,
    monotonic: std::time::Instant,
}

impl SuspendDetector {
    /// Returns a detector that reports suspensions from now on.
    pub fn start() -> SuspendDetector {
        SuspendDetector {
            boottime: Instant::now(),
            monotonic: std::time::Instant::now(),
        }
    }

    /// Returns for how long the machine was suspended since the previous check
    /// or, for the first check, since [`SuspendDetector::start`].
    ///
    /// Returns `None` if it was not suspended, or for less than 20 ms.
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
