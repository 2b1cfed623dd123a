//! Tests of the assignment of requests to customers, and of how long that is
//! valid.

use std::time::Duration;

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    customer::{Customer, Customers, KeyDigest, Unit},
    revocation::KeyFreshness,
};

const SECRET: &str = "asnmgkcuyj8pjbvk9m68";

fn customer(name: &str, priority: u8) -> Customer {
    Customer { name: name.to_owned(), priority, allowance: None }
}

#[test]
fn a_request_belongs_to_the_customer_of_its_key() {
    let mut customers = Customers::default();
    assert!(customers.is_empty());
    let keys = [SECRET, "k7b2"].map(|key| KeyDigest::of(key.as_bytes()));
    customers.add(customer("one", 0), keys);
    customers.add(customer("two", 1), [KeyDigest::of(b"other")]);
    let of = |key: &[u8]| {
        let found = customers.find_by_key(&KeyDigest::of(key));
        found.map(|customer| customer.name.clone())
    };
    assert_eq!(of(SECRET.as_bytes()).as_deref(), Some("one"));
    assert_eq!(of(b"k7b2").as_deref(), Some("one"));
    assert_eq!(of(b"other").as_deref(), Some("two"));
    assert_eq!(of(b"asnmgkcuyj8pjbvk9m6"), None);
    assert_eq!(of(b""), None);
}

/// The debug output of a configuration contains neither keys nor their
/// digests.
#[test]
fn debug_output_contains_no_key() {
    let mut customers = Customers::default();
    customers.add(customer("one", 0), [KeyDigest::of(SECRET.as_bytes())]);
    let printed = format!("{customers:?}");
    assert!(!printed.contains(SECRET));
    assert!(printed.contains("KeyDigest(..)"));
}

#[test]
fn customer_priority_precedes_route_priority() {
    let (first, second) = (customer("one", 0), customer("two", 1));
    for route in 0..10 {
        assert!(
            first.effective_priority(route) < second.effective_priority(0)
        );
        assert!(second.effective_priority(route) <= 9);
    }
    assert!(first.effective_priority(0) < first.effective_priority(1));
    assert_eq!(customer("last", 200).effective_priority(9), 9);
}

#[test]
fn a_request_with_unknown_tokens_counts_the_configured_number() {
    let tokens = Unit::Tokens { plain: 200.0 };
    assert_eq!((tokens.count(1_540), tokens.count(0)), (1_540.0, 200.0));
    assert_eq!(Unit::Requests.count(1_540), 1.0);
}

/// An instance that is cut off cannot know that a key was revoked. It serves
/// requests with keys for less than the time within which a revoked key must
/// stop.
#[test]
fn keys_are_fresh_for_a_limited_time_after_a_confirmation() {
    let within = Duration::from_secs(5);
    let start = Instant::now();
    let mut known = KeyFreshness::new(Some(within));
    assert!(!known.is_fresh(start));
    known.confirm(start);
    // A late confirmation changes nothing.
    known.confirm(start - Duration::from_secs(1));
    assert!(known.is_fresh(start + Duration::from_millis(4_600)));
    assert!(!known.is_fresh(start + Duration::from_millis(4_800)));
    // After a watch, a third of the time is left for failed calls.
    let wait = known.watch_timeout(start).expect("it is bounded");
    assert!(wait < within * 2 / 3);
}

#[test]
fn without_a_bound_keys_are_always_fresh() {
    let known = KeyFreshness::new(None);
    assert!(known.is_fresh(Instant::now()));
    assert_eq!(known.watch_timeout(Instant::now()), None);
}
