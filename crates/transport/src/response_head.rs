//! Checks of a response's head that the parser leaves out.
//!
//! The parser takes what it does not know in a head for a body that ends with
//! its connection, the one framing that any end completes. The invariant: the
//! head of a response states exactly one framing, and a status that can end a
//! request.

use std::ops::RangeInclusive;

use http::{HeaderMap, header, response};

/// The statuses of responses that end a request (RFC 9110, section 15). The
/// parser skips interim ones, but for 101, which no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How the end of a response's body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By a length that is known before the body, such as `Content-Length`.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, so that a body which was cut off by an
    /// orderly close looks complete.
    UntilClose,
}

impl BodyFraming {
    /// Returns how the body of a response with this head ends, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the cause if the head is malformed.
    pub(crate) fn of(head: &response::Parts) -> Result<BodyFraming, String> {
        let status = head.status;
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(format!("status {}", status.as_u16()));
        }
        let headers = &head.headers;
        let has_length = headers.contains_key(header::CONTENT_LENGTH);
        let has_coding = headers.contains_key(header::TRANSFER_ENCODING);
        match (has_coding, has_length) {
            (true, true) => Err("both a length and a coding".to_owned()),
            (true, false) => check_coding(headers),
            (false, true) => check_length(headers),
            (false, false) => Ok(BodyFraming::UntilClose),
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::UntilClose => "until_close",
        }
    }
}

/// No request asks for another coding, so that a body in one cannot be passed
/// on.
fn check_coding(headers: &HeaderMap) -> Result<BodyFraming, String> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let coding = codings.next().map_or(&b""[..], |value| value.as_bytes());
    match codings.next() {
        None if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(BodyFraming::Chunked)
        }
        None => Err(format!("transfer coding \"{}\"", coding.escape_ascii())),
        Some(_) => Err("several transfer codings".to_owned()),
    }
}

fn check_length(headers: &HeaderMap) -> Result<BodyFraming, String> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next().map_or(&b""[..], |value| value.as_bytes());
    let is_number =
        !length.is_empty() && length.iter().all(u8::is_ascii_digit);
    match lengths.next() {
        None if is_number => Ok(BodyFraming::Length),
        None => Err(format!("length \"{}\"", length.escape_ascii())),
        Some(_) => Err("several lengths".to_owned()),
    }
}
