//! `sedgewall check`, and reading configuration files for other commands.

use sedgewall_coordination::config_version::ChunkedConfig;
use sedgewall_protocol::file::{self, FileDiagnostic};
use sedgewall_state::config::Config;
use serde::Serialize;

use crate::{
    args::{Files, Format},
    error::CommandError,
    output,
};

#[derive(Serialize)]
struct CheckReport {
    is_sound: bool,
    adapters_len: usize,
    faults: Vec<FileDiagnostic>,
    /// Why a configuration without faults cannot be applied.
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<String>,
}

/// Validates files. Prints a summary if they are valid, or a JSON report, and
/// returns the errors otherwise.
///
/// The JSON report is also printed if the files have errors, or if the
/// configuration exceeds the size limits of the platform's objects.
pub(crate) fn check(
    files: &Files,
    format: Format,
) -> Result<(), CommandError> {
    match (read(files), format) {
        (Ok(config), Format::Json) => output::json(&CheckReport {
            is_sound: true,
            adapters_len: config.adapters.len(),
            faults: Vec::new(),
            cause: None,
        }),
        (Ok(config), Format::Text) => output::line(&format!(
            "valid: {} base models, {} adapters, {} endpoint groups",
            config.base_models.len(),
            config.adapters.len(),
            config.endpoint_groups.len()
        )),
        (Err(CommandError::Files(err)), Format::Json) => {
            output::json(&CheckReport {
                is_sound: false,
                adapters_len: 0,
                faults: err.diagnostics.clone(),
                cause: None,
            })?;
            Err(CommandError::Files(err))
        }
        (Err(CommandError::Config(err)), Format::Json) => {
            output::json(&CheckReport {
                is_sound: false,
                adapters_len: 0,
                faults: Vec::new(),
                cause: Some(err.to_string()),
            })?;
            Err(CommandError::Config(err))
        }
        (Err(err), _) => Err(err),
    }
}

/// Reads files as one configuration, and checks that it is valid and fits the
/// size limits of the platform's objects.
pub(crate) fn read(files: &Files) -> Result<Config, CommandError> {
    let sources = file::read_paths(&files.paths)?;
    let config = file::parse(&sources)?;
    ChunkedConfig::from_config(&config)?;
    Ok(config)
}
