//! What callers send: the model name, headers and the part of a completion's
//! body that sedgewall reads.
//!
//! Standard headers are used where they exist: `Priority` (RFC 9218),
//! `Idempotency-Key` (IETF draft), `Prefer: wait` (RFC 7240), `Retry-After`
//! (RFC 9110). The body is passed on to the engine as it came.

use std::{str::FromStr, time::Duration};

use http::HeaderMap;
use sedgewall_state::{AdapterName, AdapterVersion, CallerId, Priority};
use serde::{Deserialize, Serialize};

/// Carries the request's id in answers and to endpoints.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Names the caller; the body's `user` field does too.
pub const CALLER_HEADER: &str = "sedgewall-caller";

/// The time that the answer is worth waiting for, in milliseconds.
pub const DEADLINE_HEADER: &str = "sedgewall-deadline-ms";

/// Whether a request may run more than once: `?1` or `?0`, a structured
/// boolean (RFC 9651).
pub const REPEATABLE_HEADER: &str = "sedgewall-repeatable";

/// A key that marks tries of the same request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The urgency of a request.
pub const PRIORITY_HEADER: &str = "priority";

/// The longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_LEN: usize = 255;

/// The caller of a request that names none.
pub const ANONYMOUS: &str = "anonymous";

const PREFER_HEADER: &str = "prefer";

/// The `model` field: an adapter and, after `@`, its version.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelRef {
    /// The adapter.
    pub adapter: AdapterName,
    /// The version.
    pub version: AdapterVersion,
}

/// Error of a request that cannot be understood.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum CallerError {
    /// the field "model" must be "adapter@version", not {0:?}
    Model(String),
    /// the body is not a completion request: {0}
    Body(String),
    /// the header {name} has the value {value:?}; {expected} is expected
    Header {
        /// The header.
        name: &'static str,
        /// What it held.
        value: String,
        /// What it may hold.
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

/// The part of a completion request that sedgewall reads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CompletionHead {
    /// The adapter and version.
    pub model: String,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The caller, if no header names it.
    #[serde(default)]
    pub user: Option<String>,
}

impl CompletionHead {
    /// Reads the head of a completion's body.
    ///
    /// # Errors
    ///
    /// When the body is not JSON or lacks `model`.
    pub fn from_body(body: &[u8]) -> Result<CompletionHead, CallerError> {
        serde_json::from_slice(body)
            .map_err(|err| CallerError::Body(err.to_string()))
    }
}

/// What the headers of a request ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallOptions {
    /// The caller, if a header names it.
    pub caller: Option<CallerId>,
    /// The class, if a header gives an urgency.
    pub priority: Option<Priority>,
    /// How long the answer is worth waiting for.
    pub deadline: Option<Duration>,
    /// Whether it may run more than once, if a header says so.
    pub is_repeatable: Option<bool>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

impl CallOptions {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// When a header that we know holds what it may not.
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

/// One adapter version in the answer of `GET /v1/models`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelEntry {
    /// `adapter@version`.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// The base model.
    pub owned_by: String,
}

/// The answer of `GET /v1/models`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// All adapter versions.
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
