//! The load tool as a process.

use std::{
    cell::RefCell, path::PathBuf, process::ExitCode, rc::Rc, time::Duration,
};

use clap::Parser;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sedgewall_bench::load::{
    LoadReport, Measured, Profile, Target,
    completion::{self, Completion},
    service_call::{self, ServiceCall},
    target::MetricSums,
};
use sedgewall_clock::Instant;
use sedgewall_transport::CallError;

/// Plays a profile against running instances, open-loop, and checks every
/// answer against its own request.
#[derive(Parser)]
struct Args {
    /// The platform.
    #[arg(long, env = "SEDGEWALL_PLATFORM")]
    platform: String,
    /// Callers' addresses of instances, taken in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    entries: Vec<String>,
    /// brabant-spike, glk-storm or steady.
    #[arg(long, default_value = "steady")]
    profile: String,
    /// Replaces the phases by a constant rate of completions per second.
    #[arg(long)]
    rate_per_s: Option<f64>,
    /// The time of a constant rate, in seconds.
    #[arg(long, default_value_t = 20)]
    lasts_s: u64,
    /// Replaces the number of adapters that are asked for.
    #[arg(long)]
    adapters: Option<usize>,
    /// Replaces the mean number of tokens.
    #[arg(long)]
    mean_tokens: Option<f64>,
    /// Replaces the rate of service calls.
    #[arg(long)]
    service_per_s: Option<f64>,
    /// Replaces the seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Replaces the deadline, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Writes the report as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Draws the time to the first token.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Waits this long for answers after the last request, in seconds.
    #[arg(long, default_value_t = 60)]
    tail_s: u64,
    /// Does not ask engines what ran; for calls past sedgewall.
    #[arg(long)]
    no_runs: bool,
}

#[compio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args).await {
        Ok(report) if report.violations_len() == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("load: {err}");
            ExitCode::FAILURE
        }
    }
}

fn profile(args: &Args) -> Result<Profile, CallError> {
    let mut profile = Profile::named(&args.profile).ok_or_else(|| {
        CallError::Unreadable(format!("no profile {:?}", args.profile))
    })?;
    if let Some(rate) = args.rate_per_s {
        profile.set_rate(rate, Duration::from_secs(args.lasts_s));
    }
    if let Some(adapters) = args.adapters {
        profile.trace.adapters = adapters;
    }
    if let Some(tokens) = args.mean_tokens {
        profile.trace.mean_tokens = tokens;
    }
    if let Some(rate) = args.service_per_s {
        profile.service_per_s = rate;
    }
    if let Some(seed) = args.seed {
        profile.trace.seed = seed;
    }
    Ok(profile)
}

async fn run(args: &Args) -> Result<LoadReport, CallError> {
    let profile = profile(args)?;
    let target = Target::find(&args.platform, args.entries.clone()).await?;
    let target = Rc::new(target);
    let models = target.models().await?;
    let measured = Rc::new(RefCell::new(Measured::default()));
    let before = target.reports().await;
    let sums_before = target.metric_sums().await;
    let started = Instant::now();
    let services = compio::runtime::spawn(send_services(
        profile.clone(),
        target.clone(),
        measured.clone(),
    ));
    send_completions(args, &profile, &target, &models, &measured).await;
    let _ = services.await;
    wait_for_answers(args, &measured).await;
    let took_s = started.elapsed().as_secs_f64();
    if !args.no_runs {
        let runs = target.runs().await;
        measured.borrow_mut().check_runs(&runs);
    }
    let after = target.reports().await;
    let sums = target.metric_sums().await;
    let doubled: u64 =
        target.service_stats().await.iter().map(|stats| stats.doubled).sum();
    let measured = measured.borrow();
    let mut report = report(&profile, &measured, took_s);
    report.batch_efficiency = LoadReport::efficiency(&before, &after);
    report.engine_violations =
        doubled + after.iter().map(|report| report.violations).sum::<u64>();
    add_sums(&mut report, &sums_before, &sums);
    report.print();
    write_files(args, &profile, &measured, &report)?;
    Ok(report)
}

fn report(profile: &Profile, measured: &Measured, took_s: f64) -> LoadReport {
    LoadReport {
        profile: profile.name.clone(),
        seed: profile.trace.seed,
        sent: measured.sent,
        took_s,
        tokens: measured.tokens,
        first_token: measured.first_token.percentiles(),
        between_tokens: measured.between_tokens.percentiles(),
        whole: measured.whole.percentiles(),
        service: measured.service.percentiles(),
        claimed: measured.claimed.percentiles(),
        outcomes: measured.outcomes.clone(),
        violations: measured.violations.clone(),
        broken: measured.broken,
        longest_gap_ms: measured.longest_gap.as_millis() as u64,
        ..LoadReport::default()
    }
}

fn add_sums(report: &mut LoadReport, before: &MetricSums, after: &MetricSums) {
    report.load_stall_s = after.load_stall_s - before.load_stall_s;
    report.stalled = after.stalled - before.stalled;
    report.loads = after.loads - before.loads;
}

fn write_files(
    args: &Args,
    profile: &Profile,
    measured: &Measured,
    report: &LoadReport,
) -> Result<(), CallError> {
    let fail = |err: String| CallError::Unreadable(err);
    if let Some(file) = &args.json {
        let json = serde_json::to_vec_pretty(report)
            .map_err(|err| fail(err.to_string()))?;
        std::fs::write(file, json).map_err(|err| fail(err.to_string()))?;
    }
    if let Some(file) = &args.plot {
        let file = file.display().to_string();
        measured
            .plot(&profile.name, &file)
            .map_err(|err| fail(err.to_string()))?;
    }
    Ok(())
}

/// Sends each request at its time, whatever became of the ones before.
async fn send_completions(
    args: &Args,
    profile: &Profile,
    target: &Rc<Target>,
    models: &[String],
    measured: &Rc<RefCell<Measured>>,
) {
    let trace = profile.trace.build();
    let mut rng = ChaCha8Rng::seed_from_u64(profile.trace.seed ^ 1);
    let started = Instant::now();
    for (idx, request) in trace.requests.iter().enumerate() {
        sleep_until(started + request.arrives).await;
        let is_unrepeatable =
            rng.random::<f64>() < profile.unrepeatable_completions;
        let key =
            is_unrepeatable.then(|| format!("c-{}-{idx}", profile.trace.seed));
        let within =
            args.deadline_ms.map_or(request.within, Duration::from_millis);
        let completion = Completion {
            entry: target.entries[idx % target.entries.len()].clone(),
            model: models[request.adapter % models.len()].clone(),
            prompt: format!("prompt {idx}"),
            tokens: u64::from(request.tokens),
            priority: request.priority,
            caller: format!("caller-{}", request.caller),
            within,
            is_stream: rng.random::<f64>() < profile.stream_share,
            unrepeatable_key: key,
        };
        let sent =
            completion::run(target.clone(), measured.clone(), completion);
        compio::runtime::spawn(sent).detach();
    }
}

async fn send_services(
    profile: Profile,
    target: Rc<Target>,
    measured: Rc<RefCell<Measured>>,
) {
    if profile.service_per_s <= 0.0 {
        return;
    }
    let seed = profile.trace.seed;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 2);
    let lasts: Duration =
        profile.trace.phases.iter().map(|phase| phase.lasts).sum();
    let started = Instant::now();
    let mut at = Duration::ZERO;
    let mut idx = 0usize;
    loop {
        let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-unit.ln() / profile.service_per_s);
        if at >= lasts {
            return;
        }
        sleep_until(started + at).await;
        idx += 1;
        let is_unrepeatable = rng.random::<f64>() < profile.unrepeatable_share;
        let is_doubled =
            is_unrepeatable && rng.random::<f64>() < profile.doubled_share;
        let key = is_unrepeatable.then(|| format!("s-{seed}-{idx}"));
        // A doubled key goes to two instances at the same moment.
        for turn in 0..=usize::from(is_doubled) {
            let entry = (idx + turn) % target.entries.len();
            let call = ServiceCall {
                entry: target.entries[entry].clone(),
                service: profile.service.clone(),
                unrepeatable_key: key.clone(),
            };
            let sent =
                service_call::run(target.clone(), measured.clone(), call);
            compio::runtime::spawn(sent).detach();
        }
    }
}

async fn wait_for_answers(args: &Args, measured: &Rc<RefCell<Measured>>) {
    let until = Instant::now() + Duration::from_secs(args.tail_s);
    loop {
        let open = {
            let measured = measured.borrow();
            let answered: u64 = measured.outcomes.values().sum::<u64>()
                + measured.violations.values().sum::<u64>()
                + measured.broken;
            measured.sent.saturating_sub(answered)
        };
        if open == 0 || Instant::now() >= until {
            if open > 0 {
                eprintln!("load: {open} requests had no answer at the end");
                measured.borrow_mut().broken += open;
            }
            return;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        compio::time::sleep(left).await;
    }
}
