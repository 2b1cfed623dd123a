//! Notes between instances, as datagrams.
//!
//! A datagram fits what they say: sums that replace each other, where the
//! newest counts and a lost one is repaired by the next. It needs no
//! connection to hang when a machine loses power.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use compio::BufResult;
use sedgewall_fleet::{
    departure::Departure,
    note::{Asked, FEW_PEERS, Lead, Note, Status},
};

use sedgewall_state::id::EndpointId;

use super::{
    follow,
    node::{FleetNode, Stage},
    note_sender::{LARGEST_NOTE, NoteSender},
};

/// How often each instance says what it has under way, at the least.
const STATUS_EVERY: Duration = Duration::from_millis(150);

/// The pause between two notes that an instance hears from all others
/// together while there is no holder of the lease: with many instances each
/// speaks less often, so that a small machine spends no more on hearing them.
const HEARD_EVERY: Duration = Duration::from_millis(25);

/// Where there are many, each so many-th note goes to all and not to the holder
/// alone, so that each knows who is there.
const ALL_HEAR_EACH: u64 = 8;

/// How often it says what was asked for, if nothing waits.
const ASKED_EVERY: Duration = Duration::from_millis(300);

/// What others know in a newer version is listed after this long, if our own
/// watch has not brought it, and again after this long.
const BEHIND_FOR: Duration = Duration::from_millis(500);

/// A newer version that was heard of this long ago was another one.
const BEHIND_HOLDS: Duration = Duration::from_millis(2_000);

/// The pause between two batches, where there are many peers.
const BATCH_PAUSE: Duration = Duration::from_millis(40);

/// What each of many peers adds to the pause between two urgent notes. The
/// holder hears some 1,000 a second at the most, each some 20 us.
const URGENT_PAUSE: Duration = Duration::from_millis(1);

/// The least pause between two notes of what an instance has under way, when
/// it has sent large prompts.
const SOON_PAUSE: Duration = Duration::from_millis(20);

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
            Ok((len, _)) => match rmp_serde::from_slice(&buf[..len]) {
                Ok(note) => hear(&node, &sender, note),
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

fn hear(node: &Rc<FleetNode>, sender: &NoteSender, note: Note) {
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
            node.last_words.borrow_mut().hear(
                &status.from,
                status.store_is_out,
                status.is_leaving,
                now,
            );
            node.view.borrow_mut().hear_status(status, now);
        }
        Note::Departed(departure) => hear_departure(node, &departure, now),
        Note::StoreFails => follow::probe_store(node),
        Note::Suspect(endpoint) => {
            node.view.borrow_mut().hear_suspect(&endpoint, now);
            node.wake_all();
        }
        Note::Asked(asked) => hear_asked(node, sender, &asked, now),
        Note::Batch(notes) => {
            for note in notes {
                hear(node, sender, note);
            }
        }
        Note::Relayed(relayed) => {
            sender.pass_on(node, &relayed);
            hear(node, sender, *relayed.note);
        }
        // Whoever gives orders knows better than a note from before.
        Note::Placed(_) | Note::Removed(_)
            if node.current_lease(now).is_some() => {}
        Note::Placed(placed) => {
            node.view.borrow_mut().hear_placed(&placed, now);
            node.wake(&placed.key);
        }
        Note::Removed(removed) => {
            node.view.borrow_mut().hear_removed(&removed, now);
        }
    }
}

/// Hears that an endpoint has left, so that none of our requests goes there.
fn hear_departure(node: &FleetNode, departure: &Departure, now: Instant) {
    if !node.view.borrow_mut().hear_departure(departure, now) {
        return;
    }
    let Departure { endpoint, revision } = departure;
    tracing::info!(event = "departure_heard", endpoint, revision);
    node.wake_all();
}

/// Lists anew what another instance knows in a newer version for a while: a
/// watch of ours may be on a channel that says nothing further.
fn hear_newer(node: &FleetNode, status: &Status, now: Instant) {
    let known = node.deployment().map_or(0, |known| known.version);
    let is_configuration = status.configuration > known;
    let is_version = status.versions > node.view.borrow().versions_named();
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
        tracing::info!(event = "behind", is_configuration, is_version);
        match is_configuration {
            true => node.configuration_bell.ring(),
            false => node.versions_bell.ring(),
        }
    }
}

fn hear_asked(
    node: &FleetNode,
    sender: &NoteSender,
    asked: &Asked,
    now: Instant,
) {
    node.work.asked_heard.set(node.work.asked_heard.get() + 1);
    let mut demand = node.demand.borrow_mut();
    for (key, count) in &asked.counts {
        demand.add(key, *count, &asked.zone, now);
    }
    for (key, rank) in &asked.waiting {
        demand.wait(key, *rank);
    }
    drop(demand);
    for endpoint in &asked.unreachable {
        hear_unreachable(node, endpoint, asked, now);
    }
    if asked.waiting.is_empty() {
        return;
    }
    if asked.from != *node.id() {
        answer_asker(node, sender, asked, now);
    }
    node.ring_loader();
}

/// What two instances cannot reach is left out by all, and what it holds is
/// brought elsewhere.
fn hear_unreachable(
    node: &FleetNode,
    endpoint: &EndpointId,
    asked: &Asked,
    now: Instant,
) {
    let mut suspicions = node.suspicions.borrow_mut();
    if suspicions.report(endpoint, &asked.from, now) {
        tracing::warn!(event = "endpoint_suspect", endpoint, by = asked.from);
        node.view.borrow_mut().hear_suspect(endpoint, now);
        node.outbox.borrow_mut().push(Note::Suspect(endpoint.clone()));
        node.ring_notes();
    }
}

/// Tells an instance at once where what it asks for already is; the rest it
/// hears when it is placed.
fn answer_asker(
    node: &FleetNode,
    sender: &NoteSender,
    asked: &Asked,
    now: Instant,
) {
    let Some(held) = node.current_lease(now) else { return };
    let mut known = Vec::new();
    let mut askers = node.askers.borrow_mut();
    for (key, _) in &asked.waiting {
        let places = node.view.borrow().whereabouts(key, held.epoch, now);
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
    let mut next_status = Instant::now();
    let mut next_asked = Instant::now();
    let mut next_forget = Instant::now();
    let mut next_batch = Instant::now();
    let mut next_urgent = Instant::now();
    let mut next_soon = Instant::now();
    let mut is_urgent = false;
    loop {
        let mut next = next_status.min(next_asked);
        if node.has_untold_work.get() {
            next = next.min(next_soon);
        }
        if !node.outbox.borrow().is_empty() {
            next = next.min(next_batch);
        }
        if is_urgent {
            next = next.min(next_urgent);
        }
        let left = next.saturating_duration_since(Instant::now());
        is_urgent |= node.notes_rung(left).await;
        let now = Instant::now();
        if now >= next_status || node.store_contact.borrow_mut().take_news() {
            let pause = status_pause(&node, now);
            next_status = now + pause;
            next_soon = now + soon_pause(&node);
            sequence += 1;
            tell_status(&node, &sender, sequence, pause);
        } else if node.has_untold_work.get() && now >= next_soon {
            next_soon = now + soon_pause(&node);
            let pause = status_pause(&node, now);
            tell_work_soon(&node, &sender, &mut sequence, pause);
        }
        if now >= next_batch {
            next_batch = now + batch_pause(&node);
            for notes in node.outbox.take().chunks(BATCH_LEN) {
                sender.broadcast(&node, &Note::Batch(notes.to_vec()));
            }
        }
        if (is_urgent && now >= next_urgent) || now >= next_asked {
            is_urgent = false;
            next_urgent = now + urgent_pause(&node);
            next_asked = now + ASKED_EVERY;
            tell_asked(&node, &sender);
        }
        if now >= next_forget {
            next_forget = now + FORGET_EVERY;
            node.view.borrow_mut().forget_silent_peers(now);
            node.view.borrow_mut().forget_departures(now);
            node.suspicions.borrow_mut().forget(now);
        }
    }
}

/// A few instances hear at once what engines get and lose. Many hear it a
/// little later; who waits for an adapter is told at once in any case.
fn batch_pause(node: &FleetNode) -> Duration {
    match node.peers.borrow().len() > FEW_PEERS {
        true => BATCH_PAUSE,
        false => Duration::ZERO,
    }
}

/// What an instance waits between two notes on what its requests wait for:
/// the holder hears those of all.
fn urgent_pause(node: &FleetNode) -> Duration {
    let peers = node.peers.borrow().len();
    match peers > FEW_PEERS {
        true => URGENT_PAUSE * peers as u32,
        false => Duration::ZERO,
    }
}

/// Where there are many, each tells the holder what it has under way, and the
/// holder tells all the sums. Without a holder each tells all, less often.
fn status_pause(node: &FleetNode, now: Instant) -> Duration {
    let peers = node.peers.borrow().len();
    if peers <= FEW_PEERS || node.current_lease(now).is_some() {
        return STATUS_EVERY;
    }
    match node.live_leader(now) {
        Some(_) => STATUS_EVERY * 2,
        None => STATUS_EVERY.max(HEARD_EVERY * peers as u32),
    }
}

/// A restart begins above what its last life can have reached.
fn start_sequence() -> u64 {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Among a few instances, all hear soon what was sent; among many, only the
/// holder does, as often as it can hear them all.
fn soon_pause(node: &FleetNode) -> Duration {
    SOON_PAUSE.max(urgent_pause(node))
}

/// Tells between two regular notes what was sent since the last one. Until
/// it is heard others send to the same engines, and the holder of the lease may
/// remove an adapter that is in use.
fn tell_work_soon(
    node: &FleetNode,
    sender: &NoteSender,
    sequence: &mut u64,
    pause: Duration,
) {
    let is_many = node.peers.borrow().len() > FEW_PEERS;
    if is_many && node.current_lease(Instant::now()).is_some() {
        // What the holder sends itself is in the sums that it tells anyway.
        node.has_untold_work.set(false);
        return;
    }
    if !is_many {
        *sequence += 1;
        return tell_status(node, sender, *sequence, pause);
    }
    let Some(holder) = node.live_leader(Instant::now()) else { return };
    *sequence += ALL_HEAR_EACH;
    let status = status(node, *sequence, pause);
    let note = Note::Status(status);
    sender.send_to_peer(node, &holder.instance, &note);
}

fn tell_status(
    node: &FleetNode,
    sender: &NoteSender,
    sequence: u64,
    pause: Duration,
) {
    let mut status = status(node, sequence, pause);
    let is_many = node.peers.borrow().len() > FEW_PEERS;
    let holder = node
        .live_leader(Instant::now())
        .filter(|_| is_many && status.leads.is_none());
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
fn status(node: &FleetNode, sequence: u64, next_in: Duration) -> Status {
    let now = Instant::now();
    let leads = node.current_lease(now).map(|held| Lead {
        epoch: held.epoch,
        renewal: held.renewal,
        left_ms: held.left(now).as_millis() as u64 + 1,
    });
    let is_many = node.peers.borrow().len() > FEW_PEERS;
    let is_total = is_many && leads.is_some();
    node.has_untold_work.set(false);
    let work = node.view.borrow_mut().tell_work(is_total);
    let versions = node.view.borrow().versions_named();
    Status {
        from: node.id().clone(),
        sequence,
        next_in_ms: next_in.as_millis() as u64,
        leads,
        configuration: node.deployment().map_or(0, |known| known.version),
        versions,
        store_is_out: node.store_contact.borrow().is_out(),
        is_leaving: node.stage.get() == Stage::Leaving,
        departures: node.view.borrow().departures(now),
        work,
        is_total,
    }
}

fn tell_asked(node: &FleetNode, sender: &NoteSender) {
    let counts: Vec<_> = node.asked.borrow_mut().drain().collect();
    let waiting: Vec<_> = node.waiting.borrow_mut().drain().collect();
    let unreachable: Vec<_> = node.unreachable.take().into_iter().collect();
    if counts.is_empty() && waiting.is_empty() && unreachable.is_empty() {
        return;
    }
    let zone = node.settings.zone.clone();
    let from = node.id().clone();
    let asked = Asked { from, zone, counts, waiting, unreachable };
    if node.held.get().is_some() {
        hear_asked(node, sender, &asked, Instant::now());
        return;
    }
    let Some(leader) = node.live_leader(Instant::now()) else { return };
    sender.send_to_peer(node, &leader.instance, &Note::Asked(asked));
}
