//! The queue of requests that wait for an endpoint, with their order.
//!
//! Requests leave by effective priority. Within a priority, those that can
//! still be answered in time go first, and customers get equal parts of what is
//! dequeued (start-time fair queueing; Goyal, Vin and Cheng, 1996). The least
//! urgent priority that waits gets a minimum share, so that it is not starved.
//! Nothing in this module performs I/O or reads a clock.
//!
//! The invariants: no request stays in the queue beyond the latest time at
//! which it can still be answered, and each request that came either waits or
//! was counted once as sent, rejected or departed.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;

use crate::customer::CustomerName;

/// The fraction of dequeued requests that the least urgent waiting priority
/// gets.
pub const LEAST_SHARE: f64 = 0.05;

/// Tolerance for the rounding errors of added shares.
const ROUNDING: f64 = 1e-9;

/// The number of dequeued requests from which the dequeue rate is computed.
const RATE_SAMPLES: usize = 16;

/// The minimum number of dequeued requests for a dequeue rate.
const MIN_RATE_SAMPLES: usize = 4;

/// How long a dequeued request counts for the dequeue rate. Callers wait 2.5 s
/// at plain services, so that an older rate is no guide to their wait.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// Identifies a request in one queue.
pub type WaitId = u64;

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The effective priority, 0 being the most urgent.
    pub priority: u8,
    /// The customer, if the route needs a key.
    pub customer: Option<CustomerName>,
    /// What the request takes of the scarce resource: tokens at engines, 1 at
    /// plain services.
    pub cost: f64,
    /// When the request arrived.
    pub arrived: Instant,
    /// The latest time to send the request so that its answer begins within
    /// the target.
    pub in_time_until: Instant,
    /// The latest time to send the request so that its answer ends before the
    /// deadline.
    pub send_until: Instant,
}

/// What the queue knows of the capacity that requests wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedWait {
    /// Number of requests that leave the queue first.
    pub position: usize,
    /// The expected time until capacity is available; `None` before enough
    /// requests have left the queue.
    pub wait: Option<Duration>,
}

/// Counts of the requests that came to a queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueCounts {
    /// Requests that joined the queue, or that it did not take.
    pub arrived: u64,
    /// Requests that left the queue for an endpoint.
    pub sent: u64,
    /// Requests that were rejected, at once or after a wait.
    pub rejected: u64,
    /// Requests whose callers disconnected.
    pub departed: u64,
}

/// The requests that wait for an endpoint of one service, or for one adapter
/// there.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    max_len: usize,
    next_id: WaitId,
    waiting: BTreeMap<WaitId, Waiting>,
    shares: HashMap<u8, CustomerShares>,
    /// The part of a turn that the least urgent priority has accumulated.
    least_urgent_credit: f64,
    /// When the last requests left the queue for an endpoint.
    dequeued: VecDeque<Instant>,
    /// When the callers of rejected requests are expected to retry. Each takes
    /// a position in the queue.
    reserved: VecDeque<Instant>,
    counts: QueueCounts,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: QueuedRequest,
    /// Whether requests behind this one may go first: it can't use the
    /// endpoints that they can use, or it waits for a better one.
    is_deferred: bool,
}

/// What the customers of one priority got, for start-time fair queueing.
#[derive(Clone, Debug, Default)]
struct CustomerShares {
    /// The start tag of the last dequeued request.
    virtual_time: f64,
    /// The finish tag of the last dequeued request of each customer, if it is
    /// above the virtual time.
    finish: HashMap<Option<CustomerName>, f64>,
}

impl CustomerShares {
    /// Returns the start tag of a customer's next request.
    fn start(&self, customer: &Option<CustomerName>) -> f64 {
        let finish = self.finish.get(customer).copied().unwrap_or(0.0);
        finish.max(self.virtual_time)
    }

    fn dequeue(&mut self, request: &QueuedRequest) {
        let start = self.start(&request.customer);
        // A request without a cost would let its customer take all turns.
        let finish = start + request.cost.max(1.0);
        self.virtual_time = start;
        self.finish.insert(request.customer.clone(), finish);
        self.finish.retain(|_, finish| *finish > start);
    }
}

impl WaitQueue {
    /// Returns an empty queue for at most `max_len` requests.
    pub fn new(max_len: usize) -> WaitQueue {
        WaitQueue {
            max_len,
            next_id: 0,
            waiting: BTreeMap::new(),
            shares: HashMap::new(),
            least_urgent_credit: 0.0,
            dequeued: VecDeque::new(),
            reserved: VecDeque::new(),
            counts: QueueCounts::default(),
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the counts of the requests that came.
    pub fn counts(&self) -> QueueCounts {
        self.counts
    }

    /// Returns the number of customers and of reserved positions that the
    /// queue remembers.
    pub fn remembered(&self) -> usize {
        let customers = self.shares.values().map(|s| s.finish.len());
        customers.sum::<usize>() + self.reserved.len()
    }

    /// Adds a request. Returns `None`, and counts the request as rejected, if
    /// the queue is full or the request can't be answered any more.
    pub fn push(
        &mut self,
        request: QueuedRequest,
        now: Instant,
    ) -> Option<WaitId> {
        self.counts.arrived += 1;
        if self.waiting.len() >= self.max_len || now >= request.send_until {
            self.counts.rejected += 1;
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        let waiting = Waiting { request, is_deferred: false };
        self.waiting.insert(id, waiting);
        Some(id)
    }

    /// Returns whether a new request of this priority has to join the queue
    /// and may not look for an endpoint first.
    pub fn must_join(&self, priority: u8, now: Instant) -> bool {
        let is_due = self.is_least_urgent_due();
        self.eligible(now).any(|w| w.request.priority <= priority || is_due)
    }

    /// Records that a new request got an endpoint without joining the queue.
    pub fn record_direct(&mut self, priority: u8, now: Instant) {
        let least_urgent = self.priorities(now).last().copied();
        self.record_turn(priority, least_urgent);
    }

    /// Returns the request whose turn it is.
    pub fn next(&self, now: Instant) -> Option<WaitId> {
        let priorities = self.priorities(now);
        let priority = match self.is_least_urgent_due() {
            true => priorities.last(),
            false => priorities.first(),
        };
        let priority = *priority?;
        let shares = self.shares.get(&priority);
        let start = |request: &QueuedRequest| {
            shares.map_or(0.0, |shares| shares.start(&request.customer))
        };
        let of_priority = self.waiting.iter().filter(|(_, w)| {
            w.request.priority == priority && w.is_eligible(now)
        });
        let first = of_priority.min_by(|(a_id, a), (b_id, b)| {
            let (a, b) = (&a.request, &b.request);
            let is_late = |r: &QueuedRequest| now > r.in_time_until;
            is_late(a)
                .cmp(&is_late(b))
                .then(start(a).total_cmp(&start(b)))
                .then(a.arrived.cmp(&b.arrived))
                .then(a_id.cmp(b_id))
        });
        first.map(|(id, _)| *id)
    }

    /// Returns the priority of a request that waits.
    pub fn priority(&self, id: WaitId) -> Option<u8> {
        self.waiting.get(&id).map(|w| w.request.priority)
    }

    /// Removes a request that got an endpoint.
    pub fn sent(&mut self, id: WaitId, now: Instant) {
        let least_urgent = self.priorities(now).last().copied();
        let Some(waiting) = self.waiting.remove(&id) else { return };
        self.counts.sent += 1;
        let request = waiting.request;
        self.record_turn(request.priority, least_urgent);
        self.shares.entry(request.priority).or_default().dequeue(&request);
        self.forget_shares(request.priority);
        self.dequeued.push_back(now);
        if self.dequeued.len() > RATE_SAMPLES {
            self.dequeued.pop_front();
        }
    }

    /// Removes a request that is rejected. Returns whether it waited.
    pub fn rejected(&mut self, id: WaitId) -> bool {
        let was_waiting = self.remove(id);
        self.counts.rejected += u64::from(was_waiting);
        was_waiting
    }

    /// Removes a request whose caller disconnected.
    pub fn departed(&mut self, id: WaitId) {
        self.counts.departed += u64::from(self.remove(id));
    }

    /// Lets the requests behind this one go first until
    /// [`WaitQueue::end_deferrals`].
    pub fn defer(&mut self, id: WaitId) {
        if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.is_deferred = true;
        }
    }

    /// Lets a deferred request take its turn again.
    pub fn end_deferral(&mut self, id: WaitId) {
        if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.is_deferred = false;
        }
    }

    /// Lets all deferred requests take their turns again.
    pub fn end_deferrals(&mut self) {
        for waiting in self.waiting.values_mut() {
            waiting.is_deferred = false;
        }
    }

    /// Changes the latest time to send a request, because its obstacle has
    /// changed or its instance stops.
    pub fn set_send_until(&mut self, id: WaitId, until: Instant) {
        if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.request.send_until = until;
        }
    }

    /// Returns the requests that can't be answered any more.
    pub fn expired(&self, now: Instant) -> Vec<WaitId> {
        let expired =
            self.waiting.iter().filter(|(_, w)| now >= w.request.send_until);
        expired.map(|(id, _)| *id).collect()
    }

    /// Returns the number of requests that leave the queue before this one.
    pub fn position(&self, id: WaitId, now: Instant) -> usize {
        let Some(waiting) = self.waiting.get(&id) else { return self.len() };
        let rank =
            |w: &Waiting| (w.request.priority, now > w.request.in_time_until);
        let own = rank(waiting);
        let is_before =
            |(other, w): &(&WaitId, &Waiting)| match rank(w).cmp(&own) {
                Ordering::Less => true,
                Ordering::Equal => **other < id,
                Ordering::Greater => false,
            };
        self.waiting.iter().filter(is_before).count()
    }

    /// Returns when the caller of a rejected request is expected to get its
    /// turn if it retries, and reserves that position. Nothing is reserved if
    /// the turn would come after `latest`, because the caller does not retry
    /// then.
    pub fn reserve(&mut self, now: Instant, latest: Instant) -> ExpectedWait {
        self.forget(now);
        let position = self.waiting.len() + self.reserved.len();
        let turns = position as f64 + 1.0;
        let wait = self
            .rate_per_s(now)
            .map(|rate| Duration::from_secs_f64(turns / rate));
        if let Some(wait) = wait
            && now + wait <= latest
            && self.reserved.len() < self.max_len
        {
            self.reserved.push_back(now + wait);
        }
        ExpectedWait { position, wait }
    }

    /// Drops the positions of callers that should have retried, and dequeue
    /// times that are too old for a rate.
    pub fn forget(&mut self, now: Instant) {
        self.reserved.retain(|at| now < *at);
        self.dequeued.retain(|at| now - *at < RATE_WINDOW);
    }

    /// Returns whether the queue holds nothing that a later request needs.
    pub fn is_forgettable(&self) -> bool {
        self.waiting.is_empty()
            && self.reserved.is_empty()
            && self.dequeued.is_empty()
    }

    /// Returns how many requests leave the queue per second. It falls while
    /// none leaves.
    fn rate_per_s(&self, now: Instant) -> Option<f64> {
        if self.dequeued.len() < MIN_RATE_SAMPLES {
            return None;
        }
        let first = *self.dequeued.front()?;
        let time_s = now.saturating_duration_since(first).as_secs_f64();
        Some((self.dequeued.len() - 1) as f64 / time_s.max(1e-3))
    }

    fn remove(&mut self, id: WaitId) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else { return false };
        self.forget_shares(waiting.request.priority);
        true
    }

    /// Forgets what customers got once no request of the priority waits.
    fn forget_shares(&mut self, priority: u8) {
        let mut waiting = self.waiting.values();
        if !waiting.any(|w| w.request.priority == priority) {
            self.shares.remove(&priority);
        }
    }

    fn eligible(&self, now: Instant) -> impl Iterator<Item = &Waiting> {
        self.waiting.values().filter(move |w| w.is_eligible(now))
    }

    /// Returns the priorities that wait, the most urgent first.
    fn priorities(&self, now: Instant) -> BTreeSet<u8> {
        self.eligible(now).map(|w| w.request.priority).collect()
    }

    fn is_least_urgent_due(&self) -> bool {
        self.least_urgent_credit >= 1.0 - ROUNDING
    }

    /// Counts a request that got an endpoint while `least_urgent` was the
    /// least urgent priority that waited.
    fn record_turn(&mut self, priority: u8, least_urgent: Option<u8>) {
        match least_urgent {
            Some(least) if priority < least => {
                let credit = self.least_urgent_credit + LEAST_SHARE;
                self.least_urgent_credit = credit.min(1.0);
            }
            Some(_) if self.is_least_urgent_due() => {
                self.least_urgent_credit = 0.0;
            }
            Some(_) => {}
            None => self.least_urgent_credit = 0.0,
        }
    }
}

impl Waiting {
    fn is_eligible(&self, now: Instant) -> bool {
        !self.is_deferred && now < self.request.send_until
    }
}
