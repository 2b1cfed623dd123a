//! Reconciliation of the shard's state with the reports of engines.
//!
//! Reports arrive late and may be lost. They show what the leader does not
//! know: adapters that an engine no longer holds, and adapters and requests of
//! a previous leader. A report never overrides a load or a grant that the
//! leader made after the time of the report.

use sedgewall_clock::Instant;

use crate::{
    action::{ReportedSlot, ShardAction},
    engine::{Health, Slot, SlotState},
    id::{AdapterIdx, EngineIdx},
    shard::Shard,
};

impl Shard {
    /// Applies an engine's report of the adapters that it holds and the number
    /// of requests that it runs on each.
    ///
    /// Removes adapters that the engine no longer holds, adds adapters that
    /// the leader does not know, and sets the number of untracked requests of
    /// each slot. Raises `observed_slots` if the report lists more adapters,
    /// and updates the health of the engine. Then dispatches waiting requests
    /// to the engine and orders loads.
    ///
    /// Reports lag, so a report never overrides a load that was ordered or a
    /// request that was granted after `report_time`.
    pub fn apply_report(
        &mut self,
        engine: EngineIdx,
        reported: &[ReportedSlot],
        report_time: Instant,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        self.record_report(engine, now);
        let host = &mut self.engines[engine as usize];
        let shown = reported.len().min(host.configured_slots);
        host.observed_slots = host.observed_slots.max(shown);
        self.remove_unreported(engine, reported, report_time);
        for slot in reported {
            self.apply_reported_slot(engine, slot, report_time, now);
        }
        self.dispatch_engine(engine, now, actions);
        self.schedule_loads(now, actions);
    }

    /// Removes all adapters of an engine that restarted and holds none, and
    /// puts the engine on probation.
    ///
    /// The entry instances report the end of the requests that ran on the
    /// engine, because their connections to the engine break.
    pub fn engine_restarted(&mut self, idx: EngineIdx, now: Instant) {
        let adapters: Vec<AdapterIdx> = self.engines[idx as usize]
            .slots
            .iter()
            .map(|slot| slot.adapter)
            .collect();
        for adapter in adapters {
            self.abandon_load(idx, adapter);
            self.remove_replica(idx, adapter);
        }
        self.set_health(idx, Health::Probation, now);
    }

    pub(crate) fn remove_unreported(
        &mut self,
        engine: EngineIdx,
        reported: &[ReportedSlot],
        report_time: Instant,
    ) {
        let missing: Vec<AdapterIdx> = self.engines[engine as usize]
            .slots
            .iter()
            .filter(|slot| slot.state != SlotState::Loading)
            .filter(|slot| {
                slot.granted_len == 0 && slot.last_used < report_time
            })
            .filter(|slot| {
                !reported.iter().any(|seen| seen.adapter == slot.adapter)
            })
            .map(|slot| slot.adapter)
            .collect();
        for adapter in missing {
            self.remove_replica(engine, adapter);
        }
    }

    pub(crate) fn apply_reported_slot(
        &mut self,
        engine: EngineIdx,
        reported: &ReportedSlot,
        report_time: Instant,
        now: Instant,
    ) {
        let idx = reported.adapter;
        let host = &mut self.engines[engine as usize];
        let has_empty_slot = host.has_empty_slot();
        match host.slot_mut(idx) {
            Some(slot) if slot.state == SlotState::Loading => {}
            Some(slot) if slot.last_used <= report_time => {
                slot.untracked_len =
                    reported.running_len.saturating_sub(slot.granted_len);
            }
            Some(_) => {}
            None if has_empty_slot => {
                host.slots.push(Slot {
                    adapter: idx,
                    state: SlotState::Ready,
                    granted_len: 0,
                    untracked_len: reported.running_len,
                    ready_at: now,
                    last_used: now,
                });
                self.adapters[idx as usize].ready.push(engine);
                self.update_waiting_sets(idx);
            }
            None => {}
        }
    }
}
