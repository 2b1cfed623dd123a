//! Follows the platform's list of endpoints.
//!
//! The invariant: an endpoint that the list shows as leaving or gone gets no
//! new work, but for the two seconds after an outage in which entries that
//! lapsed come back.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use sedgewall_fleet::{endpoint::Endpoint, note::Note};
use sedgewall_platform::{
    endpoint::{ENDPOINTS_KIND, decode_endpoint},
    store::{Change, Revision, StoredObject},
};
use sedgewall_state::id::EndpointId;

use super::{
    bell::Bell,
    follow::{Follower, OTHERS_BACK_OFF},
    node::FleetNode,
};

/// How long a watch of endpoints waits for a change. A channel that went dead
/// without a word is noticed after this time; then all is listed anew.
const ENDPOINTS_WATCH: Duration = Duration::from_secs(4);

/// The pause between two watches of endpoints, so that many changes come in
/// one call. A leaving endpoint may get work for 2 s after the store has taken
/// its word.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(650);

/// What each instance adds to this pause: the first one that sees an endpoint
/// leave tells all others.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(40);

/// The longest pause between two watches of endpoints.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);

/// Takes in the entries of endpoints.
pub(crate) struct Endpoints {
    node: Rc<FleetNode>,
    /// Endpoints whose entries are gone, and may be back soon.
    lapsed: Rc<RefCell<HashSet<EndpointId>>>,
}

impl Follower for Endpoints {
    const KIND: &'static str = ENDPOINTS_KIND;
    const WATCH: Duration = ENDPOINTS_WATCH;

    fn pause(&self) -> Duration {
        let peers = self.node.peers.borrow().len() as u32;
        ENDPOINTS_PAUSE.max(PAUSE_PER_INSTANCE * peers).min(LONGEST_PAUSE)
    }

    fn bell(&self) -> Rc<Bell> {
        self.node.endpoints_bell.clone()
    }

    /// Their calls show that the store is regained, soon enough that what left
    /// meanwhile is known within the time that we are given for it.
    fn longest_back_off(&self) -> Duration {
        OTHERS_BACK_OFF
    }

    fn list(&self, objects: Vec<StoredObject>) {
        let read: Vec<_> = objects
            .iter()
            .filter_map(|object| Some((decoded(object)?, object.revision)))
            .collect();
        let listed: HashSet<&EndpointId> =
            read.iter().map(|(endpoint, _)| &endpoint.id).collect();
        let known: Vec<EndpointId> = self
            .node
            .view
            .borrow()
            .endpoints()
            .map(|state| state.id().clone())
            .collect();
        for id in known.iter().filter(|id| !listed.contains(id)) {
            self.entry_gone(id);
        }
        for (endpoint, revision) in read {
            self.log_changed(&endpoint, revision);
            self.entry_back(&endpoint.id);
            self.node.view.borrow_mut().list(endpoint, Instant::now());
        }
        self.node.wake_all();
        self.node.ring_loader();
    }

    fn change(&self, change: Change) {
        let node = &self.node;
        let id = &change.object.name;
        if change.is_deleted {
            self.entry_gone(id);
            return;
        }
        let Some(endpoint) = decoded(&change.object) else { return };
        self.entry_back(id);
        let was_draining = self.log_changed(&endpoint, change.object.revision);
        let is_leaving = was_draining == Some(false) && endpoint.is_draining;
        node.view.borrow_mut().list(endpoint, Instant::now());
        if is_leaving {
            node.outbox.borrow_mut().push(Note::Leaving(id.clone()));
            node.ring_notes();
        }
        node.wake_all();
    }
}

impl Endpoints {
    pub(crate) fn new(node: &Rc<FleetNode>) -> Endpoints {
        Endpoints { node: node.clone(), lapsed: Rc::default() }
    }

    /// Logs an endpoint that is new, or that now leaves; returns whether it was
    /// leaving before, if it was known.
    fn log_changed(
        &self,
        endpoint: &Endpoint,
        revision: Revision,
    ) -> Option<bool> {
        let view = self.node.view.borrow();
        let known = view.get(&endpoint.id);
        let was_draining = known.map(|state| state.endpoint.is_draining);
        if was_draining != Some(endpoint.is_draining) {
            tracing::info!(
                event = "endpoint",
                endpoint = endpoint.id,
                service = endpoint.service,
                zone = endpoint.zone,
                is_draining = endpoint.is_draining,
                adapters = adapter_count(endpoint),
                revision,
            );
        }
        was_draining
    }

    /// Takes an endpoint out whose entry is gone. Just after an outage it may
    /// have lapsed meanwhile, and is waited for: a live endpoint writes it again.
    fn entry_gone(&self, id: &EndpointId) {
        let now = Instant::now();
        let contact = self.node.store_contact.borrow();
        let left = contact.entries_return_within(now);
        if left.is_zero() {
            take_out(&self.node, id);
            return;
        }
        if !self.lapsed.borrow_mut().insert(id.clone()) {
            return;
        }
        let left_ms = left.as_millis() as u64;
        let last = contact.last_failure();
        let ms_ago = |at: Instant| (now - at).as_millis() as u64;
        tracing::info!(
            event = "endpoint_lapsed",
            endpoint = id,
            left_ms,
            known_out_ms_ago = last.map(|last| ms_ago(last.known_out_at())),
        );
        let (node, lapsed) = (self.node.clone(), self.lapsed.clone());
        let id = id.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(left).await;
            if lapsed.borrow_mut().remove(&id) {
                take_out(&node, &id);
            }
        })
        .detach();
    }

    /// An entry that is there again belongs to the same life of its endpoint,
    /// but what that holds is asked for anew.
    fn entry_back(&self, id: &EndpointId) {
        if self.lapsed.borrow_mut().remove(id) {
            self.node.view.borrow_mut().lose_track(id);
        }
    }
}

fn take_out(node: &FleetNode, id: &EndpointId) {
    tracing::info!(event = "endpoint_gone", endpoint = id);
    node.view.borrow_mut().unlist(id);
}

fn adapter_count(endpoint: &Endpoint) -> usize {
    endpoint.models.iter().map(|model| model.adapters.len()).sum()
}

fn decoded(object: &StoredObject) -> Option<Endpoint> {
    match decode_endpoint(&object.name, &object.spec) {
        Ok(endpoint) => Some(endpoint),
        Err(err) => {
            let cause = err.to_string();
            tracing::error!(event = "endpoint_unreadable", cause);
            None
        }
    }
}
