//! Broken answers, as every reader of answers gets them: through the pool and
//! through the HTTP client that uses it.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request};
use sedgewall_transport::{
    CallError, EndpointPool, HttpClient, PooledResponse, SendError,
    client::Call,
};
use socket2::SockRef;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The length of a request body that is still being written when its answer
/// comes.
const LONG_BODY_LEN: usize = 16 << 20;

/// An answer whose body ends with its connection.
const UNTIL_CLOSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nwhole";

/// How long an endpoint keeps a connection open whose sending side it has shut
/// down.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// How often an endpoint closes a connection during an upload.
const CLOSES: usize = 20;

/// How often an endpoint resets a connection, and the times after its answer,
/// in steps.
const RESETS: u32 = 300;
const RESET_STEP: Duration = Duration::from_micros(25);
const RESET_STEPS: u32 = 30;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test)
}

/// Starts an endpoint that handles one connection once a request has begun to
/// arrive on it.
fn endpoint(
    handle: impl FnOnce(TcpStream) + Send + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let endpoint = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        handle(stream);
    });
    (address, endpoint)
}

async fn upload(
    pool: &EndpointPool,
    address: SocketAddr,
) -> Result<PooledResponse, SendError> {
    let request = Request::builder()
        .method("POST")
        .uri("/")
        .header("host", address.to_string())
        .body(Bytes::from(vec![b'x'; LONG_BODY_LEN]).into())
        .expect("a request");
    pool.send(address, request, CONNECT_TIMEOUT).await
}

/// Guards against a body that counts as whole because a write of the request
/// took the report of the reset. Which call takes it depends on the time of the
/// reset.
#[test]
fn a_body_that_is_reset_during_an_upload_is_not_whole() {
    for n in 0..RESETS {
        let delay = RESET_STEP * (n % RESET_STEPS);
        let (address, endpoint) = endpoint(move |mut stream| {
            stream.write_all(UNTIL_CLOSE).expect("a client");
            thread::sleep(delay);
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream).set_linger(linger).expect("an option");
        });
        let body = run(async {
            let answer = upload(&EndpointPool::new(), address).await?;
            answer.collect().await
        });
        assert!(body.is_err(), "after {delay:?}: {body:?}");
        endpoint.join().expect("an endpoint");
    }
}

/// An endpoint that has closed its side has sent a whole body, also if it then
/// resets the connection because it does not read the rest of the request.
#[test]
fn a_body_that_ends_during_an_upload_is_whole() {
    for is_reset in [false, true] {
        for _ in 0..CLOSES {
            let (address, endpoint) = endpoint(move |mut stream| {
                stream.write_all(UNTIL_CLOSE).expect("a client");
                stream.shutdown(Shutdown::Write).expect("a client");
                thread::sleep(CLOSE_DELAY);
                if !is_reset {
                    let _ = stream.read_to_end(&mut Vec::new());
                }
            });
            let body = run(async {
                let pool = EndpointPool::new();
                let answer = upload(&pool, address).await?;
                // The reset has come before the body is read.
                thread::sleep(2 * CLOSE_DELAY);
                answer.collect().await
            });
            assert_eq!(body.expect("a body"), "whole");
            endpoint.join().expect("an endpoint");
        }
    }
}

/// Calls an endpoint that answers with these bytes and then closes its side.
async fn call(
    method: Method,
    answer: &[u8],
) -> Result<(u16, Bytes), CallError> {
    let answer = answer.to_vec();
    let (address, _) = endpoint(move |mut stream| {
        let _ = stream.write_all(&answer);
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let http = HttpClient::new()?;
    let call = Call::new(method, format!("http://{address}/"));
    let answer = http.call(call, CONNECT_TIMEOUT).await?;
    Ok((answer.status.as_u16(), answer.body))
}

/// Asserts that the client takes none of these answers for one, whatever the
/// request was.
fn assert_unreadable(status: &str, fields: &[&[u8]]) {
    run(async {
        for fields in fields {
            for method in [Method::GET, Method::HEAD] {
                let answer = [
                    b"HTTP/1.1 ",
                    status.as_bytes(),
                    b"\r\n",
                    fields,
                    b"\r\n5\r\nwhole\r\n0\r\n\r\n",
                ];
                let answer = answer.concat();
                let called = call(method.clone(), &answer).await;
                let text = answer.escape_ascii();
                let is_not_sent =
                    called.as_ref().is_err_and(CallError::is_not_sent);
                assert!(called.is_err(), "{method} {text}: {called:?}");
                assert!(!is_not_sent, "{method} {text}: {called:?}");
            }
        }
    });
}

/// Fields that do not state exactly one framing.
const NO_FRAMINGS: [&[u8]; 16] = [
    b"content-length: ten\r\n",
    b"content-length: +5\r\n",
    b"content-length:\r\n",
    b"content-length: 5, 5\r\n",
    b"content-length: 5\r\ncontent-length: 5\r\n",
    b"content-length: \xff5\r\n",
    b"transfer-encoding: chunke\r\n",
    b"transfer-encoding: ch\xfcnked\r\n",
    b"transfer-encoding: chunked;q=1\r\n",
    b"transfer-encoding:\r\n",
    b"transfer-encoding: identity\r\n",
    b"transfer-encoding: gzip, chunked\r\n",
    b"transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
    b"transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
    b"transfer-encoding: chunked\r\ncontent-length: 3\r\n",
    b"content-length: 3\r\ntransfer-encoding: chunked\r\n",
];

/// Guards against framings that are taken for the end of the connection, and
/// against those of responses that have no body.
#[test]
fn a_head_without_one_framing_is_not_read() {
    for status in ["200 OK", "404 Not Found", "204 No Content", "304 Old"] {
        assert_unreadable(status, &NO_FRAMINGS);
    }
}

/// Lines that are no field, or whose name has a blank or a control byte.
const NO_FIELDS: [&[u8]; 12] = [
    b"content-length 5\r\n",
    b"content-length\r\n",
    b": 5\r\n",
    b" content-length: 5\r\n",
    b"content-length : 5\r\n",
    b"content length: 5\r\n",
    b"content\tlength: 5\r\n",
    b"content\x01length: 5\r\n",
    b"content\0length: 5\r\n",
    b"content-length\x7f: 5\r\n",
    b"content\rlength: 5\r\n",
    b"content-l\xe9ngth: 5\r\n",
];

#[test]
fn a_head_with_a_line_that_is_no_field_is_not_read() {
    assert_unreadable("200 OK", &NO_FIELDS);
    assert_unreadable("204 No Content", &NO_FIELDS);
}

/// Guards against callers that get a status which ends no request.
#[test]
fn a_status_that_ends_no_request_is_not_read() {
    let upgrade: &[u8] = b"connection: upgrade\r\nupgrade: x\r\n";
    for status in [
        "000 OK", "099 OK", "101 Up", "600 OK", "999 OK", "20 OK", "2000 OK",
        "2x0 OK", "-20 OK",
    ] {
        assert_unreadable(status, &[b"content-length: 5\r\n", upgrade]);
    }
}
