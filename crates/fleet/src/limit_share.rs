//! This instance's share of the rate limits that endpoints announce.
//!
//! An endpoint announces how many requests per second it accepts from all
//! instances together. In their notes, instances report the limits that they
//! know and their own demand for the limited endpoints; nothing is stored.
//! With few instances, each takes a share of the limit in proportion to its
//! demand, from a token bucket. Where a share would be less than one request
//! now and then, buckets that refill while there is no demand would together
//! exceed the limit. There, each request is instead admitted with a
//! probability of the limit divided by the total demand. The invariants: the
//! newest evidence of an endpoint's limit counts, whichever instance observed
//! it; and no instance takes more than its share, whatever limit it believes
//! to be in force.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{announcement::AnnouncedLimit, incarnation::Incarnation};

/// The time constant of the demand estimate. It exceeds the interval between
/// two notes with many instances, and is short enough to show a burst after a
/// quiet period before the burst exceeds the limit.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// The fraction of a limit that token buckets give out. The remainder absorbs
/// shares that overlap while demand shifts between instances.
const BUCKET_FRACTION: f64 = 0.95;

/// The fraction of a limit that random admission gives out. The remainder
/// covers the variance of a random count over four seconds.
const RANDOM_FRACTION: f64 = 0.65;

/// Demand that is assumed in addition to the reported demand, evenly
/// distributed over the instances, as a multiple of the limit. Instances that
/// all start to send at once have not heard of each other's demand yet, and an
/// instance that just starts needs a share.
const ASSUMED_DEMAND: f64 = 1.0;

/// The longest time that is stated until the next permit.
const MAX_READY_IN: Duration = Duration::from_secs(60 * 60);

/// The capacity of a bucket beyond one request, as time at its rate. Requests
/// arrive in bursts.
const BURST: Duration = Duration::from_millis(100);

/// The number of instances up to which each has a bucket, per request per
/// second of the limit; [`BUCKETS_BEYOND_RATE`] is added to the product. All
/// full buckets may be emptied at once, and the sum must stay within what an
/// endpoint tolerates beyond its limit.
const BUCKETS_PER_RATE: f64 = 1.25;

/// The number of instances that may have a bucket in addition to those allowed
/// by [`BUCKETS_PER_RATE`].
const BUCKETS_BEYOND_RATE: f64 = 4.0;

/// The lowest rate that is used for any limit, in requests per second of all
/// instances. An endpoint that gets no requests cannot announce the end of its
/// limit.
const MIN_LIMIT_PER_S: f64 = 0.25;

/// The number of instances that is assumed while the instances are not known.
const ASSUMED_INSTANCES: usize = 32;

/// How long the end of a limit is reported, so that every instance learns of
/// it even if notes are lost.
const END_REPORTED_FOR: Duration = Duration::from_secs(5);

/// How long the end of a limit is kept, so that older reports do not restore
/// the limit.
const END_KEPT_FOR: Duration = Duration::from_secs(60);

/// The maximum number of limits in one note; those with the highest demand
/// come first. Each takes about 40 bytes, and a note must fit a datagram with
/// everything else.
const MAX_REPORTS: usize = 64;

/// A limit as one instance reports it to the other instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// The limited endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation, if the endpoint reports one.
    pub born: Option<Incarnation>,
    /// The limit in requests per second; `None` if it has ended.
    pub per_s: Option<f32>,
    /// The age of the newest response that announced the limit, in
    /// milliseconds.
    pub age_ms: u64,
    /// The demand without a limit, in requests per second: the sender's own,
    /// or that of all instances if the sender reports totals.
    pub wanted_per_s: f32,
}

/// The origin of a limit report.
#[derive(Clone, Copy, Debug)]
pub struct ReportSource<'a> {
    /// The instance that sent the report.
    pub from: &'a InstanceId,
    /// Whether the report states the demand of all instances.
    pub is_total: bool,
    /// The time until which the reported demand counts.
    pub until: Instant,
}

/// The parameters of a request for a permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// A random number between 0 and 1, drawn once per request and endpoint.
    pub draw: f64,
    /// The number of instances that share the limit; `None` while the
    /// instances are not known.
    pub instances: Option<usize>,
}

/// Whether a request may be sent to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// The request would exceed this instance's share of the limit.
    Denied {
        /// The time until the request may be admitted.
        ready_in: Duration,
    },
}

/// A change of a known limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The previous limit in requests per second; `None` if there was no
    /// limit.
    pub was_per_s: Option<f64>,
    /// The new limit in requests per second; `None` if the limit has ended.
    pub per_s: Option<f64>,
}

/// This instance's shares of all known limits.
#[derive(Clone, Debug, Default)]
pub struct LimitShares(HashMap<EndpointId, Limit>);

/// The known state of one endpoint's limit.
#[derive(Clone, Debug)]
struct Limit {
    born: Option<Incarnation>,
    per_s: Option<f64>,
    /// When the limit, or its end, was last announced.
    announced: Instant,
    own_demand: Demand,
    /// The demand of each other instance, and the time until which it counts.
    peer_demand: HashMap<InstanceId, (f64, Instant)>,
    /// The demand of all instances as totalled by the lease holder, and the
    /// time until which it counts.
    total: Option<(f64, Instant)>,
    tokens: f64,
    filled: Instant,
}

/// A request rate, estimated from a count that decays exponentially.
#[derive(Clone, Copy, Debug)]
struct Demand {
    count: f64,
    updated: Instant,
}

impl LimitShares {
    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the limit of an endpoint in requests per second, if it has one.
    pub fn per_s(&self, endpoint: &EndpointId) -> Option<f64> {
        self.0.get(endpoint)?.per_s
    }

    /// Applies what a response announces about its endpoint's limit; `sent` is
    /// when its request was sent. Returns the change, if there is one. A
    /// response ends a limit only if its request was sent after the limit was
    /// last announced, since responses may overtake each other.
    pub fn observe(
        &mut self,
        endpoint: &EndpointId,
        born: Option<Incarnation>,
        announced: AnnouncedLimit,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let per_s = match announced {
            AnnouncedLimit::PerSecond(per_s) => Some(per_s),
            AnnouncedLimit::None => None,
            AnnouncedLimit::Unreadable => return None,
        };
        let Some(known) = self.0.get(endpoint) else {
            per_s?;
            return self.adopt(endpoint, born, per_s, now, now);
        };
        let is_end = known.per_s.is_some() && sent > known.announced;
        match per_s {
            None if !is_end => None,
            _ => self.adopt(endpoint, born, per_s, now, now),
        }
    }

    /// Applies another instance's report. Returns the change, if there is one.
    pub fn apply_report(
        &mut self,
        report: &LimitReport,
        source: ReportSource<'_>,
        now: Instant,
    ) -> Option<LimitChange> {
        let age = Duration::from_millis(report.age_ms);
        let announced = now.checked_sub(age)?;
        let per_s = report.per_s.map(f64::from);
        let is_sound = |rate: f64| rate.is_finite() && rate >= 0.0;
        if !per_s.is_none_or(is_sound) {
            return None;
        }
        let known = self.0.get(&report.endpoint);
        let is_newer = match known {
            Some(known) => announced > known.announced,
            None => per_s.is_some(),
        };
        let change = match is_newer {
            true => {
                let (endpoint, born) = (&report.endpoint, report.born);
                self.adopt(endpoint, born, per_s, announced, now)
            }
            false => None,
        };
        let demand = f64::from(report.wanted_per_s);
        if let Some(limit) = self.0.get_mut(&report.endpoint)
            && is_sound(demand)
        {
            let received = (demand, source.until);
            match source.is_total {
                true => limit.total = Some(received),
                false => {
                    limit.peer_demand.insert(source.from.clone(), received);
                }
            }
        }
        change
    }

    fn adopt(
        &mut self,
        endpoint: &EndpointId,
        born: Option<Incarnation>,
        per_s: Option<f64>,
        announced: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let limit = self.0.entry(endpoint.clone());
        let limit = limit.or_insert_with(|| Limit::new(now));
        if limit.per_s.is_none() {
            limit.tokens = 0.0;
            limit.filled = now;
        }
        let was_per_s = std::mem::replace(&mut limit.per_s, per_s);
        limit.born = born;
        limit.announced = announced;
        (was_per_s != per_s).then_some(LimitChange { was_per_s, per_s })
    }

    /// Counts a request that would be sent to an endpoint if it had no limit.
    pub fn record_demand(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(limit) = self.0.get_mut(endpoint) {
            limit.own_demand.count(now);
        }
    }

    /// Takes a permit to send one request to an endpoint.
    pub fn take(
        &mut self,
        endpoint: &EndpointId,
        request: PermitRequest,
        now: Instant,
    ) -> Permit {
        let Some(limit) = self.0.get_mut(endpoint) else {
            return Permit::Granted;
        };
        let Some(per_s) = limit.per_s else { return Permit::Granted };
        let per_s = per_s.max(MIN_LIMIT_PER_S);
        let instances = request.instances.unwrap_or(ASSUMED_INSTANCES).max(1);
        let buckets = per_s * BUCKETS_PER_RATE + BUCKETS_BEYOND_RATE;
        match (instances as f64) <= buckets {
            true => limit.take_token(per_s, instances, now),
            false => limit.take_at_random(per_s, instances, request.draw, now),
        }
    }

    /// Returns the limits to report to other instances, with this instance's
    /// demand or, if `is_total` is true, the demand of all instances.
    pub fn reports(&self, is_total: bool, now: Instant) -> Vec<LimitReport> {
        let reported = self.0.iter().filter(|(_, limit)| {
            limit.per_s.is_some() || limit.age(now) < END_REPORTED_FOR
        });
        let mut reports: Vec<LimitReport> = reported
            .map(|(endpoint, limit)| {
                let own = limit.own_demand.per_s(now);
                let wanted_per_s = match is_total {
                    true => limit.total_peer_demand(now).unwrap_or(0.0) + own,
                    false => own,
                };
                LimitReport {
                    endpoint: endpoint.clone(),
                    born: limit.born,
                    per_s: limit.per_s.map(|per_s| per_s as f32),
                    age_ms: limit.age(now).as_millis() as u64,
                    wanted_per_s: wanted_per_s as f32,
                }
            })
            .collect();
        let rank = |report: &LimitReport| {
            let demand = (report.wanted_per_s * 1_000.0) as u64;
            (Reverse(demand), report.endpoint.clone())
        };
        reports.sort_by_key(rank);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Removes the limit of an endpoint that was restarted or is gone.
    pub fn end_incarnation(&mut self, endpoint: &EndpointId) {
        self.0.remove(endpoint);
    }

    /// Removes limits that ended long ago, and limits of endpoints that are no
    /// longer listed.
    pub fn forget(
        &mut self,
        is_listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) {
        self.0.retain(|endpoint, limit| {
            limit.peer_demand.retain(|_, (_, until)| now < *until);
            let is_current = limit.per_s.is_some() && is_listed(endpoint);
            is_current || limit.age(now) < END_KEPT_FOR
        });
    }
}

impl Limit {
    fn new(now: Instant) -> Limit {
        Limit {
            born: None,
            per_s: None,
            announced: now,
            own_demand: Demand { count: 0.0, updated: now },
            peer_demand: HashMap::new(),
            total: None,
            tokens: 0.0,
            filled: now,
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.announced)
    }

    /// Takes a token from the bucket of this instance's share. The shares of
    /// all instances add up to the limit.
    fn take_token(
        &mut self,
        per_s: f64,
        instances: usize,
        now: Instant,
    ) -> Permit {
        let share = self.share(per_s, instances, now);
        let rate_per_s = per_s * BUCKET_FRACTION * share;
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        let most = 1.0 + rate_per_s * BURST.as_secs_f64();
        self.tokens = (self.tokens + since * rate_per_s).min(most);
        self.filled = now;
        if self.tokens < 1.0 {
            let ready_in = wait_of((1.0 - self.tokens) / rate_per_s);
            return Permit::Denied { ready_in };
        }
        self.tokens -= 1.0;
        Permit::Granted
    }

    /// Returns this instance's share as a fraction. The shares of instances
    /// that know the same reports add up to one.
    fn share(&self, per_s: f64, instances: usize, now: Instant) -> f64 {
        let own = self.own_demand.per_s(now);
        let total = self.total(now).unwrap_or(own).max(own);
        let assumed = per_s * ASSUMED_DEMAND;
        (own + assumed / instances as f64) / (total + assumed)
    }

    /// Admits a request with a probability of the limit divided by the total
    /// demand. The draw stays the same however often the request is tried
    /// again.
    fn take_at_random(
        &self,
        per_s: f64,
        instances: usize,
        draw: f64,
        now: Instant,
    ) -> Permit {
        let own = self.own_demand.per_s(now);
        let total = self.total(now).unwrap_or(own * instances as f64);
        let fraction = per_s * RANDOM_FRACTION / total.max(own).max(1e-9);
        match draw < fraction {
            true => Permit::Granted,
            false => {
                let ready_in = wait_of(1.0 / per_s);
                Permit::Denied { ready_in }
            }
        }
    }

    /// Returns the total demand of all instances, or `None` if no other
    /// instance has reported any.
    fn total(&self, now: Instant) -> Option<f64> {
        match self.total {
            Some((total, until)) if now < until => Some(total),
            _ => {
                let peer_demand = self.total_peer_demand(now)?;
                Some(peer_demand + self.own_demand.per_s(now))
            }
        }
    }

    fn total_peer_demand(&self, now: Instant) -> Option<f64> {
        let live =
            || self.peer_demand.values().filter(|(_, until)| now < *until);
        live().next()?;
        Some(live().map(|(demand, _)| demand).sum())
    }
}

impl Demand {
    fn count(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated = now;
    }

    fn per_s(&self, now: Instant) -> f64 {
        self.decayed(now) / DEMAND_TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.count * (-age / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Returns a wait of this many seconds, at most [`MAX_READY_IN`]. The number is
/// derived from what others announce, and may be beyond any [`Duration`].
fn wait_of(wait_s: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(wait_s);
    wait.unwrap_or(MAX_READY_IN).min(MAX_READY_IN)
}
