//! The models that requests run on: base models, and adapters of these.

use std::fmt;

use sedgewall_state::id::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};

/// The version of a model's or adapter's weights, which only increases.
pub type WeightVersion = u64;

/// The key of a base model, or of an adapter of one.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct AdapterKey {
    /// The name of the base model.
    pub model: ModelName,
    /// The name of the adapter; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
}

impl AdapterKey {
    /// Returns the key of a base model without an adapter.
    pub fn base(model: &str) -> AdapterKey {
        AdapterKey { model: model.to_owned(), adapter: None }
    }

    /// Returns the key of an adapter of a base model.
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
