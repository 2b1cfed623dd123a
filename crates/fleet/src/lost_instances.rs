//! Finds the entries of instances that are gone for good.
//!
//! An entry in the store does not expire. An instance that is removed without
//! notice leaves its entry behind, and others would reckon with it forever. An
//! instance that is only cut off writes its entry again once it finds it
//! missing.
//!
//! This module does no I/O and reads no clock.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::InstanceId;

/// How long nothing must have been heard of an instance before its entry is
/// deleted: longer than restarts and most outages take.
pub const KEPT_UNHEARD: Duration = Duration::from_secs(300);

/// When the listed instances were last alive.
#[derive(Clone, Debug, Default)]
pub struct LostInstances {
    last_alive: HashMap<InstanceId, Instant>,
}

impl LostInstances {
    /// Records which instances are listed, and whether each is alive. Returns
    /// those whose entries must be deleted.
    pub fn record<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a InstanceId, bool)>,
        now: Instant,
    ) -> Vec<InstanceId> {
        let mut before = std::mem::take(&mut self.last_alive);
        let mut lost = Vec::new();
        for (id, is_alive) in listed {
            let known = before.remove(id).filter(|_| !is_alive);
            let at = known.unwrap_or(now);
            if now - at >= KEPT_UNHEARD {
                lost.push(id.clone());
            }
            self.last_alive.insert(id.clone(), at);
        }
        lost
    }
}
