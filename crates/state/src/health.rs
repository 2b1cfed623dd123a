//! Health of engines: silence, slowness and probation.
//!
//! An engine loses work only on evidence: missing reports, a restart, failed
//! requests or connections, or a time to the first token far above that of its
//! peers. The engine returns to service with a few requests at a time.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::{
    engine::{Health, PROBATION_PERIOD},
    id::{AdapterIdx, EngineIdx},
    shard::Shard,
};

/// The weight of a new sample in the moving average of the time to the first
/// token.
const FIRST_TOKEN_SMOOTHING: f64 = 0.2;

/// An engine is slow if its time to the first token exceeds the median of the
/// shard's engines by this factor.
const SLOW_FACTOR: f64 = 4.0;

/// An engine with a shorter time to the first token than this never counts as
/// slow, in seconds.
const MIN_SLOW_S: f64 = 0.5;

impl Shard {
    /// Records a time to the first token that an entry instance measured at an
    /// engine. A slow engine is put on probation.
    pub fn record_first_token(
        &mut self,
        idx: EngineIdx,
        took: Duration,
        now: Instant,
    ) {
        let engine = &mut self.engines[idx as usize];
        let share = FIRST_TOKEN_SMOOTHING;
        engine.first_token_s =
            (1.0 - share) * engine.first_token_s + share * took.as_secs_f64();
        if engine.takes_work() && self.is_slow(idx) {
            self.set_health(idx, Health::Probation, now);
        }
    }

    /// Sets an engine's health. If the health changes, recomputes which
    /// adapters have an available replica.
    pub(crate) fn set_health(
        &mut self,
        idx: EngineIdx,
        health: Health,
        now: Instant,
    ) {
        let engine = &mut self.engines[idx as usize];
        if engine.health == health {
            return;
        }
        engine.set_health(health, now);
        self.update_waiting_sets_on(idx);
    }

    /// Calls [`Shard::update_waiting_sets`] for all adapters of an engine.
    pub(crate) fn update_waiting_sets_on(&mut self, idx: EngineIdx) {
        let adapters: Vec<AdapterIdx> = self.engines[idx as usize]
            .slots
            .iter()
            .map(|slot| slot.adapter)
            .collect();
        for adapter in adapters {
            self.update_waiting_sets(adapter);
        }
    }

    pub(crate) fn put_on_probation(&mut self, idx: EngineIdx, now: Instant) {
        if self.engines[idx as usize].health == Health::Live {
            self.set_health(idx, Health::Probation, now);
        }
    }

    pub(crate) fn is_slow(&self, idx: EngineIdx) -> bool {
        let mut times: Vec<f64> = self
            .engines
            .iter()
            .map(|engine| engine.first_token_s)
            .filter(|time| *time > 0.0)
            .collect();
        times.sort_by(f64::total_cmp);
        let Some(median) = times.get(times.len() / 2) else { return false };
        let own = self.engines[idx as usize].first_token_s;
        own > MIN_SLOW_S && own > median * SLOW_FACTOR
    }

    pub(crate) fn record_report(&mut self, idx: EngineIdx, now: Instant) {
        let is_slow = self.is_slow(idx);
        let engine = &mut self.engines[idx as usize];
        engine.last_report = now;
        engine.has_reported = true;
        let stayed = now.saturating_duration_since(engine.health_since);
        match engine.health {
            Health::Silent => self.set_health(idx, Health::Probation, now),
            Health::Probation if stayed >= PROBATION_PERIOD && !is_slow => {
                self.set_health(idx, Health::Live, now);
            }
            Health::Probation if stayed >= PROBATION_PERIOD => {
                // The average is halved, so that the engine leaves probation
                // unless a few new requests show that it is still slow.
                engine.first_token_s /= 2.0;
            }
            _ => {}
        }
    }

    pub(crate) fn check_health(&mut self, now: Instant) {
        let silent_after = self.settings.silent_after;
        for idx in 0..self.engines.len() {
            let engine = &self.engines[idx];
            let silence = now.saturating_duration_since(engine.last_report);
            if engine.takes_work() && silence > silent_after {
                self.set_health(idx as EngineIdx, Health::Silent, now);
            }
        }
    }
}
