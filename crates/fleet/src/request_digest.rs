//! What makes two tries of a caller the same request.
//!
//! Each try has an id of its own. What stays is whose it is, where it goes and
//! what it carries; a digest of these tells it again at any instance.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest that are kept: with 16, two of a billion requests are taken
/// for one with a chance of some 10⁻²¹.
const LEN: usize = 16;

/// The digest of a request (SHA-256, shortened). A digest that callers could
/// collide at will would let one shut out another's request.
#[derive(
    Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestDigest([u8; LEN]);

/// What a digest is of.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Whose request it is, where callers are known. A customer's new key does
    /// not make another request.
    pub customer: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host that it is for.
    pub host: &'a str,
    /// The path with its query.
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
            // With its length, so that no part runs into the next.
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        hasher.update(body);
        let mut digest = [0; LEN];
        digest.copy_from_slice(&hasher.finalize()[..LEN]);
        RequestDigest(digest)
    }

    /// Reads a digest as it is written in hexadecimal digits.
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
