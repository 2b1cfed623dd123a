//! An HTTP client whose errors say whether a call can have taken effect.
//!
//! It adds URLs and host names to the pool of connections.

use std::{
    cell::Cell, fmt, net::SocketAddr, pin::pin, rc::Rc, time::Duration,
};

use bytes::Bytes;
use compio::net::ToSocketAddrsAsync;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use sedgewall_clock::Instant;
use url::{Position, Url};

use crate::{
    body::Collected,
    pool::{EndpointPool, MAX_COLLECTED_LEN, PooledResponse, SendError},
};

/// The interval at which connections that cannot be used again are closed.
const CLOSE_INTERVAL: Duration = Duration::from_secs(20);

/// Error of an HTTP call.
///
/// `NotSent` means that the request was certainly not sent: no connection
/// could be made, the URL is invalid, or the client could not be set up. After
/// any other error the call may have taken effect.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum CallError {
    /// cannot connect: {0}
    NotSent(String),
    /// no answer within {0:?}
    TimedOut(Duration),
    /// the connection failed: {0}
    Broken(String),
    /// the answer cannot be read: {0}
    Unreadable(String),
    /// the answer is longer than {0} bytes
    TooLong(usize),
    /// the answer exceeds a limit: {0}
    Endless(String),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the request was certainly not sent, so that the call
    /// had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent(_))
    }
}

/// An HTTP request that has not been sent yet.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The absolute URL.
    pub url: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The request body; empty for none.
    pub body: Bytes,
    /// The maximum length of a response that is read into memory, in bytes.
    pub max_response_len: usize,
}

impl Call {
    /// Returns a call without headers and with an empty body, whose response
    /// may have [`MAX_COLLECTED_LEN`] bytes.
    pub fn new(method: Method, url: impl Into<String>) -> Call {
        Call {
            method,
            url: url.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            max_response_len: MAX_COLLECTED_LEN,
        }
    }

    /// Sets a header. A value that is not a valid HTTP header value is
    /// ignored.
    pub fn header(mut self, name: &'static str, value: &str) -> Call {
        if let Ok(value) = value.parse() {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the request body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Call {
        self.body = body.into();
        self
    }

    /// Sets the maximum length of a response that is read into memory.
    pub fn max_response_len(mut self, max_response_len: usize) -> Call {
        self.max_response_len = max_response_len;
        self
    }
}

/// An HTTP response whose body has been read into memory.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete response body.
    pub body: Bytes,
}

/// An HTTP response whose body has not been read yet. Dropping it closes the
/// connection.
pub struct StreamingResponse {
    response: PooledResponse,
    max_len: usize,
}

impl StreamingResponse {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.response.status
    }

    /// Returns the response headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.response.headers
    }

    /// Returns the chunks of the body as they arrive.
    pub fn chunks(self) -> impl Stream<Item = Result<Bytes, CallError>> {
        stream::unfold(self.response.body, |mut body| async move {
            let chunk = body.next().await?;
            Some((chunk.map_err(CallError::from), body))
        })
    }

    /// Reads a body that is no longer than the call allows to its end.
    ///
    /// # Errors
    ///
    /// As for [`StreamingResponse::collect_up_to`].
    pub async fn collect(self) -> Result<BufferedResponse, CallError> {
        let max_len = self.max_len;
        self.collect_up_to(max_len).await
    }

    /// Reads a body of at most `max_len` bytes to its end.
    ///
    /// # Errors
    ///
    /// If the connection fails before the end of the body, or the body is longer
    /// than `max_len` bytes.
    pub async fn collect_up_to(
        self,
        max_len: usize,
    ) -> Result<BufferedResponse, CallError> {
        let status = self.status();
        let headers = self.headers().clone();
        let mut body = Collected::default();
        let mut chunks = pin!(self.chunks());
        while let Some(chunk) = chunks.next().await {
            body.push(chunk?);
            if body.len() > max_len {
                return Err(CallError::TooLong(max_len));
            }
        }
        Ok(BufferedResponse { status, headers, body: body.into_bytes() })
    }
}

/// An HTTP client with a connection pool, which its clones share.
#[derive(Clone)]
pub struct HttpClient {
    pool: EndpointPool,
    next_close: Rc<Cell<Instant>>,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let opened = self.pool.connections_opened();
        f.debug_struct("HttpClient")
            .field("connections_opened", &opened)
            .finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Returns a client that follows no redirects and uses no proxy.
    ///
    /// # Errors
    ///
    /// Never at present.
    pub fn new() -> Result<HttpClient, CallError> {
        let next_close = Rc::new(Cell::new(Instant::now() + CLOSE_INTERVAL));
        Ok(HttpClient { pool: EndpointPool::new(), next_close })
    }

    /// Sends a call and waits at most `within` for the head of the response.
    ///
    /// # Errors
    ///
    /// If the URL is invalid, no response arrives in time or the connection
    /// fails. The error is [`CallError::NotSent`] only if no byte can have
    /// reached the server.
    pub async fn open(
        &self,
        call: Call,
        within: Duration,
    ) -> Result<StreamingResponse, CallError> {
        self.close_unusable();
        let max_len = call.max_response_len;
        let sent = self.send(call, within);
        match compio::time::timeout(within, sent).await {
            Ok(sent) => Ok(StreamingResponse { response: sent?, max_len }),
            Err(_) => Err(CallError::TimedOut(within)),
        }
    }

    /// Sends a call to the first address of its host that can be connected to.
    async fn send(
        &self,
        call: Call,
        connect_within: Duration,
    ) -> Result<PooledResponse, CallError> {
        let url = parse_url(&call.url)?;
        let request = to_request(call, &url)?;
        let mut failure = format!("{url} has no address");
        for address in resolve(&url).await? {
            let sending =
                self.pool.send(address, request.clone(), connect_within);
            match sending.await {
                Ok(mut response) => {
                    response.apply_connection_header();
                    return Ok(response);
                }
                Err(SendError::NotSent(cause)) => failure = cause,
                Err(err) => return Err(err.into()),
            }
        }
        Err(CallError::NotSent(failure))
    }

    /// Closes idle connections that cannot be used again, also those to
    /// addresses that are never called again.
    fn close_unusable(&self) {
        let now = Instant::now();
        if now >= self.next_close.get() {
            self.next_close.set(now + CLOSE_INTERVAL);
            self.pool.close_unusable();
        }
    }

    /// Sends a call and waits at most `within` for the complete response.
    ///
    /// # Errors
    ///
    /// As for [`HttpClient::open`] and [`StreamingResponse::collect`].
    pub async fn call(
        &self,
        call: Call,
        within: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let whole = async {
            let answer = self.open(call, within).await?;
            answer.collect().await
        };
        match compio::time::timeout(within, whole).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::TimedOut(within)),
        }
    }
}

impl From<SendError> for CallError {
    fn from(err: SendError) -> CallError {
        match err {
            SendError::NotSent(cause) => CallError::NotSent(cause),
            SendError::Broken(cause) => CallError::Broken(cause),
            SendError::Endless(cause) => CallError::Endless(cause),
            SendError::Malformed(cause) => CallError::Unreadable(cause),
        }
    }
}

fn parse_url(text: &str) -> Result<Url, CallError> {
    let invalid =
        |cause: &str| CallError::NotSent(format!("URL {text:?}: {cause}"));
    let url = Url::parse(text).map_err(|err| invalid(&err.to_string()))?;
    match url.scheme() {
        "http" => Ok(url),
        _ => Err(invalid("not http")),
    }
}

/// Returns the addresses of a URL's host.
async fn resolve(
    url: &Url,
) -> Result<impl Iterator<Item = SocketAddr>, CallError> {
    // The host of a parsed URL has brackets around an IPv6 address.
    let host = url.host_str().unwrap_or_default();
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let port = url.port_or_known_default().unwrap_or(80);
    (host, port)
        .to_socket_addrs_async()
        .await
        .map_err(|err| CallError::NotSent(format!("host {host}: {err}")))
}

fn to_request(
    call: Call,
    url: &Url,
) -> Result<Request<Full<Bytes>>, CallError> {
    let not_sent = |err: http::Error| CallError::NotSent(err.to_string());
    let target = &url[Position::BeforePath..Position::AfterQuery];
    let host = &url[Position::BeforeHost..Position::AfterPort];
    let host = HeaderValue::from_str(host);
    let host = host.map_err(|err| not_sent(err.into()))?;
    let mut request = Request::builder()
        .method(call.method)
        .uri(target)
        .body(Full::new(call.body))
        .map_err(not_sent)?;
    *request.headers_mut() = call.headers;
    let headers = request.headers_mut();
    headers.entry(header::HOST).or_insert(host);
    let any = HeaderValue::from_static("*/*");
    headers.entry(header::ACCEPT).or_insert(any);
    Ok(request)
}
