//! Rules of the freshness of watched kinds.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::freshness::{
    Freshness, FreshnessReport, KindReport, MIN_WATCH, Snapshot, Turn,
    WatchedKind,
};

const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
const LONGEST_WATCH: Duration = Duration::from_secs(12);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn turn(rank: usize) -> Turn {
    Turn { rank, instances: 300, draw: 1.0 }
}

/// An instance that has run for a while.
fn running(kind: WatchedKind) -> (Freshness, Instant) {
    let started = Instant::now();
    let freshness = Freshness::new(kind.max_age(IN_FORCE_WITHIN), started);
    (freshness, started + ms(60_000))
}

#[test]
fn an_unconfirmed_configuration_is_read_within_the_in_force_time() {
    let (mut freshness, now) = running(WatchedKind::Configuration);
    freshness.confirm(now);
    for rank in [0, 1, 3, 4, 299] {
        let due = freshness.read_due(turn(rank));
        assert!(due <= now + ms(1_800), "rank {rank}: {:?}", due - now);
    }
}

#[test]
fn instances_read_in_the_order_of_their_ranks() {
    let (mut freshness, now) = running(WatchedKind::Endpoints);
    freshness.confirm(now);
    let due = |rank| freshness.read_due(turn(rank));
    assert!((0..4).all(|rank| due(rank) + ms(100) <= due(rank + 1)));
    assert_eq!(due(4), due(200));
}

#[test]
fn a_report_of_another_instance_puts_a_read_off() {
    let (mut freshness, now) = running(WatchedKind::Configuration);
    freshness.confirm(now);
    let due = freshness.read_due(turn(1));
    freshness.record_report(ms(100), now + ms(900));
    assert_eq!(freshness.read_due(turn(1)), due + ms(800));
}

/// Guards against most instances reading the store at once: the lease holder
/// reported the ages that it had known before another instance's read.
#[test]
fn what_a_report_confirms_is_in_the_next_report() {
    let now = Instant::now();
    let kinds = WatchedKind::ALL.map(|_| Freshness::new(ms(2_000), now));
    let mut current = kinds;
    let mut holder = Snapshot { kinds, digests: [1, 2, 3, 4, 5] };
    let later = now + ms(1_500);
    let read = KindReport { age_ms: 10, digest: 2 };
    let of_another_state = KindReport { age_ms: 10, digest: 9 };
    let report =
        FreshnessReport(vec![Some(of_another_state), Some(read), None]);
    holder.apply(&report, &mut current, later);
    let passed_on = KindReport { age_ms: 51, digest: 2 };
    let expected = vec![None, Some(passed_on), None, None, None];
    assert_eq!(holder.report(later + ms(40)), FreshnessReport(expected));
    assert_eq!(current[1].age(later), Some(ms(10)));
    assert_eq!(current[0].age(later), None);
}

#[test]
fn a_report_that_is_older_than_the_own_knowledge_changes_nothing() {
    let (mut freshness, now) = running(WatchedKind::Configuration);
    freshness.confirm(now);
    freshness.record_report(ms(500), now + ms(100));
    assert_eq!(freshness.age(now + ms(100)), Some(ms(100)));
    let wait = freshness.watch_timeout(turn(1), LONGEST_WATCH, now);
    assert!(wait < ms(1_000));
}

#[test]
fn a_watch_of_the_first_instance_ends_before_a_read_is_due() {
    let (mut freshness, now) = running(WatchedKind::Configuration);
    freshness.confirm(now);
    freshness.record_report(ms(0), now + ms(1));
    let wait = freshness.watch_timeout(turn(0), LONGEST_WATCH, now + ms(1));
    assert!(now + wait + ms(240) <= freshness.read_due(turn(0)));
}

#[test]
fn a_watch_of_another_instance_is_long_only_while_reports_come() {
    let (mut freshness, now) = running(WatchedKind::Configuration);
    freshness.confirm(now);
    freshness.record_report(ms(0), now + ms(10));
    let wait = |at| freshness.watch_timeout(turn(2), LONGEST_WATCH, at);
    assert_eq!(wait(now + ms(500)), LONGEST_WATCH);
    assert_eq!(wait(now + ms(1_500)), MIN_WATCH);
}

#[test]
fn an_instance_that_has_just_started_reads_nothing_anew() {
    let started = Instant::now();
    let max_age = WatchedKind::Versions.max_age(IN_FORCE_WITHIN);
    let freshness = Freshness::new(max_age, started);
    assert!(freshness.read_due(turn(0)) >= started + ms(4_000));
    let wait = freshness.watch_timeout(turn(0), LONGEST_WATCH, started);
    assert_eq!(wait, LONGEST_WATCH);
}

proptest! {
    /// However many instances are lost, and whatever confirmed the knowledge
    /// before, an instance whose watch is dead reads the store within the time
    /// in which a change must be in force.
    #[test]
    fn dead_watches_are_replaced_in_time(
        events in prop::collection::vec((0_u64..400, 0_u64..2_000, any::<bool>()), 0..40),
        rank in 0_usize..300,
        draw in 0.0..1.0,
    ) {
        let (mut freshness, start) = running(WatchedKind::Configuration);
        let mut now = start;
        let mut known_until = start;
        freshness.confirm(start);
        for (pause, age, is_own) in events {
            now += ms(pause);
            let until = now - ms(age);
            match is_own {
                true => freshness.confirm(until),
                false => freshness.record_report(ms(age), now),
            }
            known_until = known_until.max(until);
        }
        let due = freshness.read_due(Turn { rank, instances: 300, draw });
        // A change that was acknowledged right after the last confirmation is
        // in force in time, with 0.2 s left for the read.
        prop_assert!(due <= known_until + IN_FORCE_WITHIN - ms(200));
    }
}

#[test]
fn a_report_differs_if_one_reported_kind_does() {
    let report = |digest| KindReport { age_ms: 1, digest };
    let reports = FreshnessReport(vec![Some(report(7)), None]);
    assert!(!reports.differs_from(&[7, 8]));
    assert!(reports.differs_from(&[6, 8]));
}
