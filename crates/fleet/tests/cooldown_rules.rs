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

const COOLDOWN: Duration = Duration::from_secs(3);

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
fn an_endpoint_in_a_cooldown_is_not_chosen() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    assert!(view.apply_announced_cooldown(&answered(now), COOLDOWN, now));
    assert!(
        !view.apply_announced_cooldown(&answered(now), COOLDOWN, now),
        "no change"
    );
    assert_eq!(choose(&view, &key(1), now), Choice::NoEndpoint);
    let service = &endpoint("e1", "z1", &[1]).service;
    assert_eq!(view.service_cooldown(service, now), Some(COOLDOWN));
    assert!(is_chosen(&view, now + COOLDOWN));
}

#[test]
fn one_probe_request_is_sent_after_a_cooldown() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_announced_cooldown(&answered(now), COOLDOWN, now);
    let over = now + COOLDOWN;
    view.record_sent(&"e1".to_owned(), over);
    assert!(!is_chosen(&view, over), "the probe request is unanswered");
    // A response to a request from before the end of the cooldown says
    // nothing.
    assert!(!view.record_answer(&answered(now)));
    assert!(!is_chosen(&view, over));
    assert!(view.record_answer(&answered(over)));
    assert!(is_chosen(&view, over));
}

#[test]
fn an_unanswered_probe_blocks_other_requests_only_briefly() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_announced_cooldown(&answered(now), COOLDOWN, now);
    let over = now + COOLDOWN;
    view.record_sent(&"e1".to_owned(), over);
    assert!(is_chosen(&view, over + Duration::from_secs(1)));
}

#[test]
fn a_cooldown_outlasts_a_lapse_of_the_entry() {
    let now = Instant::now();
    let mut view = FleetView::new("z1");
    view.apply_entry(endpoint("e1", "z1", &[1]), now);
    view.apply_announced_cooldown(&answered(now), COOLDOWN, now);
    view.remove_entry(&"e1".to_owned(), 0.into(), false, now);
    view.forget_cooldowns(now);
    let mut entry = endpoint("e1", "z1", &[1]);
    entry.revision = 9.into();
    view.apply_entry(entry, now);
    assert!(!is_chosen(&view, now));
    assert!(is_chosen(&view, now + COOLDOWN));
}

/// Guards against losing a cooldown that a new incarnation asks for before its
/// entry shows the restart. The first responses of a restarted endpoint
/// arrived before its new entry, which then cleared everything known about the
/// previous incarnation. The endpoint had asked for 3.4 s, and got up to ten
/// requests of one instance within this time (soak, seed 5001).
#[test]
fn a_cooldown_of_a_new_incarnation_outlasts_its_first_entry() {
    let now = Instant::now();
    let of_incarnation = |born, revision| {
        let mut entry = endpoint("e1", "z1", &[1]);
        (entry.born, entry.revision) = (Some(born), u64::into(revision));
        entry
    };
    let mut view = FleetView::new("z1");
    view.apply_entry(of_incarnation(1, 1), now);
    let answered = AnsweredRequest { born: Some(1), ..answered(now) };
    view.apply_announced_cooldown(&answered, COOLDOWN, now);
    let later = now + Duration::from_secs(1);
    view.apply_entry(of_incarnation(2, 2), later);
    assert!(!is_chosen(&view, later));
    assert!(is_chosen(&view, now + COOLDOWN));

    // A long cooldown of the previous incarnation is void soon.
    view.apply_announced_cooldown(&answered, COOLDOWN, now);
    let answered = AnsweredRequest { born: Some(2), ..answered };
    view.apply_announced_cooldown(&answered, Duration::from_secs(600), later);
    view.apply_entry(of_incarnation(3, 3), later + Duration::from_secs(10));
    assert!(is_chosen(&view, later + Duration::from_secs(10)));
}

proptest! {
    /// Whatever is sent and answered, no request may be sent before the end of
    /// any requested cooldown.
    #[test]
    fn no_request_is_sent_during_a_cooldown(
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
