//! An index from adapters to endpoints, so that neither a request nor a
//! planning pass has to scan all endpoints.

use std::collections::HashMap;

use sedgewall_state::id::EndpointId;

use crate::adapter::AdapterKey;

/// The endpoints of each adapter, in no particular order.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterIndex(HashMap<AdapterKey, Vec<EndpointId>>);

impl AdapterIndex {
    /// Adds an endpoint to an adapter's endpoints, unless it is already there.
    pub(crate) fn insert(&mut self, key: &AdapterKey, id: &EndpointId) {
        let Some(ids) = self.0.get_mut(key) else {
            self.0.insert(key.clone(), vec![id.clone()]);
            return;
        };
        if !ids.contains(id) {
            ids.push(id.clone());
        }
    }

    /// Removes an endpoint from an adapter's endpoints.
    pub(crate) fn remove(&mut self, key: &AdapterKey, id: &EndpointId) {
        let Some(ids) = self.0.get_mut(key) else { return };
        ids.retain(|known| known != id);
        if ids.is_empty() {
            self.0.remove(key);
        }
    }

    /// Returns the endpoints of an adapter.
    pub(crate) fn get(&self, key: &AdapterKey) -> &[EndpointId] {
        self.0.get(key).map_or(&[], Vec::as_slice)
    }
}
