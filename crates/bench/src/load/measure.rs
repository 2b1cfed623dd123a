//! What the load tool measures.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use sedgewall_clock::Instant;
use sedgewall_protocol::{Problem, RunState, engine::EngineReport};
use serde::Serialize;

use super::check::Violation;
use crate::{
    engine::Run,
    replay::plot::{Line, Plot, PlotError},
};

/// Percentiles of a time, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// How many were measured.
    pub len: u64,
    /// Half of them.
    pub p50_us: u64,
    /// 95 in 100.
    pub p95_us: u64,
    /// 99 in 100.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// The longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Significant digits of a time; finer than the clock's noise.
const DIGITS: u8 = 3;

/// Times of one kind.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        Times(
            Histogram::new_with_bounds(1, MAX_TIME_US, DIGITS).unwrap_or_else(
                |err| panic!("the bounds are constant and sound: {err}"),
            ),
        )
    }
}

impl Times {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Returns the percentiles.
    pub fn percentiles(&self) -> Percentiles {
        Percentiles {
            len: self.0.len(),
            p50_us: self.0.value_at_quantile(0.50),
            p95_us: self.0.value_at_quantile(0.95),
            p99_us: self.0.value_at_quantile(0.99),
            max_us: self.0.max(),
        }
    }
}

/// One first token, for the plot.
#[derive(Clone, Copy, Debug)]
struct FirstToken {
    at: Duration,
    took: Duration,
}

/// Everything that was measured.
#[derive(Debug)]
pub struct Measured {
    started: Instant,
    first_tokens: Vec<FirstToken>,
    /// From sending to the first token.
    pub first_token: Times,
    /// Between tokens.
    pub between_tokens: Times,
    /// From sending to the end.
    pub whole: Times,
    /// Calls of plain services.
    pub service: Times,
    /// Calls of plain services whose key was claimed first.
    pub claimed: Times,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Broken rules.
    pub violations: BTreeMap<Violation, u64>,
    /// Ids that were said not to have run.
    pub not_run: Vec<String>,
    /// Requests sent.
    pub sent: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Errors of the connection itself.
    pub broken: u64,
    last_first: Option<Instant>,
    /// The longest time without a first token while the load ran.
    pub longest_gap: Duration,
}

impl Default for Measured {
    fn default() -> Measured {
        Measured {
            started: Instant::now(),
            first_tokens: Vec::new(),
            first_token: Times::default(),
            between_tokens: Times::default(),
            whole: Times::default(),
            service: Times::default(),
            claimed: Times::default(),
            outcomes: BTreeMap::new(),
            violations: BTreeMap::new(),
            not_run: Vec::new(),
            sent: 0,
            tokens: 0,
            broken: 0,
            last_first: None,
            longest_gap: Duration::ZERO,
        }
    }
}

impl Measured {
    /// Counts an outcome.
    pub fn outcome(&mut self, name: impl Into<String>) {
        *self.outcomes.entry(name.into()).or_default() += 1;
    }

    /// Counts a broken rule.
    pub fn violation(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
    }

    /// Notes a first token.
    pub fn first(&mut self, took: Duration) {
        let now = Instant::now();
        let at = now - self.started;
        self.first_tokens.push(FirstToken { at, took });
        self.first_token.record(took);
        if let Some(last) = self.last_first {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        self.last_first = Some(now);
    }

    /// Notes a problem document.
    pub fn problem(&mut self, body: &[u8]) {
        let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
            self.outcome("unreadable");
            return;
        };
        if problem.run_state == RunState::NotRun {
            self.not_run.push(problem.request_id.clone());
        }
        let kind = problem.kind.rsplit('/').next().unwrap_or("").to_owned();
        self.outcome(kind);
    }

    /// Compares what was said with what ran.
    pub fn check_runs(&mut self, runs: &[Run]) {
        let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
        let mut by_key: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs {
            *by_id.entry(run.id.as_str()).or_default() += 1;
            if !run.is_repeatable {
                *by_key.entry(run.key.as_str()).or_default() += 1;
            }
        }
        let ran_after_all = self
            .not_run
            .iter()
            .filter(|id| by_id.contains_key(id.as_str()))
            .count();
        let ran_twice = by_key.values().filter(|times| **times > 1).count();
        for _ in 0..ran_after_all {
            self.violation(Violation::RanAfterAll);
        }
        for _ in 0..ran_twice {
            self.violation(Violation::RanTwice);
        }
    }

    /// Draws the time to the first token over the time of the load.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn plot(&self, title: &str, file: &str) -> Result<(), PlotError> {
        let mut by_second: BTreeMap<u64, Vec<Duration>> = BTreeMap::new();
        for first in &self.first_tokens {
            by_second.entry(first.at.as_secs()).or_default().push(first.took);
        }
        let line = |name: &str, part: f64| {
            let points = by_second.iter().map(|(second, times)| {
                let mut times = times.clone();
                times.sort_unstable();
                let idx = ((times.len() - 1) as f64 * part) as usize;
                (*second as f64, times[idx].as_secs_f64() * 1_000.0)
            });
            Line { name: name.to_owned(), points: points.collect() }
        };
        let plot = Plot {
            title: title.to_owned(),
            x_label: "seconds".to_owned(),
            y_label: "time to the first token, ms".to_owned(),
            lines: vec![line("p50", 0.5), line("p95", 0.95)],
        };
        plot.write(file)
    }
}

/// The report of one load, as JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// The profile.
    pub profile: String,
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub sent: u64,
    /// How long it took, in seconds.
    pub took_s: f64,
    /// Tokens received.
    pub tokens: u64,
    /// From sending to the first token.
    pub first_token: Percentiles,
    /// Between tokens.
    pub between_tokens: Percentiles,
    /// From sending to the end.
    pub whole: Percentiles,
    /// Calls of plain services.
    pub service: Percentiles,
    /// Calls of plain services whose key was claimed first.
    pub claimed: Percentiles,
    /// Answers by outcome; `served` are whole.
    pub outcomes: BTreeMap<String, u64>,
    /// Broken rules.
    pub violations: BTreeMap<Violation, u64>,
    /// Errors of the connection itself.
    pub broken: u64,
    /// Load stalls as leaders measured them, in seconds.
    pub load_stall_s: f64,
    /// Requests that waited for a load.
    pub stalled: f64,
    /// Load orders.
    pub loads: f64,
    /// How full the engines' batches ran, from 0 to 1.
    pub batch_efficiency: f64,
    /// Rules that stand-in engines saw broken.
    pub engine_violations: u64,
    /// The longest time without a first token, in milliseconds.
    pub longest_gap_ms: u64,
}

impl LoadReport {
    /// Returns the number of broken rules, seen by anybody.
    pub fn violations_len(&self) -> u64 {
        self.violations.values().sum::<u64>() + self.engine_violations
    }

    /// Returns how full batches ran between two sets of reports.
    pub fn efficiency(before: &[EngineReport], after: &[EngineReport]) -> f64 {
        let sum = |all: &[EngineReport]| {
            all.iter().fold((0u64, 0u64), |(tokens, seats), report| {
                (tokens + report.tokens, seats + report.step_seats)
            })
        };
        let (tokens_before, seats_before) = sum(before);
        let (tokens, seats) = sum(after);
        let seats = seats.saturating_sub(seats_before).max(1);
        tokens.saturating_sub(tokens_before) as f64 / seats as f64
    }

    /// Prints the report for people.
    pub fn print(&self) {
        let ms = |us: u64| us as f64 / 1_000.0;
        println!(
            "{}: {} requests in {:.1} s, {} tokens, seed {}",
            self.profile, self.sent, self.took_s, self.tokens, self.seed
        );
        let rows = [
            ("first token", self.first_token),
            ("between tokens", self.between_tokens),
            ("whole answer", self.whole),
            ("plain service", self.service),
            ("claimed call", self.claimed),
        ];
        for (name, p) in rows {
            println!(
                "  {name:<15} {:>7} p50 {:>9.3} p95 {:>9.3} p99 {:>9.3} max \
                 {:>9.3} ms",
                p.len,
                ms(p.p50_us),
                ms(p.p95_us),
                ms(p.p99_us),
                ms(p.max_us)
            );
        }
        println!(
            "  load stall      {:.1} s over {} requests, {} loads; batch \
             efficiency {:.3}; longest gap {} ms",
            self.load_stall_s,
            self.stalled,
            self.loads,
            self.batch_efficiency,
            self.longest_gap_ms
        );
        for (outcome, len) in &self.outcomes {
            println!("  {outcome:<22} {len}");
        }
        println!("  connections broken     {}", self.broken);
        println!(
            "  violations             {} {:?}",
            self.violations_len(),
            self.violations
        );
    }
}
