//! Tests from which instance missing state is fetched, and when.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::catch_up::{CatchUp, StateSummary, Step};

const OTHERS: usize = 6;

fn knows(configuration: u64) -> StateSummary {
    StateSummary { configuration, ..StateSummary::default() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Advances the time until a fetch starts. Returns the instance to fetch from.
fn next_source(
    catch_up: &mut CatchUp,
    own: StateSummary,
    now: &mut Instant,
) -> String {
    for draw in 0..100 {
        match catch_up.step(own, OTHERS, draw, *now) {
            Step::Fetch(whom) => return whom,
            Step::Wait(until) => *now = until.max(*now + ms(1)),
            Step::Idle => panic!("nothing is missed"),
        }
    }
    panic!("no fetch was started");
}

/// The own watch brings a change within about 20 ms. Fetching each change at
/// once would double the bytes.
#[test]
fn a_change_that_the_own_watch_brings_soon_is_not_fetched() {
    let mut now = Instant::now();
    let mut catch_up = CatchUp::default();
    catch_up.record_peer(&"a".to_owned(), knows(2), true, now);
    let step = catch_up.step(knows(1), OTHERS, 0, now);
    assert!(matches!(step, Step::Wait(until) if until >= now + ms(150)));
    now += ms(20);
    assert_eq!(catch_up.step(knows(2), OTHERS, 0, now), Step::Idle);
    assert_eq!(catch_up.behind_for(now), None);
}

/// Traffic between zones has a price.
#[test]
fn an_instance_of_the_own_zone_is_preferred() {
    let mut now = Instant::now();
    let mut catch_up = CatchUp::default();
    for (id, is_own_zone) in [("far", false), ("near", true), ("off", false)] {
        catch_up.record_peer(&id.to_owned(), knows(2), is_own_zone, now);
    }
    catch_up.record_peer(&"older".to_owned(), knows(1), true, now);
    assert_eq!(next_source(&mut catch_up, knows(1), &mut now), "near");
}

/// An instance that cannot be reached is followed by another one, and is asked
/// again if there is no other.
#[test]
fn a_failed_fetch_is_followed_by_another_instance() {
    let mut now = Instant::now();
    let mut catch_up = CatchUp::default();
    catch_up.record_peer(&"a".to_owned(), knows(2), true, now);
    catch_up.record_peer(&"b".to_owned(), knows(2), false, now);
    let first = next_source(&mut catch_up, knows(1), &mut now);
    catch_up.fetch_failed(&first, now);
    let second = next_source(&mut catch_up, knows(1), &mut now);
    assert_eq!((first.as_str(), second.as_str()), ("a", "b"));
    catch_up.fetch_failed(&second, now);
    assert_eq!(next_source(&mut catch_up, knows(1), &mut now), "a");
}

/// With 300 instances behind at once, fetches are spread over 300 ms.
#[test]
fn many_instances_do_not_fetch_at_once() {
    let now = Instant::now();
    let first_question = |draw| {
        let mut catch_up = CatchUp::default();
        catch_up.record_peer(&"a".to_owned(), knows(2), true, now);
        match catch_up.step(knows(1), 300, draw, now) {
            Step::Wait(until) => until - now,
            step => panic!("{step:?}"),
        }
    };
    let spread = first_question(999) - first_question(0);
    assert!(spread > ms(250), "{spread:?}");
}

/// A version that was reported once by mistake, and that no instance has,
/// would make an instance fetch and refuse requests for as long as it runs.
#[test]
fn old_summaries_expire() {
    let now = Instant::now();
    let mut catch_up = CatchUp::default();
    catch_up.record_peer(&"a".to_owned(), knows(99), true, now);
    assert_eq!(catch_up.newest_heard(now + ms(4_900)), knows(99));
    assert_eq!(catch_up.newest_heard(now + ms(5_100)), knows(0));
    let step = catch_up.step(knows(1), OTHERS, 0, now + ms(5_100));
    assert_eq!(step, Step::Idle);
}

/// A request that waits for a newer version does not wait for the own watch.
#[test]
fn a_waiting_request_triggers_a_fetch_at_once() {
    let now = Instant::now();
    let mut catch_up = CatchUp::default();
    catch_up.record_peer(&"a".to_owned(), knows(2), true, now);
    catch_up.fetch_now(now);
    let step = catch_up.step(knows(1), OTHERS, 0, now);
    assert_eq!(step, Step::Fetch("a".to_owned()));
    // A second request does not cause more fetches.
    catch_up.fetch_now(now + ms(1));
    let step = catch_up.step(knows(1), OTHERS, 0, now + ms(1));
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

/// Guards against a request that stays refused after an operator released it:
/// the record's deletion was on a watch that was lost.
#[test]
fn records_are_listed_once_if_another_instance_has_condemned_fewer() {
    let now = Instant::now();
    let mut catch_up = CatchUp::default();
    assert!(!catch_up.record_condemned(2, 1, now));
    // An instance that has just started has condemned fewer for a moment.
    assert!(!catch_up.record_condemned(2, 2, now + ms(1_000)));
    assert!(!catch_up.record_condemned(2, 1, now + ms(1_999)));
    assert!(catch_up.record_condemned(2, 1, now + ms(2_000)));
    assert!(!catch_up.record_condemned(2, 1, now + ms(4_000)));
    // Another number of the own starts a wait of its own.
    assert!(!catch_up.record_condemned(1, 0, now + ms(4_000)));
    assert!(catch_up.record_condemned(1, 0, now + ms(6_000)));
}
