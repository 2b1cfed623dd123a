//! Crashes of endpoints, and the runs that they interrupted.
//!
//! The invariants: what is kept does not depend on the order in which reports
//! arrive, nor on how often they do; its size is bounded; and the index of
//! features agrees with the runs.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;

use super::{CRASH_VALID_FOR, RunFeatures};
use crate::{
    features::{Feature, Features},
    incarnation::EndpointIncarnation,
    request_digest::RequestDigest,
};

/// Maximum number of interrupted runs that are kept; those of the oldest crash
/// are evicted first. A crash interrupts all runs on its endpoint, about 32.
/// They take 1 MB.
const MAX_RUNS: usize = 4_096;

/// Maximum number of runs of one crash.
const MAX_RUNS_PER_CRASH: usize = 256;

/// Maximum number of runs of one request on one endpoint that are told apart.
const MAX_RUNS_PER_REQUEST: usize = 16;

/// How much the durations of one run may differ between reports, which give
/// times in whole milliseconds.
const DURATION_ERROR: Duration = Duration::from_millis(2);

/// Crashes of endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: HashMap<EndpointIncarnation, CrashRecord>,
    runs_len: usize,
    /// The runs with each feature, by the endpoint that crashed.
    by_feature: HashMap<Feature, HashMap<EndpointIncarnation, RunSpan>>,
}

/// The times of the runs with one feature that one crash interrupted.
#[derive(Clone, Copy, Debug)]
struct RunSpan {
    last_began: Instant,
    first_broke: Instant,
    last_broke: Instant,
}

/// A crash, and the runs that it interrupted at all instances.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    /// When the first run broke off.
    at: Instant,
    pub(super) runs: HashMap<RequestDigest, RunRecord>,
}

/// The interrupted runs of one request on one endpoint.
#[derive(Clone, Debug)]
pub(super) struct RunRecord {
    /// When the last of them was sent.
    pub(super) began: Instant,
    /// When the last of them broke off.
    pub(super) broke: Instant,
    /// When each of them was sent and broke off.
    intervals: Vec<(Instant, Instant)>,
    /// The features that the request shares with others, from the narrowest to
    /// the broadest.
    pub(super) shared: Vec<Feature>,
    /// Whether the endpoint is known not to have begun any of their answers.
    pub(super) is_unanswered: bool,
    /// Whether any report had the features.
    is_detailed: bool,
}

/// When a run was sent and interrupted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Interruption {
    pub(super) began: Instant,
    pub(super) broke: Instant,
    /// Whether the endpoint is known not to have begun the answer.
    pub(super) is_unanswered: bool,
    /// Whether the report had the features. Those of earlier releases have not.
    pub(super) is_detailed: bool,
}

impl Evidence {
    /// Adds an interrupted run. Returns whether that is new.
    pub(super) fn add(
        &mut self,
        endpoint: &EndpointIncarnation,
        features: &Features,
        interruption: Interruption,
    ) -> bool {
        let Interruption { began, broke, is_unanswered, is_detailed } =
            interruption;
        let crash =
            self.crashes.entry(endpoint.clone()).or_insert_with(|| {
                CrashRecord { at: broke, runs: HashMap::new() }
            });
        crash.at = crash.at.min(broke);
        let len = crash.runs.len();
        let Features { request, shared } = features;
        if let Some(run) = crash.runs.get_mut(request) {
            let is_retimed = run.add_interval(began, broke);
            let has_features = is_detailed && !run.is_detailed;
            let was_unanswered = run.is_unanswered;
            if has_features {
                run.shared = shared.clone();
                run.is_unanswered = is_unanswered;
                run.is_detailed = true;
            } else if is_detailed {
                run.is_unanswered &= is_unanswered;
            }
            let is_changed = is_retimed
                || has_features
                || was_unanswered != run.is_unanswered;
            if is_changed {
                let features: Vec<Feature> = run.features(*request).collect();
                self.index(endpoint, &features);
            }
            return is_changed;
        }
        if len >= MAX_RUNS_PER_CRASH {
            return false;
        }
        let shared = shared.clone();
        let run = RunRecord {
            began,
            broke,
            intervals: vec![(began, broke)],
            shared,
            is_unanswered,
            is_detailed,
        };
        crash.runs.insert(*request, run);
        self.runs_len += 1;
        let features: Vec<Feature> = features.iter().collect();
        self.index(endpoint, &features);
        self.evict(endpoint);
        true
    }

    /// Brings the index of these features up to date with the runs of a crash.
    fn index(&mut self, endpoint: &EndpointIncarnation, features: &[Feature]) {
        let Some(crash) = self.crashes.get(endpoint) else { return };
        for feature in features {
            let Some(span) = crash.span(*feature) else { continue };
            let crashes = self.by_feature.entry(*feature).or_default();
            crashes.insert(endpoint.clone(), span);
        }
    }

    /// Evicts the oldest crashes beyond the limit, except the given one.
    fn evict(&mut self, kept: &EndpointIncarnation) {
        while self.runs_len > MAX_RUNS {
            let others = self.crashes.iter().filter(|(id, _)| *id != kept);
            let oldest = others.min_by_key(|(_, crash)| crash.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            self.remove(&id);
        }
    }

    fn remove(&mut self, endpoint: &EndpointIncarnation) {
        let Some(crash) = self.crashes.remove(endpoint) else { return };
        self.runs_len -= crash.runs.len();
        for (request, run) in &crash.runs {
            for feature in run.features(*request) {
                let Some(crashes) = self.by_feature.get_mut(&feature) else {
                    continue;
                };
                crashes.remove(endpoint);
                if crashes.is_empty() {
                    self.by_feature.remove(&feature);
                }
            }
        }
    }

    /// Drops crashes that are too old to count.
    pub(super) fn forget(&mut self, now: Instant) {
        let is_old = |crash: &CrashRecord| {
            now.saturating_duration_since(crash.at) >= CRASH_VALID_FOR
        };
        let crashes = self.crashes.iter();
        let old: Vec<EndpointIncarnation> = crashes
            .filter(|(_, crash)| is_old(crash))
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            self.remove(&id);
        }
    }

    /// Drops a crash after whose last run its endpoint was sent a request that
    /// it answered. Returns whether there is such a crash.
    pub(super) fn refute(
        &mut self,
        endpoint: &EndpointIncarnation,
        sent: Instant,
    ) -> bool {
        let crash = self.crashes.get(endpoint);
        let is_refuted = crash.is_some_and(|crash| {
            crash.runs.values().all(|run| run.broke < sent)
        });
        if is_refuted {
            self.remove(endpoint);
        }
        is_refuted
    }

    /// Drops the crashes under a feature.
    pub(super) fn remove_feature(&mut self, feature: Feature) {
        for endpoint in self.endpoints(feature) {
            self.remove(&endpoint);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(super) fn crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.values()
    }

    /// Returns the features of a request that ran on an endpoint that crashed,
    /// if any report had them.
    pub(super) fn run_features(
        &self,
        endpoint: &EndpointIncarnation,
        digest: RequestDigest,
    ) -> Option<RunFeatures> {
        let run = self.crashes.get(endpoint)?.runs.get(&digest)?;
        let shared = run.shared.clone();
        let is_unanswered = run.is_unanswered;
        run.is_detailed.then_some(RunFeatures {
            digest,
            shared,
            is_unanswered,
        })
    }

    /// Returns the endpoints that crashed under a feature.
    pub(super) fn endpoints(
        &self,
        feature: Feature,
    ) -> Vec<EndpointIncarnation> {
        self.endpoints_since(feature, None)
    }

    /// Returns the endpoints that crashed under a feature after a time.
    pub(super) fn endpoints_since(
        &self,
        feature: Feature,
        from: Option<Instant>,
    ) -> Vec<EndpointIncarnation> {
        let crashes = self.by_feature.get(&feature).into_iter().flatten();
        let mut endpoints: Vec<EndpointIncarnation> = crashes
            .filter(|(_, span)| Some(span.last_broke) > from)
            .map(|(id, _)| id.clone())
            .collect();
        endpoints.sort_unstable();
        endpoints
    }

    /// Returns whether a feature occurs in any crash.
    pub(super) fn has_feature(&self, feature: Feature) -> bool {
        self.by_feature.contains_key(&feature)
    }

    /// Returns all features that occur in any crash.
    pub(super) fn features(&self) -> impl Iterator<Item = Feature> + '_ {
        self.by_feature.keys().copied()
    }

    /// Returns whether a run with a feature was sent after another one had been
    /// interrupted by another crash.
    pub(super) fn is_repeated(&self, feature: Feature) -> bool {
        let Some(crashes) = self.by_feature.get(&feature) else {
            return false;
        };
        let first = crashes.values().map(|span| span.first_broke).min();
        let last = crashes.values().map(|span| span.last_began).max();
        crashes.len() > 1 && last >= first
    }

    /// Returns when the last run with a feature broke off.
    pub(super) fn last_break(&self, feature: Feature) -> Option<Instant> {
        self.breaks(feature).max()
    }

    /// Returns the crashes under a feature.
    pub(super) fn crashes_under(
        &self,
        feature: Feature,
    ) -> impl Iterator<Item = &CrashRecord> {
        let endpoints = self.by_feature.get(&feature).into_iter().flatten();
        endpoints.filter_map(|(endpoint, _)| self.crashes.get(endpoint))
    }

    /// Returns when the runs with a feature broke off.
    pub(super) fn breaks(
        &self,
        feature: Feature,
    ) -> impl Iterator<Item = Instant> {
        let crashes = self.by_feature.get(&feature).into_iter().flatten();
        crashes.map(|(_, span)| span.last_broke)
    }
}

impl CrashRecord {
    /// Returns the times of the runs with a feature, if there are any.
    fn span(&self, feature: Feature) -> Option<RunSpan> {
        let runs = self.runs.iter().filter(|(request, run)| {
            **request == feature || run.shared.contains(&feature)
        });
        let spans = runs.map(|(_, run)| RunSpan {
            last_began: run.began,
            first_broke: run.broke,
            last_broke: run.broke,
        });
        spans.reduce(|all, run| RunSpan {
            last_began: all.last_began.max(run.last_began),
            first_broke: all.first_broke.min(run.first_broke),
            last_broke: all.last_broke.max(run.last_broke),
        })
    }
}

impl RunRecord {
    /// Adds a run, or another report of one. A report that was read late, such
    /// as by an instance that was suspended, shows the run later than it was,
    /// but with the same duration, so that the earliest report counts. Returns
    /// whether that is new.
    fn add_interval(&mut self, began: Instant, broke: Instant) -> bool {
        let duration = broke.saturating_duration_since(began);
        let same = self.intervals.iter().position(|(began, broke)| {
            let known = broke.saturating_duration_since(*began);
            known.abs_diff(duration) <= DURATION_ERROR
        });
        match same {
            Some(n) if self.intervals[n].1 <= broke => return false,
            Some(n) => self.intervals[n] = (began, broke),
            None if self.intervals.len() >= MAX_RUNS_PER_REQUEST => {
                return false;
            }
            None => self.intervals.push((began, broke)),
        }
        let began = self.intervals.iter().map(|(began, _)| *began).max();
        let broke = self.intervals.iter().map(|(_, broke)| *broke).max();
        self.began = began.unwrap_or(self.began);
        self.broke = broke.unwrap_or(self.broke);
        true
    }

    /// Returns the features of the run of a request, from the narrowest to the
    /// broadest.
    pub(super) fn features(
        &self,
        request: RequestDigest,
    ) -> impl Iterator<Item = Feature> + '_ {
        std::iter::once(request).chain(self.shared.iter().copied())
    }
}
