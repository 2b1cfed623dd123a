//! The queues of waiting requests, by adapter and priority class.
//!
//! A queue keeps the order of arrival within one adapter and one priority
//! class, because callers can observe that order. The choice between adapters
//! belongs to [`dispatch`](crate::dispatch).

use std::collections::{HashMap, VecDeque};

use sedgewall_clock::Instant;

use crate::{
    id::{AdapterIdx, RequestId},
    priority::{CLASSES, Priority},
};

/// The properties of a request that scheduling depends on.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id that the entry instance gave to the request.
    pub id: RequestId,
    /// The adapter version that the request must run on.
    pub adapter: AdapterIdx,
    /// The priority class of the request.
    pub priority: Priority,
    /// A hash of the caller's name, by which the caller's share of the queue
    /// is counted.
    pub caller_hash: u64,
    /// The time since which the request waits, including its waiting at the
    /// entry instance before the leader received it.
    pub submitted: Instant,
    /// The time after which the caller has no use for the answer.
    pub deadline: Instant,
    /// Whether the adapter had an available replica when the request was
    /// submitted.
    pub had_available_replica: bool,
}

/// The queue of the requests that wait for one adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterQueue {
    ids: [VecDeque<RequestId>; CLASSES],
    lens: [u32; CLASSES],
}

impl AdapterQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> u32 {
        self.lens.iter().sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests of a priority class.
    pub fn len_of(&self, priority: Priority) -> u32 {
        self.lens[priority.rank()]
    }

    /// Returns the sum of the [weights](Priority::weight) of the waiting
    /// requests.
    pub fn weight(&self) -> f64 {
        Priority::ALL
            .iter()
            .map(|priority| {
                f64::from(self.len_of(*priority)) * priority.weight()
            })
            .sum()
    }
}

/// All waiting requests of one shard.
///
/// This type owns the requests. The [`AdapterQueue`] of each adapter holds
/// their order and is passed to the methods that change the order.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    by_id: HashMap<RequestId, Request>,
    by_caller: HashMap<u64, u32>,
    lens: [u32; CLASSES],
}

impl WaitingRequests {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the number of waiting requests of a priority class.
    pub fn len_of(&self, priority: Priority) -> u32 {
        self.lens[priority.rank()]
    }

    /// Returns the number of waiting requests of one caller.
    pub fn len_of_caller(&self, caller_hash: u64) -> u32 {
        self.by_caller.get(&caller_hash).copied().unwrap_or(0)
    }

    /// Returns the waiting request with an id.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// Returns whether the request with an id waits.
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns the ids of the waiting requests whose deadline has passed, in
    /// ascending order.
    pub fn expired(&self, now: Instant) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self
            .by_id
            .values()
            .filter(|request| request.deadline <= now)
            .map(|request| request.id)
            .collect();
        // The iteration order of the map differs between runs, but replays
        // must be deterministic.
        ids.sort_unstable();
        ids
    }

    /// Returns all waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.by_id.values()
    }

    /// Adds a request at the back of its adapter's queue.
    pub fn push(&mut self, queue: &mut AdapterQueue, request: Request) {
        let rank = request.priority.rank();
        queue.ids[rank].push_back(request.id);
        self.count_in(queue, &request);
        self.by_id.insert(request.id, request);
    }

    /// Adds a request at the front of its adapter's queue.
    pub fn push_front(&mut self, queue: &mut AdapterQueue, request: Request) {
        let rank = request.priority.rank();
        queue.ids[rank].push_front(request.id);
        self.count_in(queue, &request);
        self.by_id.insert(request.id, request);
    }

    /// Removes a request from any position of its adapter's queue.
    ///
    /// The id stays in the queue and is skipped when it reaches the front, so
    /// that a cancellation needs no search.
    pub fn remove(
        &mut self,
        queue: &mut AdapterQueue,
        id: RequestId,
    ) -> Option<Request> {
        let request = self.by_id.remove(&id)?;
        self.count_out(queue, &request);
        if queue.lens[request.priority.rank()] == 0 {
            queue.ids[request.priority.rank()].clear();
        }
        Some(request)
    }

    /// Returns the first waiting request of a priority class in an adapter's
    /// queue.
    pub fn head(
        &self,
        queue: &AdapterQueue,
        priority: Priority,
    ) -> Option<&Request> {
        if queue.len_of(priority) == 0 {
            return None;
        }
        queue.ids[priority.rank()].iter().find_map(|id| self.by_id.get(id))
    }

    /// Removes and returns the first waiting request of a priority class in an
    /// adapter's queue.
    pub fn pop(
        &mut self,
        queue: &mut AdapterQueue,
        priority: Priority,
    ) -> Option<Request> {
        loop {
            let id = queue.ids[priority.rank()].pop_front()?;
            if let Some(request) = self.by_id.remove(&id) {
                self.count_out(queue, &request);
                return Some(request);
            }
        }
    }

    /// Returns the most recently submitted request of a priority class, which
    /// is the first to be shed.
    pub fn youngest(&self, priority: Priority) -> Option<&Request> {
        self.by_id
            .values()
            .filter(|request| request.priority == priority)
            .max_by_key(|request| (request.submitted, request.id))
    }

    fn count_in(&mut self, queue: &mut AdapterQueue, request: &Request) {
        let rank = request.priority.rank();
        queue.lens[rank] += 1;
        self.lens[rank] += 1;
        *self.by_caller.entry(request.caller_hash).or_default() += 1;
    }

    fn count_out(&mut self, queue: &mut AdapterQueue, request: &Request) {
        let rank = request.priority.rank();
        queue.lens[rank] -= 1;
        self.lens[rank] -= 1;
        let Some(count) = self.by_caller.get_mut(&request.caller_hash) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.by_caller.remove(&request.caller_hash);
        }
    }
}
