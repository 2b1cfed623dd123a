//! The allocation of the weight store's limits to shards.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_state::{
    allocation::{
        ALLOTMENT_VALIDITY, Allocator, StoreDemand, divide, guaranteed_limits,
    },
    budget::StoreLimits,
};

fn demand() -> impl Strategy<Value = StoreDemand> {
    (0.0f64..10_000.0, 0.0f64..2_000.0).prop_map(
        |(waiting_weight, adapters)| StoreDemand { waiting_weight, adapters },
    )
}

proptest! {
    #[test]
    fn allotments_never_exceed_the_store(
        demands in prop::collection::vec(demand(), 1..64),
        rate_per_s in 0.5f64..50.0,
        concurrency in 1u32..32,
    ) {
        let concurrency = f64::from(concurrency);
        let limits = StoreLimits { rate_per_s, concurrency };
        let parts = divide(limits, &demands);
        let rate: f64 = parts.iter().map(|p| p.rate_per_s).sum();
        let at_once: f64 = parts.iter().map(|p| p.concurrency).sum();
        prop_assert!(rate <= rate_per_s * 1.000_001);
        prop_assert!(at_once <= concurrency * 1.000_001);
        let least = guaranteed_limits(limits, demands.len());
        for part in &parts {
            prop_assert!(part.rate_per_s >= least.rate_per_s * 0.999_999);
        }
    }
}

#[test]
fn a_shard_with_all_the_demand_gets_most_of_the_store() {
    let limits = StoreLimits { rate_per_s: 9.0, concurrency: 6.0 };
    let busy = StoreDemand { waiting_weight: 800.0, adapters: 60.0 };
    let parts = divide(limits, &[busy, StoreDemand::default()]);
    assert!(parts[0].rate_per_s > 7.5);
    assert_eq!(parts[0].concurrency, 5.0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Shards request allotments in any order, some answers are lost, and the
    /// allocator is replaced. The rate that all shards may use together must
    /// stay within the store's limit.
    #[test]
    fn allotments_in_force_never_exceed_the_store(
        steps in prop::collection::vec(
            (0usize..5, demand(), 0u64..900, prop::bool::weighted(0.8),
             prop::bool::weighted(0.05)),
            1..120,
        )
    ) {
        let limits = StoreLimits { rate_per_s: 9.0, concurrency: 6.0 };
        let names = || (0..5).map(|idx| idx.to_string());
        let mut now = Instant::now();
        let mut allocator = Allocator::new(limits, names(), now);
        let floor = guaranteed_limits(limits, 5);
        // The limits that each shard may use, and until when.
        let mut parts = [(floor, now); 5];
        for (shard, demand, pause_ms, is_received, is_replaced) in steps {
            now += Duration::from_millis(pause_ms);
            if is_replaced {
                allocator = Allocator::new(limits, names(), now);
            }
            let part = allocator.allocate(&shard.to_string(), demand, now);
            if is_received {
                parts[shard] = (part, now + ALLOTMENT_VALIDITY);
            }
            let rate: f64 = parts
                .iter()
                .map(|(part, until)| {
                    if *until > now { part.rate_per_s } else { floor.rate_per_s }
                })
                .sum();
            prop_assert!(rate <= limits.rate_per_s * 1.000_001, "{}", rate);
        }
    }
}
