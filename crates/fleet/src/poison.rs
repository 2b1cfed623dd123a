//! Requests that end the endpoints which run them.
//!
//! A poison request ends each endpoint that begins to run it, with all that runs
//! there beside it, and comes again with another id, at any instance. So each
//! instance notes which of its runs broke off when their endpoint ended, and tells
//! all others; what they saw together decides here. The invariants: a connection
//! that was reset at an endpoint that lives on counts for nothing; endpoints that
//! end together count as one cause; and a run that ends well clears its request,
//! whatever was held against it.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::{incarnation::EndpointIncarnation, request_digest::RequestDigest};

/// Endpoints that must have ended under a request before it is condemned. The users
/// allow three.
const CRASHES_TO_CONDEMN: usize = 3;

/// Times, one after the other, at which some of them must have ended. When a rack
/// loses power, all its endpoints end under each request that many callers send
/// alike, at one moment.
const ROUNDS_TO_CONDEMN: usize = 2;

/// How long a run that broke off waits for what becomes of its endpoint: a dead one
/// leaves the platform's list after three heartbeats of 1.2 s, and a watch of the
/// list may be 2.5 s late.
const BROKEN_RUN_RETENTION: Duration = Duration::from_secs(8);

/// How long before its endpoint's end a run may have lost its caller and still have
/// been there: engines stop within half a second.
const ABANDONED_RUN_RETENTION: Duration = Duration::from_millis(500);

/// How long it is known of an endpoint that it ended: what it ran breaks off within
/// this time, also on connections that say nothing.
const ENDED_ENDPOINT_RETENTION: Duration = Duration::from_secs(8);

/// How long an end counts against a request.
const CRASH_VALID_FOR: Duration = Duration::from_secs(600);

/// How long a request stays condemned. Then it is tried again, since engines get
/// mended too, and one more end condemns it anew: one endpoint in ten minutes is what
/// such a request may cost.
pub const CONDEMNED_FOR: Duration = Duration::from_secs(600);

/// How long each instance says again which of its runs ended with an endpoint: notes
/// are due every 0.15 to 2.4 s, and some are lost.
const CRASH_REPEATED_FOR: Duration = Duration::from_secs(4);

/// Runs in one note at most, so that it stays in two packets: each takes some 30
/// bytes.
const MAX_RUNS_PER_NOTE: usize = 64;

/// Requests that ends are held against at most, the oldest being forgotten first. A
/// crash takes all that its endpoint ran, some 32, with it; they take 1 MB.
const MAX_SUSPECTS: usize = 4_096;

/// Condemned requests at most, the oldest being forgotten first.
const MAX_CONDEMNED: usize = 1_024;

/// An endpoint that ended, and which runs of one instance ended with it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// What it ran.
    pub runs: Vec<CrashedRun>,
}

/// A run that broke off because its endpoint ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashedRun {
    /// The request.
    pub digest: RequestDigest,
    /// How long ago it was sent to the endpoint, in milliseconds.
    pub began_ms_ago: u64,
    /// How long ago it broke off, in milliseconds.
    pub broke_ms_ago: u64,
}

/// A condemned request, as instances pass it on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condemned {
    /// The request.
    pub digest: RequestDigest,
    /// How long ago it was condemned, in milliseconds.
    pub ms_ago: u64,
    /// The endpoints that ended under it.
    pub endpoints: Vec<EndpointIncarnation>,
}

/// Why a request is not sent on.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The endpoints that ended under it.
    pub endpoints: Vec<EndpointIncarnation>,
    /// How long ago it was condemned.
    pub condemned_ago: Duration,
    /// When it is tried again.
    pub released_in: Duration,
}

/// How a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its connection broke, or nothing came on it any more.
    Broken,
    /// Its caller left.
    CallerLeft,
}

/// What was seen of requests whose endpoints ended.
#[derive(Clone, Debug, Default)]
pub struct PoisonDetector {
    /// Runs that wait for what becomes of their endpoint.
    broken: HashMap<EndpointIncarnation, Vec<BrokenRun>>,
    /// Endpoints that ended lately.
    ended: HashMap<EndpointIncarnation, Instant>,
    suspects: HashMap<RequestDigest, Suspect>,
    /// What others are told again.
    recent_interruptions:
        Vec<(EndpointIncarnation, Interruption, RequestDigest)>,
    /// Requests that were condemned since the last look.
    newly_condemned: Vec<RequestDigest>,
}

#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    digest: RequestDigest,
    began: Instant,
    broke: Instant,
    loss: Loss,
}

/// The end of an endpoint under a request.
#[derive(Clone, Copy, Debug)]
struct Interruption {
    began: Instant,
    broke: Instant,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// By endpoint, so that what is told twice counts once. Those from before a run
    /// that ended well stay, and count no longer.
    interruptions: HashMap<EndpointIncarnation, (Interruption, Evidence)>,
    condemned_at: Option<Instant>,
    /// Whether it was condemned before, and one more end is enough.
    is_on_probation: bool,
    /// When a run of it last ended well.
    cleared_at: Option<Instant>,
    last: Option<Instant>,
}

/// What became of word that a request was condemned elsewhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It is condemned here now too.
    Added,
    /// It was known, or is over.
    AlreadyKnown,
    /// A run of it has ended well since; others are to hear so.
    Refuted,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    Valid,
    Cleared,
}

impl PoisonDetector {
    /// Notes that a run was lost at an endpoint. If that is known to have ended,
    /// returns what others are to be told.
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

    /// Notes that an endpoint has ended; returns what others are to be told, if runs
    /// of ours ended with it.
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

    /// Notes that an endpoint was there at a moment: what broke off before was no end
    /// of it.
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

    /// Takes in which runs of another instance ended with an endpoint; returns what
    /// others are to be told of ours.
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

    /// Returns why a request is not sent on, if it is not.
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

    /// Returns whether anything is held against any request. Without that, nobody
    /// needs a digest.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Takes in that a run of a request ended well, here or at another instance;
    /// returns whether anything was held against it.
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

    /// Lets a condemned request go, to be tried again.
    pub fn release(&mut self, digest: RequestDigest, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&digest)
            && suspect.condemned_at.is_some()
        {
            suspect.clear_evidence();
            suspect.is_on_probation = true;
            suspect.last = Some(now);
        }
    }

    /// Takes in that a request was condemned elsewhere.
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

    /// Returns all requests that are condemned now.
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

    /// Returns how many requests are condemned.
    pub fn condemned_len(&self) -> usize {
        let all = self.suspects.values();
        all.filter(|suspect| suspect.condemned_at.is_some()).count()
    }

    /// Returns the requests that were condemned by what was seen since the last call.
    pub fn take_newly_condemned(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.newly_condemned)
    }

    /// Returns what others are told again of our runs, the newest first.
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

    /// Forgets what counts no longer, and lets go what was condemned long ago.
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

    /// Forgets the oldest of too many, but for the one that was just noted.
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
    /// Returns whether an end of its endpoint that is noticed now is what broke it.
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

    /// Returns whether enough endpoints ended under it, and not all together: runs
    /// that were there at the same moment may have ended by one cause.
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
        let mut rounds = 0;
        let mut last: Option<Instant> = None;
        for interruption in &interruptions {
            if last.is_none_or(|last| interruption.began >= last) {
                rounds += 1;
                last = Some(interruption.broke);
            }
        }
        interruptions.len() >= CRASHES_TO_CONDEMN
            && rounds >= ROUNDS_TO_CONDEMN
    }
}
