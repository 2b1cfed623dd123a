//! Finds the features that explain crashes: those that several crashes have in
//! common, and that nothing refutes.
//!
//! Whatever runs beside a poison request is interrupted with it. So a feature
//! is held responsible only if it explains more crashes than any other one, and
//! a crash that one feature explains does not count against the others.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

use sedgewall_clock::Instant;

use super::evidence::Evidence;
use crate::{features::Feature, request_digest::RequestDigest};

/// How much evidence a feature needs in order to explain crashes.
#[derive(Clone, Copy, Debug)]
struct Threshold {
    /// Endpoints that crashed.
    endpoints: usize,
    /// Times at which they crashed: endpoints that run a feature at the same
    /// time may crash together for one other cause, such as a power failure.
    times: usize,
    /// Requests that were running there.
    requests: usize,
}

/// A request is retried by its callers; no other one shares all its content.
const REQUEST: Threshold = Threshold { endpoints: 3, times: 2, requests: 1 };

/// A part of prompts must have crashed endpoints in different requests, or
/// else a retried request is the more likely cause.
const SHARED: Threshold = Threshold { endpoints: 2, times: 2, requests: 2 };

/// Crashes that a feature needs beyond those of other features if requests with
/// it have succeeded before.
const MORE_IF_SUCCEEDED: usize = 2;

/// What is known of a feature apart from crashes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Standing {
    /// Crashes up to this time do not count, because a request with the feature
    /// was sent later and succeeded, or because the feature was released.
    pub(super) counts_from: Option<Instant>,
    /// Whether a request with the feature is known to have succeeded.
    pub(super) has_succeeded: bool,
    /// Whether one crash suffices, because the feature was held responsible
    /// before.
    pub(super) is_on_probation: bool,
}

/// A crash under a feature.
#[derive(Clone, Copy, Debug)]
struct Occurrence {
    crash: usize,
    began: Instant,
    broke: Instant,
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
    /// The separate times at which endpoints crashed.
    times: usize,
    meets_threshold: bool,
    is_on_probation: bool,
}

impl Candidate {
    /// Returns whether the feature may be held responsible, or prevents that
    /// another one is. Any other feature has occurred in one crash at most.
    fn is_relevant(&self) -> bool {
        self.times > 1 || self.meets_threshold
    }

    fn is_condemned_again(&self) -> bool {
        self.is_on_probation && self.meets_threshold
    }
}

/// All crashes by feature.
pub(super) struct Explanations<'a> {
    evidence: &'a Evidence,
    standing: &'a dyn Fn(Feature) -> Standing,
    by_feature: HashMap<Feature, Occurrences>,
}

impl<'a> Explanations<'a> {
    pub(super) fn new(
        evidence: &'a Evidence,
        standing: &'a dyn Fn(Feature) -> Standing,
    ) -> Explanations<'a> {
        let mut by_feature: HashMap<Feature, Occurrences> = HashMap::new();
        for (n, crash) in evidence.crashes().enumerate() {
            for (request, run) in &crash.runs {
                for feature in run.features(*request) {
                    let of_feature = by_feature.entry(feature).or_default();
                    of_feature.is_request |= feature == *request;
                    of_feature.all.push(Occurrence {
                        crash: n,
                        began: run.began,
                        broke: run.broke,
                        request: *request,
                    });
                }
            }
        }
        Explanations { evidence, standing, by_feature }
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
                self.candidate(*feature, of, &explained, responsible)
            })
            .filter(Candidate::is_relevant)
            .collect();
        candidates.sort_unstable_by_key(|candidate| {
            (Reverse(candidate.times), candidate.feature)
        });
        let again = candidates.iter().find(|c| c.is_condemned_again());
        if let Some(candidate) = again {
            return Some(candidate.feature);
        }
        let best = candidates.iter().find(|candidate| {
            candidate.meets_threshold
                && candidates
                    .iter()
                    .take_while(|other| other.times >= candidate.times)
                    .filter(|other| other.feature != candidate.feature)
                    .all(|other| {
                        self.is_broader(other.feature, candidate.feature)
                            || self.meets_threshold_without(
                                candidate.feature,
                                other.feature,
                                responsible,
                            )
                    })
        });
        best.map(|candidate| candidate.feature)
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
        self.candidate(feature, of, &explained, &responsible)
            .is_some_and(|candidate| candidate.meets_threshold)
    }

    /// Returns the crashes under any of these features.
    fn explained(&self, responsible: &HashSet<Feature>) -> HashSet<usize> {
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
        responsible: &HashSet<Feature>,
    ) -> Option<Candidate> {
        let standing = (self.standing)(feature);
        let counts = |occurrence: &&Occurrence| {
            standing.counts_from.is_none_or(|from| occurrence.broke > from)
        };
        // Crashes that a whole request explains still count against its parts:
        // a request that is retried may be held responsible before any other
        // one with the same part is sent.
        let is_open = |occurrence: &&Occurrence| {
            !explained.contains(&occurrence.crash)
                || (!of.is_request
                    && responsible.contains(&occurrence.request))
        };
        let open: Vec<&Occurrence> =
            of.all.iter().filter(counts).filter(is_open).collect();
        if open.iter().all(|o| explained.contains(&o.crash)) {
            return None;
        }
        let endpoints = distinct(open.iter().map(|o| o.crash));
        let requests = distinct(open.iter().map(|o| o.request));
        let times = separate_times(&open);
        let threshold = threshold(of.is_request, standing);
        let meets_threshold = endpoints >= threshold.endpoints
            && times >= threshold.times
            && requests >= threshold.requests;
        let is_on_probation = standing.is_on_probation;
        Some(Candidate { feature, times, meets_threshold, is_on_probation })
    }

    /// Returns whether each interrupted run with the feature `narrow` also had
    /// the feature `broad`, as a broader one.
    fn is_broader(&self, broad: Feature, narrow: Feature) -> bool {
        let runs = self.evidence.crashes().flat_map(|crash| &crash.runs);
        let mut with_narrow = runs.filter(|(request, run)| {
            **request == narrow || run.shared.contains(&narrow)
        });
        with_narrow.all(|(request, run)| {
            let mut features = run.features(*request);
            features.any(|feature| feature == narrow)
                && features.any(|feature| feature == broad)
        })
    }
}

fn threshold(is_request: bool, standing: Standing) -> Threshold {
    if standing.is_on_probation {
        return Threshold { endpoints: 1, times: 1, requests: 1 };
    }
    let usual = if is_request { REQUEST } else { SHARED };
    let more = if standing.has_succeeded { MORE_IF_SUCCEEDED } else { 0 };
    Threshold {
        endpoints: usual.endpoints + more,
        times: usual.times + more,
        requests: usual.requests,
    }
}

fn distinct<T: Eq + std::hash::Hash>(
    values: impl Iterator<Item = T>,
) -> usize {
    values.collect::<HashSet<T>>().len()
}

/// Returns the number of crashes that are separate in time: each of them under
/// a run that was sent after the crash before.
fn separate_times(occurrences: &[&Occurrence]) -> usize {
    let mut times: Vec<(Instant, Instant)> =
        occurrences.iter().map(|o| (o.broke, o.began)).collect();
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
