//! The client of the platform's object API and instance list.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use sedgewall_coordination::{
    lease::{ObjectVersion, WriteAnswer},
    membership::InstanceList,
};
use sedgewall_protocol::platform::{
    INSTANCES_PATH, LIST_PATH, OBJECTS_PATH, ObjectList,
};

use crate::client::{BufferedResponse, Call, CallError, HttpClient};

/// Error of a call to the platform.
///
/// `Unreachable` holds every failure of the HTTP call, including failures
/// after the request was sent, such as a time-out or a connection that broke.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum PlatformError {
    /// the platform cannot be reached: {0}
    Unreachable(CallError),
    /// the platform answered {0}
    Status(u16),
    /// the platform's answer cannot be read: {0}
    Unreadable(String),
}

impl std::error::Error for PlatformError {}

/// An object of the platform's object API, with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// The content of the object.
    pub value: Vec<u8>,
    /// The version that the platform gave this content.
    pub version: ObjectVersion,
}

/// The outcome of a watch (a long poll).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchOutcome<T> {
    /// The watched document is newer than the known version; its content.
    Changed(T),
    /// Nothing changed within the wait time.
    Unchanged,
}

/// The timeout of a call that is not a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that is added to a watch's wait time to form its timeout.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// A client of the platform's HTTP interface.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    url: String,
}

impl PlatformClient {
    /// Returns a client of the platform at `url`.
    pub fn new(http: HttpClient, url: &str) -> PlatformClient {
        PlatformClient { http, url: url.trim_end_matches('/').to_owned() }
    }

    /// Reads an object. Returns `None` if the object does not exist.
    ///
    /// # Errors
    ///
    /// If the call fails, the platform responds with an unexpected status, or
    /// the response has no entity tag that states the object's version.
    pub async fn get(
        &self,
        key: &str,
    ) -> Result<Option<StoredObject>, PlatformError> {
        let call = Call::new(Method::GET, self.object_url(key));
        let answer = self.send(call, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(decode_object(&answer)?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Waits at most `wait` until an object is newer than the `known` version.
    ///
    /// An object that does not exist is reported as unchanged.
    ///
    /// # Errors
    ///
    /// If the call fails, the platform responds with an unexpected status, or
    /// the response has no entity tag that states the object's version.
    pub async fn watch(
        &self,
        key: &str,
        known: Option<ObjectVersion>,
        wait: Duration,
    ) -> Result<WatchOutcome<StoredObject>, PlatformError> {
        let call = Call::new(Method::GET, self.object_url(key))
            .header("prefer", &format!("wait={}", wait.as_secs()))
            .header("if-none-match", &etag(known.unwrap_or(0)));
        let answer = self.send(call, wait + WATCH_GRACE).await?;
        match answer.status {
            StatusCode::OK => {
                Ok(WatchOutcome::Changed(decode_object(&answer)?))
            }
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => {
                Ok(WatchOutcome::Unchanged)
            }
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Writes an object if its version is still `expected`, or, if `expected`
    /// is `None`, if the object does not exist.
    ///
    /// Returns [`WriteAnswer::Unclear`] if the response was lost or does not
    /// say whether the object was written.
    pub async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<ObjectVersion>,
    ) -> WriteAnswer {
        let call = Call::new(Method::PUT, self.object_url(key)).body(value);
        let call = match expected {
            Some(version) => call.header("if-match", &etag(version)),
            None => call.header("if-none-match", "*"),
        };
        let Ok(answer) = self.send(call, CALL_TIMEOUT).await else {
            return WriteAnswer::Unclear;
        };
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => {
                etag_version(&answer.headers)
                    .map_or(WriteAnswer::Unclear, WriteAnswer::Done)
            }
            StatusCode::PRECONDITION_FAILED => WriteAnswer::Conflict,
            _ => WriteAnswer::Unclear,
        }
    }

    /// Deletes an object unconditionally. Deleting an object that does not
    /// exist succeeds.
    ///
    /// # Errors
    ///
    /// If the call fails, or the platform responds with an unexpected status.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let call = Call::new(Method::DELETE, self.object_url(key));
        let answer = self.send(call, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Returns the page of the objects under `prefix` that begins at key
    /// `from`.
    ///
    /// # Errors
    ///
    /// If the call fails, the platform responds with an unexpected status, or
    /// its response cannot be decoded.
    pub async fn list(
        &self,
        prefix: &str,
        from: &str,
    ) -> Result<ObjectList, PlatformError> {
        let url =
            format!("{}{LIST_PATH}?prefix={prefix}&from={from}", self.url);
        let answer =
            self.send(Call::new(Method::GET, url), CALL_TIMEOUT).await?;
        decode_ok(&answer)
    }

    /// Waits at most `wait` until an object under `prefix` is newer than
    /// `revision`, and returns the first page of the list.
    ///
    /// # Errors
    ///
    /// If the call fails, the platform responds with an unexpected status, or
    /// its response cannot be decoded.
    pub async fn watch_list(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome<ObjectList>, PlatformError> {
        let url = format!("{}{LIST_PATH}?prefix={prefix}", self.url);
        self.watch_document(url, revision, wait).await
    }

    /// Waits at most `wait` until the instance list is newer than `revision`.
    ///
    /// # Errors
    ///
    /// If the call fails, the platform responds with an unexpected status, or
    /// its response cannot be decoded.
    pub async fn watch_instances(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome<InstanceList>, PlatformError> {
        let url = format!("{}{INSTANCES_PATH}", self.url);
        self.watch_document(url, revision, wait).await
    }

    async fn watch_document<T: serde::de::DeserializeOwned>(
        &self,
        url: String,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome<T>, PlatformError> {
        let call = Call::new(Method::GET, url)
            .header("prefer", &format!("wait={}", wait.as_secs()))
            .header("if-none-match", &etag(revision));
        let answer = self.send(call, wait + WATCH_GRACE).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(WatchOutcome::Unchanged);
        }
        decode_ok(&answer).map(WatchOutcome::Changed)
    }

    async fn send(
        &self,
        call: Call,
        within: Duration,
    ) -> Result<BufferedResponse, PlatformError> {
        self.http.call(call, within).await.map_err(PlatformError::Unreachable)
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}{OBJECTS_PATH}{key}", self.url)
    }
}

fn decode_object(
    answer: &BufferedResponse,
) -> Result<StoredObject, PlatformError> {
    let version = etag_version(&answer.headers).ok_or_else(|| {
        PlatformError::Unreadable("no entity tag".to_owned())
    })?;
    Ok(StoredObject { value: answer.body.to_vec(), version })
}

fn decode_ok<T: serde::de::DeserializeOwned>(
    answer: &BufferedResponse,
) -> Result<T, PlatformError> {
    if answer.status != StatusCode::OK {
        return Err(PlatformError::Status(answer.status.as_u16()));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|err| PlatformError::Unreadable(err.to_string()))
}

fn etag(version: ObjectVersion) -> String {
    format!("\"{version}\"")
}

fn etag_version(headers: &HeaderMap) -> Option<ObjectVersion> {
    let text = headers.get(http::header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}
