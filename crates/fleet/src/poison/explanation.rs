//! Finds the features that explain crashes: those that several crashes have in
//! common, and that nothing refutes.
//!
//! Whatever runs beside a poison request is interrupted with it. So a feature
//! is held responsible only if it explains more crashes than any other one, and
//! a crash that one feature explains does not count against the others.

use std::{
    cell::Cell,
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

use sedgewall_clock::Instant;

use super::evidence::{Evidence, RunRecord};
use crate::{features::Feature, request_digest::RequestDigest};

/// Endpoints that must have crashed under a request that its callers retry. No
/// other request shares all its content.
const REQUEST_CRASHES: usize = 3;

/// Times at which they must have crashed. Endpoints that run a request at the
/// same time may crash together for one other cause, such as a power failure.
const REQUEST_TIMES: usize = 2;

/// Requests with a part of prompts that must have crashed endpoints. If all
/// were tries of one request, that request is the more likely cause.
const SHARED_REQUESTS: usize = 2;

/// Crashes that a part needs beyond those of other parts if each of its requests
/// has a narrower one too. Nearly all requests may have such a part, so that
/// several poison requests may have it in common.
const MORE_IF_BROAD: usize = 3;

/// Crashes that several features explain equally well, after which one of them
/// is held responsible.
const UNDECIDED_CRASHES: usize = 5;

/// How much evidence condemns a feature.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Crashes that a part of prompts must explain, at different endpoints and
    /// times.
    pub crashes: usize,
    /// The same if all of them came before an answer had begun. Other requests
    /// on the endpoint are rarely in this state when it crashes.
    pub unanswered_crashes: usize,
    /// Crashes that a feature needs beyond those of other features if requests
    /// with it have succeeded before.
    pub more_if_succeeded: usize,
    /// The same if the crashes came before an answer had begun.
    pub more_unanswered_if_succeeded: usize,
    /// Whether a feature must explain more crashes than any other one, and a
    /// crash that one feature explains does not count against others.
    pub is_exclusive: bool,
    /// Whether features are weighed too that no evidence can condemn, because
    /// they occurred once or at one moment. It changes no verdict.
    pub weighs_all: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            crashes: 3,
            unanswered_crashes: 2,
            more_if_succeeded: 2,
            more_unanswered_if_succeeded: 1,
            is_exclusive: true,
            weighs_all: false,
        }
    }
}

/// What is known of a feature apart from crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Standing {
    /// Crashes up to this time do not count, because a request with the feature
    /// was sent later and succeeded, or because the feature was released.
    pub(super) counts_from: Option<Instant>,
    /// Whether a request with the feature is known to have succeeded.
    pub(super) has_succeeded: bool,
    /// Whether one crash suffices for a whole request, because it was held
    /// responsible before.
    pub(super) is_on_probation: bool,
}

/// A crash under a feature.
#[derive(Clone, Copy, Debug)]
struct Occurrence {
    crash: usize,
    began: Instant,
    broke: Instant,
    is_unanswered: bool,
    /// Whether the request has no narrower feature in common with others.
    is_narrowest: bool,
    request: RequestDigest,
}

/// The occurrences of one feature.
#[derive(Debug, Default)]
struct Occurrences {
    all: Vec<Occurrence>,
    is_request: bool,
}

/// A feature, and the evidence against it.
struct Candidate {
    feature: Feature,
    /// How much speaks for the feature as the cause: the separate times at which
    /// endpoints crashed, and those before an answer had begun once more.
    weight: usize,
    is_request: bool,
    /// The number of crashes.
    crashes: usize,
    /// Whether endpoints crashed at several times.
    is_repeated: bool,
    meets_threshold: bool,
    has_succeeded: bool,
    is_on_probation: bool,
}

impl Candidate {
    /// Returns whether the feature may be held responsible, or prevents that
    /// another one is. Any other feature has occurred in one crash at most.
    fn is_relevant(&self) -> bool {
        self.is_repeated || self.meets_threshold
    }

    fn is_condemned_again(&self) -> bool {
        self.is_on_probation && self.meets_threshold
    }
}

/// All crashes by feature.
pub(super) struct Explanations<'a> {
    policy: Policy,
    evidence: &'a Evidence,
    standing: &'a dyn Fn(Feature) -> Standing,
    by_feature: HashMap<Feature, Occurrences>,
    /// The number of runs that were looked at.
    steps: Cell<u64>,
}

impl<'a> Explanations<'a> {
    /// Returns the crashes under all features that may be condemned, or that
    /// `is_known` to be responsible.
    pub(super) fn new(
        policy: Policy,
        evidence: &'a Evidence,
        standing: &'a dyn Fn(Feature) -> Standing,
        is_known: &dyn Fn(Feature) -> bool,
    ) -> Explanations<'a> {
        let is_weighed = |feature: &Feature| {
            policy.weighs_all
                || evidence.is_repeated(*feature)
                || is_known(*feature)
                || standing(*feature).is_on_probation
        };
        let mut by_feature: HashMap<Feature, Occurrences> = evidence
            .features()
            .filter(is_weighed)
            .map(|feature| (feature, Occurrences::default()))
            .collect();
        let mut steps = evidence.features().count() as u64;
        if by_feature.is_empty() {
            let steps = Cell::new(steps);
            return Explanations {
                policy,
                evidence,
                standing,
                by_feature,
                steps,
            };
        }
        for (n, crash) in evidence.crashes().enumerate() {
            for (request, run) in &crash.runs {
                for feature in run.features(*request) {
                    steps += 1;
                    let Some(of_feature) = by_feature.get_mut(&feature) else {
                        continue;
                    };
                    of_feature.is_request |= feature == *request;
                    of_feature.all.push(Occurrence {
                        crash: n,
                        began: run.began,
                        broke: run.broke,
                        is_unanswered: run.is_unanswered,
                        is_narrowest: run.shared.first() == Some(&feature),
                        request: *request,
                    });
                }
            }
        }
        let steps = Cell::new(steps);
        Explanations { policy, evidence, standing, by_feature, steps }
    }

    /// Returns the number of runs that were looked at so far.
    pub(super) fn steps(&self) -> u64 {
        self.steps.get()
    }

    fn count_steps(&self, runs: usize) {
        self.steps.set(self.steps.get() + runs as u64);
    }

    /// Returns the features that explain the crashes which none of those that
    /// are known to be responsible explains.
    pub(super) fn find(
        &self,
        is_known: &dyn Fn(Feature) -> bool,
    ) -> Vec<Feature> {
        let features = self.by_feature.keys().copied();
        let mut responsible: HashSet<Feature> =
            features.filter(|feature| is_known(*feature)).collect();
        let mut found = Vec::new();
        while let Some(feature) = self.best(&responsible) {
            responsible.insert(feature);
            found.push(feature);
        }
        found
    }

    /// Returns the feature that alone explains the most unexplained crashes,
    /// if it meets its threshold.
    fn best(&self, responsible: &HashSet<Feature>) -> Option<Feature> {
        let explained = self.explained(responsible);
        let mut candidates: Vec<Candidate> = self
            .by_feature
            .iter()
            .filter(|(feature, _)| !responsible.contains(*feature))
            .filter_map(|(feature, of)| {
                self.candidate(*feature, of, &explained)
            })
            .filter(Candidate::is_relevant)
            .collect();
        candidates.sort_unstable_by_key(|candidate| {
            let Candidate { weight, has_succeeded, feature, .. } = *candidate;
            (Reverse(weight), has_succeeded, feature)
        });
        let again = candidates.iter().find(|c| c.is_condemned_again());
        if let Some(candidate) = again {
            return Some(candidate.feature);
        }
        let best = candidates.iter().find(|candidate| {
            candidate.meets_threshold
                && (!self.policy.is_exclusive
                    || self.is_best(candidate, &candidates, responsible))
        });
        best.map(|candidate| candidate.feature)
    }

    /// Returns whether no other feature explains the crashes under this one as
    /// well or better.
    fn is_best(
        &self,
        candidate: &Candidate,
        candidates: &[Candidate],
        responsible: &HashSet<Feature>,
    ) -> bool {
        let feature = candidate.feature;
        let mut others =
            candidates.iter().filter(|other| other.feature != feature);
        others.all(|other| {
            if self.is_broader(feature, other.feature) {
                // The narrower one concerns fewer requests. Another cause may
                // add one crash to those of the broader one.
                return !other.meets_threshold
                    && (other.is_request
                        || other.crashes + 1 < candidate.crashes);
            }
            other.weight < candidate.weight
                || candidate.crashes >= UNDECIDED_CRASHES
                    && other.weight == candidate.weight
                || self.is_broader(other.feature, feature)
                || self.meets_threshold_without(
                    feature,
                    other.feature,
                    responsible,
                )
        })
    }

    /// Returns whether a feature meets its threshold even if another one is
    /// responsible for the crashes that they have in common.
    fn meets_threshold_without(
        &self,
        feature: Feature,
        other: Feature,
        responsible: &HashSet<Feature>,
    ) -> bool {
        let mut responsible = responsible.clone();
        responsible.insert(other);
        let explained = self.explained(&responsible);
        let of = &self.by_feature[&feature];
        self.candidate(feature, of, &explained)
            .is_some_and(|candidate| candidate.meets_threshold)
    }

    /// Returns the crashes under any of these features.
    fn explained(&self, responsible: &HashSet<Feature>) -> HashSet<usize> {
        if !self.policy.is_exclusive {
            return HashSet::new();
        }
        let features =
            responsible.iter().filter_map(|f| self.by_feature.get(f));
        let occurrences = features.flat_map(|of| &of.all);
        occurrences.map(|occurrence| occurrence.crash).collect()
    }

    fn candidate(
        &self,
        feature: Feature,
        of: &Occurrences,
        explained: &HashSet<usize>,
    ) -> Option<Candidate> {
        self.count_steps(of.all.len());
        let standing = (self.standing)(feature);
        let counts = |occurrence: &&Occurrence| {
            standing.counts_from.is_none_or(|from| occurrence.broke > from)
        };
        let is_open =
            |occurrence: &&Occurrence| !explained.contains(&occurrence.crash);
        let open: Vec<&Occurrence> =
            of.all.iter().filter(counts).filter(is_open).collect();
        if open.is_empty() {
            return None;
        }
        let counted = match of.is_request {
            true => open.clone(),
            false => by_new_requests(&open),
        };
        let times = separate_times(counted.iter().copied());
        let unanswered = open.iter().copied().filter(|o| o.is_unanswered);
        let unanswered: Vec<&Occurrence> = unanswered.collect();
        let unanswered = match of.is_request {
            true => unanswered,
            false => by_new_requests(&unanswered),
        };
        let unanswered = separate_times(unanswered.iter().copied());
        // Any crash interrupts runs with a popular part, so that one crash does
        // not condemn a part again.
        let is_on_probation = standing.is_on_probation && of.is_request;
        let meets_threshold = match (is_on_probation, of.is_request) {
            (true, _) => true,
            (false, true) => self.condemns_request(&open, times, standing),
            (false, false) => {
                let requests = distinct(open.iter().map(|o| o.request));
                requests >= SHARED_REQUESTS
                    && self.condemns_shared(&open, times, unanswered, standing)
            }
        };
        Some(Candidate {
            feature,
            weight: times + unanswered,
            is_request: of.is_request,
            crashes: distinct(open.iter().map(|o| o.crash)),
            is_repeated: times > 1,
            meets_threshold,
            has_succeeded: standing.has_succeeded,
            is_on_probation,
        })
    }

    fn condemns_request(
        &self,
        open: &[&Occurrence],
        times: usize,
        standing: Standing,
    ) -> bool {
        let more = match standing.has_succeeded {
            true => self.policy.more_if_succeeded,
            false => 0,
        };
        distinct(open.iter().map(|o| o.crash)) >= REQUEST_CRASHES + more
            && times >= REQUEST_TIMES + more
    }

    fn condemns_shared(
        &self,
        open: &[&Occurrence],
        times: usize,
        unanswered: usize,
        standing: Standing,
    ) -> bool {
        let policy = &self.policy;
        let (more, more_unanswered) = match standing.has_succeeded {
            true => {
                (policy.more_if_succeeded, policy.more_unanswered_if_succeeded)
            }
            false => (0, 0),
        };
        let broad = match open.iter().any(|o| o.is_narrowest) {
            true => 0,
            false => MORE_IF_BROAD,
        };
        let needed = policy.crashes + more + broad;
        let needed_unanswered =
            policy.unanswered_crashes + more_unanswered + broad;
        times >= needed || unanswered >= needed_unanswered
    }

    /// Returns whether each crash under the feature `narrow` interrupted a run
    /// with it that also had the feature `broad`, as a broader one.
    fn is_broader(&self, broad: Feature, narrow: Feature) -> bool {
        let has_both = |request: &RequestDigest, run: &RunRecord| {
            let mut features = run.features(*request);
            features.any(|feature| feature == narrow)
                && features.any(|feature| feature == broad)
        };
        let mut crashes = self.evidence.crashes_under(narrow);
        crashes.all(|crash| {
            self.count_steps(crash.runs.len());
            crash.runs.iter().any(|(request, run)| has_both(request, run))
        })
    }
}

fn distinct<T: Eq + std::hash::Hash>(
    values: impl Iterator<Item = T>,
) -> usize {
    values.collect::<HashSet<T>>().len()
}

/// Returns the occurrences of the crashes that interrupted a request with which
/// no earlier crash had occurred. If the same request is in several crashes,
/// the request itself may be their cause rather than a part of it.
fn by_new_requests<'a>(open: &[&'a Occurrence]) -> Vec<&'a Occurrence> {
    let mut sorted = open.to_vec();
    sorted.sort_unstable_by_key(|o| (o.broke, o.crash));
    let mut first_crash: HashMap<RequestDigest, usize> = HashMap::new();
    for occurrence in &sorted {
        first_crash.entry(occurrence.request).or_insert(occurrence.crash);
    }
    let counted: HashSet<usize> = first_crash.into_values().collect();
    sorted.retain(|occurrence| counted.contains(&occurrence.crash));
    sorted
}

/// Returns the number of crashes that are separate in time: each of them under
/// a run that was sent after the crash before. Of each crash, the run counts
/// that broke off last: others may have been lost before for another cause.
fn separate_times<'a>(
    occurrences: impl Iterator<Item = &'a Occurrence>,
) -> usize {
    let mut by_crash: HashMap<usize, (Instant, Instant)> = HashMap::new();
    for occurrence in occurrences {
        let times = (occurrence.broke, occurrence.began);
        let last = by_crash.entry(occurrence.crash).or_insert(times);
        *last = times.max(*last);
    }
    let mut times: Vec<(Instant, Instant)> = by_crash.into_values().collect();
    times.sort_unstable();
    let mut separate = 0;
    let mut last: Option<Instant> = None;
    for (broke, began) in times {
        if last.is_none_or(|last| began >= last) {
            separate += 1;
            last = Some(broke);
        }
    }
    separate
}
