//! The division of the weight store's limits among shards, on both sides.
//!
//! Each shard's leader requests an allotment from the allocator, which is the
//! leader of the first shard, and keeps it for a short time. A leader that
//! receives no answer falls back to the limits that are guaranteed to its
//! shard. The arithmetic and its invariant are in
//! `sedgewall_state::allocation`.

use std::{cell::RefCell, rc::Rc};

use sedgewall_clock::Instant;
use sedgewall_protocol::{
    Envelope, PeerMessage,
    message::{Allotment, Demand},
};
use sedgewall_state::{
    Epoch,
    allocation::{ALLOTMENT_VALIDITY, Allocator},
};

use crate::instance::Instance;

/// The current allotment of a shard, as its leader keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreAllotment {
    /// The allocator's epoch; allotments of an older epoch are ignored.
    epoch: Epoch,
    /// The end of the allotment's validity, in milliseconds on this instance's
    /// clock.
    valid_until_ms: u64,
}

/// The allocator of this instance, while it leads the first shard.
struct LocalAllocator {
    epoch: Epoch,
    allocator: Allocator,
}

thread_local! {
    static ALLOCATOR: RefCell<Option<LocalAllocator>> = const {
        RefCell::new(None)
    };
}

/// Requests an allotment, and falls back to the guaranteed limits once the
/// current one has expired.
pub(crate) fn request_allotment(instance: &Rc<Instance>, shard: &str) {
    let view = instance.view();
    let stamp_ms = instance.uptime_ms();
    let demand = {
        let mut shards = instance.shards.borrow_mut();
        let Some(leader) = shards.get_mut(shard) else { return };
        if leader.allotment.valid_until_ms <= stamp_ms {
            leader.set_store_limits(view.config.guaranteed_store());
        }
        leader.store_demand()
    };
    let Some(first) = view.config.allocator_shard() else { return };
    let Some(allocator) = instance.leader_of(&first) else { return };
    let shard = shard.to_owned();
    let message = PeerMessage::Demand(Demand { shard, demand, stamp_ms });
    instance.send(&allocator.peer_url, Some(allocator.incarnation), message);
}

/// Answers a demand with an allotment, if this instance leads the first shard.
pub(crate) fn on_demand(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    demand: &Demand,
) {
    let view = instance.view();
    let Some(first) = view.config.allocator_shard() else { return };
    let epoch = instance.shards.borrow().get(&first).map(|l| l.epoch());
    let Some(epoch) = epoch else { return };
    let now = Instant::now();
    let limits = ALLOCATOR.with_borrow_mut(|local| {
        let is_current =
            local.as_ref().is_some_and(|local| local.epoch == epoch);
        let total = view.config.store_limits();
        if !is_current {
            let shards = view.config.shard_ids();
            let allocator = Allocator::new(total, shards, now);
            *local = Some(LocalAllocator { epoch, allocator });
        }
        let local = local.as_mut()?;
        local.allocator.reconfigure(total, view.config.shard_ids());
        Some(local.allocator.allocate(&demand.shard, demand.demand, now))
    });
    let Some(limits) = limits else { return };
    let message = PeerMessage::Allotted(Allotment {
        shard: demand.shard.clone(),
        epoch,
        limits,
        stamp_ms: demand.stamp_ms,
    });
    instance.reply(envelope, message);
}

/// Applies an allotment, unless it has expired or is of an older epoch.
pub(crate) fn on_allotment(instance: &Rc<Instance>, allotment: &Allotment) {
    let validity_ms = ALLOTMENT_VALIDITY.as_millis() as u64;
    let valid_until_ms = allotment.stamp_ms + validity_ms;
    if valid_until_ms <= instance.uptime_ms() {
        return;
    }
    let mut shards = instance.shards.borrow_mut();
    let Some(leader) = shards.get_mut(&allotment.shard) else { return };
    if allotment.epoch < leader.allotment.epoch {
        return;
    }
    leader.allotment =
        StoreAllotment { epoch: allotment.epoch, valid_until_ms };
    leader.set_store_limits(allotment.limits);
}
