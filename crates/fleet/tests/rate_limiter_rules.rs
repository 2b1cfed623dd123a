//! Tests that allowances hold over all instances together: few requests are
//! rejected below an allowance, and not much more than it is taken.

use std::time::Duration;

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    customer::{Allowance, Customer, Unit},
    rate_limiter::RateLimiter,
};

const PER_S: f64 = 50_000.0;

/// Interval at which each instance receives the demand at the others.
const HEARD_EVERY_MS: u64 = 300;

fn customer() -> Customer {
    let unit = Unit::Tokens { plain: 200.0 };
    let allowance = Allowance { per_s: PER_S, burst: PER_S, unit };
    Customer {
        name: "one".to_owned(),
        priority: 0,
        allowance: Some(allowance),
    }
}

/// Demand over time, as a multiple of the allowance.
#[derive(Clone, Copy, Debug)]
struct Load {
    usual: f64,
    /// Demand from the fourth second to the twelfth.
    hot: f64,
    /// How unevenly callers are spread over instances: the first instance's
    /// part as a multiple of an equal one.
    skew: f64,
}

#[derive(Debug, Default)]
struct Taken {
    /// Units taken, by second.
    by_s: Vec<f64>,
    asked: f64,
    refused: f64,
}

/// Simulates 20 seconds on some instances. From the sixth second on, the last
/// `cut` of them neither receive notes nor are received.
fn simulate(instances: usize, load: Load, cut: usize, seed: u64) -> Taken {
    let mut rng = StdRng::seed_from_u64(seed);
    let customer = customer();
    let mut all: Vec<RateLimiter> = vec![RateLimiter::default(); instances];
    let weights: Vec<f64> = (0..instances)
        .map(|n| load.skew.powf(1.0 - 2.0 * n as f64 / instances as f64))
        .collect();
    let sum: f64 = weights.iter().sum();
    let start = Instant::now();
    let mut taken = Taken { by_s: vec![0.0; 20], ..Taken::default() };
    for ms in 0..20_000_u64 {
        let now = start + Duration::from_millis(ms);
        let is_cut = |n: usize| ms >= 6_000 && n + cut >= instances;
        if ms % HEARD_EVERY_MS == 0 {
            let said: Vec<_> =
                all.iter().map(|s| s.local_demand(now)).collect();
            let until = now + Duration::from_millis(HEARD_EVERY_MS * 6);
            for (n, shares) in all.iter_mut().enumerate() {
                shares.forget(now);
                for (from, asked) in said.iter().enumerate() {
                    if from != n && !is_cut(n) && !is_cut(from) {
                        let from = format!("i{from}");
                        shares.record_peer(&from, asked.clone(), now, until);
                    }
                }
            }
        }
        let is_hot = (4_000..12_000).contains(&ms);
        let level = if is_hot { load.hot } else { load.usual };
        for n in 0..instances {
            let units: f64 = rng.random_range(100.0..1_300.0);
            let per_ms = PER_S * level * weights[n] / sum / 700.0 / 1_000.0;
            if !rng.random_bool(per_ms.min(1.0)) {
                continue;
            }
            taken.asked += units;
            match all[n].take(&customer, units, instances, now) {
                Ok(()) => taken.by_s[(ms / 1_000) as usize] += units,
                Err(_) => taken.refused += units,
            }
        }
    }
    taken
}

/// Returns the maximum taken within eight seconds, as a multiple of what is
/// allowed for them.
fn most_in_window(taken: &Taken) -> f64 {
    let windows = taken.by_s.windows(8);
    let most = windows.map(|w| w.iter().sum::<f64>()).fold(0.0, f64::max);
    most / (PER_S * 8.0 + PER_S)
}

#[test]
fn usual_demand_is_not_rejected_however_it_is_spread() {
    for (instances, skew) in [(7, 1.0), (7, 4.0), (75, 1.0), (75, 6.0)] {
        let load = Load { usual: 0.55, hot: 0.75, skew };
        let taken = simulate(instances, load, 0, 3);
        let refused = taken.refused / taken.asked;
        assert!(refused < 0.02, "{instances} {skew}: {refused} refused");
    }
}

#[test]
fn a_hot_customer_takes_little_more_than_its_allowance() {
    for instances in [7, 75, 200] {
        let load = Load { usual: 0.55, hot: 6.0, skew: 3.0 };
        let taken = simulate(instances, load, 0, 5);
        let most = most_in_window(&taken);
        assert!(most < 1.2, "{instances} instances: {most}");
        // The customer also gets most of its allowance: at least seven tenths
        // during the hot seconds.
        let hot: f64 = taken.by_s[5..12].iter().sum();
        assert!(hot > 0.7 * 7.0 * PER_S, "{instances}: {hot}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Instances that are cut off keep their share. Together with the others,
    /// which then share the full allowance, no more than twice the allowance
    /// is taken.
    #[test]
    fn partitions_never_double_an_allowance(
        instances in 2_usize..30,
        cut_part in 0.0..0.5_f64,
        hot in 1.0..8.0_f64,
        skew in 1.0..6.0_f64,
        seed in 0..1_000_u64,
    ) {
        let cut = (instances as f64 * cut_part) as usize;
        let load = Load { usual: 0.6, hot, skew };
        let taken = simulate(instances, load, cut, seed);
        let most = most_in_window(&taken);
        prop_assert!(most < 2.0, "{most}");
    }
}
