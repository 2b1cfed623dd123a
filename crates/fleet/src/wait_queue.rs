//! The queue of requests that wait for an endpoint, with their order.
//!
//! Requests leave by effective priority; within a priority those that can
//! still be answered in time go first, and customers share what is left in
//! proportion to nothing but their number. Nothing in this module performs I/O
//! or reads a clock. The invariant: no request stays in the queue beyond the
//! latest time at which it can still be answered.

use std::time::Duration;

use sedgewall_clock::Instant;

use crate::customer::CustomerName;

/// Identifies a request in one queue.
pub type WaitId = u64;

/// A request that waits for an endpoint.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The effective priority, 0 being the most urgent.
    pub priority: u8,
    /// The customer, if the route needs a key.
    pub customer: Option<CustomerName>,
    /// What the request takes of the scarce resource: tokens at engines, 1 at
    /// plain services.
    pub cost: f64,
    /// When the request arrived.
    pub arrived: Instant,
    /// The latest time to send the request so that its answer begins within
    /// the target.
    pub in_time_until: Instant,
    /// The latest time to send the request so that its answer ends before the
    /// deadline.
    pub send_until: Instant,
}

/// What the queue knows of the capacity that requests wait for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedWait {
    /// Number of requests that leave the queue first.
    pub position: usize,
    /// The expected time until capacity is available; `None` before enough
    /// requests have left the queue.
    pub wait: Option<Duration>,
}
