//! Orders to engines, and what becomes of the table when one is not carried
//! out.

use std::net::SocketAddr;

use sedgewall_state::id::{EndpointId, ModelName};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    view::FleetView,
};

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Report what it holds, before it gets orders.
    Sync,
    /// Load a base model.
    LoadModel(ModelName),
    /// Load an adapter, or replace it by its newest version.
    Load(AdapterKey, WeightVersion),
    /// Remove an adapter.
    Unload(AdapterKey),
}

/// One order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// What to do.
    pub task: Task,
    /// Whether the weight store is needed.
    pub is_cold: bool,
}

impl Order {
    /// Takes back what the table believes of an order that was not carried
    /// out, or may not have been. What its engine holds is known again once it
    /// reports: an adapter that was to leave is still there.
    pub fn revert(&self, view: &mut FleetView) {
        if let Task::Load(key, _) = &self.task {
            view.remove_placement(&self.endpoint, key);
        }
        view.invalidate_contents(&self.endpoint);
    }
}
