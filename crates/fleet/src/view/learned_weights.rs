//! Learned weights of the endpoints of a plain service.
//!
//! With stale totals, each endpoint gets requests almost in proportion to its
//! slots, so that a slow endpoint gets as many as a fast one and its queue
//! never empties. Its load then stays above the mean, and its weight is
//! reduced until it does not: an integral term beside the proportional one in
//! [`super::load_interpretation`].

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::FleetView;

/// The time in which a load of twice the mean reduces an endpoint's weight to
/// about a third. It is about five times the delay with which totals show the
/// effect of a weight, so that the weights do not oscillate.
const LEARN_TIME: Duration = Duration::from_millis(3_000);

/// The time constant with which learned weights return to 1, since the speed
/// of endpoints changes over minutes.
const FADE_TIME: Duration = Duration::from_secs(20);

/// The minimum interval between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum interval that one update accounts for.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// The mean load, in requests per slot, below which loads say nothing about
/// the speed of endpoints.
const MIN_LOAD: f64 = 0.05;

/// The maximum excess of an endpoint's load over the mean that is taken into
/// account.
const MAX_EXCESS: f64 = 2.0;

/// The minimum and maximum weight, relative to an average endpoint.
const WEIGHT_RANGE: (f64, f64) = (0.1, 3.0);

impl FleetView {
    /// Updates the weights from the current loads of all endpoints.
    pub(super) fn learn_weights(&mut self, now: Instant) {
        let since = self
            .learned_at
            .map_or(UPDATE_INTERVAL, |at| now.saturating_duration_since(at));
        if since < UPDATE_INTERVAL {
            return;
        }
        self.learned_at = Some(now);
        let interval_s = since.min(MAX_UPDATE_INTERVAL).as_secs_f64();
        let services: Vec<Vec<EndpointId>> = self
            .services
            .values()
            .map(|ids| ids.iter().cloned().collect())
            .collect();
        for ids in services {
            self.learn_service_weights(&ids, interval_s);
        }
    }

    fn learn_service_weights(&mut self, ids: &[EndpointId], interval_s: f64) {
        let states = || ids.iter().filter_map(|id| self.endpoints.get(id));
        // Endpoints with models are chosen by the models that they hold.
        if states().any(|state| !state.endpoint.models.is_empty()) {
            return;
        }
        let mean = states().map(|s| s.load()).sum::<f64>() / ids.len() as f64;
        for id in ids {
            let Some(state) = self.endpoints.get_mut(id) else { continue };
            let faded =
                state.weight.ln() * interval_s / FADE_TIME.as_secs_f64();
            let excess = match mean < MIN_LOAD {
                true => 0.0,
                false => (state.load() / mean - 1.0).min(MAX_EXCESS),
            };
            let learned = excess * interval_s / LEARN_TIME.as_secs_f64();
            let weight = state.weight * (-learned - faded).exp();
            state.weight = weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1);
        }
    }
}
