//! Identifies a request across the retries of its caller.
//!
//! Each try has an id of its own. The customer, the destination and the
//! content stay the same, and a digest of these identifies the request at any
//! instance.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a digest in bytes. With 16 bytes, two of a billion requests have
/// the same digest with a probability of about 10⁻²¹.
const LEN: usize = 16;

/// The digest of a request (truncated SHA-256). If callers could create
/// collisions, one caller could block the request of another.
#[derive(
    Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestDigest([u8; LEN]);

/// The parts of a request that its digest covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The customer, if the caller is identified. A new key of a customer does
    /// not change the digest.
    pub customer: Option<&'a str>,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path, including the query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl RequestDigest {
    /// Returns the digest of a request.
    pub fn of(parts: RequestParts<'_>) -> RequestDigest {
        let RequestParts { customer, method, host, path, body } = parts;
        let mut hasher = Sha256::new();
        hasher.update([u8::from(customer.is_some())]);
        let customer = customer.unwrap_or_default();
        for text in [customer, method, host, path] {
            // Each part is prefixed with its length, so that different parts
            // cannot give the same input.
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        hasher.update(body);
        RequestDigest::truncate(&hasher.finalize())
    }

    /// Returns the first bytes of a SHA-256 digest.
    pub(crate) fn truncate(whole: &[u8]) -> RequestDigest {
        let mut digest = [0; LEN];
        digest.copy_from_slice(&whole[..LEN]);
        RequestDigest(digest)
    }

    /// Parses a digest from its hexadecimal form. Returns `None` if the text
    /// is none.
    pub fn parse(text: &str) -> Option<RequestDigest> {
        if text.len() != 2 * LEN
            || !text.bytes().all(|b| b.is_ascii_hexdigit())
        {
            return None;
        }
        u128::from_str_radix(text, 16)
            .ok()
            .map(|digits| RequestDigest(digits.to_be_bytes()))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
