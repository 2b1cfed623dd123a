//! What requests that crash endpoints may have in common.
//!
//! A request is retried with the same content, or requests that differ may
//! share a part of their prompts. A [`Feature`] stands for either. The features
//! of a request are ordered from the narrowest to the broadest: whatever has
//! a narrower one of the same prompt is likely to have the broader ones too.

use sha2::{Digest, Sha256};

use crate::request_digest::RequestDigest;

/// The digest of a feature: that of a whole request, or of a part of prompts.
pub type Feature = RequestDigest;

/// Maximum number of parts of a prompt that are features, counted from the
/// first one. Each costs a digest for each request that succeeds.
const MAX_PARTS: usize = 8;

/// The features of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Features {
    /// The digest of the whole request.
    pub request: RequestDigest,
    /// The features that it may share with other requests, from the narrowest
    /// to the broadest.
    pub shared: Vec<Feature>,
}

/// The parts of a prompt, and where a request with it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The service that the request is for.
    pub service: &'a str,
    /// The customer, if the caller is identified.
    pub customer: Option<&'a str>,
    /// The ids of all parts of the prompt, in order. The last one is the
    /// request's own.
    pub parts: &'a [&'a str],
}

impl Features {
    /// Returns the features of a request with this digest and prompt.
    ///
    /// The ids of parts come from the caller. So each part gives two features,
    /// one of the customer and a broader one of all customers: requests of one
    /// customer that name another's part only condemn the narrower one.
    pub fn new(request: RequestDigest, prompt: Prompt<'_>) -> Features {
        let Prompt { service, customer, parts } = prompt;
        let shared = parts.split_last().map_or(&[][..], |(_own, rest)| rest);
        let mut features = Vec::new();
        for part in shared.iter().take(MAX_PARTS).rev() {
            let of_customer =
                customer.map(|name| part_feature(service, Some(name), part));
            let of_all = part_feature(service, None, part);
            for feature in of_customer.into_iter().chain([of_all]) {
                if !features.contains(&feature) {
                    features.push(feature);
                }
            }
        }
        Features { request, shared: features }
    }

    /// Returns all features, from the narrowest to the broadest.
    pub fn iter(&self) -> impl Iterator<Item = Feature> + '_ {
        std::iter::once(self.request).chain(self.shared.iter().copied())
    }
}

impl From<RequestDigest> for Features {
    fn from(request: RequestDigest) -> Features {
        Features { request, shared: Vec::new() }
    }
}

/// Returns the feature of a part of prompts, of one customer or of all.
pub fn part_feature(
    service: &str,
    customer: Option<&str>,
    part: &str,
) -> Feature {
    let mut hasher = Sha256::new();
    hasher.update([b'p', u8::from(customer.is_some())]);
    for text in [service, customer.unwrap_or_default(), part] {
        // Each text is prefixed with its length, so that different texts
        // cannot give the same input.
        hasher.update((text.len() as u64).to_le_bytes());
        hasher.update(text);
    }
    RequestDigest::truncate(&hasher.finalize())
}
