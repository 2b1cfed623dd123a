//! What happens when, in the order of time.

use std::{cmp::Ordering, collections::BinaryHeap, time::Duration};

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Event {
    /// A caller's request comes.
    Arrives,
    /// A request reaches an endpoint that its instance chose.
    Reaches { request: usize, endpoint: usize },
    /// An endpoint has done a request's work.
    Done { request: usize, endpoint: usize },
    /// An instance learns that its request was answered or rejected.
    Answered { request: usize, endpoint: usize, is_done: bool },
    /// An instance tells the holder what it has under way.
    TellsHolder { instance: usize },
    /// The holder tells all what is under way.
    TellsAll,
    /// Half of the endpoints reject all that comes.
    HalfGoes,
    /// All instances hear that these have left.
    HalfIsGone,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Due {
    at: Duration,
    number: u64,
    event: Event,
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Events to come, the next one first.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    due: BinaryHeap<Due>,
    number: u64,
}

impl Agenda {
    pub(super) fn add(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.due.push(Due { at, number: self.number, event });
    }

    pub(super) fn next(&mut self) -> Option<(Duration, Event)> {
        self.due.pop().map(|due| (due.at, due.event))
    }
}
