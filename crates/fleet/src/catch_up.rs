//! Fetches state that this instance lacks from other instances (anti-entropy).
//!
//! In its status notes, each instance reports the version of its configuration,
//! the number of weight versions it knows and the number of requests it has
//! condemned. The receiver of a higher number first waits for its own watch
//! of the store; if the watch does not bring the state soon, the receiver
//! fetches it from an instance that reported the number.
//!
//! This module does no I/O and reads no clock. The invariants: only state that
//! is newer than the own one is fetched, and from one instance at a time.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    configuration::ConfigurationVersion,
    departure::Departure,
    poison::Condemned,
    route::RoutingConfiguration,
};

/// How long this instance's own watch of the store may take before the state
/// is fetched from another instance. Where the store answers, a watch brings a
/// change within about 20 ms.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// Maximum jitter before the first fetch, per other instance, so that many
/// instances that are behind do not fetch at once.
const JITTER_PER_INSTANCE: Duration = Duration::from_millis(1);

/// Delay before the next instance is asked, after one that did not answer or
/// had nothing newer.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long an instance that did not answer is avoided, if there is another
/// one.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// How long a reported summary is valid. In a large fleet, each instance
/// reports to all others every 2.4 s; without a lease holder, the interval
/// grows with the fleet and is 4.85 s with 195 instances. A version that was
/// reported by mistake, and that no instance has, expires.
const SUMMARY_VALID_FOR: Duration = Duration::from_secs(5);

/// How long another instance must have condemned fewer requests before the
/// records of condemned requests are listed: an operator may have released one,
/// and the watch that was to bring this may be lost. An instance that has just
/// started catches up within this time.
const RELEASE_DELAY: Duration = Duration::from_secs(2);

/// Versions of the state that all instances must have, at one instance.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct StateSummary {
    /// The version of the configuration in force.
    pub configuration: ConfigurationVersion,
    /// Number of weight versions that were announced, counting each increase.
    pub versions: u64,
    /// Number of condemned requests. Instances of the previous release do not
    /// send it.
    #[serde(default)]
    pub condemned: u64,
}

/// State that one instance has and another lacks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateDelta {
    /// The configuration in force at the sender, if it is newer.
    pub deployment: Option<RoutingConfiguration>,
    /// The announced weight versions, if there are more.
    pub versions: Vec<(AdapterKey, WeightVersion)>,
    /// Endpoints that have departed.
    pub departures: Vec<Departure>,
    /// Condemned requests.
    #[serde(default)]
    pub condemned: Vec<Condemned>,
}

/// The next step of the catch-up.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing is missing.
    Idle,
    /// Check again at this time, or when a newer summary is received.
    Wait(Instant),
    /// Fetch the missing state from this instance.
    Fetch(InstanceId),
}

#[derive(Clone, Copy, Debug)]
struct PeerSummary {
    summary: StateSummary,
    received_at: Instant,
    is_same_zone: bool,
}

/// The summaries of other instances, and the progress of fetching what is
/// missing here.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    peers: HashMap<InstanceId, PeerSummary>,
    behind_since: Option<Instant>,
    next_fetch: Option<Instant>,
    avoided: HashMap<InstanceId, Instant>,
    fewer_condemned: Option<FewerCondemned>,
}

/// Another instance has condemned fewer requests than this one.
#[derive(Clone, Copy, Debug)]
struct FewerCondemned {
    /// The number of requests that this instance has condemned.
    own: u64,
    /// Since when another instance has reported a lower number.
    since: Instant,
    /// Whether the records were listed because of that.
    has_listed: bool,
}

impl StateSummary {
    /// Returns whether any version is higher than that of `other`.
    pub fn has_more_than(self, other: StateSummary) -> bool {
        self.configuration > other.configuration
            || self.versions > other.versions
            || self.condemned > other.condemned
    }

    /// Returns the higher of each version.
    fn merge(self, other: StateSummary) -> StateSummary {
        StateSummary {
            configuration: self.configuration.max(other.configuration),
            versions: self.versions.max(other.versions),
            condemned: self.condemned.max(other.condemned),
        }
    }
}

impl CatchUp {
    /// Records the summary that another instance reports.
    pub fn record_peer(
        &mut self,
        from: &InstanceId,
        summary: StateSummary,
        is_same_zone: bool,
        now: Instant,
    ) {
        let peer = PeerSummary { summary, received_at: now, is_same_zone };
        match self.peers.get_mut(from) {
            Some(known) => *known = peer,
            None => {
                self.peers.insert(from.clone(), peer);
            }
        }
    }

    /// Records how many requests another instance has condemned. Returns
    /// whether the records must be listed, once for each number of this
    /// instance's own.
    pub fn record_condemned(
        &mut self,
        own: u64,
        reported: u64,
        now: Instant,
    ) -> bool {
        if reported >= own {
            return false;
        }
        let is_same = self.fewer_condemned.is_some_and(|f| f.own == own);
        if !is_same {
            let has_listed = false;
            let since = now;
            self.fewer_condemned =
                Some(FewerCondemned { own, since, has_listed });
        }
        let Some(fewer) = &mut self.fewer_condemned else { return false };
        now - fewer.since >= RELEASE_DELAY
            && !std::mem::replace(&mut fewer.has_listed, true)
    }

    /// Returns the highest recently reported version of each kind.
    pub fn newest_heard(&self, now: Instant) -> StateSummary {
        let recent = self.peers.values().filter(|peer| peer.is_recent(now));
        recent
            .map(|peer| peer.summary)
            .fold(StateSummary::default(), StateSummary::merge)
    }

    /// Returns the next step of an instance with the given state, among this
    /// many others. `draw` is a random number.
    pub fn step(
        &mut self,
        own: StateSummary,
        others: usize,
        draw: u64,
        now: Instant,
    ) -> Step {
        if !self.newest_heard(now).has_more_than(own) {
            self.behind_since = None;
            self.next_fetch = None;
            return Step::Idle;
        }
        self.behind_since.get_or_insert(now);
        let first = || {
            let spread = JITTER_PER_INSTANCE * others as u32;
            let drawn = (draw % 1_000) as f64 / 1_000.0;
            now + FETCH_DELAY + spread.mul_f64(drawn)
        };
        let next_fetch = *self.next_fetch.get_or_insert_with(first);
        if now < next_fetch {
            return Step::Wait(next_fetch);
        }
        self.next_fetch = Some(now + FETCH_RETRY_DELAY);
        match self.pick_source(own, draw, now) {
            Some(source) => Step::Fetch(source),
            None => Step::Wait(now + FETCH_RETRY_DELAY),
        }
    }

    /// Makes the next step fetch at once, because a request waits for the
    /// missing state.
    pub fn fetch_now(&mut self, now: Instant) {
        // The delay after an unsuccessful fetch still applies.
        let is_first = self.next_fetch.is_none_or(|at| {
            at.saturating_duration_since(now) > FETCH_RETRY_DELAY
        });
        if is_first {
            self.next_fetch = Some(now);
        }
    }

    /// Records that an instance did not answer or had nothing newer.
    pub fn fetch_failed(&mut self, source: &InstanceId, now: Instant) {
        self.avoided.insert(source.clone(), now);
    }

    /// Returns for how long this instance has been behind.
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        self.behind_since.map(|since| now.saturating_duration_since(since))
    }

    /// Removes expired summaries.
    pub fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| peer.is_recent(now));
        self.avoided.retain(|_, at| now - *at < AVOID_FOR);
    }

    /// Returns an instance with newer state to fetch from. Prefers instances
    /// of the own zone, to save traffic between zones, and avoids those whose
    /// last fetch failed if there is another one.
    fn pick_source(
        &self,
        own: StateSummary,
        draw: u64,
        now: Instant,
    ) -> Option<InstanceId> {
        let rank = |id: &InstanceId, peer: &PeerSummary| {
            let is_avoided =
                self.avoided.get(id).is_some_and(|at| now - *at < AVOID_FOR);
            (is_avoided, !peer.is_same_zone)
        };
        let mut candidates: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_recent(now))
            .filter(|(_, peer)| peer.summary.has_more_than(own))
            .map(|(id, peer)| (rank(id, peer), id))
            .collect();
        candidates.sort_unstable();
        let (best, _) = *candidates.first()?;
        let equal =
            candidates.iter().take_while(|(rank, _)| *rank == best).count();
        let idx = (draw % equal as u64) as usize;
        Some(candidates[idx].1.clone())
    }
}

impl PeerSummary {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < SUMMARY_VALID_FOR
    }
}
