//! The interface for callers: model names, request headers and the part of a
//! completion's body that sedgewall parses.
//!
//! Standard headers are used where they exist: `Priority` (RFC 9218),
//! `Idempotency-Key` (IETF draft), `Prefer: wait` (RFC 7240), `Retry-After`
//! (RFC 9110). The body is forwarded to the engine unchanged.

use std::{str::FromStr, time::Duration};

use http::HeaderMap;
use sedgewall_state::{AdapterName, AdapterVersion, CallerId, Priority};
use serde::{Deserialize, Serialize};

/// The header with the request's id, in responses and in requests to
/// endpoints.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header that names the caller; the body's `user` field is the
/// alternative.
pub const CALLER_HEADER: &str = "sedgewall-caller";

/// The header with the caller's deadline, in milliseconds from the receipt of
/// the request.
pub const DEADLINE_HEADER: &str = "sedgewall-deadline-ms";

/// The header that says whether a request may run more than once: `?1` or
/// `?0`, a structured boolean (RFC 9651).
pub const REPEATABLE_HEADER: &str = "sedgewall-repeatable";

/// The header with the key that identifies retries of the same request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The header with the urgency of a request (RFC 9218).
pub const PRIORITY_HEADER: &str = "priority";

/// The maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_LEN: usize = 255;

/// The caller's name for requests that name no caller.
pub const ANONYMOUS: &str = "anonymous";

const PREFER_HEADER: &str = "prefer";

/// A reference to an adapter version, written as `adapter@version` in the
/// `model` field.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelRef {
    /// The name of the adapter.
    pub adapter: AdapterName,
    /// The version of the adapter.
    pub version: AdapterVersion,
}

/// An error in a caller's request.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum CallerError {
    /// the field "model" must be "adapter@version", not {0:?}
    Model(String),
    /// the body is not a completion request: {0}
    Body(String),
    /// the header {name} has the value {value:?}; {expected} is expected
    Header {
        /// The name of the header.
        name: &'static str,
        /// The invalid value.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
}

impl std::error::Error for CallerError {}

impl FromStr for ModelRef {
    type Err = CallerError;

    fn from_str(text: &str) -> Result<ModelRef, CallerError> {
        let err = || CallerError::Model(text.to_owned());
        let (adapter, version) = text.split_once('@').ok_or_else(err)?;
        if adapter.is_empty() || version.is_empty() {
            return Err(err());
        }
        Ok(ModelRef {
            adapter: adapter.to_owned(),
            version: version.to_owned(),
        })
    }
}

impl std::fmt::Display for ModelRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// The part of a completion request's body that sedgewall parses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CompletionHead {
    /// The adapter and version, as `adapter@version`.
    pub model: String,
    /// Whether the caller asks for a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The caller's name, used if no header names the caller.
    #[serde(default)]
    pub user: Option<String>,
}

impl CompletionHead {
    /// Parses the body of a completion request.
    ///
    /// # Errors
    ///
    /// When the body is not JSON or lacks `model`.
    pub fn from_body(body: &[u8]) -> Result<CompletionHead, CallerError> {
        serde_json::from_slice(body)
            .map_err(|err| CallerError::Body(err.to_string()))
    }
}

/// The options that a caller sets in the headers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallOptions {
    /// The caller's name, if a header gives it.
    pub caller: Option<CallerId>,
    /// The priority class, if a header gives an urgency.
    pub priority: Option<Priority>,
    /// The deadline, as a duration from the receipt of the request, if a
    /// header gives one.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once, if a header says so.
    pub is_repeatable: Option<bool>,
    /// The idempotency key, without quotation marks, if a header gives one.
    pub idempotency_key: Option<String>,
}

impl CallOptions {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// When one of these headers has an invalid value.
    pub fn from_headers(
        headers: &HeaderMap,
    ) -> Result<CallOptions, CallerError> {
        Ok(CallOptions {
            caller: header_str(headers, CALLER_HEADER).map(str::to_owned),
            priority: urgency(headers)?.map(Priority::from_urgency),
            deadline: deadline(headers)?,
            is_repeatable: repeatable(headers)?,
            idempotency_key: idempotency_key(headers)?,
        })
    }
}

/// One adapter version in the response to `GET /v1/models`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelEntry {
    /// The adapter and version, as `adapter@version`.
    pub id: String,
    /// The constant `model`.
    pub object: String,
    /// The name of the base model.
    pub owned_by: String,
}

/// The response to `GET /v1/models`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelList {
    /// The constant `list`.
    pub object: String,
    /// All adapter versions of the configuration in force.
    pub data: Vec<ModelEntry>,
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn urgency(headers: &HeaderMap) -> Result<Option<u8>, CallerError> {
    let Some(value) = header_str(headers, PRIORITY_HEADER) else {
        return Ok(None);
    };
    let param = value
        .split(',')
        .map(str::trim)
        .find_map(|item| item.strip_prefix("u="));
    let Some(urgency) = param else { return Ok(None) };
    match urgency.parse::<u8>() {
        Ok(urgency) if urgency <= 7 => Ok(Some(urgency)),
        _ => Err(header_error(PRIORITY_HEADER, value, "u=0 to u=7")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    if let Some(value) = header_str(headers, DEADLINE_HEADER) {
        let parsed = value.trim().parse::<u64>();
        return parsed.map(|ms| Some(Duration::from_millis(ms))).map_err(
            |_| header_error(DEADLINE_HEADER, value, "milliseconds"),
        );
    }
    let Some(value) = header_str(headers, PREFER_HEADER) else {
        return Ok(None);
    };
    let wait = value
        .split(',')
        .map(str::trim)
        .find_map(|item| item.strip_prefix("wait="));
    let Some(wait) = wait else { return Ok(None) };
    wait.parse::<u64>()
        .map(|secs| Some(Duration::from_secs(secs)))
        .map_err(|_| header_error(PREFER_HEADER, value, "wait=SECONDS"))
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, CallerError> {
    match header_str(headers, REPEATABLE_HEADER) {
        None => Ok(None),
        Some("?1") => Ok(Some(true)),
        Some("?0") => Ok(Some(false)),
        Some(value) => Err(header_error(REPEATABLE_HEADER, value, "?0 or ?1")),
    }
}

fn idempotency_key(
    headers: &HeaderMap,
) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or("").trim_matches('"');
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_LEN {
        let shown = String::from_utf8_lossy(value.as_bytes());
        let expected = "1 to 255 visible ASCII characters";
        return Err(header_error(IDEMPOTENCY_HEADER, &shown, expected));
    }
    Ok(Some(key.to_owned()))
}

fn header_error(
    name: &'static str,
    value: &str,
    expected: &'static str,
) -> CallerError {
    CallerError::Header { name, value: value.to_owned(), expected }
}
