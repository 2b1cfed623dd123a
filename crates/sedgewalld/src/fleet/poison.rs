//! Requests that crash endpoints: evidence from this instance's own runs,
//! reports of other instances, and the refusal of such requests.
//!
//! A connection breaks when its endpoint crashes, when it is reset, and when
//! its response is corrupted. To tell these apart, the endpoint is probed for
//! whether it still listens.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    features::Feature,
    incarnation::EndpointIncarnation,
    note::Note,
    poison::{
        CONFIRMATION_TIME, Condemned, Crash, Loss, MergeOutcome,
        ReportDetails, Verdict,
    },
    request_digest::RequestDigest,
    view::Target,
};
use sedgewall_protocol::operator::PoisonFeature;
use sedgewall_state::id::EndpointId;
use sedgewall_transport::{ProbeOutcome, SendError};

use super::{
    attempt::{CallerRequest, SentTo},
    instance::FleetInstance,
    reach,
    refusal::Reason,
    watch_poison,
};

/// The timeout for an endpoint's machine to answer whether it listens. Within
/// a region a connection takes milliseconds.
const ENDPOINT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The delay before an endpoint that was found to listen is probed again. The
/// connections of a process that ends may close before its port: a probe found
/// a port open that refused connections 4 ms later.
const LISTEN_CONFIRM_DELAY: Duration = Duration::from_millis(100);

/// The delay before an endpoint that refused a connection is probed again. The
/// paths of this instance to several endpoints may be cut or restored one
/// shortly after the other, so that others still accept connections.
const REFUSAL_CONFIRM_DELAY: Duration = Duration::from_millis(100);

/// The pause after a search for responsible features, as a multiple of the time
/// that it took.
const SEARCH_PAUSE: u32 = 19;

/// How long the task that confirms condemned features waits for a notification.
const CONFIRM_IDLE_WAIT: Duration = Duration::from_secs(60);

/// How long a request that lost a run waits until it is known whether its
/// endpoint has crashed.
const MAX_DECISION_TIME: Duration = Duration::from_millis(1_000);

/// How often it checks that.
const DECISION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a request waits for the crash report of the instance that it was
/// forwarded to. That instance confirms a refusal first.
const FORWARDED_REPORT_TIME: Duration = Duration::from_millis(250);

/// The minimum time between two attempts to find out whether endpoints have
/// ended that refused connections.
const END_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of endpoints of which it is not known whether they have
/// ended.
const MAX_UNCONFIRMED_ENDS: usize = 256;

/// The maximum number of features whose parts of prompts are remembered.
const MAX_REMEMBERED_PARTS: usize = 1_024;

/// The maximum number of requests that one log line names.
const MAX_LOGGED_DIGESTS: usize = 8;

/// Returns an error if a request must not be sent because it has a feature that
/// is known to crash endpoints.
pub(crate) fn check(
    instance: &FleetInstance,
    call: &CallerRequest,
    runs: u32,
) -> Result<(), Reason> {
    let detector = instance.poison.borrow();
    if !detector.has_condemned() {
        return Ok(());
    }
    let Some((feature, verdict)) =
        detector.find_condemned(call.features(), Instant::now())
    else {
        return Ok(());
    };
    log_refused(call, feature, &verdict);
    Err(match runs {
        0 => Reason::CrashesEndpoints(verdict.released_in),
        _ => Reason::OutcomeUnknown,
    })
}

fn log_refused(call: &CallerRequest, feature: Feature, verdict: &Verdict) {
    let part = call.part_of(feature);
    let kind = if part.is_some() { "part" } else { "request" };
    metrics::counter!("sedgewall_poison_refused_total", "kind" => kind)
        .increment(1);
    tracing::info!(
        event = "poison_refused",
        request = call.metadata.request_id,
        digest = %feature,
        part,
        path = call.uri.path(),
        customer = call.customer.as_ref().map(|c| c.name.as_str()),
        ended = endpoint_names(&verdict.endpoints),
        condemned_ms_ago = verdict.condemned_ago.as_millis() as u64,
        is_confirmed = verdict.is_confirmed,
        back_in_ms = verdict.released_in.as_millis() as u64,
    );
}

/// Records that the connection of a run broke before the end of its response,
/// and probes whether the endpoint is still there.
pub(crate) fn run_broken(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    target: &Target,
    sent: Instant,
    loss: Loss,
    cause: &str,
) {
    tracing::info!(
        event = "run_broken",
        request = call.metadata.request_id,
        digest = %call.digest(),
        path = call.uri.path(),
        customer = call.customer.as_ref().map(|c| c.name.as_str()),
        parts = part_names(call),
        endpoint = target.id,
        sent_ms_ago = sent.elapsed().as_millis() as u64,
        is_unanswered = loss == Loss::Unanswered,
        cause,
        held_ms = call.arrived.elapsed().as_millis() as u64,
    );
    let to = SentTo { endpoint: target.id.clone(), at: sent };
    run_lost(instance, call, &to, loss);
    probe_endpoint(instance, target.id.clone(), target.address);
}

/// Records that a response was given up because it exceeded a limit or is
/// malformed. Its endpoint was alive, so that it is not probed, and has failed.
pub(crate) fn response_unusable(
    instance: &FleetInstance,
    call: &CallerRequest,
    sent_to: &SentTo,
    err: &SendError,
) {
    let (event, counter) = match err {
        SendError::Endless(_) => {
            ("response_endless", "sedgewall_responses_endless_total")
        }
        _ => ("response_malformed", "sedgewall_responses_malformed_total"),
    };
    metrics::counter!(counter).increment(1);
    tracing::warn!(
        event,
        request = call.metadata.request_id,
        endpoint = sent_to.endpoint,
        sent_ms_ago = sent_to.at.elapsed().as_millis() as u64,
        cause = %err,
    );
    run_lost(instance, call, sent_to, Loss::CallerLeft);
}

/// Records that the run whose response is forwarded, or else the last run of a
/// request, will bring no response.
pub(crate) fn last_run_lost(
    instance: &FleetInstance,
    call: &CallerRequest,
    loss: Loss,
) {
    let sent_to = call.sent_to.borrow().clone();
    if let Some(sent_to) = sent_to {
        run_lost(instance, call, &sent_to, loss);
    }
}

/// Records that a run of a request will bring no response. The run counts
/// against the request if its endpoint turns out to have crashed.
pub(crate) fn run_lost(
    instance: &FleetInstance,
    call: &CallerRequest,
    sent: &SentTo,
    loss: Loss,
) {
    remember_parts(instance, call);
    let incarnation = incarnation_of(instance, &sent.endpoint);
    let now = Instant::now();
    let mut poison = instance.poison.borrow_mut();
    let crash = poison.record_lost_run(
        &incarnation,
        call.features().clone(),
        sent.at,
        loss,
        now,
    );
    drop(poison);
    publish(instance, crash);
}

/// Records that a run of a request succeeded, so that none of its features
/// crashes endpoints.
pub(crate) fn run_succeeded(instance: &FleetInstance, call: &CallerRequest) {
    let now = Instant::now();
    let sent = call.sent_to.borrow();
    // Another instance records a request that was forwarded to it.
    let Some(began) = sent.as_ref().map(|sent| sent.at) else { return };
    let mut detector = instance.poison.borrow_mut();
    let has_cleared = instance.event_loop.measure("poison", || {
        detector.record_success(call.features(), began, now)
    });
    drop(detector);
    request_search(instance);
    if has_cleared {
        let request = &call.metadata.request_id;
        tracing::info!(event = "poison_cleared", request);
        publish(instance, None);
    }
}

/// Returns an error if a request that has lost a run must not be sent again.
///
/// If no request is known to have succeeded with a part of its prompt, and its
/// endpoint has crashed, the part may be the cause. The request would then
/// crash the next endpoint before the first crash is known.
pub(crate) async fn check_repetition(
    instance: &FleetInstance,
    call: &CallerRequest,
) -> Result<(), Reason> {
    let is_unproven =
        || instance.poison.borrow().has_unproven_part(call.features());
    if !is_unproven() {
        return Ok(());
    }
    let sent_to = call.sent_to.borrow().clone();
    match sent_to {
        Some(sent) => {
            let began = Instant::now();
            while instance
                .undecided_endpoints
                .borrow()
                .contains(&sent.endpoint)
                && began.elapsed() < MAX_DECISION_TIME
            {
                compio::time::sleep(DECISION_POLL_INTERVAL).await;
            }
        }
        // Another instance reports a crash under a forwarded request.
        None => compio::time::sleep(FORWARDED_REPORT_TIME).await,
    }
    let was_interrupted =
        instance.poison.borrow().was_interrupted(call.digest());
    if !was_interrupted || !is_unproven() {
        return Ok(());
    }
    metrics::counter!("sedgewall_poison_not_repeated_total").increment(1);
    tracing::info!(
        event = "poison_not_repeated",
        request = call.metadata.request_id,
        digest = %call.digest(),
        parts = part_names(call),
    );
    Err(Reason::OutcomeUnknown)
}

/// Tries to find out whether endpoints have ended that refused a connection
/// while no endpoint accepted one, if the request has a feature in common with
/// a run that was lost there. Once an endpoint can take the request again,
/// that endpoint shows whether the refusals were due to this instance's paths.
pub(crate) async fn decide_ends(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
) {
    let is_due = instance
        .ends_tried_at
        .get()
        .is_none_or(|at| at.elapsed() >= END_RETRY_INTERVAL);
    if instance.unconfirmed_ends.borrow().is_empty()
        || !is_due
        || !instance.poison.borrow().is_undecided(call.features())
    {
        return;
    }
    instance.ends_tried_at.set(Some(Instant::now()));
    let unconfirmed = instance.unconfirmed_ends.borrow().clone();
    let decided = unconfirmed.iter().map(|(id, address)| async move {
        let began = Instant::now();
        let presence =
            instance.pool.probe(*address, ENDPOINT_PROBE_TIMEOUT).await;
        decide(instance, id, *address, presence, began).await;
    });
    join_all(decided).await;
    // The request is sent next unless the search finds it responsible.
    search_if_stale(instance);
}

/// Probes whether an endpoint is still there. One first probe runs at a time
/// for each endpoint; an endpoint counts as alive if a second probe confirms
/// that it listens.
fn probe_endpoint(
    instance: &Rc<FleetInstance>,
    id: EndpointId,
    address: SocketAddr,
) {
    if !instance.probed_endpoints.borrow_mut().insert(id.clone()) {
        return;
    }
    instance.undecided_endpoints.borrow_mut().insert(id.clone());
    let instance = instance.clone();
    compio::runtime::spawn(async move {
        let began = Instant::now();
        let probe = || instance.pool.probe(address, ENDPOINT_PROBE_TIMEOUT);
        let mut presence = probe().await;
        instance.probed_endpoints.borrow_mut().remove(&id);
        if presence == ProbeOutcome::Listens {
            compio::time::sleep(LISTEN_CONFIRM_DELAY).await;
            presence = probe().await;
        }
        tracing::info!(
            event = "endpoint_looked_at",
            endpoint = id,
            presence = ?presence,
            took_ms = began.elapsed().as_millis() as u64,
        );
        decide(&instance, &id, address, presence, began).await;
        instance.undecided_endpoints.borrow_mut().remove(&id);
    })
    .detach();
}

/// Records what a probe that began at a time showed of an endpoint.
async fn decide(
    instance: &FleetInstance,
    id: &EndpointId,
    address: SocketAddr,
    presence: ProbeOutcome,
    began: Instant,
) {
    let incarnation = incarnation_of(instance, id);
    let has_ended = match presence {
        ProbeOutcome::Listens => has_successor(instance, id, address),
        ProbeOutcome::Refuses => {
            is_refusal_confirmed(instance, id, address).await
        }
        // The endpoint's entry will disappear, or another instance finds out.
        ProbeOutcome::Unknown => return,
    };
    let mut unconfirmed = instance.unconfirmed_ends.borrow_mut();
    match (presence, has_ended) {
        (_, true) => {
            unconfirmed.remove(id);
            drop(unconfirmed);
            incarnation_ended(instance, &incarnation);
        }
        // It refused connections before, so that another process may have taken
        // its address, whose entry is not known yet.
        (ProbeOutcome::Listens, false) if unconfirmed.contains_key(id) => {}
        (ProbeOutcome::Listens, false) => {
            let mut detector = instance.poison.borrow_mut();
            detector.endpoint_alive(&incarnation, began);
        }
        (_, false) => {
            if unconfirmed.len() < MAX_UNCONFIRMED_ENDS {
                unconfirmed.insert(id.clone(), address);
            }
        }
    }
}

/// Returns whether another endpoint has the address of an endpoint, which has
/// then ended.
fn has_successor(
    instance: &FleetInstance,
    id: &EndpointId,
    address: SocketAddr,
) -> bool {
    instance.view.borrow().endpoints().any(|state| {
        state.endpoint.address == address && state.endpoint.id != *id
    })
}

/// Returns whether an endpoint that has refused a connection has ended.
/// Refusals on this instance's own path do not show that, so other endpoints
/// must accept connections both now and when the endpoint refuses again.
async fn is_refusal_confirmed(
    instance: &FleetInstance,
    id: &EndpointId,
    address: SocketAddr,
) -> bool {
    if !reach::is_path_sound(instance, id).await {
        return false;
    }
    compio::time::sleep(REFUSAL_CONFIRM_DELAY).await;
    let again = instance.pool.probe(address, ENDPOINT_PROBE_TIMEOUT).await;
    match again {
        ProbeOutcome::Refuses => reach::is_path_sound(instance, id).await,
        ProbeOutcome::Listens => has_successor(instance, id, address),
        ProbeOutcome::Unknown => false,
    }
}

/// Records that an endpoint has answered a request that was sent at a time.
pub(crate) fn endpoint_answered(
    instance: &FleetInstance,
    id: &EndpointId,
    sent: Instant,
) {
    if !instance.poison.borrow().needs_answers() {
        return;
    }
    let incarnation = incarnation_of(instance, id);
    let now = Instant::now();
    let mut detector = instance.poison.borrow_mut();
    if detector.record_answer(&incarnation, sent, now) {
        drop(detector);
        request_search(instance);
        metrics::counter!("sedgewall_endpoint_crashes_refuted_total")
            .increment(1);
        tracing::warn!(event = "endpoint_crash_refuted", endpoint = id);
        instance.has_urgent_report.set(true);
        instance.notify_notes();
    }
}

/// Records that an endpoint has ended without announcing its departure.
pub(crate) fn endpoint_ended(instance: &FleetInstance, id: &EndpointId) {
    let view = instance.view.borrow();
    if view.get(id).is_none_or(|state| state.endpoint.is_draining) {
        return;
    }
    drop(view);
    instance.unconfirmed_ends.borrow_mut().remove(id);
    incarnation_ended(instance, &incarnation_of(instance, id));
}

fn incarnation_ended(
    instance: &FleetInstance,
    incarnation: &EndpointIncarnation,
) {
    let now = Instant::now();
    let crash = instance.event_loop.measure("poison", || {
        instance.poison.borrow_mut().endpoint_ended(incarnation, now)
    });
    publish(instance, crash);
}

/// Records which runs of another instance were lost in a crash of an endpoint.
pub(crate) fn apply_crash(instance: &FleetInstance, crash: &Crash) {
    let own_lost_runs = instance.event_loop.measure("poison", || {
        instance.poison.borrow_mut().record_crash(crash, Instant::now())
    });
    publish(instance, own_lost_runs);
}

/// Records that a run of a request succeeded at another instance.
pub(crate) fn apply_clearance(
    instance: &FleetInstance,
    digest: RequestDigest,
) {
    let had_evidence = instance.event_loop.measure("poison", || {
        instance.poison.borrow_mut().clear(digest, Instant::now())
    });
    if had_evidence {
        tracing::info!(event = "poison_clearance_heard", %digest);
    }
    publish(instance, None);
}

/// Merges a request that was condemned elsewhere, and logs it if it is new.
pub(crate) fn merge_condemned(
    instance: &FleetInstance,
    condemned: &Condemned,
    from: &str,
) -> MergeOutcome {
    let now = Instant::now();
    let outcome = instance.poison.borrow_mut().merge_condemned(condemned, now);
    let digest = condemned.digest;
    match outcome {
        MergeOutcome::Added => tracing::info!(
            event = "poison_heard",
            %digest,
            ended = endpoint_names(&condemned.endpoints),
            condemned_ms_ago = condemned.ms_ago,
            from,
        ),
        MergeOutcome::AlreadyKnown | MergeOutcome::Released => {}
        MergeOutcome::Refuted => {
            instance.broadcast_queue.borrow_mut().push(Note::Cleared(digest));
            instance.notify_notes();
        }
    }
    outcome
}

/// Returns the condemned features, the newest first.
pub(crate) fn list(instance: &FleetInstance) -> Vec<PoisonFeature> {
    let now = Instant::now();
    let detector = instance.poison.borrow();
    let parts = instance.poison_parts.borrow();
    let condemned = detector.condemned(now);
    let mut listed: Vec<PoisonFeature> = condemned
        .into_iter()
        .filter_map(|condemned| {
            let verdict = detector.verdict(condemned.digest, now)?;
            let ids = verdict.endpoints.into_iter().map(|e| e.id);
            Some(PoisonFeature {
                digest: condemned.digest.to_string(),
                part: parts.get(&condemned.digest).cloned(),
                endpoints: ids.collect(),
                condemned_ms_ago: condemned.ms_ago,
                released_in_ms: verdict.released_in.as_millis() as u64,
            })
        })
        .collect();
    listed.sort_unstable_by_key(|feature| feature.condemned_ms_ago);
    listed
}

/// Releases a condemned feature at all instances. Returns whether it was
/// condemned here.
pub(crate) fn release(instance: &FleetInstance, feature: Feature) -> bool {
    let now = Instant::now();
    let mut detector = instance.poison.borrow_mut();
    if detector.verdict(feature, now).is_none() {
        return false;
    }
    detector.release(feature, now);
    drop(detector);
    tracing::info!(event = "poison_released", digest = %feature, by = "operator");
    instance.broadcast_queue.borrow_mut().push(Note::Cleared(feature));
    instance.notify_notes();
    watch_poison::mark_refuted(instance, feature);
    true
}

/// Tells all other instances which runs of this one were lost in a crash of an
/// endpoint and which features succeeded, and logs the features that are newly
/// condemned by the evidence of all instances.
fn publish(instance: &FleetInstance, crash: Option<Crash>) {
    if let Some(crash) = crash {
        metrics::counter!("sedgewall_endpoint_crashes_total").increment(1);
        let named = crash.runs.iter().take(MAX_LOGGED_DIGESTS);
        let digests: Vec<String> =
            named.map(|run| run.digest.to_string()).collect();
        tracing::warn!(
            event = "endpoint_crashed",
            endpoint = crash.endpoint.id,
            runs = crash.runs.len(),
            digests = digests.join(" "),
        );
        instance.broadcast_queue.borrow_mut().push(Note::Crashed(crash));
        instance.notify_notes();
    }
    let untold = instance.poison.borrow_mut().take_untold();
    for feature in untold {
        tracing::info!(event = "poison_refuted", digest = %feature);
        instance.broadcast_queue.borrow_mut().push(Note::Cleared(feature));
        instance.notify_notes();
        watch_poison::mark_refuted(instance, feature);
    }
    publish_condemned(instance);
    request_search(instance);
    if instance.poison.borrow().has_unconfirmed(Instant::now()) {
        instance.poison_confirm_notify.notify();
    }
}

/// Logs the features that were condemned and that no other instance has refuted
/// in time, and has them recorded in the store.
fn publish_condemned(instance: &FleetInstance) {
    let now = Instant::now();
    let condemned = instance.poison.borrow_mut().take_newly_condemned(now);
    for feature in &condemned {
        let verdict = instance.poison.borrow().verdict(*feature, now);
        let endpoints = verdict.map_or(Vec::new(), |v| v.endpoints);
        metrics::counter!("sedgewall_poison_requests_total").increment(1);
        tracing::warn!(
            event = "poison_condemned",
            digest = %feature,
            part = instance.poison_parts.borrow().get(feature),
            ended = endpoint_names(&endpoints),
        );
    }
    if !condemned.is_empty() {
        watch_poison::wake_record_keeper(instance);
    }
}

/// Has the detector search for responsible features if the evidence has
/// changed.
pub(crate) fn request_search(instance: &FleetInstance) {
    if instance.poison.borrow().is_stale() {
        instance.poison_search_notify.notify();
    }
}

/// Searches for features that are responsible for crashes when the evidence has
/// changed, for a limited part of the time, however much has crashed. Never
/// returns.
pub(crate) async fn search(instance: Rc<FleetInstance>) {
    loop {
        instance.poison_search_notify.wait(CONFIRM_IDLE_WAIT).await;
        if let Some(took) = search_if_stale(&instance) {
            compio::time::sleep(took * SEARCH_PAUSE).await;
        }
    }
}

/// Searches for responsible features if the evidence has changed. Returns how
/// long that took.
fn search_if_stale(instance: &FleetInstance) -> Option<Duration> {
    if !instance.poison.borrow().is_stale() {
        return None;
    }
    let began = Instant::now();
    instance.poison.borrow_mut().search(began);
    let took = began.elapsed();
    publish(instance, None);
    Some(took)
}

/// Confirms features that were found responsible for crashes, unless other
/// instances refute that in time. Never returns.
pub(crate) async fn confirm(instance: Rc<FleetInstance>) {
    loop {
        instance.poison_confirm_notify.wait(CONFIRM_IDLE_WAIT).await;
        while instance.poison.borrow().has_unconfirmed(Instant::now()) {
            compio::time::sleep(CONFIRMATION_TIME / 4).await;
            publish_condemned(&instance);
        }
    }
}

/// Returns what accompanies a note: the features of the runs that crashes
/// interrupted, and the times of successes.
pub(crate) fn details(instance: &FleetInstance, note: &Note) -> ReportDetails {
    let mut details = ReportDetails::default();
    collect_details(instance, note, &mut details);
    details
}

fn collect_details(
    instance: &FleetInstance,
    note: &Note,
    details: &mut ReportDetails,
) {
    let now = Instant::now();
    let detector = instance.poison.borrow();
    match note {
        Note::Crashed(crash) => {
            details.add_crash(&detector, crash, now);
        }
        Note::Status(status) => {
            for crash in &status.crashes {
                details.add_crash(&detector, crash, now);
            }
            details.add_answers(&detector, now);
        }
        Note::Cleared(feature) => {
            details.add_success(&detector, *feature, now);
        }
        Note::Batch(notes) => {
            for note in notes {
                collect_details(instance, note, details);
            }
        }
        Note::ZoneRelay(note) => collect_details(instance, note, details),
        Note::GroupRelay(relay) => {
            collect_details(instance, &relay.note, details);
        }
        _ => {}
    }
}

fn incarnation_of(
    instance: &FleetInstance,
    id: &EndpointId,
) -> EndpointIncarnation {
    let born = instance.view.borrow().incarnation(id);
    EndpointIncarnation { id: id.clone(), born }
}

/// Remembers which parts the features of a request stand for, so that they can
/// be named if they are condemned.
fn remember_parts(instance: &FleetInstance, call: &CallerRequest) {
    let mut parts = instance.poison_parts.borrow_mut();
    for feature in &call.features().shared {
        if parts.len() >= MAX_REMEMBERED_PARTS {
            parts.clear();
        }
        if let Some(part) = call.part_of(*feature) {
            parts.entry(*feature).or_insert_with(|| part.to_owned());
        }
    }
}

/// Returns the ids of the prompt's parts that other requests may have too, or
/// `None` if there are none.
fn part_names(call: &CallerRequest) -> Option<String> {
    let (_own, shared) = call.metadata.prompt_parts.split_last()?;
    let names: Vec<&str> = shared.iter().map(|(id, _)| id.as_str()).collect();
    (!names.is_empty()).then(|| names.join(" "))
}

fn endpoint_names(endpoints: &[EndpointIncarnation]) -> String {
    let ids: Vec<&str> = endpoints.iter().map(|e| e.id.as_str()).collect();
    ids.join(" ")
}
