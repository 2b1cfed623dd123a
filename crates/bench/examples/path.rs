//! Measures what the path adds: pairs of calls, one straight to an engine and
//! one through an instance, in turn.

use std::{cell::RefCell, path::PathBuf, rc::Rc, time::Duration};

use clap::Parser;
use futures_util::StreamExt;
use http::Method;
use sedgewall_bench::load::measure::{Percentiles, Times};
use sedgewall_clock::Instant;
use sedgewall_transport::{CallError, HttpClient, client::Call};
use serde::Serialize;

/// Measures first tokens and gaps, straight and through an instance.
#[derive(Parser)]
struct Args {
    /// The instance's address.
    #[arg(long)]
    entry: String,
    /// An engine's address; it must hold the adapter that is asked for.
    #[arg(long)]
    engine: String,
    /// Pairs of calls.
    #[arg(long, default_value_t = 500)]
    pairs: u32,
    /// Calls of each kind per second.
    #[arg(long, default_value_t = 50.0)]
    rate_per_s: f64,
    /// Writes the figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Default)]
struct Kind {
    first: Times,
    between: Times,
}

#[derive(Serialize)]
struct Figures {
    direct: Percentiles,
    through: Percentiles,
    direct_between: Percentiles,
    through_between: Percentiles,
}

const MODEL: &str = "lineup-00001@1";
const TOKENS: u32 = 8;
const WITHIN: Duration = Duration::from_secs(30);

#[compio::main]
async fn main() -> Result<(), CallError> {
    let args = Args::parse();
    let http = HttpClient::new()?;
    let engine = find_engine(&args, &http).await?;
    let direct = Rc::new(RefCell::new(Kind::default()));
    let through = Rc::new(RefCell::new(Kind::default()));
    let gap = Duration::from_secs_f64(1.0 / args.rate_per_s / 2.0);
    let mut at = Instant::now();
    for _ in 0..args.pairs {
        for (address, kind) in [(&engine, &direct), (&args.entry, &through)] {
            at += gap;
            let left = at.saturating_duration_since(Instant::now());
            compio::time::sleep(left).await;
            let (http, address) = (http.clone(), address.clone());
            let kind = kind.clone();
            compio::runtime::spawn(async move {
                let _ = call(&http, &address, &kind).await;
            })
            .detach();
        }
    }
    compio::time::sleep(Duration::from_secs(2)).await;
    print(&args, &direct.borrow(), &through.borrow());
    Ok(())
}

/// Loads the adapter through the instance, and finds the engine that has it.
async fn find_engine(
    args: &Args,
    http: &HttpClient,
) -> Result<String, CallError> {
    let scratch = Rc::new(RefCell::new(Kind::default()));
    call(http, &args.entry, &scratch).await?;
    let (host, port) = args.engine.rsplit_once(':').unwrap_or(("", "0"));
    let first: u16 = port.parse().unwrap_or(0);
    for port in first..first + 32 {
        let address = format!("{host}:{port}");
        if call(http, &address, &scratch).await.is_ok() {
            return Ok(address);
        }
    }
    Err(CallError::Unreadable("no engine has the adapter".to_owned()))
}

async fn call(
    http: &HttpClient,
    address: &str,
    kind: &Rc<RefCell<Kind>>,
) -> Result<(), CallError> {
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"prompt\":\"p\",\"max_tokens\":{TOKENS},\
         \"stream\":true}}"
    );
    let url = format!("http://{address}/v1/completions");
    let sent = Instant::now();
    let call = Call::new(Method::POST, url).body(body);
    let answer = http.open(call, WITHIN).await?;
    if !answer.status().is_success() {
        return Err(CallError::Unreadable(answer.status().to_string()));
    }
    let mut chunks = std::pin::pin!(answer.chunks());
    let mut last: Option<Instant> = None;
    while let Some(chunk) = chunks.next().await {
        chunk?;
        let now = Instant::now();
        let mut kind = kind.borrow_mut();
        match last.replace(now) {
            None => kind.first.record(now - sent),
            Some(before) => kind.between.record(now - before),
        }
    }
    Ok(())
}

fn print(args: &Args, direct: &Kind, through: &Kind) {
    let figures = Figures {
        direct: direct.first.percentiles(),
        through: through.first.percentiles(),
        direct_between: direct.between.percentiles(),
        through_between: through.between.percentiles(),
    };
    let rows = [
        ("first token, direct", figures.direct),
        ("first token, through", figures.through),
        ("between, direct", figures.direct_between),
        ("between, through", figures.through_between),
    ];
    for (name, p) in rows {
        println!(
            "{name:<22} {:>6} p50 {:>8.3} p95 {:>8.3} p99 {:>8.3} ms",
            p.len,
            p.p50_us as f64 / 1_000.0,
            p.p95_us as f64 / 1_000.0,
            p.p99_us as f64 / 1_000.0
        );
    }
    if let Some(file) = &args.json {
        let json = serde_json::to_vec(&figures).unwrap_or_default();
        if let Err(err) = std::fs::write(file, json) {
            eprintln!("{}: {err}", file.display());
        }
    }
}
