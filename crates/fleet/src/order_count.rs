//! How many orders an engine has accepted, as far as the lease holder knows.
//!
//! Each order states this count, and an engine carries it out only at exactly
//! that count. An order that was left unanswered may be carried out seconds
//! later, also one of an earlier epoch. The invariants: the known count is
//! never above the engine's, and once an order of an epoch has raised the
//! count, no order of an earlier epoch is carried out any more.

use sedgewall_state::id::Epoch;

use crate::order::Task;

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The order was carried out, or its effect was already there.
    Done,
    /// The order is being carried out.
    Accepted,
    /// The order was refused, or its outcome is unknown.
    Unclear,
}

/// The count of one engine in one epoch.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderCount {
    epoch: Epoch,
    count: Option<u64>,
    is_raised: bool,
}

impl OrderCount {
    /// Returns the count at the begin of an epoch, before the engine's first
    /// report.
    pub fn new(epoch: Epoch) -> OrderCount {
        OrderCount { epoch, ..OrderCount::default() }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the count that the next order states, if it is known.
    pub fn get(&self) -> Option<u64> {
        self.count
    }

    /// Returns whether an order of this epoch is certain to have raised the
    /// engine's count.
    pub fn is_raised(&self) -> bool {
        self.is_raised
    }

    /// Sets the count that the engine reports, or that it is unknown.
    pub fn set(&mut self, count: Option<u64>) {
        self.count = count;
    }

    /// Records the answer to an order that stated the current count.
    ///
    /// A load is also answered with success if the engine holds the weights
    /// already, which does not raise the count. A stated count that is too
    /// high would match later: a late order could be carried out after that.
    pub fn record(&mut self, task: &Task, result: OrderResult) {
        let is_raised = match (result, task) {
            (OrderResult::Accepted, _) => true,
            (OrderResult::Done, Task::Unload(_)) => true,
            (OrderResult::Done, _) | (OrderResult::Unclear, _) => false,
        };
        self.is_raised |= is_raised;
        self.count = match (result, task) {
            (OrderResult::Unclear, _) => None,
            // The place becomes free only after the requests that use it have
            // ended.
            (OrderResult::Accepted, Task::Unload(_)) => None,
            _ => self.count.map(|count| count + u64::from(is_raised)),
        };
    }
}
