//! Load orders to engines, and the handling of their results.

use std::rc::Rc;

use log::warn;
use sedgewall_clock::Instant;
use sedgewall_coordination::timeline::EventKind;
use sedgewall_protocol::engine::{Order, OrderFailure};
use sedgewall_state::{AdapterIdx, Epoch, shard::LoadOrder};
use sedgewall_transport::engine_client::OrderAnswer;

use crate::{
    instance::Instance,
    leader::{EngineLink, apply_change},
};

pub(crate) fn start_load(
    instance: &Rc<Instance>,
    shard_id: &str,
    order: LoadOrder,
) {
    let prepared = {
        let shards = instance.shards.borrow();
        let Some(leader) = shards.get(shard_id) else { return };
        let link = leader.engines[order.engine as usize].clone();
        let name = |idx: AdapterIdx| leader.names[idx as usize].clone();
        let engine_order = Order {
            epoch: leader.epoch(),
            base_model: leader.base_model.clone(),
            load: Some(name(order.adapter)),
            unload: order.evict.map(name),
            only_if_idle: true,
        };
        let may_send =
            link.checks_fences || leader.lease.is_current(Instant::now());
        let evicted = order.evict.map(|idx| leader.label(idx));
        let label = leader.label(order.adapter);
        (link, engine_order, may_send, label, evicted)
    };
    let (link, engine_order, may_send, label, evicted) = prepared;
    let detail = match &evicted {
        Some(evicted) => format!("replaces {evicted}"),
        None => "into an empty slot".to_owned(),
    };
    instance.record_event(
        EventKind::Load,
        None,
        &label,
        &link.endpoint,
        detail,
    );
    metrics::counter!("sedgewall_loads_total").increment(1);
    let instance = instance.clone();
    let shard_id = shard_id.to_owned();
    let epoch = engine_order.epoch;
    compio::runtime::spawn(async move {
        let answer = match may_send {
            true => instance.engines.order(&link.address, &engine_order).await,
            // A newer leader may send orders to this engine by now.
            false => OrderAnswer::Failed(OrderFailure::OldEpoch),
        };
        if let (Some(evicted), OrderAnswer::Done) = (&evicted, &answer) {
            let (endpoint, detail) = (&link.endpoint, format!("for {label}"));
            instance.record_event(
                EventKind::Unload,
                None,
                evicted,
                endpoint,
                detail,
            );
        }
        finish_load(&instance, &shard_id, epoch, order, &label, &link, answer);
    })
    .detach();
}

fn finish_load(
    instance: &Rc<Instance>,
    shard_id: &str,
    epoch: Epoch,
    order: LoadOrder,
    label: &str,
    link: &EngineLink,
    answer: OrderAnswer,
) {
    let is_loaded = answer == OrderAnswer::Done;
    let kind = match is_loaded {
        true => EventKind::Loaded,
        false => EventKind::LoadFailed,
    };
    let detail = format!("{answer:?}").to_lowercase();
    instance.record_event(kind, None, label, &link.endpoint, detail);
    if !is_loaded {
        metrics::counter!("sedgewall_load_failures_total").increment(1);
        warn!(
            "leader: load of {label} on {} not confirmed: {answer:?}.",
            link.endpoint
        );
    }
    apply_change(instance, shard_id, |leader, actions| {
        if leader.epoch() != epoch {
            return;
        }
        let is_old = answer == OrderAnswer::Failed(OrderFailure::OldEpoch);
        leader.is_superseded |= is_old && link.checks_fences;
        let LoadOrder { engine, adapter, .. } = order;
        if answer == OrderAnswer::Failed(OrderFailure::NoSlot) {
            leader.shard.record_slot_shortage(engine);
        }
        let now = Instant::now();
        leader.shard.load_finished(engine, adapter, is_loaded, now, actions);
    });
}
