//! Incarnations of endpoints. An endpoint may restart under the same id, and
//! has then lost all of its previous state.
//!
//! An endpoint states the time of its start, which distinguishes its
//! incarnations. Clocks may be set back, so a later start time need not mean a
//! later incarnation. The invariants: an incarnation that was followed by
//! another one has ended, whatever still arrives from it; what the store held
//! before an incarnation's first entry says nothing about that incarnation;
//! and an entry that a restored copy of the store may have held ends no
//! incarnation, since it may show an earlier one.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};

use crate::revision::Revision;

/// The start time of an endpoint in Unix milliseconds by its own clock, which
/// identifies the incarnation.
pub type Incarnation = u64;

/// The number of ended incarnations that are kept per endpoint. Late messages
/// are seconds old, and an endpoint takes at least one second to start.
const MAX_ENDED: usize = 8;

/// How late an entry of an ended incarnation may arrive. Endpoints write their
/// entries once a second, and a watch with many changes pending is up to 2.5 s
/// late.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(4);

/// How late an endpoint's own report may arrive. A call for a report waits for
/// up to 0.8 s.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// How long incarnations are kept after the endpoint was last heard of. This
/// exceeds the delay of any list or note.
const RETENTION: Duration = Duration::from_secs(300);

/// One incarnation of an endpoint.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct EndpointIncarnation {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The incarnation's start time, if the endpoint reports one; otherwise
    /// the id alone identifies the incarnation.
    pub born: Option<Incarnation>,
}

/// The incarnation that a message about an endpoint refers to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationStatus {
    /// The current incarnation, or none in particular.
    Current,
    /// A new incarnation; all state of the previous one is void.
    New,
    /// An ended incarnation; the message is ignored.
    Ended,
}

/// The known incarnations of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Incarnations(HashMap<EndpointId, Known>);

#[derive(Clone, Debug)]
struct Known {
    born: Incarnation,
    /// Whether an entry has shown the current incarnation; otherwise only the
    /// endpoint's own report has.
    is_listed: bool,
    /// The newest revision of the store that showed an incarnation of the
    /// endpoint.
    revision: Revision,
    /// The listed incarnation that a report of a new one has replaced, and the
    /// time until which its entries are taken for late ones.
    superseded: Option<(Incarnation, Instant)>,
    /// Replaced incarnations that may not have ended, and the time until which
    /// their reports are taken for late ones. Their entries may still arrive.
    replaced: VecDeque<(Incarnation, Instant)>,
    /// Incarnations that were followed by another one.
    ended: VecDeque<Incarnation>,
    last_heard: Instant,
}

impl Incarnations {
    /// Applies an entry as of a revision of the store.
    pub fn apply_entry(
        &mut self,
        id: &EndpointId,
        born: Option<Incarnation>,
        revision: Revision,
        now: Instant,
    ) -> IncarnationStatus {
        let Some(born) = born else { return IncarnationStatus::Current };
        let Some(known) = self.0.get_mut(id) else {
            self.0.insert(id.clone(), Known::new(born, revision, now));
            return IncarnationStatus::Current;
        };
        if known.born == born {
            known.confirm_listed(revision, now);
            return IncarnationStatus::Current;
        }
        if revision < known.revision || known.is_over(born, now) {
            return IncarnationStatus::Ended;
        }
        match known.is_listed {
            true => known.follow(known.born, revision, now),
            false => known.replace(known.born, now),
        }
        known.born = born;
        known.confirm_listed(revision, now);
        IncarnationStatus::New
    }

    /// Applies the endpoint's own report. The endpoint's entry may show the
    /// previous incarnation for a while, or, if the report is late, one that
    /// has started since.
    pub fn apply_report(
        &mut self,
        id: &EndpointId,
        born: Option<Incarnation>,
        now: Instant,
    ) -> IncarnationStatus {
        let Some(born) = born else { return IncarnationStatus::Current };
        let Some(known) = self.0.get_mut(id) else {
            let known = Known {
                is_listed: false,
                ..Known::new(born, Revision::default(), now)
            };
            self.0.insert(id.clone(), known);
            return IncarnationStatus::Current;
        };
        if known.born == born {
            known.last_heard = now;
            return IncarnationStatus::Current;
        }
        let is_late = known
            .replaced
            .iter()
            .any(|(left, until)| *left == born && now < *until);
        if is_late || known.is_over(born, now) {
            return IncarnationStatus::Ended;
        }
        match known.is_listed {
            true => {
                known.superseded = Some((known.born, now + MAX_ENTRY_DELAY))
            }
            false => known.replace(known.born, now),
        }
        known.born = born;
        known.is_listed = false;
        known.last_heard = now;
        IncarnationStatus::New
    }

    /// Returns the current incarnation of an endpoint, if one is known.
    pub fn born(&self, id: &EndpointId) -> Option<Incarnation> {
        self.0.get(id).map(|known| known.born)
    }

    /// Returns whether a message about an incarnation refers to the current
    /// one. If either is not known, the message is taken to be current.
    pub fn is_current(
        &self,
        id: &EndpointId,
        born: Option<Incarnation>,
    ) -> bool {
        match (born, self.born(id)) {
            (Some(born), Some(known)) => born == known,
            _ => true,
        }
    }

    /// Removes endpoints that were not heard of for a long time.
    pub fn forget(&mut self, now: Instant) {
        self.0.retain(|_, known| {
            now.saturating_duration_since(known.last_heard) < RETENTION
        });
    }
}

impl Known {
    fn new(born: Incarnation, revision: Revision, now: Instant) -> Known {
        Known {
            born,
            is_listed: true,
            revision,
            superseded: None,
            replaced: VecDeque::new(),
            ended: VecDeque::new(),
            last_heard: now,
        }
    }

    /// Records that an entry shows the current incarnation.
    fn confirm_listed(&mut self, revision: Revision, now: Instant) {
        if let Some((superseded, _)) = self.superseded.take()
            && superseded != self.born
        {
            self.follow(superseded, revision, now);
        }
        self.is_listed = true;
        self.revision = self.revision.max(revision);
        self.last_heard = now;
    }

    /// Records that an entry shows another incarnation than the listed one.
    /// This ends the listed one only if the entry was certainly written later.
    fn follow(&mut self, born: Incarnation, revision: Revision, now: Instant) {
        match revision.is_certainly_after(self.revision) {
            true => self.end(born),
            false => self.replace(born, now),
        }
    }

    fn end(&mut self, born: Incarnation) {
        self.ended.push_back(born);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    fn replace(&mut self, born: Incarnation, now: Instant) {
        self.replaced.push_back((born, now + MAX_REPORT_DELAY));
        if self.replaced.len() > MAX_ENDED {
            self.replaced.pop_front();
        }
    }

    fn is_over(&self, born: Incarnation, now: Instant) -> bool {
        let is_superseded = self
            .superseded
            .is_some_and(|(known, until)| known == born && now < until);
        is_superseded || self.ended.contains(&born)
    }
}
