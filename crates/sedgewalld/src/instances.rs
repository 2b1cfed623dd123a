//! Follows the platform's instance list.

use std::{rc::Rc, time::Duration};

use log::debug;
use sedgewall_coordination::{
    membership::{InstanceList, ListedState, OWN_GROUP},
    timeline::EventKind,
};
use sedgewall_transport::platform_client::WatchOutcome;

use crate::{
    leader,
    node::{Node, pause},
};

/// How long a watch waits.
const WATCH_TIME: Duration = Duration::from_secs(30);

const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Follows the list for ever.
pub(crate) async fn follow(node: Rc<Node>) {
    loop {
        let revision = node.instances.borrow().revision;
        let watched =
            node.platform.watch_instances(revision, WATCH_TIME).await;
        node.note_platform(watched.is_ok());
        match watched {
            Ok(WatchOutcome::Changed(list)) => adopt(&node, list),
            Ok(WatchOutcome::Unchanged) => {}
            Err(err) => {
                debug!("instances: {err}.");
                pause(RETRY_PAUSE).await;
            }
        }
    }
}

/// Puts a newer list in force.
fn adopt(node: &Rc<Node>, list: InstanceList) {
    if list.revision <= node.instances.borrow().revision {
        return;
    }
    note_changes(node, &list);
    node.membership.borrow_mut().observe_list(&list);
    *node.instances.borrow_mut() = list;
    refresh(node);
}

/// Brings endpoints up to date with list and configuration.
pub(crate) fn refresh(node: &Rc<Node>) {
    let view = node.view();
    let list = node.instances.borrow().clone();
    node.services.borrow_mut().update(&view, &list);
    leader::refresh_engines(node, &list);
}

fn note_changes(node: &Rc<Node>, list: &InstanceList) {
    let old = node.instances.borrow().clone();
    for instance in &list.instances {
        if instance.group == OWN_GROUP {
            continue;
        }
        let known = old.instances.iter().find(|i| i.id == instance.id);
        if known.map(|i| i.state) == Some(instance.state) {
            continue;
        }
        let detail = match instance.state {
            ListedState::Live => "listed as live",
            ListedState::Leaving => "listed as leaving",
        };
        node.event(EventKind::Member, None, "", &instance.id, detail);
    }
}
