//! Where streams began, across instances: tells others of the streams that
//! begin here, and asks them for those that are resumed here.
//!
//! Invariant: a resumed stream is sent to an endpoint only if the software
//! version of its first event is known.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    endpoint::SoftwareVersion,
    note::{BegunStreams, Note, OriginQuery, VersionDemand},
    route::ServiceName,
    stream_origins::{
        HOLDERS, MAX_ASKED, MAX_STREAM_AGE, OriginKnowledge, StreamKey,
        StreamOrigin, StreamOrigins, holders,
    },
};
use sedgewall_state::id::InstanceId;

use super::{
    instance::FleetInstance, notify::Notify, stream_records, version_records,
};

/// How long streams that begin are collected before others are told of them.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// The same while streams are recorded. A stream whose instances are lost
/// before cannot go on.
const RECORDED_REPORT_DELAY: Duration = Duration::from_millis(5);

/// How long an instance at which no stream begins waits for a notification.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// The maximum number of streams in one note, so that it fits one packet.
const MAX_STREAMS_PER_NOTE: usize = 120;

/// How long an instance waits for others to answer where a stream began.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// The time after which the instances that have not answered are asked again,
/// because a datagram may be lost.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(60);

/// The maximum number of questions that wait for answers at once.
const MAX_QUERIES: usize = 1_024;

/// The minimum interval between two requests to the lease holder for the same
/// adapter at the same software version.
const DEMAND_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of remembered requests for adapters.
const MAX_REMEMBERED: usize = 512;

/// How long the records in the store are waited for.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(500);

/// A stream that a caller resumes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResumedStream<'a> {
    /// The request that resumes the stream.
    pub(crate) request_id: &'a str,
    /// The request that brought the first event, if the caller names it.
    pub(crate) began_as: Option<&'a str>,
    /// The last event that the caller has.
    pub(crate) last_event: Option<&'a str>,
    /// The key of the request that brought the first event.
    pub(crate) key: Option<StreamKey>,
    /// The service that the request is for.
    pub(crate) service: &'a ServiceName,
    /// Whether the route has no other service.
    pub(crate) is_only_service: bool,
}

/// The streams of this instance and those that it was told of.
#[derive(Default)]
pub(crate) struct Streams {
    origins: RefCell<StreamOrigins>,
    /// Streams that others have not been told of.
    unreported: RefCell<Vec<(StreamKey, StreamOrigin)>>,
    unreported_notify: Notify,
    /// The streams that began here lately, oldest first.
    recent: RefCell<VecDeque<(StreamKey, StreamOrigin, Instant)>>,
    queries: RefCell<HashMap<u64, Rc<Query>>>,
    next_query: Cell<u64>,
    /// When the lease holder was last asked for an adapter at a version.
    last_demanded: RefCell<HashMap<(AdapterKey, SoftwareVersion), Instant>>,
}

/// A question that waits for answers.
#[derive(Default)]
struct Query {
    answers: RefCell<Vec<(InstanceId, OriginKnowledge)>>,
    notify: Notify,
}

impl Streams {
    /// Records where a stream began, and reports it to other instances if
    /// `is_reported` is set.
    pub(crate) fn record(
        &self,
        key: StreamKey,
        origin: &StreamOrigin,
        is_reported: bool,
    ) {
        let now = Instant::now();
        self.origins.borrow_mut().record(key, origin, now);
        if is_reported {
            let mut recent = self.recent.borrow_mut();
            recent.push_back((key, origin.clone(), now));
            self.report(key, origin.clone());
        }
    }

    fn report(&self, key: StreamKey, origin: StreamOrigin) {
        self.unreported.borrow_mut().push((key, origin));
        self.unreported_notify.notify();
    }

    /// Records streams that another instance reports.
    pub(crate) fn apply_report(&self, reports: &[BegunStreams]) {
        let now = Instant::now();
        let mut origins = self.origins.borrow_mut();
        for report in reports {
            for key in &report.keys {
                origins.record(*key, &report.origin, now);
            }
        }
        let count = reports.iter().map(|report| report.keys.len()).sum();
        metrics::counter!("sedgewall_stream_reports_received_total")
            .increment(count_of(count));
    }

    /// Records the answer of another instance.
    pub(crate) fn apply_answer(
        &self,
        number: u64,
        from: InstanceId,
        knowledge: OriginKnowledge,
    ) {
        let query = self.queries.borrow().get(&number).cloned();
        let Some(query) = query else { return };
        let mut answers = query.answers.borrow_mut();
        if !answers.iter().any(|(known, _)| *known == from) {
            answers.push((from, knowledge));
            query.notify.notify();
        }
    }

    /// Forgets streams that have ended for certain.
    pub(crate) fn forget(&self, now: Instant) {
        self.origins.borrow_mut().forget(now);
        let mut recent = self.recent.borrow_mut();
        while recent
            .front()
            .is_some_and(|(_, _, at)| now - *at >= MAX_STREAM_AGE)
        {
            recent.pop_front();
        }
        drop(recent);
        metrics::gauge!("sedgewall_stream_origins")
            .set(self.origins.borrow().len() as f64);
    }
}

fn count_of(len: usize) -> u64 {
    u64::try_from(len).unwrap_or(u64::MAX)
}

/// Tells other instances of the streams that begin here. Never returns.
pub(crate) async fn report_begun(instance: Rc<FleetInstance>) {
    loop {
        let streams = &instance.streams;
        if streams.unreported.borrow().is_empty() {
            streams.unreported_notify.wait(IDLE_WAIT).await;
            continue;
        }
        let is_recorded =
            streams.unreported.borrow().first().is_some_and(|(_, origin)| {
                instance.version_records.has_several(&origin.service)
            });
        let delay = match is_recorded {
            true => RECORDED_REPORT_DELAY,
            false => REPORT_DELAY,
        };
        compio::time::sleep(delay).await;
        let begun = streams.unreported.take();
        let peers = instance.stream_peers();
        let recorder = instance
            .live_leader(Instant::now())
            .map(|leader| leader.instance)
            .filter(|leader| peers.contains(leader));
        instance.record_streams(begun.iter().cloned());
        let mut by_holder: BTreeMap<InstanceId, Vec<BegunStreams>> =
            BTreeMap::new();
        for (key, origin) in begun {
            let mut told = holders(key, peers.iter(), HOLDERS);
            let is_recorded =
                instance.version_records.has_several(&origin.service);
            let recorder = recorder.iter().filter(|_| is_recorded);
            told.extend(recorder.cloned());
            told.sort_unstable();
            told.dedup();
            for holder in told {
                add(by_holder.entry(holder).or_default(), key, &origin);
            }
        }
        let mut queue = instance.unicast_queue.borrow_mut();
        for (holder, reports) in by_holder {
            for report in reports {
                for keys in report.keys.chunks(MAX_STREAMS_PER_NOTE) {
                    let origin = report.origin.clone();
                    let part = BegunStreams { origin, keys: keys.to_vec() };
                    let note = Note::StreamsBegan(vec![part]);
                    queue.push((holder.clone(), note));
                }
            }
        }
        drop(queue);
        instance.notify_notes();
    }
}

fn add(
    reports: &mut Vec<BegunStreams>,
    key: StreamKey,
    origin: &StreamOrigin,
) {
    match reports.iter_mut().find(|report| report.origin == *origin) {
        Some(report) => report.keys.push(key),
        None => reports
            .push(BegunStreams { origin: origin.clone(), keys: vec![key] }),
    }
}

/// Reports the streams of a service that began here lately once more, because
/// those of a service with several software versions are recorded.
///
/// The lease holder may learn of the second version after the others, which
/// report their streams once only. So it also records those that it was told
/// of before.
pub(crate) fn record_recent(instance: &FleetInstance, service: &ServiceName) {
    let streams = &instance.streams;
    let known: Vec<_> = streams
        .origins
        .borrow()
        .recent(service, MAX_STREAM_AGE, Instant::now())
        .map(|(key, origin)| (key, origin.clone()))
        .collect();
    instance.record_streams(known.into_iter());
    let recent = streams.recent.borrow().clone();
    for (key, origin, _) in recent {
        if origin.service == *service {
            streams.report(key, origin);
        }
    }
}

/// Returns where a stream began, or `None` if that is not certain: by what this
/// instance and others know, or by the records in the store.
pub(crate) async fn find_origin(
    instance: &Rc<FleetInstance>,
    resumed: &ResumedStream<'_>,
) -> Option<StreamOrigin> {
    let began = Instant::now();
    let ResumedStream { key, service, .. } = *resumed;
    let own = own_knowledge(instance, key, service);
    if let OriginKnowledge::Known(origin) = own {
        log_found(resumed, Some(&origin), "here", 0, began);
        return Some(origin);
    }
    let peers = instance.stream_peers();
    let asked = holders(key.unwrap_or_default(), peers.iter(), MAX_ASKED);
    let mut answers = vec![own];
    answers
        .extend(ask(instance, key.unwrap_or_default(), service, &asked).await);
    let known = answers.iter().find_map(|answer| match answer {
        OriginKnowledge::Known(origin) => Some(origin.clone()),
        _ => None,
    });
    // All that answer may lack the same endpoints, while they do not notice
    // that the store is silent. Only the records, read after the try came,
    // show that no stream of the service began at another version.
    let (origin, by) = match known {
        Some(origin) => (Some(origin), "others"),
        None => find_recorded(instance, resumed).await,
    };
    log_found(resumed, origin.as_ref(), by, answers.len() - 1, began);
    origin
}

/// Returns where a stream began by the records in the store, and which of them
/// tells it. The stream began before the records are read.
async fn find_recorded(
    instance: &Rc<FleetInstance>,
    resumed: &ResumedStream<'_>,
) -> (Option<StreamOrigin>, &'static str) {
    let reads = async {
        let ResumedStream { key, service, is_only_service, .. } = *resumed;
        if !version_records::read(instance).await {
            return None;
        }
        // A record that lacks a version does not show the others to be the
        // only ones.
        let may_lack_versions = instance
            .store_reachability
            .borrow()
            .may_lack_writes(Instant::now());
        if is_only_service
            && !may_lack_versions
            && let Some(version) = instance.version_records.only(service)
        {
            let service = service.clone();
            let origin = StreamOrigin { service, software_version: version };
            return Some((origin, "version_record"));
        }
        let key = key?;
        if !stream_records::read(instance).await {
            return None;
        }
        let origins = instance.streams.origins.borrow();
        let origin = origins.get(key, Instant::now())?;
        Some((origin.clone(), "stream_record"))
    };
    let is_out = instance.store_reachability.borrow().is_unreachable();
    let found = match is_out {
        true => None,
        false => {
            compio::time::timeout(RECORDS_TIMEOUT, reads).await.ok().flatten()
        }
    };
    match found {
        Some((origin, by)) => (Some(origin), by),
        None => (None, "nobody"),
    }
}

fn log_found(
    resumed: &ResumedStream<'_>,
    origin: Option<&StreamOrigin>,
    by: &'static str,
    answers: usize,
    began: Instant,
) {
    let by = origin.map_or("nobody", |_| by);
    metrics::counter!("sedgewall_stream_origins_sought_total", "by" => by)
        .increment(1);
    tracing::info!(
        event = "stream_origin",
        request = resumed.request_id,
        resumes = resumed.began_as,
        last_event = resumed.last_event,
        by,
        service = origin.map(|origin| origin.service.as_str()),
        software_version =
            origin.map(|o| tracing::field::display(&o.software_version)),
        answers,
        took_ms = began.elapsed().as_millis() as u64,
    );
}

fn own_knowledge(
    instance: &FleetInstance,
    key: Option<StreamKey>,
    service: &str,
) -> OriginKnowledge {
    let now = Instant::now();
    let origins = instance.streams.origins.borrow();
    if let Some(origin) = key.and_then(|key| origins.get(key, now)) {
        return OriginKnowledge::Known(origin.clone());
    }
    if instance.store_reachability.borrow().is_unreachable() {
        return OriginKnowledge::Nothing;
    }
    instance.view.borrow().version_knowledge(service, now)
}

/// Asks other instances where a stream began. Returns their answers, once one
/// knows it or all have answered, or at the timeout.
async fn ask(
    instance: &Rc<FleetInstance>,
    key: StreamKey,
    service: &ServiceName,
    asked: &[InstanceId],
) -> Vec<OriginKnowledge> {
    let streams = &instance.streams;
    if asked.is_empty() || streams.queries.borrow().len() >= MAX_QUERIES {
        return Vec::new();
    }
    let number = streams.next_query.get();
    streams.next_query.set(number + 1);
    let guard = QueryGuard { instance: instance.clone(), number };
    let query = Rc::new(Query::default());
    streams.queries.borrow_mut().insert(number, query.clone());
    let began = Instant::now();
    let mut sends = 0;
    loop {
        let elapsed = began.elapsed();
        let is_done = {
            let answers = query.answers.borrow();
            answers.len() >= asked.len()
                || answers
                    .iter()
                    .any(|(_, a)| matches!(a, OriginKnowledge::Known(_)))
        };
        if is_done || elapsed >= QUERY_TIMEOUT {
            break;
        }
        if elapsed >= QUERY_RETRY_DELAY * sends && sends < 2 {
            sends += 1;
            send_query(instance, &query, number, key, service, asked);
        }
        let next = match sends {
            1 => QUERY_RETRY_DELAY,
            _ => QUERY_TIMEOUT,
        };
        query.notify.wait(next.saturating_sub(elapsed)).await;
    }
    drop(guard);
    let answers = query.answers.borrow();
    answers.iter().map(|(_, knowledge)| knowledge.clone()).collect()
}

/// Ends a query when its caller leaves, too.
struct QueryGuard {
    instance: Rc<FleetInstance>,
    number: u64,
}

impl Drop for QueryGuard {
    fn drop(&mut self) {
        let streams = &self.instance.streams;
        streams.queries.borrow_mut().remove(&self.number);
    }
}

fn send_query(
    instance: &FleetInstance,
    query: &Query,
    number: u64,
    key: StreamKey,
    service: &ServiceName,
    asked: &[InstanceId],
) {
    let answers = query.answers.borrow();
    let mut queue = instance.unicast_queue.borrow_mut();
    for to in asked {
        if answers.iter().any(|(known, _)| known == to) {
            continue;
        }
        let query = OriginQuery {
            from: instance.id().clone(),
            number,
            key,
            service: service.clone(),
        };
        queue.push((to.clone(), Note::OriginQuery(query)));
    }
    drop(queue);
    instance.notify_notes();
}

/// Returns the answer to a question of another instance.
pub(crate) fn answer(instance: &FleetInstance, query: &OriginQuery) -> Note {
    Note::OriginAnswer {
        number: query.number,
        from: instance.id().clone(),
        knowledge: own_knowledge(instance, Some(query.key), &query.service),
    }
}

impl FleetInstance {
    /// Returns the other instances that are alive and know of streams.
    fn stream_peers(&self) -> Vec<InstanceId> {
        let now = Instant::now();
        let peers = self.peers.borrow();
        let view = self.view.borrow();
        let live = peers.iter().filter(|(id, peer)| {
            peer.tracks_streams && view.is_live_peer(id, now)
        });
        live.map(|(id, _)| id.clone()).collect()
    }

    /// Asks the lease holder to load an adapter at endpoints of a software
    /// version, unless it was asked a moment ago.
    pub(crate) fn request_adapter_at(
        &self,
        key: &AdapterKey,
        version: &SoftwareVersion,
    ) {
        let now = Instant::now();
        let wanted = (key.clone(), version.clone());
        let mut last = self.streams.last_demanded.borrow_mut();
        if last.get(&wanted).is_some_and(|at| now - *at < DEMAND_INTERVAL) {
            return;
        }
        if last.len() > MAX_REMEMBERED {
            last.retain(|_, at| now - *at < DEMAND_INTERVAL);
        }
        last.insert(wanted, now);
        drop(last);
        if self.held.get().is_some() {
            let mut demand = self.demand.borrow_mut();
            demand.mark_waiting_at(key, version, now);
            drop(demand);
            return self.notify_planner();
        }
        let Some(leader) = self.live_leader(now) else { return };
        let demand = VersionDemand {
            from: self.id().clone(),
            key: key.clone(),
            software_version: version.clone(),
        };
        let tracks_streams = self
            .peers
            .borrow()
            .get(&leader.instance)
            .is_some_and(|peer| peer.tracks_streams);
        if tracks_streams {
            let note = Note::VersionDemand(demand);
            self.unicast_queue.borrow_mut().push((leader.instance, note));
            self.notify_notes();
        }
    }
}
