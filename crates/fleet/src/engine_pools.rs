//! Splits the engines of a service into one pool that prefills long prompts
//! and one that runs the other requests.
//!
//! An engine prefills a prompt in chunks between the steps of its streams.
//! Where a chunk takes long, several in a row delay every stream on the engine
//! beyond the gap that its route allows. The lease holder decides per service
//! whether to split and how; all instances choose endpoints and place adapters
//! by that split. The invariant: without a split, nothing depends on pools.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::route::ServiceName;

/// The cost of an engine of the other pool in the choice of an endpoint, as a
/// multiple of an engine's load. An engine of the request's own pool is
/// preferred unless its answer would begin about three targets later.
pub const OTHER_POOL_COST: f64 = 3.0;

/// The fraction of an engine's time that the prefill of long prompts for one
/// adapter may use before the adapter gets another replica in the pool for
/// long prompts.
pub const MAX_REPLICA_PREFILL_SHARE: f64 = 0.3;

/// The utilization by prefill that the size of the pool for long prompts aims
/// at. Prompts arrive in bursts, and a prompt that queues behind another one
/// misses a target of 1 s.
pub const TARGET_PREFILL_UTILIZATION: f64 = 0.35;

/// The limits of the fraction of engines that prefill long prompts.
pub const FRACTION_LIMITS: (f64, f64) = (0.3, 0.75);

/// The number of tokens from which a prompt counts as long. Engines prefill in
/// chunks of 1,024 to 4,096 tokens, and a prompt of one chunk delays a stream
/// by one step only.
pub const LONG_PROMPT_TOKENS: u64 = 4_000;

/// The minimum change of the fraction. Engines that change pools run requests
/// of both classes for a while and need other adapters.
const MIN_FRACTION_CHANGE: f64 = 0.05;

/// The minimum interval between two changes of a split.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// The fraction of streams with a gap beyond their route's limit above which
/// a split is enabled.
const MAX_DELAYED_SHARE: f64 = 0.05;

/// The number of ended streams below which their gaps are not evaluated.
const MIN_STREAMS: u64 = 100;

/// The time over which ended streams are counted.
const STREAM_WINDOW: Duration = Duration::from_secs(5);

/// The time without long prompts after which a split is disabled.
const DISABLE_AFTER: Duration = Duration::from_secs(60);

/// The time constant of the smoothing of the demand. Demand that swings
/// between a half and the whole with a period of 15 s then moves the fraction
/// by less than [`MIN_FRACTION_CHANGE`].
const SMOOTHING_TIME: Duration = Duration::from_secs(10);

/// How long a new lease holder collects reports of demand before it changes a
/// split that it heard of. Its demand counters start at zero and have a time
/// constant of 3 s. Where nothing is split, delayed streams are reason enough
/// to begin: after a restart of all instances, waiting cost 8 s without a
/// split.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// The interval at which reports that are no longer counted are dropped. All
/// reports are visited, which is too expensive for each of some hundred notes
/// per second.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The class of a request, by what it does to the engine that runs it.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub enum RequestClass {
    /// The prompt is prefilled within about one step of the running streams.
    Short,
    /// The prompt takes a whole chunk or more to prefill.
    Long,
}

/// The split of one service's engines, as the lease holder announces it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolSplit {
    /// The service.
    pub service: ServiceName,
    /// The fraction of the engines that prefill long prompts; zero means no
    /// split.
    pub prefill_fraction: f64,
    /// The number of prompt tokens from which a request is long, by the
    /// prefill rate that the lease holder observed. Instances with few
    /// requests estimate that rate too roughly to agree on the class.
    pub long_tokens: u64,
}

/// The streams of one service at one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StreamReport {
    /// The service.
    pub service: ServiceName,
    /// Number of streams that ended since the start of the instance. Totals
    /// make up for lost and repeated notes.
    pub ended: u64,
    /// Number of those with a gap between events that exceeded what their
    /// route allows.
    pub delayed: u64,
    /// Number of requests of class [`RequestClass::Short`] in flight.
    pub running: u32,
}

/// The part of a status note that concerns engine pools.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolReport {
    /// The sender's streams, by service.
    pub streams: Vec<StreamReport>,
    /// The splits in force, if the sender holds the lease. A service without
    /// an entry is not split.
    pub splits: Vec<PoolSplit>,
}

/// The classes of the requests that wait for an adapter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct WaitingClasses {
    /// Whether a request of class [`RequestClass::Short`] waits.
    pub short: bool,
    /// Whether a request of class [`RequestClass::Long`] waits.
    pub long: bool,
}

/// The part of a demand report that concerns engine pools.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassDemand {
    /// Number of tokens of long prompts, for each adapter in the report's
    /// `counts`.
    pub long_tokens: Vec<u64>,
    /// The classes of the waiting requests, for each adapter in the report's
    /// `waiting`.
    pub waiting: Vec<WaitingClasses>,
}

impl PoolSplit {
    /// Returns the class of requests that an engine is for, or `None` without
    /// a split. Membership follows from the endpoint's id, so that instances
    /// agree on it without a table.
    pub fn class_of(&self, endpoint: &EndpointId) -> Option<RequestClass> {
        if self.prefill_fraction <= 0.0 {
            return None;
        }
        let hash = xxh3_64(endpoint.as_bytes()) as f64 / u64::MAX as f64;
        Some(match hash < self.prefill_fraction {
            true => RequestClass::Long,
            false => RequestClass::Short,
        })
    }

    /// Returns the class of a request.
    pub fn class_of_prompt(&self, tokens: u64) -> RequestClass {
        match tokens >= self.long_tokens {
            true => RequestClass::Long,
            false => RequestClass::Short,
        }
    }
}

impl RequestClass {
    /// Returns the name of the class in log lines.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Short => "short",
            RequestClass::Long => "long",
        }
    }
}

impl PoolReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty() && self.splits.is_empty()
    }
}

impl WaitingClasses {
    /// Adds a class.
    pub fn insert(&mut self, class: RequestClass) {
        *self.get_mut(class) = true;
    }

    /// Removes a class.
    pub fn remove(&mut self, class: RequestClass) {
        *self.get_mut(class) = false;
    }

    /// Returns whether a request of the class waits.
    pub fn contains(self, class: RequestClass) -> bool {
        match class {
            RequestClass::Short => self.short,
            RequestClass::Long => self.long,
        }
    }

    /// Returns whether no class is known to wait.
    pub fn is_empty(self) -> bool {
        !self.short && !self.long
    }

    /// Returns the classes of both.
    pub fn union(self, other: WaitingClasses) -> WaitingClasses {
        WaitingClasses {
            short: self.short || other.short,
            long: self.long || other.long,
        }
    }

    fn get_mut(&mut self, class: RequestClass) -> &mut bool {
        match class {
            RequestClass::Short => &mut self.short,
            RequestClass::Long => &mut self.long,
        }
    }
}

impl ClassDemand {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.long_tokens.iter().all(|tokens| *tokens == 0)
            && self.waiting.iter().all(|classes| classes.is_empty())
    }
}

/// The streams of one instance, which it reports.
#[derive(Clone, Debug, Default)]
pub struct StreamCounts {
    services: HashMap<ServiceName, StreamReport>,
}

impl StreamCounts {
    /// Counts a short request that is sent to an engine.
    pub fn begin(&mut self, service: &str) {
        self.of(service).running += 1;
    }

    /// Removes a request that was counted by [`StreamCounts::begin`].
    pub fn end(&mut self, service: &str) {
        let report = self.of(service);
        report.running = report.running.saturating_sub(1);
    }

    /// Counts a stream that ended.
    pub fn stream_ended(&mut self, service: &str, is_delayed: bool) {
        let report = self.of(service);
        report.ended += 1;
        report.delayed += u64::from(is_delayed);
    }

    /// Returns the reports of all services.
    pub fn reports(&self) -> Vec<StreamReport> {
        self.services.values().cloned().collect()
    }

    fn of(&mut self, service: &str) -> &mut StreamReport {
        if !self.services.contains_key(service) {
            let report = StreamReport {
                service: service.to_owned(),
                ..StreamReport::default()
            };
            self.services.insert(service.to_owned(), report);
        }
        self.services.entry(service.to_owned()).or_default()
    }
}

/// The streams of all instances, as they reported them.
#[derive(Clone, Debug, Default)]
pub struct StreamReports {
    instances: HashMap<InstanceId, InstanceStreams>,
    /// Streams that ended, by service, in the order in which they were heard.
    ended: HashMap<ServiceName, VecDeque<EndedStreams>>,
    expired_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct InstanceStreams {
    sequence: u64,
    valid_until: Instant,
    heard_at: Instant,
    reports: Vec<StreamReport>,
}

#[derive(Clone, Copy, Debug)]
struct EndedStreams {
    heard_at: Instant,
    ended: u64,
    delayed: u64,
}

/// The streams of one service at all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamTotals {
    /// Number of streams that ended in the last 5 s.
    pub ended: u64,
    /// Number of those that were delayed.
    pub delayed: u64,
    /// Number of short requests in flight.
    pub running: u64,
    /// Number of instances whose reports are counted.
    pub instances: usize,
    /// The age of the oldest report that is counted.
    pub oldest_report: Duration,
}

impl StreamReports {
    /// Records the streams that an instance reports. `sequence` increases
    /// with each report; an older report changes nothing. The first report of
    /// an instance is the base of the following ones, since its totals may
    /// cover a long time. A total that decreased is that of a new process.
    pub fn record(
        &mut self,
        from: &InstanceId,
        sequence: u64,
        reports: &[StreamReport],
        until: Instant,
        now: Instant,
    ) {
        let known = self.instances.get(from);
        if known.is_none() && reports.is_empty() {
            return;
        }
        if known.is_some_and(|known| known.sequence >= sequence) {
            return;
        }
        if let Some(known) = known {
            for report in reports {
                let base =
                    known.reports.iter().find(|k| k.service == report.service);
                let (ended, delayed) = match base {
                    Some(base) if base.ended <= report.ended => (
                        report.ended - base.ended,
                        report.delayed.saturating_sub(base.delayed),
                    ),
                    _ => (report.ended, report.delayed),
                };
                if ended > 0 {
                    let heard = EndedStreams { heard_at: now, ended, delayed };
                    let of_service =
                        self.ended.entry(report.service.clone()).or_default();
                    of_service.push_back(heard);
                }
            }
        }
        let streams = InstanceStreams {
            sequence,
            valid_until: until,
            heard_at: now,
            reports: reports.to_vec(),
        };
        self.instances.insert(from.clone(), streams);
        if self.expired_at.is_none_or(|at| now - at >= EXPIRY_INTERVAL) {
            self.expired_at = Some(now);
            self.expire(now);
        }
    }

    /// Drops what is no longer counted.
    fn expire(&mut self, now: Instant) {
        for ended in self.ended.values_mut() {
            while ended
                .front()
                .is_some_and(|e| now - e.heard_at > STREAM_WINDOW)
            {
                ended.pop_front();
            }
        }
        self.instances
            .retain(|_, known| now < known.valid_until + STREAM_WINDOW);
    }

    /// Returns the streams of a service at all instances that were heard
    /// lately.
    pub fn totals(&self, service: &str, now: Instant) -> StreamTotals {
        let mut totals = StreamTotals::default();
        for heard in self.ended.get(service).into_iter().flatten() {
            if now - heard.heard_at <= STREAM_WINDOW {
                totals.ended += heard.ended;
                totals.delayed += heard.delayed;
            }
        }
        let live = self.instances.values().filter(|i| now < i.valid_until);
        for instance in live {
            let of_service =
                instance.reports.iter().filter(|r| r.service == service);
            for report in of_service {
                totals.running += u64::from(report.running);
                totals.instances += 1;
                totals.oldest_report =
                    totals.oldest_report.max(now - instance.heard_at);
            }
        }
        totals
    }
}

/// What the lease holder knows of one service when it decides on its split.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolInputs {
    /// The streams at all instances.
    pub streams: StreamTotals,
    /// The prefill time of long prompts that arrive per second, in seconds.
    pub prefill_s_per_s: f64,
    /// The time since the last report of a long prompt; `None` if none was
    /// reported to this instance.
    pub long_age: Option<Duration>,
    /// The number of adapters that requests in flight use.
    pub adapters_in_use: usize,
    /// The number of usable engines.
    pub engines: usize,
    /// The number of requests that one engine processes concurrently.
    pub slots: u32,
    /// The number of adapters that one engine can hold.
    pub adapter_places: usize,
    /// The number of prompt tokens from which a prompt is long; `None` if
    /// it is not known.
    pub long_tokens: Option<u64>,
}

/// A change of a split.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolChange {
    /// The new split, or `None` if the engines are no longer split.
    pub split: Option<PoolSplit>,
    /// The fraction before the change.
    pub previous_fraction: f64,
}

/// Decides on the split of one service while this instance holds the lease.
#[derive(Clone, Debug)]
pub struct PoolController {
    service: ServiceName,
    split: Option<PoolSplit>,
    started: Instant,
    /// When the split was last changed.
    changed_at: Option<Instant>,
    /// When a long prompt was last known to have arrived.
    last_long: Instant,
    smoothed: Option<Smoothed>,
}

/// The number of engines that each class needs, smoothed over
/// [`SMOOTHING_TIME`].
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    at: Instant,
    long_engines: f64,
    short_engines: f64,
}

impl PoolController {
    /// Returns the controller of a new lease holder, which continues from the
    /// split that it last heard.
    pub fn new(
        service: &str,
        split: Option<PoolSplit>,
        now: Instant,
    ) -> PoolController {
        PoolController {
            service: service.to_owned(),
            split: split.filter(|split| split.prefill_fraction > 0.0),
            started: now,
            changed_at: None,
            last_long: now,
            smoothed: None,
        }
    }

    /// Returns the split in force.
    pub fn split(&self) -> Option<&PoolSplit> {
        self.split.as_ref()
    }

    /// Decides on the split. Returns the change, if there is one.
    pub fn decide(
        &mut self,
        inputs: &PoolInputs,
        now: Instant,
    ) -> Option<PoolChange> {
        if let Some(at) = inputs.long_age.and_then(|age| now.checked_sub(age))
        {
            self.last_long = self.last_long.max(at);
        }
        let is_observing = now - self.started < OBSERVATION_TIME;
        if is_observing && self.split.is_some() {
            return None;
        }
        let (long, short) = self.smooth(inputs, now);
        let may_change =
            self.changed_at.is_none_or(|at| now - at >= CHANGE_INTERVAL);
        if !may_change {
            return None;
        }
        let wanted = (long / (long + short).max(f64::MIN_POSITIVE))
            .clamp(FRACTION_LIMITS.0, FRACTION_LIMITS.1);
        match &self.split {
            None => {
                let has_long =
                    inputs.long_age.is_some_and(|age| age <= STREAM_WINDOW);
                if !has_long || !is_delayed(&inputs.streams) {
                    return None;
                }
                self.change(wanted, inputs, now)
            }
            Some(_) if now - self.last_long >= DISABLE_AFTER => {
                self.change(0.0, inputs, now)
            }
            Some(split) => {
                let change = (wanted - split.prefill_fraction).abs();
                // Without reports there is nothing to follow.
                let has_reports = inputs.streams.instances > 0
                    && inputs.prefill_s_per_s > 0.0;
                if !has_reports || change < MIN_FRACTION_CHANGE {
                    return None;
                }
                self.change(wanted, inputs, now)
            }
        }
    }

    fn change(
        &mut self,
        fraction: f64,
        inputs: &PoolInputs,
        now: Instant,
    ) -> Option<PoolChange> {
        let known = self.split.as_ref().map(|split| split.long_tokens);
        let split = match fraction > 0.0 {
            true => Some(PoolSplit {
                service: self.service.clone(),
                prefill_fraction: fraction,
                long_tokens: inputs.long_tokens.or(known)?,
            }),
            false => None,
        };
        let previous = std::mem::replace(&mut self.split, split.clone());
        let previous_fraction = previous.map_or(0.0, |s| s.prefill_fraction);
        self.changed_at = Some(now);
        Some(PoolChange { split, previous_fraction })
    }

    /// Returns the number of engines that long and short requests need.
    fn smooth(&mut self, inputs: &PoolInputs, now: Instant) -> (f64, f64) {
        let long = inputs.prefill_s_per_s / TARGET_PREFILL_UTILIZATION;
        let short = short_engines(inputs);
        let smoothed = match self.smoothed {
            None => {
                Smoothed { at: now, long_engines: long, short_engines: short }
            }
            Some(known) => {
                let time = now.saturating_duration_since(known.at);
                let keep =
                    (-time.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp();
                let mix = |old: f64, new: f64| old * keep + new * (1.0 - keep);
                Smoothed {
                    at: now,
                    long_engines: mix(known.long_engines, long),
                    short_engines: mix(known.short_engines, short),
                }
            }
        };
        self.smoothed = Some(smoothed);
        (smoothed.long_engines, smoothed.short_engines)
    }
}

/// Returns whether streams are delayed often enough to enable a split.
fn is_delayed(streams: &StreamTotals) -> bool {
    streams.ended >= MIN_STREAMS
        && streams.delayed as f64 > streams.ended as f64 * MAX_DELAYED_SHARE
}

/// Returns the number of engines that the short requests in flight need: at
/// most half of the slots of each are used, and each adapter takes a place.
fn short_engines(inputs: &PoolInputs) -> f64 {
    let running = inputs.streams.running as f64;
    let adapters = running.min(inputs.adapters_in_use as f64);
    let by_slots = running / (f64::from(inputs.slots.max(1)) / 2.0);
    let by_places = adapters / inputs.adapter_places.max(1) as f64;
    by_slots.max(by_places)
}
