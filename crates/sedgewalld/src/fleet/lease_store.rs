//! Access to the record of the lease on orders in the platform's store:
//! directly, or through another instance if the direct path is cut.
//!
//! A holder that alone loses its path to the store would lose its lease, and
//! no instance would give orders for some 5 s until the next holder may. So
//! another instance that reaches the store sends the renewal. The update is
//! conditional, so it does not matter which instance sends it, nor how often.

use std::{pin::pin, time::Duration};

use futures_channel::oneshot;
use futures_util::future::{self, Either};
use rand::seq::SliceRandom;
use sedgewall_clock::Instant;
use sedgewall_coordination::lease::{
    LeaseRecord, LeaseWrite, StoredLease, WriteAnswer,
};
use sedgewall_fleet::{
    lease_era::era_of,
    note::{Note, RenewalAnswer, RenewalRequest},
};
use sedgewall_platform::{
    StoreError,
    store::{Revision, StoredObject},
};
use sedgewall_state::id::InstanceId;
use serde::Deserialize;

use super::{instance::FleetInstance, note_sender::NoteSender};

/// The kind of lease objects in the store.
const LEASES_KIND: &str = "sedgewall-leases";

/// The name of the lease on orders.
pub(super) const ORDERS_LEASE: &str = "orders";

/// The timeout of a direct renewal, after which other instances are asked. A
/// slow store answers in some 300 ms, and two rounds of asking others fit into
/// the time that the lease leaves after it.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(350);

/// The timeout of a renewal through another instance: a round trip between
/// instances and one call to the store, 10 ms if both work.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of instances that are asked for one renewal at once. With 28 of
/// 79 instances silently cut off, at least one of three answers in 95 of 100
/// rounds.
const PEERS_PER_ROUND: usize = 3;

/// The number of rounds of asking others that fit into the lease's remaining
/// time.
const PEER_ROUNDS: usize = 2;

/// Reads the record.
pub(super) async fn read(
    instance: &FleetInstance,
) -> Result<Option<StoredLease>, StoreError> {
    let sent = Instant::now();
    let read = instance.store.get(LEASES_KIND, ORDERS_LEASE).await;
    // The holder relies on this instance's reports that the store is out,
    // because an instance that can read the record can take the lease.
    match &read {
        Ok(_) => instance.record_store_success(),
        Err(err) => instance.record_store_failure(sent, err),
    }
    let Some(object) = read? else { return Ok(None) };
    let era = instance.store.era();
    if object.revision.era() < era {
        return Err(StoreError::Restored(era));
    }
    Ok(decode(&object))
}

fn decode(object: &StoredObject) -> Option<StoredLease> {
    match LeaseRecord::deserialize(&object.spec) {
        Ok(record) => {
            Some(StoredLease { record, version: object.revision.number() })
        }
        Err(err) => {
            tracing::error!(event = "lease_unreadable", cause = %err);
            None
        }
    }
}

/// Writes the record directly to the store. In a later era than that of the
/// record's epoch, the write counts as a conflict: what it expects may be lost,
/// and the expected version may have been given to another holder's record.
pub(super) async fn write(
    instance: &FleetInstance,
    write: &LeaseWrite,
) -> WriteAnswer {
    let spec = match serde_json::to_value(&write.record) {
        Ok(spec) => spec,
        Err(err) => {
            tracing::error!(event = "lease_not_encoded", cause = %err);
            return WriteAnswer::Unclear;
        }
    };
    let (kind, name) = (LEASES_KIND, ORDERS_LEASE);
    let era = era_of(write.record.epoch);
    let written = match write.expected {
        Some(number) => {
            let revision =
                Revision::new(era, number).or_in_era(instance.store.era());
            instance.store.replace(kind, name, revision, &spec).await
        }
        None => instance.store.create(kind, name, &spec).await,
    };
    match written {
        Ok(_) if era != 0 && era < instance.store.era() => {
            WriteAnswer::Conflict
        }
        Ok(object) => WriteAnswer::Done(object.revision.number()),
        // The conflict is with an earlier send of the same write, whose answer
        // was lost.
        Err(StoreError::Conflict(Some(known)))
            if known.spec == spec
                && (era == 0 || known.revision.era() == era) =>
        {
            WriteAnswer::Done(known.revision.number())
        }
        Err(
            StoreError::Conflict(_)
            | StoreError::NotFound
            | StoreError::Restored(_),
        ) => WriteAnswer::Conflict,
        Err(_) => WriteAnswer::Unclear,
    }
}

/// How a write of the lease holder reached the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RenewalPath {
    Direct,
    Peer,
}

/// Renews or releases the lease. Tries the direct path first, and then other
/// instances that reach the store; uses both at once while the direct path is
/// taken to be cut. Each sender makes the same conditional update of one
/// revision, so it is applied once.
pub(super) async fn renew(
    instance: &FleetInstance,
    renewal: &LeaseWrite,
) -> (WriteAnswer, RenewalPath) {
    if !instance.store_reachability.borrow().is_unreachable() {
        let answer = renew_directly(instance, renewal).await;
        if answer != WriteAnswer::Unclear {
            return (answer, RenewalPath::Direct);
        }
        return (
            renew_through_peers(instance, renewal).await,
            RenewalPath::Peer,
        );
    }
    let own = pin!(renew_directly(instance, renewal));
    let peers = pin!(renew_through_peers(instance, renewal));
    match future::select(own, peers).await {
        Either::Left((WriteAnswer::Unclear, peers)) => {
            (peers.await, RenewalPath::Peer)
        }
        Either::Right((WriteAnswer::Unclear, own)) => {
            (own.await, RenewalPath::Direct)
        }
        Either::Left((answer, _)) => (answer, RenewalPath::Direct),
        Either::Right((answer, _)) => (answer, RenewalPath::Peer),
    }
}

async fn renew_directly(
    instance: &FleetInstance,
    renewal: &LeaseWrite,
) -> WriteAnswer {
    let sent = Instant::now();
    let written =
        compio::time::timeout(DIRECT_TIMEOUT, write(instance, renewal)).await;
    let answer = written.unwrap_or(WriteAnswer::Unclear);
    match answer {
        WriteAnswer::Unclear => {
            instance.record_store_failure(sent, &StoreError::TimedOut);
        }
        WriteAnswer::Done(_) | WriteAnswer::Conflict => {
            instance.record_store_success()
        }
    }
    answer
}

async fn renew_through_peers(
    instance: &FleetInstance,
    renewal: &LeaseWrite,
) -> WriteAnswer {
    let now = Instant::now();
    let mut peers: Vec<InstanceId> = instance
        .store_reports
        .borrow()
        .instances_reaching_store(now)
        .cloned()
        .collect();
    peers.shuffle(&mut rand::rng());
    for asked in peers.chunks(PEERS_PER_ROUND).take(PEER_ROUNDS) {
        let answer = renew_through(instance, asked, renewal).await;
        tracing::info!(
            event = "lease_renewed_through",
            peers = asked.join(","),
            renewal = renewal.record.renewal,
            answer = ?answer,
        );
        if answer != WriteAnswer::Unclear {
            return answer;
        }
    }
    WriteAnswer::Unclear
}

/// Asks several instances at once; the first definite answer counts.
///
/// Half of the other instances may be cut off without this one's knowledge.
/// Asked one by one, two of them in a row took 0.4 s of the 0.85 s that the
/// lease leaves, and no orders were given for 3 s.
async fn renew_through(
    instance: &FleetInstance,
    peers: &[InstanceId],
    renewal: &LeaseWrite,
) -> WriteAnswer {
    let number = rand::random();
    let (tx, rx) = oneshot::channel();
    *instance.renewal.borrow_mut() = Some((number, tx));
    let request = RenewalRequest {
        from: instance.id().clone(),
        number,
        write: renewal.clone(),
        known_revision: instance.view.borrow().newest_revision(),
    };
    for peer in peers {
        let note = Note::RenewalRequest(request.clone());
        instance.unicast_queue.borrow_mut().push((peer.clone(), note));
    }
    instance.notify_notes();
    match compio::time::timeout(PEER_TIMEOUT, rx).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => WriteAnswer::Unclear,
    }
}

/// Renews the lease for its holder, which cannot reach the store.
pub(super) async fn renew_for_holder(
    instance: &FleetInstance,
    sender: &NoteSender,
    request: RenewalRequest,
) {
    let RenewalRequest { from, number, write, known_revision } = request;
    let answer = self::write(instance, &write).await;
    tracing::info!(
        event = "lease_renewed_for",
        holder = from,
        epoch = write.record.epoch,
        renewal = write.record.renewal,
        answer = ?answer,
    );
    let view = instance.view.borrow();
    let versions = view.newest_versions();
    let era = instance.store.era();
    let mut endpoints = view.entries_since(known_revision.or_in_era(era));
    if known_revision.era() == 0 {
        // An instance of the previous release compares bare numbers.
        for endpoint in &mut endpoints {
            endpoint.revision = endpoint.revision.without_era();
        }
    }
    let answer = RenewalAnswer {
        number,
        answer,
        endpoints,
        versions: versions.map(|(key, v)| (key.clone(), v)).collect(),
    };
    sender.send_to_peer(instance, &from, &Note::RenewalAnswer(answer));
}

/// Applies the store's answer to a renewal that another instance sent. An
/// answer to an earlier request is ignored.
///
/// The endpoints and versions that come with it are always applied: a holder
/// that saw none of 18 new engines for 7 s left 500 adapters waiting for
/// places on the other engines.
pub(super) fn apply_renewal_answer(
    instance: &FleetInstance,
    received: RenewalAnswer,
) {
    let now = Instant::now();
    let era = instance.store.era();
    let mut endpoints = received.endpoints;
    for endpoint in &mut endpoints {
        endpoint.revision = endpoint.revision.or_in_era(era);
    }
    let mut view = instance.view.borrow_mut();
    view.apply_entries(endpoints, now);
    drop(view);
    for (key, version) in &received.versions {
        instance.name_version(key, *version);
    }
    instance.notify_planner();
    if received.answer == WriteAnswer::Unclear {
        // Another instance that was asked may have a definite answer.
        return;
    }
    let mut waiting = instance.renewal.borrow_mut();
    if waiting.as_ref().is_some_and(|(number, _)| *number == received.number)
        && let Some((_, tx)) = waiting.take()
    {
        // Fails if the renewal has timed out meanwhile.
        let _ = tx.send(received.answer);
    }
}
