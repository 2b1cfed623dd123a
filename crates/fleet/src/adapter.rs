//! What a request runs on: a base model, or an adapter of one.

use std::fmt;

use sedgewall_state::id::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};

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
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}
