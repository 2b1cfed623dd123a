//! A distributed rate limiter for customers, without a store of its own.
//!
//! Each instance reports in its notes how much each customer demands of it.
//! While the sum is well below the customer's allowance, nothing is rejected.
//! Above that, each instance enforces a share of the allowance in proportion
//! to its share of the demand, with a token bucket whose balance may become
//! negative: units that were taken before the demand at other instances was
//! known are paid back from later refills.
//!
//! The invariants: over time, an instance takes no more than its bucket
//! provides, whatever it receives; and the shares of instances that receive
//! each other's notes add up to one.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;
use serde::{Deserialize, Serialize};

use crate::customer::{Allowance, Customer, CustomerName};

/// Time constant of the demand, after which a request counts a third. It is
/// long enough that an instance that gets one request in some seconds keeps
/// its share. What a customer takes before it is known to exceed its allowance
/// is paid back.
const DEMAND_DECAY_TIME: Duration = Duration::from_millis(2_500);

/// Minimum share of an allowance, as a fraction of an equal share. It applies
/// to an instance that gets its first request of a customer.
const MIN_SHARE: f64 = 0.25;

/// Fraction of an allowance below which no request is rejected. Demand within
/// limits varies by a fifth within seconds.
const UNLIMITED_BELOW: f64 = 0.85;

/// Fraction of an allowance that the shares distribute. Notes arrive late, and
/// the shares add up to slightly more than one while demand moves between
/// instances.
const DISTRIBUTED_FRACTION: f64 = 0.95;

/// Maximum debt, in seconds of the bucket's refill rate. A larger debt would
/// reject all requests of a customer whose demand jumped for longer than the
/// time over which its use is accounted.
const MAX_DEBT_S: f64 = 6.0;

/// Demand of one customer, at one instance or at all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerDemand {
    /// The customer.
    pub customer: CustomerName,
    /// Units per second.
    pub per_s: f64,
}

/// Error of [`RateLimiter::take`]: the allowance is used up. Holds the values
/// that the decision was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitExceeded {
    /// Time until units are available again.
    pub retry_in: Duration,
    /// Units in the bucket. If negative, the debt that refills pay back first.
    pub balance: f64,
    /// This instance's share of the allowance.
    pub share: f64,
    /// The customer's demand at all instances, in units per second, if it is
    /// known.
    pub total_per_s: Option<f64>,
    /// Age of the total that the lease holder reported, if one was received.
    pub total_age: Option<Duration>,
}

/// Enforces this instance's share of the allowances of all customers.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<CustomerName, Bucket>,
    peers: HashMap<InstanceId, ReceivedDemand>,
    /// Demand at all instances, as reported by the lease holder.
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
    /// Recently requested units, with exponential decay.
    demand: f64,
    /// Units in the bucket. If negative, the debt that refills pay back first.
    balance: f64,
    updated: Instant,
    /// The last known share of this instance.
    share: Option<f64>,
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
        units: f64,
        instances: usize,
        now: Instant,
    ) -> Result<(), LimitExceeded> {
        let Some(allowance) = customer.allowance else { return Ok(()) };
        let bucket = self.buckets.entry(customer.name.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        // Excludes this request, which would make the share of an instance
        // with few requests too large.
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

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, customer: &Customer, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&customer.name) {
            bucket.balance += units;
        }
    }

    /// Returns the demand of each customer at this instance.
    pub fn local_demand(&self, now: Instant) -> Vec<CustomerDemand> {
        let demand =
            self.buckets.iter().map(|(name, bucket)| CustomerDemand {
                customer: name.clone(),
                per_s: bucket.per_s(now).round(),
            });
        demand.filter(|demand| demand.per_s >= 1.0).collect()
    }

    /// Returns the demand of each customer at all instances whose reports are
    /// valid.
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

    /// Records the demand at another instance, received at `at` and valid
    /// until `expires_at`.
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

    /// Records the demand at all instances.
    pub fn record_totals(
        &mut self,
        demand: Vec<CustomerDemand>,
        at: Instant,
        expires_at: Instant,
    ) {
        self.totals =
            Some(ReceivedDemand { demand, received_at: at, expires_at });
    }

    /// Removes expired reports and the buckets of idle customers.
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

    /// Returns the demand of a customer at all instances, or `None` if no
    /// other instance's report is valid.
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

    /// Adds requested units. Returns the time since the last update.
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

    /// Adds the refill of the elapsed time. A new bucket starts with an equal
    /// share of the burst.
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

/// Returns the refill rate of a share of an allowance, in units per second.
fn rate(allowance: Allowance, share: f64) -> f64 {
    allowance.per_s * share * DISTRIBUTED_FRACTION
}
