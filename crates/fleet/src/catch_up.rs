//! An instance that is behind gets what it misses from those that have it.
//!
//! Instances tell each other, several times a second, which configuration they go
//! by and how many versions of weights they know. Whoever hears of more than it has
//! reads the store as usual, and where that does not bring it soon, asks one of
//! those that said so. It does no I/O and reads no clock. The invariant: what is
//! asked for is newer than what is there, and one instance is asked at a time.

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

/// How long our own read of the store may take before others are asked. A watch
/// brings a change within some 20 ms where the store answers.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// What each other instance adds to the longest draw before the first question, so
/// that not all of many that are behind ask at once.
const JITTER_PER_INSTANCE: Duration = Duration::from_millis(1);

/// The pause before the next one is asked, after one that did not answer or had no
/// more than we.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An instance that did not answer is not asked again for this long, if there is
/// another one.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// What an instance said counts for this long: among many, each tells all others
/// every 2.4 s. A version that nobody has, told by mistake, counts no longer.
const SUMMARY_VALID_FOR: Duration = Duration::from_secs(5);

/// How much an instance has of what all must know.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct StateSummary {
    /// The version of its configuration.
    pub configuration: ConfigurationVersion,
    /// How many versions of weights were named, counting each rise.
    pub versions: u64,
    /// How many requests it has condemned. An instance of the release before says
    /// none.
    #[serde(default)]
    pub condemned: u64,
}

/// What one instance has and another misses.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateDelta {
    /// The configuration in force there, if it is newer.
    pub deployment: Option<RoutingConfiguration>,
    /// The named versions of weights, if there are more.
    pub versions: Vec<(AdapterKey, WeightVersion)>,
    /// Endpoints that have left.
    pub departures: Vec<Departure>,
    /// Requests that end the endpoints which run them.
    #[serde(default)]
    pub condemned: Vec<Condemned>,
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing is missed.
    Idle,
    /// To look again then, or when more is heard.
    Wait(Instant),
    /// To ask this instance.
    Fetch(InstanceId),
}

#[derive(Clone, Copy, Debug)]
struct PeerSummary {
    summary: StateSummary,
    received_at: Instant,
    is_same_zone: bool,
}

/// What an instance heard others to know, and whom it asked.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    peers: HashMap<InstanceId, PeerSummary>,
    behind_since: Option<Instant>,
    next_fetch: Option<Instant>,
    avoided: HashMap<InstanceId, Instant>,
}

impl StateSummary {
    /// Returns whether there is anything that the other one has not.
    pub fn has_more_than(self, other: StateSummary) -> bool {
        self.configuration > other.configuration
            || self.versions > other.versions
            || self.condemned > other.condemned
    }

    /// Returns the most that either has.
    fn merge(self, other: StateSummary) -> StateSummary {
        StateSummary {
            configuration: self.configuration.max(other.configuration),
            versions: self.versions.max(other.versions),
            condemned: self.condemned.max(other.condemned),
        }
    }
}

impl CatchUp {
    /// Takes in what an instance says that it knows.
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

    /// Returns the most that was heard of lately.
    pub fn newest_heard(&self, now: Instant) -> StateSummary {
        let recent = self.peers.values().filter(|peer| peer.is_recent(now));
        recent
            .map(|peer| peer.summary)
            .fold(StateSummary::default(), StateSummary::merge)
    }

    /// Returns what to do now for an instance that knows so much, before so many
    /// others. `draw` is a random number.
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

    /// Makes the next step ask at once: a request waits for what is missed.
    pub fn fetch_now(&mut self, now: Instant) {
        // After a question that brought nothing, the pause before the next holds.
        let is_first = self.next_fetch.is_none_or(|at| {
            at.saturating_duration_since(now) > FETCH_RETRY_DELAY
        });
        if is_first {
            self.next_fetch = Some(now);
        }
    }

    /// Takes in that an instance did not answer, or had no more than we.
    pub fn fetch_failed(&mut self, source: &InstanceId, now: Instant) {
        self.avoided.insert(source.clone(), now);
    }

    /// Returns for how long more was heard of than there is.
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        self.behind_since.map(|since| now.saturating_duration_since(since))
    }

    /// Forgets what was said long ago.
    pub fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| peer.is_recent(now));
        self.avoided.retain(|_, at| now - *at < AVOID_FOR);
    }

    /// Returns one of those that have more: in our own zone if there is one, so that
    /// few bytes cross between zones, and none that just brought nothing if there is
    /// another.
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
