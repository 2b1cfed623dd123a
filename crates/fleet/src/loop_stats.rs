//! How late the event loop is, and which work makes it late.
//!
//! Everything that an instance does waits for its turn on one thread, so a
//! timer, the end of a request or a disconnect is handled late by what the
//! loop does before it. This module keeps what the driver of the loop measures;
//! it reads no clock and decides nothing. The invariant: each moment of a turn
//! is attributed to exactly one kind of work.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_clock::Instant;

/// The name of a kind of work in logs and metrics.
pub type WorkName = &'static str;

/// The work of a turn that no other name was given to: the connections and
/// requests of callers.
pub const REQUESTS: WorkName = "requests";

/// How long a window of measurements is.
const WINDOW: Duration = Duration::from_secs(1);

/// The number of full windows whose maximums are reported.
const WINDOWS: usize = 10;

/// The processor time of one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkTime {
    /// The total since the start of the process.
    pub total: Duration,
    /// The longest piece without a break since the start of the process.
    pub longest: Duration,
}

/// A turn of the loop: all work between two checks for new events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Turn {
    /// How long it took.
    pub took: Duration,
    /// The kind of work that most of it was spent on, and how long.
    pub most: Option<(WorkName, Duration)>,
}

/// The measurements of about a second, or the maximums of several seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// The longest time that something ready waited for its turn.
    pub max_delay: Duration,
    /// The longest turn.
    pub longest_turn: Turn,
    /// The number of turns.
    pub turns: u64,
    /// The time that the loop was not waiting for events.
    pub busy: Duration,
}

/// What the driver of the event loop has measured.
#[derive(Clone, Debug, Default)]
pub struct LoopStats {
    work: BTreeMap<WorkName, WorkTime>,
    /// The work of the current turn, by name.
    turn: Vec<(WorkName, Duration)>,
    current: Window,
    current_since: Option<Instant>,
    /// Full windows, the oldest first.
    full: Vec<Window>,
}

impl Window {
    fn merge(self, other: Window) -> Window {
        let longest_turn =
            match self.longest_turn.took >= other.longest_turn.took {
                true => self.longest_turn,
                false => other.longest_turn,
            };
        Window {
            max_delay: self.max_delay.max(other.max_delay),
            longest_turn,
            turns: self.turns + other.turns,
            busy: self.busy + other.busy,
        }
    }
}

impl LoopStats {
    /// Records a piece of work of the current turn.
    pub fn record_work(&mut self, name: WorkName, took: Duration) {
        let work = self.work.entry(name).or_default();
        work.total += took;
        work.longest = work.longest.max(took);
        match self.turn.iter_mut().find(|(known, _)| *known == name) {
            Some((_, total)) => *total += took,
            None => self.turn.push((name, took)),
        }
    }

    /// Records the end of a turn, and how long what was ready had waited at
    /// most. Returns the window that is full, if one is.
    pub fn end_turn(
        &mut self,
        took: Duration,
        delay: Duration,
        now: Instant,
    ) -> Option<Window> {
        let named: Duration = self.turn.iter().map(|(_, took)| *took).sum();
        let rest = took.saturating_sub(named);
        self.record_work(REQUESTS, rest);
        let most = self.turn.drain(..).max_by_key(|(_, took)| *took);
        let window = Window {
            max_delay: delay,
            longest_turn: Turn { took, most },
            turns: 1,
            busy: took,
        };
        self.current = self.current.merge(window);
        let since = *self.current_since.get_or_insert(now);
        if now.saturating_duration_since(since) < WINDOW {
            return None;
        }
        self.current_since = Some(now);
        let full = std::mem::take(&mut self.current);
        if self.full.len() == WINDOWS {
            self.full.remove(0);
        }
        self.full.push(full);
        Some(full)
    }

    /// Returns the maximums and sums of the last full windows, about 10 s, and
    /// of the current one.
    pub fn recent(&self) -> Window {
        self.full.iter().fold(self.current, |all, window| all.merge(*window))
    }

    /// Returns the processor time of each kind of work since the start.
    pub fn work(&self) -> impl Iterator<Item = (WorkName, WorkTime)> + '_ {
        self.work.iter().map(|(name, time)| (*name, *time))
    }
}
