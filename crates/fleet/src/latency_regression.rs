//! A linear regression of latency against load, from this instance's own
//! requests.
//!
//! For the engines of a service, the regression relates the time to the first
//! event of a response to the prompt tokens that the engine had to prefill
//! before it. No assumption is made about an engine's speed; nothing is
//! predicted before enough responses were observed.

use std::time::Duration;

/// The factor by which each new response reduces the weight of the previous
/// ones. About the last 50 responses count, which a busy instance receives
/// within some seconds.
const DECAY_FACTOR: f64 = 0.98;

/// The weight of responses that must have been observed before the regression
/// is used.
const MIN_ANSWERS: f64 = 8.0;

/// The maximum predicted time, in seconds. No caller waits this long.
const MAX_PREDICTION_S: f64 = 3_600.0;

/// An exponentially weighted linear regression of the time to the first event
/// against the tokens to prefill before it.
#[derive(Clone, Debug, Default)]
pub struct LatencyRegression {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_tokens: f64,
    tokens_ms: f64,
}

impl LatencyRegression {
    /// Adds a response: the tokens that its engine had to prefill, those
    /// queued before the request and its own, and the time until the response
    /// began.
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        let (tokens, ms) = (tokens as f64, took.as_secs_f64() * 1_000.0);
        let accumulate = |sum: &mut f64, new: f64| {
            *sum = *sum * DECAY_FACTOR + new;
        };
        accumulate(&mut self.weight, 1.0);
        accumulate(&mut self.tokens, tokens);
        accumulate(&mut self.ms, ms);
        accumulate(&mut self.tokens_tokens, tokens * tokens);
        accumulate(&mut self.tokens_ms, tokens * ms);
    }

    /// Returns the expected time to the first event of a response before which
    /// `tokens` tokens are to be prefilled, or `None` before enough responses
    /// were observed.
    pub fn predict(&self, tokens: u64) -> Option<Duration> {
        if self.weight < MIN_ANSWERS {
            return None;
        }
        let (ms_per_token, base_ms) = self.line();
        Some(time(base_ms + ms_per_token * tokens as f64))
    }

    /// Returns the expected time to prefill `tokens` tokens, or zero before
    /// enough responses were observed.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        if self.weight < MIN_ANSWERS {
            return Duration::ZERO;
        }
        let (ms_per_token, _) = self.line();
        time(ms_per_token * tokens as f64)
    }

    /// Returns the slope and the intercept of the regression, both at least
    /// zero.
    fn line(&self) -> (f64, f64) {
        let mean_tokens = self.tokens / self.weight;
        let mean_ms = self.ms / self.weight;
        let variance =
            self.tokens_tokens / self.weight - mean_tokens * mean_tokens;
        let covariance = self.tokens_ms / self.weight - mean_tokens * mean_ms;
        if variance < 1.0 {
            return (0.0, mean_ms);
        }
        let ms_per_token = (covariance / variance).max(0.0);
        let base_ms = (mean_ms - ms_per_token * mean_tokens).max(0.0);
        (ms_per_token, base_ms)
    }
}

fn time(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, MAX_PREDICTION_S))
}
