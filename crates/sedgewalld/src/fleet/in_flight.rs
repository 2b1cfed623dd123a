//! Guards that count requests: those in flight at an endpoint, and those that
//! this instance has yet to answer.

use std::{rc::Rc, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_fleet::{adapter::AdapterKey, route::ServiceName};
use sedgewall_state::id::EndpointId;

use super::instance::FleetInstance;

/// The prefill time from which a prompt is reported to the other instances at
/// once. With fewer reports, other instances send to the same engine. A report
/// for each send would be 390 notes a second to each zone under many short
/// requests.
const LARGE_PROMPT: Duration = Duration::from_millis(50);

/// A request in flight at an endpoint, counted until the guard is dropped.
pub(crate) struct InFlightGuard {
    instance: Rc<FleetInstance>,
    endpoint: EndpointId,
    key: Option<AdapterKey>,
    /// Tokens of the prompt that still await prefill.
    unread_tokens: u64,
    began: Instant,
    /// The number of requests per slot at the endpoint before this one, as far
    /// as this instance knew.
    load: f64,
    /// The service, if the request is counted as a short one for engine pools.
    short_at: Option<ServiceName>,
    /// Whether the endpoint rejected the request or was not reached.
    is_rejected: bool,
}

impl InFlightGuard {
    pub(crate) fn begin(
        instance: &Rc<FleetInstance>,
        endpoint: &EndpointId,
        key: Option<&AdapterKey>,
        prompt_tokens: u64,
    ) -> InFlightGuard {
        let mut view = instance.view.borrow_mut();
        let prefill_time = view.prefill_time(endpoint, prompt_tokens);
        let mut load = 0.0;
        if let Some(state) = view.get_mut(endpoint) {
            load = state.load();
            state.own_work.begin(key, prompt_tokens);
        }
        drop(view);
        let short_at =
            key.and_then(|_| instance.short_service(endpoint, prompt_tokens));
        if let Some(service) = &short_at {
            instance.stream_counts.borrow_mut().begin(service);
        }
        if prefill_time >= LARGE_PROMPT {
            instance.has_unreported_work.set(true);
        }
        if key.is_some() {
            // The lease holder must know that the adapter is in use before it
            // decides to remove it.
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
            short_at,
            is_rejected: false,
        }
    }

    /// Records that the endpoint rejected the request or was not reached. The
    /// end of this attempt makes no capacity available, and the requests that
    /// wait are not woken by it. They would be sent to a full endpoint one
    /// after the other.
    pub(crate) fn rejected(&mut self) {
        self.is_rejected = true;
    }

    /// Records that the response has begun, which means that prefill of the
    /// prompt is done.
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
        if let Some(service) = &self.short_at {
            self.instance.stream_counts.borrow_mut().end(service);
        }
        let mut view = self.instance.view.borrow_mut();
        if let Some(state) = view.get_mut(&self.endpoint) {
            state.own_work.end(self.key.as_ref());
        }
        if self.key.is_none() {
            let took = self.began.elapsed();
            view.observe_residence_time(&self.endpoint, self.load, took);
        }
        if let Some(queues) = &self.instance.wait_queues
            && !self.is_rejected
            && let Some(state) = view.get(&self.endpoint)
        {
            queues.wake_service(&state.endpoint.service);
        }
    }
}

/// A request that was received, counted as open until the guard is dropped.
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
