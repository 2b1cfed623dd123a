//! Notes between instances, as datagrams.
//!
//! A datagram fits what they say: sums that replace each other, where the
//! newest counts and a lost one is repaired by the next. It needs no
//! connection to hang when a machine loses power.

use std::{rc::Rc, time::Duration};

use compio::BufResult;
use sedgewall_clock::{Instant, SuspendDetector};
use sedgewall_fleet::{
    catch_up::StateSummary,
    departure::Departure,
    load_times::LoadObservation,
    note::{DemandReport, LeaderLease, LoadObservationReport, Note, Status},
    note_schedule::{NoteSchedule, Pending, Role, Topology},
    view::Totals,
};

use sedgewall_state::id::{EndpointId, InstanceId};

use super::{
    announcements,
    instance::{FleetNode, SeenArrival, Stage},
    keys, lease_store, list_watch,
    note_sender::{LARGEST_NOTE, NoteSender},
    poison, watch_poison,
};

/// Where there are many, each so many-th note goes to all and not to the holder
/// alone, so that each knows who is there.
const ALL_HEAR_EACH: u64 = 8;

/// What others know in a newer version is listed after this long, if our own
/// watch has not brought it, and again after this long.
const BEHIND_FOR: Duration = Duration::from_millis(500);

/// A newer version that was heard of this long ago was another one.
const BEHIND_HOLDS: Duration = Duration::from_millis(2_000);

/// Notes in one datagram at most, so that it fits one packet.
const BATCH_LEN: usize = 16;

/// How often peers that fell silent are forgotten.
const FORGET_EVERY: Duration = Duration::from_secs(1);

/// Receives notes for ever.
pub(crate) async fn receive(
    node: Rc<FleetNode>,
    sender: Rc<NoteSender>,
    socket: compio::net::UdpSocket,
) {
    let mut buf = Vec::with_capacity(LARGEST_NOTE);
    loop {
        buf.clear();
        let BufResult(received, back) = socket.recv_from(buf).await;
        buf = back;
        match received {
            Ok((len, from)) => match rmp_serde::from_slice(&buf[..len]) {
                Ok(note) => {
                    // One that a relay passed on comes from the relay, which
                    // answers as well.
                    if let Note::Status(status) = &note {
                        node.heard_from(&status.from, from);
                    }
                    hear(&node, &sender, note);
                }
                Err(err) => {
                    tracing::warn!(event = "note_unreadable", cause = %err);
                }
            },
            Err(err) => {
                // A dead peer's port answers so; nothing is lost by it.
                tracing::debug!(event = "note_error", cause = %err);
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

fn hear(node: &Rc<FleetNode>, sender: &Rc<NoteSender>, note: Note) {
    let now = Instant::now();
    node.work.notes_heard.set(node.work.notes_heard.get() + 1);
    match note {
        // A relay passes our own note on to us as well.
        Note::Status(status) if status.from == *node.id() => {}
        Note::Status(status) => {
            if let Some(lead) = status.leads {
                let next_in = Duration::from_millis(status.next_in_ms);
                node.hear_leader(&status.from, lead, next_in);
            }
            hear_newer(node, &status, now);
            for departure in &status.departures {
                hear_departure(node, departure, now);
            }
            for crash in &status.crashes {
                poison::hear(node, crash);
            }
            node.store_reports.borrow_mut().record(
                &status.from,
                status.store_is_out,
                status.is_leaving,
                now,
            );
            hear_customers(node, &status, now);
            announcements::hear_reports(node, &status, now);
            node.view.borrow_mut().apply_status(status, now);
        }
        Note::Departed(departure) => hear_departure(node, &departure, now),
        Note::Crashed(crash) => poison::hear(node, &crash),
        Note::Cleared(digest) => poison::hear_cleared(node, digest),
        Note::ProbeStore => list_watch::probe_store(node),
        Note::RenewalRequest(request) => {
            let (node, sender) = (node.clone(), sender.clone());
            compio::runtime::spawn(async move {
                lease_store::renew_for(&node, &sender, request).await;
            })
            .detach();
        }
        Note::RenewalAnswer(answer) => lease_store::hear_answer(node, answer),
        Note::Suspect { endpoint, for_ms } => {
            let time = Duration::from_millis(for_ms);
            node.view.borrow_mut().mark_suspect(&endpoint, time, now);
            node.wake_all();
        }
        Note::FreshnessQuery { from, number } => {
            keys::answer(node, sender, &from, number);
        }
        Note::FreshnessAnswer { number, age_ms, configuration } => {
            keys::hear(node, number, age_ms, configuration);
        }
        Note::DemandReport(asked) => hear_asked(node, sender, &asked, now),
        Note::Batch(notes) => {
            for note in notes {
                hear(node, sender, note);
            }
        }
        Note::ZoneRelay(note) => {
            sender.spread_in_zone(node, &note);
            hear(node, sender, *note);
        }
        Note::GroupRelay(relayed) => {
            sender.pass_on(node, &relayed);
            hear(node, sender, *relayed.note);
        }
        // Whoever gives orders knows better than a note from before.
        Note::Placed(_) | Note::Removed(_)
            if node.current_lease(now).is_some() => {}
        Note::Placed(placed) => {
            node.view.borrow_mut().apply_placed(&placed, now);
            node.wake(&placed.key);
        }
        Note::Removed(removed) => {
            node.view.borrow_mut().apply_removed(&removed, now);
        }
    }
}

/// Hears that an endpoint has left, so that none of our requests goes there.
pub(crate) fn hear_departure(
    node: &FleetNode,
    departure: &Departure,
    now: Instant,
) {
    if !node.view.borrow_mut().apply_departure(departure, now) {
        return;
    }
    let Departure { endpoint, revision, is_announced, .. } = departure;
    tracing::info!(
        event = "departure_heard",
        endpoint,
        revision,
        is_announced,
    );
    node.wake_all();
}

/// Lists anew what another instance knows in a newer version for a while: a
/// watch of ours may be on a channel that says nothing further.
fn hear_newer(node: &FleetNode, status: &Status, now: Instant) {
    let Status { configuration, versions, condemned, .. } = *status;
    let told = StateSummary { configuration, versions, condemned };
    hear_knowledge(node, &status.from, told, now);
    let own = node.knowledge();
    if !told.has_more_than(own) {
        return;
    }
    node.notify_catch_up();
    let known = own.configuration;
    let is_configuration = configuration > known;
    let is_version = versions > own.versions;
    if !is_configuration && !is_version {
        return;
    }
    let since = node.behind_since.get().unwrap_or(now);
    if now - since > BEHIND_HOLDS {
        // Heard of long ago; our watch has brought that one.
        node.behind_since.set(Some(now));
    } else if now - since < BEHIND_FOR {
        node.behind_since.set(Some(since));
    } else {
        node.behind_since.set(Some(now));
        tracing::info!(
            event = "behind",
            is_configuration,
            is_version,
            configuration = known,
            newest_heard = status.configuration,
            from = status.from,
        );
        if is_configuration {
            node.is_configuration_behind.set(true);
            node.configuration_notify.notify();
        } else {
            node.is_versions_behind.set(true);
            node.versions_notify.notify();
        }
    }
}

/// Takes in how much another instance has of what the operator changes.
pub(crate) fn hear_knowledge(
    node: &FleetNode,
    from: &InstanceId,
    told: StateSummary,
    now: Instant,
) {
    let peers = node.peers.borrow();
    let zone = peers.get(from).map(|peer| &peer.zone);
    let is_own_zone = zone == Some(&node.settings.zone);
    node.catch_up.borrow_mut().record_peer(from, told, is_own_zone, now);
}

fn hear_asked(
    node: &FleetNode,
    sender: &NoteSender,
    asked: &DemandReport,
    now: Instant,
) {
    node.work.asked_heard.set(node.work.asked_heard.get() + 1);
    let mut demand = node.demand.borrow_mut();
    for (key, count) in &asked.counts {
        demand.add(key, *count, &asked.zone, now);
    }
    for (key, rank) in &asked.waiting {
        demand.mark_waiting(key, *rank);
    }
    drop(demand);
    for endpoint in &asked.unreachable {
        hear_unreachable(node, endpoint, asked, now);
    }
    hear_arrivals(node, &asked.arrivals, now);
    for (endpoint, for_ms) in &asked.saturated {
        let time = Duration::from_millis(*for_ms);
        node.view.borrow_mut().mark_saturated(endpoint, time, now);
    }
    if asked.waiting.is_empty() {
        return;
    }
    if asked.from != *node.id() {
        answer_asker(node, sender, asked, now);
    }
    node.notify_loader();
}

/// Takes in what customers ask of another instance, or of all.
fn hear_customers(node: &FleetNode, status: &Status, now: Instant) {
    let until = now + status.valid_for();
    let asked = status.asked_by_customers.clone();
    let mut shares = node.shares.borrow_mut();
    match status.is_total {
        true => shares.record_totals(asked, now, until),
        false => shares.record_peer(&status.from, asked, now, until),
    }
}

fn hear_arrivals(
    node: &FleetNode,
    arrivals: &[LoadObservationReport],
    now: Instant,
) {
    let mut times = node.load_times.borrow_mut();
    let mut view = node.view.borrow_mut();
    for arrived in arrivals {
        let LoadObservationReport { endpoint, key, is_there, ago_ms } =
            arrived;
        // Its engine may take another load now.
        view.confirm_load(endpoint, key, *is_there);
        let Some(at) = now.checked_sub(Duration::from_millis(*ago_ms)) else {
            continue;
        };
        let arrival = LoadObservation { at, is_loaded: *is_there };
        times.observe(endpoint, key, arrival, now);
    }
}

/// What two instances cannot reach is left out by all, and what it holds is
/// brought elsewhere.
fn hear_unreachable(
    node: &FleetNode,
    endpoint: &EndpointId,
    asked: &DemandReport,
    now: Instant,
) {
    let mut suspicions = node.suspicions.borrow_mut();
    let Some(time) = suspicions.report(endpoint, &asked.from, now) else {
        return;
    };
    let for_ms = time.as_millis() as u64;
    let by = &asked.from;
    tracing::warn!(event = "endpoint_suspect", endpoint, by, for_ms);
    node.view.borrow_mut().mark_suspect(endpoint, time, now);
    let note = Note::Suspect { endpoint: endpoint.clone(), for_ms };
    node.outbox.borrow_mut().push(note);
    node.notify_notes();
}

/// Tells an instance at once where what it asks for already is; the rest it
/// hears when it is placed.
fn answer_asker(
    node: &FleetNode,
    sender: &NoteSender,
    asked: &DemandReport,
    now: Instant,
) {
    let Some(held) = node.current_lease(now) else { return };
    let mut known = Vec::new();
    let mut askers = node.askers.borrow_mut();
    for (key, _) in &asked.waiting {
        let places = node.view.borrow().placement_notes(key, held.epoch, now);
        if places.is_empty() {
            let of_key = askers.entry(key.clone()).or_default();
            of_key.insert(asked.from.clone());
        }
        known.extend(places.into_iter().map(Note::Placed));
    }
    for notes in known.chunks(BATCH_LEN) {
        let batch = Note::Batch(notes.to_vec());
        sender.send_to_peer(node, &asked.from, &batch);
    }
}

/// Sends what this instance has to say, for ever.
pub(crate) async fn tell(node: Rc<FleetNode>, sender: Rc<NoteSender>) {
    let mut sequence = start_sequence();
    let mut schedule = NoteSchedule::default();
    let mut next_forget = Instant::now();
    let mut suspensions = SuspendDetector::start();
    loop {
        if let Some(time) = suspensions.check() {
            let suspended_ms = time.as_millis() as u64;
            tracing::warn!(event = "woke", suspended_ms);
        }
        let now = Instant::now();
        let wait =
            schedule.wait(pending(&node), surroundings(&node, now), now);
        node.notes_notified(wait).await;
        let now = Instant::now();
        let around = surroundings(&node, now);
        for (peer, note) in node.letters.take() {
            sender.send_to_peer(&node, &peer, &note);
        }
        let due = schedule.take(pending(&node), around, now);
        if due.status {
            node.store_contact.borrow_mut().take_change();
            sequence += 1;
            tell_status(&node, &sender, sequence, around);
        }
        if due.interim_work {
            tell_work_soon(&node, &sender, &mut sequence, around);
        }
        if due.batch {
            for notes in node.outbox.take().chunks(BATCH_LEN) {
                sender.broadcast(&node, &Note::Batch(notes.to_vec()));
            }
        }
        if due.demand {
            tell_asked(&node, &sender);
        }
        if now >= next_forget {
            next_forget = now + FORGET_EVERY;
            node.forget_heard(now);
            node.view.borrow_mut().remove_silent_peers(now);
            node.view.borrow_mut().forget_departures(now);
            node.suspicions.borrow_mut().forget(now);
            node.shares.borrow_mut().forget(now);
            node.view.borrow_mut().forget_limits(now);
            node.view.borrow_mut().forget_cooldowns(now);
            node.forget_saturated(now);
            node.catch_up.borrow_mut().forget(now);
            node.poison.borrow_mut().forget(now);
            watch_poison::note_rank(&node);
        }
    }
}

fn pending(node: &FleetNode) -> Pending {
    Pending {
        has_store_change: node.store_contact.borrow().has_change(),
        has_large_prompt: node.has_untold_work.get(),
        has_batch: !node.outbox.borrow().is_empty(),
        has_waiting: !node.waiting.borrow().is_empty()
            || !node.unreachable.borrow().is_empty()
            || !node.arrivals.borrow().is_empty(),
        has_sent: node.has_untold_sends.get(),
    }
}

fn surroundings(node: &FleetNode, now: Instant) -> Topology {
    let role = match (node.current_lease(now), node.live_leader(now)) {
        (Some(_), _) => Role::Holder,
        (None, Some(_)) => Role::Follower,
        (None, None) => Role::Leaderless,
    };
    Topology { peers: node.peers.borrow().len(), role }
}

/// A restart begins above what its last life can have reached.
fn start_sequence() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Tells between two regular notes what was sent since the last one. Until
/// it is heard others send to the same engines, and the holder of the lease may
/// remove an adapter that is in use.
fn tell_work_soon(
    node: &FleetNode,
    sender: &NoteSender,
    sequence: &mut u64,
    around: Topology,
) {
    if around.uses_relays() && around.role == Role::Holder {
        // What the holder sends itself is in the sums that it tells anyway.
        node.has_untold_work.set(false);
        return;
    }
    if !around.uses_relays() {
        *sequence += 1;
        return tell_status(node, sender, *sequence, around);
    }
    let Some(holder) = node.live_leader(Instant::now()) else { return };
    *sequence += ALL_HEAR_EACH;
    let status = status(node, *sequence, around);
    let note = Note::Status(status);
    sender.send_to_peer(node, &holder.instance, &note);
}

fn tell_status(
    node: &FleetNode,
    sender: &NoteSender,
    sequence: u64,
    around: Topology,
) {
    let mut status = status(node, sequence, around);
    let holder = node
        .live_leader(Instant::now())
        .filter(|_| around.uses_relays() && status.leads.is_none());
    if let Some(holder) = holder {
        // The holder alone needs to know of adapters in use. Of two notes with
        // one number it keeps the first.
        let note = Note::Status(status.clone());
        sender.send_to_peer(node, &holder.instance, &note);
        if !sequence.is_multiple_of(ALL_HEAR_EACH) {
            return;
        }
        status.next_in_ms *= ALL_HEAR_EACH;
        for (_, work) in &mut status.work {
            *work = work.without_adapters();
        }
    }
    sender.broadcast(node, &Note::Status(status));
}

/// Returns what this instance says of itself now.
fn status(node: &FleetNode, sequence: u64, around: Topology) -> Status {
    let now = Instant::now();
    let leads = node.current_lease(now).map(|held| LeaderLease {
        epoch: held.epoch,
        renewal: held.renewal,
        left_ms: held.left(now).as_millis() as u64 + 1,
    });
    let is_total = around.uses_relays() && leads.is_some();
    node.has_untold_work.set(false);
    let Totals { work, is_part } = match is_total {
        true => node.view.borrow_mut().publish_totals(),
        false => {
            let work = node.view.borrow_mut().publish_work();
            Totals { work, is_part: false }
        }
    };
    let versions = node.view.borrow().versions_announced();
    let shares = node.shares.borrow();
    let asked_by_customers = match is_total {
        true => shares.total_demand(now),
        false => shares.local_demand(now),
    };
    Status {
        from: node.id().clone(),
        sequence,
        next_in_ms: around.status_pause().as_millis() as u64,
        leads,
        configuration: node.configuration_version().unwrap_or(0),
        versions,
        store_is_out: node.store_contact.borrow().is_unreachable(),
        is_leaving: node.stage.get() == Stage::Leaving,
        asked_by_customers,
        departures: node.view.borrow().departures(now),
        work,
        is_total,
        is_part,
        crashes: node.poison.borrow().recent_crashes(now),
        condemned: node.poison.borrow().condemned_len() as u64,
        limits: node.view.borrow().limit_reports(is_total, now),
    }
}

fn arrived(seen: SeenArrival) -> LoadObservationReport {
    let SeenArrival { endpoint, key, is_there, sent } = seen;
    let ago_ms = sent.elapsed().as_millis() as u64;
    LoadObservationReport { endpoint, key, is_there, ago_ms }
}

fn tell_asked(node: &FleetNode, sender: &NoteSender) {
    node.has_untold_sends.set(false);
    let counts: Vec<_> = node.asked.borrow_mut().drain().collect();
    let waiting: Vec<_> = node.waiting.borrow_mut().drain().collect();
    let unreachable: Vec<_> = node.unreachable.take().into_iter().collect();
    let arrivals: Vec<_> =
        node.arrivals.take().into_iter().map(arrived).collect();
    if counts.is_empty()
        && waiting.is_empty()
        && unreachable.is_empty()
        && arrivals.is_empty()
    {
        return;
    }
    let zone = node.settings.zone.clone();
    let from = node.id().clone();
    // Matters to who must find another place for what requests wait for.
    let saturated = match waiting.is_empty() {
        true => Vec::new(),
        false => node.saturated_for(Instant::now()),
    };
    let asked = DemandReport {
        from,
        zone,
        counts,
        waiting,
        unreachable,
        arrivals,
        saturated,
    };
    if node.held.get().is_some() {
        hear_asked(node, sender, &asked, Instant::now());
        return;
    }
    let Some(leader) = node.live_leader(Instant::now()) else { return };
    sender.send_to_peer(node, &leader.instance, &Note::DemandReport(asked));
}
