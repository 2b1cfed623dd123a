//! Tests of the regression that predicts the time to the first event.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_fleet::latency_regression::LatencyRegression;

fn observe_response(
    regression: &mut LatencyRegression,
    tokens: u64,
    ms_per_token: f64,
    base_ms: f64,
) {
    let ms = base_ms + ms_per_token * tokens as f64;
    regression.observe(tokens, Duration::from_secs_f64(ms / 1_000.0));
}

#[test]
fn nothing_is_predicted_before_enough_responses() {
    let mut regression = LatencyRegression::default();
    for tokens in [100, 9_000, 400] {
        observe_response(&mut regression, tokens, 0.03, 10.0);
    }
    assert_eq!(regression.predict(500), None);
    assert_eq!(regression.prefill_time(5_000), Duration::ZERO);
}

#[test]
fn a_change_of_speed_is_followed() {
    let mut regression = LatencyRegression::default();
    for n in 0..300 {
        observe_response(&mut regression, 500 + n * 40, 0.02, 10.0);
    }
    for n in 0..300 {
        observe_response(&mut regression, 500 + n * 40, 0.08, 10.0);
    }
    let took = regression.prefill_time(10_000).as_secs_f64();
    assert!((0.75..0.85).contains(&took), "{took} s");
}

#[test]
fn prompts_of_one_length_give_their_mean() {
    let mut regression = LatencyRegression::default();
    for _ in 0..50 {
        observe_response(&mut regression, 600, 0.05, 20.0);
    }
    let known = regression.predict(600).map(|d| d.as_secs_f64());
    assert!(known.is_some_and(|s| (0.049..0.051).contains(&s)));
}

proptest! {
    /// Any speed is found from responses alone.
    #[test]
    fn any_speed_is_learned_from_responses(
        ms_per_token in 0.001..0.5_f64,
        base_ms in 0.0..200.0_f64,
        lengths in prop::collection::vec(50_u64..40_000, 40..120),
    ) {
        let mut regression = LatencyRegression::default();
        for tokens in &lengths {
            observe_response(&mut regression, *tokens, ms_per_token, base_ms);
        }
        let expected = (base_ms + ms_per_token * 10_000.0) / 1_000.0;
        let predicted = regression.predict(10_000).map(|d| d.as_secs_f64());
        let error = predicted.map(|p| (p - expected).abs());
        prop_assert!(error.is_some_and(|e| e < 0.01 + 0.02 * expected));
    }

    /// No sequence of responses, however unusual, yields an invalid
    /// prediction.
    #[test]
    fn any_responses_yield_a_valid_prediction(
        answers in
            prop::collection::vec((0_u64..1 << 40, 0_u64..100_000), 12..60),
        tokens in 0_u64..1 << 40,
    ) {
        let mut regression = LatencyRegression::default();
        for (read, ms) in answers {
            regression.observe(read, Duration::from_millis(ms));
        }
        prop_assert!(regression.predict(tokens).is_some());
    }
}
