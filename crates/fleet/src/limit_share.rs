//! This instance's part of the rate limits that endpoints announce.
//!
//! An endpoint announces how many requests a second it takes from all instances
//! together. Instances report the limits that they know, and how much they want to
//! send to the limited endpoints, in their notes; nothing is stored. Among few
//! instances each takes its part of the limit, by demand, from a token bucket. Where a
//! part would be less than a request now and then, buckets that fill up while
//! nothing is asked for would together exceed the limit; there each request is let
//! through with the probability that the limit has of all demand. The invariant: the
//! newest evidence of an endpoint's limit counts, whoever heard it, and whatever is
//! believed, no instance takes more than its part.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{announcement::AnnouncedLimit, incarnation::Incarnation};

/// The time constant of the demand estimate. Longer than the pause between two notes
/// among many instances, and short enough that a burst after a calm time is seen
/// before it exceeds the limit.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// The fraction of a limit that buckets give out. The rest absorbs parts that
/// overlap while demand moves.
const BUCKET_FRACTION: f64 = 0.95;

/// The fraction of a limit that is given out at random. Below it lies the spread of
/// a random count in four seconds.
const RANDOM_FRACTION: f64 = 0.65;

/// Demand that is assumed beside what is reported, evenly spread, as a multiple of
/// the limit: instances that all begin to send at once have not heard of each other's
/// demand yet, and one that just begins has a part.
const ASSUMED_DEMAND: f64 = 1.0;

/// What a full bucket holds beyond one request, as a time at its rate: requests come
/// in bunches.
const BURST: Duration = Duration::from_millis(100);

/// How many instances have a bucket each, by the requests a second of a limit: so
/// many a request a second, and so many more. All full buckets may be emptied at once,
/// which must stay within what an endpoint bears beyond its limit.
const BUCKETS_PER_RATE: f64 = 1.25;
const BUCKETS_BEYOND_RATE: f64 = 4.0;

/// The least rate that is used of any limit, in requests a second by all instances:
/// an endpoint that gets no request cannot announce that its limit is over.
const MIN_LIMIT_PER_S: f64 = 0.25;

/// The number of instances that is assumed while the others are not known.
const ASSUMED_INSTANCES: usize = 32;

/// How long the end of a limit is reported, so that every instance hears of it also
/// if notes are lost.
const END_REPORTED_FOR: Duration = Duration::from_secs(5);

/// How long the end of a limit is kept, so that older reports do not bring it back.
const END_KEPT_FOR: Duration = Duration::from_secs(60);

/// Limits in one note at most, the most wanted first: each takes some 40 bytes, and a
/// note must fit a datagram beside all else.
const MAX_REPORTS: usize = 64;

/// A limit as an instance reports it to the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its life began, if it says so.
    pub born: Option<Incarnation>,
    /// The requests a second that it takes; none if its limit is over.
    pub per_s: Option<f32>,
    /// How long ago an answer last said so, in milliseconds.
    pub age_ms: u64,
    /// The requests a second that the sender, or all instances if it reports sums,
    /// would send there without a limit.
    pub wanted_per_s: f32,
}

/// Where a report comes from.
#[derive(Clone, Copy, Debug)]
pub struct ReportSource<'a> {
    /// The instance.
    pub from: &'a InstanceId,
    /// Whether it reports the demand of all instances.
    pub is_total: bool,
    /// Until when its demand counts.
    pub until: Instant,
}

/// Who takes a permit, and for what.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// A number between 0 and 1 that is drawn once for a request and an endpoint.
    pub draw: f64,
    /// The instances that share the limit; none while the others are not known.
    pub instances: Option<usize>,
}

/// Whether a request may go to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permit {
    /// It may.
    Granted,
    /// The limit leaves no room for it.
    Denied {
        /// When it may have room again.
        ready_in: Duration,
    },
}

/// What changed in what is known of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The requests a second before; none if there was no limit.
    pub was_per_s: Option<f64>,
    /// The requests a second now; none if the limit is over.
    pub per_s: Option<f64>,
}

/// This instance's parts of all limits.
#[derive(Clone, Debug, Default)]
pub struct LimitShares(HashMap<EndpointId, Limit>);

/// What is known of one endpoint's limit.
#[derive(Clone, Debug)]
struct Limit {
    born: Option<Incarnation>,
    per_s: Option<f64>,
    /// The time of the newest evidence.
    announced: Instant,
    own_demand: Demand,
    /// What other instances want to send, and until when that counts.
    peer_demand: HashMap<InstanceId, (f64, Instant)>,
    /// What all want to send, as the holder of the lease sums it up.
    total: Option<(f64, Instant)>,
    tokens: f64,
    filled: Instant,
}

/// A rate that fades with the time since it was counted.
#[derive(Clone, Copy, Debug)]
struct Demand {
    count: f64,
    updated: Instant,
}

impl LimitShares {
    /// Returns whether no endpoint announces a limit.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the limit of an endpoint in requests a second, if it has one.
    pub fn per_s(&self, endpoint: &EndpointId) -> Option<f64> {
        self.0.get(endpoint)?.per_s
    }

    /// Takes in what an answer to a request that was sent at a moment says of its
    /// endpoint's limit; returns what changed. An answer ends a limit only if its
    /// request was sent after the limit was last announced: answers overtake each
    /// other.
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

    /// Takes in another instance's report; returns what changed.
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
            let heard = (demand, source.until);
            match source.is_total {
                true => limit.total = Some(heard),
                false => {
                    limit.peer_demand.insert(source.from.clone(), heard);
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

    /// Counts a request that would go to an endpoint without a limit.
    pub fn record_demand(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(limit) = self.0.get_mut(endpoint) {
            limit.own_demand.count(now);
        }
    }

    /// Takes a permit for one request to an endpoint.
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

    /// Returns what others are told: of this instance's demand, or of that of all.
    pub fn reports(&self, is_total: bool, now: Instant) -> Vec<LimitReport> {
        let told = self.0.iter().filter(|(_, limit)| {
            limit.per_s.is_some() || limit.age(now) < END_REPORTED_FOR
        });
        let mut reports: Vec<LimitReport> = told
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

    /// Forgets the limit of an endpoint that has begun a new life or is gone.
    pub fn end_incarnation(&mut self, endpoint: &EndpointId) {
        self.0.remove(endpoint);
    }

    /// Forgets limits that ended long ago, and those of endpoints that are not
    /// listed any more.
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

    /// Takes a token of this instance's part; parts add up to the limit.
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
            let missing_s = (1.0 - self.tokens) / rate_per_s;
            let ready_in = Duration::from_secs_f64(missing_s);
            return Permit::Denied { ready_in };
        }
        self.tokens -= 1.0;
        Permit::Granted
    }

    /// Returns this instance's part; parts by the same reports add up to one.
    fn share(&self, per_s: f64, instances: usize, now: Instant) -> f64 {
        let own = self.own_demand.per_s(now);
        let total = self.total(now).unwrap_or(own).max(own);
        let assumed = per_s * ASSUMED_DEMAND;
        (own + assumed / instances as f64) / (total + assumed)
    }

    /// Lets a request through with the probability that the limit has of all demand.
    /// The draw stays the same however often a request looks again.
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
                let ready_in = Duration::from_secs_f64(1.0 / per_s);
                Permit::Denied { ready_in }
            }
        }
    }

    /// Returns what all instances want to send; nothing where no other is heard.
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
