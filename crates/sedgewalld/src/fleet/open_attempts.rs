//! The attempts of one request that are under way at the same time.
//!
//! An endpoint that is silent may be at work. An attempt is therefore not given
//! up for its silence alone: another one begins beside it, once an endpoint and
//! a retry are there for it, and the first response is forwarded. At an engine
//! two attempts overlap only briefly, because both take its memory.
//!
//! The invariant: while an attempt is open, the request has not failed.

use std::{
    cell::Cell,
    future::pending,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use futures_util::{FutureExt, future::select_all, select_biased};
use sedgewall_clock::Instant;
use sedgewall_fleet::{poison::Loss, view::Target};

use super::{
    attempt::{
        self, AttemptError, CallerRequest, GoodAnswer, Responder, SendGuard,
        SentTo,
    },
    forwarding::{self, ForwardError, ForwardedAnswer},
    instance::FleetInstance,
    poison,
    progress::Progress,
    reach::SilenceSignal,
    request_log,
    retries::{self, Failure, MAX_SENDS},
};

/// How long an attempt of a repeatable request stays alone, in multiples of the
/// route's target latency. After it, another endpoint is looked for.
const ALONE_TARGETS: f64 = 2.5;

/// How long an attempt at an engine stays open beside the one that takes its
/// place. Within this time the later engine would have rejected the request.
pub(crate) const MAX_ENGINE_OVERLAP: Duration = Duration::from_millis(300);

/// Where a request is sent.
pub(crate) enum Destination {
    Endpoint(Target),
    /// Another instance, which chooses the endpoint.
    Instance,
}

/// The open attempts of one request, the oldest one first.
pub(crate) struct OpenAttempts<'a> {
    instance: &'a Rc<FleetInstance>,
    call: &'a CallerRequest,
    last_event: Option<&'a str>,
    attempts: Vec<OpenAttempt<'a>>,
    /// When the last attempt began, whether or not it is open.
    last_began: Instant,
    /// The number of attempts that have begun.
    begun: u32,
    /// Whether the request is also open elsewhere, so that it has not failed
    /// when these attempts have.
    is_open_elsewhere: Option<&'a Cell<bool>>,
}

struct OpenAttempt<'a> {
    /// The endpoint, unless the request went to another instance.
    target: Option<Target>,
    began: Instant,
    sending: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

/// What an attempt brought, by where the request was sent.
pub(crate) enum Outcome {
    Endpoint(Result<GoodAnswer, AttemptError>),
    Instance(Result<ForwardedAnswer, ForwardError>),
}

/// What happens next to the open attempts.
pub(crate) enum Event<'a> {
    /// An attempt has ended, and is no longer among the open ones.
    Ended(Box<EndedAttempt<'a>>),
    /// Another attempt may begin beside them.
    MayBegin(Destination),
    /// The attempts before the last one have been open beside it for long
    /// enough.
    OverlapEnded,
}

/// An attempt that ended.
pub(crate) struct EndedAttempt<'a> {
    attempt: OpenAttempt<'a>,
    /// The number of open attempts that began before it.
    earlier: usize,
    pub(crate) outcome: Outcome,
}

impl<'a> OpenAttempts<'a> {
    pub(crate) fn new(
        instance: &'a Rc<FleetInstance>,
        call: &'a CallerRequest,
        last_event: Option<&'a str>,
    ) -> OpenAttempts<'a> {
        OpenAttempts {
            instance,
            call,
            last_event,
            attempts: Vec::new(),
            last_began: Instant::now(),
            begun: 0,
            is_open_elsewhere: None,
        }
    }

    /// Sets a flag that states whether the request is also open elsewhere.
    pub(crate) fn beside(self, is_open: &'a Cell<bool>) -> OpenAttempts<'a> {
        OpenAttempts { is_open_elsewhere: Some(is_open), ..self }
    }

    pub(crate) fn is_open_elsewhere(&self) -> bool {
        self.is_open_elsewhere.is_some_and(Cell::get)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Sends the request.
    pub(crate) fn begin(&mut self, progress: &mut Progress, to: Destination) {
        let (instance, call) = (self.instance, self.call);
        let last_event = self.last_event;
        let began = Instant::now();
        let attempt = match to {
            Destination::Endpoint(target) => {
                progress.sends += 1;
                progress.open_at.push(target.id.clone());
                set_sent_to(call, Some(&target), began);
                let to = target.clone();
                let sending = Box::pin(async move {
                    let sent = attempt::send(instance, call, &to, last_event);
                    Outcome::Endpoint(sent.await)
                });
                OpenAttempt { target: Some(target), began, sending }
            }
            Destination::Instance => {
                set_sent_to(call, None, began);
                progress.is_open_at_instance = true;
                let mut progress = progress.clone();
                // The other instance must count the open attempts as runs.
                progress.runs += self.attempts.len() as u32;
                let sending = Box::pin(async move {
                    let sent = forwarding::send(
                        instance, call, &progress, last_event,
                    );
                    Outcome::Instance(sent.await)
                });
                OpenAttempt { target: None, began, sending }
            }
        };
        self.attempts.push(attempt);
        self.last_began = began;
        self.begun += 1;
    }

    /// Waits for the next event. There must be an open attempt.
    pub(crate) async fn next_event(
        &mut self,
        progress: &mut Progress,
    ) -> Event<'a> {
        let (instance, call) = (self.instance, self.call);
        let open = self.attempts.len() as u32;
        let last_began = self.last_began;
        let may_begin = self.begun < MAX_SENDS
            && retries::may_begin_beside(call, progress, open);
        let is_direct = self.attempts.iter().any(|a| a.target.is_some());
        let (outcome, idx) = {
            let progress = &*progress;
            let sending = self.attempts.iter_mut().map(|a| &mut a.sending);
            let mut ended = select_all(sending).fuse();
            let mut overlap_ended = pin!(
                async {
                    if open < 2 || !call.is_engine {
                        return pending().await;
                    }
                    sleep_until(last_began + MAX_ENGINE_OVERLAP).await;
                }
                .fuse()
            );
            let mut destination = pin!(
                async {
                    if !may_begin {
                        return pending().await;
                    }
                    let alone =
                        call.route.target_latency.mul_f64(ALONE_TARGETS);
                    let until = last_began + alone;
                    silent_or_until(instance, call, is_direct, until).await;
                    retries::seek_destination(instance, call, progress).await
                }
                .fuse()
            );
            select_biased! {
                (outcome, idx, _) = ended => (outcome, idx),
                () = overlap_ended => return Event::OverlapEnded,
                to = destination => return Event::MayBegin(to),
            }
        };
        let attempt = self.attempts.remove(idx);
        if let Some(target) = &attempt.target {
            progress.open_at.retain(|id| *id != target.id);
        }
        progress.is_open_at_instance =
            self.attempts.iter().any(|a| a.target.is_none());
        let ended = EndedAttempt { attempt, earlier: idx, outcome };
        Event::Ended(Box::new(ended))
    }

    /// Closes all attempts but the last one, which has taken their place.
    pub(crate) fn keep_last(&mut self, progress: &mut Progress) {
        let last = self.attempts.len().saturating_sub(1);
        for attempt in self.attempts.drain(..last) {
            attempt.replaced(self.instance, self.call, progress);
        }
    }

    /// Closes all attempts, because `ended` brought the response, whose body
    /// its endpoint is still at work on.
    pub(crate) fn close(
        &mut self,
        ended: &EndedAttempt<'a>,
        progress: &mut Progress,
    ) {
        let (instance, call) = (self.instance, self.call);
        for (idx, attempt) in self.attempts.drain(..).enumerate() {
            if idx < ended.earlier {
                attempt.replaced(instance, call, progress);
            } else {
                attempt.closed(instance, call, progress);
            }
        }
        let target = ended.attempt.target.as_ref();
        set_sent_to(call, target, ended.attempt.began);
        progress.open_at = target.map(|t| t.id.clone()).into_iter().collect();
    }
}

impl OpenAttempt<'_> {
    /// Records that the attempt is closed in favour of a later one, which
    /// counts as a failure of its endpoint.
    fn replaced(
        self,
        instance: &Rc<FleetInstance>,
        call: &CallerRequest,
        progress: &mut Progress,
    ) {
        if let Some(target) = &self.target {
            attempt::record_replaced(instance, call, target);
            let sent_to =
                SentTo { endpoint: target.id.clone(), at: self.began };
            poison::run_lost(instance, call, &sent_to, Loss::Broken);
        }
        self.record_end(call, progress);
    }

    /// Records that the attempt is closed because an earlier one has answered,
    /// which says nothing about its endpoint.
    fn closed(
        self,
        instance: &Rc<FleetInstance>,
        call: &CallerRequest,
        progress: &mut Progress,
    ) {
        if let Some(target) = &self.target {
            let sent_to =
                SentTo { endpoint: target.id.clone(), at: self.began };
            poison::run_lost(instance, call, &sent_to, Loss::CallerLeft);
        }
        self.record_end(call, progress);
    }

    fn record_end(self, call: &CallerRequest, progress: &mut Progress) {
        progress.runs += 1;
        progress.arrivals += 1;
        let Some(target) = &self.target else {
            progress.sends += 1;
            return;
        };
        progress.tried.push(target.id.clone());
        progress.open_at.retain(|id| *id != target.id);
        let took = self.began.elapsed();
        let err = AttemptError::Replaced;
        request_log::send_failed(call, progress, target, &err, took);
    }
}

impl EndedAttempt<'_> {
    /// Returns the time that the attempt took.
    pub(crate) fn took(&self) -> Duration {
        self.attempt.began.elapsed()
    }

    /// Returns the endpoint, unless the request went to another instance.
    pub(crate) fn target(&self) -> Option<&Target> {
        self.attempt.target.as_ref()
    }

    /// Returns whether an endpoint made the response, and it states an error.
    pub(crate) fn is_error_response(&self) -> bool {
        match &self.outcome {
            Outcome::Endpoint(Ok(good)) => {
                good.answer.status.is_server_error()
            }
            Outcome::Endpoint(Err(_)) | Outcome::Instance(_) => false,
        }
    }

    /// Returns `Ok` if the response is the answer whatever other attempts
    /// bring.
    pub(crate) fn check(&self) -> Result<(), Failure> {
        match &self.outcome {
            Outcome::Endpoint(Ok(good)) if self.is_error_response() => {
                let err = AttemptError::failed(good.answer.status);
                Err(Failure::Endpoint(err))
            }
            Outcome::Endpoint(Ok(_)) | Outcome::Instance(Ok(_)) => Ok(()),
            Outcome::Endpoint(Err(err)) => Err(Failure::Endpoint(err.clone())),
            Outcome::Instance(Err(err)) => Err(Failure::Instance(err.clone())),
        }
    }

    /// Returns the response, and where it comes from.
    pub(crate) fn into_answer(self) -> Option<(GoodAnswer, Responder)> {
        match (self.outcome, self.attempt.target) {
            (Outcome::Endpoint(Ok(good)), Some(target)) => {
                Some((good, Responder::Endpoint(target)))
            }
            (Outcome::Instance(Ok(forwarded)), _) => {
                let ForwardedAnswer {
                    answer,
                    through: id,
                    software_version,
                    guard,
                } = forwarded;
                let guard = SendGuard::Instance { _guard: guard };
                let good = GoodAnswer { answer, guard };
                Some((good, Responder::Instance { id, software_version }))
            }
            _ => None,
        }
    }
}

fn set_sent_to(call: &CallerRequest, target: Option<&Target>, at: Instant) {
    *call.sent_to.borrow_mut() =
        target.map(|target| SentTo { endpoint: target.id.clone(), at });
}

/// Waits until a time, or until the endpoints of the service have fallen
/// silent if the request was sent to one of them directly.
pub(crate) async fn silent_or_until(
    instance: &Rc<FleetInstance>,
    call: &CallerRequest,
    is_direct: bool,
    until: Instant,
) {
    if !is_direct {
        return sleep_until(until).await;
    }
    let mut signal = SilenceSignal::register(instance, &call.service);
    let mut silent = pin!(signal.silent().fuse());
    let mut reached = pin!(sleep_until(until).fuse());
    select_biased! {
        () = reached => {}
        () = silent => {}
    }
}

async fn sleep_until(at: Instant) {
    compio::time::sleep(at.saturating_duration_since(Instant::now())).await;
}
