//! The HTTP server that callers, operators and metrics readers meet.
//!
//! It bounds connections and the time for headers; the handler bounds the
//! rest. When a reader goes away, hyper drops the handler's future or the
//! body's stream, and their destructors cancel what they stood for.

use std::{
    cell::Cell,
    convert::Infallible,
    future::Future,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared, select};
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use log::{debug, warn};

use crate::{body::LocalBody, pool::set_socket_options};

/// The answer that a handler is working on.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<LocalBody>>>>;

/// What answers requests.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> ResponseFuture>;

/// What bounds a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections at once; one more is closed.
    pub connections: usize,
    /// The longest time for a request's headers.
    pub header_timeout: Duration,
}

/// Error of reading a request's body.
#[derive(Debug, displaydoc::Display)]
pub enum BodyError {
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the body did not come within {0:?}
    TooSlow(Duration),
    /// the body broke off: {0}
    Broken(String),
}

impl std::error::Error for BodyError {}

/// How long to wait after an accept failed, for lack of descriptors mostly.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tells a server to stop.
pub type Stop = Shared<oneshot::Receiver<()>>;

/// Returns what tells a server to stop, and what it listens to. Dropping the
/// sender stops the server too.
pub fn stop_signal() -> (oneshot::Sender<()>, Stop) {
    let (tx, rx) = oneshot::channel();
    (tx, rx.shared())
}

/// Accepts connections for ever.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
) {
    let (_running, stop) = stop_signal();
    serve_until(listener, limits, handler, stop).await;
}

/// Accepts connections until it is told to stop. Then it accepts no more, and
/// each connection is closed as soon as its request has been answered; a
/// request that was read is never left without its answer.
pub async fn serve_until(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    stop: Stop,
) {
    let open = Rc::new(Cell::new(0usize));
    let mut stopped = stop.clone();
    loop {
        let mut accept = Box::pin(listener.accept()).fuse();
        let accepted = select! {
            accepted = accept => accepted,
            // Dropping the listener turns away who still comes, instead of
            // taking requests that cannot be finished.
            _ = stopped => return,
        };
        drop(accept);
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("http: accept failed: {err}.");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            debug!("http: too many connections, one closed.");
            continue;
        }
        open.set(open.get() + 1);
        let guard = ConnectionGuard(open.clone());
        let handler = handler.clone();
        let stop = stop.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, limits, handler, stop).await;
            drop(guard);
        })
        .detach();
    }
}

async fn serve_connection(
    stream: TcpStream,
    limits: ServerLimits,
    handler: Handler,
    mut stop: Stop,
) {
    // Tokens are small and must not wait for each other, and a caller that
    // lost power says nothing.
    set_socket_options(&stream);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = pin!(
        http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(limits.header_timeout)
            .serve_connection(HyperStream::new_plain(stream), service)
    );
    let ended = select! {
        served = (&mut connection).fuse() => Some(served),
        _ = stop => None,
    };
    let served = match ended {
        Some(served) => served,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = served {
        debug!("http: a connection ended: {err}.");
    }
}

/// Counts a connection out when it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads a whole body of at most `max_len` bytes.
///
/// # Errors
///
/// When it is longer, takes longer than `within`, or the sender goes away.
pub async fn read_body(
    body: Incoming,
    max_len: usize,
    within: Duration,
) -> Result<Bytes, BodyError> {
    let collected = Limited::new(body, max_len).collect();
    let Ok(collected) = compio::time::timeout(within, collected).await else {
        return Err(BodyError::TooSlow(within));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => {
            Err(BodyError::TooLong(max_len))
        }
        Err(err) => Err(BodyError::Broken(err.to_string())),
    }
}
