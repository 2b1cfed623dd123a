//! Intake: when a request that was read may begin.
//!
//! All work of an instance waits for its turn on one thread. A request that
//! begins brings more work later: an answer to pass on, a timeout, an end. If
//! requests began as they arrive, then under more of them than the processor
//! takes all of this would be late without a bound. So in each turn of the loop
//! new requests begin for a limited time only, and none do while the loop is
//! late with what has begun. The others wait here, the most urgent first, and a
//! request is refused as soon as it is clear that its turn would come too late.
//!
//! The invariant: a request begins at once if the loop is on time and nothing
//! waits, and none waits longer than its own bound plus one turn of the loop.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_clock::Instant;

/// The time of a turn for which new requests begin. The end of a request may
/// wait this long for requests that begin.
const BEGIN_SLICE: Duration = Duration::from_millis(20);

/// The time for which the loop may not have been through with all that was
/// ready before no more requests begin. A process may get no processor time for
/// a tenth of a second while it has enough of it overall.
const MAX_BEHIND: Duration = Duration::from_millis(250);

/// The fraction of the target latency for which a request may wait. A caller
/// that is refused then has most of that time left to be served elsewhere.
const WAIT_FRACTION: f64 = 0.25;

/// The bounds of that wait.
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_millis(250);

/// How long some request must have waited at each moment before the rate at
/// which they begin is known. It covers several of the times for which a process
/// may get no processor time.
const MIN_OBSERVED: Duration = Duration::from_millis(300);

/// The time of observations after which earlier ones count half.
const HALVED_AFTER: Duration = Duration::from_millis(1_000);

/// The number of a request that waits, in the order of arrival.
pub type Ticket = u64;

/// The priority of a request; 0 is the most urgent.
pub type Priority = u8;

/// A request that was read and has not begun.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Its priority.
    pub priority: Priority,
    /// How long it may wait.
    pub max_wait: Duration,
}

impl Offer {
    /// Returns the offer of a request to a route with this target latency.
    pub fn new(priority: Priority, target_latency: Duration) -> Offer {
        let wait = target_latency.mul_f64(WAIT_FRACTION);
        Offer { priority, max_wait: wait.clamp(MIN_WAIT, MAX_WAIT) }
    }
}

/// What happens with a request that is offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It begins now.
    Begin,
    /// It waits until it is released.
    Wait(Ticket),
    /// Its turn would come too late.
    Refuse,
}

/// A request that no longer waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Release {
    /// It begins now.
    Begin(Ticket),
    /// It has waited for too long, or would.
    Refuse(Ticket),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
    max_wait: Duration,
}

/// The rate at which requests begin while others wait.
#[derive(Clone, Copy, Debug, Default)]
struct BeginRate {
    begun: f64,
    observed: Duration,
    counted_until: Option<Instant>,
}

/// The requests that were read and have not begun.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    waiting: BTreeMap<(Priority, Ticket), Waiting>,
    next_ticket: Ticket,
    turn_began: Option<Instant>,
    is_late: bool,
    rate: BeginRate,
}

impl Intake {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a turn of the loop begins, and how long ago the loop was
    /// last through with all that was ready. Returns the requests that are
    /// refused.
    pub fn begin_turn(
        &mut self,
        now: Instant,
        behind: Duration,
    ) -> Vec<Release> {
        self.rate.observe(now, !self.waiting.is_empty());
        self.turn_began = Some(now);
        self.is_late = behind > MAX_BEHIND;
        let late = self.waiting.iter().filter(|(_, waiting)| {
            now.saturating_duration_since(waiting.since) > waiting.max_wait
        });
        let late: Vec<_> = late.map(|(key, _)| *key).collect();
        late.into_iter()
            .map(|key| {
                self.waiting.remove(&key);
                Release::Refuse(key.1)
            })
            .collect()
    }

    /// Returns whether a request that is read now begins at once, whatever its
    /// priority.
    pub fn begins_at_once(&self, now: Instant) -> bool {
        self.waiting.is_empty() && self.has_time(now)
    }

    /// Decides on a request that was just read.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> Admission {
        if self.begins_at_once(now) {
            return Admission::Begin;
        }
        self.rate.observe(now, !self.waiting.is_empty());
        let ahead =
            (Priority::MIN, Ticket::MIN)..=(offer.priority, Ticket::MAX);
        let ahead = self.waiting.range(ahead).count();
        if self.rate.wait(ahead).is_some_and(|wait| wait > offer.max_wait) {
            return Admission::Refuse;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let waiting = Waiting { since: now, max_wait: offer.max_wait };
        self.waiting.insert((offer.priority, ticket), waiting);
        Admission::Wait(ticket)
    }

    /// Returns the next request that begins in this turn, if there is one. Each
    /// request that begins calls this first, so that the time of those before
    /// it is counted.
    pub fn begin_next(&mut self, now: Instant) -> Option<Release> {
        if !self.has_time(now) {
            return None;
        }
        self.rate.observe(now, !self.waiting.is_empty());
        let ((_, ticket), _) = self.waiting.pop_first()?;
        self.rate.begun += 1.0;
        Some(Release::Begin(ticket))
    }

    /// Returns whether the loop is late with what has begun, so that nothing
    /// begins in this turn.
    pub fn is_late(&self) -> bool {
        self.is_late
    }

    /// Returns whether a request that comes now would be refused, unless it is
    /// more urgent than those that wait.
    pub fn is_overloaded(&self) -> bool {
        let wait = self.rate.wait(self.waiting.len());
        self.is_late || wait.is_some_and(|wait| wait > MAX_WAIT)
    }

    /// Removes a request whose caller has left.
    pub fn leave(&mut self, priority: Priority, ticket: Ticket) {
        self.waiting.remove(&(priority, ticket));
    }

    /// Returns the request that is the last in line and would wait too long,
    /// because more urgent ones came after it, and removes it.
    pub fn refuse_last(&mut self) -> Option<Release> {
        let (key, waiting) = self.waiting.last_key_value()?;
        let wait = self.rate.wait(self.waiting.len())?;
        if wait <= waiting.max_wait {
            return None;
        }
        let key = *key;
        self.waiting.remove(&key);
        Some(Release::Refuse(key.1))
    }

    /// Returns whether the turn has time for another request to begin.
    fn has_time(&self, now: Instant) -> bool {
        !self.is_late
            && self.turn_began.is_none_or(|began| {
                now.saturating_duration_since(began) < BEGIN_SLICE
            })
    }
}

impl BeginRate {
    /// Counts the time since the last call if requests waited in it, and starts
    /// anew if none did: what begins then says nothing of the processor.
    fn observe(&mut self, now: Instant, has_waiting: bool) {
        let since = self.counted_until.replace(now).unwrap_or(now);
        if !has_waiting {
            let counted_until = Some(now);
            *self = BeginRate { counted_until, ..BeginRate::default() };
            return;
        }
        self.observed += now.saturating_duration_since(since);
        if self.observed > HALVED_AFTER {
            self.observed /= 2;
            self.begun /= 2.0;
        }
    }

    /// Returns how long a request waits behind others, if that is known.
    fn wait(&self, ahead: usize) -> Option<Duration> {
        if self.observed < MIN_OBSERVED {
            return None;
        }
        let per_request = self.observed.div_f64(self.begun.max(1.0));
        Some(per_request.mul_f64(ahead as f64))
    }
}
