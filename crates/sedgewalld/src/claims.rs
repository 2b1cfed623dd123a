//! Claims of idempotency keys, on both sides: the entry, which requests a
//! claim, and the claimer, which writes it to the log.
//!
//! Any instance can be the claimer of any partition; entries prefer one by
//! rendezvous hashing. Correctness does not depend on that choice but on the
//! log's create-if-absent writes, see `sedgewall_coordination::claim`.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime},
};

use futures_channel::oneshot;
use http::StatusCode;
use log::{info, warn};
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    claim::{
        AnsweredClaim, Claim, ClaimAnswer, ClaimLog, PartitionIdx, Segment,
        SegmentAnswer, SegmentWrite, key_hash, partition,
    },
    lease::WriteAnswer,
    rendezvous,
    timeline::{EventKind, unix_ms},
};
use sedgewall_protocol::{
    Envelope, PeerMessage, Problem, RunState,
    caller::CallOptions,
    message::{ClaimReply, ClaimRequest},
    platform::{claims_prefix, segment_idx, segment_key},
};
use sedgewall_state::{Incarnation, RequestId};
use sedgewall_transport::PlatformError;

use crate::{
    instance::{Instance, Stage},
    stop_end::stopping_problem,
};

/// The minimum time between two segments of one log.
///
/// Four logs that each write a segment every 150 ms, and later delete it, make
/// at most 54 of the 100 writes per second that the platform allows. The first
/// claim after an idle time is written at once.
const SEGMENT_INTERVAL: Duration = Duration::from_millis(150);

/// How long an entry waits for the claimer's answer before it sends the claim
/// again.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// The time limit of a claim, retries included; after it the request is
/// refused as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a claimed key is kept.
pub(crate) const RETENTION: Duration = Duration::from_secs(3_600);

/// The age after which the state of a log in memory is discarded and read
/// again, because other instances may have written to the log and trimmed it.
const STALE_AFTER: Duration = Duration::from_secs(600);

/// The delay before a failed read or a write with unclear outcome is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The `Retry-After` value while claims cannot be written.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The outcome of a claim, for the request that needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClaimOutcome {
    Granted,
    Taken,
    Unavailable,
}

impl ClaimOutcome {
    /// Returns the problem to answer with when the claim was not granted.
    pub(crate) fn problem(self) -> Problem {
        if self == ClaimOutcome::Taken {
            return Problem::new(
                StatusCode::CONFLICT,
                "key_taken",
                RunState::Unknown,
                "another request with this idempotency key was accepted; \
                 this one was not run",
            );
        }
        Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "claims_unavailable",
            RunState::NotRun,
            "idempotency keys cannot be claimed at the moment",
        )
        .with_retry_after(UNAVAILABLE_RETRY_AFTER)
    }
}

/// A claim that a request needs before it may run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimTicket {
    claim: Claim,
}

impl ClaimTicket {
    /// Returns a ticket if the request is not repeatable and has an
    /// idempotency key.
    pub(crate) fn new(
        options: &CallOptions,
        is_repeatable: bool,
        caller: &str,
        request: RequestId,
    ) -> Option<ClaimTicket> {
        if is_repeatable {
            return None;
        }
        let key = options.idempotency_key.as_ref()?;
        let claim = Claim { key: key_hash(caller, key), request };
        Some(ClaimTicket { claim })
    }

    /// Obtains the claim within a time limit.
    ///
    /// # Errors
    ///
    /// The problem to answer the request with, if the key is not claimed or the
    /// process ends before.
    pub(crate) async fn obtain_before_stop_ends(
        &self,
        instance: &Rc<Instance>,
        within: Duration,
    ) -> Result<(), Problem> {
        let obtaining = self.obtain(instance, within);
        match instance.stop_end.before(obtaining).await {
            Some(ClaimOutcome::Granted) => Ok(()),
            Some(outcome) => Err(outcome.problem()),
            None => {
                self.give_up(instance);
                Err(stopping_problem(RunState::NotRun))
            }
        }
    }

    /// Claims the key, and waits for the outcome for at most `within`.
    async fn obtain(
        &self,
        instance: &Rc<Instance>,
        within: Duration,
    ) -> ClaimOutcome {
        let deadline = Instant::now() + within.min(CLAIM_TIMEOUT);
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let rx = self.send_claim(instance);
            let answer =
                compio::time::timeout(left.min(CLAIM_RETRY_INTERVAL), rx)
                    .await;
            match answer {
                Ok(Ok(ClaimAnswer::Granted)) => {
                    self.record_outcome(instance, "granted");
                    return ClaimOutcome::Granted;
                }
                Ok(Ok(ClaimAnswer::Taken)) => {
                    self.record_outcome(instance, "taken");
                    return ClaimOutcome::Taken;
                }
                Ok(Ok(ClaimAnswer::Unavailable)) => break,
                _ => {}
            }
        }
        self.give_up(instance);
        self.record_outcome(instance, "unavailable");
        ClaimOutcome::Unavailable
    }

    /// Releases the key, whose claim was not answered.
    fn give_up(&self, instance: &Rc<Instance>) {
        let mut claims = instance.claims.borrow_mut();
        claims.pending_answers.remove(&self.claim.request);
        drop(claims);
        self.release(instance);
    }

    /// Releases the key, because the request was not run and never will be.
    pub(crate) fn release(&self, instance: &Rc<Instance>) {
        self.send_to_claimer(
            instance,
            PeerMessage::ReleaseClaim(self.request()),
        );
    }

    fn send_claim(
        &self,
        instance: &Rc<Instance>,
    ) -> oneshot::Receiver<ClaimAnswer> {
        let (tx, rx) = oneshot::channel();
        let mut claims = instance.claims.borrow_mut();
        claims.pending_answers.insert(self.claim.request, tx);
        drop(claims);
        self.send_to_claimer(instance, PeerMessage::Claim(self.request()));
        rx
    }

    fn request(&self) -> ClaimRequest {
        let partition = partition(self.claim.key);
        ClaimRequest { partition, claim: self.claim }
    }

    fn send_to_claimer(&self, instance: &Rc<Instance>, message: PeerMessage) {
        let key = claims_prefix(partition(self.claim.key));
        let (url, incarnation) = preferred_claimer(instance, &key);
        instance.send(&url, incarnation, message);
    }

    fn record_outcome(&self, instance: &Rc<Instance>, detail: &str) {
        let request = Some(self.claim.request);
        instance.record_event(EventKind::Claim, request, "", "", detail);
    }
}

/// Returns the peer URL of the instance that should write the claims of a
/// partition, and its incarnation if it is this instance.
fn preferred_claimer(
    instance: &Instance,
    key: &str,
) -> (String, Option<Incarnation>) {
    let now = Instant::now();
    let membership = instance.membership.borrow();
    let mut ids = membership.candidates(instance.id(), now);
    if instance.stage.get() != Stage::Leaving || ids.is_empty() {
        ids.push(instance.id());
    }
    let own = (instance.settings.peer_url(), Some(instance.incarnation));
    match rendezvous::owner(ids, key) {
        Some(owner) if owner != instance.id() => {
            // Without an incarnation: a claim is safe with any incarnation of
            // the instance.
            let url = membership.url_of(owner).map(str::to_owned);
            url.map_or(own, |url| (url, None))
        }
        _ => own,
    }
}

/// The receiver of a claim's answer.
#[derive(Clone, Debug)]
struct ReplyTo {
    url: String,
    incarnation: Incarnation,
}

/// The log of one partition, and the requests that wait for an answer.
#[derive(Debug, Default)]
struct LogState {
    log: ClaimLog,
    waiters: HashMap<RequestId, ReplyTo>,
    is_writer_running: bool,
    /// When the platform last confirmed a read or write of this log.
    last_confirmed: Option<Instant>,
    last_written: Option<Instant>,
}

/// The claims that this instance awaits as an entry, and the logs that it
/// writes as a claimer.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    pending_answers: HashMap<RequestId, oneshot::Sender<ClaimAnswer>>,
    logs: HashMap<PartitionIdx, LogState>,
}

/// Handles the answer to a claim, at the entry.
pub(crate) fn on_reply(instance: &Rc<Instance>, reply: &ClaimReply) {
    let tx =
        instance.claims.borrow_mut().pending_answers.remove(&reply.request);
    if let Some(tx) = tx {
        let _ = tx.send(reply.answer);
    }
}

/// Handles a claim, at the claimer.
pub(crate) fn on_claim(
    instance: &Rc<Instance>,
    envelope: &Envelope,
    request: &ClaimRequest,
) {
    let Some(url) = instance.sender_url(envelope) else { return };
    let reply_to = ReplyTo { url, incarnation: envelope.incarnation };
    let claim = request.claim;
    let mut claims = instance.claims.borrow_mut();
    let state = claims.logs.entry(request.partition).or_default();
    state.reset_if_stale();
    let is_repeated = state.waiters.contains_key(&claim.request);
    state.waiters.insert(claim.request, reply_to);
    if is_repeated {
        return;
    }
    let answer = state.log.claim(claim);
    drop(claims);
    if let Some(answer) = answer {
        let answered = AnsweredClaim { request: claim.request, answer };
        send_answers(instance, request.partition, vec![answered]);
    }
    start_writer(instance, request.partition);
}

/// Handles the release of a claim, at the claimer.
pub(crate) fn on_release(instance: &Rc<Instance>, request: &ClaimRequest) {
    let mut claims = instance.claims.borrow_mut();
    let state = claims.logs.entry(request.partition).or_default();
    state.reset_if_stale();
    state.waiters.remove(&request.claim.request);
    state.log.release(request.claim);
    drop(claims);
    start_writer(instance, request.partition);
}

impl LogState {
    /// Discards the state of a log that other instances may have extended and
    /// trimmed far beyond it.
    fn reset_if_stale(&mut self) {
        let is_stale =
            self.last_confirmed.is_some_and(|t| t.elapsed() > STALE_AFTER);
        if is_stale && !self.is_writer_running {
            self.log.reset();
        }
    }
}

fn start_writer(instance: &Rc<Instance>, partition: PartitionIdx) {
    let mut claims = instance.claims.borrow_mut();
    let state = claims.logs.entry(partition).or_default();
    if std::mem::replace(&mut state.is_writer_running, true) {
        return;
    }
    let instance = instance.clone();
    compio::runtime::spawn(async move {
        write_log(&instance, partition).await;
    })
    .detach();
}

/// Writes segments until nothing is left to write.
async fn write_log(instance: &Rc<Instance>, partition: PartitionIdx) {
    loop {
        if !recover(instance, partition).await {
            compio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        wait_for_segment_interval(instance, partition).await;
        let Some(write) = next_write(instance, partition) else { return };
        let answer = create(instance, partition, &write).await;
        let is_outcome_unknown = answer == SegmentAnswer::Unclear;
        if matches!(answer, SegmentAnswer::Exists(_)) {
            info!("claims: another instance wrote to log {partition}.");
        }
        finish_write(instance, partition, answer);
        if is_outcome_unknown {
            compio::time::sleep(RETRY_DELAY).await;
        } else {
            trim(instance, partition).await;
        }
    }
}

/// Runs a function on the state of a partition.
fn with_state<T>(
    instance: &Instance,
    partition: PartitionIdx,
    change: impl FnOnce(&mut LogState) -> T,
) -> T {
    let mut claims = instance.claims.borrow_mut();
    change(claims.logs.entry(partition).or_default())
}

async fn recover(instance: &Rc<Instance>, partition: PartitionIdx) -> bool {
    if with_state(instance, partition, |state| state.log.is_recovered()) {
        return true;
    }
    match read_new_segments(instance, partition).await {
        Ok(()) => {
            let answers = with_state(instance, partition, |state| {
                state.last_confirmed = Some(Instant::now());
                state.log.finish_recovery()
            });
            send_answers(instance, partition, answers);
            true
        }
        Err(err) => {
            warn!("claims: log {partition} cannot be read: {err}.");
            false
        }
    }
}

/// Reads all segments from the first unknown one on.
async fn read_new_segments(
    instance: &Rc<Instance>,
    partition: PartitionIdx,
) -> Result<(), PlatformError> {
    let prefix = claims_prefix(partition);
    let next = with_state(instance, partition, |state| state.log.next());
    let mut from = segment_key(partition, next);
    loop {
        let page = instance.platform.list(&prefix, &from).await?;
        for object in &page.objects {
            let idx = segment_idx(&object.key);
            let segment = serde_json::from_str::<Segment>(&object.value);
            let (Some(idx), Ok(segment)) = (idx, segment) else {
                let key = object.key.clone();
                return Err(PlatformError::Unreadable(key));
            };
            with_state(instance, partition, |s| {
                s.log.apply_segment(idx, &segment)
            });
        }
        match page.next {
            Some(next) => from = next,
            None => return Ok(()),
        }
    }
}

async fn wait_for_segment_interval(
    instance: &Rc<Instance>,
    partition: PartitionIdx,
) {
    let last_written =
        with_state(instance, partition, |state| state.last_written);
    let Some(last_written) = last_written else { return };
    let remaining = SEGMENT_INTERVAL.saturating_sub(last_written.elapsed());
    if !remaining.is_zero() {
        compio::time::sleep(remaining).await;
    }
}

fn next_write(
    instance: &Instance,
    partition: PartitionIdx,
) -> Option<SegmentWrite> {
    let now_ms = unix_ms(SystemTime::now());
    with_state(instance, partition, |state| {
        if let Some(write) = state.log.unresolved_write() {
            return Some(write.clone());
        }
        let write = state.log.next_write(now_ms);
        state.is_writer_running = write.is_some();
        write
    })
}

async fn create(
    instance: &Rc<Instance>,
    partition: PartitionIdx,
    write: &SegmentWrite,
) -> SegmentAnswer {
    let key = segment_key(partition, write.idx);
    let value = serde_json::to_vec(&write.segment).unwrap_or_default();
    let answer = instance.platform.put(&key, value, None).await;
    instance.set_platform_reached(answer != WriteAnswer::Unclear);
    match answer {
        WriteAnswer::Done(_) => SegmentAnswer::Created,
        WriteAnswer::Unclear => SegmentAnswer::Unclear,
        WriteAnswer::Conflict => {
            let found = instance.platform.get(&key).await;
            let Ok(Some(object)) = found else {
                return SegmentAnswer::Unclear;
            };
            serde_json::from_slice(&object.value)
                .map_or(SegmentAnswer::Unclear, SegmentAnswer::Exists)
        }
    }
}

fn finish_write(
    instance: &Rc<Instance>,
    partition: PartitionIdx,
    answer: SegmentAnswer,
) {
    let answers = with_state(instance, partition, |state| {
        if answer != SegmentAnswer::Unclear {
            state.last_confirmed = Some(Instant::now());
            state.last_written = Some(Instant::now());
        }
        state.log.complete_write(answer)
    });
    send_answers(instance, partition, answers);
}

async fn trim(instance: &Rc<Instance>, partition: PartitionIdx) {
    let now_ms = unix_ms(SystemTime::now());
    let before_ms = now_ms.saturating_sub(RETENTION.as_millis() as u64);
    let oldest_expired =
        with_state(instance, partition, |s| s.log.trim(before_ms));
    let Some(idx) = oldest_expired else { return };
    let key = segment_key(partition, idx);
    if let Err(err) = instance.platform.delete(&key).await {
        warn!("claims: {key} cannot be deleted: {err}.");
    }
}

fn send_answers(
    instance: &Rc<Instance>,
    partition: PartitionIdx,
    answers: Vec<AnsweredClaim>,
) {
    for AnsweredClaim { request, answer } in answers {
        let reply_to = with_state(instance, partition, |state| {
            state.waiters.remove(&request)
        });
        let Some(to) = reply_to else { continue };
        let reply = PeerMessage::Claimed(ClaimReply { request, answer });
        instance.send(&to.url, Some(to.incarnation), reply);
    }
}
