//! What entries say of their requests, and what is done when they are lost.
//!
//! Messages may be lost, so entries tell all that they run from time to time;
//! a grant that can no longer be used and is not run is given up.

use sedgewall_clock::Instant;

use crate::{
    action::{Grant, ShardAction},
    id::{EngineIdx, Incarnation, RequestId, request_id, request_incarnation},
    queue::Request,
    shard::Shard,
};

impl Shard {
    /// Notes a request that a previous leader granted and an entry runs.
    pub fn adopt_running(
        &mut self,
        request: Request,
        engine: EngineIdx,
        now: Instant,
    ) {
        if self.grants.contains_key(&request.id) {
            return;
        }
        self.remove_waiting(request.id);
        let grant = Grant {
            adapter: request.adapter,
            engine,
            priority: request.priority,
            granted: now,
            expires: now,
            request,
        };
        self.acquire_seat(&grant, now);
        self.grants.insert(grant.request.id, grant);
    }

    /// Takes in all that one entry runs, sorted, and settles what messages
    /// were lost about.
    ///
    /// A grant that is older than its validity and that the entry does not run
    /// can never be used any more, so its seat is free.
    pub fn reconcile_entry(
        &mut self,
        entry: Incarnation,
        running: &[RequestId],
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        for id in self.expired_grants_of(entry, now) {
            if running.binary_search(&id).is_err() {
                self.abandon_grant(id, now, actions);
            }
        }
    }

    /// Drops all that an entry has waiting, and its grants once they cannot be
    /// used any more. Call it again until the entry is back or forgotten.
    pub fn entry_lost(
        &mut self,
        entry: Incarnation,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        let waiting: Vec<RequestId> = self
            .waiting
            .iter()
            .map(|request| request.id)
            .filter(|id| request_incarnation(*id) == entry)
            .collect();
        for id in waiting {
            self.remove_waiting(id);
        }
        for id in self.expired_grants_of(entry, now) {
            self.abandon_grant(id, now, actions);
        }
    }

    pub(crate) fn expired_grants_of(
        &self,
        entry: Incarnation,
        now: Instant,
    ) -> Vec<RequestId> {
        let ids = request_id(entry, 0)..=request_id(entry, u64::MAX);
        self.grants
            .range(ids)
            .filter(|(_, grant)| grant.expires <= now)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Frees the seat of a grant whose end nobody reported.
    ///
    /// The engine may still run the request, so the slot stays busy until a
    /// report that is made later shows otherwise.
    pub(crate) fn abandon_grant(
        &mut self,
        id: RequestId,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(grant) = self.grants.remove(&id) else { return };
        self.release_seat(&grant);
        let engine = &mut self.engines[grant.engine as usize];
        if let Some(slot) = engine.slot_mut(grant.adapter) {
            slot.untracked_len += 1;
            slot.last_used = now;
        }
        self.dispatch_engine(grant.engine, now, actions);
    }
}
