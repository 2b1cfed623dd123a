//! What is under way at each endpoint: our own requests exactly, those of the
//! others as they say themselves, or as the holder of the lease sums them up.

use std::time::{Duration, Instant};

use sedgewall_state::id::{EndpointId, InstanceId};

use super::FleetView;
use crate::{note::Status, work::Work};

/// Notes of another instance that may be lost in a row before its sums count
/// no longer.
const STATUS_LOSSES: u32 = 6;

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
    holds_until: Instant,
    work: Vec<(EndpointId, Work)>,
}

impl FleetView {
    /// Takes in what another instance has under way. Older notes than the
    /// last one change nothing.
    pub fn hear_status(&mut self, status: Status, now: Instant) {
        if let Some(last) = self.peers.get(&status.from)
            && last.sequence >= status.sequence
            && now < last.holds_until
        {
            return;
        }
        let pause = Duration::from_millis(status.next_in_ms);
        let holds = pause * STATUS_LOSSES;
        if status.is_total {
            let until = now + holds;
            self.totals = Some(HeardTotals { at: now, pause, until });
            for state in self.endpoints.values_mut() {
                state.total_work = Some(Work::default());
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
            holds_until: now + holds,
            work: match status.is_total {
                true => Vec::new(),
                false => status.work,
            },
        };
        self.count_peer(&load, Work::add);
        if let Some(before) = self.peers.insert(status.from, load) {
            self.count_peer(&before, Work::subtract);
        }
        self.learn_parts(now);
    }

    /// Forgets instances that were not heard for too long. Call it about once
    /// a second.
    pub fn forget_silent_peers(&mut self, now: Instant) {
        if self.totals.is_some_and(|heard| now >= heard.until) {
            self.forget_totals();
        }
        let is_silent = |load: &PeerLoad| now >= load.holds_until;
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

    /// Returns what this instance has under way, or, at the holder of the
    /// lease, what all have, without adapters; endpoints without work are left
    /// out. Notes what is told.
    pub fn tell_work(&mut self, is_total: bool) -> Vec<(EndpointId, Work)> {
        let mut told = Vec::new();
        for (id, state) in &mut self.endpoints {
            state.told_work = state.own_work.without_adapters();
            let work = match is_total {
                true => {
                    let mut total = state.told_work.clone();
                    total.add(&state.others_work.without_adapters());
                    total
                }
                false => state.own_work.clone(),
            };
            if !work.is_empty() {
                told.push((id.clone(), work));
            }
        }
        told
    }

    fn count_peer(&mut self, load: &PeerLoad, count: fn(&mut Work, &Work)) {
        for (id, work) in &load.work {
            if let Some(state) = self.endpoints.get_mut(id) {
                count(&mut state.others_work, work);
            }
        }
    }

    /// Returns whether another instance was heard lately.
    pub fn hears(&self, id: &InstanceId, now: Instant) -> bool {
        self.peers.get(id).is_some_and(|load| now < load.holds_until)
    }

    /// Returns how many other instances were heard lately.
    pub fn live_peers(&self, now: Instant) -> usize {
        let holds = |load: &&PeerLoad| now < load.holds_until;
        self.peers.values().filter(holds).count()
    }

    /// Returns what the others have under way at an endpoint, as each says.
    pub(super) fn others_work(&self, id: &EndpointId) -> Work {
        let mut sum = Work::default();
        let all = self.peers.values().flat_map(|load| &load.work);
        for (_, work) in all.filter(|(known, _)| known == id) {
            sum.add(work);
        }
        sum
    }
}
