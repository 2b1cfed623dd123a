//! The record of the lease on orders in the platform's store: our own way
//! there, and through another instance where that is cut.
//!
//! A holder that loses only its own path would end its lease, and nobody gives
//! orders for some 5 s until the next one may; so another instance that reaches
//! the store sends the renewal. The update is conditional, so it does not matter
//! who sends it, nor how often.

use std::{pin::pin, time::Duration};

use futures_channel::oneshot;
use futures_util::future::{self, Either};
use rand::seq::SliceRandom;
use sedgewall_clock::Instant;
use sedgewall_coordination::lease::{
    LeaseRecord, LeaseWrite, StoredLease, WriteAnswer,
};
use sedgewall_fleet::note::{Note, RenewalAnswer, RenewalRequest};
use sedgewall_platform::{StoreError, store::StoredObject};
use sedgewall_state::id::InstanceId;
use serde::Deserialize;

use super::{instance::FleetInstance, note_sender::NoteSender};

/// The kind of leases in the store.
const LEASES_KIND: &str = "sedgewall-leases";

/// The name of the lease on orders.
pub(super) const ORDERS_LEASE: &str = "orders";

/// How long a renewal of our own may take before others are asked. A slow store
/// answers in some 300 ms; two others fit into what the lease leaves after it.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(350);

/// How long another instance may take: two ways between instances and one call
/// to the store, 10 ms where both work.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// Instances that are asked for one renewal at once. Of 79 of which 28 were cut off
/// without a word, one of three answers in 95 of 100 rounds.
const PEERS_PER_ROUND: usize = 3;

/// Rounds of asking others, which the lease leaves time for.
const PEER_ROUNDS: usize = 2;

/// Reads the record.
pub(super) async fn read(
    instance: &FleetInstance,
) -> Result<Option<StoredLease>, StoreError> {
    let sent = Instant::now();
    let read = instance.store.get(LEASES_KIND, ORDERS_LEASE).await;
    // The holder counts on our word: who can read the record can take it.
    match &read {
        Ok(_) => instance.record_store_success(),
        Err(err) => instance.record_store_failure(sent, err),
    }
    Ok(read?.and_then(|object| decode(&object)))
}

fn decode(object: &StoredObject) -> Option<StoredLease> {
    match LeaseRecord::deserialize(&object.spec) {
        Ok(record) => Some(StoredLease { record, version: object.revision }),
        Err(err) => {
            tracing::error!(event = "lease_unreadable", cause = %err);
            None
        }
    }
}

/// Writes the record our own way.
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
    let written = match write.expected {
        Some(revision) => {
            instance.store.replace(kind, name, revision, &spec).await
        }
        None => instance.store.create(kind, name, &spec).await,
    };
    match written {
        Ok(object) => WriteAnswer::Done(object.revision),
        // A write that was sent before, and whose answer was lost.
        Err(StoreError::Conflict(Some(known))) if known.spec == spec => {
            WriteAnswer::Done(known.revision)
        }
        Err(StoreError::Conflict(_) | StoreError::Missing) => {
            WriteAnswer::Conflict
        }
        Err(_) => WriteAnswer::Unclear,
    }
}

/// How a write of the holder's reached the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RenewalPath {
    Direct,
    Peer,
}

/// Renews or releases the lease: our own way first, and through others that reach
/// the store; both at once while our own way is taken to be cut. The write is the
/// same and bound to a revision, so it is done once however many send it.
pub(super) async fn renew(
    instance: &FleetInstance,
    renewal: &LeaseWrite,
) -> (WriteAnswer, RenewalPath) {
    if !instance.store_contact.borrow().is_unreachable() {
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
            instance.record_store_failure(sent, &StoreError::Unanswered);
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

/// Asks several at once; the first clear answer counts. Half of the others may be
/// cut off without our knowing: one by one, two in a row took 0.4 s of the 0.85 s
/// that the lease leaves, and orders stood still for 3 s.
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
    let answer = RenewalAnswer {
        number,
        answer,
        endpoints: view.entries_since(known_revision),
        versions: versions.map(|(key, v)| (key.clone(), v)).collect(),
    };
    sender.send_to_peer(instance, &from, &Note::RenewalAnswer(answer));
}

/// Takes in what the store answered to another instance. An answer to an older
/// request says nothing of the one that is out.
///
/// What it knows of endpoints and versions counts in any case: a holder that saw
/// none of 18 new engines for 7 s left 500 adapters waiting for the others' places.
pub(super) fn apply_renewal_answer(
    instance: &FleetInstance,
    received: RenewalAnswer,
) {
    let now = Instant::now();
    let mut view = instance.view.borrow_mut();
    view.apply_entries(received.endpoints, now);
    drop(view);
    for (key, version) in &received.versions {
        instance.name_version(key, *version);
    }
    instance.notify_loader();
    if received.answer == WriteAnswer::Unclear {
        // Another one that was asked may know more.
        return;
    }
    let mut waiting = instance.renewal.borrow_mut();
    if waiting.as_ref().is_some_and(|(number, _)| *number == received.number)
        && let Some((_, tx)) = waiting.take()
    {
        // The renewal may have waited for long enough.
        let _ = tx.send(received.answer);
    }
}
