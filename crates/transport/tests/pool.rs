//! Tests of the pool of connections to endpoints.

use std::time::Duration;

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
};
use http::Request;
use sedgewall_transport::EndpointPool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

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
