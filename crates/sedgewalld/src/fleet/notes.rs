//! Notes between instances, sent as UDP datagrams.
//!
//! Datagrams suit their content: state that replaces earlier state, where the
//! newest note counts and the next one makes up for a lost one. There is no
//! connection that could hang when a machine loses power.

use std::{rc::Rc, time::Duration};

use compio::BufResult;
use sedgewall_clock::{Instant, SuspendDetector};
use sedgewall_fleet::{
    catch_up::StateSummary,
    departure::Departure,
    engine_pools::ClassDemand,
    load_times::LoadObservation,
    note::{
        DemandReport, LeaderLease, LoadObservationReport, Note, Status,
        VersionDemand,
    },
    note_schedule::{NoteSchedule, Pending, Role, Topology},
    room_share::RejectionReport,
    view::Totals,
};

use sedgewall_state::id::{EndpointId, InstanceId};

use super::{
    announcements,
    datagram::{self, Datagram},
    instance::{FleetInstance, ObservedLoad, Stage},
    keys, lease_store, list_watch,
    note_sender::{MAX_NOTE_BYTES, NoteSender},
    poison, streams, watch_endpoints, watch_poison,
};

/// With many instances, one in this many status notes goes to all instances
/// and not only to the lease holder, so that each instance knows which others
/// are alive.
const BROADCAST_EVERY: u64 = 8;

/// How long another instance must have reported newer state before this
/// instance lists it again, unless its own watch brings it first; also the
/// interval between such lists.
const RELIST_DELAY: Duration = Duration::from_millis(500);

/// How long [`FleetInstance::behind_since`] stays valid. When another report
/// of newer state comes later than this, the first one was about a version
/// that has arrived since, and [`RELIST_DELAY`] starts anew.
const BEHIND_VALID_FOR: Duration = Duration::from_millis(2_000);

/// The maximum number of notes in one datagram, so that it fits one packet.
const BATCH_LEN: usize = 16;

/// The maximum number of datagrams that are handled in one turn of the event
/// loop. Others may have arrived since the last turn.
const MAX_NOTES_PER_TURN: u64 = 32;

/// The interval at which expired state, such as that of silent peers, is
/// dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Receives and applies notes. Never returns.
pub(crate) async fn receive(
    instance: Rc<FleetInstance>,
    sender: Rc<NoteSender>,
    socket: compio::net::UdpSocket,
) {
    let mut buf = Vec::with_capacity(MAX_NOTE_BYTES);
    let mut received_len = 0;
    loop {
        received_len += 1;
        if received_len % MAX_NOTES_PER_TURN == 0 {
            // A datagram that has arrived is read without waiting for an event.
            sedgewall_transport::server::yield_now().await;
        }
        buf.clear();
        let BufResult(received, back) = socket.recv_from(buf).await;
        buf = back;
        match received {
            Ok((len, from)) => match datagram::decode(&buf[..len]) {
                Ok(datagram) => {
                    let Datagram {
                        note,
                        endpoints_read,
                        lost_services,
                        rejections,
                        poison_details,
                        freshness,
                    } = datagram;
                    let mut detector = instance.poison.borrow_mut();
                    detector.record_details(poison_details, Instant::now());
                    drop(detector);
                    poison::request_search(&instance);
                    apply_rejections(&instance, &rejections);
                    instance.loss_reports.record(from, lost_services);
                    if let Some(change) = endpoints_read {
                        watch_endpoints::apply_report(&instance, change);
                    }
                    instance
                        .apply_freshness_report(&freshness, Instant::now());
                    // The source address of a relayed note is the relay's.
                    // That does no harm, because the relay can serve missing
                    // state as well.
                    if let Note::Status(status) = &note {
                        instance.record_address(&status.from, from);
                    }
                    handle(&instance, &sender, note);
                }
                Err(err) => {
                    tracing::warn!(event = "note_unreadable", cause = %err);
                }
            },
            Err(err) => {
                // The error comes from the closed port of an instance that is
                // gone. Nothing is lost by it.
                tracing::debug!(event = "note_error", cause = %err);
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// Applies the rejections by brittle endpoints that another instance reports.
fn apply_rejections(instance: &FleetInstance, rejections: &[RejectionReport]) {
    let now = Instant::now();
    let mut view = instance.view.borrow_mut();
    for report in rejections {
        view.apply_rejection_report(report, now);
    }
}

fn handle(instance: &Rc<FleetInstance>, sender: &Rc<NoteSender>, note: Note) {
    let now = Instant::now();
    instance
        .counters
        .notes_received
        .set(instance.counters.notes_received.get() + 1);
    match note {
        // A relay may send this instance's own note back to it.
        Note::Status(status) if status.from == *instance.id() => {}
        Note::Status(status) => {
            if let Some(lead) = status.leads {
                let next_in = Duration::from_millis(status.next_in_ms);
                instance.record_leader(&status.from, lead, next_in);
            }
            check_for_newer_state(instance, &status, now);
            for departure in &status.departures {
                apply_departure(instance, departure, now);
            }
            for crash in &status.crashes {
                poison::apply_crash(instance, crash);
            }
            instance.store_reports.borrow_mut().record(
                &status.from,
                status.store_is_out,
                status.is_leaving,
                now,
            );
            record_customer_demand(instance, &status, now);
            apply_pool_report(instance, &status, now);
            announcements::apply_limit_reports(instance, &status, now);
            instance.view.borrow_mut().apply_status(status, now);
            if let Some(queues) = &instance.wait_queues {
                queues.note_received(now);
            }
        }
        Note::Departed(departure) => {
            apply_departure(instance, &departure, now)
        }
        Note::Crashed(crash) => poison::apply_crash(instance, &crash),
        Note::Cleared(digest) => poison::apply_clearance(instance, digest),
        Note::ProbeStore => list_watch::probe_store(instance),
        Note::RenewalRequest(request) => {
            let (instance, sender) = (instance.clone(), sender.clone());
            compio::runtime::spawn(async move {
                lease_store::renew_for_holder(&instance, &sender, request)
                    .await;
            })
            .detach();
        }
        Note::RenewalAnswer(answer) => {
            lease_store::apply_renewal_answer(instance, answer)
        }
        Note::Suspect { endpoint, for_ms } => {
            let time = Duration::from_millis(for_ms);
            instance.view.borrow_mut().mark_suspect(&endpoint, time, now);
            instance.wake_all();
        }
        Note::FreshnessQuery { from, number } => {
            keys::answer(instance, sender, &from, number);
        }
        Note::FreshnessAnswer { number, age_ms, configuration } => {
            keys::apply_answer(instance, number, age_ms, configuration);
        }
        Note::StreamsBegan(reports) => {
            instance.streams.apply_report(&reports);
            instance.record_streams(reports.iter().flat_map(|report| {
                report.keys.iter().map(|key| (*key, report.origin.clone()))
            }));
        }
        Note::OriginQuery(query) => {
            let answer = streams::answer(instance, &query);
            sender.send_to_peer(instance, &query.from, &answer);
        }
        Note::OriginAnswer { number, from, knowledge } => {
            instance.streams.apply_answer(number, from, knowledge);
        }
        Note::VersionDemand(demand) => {
            apply_version_demand(instance, demand, now);
        }
        Note::DemandReport(report) => {
            apply_demand_report(instance, sender, &report, now)
        }
        Note::Batch(notes) => {
            for note in notes {
                handle(instance, sender, note);
            }
        }
        Note::ZoneRelay(note) => {
            sender.broadcast_in_zone(instance, &note);
            handle(instance, sender, *note);
        }
        Note::GroupRelay(relayed) => {
            sender.forward_to_group(instance, &relayed);
            handle(instance, sender, *relayed.note);
        }
        // The lease holder's own table is newer than such a note.
        Note::Placed(_) | Note::Removed(_)
            if instance.current_lease(now).is_some() => {}
        Note::Placed(placed) => {
            instance.view.borrow_mut().apply_placed(&placed, now);
            instance.wake(&placed.key);
        }
        Note::Removed(removed) => {
            instance.view.borrow_mut().apply_removed(&removed, now);
        }
    }
}

/// Records the streams of another instance and, if it holds the lease, its
/// splits of engines into pools.
fn apply_pool_report(instance: &FleetInstance, status: &Status, now: Instant) {
    instance.stream_reports.borrow_mut().record(
        &status.from,
        status.sequence,
        &status.pools.streams,
        now + status.valid_for(),
        now,
    );
    if let Some(lead) = status.leads
        && instance.current_lease(now).is_none()
    {
        instance.view.borrow_mut().apply_splits(
            &status.pools.splits,
            lead.epoch,
            status.sequence,
        );
    }
}

/// Records that an endpoint has left, so that no request is sent to it.
pub(crate) fn apply_departure(
    instance: &FleetInstance,
    departure: &Departure,
    now: Instant,
) {
    let mut departure = departure.clone();
    departure.revision = departure.revision.or_in_era(instance.store.era());
    let mut view = instance.view.borrow_mut();
    if !view.apply_departure(&departure, now) {
        return;
    }
    let Departure { endpoint, revision, is_announced, .. } = departure;
    let known = view.get(&endpoint).map(|state| &state.endpoint);
    tracing::info!(
        event = "departure_heard",
        endpoint,
        %revision,
        is_announced,
        known_revision = known.map(|known| tracing::field::display(known.revision)),
        is_draining = known.map(|known| known.is_draining),
    );
    drop(view);
    instance.wake_all();
}

/// Lists objects again if another instance has reported newer state for a
/// while. This instance's watch may be on a connection that brings nothing
/// more.
fn check_for_newer_state(
    instance: &FleetInstance,
    status: &Status,
    now: Instant,
) {
    let Status { configuration, versions, condemned, .. } = *status;
    let summary = StateSummary { configuration, versions, condemned };
    record_state_summary(instance, &status.from, summary, now);
    let own = instance.state_summary();
    if instance.catch_up.borrow_mut().record_condemned(
        own.condemned,
        condemned,
        now,
    ) {
        tracing::info!(
            event = "poison_relist",
            own = own.condemned,
            reported = condemned,
            from = status.from,
        );
        instance.poison_relist_notify.notify();
    }
    if !summary.has_more_than(own) {
        return;
    }
    instance.notify_catch_up();
    let known = own.configuration;
    let is_configuration = configuration > known;
    let is_version = versions > own.versions;
    if !is_configuration && !is_version {
        return;
    }
    let since = instance.behind_since.get().unwrap_or(now);
    if now - since > BEHIND_VALID_FOR {
        // The first report is old: this instance's watch has brought that
        // version.
        instance.behind_since.set(Some(now));
    } else if now - since < RELIST_DELAY {
        instance.behind_since.set(Some(since));
    } else {
        instance.behind_since.set(Some(now));
        tracing::info!(
            event = "behind",
            is_configuration,
            is_version,
            configuration = known,
            newest_heard = status.configuration,
            from = status.from,
        );
        if is_configuration {
            instance.is_configuration_behind.set(true);
            instance.configuration_relist_notify.notify();
        } else {
            instance.is_versions_behind.set(true);
            instance.versions_relist_notify.notify();
        }
    }
}

/// Records which state another instance has.
pub(crate) fn record_state_summary(
    instance: &FleetInstance,
    from: &InstanceId,
    summary: StateSummary,
    now: Instant,
) {
    let peers = instance.peers.borrow();
    let zone = peers.get(from).map(|peer| &peer.zone);
    let is_own_zone = zone == Some(&instance.settings.zone);
    instance.catch_up.borrow_mut().record_peer(
        from,
        summary,
        is_own_zone,
        now,
    );
}

fn apply_demand_report(
    instance: &FleetInstance,
    sender: &NoteSender,
    report: &DemandReport,
    now: Instant,
) {
    instance
        .counters
        .demand_reports_received
        .set(instance.counters.demand_reports_received.get() + 1);
    let mut demand = instance.demand.borrow_mut();
    for (key, count) in &report.counts {
        demand.add(key, *count, &report.zone, now);
    }
    let long_tokens = report.classes.long_tokens.iter();
    for ((key, _), tokens) in report.counts.iter().zip(long_tokens) {
        demand.add_long_tokens(key, *tokens, now);
    }
    for (key, rank) in &report.waiting {
        demand.mark_waiting(key, *rank);
    }
    let classes = report.classes.waiting.iter();
    for ((key, _), classes) in report.waiting.iter().zip(classes) {
        demand.add_waiting_classes(key, *classes);
    }
    drop(demand);
    for endpoint in &report.unreachable {
        record_unreachable(instance, endpoint, report, now);
    }
    apply_load_observations(instance, &report.arrivals, now);
    for (endpoint, for_ms) in &report.saturated {
        let time = Duration::from_millis(*for_ms);
        instance.view.borrow_mut().mark_saturated(endpoint, time, now);
    }
    if report.waiting.is_empty() {
        return;
    }
    if report.from != *instance.id() {
        send_known_placements(instance, sender, report, now);
    }
    instance.notify_planner();
}

/// Records that a resumed stream at another instance waits for an adapter.
fn apply_version_demand(
    instance: &FleetInstance,
    demand: VersionDemand,
    now: Instant,
) {
    let VersionDemand { from, key, software_version } = demand;
    instance.demand.borrow_mut().mark_waiting_at(&key, &software_version, now);
    instance
        .awaiting_instances
        .borrow_mut()
        .entry(key)
        .or_default()
        .insert(from);
    instance.notify_planner();
}

/// Records the demand of customers at another instance, or at all instances.
fn record_customer_demand(
    instance: &FleetInstance,
    status: &Status,
    now: Instant,
) {
    let until = now + status.valid_for();
    let demands = status.asked_by_customers.clone();
    let mut rate_limiter = instance.rate_limiter.borrow_mut();
    match status.is_total {
        true => rate_limiter.record_totals(demands, now, until),
        false => rate_limiter.record_peer(&status.from, demands, now, until),
    }
}

fn apply_load_observations(
    instance: &FleetInstance,
    observations: &[LoadObservationReport],
    now: Instant,
) {
    let mut times = instance.load_times.borrow_mut();
    let mut view = instance.view.borrow_mut();
    for reported in observations {
        let LoadObservationReport { endpoint, key, is_there, ago_ms } =
            reported;
        let Some(at) = now.checked_sub(Duration::from_millis(*ago_ms)) else {
            continue;
        };
        // The engine that finished this load may take another one now.
        view.confirm_load(endpoint, key, *is_there, at);
        let observation = LoadObservation { at, is_loaded: *is_there };
        times.observe(endpoint, key, observation, now);
    }
}

/// Records that an instance could not reach an endpoint. Once two instances
/// have reported it, tells all instances to avoid it; its adapters are then
/// loaded elsewhere.
fn record_unreachable(
    instance: &FleetInstance,
    endpoint: &EndpointId,
    report: &DemandReport,
    now: Instant,
) {
    let mut suspicions = instance.suspicions.borrow_mut();
    let Some(time) = suspicions.report(endpoint, &report.from, now) else {
        return;
    };
    let for_ms = time.as_millis() as u64;
    let by = &report.from;
    tracing::warn!(event = "endpoint_suspect", endpoint, by, for_ms);
    instance.view.borrow_mut().mark_suspect(endpoint, time, now);
    let note = Note::Suspect { endpoint: endpoint.clone(), for_ms };
    instance.broadcast_queue.borrow_mut().push(note);
    instance.notify_notes();
}

/// Tells an instance at once where the adapters that it asks for are already
/// placed. It is told of the other adapters once they are placed.
fn send_known_placements(
    instance: &FleetInstance,
    sender: &NoteSender,
    report: &DemandReport,
    now: Instant,
) {
    let Some(held) = instance.current_lease(now) else { return };
    let mut known = Vec::new();
    let mut awaiting = instance.awaiting_instances.borrow_mut();
    for (key, _) in &report.waiting {
        let places =
            instance.view.borrow().placement_notes(key, held.epoch, now);
        if places.is_empty() {
            let of_key = awaiting.entry(key.clone()).or_default();
            of_key.insert(report.from.clone());
        }
        known.extend(places.into_iter().map(Note::Placed));
    }
    for notes in known.chunks(BATCH_LEN) {
        let batch = Note::Batch(notes.to_vec());
        sender.send_to_peer(instance, &report.from, &batch);
    }
}

/// Sends the notes that are due. Never returns.
pub(crate) async fn run_sender(
    instance: Rc<FleetInstance>,
    sender: Rc<NoteSender>,
) {
    let mut sequence = initial_sequence();
    let mut schedule = NoteSchedule::default();
    let mut next_cleanup = Instant::now();
    let mut suspensions = SuspendDetector::start();
    loop {
        if let Some(time) = suspensions.check() {
            let suspended_ms = time.as_millis() as u64;
            tracing::warn!(event = "woke", suspended_ms);
        }
        let now = Instant::now();
        let wait = schedule.wait(
            pending(&instance),
            topology_at(&instance, now),
            now,
        );
        instance.notes_notified(wait).await;
        let now = Instant::now();
        let topology = topology_at(&instance, now);
        for (peer, note) in instance.unicast_queue.take() {
            sender.send_to_peer(&instance, &peer, &note);
        }
        let due = schedule.take(pending(&instance), topology, now);
        if due.status {
            instance.store_reachability.borrow_mut().take_change();
            instance.has_urgent_report.set(false);
            sequence += 1;
            send_status(&instance, &sender, sequence, topology);
        }
        if due.interim_work {
            send_interim_status(&instance, &sender, &mut sequence, topology);
        }
        if due.batch {
            for notes in instance.broadcast_queue.take().chunks(BATCH_LEN) {
                sender.broadcast(&instance, &Note::Batch(notes.to_vec()));
            }
        }
        if due.demand {
            send_demand_report(&instance, &sender);
        }
        if now >= next_cleanup {
            next_cleanup = now + CLEANUP_INTERVAL;
            instance.drop_stale_addresses(now);
            instance.view.borrow_mut().remove_silent_peers(now);
            instance.view.borrow_mut().forget_departures(now);
            instance.suspicions.borrow_mut().forget(now);
            instance.rate_limiter.borrow_mut().forget(now);
            instance.view.borrow_mut().forget_limits(now);
            instance.view.borrow_mut().forget_rooms(now);
            instance.view.borrow_mut().forget_cooldowns(now);
            instance.forget_saturated(now);
            instance.loss_reports.forget();
            instance.forwards.forget(now);
            instance.streams.forget(now);
            if let Some(queues) = &instance.wait_queues {
                queues.forget(now);
            }
            instance.catch_up.borrow_mut().forget(now);
            instance.poison.borrow_mut().forget(now);
            poison::request_search(&instance);
            watch_poison::update_watcher_role(&instance);
        }
    }
}

fn pending(instance: &FleetInstance) -> Pending {
    Pending {
        has_urgent_change: instance.has_urgent_report.get()
            || instance.store_reachability.borrow().has_change(),
        has_large_prompt: instance.has_unreported_work.get(),
        has_batch: !instance.broadcast_queue.borrow().is_empty(),
        has_waiting: !instance.awaited_adapters.borrow().is_empty()
            || !instance.unreachable.borrow().is_empty()
            || !instance.observed_loads.borrow().is_empty(),
        has_sent: instance.has_unreported_sends.get(),
    }
}

fn topology_at(instance: &FleetInstance, now: Instant) -> Topology {
    let role = match (instance.current_lease(now), instance.live_leader(now)) {
        (Some(_), _) => Role::Holder,
        (None, Some(_)) => Role::Follower,
        (None, None) => Role::Leaderless,
    };
    Topology { peers: instance.peers.borrow().len(), role }
}

/// Returns a first sequence number that is above any of a previous run of this
/// instance.
fn initial_sequence() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Reports, between two regular status notes, what was sent to endpoints since
/// the last one. Until other instances know of it, they send to the same
/// engines, and the lease holder may remove an adapter that is in use.
fn send_interim_status(
    instance: &FleetInstance,
    sender: &NoteSender,
    sequence: &mut u64,
    topology: Topology,
) {
    if topology.uses_relays() && topology.role == Role::Holder {
        // The holder's own requests are in the totals that it sends regularly
        // anyway.
        instance.has_unreported_work.set(false);
        return;
    }
    if !topology.uses_relays() {
        *sequence += 1;
        return send_status(instance, sender, *sequence, topology);
    }
    let Some(holder) = instance.live_leader(Instant::now()) else { return };
    *sequence += BROADCAST_EVERY;
    let status = status(instance, *sequence, topology);
    let note = Note::Status(status);
    sender.send_to_peer(instance, &holder.instance, &note);
}

fn send_status(
    instance: &FleetInstance,
    sender: &NoteSender,
    sequence: u64,
    topology: Topology,
) {
    let mut status = status(instance, sequence, topology);
    let holder = instance
        .live_leader(Instant::now())
        .filter(|_| topology.uses_relays() && status.leads.is_none());
    if let Some(holder) = holder {
        // Only the holder needs to know which adapters are in use. Of two
        // notes with the same sequence number, it keeps the first.
        let note = Note::Status(status.clone());
        sender.send_to_peer(instance, &holder.instance, &note);
        if !sequence.is_multiple_of(BROADCAST_EVERY) {
            return;
        }
        status.next_in_ms *= BROADCAST_EVERY;
        for (_, work) in &mut status.work {
            *work = work.without_adapters();
        }
    }
    sender.broadcast(instance, &Note::Status(status));
}

/// Returns the current status of this instance.
fn status(
    instance: &FleetInstance,
    sequence: u64,
    topology: Topology,
) -> Status {
    let now = Instant::now();
    let leads = instance.current_lease(now).map(|held| LeaderLease {
        epoch: held.epoch,
        renewal: held.renewal,
        left_ms: held.left(now).as_millis() as u64 + 1,
    });
    let is_total = topology.uses_relays() && leads.is_some();
    instance.has_unreported_work.set(false);
    let Totals { work, is_part } = match is_total {
        true => instance.view.borrow_mut().publish_totals(),
        false => {
            let work = instance.view.borrow_mut().publish_work();
            Totals { work, is_part: false }
        }
    };
    let versions = instance.view.borrow().versions_announced();
    let rate_limiter = instance.rate_limiter.borrow();
    let asked_by_customers = match is_total {
        true => rate_limiter.total_demand(now),
        false => rate_limiter.local_demand(now),
    };
    Status {
        from: instance.id().clone(),
        sequence,
        next_in_ms: topology.status_pause().as_millis() as u64,
        leads,
        configuration: instance.configuration_version().unwrap_or(0),
        versions,
        store_is_out: instance.store_reachability.borrow().is_unreachable(),
        is_leaving: instance.stage.get() == Stage::Leaving,
        asked_by_customers,
        departures: instance.view.borrow().departures(now),
        work,
        is_total,
        is_part,
        crashes: instance.poison.borrow().recent_crashes(now),
        condemned: instance.poison.borrow().condemned_len(now) as u64,
        limits: instance.view.borrow().limit_reports(is_total, now),
        pools: instance.pool_report(sequence, leads.is_some(), now),
    }
}

fn load_observation_report(seen: ObservedLoad) -> LoadObservationReport {
    let ObservedLoad { endpoint, key, is_there, sent } = seen;
    let ago_ms = sent.elapsed().as_millis() as u64;
    LoadObservationReport { endpoint, key, is_there, ago_ms }
}

fn send_demand_report(instance: &FleetInstance, sender: &NoteSender) {
    instance.has_unreported_sends.set(false);
    let mut classes = ClassDemand::default();
    let mut counts = Vec::new();
    for (key, requested) in instance.requested_adapters.borrow_mut().drain() {
        counts.push((key, requested.requests));
        classes.long_tokens.push(requested.long_tokens);
    }
    let mut waiting = Vec::new();
    for (key, awaited) in instance.awaited_adapters.borrow_mut().drain() {
        waiting.push((key, awaited.priority));
        classes.waiting.push(awaited.classes);
    }
    if !instance.reports_any_pools() {
        // An instance of the previous release may hold the lease. It would
        // reject the report.
        classes = ClassDemand::default();
    }
    let unreachable: Vec<_> =
        instance.unreachable.take().into_iter().collect();
    let observations: Vec<_> = instance
        .observed_loads
        .take()
        .into_iter()
        .map(load_observation_report)
        .collect();
    if counts.is_empty()
        && waiting.is_empty()
        && unreachable.is_empty()
        && observations.is_empty()
    {
        return;
    }
    let zone = instance.settings.zone.clone();
    let from = instance.id().clone();
    // Only needed for finding other places for the adapters that requests wait
    // for.
    let saturated = match waiting.is_empty() {
        true => Vec::new(),
        false => instance.saturated_for(Instant::now()),
    };
    let report = DemandReport {
        from,
        zone,
        counts,
        waiting,
        unreachable,
        arrivals: observations,
        saturated,
        classes,
    };
    if instance.held.get().is_some() {
        apply_demand_report(instance, sender, &report, Instant::now());
        return;
    }
    let Some(leader) = instance.live_leader(Instant::now()) else { return };
    sender.send_to_peer(
        instance,
        &leader.instance,
        &Note::DemandReport(report),
    );
}
