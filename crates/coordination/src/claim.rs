//! Claims of idempotency keys: a non-repeatable request runs at most once,
//! even when its key is sent to two instances.
//!
//! Keys are hashed into partitions. Each partition is an append-only log of
//! segments in the object API. A segment is *created only if it does not
//! exist*, so two claimers can never both write segment `n + 1`, whatever
//! their clocks or leases say. A claimer batches many claims into one segment.
//! If a segment with that number already exists, the claimer reads the
//! existing segment, applies its claims and retries with the next number.
//!
//! The invariant: a key is granted to a request only once the log holds a
//! segment with that claim and no earlier segment with the same key.

use std::collections::{HashMap, VecDeque};

use sedgewall_state::RequestId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// The number of partitions, each with a log of its own.
pub const PARTITIONS: u64 = 4;

/// The maximum number of claims in one segment, which bounds the size of its
/// object to about 350 KB.
pub const MAX_SEGMENT_CLAIMS: usize = 8_192;

/// The hash of a caller's name together with an idempotency key.
pub type KeyHash = u128;

/// The index of a partition, below [`PARTITIONS`].
pub type PartitionIdx = u64;

/// The position of a segment in its log, counted from 0.
pub type SegmentIdx = u64;

/// Returns the hash of an idempotency key of one caller.
pub fn key_hash(caller: &str, key: &str) -> KeyHash {
    let mut bytes = Vec::with_capacity(caller.len() + key.len() + 1);
    bytes.extend_from_slice(caller.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// Returns the partition that holds the claims of a key.
pub fn partition(key: KeyHash) -> PartitionIdx {
    xxh3_64(&key.to_le_bytes()) % PARTITIONS
}

/// A claim that only this request may run for this key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The hash of the caller and the idempotency key.
    pub key: KeyHash,
    /// The request that claims the key.
    pub request: RequestId,
}

/// One segment of a partition's log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// The time of writing, in milliseconds since the Unix epoch on the
    /// claimer's clock; used only for trimming.
    pub written_ms: u64,
    /// Claims that are released because their requests were not run.
    pub releases: Vec<Claim>,
    /// New claims, which take effect after the releases.
    pub claims: Vec<Claim>,
}

/// The answer of a claimer to a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The request owns the key and may run once.
    Granted,
    /// Another request owns the key; this request was not run.
    Taken,
    /// The log could not be written; this request was not run.
    Unavailable,
}

/// A request together with the answer to its claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnsweredClaim {
    /// The request.
    pub request: RequestId,
    /// The answer to the claim.
    pub answer: ClaimAnswer,
}

/// A segment to create if no object exists at its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// The position in the log.
    pub idx: SegmentIdx,
    /// The content of the segment.
    pub segment: Segment,
}

/// The outcome of an attempt to create a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SegmentAnswer {
    /// The segment was created.
    Created,
    /// A segment with this content already exists at the position; usually
    /// another claimer created it.
    Exists(Segment),
    /// The outcome is unknown, for instance because the response was lost.
    Unclear,
}

/// The request that owns a key, and the segment that holds its claim.
#[derive(Clone, Copy, Debug)]
struct Owner {
    request: RequestId,
    segment: SegmentIdx,
}

/// The position and time of a segment that the log holds.
#[derive(Clone, Copy, Debug)]
struct LoggedSegment {
    idx: SegmentIdx,
    written_ms: u64,
}

/// A claimer's view of the log of one partition.
#[derive(Clone, Debug, Default)]
pub struct ClaimLog {
    owners: HashMap<KeyHash, Owner>,
    segments: VecDeque<LoggedSegment>,
    next: SegmentIdx,
    is_recovered: bool,
    pending: VecDeque<Claim>,
    releases: Vec<Claim>,
    in_flight: Option<SegmentWrite>,
}

impl ClaimLog {
    /// Returns whether the log has been read to its end.
    pub fn is_recovered(&self) -> bool {
        self.is_recovered
    }

    /// Returns the number of keys with a known owner.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether no key has a known owner.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the number of claims that are queued for a segment.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the position of the next segment to be read or written.
    pub fn next(&self) -> SegmentIdx {
        self.next
    }

    /// Applies a segment that was read from the log or appended to it.
    pub fn apply_segment(&mut self, idx: SegmentIdx, segment: &Segment) {
        for claim in &segment.releases {
            if self.owner(claim.key) == Some(claim.request) {
                self.owners.remove(&claim.key);
            }
        }
        for claim in &segment.claims {
            let owner = Owner { request: claim.request, segment: idx };
            self.owners.entry(claim.key).or_insert(owner);
        }
        if idx >= self.next {
            let written_ms = segment.written_ms;
            self.segments.push_back(LoggedSegment { idx, written_ms });
            self.next = idx + 1;
        }
    }

    /// Marks the log as read to its end, and returns the answers to queued
    /// claims that the log already decides.
    pub fn finish_recovery(&mut self) -> Vec<AnsweredClaim> {
        self.is_recovered = true;
        self.answer_decided()
    }

    /// Adds a claim. Returns the answer if the key already has an owner;
    /// otherwise the claim is queued and answered after a later segment.
    pub fn claim(&mut self, claim: Claim) -> Option<ClaimAnswer> {
        if let Some(answer) = self.decided_answer(claim) {
            return Some(answer);
        }
        self.pending.push_back(claim);
        None
    }

    /// Releases a claim whose request was not run and never will be.
    ///
    /// Only the entry instance of the request, which accepted it from the
    /// caller, may ask for the release.
    pub fn release(&mut self, claim: Claim) {
        self.pending.retain(|pending| pending.request != claim.request);
        self.releases.push(claim);
    }

    /// Removes the oldest segment and its keys if it was written before
    /// `before_ms` and is not the last one. Returns the position of the
    /// removed segment, for the claimer to delete the object.
    ///
    /// The last segment is never removed: a claimer that found an empty log
    /// would restart it from 0 while another claimer continues the old one.
    pub fn trim(&mut self, before_ms: u64) -> Option<SegmentIdx> {
        if self.segments.len() < 2 {
            return None;
        }
        let oldest = *self.segments.front()?;
        if oldest.written_ms >= before_ms {
            return None;
        }
        self.segments.pop_front();
        self.owners.retain(|_, owner| owner.segment > oldest.idx);
        Some(oldest.idx)
    }

    /// Discards the view of the log, because other claimers may have appended
    /// to it and trimmed it meanwhile. Queued claims and releases are kept.
    pub fn reset(&mut self) {
        self.owners.clear();
        self.segments.clear();
        self.next = 0;
        self.is_recovered = false;
        if let Some(write) = self.in_flight.take() {
            self.releases.extend(write.segment.releases);
            self.pending.extend(write.segment.claims);
        }
    }

    /// Returns the next segment to create, or `None` if there is nothing to
    /// write, a write is in flight, or the log has not been read to its end.
    pub fn next_write(&mut self, now_ms: u64) -> Option<SegmentWrite> {
        if !self.is_recovered || self.in_flight.is_some() {
            return None;
        }
        let releases = std::mem::take(&mut self.releases);
        let claims = Vec::new();
        let mut segment = Segment { written_ms: now_ms, releases, claims };
        let mut keys = HashMap::new();
        while segment.claims.len() < MAX_SEGMENT_CLAIMS {
            let Some(claim) = self.pending.pop_front() else { break };
            // A second claim of the same key is decided by the next segment,
            // after the first claim has its answer.
            if keys.insert(claim.key, claim.request).is_none() {
                segment.claims.push(claim);
            } else {
                self.pending.push_front(claim);
                break;
            }
        }
        if segment.claims.is_empty() && segment.releases.is_empty() {
            return None;
        }
        let write = SegmentWrite { idx: self.next, segment };
        self.in_flight = Some(write.clone());
        Some(write)
    }

    /// Applies the outcome of the segment write in flight, and returns the
    /// claims that it decides.
    ///
    /// An unknown outcome is resolved by creating the same segment again:
    /// either it is created now, or the content found there shows which
    /// claimer wrote it. Its claims stay in flight meanwhile and get no
    /// answer. [`ClaimLog::abandon`] removes the queued claim of a request
    /// that stops waiting.
    pub fn complete_write(
        &mut self,
        answer: SegmentAnswer,
    ) -> Vec<AnsweredClaim> {
        let Some(write) = self.in_flight.take() else { return Vec::new() };
        match answer {
            SegmentAnswer::Created => self.commit(write),
            SegmentAnswer::Exists(found) if found == write.segment => {
                self.commit(write)
            }
            SegmentAnswer::Exists(found) => {
                self.requeue_after_conflict(write, &found)
            }
            SegmentAnswer::Unclear => {
                self.in_flight = Some(write);
                Vec::new()
            }
        }
    }

    /// Returns the segment write in flight, to be sent again after an unknown
    /// outcome.
    pub fn unresolved_write(&self) -> Option<&SegmentWrite> {
        self.in_flight.as_ref()
    }

    /// Removes the queued claim of a request that waited too long, and returns
    /// whether there was one.
    ///
    /// A claim that is already in flight may still enter the log; it then only
    /// prevents later requests with this key from running, which is safe.
    pub fn abandon(&mut self, request: RequestId) -> bool {
        let before = self.pending.len();
        self.pending.retain(|claim| claim.request != request);
        before != self.pending.len()
    }

    fn commit(&mut self, write: SegmentWrite) -> Vec<AnsweredClaim> {
        self.apply_segment(write.idx, &write.segment);
        // The owner of the key decides, not the writer of this segment: an
        // earlier segment may hold the key.
        let mut answers: Vec<AnsweredClaim> = write
            .segment
            .claims
            .iter()
            .filter_map(|claim| {
                let answer = self.decided_answer(*claim)?;
                Some(AnsweredClaim { request: claim.request, answer })
            })
            .collect();
        answers.extend(self.answer_decided());
        answers
    }

    fn requeue_after_conflict(
        &mut self,
        write: SegmentWrite,
        found: &Segment,
    ) -> Vec<AnsweredClaim> {
        self.apply_segment(write.idx, found);
        self.releases.extend(write.segment.releases);
        for claim in write.segment.claims.into_iter().rev() {
            // A claim that was released while the write was in flight must
            // not be claimed again.
            if !self.releases.contains(&claim) {
                self.pending.push_front(claim);
            }
        }
        self.answer_decided()
    }

    /// Removes the queued claims whose keys have an owner, and returns their
    /// answers.
    fn answer_decided(&mut self) -> Vec<AnsweredClaim> {
        let pending = std::mem::take(&mut self.pending);
        let mut answers = Vec::new();
        for claim in pending {
            match self.decided_answer(claim) {
                Some(answer) => answers
                    .push(AnsweredClaim { request: claim.request, answer }),
                None => self.pending.push_back(claim),
            }
        }
        answers
    }

    fn owner(&self, key: KeyHash) -> Option<RequestId> {
        self.owners.get(&key).map(|owner| owner.request)
    }

    fn decided_answer(&self, claim: Claim) -> Option<ClaimAnswer> {
        let owner = self.owner(claim.key)?;
        // A claim that is resent after a lost answer is the same claim.
        Some(if owner == claim.request {
            ClaimAnswer::Granted
        } else {
            ClaimAnswer::Taken
        })
    }
}
