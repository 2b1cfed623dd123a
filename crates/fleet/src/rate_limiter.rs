//! What each customer may use, summed over all instances, with no store of our
//! own.
//!
//! Each instance says in its notes how much each customer asks of it. While the
//! sum is well below the customer's allowance, nothing is turned away. Beyond, an
//! instance takes the part of the allowance that it has of the demand, from a
//! bucket that may fall into debt: what was taken before the others' demand was
//! heard of is paid back out of what comes next. The invariant: whatever is
//! heard, an instance takes no more than its bucket over time, and the parts of
//! instances that hear each other add up to one.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use serde::{Deserialize, Serialize};

use crate::customer::{Allowance, Customer, CustomerName};

/// The time over which demand forgets to a third: an instance that gets one
/// request in some seconds still has its part, and what a customer takes before
/// it is seen to be hot is paid back.
const DEMAND_DECAY_TIME: Duration = Duration::from_millis(2_500);

/// The least part of an allowance, in equal parts: for an instance of which a
/// customer asks for the first time.
const MIN_SHARE: f64 = 0.25;

/// The part of an allowance below which nothing is turned away. Demand within
/// limits swings by a fifth within seconds.
const UNLIMITED_BELOW: f64 = 0.85;

/// The part of an allowance that is given out: notes are late, and parts add up
/// to a little more while demand moves from one instance to another.
const DISTRIBUTED_FRACTION: f64 = 0.95;

/// The largest debt, in seconds of the bucket's rate: beyond, a customer whose
/// demand jumped would get nothing for longer than anybody counts.
const MAX_DEBT_S: f64 = 6.0;

/// What a customer asks of an instance, or of all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerDemand {
    /// The customer.
    pub customer: CustomerName,
    /// Units a second.
    pub per_s: f64,
}

/// Why units are not given, and what that was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitExceeded {
    /// When some are there again.
    pub retry_in: Duration,
    /// What may be taken; below zero, what has to come back first.
    pub balance: f64,
    /// This instance's part of the allowance.
    pub share: f64,
    /// What the customer asks of all instances, in units a second, if it is known.
    pub total_per_s: Option<f64>,
    /// How old the sum of the holder of the lease is, if it was heard.
    pub total_age: Option<Duration>,
}

/// One instance's part of all allowances.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<CustomerName, Bucket>,
    peers: HashMap<InstanceId, ReceivedDemand>,
    /// What the holder of the lease says that all ask for.
    totals: Option<ReceivedDemand>,
}

#[derive(Clone, Debug)]
struct ReceivedDemand {
    demand: Vec<CustomerDemand>,
    received_at: Instant,
    expires_at: Instant,
}

#[derive(Clone, Debug)]
struct Bucket {
    /// Units asked for lately, the newest weighing most.
    demand: f64,
    /// What may be taken; below zero, what has to come back first.
    balance: f64,
    updated: Instant,
    /// Our part of the allowance when it was last known.
    share: Option<f64>,
}

impl RateLimiter {
    /// Takes units of a customer's allowance for a request, or returns when some
    /// are there again.
    ///
    /// # Errors
    ///
    /// The time until then, with what that was decided by.
    pub fn take(
        &mut self,
        customer: &Customer,
        units: f64,
        instances: usize,
        now: Instant,
    ) -> Result<(), LimitExceeded> {
        let Some(allowance) = customer.allowance else { return Ok(()) };
        let bucket = self.buckets.entry(customer.name.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        // Without the request itself, which would make the part of an instance
        // that gets few too large.
        let own_per_s = bucket.per_s(now);
        let age = bucket.add_demand(units, now);
        let known_share = bucket.share;
        let total_per_s = self.total(&customer.name, own_per_s, now);
        let equal_share = 1.0 / instances.max(1) as f64;
        let share = match total_per_s {
            Some(total) => own_per_s / total.max(1e-9),
            None => known_share.unwrap_or(equal_share),
        };
        let share = share.clamp(equal_share * MIN_SHARE, 1.0);
        let is_unlimited = total_per_s
            .is_some_and(|total| total < allowance.per_s * UNLIMITED_BELOW);
        let Some(bucket) = self.buckets.get_mut(&customer.name) else {
            return Ok(());
        };
        bucket.refill(allowance, share, equal_share, age);
        if is_unlimited || bucket.balance > 0.0 {
            let debt = MAX_DEBT_S * rate(allowance, share);
            bucket.balance = (bucket.balance - units).max(-debt);
            return Ok(());
        }
        let missing_s = -bucket.balance / rate(allowance, share).max(1e-9);
        let missing_s = missing_s.clamp(0.0, MAX_DEBT_S);
        let received = self.totals.as_ref();
        Err(LimitExceeded {
            retry_in: Duration::from_secs_f64(missing_s),
            balance: bucket.balance,
            share,
            total_per_s,
            total_age: received
                .map(|h| now.saturating_duration_since(h.received_at)),
        })
    }

    /// Gives back what a request took that did not run.
    pub fn refund(&mut self, customer: &Customer, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&customer.name) {
            bucket.balance += units;
        }
    }

    /// Returns what each customer asks of this instance.
    pub fn local_demand(&self, now: Instant) -> Vec<CustomerDemand> {
        let demand =
            self.buckets.iter().map(|(name, bucket)| CustomerDemand {
                customer: name.clone(),
                per_s: bucket.per_s(now).round(),
            });
        demand.filter(|demand| demand.per_s >= 1.0).collect()
    }

    /// Returns what each customer asks of all instances, as far as we hear.
    pub fn total_demand(&self, now: Instant) -> Vec<CustomerDemand> {
        let mut sums: HashMap<CustomerName, f64> = HashMap::new();
        let received =
            self.peers.values().filter(|received| now < received.expires_at);
        let of_peers = received.flat_map(|received| received.demand.clone());
        for demand in of_peers.chain(self.local_demand(now)) {
            *sums.entry(demand.customer).or_default() += demand.per_s;
        }
        sums.into_iter()
            .map(|(customer, per_s)| CustomerDemand { customer, per_s })
            .collect()
    }

    /// Takes in what customers ask of another instance, which was heard at a moment
    /// and counts until another.
    pub fn record_peer(
        &mut self,
        from: &InstanceId,
        demand: Vec<CustomerDemand>,
        at: Instant,
        expires_at: Instant,
    ) {
        self.peers.insert(
            from.clone(),
            ReceivedDemand { demand, received_at: at, expires_at },
        );
    }

    /// Takes in what customers ask of all instances.
    pub fn record_totals(
        &mut self,
        demand: Vec<CustomerDemand>,
        at: Instant,
        expires_at: Instant,
    ) {
        self.totals =
            Some(ReceivedDemand { demand, received_at: at, expires_at });
    }

    /// Forgets instances that are silent, and customers that ask for nothing.
    pub fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, received| now < received.expires_at);
        if self
            .totals
            .as_ref()
            .is_some_and(|received| now >= received.expires_at)
        {
            self.totals = None;
        }
        self.buckets.retain(|_, bucket| {
            let idle = now.saturating_duration_since(bucket.updated);
            idle < Duration::from_secs_f64(MAX_DEBT_S) * 2
        });
    }

    /// Returns what a customer asks of all; nothing where too few are heard.
    fn total(
        &self,
        name: &CustomerName,
        own_per_s: f64,
        now: Instant,
    ) -> Option<f64> {
        let of = |received: &ReceivedDemand| {
            received
                .demand
                .iter()
                .filter(|demand| demand.customer == *name)
                .map(|demand| demand.per_s)
                .sum::<f64>()
        };
        let totals =
            self.totals.as_ref().filter(|received| now < received.expires_at);
        if let Some(totals) = totals {
            return Some(of(totals).max(own_per_s));
        }
        let mut live = self
            .peers
            .values()
            .filter(|received| now < received.expires_at)
            .peekable();
        live.peek()?;
        Some(live.map(of).sum::<f64>() + own_per_s)
    }
}

impl Bucket {
    fn new(now: Instant) -> Bucket {
        Bucket { demand: 0.0, balance: 0.0, updated: now, share: None }
    }

    /// Counts what is asked for; returns the time since that was done last.
    fn add_demand(&mut self, units: f64, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.updated);
        self.demand = self.decayed(now) + units;
        self.updated = now;
        age
    }

    fn per_s(&self, now: Instant) -> f64 {
        self.decayed(now) / DEMAND_DECAY_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.demand * (-age / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Lets come back what a part of the allowance brings in a time; a bucket
    /// that is new has an equal part of the burst.
    fn refill(
        &mut self,
        allowance: Allowance,
        share: f64,
        equal_share: f64,
        age: Duration,
    ) {
        let most = allowance.burst * share;
        let is_new = self.share.replace(share).is_none();
        let back = rate(allowance, share) * age.as_secs_f64();
        self.balance = if is_new {
            allowance.burst * equal_share
        } else {
            (self.balance + back).min(most)
        };
    }
}

/// Returns what a part of an allowance brings, in units a second.
fn rate(allowance: Allowance, share: f64) -> f64 {
    allowance.per_s * share * DISTRIBUTED_FRACTION
}
