//! Tests that a digest identifies a request.

use proptest::prelude::*;
use sedgewall_fleet::request_digest::{RequestDigest, RequestParts};

fn parts<'a>(texts: &'a [String; 4], body: &'a [u8]) -> RequestParts<'a> {
    let [customer, method, host, path] = texts;
    RequestParts { customer: Some(customer), method, host, path, body }
}

proptest! {
    #[test]
    fn only_the_same_parts_have_the_same_digest(
        one in proptest::array::uniform4("[ab/]{0,3}"),
        other in proptest::array::uniform4("[ab/]{0,3}"),
        one_body in "[ab/]{0,3}",
        other_body in "[ab/]{0,3}",
    ) {
        let is_same = one == other && one_body == other_body;
        let of_one = RequestDigest::of(parts(&one, one_body.as_bytes()));
        let of_other = RequestDigest::of(parts(&other, other_body.as_bytes()));
        prop_assert_eq!(of_one == of_other, is_same);
        prop_assert_eq!(RequestDigest::parse(&of_one.to_string()), Some(of_one));
    }
}

#[test]
fn an_anonymous_request_differs_from_that_of_an_unnamed_customer() {
    let texts = ["", "GET", "h", "/p/"].map(str::to_owned);
    let named = RequestDigest::of(parts(&texts, b""));
    let unnamed = RequestParts { customer: None, ..parts(&texts, b"") };
    assert_ne!(named, RequestDigest::of(unnamed));
}

#[test]
fn invalid_digests_are_not_parsed() {
    for text in ["", "12", &"g".repeat(32), &"é".repeat(16), &"+".repeat(32)]
    {
        assert_eq!(RequestDigest::parse(text), None, "{text}");
    }
}
