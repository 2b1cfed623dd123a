//! Detects poison requests: requests that crash the endpoints that run them.
//!
//! A poison request crashes each endpoint that starts to run it, together with
//! everything else that runs there, and is retried with another id, at any
//! instance. So each instance records which of its runs broke off when their
//! endpoint ended, and reports them to all others; this module decides from
//! what all instances saw.
//!
//! The invariants: a connection that was reset by an endpoint that lives on
//! does not count; endpoints that end at the same time count as one cause; and
//! a run that succeeds clears its request of all evidence.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::{incarnation::EndpointIncarnation, request_digest::RequestDigest};

/// Number of endpoints that must have ended while they ran a request before it
/// is condemned. The requirements allow a request to crash three endpoints.
const CRASHES_TO_CONDEMN: usize = 3;

/// Number of separate times at which these endpoints must have ended. A power
/// failure ends all endpoints of a rack at once. A harmless request that many
/// callers send was then running on several of them.
const SEPARATE_CRASHES_TO_CONDEMN: usize = 2;

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

/// Maximum number of suspected requests; the oldest is evicted first. A crash
/// interrupts all requests on its endpoint, about 32. The table takes 1 MB.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of condemned requests; the oldest is evicted first.
const MAX_CONDEMNED: usize = 1_024;

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

/// A condemned request, as instances send it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condemned {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// Time since the request was condemned, in milliseconds.
    pub ms_ago: u64,
    /// The endpoints that ended while they ran the request.
    pub endpoints: Vec<EndpointIncarnation>,
}

/// Why a request is not sent to any endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The endpoints that ended while they ran the request.
    pub endpoints: Vec<EndpointIncarnation>,
    /// Time since the request was condemned.
    pub condemned_ago: Duration,
    /// Time until the request is tried again.
    pub released_in: Duration,
}

/// How a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection broke or timed out.
    Broken,
    /// The caller closed its connection.
    CallerLeft,
}

/// Evidence against requests whose endpoints ended.
#[derive(Clone, Debug, Default)]
pub struct PoisonDetector {
    /// Runs that broke off, until it is known whether their endpoint has
    /// ended.
    broken: HashMap<EndpointIncarnation, Vec<BrokenRun>>,
    /// Endpoints that ended recently.
    ended: HashMap<EndpointIncarnation, Instant>,
    suspects: HashMap<RequestDigest, Suspect>,
    /// Interrupted runs of this instance that its notes report again.
    recent_interruptions:
        Vec<(EndpointIncarnation, Interruption, RequestDigest)>,
    /// Requests that were condemned since the last call of
    /// [`PoisonDetector::take_newly_condemned`].
    newly_condemned: Vec<RequestDigest>,
}

#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    digest: RequestDigest,
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

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Keyed by endpoint, so that a repeated report counts once. Crashes from
    /// before a successful run are retained but no longer count.
    interruptions: HashMap<EndpointIncarnation, (Interruption, Evidence)>,
    condemned_at: Option<Instant>,
    /// Whether the request was condemned before, so that one more crash
    /// condemns it again.
    is_on_probation: bool,
    /// Time of the last release.
    released_at: Option<Instant>,
    /// Time of the last successful run.
    cleared_at: Option<Instant>,
    last: Option<Instant>,
}

/// Result of merging a condemned request of another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The request is now condemned here too.
    Added,
    /// The request was already condemned here, or no longer is.
    AlreadyKnown,
    /// A run has succeeded since the request was condemned. The other
    /// instances must be told.
    Refuted,
    /// The request was released since it was condemned. The other instance has
    /// not heard of that yet.
    Released,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    Valid,
    Cleared,
}

impl PoisonDetector {
    /// Records that a run was lost at an endpoint. If the endpoint is known to
    /// have ended, returns the crash to report to the other instances.
    pub fn record_lost_run(
        &mut self,
        endpoint: &EndpointIncarnation,
        digest: RequestDigest,
        began: Instant,
        loss: Loss,
        now: Instant,
    ) -> Option<Crash> {
        let run = BrokenRun { digest, began, broke: now, loss };
        self.broken.entry(endpoint.clone()).or_default().push(run);
        match self.ended.contains_key(endpoint) {
            true => self.endpoint_ended(endpoint, now),
            false => None,
        }
    }

    /// Records that an endpoint has ended. Returns the crash to report to the
    /// other instances if it interrupted runs of this instance.
    pub fn endpoint_ended(
        &mut self,
        endpoint: &EndpointIncarnation,
        now: Instant,
    ) -> Option<Crash> {
        self.ended.insert(endpoint.clone(), now);
        let broken = self.broken.remove(endpoint)?;
        let mut crash = Crash { endpoint: endpoint.clone(), runs: Vec::new() };
        for run in broken.into_iter().filter(|run| run.is_fresh(now)) {
            let interruption =
                Interruption { began: run.began, broke: run.broke };
            self.add_evidence(endpoint, run.digest, interruption, now);
            self.recent_interruptions.push((
                endpoint.clone(),
                interruption,
                run.digest,
            ));
            crash.runs.push(interruption.report(run.digest, now));
        }
        (!crash.runs.is_empty()).then_some(crash)
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
        for run in &crash.runs {
            let began = ago(run.began_ms_ago);
            let interruption =
                Interruption { began, broke: ago(run.broke_ms_ago) };
            self.add_evidence(&crash.endpoint, run.digest, interruption, now);
        }
        self.endpoint_ended(&crash.endpoint, now)
    }

    /// Returns why a request must not be sent, or `None` if it may be.
    pub fn verdict(
        &self,
        digest: RequestDigest,
        now: Instant,
    ) -> Option<Verdict> {
        let suspect = self.suspects.get(&digest)?;
        let condemned_ago =
            now.saturating_duration_since(suspect.condemned_at?);
        let released_in = CONDEMNED_FOR.checked_sub(condemned_ago)?;
        Some(Verdict {
            endpoints: suspect.endpoints(),
            condemned_ago,
            released_in,
        })
    }

    /// Returns whether there is evidence against any request. Otherwise
    /// callers of this module need not compute digests.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Records that a run of a request succeeded, here or at another instance.
    /// Returns whether there was evidence against the request.
    pub fn clear(&mut self, digest: RequestDigest, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            return false;
        };
        let had_evidence = suspect.condemned_at.is_some()
            || suspect.is_on_probation
            || suspect
                .interruptions
                .values()
                .any(|(_, evidence)| *evidence == Evidence::Valid);
        suspect.clear_evidence();
        suspect.cleared_at = Some(now);
        had_evidence
    }

    /// Releases a condemned request, so that it is tried again. An instance
    /// that has not heard of the release does not condemn it here again.
    pub fn release(&mut self, digest: RequestDigest, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&digest)
            && suspect.condemned_at.is_some()
        {
            suspect.clear_evidence();
            suspect.is_on_probation = true;
            suspect.released_at = Some(now);
            suspect.last = Some(now);
        }
    }

    /// Merges a request that another instance has condemned.
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
        let suspect = self.suspects.entry(condemned.digest).or_default();
        if suspect.condemned_at.is_some() {
            return MergeOutcome::AlreadyKnown;
        }
        if suspect.cleared_at.is_some_and(|cleared| cleared >= at) {
            return MergeOutcome::Refuted;
        }
        if suspect.released_at.is_some_and(|released| released >= at) {
            return MergeOutcome::Released;
        }
        let interruption = Interruption { began: at, broke: at };
        for endpoint in &condemned.endpoints {
            let known = suspect.interruptions.entry(endpoint.clone());
            known.or_insert((interruption, Evidence::Valid));
        }
        suspect.condemned_at = Some(at);
        suspect.last = Some(now);
        self.enforce_limits(condemned.digest);
        MergeOutcome::Added
    }

    /// Returns all condemned requests.
    pub fn condemned(&self, now: Instant) -> Vec<Condemned> {
        let condemned =
            self.suspects.iter().filter_map(|(digest, suspect)| {
                let at = suspect.condemned_at?;
                let ms_ago =
                    now.saturating_duration_since(at).as_millis() as u64;
                let endpoints = suspect.endpoints();
                Some(Condemned { digest: *digest, ms_ago, endpoints })
            });
        condemned.collect()
    }

    /// Returns the number of condemned requests.
    pub fn condemned_len(&self) -> usize {
        let all = self.suspects.values();
        all.filter(|suspect| suspect.condemned_at.is_some()).count()
    }

    /// Returns the requests that were condemned from evidence since the last
    /// call.
    pub fn take_newly_condemned(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.newly_condemned)
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

    /// Removes expired evidence and releases requests that have been condemned
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
        let over: Vec<RequestDigest> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| {
                let at = suspect.condemned_at;
                at.is_some_and(|at| age(at) >= CONDEMNED_FOR)
            })
            .map(|(digest, _)| *digest)
            .collect();
        for digest in over {
            self.release(digest, now);
        }
        self.suspects.retain(|_, suspect| {
            suspect.interruptions.retain(|_, (interruption, _)| {
                age(interruption.broke) < CRASH_VALID_FOR
            });
            suspect.condemned_at.is_some()
                || suspect.last.is_some_and(|last| age(last) < CRASH_VALID_FOR)
        });
    }

    fn add_evidence(
        &mut self,
        endpoint: &EndpointIncarnation,
        digest: RequestDigest,
        interruption: Interruption,
        now: Instant,
    ) {
        let suspect = self.suspects.entry(digest).or_default();
        suspect.last = Some(now);
        let known = suspect.interruptions.entry(endpoint.clone());
        known.or_insert((interruption, Evidence::Valid));
        if suspect.condemned_at.is_none() && suspect.has_enough_evidence(now) {
            suspect.condemned_at = Some(now);
            self.newly_condemned.push(digest);
        }
        self.enforce_limits(digest);
    }

    /// Evicts the oldest requests beyond the limits, except the given one.
    fn enforce_limits(&mut self, kept: RequestDigest) {
        self.evict_oldest(kept, MAX_CONDEMNED, true);
        self.evict_oldest(kept, MAX_SUSPECTS, false);
    }

    fn evict_oldest(
        &mut self,
        kept: RequestDigest,
        limit: usize,
        is_condemned: bool,
    ) {
        let is_counted =
            |suspect: &Suspect| suspect.condemned_at.is_some() == is_condemned;
        let all = self.suspects.iter().filter(|(_, s)| is_counted(s));
        if self.suspects.len() <= limit || all.clone().count() <= limit {
            return;
        }
        let others = all.filter(|(digest, _)| **digest != kept);
        let oldest = others.min_by_key(|(_, suspect)| suspect.last);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}

impl BrokenRun {
    /// Returns whether the run still counts as interrupted if the end of its
    /// endpoint is detected now.
    fn is_fresh(&self, now: Instant) -> bool {
        let retention = match self.loss {
            Loss::Broken => BROKEN_RUN_RETENTION,
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

impl Suspect {
    fn endpoints(&self) -> Vec<EndpointIncarnation> {
        let mut endpoints: Vec<_> =
            self.interruptions.keys().cloned().collect();
        endpoints.sort_unstable();
        endpoints
    }

    fn clear_evidence(&mut self) {
        for (_, evidence) in self.interruptions.values_mut() {
            *evidence = Evidence::Cleared;
        }
        self.condemned_at = None;
        self.is_on_probation = false;
    }

    /// Returns whether enough endpoints ended while they ran the request, and
    /// not all at the same time: runs that overlap may have ended for one
    /// cause.
    fn has_enough_evidence(&self, now: Instant) -> bool {
        let mut interruptions: Vec<Interruption> = self
            .interruptions
            .values()
            .filter(|(interruption, evidence)| {
                let age = now.saturating_duration_since(interruption.broke);
                *evidence == Evidence::Valid && age < CRASH_VALID_FOR
            })
            .map(|(interruption, _)| *interruption)
            .collect();
        if self.is_on_probation {
            return !interruptions.is_empty();
        }
        interruptions.sort_unstable_by_key(|interruption| interruption.broke);
        let mut separate_crashes = 0;
        let mut last: Option<Instant> = None;
        for interruption in &interruptions {
            if last.is_none_or(|last| interruption.began >= last) {
                separate_crashes += 1;
                last = Some(interruption.broke);
            }
        }
        interruptions.len() >= CRASHES_TO_CONDEMN
            && separate_crashes >= SEPARATE_CRASHES_TO_CONDEMN
    }
}
