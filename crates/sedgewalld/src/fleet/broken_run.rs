//! Runs whose connection broke before the end of the answer.
//!
//! A connection breaks when its endpoint ends, when it is reset, and when its
//! answer is spoiled. What tells these apart is whether the endpoint still listens.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use sedgewall_fleet::view::Target;
use sedgewall_state::id::EndpointId;

use super::{attempt::CallerRequest, node::FleetNode};

/// The longest time for an endpoint's machine to say whether it listens: within a
/// region a connection takes milliseconds.
const PRESENCE_TIME: Duration = Duration::from_millis(400);

/// Notes that the connection of a run broke before the end of its answer, and looks
/// whether its endpoint is still there.
pub(crate) fn broke_off(
    node: &Rc<FleetNode>,
    call: &CallerRequest,
    target: &Target,
    cause: &str,
) {
    tracing::info!(
        event = "run_broken",
        request = call.facts.request_id,
        digest = %call.digest(),
        path = call.uri.path(),
        customer = call.customer.as_ref().map(|c| c.name.as_str()),
        endpoint = target.id,
        cause,
        held_ms = call.arrived.elapsed().as_millis() as u64,
    );
    look(node, target.id.clone(), target.address);
}

/// Looks whether an endpoint is still there, once at a time for each.
fn look(node: &Rc<FleetNode>, id: EndpointId, address: SocketAddr) {
    if !node.looked_at.borrow_mut().insert(id.clone()) {
        return;
    }
    let node = node.clone();
    compio::runtime::spawn(async move {
        let began = Instant::now();
        let presence = node.pool.presence(address, PRESENCE_TIME).await;
        node.looked_at.borrow_mut().remove(&id);
        tracing::info!(
            event = "endpoint_looked_at",
            endpoint = id,
            presence = ?presence,
            took_ms = began.elapsed().as_millis() as u64,
        );
    })
    .detach();
}
