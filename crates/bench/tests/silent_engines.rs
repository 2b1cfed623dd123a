//! Engines that are silent for longer than the idle timeout while they work.

use std::time::Duration;

use futures_util::StreamExt;
use http::StatusCode;
use sedgewall_bench::{
    cluster::{Cluster, EngineOptions, PROMPT, SMALL_SHARD},
    engine::EngineStats,
    load::check::{self, StreamCheck},
};

const MODEL: &str = "lineup-1@1";

/// The number of tokens of an answer.
const TOKENS: u64 = 2;

/// The time of a step of the engine, in which it sends nothing.
const STEP_TIME: Duration = Duration::from_secs(2);

const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

const UNREPEATABLE: &[(&str, &str)] = &[("sedgewall-repeatable", "?0")];

/// Runs a test on a loop of its own.
fn on_loop(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    runtime.block_on(test);
}

/// One instance that allows this many retries, and one silent engine.
async fn silent(name: &str, retries: u64) -> Cluster {
    let mut cluster = Cluster::start(name).await;
    let idle_timeout_ms = IDLE_TIMEOUT.as_millis() as u64;
    cluster.limits.insert("stream_idle_ms", idle_timeout_ms);
    cluster.limits.insert("retries", retries);
    let step_us = STEP_TIME.as_micros() as u64;
    let options = EngineOptions { step_us, ..EngineOptions::default() };
    cluster.engine("engine-1", &options).await;
    cluster.entry("entry-1", "leuven").await;
    cluster.apply_small();
    cluster.wait_led(SMALL_SHARD, "").await;
    cluster
}

async fn assert_served_whole(
    cluster: &Cluster,
    headers: &[(&'static str, &str)],
) {
    let answer = cluster.complete("entry-1", MODEL, TOKENS, headers).await;
    let answer = answer.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, StatusCode::OK, "{text}");
    assert_eq!(check::whole(&answer.body, MODEL, PROMPT, TOKENS), None);
    let engine = cluster.address("engine-1");
    let stats: EngineStats =
        cluster.get(&engine, "/stats").await.expect("its counts");
    assert_eq!(stats.runs, 1);
}

/// Guards against an answer that is given up for silence, although its request
/// may not be sent again.
#[test]
fn an_unrepeatable_request_is_not_ended_for_silence() {
    on_loop(async {
        let cluster = silent("silent-engine", 5).await;
        assert_served_whole(&cluster, UNREPEATABLE).await;
    });
}

/// Guards against an answer that is given up for silence, although no other
/// engine is asked for it.
#[test]
fn a_repeatable_request_without_a_retry_is_not_ended_for_silence() {
    on_loop(async {
        let cluster = silent("silent-engine-no-retry", 0).await;
        assert_served_whole(&cluster, &[]).await;
    });
}

/// Guards against a stream that is cut for silence, although its request may
/// not be sent again.
#[test]
fn an_unrepeatable_stream_is_not_ended_for_silence() {
    on_loop(async {
        let cluster = silent("silent-stream", 5).await;
        let answer =
            cluster.stream("entry-1", MODEL, TOKENS, UNREPEATABLE).await;
        let mut chunks = std::pin::pin!(answer.expect("a stream").chunks());
        let mut text = Vec::new();
        while let Some(chunk) = chunks.next().await {
            text.extend_from_slice(&chunk.expect("a whole stream"));
        }
        let text = String::from_utf8_lossy(&text);
        let mut check = StreamCheck::new(MODEL, PROMPT, TOKENS);
        for event in text.split_terminator("\n\n") {
            check.event(event);
        }
        assert_eq!(check.finish(), None, "{text}");
        assert!(check.is_over, "{text}");
    });
}
