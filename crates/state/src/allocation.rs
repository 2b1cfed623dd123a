//! How the weight store is divided among shards.
//!
//! Fixed shares waste the store whenever one shard has nothing to load. So
//! every shard keeps a small guaranteed part, and the rest goes to where
//! requests wait. The module keeps one invariant: the parts never add up to
//! more than the store allows.

use std::{collections::BTreeMap, time::Duration};

use sedgewall_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::{budget::StoreLimits, id::ShardId};

/// The part of the store that is guaranteed, over all shards together.
///
/// A shard that hears nothing from the allocator lives on its part of this.
pub const GUARANTEED_FRACTION: f64 = 0.25;

/// What a shard would do with the weight store.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreDemand {
    /// The weight of the requests that wait for a load.
    pub waiting_weight: f64,
    /// Adapters that wait for a load.
    pub adapters: f64,
}

/// How much a new demand counts against the earlier ones.
///
/// What a shard may still use is kept from the others until it runs out, so
/// demands that jump about waste the store; at four a second this follows
/// within two to three seconds.
const DEMAND_SMOOTHING: f64 = 0.1;

/// What every shard counts without any demand: two adapters that wait.
///
/// Without it the first requests after a pause find their shard with the
/// guaranteed part alone.
const BASE_SCORE: f64 = 5.0;

impl StoreDemand {
    fn blend(&mut self, new: StoreDemand) {
        let mix = |old: &mut f64, new: f64| {
            *old += DEMAND_SMOOTHING * (new - *old);
        };
        mix(&mut self.waiting_weight, new.waiting_weight);
        mix(&mut self.adapters, new.adapters);
    }

    /// Returns how this demand counts against others.
    fn score(self) -> f64 {
        BASE_SCORE + self.adapters.sqrt() * self.waiting_weight.sqrt()
    }
}

/// Returns what a shard may use without an allocator.
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

/// Divides the store among shards by their demands.
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

/// Divides a number of loads into whole numbers, by the largest remainder; who
/// gets none keeps a fraction, which is paid for in rate.
fn apportion(total: f64, parts: &[f64]) -> Vec<f64> {
    let exact: Vec<f64> = parts.iter().map(|part| part * total).collect();
    let mut whole: Vec<f64> =
        exact.iter().map(|value| value.floor()).collect();
    let fractions: f64 = exact
        .iter()
        .zip(&whole)
        .filter(|(_, whole)| **whole == 0.0)
        .map(|(exact, _)| exact)
        .sum();
    let mut left = total - whole.iter().sum::<f64>() - fractions;
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

/// How long an allotment holds, counted by the shard from when it asked.
pub const ALLOTMENT_VALIDITY: Duration = Duration::from_millis(800);

/// How often shards ask.
pub const ALLOCATION_INTERVAL: Duration = Duration::from_millis(250);

/// A part that was handed out.
#[derive(Clone, Copy, Debug)]
struct IssuedAllotment {
    limits: StoreLimits,
    until: Instant,
}

/// What a shard asked for last, and all that it may still use: an answer can
/// be lost, and the shard then keeps to an earlier one.
#[derive(Clone, Debug, Default)]
struct ShardRecord {
    demand: StoreDemand,
    issued: Vec<IssuedAllotment>,
}

impl ShardRecord {
    /// Returns the most that the shard may use now.
    fn max_usable(&self, floor: StoreLimits, now: Instant) -> StoreLimits {
        let valid =
            self.issued.iter().filter(|allotment| allotment.until > now);
        valid.fold(floor, |max, allotment| StoreLimits {
            rate_per_s: max.rate_per_s.max(allotment.limits.rate_per_s),
            concurrency: max.concurrency.max(allotment.limits.concurrency),
        })
    }
}

/// Hands out parts of the store, for a time, to the shards that ask.
///
/// There is one at a time: the leader of the first shard. A new one waits
/// until all that its predecessor handed out has run out.
#[derive(Clone, Debug)]
pub struct Allocator {
    limits: StoreLimits,
    shards: BTreeMap<ShardId, ShardRecord>,
    active_from: Instant,
}

impl Allocator {
    /// Returns an allocator for these shards, which opens when nothing that
    /// another one handed out can be in force any more.
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

    /// Replaces the limits and the shards; what was handed out stays so.
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

    /// Takes in a shard's demand and returns its part, which holds for
    /// [`ALLOTMENT_VALIDITY`] from when the shard asked.
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
        // Never less than what the shard may use without asking.
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

    /// What the other shards leave, by what each may still use.
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
