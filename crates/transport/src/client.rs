//! The HTTP client, with errors that say whether a call can have taken effect.

use std::time::Duration;

use bytes::Bytes;
use cyper::Response;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, Method, StatusCode};

/// Error of an HTTP call.
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
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the call certainly had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent(_))
    }
}

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The whole URL.
    pub url: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Returns a call without headers and body.
    pub fn new(method: Method, url: impl Into<String>) -> Call {
        Call {
            method,
            url: url.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header; a value that HTTP forbids is left out.
    pub fn header(mut self, name: &'static str, value: &str) -> Call {
        if let Ok(value) = value.parse() {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Call {
        self.body = body.into();
        self
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An answer whose body is still to come. Dropping it closes the connection.
pub struct StreamingResponse {
    response: Response,
}

impl StreamingResponse {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Returns the body's chunks.
    pub fn chunks(self) -> impl Stream<Item = Result<Bytes, CallError>> {
        self.response
            .bytes_stream()
            .map(|item| item.map_err(|err| CallError::Broken(err.to_string())))
    }

    /// Waits for the whole body.
    ///
    /// # Errors
    ///
    /// When the connection fails before the body's end.
    pub async fn collect(self) -> Result<BufferedResponse, CallError> {
        let status = self.response.status();
        let headers = self.response.headers().clone();
        let body = self
            .response
            .bytes()
            .await
            .map_err(|err| CallError::Broken(err.to_string()))?;
        Ok(BufferedResponse { status, headers, body })
    }
}

/// A client with a pool of connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: cyper::Client,
}

impl HttpClient {
    /// Returns a client that follows no redirects and uses no proxy.
    ///
    /// # Errors
    ///
    /// When the HTTP library cannot be set up.
    pub fn new() -> Result<HttpClient, CallError> {
        let inner = cyper::Client::builder()
            .no_proxy()
            .redirect(cyper::redirect::Policy::none())
            .referer(false)
            .build()
            .map_err(|err| CallError::NotSent(err.to_string()))?;
        Ok(HttpClient { inner })
    }

    /// Sends a call and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] only if no byte can have reached the other side.
    pub async fn open(
        &self,
        call: Call,
        within: Duration,
    ) -> Result<StreamingResponse, CallError> {
        let sent = self
            .inner
            .request(call.method, &call.url)
            .map_err(|err| CallError::NotSent(err.to_string()))?
            .headers(call.headers)
            .body(call.body)
            .send();
        match compio::time::timeout(within, sent).await {
            Ok(Ok(response)) => Ok(StreamingResponse { response }),
            Ok(Err(err)) => Err(convert(err)),
            Err(_) => Err(CallError::TimedOut(within)),
        }
    }

    /// Sends a call and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::open`], and when the body breaks off.
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

fn convert(err: cyper::Error) -> CallError {
    match &err {
        cyper::Error::HyperClient(inner) if inner.is_connect() => {
            CallError::NotSent(err.to_string())
        }
        _ => CallError::Broken(err.to_string()),
    }
}
