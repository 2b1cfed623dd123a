//! Sends orders to engines, one after the other for each engine.
//!
//! The invariant: an order goes out only while the lease is current on our own
//! clock, and a load that needs a place goes out only after the place was
//! seen to be free.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::mpsc;
use futures_util::StreamExt;
use sedgewall_fleet::{
    loader::{Loader, Order, Task},
    note::{Note, Placed, Removed},
};
use sedgewall_platform::engine::{self, Holder, OrderAnswer};
use sedgewall_state::id::{EndpointId, Epoch};

use super::{node::FleetNode, notes::NoteSender};

/// What must be left of the lease when an order goes out: an order travels,
/// and its engine may hear it only while the lease holds.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// Orders to one engine that belong together: if one fails, those after it
/// are not sent.
type Batch = (Epoch, Vec<Order>);

/// The queues of orders, by engine.
#[derive(Clone)]
pub(crate) struct Orders {
    node: Rc<FleetNode>,
    sender: Rc<NoteSender>,
    pub(crate) loader: Rc<RefCell<Option<Loader>>>,
    queues: Rc<RefCell<HashMap<EndpointId, mpsc::UnboundedSender<Batch>>>>,
}

impl Orders {
    pub(crate) fn new(node: Rc<FleetNode>, sender: Rc<NoteSender>) -> Orders {
        let (loader, queues) = (Rc::default(), Rc::default());
        Orders { node, sender, loader, queues }
    }

    /// Sends orders; those in a row for one engine belong together.
    pub(crate) fn give(&self, epoch: Epoch, orders: Vec<Order>) {
        let mut batches: Vec<Vec<Order>> = Vec::new();
        for order in orders {
            match batches.last_mut() {
                Some(batch)
                    if batch[0].endpoint == order.endpoint
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

    /// Forgets the queues of engines that are gone.
    pub(crate) fn forget_gone(&self) {
        let view = self.node.view.borrow();
        let mut queues = self.queues.borrow_mut();
        queues.retain(|id, _| view.get(id).is_some());
    }

    fn enqueue(&self, batch: Batch) {
        let id = batch.1[0].endpoint.clone();
        let mut queues = self.queues.borrow_mut();
        let tx = queues.entry(id).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded();
            compio::runtime::spawn(self.clone().work(rx)).detach();
            tx
        });
        if tx.unbounded_send(batch).is_err() {
            tracing::error!(event = "order_queue_gone");
        }
    }

    async fn work(self, mut rx: mpsc::UnboundedReceiver<Batch>) {
        while let Some((epoch, batch)) = rx.next().await {
            let mut is_stopped = false;
            for order in batch {
                if is_stopped || !self.may_order(epoch) {
                    self.take_back(&order);
                    is_stopped = true;
                } else {
                    is_stopped = !self.send(epoch, &order).await;
                }
            }
        }
    }

    fn may_order(&self, epoch: Epoch) -> bool {
        let now = Instant::now();
        self.node.current_lease(now + ORDER_MARGIN).is_some_and(|held| {
            held.epoch == epoch && now >= held.order_from
        })
    }

    /// Returns whether what follows in the batch may be sent.
    async fn send(&self, epoch: Epoch, order: &Order) -> bool {
        if let Task::Unload(key) = &order.task {
            let (endpoint, key) = (order.endpoint.clone(), key.clone());
            let removed = Removed { epoch, endpoint, key };
            self.sender.broadcast(&self.node, &Note::Removed(removed));
        }
        let instance = self.node.id().clone();
        let holder = Holder { instance, epoch };
        let sent = Instant::now();
        let answer = engine::order(
            &self.node.pool,
            order.address,
            &order.endpoint,
            &order.task,
            &holder,
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
        self.settle(epoch, order, &answer)
    }

    fn settle(
        &self,
        epoch: Epoch,
        order: &Order,
        answer: &OrderAnswer,
    ) -> bool {
        let is_unload = matches!(order.task, Task::Unload(_));
        match answer {
            OrderAnswer::Done => self.tell_placed(epoch, order),
            OrderAnswer::Accepted if !is_unload => {
                self.tell_placed(epoch, order);
            }
            // The place is free only after the runs there have ended.
            OrderAnswer::Accepted | OrderAnswer::Unclear(_) => {
                self.note_unclear(order);
                return false;
            }
            OrderAnswer::Refused(_) => {
                self.take_back(order);
                return false;
            }
        }
        true
    }

    fn tell_placed(&self, epoch: Epoch, order: &Order) {
        let Task::Load(key, version) = &order.task else { return };
        let now = Instant::now();
        let ready_in = self
            .node
            .view
            .borrow()
            .get(&order.endpoint)
            .and_then(|state| state.seat(key))
            .map_or(Duration::ZERO, |seat| {
                seat.ready_at.saturating_duration_since(now)
            });
        let placed = Placed {
            epoch,
            endpoint: order.endpoint.clone(),
            key: key.clone(),
            version: *version,
            ready_in_ms: ready_in.as_millis() as u64,
        };
        self.sender.broadcast(&self.node, &Note::Placed(placed));
        self.node.wake(key);
    }

    fn note_unclear(&self, order: &Order) {
        if let Some(loader) = self.loader.borrow_mut().as_mut() {
            loader.unclear(order, Instant::now());
        }
        if let Task::Load(key, _) = &order.task {
            self.forget_seat(order, key);
        }
    }

    /// An order that was not carried out leaves the table as it was.
    fn take_back(&self, order: &Order) {
        if let Task::Load(key, _) = &order.task {
            self.forget_seat(order, key);
        }
        // What an unload left out shows in the platform's list again.
    }

    fn forget_seat(
        &self,
        order: &Order,
        key: &sedgewall_fleet::adapter::AdapterKey,
    ) {
        let mut view = self.node.view.borrow_mut();
        view.take_back(&order.endpoint, key);
    }
}
