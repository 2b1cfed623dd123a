//! Sends orders to engines, one at a time for each engine.
//!
//! Invariants: an order is sent only while the lease is current by this
//! instance's own clock. Each order states how many orders its engine has
//! accepted before, so that an order whose answer was lost is never executed
//! after a newer one. If that count is unknown, the engine's report gives it.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use futures_channel::mpsc;
use futures_util::StreamExt;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::EngineReport,
    note::{Note, Placed, Removed},
    order::{Order, Task},
    order_count::{OrderCount, OrderResult},
    placement::PlacementPlanner,
    view::AnsweredRequest,
};
use sedgewall_platform::engine::{
    self, LeaseHolder, OrderAnswer, ReportError,
};
use sedgewall_state::id::{EndpointId, Epoch};

use super::{announcements, instance::FleetInstance, note_sender::NoteSender};

/// The time that must be left of the lease when an order is sent. The order
/// takes some time to arrive, and must reach its engine while the lease holds.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// Orders to one engine that depend on each other: if an order fails, the
/// orders after it are not sent.
type Batch = (Epoch, Vec<Order>);

/// How old an order must be to show in an engine's report. The platform
/// specifies some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(450);

/// The queues of orders, one for each engine.
#[derive(Clone)]
pub(crate) struct OrderQueues {
    instance: Rc<FleetInstance>,
    sender: Rc<NoteSender>,
    pub(crate) planner: Rc<RefCell<Option<PlacementPlanner>>>,
    queues: Rc<RefCell<HashMap<EndpointId, mpsc::UnboundedSender<Batch>>>>,
}

impl OrderQueues {
    pub(crate) fn new(
        instance: Rc<FleetInstance>,
        sender: Rc<NoteSender>,
    ) -> OrderQueues {
        let (planner, queues) = (Rc::default(), Rc::default());
        OrderQueues { instance, sender, planner, queues }
    }

    /// Sends orders. Consecutive orders for one engine depend on each other.
    pub(crate) fn dispatch(&self, epoch: Epoch, orders: Vec<Order>) {
        let mut batches: Vec<Vec<Order>> = Vec::new();
        for order in orders {
            match batches.last_mut() {
                Some(batch)
                    if batch[0].endpoint == order.endpoint
                        && !batch[0].task.is_query()
                        && matches!(order.task, Task::Load(..)) =>
                {
                    batch.push(order);
                }
                _ => batches.push(vec![order]),
            }
        }
        for batch in batches {
            self.enqueue((epoch, batch));
        }
    }

    /// Drops the queues of engines that are gone.
    pub(crate) fn drop_stale_queues(&self) {
        let view = self.instance.view.borrow();
        let mut queues = self.queues.borrow_mut();
        queues.retain(|id, _| view.get(id).is_some());
    }

    fn enqueue(&self, batch: Batch) {
        let id = batch.1[0].endpoint.clone();
        let mut queues = self.queues.borrow_mut();
        let tx = queues.entry(id).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded();
            compio::runtime::spawn(self.clone().run_queue(rx)).detach();
            tx
        });
        if tx.unbounded_send(batch).is_err() {
            tracing::error!(event = "order_queue_gone");
        }
    }

    async fn run_queue(self, mut rx: mpsc::UnboundedReceiver<Batch>) {
        let mut accepted = OrderCount::default();
        let mut last_sent = None;
        while let Some((epoch, batch)) = rx.next().await {
            if accepted.epoch() != epoch {
                (accepted, last_sent) = (OrderCount::new(epoch), None);
            }
            let Some(first) = batch.first() else {
                continue;
            };
            if first.task == Task::ConfirmLoads {
                self.confirm_loads(epoch, first).await;
                continue;
            }
            if first.task == Task::Sync {
                if self.needs_report(epoch, &first.endpoint, &accepted) {
                    self.sync(first, &mut accepted, last_sent).await;
                }
                continue;
            }
            for order in batch {
                let may_send = self.may_order(epoch)
                    && !self.is_cooling_down(&order.endpoint);
                let count = accepted.get().filter(|_| may_send);
                let Some(count) = count else {
                    accepted.set(None);
                    self.drop_order(epoch, &order);
                    continue;
                };
                last_sent = Some(Instant::now());
                self.send(&order, count, &mut accepted).await;
            }
        }
    }

    /// Drops an order that cannot be sent now and reverts its planned effect.
    /// Otherwise the orders after it would be planned for places that are
    /// taken.
    fn drop_order(&self, epoch: Epoch, order: &Order) {
        tracing::info!(
            event = "order_dropped",
            endpoint = order.endpoint,
            task = ?order.task,
            epoch,
            lease_is_current = self.may_order(epoch),
        );
        order.revert(&mut self.instance.view.borrow_mut());
        self.cancel_load(order);
    }

    /// Returns whether an engine's report is still needed.
    ///
    /// While an engine does not answer, requests for its report queue up. Once
    /// one is answered, loads are planned by it; another report, which does
    /// not show them yet, would free their slots, and a fourth adapter was
    /// ordered for three slots.
    fn needs_report(
        &self,
        epoch: Epoch,
        endpoint: &EndpointId,
        accepted: &OrderCount,
    ) -> bool {
        let view = self.instance.view.borrow();
        let is_known =
            view.get(endpoint).is_some_and(|state| state.is_ordered_by_us());
        self.holds_lease(epoch) && !(is_known && accepted.get().is_some())
    }

    /// Returns whether this instance holds the lease under an epoch.
    fn holds_lease(&self, epoch: Epoch) -> bool {
        let held = self.instance.current_lease(Instant::now());
        held.is_some_and(|held| held.epoch == epoch)
    }

    /// Asks an engine for a report of what it holds, once the report must show
    /// the last order. A report that arrives under a later epoch is ignored,
    /// since that epoch requests its own.
    async fn sync(
        &self,
        order: &Order,
        accepted: &mut OrderCount,
        last_sent: Option<Instant>,
    ) {
        let epoch = accepted.epoch();
        if self.is_cooling_down(&order.endpoint) {
            return;
        }
        let since = last_sent.map_or(Duration::MAX, |at| at.elapsed());
        compio::time::sleep(REPORT_LAG.saturating_sub(since)).await;
        match self.report(order).await {
            Some(_) if !self.holds_lease(epoch) => {
                let endpoint = &order.endpoint;
                tracing::info!(event = "report_outdated", endpoint, epoch);
            }
            Some(report) if !report.is_busy => {
                tracing::info!(
                    event = "engine_synced",
                    endpoint = order.endpoint,
                    orders_taken = report.orders_taken,
                    coming = report.loading.len(),
                    born = report.born,
                );
                let now = Instant::now();
                let mut view = self.instance.view.borrow_mut();
                let is_current_incarnation =
                    view.apply_report(&order.endpoint, &report, now);
                accepted.set(
                    is_current_incarnation.then_some(report.orders_taken),
                );
            }
            Some(_) => {
                tracing::info!(
                    event = "engine_busy",
                    endpoint = order.endpoint
                );
            }
            None => {}
        }
    }

    /// Returns an engine's report, if the engine gives one.
    async fn report(&self, order: &Order) -> Option<EngineReport> {
        let endpoint = &order.endpoint;
        let report = engine::report(&self.instance.pool, order.address).await;
        let err = match report {
            Ok(report) => return Some(report),
            Err(err) => err,
        };
        if let ReportError::CooldownRequested(cooldown) = err {
            self.apply_cooldown(endpoint, cooldown);
        }
        let cause = err.to_string();
        tracing::warn!(event = "report_failed", endpoint, cause);
        None
    }

    /// Asks an engine whose contents are known which of its loads have ended.
    async fn confirm_loads(&self, epoch: Epoch, order: &Order) {
        let endpoint = &order.endpoint;
        if !self.holds_lease(epoch) || self.is_cooling_down(endpoint) {
            return;
        }
        let Some(as_of) = Instant::now().checked_sub(REPORT_LAG) else {
            return;
        };
        let Some(report) = self.report(order).await else { return };
        tracing::info!(
            event = "loads_reported",
            endpoint,
            orders_taken = report.orders_taken,
            coming = report.loading.len(),
        );
        if self.holds_lease(epoch) {
            let mut view = self.instance.view.borrow_mut();
            view.confirm_loads(endpoint, &report, as_of);
            drop(view);
            self.instance.notify_planner();
        }
    }

    fn is_cooling_down(&self, endpoint: &EndpointId) -> bool {
        self.instance.view.borrow().is_cooling_down(endpoint, Instant::now())
    }

    fn apply_cooldown(&self, endpoint: &EndpointId, cooldown: Duration) {
        let answered = AnsweredRequest {
            endpoint: endpoint.clone(),
            born: self.instance.view.borrow().incarnation(endpoint),
            sent: Instant::now(),
        };
        announcements::apply_cooldown(
            &self.instance,
            &answered,
            cooldown,
            "order",
        );
    }

    fn may_order(&self, epoch: Epoch) -> bool {
        let now = Instant::now();
        self.instance
            .current_lease(now + ORDER_MARGIN)
            .is_some_and(|held| held.epoch == epoch && now >= held.order_from)
    }

    /// Sends an order that states a count, and records in `accepted` how many
    /// orders the engine has accepted after it. If that is unknown, no further
    /// order may be sent.
    async fn send(
        &self,
        order: &Order,
        count: u64,
        accepted: &mut OrderCount,
    ) {
        let epoch = accepted.epoch();
        let born = self.instance.view.borrow().incarnation(&order.endpoint);
        if let Task::Unload(key) = &order.task {
            let (endpoint, key) = (order.endpoint.clone(), key.clone());
            let removed = Removed { epoch, endpoint, key, born };
            self.broadcast(Note::Removed(removed));
        }
        let instance = self.instance.id().clone();
        let holder = LeaseHolder { instance, epoch };
        let sent = Instant::now();
        let answer = engine::order(
            &self.instance.pool,
            order.address,
            &order.endpoint,
            &order.task,
            &holder,
            count,
        )
        .await;
        tracing::info!(
            event = "order",
            endpoint = order.endpoint,
            task = ?order.task,
            is_cold = order.is_cold,
            epoch,
            answer = ?answer,
            took_ms = sent.elapsed().as_millis() as u64,
        );
        metrics::counter!("sedgewall_orders_total").increment(1);
        if self.instance.view.borrow().incarnation(&order.endpoint) != born {
            // Whatever the engine answered, it has restarted since and lost
            // the effect of the order.
            tracing::info!(
                event = "order_outlived",
                endpoint = order.endpoint
            );
            self.cancel_load(order);
            order.revert(&mut self.instance.view.borrow_mut());
            accepted.set(None);
            return;
        }
        let result = match &answer {
            OrderAnswer::Done => OrderResult::Done,
            OrderAnswer::Accepted => OrderResult::Accepted,
            OrderAnswer::Refused(_)
            | OrderAnswer::Rests(_)
            | OrderAnswer::Unclear(_) => OrderResult::Unclear,
        };
        accepted.record(&order.task, result);
        if accepted.is_raised()
            && let Some(planner) = self.planner.borrow_mut().as_mut()
        {
            planner.record_raised_count(epoch, &order.endpoint);
        }
        match answer {
            OrderAnswer::Done => {
                self.record_already_loaded(order);
                self.broadcast_placement(epoch, order, false);
            }
            OrderAnswer::Accepted => {
                self.record_load_accepted(order);
                self.broadcast_placement(epoch, order, order.is_cold);
            }
            OrderAnswer::Rests(cooldown) => {
                self.apply_cooldown(&order.endpoint, cooldown);
                self.cancel_load(order);
            }
            OrderAnswer::Refused(_) | OrderAnswer::Unclear(_) => {
                self.cancel_load(order);
            }
        }
        if accepted.get().is_none() {
            order.revert(&mut self.instance.view.borrow_mut());
        }
    }

    /// Removes a load from the loads in flight.
    fn cancel_load(&self, order: &Order) {
        if let Task::Load(key, _) = &order.task {
            let mut times = self.instance.load_times.borrow_mut();
            times.cancel(&order.endpoint, key);
        }
    }

    /// Records that an engine has begun a load.
    fn record_load_accepted(&self, order: &Order) {
        let Task::Load(key, _) = &order.task else { return };
        let mut times = self.instance.load_times.borrow_mut();
        times.order_accepted(&order.endpoint, key, Instant::now());
    }

    /// Records that an engine already held the adapter. Nothing is loaded, so
    /// the answer shows nothing about load times.
    fn record_already_loaded(&self, order: &Order) {
        let Task::Load(key, _) = &order.task else { return };
        self.cancel_load(order);
        let mut view = self.instance.view.borrow_mut();
        view.mark_present(&order.endpoint, key, Instant::now());
    }

    fn broadcast_placement(&self, epoch: Epoch, order: &Order, is_cold: bool) {
        let Task::Load(key, version) = &order.task else { return };
        let now = Instant::now();
        let mut view = self.instance.view.borrow_mut();
        let ready_in = view.order_accepted(&order.endpoint, key, now);
        let born = view.incarnation(&order.endpoint);
        drop(view);
        let ready_in = ready_in.unwrap_or_default();
        let placed = Placed {
            epoch,
            endpoint: order.endpoint.clone(),
            key: key.clone(),
            version: *version,
            ready_in_ms: ready_in.as_millis() as u64,
            is_cold,
            born,
        };
        let awaiting =
            self.instance.awaiting_instances.borrow_mut().remove(key);
        for peer in awaiting.into_iter().flatten() {
            let note = Note::Placed(placed.clone());
            self.sender.send_to_peer(&self.instance, &peer, &note);
        }
        self.broadcast(Note::Placed(placed));
        self.instance.wake(key);
    }

    fn broadcast(&self, note: Note) {
        self.instance.broadcast_queue.borrow_mut().push(note);
        self.instance.notify_notes();
    }
}
