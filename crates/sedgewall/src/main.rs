//! `sedgewall`: the operators' command line.
//!
//! Operators configure sedgewall by editing files and applying all of them as
//! one version. The commands read and write the configuration through the
//! platform's object API, and read the current state from the instances'
//! operator ports.

mod apply;
mod args;
mod cluster;
mod difference;
mod error;
mod files;
mod output;
mod poison;
mod store;
mod views;

use std::process::ExitCode;

use clap::Parser;

use crate::{
    args::{Args, Command},
    error::CommandError,
};

fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("sedgewall: cannot start the async runtime: {err}");
            return ExitCode::from(error::EXIT_FAILED);
        }
    };
    match runtime.block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("sedgewall: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

async fn run(args: Args) -> Result<(), CommandError> {
    let format = args.output;
    match &args.command {
        Command::Check(files) => files::check(files, format),
        Command::Apply(apply) => apply::run(&args, apply).await,
        Command::Diff(files) => difference::run(&args, files).await,
        Command::Get => store::print(&args).await,
        Command::Status => views::status(&args).await,
        Command::Timeline(filter) => views::timeline(&args, filter).await,
        Command::Explain(target) => views::explain(&args, target).await,
        Command::Poison(args::Poison::List) => poison::list(&args).await,
        Command::Poison(args::Poison::Release(target)) => {
            poison::release(&args, target).await
        }
        Command::Drain(target) => views::drain(&args, target).await,
        Command::Completions { shell } => {
            args::print_completions(*shell);
            Ok(())
        }
    }
}
