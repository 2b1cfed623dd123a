//! What the stand-ins' HTTP servers share.

use std::{
    cell::RefCell, future::Future, net::SocketAddr, rc::Rc, time::Duration,
};

use compio::net::TcpListener;
use futures_channel::oneshot;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sedgewall_transport::{LocalBody, ServerLimits, serve, server::read_body};
use serde::{Serialize, de::DeserializeOwned};

/// The largest body that a stand-in reads, in bytes.
pub const MAX_BODY: usize = 8 << 20;

/// The longest time that a stand-in waits for a body.
pub const BODY_TIME: Duration = Duration::from_secs(30);

const LIMITS: ServerLimits = ServerLimits {
    connections: 65_536,
    header_timeout: Duration::from_secs(30),
    slow_clients: None,
};

/// Serves requests at an address with an async function, for ever.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn run<S, F, A>(
    listen: SocketAddr,
    state: Rc<S>,
    answer: F,
) -> std::io::Result<()>
where
    S: 'static,
    F: Fn(Rc<S>, Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<LocalBody>> + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let handler = Rc::new(move |request| {
        let answer = answer(state.clone(), request);
        Box::pin(answer) as sedgewall_transport::server::ResponseFuture
    });
    serve(listener, LIMITS, handler).await;
    Ok(())
}

/// Returns an answer with a JSON body.
pub fn json<T: Serialize>(
    status: StatusCode,
    value: &T,
) -> Response<LocalBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(LocalBody::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns an answer without a body.
pub fn empty(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(LocalBody::empty());
    *response.status_mut() = status;
    response
}

/// Returns an answer that breaks off, as when a process dies.
pub fn broken() -> Response<LocalBody> {
    let err = std::io::Error::other("lost answer");
    let stream = futures_util::stream::once(async move { Err(err) });
    Response::new(LocalBody::chunks(stream))
}

/// Reads a JSON body.
///
/// # Errors
///
/// With the answer to give.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> Result<T, Box<Response<LocalBody>>> {
    let bytes = read_body(body, MAX_BODY, BODY_TIME)
        .await
        .map_err(|_| Box::new(empty(StatusCode::BAD_REQUEST)))?;
    serde_json::from_slice(&bytes).map_err(|err| {
        Box::new(json(StatusCode::BAD_REQUEST, &err.to_string()))
    })
}

/// Returns the value of a parameter of the query.
pub fn query<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

/// Wakes everybody who waits for a change.
#[derive(Debug, Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    /// Wakes all who wait now.
    pub fn notify(&self) {
        for tx in self.waiting.take() {
            let _ = tx.send(());
        }
    }

    /// Waits for the next change, or for the time.
    pub async fn wait(&self, within: Duration) {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push(tx);
        let _ = compio::time::timeout(within, rx).await;
    }
}
