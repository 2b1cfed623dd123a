//! Instances and command lines of two builds together, without an operator's
//! platform: one build goes on where the other stopped, and both run side by
//! side. Each reads what the other stores and says: settings, the head and the
//! chunks of the configuration, leases, claims and messages.
//!
//! `scripts/mixed PROGRAM` runs these tests; each plays both ways round.

use std::{
    io::Write,
    net::TcpStream,
    path::{Path, PathBuf},
    time::Duration,
};

use http::{Method, StatusCode};
use sedgewall_bench::{
    cluster::{
        Cluster, EngineOptions, PROMPT, SMALL_SHARD, Signal, free_address,
        release_folder, small_config,
    },
    engine::EngineStats,
    load::check,
    plain_service::ServiceStats,
};
use sedgewall_protocol::Problem;
use sedgewall_transport::client::{BufferedResponse, Call};

/// Names the other build's `sedgewalld`; its command line lies beside it.
const OTHER_BUILD: &str = "SEDGEWALL_OTHER_BUILD";

const ENGINES: [&str; 2] = ["engine-1", "engine-2"];

/// What logs say of that which was not understood.
const NOT_UNDERSTOOD: [&str; 5] = [
    "cannot decode",
    "cannot be read",
    "was not adopted",
    "unreadable",
    "panicked",
];

/// Returns the folders of the other build and of this one.
fn builds() -> [PathBuf; 2] {
    let other = std::env::var_os(OTHER_BUILD)
        .unwrap_or_else(|| panic!("{OTHER_BUILD} names no program"));
    let folder = Path::new(&other).parent().expect("a folder");
    [folder.to_owned(), release_folder()]
}

fn on_loop(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    runtime.block_on(test);
}

async fn assert_serves(cluster: &Cluster, entry: &str, model: &str) {
    let answer = cluster.complete(entry, model, 5, &[]).await;
    let answer = answer.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, StatusCode::OK, "{entry}: {text}");
    assert_eq!(check::whole(&answer.body, model, PROMPT, 5), None);
}

async fn transfer(
    cluster: &Cluster,
    entry: &str,
    key: &str,
) -> BufferedResponse {
    let address = cluster.address(entry);
    let url = format!("http://{address}/services/league/transfers");
    let call = Call::new(Method::POST, url);
    let call = call.header("idempotency-key", key).body("{}");
    let within = Duration::from_secs(60);
    cluster.http.call(call, within).await.expect("the instance answers")
}

async fn assert_transfers(cluster: &Cluster, entry: &str, key: &str) {
    let answer = transfer(cluster, entry, key).await;
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, StatusCode::OK, "{entry}: {text}");
}

/// The key was claimed through another instance, and its request is not run
/// again.
async fn assert_is_claimed(cluster: &Cluster, entry: &str, key: &str) {
    let answer = transfer(cluster, entry, key).await;
    let problem: Problem =
        serde_json::from_slice(&answer.body).expect("a problem document");
    assert_eq!(problem.kind, "/problems/key_taken", "{entry}: {problem:?}");
}

/// Applies a configuration with an adapter of its own by a build's command line
/// and waits until it is in force.
async fn apply(cluster: &mut Cluster, build: &Path, version: u64) {
    cluster.use_build(build);
    let more = format!(
        "  - {{name: own-{version}, base_model: coach-8b, versions: [\"1\"]}}\n"
    );
    let name = format!("config-{version}.yaml");
    let file = cluster.write_config(&name, &small_config(&more));
    let output = cluster.command(&["apply", &file, "--wait"]);
    let err = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{err}");
    // It reads back what it wrote, and finds no difference.
    let diff = cluster.command(&["diff", &file]);
    assert!(diff.status.success());
}

async fn assert_in_force(cluster: &Cluster, entries: &[&str], version: u64) {
    for entry in entries {
        let what = "the version is in force";
        cluster
            .wait_status(entry, what, |s| s.config_version == version)
            .await;
        assert_serves(cluster, entry, &format!("own-{version}@1")).await;
    }
}

async fn assert_hear_each_other(cluster: &Cluster, entries: &[&str]) {
    for entry in entries {
        let what = "it sees the leader and all others";
        cluster
            .wait_status(entry, what, |status| {
                !status.leaders.is_empty()
                    && status.live_peers.len() == entries.len() - 1
            })
            .await;
    }
}

/// Stops instances as planned.
async fn stop(cluster: &mut Cluster, entries: &[&str]) {
    for entry in entries {
        cluster.signal(entry, Signal::Term);
    }
    for entry in entries {
        let status = cluster.wait_for_end(entry).await;
        assert!(status.success(), "{entry}");
    }
}

/// Returns the lines of an instance's log that say that something was not
/// understood.
fn not_understood(cluster: &Cluster, entry: &str) -> Vec<String> {
    let log = cluster.log(entry);
    let is_meant =
        |line: &&str| NOT_UNDERSTOOD.iter().any(|text| line.contains(text));
    log.lines().filter(is_meant).map(str::to_owned).collect()
}

async fn assert_sound(cluster: &Cluster, entries: &[&str], transfers: u64) {
    for entry in entries {
        assert!(!cluster.log(entry).is_empty(), "{entry} has logged nothing");
        let lines = not_understood(cluster, entry);
        assert_eq!(lines, Vec::<String>::new(), "{entry}");
    }
    for engine in ENGINES {
        let address = cluster.address(engine);
        let stats: EngineStats =
            cluster.get(&address, "/stats").await.expect("it answers");
        assert_eq!((stats.unloaded_while_serving, stats.doubled), (0, 0));
    }
    let address = cluster.address("service-1");
    let stats: ServiceStats =
        cluster.get(&address, "/stats").await.expect("it answers");
    assert_eq!(stats.doubled, 0);
    assert_eq!(stats.unrepeatable_runs as u64, transfers);
}

async fn start(name: &str) -> Cluster {
    let mut cluster = Cluster::start(name).await;
    for engine in ENGINES {
        cluster.engine(engine, &EngineOptions::default()).await;
    }
    cluster.service("service-1").await;
    cluster
}

fn one_after_the_other(name: &str, [first, second]: [PathBuf; 2]) {
    on_loop(async {
        let entries = ["entry-1", "entry-2", "entry-3"];
        let mut cluster = start(name).await;
        cluster.use_build(&first);
        for entry in entries {
            cluster.entry(entry, "leuven").await;
        }
        apply(&mut cluster, &first, 1).await;
        cluster.wait_led(SMALL_SHARD, "").await;
        assert_hear_each_other(&cluster, &entries).await;
        assert_in_force(&cluster, &entries, 1).await;
        for entry in entries {
            assert_transfers(&cluster, entry, &format!("first-{entry}")).await;
        }
        let (_, led) = cluster.leader(SMALL_SHARD).await.expect("a leader");
        stop(&mut cluster, &entries).await;

        cluster.use_build(&second);
        for entry in entries {
            cluster.restart_entry(entry).await;
        }
        cluster.wait_led(SMALL_SHARD, "").await;
        assert_hear_each_other(&cluster, &entries).await;
        let (_, now) = cluster.leader(SMALL_SHARD).await.expect("a leader");
        assert!(now.epoch > led.epoch, "{} after {}", now.epoch, led.epoch);
        assert_in_force(&cluster, &entries, 1).await;
        for entry in entries {
            for claimed in entries {
                let key = format!("first-{claimed}");
                assert_is_claimed(&cluster, entry, &key).await;
            }
            assert_transfers(&cluster, entry, &format!("then-{entry}")).await;
        }
        apply(&mut cluster, &second, 2).await;
        assert_in_force(&cluster, &entries, 2).await;
        stop(&mut cluster, &entries).await;
        assert_sound(&cluster, &entries, 6).await;
    });
}

fn side_by_side(name: &str, builds: [PathBuf; 2]) {
    on_loop(async {
        let entries = ["entry-1", "entry-2", "entry-3", "entry-4"];
        let mut cluster = start(name).await;
        for (idx, entry) in entries.into_iter().enumerate() {
            cluster.use_build(&builds[idx / 2]);
            cluster.entry(entry, "leuven").await;
        }
        apply(&mut cluster, &builds[0], 1).await;
        cluster.wait_led(SMALL_SHARD, "").await;
        assert_hear_each_other(&cluster, &entries).await;
        assert_in_force(&cluster, &entries, 1).await;
        apply(&mut cluster, &builds[1], 2).await;
        assert_in_force(&cluster, &entries, 2).await;
        for entry in entries {
            let key = format!("key-{entry}");
            assert_transfers(&cluster, entry, &key).await;
            for other in entries {
                assert_is_claimed(&cluster, other, &key).await;
            }
        }
        // The lease goes from a leader of one build to one of the other, twice.
        let build_of = |leader: &str| {
            let idx = entries.iter().position(|entry| *entry == leader);
            idx.expect("an instance") / 2
        };
        let leader = cluster.wait_led(SMALL_SHARD, "").await;
        let first = build_of(&leader);
        for to in [1 - first, first] {
            let of_other: Vec<&str> = entries[2 * (1 - to)..][..2].to_vec();
            stop(&mut cluster, &of_other).await;
            let mut leader = of_other[0].to_owned();
            while build_of(&leader) != to {
                leader = cluster.wait_led(SMALL_SHARD, &leader).await;
            }
            assert_serves(&cluster, &leader, "lineup-1@1").await;
            cluster.use_build(&builds[1 - to]);
            for entry in &of_other {
                cluster.restart_entry(entry).await;
            }
            assert_hear_each_other(&cluster, &entries).await;
            for entry in entries {
                assert_serves(&cluster, entry, "lineup-2@2").await;
                assert_is_claimed(&cluster, entry, "key-entry-1").await;
            }
        }
        stop(&mut cluster, &entries).await;
        assert_sound(&cluster, &entries, 4).await;
    });
}

#[test]
#[ignore = "it needs another build; scripts/mixed names it"]
fn this_build_goes_on_where_the_other_stopped() {
    one_after_the_other("mixed-after", builds());
}

#[test]
#[ignore = "it needs another build; scripts/mixed names it"]
fn the_other_build_goes_on_where_this_one_stopped() {
    let [other, this] = builds();
    one_after_the_other("mixed-before", [this, other]);
}

#[test]
#[ignore = "it needs another build; scripts/mixed names it"]
fn both_builds_run_side_by_side_the_other_started_first() {
    side_by_side("mixed-other-first", builds());
}

#[test]
#[ignore = "it needs another build; scripts/mixed names it"]
fn both_builds_run_side_by_side_this_one_started_first() {
    let [other, this] = builds();
    side_by_side("mixed-this-first", [this, other]);
}

/// The head of a connection that sends to an instance (the wire mapping of nng's
/// push sockets).
const PUSH_HEAD: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];

/// The check of logs sees a message and a record that cannot be read.
#[test]
fn what_is_not_understood_is_seen() {
    on_loop(async {
        let mut cluster = Cluster::start("not-understood").await;
        let url = format!("{}/objects/config/head", cluster.platform_url());
        let head = Call::new(Method::PUT, url).header("if-none-match", "*");
        let written =
            cluster.http.call(head.body("no head"), Duration::from_secs(60));
        assert!(written.await.expect("an answer").status.is_success());
        let peer = free_address();
        cluster.entry_at("entry-1", "leuven", &peer, &peer).await;
        let mut link = TcpStream::connect(&peer).expect("it listens");
        let message = b"no message";
        let len = (message.len() as u64).to_be_bytes();
        let bytes = [&PUSH_HEAD[..], &len, message].concat();
        link.write_all(&bytes).expect("it is sent");
        for text in ["cannot decode", "cannot be read"] {
            let mut tries = 0;
            let is_seen = |line: &String| line.contains(text);
            while !not_understood(&cluster, "entry-1").iter().any(is_seen) {
                tries += 1;
                assert!(tries < 1_500, "never: {text}");
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    });
}
