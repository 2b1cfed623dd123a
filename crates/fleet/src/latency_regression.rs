//! How fast the engines of a service come to the first event of an answer, as
//! our own requests show.
//!
//! A line is fitted through what was seen lately: the time to the first event
//! against the prompt tokens that the engine had to read before it. Nothing is
//! assumed of an engine's speed; before enough was seen there is no line.

use std::time::Duration;

/// What each new answer leaves of the weight of those before it: the last 50
/// or so count, which a busy instance sees within some seconds.
const DECAY_FACTOR: f64 = 0.98;

/// Answers that must have been seen before the line counts.
const MIN_ANSWERS: f64 = 8.0;

/// The longest time that is predicted, in seconds; no caller waits so long.
const MAX_PREDICTION_S: f64 = 3_600.0;

/// Fits the time to the first event against the tokens to read before it.
#[derive(Clone, Debug, Default)]
pub struct LatencyRegression {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_tokens: f64,
    tokens_ms: f64,
}

impl LatencyRegression {
    /// Takes in an answer: the tokens that its engine had to read, those ahead
    /// of it and its own, and the time until it began.
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

    /// Returns the time to the first event of an answer before which so many
    /// tokens are to be read; none before enough was seen.
    pub fn predict(&self, tokens: u64) -> Option<Duration> {
        if self.weight < MIN_ANSWERS {
            return None;
        }
        let (ms_per_token, base_ms) = self.line();
        Some(time(base_ms + ms_per_token * tokens as f64))
    }

    /// Returns how long an engine reads so many tokens; nothing before enough
    /// was seen.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        if self.weight < MIN_ANSWERS {
            return Duration::ZERO;
        }
        let (ms_per_token, _) = self.line();
        time(ms_per_token * tokens as f64)
    }

    /// Returns the slope and the intercept, neither below zero.
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
