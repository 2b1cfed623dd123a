//! Replays a recorded sequence of choices and plans without a split.

use std::{fmt::Write, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::AdapterKey,
    demand::Demand,
    engine_pools::{RequestClass, WaitingClasses},
    load_rate_limiter::LoadRateLimiter,
    load_times::LoadTimes,
    note::Placed,
    order::Task,
    placement::PlacementPlanner,
    view::{Choice, FleetView, Need},
};

mod common;
use common::{SERVICE, endpoint, key, need, report, routing};

/// The choices and plans of the release before engine pools (66957e1), of the
/// same sequence without [`report_classes`].
const RECORDED: &str = include_str!("fixtures/unsplit.txt");

const ENGINES: usize = 12;
const ADAPTERS: u32 = 70;
const STEPS: u32 = 1_000;
const LONG_PROMPT: u64 = 9_190;

/// The number of steps after which a load has ended for certain, which is four
/// times as long as expected.
const LOAD_STEPS: u32 = 58;

/// Reports what instances report for engine pools.
fn report_classes(
    demand: &mut Demand,
    adapter: u32,
    tokens: u64,
    now: Instant,
) {
    let mut classes = WaitingClasses::default();
    if tokens == LONG_PROMPT {
        demand.add_long_tokens(&key(adapter), tokens, now);
        classes.insert(RequestClass::Long);
    } else {
        classes.insert(RequestClass::Short);
    }
    demand.add_waiting_classes(&key(adapter), classes);
}

fn describe(choice: &Choice) -> String {
    match choice {
        Choice::Send(target) => target.id.clone(),
        Choice::Loading(left) => format!("loading {}", left.as_millis()),
        Choice::Busy(None) => "busy".to_owned(),
        Choice::Busy(Some(left)) => format!("busy {}", left.as_millis()),
        Choice::Absent => "absent".to_owned(),
        Choice::Full => "full".to_owned(),
        Choice::NoEndpoint => "none".to_owned(),
    }
}

/// Plays requests of both classes for more adapters than the engines hold,
/// and returns each choice and each order.
fn play() -> String {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(11);
    let mut view = FleetView::new("z1");
    let ids: Vec<String> = (0..ENGINES).map(|n| format!("e{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        let zone = if n % 3 == 0 { "z2" } else { "z1" };
        view.apply_entry(endpoint(id, zone, &[]), start);
        view.apply_report(id, &report(&[], 0), start);
    }
    for n in 1..40_u64 {
        let took = Duration::from_secs_f64(n as f64 * 250.0 / 38_400.0);
        view.observe_first_event(SERVICE, n * 250, took);
    }
    let limiter = LoadRateLimiter::new(Duration::from_secs(5), 1.1);
    let mut planner = PlacementPlanner::new(1, limiter, start);
    let mut times = LoadTimes::default();
    let mut demand = Demand::default();
    let mut running = Vec::new();
    let mut loading: Vec<(u32, String, AdapterKey)> = Vec::new();
    let mut played = String::new();
    for step in 0..STEPS {
        let now = start + Duration::from_millis(u64::from(step) * 20);
        // Few adapters get most of the requests.
        let of_all: f64 = random.random();
        let adapter = (of_all * of_all * f64::from(ADAPTERS)) as u32;
        let prompt_tokens = match random.random_bool(0.45) {
            true => LONG_PROMPT,
            false => 826,
        };
        let key = key(adapter);
        let need = Need {
            draw: random.random(),
            prompt_tokens,
            may_wait: random.random_bool(0.5),
            ..need(&key)
        };
        demand.add(&key, 1, ["z1", "z2"][step as usize % 2], now);
        let choice = view.choose(need, now);
        writeln!(played, "{step} a{adapter} {}", describe(&choice))
            .expect("written");
        match choice {
            Choice::Send(target) => {
                let state = view.get_mut(&target.id).expect("an engine");
                state.own_work.begin(Some(&key), prompt_tokens);
                let takes = random.random_range(10..120);
                running.push((step + takes, target.id, key, prompt_tokens));
            }
            _ => demand.mark_waiting(&key, random.random_range(0..3)),
        }
        report_classes(&mut demand, adapter, prompt_tokens, now);
        for (_, id, key, tokens) in
            running.extract_if(.., |(until, ..)| *until <= step)
        {
            let state = view.get_mut(&id).expect("an engine");
            state.own_work.prompt_read(tokens);
            state.own_work.end(Some(&key));
        }
        // An adapter whose load is not confirmed is not evicted.
        for (_, id, key) in
            loading.extract_if(.., |(until, ..)| *until <= step)
        {
            view.confirm_load(&id, &key, true, now);
        }
        if step % 8 != 7 {
            continue;
        }
        let orders =
            planner.plan(&routing(), &mut view, &mut demand, &mut times, now);
        for order in orders {
            let what = match &order.task {
                Task::Load(key, ..) => format!("load {key}"),
                Task::Unload(key) => format!("unload {key}"),
                Task::Sync => "sync".to_owned(),
                Task::ConfirmLoads => continue,
                Task::LoadModel(name) => format!("load {name}"),
            };
            writeln!(played, "{step} {} {what}", order.endpoint)
                .expect("written");
            let Task::Load(key, version) = order.task else { continue };
            loading.push((
                step + LOAD_STEPS,
                order.endpoint.clone(),
                key.clone(),
            ));
            view.apply_placed(
                &Placed {
                    epoch: 1,
                    endpoint: order.endpoint,
                    key,
                    version,
                    ready_in_ms: 290,
                    is_cold: order.is_cold,
                    born: None,
                },
                now,
            );
        }
    }
    played
}

/// Guards against a choice or a plan that depends on engine pools although
/// the engines are not split.
#[test]
fn without_a_split_choices_and_plans_are_those_of_the_release_before() {
    let played = play();
    if let Ok(path) = std::env::var("SEDGEWALL_RECORD_UNSPLIT") {
        std::fs::write(path, &played).expect("written");
    }
    for (played, recorded) in played.lines().zip(RECORDED.lines()) {
        assert_eq!(played, recorded);
    }
    assert_eq!(played.len(), RECORDED.len());
}
