//! The queues of requests that wait for an endpoint, and what wakes them.
//!
//! The request whose turn it is looks for an endpoint when capacity may have
//! become available. If it finds one, the next request looks. A timer wakes the
//! head of each queue in case that a wake-up was lost.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    wait_queue::{ExpectedWait, QueuedRequest, WaitId, WaitQueue},
};

use super::endpoint_choice::Obstacle;

/// The interval at which the head of each queue looks for an endpoint without
/// an event. Later tries without ordered waiting look as often.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(60);

/// The minimum interval between two wake-ups by notes. 67 instances send more
/// notes than the smallest ones could search endpoints for.
const MIN_NOTE_INTERVAL: Duration = Duration::from_millis(15);

/// What the requests of one queue wait for: an endpoint of a service, or one
/// that holds an adapter.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct QueueKey {
    pub(crate) service: String,
    pub(crate) adapter: Option<AdapterKey>,
}

/// The queues of one instance.
pub(crate) struct WaitQueues {
    /// The maximum number of requests in all queues together.
    max_waiting: usize,
    queues: RefCell<HashMap<QueueKey, SharedQueue>>,
    waiting: Cell<usize>,
    last_note: Cell<Option<Instant>>,
}

type SharedQueue = Rc<RefCell<QueueState>>;

struct QueueState {
    queue: WaitQueue,
    wakers: HashMap<WaitId, oneshot::Sender<()>>,
    /// What the last search of a request in this queue found.
    last_obstacle: Option<Obstacle>,
    has_timer: bool,
}

impl QueueState {
    /// Wakes the request whose turn it is.
    fn wake_next(&mut self, now: Instant) {
        let Some(next) = self.queue.next(now) else { return };
        if let Some(tx) = self.wakers.remove(&next) {
            // Fails if the wait has timed out meanwhile.
            let _ = tx.send(());
        }
    }
}

impl WaitQueues {
    pub(crate) fn new(max_waiting: usize) -> WaitQueues {
        WaitQueues {
            max_waiting,
            queues: RefCell::default(),
            waiting: Cell::new(0),
            last_note: Cell::new(None),
        }
    }

    /// Returns the place of a request that has not joined its queue.
    pub(crate) fn place(&self, key: QueueKey) -> QueuePlace<'_> {
        let mut queues = self.queues.borrow_mut();
        let state = queues.entry(key.clone()).or_insert_with(|| {
            Rc::new(RefCell::new(QueueState {
                queue: WaitQueue::new(self.max_waiting),
                wakers: HashMap::new(),
                last_obstacle: None,
                has_timer: false,
            }))
        });
        QueuePlace { queues: self, key, state: state.clone(), id: None }
    }

    /// Wakes the heads of the queues that wait for an endpoint of a service,
    /// because a request has ended there.
    pub(crate) fn wake_service(&self, service: &str) {
        self.wake_where(|key| key.service == service);
    }

    /// Wakes the heads of the queues that wait for an adapter.
    pub(crate) fn wake_adapter(&self, adapter: &AdapterKey) {
        self.wake_where(|key| key.adapter.as_ref() == Some(adapter));
    }

    /// Wakes the heads of all queues.
    pub(crate) fn wake_all(&self) {
        self.wake_where(|_| true);
    }

    /// Wakes the heads of all queues because a note about work has come.
    pub(crate) fn note_received(&self, now: Instant) {
        let last = self.last_note.get();
        if last.is_none_or(|last| now - last >= MIN_NOTE_INTERVAL) {
            self.last_note.set(Some(now));
            self.wake_all();
        }
    }

    /// Wakes all requests that wait, so that each checks how long it may wait.
    pub(crate) fn wake_everyone(&self) {
        for state in self.queues.borrow().values() {
            let mut state = state.borrow_mut();
            for (_, tx) in state.wakers.drain() {
                let _ = tx.send(());
            }
        }
    }

    /// Drops queues that hold nothing any more. Call this about once a second.
    pub(crate) fn forget(&self, now: Instant) {
        self.queues.borrow_mut().retain(|_, state| {
            state.borrow_mut().queue.forget(now);
            // A request that has not joined yet also holds the queue.
            Rc::strong_count(state) > 1
                || !state.borrow().queue.is_forgettable()
        });
    }

    /// Wakes the heads of some queues, those with the most urgent heads first.
    /// Tasks run in the order in which they are woken.
    fn wake_where(&self, is_meant: impl Fn(&QueueKey) -> bool) {
        if self.waiting.get() == 0 {
            return;
        }
        let now = Instant::now();
        let queues = self.queues.borrow();
        let meant = queues.iter().filter(|(key, _)| is_meant(key));
        let mut by_priority: Vec<(u8, &SharedQueue)> = meant
            .filter_map(|(_, shared)| {
                let mut state = shared.borrow_mut();
                state.queue.end_deferrals();
                let next = state.queue.next(now)?;
                Some((state.queue.priority(next)?, shared))
            })
            .collect();
        by_priority.sort_by_key(|(priority, _)| *priority);
        for (_, shared) in by_priority {
            shared.borrow_mut().wake_next(now);
        }
    }

    fn update_gauge(&self, service: &str) {
        let queues = self.queues.borrow();
        let of_service =
            queues.iter().filter(|(key, _)| key.service == service);
        let waiting: usize =
            of_service.map(|(_, state)| state.borrow().queue.len()).sum();
        metrics::gauge!("sedgewall_waiting", "service" => service.to_owned())
            .set(waiting as f64);
    }
}

/// The place of one request in its queue. If it is dropped while the request
/// waits, the caller has disconnected.
pub(crate) struct QueuePlace<'a> {
    queues: &'a WaitQueues,
    key: QueueKey,
    state: SharedQueue,
    id: Option<WaitId>,
}

impl QueuePlace<'_> {
    pub(crate) fn has_joined(&self) -> bool {
        self.id.is_some()
    }

    /// Returns whether a new request has to join the queue before it looks for
    /// an endpoint.
    pub(crate) fn must_join(&self, priority: u8, now: Instant) -> bool {
        self.state.borrow().queue.must_join(priority, now)
    }

    /// Joins the queue. Returns whether there was room.
    pub(crate) fn join(
        &mut self,
        request: QueuedRequest,
        now: Instant,
    ) -> bool {
        if self.queues.waiting.get() >= self.queues.max_waiting {
            return false;
        }
        let id = self.state.borrow_mut().queue.push(request, now);
        self.id = id;
        if id.is_some() {
            self.queues.waiting.set(self.queues.waiting.get() + 1);
            self.start_timer();
            self.queues.update_gauge(&self.key.service);
        }
        id.is_some()
    }

    /// Returns whether it is this request's turn. If not, the request whose
    /// turn it is looks instead.
    pub(crate) fn is_next(&self, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let is_next = self.id.is_some() && state.queue.next(now) == self.id;
        if !is_next {
            state.wake_next(now);
        }
        is_next
    }

    /// Lets the requests behind this one look for an endpoint.
    pub(crate) fn let_others_first(&self, now: Instant) {
        let Some(id) = self.id else { return };
        let mut state = self.state.borrow_mut();
        state.queue.defer(id);
        state.wake_next(now);
    }

    pub(crate) fn set_send_until(&self, until: Instant) {
        let Some(id) = self.id else { return };
        self.state.borrow_mut().queue.set_send_until(id, until);
    }

    pub(crate) fn last_obstacle(&self) -> Option<Obstacle> {
        self.state.borrow().last_obstacle
    }

    pub(crate) fn record_obstacle(&self, obstacle: Obstacle) {
        self.state.borrow_mut().last_obstacle = Some(obstacle);
    }

    /// Waits until it may be this request's turn, or until the timeout.
    pub(crate) async fn woken(&self, within: Duration) {
        let Some(id) = self.id else { return };
        let (tx, rx) = oneshot::channel();
        self.state.borrow_mut().wakers.insert(id, tx);
        let _ = compio::time::timeout(within, rx).await;
        self.state.borrow_mut().queue.end_deferral(id);
    }

    /// Records that the request is sent to an endpoint.
    pub(crate) fn sent(mut self, priority: u8, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.last_obstacle = None;
        match self.id {
            Some(id) => state.queue.sent(id, now),
            None => state.queue.record_direct(priority, now),
        }
        drop(state);
        self.leave(now);
    }

    /// Records that the request is rejected, and reserves a position for its
    /// caller's retry if that can be sent until `latest`.
    pub(crate) fn rejected(
        mut self,
        now: Instant,
        latest: Instant,
    ) -> ExpectedWait {
        let mut state = self.state.borrow_mut();
        if let Some(id) = self.id {
            state.queue.rejected(id);
        }
        let expected = state.queue.reserve(now, latest);
        drop(state);
        self.leave(now);
        expected
    }

    /// Lets the next request look after this one has left the queue.
    fn leave(&mut self, now: Instant) {
        let Some(id) = self.id.take() else { return };
        let mut state = self.state.borrow_mut();
        state.wakers.remove(&id);
        state.wake_next(now);
        drop(state);
        self.queues.waiting.set(self.queues.waiting.get() - 1);
        self.queues.update_gauge(&self.key.service);
    }

    /// Wakes the head of the queue from time to time while requests wait.
    fn start_timer(&self) {
        let shared = self.state.clone();
        if std::mem::replace(&mut shared.borrow_mut().has_timer, true) {
            return;
        }
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(RECHECK_INTERVAL).await;
                let mut state = shared.borrow_mut();
                if state.queue.is_empty() {
                    state.has_timer = false;
                    return;
                }
                state.queue.end_deferrals();
                state.wake_next(Instant::now());
            }
        })
        .detach();
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.state.borrow_mut().queue.departed(id);
            self.leave(Instant::now());
        }
    }
}
