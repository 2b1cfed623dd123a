//! What an endpoint has under way, in the units that decisions need: requests
//! that take its slots, tokens that it has yet to read before a new prompt's
//! turn, and adapters that it cannot give up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::adapter::AdapterKey;

/// What is under way at one endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Work {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of those whose answers have not begun.
    pub unread_tokens: u64,
    /// Requests that run on each adapter.
    adapters: BTreeMap<AdapterKey, u32>,
}

impl Work {
    /// Counts a request that is sent.
    pub fn begin(&mut self, key: Option<&AdapterKey>, prompt_tokens: u64) {
        self.requests += 1;
        self.unread_tokens += prompt_tokens;
        if let Some(key) = key {
            *self.adapters.entry(key.clone()).or_default() += 1;
        }
    }

    /// Counts a prompt out whose answer has begun, or will not.
    pub fn prompt_read(&mut self, prompt_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(prompt_tokens);
    }

    /// Counts a request out whose prompt was counted out before.
    pub fn end(&mut self, key: Option<&AdapterKey>) {
        self.requests = self.requests.saturating_sub(1);
        if let Some(key) = key {
            self.count_out(key, 1);
        }
    }

    /// Returns whether requests run on an adapter.
    pub fn uses(&self, key: &AdapterKey) -> bool {
        self.adapters.contains_key(key)
    }

    /// Returns the same without the adapters, for those who only dispatch.
    pub fn without_adapters(&self) -> Work {
        let Work { requests, unread_tokens, .. } = *self;
        Work { requests, unread_tokens, adapters: BTreeMap::new() }
    }

    /// Returns whether nothing is under way.
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
