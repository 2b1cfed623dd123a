//! Endpoints that left, as the platform's store said to any instance.
//!
//! What an instance reads in the store may be seconds old, and one that is cut
//! off reads nothing. So whoever sees an endpoint leave tells all others, and
//! says it again for a while, since notes are lost now and then. The invariant:
//! what the store held when an endpoint had left, or before, never brings it
//! back; only an entry that was written later does.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};

use crate::endpoint::Revision;

/// How long each instance says again what it knows to have left: a note is due
/// every 150 ms to 2.4 s, and one in a hundred may be lost. An instance that
/// starts may list what is 3 s old.
const TOLD_FOR: Duration = Duration::from_secs(4);

/// Departures in one note at most, the newest first, so that a note stays in
/// one packet: 16 take some 400 bytes.
const TOLD_LEN: usize = 16;

/// How long a departure is kept. It outlasts all notes and lists that may be
/// older: those of a frozen instance, which the platform ends after some seconds.
const KEPT_FOR: Duration = Duration::from_secs(120);

/// An endpoint that is leaving or gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Its id.
    pub endpoint: EndpointId,
    /// The store's revision at which its entry said so, or was missing.
    pub revision: Revision,
}

/// All departures that this instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Departures(HashMap<EndpointId, Known>);

#[derive(Clone, Copy, Debug)]
struct Known {
    revision: Revision,
    since: Instant,
    is_told: bool,
}

impl Departures {
    /// Notes a departure, and whether others are to be told of it; returns
    /// whether it is news.
    pub fn note(
        &mut self,
        departure: &Departure,
        is_told: bool,
        now: Instant,
    ) -> bool {
        let Departure { endpoint, revision } = departure;
        if self.has_left(endpoint, *revision) {
            return false;
        }
        let known = Known { revision: *revision, since: now, is_told };
        self.0.insert(endpoint.clone(), known);
        true
    }

    /// Returns whether an endpoint has left for all that its entry of this
    /// revision says.
    pub fn has_left(&self, id: &EndpointId, revision: Revision) -> bool {
        self.0.get(id).is_some_and(|known| revision <= known.revision)
    }

    /// Returns the departures that others are still told of.
    pub fn told(&self, now: Instant) -> Vec<Departure> {
        let mut recent: Vec<(&EndpointId, &Known)> = self
            .0
            .iter()
            .filter(|(_, known)| known.is_told && now - known.since < TOLD_FOR)
            .collect();
        recent.sort_by_key(|(id, known)| (Reverse(known.since), *id));
        recent.truncate(TOLD_LEN);
        recent
            .into_iter()
            .map(|(id, known)| Departure {
                endpoint: id.clone(),
                revision: known.revision,
            })
            .collect()
    }

    /// Returns all departures that are known.
    pub fn all(&self) -> impl Iterator<Item = Departure> {
        self.0.iter().map(|(id, known)| Departure {
            endpoint: id.clone(),
            revision: known.revision,
        })
    }

    /// Forgets what nobody speaks of any more.
    pub fn forget(&mut self, now: Instant) {
        self.0.retain(|_, known| now - known.since < KEPT_FOR);
    }
}
