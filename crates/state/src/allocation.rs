//! Allocation of the weight store's limits to shards.
//!
//! With fixed shares, the share of a shard without loads would be unused. So
//! every shard has a small guaranteed share, and the rest is allocated
//! according to the requests that wait in each shard, by allotments that
//! expire. The module keeps one invariant: the limits that all shards may use
//! never add up to more than the limits of the store. After a change of the
//! limits or of the set of shards, the invariant holds once the earlier
//! allotments have expired.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::{budget::StoreLimits, id::ShardId};

/// The fraction of the store's limits that is guaranteed to all shards
/// together.
///
/// A shard without a valid allotment uses its equal share of this fraction.
pub const GUARANTEED_FRACTION: f64 = 0.25;

/// A shard's demand for the weight store.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreDemand {
    /// The sum of the [weights](crate::Priority::weight) of the requests that
    /// wait for a load.
    pub waiting_weight: f64,
    /// The number of adapters that wait for a load.
    pub adapters: f64,
}

/// The weight of a new sample in the moving average of a shard's demand.
///
/// Limits that were allotted to one shard are not available to others until
/// the allotment expires, so demands that fluctuate leave limits unused. With
/// four samples a second, the average follows a change of the demand within
/// two to three seconds.
const DEMAND_SMOOTHING: f64 = 0.1;

/// The score of a shard without demand. Two adapters, each with one waiting
/// request of normal priority, add about as much to a score.
///
/// Without this score, the first requests after an idle period would find
/// their shard with only its guaranteed share.
const BASE_SCORE: f64 = 5.0;

impl StoreDemand {
    fn blend(&mut self, new: StoreDemand) {
        let mix = |old: &mut f64, new: f64| {
            *old += DEMAND_SMOOTHING * (new - *old);
        };
        mix(&mut self.waiting_weight, new.waiting_weight);
        mix(&mut self.adapters, new.adapters);
    }

    /// Returns the score by which the store is divided among demands.
    fn score(self) -> f64 {
        BASE_SCORE + self.adapters.sqrt() * self.waiting_weight.sqrt()
    }
}

/// Returns the limits that each of `shards_len` shards may use without an
/// allotment.
pub fn guaranteed_limits(
    limits: StoreLimits,
    shards_len: usize,
) -> StoreLimits {
    let share = limits.share(shards_len);
    StoreLimits {
        rate_per_s: share.rate_per_s * GUARANTEED_FRACTION,
        concurrency: share.concurrency * GUARANTEED_FRACTION,
    }
}

/// Divides the store's limits among shards in proportion to the scores of
/// their demands, after the guaranteed shares.
pub fn divide(
    limits: StoreLimits,
    demands: &[StoreDemand],
) -> Vec<StoreLimits> {
    let len = demands.len().max(1) as f64;
    let total: f64 = demands.iter().map(|demand| demand.score()).sum();
    let parts: Vec<f64> = demands
        .iter()
        .map(|demand| {
            let equal = 1.0 / len;
            let wanted = match total > 0.0 {
                true => demand.score() / total,
                false => equal,
            };
            GUARANTEED_FRACTION * equal + (1.0 - GUARANTEED_FRACTION) * wanted
        })
        .collect();
    let concurrency = apportion(limits.concurrency, &parts);
    parts
        .iter()
        .zip(concurrency)
        .map(|(part, concurrency)| StoreLimits {
            rate_per_s: limits.rate_per_s * part,
            concurrency,
        })
        .collect()
}

/// Divides a number of concurrent loads into whole numbers by the largest
/// remainder method.
///
/// A share of less than one load stays a fraction, which
/// [`LoadBudget`](crate::budget::LoadBudget) turns into a lower rate.
fn apportion(total: f64, parts: &[f64]) -> Vec<f64> {
    let exact: Vec<f64> = parts.iter().map(|part| part * total).collect();
    let mut whole: Vec<f64> =
        exact.iter().map(|value| value.floor()).collect();
    let fractional_sum: f64 = exact
        .iter()
        .zip(&whole)
        .filter(|(_, whole)| **whole == 0.0)
        .map(|(exact, _)| exact)
        .sum();
    let mut left = total - whole.iter().sum::<f64>() - fractional_sum;
    let mut order: Vec<usize> =
        (0..parts.len()).filter(|idx| whole[*idx] > 0.0).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    for idx in order {
        if left < 1.0 - 1e-9 {
            break;
        }
        whole[idx] += 1.0;
        left -= 1.0;
    }
    exact
        .iter()
        .zip(whole)
        .map(|(exact, whole)| if whole > 0.0 { whole } else { *exact })
        .collect()
}

/// The validity of an allotment, which the shard counts from the time at which
/// it requested the allotment.
pub const ALLOTMENT_VALIDITY: Duration = Duration::from_millis(800);

/// The interval at which each shard requests an allotment.
pub const ALLOCATION_INTERVAL: Duration = Duration::from_millis(250);

/// An allotment that the allocator has issued to a shard.
#[derive(Clone, Copy, Debug)]
struct IssuedAllotment {
    limits: StoreLimits,
    until: Instant,
}

/// The allocator's record of one shard: its demand, and the allotments that
/// the shard may still use.
///
/// An answer can be lost, in which case the shard uses an earlier allotment.
/// So all allotments are kept until they expire.
#[derive(Clone, Debug, Default)]
struct ShardRecord {
    demand: StoreDemand,
    issued: Vec<IssuedAllotment>,
}

impl ShardRecord {
    /// Returns the largest limits that the shard may use now: the maximum of
    /// its valid allotments and the guaranteed limits.
    fn max_usable(&self, floor: StoreLimits, now: Instant) -> StoreLimits {
        let valid =
            self.issued.iter().filter(|allotment| allotment.until > now);
        valid.fold(floor, |max, allotment| StoreLimits {
            rate_per_s: max.rate_per_s.max(allotment.limits.rate_per_s),
            concurrency: max.concurrency.max(allotment.limits.concurrency),
        })
    }
}

/// Issues allotments of the weight store's limits to shards.
///
/// There is one active allocator, at the leader of the first shard. A new
/// allocator issues only the guaranteed limits until all allotments of its
/// predecessor have expired.
#[derive(Clone, Debug)]
pub struct Allocator {
    limits: StoreLimits,
    shards: BTreeMap<ShardId, ShardRecord>,
    active_from: Instant,
}

impl Allocator {
    /// Returns an allocator for a set of shards, which becomes active once the
    /// allotments of another allocator have expired.
    pub fn new(
        limits: StoreLimits,
        shards: impl IntoIterator<Item = ShardId>,
        now: Instant,
    ) -> Allocator {
        let mut allocator = Allocator {
            limits,
            shards: BTreeMap::new(),
            active_from: now + ALLOTMENT_VALIDITY,
        };
        allocator.reconfigure(limits, shards);
        allocator
    }

    /// Replaces the limits and the set of shards. Allotments that were issued
    /// to shards that stay remain valid.
    pub fn reconfigure(
        &mut self,
        limits: StoreLimits,
        shards: impl IntoIterator<Item = ShardId>,
    ) {
        let mut old = std::mem::take(&mut self.shards);
        self.limits = limits;
        for shard in shards {
            let record = old.remove(&shard).unwrap_or_default();
            self.shards.insert(shard, record);
        }
    }

    /// Records a shard's demand and returns its allotment, which is valid for
    /// [`ALLOTMENT_VALIDITY`] from the time at which the shard requested it.
    ///
    /// Returns the guaranteed limits for an unknown shard.
    pub fn allocate(
        &mut self,
        shard: &str,
        demand: StoreDemand,
        now: Instant,
    ) -> StoreLimits {
        let floor = guaranteed_limits(self.limits, self.shards.len());
        let Some(own) = self.shards.get_mut(shard) else { return floor };
        own.demand.blend(demand);
        if now < self.active_from && self.shards.len() > 1 {
            return floor;
        }
        let demands: Vec<StoreDemand> =
            self.shards.values().map(|record| record.demand).collect();
        let idx = self.shards.keys().position(|id| id == shard);
        let wanted = divide(self.limits, &demands)[idx.unwrap_or(0)];
        let free = self.unused_by_others(shard, floor, now);
        let limits = StoreLimits {
            rate_per_s: wanted.rate_per_s.min(free.rate_per_s),
            concurrency: wanted.concurrency.min(free.concurrency),
        };
        // The shard may use the guaranteed limits in any case.
        let limits = StoreLimits {
            rate_per_s: limits.rate_per_s.max(floor.rate_per_s),
            concurrency: limits.concurrency.max(floor.concurrency),
        };
        if let Some(own) = self.shards.get_mut(shard) {
            own.issued.retain(|allotment| allotment.until > now);
            own.issued.push(IssuedAllotment {
                limits,
                until: now + ALLOTMENT_VALIDITY,
            });
        }
        limits
    }

    /// Returns the store's limits minus those that the other shards may use
    /// now.
    fn unused_by_others(
        &self,
        shard: &str,
        floor: StoreLimits,
        now: Instant,
    ) -> StoreLimits {
        let mut free = self.limits;
        for (id, other) in &self.shards {
            if id == shard {
                continue;
            }
            let used = other.max_usable(floor, now);
            free.rate_per_s -= used.rate_per_s;
            free.concurrency -= used.concurrency;
        }
        free
    }
}
