//! The bytes that this instance holds for callers and endpoints that read
//! slowly, under the budget of [`sedgewall_fleet::buffer_budget`].

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use sedgewall_fleet::buffer_budget::{BufferBudget, HolderId, Reservation};
use sedgewall_platform::contracts::Features;
use sedgewall_protocol::settings::FleetSettings;
use sedgewall_transport::SlowClientLimits;

use super::buffered_delivery::Delivery;

/// The part of an instance's memory that is its budget if none is set.
const MEMORY_DIVISOR: u64 = 5;

/// The size of a megabyte in settings.
const MB: u64 = 1_000_000;

/// The interval at which responses are checked for callers that do not read.
/// Endpoints abort a response that stays unread for some seconds.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of bytes that a connection buffers beyond the budget.
/// Larger than the headers that any configuration allows callers.
pub(crate) const CONNECTION_BUFFER: usize = 64 << 10;

/// The limits of callers' connections. Callers wait up to 10 s for an answer,
/// and may leave it unread as long.
pub(crate) const SLOW_CALLERS: SlowClientLimits = SlowClientLimits {
    max_buffer: CONNECTION_BUFFER,
    unread_timeout: Duration::from_secs(10),
};

/// The budget of one instance, and the responses that can be evicted.
pub(crate) struct Buffers {
    budget: RefCell<BufferBudget>,
    deliveries: RefCell<HashMap<HolderId, Weak<Delivery>>>,
}

/// Returns the budget in bytes, or `None` if the settings ask for none.
pub(crate) fn budget_bytes(fleet: &FleetSettings) -> Option<u64> {
    let of_memory = || {
        let features = Features::of_contracts(&fleet.contracts);
        let memory_mb = fleet.memory_mb.filter(|_| features.has_buffer_budget);
        memory_mb.map(|mb| mb.saturating_mul(MB) / MEMORY_DIVISOR)
    };
    fleet.buffer_budget_bytes.or_else(of_memory)
}

impl Buffers {
    pub(crate) fn new(limit: u64) -> Rc<Buffers> {
        Rc::new(Buffers {
            budget: RefCell::new(BufferBudget::new(limit)),
            deliveries: RefCell::default(),
        })
    }

    /// Returns the sum of all reservations in bytes.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.budget.borrow().held()
    }

    /// Returns the size of the budget in bytes.
    pub(crate) fn limit(&self) -> u64 {
        self.budget.borrow().limit()
    }

    /// Adds a response, which from now on can be evicted.
    pub(super) fn register(&self, delivery: &Rc<Delivery>) {
        let id = delivery.reserved.id;
        self.budget.borrow_mut().allow_eviction(id);
        let delivery = Rc::downgrade(delivery);
        self.deliveries.borrow_mut().insert(id, delivery);
    }

    /// Checks regularly for callers that do not read their responses.
    pub(crate) async fn watch_callers(self: Rc<Buffers>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let deliveries: Vec<Rc<Delivery>> = {
                let deliveries = self.deliveries.borrow();
                deliveries.values().filter_map(Weak::upgrade).collect()
            };
            for delivery in deliveries {
                delivery.check_caller();
            }
        }
    }

    fn evict(&self, id: HolderId) {
        let delivery = self.deliveries.borrow().get(&id).cloned();
        if let Some(delivery) = delivery.and_then(|weak| weak.upgrade()) {
            delivery.evict();
        }
    }
}

/// The bytes that one holder has reserved. They are released when it is
/// dropped.
pub(crate) struct Reserved {
    buffers: Rc<Buffers>,
    id: HolderId,
}

impl Reserved {
    pub(crate) fn open(buffers: &Rc<Buffers>) -> Reserved {
        let id = buffers.budget.borrow_mut().open();
        Reserved { buffers: buffers.clone(), id }
    }

    /// Reserves bytes that are needed to serve a request, and evicts the
    /// largest response for them. Returns whether they are reserved.
    pub(crate) fn reserve(&self, bytes: u64) -> bool {
        let reservation =
            self.buffers.budget.borrow_mut().reserve(self.id, bytes);
        if let Reservation::GrantedAfterEvicting(evicted) = reservation {
            self.buffers.evict(evicted);
        }
        reservation != Reservation::Denied
    }

    /// Reserves bytes that are read ahead. Returns whether they are reserved.
    pub(super) fn reserve_spare(&self, bytes: u64) -> bool {
        self.buffers.budget.borrow_mut().reserve_spare(self.id, bytes)
    }

    pub(super) fn release(&self, bytes: u64) {
        self.buffers.budget.borrow_mut().release(self.id, bytes);
    }

    pub(super) fn buffers(&self) -> &Rc<Buffers> {
        &self.buffers
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.buffers.budget.borrow_mut().close(self.id);
        self.buffers.deliveries.borrow_mut().remove(&self.id);
    }
}
