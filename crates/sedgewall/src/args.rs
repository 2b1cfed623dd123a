//! Arguments of the command line.

use std::path::PathBuf;

use clap::{Args as ClapArgs, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Drives sedgewall: applies files, shows what is in force and what happens.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
pub(crate) struct Args {
    /// The platform, such as http://127.0.0.1:7000.
    #[arg(
        long,
        global = true,
        env = "SEDGEWALL_PLATFORM",
        default_value = "http://127.0.0.1:7000"
    )]
    pub(crate) platform: String,
    /// An instance's operator address; may be given more than once. Without
    /// it, all instances of the platform's list are asked.
    #[arg(long = "instance", global = true, env = "SEDGEWALL_INSTANCES")]
    #[arg(value_delimiter = ',')]
    pub(crate) instances: Vec<String>,
    /// How results are printed.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub(crate) output: Format,
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXAMPLES: &str = "\
Examples:
  sedgewall check halls/
  sedgewall diff halls/
  sedgewall apply halls/ --wait
  sedgewall status
  sedgewall timeline --request 4be1...
  sedgewall explain lineup-0042@3

Exit codes:
  0  done
  1  the platform or an instance did not do what was asked
  2  a file or an argument is at fault
  3  another operator applied first; nothing was written
  4  accepted, but not yet in force everywhere
  5  diff found differences";

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Checks files and reports every fault, without asking the platform.
    Check(Files),
    /// Puts files in force, as a whole and as a new version.
    Apply(Apply),
    /// Shows how files differ from the configuration in force.
    Diff(Files),
    /// Prints the configuration in force, as a file.
    Get,
    /// Shows all instances, leaders and engines.
    Status,
    /// Shows what happened, over all instances, causes first.
    Timeline(Filter),
    /// Says why an adapter is where it is.
    Explain(ExplainTarget),
    /// Tells an instance to finish its requests and stop.
    Drain(DrainTarget),
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Files to read as one configuration.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Files {
    /// Files, or folders whose .yaml files are read.
    #[arg(required = true)]
    pub(crate) paths: Vec<PathBuf>,
}

/// How to apply.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Apply {
    #[command(flatten)]
    pub(crate) files: Files,
    /// Waits until the new version is in force on every live instance.
    #[arg(long)]
    pub(crate) wait: bool,
    /// How long to wait, in seconds.
    #[arg(long, default_value_t = 10)]
    pub(crate) wait_s: u64,
    /// Applies only if this version is in force; 0 means none.
    #[arg(long)]
    pub(crate) base_version: Option<u64>,
    /// Your name, as it is kept with the version.
    #[arg(long = "as", env = "USER", default_value = "operator")]
    pub(crate) operator: String,
}

/// Which events to show.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Filter {
    /// Only those of a request, by its id.
    #[arg(long)]
    pub(crate) request: Option<String>,
    /// Only those of an adapter, version or shard.
    #[arg(long)]
    pub(crate) subject: Option<String>,
    /// Only those of an endpoint.
    #[arg(long)]
    pub(crate) endpoint: Option<String>,
    /// Only those of a kind, such as `load` or `lease`.
    #[arg(long)]
    pub(crate) kind: Option<String>,
    /// Only those of the last seconds.
    #[arg(long)]
    pub(crate) last_s: Option<u64>,
}

/// What to explain.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ExplainTarget {
    /// An adapter and its version, such as lineup-0042@3, or a request's id.
    pub(crate) what: String,
}

/// An instance.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct DrainTarget {
    /// The instance's name.
    pub(crate) instance: String,
}

/// Prints a completion script.
pub(crate) fn print_completions(shell: Shell) {
    let mut command = Args::command();
    clap_complete::generate(
        shell,
        &mut command,
        "sedgewall",
        &mut std::io::stdout(),
    );
}
