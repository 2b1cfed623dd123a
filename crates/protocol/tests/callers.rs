//! Parsing of callers' requests and of settings, encoding of errors, and
//! decoding of peer messages.

use std::time::Duration;

use http::HeaderMap;
use proptest::prelude::*;
use sedgewall_protocol::{
    Envelope, Problem,
    caller::{CallOptions, ModelRef},
    settings::Settings,
};
use sedgewall_state::{
    Priority,
    admission::{Refusal, RefusalReason},
};

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let value = value.parse().expect("a header value");
            (http::HeaderName::from_static(name), value)
        })
        .collect()
}

#[test]
fn headers_are_read() {
    let options = CallOptions::from_headers(&headers(&[
        ("priority", "u=1, i"),
        ("prefer", "return=minimal, wait=3"),
        ("sedgewall-repeatable", "?0"),
        ("idempotency-key", "\"k1\""),
    ]))
    .unwrap();
    assert_eq!(options.priority, Some(Priority::High));
    assert_eq!(options.deadline, Some(Duration::from_secs(3)));
    assert_eq!(options.is_repeatable, Some(false));
    assert_eq!(options.idempotency_key.as_deref(), Some("k1"));
}

#[test]
fn an_invalid_header_is_named_in_the_error() {
    let wrong = [
        ("priority", "u=9"),
        ("sedgewall-deadline-ms", "soon"),
        ("sedgewall-repeatable", "no"),
        ("idempotency-key", "\"\""),
    ];
    for (name, value) in wrong {
        let err = CallOptions::from_headers(&headers(&[(name, value)]))
            .unwrap_err()
            .to_string();
        assert!(err.contains(name), "{err}");
    }
}

#[test]
fn a_model_names_adapter_and_version() {
    let model: ModelRef = "lineup-1@2".parse().unwrap();
    assert_eq!(
        (model.adapter.as_str(), model.version.as_str()),
        ("lineup-1", "2")
    );
    for wrong in ["lineup-1", "@2", "lineup-1@", ""] {
        assert!(wrong.parse::<ModelRef>().is_err());
    }
}

#[test]
fn every_refusal_states_not_run_and_a_retry_delay() {
    let reasons = [
        RefusalReason::DeadlineUnreachable,
        RefusalReason::DeadlinePassed,
        RefusalReason::QueueFull,
        RefusalReason::Shed,
        RefusalReason::CallerShare,
        RefusalReason::NoEngine,
        RefusalReason::NoLeader,
        RefusalReason::EntryFull,
        RefusalReason::RetriesSpent,
    ];
    for reason in reasons {
        let retry_after = Duration::from_millis(1_500);
        let problem = Problem::from_refusal(&Refusal { reason, retry_after });
        let json = serde_json::to_value(&problem).unwrap();
        assert_eq!(json["run_state"], "not_run");
        assert_eq!(json["retry_after_ms"], 1_500);
        assert_eq!(problem.retry_after_s(), Some(2));
    }
}

#[test]
fn settings_report_all_errors() {
    let text = "\
instance: ''
zone: leuven
caller_listen: 127.0.0.1:1
operator_listen: 127.0.0.1:2
peer_listen: 127.0.0.1:3
platform_url: https://x
lease:
  renew_every_ms: 900
";
    let err = Settings::from_yaml("e.yaml", text).unwrap_err().to_string();
    for part in ["e.yaml", "instance", "platform_url", "lease.renew_every_ms"]
    {
        assert!(err.contains(part), "{err}");
    }
    let err = Settings::from_yaml("e.yaml", "instance: x\ncolour: red\n")
        .unwrap_err()
        .to_string();
    assert!(err.contains("e.yaml"), "{err}");
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        // Decoding must not panic, and what decodes must encode again.
        if let Ok(envelope) = Envelope::from_bytes(&bytes) {
            prop_assert!(envelope.to_bytes().is_ok());
        }
    }
}
