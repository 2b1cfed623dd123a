//! The leader of a shard: passes events to the scheduling policy and executes
//! the actions that it returns.
//!
//! The policy's state is in `sedgewall_state::Shard`. This module maps names
//! to indices, and actions to messages and orders. It ensures that orders go
//! only to engines that check fences (refuse orders of an older epoch), or
//! that cannot have a newer leader yet.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use log::info;
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    lease::{Held, Lease},
    membership::{InstanceList, ListedState},
    timeline::EventKind,
};
use sedgewall_protocol::{
    Envelope, PeerMessage,
    engine::EngineAdapter,
    message::{Granted, Refused},
};
use sedgewall_state::{
    AdapterIdx, EndpointId, EngineIdx, Epoch, Incarnation, InstanceId,
    ModelName, RequestId, Shard, ShardAction, ShardId,
    allocation::StoreDemand, budget::StoreLimits, id::request_incarnation,
};

use crate::{
    election,
    instance::{Instance, Leader},
    leader_tasks, orders,
    store::StoreAllotment,
};

/// How long a new leader waits, beyond the validity of its predecessor's
/// grants, before it evicts adapters.
const EVICTION_MARGIN: Duration = Duration::from_millis(500);

/// The deferral of evictions on engines that do not check fences, until all
/// entries have acknowledged the epoch. The value only has to exceed the time
/// that the acknowledgements can take.
const INDEFINITE_DEFERRAL: Duration = Duration::from_secs(86_400);

/// An engine, and what the leader knows of its process.
#[derive(Clone, Debug)]
pub(crate) struct EngineLink {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: String,
    /// Whether the engine refuses orders of an older epoch.
    pub(crate) checks_fences: bool,
    /// The boot id in the engine's last report; a new one means a restart.
    pub(crate) boot: Option<u64>,
    /// Whether a request for a report has not been answered yet.
    pub(crate) is_report_pending: bool,
}

/// An entry, and where and when the leader last heard from it.
#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) instance: InstanceId,
    pub(crate) url: String,
    /// The uptime of the entry's process as of its last message, in
    /// milliseconds. Grants state their expiry on this clock.
    pub(crate) uptime_ms: u64,
    pub(crate) last_heard: Instant,
}

/// The state of a shard that this instance leads.
pub(crate) struct ShardLeader {
    pub(crate) shard_id: ShardId,
    pub(crate) base_model: ModelName,
    pub(crate) lease: Lease<Held>,
    pub(crate) shard: Shard,
    /// The index of each interned adapter version.
    pub(crate) index: HashMap<EngineAdapter, AdapterIdx>,
    /// The interned adapter versions by index.
    pub(crate) names: Vec<EngineAdapter>,
    pub(crate) engines: Vec<EngineLink>,
    pub(crate) entries: BTreeMap<Incarnation, EntryLink>,
    /// Entries that know this epoch and use no grants of older ones.
    pub(crate) acked: HashSet<Incarnation>,
    /// When the grants of the predecessor have certainly expired.
    pub(crate) evict_after: Instant,
    /// Whether all entries have acknowledged this epoch.
    pub(crate) is_barrier_passed: bool,
    /// Whether an engine has refused an order because of a later epoch.
    pub(crate) is_superseded: bool,
    /// The allocator's epoch, and the time until which the allotted limits on
    /// the weight store replace the guaranteed ones.
    pub(crate) allotment: StoreAllotment,
}

impl ShardLeader {
    /// Returns the shard's demand on the weight store.
    pub(crate) fn store_demand(&self) -> StoreDemand {
        self.shard.store_demand()
    }

    /// Replaces the shard's limits on the weight store.
    pub(crate) fn set_store_limits(&mut self, limits: StoreLimits) {
        self.shard.set_store_limits(limits);
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.lease.epoch()
    }

    /// Returns the names of the entries that use this leader.
    pub(crate) fn entry_ids(&self) -> impl Iterator<Item = InstanceId> {
        self.entries.values().map(|entry| entry.instance.clone())
    }

    pub(crate) fn intern(&mut self, adapter: EngineAdapter) -> AdapterIdx {
        if let Some(idx) = self.index.get(&adapter) {
            return *idx;
        }
        let idx = self.shard.add_adapter();
        self.names.push(adapter.clone());
        self.index.insert(adapter, idx);
        idx
    }

    pub(crate) fn label(&self, idx: AdapterIdx) -> String {
        let name = &self.names[idx as usize];
        format!("{}@{}", name.adapter, name.version)
    }

    pub(crate) fn record_entry(
        &mut self,
        envelope: &Envelope,
        uptime_ms: u64,
        url: &str,
    ) {
        let entry = EntryLink {
            instance: envelope.from.clone(),
            url: url.to_owned(),
            uptime_ms,
            last_heard: Instant::now(),
        };
        self.entries.insert(envelope.incarnation, entry);
    }
}

/// Starts to lead a shard whose lease this instance has acquired.
pub(crate) fn start_leading(
    instance: &Rc<Instance>,
    shard_id: &ShardId,
    lease: Lease<Held>,
) {
    let now = Instant::now();
    let view = instance.view();
    let policy = &view.config.policy;
    let base_model = shard_id.rsplit('.').nth(1).map(|_| {
        // A shard id is `REGION.MODEL.NUMBER`, and the model may contain dots.
        let rest = shard_id.split_once('.').map_or("", |(_, rest)| rest);
        rest.rsplit_once('.').map_or("", |(model, _)| model).to_owned()
    });
    let epoch = lease.epoch();
    let evict_after = now + policy.settings().grant_validity + EVICTION_MARGIN;
    let leader = ShardLeader {
        shard_id: shard_id.clone(),
        base_model: base_model.unwrap_or_default(),
        lease,
        shard: Shard::new(
            policy.settings(),
            view.config.guaranteed_store(),
            now,
        ),
        index: HashMap::new(),
        names: Vec::new(),
        engines: Vec::new(),
        entries: BTreeMap::new(),
        acked: HashSet::new(),
        evict_after,
        is_barrier_passed: false,
        is_superseded: false,
        allotment: StoreAllotment::default(),
    };
    info!("lease: this instance leads {shard_id} in epoch {epoch}.");
    metrics::counter!("sedgewall_leaderships_total").increment(1);
    instance.shards.borrow_mut().insert(shard_id.clone(), leader);
    sync_adapters(instance, shard_id);
    let list = instance.instances.borrow().clone();
    refresh_engines(instance, &list);
    let own = Leader {
        instance: instance.settings.instance.clone(),
        incarnation: instance.incarnation,
        peer_url: instance.settings.peer_url(),
        epoch,
    };
    election::apply_leader(instance, shard_id, own);
    crate::heartbeat::send_heartbeats(instance);
    leader_tasks::start(instance, shard_id, epoch);
}

/// Stops leading a shard. The entries submit its waiting requests to the
/// successor.
pub(crate) fn step_down(instance: &Rc<Instance>, shard_id: &str) {
    let Some(leader) = instance.shards.borrow_mut().remove(shard_id) else {
        return;
    };
    let epoch = leader.epoch();
    info!("lease: this instance no longer leads {shard_id}, epoch {epoch}.");
    let detail = format!("epoch {epoch} ended here");
    instance.record_event(EventKind::Lease, None, shard_id, "", detail);
}

/// Returns the lease of a shard that this instance leads.
pub(crate) fn lease(
    instance: &Instance,
    shard_id: &str,
) -> Option<Lease<Held>> {
    let shards = instance.shards.borrow();
    Some(shards.get(shard_id)?.lease.clone())
}

/// Stores the renewed lease of a shard.
pub(crate) fn set_lease(
    instance: &Instance,
    shard_id: &str,
    lease: Lease<Held>,
) {
    if let Some(leader) = instance.shards.borrow_mut().get_mut(shard_id) {
        leader.lease = lease;
    }
}

/// Returns whether an engine or a peer has reported a later epoch, or this
/// instance does not lead the shard any more.
pub(crate) fn is_superseded(instance: &Instance, shard_id: &str) -> bool {
    let shards = instance.shards.borrow();
    let Some(leader) = shards.get(shard_id) else { return true };
    leader.is_superseded || instance.highest_epoch(shard_id) > leader.epoch()
}

/// Applies the current configuration to all led shards.
pub(crate) fn reconfigure(instance: &Rc<Instance>) {
    let view = instance.view();
    let settings = view.config.policy.settings();
    let share = view.config.guaranteed_store();
    let ids: Vec<ShardId> = instance.shards.borrow().keys().cloned().collect();
    for shard_id in ids {
        if let Some(leader) = instance.shards.borrow_mut().get_mut(&shard_id) {
            leader.shard.reconfigure(settings, share);
        }
        sync_adapters(instance, &shard_id);
    }
}

/// Interns the adapters of a shard and marks those that are configured.
fn sync_adapters(instance: &Rc<Instance>, shard_id: &ShardId) {
    let view = instance.view();
    let mut shards = instance.shards.borrow_mut();
    let Some(leader) = shards.get_mut(shard_id) else { return };
    let mut is_configured = vec![false; leader.shard.adapters_len()];
    let region = shard_id.split('.').next().unwrap_or("").to_owned();
    for adapter in &view.config.adapters {
        if view.shard_of(&region, adapter).as_ref() != Some(shard_id) {
            continue;
        }
        for version in &adapter.versions {
            let idx = leader.intern(EngineAdapter {
                adapter: adapter.name.clone(),
                version: version.clone(),
            });
            is_configured.resize(leader.shard.adapters_len(), false);
            is_configured[idx as usize] = true;
        }
    }
    for (idx, is_configured) in is_configured.into_iter().enumerate() {
        leader.shard.set_configured(idx as AdapterIdx, is_configured);
    }
}

/// Updates the engines of all led shards from the instance list.
pub(crate) fn refresh_engines(instance: &Rc<Instance>, list: &InstanceList) {
    let view = instance.view();
    let now = Instant::now();
    let mut shards = instance.shards.borrow_mut();
    for leader in shards.values_mut() {
        let mut listed = HashSet::new();
        for listed_instance in &list.instances {
            let Some(assignment) = view.engine_assignment(listed_instance)
            else {
                continue;
            };
            if assignment.shard != leader.shard_id {
                continue;
            }
            listed.insert(listed_instance.id.clone());
            let known = leader.shard.engine_idx(&listed_instance.id);
            if listed_instance.state == ListedState::Leaving {
                if let Some(idx) = known {
                    leader.shard.mark_engine_leaving(idx, now);
                }
                continue;
            }
            let idx = leader.shard.add_engine(
                &listed_instance.id,
                assignment.slots_len,
                assignment.seats,
                now,
            );
            let link = EngineLink {
                endpoint: listed_instance.id.clone(),
                address: listed_instance.address.clone(),
                checks_fences: assignment.checks_fences,
                boot: None,
                is_report_pending: false,
            };
            match leader.engines.get_mut(idx as usize) {
                Some(old) if old.address == link.address => {
                    old.checks_fences = link.checks_fences;
                }
                Some(old) => *old = link,
                None => leader.engines.push(link),
            }
        }
        for idx in 0..leader.engines.len() {
            if !listed.contains(&leader.engines[idx].endpoint) {
                leader.shard.mark_engine_leaving(idx as EngineIdx, now);
            }
        }
        update_eviction_deferrals(leader);
    }
}

/// Sets from when on adapters may be evicted from each engine.
///
/// On engines that check fences and idleness, evictions may start once the
/// predecessor's grants have expired; on other engines all entries must know
/// this epoch as well.
pub(crate) fn update_eviction_deferrals(leader: &mut ShardLeader) {
    for (idx, link) in leader.engines.iter().enumerate() {
        let is_open = link.checks_fences || leader.is_barrier_passed;
        let until = match is_open {
            true => leader.evict_after,
            false => leader.evict_after + INDEFINITE_DEFERRAL,
        };
        leader.shard.defer_evictions(idx as EngineIdx, until);
    }
}

/// Runs `change` on a led shard and executes the resulting actions. Returns
/// whether this instance leads the shard.
pub(crate) fn apply_change(
    instance: &Rc<Instance>,
    shard_id: &str,
    change: impl FnOnce(&mut ShardLeader, &mut Vec<ShardAction>),
) -> bool {
    let mut actions = Vec::new();
    {
        let mut shards = instance.shards.borrow_mut();
        let Some(leader) = shards.get_mut(shard_id) else { return false };
        change(leader, &mut actions);
    }
    for action in actions {
        execute(instance, shard_id, action);
    }
    true
}

fn execute(instance: &Rc<Instance>, shard_id: &str, action: ShardAction) {
    match action {
        ShardAction::Grant {
            request,
            engine,
            adapter,
            waited,
            is_stalled,
        } => {
            let name = match is_stalled {
                true => "sedgewall_load_stall_seconds",
                false => "sedgewall_seat_wait_seconds",
            };
            metrics::histogram!(name).record(waited.as_secs_f64());
            send_grant(instance, shard_id, request, engine);
            record_grant(instance, shard_id, request, engine, adapter, waited);
        }
        ShardAction::Refuse { request, refusal } => {
            let epoch = lease(instance, shard_id).map_or(0, |l| l.epoch());
            let shard = shard_id.to_owned();
            let message = PeerMessage::Refused(Refused {
                shard,
                epoch,
                request,
                refusal,
            });
            send_to_entry(instance, shard_id, request, message);
        }
        ShardAction::Load(order) => {
            orders::start_load(instance, shard_id, order)
        }
    }
}

fn record_grant(
    instance: &Rc<Instance>,
    shard_id: &str,
    request: RequestId,
    engine: EngineIdx,
    adapter: AdapterIdx,
    waited: Duration,
) {
    let (subject, endpoint) = {
        let shards = instance.shards.borrow();
        let Some(leader) = shards.get(shard_id) else { return };
        let endpoint = leader.engines[engine as usize].endpoint.clone();
        (leader.label(adapter), endpoint)
    };
    let detail = format!("after {} ms", waited.as_millis());
    instance.record_event(
        EventKind::Grant,
        Some(request),
        subject,
        endpoint,
        detail,
    );
}

pub(crate) fn send_grant(
    instance: &Rc<Instance>,
    shard_id: &str,
    request: RequestId,
    engine: EngineIdx,
) {
    let granted = {
        let shards = instance.shards.borrow();
        let Some(leader) = shards.get(shard_id) else { return };
        let link = &leader.engines[engine as usize];
        let Some(grant) = leader.shard.grant(request) else { return };
        let entry = leader.entries.get(&request_incarnation(request));
        let Some(entry) = entry else { return };
        // The expiry is stated on the entry's own clock, as of its last
        // message, so that a late or paused entry finds the grant expired.
        let left = grant.expires.saturating_duration_since(entry.last_heard);
        Granted {
            shard: shard_id.to_owned(),
            request,
            epoch: leader.epoch(),
            endpoint: link.endpoint.clone(),
            address: link.address.clone(),
            valid_until_stamp_ms: entry.uptime_ms
                + left.min(grant.expires - grant.granted).as_millis() as u64,
        }
    };
    send_to_entry(instance, shard_id, request, PeerMessage::Granted(granted));
}

fn send_to_entry(
    instance: &Rc<Instance>,
    shard_id: &str,
    request: RequestId,
    message: PeerMessage,
) {
    let incarnation = request_incarnation(request);
    let url = {
        let shards = instance.shards.borrow();
        let entry =
            shards.get(shard_id).and_then(|l| l.entries.get(&incarnation));
        entry.map(|entry| entry.url.clone())
    };
    if let Some(url) = url {
        instance.send(&url, Some(incarnation), message);
    }
}
