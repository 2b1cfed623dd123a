//! Makes requests that were read wait for their turn to begin, or refuses them,
//! as [`sedgewall_fleet::intake`] decides.
//!
//! A refusal must cost much less than a request, so it comes before the body is
//! read, and is counted and not logged.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_channel::oneshot;
use http::{Request, header};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    intake::{Admission, Intake, Offer, Priority, Release, Ticket},
    route::RoutingConfiguration,
};

use super::{caller::host_of, instance::FleetInstance, refusal::Reason};

/// The target latency of a request whose route is not known, which is refused
/// soon after it has begun.
const UNKNOWN_ROUTE_TARGET: Duration = Duration::from_millis(400);

/// The response to a request on a new connection that is refused unread. Its
/// caller may be served by another instance, to which the load balancer sends
/// the next connection.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\nretry-after: 0.100\r\ncontent-length: 0\r\n\r\n";

/// The interval at which refused requests are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The requests of an instance that were read and have not begun.
#[derive(Default)]
pub(crate) struct IntakeQueue {
    intake: RefCell<Intake>,
    /// Where each request that waits is told whether it begins.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<bool>>>,
    /// Requests refused since the last line of the log.
    refused: Cell<u64>,
    logged: Cell<Option<Instant>>,
}

impl IntakeQueue {
    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.intake.borrow().len()
    }

    /// Begins a turn of the loop. Returns whether requests wait.
    pub(crate) fn begin_turn(&self, now: Instant, behind: Duration) -> bool {
        let refused = self.intake.borrow_mut().begin_turn(now, behind);
        for release in refused {
            self.release(release);
        }
        self.release_next(now);
        self.log(now, behind);
        self.len() > 0
    }

    fn release_next(&self, now: Instant) {
        let next = self.intake.borrow_mut().begin_next(now);
        if let Some(release) = next {
            self.release(release);
        }
    }

    fn release(&self, release: Release) {
        let (ticket, begins) = match release {
            Release::Begin(ticket) => (ticket, true),
            Release::Refuse(ticket) => (ticket, false),
        };
        if let Some(tx) = self.waiting.borrow_mut().remove(&ticket) {
            // Fails if the caller has left, whose guard then goes on.
            let _ = tx.send(begins);
        }
    }

    fn log(&self, now: Instant, behind: Duration) {
        let logged = self.logged.get();
        let is_due = logged.is_none_or(|at| now - at >= LOG_INTERVAL);
        if self.refused.get() == 0 || !is_due {
            return;
        }
        self.logged.set(Some(now));
        tracing::warn!(
            event = "overloaded",
            refused = self.refused.take(),
            waiting = self.len(),
            behind_ms = behind.as_millis() as u64,
        );
    }

    /// Returns the response to all new connections while the instance is
    /// overloaded, and counts it.
    pub(crate) fn refuse_connection(&self) -> Option<Bytes> {
        if !self.intake.borrow().is_overloaded() {
            return None;
        }
        self.refuse();
        Some(Bytes::from_static(REFUSAL))
    }

    /// Counts a refused request.
    fn refuse(&self) -> Reason {
        self.refused.set(self.refused.get() + 1);
        metrics::counter!("sedgewall_overload_refused_total").increment(1);
        Reason::Overloaded
    }
}

/// Waits until a request may begin.
///
/// # Errors
///
/// If its turn would come too late.
pub(super) async fn enter<B>(
    instance: &FleetInstance,
    request: &Request<B>,
) -> Result<(), Reason> {
    let queue = &instance.intake;
    let now = Instant::now();
    if queue.intake.borrow().begins_at_once(now) {
        return Ok(());
    }
    if queue.intake.borrow().is_late() {
        return Err(queue.refuse());
    }
    let offer = offer_of(instance.routing(), request);
    let admission = queue.intake.borrow_mut().offer(offer, now);
    let ticket = match admission {
        Admission::Begin => return Ok(()),
        Admission::Refuse => return Err(queue.refuse()),
        Admission::Wait(ticket) => ticket,
    };
    let last = queue.intake.borrow_mut().refuse_last();
    let (tx, rx) = oneshot::channel();
    queue.waiting.borrow_mut().insert(ticket, tx);
    if let Some(release) = last {
        queue.release(release);
    }
    let priority = offer.priority;
    let mut guard = WaitGuard { queue, priority, ticket, is_over: false };
    let begins = rx.await.unwrap_or(false);
    guard.is_over = true;
    match begins {
        true => {
            // Another one begins after this request, if there is time left.
            queue.release_next(Instant::now());
            Ok(())
        }
        false => Err(queue.refuse()),
    }
}

fn offer_of<B>(
    routing: Option<Rc<RoutingConfiguration>>,
    request: &Request<B>,
) -> Offer {
    let host = request.headers().get(header::HOST);
    let host = host_of(host, request.uri());
    let route = routing
        .as_ref()
        .and_then(|routing| routing.route(host, request.uri().path()));
    match route {
        Some(route) => Offer::new(route.priority, route.target_latency),
        None => Offer::new(Priority::MAX, UNKNOWN_ROUTE_TARGET),
    }
}

/// Removes a request from the queue whose caller leaves while it waits.
struct WaitGuard<'a> {
    queue: &'a IntakeQueue,
    priority: Priority,
    ticket: Ticket,
    is_over: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let queue = self.queue;
        queue.intake.borrow_mut().leave(self.priority, self.ticket);
        let was_waiting =
            queue.waiting.borrow_mut().remove(&self.ticket).is_some();
        if !was_waiting {
            queue.release_next(Instant::now());
        }
    }
}
