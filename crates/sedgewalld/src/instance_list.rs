//! Watches the platform's list of instances.

use std::{rc::Rc, time::Duration};

use log::debug;
use sedgewall_coordination::{
    membership::{InstanceList, ListedState, OWN_GROUP},
    timeline::EventKind,
};
use sedgewall_transport::platform_client::WatchOutcome;

use crate::{
    instance::{Instance, sleep_with_jitter},
    leader,
};

/// How long a watch request waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Watches the list; never returns.
pub(crate) async fn watch(instance: Rc<Instance>) {
    loop {
        let revision = instance.instances.borrow().revision;
        let watched =
            instance.platform.watch_instances(revision, WATCH_TIMEOUT).await;
        instance.set_platform_reached(watched.is_ok());
        match watched {
            Ok(WatchOutcome::Changed(list)) => adopt(&instance, list),
            Ok(WatchOutcome::Unchanged) => {}
            Err(err) => {
                debug!("instances: {err}.");
                sleep_with_jitter(RETRY_DELAY).await;
            }
        }
    }
}

/// Adopts a list if it is newer than the current one.
fn adopt(instance: &Rc<Instance>, list: InstanceList) {
    if list.revision <= instance.instances.borrow().revision {
        return;
    }
    record_changes(instance, &list);
    instance.membership.borrow_mut().observe_list(&list);
    *instance.instances.borrow_mut() = list;
    refresh(instance);
}

/// Updates services and engines from the current list and configuration.
pub(crate) fn refresh(instance: &Rc<Instance>) {
    let view = instance.view();
    let list = instance.instances.borrow().clone();
    instance.services.borrow_mut().update(&view, &list);
    leader::refresh_engines(instance, &list);
}

fn record_changes(instance: &Rc<Instance>, list: &InstanceList) {
    let old = instance.instances.borrow().clone();
    for listed_instance in &list.instances {
        if listed_instance.group == OWN_GROUP {
            continue;
        }
        let known = old.instances.iter().find(|i| i.id == listed_instance.id);
        if known.map(|i| i.state) == Some(listed_instance.state) {
            continue;
        }
        let detail = match listed_instance.state {
            ListedState::Live => "listed as live",
            ListedState::Leaving => "listed as leaving",
        };
        instance.record_event(
            EventKind::Member,
            None,
            "",
            &listed_instance.id,
            detail,
        );
    }
}
