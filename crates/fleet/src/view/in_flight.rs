//! Work in flight at each endpoint: exact for this instance, and for the other
//! instances as each reports its own, or as the lease holder totals all of it.

use std::{cmp::Reverse, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};

use super::FleetView;
use crate::{note::Status, work::Work};

/// The maximum number of endpoints in one note of totals. Each takes about 20
/// bytes, and a relay forwards a note to nine others every 150 ms, over a link
/// of at least 10 Mbit/s. All totals of 1,010 endpoints took a sixth of the
/// link, and those of 3,000 exceeded it.
const MAX_TOTALS: usize = 256;

/// The number of endpoints in such a note whose totals are published in turn.
/// This repairs a missed total after some seconds, since one note in a hundred
/// may be lost.
const ROTATED_TOTALS: usize = 32;

/// The work of all instances, as the lease holder publishes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// The totals, by endpoint.
    pub work: Vec<(EndpointId, Work)>,
    /// Whether the totals of other endpoints are unchanged; otherwise the
    /// other endpoints have no work.
    pub is_part: bool,
}

/// The lease holder's totals that were last received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedTotals {
    /// When the totals were received.
    pub(super) received_at: Instant,
    /// The interval at which the lease holder publishes totals.
    pub(super) interval: Duration,
    /// The time until which the totals are valid.
    until: Instant,
}

/// The work in flight of another instance.
#[derive(Clone, Debug)]
pub(super) struct PeerLoad {
    sequence: u64,
    valid_until: Instant,
    work: Vec<(EndpointId, Work)>,
}

impl FleetView {
    /// Applies another instance's status note. A note that is older than the
    /// last one changes nothing.
    pub fn apply_status(&mut self, status: Status, now: Instant) {
        if let Some(last) = self.peers.get(&status.from)
            && last.sequence >= status.sequence
            && now < last.valid_until
        {
            return;
        }
        let interval = Duration::from_millis(status.next_in_ms);
        let holds = status.valid_for();
        if status.is_total {
            let until = now + holds;
            self.totals =
                Some(ReceivedTotals { received_at: now, interval, until });
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
            self.peer_interval = interval;
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

    /// Removes instances that have been silent for too long. Call this about
    /// once a second.
    pub fn remove_silent_peers(&mut self, now: Instant) {
        if self.totals.is_some_and(|received| now >= received.until) {
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

    /// Drops the totals and uses each instance's own report instead, because
    /// the lease holder is silent, or is this instance.
    pub fn forget_totals(&mut self) {
        self.totals = None;
        for state in self.endpoints.values_mut() {
            state.total_work = None;
        }
    }

    /// Returns this instance's work in flight, for publication; endpoints
    /// without work are left out. Records what is published.
    pub fn publish_work(&mut self) -> Vec<(EndpointId, Work)> {
        let mut published = Vec::new();
        for (id, state) in &mut self.endpoints {
            state.published_work = state.own_work.without_adapters();
            if !state.own_work.is_empty() {
                published.push((id.clone(), state.own_work.clone()));
            }
        }
        published
    }

    /// Returns the work of all instances, for the lease holder to publish. If
    /// the totals exceed one note, returns those that changed most since they
    /// were last published, and some others in turn, for instances that missed
    /// them.
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

    /// Returns when this instance last heard of the load that other instances
    /// put on the endpoints.
    pub fn load_heard_at(&self) -> Option<Instant> {
        self.totals.map(|totals| totals.received_at).or(self.learned_at)
    }

    /// Returns whether another instance was heard from lately.
    pub fn is_live_peer(&self, id: &InstanceId, now: Instant) -> bool {
        self.peers.get(id).is_some_and(|load| now < load.valid_until)
    }

    /// Returns how many other instances were heard from lately.
    pub fn live_peers(&self, now: Instant) -> usize {
        let holds = |load: &&PeerLoad| now < load.valid_until;
        self.peers.values().filter(holds).count()
    }

    /// Returns the work in flight of all other instances at an endpoint, as
    /// each reports its own.
    pub(super) fn peer_work(&self, id: &EndpointId) -> Work {
        let mut sum = Work::default();
        let all = self.peers.values().flat_map(|load| &load.work);
        for (_, work) in all.filter(|(known, _)| known == id) {
            sum.add(work);
        }
        sum
    }
}
