//! The health of an endpoint, derived from the outcomes of requests.
//!
//! A health check may be wrong and costs a call, whereas outcomes are free. An
//! endpoint whose requests fail is ejected for a time that doubles with each
//! ejection, and is ejected again if its first request afterwards fails.

use std::time::Duration;

use sedgewall_clock::Instant;

/// The number of consecutive failures that eject an endpoint. A single request
/// that fails on every endpoint must not eject all of them.
const FAILURES_TO_EJECT: u32 = 5;

/// The weight of the newest outcome in the failure rate.
const SHARE_WEIGHT: f64 = 0.1;

/// The duration of the first ejection. It is long enough for a restart to show
/// in the platform's list.
const FIRST_EJECTION: Duration = Duration::from_millis(1_000);

/// The maximum duration of an ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(8);

/// How long an endpoint is ejected after a connection to it failed.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);

/// The health of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    failed_share: f64,
    ejected_until: Option<Instant>,
    suspect_until: Option<Instant>,
    ejections_in_row: u32,
}

impl Health {
    /// Records a request that the endpoint served, or rejected for a
    /// legitimate reason.
    pub fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.failed_share *= 1.0 - SHARE_WEIGHT;
        self.ejected_until = None;
        self.suspect_until = None;
    }

    /// Records a request that failed at the endpoint. Returns whether the
    /// failure ejects the endpoint.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.failures_in_row += 1;
        self.failed_share += (1.0 - self.failed_share) * SHARE_WEIGHT;
        let is_bad = self.failures_in_row >= FAILURES_TO_EJECT;
        if is_bad {
            self.eject(now);
        }
        is_bad
    }

    /// Records that a connection to the endpoint failed.
    pub fn unreachable(&mut self, now: Instant) {
        self.failures_in_row += 1;
        self.ejected_until = Some(now + UNREACHABLE_PAUSE);
        if self.failures_in_row >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Records that several instances cannot reach the endpoint, which gets no
    /// requests for `time`.
    pub fn suspect(&mut self, time: Duration, now: Instant) {
        self.suspect_until = Some(now + time);
    }

    /// Revokes ejections and suspicions, because the failures that led to them
    /// were due to this instance's own path.
    pub fn revoke_ejections(&mut self) {
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.ejected_until = None;
        self.suspect_until = None;
    }

    /// Returns whether the last request that ended was served.
    pub fn is_sound(&self) -> bool {
        self.failures_in_row == 0
    }

    /// Returns the failure rate of recent requests, the newest weighted most.
    /// The rate serves to compare endpoints and ejects none.
    pub fn failed_share(&self) -> f64 {
        self.failed_share
    }

    /// Returns whether the endpoint may get requests.
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_over =
            |until: Option<Instant>| until.is_none_or(|until| now >= until);
        is_over(self.ejected_until) && is_over(self.suspect_until)
    }

    fn eject(&mut self, now: Instant) {
        let doubled = FIRST_EJECTION * (1 << self.ejections_in_row.min(3));
        self.ejected_until = Some(now + doubled.min(LONGEST_EJECTION));
        self.ejections_in_row += 1;
        // One more failure after the ejection ejects the endpoint again at
        // once.
        self.failures_in_row = FAILURES_TO_EJECT - 1;
    }
}
