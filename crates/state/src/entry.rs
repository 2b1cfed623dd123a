//! Reconciliation of grants with the requests that entry instances run.
//!
//! Messages may be lost, so each entry instance periodically reports all
//! requests that it runs. A grant that has expired and whose request is not
//! among the reported ones is released.

use sedgewall_clock::Instant;

use crate::{
    action::{Grant, ShardAction},
    id::{EngineIdx, Incarnation, RequestId, request_id, request_incarnation},
    queue::Request,
    shard::Shard,
};

impl Shard {
    /// Records a request that a previous leader granted and that an entry
    /// instance runs.
    ///
    /// The request takes a seat like a request that this leader granted. Its
    /// grant is already expired, so that the grant is released once the entry
    /// instance no longer reports the request.
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

    /// Compares the grants of one entry instance with all requests that it
    /// runs, and releases the expired grants of requests that do not run.
    ///
    /// An expired grant whose request does not run can never be used, so its
    /// seat is free. `running` must be sorted.
    pub fn reconcile_entry(
        &mut self,
        entry: Incarnation,
        running: &[RequestId],
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        for id in self.expired_grants_of(entry, now) {
            if running.binary_search(&id).is_err() {
                self.release_expired_grant(id, now, actions);
            }
        }
    }

    /// Removes the waiting requests of an entry instance that is lost, and
    /// releases its grants that have expired.
    ///
    /// Grants that are still valid stay, because the entry instance may still
    /// start their requests. Call the method again until the entry instance is
    /// heard from or forgotten.
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
            self.release_expired_grant(id, now, actions);
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

    /// Removes an expired grant whose end was not received, and releases its
    /// seat.
    ///
    /// The engine may still run the request, so the slot counts as busy until
    /// a later report of the engine shows that the slot is idle.
    pub(crate) fn release_expired_grant(
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
