//! The work in flight at an endpoint, in the units that routing needs:
//! requests that occupy slots, tokens that await prefill, and adapters that
//! cannot be evicted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::adapter::AdapterKey;

/// The work in flight at one endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Work {
    /// The number of requests that were sent and have not ended.
    pub requests: u32,
    /// The prompt tokens of requests whose responses have not begun.
    pub unread_tokens: u64,
    /// The number of requests on each adapter.
    adapters: BTreeMap<AdapterKey, u32>,
}

impl Work {
    /// Adds a request that is sent.
    pub fn begin(&mut self, key: Option<&AdapterKey>, prompt_tokens: u64) {
        self.requests += 1;
        self.unread_tokens += prompt_tokens;
        if let Some(key) = key {
            *self.adapters.entry(key.clone()).or_default() += 1;
        }
    }

    /// Removes the prompt of a request whose response has begun, or will not
    /// begin.
    pub fn prompt_read(&mut self, prompt_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(prompt_tokens);
    }

    /// Removes a request whose prompt was removed before.
    pub fn end(&mut self, key: Option<&AdapterKey>) {
        self.requests = self.requests.saturating_sub(1);
        if let Some(key) = key {
            self.count_out(key, 1);
        }
    }

    /// Returns whether any request uses the adapter.
    pub fn uses(&self, key: &AdapterKey) -> bool {
        self.adapters.contains_key(key)
    }

    /// Returns the adapters that requests use.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &AdapterKey> {
        self.adapters.keys()
    }

    /// Returns a copy without the adapters, for instances that only dispatch
    /// requests.
    pub fn without_adapters(&self) -> Work {
        let Work { requests, unread_tokens, .. } = *self;
        Work { requests, unread_tokens, adapters: BTreeMap::new() }
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    pub(crate) fn add(&mut self, other: &Work) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens =
            self.unread_tokens.saturating_add(other.unread_tokens);
        for (key, count) in &other.adapters {
            *self.adapters.entry(key.clone()).or_default() += count;
        }
    }

    pub(crate) fn subtract(&mut self, other: &Work) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompt_read(other.unread_tokens);
        for (key, count) in &other.adapters {
            self.count_out(key, *count);
        }
    }

    fn count_out(&mut self, key: &AdapterKey, count: u32) {
        let Some(running) = self.adapters.get_mut(key) else { return };
        *running = running.saturating_sub(count);
        if *running == 0 {
            self.adapters.remove(key);
        }
    }
}
