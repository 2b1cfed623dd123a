//! Requests that end endpoints: what our runs show of them, what others say, and
//! what is refused for it.
//!
//! A connection breaks when its endpoint ends, when it is reset, and when its
//! answer is spoiled. What tells these apart is whether the endpoint still listens.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    incarnation::EndpointIncarnation,
    note::Note,
    poison::{Condemned, Crash, Loss, MergeOutcome, Verdict},
    request_digest::RequestDigest,
    view::Target,
};
use sedgewall_state::id::EndpointId;
use sedgewall_transport::ProbeOutcome;

use super::{
    attempt::CallerRequest, instance::FleetNode, refusal::Reason, watch_poison,
};

/// The longest time for an endpoint's machine to say whether it listens: within a
/// region a connection takes milliseconds.
const PRESENCE_TIME: Duration = Duration::from_millis(400);

/// Requests that one line names at most.
const NAMED_RUNS: usize = 8;

/// Returns why a request is not sent on, if it is known to end endpoints.
pub(crate) fn check(
    node: &FleetNode,
    call: &CallerRequest,
    runs: u32,
) -> Result<(), Reason> {
    let poison = node.poison.borrow();
    if !poison.has_suspects() {
        return Ok(());
    }
    let digest = call.digest();
    let Some(verdict) = poison.verdict(digest, Instant::now()) else {
        return Ok(());
    };
    log_refused(call, &verdict);
    Err(match runs {
        0 => Reason::CrashesEndpoints(verdict.released_in),
        _ => Reason::OutcomeUnknown,
    })
}

fn log_refused(call: &CallerRequest, verdict: &Verdict) {
    metrics::counter!("sedgewall_poison_refused_total").increment(1);
    tracing::info!(
        event = "poison_refused",
        request = call.facts.request_id,
        digest = %call.digest(),
        path = call.uri.path(),
        customer = call.customer.as_ref().map(|c| c.name.as_str()),
        ended = names(&verdict.endpoints),
        condemned_ms_ago = verdict.condemned_ago.as_millis() as u64,
        back_in_ms = verdict.released_in.as_millis() as u64,
    );
}

/// Notes that the connection of a run broke before the end of its answer, and looks
/// whether its endpoint is still there.
pub(crate) fn run_broke(
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
    run_lost(node, call, Loss::Broken);
    look(node, target.id.clone(), target.address);
}

/// Notes that the last run of a request will bring no answer. It counts if its
/// endpoint turns out to have ended, and no run of it ended well here lately: what
/// many callers send alike is at each endpoint that ends. Without that, such a read
/// was condemned beside a request that ended all three endpoints of a service.
pub(crate) fn run_lost(node: &FleetNode, call: &CallerRequest, loss: Loss) {
    if node.recent_successes.borrow().contains(call.hash(&node.hash_key)) {
        return;
    }
    let Some(sent) = call.sent_to.borrow().clone() else { return };
    let life = life_of(node, &sent.endpoint);
    let now = Instant::now();
    let mut poison = node.poison.borrow_mut();
    let crash =
        poison.record_lost_run(&life, call.digest(), sent.at, loss, now);
    drop(poison);
    tell(node, crash);
}

/// Notes that a run of a request ended well: it is none that ends endpoints.
pub(crate) fn ended_well(node: &FleetNode, call: &CallerRequest) {
    let hash = call.hash(&node.hash_key);
    node.recent_successes.borrow_mut().record(hash, Instant::now());
    if !node.poison.borrow().has_suspects() {
        return;
    }
    let digest = call.digest();
    if !node.poison.borrow_mut().clear(digest, Instant::now()) {
        return;
    }
    let request = &call.facts.request_id;
    tracing::info!(event = "poison_cleared", %digest, request);
    tell_cleared(node, digest);
    watch_poison::refute(node, digest);
}

/// Looks whether an endpoint is still there, once at a time for each.
fn look(node: &Rc<FleetNode>, id: EndpointId, address: SocketAddr) {
    if !node.looked_at.borrow_mut().insert(id.clone()) {
        return;
    }
    let node = node.clone();
    let life = life_of(&node, &id);
    compio::runtime::spawn(async move {
        let began = Instant::now();
        let presence = node.pool.probe(address, PRESENCE_TIME).await;
        node.looked_at.borrow_mut().remove(&id);
        tracing::info!(
            event = "endpoint_looked_at",
            endpoint = id,
            presence = ?presence,
            took_ms = began.elapsed().as_millis() as u64,
        );
        match presence {
            ProbeOutcome::Listens => {
                let mut poison = node.poison.borrow_mut();
                poison.endpoint_alive(&life, began);
            }
            ProbeOutcome::Refuses => life_ended(&node, &life),
            // Its entry will go, or another instance can tell.
            ProbeOutcome::Unknown => {}
        }
    })
    .detach();
}

/// Notes that an endpoint has ended without a word.
pub(crate) fn endpoint_ended(node: &FleetNode, id: &EndpointId) {
    let view = node.view.borrow();
    if view.get(id).is_none_or(|state| state.endpoint.is_draining) {
        return;
    }
    drop(view);
    life_ended(node, &life_of(node, id));
}

fn life_ended(node: &FleetNode, life: &EndpointIncarnation) {
    let now = Instant::now();
    let crash = node.poison.borrow_mut().endpoint_ended(life, now);
    tell(node, crash);
}

/// Hears which runs of another instance ended with an endpoint.
pub(crate) fn hear(node: &FleetNode, crash: &Crash) {
    let ours = node.poison.borrow_mut().record_crash(crash, Instant::now());
    tell(node, ours);
}

/// Hears that a run of a request ended well elsewhere.
pub(crate) fn hear_cleared(node: &FleetNode, digest: RequestDigest) {
    if node.poison.borrow_mut().clear(digest, Instant::now()) {
        tracing::info!(event = "poison_clearance_heard", %digest);
    }
}

/// Takes in a request that was condemned elsewhere; one line if that is news.
pub(crate) fn take_in(
    node: &FleetNode,
    condemned: &Condemned,
    from: &str,
) -> MergeOutcome {
    let now = Instant::now();
    let taken_in = node.poison.borrow_mut().merge_condemned(condemned, now);
    let digest = condemned.digest;
    match taken_in {
        MergeOutcome::Added => tracing::info!(
            event = "poison_heard",
            %digest,
            ended = names(&condemned.endpoints),
            condemned_ms_ago = condemned.ms_ago,
            from,
        ),
        MergeOutcome::AlreadyKnown => {}
        MergeOutcome::Refuted => tell_cleared(node, digest),
    }
    taken_in
}

/// Tells all others which of our runs ended with an endpoint, and says what all of
/// them condemn together.
fn tell(node: &FleetNode, crash: Option<Crash>) {
    if let Some(crash) = crash {
        metrics::counter!("sedgewall_endpoint_crashes_total").increment(1);
        let named = crash.runs.iter().take(NAMED_RUNS);
        let digests: Vec<String> =
            named.map(|run| run.digest.to_string()).collect();
        tracing::warn!(
            event = "endpoint_crashed",
            endpoint = crash.endpoint.id,
            runs = crash.runs.len(),
            digests = digests.join(" "),
        );
        node.outbox.borrow_mut().push(Note::Crashed(crash));
        node.notify_notes();
    }
    let condemned = node.poison.borrow_mut().take_newly_condemned();
    for digest in &condemned {
        let verdict = node.poison.borrow().verdict(*digest, Instant::now());
        let endpoints = verdict.map_or(Vec::new(), |v| v.endpoints);
        metrics::counter!("sedgewall_poison_requests_total").increment(1);
        tracing::warn!(
            event = "poison_condemned",
            %digest,
            ended = names(&endpoints),
        );
    }
    if !condemned.is_empty() {
        watch_poison::notify(node);
    }
}

fn tell_cleared(node: &FleetNode, digest: RequestDigest) {
    node.outbox.borrow_mut().push(Note::Cleared(digest));
    node.notify_notes();
}

fn life_of(node: &FleetNode, id: &EndpointId) -> EndpointIncarnation {
    let born = node.view.borrow().incarnation(id);
    EndpointIncarnation { id: id.clone(), born }
}

fn names(endpoints: &[EndpointIncarnation]) -> String {
    let ids: Vec<&str> = endpoints.iter().map(|e| e.id.as_str()).collect();
    ids.join(" ")
}
