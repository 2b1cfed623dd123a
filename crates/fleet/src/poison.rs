//! Detects poison requests: requests that crash the endpoints that run them.
//!
//! A poison request crashes each endpoint that starts to run it, together with
//! everything else that runs there. It is retried with another id, at any
//! instance, or other requests that share a part of its prompt do the same. So
//! each instance records which of its runs broke off when their endpoint ended,
//! and reports them to all others; this module decides from what all instances
//! saw which feature of requests the crashes have in common, and condemns it.
//!
//! The invariants: a connection that was reset by an endpoint that lives on
//! does not count; endpoints that end at the same time count as one cause; a
//! run that succeeds clears its features of all evidence from before it was
//! sent; and instances with the same reports reach the same verdicts, in
//! whatever order the reports arrive.

mod condemned;
mod evidence;
mod explanation;

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

pub use self::explanation::Policy;
use self::{
    condemned::Condemnations,
    evidence::Evidence,
    explanation::{Explanations, Standing},
};
use crate::{
    features::{Feature, Features},
    incarnation::EndpointIncarnation,
    recent_successes::RecentSuccesses,
    request_digest::RequestDigest,
};

/// How long a run that broke off is retained until the end of its endpoint is
/// known. A dead endpoint leaves the platform's list after three heartbeats of
/// 1.2 s, and a watch of the list may be 2.5 s late.
const BROKEN_RUN_RETENTION: Duration = Duration::from_secs(8);

/// How long before the end of its endpoint a run may have lost its caller and
/// still count as running. Engines stop a run within half a second.
const ABANDONED_RUN_RETENTION: Duration = Duration::from_millis(500);

/// How long the end of an endpoint is remembered. Its runs break off within
/// this time, also on connections on which nothing arrives.
const ENDED_ENDPOINT_RETENTION: Duration = Duration::from_secs(8);

/// How long the end of an endpoint counts against a request.
const CRASH_VALID_FOR: Duration = Duration::from_secs(600);

/// How long a request stays condemned. It is tried again afterwards, since
/// engines are repaired too, and one more crash condemns it again: such a
/// request may cost one endpoint in ten minutes.
pub const CONDEMNED_FOR: Duration = Duration::from_secs(600);

/// How long each instance repeats the report of a crash in its notes, since
/// notes may be lost. They go to all others every 0.15 s in a small fleet and
/// every 2.4 s in a large one; without a lease holder, the interval grows with
/// the fleet and is 4.85 s with 195 instances.
const CRASH_REPEATED_FOR: Duration = Duration::from_secs(4);

/// Maximum number of runs in one note. Each takes about 30 bytes, so that the
/// note fits in two packets.
const MAX_RUNS_PER_NOTE: usize = 64;

/// Maximum number of runs in one note whose features differ from those of
/// another run of the same request. Each takes about 100 bytes.
const MAX_DIFFERING_RUNS_PER_NOTE: usize = 64;

/// Maximum number of refuted crashes in one note.
const MAX_ANSWERS_PER_NOTE: usize = 16;

/// How long other instances have to report what they know of a feature before
/// it is condemned for good. Meanwhile, requests with it are already refused.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(300);

/// How long a condemned feature depends on the evidence. Reports that may show
/// another cause of the crashes arrive within this time.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// An endpoint that ended, and the runs of one instance that it interrupted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Crash {
    /// The endpoint that ended.
    pub endpoint: EndpointIncarnation,
    /// The interrupted runs.
    pub runs: Vec<CrashedRun>,
}

/// A run that broke off because its endpoint ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashedRun {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// Time since the request was sent to the endpoint, in milliseconds.
    pub began_ms_ago: u64,
    /// Time since the run broke off, in milliseconds.
    pub broke_ms_ago: u64,
}

/// The features of an interrupted run, which accompany a [`CrashedRun`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunFeatures {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The features that the request shares with others, from the narrowest to
    /// the broadest.
    pub shared: Vec<Feature>,
    /// Whether nothing of the response's body had come.
    pub is_unanswered: bool,
}

/// The features of an interrupted run on one endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRunFeatures {
    /// The endpoint that ended.
    pub endpoint: EndpointIncarnation,
    /// The features of the run.
    pub features: RunFeatures,
}

/// A success with a feature, as instances report it to each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedSuccess {
    /// The feature.
    pub feature: Feature,
    /// Time since the successful request was sent, in milliseconds.
    pub began_ms_ago: u64,
}

/// What accompanies reports of crashes and successes. Instances of earlier
/// releases neither send nor read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReportDetails {
    /// The features of the interrupted runs, once for each request.
    pub runs: Vec<RunFeatures>,
    /// The latest successes with features of these runs, and with those that
    /// are reported as successful.
    pub successes: Vec<ReportedSuccess>,
    /// Endpoints that were reported as crashed and have answered since.
    pub alive: Vec<ReportedAnswer>,
    /// The features of runs that differ from those of another run of the same
    /// request, which `runs` holds. Not serialized with the other details,
    /// since instances of earlier releases reject a further field.
    #[serde(skip)]
    pub differing_runs: Vec<EndpointRunFeatures>,
}

/// An answer of an endpoint that was reported as crashed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportedAnswer {
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// Time since the answered request was sent, in milliseconds.
    pub sent_ms_ago: u64,
}

/// A condemned feature, as instances send it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condemned {
    /// The feature: the digest of a request, or of a part of prompts.
    pub digest: Feature,
    /// Time since the feature was condemned, in milliseconds.
    pub ms_ago: u64,
    /// The endpoints that ended while they ran requests with it.
    pub endpoints: Vec<EndpointIncarnation>,
}

/// Why requests with a feature are not sent to any endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The endpoints that ended while they ran such requests.
    pub endpoints: Vec<EndpointIncarnation>,
    /// Time since the feature was condemned.
    pub condemned_ago: Duration,
    /// Time until such requests are tried again.
    pub released_in: Duration,
    /// Whether other instances have had the time to refute the verdict.
    pub is_confirmed: bool,
}

/// How a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection broke or timed out.
    Broken,
    /// The same, before any part of the response's body had come.
    Unanswered,
    /// The caller closed its connection.
    CallerLeft,
}

/// Evidence against requests whose endpoints ended.
#[derive(Clone, Debug, Default)]
pub struct PoisonDetector {
    policy: Policy,
    /// Since when this instance has taken part, if that is known.
    started: Option<Instant>,
    /// Whether [`PoisonDetector::search`] is called apart from the reports.
    is_deferred: bool,
    /// Whether something has changed since the last search.
    is_stale: bool,
    /// The number of interrupted runs that searches have looked at.
    steps: u64,
    /// Runs that broke off, until it is known whether their endpoint has
    /// ended.
    broken: HashMap<EndpointIncarnation, Vec<BrokenRun>>,
    /// Endpoints that ended recently.
    ended: HashMap<EndpointIncarnation, Instant>,
    evidence: Evidence,
    /// What is known of the features in the evidence, apart from it.
    known: HashMap<Feature, Known>,
    condemned: Condemnations,
    /// Successful requests of this instance, and the parts of their prompts.
    successes: Successes,
    /// The features of runs in the report that is being handled.
    reported_runs: Vec<RunFeatures>,
    /// Those of them that hold for one endpoint only.
    reported_differing_runs: Vec<EndpointRunFeatures>,
    /// The features in that report that succeeded, and when the requests were
    /// sent.
    reported_successes: Vec<(Feature, Instant)>,
    /// Interrupted runs of this instance that its notes report again.
    recent_interruptions:
        Vec<(EndpointIncarnation, Interruption, RequestDigest)>,
    /// Features whose successes the other instances must be told.
    untold: Vec<Feature>,
    /// Endpoints that were reported as crashed and have answered a request of
    /// this instance that was sent then.
    answers: HashMap<EndpointIncarnation, Instant>,
}

#[derive(Clone, Debug)]
struct BrokenRun {
    features: Features,
    began: Instant,
    broke: Instant,
    loss: Loss,
}

/// One run of a request that ended with its endpoint.
#[derive(Clone, Copy, Debug)]
struct Interruption {
    began: Instant,
    broke: Instant,
}

/// Requests that succeeded recently. Whole requests are apart from what they
/// share, because most requests are sent once.
#[derive(Clone, Debug, Default)]
struct Successes {
    requests: RecentSuccesses,
    shared: RecentSuccesses,
}

/// What is known of a feature, apart from crashes.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// When the latest successful request with the feature was sent.
    succeeded: Option<Instant>,
    /// The same, as far as all instances have been told.
    told: Option<Instant>,
    /// When an instance last reported a success, without its time, or the
    /// feature was released.
    cleared_at: Option<Instant>,
    released_at: Option<Instant>,
    /// Whether the feature was condemned before, so that one more crash
    /// condemns it again.
    is_on_probation: bool,
    last: Option<Instant>,
}

/// Result of merging a condemned feature of another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The feature is now condemned here too.
    Added,
    /// The feature was already condemned here, or no longer is.
    AlreadyKnown,
    /// A run has succeeded since the feature was condemned. The other
    /// instances must be told.
    Refuted,
    /// The feature was released since it was condemned. The other instance has
    /// not heard of that yet.
    Released,
}

impl PoisonDetector {
    /// Returns a detector with another policy than the usual one.
    pub fn with_policy(policy: Policy) -> PoisonDetector {
        PoisonDetector { policy, ..PoisonDetector::default() }
    }

    /// Returns a detector that looks for responsible features only when
    /// [`PoisonDetector::search`] is called, so that one search can follow many
    /// reports. Otherwise a search follows each change.
    pub fn deferred() -> PoisonDetector {
        PoisonDetector { is_deferred: true, ..PoisonDetector::default() }
    }

    /// Sets when this instance started. It does not count crashes from before,
    /// of which it cannot know all, nor the successes that refute them. The
    /// other instances know more, and tell which features are condemned.
    pub fn with_start(self, started: Instant) -> PoisonDetector {
        PoisonDetector { started: Some(started), ..self }
    }

    /// Returns whether something has changed since the last search.
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Returns the number of interrupted runs that searches have looked at.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Records that a run was lost at an endpoint. If the endpoint is known to
    /// have ended, returns the crash to report to the other instances.
    pub fn record_lost_run(
        &mut self,
        endpoint: &EndpointIncarnation,
        features: impl Into<Features>,
        began: Instant,
        loss: Loss,
        now: Instant,
    ) -> Option<Crash> {
        let ended = self.ended.get(endpoint).copied();
        // A request that was sent to an endpoint known to have ended never ran
        // there.
        if ended.is_some_and(|ended| began >= ended) {
            return None;
        }
        let features = features.into();
        let run = BrokenRun { features, began, broke: now, loss };
        self.broken.entry(endpoint.clone()).or_default().push(run);
        match ended {
            Some(_) => self.endpoint_ended(endpoint, now),
            None => None,
        }
    }

    /// Records that an endpoint has ended. Returns the crash to report to the
    /// other instances if it interrupted runs of this instance.
    pub fn endpoint_ended(
        &mut self,
        endpoint: &EndpointIncarnation,
        now: Instant,
    ) -> Option<Crash> {
        // The end keeps the time at which it became known, however often it is
        // reported.
        self.ended.entry(endpoint.clone()).or_insert(now);
        let broken = self.broken.remove(endpoint)?;
        let mut crash = Crash { endpoint: endpoint.clone(), runs: Vec::new() };
        for run in broken.into_iter().filter(|run| run.is_fresh(now)) {
            let BrokenRun { features, began, broke, loss } = run;
            let is_unanswered = loss == Loss::Unanswered;
            let interruption = evidence::Interruption {
                began,
                broke,
                is_unanswered,
                is_detailed: true,
            };
            self.evidence.add(endpoint, &features, interruption);
            // The successes with these features accompany the report.
            for feature in features.iter() {
                let known = self.known_mut(feature, now);
                known.told = known.told.max(known.succeeded);
            }
            let interruption = Interruption { began, broke };
            let digest = features.request;
            self.recent_interruptions.push((
                endpoint.clone(),
                interruption,
                digest,
            ));
            crash.runs.push(interruption.report(digest, now));
        }
        if crash.runs.is_empty() {
            return None;
        }
        self.update(now);
        Some(crash)
    }

    /// Records that an endpoint was alive at a time. Runs that broke off
    /// before did not end with it.
    pub fn endpoint_alive(
        &mut self,
        endpoint: &EndpointIncarnation,
        at: Instant,
    ) {
        self.ended.remove(endpoint);
        let Some(broken) = self.broken.get_mut(endpoint) else { return };
        broken.retain(|run| run.broke > at);
        if broken.is_empty() {
            self.broken.remove(endpoint);
        }
    }

    /// Records that an endpoint has answered a request that this instance sent
    /// to it at a time. It did not crash before, whoever reported that: the
    /// paths of another instance to it may have been cut. Returns whether a
    /// crash was refuted, which the notes to other instances then report.
    pub fn record_answer(
        &mut self,
        endpoint: &EndpointIncarnation,
        sent: Instant,
        now: Instant,
    ) -> bool {
        if self.ended.get(endpoint).is_some_and(|ended| *ended <= sent) {
            self.ended.remove(endpoint);
        }
        let is_refuted = self.refute_crash(endpoint, sent, now);
        if is_refuted {
            self.answers.insert(endpoint.clone(), sent);
        }
        is_refuted
    }

    /// Drops a crash if its endpoint has answered a request that was sent
    /// later.
    fn refute_crash(
        &mut self,
        endpoint: &EndpointIncarnation,
        sent: Instant,
        now: Instant,
    ) -> bool {
        if !self.evidence.refute(endpoint, sent) {
            return false;
        }
        self.endpoint_alive(endpoint, sent);
        self.update(now);
        true
    }

    /// Returns the endpoints that were wrongly reported as crashed, for the
    /// notes to other instances.
    pub fn answer_details(&self, now: Instant) -> ReportDetails {
        let mut details = ReportDetails::default();
        details.add_answers(self, now);
        details
    }

    /// Records what accompanies the reports that are handled next.
    pub fn record_details(&mut self, details: ReportDetails, now: Instant) {
        for answer in &details.alive {
            let ago = Duration::from_millis(answer.sent_ms_ago);
            if let Some(sent) = now.checked_sub(ago) {
                self.refute_crash(&answer.endpoint, sent, now);
            }
        }
        self.reported_runs = details.runs;
        self.reported_differing_runs = details.differing_runs;
        let successes = details.successes.iter().filter_map(|success| {
            let ago = Duration::from_millis(success.began_ms_ago);
            Some((success.feature, now.checked_sub(ago)?))
        });
        self.reported_successes = successes.collect();
    }

    /// Returns a success that accompanies the report which is being handled.
    fn reported_success(&self, feature: Feature) -> Option<Instant> {
        let mut reported = self.reported_successes.iter();
        reported.find(|(known, _)| *known == feature).map(|(_, began)| *began)
    }

    /// Returns what must accompany the report of a crash. A report that is only
    /// relayed may not have been handled yet.
    pub fn crash_details(&self, crash: &Crash, now: Instant) -> ReportDetails {
        let mut details = ReportDetails::default();
        details.add_crash(self, crash, now);
        details
    }

    /// Returns the features of a run that the report which is being handled
    /// has.
    fn reported_run(
        &self,
        endpoint: &EndpointIncarnation,
        digest: RequestDigest,
    ) -> Option<&RunFeatures> {
        let differing = self.reported_differing_runs.iter().find(|run| {
            run.endpoint == *endpoint && run.features.digest == digest
        });
        let common =
            || self.reported_runs.iter().find(|run| run.digest == digest);
        differing.map(|run| &run.features).or_else(common)
    }

    /// Returns what must accompany the report that a request with a feature
    /// succeeded.
    pub fn success_details(
        &self,
        feature: Feature,
        now: Instant,
    ) -> ReportDetails {
        let mut details = ReportDetails::default();
        details.add_success(self, feature, now);
        details
    }

    /// Records a crash that another instance reports. Returns the crash to
    /// report to the other instances if it interrupted runs of this instance.
    pub fn record_crash(
        &mut self,
        crash: &Crash,
        now: Instant,
    ) -> Option<Crash> {
        let ago = |ms| {
            let time = Duration::from_millis(ms);
            now.checked_sub(time).unwrap_or(now)
        };
        let mut is_new = false;
        let started = self.started;
        let is_counted = |run: &&CrashedRun| {
            started.is_none_or(|started| ago(run.broke_ms_ago) >= started)
        };
        for run in crash.runs.iter().filter(is_counted) {
            let CrashedRun { digest, began_ms_ago, broke_ms_ago } = *run;
            let reported = self.reported_run(&crash.endpoint, digest);
            let shared = reported.map_or(Vec::new(), |r| r.shared.clone());
            let features = Features { request: digest, shared };
            let interruption = evidence::Interruption {
                began: ago(began_ms_ago),
                broke: ago(broke_ms_ago),
                is_unanswered: reported.is_some_and(|r| r.is_unanswered),
                is_detailed: reported.is_some(),
            };
            is_new |=
                self.evidence.add(&crash.endpoint, &features, interruption);
        }
        // A later answer to this instance shows that the endpoint lives.
        if let Some(sent) = self.answers.get(&crash.endpoint).copied() {
            is_new &= !self.evidence.refute(&crash.endpoint, sent);
        }
        if is_new {
            for (feature, began) in self.reported_successes.clone() {
                self.known_mut(feature, now).record_told(began);
            }
            for run in &crash.runs {
                self.find_untold(&crash.endpoint, run.digest, now);
            }
            self.update(now);
        }
        self.endpoint_ended(&crash.endpoint, now)
    }

    /// Notes the features of a reported run that requests of this instance
    /// clear of the evidence of earlier crashes, unless others have told that
    /// too.
    fn find_untold(
        &mut self,
        endpoint: &EndpointIncarnation,
        digest: RequestDigest,
        now: Instant,
    ) {
        let run = self.evidence.run_features(endpoint, digest);
        let shared = run.map_or(Vec::new(), |run| run.shared);
        let features = Features { request: digest, shared };
        for feature in features.iter() {
            let Known { succeeded, told, .. } = *self.known_mut(feature, now);
            let Some(succeeded) = succeeded else { continue };
            let clears_more = self.evidence.breaks(feature).any(|broke| {
                broke <= succeeded && told.is_none_or(|told| broke > told)
            });
            // Other instances hold the feature responsible for one crash
            // fewer than are needed if they know any success.
            let is_first = told.is_none()
                && self.evidence.breaks(feature).nth(1).is_some();
            if clears_more || is_first {
                self.known_mut(feature, now).told = Some(succeeded);
                self.untold.push(feature);
            }
        }
    }

    /// Returns why a feature is condemned, or `None` if it is not.
    pub fn verdict(&self, feature: Feature, now: Instant) -> Option<Verdict> {
        let condemned = self.condemned.get(feature)?;
        let ago = now.saturating_duration_since(condemned.at);
        let is_confirmed = condemned.is_confirmed(now);
        let lasts = match is_confirmed {
            true => CONDEMNED_FOR,
            false => CONFIRMATION_TIME,
        };
        let endpoints = match condemned.endpoints.is_empty() {
            true => self.evidence.endpoints(feature),
            false => condemned.endpoints.clone(),
        };
        Some(Verdict {
            endpoints,
            condemned_ago: ago,
            released_in: lasts.checked_sub(ago)?,
            is_confirmed,
        })
    }

    /// Returns the narrowest condemned feature of a request, and why it is
    /// condemned.
    pub fn find_condemned(
        &self,
        features: &Features,
        now: Instant,
    ) -> Option<(Feature, Verdict)> {
        features
            .iter()
            .find_map(|feature| Some((feature, self.verdict(feature, now)?)))
    }

    /// Returns whether any feature is condemned. Otherwise callers of this
    /// module need not compute the features of a request that is sent.
    pub fn has_condemned(&self) -> bool {
        !self.condemned.is_empty()
    }

    /// Returns whether there is evidence against any request.
    pub fn has_suspects(&self) -> bool {
        !self.evidence.is_empty() || !self.condemned.is_empty()
    }

    /// Returns whether an answer of an endpoint may show that it has not ended.
    pub fn needs_answers(&self) -> bool {
        !self.ended.is_empty() || !self.evidence.is_empty()
    }

    /// Returns whether a request shares a feature with others of which none is
    /// known to have succeeded.
    pub fn has_unproven_part(&self, features: &Features) -> bool {
        features.shared.iter().any(|feature| {
            !self.standing(*feature).has_succeeded
                && self.successes.last_began(*feature).is_none()
        })
    }

    /// Returns whether a run of a request was interrupted by a crash.
    pub fn was_interrupted(&self, request: RequestDigest) -> bool {
        self.evidence.breaks(request).next().is_some()
    }

    /// Returns whether a run with any of these features was lost at an endpoint
    /// of which it is not known whether it has ended.
    pub fn is_undecided(&self, features: &Features) -> bool {
        let lost = self.broken.values().flatten();
        lost.into_iter().any(|run| {
            run.features.iter().any(|lost| features.iter().any(|f| f == lost))
        })
    }

    /// Records that a request of this instance succeeded. Returns whether it
    /// cleared a condemned feature; [`PoisonDetector::take_untold`] then
    /// returns it.
    pub fn record_success(
        &mut self,
        features: &Features,
        began: Instant,
        now: Instant,
    ) -> bool {
        self.successes.requests.record(features.request, began, now);
        for feature in &features.shared {
            self.successes.shared.record(*feature, began, now);
        }
        if !self.has_suspects() {
            return false;
        }
        let (mut has_cleared, mut is_changed) = (false, false);
        for feature in features.iter() {
            let standing = self.standing(feature);
            let may_be_condemned = self.may_be_condemned(feature);
            let Some(known) = self.known.get_mut(&feature) else { continue };
            known.succeeded = known.succeeded.max(Some(began));
            // A crash that was refuted before is not refuted again.
            let refutes_more = !standing.has_succeeded
                || standing.counts_from < Some(began)
                    && standing.counts_from
                        < self.evidence.last_break(feature);
            is_changed |= refutes_more && may_be_condemned;
            let condemned = self.condemned.get(feature);
            if condemned.is_some_and(|condemned| {
                self.evidence.breaks(feature).all(|broke| broke <= began)
                    && (!condemned.is_merged() || condemned.at <= began)
            }) {
                known.told = Some(began);
                known.cleared_at = Some(now);
                self.condemned.remove(feature);
                self.untold.push(feature);
                has_cleared = true;
            }
        }
        if is_changed {
            self.update(now);
        }
        has_cleared
    }

    /// Records that another instance reports a success with a feature. Returns
    /// whether there was evidence against the feature.
    pub fn clear(&mut self, feature: Feature, now: Instant) -> bool {
        let began = self.reported_success(feature);
        let condemned_at = self.condemned.get(feature).map(|c| c.at);
        let is_condemned = condemned_at.is_some();
        let standing = self.standing(feature);
        let had_evidence = is_condemned
            || standing.is_on_probation
            || self.evidence.breaks(feature).any(|broke| {
                standing.counts_from.is_none_or(|from| broke > from)
            });
        if !self.known.contains_key(&feature) && !had_evidence {
            return false;
        }
        let known = self.known_mut(feature, now);
        match began {
            // The success of a request that was sent before the crashes does
            // not refute them.
            Some(began) => {
                known.record_told(began);
                if condemned_at.is_some_and(|at| at <= began) {
                    self.condemned.remove(feature);
                }
            }
            None => {
                known.cleared_at = Some(now);
                known.is_on_probation = false;
                self.condemned.remove(feature);
            }
        }
        let is_changed = self.standing(feature) != standing;
        if is_condemned || is_changed && self.may_be_condemned(feature) {
            self.update(now);
        }
        had_evidence
    }

    /// Releases a condemned feature, so that requests with it are tried again.
    /// An instance that has not heard of the release does not condemn it here
    /// again.
    pub fn release(&mut self, feature: Feature, now: Instant) {
        if self.condemned.remove(feature) {
            let known = self.known_mut(feature, now);
            known.is_on_probation = true;
            known.cleared_at = Some(now);
            known.released_at = Some(now);
            self.update(now);
        }
    }

    /// Merges a feature that another instance has condemned.
    pub fn merge_condemned(
        &mut self,
        condemned: &Condemned,
        now: Instant,
    ) -> MergeOutcome {
        let ago = Duration::from_millis(condemned.ms_ago);
        if ago >= CONDEMNED_FOR {
            return MergeOutcome::AlreadyKnown;
        }
        let at = now.checked_sub(ago).unwrap_or(now);
        let feature = condemned.digest;
        let known = *self.known_mut(feature, now);
        if self.condemned.is_confirmed(feature, now) {
            return MergeOutcome::AlreadyKnown;
        }
        if known.released_at.is_some_and(|released| released >= at) {
            return MergeOutcome::Released;
        }
        let cleared = known.succeeded.max(known.cleared_at);
        if cleared.is_some_and(|cleared| cleared >= at) {
            return MergeOutcome::Refuted;
        }
        let from = self.standing(feature).counts_from;
        let own = self.evidence.endpoints_since(feature, from);
        let is_evident = condemned.endpoints.iter().all(|e| own.contains(e));
        if is_evident && !own.is_empty() {
            // The same crashes lead to a verdict of this instance's own.
            return MergeOutcome::AlreadyKnown;
        }
        self.condemned.merge(feature, at, condemned.endpoints.clone());
        self.update(now);
        MergeOutcome::Added
    }

    /// Returns all condemned features.
    pub fn condemned(&self, now: Instant) -> Vec<Condemned> {
        let confirmed = self.condemned.confirmed(now);
        let condemned = confirmed.filter_map(|(digest, at)| {
            let ms_ago = now.saturating_duration_since(at).as_millis() as u64;
            let endpoints = self.verdict(digest, now)?.endpoints;
            Some(Condemned { digest, ms_ago, endpoints })
        });
        condemned.collect()
    }

    /// Returns the number of condemned features.
    pub fn condemned_len(&self, now: Instant) -> usize {
        self.condemned.confirmed(now).count()
    }

    /// Returns the features that were condemned from evidence since the last
    /// call.
    pub fn take_newly_condemned(&mut self, now: Instant) -> Vec<Feature> {
        self.condemned.take_new(now)
    }

    /// Returns whether a feature was found responsible for crashes and is not
    /// confirmed yet.
    pub fn has_unconfirmed(&self, now: Instant) -> bool {
        self.condemned.has_unconfirmed(now)
    }

    /// Returns the features whose successes the other instances must be told.
    pub fn take_untold(&mut self) -> Vec<Feature> {
        std::mem::take(&mut self.untold)
    }

    /// Returns the recent crashes of this instance's runs, newest first, which
    /// its notes repeat.
    pub fn recent_crashes(&self, now: Instant) -> Vec<Crash> {
        let mut crashes: Vec<Crash> = Vec::new();
        for (endpoint, interruption, digest) in
            self.recent_interruptions.iter().rev().take(MAX_RUNS_PER_NOTE)
        {
            let run = interruption.report(*digest, now);
            match crashes.iter_mut().find(|c| c.endpoint == *endpoint) {
                Some(crash) => crash.runs.push(run),
                None => crashes.push(Crash {
                    endpoint: endpoint.clone(),
                    runs: vec![run],
                }),
            }
        }
        crashes
    }

    /// Removes expired evidence and releases features that have been condemned
    /// for [`CONDEMNED_FOR`].
    pub fn forget(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.broken.retain(|_, runs| {
            runs.retain(|run| run.is_fresh(now));
            !runs.is_empty()
        });
        self.ended.retain(|_, at| age(*at) < ENDED_ENDPOINT_RETENTION);
        self.recent_interruptions.retain(|(_, interruption, _)| {
            age(interruption.broke) < CRASH_REPEATED_FOR
        });
        for feature in self.condemned.expired(now) {
            self.release(feature, now);
        }
        self.answers.retain(|_, sent| age(*sent) < CRASH_REPEATED_FOR);
        self.settle(now);
        self.evidence.forget(now);
        let evidence = &self.evidence;
        self.known.retain(|feature, known| {
            let is_recent =
                known.last.is_some_and(|last| age(last) < CRASH_VALID_FOR);
            evidence.has_feature(*feature)
                || is_recent
                    && (known.cleared_at.is_some()
                        || known.released_at.is_some())
        });
    }

    /// Keeps features that were condemned a while ago, whatever becomes of the
    /// evidence, which is then no longer needed.
    fn settle(&mut self, now: Instant) {
        for feature in self.condemned.unsettled(now) {
            let endpoints = self.evidence.endpoints(feature);
            self.condemned.settle(feature, endpoints);
            self.evidence.remove_feature(feature);
        }
    }

    /// Searches for responsible features, or notes that it must be done.
    fn update(&mut self, now: Instant) {
        self.is_stale = true;
        if !self.is_deferred {
            self.search(now);
        }
    }

    /// Finds out which features explain the crashes that are known now.
    pub fn search(&mut self, now: Instant) {
        self.is_stale = false;
        self.settle(now);
        let standing = |feature| self.standing(feature);
        let is_known = |feature| self.condemned.is_settled(feature);
        let explanations = Explanations::new(
            self.policy,
            &self.evidence,
            &standing,
            &is_known,
        );
        let found = explanations.find(&is_known);
        self.steps += explanations.steps();
        for feature in self.condemned.replace(&found, now) {
            self.known_mut(feature, now).released_at = Some(now);
        }
    }

    /// Returns whether the evidence can condemn a feature, or has done so.
    fn may_be_condemned(&self, feature: Feature) -> bool {
        self.evidence.is_repeated(feature)
            || self.standing(feature).is_on_probation
            || self.condemned.get(feature).is_some()
    }

    fn standing(&self, feature: Feature) -> Standing {
        let known = self.known.get(&feature).copied().unwrap_or_default();
        let succeeded = known.succeeded.max(known.told);
        Standing {
            counts_from: succeeded.max(known.cleared_at),
            has_succeeded: succeeded.is_some(),
            is_on_probation: known.is_on_probation,
        }
    }

    /// Returns what is known of a feature. The success of a request here is
    /// kept for as long as the feature is in the evidence.
    fn known_mut(&mut self, feature: Feature, now: Instant) -> &mut Known {
        let succeeded = self.successes.last_began(feature);
        let known = self.known.entry(feature).or_default();
        known.succeeded = known.succeeded.max(succeeded);
        known.last = Some(now);
        known
    }
}

impl ReportDetails {
    /// Adds what must accompany the report of a crash.
    pub fn add_crash(
        &mut self,
        detector: &PoisonDetector,
        crash: &Crash,
        now: Instant,
    ) {
        let Crash { endpoint, runs } = crash;
        for CrashedRun { digest, .. } in runs {
            self.add_successes(detector, &[*digest], now);
            // A report that is only relayed may not have been handled yet.
            let known = detector.evidence.run_features(endpoint, *digest);
            let reported =
                || detector.reported_run(endpoint, *digest).cloned();
            let Some(run) = known.or_else(reported) else { continue };
            self.add_successes(detector, &run.shared, now);
            self.add_run(endpoint, run);
        }
    }

    fn add_run(&mut self, endpoint: &EndpointIncarnation, run: RunFeatures) {
        match self.runs.iter().find(|known| known.digest == run.digest) {
            None => self.runs.push(run),
            Some(known) if *known == run => {}
            Some(_) => {
                let endpoint = endpoint.clone();
                let differing =
                    EndpointRunFeatures { endpoint, features: run };
                let is_full =
                    self.differing_runs.len() >= MAX_DIFFERING_RUNS_PER_NOTE;
                if !is_full && !self.differing_runs.contains(&differing) {
                    self.differing_runs.push(differing);
                }
            }
        }
    }

    /// Adds the endpoints that were wrongly reported as crashed.
    pub fn add_answers(&mut self, detector: &PoisonDetector, now: Instant) {
        let alive = detector.answers.iter().map(|(endpoint, sent)| {
            let ago = now.saturating_duration_since(*sent);
            let sent_ms_ago = ago.as_millis() as u64;
            ReportedAnswer { endpoint: endpoint.clone(), sent_ms_ago }
        });
        self.alive.extend(alive.take(MAX_ANSWERS_PER_NOTE));
    }

    /// Adds what must accompany the report that a request with a feature
    /// succeeded.
    pub fn add_success(
        &mut self,
        detector: &PoisonDetector,
        feature: Feature,
        now: Instant,
    ) {
        self.add_successes(detector, &[feature], now);
    }

    fn add_successes(
        &mut self,
        detector: &PoisonDetector,
        features: &[Feature],
        now: Instant,
    ) {
        for feature in features {
            if self.successes.iter().any(|s| s.feature == *feature) {
                continue;
            }
            let known = detector.known.get(feature);
            let known = known.and_then(|k| k.succeeded.max(k.told));
            let reported = detector.reported_success(*feature);
            if let Some(began) = known.max(reported) {
                let ago = now.saturating_duration_since(began);
                let began_ms_ago = ago.as_millis() as u64;
                let feature = *feature;
                self.successes.push(ReportedSuccess { feature, began_ms_ago });
            }
        }
    }

    /// Returns whether nothing accompanies the report.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
            && self.successes.is_empty()
            && self.alive.is_empty()
    }
}

impl Known {
    fn record_told(&mut self, began: Instant) {
        self.told = self.told.max(Some(began));
    }
}

impl Successes {
    fn last_began(&self, feature: Feature) -> Option<Instant> {
        let request = self.requests.last_began(feature);
        request.max(self.shared.last_began(feature))
    }
}

impl BrokenRun {
    /// Returns whether the run still counts as interrupted if the end of its
    /// endpoint is detected now.
    fn is_fresh(&self, now: Instant) -> bool {
        let retention = match self.loss {
            Loss::Broken | Loss::Unanswered => BROKEN_RUN_RETENTION,
            Loss::CallerLeft => ABANDONED_RUN_RETENTION,
        };
        now.saturating_duration_since(self.broke) < retention
    }
}

impl Interruption {
    fn report(&self, digest: RequestDigest, now: Instant) -> CrashedRun {
        let ms_ago = |at| now.saturating_duration_since(at).as_millis() as u64;
        CrashedRun {
            digest,
            began_ms_ago: ms_ago(self.began),
            broke_ms_ago: ms_ago(self.broke),
        }
    }
}
