//! Tests of the pool of connections to endpoints.

use std::{
    io::{Read, Write},
    time::Duration,
};

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
};
use http::Request;
use sedgewall_transport::EndpointPool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the event loop does not run. The endpoint closes its connection
/// meanwhile.
const LOOP_STALL: Duration = Duration::from_millis(200);

/// Guards against a panic, which ends the request, when an endpoint states a
/// timeout beyond the range of the clock.
#[test]
fn a_keep_alive_timeout_may_have_any_length() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a client");
            let _ = stream.read(Vec::with_capacity(1_024)).await;
            let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\
                            Keep-Alive: timeout=18446744073709551615\r\n\r\n\
                            ok";
            let _ = stream.write_all(response).await;
            std::future::pending::<()>().await;
        })
        .detach();
        let request = Request::builder()
            .uri("/")
            .header("host", address.to_string())
            .body(Bytes::new().into())
            .expect("a request");
        let pool = EndpointPool::new();
        let answer = pool.send(address, request, CONNECT_TIMEOUT).await;
        let body = answer.expect("a response").collect().await;
        assert_eq!(body.expect("a body"), "ok");
    });
}

/// Guards against requests that are lost because they are sent on a connection
/// which the endpoint closed while the event loop was late.
#[test]
fn a_connection_that_was_closed_unnoticed_is_not_used_again() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0");
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let endpoint = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("a client");
            let _ = stream.read(&mut [0; 1_024]).expect("a request");
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(response).expect("a client");
            std::thread::sleep(LOOP_STALL / 2);
        }
    });
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let pool = EndpointPool::new();
        for _ in 0..2 {
            let request = Request::builder()
                .uri("/")
                .header("host", address.to_string())
                .body(Bytes::new().into())
                .expect("a request");
            let answer = pool.send(address, request, CONNECT_TIMEOUT).await;
            let body = answer.expect("a response").collect().await;
            assert_eq!(body.expect("a body"), "ok");
            std::thread::sleep(LOOP_STALL);
        }
    });
    endpoint.join().expect("an endpoint");
}
