//! What the commands print, against instances that the tests play.

use std::{
    io::{Read, Write},
    net::TcpListener,
    process::{Command, Output},
    thread,
};

use serde_json::Value;

const TIMELINE: &str = r#"[
    {"stamp": {"wall_ms": 1000, "count": 0}, "instance": "one",
     "kind": "request", "request": "00112233445566778899aabbccddeeff",
     "detail": "wanted"},
    {"stamp": {"wall_ms": 2000, "count": 0}, "instance": "one",
     "kind": "request", "request": "ffeeddccbbaa99887766554433221100",
     "detail": "other"}
]"#;

fn sedgewall(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sedgewall"));
    command.env_remove("SEDGEWALL_INSTANCES").args(arguments);
    command.output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Answers every request with a status line and a body; returns the address.
fn instance(status: &'static str, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\
                 connection: close\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(head.as_bytes());
        }
    });
    address
}

/// Answers every request with these bytes and the end of the connection;
/// returns the address.
fn broken_instance(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

/// Guards against an operator who is shown what is not an instance's answer.
#[test]
fn a_malformed_answer_is_reported_as_a_failure() {
    for head in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: ten\r\n",
        "HTTP/1.1 200 OK\r\nthis is no field\r\n",
        "HTTP/1.1 000 OK\r\n",
    ] {
        let address = broken_instance(format!("{head}\r\n{TIMELINE}"));
        let shown = sedgewall(&["--instance", &address, "timeline"]);
        let said = text(&shown.stderr);
        assert!(!text(&shown.stdout).contains("wanted"), "{head}");
        assert!(said.contains(&address), "{head}: {said}");
    }
}

/// Returns an address at which nobody listens.
fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

/// Guards against an operator who is told that no instance leads a shard,
/// although the instance that leads it did not answer.
#[test]
fn explain_names_the_instances_that_did_not_answer() {
    let closed = closed_address();
    let without = instance("404 Not Found", "{}");
    let both = ["explain", "a1@1", "--instance", &closed, "--instance"];
    let output = sedgewall(&[&both[..], &[&without]].concat());
    let error = text(&output.stderr);
    assert!(!output.status.success());
    assert!(error.contains(&format!("no answer from: {closed}")), "{error}");

    let output = sedgewall(&["explain", "a1@1", "--instance", &without]);
    let error = text(&output.stderr);
    assert!(error.contains("no instance leads its shard, or"), "{error}");
}

/// The id that `timeline` prints finds the events of its request.
#[test]
fn a_request_is_found_by_its_shortened_id() {
    let address = instance("200 OK", TIMELINE);
    let timeline = |request: &str| {
        let arguments =
            ["timeline", "--instance", &address, "--request", request];
        text(&sedgewall(&arguments).stdout)
    };
    let found = timeline("00112233445566778899aabbccddeeff");
    assert!(found.contains("0011~8899aabbccddeeff"), "{found}");
    for part in ["0011~8899aabbccddeeff", "0011~8899", "ccddeeff"] {
        let found = timeline(part);
        assert!(found.contains("wanted"), "{part}: {found}");
        assert!(!found.contains("other"), "{part}: {found}");
    }
}

/// A configuration that is too large for the platform's objects has a JSON
/// report like any other that cannot be applied.
#[test]
fn check_reports_a_configuration_that_is_too_large_as_json() {
    let mut file = String::from("base_models:\n");
    for n in 0..20_000 {
        let name = format!("{n:0>100}");
        file.push_str(&format!("  - {{name: m{name}}}\n"));
    }
    let name = format!("sedgewall-large-{}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, file).expect("a file");
    let path_text = path.display().to_string();
    let output = sedgewall(&["check", &path_text, "--output", "json"]);
    std::fs::remove_file(&path).expect("it is removed");
    assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
    let report: Value =
        serde_json::from_slice(&output.stdout).expect("a JSON report");
    assert_eq!(report["is_sound"], false);
    let cause = report["cause"].as_str().expect("a cause");
    assert!(cause.contains("bytes"), "{cause}");
}
