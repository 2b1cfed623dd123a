//! What a request runs on: a base model, or an adapter of one.

use std::fmt;

use sedgewall_state::id::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The version of weights; it only rises.
pub type WeightVersion = u64;

/// A base model, or an adapter of it.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct AdapterKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter; none means the base model itself.
    pub adapter: Option<AdapterName>,
}

impl AdapterKey {
    /// Returns the key of a base model without an adapter.
    pub fn base(model: &str) -> AdapterKey {
        AdapterKey { model: model.to_owned(), adapter: None }
    }

    /// Returns the key of an adapter.
    pub fn new(model: &str, adapter: &str) -> AdapterKey {
        let adapter = Some(adapter.to_owned());
        AdapterKey { model: model.to_owned(), adapter }
    }

    /// Returns a number that differs from one key to another.
    pub fn draw(&self) -> u64 {
        let adapter = self.adapter.as_deref().unwrap_or_default();
        xxh3_64_with_seed(adapter.as_bytes(), xxh3_64(self.model.as_bytes()))
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}
