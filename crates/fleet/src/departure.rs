//! Endpoints that left, as the platform's store said to any instance, or as they said
//! themselves in an answer.
//!
//! What an instance reads in the store may be seconds old, and one that is cut
//! off reads nothing. So whoever sees an endpoint leave tells all others, and
//! says it again for a while, since notes are lost now and then. The invariant:
//! what the store held when an endpoint had left, or before, never brings it
//! back; only an entry that was written later does. What an endpoint announced itself
//! no entry of the same life takes back: the store may not have taken its word yet.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};

use crate::{endpoint::Revision, incarnation::Incarnation};

/// How long each instance says again what it knows to have left: a note is due
/// every 150 ms to 2.4 s, and one in a hundred may be lost. An instance that
/// starts may list what is 3 s old.
const REPEATED_FOR: Duration = Duration::from_secs(4);

/// Departures in one note at most, the newest first, so that a note stays in
/// one packet: 16 take some 400 bytes.
const MAX_REPEATED: usize = 16;

/// How long a departure is kept. It outlasts all notes and lists that may be
/// older: those of a frozen instance, which the platform ends after some seconds.
const RETENTION: Duration = Duration::from_secs(120);

/// An endpoint that is leaving or gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Its id.
    pub endpoint: EndpointId,
    /// The store's revision at which its entry said so, or was missing; if it said
    /// so itself, the newest one that was known then.
    pub revision: Revision,
    /// Whether it said so itself.
    #[serde(default)]
    pub is_announced: bool,
    /// In which life it said so, if it tells its lives apart.
    #[serde(default)]
    pub born: Option<Incarnation>,
}

/// All departures that this instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Departures(HashMap<EndpointId, Known>);

#[derive(Clone, Copy, Debug)]
struct Known {
    revision: Revision,
    since: Instant,
    is_repeated: bool,
    is_announced: bool,
    born: Option<Incarnation>,
}

impl Departure {
    /// Returns the departure of an endpoint whose entry said so, or was missing, at a
    /// revision.
    pub fn of_entry(endpoint: &EndpointId, revision: Revision) -> Departure {
        Departure {
            endpoint: endpoint.clone(),
            revision,
            is_announced: false,
            born: None,
        }
    }

    /// Returns the departure of an endpoint that said so itself.
    pub fn announced(
        endpoint: &EndpointId,
        born: Option<Incarnation>,
        revision: Revision,
    ) -> Departure {
        let of_entry = Departure::of_entry(endpoint, revision);
        Departure { is_announced: true, born, ..of_entry }
    }
}

impl Known {
    /// Returns whether the endpoint said that it leaves in this life.
    fn is_announced_in(&self, born: Option<Incarnation>) -> bool {
        let is_other =
            matches!((self.born, born), (Some(a), Some(b)) if a != b);
        self.is_announced && !is_other
    }

    fn departure(&self, endpoint: &EndpointId) -> Departure {
        Departure {
            endpoint: endpoint.clone(),
            revision: self.revision,
            is_announced: self.is_announced,
            born: self.born,
        }
    }
}

impl Departures {
    /// Notes a departure, and whether others are to be told of it; returns
    /// whether it is news.
    pub fn record(
        &mut self,
        departure: &Departure,
        is_repeated: bool,
        now: Instant,
    ) -> bool {
        let Departure { endpoint, revision, is_announced, born } = departure;
        let known = self.0.get(endpoint);
        let is_news = !self.has_left(endpoint, *revision, *born)
            || (*is_announced
                && !known.is_some_and(|k| k.is_announced_in(*born)));
        if !is_news {
            return false;
        }
        let mut new = Known {
            revision: *revision,
            since: now,
            is_repeated,
            is_announced: *is_announced,
            born: *born,
        };
        if let Some(known) = known {
            new.revision = new.revision.max(known.revision);
            if !is_announced {
                (new.is_announced, new.born) =
                    (known.is_announced, known.born);
            }
        }
        self.0.insert(endpoint.clone(), new);
        true
    }

    /// Returns whether an endpoint has left for all that its entry of this
    /// revision, and of this life, says.
    pub fn has_left(
        &self,
        id: &EndpointId,
        revision: Revision,
        born: Option<Incarnation>,
    ) -> bool {
        self.0.get(id).is_some_and(|known| {
            revision <= known.revision || known.is_announced_in(born)
        })
    }

    /// Returns the departures that others are still told of.
    pub fn repeated(&self, now: Instant) -> Vec<Departure> {
        let mut recent: Vec<(&EndpointId, &Known)> = self
            .0
            .iter()
            .filter(|(_, known)| {
                known.is_repeated && now - known.since < REPEATED_FOR
            })
            .collect();
        recent.sort_by_key(|(id, known)| (Reverse(known.since), *id));
        recent.truncate(MAX_REPEATED);
        recent.into_iter().map(|(id, known)| known.departure(id)).collect()
    }

    /// Returns all departures that are known.
    pub fn all(&self) -> impl Iterator<Item = Departure> {
        self.0.iter().map(|(id, known)| known.departure(id))
    }

    /// Forgets what nobody speaks of any more. An endpoint that announced it has left
    /// for as long as it is listed.
    pub fn forget(
        &mut self,
        is_listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) {
        self.0.retain(|id, known| {
            let is_recent = now - known.since < RETENTION;
            is_recent || (known.is_announced && is_listed(id))
        });
    }
}
