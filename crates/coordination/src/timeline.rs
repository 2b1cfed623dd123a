//! A timeline of the events of each process, kept in a bounded ring buffer.
//!
//! Events carry a hybrid logical timestamp: wall-clock milliseconds that never
//! decrease and never fall behind a received timestamp, and a counter. Sorting
//! by timestamp places every cause before its effects, across all processes.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use sedgewall_state::{InstanceId, RequestId};
use serde::{Deserialize, Serialize};

/// A hybrid logical timestamp, which orders the events of all processes
/// consistently with causality.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch, or a later value received from a
    /// peer whose clock is ahead.
    pub wall_ms: u64,
    /// A counter that orders events with the same `wall_ms`.
    pub count: u32,
}

/// A hybrid logical clock, which issues the timestamps of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridLogicalClock {
    last: Stamp,
}

impl HybridLogicalClock {
    /// Returns the timestamp of a new event at the given wall-clock time.
    pub fn tick(&mut self, wall: SystemTime) -> Stamp {
        let wall_ms = unix_ms(wall);
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, count: 0 }
        } else {
            Stamp { wall_ms: self.last.wall_ms, count: self.last.count + 1 }
        };
        self.last
    }

    /// Advances the clock to the timestamp of a received message, if that is
    /// later.
    pub fn receive(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A request was received.
    Request,
    /// A request was granted a seat, one place in an engine's batch.
    Grant,
    /// A request was sent to an endpoint.
    Call,
    /// The first bytes of a response were sent to the caller.
    FirstToken,
    /// A request ended.
    End,
    /// A request was rejected.
    Refusal,
    /// A request was retried.
    Retry,
    /// An engine was ordered to load an adapter.
    Load,
    /// An engine finished loading an adapter.
    Loaded,
    /// An engine failed to load an adapter.
    LoadFailed,
    /// An adapter was unloaded from an engine.
    Unload,
    /// A lease was acquired, lost or released.
    Lease,
    /// A configuration version took effect.
    Config,
    /// An instance or endpoint joined, left or changed its state.
    Member,
    /// An idempotency key was claimed.
    Claim,
    /// The platform became unreachable or reachable again.
    Platform,
}

/// One event on a timeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The hybrid logical timestamp of the event.
    pub stamp: Stamp,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// The kind of the event.
    pub kind: EventKind,
    /// The request that the event concerns, if any; hex in JSON.
    #[serde(with = "request_hex", skip_serializing_if = "Option::is_none")]
    #[serde(default)]
    pub request: Option<RequestId>,
    /// The adapter and version, or the shard; empty if neither applies.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub subject: String,
    /// The endpoint that the event concerns; empty if there is none.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub endpoint: String,
    /// A short description for operators.
    pub detail: String,
}

/// A ring buffer with the latest events of one process.
#[derive(Clone, Debug)]
pub struct Timeline {
    events: VecDeque<Event>,
    capacity: usize,
}

impl Timeline {
    /// Returns an empty timeline that keeps the last `capacity` events, and
    /// at least one.
    pub fn new(capacity: usize) -> Timeline {
        Timeline { events: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Appends an event, and drops the oldest one if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the buffered events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}

/// Merges the timelines of several processes, in the order of their
/// timestamps.
pub fn merge(timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    events
}

/// Returns a wall-clock time as milliseconds since the Unix epoch, or 0 for
/// an earlier time.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

mod request_hex {
    //! Serializes request ids as hex strings, because JSON numbers cannot
    //! hold 128 bits.

    use sedgewall_state::RequestId;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        id: &Option<RequestId>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match id {
            Some(id) => serializer.serialize_str(&format!("{id:032x}")),
            None => serializer.serialize_none(),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<RequestId>, D::Error> {
        let text: Option<String> = Option::deserialize(deserializer)?;
        text.map(|text| RequestId::from_str_radix(&text, 16))
            .transpose()
            .map_err(D::Error::custom)
    }
}
