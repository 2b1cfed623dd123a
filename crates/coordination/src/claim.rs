//! Claims of idempotency keys: a request that is not repeatable runs at most
//! once, even when its key is sent to two instances.
//!
//! Keys are divided into partitions. Each partition is a log of segments in
//! the object API: segment `n + 1` is *created only if it does not exist*, so
//! two claimers can never both write it, whatever their clocks or leases say.
//! A claimer writes many claims in one segment; a claimer whose segment is
//! already there reads it, learns its claims and tries the next number.
//!
//! The invariant: a key is granted to a request only after a segment that
//! holds the claim, and no earlier segment that holds the key, is in the log.

use std::collections::{HashMap, VecDeque};

use sedgewall_state::RequestId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Into how many logs the keys are divided.
pub const PARTITIONS: u64 = 4;

/// The most claims in one segment, which bounds its value to about 350 KB.
pub const MAX_SEGMENT_CLAIMS: usize = 8_192;

/// A hash of caller and idempotency key.
pub type KeyHash = u128;

/// The number of a partition.
pub type PartitionIdx = u64;

/// The position of a segment in its log, from 0.
pub type SegmentIdx = u64;

/// Returns the hash of one caller's key.
pub fn key_hash(caller: &str, key: &str) -> KeyHash {
    let mut bytes = Vec::with_capacity(caller.len() + key.len() + 1);
    bytes.extend_from_slice(caller.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// Returns the partition of a key.
pub fn partition(key: KeyHash) -> PartitionIdx {
    xxh3_64(&key.to_le_bytes()) % PARTITIONS
}

/// One claim: this request alone may run for this key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The key.
    pub key: KeyHash,
    /// The request that claims it.
    pub request: RequestId,
}

/// One segment of a log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// When it was written, in milliseconds since the Unix epoch on the
    /// claimer's clock; only trimming reads it.
    pub written_ms: u64,
    /// Claims that are given up, because their requests were not run.
    pub releases: Vec<Claim>,
    /// Claims, all new to the log after the releases.
    pub claims: Vec<Claim>,
}

/// What a claimer answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The key is this request's; it may run once.
    Granted,
    /// Another request has the key; this one was not run.
    Taken,
    /// The log cannot be written; this request was not run.
    Unavailable,
}

/// An answer for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnsweredClaim {
    /// The request.
    pub request: RequestId,
    /// Its answer.
    pub answer: ClaimAnswer,
}

/// A segment to be created, if it does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// Its position.
    pub idx: SegmentIdx,
    /// Its content.
    pub segment: Segment,
}

/// The platform's answer to the creation of a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SegmentAnswer {
    /// It was created.
    Created,
    /// It was there already, with this content.
    Exists(Segment),
    /// Nobody knows.
    Unclear,
}

/// Who has a key, and since which segment.
#[derive(Clone, Copy, Debug)]
struct Owner {
    request: RequestId,
    segment: SegmentIdx,
}

/// A segment that is in the log.
#[derive(Clone, Copy, Debug)]
struct LoggedSegment {
    idx: SegmentIdx,
    written_ms: u64,
}

/// One partition's log, as one claimer sees it.
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
    /// Returns whether the log was read to its end.
    pub fn is_recovered(&self) -> bool {
        self.is_recovered
    }

    /// Returns the number of keys that are known.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the number of claims that wait for a segment.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the position of the next segment to be read or written.
    pub fn next(&self) -> SegmentIdx {
        self.next
    }

    /// Takes in a segment that was found in the log.
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

    /// Notes that the log was read to its end, and answers what waited for
    /// that and is known now.
    pub fn finish_recovery(&mut self) -> Vec<AnsweredClaim> {
        self.is_recovered = true;
        self.answer_decided()
    }

    /// Takes in a claim; the answer comes now or with a later segment.
    pub fn claim(&mut self, claim: Claim) -> Option<ClaimAnswer> {
        if let Some(answer) = self.decided_answer(claim) {
            return Some(answer);
        }
        self.pending.push_back(claim);
        None
    }

    /// Gives a claim up, because its request was not run and never will be.
    ///
    /// Only the entry that made the request may say so.
    pub fn release(&mut self, claim: Claim) {
        self.pending.retain(|pending| pending.request != claim.request);
        self.releases.push(claim);
    }

    /// Returns the oldest segment if it was written before a time and is not
    /// the last, and forgets its keys.
    ///
    /// The last segment always stays: a claimer that found none would start
    /// the log again from 0 beside one that goes on.
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

    /// Forgets everything but what waits, because the log may have been
    /// written and trimmed by others meanwhile.
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

    /// Returns the next segment to create, unless one is under way.
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
            // A second request for a key waits for the first one's answer.
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

    /// Takes in the answer to the creation of a segment.
    ///
    /// An unclear answer is settled by creating the same segment again: either
    /// it is created now, or the content that is there tells whose it is. The
    /// claims wait meanwhile, and are answered `Unavailable` only by
    /// [`ClaimLog::abandon`].
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

    /// Returns the segment whose answer was unclear, to be sent again.
    pub fn unresolved_write(&self) -> Option<&SegmentWrite> {
        self.in_flight.as_ref()
    }

    /// Answers a request that waited too long.
    ///
    /// Its claim may still enter the log; that only keeps the key from running
    /// later, which is safe.
    pub fn abandon(&mut self, request: RequestId) -> bool {
        let before = self.pending.len();
        self.pending.retain(|claim| claim.request != request);
        before != self.pending.len()
    }

    fn commit(&mut self, write: SegmentWrite) -> Vec<AnsweredClaim> {
        self.apply_segment(write.idx, &write.segment);
        // By who has the key, not by who wrote: an earlier segment decides.
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
            // What was released meanwhile must not be claimed after all.
            if !self.releases.contains(&claim) {
                self.pending.push_front(claim);
            }
        }
        self.answer_decided()
    }

    /// Answers what waits and is now known.
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
        // A claim that is sent again after a lost answer is the same claim.
        Some(if owner == claim.request {
            ClaimAnswer::Granted
        } else {
            ClaimAnswer::Taken
        })
    }
}
