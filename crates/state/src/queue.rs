//! Requests that wait, by adapter and priority.
//!
//! A queue keeps arrival order within one adapter and one priority, which is
//! the order that a caller can see. It leaves the choice between adapters to
//! [`dispatch`](crate::dispatch).

use std::collections::{HashMap, VecDeque};

use sedgewall_clock::Instant;

use crate::{
    id::{AdapterIdx, RequestId},
    priority::{CLASSES, Priority},
};

/// One request as the policy sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The adapter version that it must run on.
    pub adapter: AdapterIdx,
    /// Its class.
    pub priority: Priority,
    /// A hash of the caller's name, for shares.
    pub caller_hash: u64,
    /// When the leader first saw it.
    pub submitted: Instant,
    /// When its answer is worth nothing any more.
    pub deadline: Instant,
    /// Whether its adapter was ready on some engine when it came.
    pub was_resident: bool,
}

/// The ids that wait for one adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterQueue {
    ids: [VecDeque<RequestId>; CLASSES],
    lens: [u32; CLASSES],
}

impl AdapterQueue {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> u32 {
        self.lens.iter().sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of requests of one class that wait.
    pub fn len_of(&self, priority: Priority) -> u32 {
        self.lens[priority.rank()]
    }

    /// Returns the sum of the weights of all that wait.
    pub fn weight(&self) -> f64 {
        Priority::ALL
            .iter()
            .map(|priority| {
                f64::from(self.len_of(*priority)) * priority.weight()
            })
            .sum()
    }
}

/// All requests that wait in one shard.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    by_id: HashMap<RequestId, Request>,
    by_caller: HashMap<u64, u32>,
    lens: [u32; CLASSES],
}

impl WaitingRequests {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the number of requests of one class that wait.
    pub fn len_of(&self, priority: Priority) -> u32 {
        self.lens[priority.rank()]
    }

    /// Returns the number of requests that one caller has waiting.
    pub fn len_of_caller(&self, caller_hash: u64) -> u32 {
        self.by_caller.get(&caller_hash).copied().unwrap_or(0)
    }

    /// Returns a waiting request.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// Returns whether a request waits.
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns the ids of all requests whose deadline has passed.
    pub fn expired(&self, now: Instant) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self
            .by_id
            .values()
            .filter(|request| request.deadline <= now)
            .map(|request| request.id)
            .collect();
        // The map's order differs from run to run; a replay must not.
        ids.sort_unstable();
        ids
    }

    /// Returns all requests that wait, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.by_id.values()
    }

    /// Appends a request to its adapter's queue.
    pub fn push(&mut self, queue: &mut AdapterQueue, request: Request) {
        let rank = request.priority.rank();
        queue.ids[rank].push_back(request.id);
        self.count_in(queue, &request);
        self.by_id.insert(request.id, request);
    }

    /// Puts a request back at the head of its adapter's queue.
    pub fn push_front(&mut self, queue: &mut AdapterQueue, request: Request) {
        let rank = request.priority.rank();
        queue.ids[rank].push_front(request.id);
        self.count_in(queue, &request);
        self.by_id.insert(request.id, request);
    }

    /// Removes a request wherever it waits.
    ///
    /// Its id stays in the adapter's list and is skipped when it comes up,
    /// so that a cancellation costs no search.
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

    /// Returns the first request of one class that still waits.
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

    /// Takes the first request of one class that still waits.
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

    /// Returns the youngest request of one class, which is the first to be
    /// shed.
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
