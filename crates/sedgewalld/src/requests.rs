//! The requests of this entry that wait for a grant or run.
//!
//! Invariant: a request is in the table from its submission to its end, and
//! only a request in the table may use a grant.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use futures_channel::mpsc;
use sedgewall_clock::Instant;
use sedgewall_protocol::{
    message::{FirstToken, Granted, RunningRequest},
    settings::Limits,
};
use sedgewall_state::{
    AdapterName, AdapterVersion, EndpointId, Incarnation, Priority, RequestId,
    ShardId, admission::Refusal, id::request_id,
};

/// A leader's decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    Granted(Granted),
    Refused(Refusal),
}

/// A request that was submitted to a shard.
#[derive(Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) shard: ShardId,
    pub(crate) adapter: AdapterName,
    pub(crate) version: AdapterVersion,
    pub(crate) priority: Priority,
    pub(crate) caller_hash: u64,
    pub(crate) submitted: Instant,
    pub(crate) deadline: Instant,
    /// When the submission was last sent.
    pub(crate) sent: Instant,
    /// The endpoint that runs the request, once it runs.
    pub(crate) endpoint: Option<EndpointId>,
    pub(crate) tx: mpsc::UnboundedSender<Decision>,
}

/// The requests that were submitted to shards, the count of all open requests,
/// and the retry budget.
#[derive(Debug)]
pub(crate) struct RequestTable {
    tracked: BTreeMap<RequestId, TrackedRequest>,
    sequence: u64,
    max_open: usize,
    /// The number of open requests of any kind, calls of services included.
    open: usize,
    retry_tokens: f64,
    retry_share: f64,
    /// First-token times that were not yet sent to the leaders.
    first_tokens: HashMap<ShardId, Vec<FirstToken>>,
}

/// The maximum number of first-token times kept for one leader, as a few dozen
/// are a sufficient sample.
const MAX_FIRST_TOKENS: usize = 64;

/// The capacity of the retry budget.
const RETRY_BURST: f64 = 20.0;

impl RequestTable {
    pub(crate) fn new(limits: &Limits) -> RequestTable {
        RequestTable {
            tracked: BTreeMap::new(),
            sequence: 0,
            max_open: limits.requests,
            open: 0,
            retry_tokens: RETRY_BURST,
            retry_share: limits.retry_share,
            first_tokens: HashMap::new(),
        }
    }

    /// Counts a new request as open and returns its id, or `None` if too many
    /// are open.
    pub(crate) fn open(
        &mut self,
        incarnation: Incarnation,
    ) -> Option<RequestId> {
        if self.open >= self.max_open {
            return None;
        }
        self.open += 1;
        self.sequence += 1;
        self.retry_tokens =
            (self.retry_tokens + self.retry_share).min(RETRY_BURST);
        Some(request_id(incarnation, self.sequence))
    }

    /// Subtracts a request from the open ones.
    pub(crate) fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of open requests.
    pub(crate) fn open_len(&self) -> usize {
        self.open
    }

    /// Returns whether the budget has a retry left.
    pub(crate) fn has_retry(&self) -> bool {
        self.retry_tokens >= 1.0
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(crate) fn take_retry(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.retry_tokens -= 1.0;
        true
    }

    pub(crate) fn insert(&mut self, id: RequestId, tracked: TrackedRequest) {
        self.tracked.insert(id, tracked);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        self.tracked.remove(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.tracked.get(&id)
    }

    pub(crate) fn get_mut(
        &mut self,
        id: RequestId,
    ) -> Option<&mut TrackedRequest> {
        self.tracked.get_mut(&id)
    }

    /// Records the first-token time of a running request.
    pub(crate) fn record_first_token(
        &mut self,
        id: RequestId,
        took: Duration,
    ) {
        let Some(tracked) = self.tracked.get(&id) else { return };
        let Some(endpoint) = tracked.endpoint.clone() else { return };
        let pending =
            self.first_tokens.entry(tracked.shard.clone()).or_default();
        if pending.len() < MAX_FIRST_TOKENS {
            pending.push(FirstToken { endpoint, took });
        }
    }

    /// Removes and returns the first-token times that were not yet sent to a
    /// shard's leader.
    pub(crate) fn take_first_tokens(
        &mut self,
        shard: &str,
    ) -> Vec<FirstToken> {
        self.first_tokens.remove(shard).unwrap_or_default()
    }

    /// Returns the ids of all requests of one shard, sorted.
    pub(crate) fn ids_of_shard(&self, shard: &str) -> Vec<RequestId> {
        self.tracked
            .iter()
            .filter(|(_, tracked)| tracked.shard == shard)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the ids of all requests that wait for a grant, sorted.
    pub(crate) fn waiting(&self) -> Vec<RequestId> {
        self.tracked
            .iter()
            .filter(|(_, tracked)| tracked.endpoint.is_none())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns all running requests by shard; shards without any are left out.
    pub(crate) fn running(&self) -> HashMap<ShardId, Vec<RunningRequest>> {
        let mut by_shard: HashMap<ShardId, Vec<RunningRequest>> =
            HashMap::new();
        for (id, tracked) in &self.tracked {
            let Some(endpoint) = &tracked.endpoint else { continue };
            let running = RunningRequest {
                request: *id,
                endpoint: endpoint.clone(),
                adapter: tracked.adapter.clone(),
                version: tracked.version.clone(),
                priority: tracked.priority,
            };
            by_shard.entry(tracked.shard.clone()).or_default().push(running);
        }
        by_shard
    }
}
