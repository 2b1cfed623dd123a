//! The bytes that this instance holds of requests and responses, under budgets
//! of [`sedgewall_fleet::buffer_budget`].
//!
//! Where callers and endpoints may read slowly, one budget covers all of them,
//! and the largest response is evicted if it is exhausted. Elsewhere requests
//! and responses have a budget each, and nothing is evicted: a response that
//! does not fit is forwarded as it arrives.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::{Rc, Weak},
    time::Duration,
};

use futures_channel::oneshot;
use sedgewall_clock::Instant;
use sedgewall_fleet::buffer_budget::{BufferBudget, HolderId, Reservation};
use sedgewall_platform::contracts::Features;
use sedgewall_protocol::settings::FleetSettings;
use sedgewall_transport::{SlowClientLimits, pool::MAX_COLLECTED_LEN};

use super::buffered_delivery::Delivery;

/// The part of an instance's memory that is its budget if none is set.
const MEMORY_DIVISOR: u64 = 5;

/// The size of a megabyte in settings.
const MB: u64 = 1_000_000;

/// The budgets of responses and of requests in bytes, if the settings name
/// neither a budget nor the instance's memory.
const DEFAULT_RESPONSE_BUDGET: u64 = 28 * MB;
const DEFAULT_REQUEST_BUDGET: u64 = 16 * MB;

/// The time after which the room of a request body that has not come whole may
/// be given to another one.
const SLOW_BODY_TIME: Duration = Duration::from_millis(250);

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

/// The budgets of one instance.
pub(crate) struct Memory {
    pub(crate) requests: Rc<Buffers>,
    pub(crate) responses: Rc<Buffers>,
    /// The budget of both where callers and endpoints may read slowly.
    pub(crate) slow_readers: Option<Rc<Buffers>>,
}

impl Memory {
    pub(crate) fn new(fleet: &FleetSettings) -> Memory {
        if let Some(limit) = budget_bytes(fleet) {
            let buffers = Buffers::new(limit, Policy::Evict);
            return Memory {
                requests: buffers.clone(),
                responses: buffers.clone(),
                slow_readers: Some(buffers),
            };
        }
        let of_memory = fleet.memory_mb.map(|mb| part_of_memory(mb) / 2);
        let requests = of_memory.unwrap_or(DEFAULT_REQUEST_BUDGET);
        let responses = of_memory.unwrap_or(DEFAULT_RESPONSE_BUDGET);
        Memory {
            requests: Buffers::new(requests, Policy::Deny),
            responses: Buffers::new(responses, Policy::Deny),
            slow_readers: None,
        }
    }
}

/// What becomes of a reservation that does not fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// The largest response is evicted for it, if that is larger.
    Evict,
    /// It is denied.
    Deny,
}

/// A request body that is being read.
struct ReadingBody {
    began: Instant,
    /// Dropping it ends the reading.
    _room: oneshot::Sender<()>,
}

/// One budget, and the responses that can be evicted.
pub(crate) struct Buffers {
    budget: RefCell<BufferBudget>,
    policy: Policy,
    deliveries: RefCell<HashMap<HolderId, Weak<Delivery>>>,
    /// The request bodies that are being read, by age.
    bodies: RefCell<BTreeMap<HolderId, ReadingBody>>,
}

fn part_of_memory(memory_mb: u64) -> u64 {
    memory_mb.saturating_mul(MB) / MEMORY_DIVISOR
}

/// Returns the budget for slow readers in bytes, or `None` if the settings ask
/// for none.
fn budget_bytes(fleet: &FleetSettings) -> Option<u64> {
    let of_memory = || {
        let features = Features::of_contracts(&fleet.contracts);
        let memory_mb = fleet.memory_mb.filter(|_| features.has_buffer_budget);
        memory_mb.map(part_of_memory)
    };
    fleet.buffer_budget_bytes.or_else(of_memory)
}

impl Buffers {
    fn new(limit: u64, policy: Policy) -> Rc<Buffers> {
        Rc::new(Buffers {
            budget: RefCell::new(BufferBudget::new(limit)),
            policy,
            bodies: RefCell::default(),
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

    /// Returns the maximum length of a response that is no stream.
    pub(super) fn max_response_len(&self) -> u64 {
        match self.policy {
            Policy::Evict => u64::MAX,
            Policy::Deny => MAX_COLLECTED_LEN as u64,
        }
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
    /// largest response for them if the budget allows that. Returns whether
    /// they are reserved.
    pub(crate) fn reserve(&self, bytes: u64) -> bool {
        if self.buffers.policy == Policy::Deny {
            return self.reserve_spare(bytes);
        }
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

/// The reservation of a request body that is being read.
///
/// A body that does not fit takes the room of the one that has been read for
/// longest, if that is for [`SLOW_BODY_TIME`]. That request has not run. Bodies
/// that come at the same time do not take the room of each other.
pub(super) struct BodyReservation {
    reserved: Reserved,
}

impl BodyReservation {
    /// Returns a reservation, and a future that completes when its room is
    /// given to another body.
    pub(super) fn open(
        buffers: &Rc<Buffers>,
    ) -> (BodyReservation, oneshot::Receiver<()>) {
        let reserved = Reserved::open(buffers);
        let (room, room_lost) = oneshot::channel();
        let body = ReadingBody { began: Instant::now(), _room: room };
        buffers.bodies.borrow_mut().insert(reserved.id, body);
        (BodyReservation { reserved }, room_lost)
    }

    /// Reserves bytes. Returns whether they are reserved.
    pub(super) fn reserve(&self, bytes: u64) -> bool {
        let Reserved { buffers, id } = &self.reserved;
        while !self.reserved.reserve(bytes) {
            let mut bodies = buffers.bodies.borrow_mut();
            let oldest = bodies.iter().find(|(other, _)| *other != id);
            let oldest = oldest
                .filter(|(_, body)| body.began.elapsed() >= SLOW_BODY_TIME);
            let Some((&oldest, _)) = oldest else { return false };
            bodies.remove(&oldest);
            buffers.budget.borrow_mut().close(oldest);
        }
        true
    }

    /// Returns the reservation of a body that has come whole, whose room is
    /// given to no other.
    pub(super) fn finish(self) -> Reserved {
        let Reserved { buffers, id } = &self.reserved;
        buffers.bodies.borrow_mut().remove(id);
        self.reserved
    }
}

/// A reservation that grows and shrinks with what its holder keeps.
pub(super) struct Kept {
    reserved: Reserved,
    bytes: u64,
}

impl Kept {
    pub(super) fn open(buffers: &Rc<Buffers>) -> Kept {
        Kept { reserved: Reserved::open(buffers), bytes: 0 }
    }

    /// Sets the number of bytes that are kept. Returns whether they fit the
    /// budget; if not, the reservation stays as it is.
    pub(super) fn set(&mut self, bytes: u64) -> bool {
        if bytes <= self.bytes {
            self.reserved.release(self.bytes - bytes);
        } else if !self.reserved.reserve(bytes - self.bytes) {
            return false;
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.buffers.budget.borrow_mut().close(self.id);
        self.buffers.deliveries.borrow_mut().remove(&self.id);
        self.buffers.bodies.borrow_mut().remove(&self.id);
    }
}
