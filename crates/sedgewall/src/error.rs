//! The errors of commands and their exit codes.

use sedgewall_coordination::config_version::ConfigError;
use sedgewall_protocol::file::FileError;
use sedgewall_state::ConfigVersion;
use sedgewall_transport::{CallError, PlatformError};

/// Exit code: the command failed in a way that has no exit code of its own, or
/// its outcome is unknown.
pub(crate) const EXIT_FAILED: u8 = 1;

/// Exit code: a file is invalid. clap exits with the same code for invalid
/// arguments.
pub(crate) const EXIT_FILES: u8 = 2;

/// Exit code: another operator applied a configuration first.
pub(crate) const EXIT_CONFLICT: u8 = 3;

/// Exit code: the configuration was accepted, but is not yet in force on every
/// queried instance that is not leaving.
pub(crate) const EXIT_NOT_YET_IN_FORCE: u8 = 4;

/// Exit code: `diff` found differences.
pub(crate) const EXIT_DIFFERS: u8 = 5;

/// Error of a command.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum CommandError {
    /// {0}
    Files(FileError),
    /// cannot prepare the configuration: {0}
    Config(ConfigError),
    /// {0}
    Platform(PlatformError),
    /// cannot set up HTTP: {0}
    Http(CallError),
    /// {target}: {cause}
    Unreachable {
        /// The address of the instance.
        target: String,
        /// Why the instance did not answer.
        cause: String,
    },
    /// {target}: {cause}
    Instance {
        /// The instance, adapter or address that the command was for.
        target: String,
        /// Why the command failed.
        cause: String,
    },
    /// the configuration was changed to version {0} by {1} in the meantime; nothing was put in force. Run `sedgewall diff` and apply again
    VersionConflict(ConfigVersion, String),
    /// version {version} was accepted, but is not yet in force on: {missing}
    NotYetInForce {
        /// The version that was accepted.
        version: ConfigVersion,
        /// The instances on which it is not in force, separated by commas.
        missing: String,
    },
    /// the files differ from the configuration in force
    Differs,
    /// no configuration has been applied yet
    NoConfig,
    /// the outcome is unknown, because the platform did not answer; it is safe to run the command again
    OutcomeUnknown,
    /// cannot write the output: {0}
    Output(String),
}

impl std::error::Error for CommandError {}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Files(_) | CommandError::Config(_) => EXIT_FILES,
            CommandError::VersionConflict(..) => EXIT_CONFLICT,
            CommandError::NotYetInForce { .. } => EXIT_NOT_YET_IN_FORCE,
            CommandError::Differs => EXIT_DIFFERS,
            _ => EXIT_FAILED,
        }
    }
}

impl From<PlatformError> for CommandError {
    fn from(err: PlatformError) -> CommandError {
        CommandError::Platform(err)
    }
}

impl From<FileError> for CommandError {
    fn from(err: FileError) -> CommandError {
        CommandError::Files(err)
    }
}

impl From<ConfigError> for CommandError {
    fn from(err: ConfigError) -> CommandError {
        CommandError::Config(err)
    }
}
