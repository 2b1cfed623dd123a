//! Compares ways to choose among the endpoints of a plain service, by sums as
//! old as those in a fleet.

use clap::Parser;
use sedgewall_bench::herd::{Outcome, Way, loads, play};

/// Prints, for each load and way, the part of requests in time and the part of
/// arrivals rejected, both in 100, over seeds.
#[derive(Parser)]
struct Args {
    /// Only loads whose name holds this.
    #[arg(long, default_value = "")]
    only: String,
    /// How many seeds.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
}

fn main() {
    let args = Args::parse();
    println!("| load | {} |", Way::ALL.map(|w| format!("{w:?}")).join(" | "));
    for load in loads().iter().filter(|l| l.name.contains(&args.only)) {
        let cells = Way::ALL.map(|way| {
            let played: Vec<Outcome> =
                (0..args.seeds).map(|seed| play(load, way, seed)).collect();
            let mean = |of: fn(&Outcome) -> f64| {
                100.0 * played.iter().map(of).sum::<f64>()
                    / played.len() as f64
            };
            let in_time = mean(Outcome::in_time_part);
            let rejected = mean(Outcome::rejected_part);
            format!("{in_time:.1}, {rejected:.1}")
        });
        println!("| {} | {} |", load.name, cells.join(" | "));
    }
}
