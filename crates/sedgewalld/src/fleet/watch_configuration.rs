//! Handlers for the configuration and for the versions of weights in the
//! store.
//!
//! Invariant: a configuration is never replaced by an older one.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;

use super::{
    instance::{FleetInstance, Stage},
    keys,
    list_watch::{DEFAULT_WATCH_TIMEOUT, ObjectHandler},
    notify::Notify,
};
use sedgewall_fleet::{freshness::WatchedKind, route::RoutingConfiguration};
use sedgewall_platform::{
    config::{
        CONFIG_KIND, CONFIG_NAME, VERSIONS_KIND, decode_config, decode_version,
    },
    store::{Change, Freshness, Listing, StoredObject},
};

/// Handles the operator's configuration.
pub(crate) struct Configuration(pub(crate) Rc<FleetInstance>);

/// Handles the announced versions of weights.
pub(crate) struct Versions(pub(crate) Rc<FleetInstance>);

impl ObjectHandler for Configuration {
    const KIND: &'static str = CONFIG_KIND;
    const WATCHED_KIND: WatchedKind = WatchedKind::Configuration;
    /// The first list must be the newest, because an older configuration must
    /// not come into force after a newer one.
    const FIRST_LIST_FRESHNESS: Freshness = Freshness::Newest;
    const WATCH_TIMEOUT: Duration = DEFAULT_WATCH_TIMEOUT;
    /// Retried first, because requests are refused while the newest
    /// configuration is missing.
    const RETRIES_EARLY: bool = true;

    fn relist_notify(&self) -> Rc<Notify> {
        self.0.configuration_relist_notify.clone()
    }

    fn take_behind(&self) -> bool {
        self.0.is_configuration_behind.take()
    }

    /// Where revoked keys must stop working within a time limit, a few
    /// instances watch for the newest configuration, and the other instances
    /// ask them.
    fn watch_override(&self) -> Option<(Freshness, Duration)> {
        let wait = keys::watch_timeout(&self.0)?;
        Some((Freshness::Newest, wait))
    }

    fn record_read(&self, sent: Instant) {
        let read = &self.0.configuration_read;
        read.set(read.get().max(Some(sent)));
    }

    /// A store that was just restored may lack a revocation that it has
    /// acknowledged, until the operator repeats it.
    fn confirm(&self, until: Instant) {
        let is_incomplete = self.0.is_configuration_unreadable.get()
            || self
                .0
                .store_reachability
                .borrow()
                .may_lack_writes(Instant::now());
        if !is_incomplete {
            self.0.keys.confirm(until);
        }
    }

    fn handle_list(&self, listing: Listing) {
        for object in listing.objects {
            self.apply(&object);
        }
    }

    fn handle_change(&self, change: Change) {
        // A configuration stays in force when its object is deleted.
        if !change.is_deleted {
            self.apply(&change.object);
        }
    }
}

impl Configuration {
    fn apply(&self, object: &StoredObject) {
        if object.name != CONFIG_NAME {
            return;
        }
        let instance = &self.0;
        let routing = match decode_config(&object.spec) {
            Ok(routing) => routing,
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "configuration_unreadable", cause);
                instance.is_configuration_unreadable.set(true);
                return;
            }
        };
        instance.is_configuration_unreadable.set(false);
        put_in_force(instance, routing, Source::Store);
    }
}

/// The origin of a configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    Store,
    /// Another instance, which had read it.
    Instance,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Instance => "instance",
        }
    }
}

/// Puts a configuration in force if it is newer than the current one.
pub(crate) fn put_in_force(
    instance: &FleetInstance,
    routing: RoutingConfiguration,
    source: Source,
) {
    let known = instance.configuration_version().unwrap_or(0);
    if routing.version <= known {
        return;
    }
    tracing::info!(
        event = "configuration",
        version = routing.version,
        routes = routing.routes.len(),
        replaces = known,
        from = source.name(),
    );
    *instance.routing.borrow_mut() = Some(Rc::new(routing));
    instance.clear_time_limits();
    if instance.stage.get() == Stage::Starting {
        instance.stage.set(Stage::Ready);
    }
    instance.version_records.configuration_changed();
    instance.wake_all();
    instance.wake_configuration_waiters();
}

impl ObjectHandler for Versions {
    const KIND: &'static str = VERSIONS_KIND;
    const WATCHED_KIND: WatchedKind = WatchedKind::Versions;
    const WATCH_TIMEOUT: Duration = DEFAULT_WATCH_TIMEOUT;

    fn relist_notify(&self) -> Rc<Notify> {
        self.0.versions_relist_notify.clone()
    }

    fn take_behind(&self) -> bool {
        self.0.is_versions_behind.take()
    }

    fn handle_list(&self, listing: Listing) {
        for object in listing.objects {
            self.apply(&object);
        }
    }

    fn handle_change(&self, change: Change) {
        if !change.is_deleted {
            self.apply(&change.object);
        }
    }
}

impl Versions {
    fn apply(&self, object: &StoredObject) {
        match decode_version(&object.name, &object.spec) {
            Ok((key, version)) => self.0.name_version(&key, version),
            Err(err) => {
                let cause = err.to_string();
                tracing::error!(event = "version_unreadable", cause);
            }
        }
    }
}
