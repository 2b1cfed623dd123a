//! The configuration that operators apply, and its validation.
//!
//! Reading files belongs to `sedgewall-protocol`; versions, and the agreement
//! of instances on one of them, belong to `sedgewall-coordination`. The module
//! keeps one invariant: a [`Config`] for which [`Config::validation_errors`]
//! is empty has no duplicate names and no dangling references, apart from the
//! base model of a group of plain services, which is not checked.

use std::{
    collections::HashSet,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::{
    allocation::guaranteed_limits,
    budget::StoreLimits,
    id::{
        AdapterName, AdapterVersion, GroupName, ModelName, ShardId, ZoneName,
    },
    priority::Priority,
    shard::PolicySettings,
};

/// The maximum length of any name in the configuration, in bytes.
pub const MAX_NAME_LEN: usize = 120;

/// The maximum number of versions of one adapter.
pub const MAX_VERSIONS: usize = 16;

/// The region of the availability zones that belong to no declared region.
pub const DEFAULT_REGION: &str = "default";

/// The whole configuration of shards with leaders, as operators declare it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// The base models that engines run.
    pub base_models: Vec<BaseModel>,
    /// The adapters, each of which belongs to one base model.
    pub adapters: Vec<AdapterConfig>,
    /// The groups of endpoints. Their members come from the platform's
    /// instance list.
    pub endpoint_groups: Vec<EndpointGroup>,
    /// The regions and their availability zones.
    pub regions: Vec<Region>,
    /// The spikes of requests that operators expect.
    pub expected_spikes: Vec<ExpectedSpike>,
    /// The limits of the weight store, over all shards together.
    pub weight_store: WeightStore,
    /// The settings of the scheduling policy.
    pub policy: Policy,
}

/// The configuration of one base model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// The model's name, unique among base models.
    pub name: ModelName,
    /// The number of shards into which the model's engines of one region are
    /// divided.
    pub shards_per_region: u32,
}

/// The configuration of one adapter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdapterConfig {
    /// The adapter's name, unique among adapters.
    pub name: AdapterName,
    /// The base model that the adapter extends.
    pub base_model: ModelName,
    /// The versions that requests may name.
    pub versions: Vec<AdapterVersion>,
    /// The priority class of requests that state no urgency.
    pub priority: Priority,
}

/// The kind of the endpoints of a group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Engines, which run a base model and its adapters.
    Engine,
    /// Plain services, which run no model and get calls from any instance.
    Service,
}

/// A group of endpoints of the same kind and capacity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointGroup {
    /// The group's name, by which the platform's instance list assigns members
    /// to it.
    pub name: GroupName,
    /// The kind of the group's members.
    pub kind: EndpointKind,
    /// The base model that the engines run; `None` for plain services.
    pub base_model: Option<ModelName>,
    /// The number of adapters that one engine can hold at once.
    pub adapter_slots: u32,
    /// The number of requests that one engine runs in a batch, or of
    /// concurrent calls that one instance sends to one endpoint of a plain
    /// service.
    pub seats: u32,
    /// Whether the engines reject load orders of an older epoch.
    pub checks_fences: bool,
}

/// A set of availability zones whose engines are divided into shards together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Region {
    /// The region's name, the first part of its shards' ids.
    pub name: String,
    /// The availability zones of the region. A zone belongs to one region.
    pub zones: Vec<ZoneName>,
}

/// A period in which operators expect requests for an adapter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExpectedSpike {
    /// The name of the adapter.
    pub adapter: AdapterName,
    /// The version of the adapter.
    pub version: AdapterVersion,
    /// The expected rate, in requests per second.
    pub rate_per_s: f64,
    /// The start of the period.
    pub starts: SystemTime,
    /// The length of the period.
    pub lasts: Duration,
}

/// The limits of the weight store, over all shards together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightStore {
    /// The number of loads that may start per second.
    pub rate_per_s: f64,
    /// The number of concurrent loads that the store serves at full speed.
    pub concurrency: f64,
}

impl Default for WeightStore {
    fn default() -> WeightStore {
        WeightStore { rate_per_s: 4.0, concurrency: 4.0 }
    }
}

/// The settings of the scheduling policy, as they are written in the
/// configuration. [`PolicySettings`] is their form in a shard.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Policy {
    /// The weight of avoiding stalls, which are requests that wait for their
    /// adapter to load.
    pub stall_weight: f64,
    /// The weight of filling engines' batches, as opposed to spreading
    /// requests over engines. It does not concern [`Priority::Batch`].
    pub batch_weight: f64,
    /// The maximum number of waiting requests in one shard.
    pub queue_len: u32,
    /// The fraction of the queue that one caller may hold while the queue is
    /// at least half full.
    pub caller_share: f64,
    /// The waiting time after which a request is raised by one priority class,
    /// in milliseconds.
    pub aging_ms: u64,
    /// The longest predicted wait that a new request of normal priority may
    /// have during a sustained overload, in milliseconds. Requests with a
    /// longer one are refused at once.
    pub target_wait_ms: u64,
    /// The time within which an entry instance may start a granted request, in
    /// milliseconds.
    pub grant_validity_ms: u64,
    /// The time without a report after which an engine gets no work, in
    /// milliseconds.
    pub silent_after_ms: u64,
}

impl Default for Policy {
    fn default() -> Policy {
        let settings = PolicySettings::default();
        Policy {
            stall_weight: settings.stall_weight,
            batch_weight: settings.batch_weight,
            queue_len: settings.queue_len as u32,
            caller_share: settings.caller_share,
            aging_ms: settings.aging.as_millis() as u64,
            target_wait_ms: settings.target_wait.as_millis() as u64,
            grant_validity_ms: settings.grant_validity.as_millis() as u64,
            silent_after_ms: settings.silent_after.as_millis() as u64,
        }
    }
}

impl Policy {
    /// Converts the policy to the settings of a [`Shard`](crate::Shard).
    pub fn settings(&self) -> PolicySettings {
        PolicySettings {
            stall_weight: self.stall_weight,
            batch_weight: self.batch_weight,
            queue_len: self.queue_len as usize,
            caller_share: self.caller_share,
            aging: Duration::from_millis(self.aging_ms),
            target_wait: Duration::from_millis(self.target_wait_ms),
            grant_validity: Duration::from_millis(self.grant_validity_ms),
            silent_after: Duration::from_millis(self.silent_after_ms),
        }
    }
}

/// A rule of validation that a configuration breaks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// The path of the invalid field, such as `adapters[17].base_model`.
    pub path: String,
    /// The broken rule, for operators to read after the path.
    pub cause: String,
}

impl Config {
    /// Validates the configuration and returns all errors, in the order of its
    /// fields. A valid configuration has none.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut validator = Validator::default();
        self.check_base_models(&mut validator);
        self.check_adapters(&mut validator);
        self.check_groups(&mut validator);
        self.check_regions(&mut validator);
        self.check_spikes(&mut validator);
        self.check_numbers(&mut validator);
        validator.errors
    }

    /// Returns the base model with a name.
    pub fn base_model(&self, name: &str) -> Option<&BaseModel> {
        self.base_models.iter().find(|model| model.name == name)
    }

    /// Returns the endpoint group with a name.
    pub fn group(&self, name: &str) -> Option<&EndpointGroup> {
        self.endpoint_groups.iter().find(|group| group.name == name)
    }

    /// Returns the region of an availability zone, which is
    /// [`DEFAULT_REGION`] if no declared region contains the zone.
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions
            .iter()
            .find(|region| region.zones.iter().any(|name| name == zone))
            .map_or(DEFAULT_REGION, |region| region.name.as_str())
    }

    /// Returns the names of all regions, or just [`DEFAULT_REGION`] if none is
    /// declared.
    pub fn region_names(&self) -> Vec<&str> {
        if self.regions.is_empty() {
            return vec![DEFAULT_REGION];
        }
        self.regions.iter().map(|region| region.name.as_str()).collect()
    }

    /// Returns the ids of all shards, by region, then by base model.
    pub fn shard_ids(&self) -> Vec<ShardId> {
        let mut ids = Vec::new();
        for region in self.region_names() {
            for model in &self.base_models {
                for idx in 0..model.shards_per_region {
                    ids.push(shard_id(region, &model.name, idx));
                }
            }
        }
        ids
    }

    /// Returns the limits of the whole weight store.
    pub fn store_limits(&self) -> StoreLimits {
        StoreLimits {
            rate_per_s: self.weight_store.rate_per_s,
            concurrency: self.weight_store.concurrency,
        }
    }

    /// Returns the limits of the weight store that each shard may use without
    /// an allotment. A single shard may use the whole store.
    pub fn guaranteed_store(&self) -> StoreLimits {
        let len = self.shard_ids().len();
        match len {
            0 | 1 => self.store_limits(),
            _ => guaranteed_limits(self.store_limits(), len),
        }
    }

    /// Returns the shard whose leader allocates the weight store to all
    /// shards: the first one, if there is any.
    pub fn allocator_shard(&self) -> Option<ShardId> {
        self.shard_ids().into_iter().next()
    }

    fn check_base_models(&self, validator: &mut Validator) {
        let mut seen = HashSet::new();
        for (idx, model) in self.base_models.iter().enumerate() {
            let path = format!("base_models[{idx}].name");
            validator.name(&path, &model.name);
            validator.unique(&mut seen, &path, "base model", &model.name);
            if model.shards_per_region == 0 {
                let path = format!("base_models[{idx}].shards_per_region");
                validator.error(path, "must be at least 1");
            }
        }
    }

    fn check_adapters(&self, validator: &mut Validator) {
        let mut seen = HashSet::new();
        let models: HashSet<&str> =
            self.base_models.iter().map(|m| m.name.as_str()).collect();
        for (idx, adapter) in self.adapters.iter().enumerate() {
            let path = format!("adapters[{idx}].name");
            validator.name(&path, &adapter.name);
            validator.unique(&mut seen, &path, "adapter", &adapter.name);
            if !models.contains(adapter.base_model.as_str()) {
                validator.error(
                    format!("adapters[{idx}].base_model"),
                    format!("no base model is named {:?}", adapter.base_model),
                );
            }
            check_versions(idx, adapter, validator);
        }
    }

    fn check_groups(&self, validator: &mut Validator) {
        let mut seen = HashSet::new();
        for (idx, group) in self.endpoint_groups.iter().enumerate() {
            let path = format!("endpoint_groups[{idx}]");
            let name_path = format!("{path}.name");
            validator.name(&name_path, &group.name);
            validator.unique(&mut seen, &name_path, "group", &group.name);
            if group.seats == 0 {
                validator.error(format!("{path}.seats"), "must be at least 1");
            }
            if group.kind == EndpointKind::Engine {
                self.check_engine_group(&path, group, validator);
            }
        }
    }

    fn check_engine_group(
        &self,
        path: &str,
        group: &EndpointGroup,
        validator: &mut Validator,
    ) {
        let base_path = format!("{path}.base_model");
        match &group.base_model {
            None => validator.error(base_path, "an engine needs a base model"),
            Some(name) if self.base_model(name).is_none() => validator
                .error(base_path, format!("no base model is named {name:?}")),
            Some(_) => {}
        }
        if group.adapter_slots == 0 {
            validator
                .error(format!("{path}.adapter_slots"), "must be at least 1");
        }
    }

    fn check_regions(&self, validator: &mut Validator) {
        let mut names = HashSet::new();
        let mut zones = HashSet::new();
        for (idx, region) in self.regions.iter().enumerate() {
            let path = format!("regions[{idx}].name");
            validator.name(&path, &region.name);
            validator.unique(&mut names, &path, "region", &region.name);
            for zone in &region.zones {
                let path = format!("regions[{idx}].zones");
                validator.unique(&mut zones, &path, "availability zone", zone);
            }
        }
    }

    fn check_spikes(&self, validator: &mut Validator) {
        let known: HashSet<(&str, &str)> =
            self.adapters
                .iter()
                .flat_map(|adapter| {
                    adapter.versions.iter().map(|version| {
                        (adapter.name.as_str(), version.as_str())
                    })
                })
                .collect();
        for (idx, spike) in self.expected_spikes.iter().enumerate() {
            let key = (spike.adapter.as_str(), spike.version.as_str());
            if !known.contains(&key) {
                validator.error(
                    format!("expected_spikes[{idx}].adapter"),
                    format!(
                        "no adapter {:?} has a version {:?}",
                        spike.adapter, spike.version
                    ),
                );
            }
            let path = format!("expected_spikes[{idx}].rate_per_s");
            validator.positive(&path, spike.rate_per_s);
        }
    }

    fn check_numbers(&self, validator: &mut Validator) {
        let store = &self.weight_store;
        validator.positive("weight_store.rate_per_s", store.rate_per_s);
        validator.positive("weight_store.concurrency", store.concurrency);
        let policy = &self.policy;
        validator.fraction("policy.stall_weight", policy.stall_weight);
        validator.fraction("policy.batch_weight", policy.batch_weight);
        validator.fraction("policy.caller_share", policy.caller_share);
        if policy.queue_len == 0 {
            validator.error("policy.queue_len", "must be at least 1");
        }
        if policy.target_wait_ms == 0 {
            validator.error("policy.target_wait_ms", "must be at least 1");
        }
        if policy.aging_ms == 0 {
            validator.error("policy.aging_ms", "must be at least 1");
        }
        if policy.grant_validity_ms < MIN_GRANT_VALIDITY_MS {
            validator.error(
                "policy.grant_validity_ms",
                format!("must be at least {MIN_GRANT_VALIDITY_MS}"),
            );
        }
    }
}

/// The shortest allowed validity of a grant, which must exceed the time of a
/// few lost heartbeats.
const MIN_GRANT_VALIDITY_MS: u64 = 500;

fn check_versions(
    idx: usize,
    adapter: &AdapterConfig,
    validator: &mut Validator,
) {
    let path = format!("adapters[{idx}].versions");
    if adapter.versions.is_empty() {
        validator.error(path, "an adapter needs at least one version");
        return;
    }
    if adapter.versions.len() > MAX_VERSIONS {
        validator.error(
            path.clone(),
            format!("has more than {MAX_VERSIONS} versions"),
        );
    }
    let mut seen = HashSet::new();
    for version in &adapter.versions {
        validator.name(&path, version);
        validator.unique(&mut seen, &path, "version", version);
    }
}

/// Returns the id of the shard with an index among the shards of a base model
/// in a region.
pub fn shard_id(region: &str, model: &str, idx: u32) -> ShardId {
    format!("{region}.{model}.{idx}")
}

/// Collects the validation errors of a configuration.
#[derive(Default)]
struct Validator {
    errors: Vec<ValidationError>,
}

impl Validator {
    fn error(&mut self, path: impl Into<String>, cause: impl Into<String>) {
        self.errors
            .push(ValidationError { path: path.into(), cause: cause.into() });
    }

    fn name(&mut self, path: &str, name: &str) {
        if name.is_empty() {
            return self.error(path, "must not be empty");
        }
        if name.len() > MAX_NAME_LEN {
            return self
                .error(path, format!("is longer than {MAX_NAME_LEN} bytes"));
        }
        if !name.chars().all(is_name_char) {
            self.error(
                path,
                format!(
                    "{name:?} may hold only letters, digits, '-', '_' and '.'"
                ),
            );
        }
    }

    fn unique<'a>(
        &mut self,
        seen: &mut HashSet<&'a str>,
        path: &str,
        what: &str,
        name: &'a str,
    ) {
        if !seen.insert(name) {
            self.error(path, format!("{what} {name:?} stands twice"));
        }
    }

    fn positive(&mut self, path: &str, value: f64) {
        if !value.is_finite() || value <= 0.0 {
            self.error(path, format!("{value} is not above zero"));
        }
    }

    fn fraction(&mut self, path: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.error(path, format!("{value} is not between 0 and 1"));
        }
    }
}

/// Returns whether a name may contain a character. Names become parts of keys,
/// paths and the `model` field, where `@` separates name and version.
fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}
