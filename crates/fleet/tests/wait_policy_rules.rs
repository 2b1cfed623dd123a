//! Tests of how long requests wait, with load where the wait matters.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    residence_time::StreamTime,
    wait_policy::{
        MAX_WAIT, WaitReason, WaitingRequest, retry_delay, retry_delay_in_turn,
    },
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a chat request with 0.6 s to its first event and 5 s in total.
fn chat(arrived: Instant) -> WaitingRequest {
    WaitingRequest {
        arrived,
        deadline: arrived + ms(5_000),
        target: ms(600),
        engine_time: ms(80),
        is_later_try: false,
    }
}

const NOT_LOADED: WaitReason =
    WaitReason::AdapterNotLoaded { load_time: ms(260) };

#[test]
fn an_absent_adapter_is_waited_for_while_a_load_would_be_in_time() {
    let now = Instant::now();
    assert_eq!(chat(now).wait_until(NOT_LOADED, now), now + ms(260));
    // A long prompt leaves less time for the load.
    let long = WaitingRequest { engine_time: ms(300), ..chat(now) };
    assert_eq!(long.wait_until(NOT_LOADED, now), now + ms(40));
    // Where a load takes too long, the request is rejected at once.
    let slow = WaitReason::AdapterNotLoaded { load_time: ms(900) };
    assert_eq!(chat(now).wait_until(slow, now), now);
}

/// An adapter that is loading will be ready, and the caller gets its answer
/// sooner than from a retry.
#[test]
fn a_request_waits_for_a_loading_adapter_even_if_it_is_late() {
    let now = Instant::now();
    let late = WaitReason::AdapterLoading(ms(900));
    assert!(chat(now).wait_until(late, now) >= now + ms(900));
    let never = WaitReason::AdapterLoading(ms(4_800));
    assert!(chat(now).wait_until(never, now) <= now);
}

#[test]
fn no_request_waits_beyond_its_deadline() {
    let now = Instant::now();
    for obstacle in [
        NOT_LOADED,
        WaitReason::AdapterLoading(ms(100)),
        WaitReason::NoCapacity,
    ] {
        for left_ms in [50, 400, 1_000, 5_000, 60_000] {
            for is_later_try in [false, true] {
                let end = now + ms(left_ms);
                let held = WaitingRequest {
                    deadline: end,
                    is_later_try,
                    ..chat(now)
                };
                assert!(held.wait_until(obstacle, now) <= end);
            }
        }
    }
}

#[test]
fn callers_that_were_rejected_together_do_not_retry_together() {
    let after = |draw| retry_delay(ms(4_400), None, draw);
    let longest = after(0.0);
    assert!(longest <= ms(1_364));
    assert!(longest - after(1.0) >= ms(200));
    // A caller whose adapter has a known ready time is not delayed for longer.
    assert!(retry_delay(ms(4_400), Some(ms(500)), 0.0) <= ms(500));
}

/// The outcome of a burst.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    rejected: u32,
    /// Total time that rejected requests had waited.
    held_in_vain: Duration,
}

/// Simulates a burst of requests for adapters that no engine holds: one per
/// millisecond for a second, with a weight store that loads 288 per second.
/// Adapters are loaded in the order of their requests, and a request is
/// notified when its load starts. `until` returns how long each request waits.
/// The adapter of a rejected request is not loaded.
fn burst(
    until: impl Fn(&WaitingRequest, WaitReason, Instant) -> Instant,
) -> Outcome {
    let (load, at_once) = (ms(250), 72);
    let start = Instant::now();
    let mut outcome = Outcome::default();
    let mut ends: Vec<Instant> = Vec::new();
    let mut waiting: Vec<Instant> = Vec::new();
    for step in 0..3_000_u64 {
        let now = start + ms(step);
        if step < 1_000 {
            waiting.push(now);
        }
        ends.retain(|end| *end > now);
        waiting.retain(|arrived| {
            let held = chat(*arrived);
            let is_held = now
                < until(
                    &held,
                    WaitReason::AdapterNotLoaded { load_time: load },
                    now,
                );
            if !is_held {
                outcome.rejected += 1;
                outcome.held_in_vain += now - *arrived;
            }
            is_held
        });
        while ends.len() < at_once && !waiting.is_empty() {
            let arrived = waiting.remove(0);
            ends.push(now + load);
            let begins = now + load + ms(80);
            match begins - arrived <= ms(600) {
                true => outcome.in_time += 1,
                false => outcome.late += 1,
            }
        }
    }
    outcome
}

/// Symptom: a request waited for fixed fractions of its target, whatever the
/// load time was. It was rejected although its load would have been in time,
/// or waited until the load was late.
#[test]
fn a_burst_of_rare_adapters_serves_all_that_can_be_in_time() {
    let derived = burst(|held, obstacle, now| held.wait_until(obstacle, now));
    let fixed = burst(|held, _, _| held.arrived + held.target.mul_f64(0.22));
    // No load is too late, and as many are in time as the store can load.
    assert_eq!(derived.late, 0);
    assert!(derived.in_time > fixed.in_time, "{derived:?} {fixed:?}");
    assert!(derived.in_time >= 340, "{derived:?}");
    let longest = ms(271) * derived.rejected;
    assert!(derived.held_in_vain <= longest, "{derived:?}");
}

/// Endpoints announce when they accept more requests. A request that could not
/// be served in time by then is rejected at once, also if it is a retry.
#[test]
fn a_request_waits_for_a_limited_endpoint_only_if_that_is_in_time() {
    let now = Instant::now();
    let soon = WaitReason::Saturated(ms(60));
    assert!(chat(now).wait_until(soon, now) >= now + ms(60));
    let late = WaitReason::Saturated(ms(900));
    assert_eq!(chat(now).wait_until(late, now), now);
    let later_try = WaitingRequest { is_later_try: true, ..chat(now) };
    assert_eq!(later_try.wait_until(late, now), now);
}

/// Guards against a first try that is rejected although its answer is still
/// possible, and against a request that waits when none is.
#[test]
fn in_a_queue_a_request_waits_while_an_answer_is_possible() {
    let now = Instant::now();
    let answer_time = ms(1_500);
    let until =
        |reason| chat(now).queued_until(reason, answer_time, now) - now;
    assert_eq!(until(WaitReason::NoCapacity), ms(3_500));
    assert_eq!(until(WaitReason::Saturated(ms(900))), ms(3_500));
    assert_eq!(until(WaitReason::AdapterLoading(ms(900))), ms(3_500));
    // A wait that is known to be too long is not started.
    assert_eq!(until(WaitReason::Saturated(ms(3_600))), ms(0));
    assert_eq!(until(WaitReason::AdapterLoading(ms(3_600))), ms(0));
    // The weight store is the limit: a late load would make others late too.
    assert_eq!(until(NOT_LOADED), ms(260));
    for left in [0, 1_000, 4_000, 60_000] {
        let request = WaitingRequest { deadline: now + ms(left), ..chat(now) };
        let until =
            request.queued_until(WaitReason::NoCapacity, answer_time, now);
        let latest = ms(left).saturating_sub(answer_time).min(MAX_WAIT);
        assert_eq!(until, now + latest);
    }
}

/// Guards against callers that wait for a third of their time although their
/// turn comes sooner, and against a retry time over that bound.
#[test]
fn the_retry_time_is_the_expected_turn_within_the_bound() {
    let after = |wait| retry_delay_in_turn(ms(2_000), wait, 0.5);
    assert_eq!(after(Some(ms(120))), ms(120));
    let most = ms(2_000) / 3;
    assert!(after(Some(ms(1_900))) <= most && after(None) <= most);
}

/// Guards against callers that read slowly: with their streams in the mean,
/// other requests would be rejected although they could still be answered.
#[test]
fn a_slowly_read_stream_hardly_changes_the_expected_stream_time() {
    let mut time = StreamTime::default();
    assert_eq!(time.mean(), None);
    for n in 0..200 {
        time.observe(if n % 20 == 19 { ms(60_000) } else { ms(500) });
    }
    let mean = time.mean().expect("a mean");
    assert!((ms(500)..ms(600)).contains(&mean), "{mean:?}");
    // Streams that last longer are learned, also after very short ones.
    let mut time = StreamTime::default();
    time.observe(Duration::ZERO);
    for _ in 0..300 {
        time.observe(ms(800));
    }
    assert!(time.mean().is_some_and(|mean| mean > ms(600)), "{time:?}");
}
