//! Broken answers of endpoints on the own interface.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use http::{Method, StatusCode};
use sedgewall_bench::cluster::{Cluster, SMALL_SHARD};
use sedgewall_transport::{HttpClient, client::Call};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

const BODY: &str = "whole";

/// Heads and bodies that are no answer.
const BROKEN: [&str; 10] = [
    "HTTP/1.1 200 OK\r\ncontent-length: ten\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n\
     5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\
     \r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\nwhole",
    "HTTP/1.1 200 OK\r\nthis is no field\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ncontent length: 5\r\n\r\nwhole",
    "HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nwhole",
    "HTTP/1.1 101 Switching Protocols\r\n\r\nwhole",
];

/// Whole answers.
const SOUND: [&str; 3] = [
    "HTTP/1.1 200\r\ncontent-length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n\
     5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nwhole",
];

/// Starts a plain service that answers each request as told and then closes
/// its side of the connection.
fn service(answer: Arc<Mutex<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let Ok(1..) = stream.read(&mut [0; 4_096]) else { return };
                let answer =
                    *answer.lock().unwrap_or_else(PoisonError::into_inner);
                let _ = stream.write_all(answer.as_bytes());
                let _ = stream.shutdown(Shutdown::Write);
                let _ = stream.read_to_end(&mut Vec::new());
            });
        }
    });
    address
}

/// Callers of a plain service get a failure for a broken answer, and no promise
/// that their call has not run.
#[test]
fn a_broken_answer_of_a_service_is_not_delivered() {
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    runtime.block_on(async {
        let mut cluster = Cluster::start("broken-answers").await;
        cluster.entry("entry-1", "leuven").await;
        let answer = Arc::new(Mutex::new(SOUND[0]));
        let address = service(answer.clone()).to_string();
        cluster.list("service-1", "league", "leuven", &address, None).await;
        cluster.apply_small();
        cluster.wait_led(SMALL_SHARD, "").await;
        let http = HttpClient::new().expect("a client");
        let url = format!(
            "http://{}/services/league/transfers",
            cluster.address("entry-1")
        );
        let call = async || {
            let call = Call::new(Method::POST, url.clone()).body("ten");
            let answer = http.call(call, CALL_TIMEOUT).await;
            let answer = answer.expect("an answer");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            (answer.status, body)
        };
        for sound in SOUND {
            *answer.lock().unwrap_or_else(PoisonError::into_inner) = sound;
            assert_eq!(call().await, (StatusCode::OK, BODY.to_owned()));
        }
        for broken in BROKEN {
            *answer.lock().unwrap_or_else(PoisonError::into_inner) = broken;
            let (status, body) = call().await;
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{broken:?}: {body}");
            assert!(body.contains("unknown"), "{broken:?}: {body}");
        }
    });
}
