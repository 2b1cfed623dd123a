//! Records of where streams began, in the platform's store.
//!
//! Instances remember where streams began, and the records outlive all of
//! them. They are needed only while a service has several software versions;
//! otherwise its version record tells the same. All instances report the
//! streams that begin to the lease holder, which writes those of 50 ms to one
//! object. The objects form a ring, so that the oldest are replaced.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    note::BegunStreams,
    stream_origins::{StreamKey, StreamOrigin},
};
use sedgewall_platform::{
    StoreError,
    store::{Freshness, Revision},
};
use sedgewall_state::id::Epoch;
use serde::{Deserialize, Serialize};

use super::{coalesced::Coalesced, instance::FleetInstance, notify::Notify};

/// The kind of the records in the store.
const STREAMS_KIND: &str = "sedgewall-streams";

/// The pause between two writes. A stream whose instances are lost before its
/// record is written cannot go on.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

/// How long an object takes further streams. Each write of that time replaces
/// the one before.
const OBJECT_TIME: Duration = Duration::from_millis(50);

/// The number of objects in the ring. Each is kept for at least as many times
/// [`OBJECT_TIME`], 24 s, which is longer than callers resume a stream. The store
/// lists them on one page.
const RING_LEN: usize = 480;

/// The maximum number of streams in one object, about 40 kB.
const MAX_STREAMS: usize = 2_000;

/// The maximum number of streams that wait to be written. The oldest are
/// dropped first: a stream that is not recorded is refused, not guessed.
const MAX_PENDING: usize = 20_000;

/// How long an instance without streams to write waits for a notification.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// One object of the ring.
#[derive(Debug, Default, Deserialize, Serialize)]
struct StreamRecord {
    /// When the object was written, in milliseconds of Unix time.
    written_unix_ms: u64,
    streams: Vec<BegunStreams>,
}

/// The streams that the lease holder has yet to record.
#[derive(Default)]
pub(crate) struct StreamRecords {
    pending: RefCell<Vec<(StreamKey, StreamOrigin)>>,
    notify: Notify,
    read: Rc<Coalesced>,
}

/// The ring as the lease holder knows it in one epoch.
struct Ring {
    epoch: Epoch,
    revisions: Vec<Option<Revision>>,
    /// The object that takes further streams.
    slot: usize,
    /// When its first stream was written.
    slot_since: Option<Instant>,
    /// The streams that were written to it.
    written: Vec<(StreamKey, StreamOrigin)>,
}

impl FleetInstance {
    /// Records streams in the store if this instance holds the lease and their
    /// service has several software versions.
    pub(crate) fn record_streams(
        &self,
        streams: impl Iterator<Item = (StreamKey, StreamOrigin)>,
    ) {
        if self.held.get().is_none() {
            return;
        }
        let records = &self.stream_records;
        let mut pending = records.pending.borrow_mut();
        pending.extend(streams.filter(|(_, origin)| {
            self.version_records.has_several(&origin.service)
        }));
        let excess = pending.len().saturating_sub(MAX_PENDING);
        pending.drain(..excess);
        if !pending.is_empty() {
            records.notify.notify();
        }
    }
}

/// Reads the records, so that the origins of all recorded streams are known.
/// Returns whether the store has answered.
pub(crate) async fn read(instance: &Rc<FleetInstance>) -> bool {
    let caller = instance.clone();
    let coalesced = instance.stream_records.read.clone();
    coalesced.run(move || list(caller.clone())).await
}

async fn list(instance: Rc<FleetInstance>) -> bool {
    let listed = instance.store.list(STREAMS_KIND, Freshness::Newest).await;
    let listing = match listed {
        Ok(listing) => listing,
        Err(err) => {
            let cause = err.to_string();
            tracing::warn!(event = "stream_records_not_read", cause);
            return false;
        }
    };
    let mut streams = 0;
    for object in listing.objects {
        if let Ok(record) = StreamRecord::deserialize(&object.spec) {
            streams += record
                .streams
                .iter()
                .map(|streams| streams.keys.len())
                .sum::<usize>();
            instance.streams.apply_report(&record.streams);
        }
    }
    tracing::info!(event = "stream_records_read", streams);
    true
}

/// Writes the streams that begin while this instance holds the lease. Never
/// returns.
pub(crate) async fn write(instance: Rc<FleetInstance>) {
    let records = &instance.stream_records;
    let mut ring: Option<Ring> = None;
    loop {
        if records.pending.borrow().is_empty() {
            records.notify.wait(IDLE_WAIT).await;
            continue;
        }
        let Some(held) = instance.held.get() else {
            records.pending.take();
            continue;
        };
        if ring.as_ref().is_none_or(|ring| ring.epoch != held.epoch) {
            ring = Ring::read(&instance, held.epoch).await;
        }
        if let Some(ring) = &mut ring {
            write_next(&instance, ring).await;
        }
        compio::time::sleep(WRITE_PAUSE).await;
    }
}

impl Ring {
    /// Finds the object that was written last.
    async fn read(instance: &FleetInstance, epoch: Epoch) -> Option<Ring> {
        let listed =
            instance.store.list(STREAMS_KIND, Freshness::Newest).await;
        let mut ring = Ring {
            epoch,
            revisions: vec![None; RING_LEN],
            slot: 0,
            slot_since: None,
            written: Vec::new(),
        };
        let mut newest = None;
        for object in listed.ok()?.objects {
            let Some(slot) = slot_of(&object.name) else { continue };
            ring.revisions[slot] = Some(object.revision);
            if newest.is_none_or(|revision| revision < object.revision) {
                newest = Some(object.revision);
                ring.slot = (slot + 1) % RING_LEN;
            }
        }
        Some(ring)
    }
}

/// Writes pending streams to the current object. They stay pending if the store
/// does not take them.
async fn write_next(instance: &FleetInstance, ring: &mut Ring) {
    let records = &instance.stream_records;
    let is_over =
        ring.slot_since.is_some_and(|since| since.elapsed() >= OBJECT_TIME);
    if is_over || ring.written.len() >= MAX_STREAMS {
        ring.slot = (ring.slot + 1) % RING_LEN;
        ring.slot_since = None;
        ring.written.clear();
    }
    let pending = {
        let mut pending = records.pending.borrow_mut();
        let room = MAX_STREAMS - ring.written.len();
        let len = pending.len().min(room);
        pending.drain(..len).collect::<Vec<_>>()
    };
    let record = StreamRecord::of(ring.written.iter().chain(&pending));
    let Ok(spec) = serde_json::to_value(&record) else { return };
    let (slot, store) = (ring.slot, &instance.store);
    let name = format!("slot-{slot}");
    let began = Instant::now();
    let result = match ring.revisions[slot] {
        Some(revision) => {
            store.replace(STREAMS_KIND, &name, revision, &spec).await
        }
        None => store.create(STREAMS_KIND, &name, &spec).await,
    };
    match result {
        Ok(object) => {
            ring.revisions[slot] = Some(object.revision);
            ring.slot_since.get_or_insert(began);
            ring.written.extend(pending);
            return;
        }
        // An earlier write was carried out, or another instance holds the
        // lease by now.
        Err(StoreError::Conflict(Some(object))) => {
            ring.revisions[slot] = Some(object.revision);
        }
        Err(err) => {
            let cause = err.to_string();
            tracing::warn!(event = "streams_not_recorded", cause);
        }
    }
    records.pending.borrow_mut().splice(0..0, pending);
}

impl StreamRecord {
    fn of<'a>(
        streams: impl Iterator<Item = &'a (StreamKey, StreamOrigin)>,
    ) -> StreamRecord {
        let mut by_origin: BTreeMap<(&str, &str), BegunStreams> =
            BTreeMap::new();
        for (key, origin) in streams {
            let id = (&*origin.service, &*origin.software_version.0);
            let begun = by_origin.entry(id).or_insert_with(|| BegunStreams {
                origin: origin.clone(),
                keys: Vec::new(),
            });
            begun.keys.push(*key);
        }
        let since_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        StreamRecord {
            written_unix_ms: since_epoch.as_millis() as u64,
            streams: by_origin.into_values().collect(),
        }
    }
}

fn slot_of(name: &str) -> Option<usize> {
    let slot = name.strip_prefix("slot-")?.parse().ok()?;
    (slot < RING_LEN).then_some(slot)
}
