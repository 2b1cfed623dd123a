//! Orders to engines, and how an order that was not carried out is undone in
//! the view.

use std::net::SocketAddr;

use sedgewall_state::id::{EndpointId, ModelName};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    view::FleetView,
};

/// The action that an order requests from an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Report the adapters that the engine holds. Precedes all other orders.
    Sync,
    /// Report which loads have ended.
    ConfirmLoads,
    /// Load a base model.
    LoadModel(ModelName),
    /// Load this version of an adapter, replacing an older one.
    Load(AdapterKey, WeightVersion),
    /// Unload an adapter.
    Unload(AdapterKey),
}

impl Task {
    /// Returns whether the engine is only asked for a report, which changes
    /// nothing there.
    pub fn is_query(&self) -> bool {
        matches!(self, Task::Sync | Task::ConfirmLoads)
    }
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine that the order goes to.
    pub endpoint: EndpointId,
    /// The address of the engine.
    pub address: SocketAddr,
    /// The requested action.
    pub task: Task,
    /// Whether the load needs the weight store.
    pub is_cold: bool,
}

impl Order {
    /// Undoes what planning this order changed in the view, because the order
    /// was not, or may not have been, carried out. The contents of the engine
    /// are unknown until its next report: an adapter that was to be unloaded
    /// is still loaded.
    pub fn revert(&self, view: &mut FleetView) {
        if let Task::Load(key, _) = &self.task {
            view.remove_placement(&self.endpoint, key);
        }
        view.invalidate_contents(&self.endpoint);
    }
}
