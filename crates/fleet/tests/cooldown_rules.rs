//! Tests of cooldowns: an endpoint that asked for one gets no requests until
//! it ends, and then one probe request.

mod common;

use std::time::Duration;

use common::{choose, endpoint, key, sent_to};
use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    cooldown::Cooldown,
    view::{AnsweredRequest, Choice, FleetView},
};

const REST: Duration = Duration::from_secs(3);

fn answered(sent: Instant) -> AnsweredRequest {
    AnsweredRequest { endpoint: "e1".to_owned(), born: None, sent }
}

fn is_chosen(view: &FleetView, now: Instant) -> bool {
    sent_to(&choose(view, &key(1), now)) == Some("e1")
}

/// Guards against requests during a cooldown. An endpoint that rejects
/// requests looks idle; engines got up to 21 requests of one instance within
/// the cooldown that they had asked it for.
#[test]
fn an_endpoint_that_rests_is_not_chosen() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    assert!(view.apply_announced_cooldown(&answered(now), REST, now));
    assert!(
        !view.apply_announced_cooldown(&answered(now), REST, now),
        "no news"
    );
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
    let service = &endpoint("e1", "z1", &[1]).service;
    assert_eq!(view.service_cooldown(service, now), Some(REST));
    assert!(is_chosen(&view, now + REST));
}

#[test]
fn one_request_shows_whether_a_rest_is_over() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_announced_cooldown(&answered(now), REST, now);
    let over = now + REST;
    view.record_sent(&"e1".to_owned(), over);
    assert!(!is_chosen(&view, over), "the first one has no answer yet");
    // A response to a request from before the end of the cooldown says
    // nothing.
    assert!(!view.record_answer(&answered(now)));
    assert!(!is_chosen(&view, over));
    assert!(view.record_answer(&answered(over)));
    assert!(is_chosen(&view, over));
}

#[test]
fn a_request_whose_caller_left_does_not_keep_others_away() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_announced_cooldown(&answered(now), REST, now);
    let over = now + REST;
    view.record_sent(&"e1".to_owned(), over);
    assert!(is_chosen(&view, over + Duration::from_secs(1)));
}

#[test]
fn a_rest_outlasts_a_lapse_of_the_entry() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_announced_cooldown(&answered(now), REST, now);
    view.remove_entry(&"e1".to_owned(), 0, false, now);
    view.forget_cooldowns(now);
    let mut entry = endpoint("e1", "z1", &[1]);
    entry.revision = 9;
    view.apply_entry(entry, now);
    assert!(!is_chosen(&view, now));
    assert!(is_chosen(&view, now + REST));
}

/// Guards against losing a cooldown that a new incarnation asks for before its
/// entry shows the restart. The first responses of a restarted endpoint
/// arrived before its new entry, which then cleared everything known about the
/// previous incarnation. The endpoint had asked for 3.4 s, and got up to ten
/// requests of one instance within this time (soak, seed 5001).
#[test]
fn a_new_life_may_ask_for_rest_before_its_entry_shows_it() {
    let now = Instant::now();
    let of_life = |born, revision| {
        let mut entry = endpoint("e1", "z1", &[1]);
        (entry.born, entry.revision) = (Some(born), revision);
        entry
    };
    let mut view = FleetView::new("z1");
    view.apply_entry(of_life(1, 1), now);
    let answered = AnsweredRequest { born: Some(1), ..answered(now) };
    view.apply_announced_cooldown(&answered, REST, now);
    let later = now + Duration::from_secs(1);
    view.apply_entry(of_life(2, 2), later);
    assert!(!is_chosen(&view, later));
    assert!(is_chosen(&view, now + REST));

    // A long cooldown of the previous incarnation is void soon.
    view.apply_announced_cooldown(&answered, REST, now);
    let answered = AnsweredRequest { born: Some(2), ..answered };
    view.apply_announced_cooldown(&answered, Duration::from_secs(600), later);
    view.apply_entry(of_life(3, 3), later + Duration::from_secs(10));
    assert!(is_chosen(&view, later + Duration::from_secs(10)));
}

proptest! {
    /// Whatever is sent and answered, no request may be sent before the end of
    /// any requested cooldown.
    #[test]
    fn no_request_is_sent_within_a_rest(
        steps in prop::collection::vec((0..4_u8, 0..900_u64, 0..4_000_u64), 1..80),
    ) {
        let start = Instant::now();
        let (mut rest, mut now) = (Cooldown::default(), start);
        let (mut sent, mut ends) = (start, start);
        for (step, pause_ms, rest_ms) in steps {
            now += Duration::from_millis(pause_ms);
            match step {
                0 => {
                    let time = Duration::from_millis(rest_ms);
                    rest.extend(time, now);
                    ends = ends.max(now + time);
                }
                1 => {
                    rest.record_answer(sent);
                }
                _ => {
                    if rest.left(now).is_none() {
                        prop_assert!(now >= ends);
                        rest.record_sent(now);
                        sent = now;
                    }
                }
            }
        }
    }
}
