//! The splits of engines into pools, as this instance last heard of them.

use std::collections::HashSet;

use sedgewall_clock::Instant;
use sedgewall_state::id::{EndpointId, Epoch};

use super::{FleetView, Need};
use crate::{
    adapter::AdapterKey,
    demand::Demand,
    engine_pools::{
        LONG_PROMPT_TOKENS, PoolInputs, PoolSplit, RequestClass, StreamTotals,
    },
    route::EngineGroup,
};

/// The pool of engines for one class of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pool<'a> {
    split: &'a PoolSplit,
    class: RequestClass,
}

impl Pool<'_> {
    /// Returns whether an engine is in the pool.
    pub(crate) fn contains(&self, engine: &EndpointId) -> bool {
        self.split.class_of(engine) == Some(self.class)
    }
}

impl FleetView {
    /// Applies the splits that the lease holder announced in a note. A note of
    /// an earlier epoch or with a lower sequence number changes nothing.
    pub fn apply_splits(
        &mut self,
        splits: &[PoolSplit],
        epoch: Epoch,
        sequence: u64,
    ) {
        let from = Some((epoch, sequence));
        if self.splits_heard >= from {
            return;
        }
        self.splits_heard = from;
        let named = splits.iter().filter(|split| split.prefill_fraction > 0.0);
        self.splits = named
            .map(|split| (split.service.clone(), split.clone()))
            .collect();
    }

    /// Ignores notes on splits of earlier epochs from now on. Called when this
    /// instance begins to decide as the lease holder, so that a late note of
    /// its predecessor does not undo its decisions once it has lost the lease.
    pub fn begin_splits(&mut self, epoch: Epoch) {
        self.splits_heard = self.splits_heard.max(Some((epoch, 0)));
    }

    /// Sets or removes the split of a service, as this instance decided as the
    /// lease holder.
    pub fn set_split(&mut self, service: &str, split: Option<PoolSplit>) {
        match split {
            Some(split) => {
                self.splits.insert(service.to_owned(), split);
            }
            None => {
                self.splits.remove(service);
            }
        }
    }

    /// Returns the split of a service's engines, or `None` if they are not
    /// split.
    pub fn split(&self, service: &str) -> Option<&PoolSplit> {
        self.splits.get(service)
    }

    /// Returns the splits of all services.
    pub fn splits(&self) -> impl Iterator<Item = &PoolSplit> {
        self.splits.values()
    }

    /// Returns the class of a request, by the split of its service or, without
    /// one, by the prefill rate that this instance observed.
    pub fn request_class(
        &self,
        service: &str,
        prompt_tokens: u64,
    ) -> RequestClass {
        if let Some(split) = self.split(service) {
            return split.class_of_prompt(prompt_tokens);
        }
        match prompt_tokens >= LONG_PROMPT_TOKENS {
            true => RequestClass::Long,
            false => RequestClass::Short,
        }
    }

    /// Returns the time that an engine of a service is busy for each token of
    /// a long prompt, in seconds, or `None` if no engine prefills one.
    ///
    /// By Little's law, the number of engines that prefill long prompts is the
    /// rate of these tokens times that time. The time to the first event of
    /// the few requests that one instance sends does not show the prefill
    /// rate: by it, prompts of 190,000 tokens took 0.1 s.
    pub(crate) fn prefill_s_per_token(
        &self,
        service: &str,
        long_tokens_per_s: f64,
    ) -> Option<f64> {
        let busy = self
            .of_service(service)
            .filter(|state| state.unread_tokens() >= LONG_PROMPT_TOKENS)
            .count();
        (busy > 0 && long_tokens_per_s > 0.0)
            .then(|| busy as f64 / long_tokens_per_s)
    }

    /// Returns what the decision on a service's split depends on.
    pub fn pool_inputs(
        &self,
        service: &str,
        group: &EngineGroup,
        demand: &Demand,
        streams: StreamTotals,
        now: Instant,
    ) -> PoolInputs {
        let is_served = |key: &AdapterKey| {
            group.models.iter().any(|model| model.name == key.model)
        };
        let served = demand.iter().filter(|(key, _)| is_served(key));
        let tokens_per_s: f64 =
            served.map(|(_, d)| d.long_tokens_per_s(now)).sum();
        let models = group.models.iter();
        let last_long = models.filter_map(|m| demand.last_long(&m.name)).max();
        let s_per_token = self.prefill_s_per_token(service, tokens_per_s);
        PoolInputs {
            streams,
            prefill_s_per_s: tokens_per_s * s_per_token.unwrap_or_default(),
            long_age: last_long.map(|at| now.saturating_duration_since(at)),
            adapters_in_use: self.adapters_in_use(service),
            engines: self
                .of_service(service)
                .filter(|state| state.is_usable(now))
                .count(),
            slots: group.slots,
            adapter_places: group.adapter_places(),
            long_tokens: Some(LONG_PROMPT_TOKENS),
        }
    }

    /// Returns the number of adapters that known requests in flight use.
    fn adapters_in_use(&self, service: &str) -> usize {
        let states = self.of_service(service);
        let used = states.flat_map(|state| {
            state.own_work.adapters().chain(state.peer_work.adapters())
        });
        let used = used.filter(|key| key.adapter.is_some());
        used.collect::<HashSet<_>>().len()
    }

    /// Returns the pool for a class of requests to a service, or `None` if its
    /// engines are not split.
    pub(crate) fn pool(
        &self,
        service: &str,
        class: RequestClass,
    ) -> Option<Pool<'_>> {
        self.split(service).map(|split| Pool { split, class })
    }

    /// Returns the pool for a request, or `None` if the engines of its service
    /// are not split.
    pub(super) fn request_pool(&self, need: Need<'_>) -> Option<Pool<'_>> {
        let split = self.split(need.service)?;
        let class = split.class_of_prompt(need.prompt_tokens);
        Some(Pool { split, class })
    }

    /// Returns whether a pool has an engine that can serve a request once it
    /// has loaded what the request needs.
    pub(super) fn has_usable_engine(
        &self,
        pool: Pool<'_>,
        need: Need<'_>,
        now: Instant,
    ) -> bool {
        self.of_service(need.service).any(|state| {
            pool.contains(state.id())
                && state.is_usable(now)
                && !need.exclude.contains(state.id())
        })
    }
}
