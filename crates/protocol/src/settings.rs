//! The settings of one instance, in YAML.
//!
//! Settings hold what differs between instances (addresses, availability
//! zone) and the limits of an instance. What all instances share is in the
//! configuration that operators apply.

use std::{net::SocketAddr, path::Path, time::Duration};

use sedgewall_coordination::lease::LeaseTiming;
use sedgewall_state::{InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

/// The settings file of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The platform's name for this instance.
    pub instance: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The address to listen on for callers.
    pub caller_listen: SocketAddr,
    /// The address to listen on for operators and metrics scrapes.
    pub operator_listen: SocketAddr,
    /// The address to listen on for peers.
    pub peer_listen: SocketAddr,
    /// The address at which peers reach this instance, if it differs from
    /// `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// The URL of the platform, such as `http://127.0.0.1:7000`.
    pub platform_url: String,
    /// The limits of this instance.
    #[serde(default)]
    pub limits: Limits,
    /// The durations that govern leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// The log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// The settings for a deployment on an operator's platform. Without them,
    /// the instance uses sedgewall's own platform interface and submits
    /// requests to shard leaders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
}

/// The settings that all instances of a deployment share, as stated by its
/// platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The retry budget: the maximum share of requests that may be retried.
    pub retry_share: f64,
    /// The number of retries per window that are allowed beyond
    /// `retry_share`.
    pub retry_slack: f64,
    /// The window of `retry_share` and `retry_slack`, in seconds.
    pub retry_window_s: f64,
    /// The handover delay: the minimum time between orders of two lease
    /// holders to one engine, in milliseconds.
    pub order_turn_ms: u64,
    /// The window over which loads from the weight store are counted, in
    /// seconds.
    pub store_window_s: f64,
    /// The loads allowed per window, as a multiple of the weight store's rate.
    pub store_overage: f64,
    /// The time within which a revoked key stops working on every instance,
    /// also on one that cannot learn of the revocation, in milliseconds.
    /// Without this setting, a key stops working on an instance once that
    /// instance knows of the revocation.
    #[serde(default)]
    pub revoke_within_ms: Option<u64>,
    /// The time within which a change that the store has acknowledged must be
    /// in force, in milliseconds.
    #[serde(default = "two_seconds_ms")]
    pub in_force_within_ms: u64,
    /// The termination grace period: the time after which a planned stop is
    /// cut off, in seconds.
    pub grace_s: f64,
    /// An address to listen on for metrics scrapes, in addition to
    /// `operator_listen`.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// The share of a processor core that this instance has. Instances with a
    /// larger share are preferred for the lease on orders, which lets one
    /// instance at a time send orders to engines: they rank first among the
    /// candidates, and while no record of the lease exists, an instance with a
    /// smaller share delays its attempt once.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// Whether the system has run before this start. If so, the earlier run
    /// may have used up the retry budget that all instances share.
    #[serde(default)]
    pub has_run_before: bool,
    /// The names of the contracts that the platform has in force for this
    /// deployment, separated by commas. They determine the defaults of the
    /// settings below.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub contracts: String,
    /// The memory that this instance may use, in megabytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// Whether requests that wait for an endpoint are ordered by priority,
    /// deadline and customer, and wait as long as an answer is possible.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ordered_waiting: Option<bool>,
    /// The maximum number of bytes of request and response bodies that this
    /// instance holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub buffer_budget_bytes: Option<u64>,
}

fn two_seconds_ms() -> u64 {
    2_000
}

fn whole_core() -> f64 {
    1.0
}

/// The resource limits and time-outs of one instance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time-out for receiving the headers of a request, in milliseconds.
    pub header_ms: u64,
    /// The time-out for receiving the body of a request, in milliseconds.
    pub body_ms: u64,
    /// The maximum number of concurrent connections of callers.
    pub connections: usize,
    /// The maximum number of requests held at once, waiting or running.
    pub requests: usize,
    /// The default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum deadline, to which longer ones are reduced, in
    /// milliseconds.
    pub max_deadline_ms: u64,
    /// The time-out of an engine that sends no bytes of a response, in
    /// milliseconds. It applies before the deadline only if the request may be
    /// sent again.
    pub stream_idle_ms: u64,
    /// The maximum number of retries of a request that engines reject.
    pub retries: u32,
    /// The retry budget: the maximum ratio of retries to requests.
    pub retry_share: f64,
    /// How long a planned stop waits for requests to finish, in milliseconds.
    pub drain_ms: u64,
    /// The number of events that the timeline keeps.
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

/// The durations that govern leases, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// How long a lease is valid after its last renewal was sent.
    pub time_to_live_ms: u64,
    /// The interval between renewals.
    pub renew_every_ms: u64,
    /// How long a challenger waits beyond the time to live, to allow for
    /// clocks that run at different rates.
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
    /// Returns the settings as durations.
    pub fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            time_to_live: Duration::from_millis(self.time_to_live_ms),
            renew_every: Duration::from_millis(self.renew_every_ms),
            margin: Duration::from_millis(self.margin_ms),
        }
    }
}

/// An error in reading or validating settings.
#[derive(Debug, displaydoc::Display)]
pub enum SettingsError {
    /// cannot read {file}: {source}
    Read {
        /// The path of the file.
        file: String,
        /// The cause of the failure.
        source: std::io::Error,
    },
    /// {file}: {message}
    Parse {
        /// The path of the file.
        file: String,
        /// The parser's message, with line, column and cause.
        message: String,
    },
    /// {file}: {errors}
    Invalid {
        /// The path of the file.
        file: String,
        /// All violated rules, each with its field, separated by semicolons.
        errors: String,
    },
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not YAML of the expected structure, or
    /// violates a rule; the message names the file, the field and the cause.
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| {
            SettingsError::Read { file: file.clone(), source }
        })?;
        Settings::from_yaml(&file, &text)
    }

    /// Parses and validates settings; `file` is the name used in errors.
    ///
    /// # Errors
    ///
    /// When the text is not YAML of the expected structure, or violates a
    /// rule.
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

    /// Validates the rules that the types cannot express.
    ///
    /// # Errors
    ///
    /// With all violated rules at once.
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

    /// Returns the URL at which peers reach this instance.
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
            require(
                fleet.buffer_budget_bytes.is_none_or(|bytes| bytes > 0),
                "fleet.buffer_budget_bytes: must be above 0",
            );
        }
        require(
            self.log_level.parse::<LogLevel>().is_ok(),
            "log_level: must be error, warn, info or debug",
        );
        errors
    }
}

/// A log level in settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Conditions that need an operator's intervention.
    Error,
    /// Conditions that may need an operator's intervention.
    Warn,
    /// Changes of state.
    Info,
    /// Every step, for debugging.
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
