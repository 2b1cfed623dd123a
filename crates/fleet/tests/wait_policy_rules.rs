//! How long requests are held, under the loads at which that matters.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::wait_policy::{WaitReason, WaitingRequest, retry_delay};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A quick chat: 0.6 s to its first event, 5 s in all.
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
    // A long prompt leaves less for the load.
    let long = WaitingRequest { engine_time: ms(300), ..chat(now) };
    assert_eq!(long.wait_until(NOT_LOADED, now), now + ms(40));
    // Where loads take too long it is rejected at once.
    let slow = WaitReason::AdapterNotLoaded { load_time: ms(900) };
    assert_eq!(chat(now).wait_until(slow, now), now);
}

/// An adapter that is on its way comes; the caller has its answer sooner than
/// by a new try.
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
    // One that is told when its adapter comes is not kept for longer.
    assert!(retry_delay(ms(4_400), Some(ms(500)), 0.0) <= ms(500));
}

/// What became of a burst.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    rejected: u32,
    /// Time for which requests were held that were rejected then.
    held_in_vain: Duration,
}

/// Replays a burst of requests for adapters that are on no engine: one a
/// millisecond for a second, where the weight store brings 288 a second. Whoever
/// asks first is loaded first, and hears so when its load begins; `until` says how
/// long each is held. A rejected one is not loaded any more.
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

/// Symptom: a request was held for fixed parts of its target, whatever a load
/// takes: it was rejected though its load would have been in time, or held until
/// that was late.
#[test]
fn a_burst_of_rare_adapters_serves_all_that_can_be_in_time() {
    let derived = burst(|held, obstacle, now| held.wait_until(obstacle, now));
    let fixed = burst(|held, _, _| held.arrived + held.target.mul_f64(0.22));
    // Nobody is loaded too late, and as many come in time as the store brings.
    assert_eq!(derived.late, 0);
    assert!(derived.in_time > fixed.in_time, "{derived:?} {fixed:?}");
    assert!(derived.in_time >= 340, "{derived:?}");
    let longest = ms(271) * derived.rejected;
    assert!(derived.held_in_vain <= longest, "{derived:?}");
}

/// Endpoints say when they take more; what cannot be served by then in time is rejected
/// at once, also a later try.
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
