//! The time that the policy takes for a request and for a tick, in shards of
//! 8, 32 and 128 engines.

#![allow(missing_docs, reason = "criterion's macro makes a public function")]

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sedgewall_clock::Instant;
use sedgewall_state::{
    AdapterIdx, Priority, Shard, ShardAction,
    budget::StoreLimits,
    queue::Request,
    shard::{PolicySettings, RequestEnd},
};

const SLOTS: usize = 8;
const SEATS: u32 = 32;

struct Bench {
    shard: Shard,
    now: Instant,
    next: u128,
    adapters: u32,
    actions: Vec<ShardAction>,
}

impl Bench {
    /// Returns a shard whose slots all hold an adapter that has been
    /// requested.
    fn new(engines: usize, adapters: u32) -> Bench {
        let now = Instant::now();
        let limits = StoreLimits { rate_per_s: 1e9, concurrency: 1e6 };
        let mut shard = Shard::new(PolicySettings::default(), limits, now);
        for _ in 0..adapters {
            shard.add_adapter();
        }
        for engine in 0..engines {
            let name = engine.to_string();
            let idx = shard.add_engine(&name, SLOTS, SEATS, now);
            shard.apply_report(idx, &[], now, now, &mut Vec::new());
        }
        let actions = Vec::new();
        let mut bench = Bench { shard, now, next: 0, adapters, actions };
        for adapter in 0..(engines * SLOTS) as u32 {
            bench.run_cold_request(adapter);
        }
        bench.now += Duration::from_secs(1);
        bench
    }

    fn submit(&mut self, adapter: AdapterIdx) -> u128 {
        self.next += 1;
        let request = Request {
            id: self.next,
            adapter,
            priority: Priority::Normal,
            caller_hash: u64::from(adapter),
            submitted: self.now,
            deadline: self.now + Duration::from_secs(10),
            had_available_replica: false,
        };
        self.actions.clear();
        self.shard.submit(request, self.now, &mut self.actions);
        self.next
    }

    /// Submits and finishes a request for an adapter that an engine holds.
    fn run_resident_request(&mut self, adapter: AdapterIdx) {
        let id = self.submit(adapter);
        let end = RequestEnd::Finished;
        self.shard.finish(id, end, self.now, &mut self.actions);
        black_box(&self.actions);
    }

    /// Submits a request for an adapter that no engine holds, completes its
    /// load, and finishes the request.
    fn run_cold_request(&mut self, adapter: AdapterIdx) {
        let id = self.submit(adapter);
        let order = self.actions.iter().find_map(|action| match action {
            ShardAction::Load(order) => Some(*order),
            _ => None,
        });
        if let Some(order) = order {
            self.shard.load_finished(
                order.engine,
                order.adapter,
                true,
                self.now,
                &mut self.actions,
            );
        }
        let end = RequestEnd::Finished;
        self.shard.finish(id, end, self.now, &mut self.actions);
    }
}

fn decisions(criterion: &mut Criterion) {
    for adapters in [5_000u32, 24_000] {
        for engines in [8usize, 32, 128] {
            let size = format!("{engines} engines, {adapters} adapters");
            let loaded = (engines * SLOTS) as u32;
            let mut bench = Bench::new(engines, adapters);
            let mut iteration = 0u32;
            criterion.bench_with_input(
                BenchmarkId::new("resident request", &size),
                &loaded,
                |b, loaded| {
                    b.iter(|| {
                        iteration = iteration.wrapping_add(7);
                        bench.run_resident_request(iteration % loaded);
                    });
                },
            );
            let mut bench = Bench::new(engines, adapters);
            let mut iteration = 0u32;
            criterion.bench_with_input(
                BenchmarkId::new("cold request with load", &size),
                &loaded,
                |b, loaded| {
                    b.iter(|| {
                        iteration = iteration.wrapping_add(1);
                        bench.now += Duration::from_secs(1);
                        let rest = bench.adapters - loaded;
                        bench.run_cold_request(loaded + iteration % rest);
                    });
                },
            );
            let mut bench = Bench::new(engines, adapters);
            criterion.bench_with_input(
                BenchmarkId::new("tick", &size),
                &loaded,
                |b, _| {
                    b.iter(|| {
                        bench.now += Duration::from_millis(50);
                        bench.actions.clear();
                        bench.shard.tick(bench.now, &mut bench.actions);
                    });
                },
            );
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = decisions
}
criterion_main!(benches);
