//! By which configuration an instance decides.

use std::time::Duration;

/// The version of a configuration. Versions only rise.
pub type ConfigurationVersion = u64;

/// By which configuration a request was decided, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfigurationStatus {
    /// The version in force here; none if no configuration is known.
    pub version: Option<ConfigurationVersion>,
    /// How long ago it was last read, from the store or another instance.
    pub read_ago: Option<Duration>,
    /// The newest version that was heard of lately.
    pub newest_heard: ConfigurationVersion,
}

impl ConfigurationStatus {
    /// Returns how long ago it was last read, in milliseconds.
    pub fn read_ms_ago(&self) -> Option<u64> {
        self.read_ago.map(|ago| ago.as_millis() as u64)
    }
}
