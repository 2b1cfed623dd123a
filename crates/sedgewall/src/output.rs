//! Output of results, as text for people or as JSON for programs.

use serde::Serialize;

use crate::error::CommandError;

/// Prints a value as indented JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|err| CommandError::Output(err.to_string()))?;
    line(&text)
}

/// Prints a line. A pipe that the reader has closed is not an error.
pub(crate) fn line(text: &str) -> Result<(), CommandError> {
    use std::io::Write;
    match writeln!(std::io::stdout(), "{text}") {
        Err(err) if err.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(CommandError::Output(err.to_string()))
        }
        _ => Ok(()),
    }
}
