//! Configuration versions never decrease, and a small change transfers little
//! data.

use std::collections::BTreeMap;

use proptest::prelude::*;
use sedgewall_coordination::config_version::{
    ChunkedConfig, ConfigTracker, assemble,
};
use sedgewall_state::{
    Priority,
    config::{AdapterConfig, BaseModel, Config},
};

fn config(adapters: usize, version: &str) -> Config {
    let adapters = (0..adapters).map(|idx| AdapterConfig {
        name: format!("a{idx}"),
        base_model: "m".to_owned(),
        versions: vec![if idx == 3 { version.to_owned() } else { "1".into() }],
        priority: Priority::Normal,
    });
    let model = BaseModel { name: "m".to_owned(), shards_per_region: 1 };
    Config {
        base_models: vec![model],
        adapters: adapters.collect(),
        ..Config::default()
    }
}

proptest! {
    #[test]
    fn versions_never_go_back(order in prop::collection::vec(1u64..20, 1..60)) {
        let mut tracker = ConfigTracker::default();
        let mut highest = 0;
        for version in order {
            let chunked =
                ChunkedConfig::from_config(&config(8, &version.to_string()))
                    .unwrap();
            let head = chunked.head(version, "x", version);
            let chunks = chunked.chunks().cloned().collect();
            let adopted = tracker.adopt(head, chunks).unwrap();
            prop_assert_eq!(adopted.is_some(), version > highest);
            highest = highest.max(version);
            prop_assert_eq!(tracker.version(), highest);
        }
    }
}

#[test]
fn a_change_of_one_adapter_moves_one_chunk() {
    let before = ChunkedConfig::from_config(&config(24_000, "1")).unwrap();
    let after = ChunkedConfig::from_config(&config(24_000, "2")).unwrap();
    let mut tracker = ConfigTracker::default();
    let chunks = before.chunks().cloned().collect();
    tracker.adopt(before.head(1, "x", 1), chunks).unwrap();
    let missing = tracker.missing(&after.head(2, "x", 2)).unwrap();
    assert_eq!(missing.len(), 1);
    let all: usize = after.chunks().map(|c| c.content.len()).sum();
    let moved = after
        .chunks()
        .find(|chunk| chunk.hash == missing[0])
        .map_or(0, |chunk| chunk.content.len());
    assert!(moved * 40 < all, "{moved} of {all} bytes transferred");
}

#[test]
fn a_configuration_round_trips_through_chunks() {
    let config = config(500, "7");
    let chunked = ChunkedConfig::from_config(&config).unwrap();
    let head = chunked.head(1, "x", 1);
    let chunks: BTreeMap<String, Vec<u8>> = chunked
        .chunks()
        .map(|chunk| (chunk.hash.clone(), chunk.content.clone()))
        .collect();
    let mut back = assemble(&head, &chunks).unwrap();
    back.adapters.sort_by_key(|a| a.name[1..].parse::<u32>().unwrap());
    assert_eq!(back, config);
}

#[test]
fn a_corrupt_chunk_is_rejected_without_effect() {
    let chunked = ChunkedConfig::from_config(&config(8, "1")).unwrap();
    let mut chunks: Vec<_> = chunked.chunks().cloned().collect();
    chunks[0].content.push(b' ');
    let mut tracker = ConfigTracker::default();
    assert!(tracker.adopt(chunked.head(1, "x", 1), chunks).is_err());
    assert_eq!(tracker.version(), 0);
}
