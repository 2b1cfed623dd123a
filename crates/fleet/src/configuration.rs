//! The configuration that an instance bases its decisions on.

use std::time::Duration;

/// The version of a configuration. Versions only increase.
pub type ConfigurationVersion = u64;

/// The configuration that a request was decided by, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfigurationStatus {
    /// The version in force at this instance; `None` if no configuration is
    /// known.
    pub version: Option<ConfigurationVersion>,
    /// Time since the configuration was last read, from the store or from
    /// another instance.
    pub read_ago: Option<Duration>,
    /// The newest version that another instance reported recently.
    pub newest_heard: ConfigurationVersion,
}

impl ConfigurationStatus {
    /// Returns the time since the configuration was last read, in
    /// milliseconds.
    pub fn read_ms_ago(&self) -> Option<u64> {
        self.read_ago.map(|ago| ago.as_millis() as u64)
    }
}
