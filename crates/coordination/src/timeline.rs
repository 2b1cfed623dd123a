//! The time line: what happened in each process, in a bounded ring.
//!
//! Events carry a hybrid stamp: wall-clock milliseconds that never go back and
//! never fall behind a stamp that was received, then a counter. Sorting by the
//! stamp keeps every cause before its effect, over all processes.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use sedgewall_state::{InstanceId, RequestId};
use serde::{Deserialize, Serialize};

/// A hybrid stamp: orders events of all processes, causes first.
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
    /// Milliseconds since the Unix epoch, or later if a peer was ahead.
    pub wall_ms: u64,
    /// Orders events of the same millisecond.
    pub count: u32,
}

/// A source of stamps.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridLogicalClock {
    last: Stamp,
}

impl HybridLogicalClock {
    /// Returns the stamp of a new event.
    pub fn tick(&mut self, wall: SystemTime) -> Stamp {
        let wall_ms = unix_ms(wall);
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, count: 0 }
        } else {
            Stamp { wall_ms: self.last.wall_ms, count: self.last.count + 1 }
        };
        self.last
    }

    /// Takes in the stamp of a message.
    pub fn receive(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }
}

/// What an event is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A request came in.
    Request,
    /// A request was given a seat.
    Grant,
    /// A request was sent to an endpoint.
    Call,
    /// The first bytes of an answer went to the caller.
    FirstToken,
    /// A request ended.
    End,
    /// A request was refused.
    Refusal,
    /// A request was tried again.
    Retry,
    /// A load was ordered.
    Load,
    /// A load ended.
    Loaded,
    /// A load failed.
    LoadFailed,
    /// An adapter left an engine.
    Unload,
    /// A lease was taken, lost or released.
    Lease,
    /// A configuration came into force.
    Config,
    /// An instance or endpoint came, went or changed its state.
    Member,
    /// An idempotency key was claimed.
    Claim,
    /// The platform went out of reach or came back.
    Platform,
}

/// One event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When, in the order of causes.
    pub stamp: Stamp,
    /// The process that saw it.
    pub instance: InstanceId,
    /// What it is about.
    pub kind: EventKind,
    /// The request, if there is one.
    #[serde(with = "request_hex", skip_serializing_if = "Option::is_none")]
    #[serde(default)]
    pub request: Option<RequestId>,
    /// The adapter and version, or the shard, if there is one.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub subject: String,
    /// The endpoint, if there is one.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub endpoint: String,
    /// What happened, in a few words.
    pub detail: String,
}

/// The events of one process.
#[derive(Clone, Debug)]
pub struct Timeline {
    events: VecDeque<Event>,
    capacity: usize,
}

impl Timeline {
    /// Returns an empty ring that keeps the last `capacity` events.
    pub fn new(capacity: usize) -> Timeline {
        Timeline { events: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Adds an event; the oldest one goes when the ring is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}

/// Merges the time lines of several processes, causes first.
pub fn merge(timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    events
}

/// Returns milliseconds since the Unix epoch.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

mod request_hex {
    //! Request ids are hex in JSON, whose numbers cannot hold 128 bits.

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
