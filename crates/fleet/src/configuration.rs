//! Which configuration an instance goes by, how old that is, and whether newer
//! ones were heard of.
//!
//! It does no I/O and reads no clock.

use std::time::{Duration, Instant};

/// The version of a configuration. Versions only rise.
pub type ConfigurationVersion = u64;

/// What an instance knows of the configuration beside its content.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigurationSeen {
    read: Option<Instant>,
    newest_heard: ConfigurationVersion,
}

/// By which configuration a request was decided, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecidedBy {
    /// The version in force here; none if no configuration is known.
    pub version: Option<ConfigurationVersion>,
    /// How long ago it was last read, from the store or another instance.
    pub read_ago: Option<Duration>,
    /// The newest version that was heard of.
    pub newest_heard: ConfigurationVersion,
}

impl ConfigurationSeen {
    /// Takes in that the configuration was read, as it was at a moment.
    pub fn read(&mut self, at: Instant) {
        self.read = self.read.max(Some(at));
    }

    /// Takes in a version that is in force at another instance.
    pub fn hear(&mut self, version: ConfigurationVersion) {
        self.newest_heard = self.newest_heard.max(version);
    }

    /// Returns whether a newer version than this was heard of.
    pub fn is_behind(&self, version: ConfigurationVersion) -> bool {
        self.newest_heard > version
    }

    /// Returns by what a request is decided that comes now.
    pub fn decides(
        &self,
        version: Option<ConfigurationVersion>,
        now: Instant,
    ) -> DecidedBy {
        DecidedBy {
            version,
            read_ago: self.read.map(|at| now.saturating_duration_since(at)),
            newest_heard: self.newest_heard.max(version.unwrap_or(0)),
        }
    }
}

impl DecidedBy {
    /// Returns how long ago it was last read, in milliseconds.
    pub fn read_ms_ago(&self) -> Option<u64> {
        self.read_ago.map(|ago| ago.as_millis() as u64)
    }
}
