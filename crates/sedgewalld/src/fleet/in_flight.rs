//! Requests that an instance counts: those at an endpoint, and those that were read.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::adapter::AdapterKey;
use sedgewall_state::id::EndpointId;

use super::instance::FleetInstance;

/// A prompt that an engine reads for this long is told of at once: with fewer
/// notes, others send to the same engine; a note for each
/// send would be 390 a second, to each zone, where so many short requests come.
const LARGE_PROMPT: Duration = Duration::from_millis(50);

/// A request under way at an endpoint; dropping it counts it out.
pub(crate) struct InFlightGuard {
    instance: Rc<FleetInstance>,
    endpoint: EndpointId,
    key: Option<AdapterKey>,
    /// Tokens of its prompt that still count as unread.
    unread_tokens: u64,
    began: Instant,
    /// Requests for each slot there before it, as far as we knew.
    load: f64,
}

impl InFlightGuard {
    pub(crate) fn begin(
        instance: &Rc<FleetInstance>,
        endpoint: &EndpointId,
        key: Option<&AdapterKey>,
        prompt_tokens: u64,
    ) -> InFlightGuard {
        let mut view = instance.view.borrow_mut();
        let reads_for = view.prefill_time(endpoint, prompt_tokens);
        let mut load = 0.0;
        if let Some(state) = view.get_mut(endpoint) {
            load = state.load();
            state.own_work.begin(key, prompt_tokens);
        }
        drop(view);
        if reads_for >= LARGE_PROMPT {
            instance.has_unreported_work.set(true);
        }
        if key.is_some() {
            // The holder must hear of the adapter before it removes it.
            instance.has_unreported_sends.set(true);
            instance.notify_notes();
        }
        InFlightGuard {
            instance: instance.clone(),
            endpoint: endpoint.clone(),
            key: key.cloned(),
            unread_tokens: prompt_tokens,
            began: Instant::now(),
            load,
        }
    }

    /// Notes that the answer has begun, so the prompt was read.
    pub(crate) fn response_started(&mut self) {
        let read_tokens = std::mem::take(&mut self.unread_tokens);
        let mut view = self.instance.view.borrow_mut();
        if let Some(state) = view.get_mut(&self.endpoint) {
            state.own_work.prompt_read(read_tokens);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.response_started();
        let mut view = self.instance.view.borrow_mut();
        if let Some(state) = view.get_mut(&self.endpoint) {
            state.own_work.end(self.key.as_ref());
        }
        if self.key.is_none() {
            let took = self.began.elapsed();
            view.observe_residence_time(&self.endpoint, self.load, took);
        }
    }
}

/// A request that was read; dropping it counts it out.
pub(crate) struct OpenRequestGuard(Rc<FleetInstance>);

impl OpenRequestGuard {
    pub(crate) fn begin(instance: &Rc<FleetInstance>) -> OpenRequestGuard {
        instance.open_requests.set(instance.open_requests.get() + 1);
        OpenRequestGuard(instance.clone())
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
