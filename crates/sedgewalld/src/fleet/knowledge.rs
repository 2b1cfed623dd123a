//! The operator's settings as far as this instance knows them: the
//! configuration and the announced versions of weights.

use std::{rc::Rc, time::Duration};

use futures_channel::oneshot;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    adapter::{AdapterKey, WeightVersion},
    catch_up::StateSummary,
    configuration::{ConfigurationStatus, ConfigurationVersion},
    route::RoutingConfiguration,
};

use super::instance::FleetInstance;

impl FleetInstance {
    /// Returns the time within which an acknowledged change must be in force.
    pub(crate) fn in_force_within(&self) -> Duration {
        Duration::from_millis(self.fleet.in_force_within_ms)
    }

    /// Returns the configuration in force.
    pub(crate) fn routing(&self) -> Option<Rc<RoutingConfiguration>> {
        self.routing.borrow().clone()
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn configuration_version(
        &self,
    ) -> Option<ConfigurationVersion> {
        self.routing.borrow().as_ref().map(|known| known.version)
    }

    /// Returns which configuration a request that arrives now is decided by.
    pub(crate) fn configuration_status(&self) -> ConfigurationStatus {
        let now = Instant::now();
        let version = self.configuration_version();
        let read = self.configuration_read.get();
        let heard = self.catch_up.borrow().newest_heard(now).configuration;
        ConfigurationStatus {
            version,
            read_ago: read.map(|at| now.saturating_duration_since(at)),
            newest_heard: heard.max(version.unwrap_or(0)),
        }
    }

    /// Returns a summary of the state that all instances must have.
    pub(crate) fn state_summary(&self) -> StateSummary {
        StateSummary {
            configuration: self.configuration_version().unwrap_or(0),
            versions: self.view.borrow().versions_announced(),
            condemned: self.poison.borrow().condemned_len(Instant::now())
                as u64,
        }
    }

    /// Returns whether another instance lately reported a newer configuration
    /// than the one in force here.
    pub(crate) fn is_configuration_behind(&self) -> bool {
        let heard = self.catch_up.borrow().newest_heard(Instant::now());
        heard.configuration > self.configuration_version().unwrap_or(0)
    }

    /// Records the newest version of a model or adapter, and logs it if it is
    /// new.
    pub(crate) fn name_version(
        &self,
        key: &AdapterKey,
        version: WeightVersion,
    ) {
        let mut view = self.view.borrow_mut();
        if !view.record_version(key, version, Instant::now()) {
            return;
        }
        drop(view);
        let name = key.to_string();
        tracing::info!(event = "version", key = name, version);
        self.notify_planner();
    }

    /// Asks other instances at once for a newer configuration, and waits for
    /// it until the timeout.
    pub(crate) async fn await_newer_configuration(&self, within: Duration) {
        let (tx, rx) = oneshot::channel();
        self.configuration_waiters.borrow_mut().push(tx);
        self.catch_up.borrow_mut().fetch_now(Instant::now());
        self.catch_up_notify.notify();
        // Woken or timed out, the request is decided again.
        let _ = compio::time::timeout(within, rx).await;
    }

    /// Wakes the requests that wait for a newer configuration.
    pub(crate) fn wake_configuration_waiters(&self) {
        for tx in self.configuration_waiters.take() {
            // Fails if the request no longer waits: its wait timed out, or it
            // ended.
            let _ = tx.send(());
        }
    }

    /// Wakes the task that fetches missing state from other instances.
    pub(crate) fn notify_catch_up(&self) {
        self.catch_up_notify.notify();
    }

    /// Waits for [`FleetInstance::notify_catch_up`], or until the timeout.
    pub(crate) async fn catch_up_notified(&self, within: Duration) {
        self.catch_up_notify.wait(within).await;
    }
}
