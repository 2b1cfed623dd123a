//! A distributed rate limiter for customers, without a store of its own.
//!
//! Each instance reports in its notes how much each customer demands of it and
//! how much it has admitted. From the sums, each instance estimates the level
//! of one token bucket for all instances: the allowance refills it, and what
//! any instance admits is taken from it. A negative level is a debt, which
//! arises from units that were admitted before they were known elsewhere.
//!
//! The level and the allowance give a rate that may be admitted now. If the
//! demand exceeds it, each request is admitted with a probability of that rate
//! divided by the demand, so that no part of an allowance is too small for a
//! request. The rate goes to the more urgent routes first.
//!
//! The invariants: what all instances admit over time is the allowance, as far
//! as it is reported; and an instance that receives no reports admits about an
//! equal share.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use serde::{Deserialize, Serialize};

use crate::customer::{
    Allowance, Customer, CustomerName, Customers, ROUTE_PRIORITIES, Unit,
};

/// Time constant of the demand, after which a request counts a third. It is
/// long enough that the sum over all instances varies little between two
/// requests of 9,000 tokens.
const DEMAND_DECAY_TIME: Duration = Duration::from_millis(700);

/// The rate that is admitted beyond the allowance per unit in the bucket, per
/// second. A lower gain leaves an allowance unused after a surge, until the
/// estimate of the demand has decayed.
const SURPLUS_GAIN_PER_S: f64 = 2.0;

/// The rate that is withheld from the allowance per unit of debt, per second.
/// A higher gain makes the level oscillate if reports are late.
const DEBT_GAIN_PER_S: f64 = 0.6;

/// Capacity of the bucket, as a fraction of the allowance's burst. The
/// remainder covers what is admitted between two reports.
const CAPACITY: f64 = 0.65;

/// Capacity of the bucket in addition to [`CAPACITY`], in large requests, up to
/// the burst. With a smaller bucket, random arrivals of few large requests are
/// rejected although their demand is below the allowance.
const CAPACITY_REQUESTS: f64 = 3.0;

/// Tokens of a large request: the mean of long prompts.
const LARGE_REQUEST_TOKENS: f64 = 9_000.0;

/// Maximum time between two reports of a peer up to which the difference of
/// their counts of admitted units is accounted. The level is extrapolated over
/// longer gaps, so that their units must not be accounted again.
const MAX_REPORT_GAP: Duration = Duration::from_secs(1);

/// Average age of the admitted units that the lease holder's totals show. The
/// level is extrapolated over it.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// How long the last known total is used while no newer one is known. A new
/// lease holder takes over within this time.
const LAST_TOTAL_VALID_FOR: Duration = Duration::from_secs(6);

/// Maximum debt, in seconds of the allowance. A larger debt would reject all
/// requests of a customer whose demand jumped for longer than the time over
/// which its use is accounted.
const MAX_DEBT_S: f64 = 8.0;

/// Maximum time until a rejected request may be tried again.
const MAX_RETRY_S: f64 = 6.0;

/// Separates a customer's name from the kind of a value in
/// [`CustomerDemand::customer`].
const KIND_SEPARATOR: char = '\u{1f}';

/// Kind of an entry that holds the units that were admitted so far.
const ADMITTED: &str = "admitted";

type Classes = [f64; ROUTE_PRIORITIES as usize];

/// Demand of one customer, at one instance or at all.
///
/// Further values are sent as entries of their own, with the name of their
/// kind appended to the customer's. The previous build rejects a note with
/// more fields than it knows, but it sums and forwards these entries like
/// those of customers that it gets no requests of.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerDemand {
    /// The customer, and the kind of the value if it is not its demand.
    pub customer: CustomerName,
    /// Units per second; units for the kind `admitted`.
    pub per_s: f64,
}

/// A request to charge against an allowance.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// The units that the request counts for.
    pub units: f64,
    /// The priority of its route; 0 is the most urgent.
    pub route_priority: u8,
    /// A random number between 0 and 1.
    pub draw: f64,
}

/// Error of [`RateLimiter::take`]: the allowance is used up. Holds the values
/// that the decision was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitExceeded {
    /// Time until units are available again.
    pub retry_in: Duration,
    /// Units in the bucket of all instances. If negative, the debt that
    /// refills pay back first.
    pub balance: f64,
    /// Fraction of the requests of this route priority that are admitted.
    pub share: f64,
    /// The customer's demand at all instances, in units per second, if it is
    /// known.
    pub total_per_s: Option<f64>,
    /// Age of the total that the lease holder reported, if one was received.
    pub total_age: Option<Duration>,
}

/// Enforces the allowances of all customers.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    accounts: HashMap<CustomerName, Account>,
    peers: HashMap<InstanceId, ReceivedDemand>,
    /// Number of instances, as last given by the caller.
    instances: usize,
    /// Peers per peer that reports regularly, updated in
    /// [`RateLimiter::forget`].
    peer_scale: Option<f64>,
    /// Units that peers reported as admitted, by customer, since this instance
    /// first received their reports.
    admitted_by_peers: HashMap<CustomerName, f64>,
    /// Demand at all instances, as reported by the lease holder.
    totals: Option<ReceivedTotals>,
}

#[derive(Clone, Debug)]
struct ReceivedDemand {
    values: HashMap<CustomerName, Values>,
    received_at: Instant,
    expires_at: Instant,
    /// Whether the report before this one is recent, so that the difference of
    /// their counts is accounted.
    is_regular: bool,
}

#[derive(Clone, Debug)]
struct ReceivedTotals {
    from: InstanceId,
    demand: ReceivedDemand,
}

/// What a note states of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Values {
    per_s: f64,
    /// Demand by route priority. The least urgent one has the remainder.
    by_class: Classes,
    admitted: Option<f64>,
}

/// What the level of a bucket depends on.
#[derive(Clone, Copy, Debug)]
struct BucketState {
    allowance: Allowance,
    capacity: f64,
    /// Demand at all instances, in units per second.
    demand: f64,
}

/// Where the admitted units of all instances are known from.
#[derive(Clone, Debug, PartialEq)]
enum Source {
    /// The totals of a lease holder.
    Holder(InstanceId),
    /// The reports of the other instances.
    Peers,
}

/// State of one customer at this instance.
#[derive(Clone, Debug)]
struct Account {
    /// Recently requested units by route priority, with exponential decay.
    demand: Classes,
    updated: Instant,
    /// Units that were admitted here, less those refunded. Never decreases.
    admitted: f64,
    /// Refunded units that are not subtracted yet.
    refunded: f64,
    /// Level of the bucket of all instances at `synced`, if it is known.
    level: Option<f64>,
    synced: Instant,
    /// Source and count of the admitted units that `level` includes.
    counted: Option<(Source, f64)>,
    /// Level of a bucket with an equal share of the allowance, which applies
    /// while no total is known.
    local_level: f64,
    local_filled: Instant,
    /// The last known total demand, and when it was known.
    last_total: Option<(Classes, Instant)>,
}

impl RateLimiter {
    /// Takes units of a customer's allowance for a request.
    ///
    /// # Errors
    ///
    /// Returns [`LimitExceeded`], with the time until units are available, if
    /// the allowance is used up.
    pub fn take(
        &mut self,
        customer: &Customer,
        charge: Charge,
        instances: usize,
        now: Instant,
    ) -> Result<(), LimitExceeded> {
        let Some(allowance) = customer.allowance else { return Ok(()) };
        let name = &customer.name;
        self.instances = instances;
        let class = charge.route_priority.min(ROUTE_PRIORITIES - 1) as usize;
        let account = self.accounts.entry(name.clone());
        let account = account
            .or_insert_with(|| Account::new(first_local(allowance), now));
        account.add_demand(class, charge.units, now);
        let total_age = self.totals.as_ref().map(|totals| {
            now.saturating_duration_since(totals.demand.received_at)
        });
        let known = self.sync(name, allowance, instances, now);
        let Some(account) = self.accounts.get_mut(name) else {
            return Ok(());
        };
        let equal_share = allowance.per_s / instances.max(1) as f64;
        account.refill_local(equal_share, now);
        let Some((bucket, classes)) = known else {
            let level = account.local_level;
            if level > 0.0 {
                account.admit(charge.units);
                return Ok(());
            }
            return Err(LimitExceeded {
                retry_in: retry_in(level, charge.units, equal_share),
                balance: level,
                share: 0.0,
                total_per_s: None,
                total_age,
            });
        };
        let level = account.level_now(bucket, now);
        let rate = bucket.allowed_rate(level);
        let more_urgent: f64 = classes[..class].iter().sum();
        let fraction = (rate - more_urgent) / classes[class].max(1e-9);
        let fraction = fraction.clamp(0.0, 1.0);
        if charge.draw < fraction {
            account.admit(charge.units);
            return Ok(());
        }
        Err(LimitExceeded {
            retry_in: retry_in(level, charge.units, allowance.per_s),
            balance: level,
            share: fraction,
            total_per_s: Some(bucket.demand),
            total_age,
        })
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, customer: &Customer, units: f64) {
        if let Some(account) = self.accounts.get_mut(&customer.name) {
            account.refunded += units;
        }
    }

    /// Returns the demand of each customer at this instance.
    pub fn local_demand(&self, now: Instant) -> Vec<CustomerDemand> {
        let accounts = self.accounts.iter();
        let values = accounts.map(|(name, account)| {
            let by_class = account.per_s(now);
            let per_s = by_class.iter().sum();
            let admitted = Some(account.admitted);
            (name, Values { per_s, by_class, admitted })
        });
        values.flat_map(|(name, values)| values.entries(name)).collect()
    }

    /// Returns the demand of each customer at all instances whose reports are
    /// valid.
    pub fn total_demand(&self, now: Instant) -> Vec<CustomerDemand> {
        let mut sums: HashMap<&CustomerName, Values> = HashMap::new();
        for received in self.peers.values().filter(|r| now < r.expires_at) {
            for (name, values) in &received.values {
                sums.entry(name).or_default().add_demand(values);
            }
        }
        for (name, account) in &self.accounts {
            let by_class = account.per_s(now);
            let per_s = by_class.iter().sum();
            let own = Values { per_s, by_class, admitted: None };
            sums.entry(name).or_default().add_demand(&own);
        }
        if self.known_peer_scale(now).is_some() {
            for (name, values) in &mut sums {
                values.admitted = Some(self.admitted_here_and_at_peers(name));
            }
        }
        let sums = sums.into_iter();
        sums.flat_map(|(name, values)| values.entries(name)).collect()
    }

    /// Records the demand at another instance, received at `at` and valid
    /// until `expires_at`.
    pub fn record_peer(
        &mut self,
        from: &InstanceId,
        demand: Vec<CustomerDemand>,
        at: Instant,
        expires_at: Instant,
    ) {
        let values = parse(demand);
        let earlier = self.peers.get(from).filter(|earlier| {
            at.saturating_duration_since(earlier.received_at) < MAX_REPORT_GAP
        });
        let is_regular = earlier.is_some();
        if let Some(earlier) = earlier {
            let scale = self.peer_scale.unwrap_or(1.0);
            for (name, values) in &values {
                let Some(admitted) = values.admitted else { continue };
                let before = earlier.values.get(name);
                let before = before.and_then(|v| v.admitted).unwrap_or(0.0);
                // A lower count is that of a restarted instance.
                let added = match admitted >= before {
                    true => admitted - before,
                    false => admitted,
                };
                let sum = self.admitted_by_peers.entry(name.clone());
                *sum.or_default() += added * scale;
            }
        }
        let received =
            ReceivedDemand { values, received_at: at, expires_at, is_regular };
        self.peers.insert(from.clone(), received);
    }

    /// Records the demand at all instances, as the lease holder `from` reports
    /// it, and accounts it for each customer in `customers`. Where requests of
    /// a customer are rare, its level must be known before the first one.
    pub fn record_totals(
        &mut self,
        from: &InstanceId,
        demand: Vec<CustomerDemand>,
        customers: &Customers,
        at: Instant,
        expires_at: Instant,
    ) {
        let values = parse(demand);
        let demand = ReceivedDemand {
            values,
            received_at: at,
            expires_at,
            is_regular: true,
        };
        self.totals = Some(ReceivedTotals { from: from.clone(), demand });
        for customer in customers.iter() {
            let Some(allowance) = customer.allowance else { continue };
            let account = self.accounts.entry(customer.name.clone());
            account
                .or_insert_with(|| Account::new(first_local(allowance), at));
            self.sync(&customer.name, allowance, self.instances, at);
        }
    }

    /// Updates a customer's account to what is known of its requests at all
    /// instances. Returns the bucket and the demand by route priority, if that
    /// is known.
    fn sync(
        &mut self,
        name: &CustomerName,
        allowance: Allowance,
        instances: usize,
        now: Instant,
    ) -> Option<(BucketState, Classes)> {
        let own = self.accounts.get(name)?.per_s(now);
        let known = self.total(name, own, instances, now);
        let (source, admitted, synced) = self.admitted(name, now);
        let account = self.accounts.get_mut(name)?;
        if let Some(known) = known {
            account.last_total = Some((known, now));
        }
        let (classes, _) = account.last_total.filter(|(_, at)| {
            now.saturating_duration_since(*at) < LAST_TOTAL_VALID_FOR
        })?;
        let classes: Classes =
            std::array::from_fn(|at| classes[at].max(own[at]));
        let bucket = BucketState {
            allowance,
            capacity: capacity(allowance),
            demand: classes.iter().sum(),
        };
        account.sync(source, admitted, synced, bucket);
        Some((bucket, classes))
    }

    /// Removes expired reports and the accounts of idle customers, and records
    /// the number of instances.
    pub fn forget(&mut self, instances: usize, now: Instant) {
        self.instances = instances;
        self.peers.retain(|_, received| now < received.expires_at);
        self.peer_scale = self.known_peer_scale(now);
        if self
            .totals
            .as_ref()
            .is_some_and(|totals| now >= totals.demand.expires_at)
        {
            self.totals = None;
        }
        self.accounts.retain(|_, account| {
            let used = account.updated.max(account.synced);
            let idle = now.saturating_duration_since(used);
            idle < Duration::from_secs_f64(MAX_DEBT_S) * 2
        });
    }

    fn live_totals(&self, now: Instant) -> Option<&ReceivedTotals> {
        let totals = self.totals.as_ref();
        totals.filter(|totals| now < totals.demand.expires_at)
    }

    /// Returns the demand of a customer at all instances by route priority, or
    /// `None` if too few instances have reported it.
    fn total(
        &self,
        name: &CustomerName,
        own: Classes,
        instances: usize,
        now: Instant,
    ) -> Option<Classes> {
        if let Some(totals) = self.live_totals(now) {
            let values = totals.demand.values.get(name);
            return Some(values.copied().unwrap_or_default().classes());
        }
        let peers = instances.saturating_sub(1);
        let live = || self.peers.values().filter(|r| now < r.expires_at);
        if live().count() * 2 < peers {
            return None;
        }
        let mut sum = Values::default();
        for values in live().filter_map(|r| r.values.get(name)) {
            sum.add_demand(values);
        }
        // Peers that are not heard are assumed to be like the others.
        let heard = live().count();
        let scale = peers.max(heard) as f64 / heard.max(1) as f64;
        let classes = sum.classes();
        Some(std::array::from_fn(|at| classes[at] * scale + own[at]))
    }

    /// Returns the number of peers that report regularly.
    fn regular_peers(&self, now: Instant) -> usize {
        let regular = self.peers.values().filter(|received| {
            let age = now.saturating_duration_since(received.received_at);
            received.is_regular
                && now < received.expires_at
                && age < MAX_REPORT_GAP * 2
        });
        regular.count()
    }

    /// Returns the number of peers per peer that reports regularly, if at least
    /// half of them do. The others, as in a partition, are assumed to admit as
    /// much.
    fn known_peer_scale(&self, now: Instant) -> Option<f64> {
        let regular = self.regular_peers(now);
        let peers = self.instances.saturating_sub(1).max(regular);
        let are_known = regular * 2 >= peers;
        are_known.then(|| peers as f64 / regular.max(1) as f64)
    }

    fn admitted_here_and_at_peers(&self, name: &CustomerName) -> f64 {
        let here = self.accounts.get(name).map_or(0.0, |a| a.admitted);
        here + self.admitted_by_peers.get(name).copied().unwrap_or(0.0)
    }

    /// Returns the units that are known to be admitted at all instances, the
    /// source of this count, and when it was received.
    fn admitted(
        &self,
        name: &CustomerName,
        now: Instant,
    ) -> (Source, Option<f64>, Instant) {
        match self.live_totals(now) {
            Some(totals) => {
                let values = totals.demand.values.get(name);
                let admitted = values.and_then(|values| values.admitted);
                let source = Source::Holder(totals.from.clone());
                (source, admitted, totals.demand.received_at)
            }
            None => {
                let admitted = self.admitted_here_and_at_peers(name);
                let is_known = self.known_peer_scale(now).is_some();
                (Source::Peers, is_known.then_some(admitted), now)
            }
        }
    }
}

/// Returns the capacity of the bucket of all instances.
fn capacity(allowance: Allowance) -> f64 {
    let large = large_request(allowance);
    let capacity = allowance.burst * CAPACITY + large * CAPACITY_REQUESTS;
    capacity.min(allowance.burst)
}

/// Returns the units of a large request.
fn large_request(allowance: Allowance) -> f64 {
    match allowance.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { .. } => LARGE_REQUEST_TOKENS,
    }
}

/// Returns the first level of the bucket that an instance uses while it knows
/// no total: two requests, because the totals arrive within half a second.
fn first_local(allowance: Allowance) -> f64 {
    (large_request(allowance) * 2.0).min(allowance.burst)
}

/// Returns the time until a debt is paid back and the bucket holds another
/// request.
fn retry_in(level: f64, units: f64, per_s: f64) -> Duration {
    let missing = (-level).max(0.0) + units;
    let time_s = (missing / per_s.max(1e-9)).min(MAX_RETRY_S);
    Duration::from_secs_f64(time_s)
}

impl Account {
    fn new(first_local: f64, now: Instant) -> Account {
        Account {
            demand: Classes::default(),
            updated: now,
            admitted: 0.0,
            refunded: 0.0,
            level: None,
            synced: now,
            counted: None,
            local_level: first_local,
            local_filled: now,
            last_total: None,
        }
    }

    fn add_demand(&mut self, class: usize, units: f64, now: Instant) {
        self.demand = self.decayed(now);
        self.demand[class] += units;
        self.updated = now;
    }

    fn per_s(&self, now: Instant) -> Classes {
        let time = DEMAND_DECAY_TIME.as_secs_f64();
        self.decayed(now).map(|units| units / time)
    }

    fn decayed(&self, now: Instant) -> Classes {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let factor = (-age / DEMAND_DECAY_TIME.as_secs_f64()).exp();
        self.demand.map(|units| units * factor)
    }

    fn refill_local(&mut self, per_s: f64, now: Instant) {
        let time = now.saturating_duration_since(self.local_filled);
        let level = self.local_level + per_s * time.as_secs_f64();
        let debt = per_s * MAX_DEBT_S;
        // Each instance's part of a second may be less than one request.
        self.local_level = level.clamp(-debt, self.local_level.max(per_s));
        self.local_filled = now;
    }

    fn admit(&mut self, units: f64) {
        self.local_level -= units;
        let refunded = self.refunded.min(units);
        self.refunded -= refunded;
        self.admitted += units - refunded;
    }

    /// Updates the level by the units that were admitted at all instances up to
    /// `at`. While their count is unknown or its source changes, they are
    /// estimated from the demand.
    fn sync(
        &mut self,
        source: Source,
        admitted: Option<f64>,
        at: Instant,
        bucket: BucketState,
    ) {
        let time = at.saturating_duration_since(self.synced);
        let before = self.counted.take().filter(|(of, _)| *of == source);
        let level = self.level.unwrap_or_else(|| bucket.first_level());
        self.level = Some(match (before, admitted) {
            (Some((_, before)), Some(admitted)) if admitted >= before => {
                bucket.account(level, time, admitted - before)
            }
            _ => bucket.extrapolate(level, time),
        });
        self.synced = self.synced.max(at);
        self.counted = admitted.map(|admitted| (source, admitted));
    }

    /// Returns the level of the bucket now.
    fn level_now(&self, bucket: BucketState, now: Instant) -> f64 {
        let level = self.level.unwrap_or_else(|| bucket.first_level());
        if !matches!(self.counted, Some((Source::Holder(_), _))) {
            return level;
        }
        let time = now.saturating_duration_since(self.synced) + REPORT_AGE;
        bucket.extrapolate(level, time)
    }
}

impl BucketState {
    /// Returns the rate that may be admitted at a level of the bucket.
    fn allowed_rate(self, level: f64) -> f64 {
        (self.allowance.per_s + level * gain_per_s(level)).max(0.0)
    }

    /// Returns the level that is assumed where a customer's requests were not
    /// accounted so far.
    fn first_level(self) -> f64 {
        match self.demand < self.allowance.per_s {
            true => self.capacity,
            false => 0.0,
        }
    }

    /// Returns the level after some time in which some units were admitted.
    fn account(self, level: f64, time: Duration, admitted: f64) -> f64 {
        let refill = self.allowance.per_s * time.as_secs_f64();
        let debt = self.allowance.per_s * MAX_DEBT_S;
        (level + refill - admitted).clamp(-debt, self.capacity)
    }

    /// Returns the level after some time in which the allowed part of the
    /// demand is admitted.
    fn extrapolate(self, level: f64, time: Duration) -> f64 {
        let time_s = time.as_secs_f64();
        // If the whole demand is admitted, the level changes linearly.
        // Otherwise, it approaches zero.
        let linear = level + (self.allowance.per_s - self.demand) * time_s;
        let limited = level * (-time_s * gain_per_s(level)).exp();
        linear.max(limited).min(self.capacity)
    }
}

fn gain_per_s(level: f64) -> f64 {
    if level > 0.0 { SURPLUS_GAIN_PER_S } else { DEBT_GAIN_PER_S }
}

impl Values {
    fn add_demand(&mut self, other: &Values) {
        self.per_s += other.per_s;
        for (sum, per_s) in self.by_class.iter_mut().zip(other.by_class) {
            *sum += per_s;
        }
    }

    /// Returns the demand by route priority. What has no stated priority, such
    /// as the demand at instances of the previous build, counts as least
    /// urgent.
    fn classes(&self) -> Classes {
        let mut classes = self.by_class;
        if let Some((last, urgent)) = classes.split_last_mut() {
            let urgent: f64 = urgent.iter().sum();
            *last = (self.per_s - urgent).max(0.0);
        }
        classes
    }

    /// Returns the entries of a note that state these values.
    fn entries(self, name: &str) -> impl Iterator<Item = CustomerDemand> {
        let name = name.to_owned();
        let demand = (name.clone(), self.per_s);
        let classes = self.by_class.into_iter().enumerate();
        let classes = classes.take(self.by_class.len() - 1);
        let of_class = name.clone();
        let classes = classes.map(move |(class, per_s)| {
            (format!("{of_class}{KIND_SEPARATOR}{class}"), per_s)
        });
        let admitted = self.admitted.map(|admitted| {
            (format!("{name}{KIND_SEPARATOR}{ADMITTED}"), admitted)
        });
        let entries = [demand].into_iter().chain(classes).chain(admitted);
        entries
            .map(|(customer, value)| CustomerDemand {
                customer,
                per_s: value.round(),
            })
            .filter(|entry| entry.per_s >= 1.0)
    }
}

/// Returns the values that a note states, by customer.
fn parse(entries: Vec<CustomerDemand>) -> HashMap<CustomerName, Values> {
    let mut all: HashMap<CustomerName, Values> = HashMap::new();
    for CustomerDemand { customer, per_s } in entries {
        let Some((name, kind)) = customer.split_once(KIND_SEPARATOR) else {
            all.entry(customer).or_default().per_s = per_s;
            continue;
        };
        let values = all.entry(name.to_owned()).or_default();
        if kind == ADMITTED {
            values.admitted = Some(per_s);
        } else if let Ok(class) = kind.parse::<usize>()
            && let Some(of_class) = values.by_class.get_mut(class)
        {
            *of_class = per_s;
        }
    }
    all
}
