//! Leases on shards, modelled as a typestate.
//!
//! A lease is a record in the platform's object API that changes only by
//! conditional update. An instance's view of it is in one of three states:
//! [`Watching`] (another instance or none holds it), [`Acquiring`] (this
//! instance sent an update that acquires it) and [`Held`] (this instance holds
//! it). The invariants: an epoch never has two holders, and a holder treats
//! the lease as lost before any other instance may acquire it.
//!
//! Instances share no clock. A challenger waits until it has itself observed
//! the record unchanged for the time to live plus a margin, on its own
//! monotonic clock. The holder counts the time to live from *before* it sent
//! its last renewal.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::{Epoch, Incarnation, InstanceId, ShardId};
use serde::{Deserialize, Serialize};

/// The version that the platform assigns to each state of an object.
pub type ObjectVersion = u64;

/// The durations that govern a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTiming {
    /// How long a lease is valid after its last renewal was sent.
    pub time_to_live: Duration,
    /// The interval between renewals.
    pub renew_every: Duration,
    /// How long a challenger waits beyond the time to live, to allow for
    /// clocks that run at different rates.
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

/// The lease record as stored in the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The shard that the lease is for.
    pub shard: ShardId,
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The holder's incarnation, which changes at each start of the process; a
    /// restarted instance has to acquire the lease anew.
    pub incarnation: Incarnation,
    /// The URL at which peers reach the holder.
    pub peer_url: String,
    /// The epoch, which rises with each new holder.
    pub epoch: Epoch,
    /// A counter that rises with each renewal, by which a challenger sees that
    /// the holder is alive.
    pub renewal: u64,
    /// Whether the holder released the lease.
    pub is_released: bool,
    /// Whether the handover delay after the previous holder is still pending,
    /// so that endpoints may still receive orders of that holder. A record
    /// written by a software version without this field counts as pending:
    /// after a restart, the holder that reacquires the lease then waits for
    /// the whole delay again.
    #[serde(
        rename = "is_turn_pending",
        default = "default_is_handover_pending"
    )]
    pub is_handover_pending: bool,
}

fn default_is_handover_pending() -> bool {
    true
}

/// A lease record together with its object version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLease {
    /// The lease record.
    pub record: LeaseRecord,
    /// The object version that a conditional update must expect.
    pub version: ObjectVersion,
}

/// The identity that an instance writes into a record when it acquires a
/// lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The incarnation of this instance.
    pub incarnation: Incarnation,
    /// The URL at which peers reach this instance.
    pub peer_url: String,
    /// The lowest epoch under which the lease may be acquired. If a store that
    /// loses records numbers its eras, this is above all epochs of earlier
    /// eras; otherwise 0.
    pub epoch_floor: Epoch,
    /// Whether no other instance can have held the lease since this one held
    /// it last, or ever. It matters if there is no record, or one that is
    /// below the floor: the last holder's record may then be lost.
    pub has_no_predecessor: bool,
}

/// A conditional update of the lease record, for the code that drives the
/// lease to send to the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseWrite {
    /// The record to write.
    pub record: LeaseRecord,
    /// The object version that the update replaces; `None` if the object must
    /// not exist.
    pub expected: Option<ObjectVersion>,
}

/// The outcome of a conditional update.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WriteAnswer {
    /// The update took effect and created this object version.
    Done(ObjectVersion),
    /// The object did not have the expected version.
    Conflict,
    /// The outcome is unknown: the response was lost or the platform is
    /// unreachable.
    Unclear,
}

/// The state of a lease that this instance does not hold.
#[derive(Clone, Debug)]
pub struct Watching {
    shard: ShardId,
    seen: Option<StoredLease>,
    unchanged_since: Option<Instant>,
}

/// The state of a lease that this instance tries to acquire: the update was
/// sent, and its outcome is pending or unknown.
#[derive(Clone, Debug)]
pub struct Acquiring {
    write: LeaseWrite,
    sent: Instant,
}

/// The state of a lease that this instance holds.
#[derive(Clone, Debug)]
pub struct Held {
    record: LeaseRecord,
    version: ObjectVersion,
    renewed_at: Instant,
}

/// A lease in the state `S`: [`Watching`], [`Acquiring`] or [`Held`].
#[derive(Clone, Debug)]
pub struct Lease<S> {
    state: S,
    timing: LeaseTiming,
}

/// The outcome of an attempt to acquire a lease.
#[derive(Clone, Debug)]
pub enum AcquireOutcome {
    /// This instance holds the lease.
    Held(Lease<Held>),
    /// Another instance changed the record first, or the record read back does
    /// not show the update.
    Lost(Lease<Watching>),
    /// The outcome is unknown; read the record and call [`Lease::resolve`].
    Unclear(Lease<Acquiring>),
}

/// The outcome of a renewal.
#[derive(Clone, Debug)]
pub enum RenewOutcome {
    /// This instance still holds the lease.
    Held(Lease<Held>),
    /// Another instance changed the record, or the lease was released.
    Lost(Lease<Watching>),
}

/// What a holder announced of its lease to its peers, in addition to the
/// stored record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLease {
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// The last renewal that the holder knows to have succeeded.
    pub renewal: u64,
    /// The latest time at which the lease expires after that renewal: the time
    /// left on the holder's clock, counted from the receipt of the
    /// announcement.
    pub expires_by: Instant,
}

impl Lease<Watching> {
    /// Returns a lease of which no record has been observed.
    pub fn new(shard: ShardId, timing: LeaseTiming) -> Lease<Watching> {
        let state = Watching { shard, seen: None, unchanged_since: None };
        Lease { state, timing }
    }

    /// Records the result of reading the lease record.
    ///
    /// A record of an older version than the last observed one is ignored: a
    /// slow read must not make a live lease look unchanged.
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

    /// Returns the last observed record.
    pub fn seen(&self) -> Option<&LeaseRecord> {
        self.state.seen.as_ref().map(|stored| &stored.record)
    }

    /// Returns whether the lease may be acquired: the last observation found
    /// no record, a released one, or one that has been unchanged for the time
    /// to live plus the margin.
    pub fn is_free(&self, now: Instant) -> bool {
        let Some(since) = self.state.unchanged_since else { return false };
        let Some(stored) = &self.state.seen else { return true };
        if stored.record.is_released {
            return true;
        }
        let required_wait = self.timing.time_to_live + self.timing.margin;
        now.saturating_duration_since(since) >= required_wait
    }

    /// Returns the latest time at which the last observed lease expires on its
    /// holder's own clock: one time to live after this record was first
    /// observed, or sooner if the holder announced so for this very renewal.
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

    /// Starts to acquire a free lease, under the next epoch.
    ///
    /// Without a record of the current era, the instance that held the lease
    /// last is unknown, so that the handover delay is pending unless the
    /// candidate knows that there was no other.
    pub fn acquire(
        self,
        candidate: &Candidate,
        now: Instant,
    ) -> Lease<Acquiring> {
        let seen = self.state.seen;
        let last_epoch = seen.as_ref().map_or(0, |s| s.record.epoch);
        let last = seen.as_ref().map(|stored| &stored.record);
        let last = last.filter(|last| last.epoch >= candidate.epoch_floor);
        let is_handover_pending = match last {
            Some(last) => {
                last.is_handover_pending || last.holder != candidate.instance
            }
            None => !candidate.has_no_predecessor,
        };
        let record = LeaseRecord {
            shard: self.state.shard,
            holder: candidate.instance.clone(),
            incarnation: candidate.incarnation,
            peer_url: candidate.peer_url.clone(),
            epoch: (last_epoch + 1).max(candidate.epoch_floor),
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
    /// Returns the conditional update to send.
    pub fn write(&self) -> &LeaseWrite {
        &self.state.write
    }

    /// Applies the outcome of the conditional update.
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

    /// Resolves an unknown outcome by a record that was read afterwards.
    ///
    /// This instance's own record is recognised by holder, incarnation and
    /// epoch. A record that does not show the update does not prove that the
    /// update will never take effect. The lease therefore returns to
    /// [`Watching`], whose wait covers that case: an update that arrives late
    /// is observed there as a change.
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

    /// Returns to watching after the lease was not acquired. No record counts
    /// as observed, and the time is not used.
    fn into_watching(self, now: Instant) -> Lease<Watching> {
        let _ = now;
        Lease::new(self.state.write.record.shard, self.timing)
    }
}

impl Lease<Held> {
    /// Returns the epoch, which serves as the fencing token of every order.
    pub fn epoch(&self) -> Epoch {
        self.state.record.epoch
    }

    /// Returns the record that was last written or read back.
    pub fn record(&self) -> &LeaseRecord {
        &self.state.record
    }

    /// Returns whether the lease is still valid, so that no other instance can
    /// have acquired it.
    ///
    /// Check this before each order to an endpoint that does not check fences.
    pub fn is_current(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.state.renewed_at);
        elapsed < self.timing.time_to_live
    }

    /// Returns whether a renewal is due.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.state.renewed_at);
        elapsed >= self.timing.renew_every
    }

    /// Marks the handover delay after the previous holder as passed; the next
    /// renewal writes this to the record.
    pub fn complete_handover(&mut self) {
        self.state.record.is_handover_pending = false;
    }

    /// Returns the conditional update that renews the lease.
    pub fn renewal(&self) -> LeaseWrite {
        let mut record = self.state.record.clone();
        record.renewal += 1;
        LeaseWrite { record, expected: Some(self.state.version) }
    }

    /// Returns the conditional update that releases the lease.
    pub fn release(&self) -> LeaseWrite {
        let mut write = self.renewal();
        write.record.is_released = true;
        write
    }

    /// Applies the outcome of a renewal that was sent at `sent`.
    ///
    /// An unknown outcome keeps the old renewal time and version; it is
    /// resolved by the next read, through [`Lease::reconcile`], or by a
    /// conflict of the next renewal.
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

    /// Resolves a renewal with an unknown outcome by a record that was read
    /// afterwards.
    ///
    /// The time of the last successful renewal is kept: the read shows that no
    /// other instance holds the lease, but not when it was renewed.
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

    /// Returns to watching after the lease has expired, was released, or was
    /// lost because another instance changed the record.
    ///
    /// No record counts as observed, and the time is not used.
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
