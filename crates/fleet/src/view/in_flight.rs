//! What is under way at each endpoint: our own requests exactly, those of the
//! others as they say themselves, or as the holder of the lease sums them up.

use std::time::{Duration, Instant};

use sedgewall_state::id::{EndpointId, InstanceId};

use super::FleetView;
use crate::note::Status;

/// Notes of another instance that may be lost in a row before its sums count
/// no longer.
const STATUS_LOSSES: u32 = 6;

/// What another instance has under way.
#[derive(Clone, Debug)]
pub(super) struct PeerLoad {
    sequence: u64,
    holds_until: Instant,
    in_flight: Vec<(EndpointId, u32)>,
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
        let holds = Duration::from_millis(status.next_in_ms) * STATUS_LOSSES;
        if status.is_total {
            self.totals_until = Some(now + holds);
            for state in self.endpoints.values_mut() {
                state.total_in_flight = Some(0);
            }
            for (id, total) in &status.in_flight {
                if let Some(state) = self.endpoints.get_mut(id) {
                    state.total_in_flight = Some(*total);
                }
            }
        }
        let load = PeerLoad {
            sequence: status.sequence,
            holds_until: now + holds,
            in_flight: match status.is_total {
                true => Vec::new(),
                false => status.in_flight,
            },
        };
        self.count_peer(&load, u32::saturating_add);
        if let Some(before) = self.peers.insert(status.from, load) {
            self.count_peer(&before, u32::saturating_sub);
        }
    }

    /// Forgets instances that were not heard for too long. Call it about once
    /// a second.
    pub fn forget_silent_peers(&mut self, now: Instant) {
        if self.totals_until.is_some_and(|until| now >= until) {
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
                self.count_peer(&load, u32::saturating_sub);
            }
        }
    }

    /// Counts again what each instance says itself: the holder of the lease is
    /// silent, or it is this instance.
    pub fn forget_totals(&mut self) {
        self.totals_until = None;
        for state in self.endpoints.values_mut() {
            state.total_in_flight = None;
        }
    }

    /// Returns what this instance has under way, or, at the holder of the
    /// lease, what all have; endpoints without are left out. Notes what is
    /// told.
    pub fn tell_in_flight(
        &mut self,
        is_total: bool,
    ) -> Vec<(EndpointId, u32)> {
        let mut told = Vec::new();
        for (id, state) in &mut self.endpoints {
            state.own_told = state.own_in_flight;
            let count = match is_total {
                true => state.own_in_flight + state.others_in_flight,
                false => state.own_in_flight,
            };
            if count > 0 {
                told.push((id.clone(), count));
            }
        }
        told
    }

    fn count_peer(&mut self, load: &PeerLoad, count: fn(u32, u32) -> u32) {
        for (id, in_flight) in &load.in_flight {
            if let Some(state) = self.endpoints.get_mut(id) {
                state.others_in_flight =
                    count(state.others_in_flight, *in_flight);
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
    pub(super) fn others_in_flight(&self, id: &EndpointId) -> u32 {
        let all = self.peers.values().flat_map(|load| &load.in_flight);
        all.filter(|(known, _)| known == id).map(|(_, count)| count).sum()
    }
}
