//! The lives of endpoints: one may start again under the id that it had, and then
//! holds and knows nothing of before.
//!
//! What an endpoint says of itself names the moment of its start, which tells its
//! lives apart. Clocks may be behind, so the later moment need not be the later
//! life. The invariant: a life that was followed by another one is over, whatever
//! is still heard of it, and what stood in the store before a life's first entry
//! says nothing of it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;
use serde::{Deserialize, Serialize};

use crate::endpoint::Revision;

/// The Unix millisecond of an endpoint's start, on its own clock.
pub type Incarnation = u64;

/// How many lives that are over are kept for each endpoint: what is said late is
/// seconds old, and an endpoint takes a second at least to start.
const MAX_ENDED: usize = 8;

/// How late an entry may show a life that is over: endpoints write theirs once a
/// second, and a watch that waits for many changes is 2.5 s late.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(4);

/// How late an endpoint's own word may come: a call for it waits for 0.8 s.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// How long lives are kept after they were last heard of: longer than any list or
/// note may be late.
const RETENTION: Duration = Duration::from_secs(300);

/// One life of an endpoint.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct EndpointIncarnation {
    /// The endpoint.
    pub id: EndpointId,
    /// When this life began, if it says so; else its id names one life.
    pub born: Option<Incarnation>,
}

/// What a word about an endpoint speaks of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationStatus {
    /// The life that is known, or of no life in particular.
    Current,
    /// A life that has begun since: all that was known is void.
    New,
    /// A life that is over: it says nothing.
    Ended,
}

/// The lives of all endpoints, as far as they were heard of.
#[derive(Clone, Debug, Default)]
pub struct Incarnations(HashMap<EndpointId, Known>);

#[derive(Clone, Debug)]
struct Known {
    born: Incarnation,
    /// Whether an entry has shown it; else only the endpoint's own word.
    is_listed: bool,
    /// The newest revision of the store that showed one of its lives.
    revision: Revision,
    /// The life that a word of the endpoint's ended, and until when entries of it
    /// are taken for late ones.
    superseded: Option<(Incarnation, Instant)>,
    /// Lives that only their own words showed, left for another one, and until when
    /// words of them are taken for late ones. Their entries may yet come.
    unlisted: VecDeque<(Incarnation, Instant)>,
    /// Lives that were followed by another one.
    ended: VecDeque<Incarnation>,
    last_heard: Instant,
}

impl Incarnations {
    /// Takes in an entry, as of a revision of the store.
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
            true => known.end(known.born),
            false => known.replace_unlisted(now),
        }
        known.born = born;
        known.confirm_listed(revision, now);
        IncarnationStatus::New
    }

    /// Takes in what an endpoint said of itself when it was asked. Its entry may
    /// still show the life before for a while, or, if the answer was late, another
    /// one that has begun since.
    pub fn apply_report(
        &mut self,
        id: &EndpointId,
        born: Option<Incarnation>,
        now: Instant,
    ) -> IncarnationStatus {
        let Some(born) = born else { return IncarnationStatus::Current };
        let Some(known) = self.0.get_mut(id) else {
            let known = Known { is_listed: false, ..Known::new(born, 0, now) };
            self.0.insert(id.clone(), known);
            return IncarnationStatus::Current;
        };
        if known.born == born {
            known.last_heard = now;
            return IncarnationStatus::Current;
        }
        let is_late = known
            .unlisted
            .iter()
            .any(|(left, until)| *left == born && now < *until);
        if is_late || known.is_over(born, now) {
            return IncarnationStatus::Ended;
        }
        match known.is_listed {
            true => {
                known.superseded = Some((known.born, now + MAX_ENTRY_DELAY))
            }
            false => known.replace_unlisted(now),
        }
        known.born = born;
        known.is_listed = false;
        known.last_heard = now;
        IncarnationStatus::New
    }

    /// Returns when the life that is known began.
    pub fn born(&self, id: &EndpointId) -> Option<Incarnation> {
        self.0.get(id).map(|known| known.born)
    }

    /// Returns whether a word about a life speaks of the one that is known, or
    /// none is known.
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

    /// Forgets endpoints that were not heard of for long.
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
            unlisted: VecDeque::new(),
            ended: VecDeque::new(),
            last_heard: now,
        }
    }

    /// Notes that an entry shows the life that is known: the one before is over.
    fn confirm_listed(&mut self, revision: Revision, now: Instant) {
        self.is_listed = true;
        self.revision = self.revision.max(revision);
        self.last_heard = now;
        if let Some((superseded, _)) = self.superseded.take()
            && superseded != self.born
        {
            self.end(superseded);
        }
    }

    fn end(&mut self, born: Incarnation) {
        self.ended.push_back(born);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    fn replace_unlisted(&mut self, now: Instant) {
        self.unlisted.push_back((self.born, now + MAX_REPORT_DELAY));
        if self.unlisted.len() > MAX_ENDED {
            self.unlisted.pop_front();
        }
    }

    fn is_over(&self, born: Incarnation, now: Instant) -> bool {
        let is_superseded = self
            .superseded
            .is_some_and(|(known, until)| known == born && now < until);
        is_superseded || self.ended.contains(&born)
    }
}
