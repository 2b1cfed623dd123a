//! The settings of one instance, in YAML.
//!
//! Settings say what differs per instance (addresses, availability zone) and
//! what bounds it. What all instances share is in the configuration that
//! operators apply.

use std::{net::SocketAddr, path::Path, time::Duration};

use sedgewall_coordination::lease::LeaseTiming;
use sedgewall_state::{InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

/// Everything that one instance is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The platform's name for this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where operators and metrics connect.
    pub operator_listen: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// Where peers reach this instance, if not at `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// The platform's address, such as `http://127.0.0.1:7000`.
    pub platform_url: String,
    /// What bounds this instance.
    #[serde(default)]
    pub limits: Limits,
    /// The times of leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// The log level: `error`, `warn`, `info`, `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// What a deployment on an operator's platform sets; without it the
    /// instance speaks its own interface and asks shard leaders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
}

/// What all instances of a deployment share, as its platform states it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Requests that may be sent once more, as a share of all requests.
    pub retry_share: f64,
    /// Requests that may be sent once more beyond the share, in one window.
    pub retry_slack: f64,
    /// The window of the two, in seconds.
    pub retry_window_s: f64,
    /// The pause between orders of two holders to one engine, in
    /// milliseconds.
    pub order_turn_ms: u64,
    /// The window over which loads from the weight store count, in seconds.
    pub store_window_s: f64,
    /// What such a window allows, as a multiple of the weight store's rate.
    pub store_overage: f64,
    /// A key that was taken away stops within this time on every instance, also
    /// one that cannot know so, in milliseconds; without it, as soon as it is known.
    #[serde(default)]
    pub revoke_within_ms: Option<u64>,
    /// A change that the store has acknowledged must be in force within this time,
    /// in milliseconds.
    #[serde(default = "default_in_force_within_ms")]
    pub in_force_within_ms: u64,
    /// A planned stop is cut off after this long, in seconds.
    pub grace_s: f64,
    /// Where metrics are read, beside the operators' address.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// This instance's part of a processor core; a larger one takes the lease
    /// on orders first.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Whether the system has run before this start. Then an earlier life may
    /// have used what all instances may do together.
    #[serde(default)]
    pub has_run_before: bool,
}

fn default_in_force_within_ms() -> u64 {
    2_000
}

fn default_cpu_share() -> f64 {
    1.0
}

/// What bounds one instance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for a request's headers, in milliseconds.
    pub header_ms: u64,
    /// The longest time for a request's body, in milliseconds.
    pub body_ms: u64,
    /// Connections of callers at once.
    pub connections: usize,
    /// Requests held at once, waiting or running.
    pub requests: usize,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// The longest deadline that is accepted, in milliseconds.
    pub max_deadline_ms: u64,
    /// A stream without a byte for this long is given up, in milliseconds.
    pub stream_idle_ms: u64,
    /// Tries of a request that an engine turned down.
    pub retries: u32,
    /// Retries as a part of all requests, beyond which nothing is retried.
    pub retry_share: f64,
    /// A planned stop waits this long for requests, in milliseconds.
    pub drain_ms: u64,
    /// Events that the time line keeps.
    pub timeline_len: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 1 << 20,
            header_ms: 5_000,
            body_ms: 10_000,
            connections: 4_096,
            requests: 8_192,
            deadline_ms: 30_000,
            max_deadline_ms: 600_000,
            stream_idle_ms: 30_000,
            retries: 5,
            retry_share: 0.2,
            drain_ms: 60_000,
            timeline_len: 8_192,
        }
    }
}

/// The times of leases, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// How long a lease holds after its last renewal.
    pub time_to_live_ms: u64,
    /// How often it is renewed.
    pub renew_every_ms: u64,
    /// What a challenger waits beyond the time to live.
    pub margin_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        let timing = LeaseTiming::default();
        LeaseSettings {
            time_to_live_ms: timing.time_to_live.as_millis() as u64,
            renew_every_ms: timing.renew_every.as_millis() as u64,
            margin_ms: timing.margin.as_millis() as u64,
        }
    }
}

impl LeaseSettings {
    /// Returns the times as the lease works with them.
    pub fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            time_to_live: Duration::from_millis(self.time_to_live_ms),
            renew_every: Duration::from_millis(self.renew_every_ms),
            margin: Duration::from_millis(self.margin_ms),
        }
    }
}

/// Error of settings that cannot be used.
#[derive(Debug, displaydoc::Display)]
pub enum SettingsError {
    /// cannot read {file}: {source}
    Read {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// {file}: {message}
    Parse {
        /// The file.
        file: String,
        /// Line, column and cause.
        message: String,
    },
    /// {file}: {errors}
    Invalid {
        /// The file.
        file: String,
        /// All faults, each with its field.
        errors: String,
    },
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a file of settings.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not YAML of this form, or breaks a
    /// rule; the message names file, field and cause.
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| {
            SettingsError::Read { file: file.clone(), source }
        })?;
        Settings::from_yaml(&file, &text)
    }

    /// Reads and checks settings from text; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// When the text is not YAML of this form, or breaks a rule.
    pub fn from_yaml(
        file: &str,
        text: &str,
    ) -> Result<Settings, SettingsError> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|err| {
                let message = err.to_string();
                SettingsError::Parse { file: file.to_owned(), message }
            })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks the rules that the form cannot express.
    ///
    /// # Errors
    ///
    /// With all broken rules at once.
    pub fn check(&self, file: &str) -> Result<(), SettingsError> {
        let errors = self.validation_errors();
        if errors.is_empty() {
            return Ok(());
        }
        let errors = errors.join("; ");
        Err(SettingsError::Invalid { file: file.to_owned(), errors })
    }

    /// Returns the settings as YAML.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).unwrap_or_default()
    }

    /// Returns where peers reach this instance.
    pub fn peer_url(&self) -> String {
        let address = self.peer_advertise.unwrap_or(self.peer_listen);
        format!("tcp://{address}")
    }

    fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |holds: bool, text: &str| {
            if !holds {
                errors.push(text.to_owned());
            }
        };
        require(!self.instance.is_empty(), "instance: must not be empty");
        require(!self.zone.is_empty(), "zone: must not be empty");
        require(
            self.platform_url.starts_with("http://"),
            "platform_url: must start with http://",
        );
        let lease = &self.lease;
        require(
            lease.renew_every_ms * 2 < lease.time_to_live_ms,
            "lease.renew_every_ms: must be less than half of \
             lease.time_to_live_ms",
        );
        require(lease.margin_ms > 0, "lease.margin_ms: must be above 0");
        let limits = &self.limits;
        require(limits.requests > 0, "limits.requests: must be above 0");
        require(limits.connections > 0, "limits.connections: must be above 0");
        require(limits.body_bytes > 0, "limits.body_bytes: must be above 0");
        require(
            limits.deadline_ms <= limits.max_deadline_ms,
            "limits.deadline_ms: must not exceed limits.max_deadline_ms",
        );
        require(
            (0.0..=1.0).contains(&limits.retry_share),
            "limits.retry_share: must be between 0 and 1",
        );
        if let Some(fleet) = &self.fleet {
            require(
                (0.0..=1.0).contains(&fleet.retry_share),
                "fleet.retry_share: must be between 0 and 1",
            );
            require(
                fleet.retry_slack >= 0.0,
                "fleet.retry_slack: must not be negative",
            );
            require(
                fleet.retry_window_s > 0.0,
                "fleet.retry_window_s: must be above 0",
            );
            require(
                fleet.store_window_s > 0.0,
                "fleet.store_window_s: must be above 0",
            );
            require(fleet.grace_s > 0.0, "fleet.grace_s: must be above 0");
            require(
                fleet.in_force_within_ms > 0,
                "fleet.in_force_within_ms: must be above 0",
            );
        }
        require(
            self.log_level.parse::<LogLevel>().is_ok(),
            "log_level: must be error, warn, info or debug",
        );
        errors
    }
}

/// A log level, as settings name it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// What needs somebody to act.
    Error,
    /// What may need somebody to act.
    Warn,
    /// What changed.
    Info,
    /// Every step.
    Debug,
}

impl std::str::FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<LogLevel, ()> {
        match text {
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            _ => Err(()),
        }
    }
}

fn default_log_level() -> String {
    "info".to_owned()
}
