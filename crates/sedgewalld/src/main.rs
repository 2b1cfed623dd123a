//! `sedgewalld`: the daemon between callers and endpoints.
//!
//! Each process runs one event loop on one thread. The crates below make the
//! decisions and encode messages; the modules here connect them to sockets and
//! clocks. All instances run the same code: each accepts requests from callers
//! (the entry role), and may become the leader of shards at run time.
//!
//! If the settings have a `fleet` section, `fleet::daemon` runs instead of
//! [`daemon`]: there are no shard leaders then, but each instance routes its
//! callers' requests to endpoints itself, and one lease holder orders the
//! loads of adapters.

mod call;
mod claims;
mod config_sync;
mod daemon;
mod election;
mod entry;
mod entry_messages;
mod event_loop;
mod explain;
mod fleet;
mod heartbeat;
mod inbox;
mod instance;
mod instance_list;
mod leader;
mod leader_tasks;
mod operator;
mod orders;
mod process;
mod relay;
mod requests;
mod responses;
mod routes;
mod services;
mod signals;
mod stop_end;
mod store;

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use log::LevelFilter;
use sedgewall_protocol::settings::{LogLevel, Settings, SettingsError};
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// The exit code for settings that cannot be read or are invalid.
const EXIT_SETTINGS: u8 = 2;

/// The exit code for a daemon that failed to start.
const EXIT_FAILED: u8 = 1;

/// Serves LoRA adapters: routes requests from callers to model engines.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
struct Args {
    /// Path of the settings file.
    #[arg(long, env = "SEDGEWALL_SETTINGS")]
    settings: PathBuf,
    /// Overrides the setting `instance`.
    #[arg(long, env = "SEDGEWALL_INSTANCE")]
    instance: Option<String>,
    /// Overrides the setting `zone`.
    #[arg(long, env = "SEDGEWALL_ZONE")]
    zone: Option<String>,
    /// Overrides the setting `log_level`.
    #[arg(long, env = "SEDGEWALL_LOG_LEVEL")]
    log_level: Option<String>,
    /// Checks the settings and exits.
    #[arg(long)]
    check_settings: bool,
    /// Prints the effective settings, defaults included, and exits.
    #[arg(long)]
    print_settings: bool,
}

const EXAMPLES: &str = "\
Examples:
  sedgewalld --settings entry-1.yaml
  sedgewalld --settings entry-1.yaml --check-settings
  SEDGEWALL_INSTANCE=entry-2 sedgewalld --settings entry.yaml

Exit codes: 0 stopped as planned, 1 failed, 2 settings cannot be used.";

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match load_settings(&args) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("sedgewalld: {err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.print_settings {
        print!("{}", settings.to_yaml());
        return ExitCode::SUCCESS;
    }
    if args.check_settings {
        println!("{}: settings are valid.", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let ended = match settings.fleet.clone() {
        Some(fleet) => fleet::daemon::run(settings, fleet),
        None => {
            start_log(&settings.log_level);
            daemon::run(settings)
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("daemon: {err}.");
            eprintln!("sedgewalld: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn load_settings(args: &Args) -> Result<Settings, SettingsError> {
    let mut settings = Settings::from_file(&args.settings)?;
    if let Some(instance) = &args.instance {
        settings.instance.clone_from(instance);
    }
    if let Some(zone) = &args.zone {
        settings.zone.clone_from(zone);
    }
    if let Some(level) = &args.log_level {
        settings.log_level.clone_from(level);
    }
    settings.check(&args.settings.display().to_string())?;
    Ok(settings)
}

fn start_log(level: &str) {
    let filter = match level.parse() {
        Ok(LogLevel::Error) => LevelFilter::Error,
        Ok(LogLevel::Warn) => LevelFilter::Warn,
        Ok(LogLevel::Debug) => LevelFilter::Debug,
        Ok(LogLevel::Info) | Err(()) => LevelFilter::Info,
    };
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("sedgewall")
        .build();
    let terminal = TerminalMode::Stderr;
    // Setting a second logger fails; the first one stays in use.
    let _ = TermLogger::init(filter, config, terminal, ColorChoice::Never);
}
