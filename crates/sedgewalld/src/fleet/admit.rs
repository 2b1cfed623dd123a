//! Admission of requests by the configuration: which route and which customer
//! a request belongs to, and whether the customer may send it.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    configuration::ConfigurationStatus,
    customer::{Customer, KeyDigest},
    route::{Route, RoutingConfiguration},
};

use super::{
    attempt::CallerRequest, instance::FleetInstance, refusal::Reason,
};

/// How long a request that the configuration refuses waits for a newer version
/// that another instance has reported. Leaves time to ask two instances.
const NEWER_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(250);

/// The properties of a request that admission depends on.
pub(super) struct AdmissionQuery {
    pub(super) host: String,
    pub(super) path: String,
    pub(super) credential: Option<KeyDigest>,
}

/// A request that the configuration allows.
pub(super) struct Admitted {
    pub(super) routing: Rc<RoutingConfiguration>,
    pub(super) route: Route,
    pub(super) customer: Option<Rc<Customer>>,
    pub(super) decided_by: ConfigurationStatus,
}

/// Admits a request by the configuration in force.
///
/// If that configuration refuses the request for good and another instance has
/// reported a newer version, fetches that version first, which takes some 5
/// ms, and decides by it. A refusal that a newer version may overturn is
/// returned as temporary, because callers do not retry after 404.
pub(super) async fn admit_by_newest(
    instance: &FleetInstance,
    query: &AdmissionQuery,
) -> Result<Admitted, Reason> {
    let may_be_outdated = |reason: Reason| {
        reason.depends_on_configuration() && instance.is_configuration_behind()
    };
    match admit(instance, query) {
        Err(reason) if may_be_outdated(reason) => {}
        decided => return decided,
    }
    instance.await_newer_configuration(NEWER_CONFIGURATION_TIMEOUT).await;
    admit(instance, query).map_err(|reason| match may_be_outdated(reason) {
        true => Reason::ConfigurationBehind,
        false => reason,
    })
}

fn admit(
    instance: &FleetInstance,
    query: &AdmissionQuery,
) -> Result<Admitted, Reason> {
    let routing = instance.routing().ok_or(Reason::NoConfiguration)?;
    let route = routing.route(&query.host, &query.path);
    let route = route.ok_or(Reason::NoRoute)?.clone();
    let credential = query.credential.as_ref();
    let customer = admit_key(instance, &routing, &route, credential)?;
    let decided_by = instance.configuration_status();
    Ok(Admitted { routing, route, customer, decided_by })
}

/// Returns the customer that a request belongs to, or none if the route needs
/// no key.
///
/// Each request is checked on its own, so that a revoked key stops working on
/// open connections too. Requests that were already admitted run to their end.
fn admit_key(
    instance: &FleetInstance,
    routing: &RoutingConfiguration,
    route: &Route,
    credential: Option<&KeyDigest>,
) -> Result<Option<Rc<Customer>>, Reason> {
    let customers = &routing.customers;
    if customers.is_empty() {
        return Ok(None);
    }
    let Some(credential) = credential else {
        return if route.is_public { Ok(None) } else { Err(Reason::NoKey) };
    };
    if !instance.keys.are_fresh() {
        return Err(Reason::KeysUnsure);
    }
    let known = customers.find_by_key(credential).cloned();
    known.map(Some).ok_or(Reason::UnknownKey)
}

/// Charges a request against its customer's allowance.
pub(super) fn charge_allowance(
    instance: &FleetInstance,
    customer: &Customer,
    tokens: u64,
) -> Result<(), Reason> {
    let Some(allowance) = customer.allowance else { return Ok(()) };
    let units = allowance.unit.count(tokens);
    let (now, instances) = (Instant::now(), instance.instance_count());
    let mut rate_limiter = instance.rate_limiter.borrow_mut();
    let taken = rate_limiter.take(customer, units, instances, now);
    taken.map_err(Reason::OverAllowance)
}

/// Refunds the part of its customer's allowance that a request was charged and
/// did not use.
pub(super) fn refund_allowance(
    instance: &FleetInstance,
    call: &CallerRequest,
) {
    let Some(customer) = &call.customer else { return };
    let tokens = call.metadata.prompt_tokens + call.metadata.answer_tokens;
    refund_tokens(instance, customer, tokens);
}

/// Returns the tokens of a request that did not run to its customer's
/// allowance.
pub(super) fn refund_tokens(
    instance: &FleetInstance,
    customer: &Customer,
    tokens: u64,
) {
    let Some(allowance) = customer.allowance else { return };
    let units = allowance.unit.count(tokens);
    instance.rate_limiter.borrow_mut().refund(customer, units);
}
