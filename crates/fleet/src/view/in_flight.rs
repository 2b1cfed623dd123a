//! What is under way at each endpoint: our own requests exactly, those of the
//! others as they say themselves, or as the holder of the lease sums them up.

use std::{cmp::Reverse, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};

use super::FleetView;
use crate::{note::Status, work::Work};

/// Endpoints in one note of sums at most: each takes some 20 bytes, and a relay
/// passes a note on to nine others each 150 ms, over 10 Mbit/s at the least. All of
/// 1,010 took a sixth of its link, all of 3,000 more than it has.
const MAX_TOTALS: usize = 256;

/// Of them, so many are told in turn: one that was missed is repaired after some
/// seconds, since a note in a hundred may be lost.
const ROTATED_TOTALS: usize = 32;

/// What the holder of the lease tells of all instances' work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// The sums, by endpoint.
    pub work: Vec<(EndpointId, Work)>,
    /// Whether those of other endpoints are as they were told before; else these
    /// have none.
    pub is_part: bool,
}

/// The holder's sums, as they were heard last.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeardTotals {
    /// When.
    pub(super) at: Instant,
    /// How often it tells them.
    pub(super) pause: Duration,
    /// Until when they count.
    until: Instant,
}

/// What another instance has under way.
#[derive(Clone, Debug)]
pub(super) struct PeerLoad {
    sequence: u64,
    valid_until: Instant,
    work: Vec<(EndpointId, Work)>,
}

impl FleetView {
    /// Takes in what another instance has under way. Older notes than the
    /// last one change nothing.
    pub fn apply_status(&mut self, status: Status, now: Instant) {
        if let Some(last) = self.peers.get(&status.from)
            && last.sequence >= status.sequence
            && now < last.valid_until
        {
            return;
        }
        let pause = Duration::from_millis(status.next_in_ms);
        let holds = status.valid_for();
        if status.is_total {
            let until = now + holds;
            self.totals = Some(HeardTotals { at: now, pause, until });
            if !status.is_part {
                for state in self.endpoints.values_mut() {
                    state.total_work = Some(Work::default());
                }
            }
            for (id, total) in &status.work {
                if let Some(state) = self.endpoints.get_mut(id) {
                    state.total_work = Some(total.clone());
                }
            }
        } else {
            self.peer_pause = pause;
        }
        let load = PeerLoad {
            sequence: status.sequence,
            valid_until: now + holds,
            work: match status.is_total {
                true => Vec::new(),
                false => status.work,
            },
        };
        self.count_peer(&load, Work::add);
        if let Some(before) = self.peers.insert(status.from, load) {
            self.count_peer(&before, Work::subtract);
        }
        self.learn_weights(now);
    }

    /// Forgets instances that were not heard for too long. Call it about once
    /// a second.
    pub fn remove_silent_peers(&mut self, now: Instant) {
        if self.totals.is_some_and(|heard| now >= heard.until) {
            self.forget_totals();
        }
        let is_silent = |load: &PeerLoad| now >= load.valid_until;
        let silent: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|(_, load)| is_silent(load))
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(load) = self.peers.remove(&id) {
                self.count_peer(&load, Work::subtract);
            }
        }
    }

    /// Counts again what each instance says itself: the holder of the lease is
    /// silent, or it is this instance.
    pub fn forget_totals(&mut self) {
        self.totals = None;
        for state in self.endpoints.values_mut() {
            state.total_work = None;
        }
    }

    /// Returns what this instance has under way; endpoints without work are left
    /// out. Notes what is told.
    pub fn publish_work(&mut self) -> Vec<(EndpointId, Work)> {
        let mut told = Vec::new();
        for (id, state) in &mut self.endpoints {
            state.published_work = state.own_work.without_adapters();
            if !state.own_work.is_empty() {
                told.push((id.clone(), state.own_work.clone()));
            }
        }
        told
    }

    /// Returns what all instances have under way, for the holder of the lease to
    /// tell. Where that is more than fits a note, it is what has changed most since
    /// it was told, and some of the others in turn, for whoever missed them.
    pub fn publish_totals(&mut self) -> Totals {
        let mut all = Vec::new();
        for (id, state) in &mut self.endpoints {
            state.published_work = state.own_work.without_adapters();
            let mut total = state.published_work.clone();
            total.add(&state.peer_work.without_adapters());
            let known = state.published_total.requests;
            all.push((total.requests.abs_diff(known), id.clone(), total));
        }
        let busy = all.iter().filter(|(_, _, total)| !total.is_empty());
        let is_part = busy.count() > MAX_TOTALS;
        match is_part {
            true => self.choose_totals(&mut all),
            false => all.retain(|(_, _, total)| !total.is_empty()),
        }
        let work: Vec<(EndpointId, Work)> =
            all.into_iter().map(|(_, id, total)| (id, total)).collect();
        if !is_part {
            for state in self.endpoints.values_mut() {
                state.published_total = Work::default();
            }
        }
        for (id, total) in &work {
            if let Some(state) = self.endpoints.get_mut(id) {
                state.published_total.clone_from(total);
            }
        }
        Totals { work, is_part }
    }

    fn choose_totals(&mut self, all: &mut Vec<(u32, EndpointId, Work)>) {
        let first = self.next_total % all.len().max(1);
        self.next_total = first + ROTATED_TOTALS;
        let len = all.len();
        let is_due = |idx: usize| (idx + len - first) % len < ROTATED_TOTALS;
        for (idx, (change, ..)) in all.iter_mut().enumerate() {
            if is_due(idx) {
                *change = u32::MAX;
            }
        }
        all.sort_by_key(|(change, ..)| Reverse(*change));
        all.truncate(MAX_TOTALS);
    }

    fn count_peer(&mut self, load: &PeerLoad, count: fn(&mut Work, &Work)) {
        for (id, work) in &load.work {
            if let Some(state) = self.endpoints.get_mut(id) {
                count(&mut state.peer_work, work);
            }
        }
    }

    /// Returns whether another instance was heard lately.
    pub fn is_live_peer(&self, id: &InstanceId, now: Instant) -> bool {
        self.peers.get(id).is_some_and(|load| now < load.valid_until)
    }

    /// Returns how many other instances were heard lately.
    pub fn live_peers(&self, now: Instant) -> usize {
        let holds = |load: &&PeerLoad| now < load.valid_until;
        self.peers.values().filter(holds).count()
    }

    /// Returns what the others have under way at an endpoint, as each says.
    pub(super) fn peer_work(&self, id: &EndpointId) -> Work {
        let mut sum = Work::default();
        let all = self.peers.values().flat_map(|load| &load.work);
        for (_, work) in all.filter(|(known, _)| known == id) {
            sum.add(work);
        }
        sum
    }
}
