//! Whether this instance reaches the endpoints of each service.
//!
//! Requests that fail at many endpoints may be due to the instance's own path.
//! To tell the two apart, a suspicion is followed by a round of probes, each
//! of which opens a connection to another endpoint of the service. A new
//! connection shows a cut path however the existing connections behave.
//!
//! This module does no I/O and reads no clock. The invariant: a service is
//! lost only after a round in which no endpoint answered, and a failed
//! connection is attributed to its endpoint only after a later round in which
//! another one did.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use crate::route::ServiceName;

/// How long requests may be unanswered, with nothing else received from the
/// service, before it is probed. Long prompts take as long on idle engines.
const SILENCE: Duration = Duration::from_millis(250);

/// The minimum interval between two rounds for a service that is reached.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// The interval between two rounds for a service that is lost.
const LOST_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The number of endpoints in a whole round. The first one is probed alone,
/// and the others only if its result differs from what is known.
pub const PROBES: usize = 4;

/// How a service was found to be lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// Nothing was received for a while.
    Silence,
    /// Connections failed. Existing ones may live on.
    ConnectFailure,
}

impl LossCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            LossCause::Silence => "silence",
            LossCause::ConnectFailure => "connect_failure",
        }
    }
}

/// The result of a round of probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoundResult {
    /// The number of endpoints that were probed.
    pub probed: usize,
    /// The number of these that accepted a connection.
    pub answered: usize,
    /// Whether another instance reaches the service, so that requests can be
    /// forwarded while it is lost here.
    pub others_reach: bool,
}

/// What a round changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// The service is reached or lost as before. If it is reached, these
    /// endpoints failed to accept connections while others did.
    None(BTreeSet<EndpointId>),
    /// The service is lost.
    Lost(LossCause),
    /// The service is reached again after this time.
    Regained(Duration),
}

/// The reach of all services that this instance has sent requests to.
#[derive(Clone, Debug, Default)]
pub struct EndpointReach(HashMap<ServiceName, ServiceReach>);

/// The reach of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    lost_since: Option<Instant>,
    /// When the first request was sent since the service was last heard.
    unanswered_since: Option<Instant>,
    /// When connections to endpoints failed, until a round was begun later.
    failed: BTreeMap<EndpointId, Instant>,
    /// When the last round began.
    last_round: Option<Instant>,
}

impl EndpointReach {
    /// Records that a request was sent to an endpoint of a service.
    pub fn record_sent(&mut self, service: &str, now: Instant) {
        let reach = self.service(service);
        reach.unanswered_since.get_or_insert(now);
    }

    /// Records that an endpoint of a service sent something.
    pub fn record_heard(&mut self, service: &str) {
        if let Some(reach) = self.0.get_mut(service) {
            reach.unanswered_since = None;
        }
    }

    /// Records that a connection to an endpoint of a service failed.
    pub fn record_connect_failure(
        &mut self,
        service: &str,
        endpoint: &EndpointId,
        now: Instant,
    ) {
        let reach = self.service(service);
        if reach.lost_since.is_none() {
            reach.failed.insert(endpoint.clone(), now);
        }
    }

    /// Returns whether the endpoints of a service are out of reach.
    pub fn is_lost(&self, service: &str) -> bool {
        self.lost_since(service).is_some()
    }

    /// Returns since when the endpoints of a service are out of reach, if they
    /// are.
    pub fn lost_since(&self, service: &str) -> Option<Instant> {
        self.0.get(service)?.lost_since
    }

    /// Returns whether requests to a service are unanswered, and nothing else
    /// has been received from it for a while.
    pub fn is_silent(&self, service: &str, now: Instant) -> bool {
        self.0.get(service).is_some_and(|reach| reach.is_silent(now))
    }

    /// Returns the services whose endpoints are out of reach.
    pub fn lost_services(&self) -> BTreeSet<ServiceName> {
        let lost = self.0.iter().filter(|(_, r)| r.lost_since.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services that a round must begin for now, and records that
    /// it begins.
    pub fn take_due(&mut self, now: Instant) -> Vec<ServiceName> {
        let due = self.0.iter_mut().filter(|(_, reach)| {
            reach.due_at().is_some_and(|due_at| now >= due_at)
        });
        due.map(|(service, reach)| {
            reach.last_round = Some(now);
            service.clone()
        })
        .collect()
    }

    /// Returns the time until a round is due, at most 250 ms: a request that is
    /// sent now makes one due no sooner.
    pub fn next_due_in(&self, now: Instant) -> Duration {
        let due = self.0.values().filter_map(ServiceReach::due_at);
        let first = due.min().map(|at| at.saturating_duration_since(now));
        first.unwrap_or(SILENCE).min(SILENCE)
    }

    /// Returns whether a round is complete with this result of its first
    /// probe.
    pub fn is_expected(&self, service: &str, has_answered: bool) -> bool {
        self.is_lost(service) != has_answered
    }

    /// Records the result of the round that began last.
    pub fn record_round(
        &mut self,
        service: &str,
        result: RoundResult,
        now: Instant,
    ) -> ReachChange {
        let RoundResult { probed, answered, others_reach } = result;
        let reach = self.service(service);
        let unchanged = ReachChange::None(BTreeSet::new());
        if probed == 0 {
            return unchanged;
        }
        let began = reach.last_round.unwrap_or(now);
        match reach.lost_since {
            None if answered == 0 => {
                let cause = match reach.is_silent(now) {
                    true => LossCause::Silence,
                    false => LossCause::ConnectFailure,
                };
                let failed = std::mem::take(&mut reach.failed);
                let failed_since = failed.into_values().min();
                let since =
                    reach.unanswered_since.into_iter().chain(failed_since);
                reach.lost_since = Some(since.min().unwrap_or(began));
                ReachChange::Lost(cause)
            }
            None => {
                reach.unanswered_since = None;
                let failed = std::mem::take(&mut reach.failed);
                let (judged, later) =
                    failed.into_iter().partition(|(_, at)| *at <= began);
                reach.failed = later;
                let judged: BTreeMap<EndpointId, Instant> = judged;
                ReachChange::None(judged.into_keys().collect())
            }
            // Most endpoints may be out of reach when the first one answers.
            Some(since)
                if answered * 2 >= probed
                    || (answered > 0 && !others_reach) =>
            {
                reach.lost_since = None;
                reach.unanswered_since = None;
                ReachChange::Regained(now.saturating_duration_since(since))
            }
            Some(_) => unchanged,
        }
    }

    fn service(&mut self, service: &str) -> &mut ServiceReach {
        self.0.entry(service.to_owned()).or_default()
    }
}

impl ServiceReach {
    fn is_silent(&self, now: Instant) -> bool {
        self.unanswered_since.is_some_and(|at| now >= at + SILENCE)
    }

    /// Returns when the next round is due, if one is.
    fn due_at(&self) -> Option<Instant> {
        if self.lost_since.is_some() {
            let last = self.last_round;
            return last.map(|last| last + LOST_ROUND_INTERVAL);
        }
        let failed = self.failed.values().min().copied();
        let silent = self.unanswered_since.map(|at| at + SILENCE);
        let due = match (failed, silent) {
            (Some(failed), Some(silent)) => Some(failed.min(silent)),
            (failed, silent) => failed.or(silent),
        };
        let earliest = self.last_round.map(|last| last + ROUND_INTERVAL);
        due.map(|due| earliest.map_or(due, |earliest| due.max(earliest)))
    }
}
