//! Departures of endpoints, as any instance saw them in the platform's store,
//! or as endpoints announced them in responses.
//!
//! What an instance reads from the store may be seconds old, and an instance
//! that is cut off reads nothing. An instance that sees an endpoint leave
//! therefore tells all others, and repeats this for a while, since notes may
//! be lost. The invariant: an entry that may have been written no later than
//! the departure never brings an endpoint back; only one that was certainly
//! written later does. A departure that the endpoint itself announced is not
//! undone by any entry of the same incarnation, since the store may not have
//! the announced state yet.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};

use crate::{incarnation::Incarnation, revision::Revision};

/// How long each instance repeats the departures that it knows of. Notes are
/// sent to all others every 150 ms in a small fleet and every 2.4 s in a large
/// one; without a lease holder, the interval grows with the fleet and is
/// 4.85 s with 195 instances. One note in a hundred may be lost, and an
/// instance that starts may read a list that is 3 s old.
const REPEATED_FOR: Duration = Duration::from_secs(4);

/// The maximum number of departures in one note, the newest first. 16 take
/// about 400 bytes, so that a note stays within one packet.
const MAX_REPEATED: usize = 16;

/// How long a departure is kept. This exceeds the age of any note or list that
/// may still arrive, such as those of a frozen instance, which the platform
/// terminates after some seconds.
const RETENTION: Duration = Duration::from_secs(120);

/// An endpoint that is leaving or gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The store's revision at which the endpoint's entry was draining or
    /// missing. For a departure that the endpoint announced, the newest
    /// revision of its entry that was known then.
    pub revision: Revision,
    /// Whether the endpoint itself announced the departure.
    #[serde(default)]
    pub is_announced: bool,
    /// The incarnation that announced the departure, if the endpoint reports
    /// one.
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
    /// Returns the departure of an endpoint whose entry was draining or
    /// missing at a revision.
    pub fn of_entry(endpoint: &EndpointId, revision: Revision) -> Departure {
        Departure {
            endpoint: endpoint.clone(),
            revision,
            is_announced: false,
            born: None,
        }
    }

    /// Returns a departure that the endpoint itself announced.
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
    /// Returns whether the endpoint announced its departure in this
    /// incarnation.
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
    /// Records a departure; `is_repeated` states whether it is repeated to
    /// other instances. Returns whether it is new.
    pub fn record(
        &mut self,
        departure: &Departure,
        is_repeated: bool,
        now: Instant,
    ) -> bool {
        let Departure { endpoint, revision, is_announced, born } = departure;
        let known = self.0.get(endpoint);
        let is_covered = known.is_some_and(|known| {
            known.is_announced_in(*born)
                || (!is_announced && known.revision.covers(*revision))
        });
        if is_covered {
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
            new.revision = new.revision.join(known.revision);
            if !is_announced {
                (new.is_announced, new.born) =
                    (known.is_announced, known.born);
            }
        }
        self.0.insert(endpoint.clone(), new);
        true
    }

    /// Marks a departure that was not repeated as one that is from now on.
    /// Returns it, or none if it is unknown or was repeated before.
    pub fn confirm(
        &mut self,
        id: &EndpointId,
        now: Instant,
    ) -> Option<Departure> {
        let known = self.0.get_mut(id).filter(|known| !known.is_repeated)?;
        known.is_repeated = true;
        known.since = now;
        Some(known.departure(id))
    }

    /// Returns whether an endpoint has left, given the revision and the
    /// incarnation of its entry.
    pub fn has_left(
        &self,
        id: &EndpointId,
        revision: Revision,
        born: Option<Incarnation>,
    ) -> bool {
        self.0.get(id).is_some_and(|known| {
            !revision.is_certainly_after(known.revision)
                || known.is_announced_in(born)
        })
    }

    /// Returns the departures that are still repeated to other instances.
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

    /// Returns all known departures.
    pub fn all(&self) -> impl Iterator<Item = Departure> {
        self.0.iter().map(|(id, known)| known.departure(id))
    }

    /// Removes departures that are too old to be mentioned by any instance. A
    /// departure that the endpoint announced is kept for as long as the
    /// endpoint is listed.
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
