//! The command-line arguments.

use std::path::PathBuf;

use clap::{Args as ClapArgs, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// The format in which results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// Text for people to read.
    Text,
    /// JSON for programs.
    Json,
}

/// Operates sedgewall: applies configuration files, and shows the
/// configuration in force and the state of the instances.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
pub(crate) struct Args {
    /// The URL of the platform, such as http://127.0.0.1:7000.
    #[arg(
        long,
        global = true,
        env = "SEDGEWALL_PLATFORM",
        default_value = "http://127.0.0.1:7000"
    )]
    pub(crate) platform: String,
    /// The operator address of an instance; may be given more than once.
    /// Without it, the live sedgewall instances of the platform's list that
    /// have an operator address are queried.
    #[arg(long = "instance", global = true, env = "SEDGEWALL_INSTANCES")]
    #[arg(value_delimiter = ',')]
    pub(crate) instances: Vec<String>,
    /// The format in which results are printed.
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
  sedgewall explain loop --instance 10.0.0.4:9464
  sedgewall poison list --instance 10.0.0.4:9464

Exit codes:
  0  done
  1  the command failed in another way, or its outcome is unknown
  2  a file or an argument is invalid
  3  another operator applied first; nothing was put in force
  4  accepted, but not yet in force everywhere
  5  diff found differences";

/// The command to run.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Validates files and reports every error, without calling the platform.
    Check(Files),
    /// Puts files in force together, as one new version.
    Apply(Apply),
    /// Shows how files differ from the configuration in force.
    Diff(Files),
    /// Prints the configuration in force, in the format of a file.
    Get,
    /// Shows the status of all instances, leaders and engines.
    Status,
    /// Shows the events of all instances, causes before their effects.
    Timeline(Filter),
    /// Explains an adapter's placement, why instances are late, or lists the
    /// events of a request.
    Explain(ExplainTarget),
    /// Lists or releases requests, and parts of prompts, that crash endpoints.
    #[command(subcommand)]
    Poison(Poison),
    /// Tells an instance to finish its requests and stop.
    Drain(DrainTarget),
    /// Prints a completion script for a shell.
    Completions {
        /// The shell that the script is for.
        shell: Shell,
    },
}

/// The files that are read together as one configuration.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Files {
    /// Files, or directories whose .yaml files are read.
    #[arg(required = true)]
    pub(crate) paths: Vec<PathBuf>,
}

/// The arguments of `apply`.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Apply {
    #[command(flatten)]
    pub(crate) files: Files,
    /// Waits until the new version is in force on every queried instance that
    /// is not leaving.
    #[arg(long)]
    pub(crate) wait: bool,
    /// The timeout of --wait, in seconds.
    #[arg(long, default_value_t = 10)]
    pub(crate) wait_s: u64,
    /// Applies only if this version is in force; 0 if no version is.
    #[arg(long)]
    pub(crate) base_version: Option<u64>,
    /// Your name, which is stored with the version.
    #[arg(long = "as", env = "USER", default_value = "operator")]
    pub(crate) operator: String,
}

/// The filter of the events that `timeline` shows.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct Filter {
    /// Only events of requests whose id (32 hex digits) contains this text.
    #[arg(long)]
    pub(crate) request: Option<String>,
    /// Only events whose subject (an adapter, a version or a shard) contains
    /// this text.
    #[arg(long)]
    pub(crate) subject: Option<String>,
    /// Only events whose endpoint's name contains this text.
    #[arg(long)]
    pub(crate) endpoint: Option<String>,
    /// Only events of exactly this kind, such as `load` or `lease`.
    #[arg(long)]
    pub(crate) kind: Option<String>,
    /// Only events of the last given number of seconds.
    #[arg(long)]
    pub(crate) last_s: Option<u64>,
}

/// The subject that `explain` explains.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct ExplainTarget {
    /// An adapter and its version, such as lineup-0042@3, or a request's id
    /// (32 hex digits) or a part of it, or `loop`: how late the event loops of
    /// the instances are, and which work makes them late.
    #[arg(id = "what", value_name = "WHAT")]
    pub(crate) subject: String,
}

/// What to do with requests that crash endpoints.
#[derive(Clone, Debug, Subcommand)]
pub(crate) enum Poison {
    /// Lists what is refused because it crashes endpoints.
    List,
    /// Has such requests sent again. One more crash has them refused again.
    Release(PoisonTarget),
}

/// What `poison release` releases.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct PoisonTarget {
    /// The digest (32 hex digits), or the id of a part of prompts, as `poison
    /// list` shows them.
    pub(crate) digest_or_part: String,
}

/// The instance that `drain` stops.
#[derive(ClapArgs, Clone, Debug)]
pub(crate) struct DrainTarget {
    /// The instance's name, or its address as given by --instance.
    pub(crate) instance: String,
}

/// Writes a completion script for `shell` to the standard output.
pub(crate) fn print_completions(shell: Shell) {
    let mut command = Args::command();
    clap_complete::generate(
        shell,
        &mut command,
        "sedgewall",
        &mut std::io::stdout(),
    );
}
