//! Tests of when the server ends the connections of clients.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Request, Response, StatusCode};
use sedgewall_transport::{
    EndpointPool, Handler, LocalBody, Server, ServerLimits, shutdown,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

const LIMITS: ServerLimits = ServerLimits {
    connections: 16,
    header_timeout: Duration::from_secs(60),
    slow_clients: None,
};

/// An idle timeout that ends within a test.
const SHORT_IDLE: Duration = Duration::from_millis(200);

fn handler() -> Handler {
    Rc::new(|_| Box::pin(async { Response::new(LocalBody::full("ok")) }))
}

async fn get(pool: &EndpointPool, address: SocketAddr) -> StatusCode {
    let request = Request::builder()
        .uri("/")
        .header("host", address.to_string())
        .body(Bytes::new().into())
        .expect("a request");
    let sent = pool.send(address, request, CONNECT_TIMEOUT).await;
    let answer = sent.expect("a response");
    let status = answer.status;
    let _ = answer.collect().await.expect("a whole body");
    status
}

/// Guards against connections that are closed after an idle time which the
/// configuration no longer states.
#[test]
fn a_longer_idle_timeout_applies_to_open_connections() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let idle = Rc::new(Cell::new(SHORT_IDLE));
        let current = idle.clone();
        let (_running, watch) = shutdown();
        let server = Server::new(handler(), LIMITS)
            .shutdown(watch)
            .idle_timeout(Rc::new(move || current.get()));
        compio::runtime::spawn(server.run(listener)).detach();
        let pool = EndpointPool::new();
        assert_eq!(get(&pool, address).await, StatusCode::OK);

        idle.set(10 * SHORT_IDLE);
        compio::time::sleep(4 * SHORT_IDLE).await;
        assert_eq!(get(&pool, address).await, StatusCode::OK);
        assert_eq!(pool.connections_opened(), 1);

        idle.set(SHORT_IDLE);
        compio::time::sleep(30 * SHORT_IDLE).await;
        assert_eq!(get(&pool, address).await, StatusCode::OK);
        assert_eq!(pool.connections_opened(), 2);
    });
}
