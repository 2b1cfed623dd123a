//! The features that are condemned, and for how long.
//!
//! A feature is condemned by evidence, or by another instance. The invariant:
//! one that is condemned by evidence is refused at once and confirmed after
//! [`CONFIRMATION_TIME`]; until [`SETTLING_TIME`] has passed, it is condemned
//! only as long as the evidence shows it.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;

use super::{CONDEMNED_FOR, CONFIRMATION_TIME, SETTLING_TIME};
use crate::{features::Feature, incarnation::EndpointIncarnation};

/// Maximum number of condemned features; the oldest is evicted first.
const MAX_CONDEMNED: usize = 1_024;

/// Condemned features.
#[derive(Clone, Debug, Default)]
pub(super) struct Condemnations(HashMap<Feature, Condemnation>);

/// A condemned feature.
#[derive(Clone, Debug)]
pub(super) struct Condemnation {
    pub(super) at: Instant,
    basis: Basis,
    /// The endpoints that crashed, unless the evidence has them.
    pub(super) endpoints: Vec<EndpointIncarnation>,
    /// Whether it has been returned as newly condemned.
    is_taken: bool,
}

/// What a condemnation rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Basis {
    /// The evidence as it is now.
    Evidence,
    /// Evidence that was not refuted while it could be.
    Settled,
    /// Another instance, or a record in the store.
    Merged,
}

impl Condemnation {
    /// Returns whether other instances have had the time to refute it.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        self.basis != Basis::Evidence || self.age(now) >= CONFIRMATION_TIME
    }

    pub(super) fn is_merged(&self) -> bool {
        self.basis == Basis::Merged
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

impl Condemnations {
    pub(super) fn get(&self, feature: Feature) -> Option<&Condemnation> {
        self.0.get(&feature)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn is_confirmed(&self, feature: Feature, now: Instant) -> bool {
        self.get(feature).is_some_and(|c| c.is_confirmed(now))
    }

    /// Removes a feature. Returns whether it was condemned.
    pub(super) fn remove(&mut self, feature: Feature) -> bool {
        self.0.remove(&feature).is_some()
    }

    /// Adds a feature that another instance has condemned.
    pub(super) fn merge(
        &mut self,
        feature: Feature,
        at: Instant,
        endpoints: Vec<EndpointIncarnation>,
    ) {
        let basis = Basis::Merged;
        let merged = Condemnation { at, basis, endpoints, is_taken: true };
        self.0.insert(feature, merged);
        self.evict(feature);
    }

    /// Replaces the features that rest on evidence by those that the evidence
    /// shows now. Returns the confirmed ones that it no longer shows.
    pub(super) fn replace(
        &mut self,
        found: &[Feature],
        now: Instant,
    ) -> Vec<Feature> {
        let mut retracted = Vec::new();
        self.0.retain(|feature, condemned| {
            let is_kept =
                condemned.basis != Basis::Evidence || found.contains(feature);
            if !is_kept && condemned.is_confirmed(now) {
                retracted.push(*feature);
            }
            is_kept
        });
        for feature in found {
            self.0.entry(*feature).or_insert_with(|| Condemnation {
                at: now,
                basis: Basis::Evidence,
                endpoints: Vec::new(),
                is_taken: false,
            });
            self.evict(*feature);
        }
        retracted
    }

    /// Returns the features that rest on evidence which may be settled.
    pub(super) fn unsettled(&self, now: Instant) -> Vec<Feature> {
        let all = self.0.iter().filter(|(_, condemned)| {
            condemned.basis == Basis::Evidence
                && condemned.age(now) >= SETTLING_TIME
        });
        all.map(|(feature, _)| *feature).collect()
    }

    /// Keeps a feature whatever becomes of the evidence.
    pub(super) fn settle(
        &mut self,
        feature: Feature,
        endpoints: Vec<EndpointIncarnation>,
    ) {
        if let Some(condemned) = self.0.get_mut(&feature) {
            condemned.basis = Basis::Settled;
            condemned.endpoints = endpoints;
        }
    }

    /// Returns whether a feature is condemned and does not rest on the present
    /// evidence.
    pub(super) fn is_settled(&self, feature: Feature) -> bool {
        self.get(feature).is_some_and(|c| c.basis != Basis::Evidence)
    }

    /// Returns all confirmed features, and when they were condemned.
    pub(super) fn confirmed(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Feature, Instant)> {
        let confirmed = self.0.iter().filter(move |(_, condemned)| {
            condemned.is_confirmed(now) && condemned.age(now) < CONDEMNED_FOR
        });
        confirmed.map(|(feature, condemned)| (*feature, condemned.at))
    }

    /// Returns the features that were confirmed since the last call.
    pub(super) fn take_new(&mut self, now: Instant) -> Vec<Feature> {
        let mut new = Vec::new();
        for (feature, condemned) in &mut self.0 {
            if !condemned.is_taken && condemned.is_confirmed(now) {
                condemned.is_taken = true;
                new.push(*feature);
            }
        }
        new
    }

    pub(super) fn has_unconfirmed(&self, now: Instant) -> bool {
        self.0.values().any(|condemned| !condemned.is_confirmed(now))
    }

    /// Returns the features that have been condemned for long enough.
    pub(super) fn expired(&self, now: Instant) -> Vec<Feature> {
        let expired =
            self.0.iter().filter(|(_, c)| c.age(now) >= CONDEMNED_FOR);
        expired.map(|(feature, _)| *feature).collect()
    }

    /// Evicts the oldest features beyond the limit, except the given one.
    fn evict(&mut self, kept: Feature) {
        while self.0.len() > MAX_CONDEMNED {
            let others = self.0.iter().filter(|(f, _)| **f != kept);
            let oldest = others.min_by_key(|(feature, c)| (c.at, **feature));
            let Some(feature) = oldest.map(|(f, _)| *f) else { return };
            self.0.remove(&feature);
        }
    }
}
