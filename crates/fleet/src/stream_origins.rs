//! Where streams began: the service and software version of their first event.
//!
//! A caller may resume a stream at any instance, also after the instance that
//! began it has ended. So each instance tells a few others, chosen by the hash
//! of the request id, and asks the same ones when a stream is resumed. The
//! invariant: a stream whose origin is not known is never guessed to have
//! begun at one of several versions.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{endpoint::SoftwareVersion, route::ServiceName};

/// The number of other instances that are told of each stream.
pub const HOLDERS: usize = 2;

/// The number of other instances that are asked for a stream. The list of
/// instances may differ by a few from that of the instance which told them,
/// and that instance is not among the holders itself.
pub const MAX_ASKED: usize = 5;

/// How long the origin of a stream is known: longer than callers wait for an
/// answer, over all of their tries.
pub const ORIGIN_VALID_FOR: Duration = Duration::from_secs(60);

/// How long a service must have had one software version before a stream of
/// unknown origin is taken to have begun at it: longer than callers wait, whose
/// time limits are 15 s at most.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(20);

/// The maximum number of streams whose origins are known. The oldest are
/// forgotten first.
const MAX_ORIGINS: usize = 1 << 16;

/// A hash of the caller's attempt that brought the first event of a stream.
pub type StreamKey = u64;

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The service that the first event came from.
    pub service: ServiceName,
    /// The software version of the endpoint that the first event came from.
    pub software_version: SoftwareVersion,
}

/// What an instance knows of the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OriginKnowledge {
    /// The stream began here.
    Known(StreamOrigin),
    /// The stream is not known, and its service has had only this software
    /// version for longer than a stream lasts.
    OnlyVersion(SoftwareVersion),
    /// The stream is not known, and its service has had several versions.
    SeveralVersions,
    /// Nothing is known: the instance has just started, or it does not reach
    /// the store.
    Nothing,
}

/// The origins of streams that began here or at instances that told this one.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<StreamKey, (Rc<StreamOrigin>, Instant)>,
    /// The streams in the order in which they were recorded.
    recorded: VecDeque<(StreamKey, Instant)>,
    /// The origins in use, each once.
    origins: Vec<Rc<StreamOrigin>>,
}

impl StreamOrigins {
    /// Records where a stream began.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: &StreamOrigin,
        now: Instant,
    ) {
        let shared =
            match self.origins.iter().find(|known| ***known == *origin) {
                Some(known) => known.clone(),
                None => {
                    let new = Rc::new(origin.clone());
                    self.origins.push(new.clone());
                    new
                }
            };
        self.known.insert(key, (shared, now));
        self.recorded.push_back((key, now));
        self.forget(now);
    }

    /// Returns where a stream began, if that is known.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<&StreamOrigin> {
        let (origin, at) = self.known.get(&key)?;
        (now - *at < ORIGIN_VALID_FOR).then_some(origin)
    }

    /// Returns the streams of a service that were recorded within `max_age`,
    /// oldest first.
    pub fn recent<'a>(
        &'a self,
        service: &'a str,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (StreamKey, &'a StreamOrigin)> {
        self.recorded.iter().filter_map(move |(key, at)| {
            let (origin, known_at) = self.known.get(key)?;
            let is_recent = known_at == at && now - *at < max_age;
            (is_recent && origin.service == service)
                .then_some((*key, &**origin))
        })
    }

    /// Forgets streams that have ended for certain, and the oldest ones beyond
    /// the maximum number.
    pub fn forget(&mut self, now: Instant) {
        while let Some((key, at)) = self.recorded.front().copied() {
            let is_old = now - at >= ORIGIN_VALID_FOR;
            if !is_old && self.recorded.len() <= MAX_ORIGINS {
                return;
            }
            self.recorded.pop_front();
            // The stream may have been recorded again since.
            if self.known.get(&key).is_some_and(|(_, known)| *known == at) {
                self.known.remove(&key);
            }
            self.origins.retain(|origin| Rc::strong_count(origin) > 1);
        }
    }

    /// Returns the number of streams whose origins are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// Returns the key of a stream that began as this request of a customer.
pub fn stream_key(customer: Option<&str>, request_id: &str) -> StreamKey {
    let seed =
        customer.map_or(0, |name| xxh3_64_with_seed(name.as_bytes(), 1));
    xxh3_64_with_seed(request_id.as_bytes(), seed)
}

/// Returns up to `count` of these instances that hold the origin of a stream.
///
/// The choice is by rendezvous hashing, so that an instance that comes or goes
/// changes it for few streams.
pub fn holders<'a>(
    key: StreamKey,
    instances: impl Iterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<(u64, &InstanceId)> = instances
        .map(|id| (xxh3_64_with_seed(id.as_bytes(), key), id))
        .collect();
    let count = count.min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Decides where a stream began by what all instances that were asked know,
/// this one included. Returns `None` if that is not certain.
///
/// `service` is the only service of the stream's route, if it has only one.
/// At least one other instance must have answered unless there is no other.
pub fn decide(
    answers: &[OriginKnowledge],
    is_alone: bool,
    service: Option<&ServiceName>,
) -> Option<StreamOrigin> {
    let known = answers.iter().find_map(|answer| match answer {
        OriginKnowledge::Known(origin) => Some(origin.clone()),
        _ => None,
    });
    if known.is_some() {
        return known;
    }
    let service = service?;
    if !is_alone && answers.len() < 2 {
        return None;
    }
    let mut only: Option<&SoftwareVersion> = None;
    for answer in answers {
        match answer {
            OriginKnowledge::OnlyVersion(version)
                if only.is_none_or(|known| known == version) =>
            {
                only = Some(version);
            }
            OriginKnowledge::Nothing => {}
            _ => return None,
        }
    }
    Some(StreamOrigin {
        service: service.clone(),
        software_version: only?.clone(),
    })
}
