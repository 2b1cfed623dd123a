//! What each endpoint of a plain service is worth, learned from the sums.
//!
//! By old sums a request goes to each endpoint nearly with the part of its slots,
//! so that a slow one gets as much as a quick one and never comes to rest. Its
//! load then stays above the mean, and its part shrinks until it does not: an
//! integral beside the proportional part in [`super::load_interpretation`].

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use super::FleetView;

/// The time in which a load of twice the mean takes a third off an endpoint's
/// part: some five times what the sums need to show what a part brought, so that
/// the parts do not swing.
const LEARN_TIME: Duration = Duration::from_millis(3_000);

/// The time in which what was learned fades: speeds change over minutes.
const FADE_TIME: Duration = Duration::from_secs(20);

/// The least time between two looks.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time that one look counts for.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Requests for each slot below which loads say nothing of speeds.
const MIN_LOAD: f64 = 0.05;

/// How far one endpoint's load counts, against the mean.
const MAX_EXCESS: f64 = 2.0;

/// The least and the largest part, against an endpoint that is as the others.
const WEIGHT_RANGE: (f64, f64) = (0.1, 3.0);

impl FleetView {
    /// Learns from what is known of all endpoints now.
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
        // What has models is chosen by what it holds.
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
