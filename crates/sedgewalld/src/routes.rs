//! The current configuration, indexed for routing.
//!
//! A view is immutable and shared; each new configuration gets a new view.
//! Invariant: the same adapter in the same region maps to the same shard on
//! every instance with the same configuration.

use std::{collections::HashMap, rc::Rc};

use sedgewall_coordination::{membership::ListedInstance, rendezvous};
use sedgewall_state::{
    ShardId,
    config::{AdapterConfig, BaseModel, Config, EndpointKind, shard_id},
};

/// A configuration with an index of its adapters by name.
#[derive(Debug, Default)]
pub(crate) struct ConfigView {
    pub(crate) config: Config,
    adapters: HashMap<String, usize>,
}

/// The shard of an engine, and the capacity that the configuration gives the
/// engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EngineAssignment {
    pub(crate) shard: ShardId,
    pub(crate) slots_len: usize,
    pub(crate) seats: u32,
    pub(crate) checks_fences: bool,
}

impl ConfigView {
    pub(crate) fn new(config: Config) -> Rc<Self> {
        let adapters = config
            .adapters
            .iter()
            .enumerate()
            .map(|(idx, adapter)| (adapter.name.clone(), idx))
            .collect();
        Rc::new(ConfigView { config, adapters })
    }

    /// Returns the adapter of this name, if it has the version.
    pub(crate) fn adapter(
        &self,
        name: &str,
        version: &str,
    ) -> Option<&AdapterConfig> {
        let idx = self.adapters.get(name)?;
        let adapter = &self.config.adapters[*idx];
        adapter.versions.iter().any(|v| v == version).then_some(adapter)
    }

    /// Returns the shard of an adapter in a region.
    pub(crate) fn shard_of(
        &self,
        region: &str,
        adapter: &AdapterConfig,
    ) -> Option<ShardId> {
        let model = self.config.base_model(&adapter.base_model)?;
        let idx = pick_shard(model, &adapter.name);
        Some(shard_id(region, &model.name, idx))
    }

    /// Returns the shard and capacity of a listed endpoint, if it is an engine
    /// of a configured group.
    pub(crate) fn engine_assignment(
        &self,
        listed: &ListedInstance,
    ) -> Option<EngineAssignment> {
        let group = self.config.group(&listed.group)?;
        if group.kind != EndpointKind::Engine {
            return None;
        }
        let model = self.config.base_model(group.base_model.as_ref()?)?;
        let region = self.config.region_of(&listed.zone);
        let idx = pick_shard(model, &listed.id);
        Some(EngineAssignment {
            shard: shard_id(region, &model.name, idx),
            slots_len: group.adapter_slots as usize,
            seats: group.seats,
            checks_fences: group.checks_fences,
        })
    }
}

/// Picks one of a model's shards by rendezvous hashing, so that a change of
/// the number of shards moves as few keys as possible.
fn pick_shard(model: &BaseModel, key: &str) -> u32 {
    (0..model.shards_per_region)
        .max_by_key(|idx| rendezvous::score(&idx.to_string(), key))
        .unwrap_or(0)
}
