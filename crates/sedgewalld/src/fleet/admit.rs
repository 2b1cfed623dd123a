//! What the configuration decides of a request: its route, whose it is, and whether
//! its customer may send it.

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

/// How long a request that the configuration refuses waits for a newer one that was
/// heard of: two questions to other instances.
const NEWER_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(250);

/// What the configuration decides a request by.
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

/// Decides by the configuration in force; where that refuses for good and a newer one
/// was heard of, by that one, which another instance gives in some 5 ms. A refusal
/// that the newer one may not hold to is for now: callers do not come back after 404.
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

/// Returns whose a request is. Each request is looked at by itself: a key that
/// was taken away stops on open connections too, and what was read before runs
/// on.
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

/// Takes what a request counts of its customer's allowance.
pub(super) fn charge_allowance(
    instance: &FleetInstance,
    customer: &Customer,
    tokens: u64,
) -> Result<(), Reason> {
    let Some(allowance) = customer.allowance else { return Ok(()) };
    let units = allowance.unit.count(tokens);
    let (now, instances) = (Instant::now(), instance.instance_count());
    let mut shares = instance.shares.borrow_mut();
    let taken = shares.take(customer, units, instances, now);
    taken.map_err(Reason::OverAllowance)
}

/// Gives back what a request took of its customer's allowance and did not use.
pub(super) fn refund_allowance(
    instance: &FleetInstance,
    call: &CallerRequest,
) {
    let Some(customer) = &call.customer else { return };
    let Some(allowance) = customer.allowance else { return };
    let tokens = call.facts.prompt_tokens + call.facts.answer_tokens;
    let units = allowance.unit.count(tokens);
    instance.shares.borrow_mut().refund(customer, units);
}
