//! When instances speak: what waits is told at once, a new holder is heard at
//! once, and the holder of many hears no more than it can.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use sedgewall_clock::Instant;
use sedgewall_fleet::note_schedule::{NoteSchedule, Pending, Role, Topology};

const MANY: usize = 194;

const NOTHING: Pending = Pending {
    has_store_change: false,
    has_large_prompt: false,
    has_batch: false,
    has_waiting: false,
    has_sent: false,
};

fn around(peers: usize, role: Role) -> Topology {
    Topology { peers, role }
}

/// Symptom: 3.8 s after the lease was taken, nobody asked its holder for
/// anything; 250 of 1,000 requests a second were refused meanwhile.
/// Sequence: nobody holds the lease, so each of 195 instances speaks every 4.85
/// s; one takes it and orders are due at once.
/// Cause: the time of its next word was fixed when it spoke last.
#[test]
fn a_new_holder_of_a_large_fleet_sends_at_once() {
    let start = Instant::now();
    let mut schedule = NoteSchedule::default();
    let leaderless = around(MANY, Role::Leaderless);
    assert!(schedule.take(NOTHING, leaderless, start).status);
    let taken = start + Duration::from_millis(400);
    assert!(!schedule.take(NOTHING, leaderless, taken).status);

    let holder = around(MANY, Role::Holder);
    assert_eq!(schedule.wait(NOTHING, holder, taken), Duration::ZERO);
    assert!(schedule.take(NOTHING, holder, taken).status);
}

/// A new holder knows nothing of what the others have under way until they say
/// so: they go over to the pace of followers when they hear it.
#[test]
fn followers_of_a_new_holder_send_at_once() {
    let start = Instant::now();
    let mut schedule = NoteSchedule::default();
    let _ = schedule.take(NOTHING, around(MANY, Role::Leaderless), start);
    let heard = start + Duration::from_millis(400);
    let follower = around(MANY, Role::Follower);
    assert!(schedule.take(NOTHING, follower, heard).status);
}

/// Symptom: on a calm day 7 of 100 streams were refused because their adapter
/// was absent, nearly all after just the 132 ms for which they wait unsent.
/// Sequence: an instance sends a request, and so tells the holder; 20 ms later
/// another request waits for an adapter.
/// Cause: both went through the same pause of 194 ms.
#[test]
fn waiting_requests_are_reported_at_once_after_a_send() {
    let start = Instant::now();
    let follower = around(MANY, Role::Follower);
    let mut schedule = NoteSchedule::default();
    let sent = Pending { has_sent: true, ..NOTHING };
    assert!(schedule.take(sent, follower, start).demand);
    let later = start + Duration::from_millis(20);
    assert!(!schedule.take(sent, follower, later).demand);
    let waiting = Pending { has_waiting: true, ..NOTHING };
    assert_eq!(schedule.wait(waiting, follower, later), Duration::ZERO);
    assert!(schedule.take(waiting, follower, later).demand);
}

/// Replays ten calm seconds of 195 instances with 720 requests a second, a fifth
/// of them for an adapter that is absent, and the same with ten times as many
/// absent ones: what waits is told within 5 ms, and the holder hears at most
/// 2,000 notes a second of some 20 us each, a 25th of its core.
#[test]
fn the_holder_receives_no_more_than_it_can_process() {
    for (requests_per_s, absent_part) in [(720.0, 0.2), (1_500.0, 1.0)] {
        let mut heard = 0;
        let mut longest = Duration::ZERO;
        for n in 0..=MANY as u64 {
            let rate = requests_per_s / (MANY + 1) as f64;
            let (notes, delay) = simulate(n, rate, absent_part);
            heard += notes;
            longest = longest.max(delay);
        }
        let heard_per_s = heard / SECONDS;
        assert!(heard_per_s <= 2_000, "{heard_per_s} notes a second");
        assert!(longest <= Duration::from_millis(6), "told after {longest:?}");
    }
}

const SECONDS: u64 = 10;

/// Plays one instance by the millisecond; returns the notes that it told the
/// holder of requests, and the longest time until it told of one that waited.
fn simulate(seed: u64, per_s: f64, absent_part: f64) -> (u64, Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let follower = around(MANY, Role::Follower);
    let mut schedule = NoteSchedule::default();
    let mut now = Instant::now();
    let mut pending = NOTHING;
    let mut waits_since = None;
    let (mut notes, mut longest) = (0, Duration::ZERO);
    for _ in 0..SECONDS * 1_000 {
        now += Duration::from_millis(1);
        if rng.random_bool(per_s / 1_000.0) {
            if rng.random_bool(absent_part) {
                pending.has_waiting = true;
                waits_since = waits_since.or(Some(now));
            } else {
                pending.has_sent = true;
            }
        }
        if schedule.take(pending, follower, now).demand {
            notes += u64::from(pending.has_waiting || pending.has_sent);
            if let Some(since) = waits_since.take() {
                longest = longest.max(now - since);
            }
            pending = NOTHING;
        }
    }
    (notes, longest)
}

#[test]
fn a_small_fleet_is_told_everything_at_once() {
    let start = Instant::now();
    let few = around(6, Role::Follower);
    let mut schedule = NoteSchedule::default();
    let sent = Pending { has_sent: true, has_batch: true, ..NOTHING };
    let _ = schedule.take(sent, few, start);
    let due = schedule.take(sent, few, start + Duration::from_millis(1));
    assert!(due.demand && due.batch && !due.status);
}
