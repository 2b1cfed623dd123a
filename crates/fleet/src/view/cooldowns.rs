//! Cooldowns of endpoints, which are kept while an endpoint's entry has
//! lapsed.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::{AnsweredRequest, FleetView};
use crate::adapter::AdapterKey;

impl FleetView {
    /// Applies a cooldown that an endpoint announced in a response. Returns
    /// whether no cooldown was in effect before.
    pub fn apply_announced_cooldown(
        &mut self,
        answered: &AnsweredRequest,
        cooldown: Duration,
        now: Instant,
    ) -> bool {
        let AnsweredRequest { endpoint, born, .. } = answered;
        if !self.incarnations.is_current(endpoint, *born) {
            return false;
        }
        match self.endpoints.get_mut(endpoint) {
            Some(state) => state.cooldown.extend(cooldown, now),
            None => {
                let lapsed = self.lapsed_cooldowns.entry(endpoint.clone());
                lapsed.or_default().extend(cooldown, now)
            }
        }
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, id: &EndpointId, now: Instant) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.cooldown.record_sent(now);
        }
    }

    /// Records a response that asks for no cooldown. Returns whether the
    /// response ends the endpoint's cooldown.
    pub fn record_answer(&mut self, answered: &AnsweredRequest) -> bool {
        let state = self.endpoints.get_mut(&answered.endpoint);
        state.is_some_and(|state| state.cooldown.record_answer(answered.sent))
    }

    /// Returns whether a cooldown is in effect for an endpoint.
    pub fn is_cooling_down(&self, id: &EndpointId, now: Instant) -> bool {
        self.endpoints.get(id).is_some_and(|s| s.cooldown.is_cooling_down(now))
    }

    /// Returns the time until the first endpoint of a service that is in a
    /// cooldown accepts requests again.
    pub fn service_cooldown(
        &self,
        service: &str,
        now: Instant,
    ) -> Option<Duration> {
        let stays = self
            .of_service(service)
            .filter(|state| !state.endpoint.is_draining);
        stays.filter_map(|state| state.cooldown.left(now)).min()
    }

    /// Returns the endpoints that hold an adapter and are in a cooldown, with
    /// the time until they accept requests again.
    pub fn holders_cooling_down(
        &self,
        key: &AdapterKey,
        now: Instant,
    ) -> Vec<(EndpointId, Duration)> {
        self.holders(key)
            .filter_map(|s| Some((s.id().clone(), s.cooldown.left(now)?)))
            .collect()
    }

    /// Removes ended cooldowns of endpoints that are no longer listed. Call
    /// this about once a second.
    pub fn forget_cooldowns(&mut self, now: Instant) {
        self.lapsed_cooldowns
            .retain(|_, cooldown| cooldown.is_cooling_down(now));
    }
}
