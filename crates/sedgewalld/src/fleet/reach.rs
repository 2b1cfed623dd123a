//! Probes whether this instance reaches the endpoints, and acts on changes.
//!
//! The rules are those of [`sedgewall_fleet::endpoint_reach`]. While the
//! endpoints of a service are out of reach, its requests are forwarded through
//! other instances ([`super::forwarding`]), and failures are not attributed to
//! the endpoints.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use futures_util::future::join_all;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint_reach::{LossCause, PROBES, ReachChange, RoundResult},
    route::ServiceName,
};
use sedgewall_state::id::EndpointId;
use sedgewall_transport::ProbeOutcome;

use super::instance::FleetInstance;

/// The timeout of the first probe of a round. Within a region a connection
/// takes milliseconds.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The timeout of the other probes of a round.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of endpoints of each other service that are probed to see
/// whether this instance's own path is cut.
const PROBES_PER_OTHER_SERVICE: usize = 2;

/// How long another instance's report of lost services is valid.
const REPORT_VALID_FOR: Duration = Duration::from_secs(5);

/// Requests that wait for an answer, and are told when the endpoints of their
/// service have become silent.
#[derive(Default)]
pub(crate) struct SilenceSignals {
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, (ServiceName, oneshot::Sender<()>)>>,
}

/// A request's registration with [`SilenceSignals`], until it is dropped.
pub(crate) struct SilenceSignal {
    instance: Rc<FleetInstance>,
    number: u64,
    rx: oneshot::Receiver<()>,
}

impl SilenceSignals {
    fn notify(&self, service: &str) {
        let mut waiting = self.waiting.borrow_mut();
        let silent = waiting.extract_if(.., |_, (of, _)| of == service);
        for (_, (_, tx)) in silent {
            // Fails if the request has just ended.
            let _ = tx.send(());
        }
    }
}

impl SilenceSignal {
    pub(crate) fn register(
        instance: &Rc<FleetInstance>,
        service: &str,
    ) -> SilenceSignal {
        let signals = &instance.silence_signals;
        let number = signals.next.get();
        signals.next.set(number + 1);
        let (tx, rx) = oneshot::channel();
        let waiting = (service.to_owned(), tx);
        signals.waiting.borrow_mut().insert(number, waiting);
        SilenceSignal { instance: instance.clone(), number, rx }
    }

    /// Waits until the endpoints of the service are silent.
    pub(crate) async fn silent(&mut self) {
        if (&mut self.rx).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for SilenceSignal {
    fn drop(&mut self) {
        let signals = &self.instance.silence_signals;
        signals.waiting.borrow_mut().remove(&self.number);
    }
}

/// The services that other instances have reported to be out of their reach,
/// by the address that the instance's notes come from.
#[derive(Default)]
pub(crate) struct LossReports(
    RefCell<HashMap<SocketAddr, (BTreeSet<ServiceName>, Instant)>>,
);

impl LossReports {
    pub(crate) fn record(&self, from: SocketAddr, lost: Vec<ServiceName>) {
        let mut reports = self.0.borrow_mut();
        if lost.is_empty() {
            reports.remove(&from);
            return;
        }
        let lost = lost.into_iter().collect();
        reports.insert(from, (lost, Instant::now()));
    }

    /// Returns whether the instance at an address has reported lately that the
    /// endpoints of a service are out of its reach.
    pub(crate) fn has_lost(&self, from: &SocketAddr, service: &str) -> bool {
        let reports = self.0.borrow();
        let report = reports.get(from);
        report.is_some_and(|(lost, at)| {
            at.elapsed() < REPORT_VALID_FOR && lost.contains(service)
        })
    }

    pub(crate) fn forget(&self) {
        let mut reports = self.0.borrow_mut();
        reports.retain(|_, (_, at)| at.elapsed() < REPORT_VALID_FOR);
    }
}

impl FleetInstance {
    /// Returns the names of the services with engines.
    pub(crate) fn engine_services(&self) -> Vec<ServiceName> {
        let routing = self.routing();
        let engines = routing.iter().flat_map(|routing| routing.engines());
        engines.map(|(service, _)| service.to_owned()).collect()
    }

    /// Returns whether this instance reaches no engine of a service, and
    /// another instance does.
    pub(crate) fn others_reach_lost_engines(&self) -> bool {
        let services = self.engine_services();
        services.iter().any(|service| {
            self.reach.borrow().is_lost(service)
                && self.has_forwarding_peer(service)
        })
    }
}

/// Probes endpoints whenever there is a suspicion. Never returns.
pub(crate) async fn run(instance: Rc<FleetInstance>) {
    loop {
        let wait = instance.reach.borrow().next_due_in(Instant::now());
        instance.reach_notify.wait(wait).await;
        let due = instance.reach.borrow_mut().take_due(Instant::now());
        let rounds = due.iter().map(|service| round(&instance, service));
        join_all(rounds).await;
    }
}

/// Probes endpoints of a service once, and records the result.
async fn round(instance: &Rc<FleetInstance>, service: &str) {
    let draw = rand::random();
    let candidates: Vec<_> =
        instance.view.borrow().probe_candidates(service, PROBES, draw);
    let result = probe_in_turn(instance, service, &candidates).await;
    let now = Instant::now();
    let change =
        instance.reach.borrow_mut().record_round(service, result, now);
    match change {
        ReachChange::None(failed) => report_unreachable(instance, failed),
        ReachChange::Lost(cause) => lost(instance, service, cause, result),
        ReachChange::Regained(after) => regained(instance, service, after),
    }
    let reach = instance.reach.borrow();
    if reach.is_lost(service) && reach.is_silent(service, now) {
        drop(reach);
        instance.silence_signals.notify(service);
    }
}

async fn probe_in_turn(
    instance: &FleetInstance,
    service: &str,
    candidates: &[(EndpointId, SocketAddr)],
) -> RoundResult {
    let others_reach = instance.has_forwarding_peer(service);
    let Some(((_, first), others)) = candidates.split_first() else {
        return RoundResult { probed: 0, answered: 0, others_reach };
    };
    let has_answered = probe(instance, *first, FIRST_PROBE_TIMEOUT).await;
    let answered = usize::from(has_answered);
    let is_expected =
        instance.reach.borrow().is_expected(service, has_answered);
    if is_expected && (has_answered || others_reach) {
        return RoundResult { probed: 1, answered, others_reach };
    }
    let probes = others
        .iter()
        .map(|(_, address)| probe(instance, *address, PROBE_TIMEOUT));
    let answers = join_all(probes).await;
    RoundResult {
        probed: candidates.len(),
        answered: answered + answers.into_iter().filter(|is| *is).count(),
        others_reach,
    }
}

async fn probe(
    instance: &FleetInstance,
    address: SocketAddr,
    within: Duration,
) -> bool {
    instance.pool.probe(address, within).await == ProbeOutcome::Listens
}

/// Returns whether another endpoint than `failed` accepts a new connection, so
/// that a failure of `failed` is not due to this instance's own path.
///
/// If none of its own service does, one request may have crashed them all, or
/// the path to this service may be cut. Endpoints of other services then
/// decide, unless another instance still reaches the service.
pub(crate) async fn is_path_sound(
    instance: &FleetInstance,
    failed: &EndpointId,
) -> bool {
    let draw = rand::random();
    let (own, of_service, of_others) = {
        let view = instance.view.borrow();
        let own = view.get(failed).map(|state| state.endpoint.service.clone());
        let services: BTreeSet<&ServiceName> =
            view.endpoints().map(|state| &state.endpoint.service).collect();
        let mut of_service = Vec::new();
        let mut of_others = Vec::new();
        for service in services {
            if own.as_ref() == Some(service) {
                of_service = view.probe_candidates(service, PROBES + 1, draw);
                of_service.retain(|(id, _)| id != failed);
            } else {
                let count = PROBES_PER_OTHER_SERVICE;
                of_others.extend(view.probe_candidates(service, count, draw));
            }
        }
        (own, of_service, of_others)
    };
    if accepts_any(instance, &of_service).await {
        return true;
    }
    let others_reach =
        own.is_some_and(|service| instance.has_forwarding_peer(&service));
    !others_reach && accepts_any(instance, &of_others).await
}

/// Returns whether any of these endpoints accepts a connection. The first one
/// is probed alone, and the others only if it does not.
async fn accepts_any(
    instance: &FleetInstance,
    endpoints: &[(EndpointId, SocketAddr)],
) -> bool {
    let Some(((_, first), rest)) = endpoints.split_first() else {
        return false;
    };
    if probe(instance, *first, FIRST_PROBE_TIMEOUT).await {
        return true;
    }
    let probes = rest
        .iter()
        .map(|(_, address)| probe(instance, *address, PROBE_TIMEOUT));
    join_all(probes).await.contains(&true)
}

/// Reports engines that failed to accept a connection while others did to the
/// lease holder.
fn report_unreachable(instance: &FleetInstance, failed: BTreeSet<EndpointId>) {
    let view = instance.view.borrow();
    let is_engine = |id: &EndpointId| {
        view.get(id).is_some_and(|state| !state.endpoint.models.is_empty())
    };
    let engines: Vec<_> = failed.into_iter().filter(is_engine).collect();
    if !engines.is_empty() {
        instance.unreachable.borrow_mut().extend(engines);
        instance.notify_notes();
    }
}

fn lost(
    instance: &FleetInstance,
    service: &str,
    cause: LossCause,
    result: RoundResult,
) {
    instance.view.borrow_mut().revoke_ejections(service);
    let since = instance.reach.borrow().lost_since(service);
    tracing::warn!(
        event = "endpoints_lost",
        service,
        cause = cause.name(),
        probed = result.probed,
        since_ms_ago = since.map(|at| at.elapsed().as_millis() as u64),
    );
    metrics::counter!("sedgewall_endpoints_lost_total").increment(1);
    reach_changed(instance);
}

fn regained(instance: &FleetInstance, service: &str, after: Duration) {
    instance.view.borrow_mut().revoke_ejections(service);
    tracing::info!(
        event = "endpoints_regained",
        service,
        after_ms = after.as_millis() as u64,
    );
    reach_changed(instance);
}

/// Tells the other instances at once, and wakes the requests that wait.
fn reach_changed(instance: &FleetInstance) {
    instance.has_urgent_report.set(true);
    instance.notify_notes();
    instance.wake_all();
}
