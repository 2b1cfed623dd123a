//! Operators' configuration files: all errors are reported at once, each with
//! file, line, field and cause.

use sedgewall_protocol::file::{SourceFile, parse, to_yaml};

fn diagnostics(text: &str) -> Vec<String> {
    let file =
        SourceFile { name: "halls.yaml".to_owned(), text: text.to_owned() };
    match parse(&[file]) {
        Ok(_) => Vec::new(),
        Err(err) => err.diagnostics.iter().map(ToString::to_string).collect(),
    }
}

const VALID: &str = "\
base_models:
  - name: m
endpoint_groups:
  - name: g
    base_model: m
    seats: 4
    adapter_slots: 2
adapters:
  - {name: a, base_model: m, versions: [\"1\"], priority: high}
weight_store:
  rate_per_s: 9
  concurrency: 6
";

#[test]
fn a_valid_file_round_trips() {
    let file = SourceFile { name: "x".to_owned(), text: VALID.to_owned() };
    let config = parse(&[file]).unwrap();
    let text = to_yaml(&config).unwrap();
    let again = parse(&[SourceFile { name: "y".to_owned(), text }]).unwrap();
    assert_eq!(config, again);
}

#[test]
fn a_dangling_reference_names_file_line_field_and_cause() {
    let text =
        VALID.replace("base_model: m, versions", "base_model: n, versions");
    assert_eq!(
        diagnostics(&text),
        ["halls.yaml:9: adapters[0].base_model: no base model is named \"n\""]
    );
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = "\
base_models:
  - name: m
    colour: red
  - name: 'bad name'
adapters:
  - {name: a, base_model: m, versions: []}
  - {name: a, base_model: m, versions: [\"1\"]}
  - {base_model: m, versions: [\"1\"], priority: urgent}
shards: 3
";
    let found = diagnostics(text);
    let has = |part: &str| found.iter().any(|line| line.contains(part));
    assert!(has("halls.yaml:3: base_models[0].colour: no such field"));
    assert!(has(":4: base_models[1].name: \"bad name\" may hold only"));
    assert!(has(":6: adapters[0].versions: an adapter needs at least one"));
    assert!(has(":7: adapters[1].name: adapter \"a\" stands twice"));
    assert!(has(":8: adapters[2].name: is missing"));
    assert!(has(":8: adapters[2].priority: unknown variant"));
    assert!(has(":9: shards: no such section"));
}

#[test]
fn numbers_out_of_range_are_rejected() {
    let text = VALID.replace("rate_per_s: 9", "rate_per_s: -1");
    assert_eq!(
        diagnostics(&text),
        ["halls.yaml:11: weight_store.rate_per_s: -1 is not above zero"]
    );
}

#[test]
fn a_syntax_error_names_its_line() {
    let found = diagnostics("base_models:\n  - name: [\n");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("halls.yaml:"), "{found:?}");
}

#[test]
fn names_over_the_length_limit_are_rejected() {
    let long = "x".repeat(200);
    let text = VALID.replace("name: a,", &format!("name: {long},"));
    let found = diagnostics(&text);
    assert!(found[0].contains("is longer than 120 bytes"), "{found:?}");
}
