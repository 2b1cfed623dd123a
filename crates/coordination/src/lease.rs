//! Leases on shards, as a typestate.
//!
//! A lease is a record in the platform's object API, changed only by
//! conditional update. Its life here is [`Watching`] (somebody else's, or
//! nobody's), [`Acquiring`] (our update is out) and [`Held`] (ours). The
//! invariants: an epoch never has two holders, and a holder treats the lease as
//! lost before anybody else may take it.
//!
//! No clock is shared. A challenger waits until it has itself seen the record
//! unchanged for the time to live plus a margin, on its own monotonic clock;
//! the holder counts the time to live from *before* it sent its last renewal.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::{Epoch, Incarnation, InstanceId, ShardId};
use serde::{Deserialize, Serialize};

/// The version that the platform gives to each state of an object.
pub type ObjectVersion = u64;

/// The times of leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTiming {
    /// How long a lease holds after its last renewal.
    pub time_to_live: Duration,
    /// How often the holder renews it.
    pub renew_every: Duration,
    /// What a challenger waits beyond the time to live, for clocks that run at
    /// different speeds.
    pub margin: Duration,
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming {
            time_to_live: Duration::from_millis(900),
            renew_every: Duration::from_millis(250),
            margin: Duration::from_millis(100),
        }
    }
}

/// The record in the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The shard.
    pub shard: ShardId,
    /// The holder.
    pub holder: InstanceId,
    /// The holder's incarnation; a restarted instance is another holder.
    pub incarnation: Incarnation,
    /// Where the holder's peers reach it.
    pub peer_url: String,
    /// The epoch; it rises with each new holder.
    pub epoch: Epoch,
    /// Rises with each renewal, so that a challenger can see it live.
    pub renewal: u64,
    /// Whether the holder gave it up.
    pub is_released: bool,
    /// Whether endpoints may still hear the holder before this one: the turn
    /// between the two has not passed. A record of a release that did not say
    /// so makes its own holder wait once more.
    #[serde(rename = "is_turn_pending", default = "default_handover_pending")]
    pub is_handover_pending: bool,
}

fn default_handover_pending() -> bool {
    true
}

/// A record together with the platform's version of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLease {
    /// The record.
    pub record: LeaseRecord,
    /// The version to name in a conditional update.
    pub version: ObjectVersion,
}

/// Who we are, as written into a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Our name.
    pub instance: InstanceId,
    /// Our incarnation.
    pub incarnation: Incarnation,
    /// Where peers reach us.
    pub peer_url: String,
}

/// A conditional update that a state wants to be sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseWrite {
    /// What to write.
    pub record: LeaseRecord,
    /// The version that must still be there; none if the object must not
    /// exist.
    pub expected: Option<ObjectVersion>,
}

/// The platform's answer to a conditional update.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WriteAnswer {
    /// It took effect, with this version.
    Done(ObjectVersion),
    /// The expected version was not there.
    Conflict,
    /// Nobody knows: the answer was lost or the platform is out.
    Unclear,
}

/// The lease is not ours.
#[derive(Clone, Debug)]
pub struct Watching {
    shard: ShardId,
    seen: Option<StoredLease>,
    unchanged_since: Option<Instant>,
}

/// Our attempt to take the lease is out, or its answer was lost.
#[derive(Clone, Debug)]
pub struct Acquiring {
    write: LeaseWrite,
    sent: Instant,
}

/// The lease is ours.
#[derive(Clone, Debug)]
pub struct Held {
    record: LeaseRecord,
    version: ObjectVersion,
    renewed_at: Instant,
}

/// A lease in one of its states.
#[derive(Clone, Debug)]
pub struct Lease<S> {
    state: S,
    timing: LeaseTiming,
}

/// What became of an attempt to take a lease.
#[derive(Clone, Debug)]
pub enum AcquireOutcome {
    /// It is ours.
    Held(Lease<Held>),
    /// Somebody else was faster.
    Lost(Lease<Watching>),
    /// Nobody knows yet; read the record and call [`Lease::resolve`].
    Unclear(Lease<Acquiring>),
}

/// What became of a renewal.
#[derive(Clone, Debug)]
pub enum RenewOutcome {
    /// It is still ours.
    Held(Lease<Held>),
    /// It was taken or has lapsed.
    Lost(Lease<Watching>),
}

/// What a holder told others of its lease, beside the record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLease {
    /// Its epoch.
    pub epoch: Epoch,
    /// Which renewal the holder knows of.
    pub renewal: u64,
    /// When the lease ends after that renewal, at the latest: what was left of
    /// it by the holder's clock, counted from when we heard so.
    pub expires_by: Instant,
}

impl Lease<Watching> {
    /// Returns a lease of which nothing is known.
    pub fn new(shard: ShardId, timing: LeaseTiming) -> Lease<Watching> {
        let state = Watching { shard, seen: None, unchanged_since: None };
        Lease { state, timing }
    }

    /// Takes in what the platform holds now.
    ///
    /// A record of an older version than one that was seen is ignored: a slow
    /// read must not make a live lease look unchanged.
    pub fn observe(&mut self, stored: Option<StoredLease>, now: Instant) {
        let state = &mut self.state;
        if let (Some(seen), Some(new)) = (&state.seen, &stored)
            && new.version < seen.version
        {
            return;
        }
        let is_same = state.seen == stored;
        if !is_same || state.unchanged_since.is_none() {
            state.unchanged_since = Some(now);
        }
        state.seen = stored;
    }

    /// Returns the record that was seen last.
    pub fn seen(&self) -> Option<&LeaseRecord> {
        self.state.seen.as_ref().map(|stored| &stored.record)
    }

    /// Returns whether the lease is free to be taken.
    pub fn is_free(&self, now: Instant) -> bool {
        let Some(since) = self.state.unchanged_since else { return false };
        let Some(stored) = &self.state.seen else { return true };
        if stored.record.is_released {
            return true;
        }
        let required_wait = self.timing.time_to_live + self.timing.margin;
        now.saturating_duration_since(since) >= required_wait
    }

    /// Returns when the lease that was seen last has ended at the latest, on
    /// its holder's own clock: a time to live after we first saw this record,
    /// or sooner if its holder said so of just this renewal.
    pub fn latest_expiry(
        &self,
        announced: Option<AnnouncedLease>,
    ) -> Option<Instant> {
        let record = &self.state.seen.as_ref()?.record;
        let seen = self.state.unchanged_since? + self.timing.time_to_live;
        let announced = announced.filter(|announced| {
            (announced.epoch, announced.renewal)
                == (record.epoch, record.renewal)
        });
        Some(
            announced.map_or(seen, |announced| announced.expires_by.min(seen)),
        )
    }

    /// Tries to take a free lease.
    pub fn acquire(
        self,
        candidate: &Candidate,
        now: Instant,
    ) -> Lease<Acquiring> {
        let seen = self.state.seen;
        let last_epoch = seen.as_ref().map_or(0, |s| s.record.epoch);
        let is_handover_pending = seen.as_ref().is_some_and(|before| {
            before.record.is_handover_pending
                || before.record.holder != candidate.instance
        });
        let record = LeaseRecord {
            shard: self.state.shard,
            holder: candidate.instance.clone(),
            incarnation: candidate.incarnation,
            peer_url: candidate.peer_url.clone(),
            epoch: last_epoch + 1,
            renewal: 0,
            is_released: false,
            is_handover_pending,
        };
        let expected = seen.map(|stored| stored.version);
        let write = LeaseWrite { record, expected };
        Lease { state: Acquiring { write, sent: now }, timing: self.timing }
    }
}

impl Lease<Acquiring> {
    /// Returns the update to send.
    pub fn write(&self) -> &LeaseWrite {
        &self.state.write
    }

    /// Takes in the platform's answer.
    pub fn complete_acquire(
        self,
        answer: WriteAnswer,
        now: Instant,
    ) -> AcquireOutcome {
        match answer {
            WriteAnswer::Done(version) => {
                AcquireOutcome::Held(self.into_held(version))
            }
            WriteAnswer::Conflict => {
                AcquireOutcome::Lost(self.into_watching(now))
            }
            WriteAnswer::Unclear => AcquireOutcome::Unclear(self),
        }
    }

    /// Settles an unclear answer by what a read shows.
    ///
    /// The record is recognised by holder, incarnation and epoch. A record
    /// that does not show our update does not prove that it will never take
    /// effect, so the lease goes back to watching, whose wait covers that: an
    /// update that arrives late shows there as a change.
    pub fn resolve(
        self,
        stored: Option<StoredLease>,
        now: Instant,
    ) -> AcquireOutcome {
        let is_own_record = stored.as_ref().is_some_and(|s| {
            is_same_holder_and_epoch(&s.record, self.attempted_record())
        });
        if let (true, Some(stored)) = (is_own_record, &stored) {
            return AcquireOutcome::Held(self.into_held(stored.version));
        }
        let mut watching = self.into_watching(now);
        watching.observe(stored, now);
        AcquireOutcome::Lost(watching)
    }

    fn attempted_record(&self) -> &LeaseRecord {
        &self.state.write.record
    }

    fn into_held(self, version: ObjectVersion) -> Lease<Held> {
        let state = Held {
            record: self.state.write.record,
            version,
            renewed_at: self.state.sent,
        };
        Lease { state, timing: self.timing }
    }

    fn into_watching(self, now: Instant) -> Lease<Watching> {
        let _ = now;
        Lease::new(self.state.write.record.shard, self.timing)
    }
}

impl Lease<Held> {
    /// Returns the epoch, which fences every order.
    pub fn epoch(&self) -> Epoch {
        self.state.record.epoch
    }

    /// Returns the record as last written.
    pub fn record(&self) -> &LeaseRecord {
        &self.state.record
    }

    /// Returns whether nobody else can have taken the lease yet.
    ///
    /// Ask this before each order to an endpoint that does not check fences.
    pub fn is_current(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.state.renewed_at);
        elapsed < self.timing.time_to_live
    }

    /// Returns whether a renewal is due.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.state.renewed_at);
        elapsed >= self.timing.renew_every
    }

    /// Notes that the turn after the holder before has passed, so that the next
    /// renewal says so.
    pub fn complete_handover(&mut self) {
        self.state.record.is_handover_pending = false;
    }

    /// Returns the renewal to send.
    pub fn renewal(&self) -> LeaseWrite {
        let mut record = self.state.record.clone();
        record.renewal += 1;
        LeaseWrite { record, expected: Some(self.state.version) }
    }

    /// Returns the update that gives the lease up.
    pub fn release(&self) -> LeaseWrite {
        let mut write = self.renewal();
        write.record.is_released = true;
        write
    }

    /// Takes in the answer to a renewal that was sent at `sent`.
    ///
    /// An unclear answer keeps the old time and version; the next read or
    /// conflict settles it through [`Lease::reconcile`].
    pub fn complete_renewal(
        mut self,
        write: LeaseWrite,
        answer: WriteAnswer,
        sent: Instant,
        now: Instant,
    ) -> RenewOutcome {
        match answer {
            WriteAnswer::Done(version) => {
                self.state.record = write.record;
                self.state.version = version;
                self.state.renewed_at = sent;
                RenewOutcome::Held(self)
            }
            WriteAnswer::Unclear => RenewOutcome::Held(self),
            WriteAnswer::Conflict => {
                RenewOutcome::Lost(self.into_watching(now))
            }
        }
    }

    /// Settles an unclear renewal by what a read shows.
    ///
    /// The time of the last clear renewal stays, because the read only shows
    /// that nobody else holds the lease, not when ours was renewed.
    pub fn reconcile(
        mut self,
        stored: Option<StoredLease>,
        now: Instant,
    ) -> RenewOutcome {
        match stored {
            Some(stored)
                if is_same_holder_and_epoch(
                    &stored.record,
                    &self.state.record,
                ) && !stored.record.is_released =>
            {
                self.state.record = stored.record;
                self.state.version = stored.version;
                RenewOutcome::Held(self)
            }
            stored => {
                let mut watching = self.into_watching(now);
                watching.observe(stored, now);
                RenewOutcome::Lost(watching)
            }
        }
    }

    /// Gives up a lease that has lapsed or was released.
    pub fn into_watching(self, now: Instant) -> Lease<Watching> {
        let _ = now;
        Lease::new(self.state.record.shard, self.timing)
    }
}

fn is_same_holder_and_epoch(a: &LeaseRecord, b: &LeaseRecord) -> bool {
    a.holder == b.holder
        && a.incarnation == b.incarnation
        && a.epoch == b.epoch
}
