//! Tests that poison requests are detected, and that requests that only ran on
//! the same endpoints are not.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    incarnation::EndpointIncarnation,
    poison::{
        CONDEMNED_FOR, Condemned, Crash, Loss, MergeOutcome, PoisonDetector,
    },
    request_digest::{RequestDigest, RequestParts},
};

/// How long a poison request runs before it crashes its endpoint.
const RUNS: Duration = Duration::from_millis(80);

/// The time between two tries of a caller.
const TRIES: Duration = Duration::from_millis(600);

fn digest(n: u32) -> RequestDigest {
    let path = format!("/p/{n}");
    let (method, host) = ("POST", "h");
    RequestDigest::of(RequestParts {
        customer: None,
        method,
        host,
        path: &path,
        body: b"",
    })
}

fn life(n: u32) -> EndpointIncarnation {
    EndpointIncarnation { id: format!("e{n}"), born: None }
}

/// Records a run that is interrupted by the end of its endpoint, as its
/// instance sees it.
fn crash(
    poison: &mut PoisonDetector,
    endpoint: u32,
    of: RequestDigest,
    began: Instant,
    at: Instant,
) -> Option<Crash> {
    let early =
        poison.record_lost_run(&life(endpoint), of, began, Loss::Broken, at);
    early.or_else(|| poison.endpoint_ended(&life(endpoint), at))
}

/// Crashes endpoints one after the other. Returns the time of the next try.
fn crash_in_turn(
    poison: &mut PoisonDetector,
    endpoints: std::ops::Range<u32>,
    of: RequestDigest,
    start: Instant,
) -> Instant {
    let mut at = start;
    for endpoint in endpoints {
        crash(poison, endpoint, of, at, at + RUNS);
        at += TRIES;
    }
    at
}

fn is_condemned(
    poison: &PoisonDetector,
    of: RequestDigest,
    now: Instant,
) -> bool {
    poison.verdict(of, now).is_some()
}

#[test]
fn three_separate_crashes_condemn() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let at = crash_in_turn(&mut poison, 0..2, of, Instant::now());
    assert!(!is_condemned(&poison, of, at));
    let at = crash_in_turn(&mut poison, 2..3, of, at);
    let verdict = poison.verdict(of, at).expect("a verdict");
    assert_eq!(verdict.endpoints, [life(0), life(1), life(2)]);
    assert_eq!(poison.take_newly_condemned(at), [of]);
    assert!(!is_condemned(&poison, digest(2), at));
}

#[test]
fn endpoints_that_end_together_are_one_cause() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let began = Instant::now();
    let at = began + RUNS;
    for endpoint in 0..9 {
        crash(&mut poison, endpoint, of, began, at);
    }
    assert!(!is_condemned(&poison, of, at));
    // One more crash, of a run that was sent after the other endpoints ended.
    crash(&mut poison, 9, of, at, at + RUNS);
    assert!(is_condemned(&poison, of, at + RUNS));
}

/// Guards against a request that all callers send alike: its runs were sent on
/// kept connections to endpoints that had crashed, so that each crash counted
/// against it.
#[test]
fn a_run_that_is_sent_after_the_end_of_its_endpoint_does_not_count() {
    let mut poison = PoisonDetector::default();
    let (fatal, sound) = (digest(1), digest(2));
    let mut at = Instant::now();
    for endpoint in 0..5 {
        crash(&mut poison, endpoint, fatal, at, at + RUNS);
        at += TRIES;
        let lost = Loss::Unanswered;
        poison.record_lost_run(&life(endpoint), sound, at, lost, at);
        poison.endpoint_ended(&life(endpoint), at);
    }
    assert!(is_condemned(&poison, fatal, at));
    assert!(!poison.was_interrupted(sound));
    assert!(!is_condemned(&poison, sound, at));
}

#[test]
fn a_crash_counts_after_an_answer_has_refuted_an_earlier_end() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let mut at = Instant::now();
    for endpoint in 0..3 {
        assert_eq!(poison.endpoint_ended(&life(endpoint), at), None);
        at += RUNS;
        poison.record_answer(&life(endpoint), at, at + RUNS);
        at += TRIES;
        crash(&mut poison, endpoint, of, at, at + RUNS);
        at += TRIES;
    }
    assert!(is_condemned(&poison, of, at));
}

/// Guards against a tie between a poison request and one that all callers send
/// alike, beside which it ran each time: the digests decided.
#[test]
fn of_requests_in_the_same_crashes_the_one_that_never_succeeded_is_condemned()
{
    for (fatal, sound) in [(digest(1), digest(2)), (digest(2), digest(1))] {
        let mut poison = PoisonDetector::default();
        let mut at = Instant::now();
        poison.record_success(&sound.into(), at, at + RUNS);
        at += TRIES;
        for endpoint in 0..6 {
            for of in [fatal, sound] {
                let lost = Loss::Broken;
                let broke = at + RUNS;
                poison.record_lost_run(&life(endpoint), of, at, lost, broke);
            }
            poison.endpoint_ended(&life(endpoint), at + RUNS);
            at += TRIES;
        }
        assert!(is_condemned(&poison, fatal, at));
        assert!(!is_condemned(&poison, sound, at));
    }
}

#[test]
fn a_connection_that_breaks_at_a_live_endpoint_does_not_count() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let mut at = Instant::now();
    for endpoint in 0..6 {
        poison.record_lost_run(
            &life(endpoint),
            of,
            at,
            Loss::Broken,
            at + RUNS,
        );
        poison.endpoint_alive(&life(endpoint), at + RUNS);
        at += TRIES;
        // The endpoint ends later, for another reason.
        assert_eq!(poison.endpoint_ended(&life(endpoint), at), None);
    }
    assert!(!poison.has_suspects());
}

#[test]
fn a_run_whose_caller_left_counts_if_its_endpoint_ends_at_once() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let at = Instant::now();
    let (soon, late) = (at + RUNS, at + 2 * TRIES);
    poison.record_lost_run(&life(0), of, at, Loss::CallerLeft, at);
    assert!(poison.endpoint_ended(&life(0), soon).is_some());
    poison.record_lost_run(&life(1), of, at, Loss::CallerLeft, at);
    assert_eq!(poison.endpoint_ended(&life(1), late), None);
}

#[test]
fn a_crash_seen_by_another_instance_counts_here() {
    let (mut near, mut far) =
        (PoisonDetector::default(), PoisonDetector::default());
    let (one, other) = (digest(1), digest(2));
    let at = Instant::now();
    // This instance lost a run and does not know whether the endpoint ended:
    // its probe got no answer.
    near.record_lost_run(&life(0), one, at, Loss::Broken, at + RUNS);
    let told = crash(&mut far, 0, other, at, at + RUNS).expect("a crash");
    let ours =
        near.record_crash(&told, at + RUNS).expect("a crash of ours too");
    assert_eq!(ours.runs.len(), 1);
    assert_eq!(ours.runs[0].digest, one);
    // A run that breaks off a little later counts at once.
    let late =
        near.record_lost_run(&life(0), other, at, Loss::Broken, at + 2 * RUNS);
    assert!(late.is_some());
}

#[test]
fn a_successful_run_clears_the_evidence() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let at = crash_in_turn(&mut poison, 0..2, of, Instant::now());
    assert!(poison.clear(of, at));
    assert!(!poison.clear(of, at));
    let at = crash_in_turn(&mut poison, 2..4, of, at);
    assert!(!is_condemned(&poison, of, at));
    let at = crash_in_turn(&mut poison, 4..5, of, at);
    assert!(is_condemned(&poison, of, at));
    // A run was still in progress elsewhere when the request was condemned.
    assert!(poison.clear(of, at));
    assert!(!is_condemned(&poison, of, at));
}

#[test]
fn a_condemnation_before_a_successful_run_is_refuted() {
    let (mut poison, mut other) =
        (PoisonDetector::default(), PoisonDetector::default());
    let of = digest(1);
    let at = crash_in_turn(&mut poison, 0..3, of, Instant::now());
    let [condemned] = &poison.condemned(at)[..] else { panic!("one") };
    assert_eq!(other.merge_condemned(condemned, at), MergeOutcome::Added);
    assert_eq!(
        other.merge_condemned(condemned, at),
        MergeOutcome::AlreadyKnown
    );
    assert!(is_condemned(&other, of, at));
    other.clear(of, at);
    assert_eq!(other.merge_condemned(condemned, at), MergeOutcome::Refuted);
    assert!(!is_condemned(&other, of, at));
}

#[test]
fn a_released_request_is_condemned_again_by_one_crash() {
    let (mut poison, of) = (PoisonDetector::default(), digest(1));
    let at = crash_in_turn(&mut poison, 0..3, of, Instant::now());
    let released_in = poison.verdict(of, at).expect("a verdict").released_in;
    assert!(released_in <= CONDEMNED_FOR);
    let later = at + released_in + Duration::from_millis(1);
    poison.forget(later);
    assert!(!is_condemned(&poison, of, later));
    crash(&mut poison, 9, of, later, later + RUNS);
    assert!(is_condemned(&poison, of, later + RUNS));
    // An operator may release it, too.
    poison.release(of, later + RUNS);
    assert!(!is_condemned(&poison, of, later + RUNS));
}

/// Guards against a release that an instance undoes which has not heard of it:
/// it reports the request as condemned, and the record was written again.
#[test]
fn an_earlier_condemnation_does_not_undo_a_release() {
    let mut poison = PoisonDetector::default();
    let of = digest(1);
    let at = crash_in_turn(&mut poison, 0..3, of, Instant::now());
    let elsewhere = poison.condemned(at).remove(0);
    let released = at + RUNS;
    poison.release(of, released);
    let late = released + TRIES;
    let ms_ago = elsewhere.ms_ago + (late - at).as_millis() as u64;
    let elsewhere = Condemned { ms_ago, ..elsewhere };
    assert_eq!(
        poison.merge_condemned(&elsewhere, late),
        MergeOutcome::Released
    );
    assert!(!is_condemned(&poison, of, late));
    // One that is later than the release counts.
    let new = Condemned { ms_ago: 1, ..elsewhere };
    assert_eq!(poison.merge_condemned(&new, late), MergeOutcome::Added);
}

#[test]
fn retained_evidence_is_bounded() {
    let mut poison = PoisonDetector::default();
    let mut at = Instant::now();
    for n in 0..2_000 {
        at = crash_in_turn(&mut poison, 3 * n..3 * n + 3, digest(n), at);
    }
    let condemned = poison.condemned(at);
    assert!(condemned.len() <= 1_024);
    assert!(is_condemned(&poison, digest(1_999), at));
    let told: usize =
        poison.recent_crashes(at).iter().map(|c| c.runs.len()).sum();
    assert!(told <= 64);
    poison.forget(at + 3 * CONDEMNED_FOR);
    poison.forget(at + 6 * CONDEMNED_FOR);
    assert!(!poison.has_suspects());
}

/// Guards against harmless requests that are condemned because the paths of an
/// instance to some endpoints are cut: their refusals look like crashes.
#[test]
fn a_crash_of_an_endpoint_that_answers_another_instance_is_refuted() {
    let (mut cut, mut near) =
        (PoisonDetector::default(), PoisonDetector::default());
    let (of, start) = (digest(1), Instant::now());
    let mut at = start;
    for endpoint in 0..3 {
        let told = crash(&mut cut, endpoint, of, at, at + RUNS);
        let told = told.expect("a crash");
        let _ = near.record_crash(&told, at + RUNS);
        at += TRIES;
    }
    assert!(is_condemned(&near, of, at) && is_condemned(&cut, of, at));
    // An answer to a request that was sent before says nothing.
    assert!(!near.record_answer(&life(1), start, at));
    assert!(is_condemned(&near, of, at));
    assert!(near.record_answer(&life(1), at, at + RUNS));
    assert!(!is_condemned(&near, of, at + RUNS));
    cut.record_details(near.answer_details(at + RUNS), at + RUNS);
    assert!(!is_condemned(&cut, of, at + RUNS));
    // The report is repeated, and another endpoint crashes in truth.
    for crash in cut.recent_crashes(at + RUNS) {
        let _ = near.record_crash(&crash, at + RUNS);
    }
    assert!(!is_condemned(&near, of, at + RUNS));
    crash(&mut near, 7, of, at + TRIES, at + TRIES + RUNS);
    assert!(is_condemned(&near, of, at + TRIES + RUNS));
}

/// The end of an endpoint that runs a request of one instance.
#[derive(Clone, Debug)]
struct Event {
    endpoint: u32,
    digest: u32,
    instance: usize,
    after_ms: u64,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = (0..9u32, 0..3u32, 0..3usize, 0..400u64);
    let event = event.prop_map(|(endpoint, digest, instance, after_ms)| {
        Event { endpoint, digest, instance, after_ms }
    });
    proptest::collection::vec(event, 1..24)
}

proptest! {
    /// All instances reach the same verdicts, in whatever order and however
    /// often they receive the notes.
    #[test]
    fn instances_with_the_same_reports_agree(
        events in events(),
        order in any::<proptest::sample::Index>(),
    ) {
        let mut instances = vec![PoisonDetector::default(); 3];
        let mut notes = Vec::new();
        let mut at = Instant::now();
        for event in &events {
            let (began, of) = (at, digest(event.digest));
            at += Duration::from_millis(event.after_ms);
            let own = &mut instances[event.instance];
            if let Some(note) = crash(own, event.endpoint, of, began, at) {
                notes.push((note, at));
            }
        }
        for (n, instance) in instances.iter_mut().enumerate() {
            if !notes.is_empty() {
                let by = (order.index(notes.len()) + n) % notes.len();
                notes.rotate_left(by);
            }
            for (note, told_at) in notes.iter().chain(&notes) {
                let _ = instance.record_crash(note, *told_at);
            }
        }
        for n in 0..3 {
            let verdict = is_condemned(&instances[0], digest(n), at);
            for other in &instances[1..] {
                prop_assert_eq!(is_condemned(other, digest(n), at), verdict);
            }
        }
    }

    /// A request that crashes each endpoint that runs it crashes at most four
    /// if notes arrive within the time between two tries, whichever instances
    /// send it. Requests that ran on the same endpoint once are still sent,
    /// and requests with successful runs in between are never condemned.
    #[test]
    fn a_poison_request_is_stopped_and_requests_beside_it_are_not(
        tries in proptest::collection::vec(0..6usize, 5..30),
        beside in proptest::collection::vec(1..9u32, 5..30),
    ) {
        let poisoned = digest(0);
        let popular = digest(100);
        let mut instances = vec![PoisonDetector::default(); 6];
        let mut at = Instant::now();
        let mut ended = 0;
        for (n, by) in tries.iter().enumerate() {
            at += TRIES;
            for instance in &mut instances {
                let _ = instance.clear(popular, at);
            }
            if is_condemned(&instances[*by], poisoned, at) {
                continue;
            }
            let endpoint = ended;
            ended += 1;
            let mut notes = Vec::new();
            let also = beside[n % beside.len()];
            for (who, of) in
                [(*by, poisoned), (*by, digest(1_000 * ended + also)), ((*by + 1) % 6, popular)]
            {
                notes.extend(crash(&mut instances[who], endpoint, of, at, at + RUNS));
            }
            for note in &notes {
                for instance in &mut instances {
                    let _ = instance.record_crash(note, at + RUNS);
                }
            }
        }
        prop_assert!(ended <= 4, "{ended} ended");
        for instance in &instances {
            prop_assert!(!is_condemned(instance, popular, at + RUNS));
            for n in 1..=ended {
                for also in &beside {
                    let innocent = digest(1_000 * n + also);
                    prop_assert!(!is_condemned(instance, innocent, at + RUNS));
                }
            }
        }
    }
}
