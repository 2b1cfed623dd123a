//! Tests of how many orders an engine is known to have accepted.

mod common;

use common::{MODEL, key};
use sedgewall_fleet::{
    order::Task,
    order_count::{OrderCount, OrderResult},
};

fn at_count(count: u64) -> OrderCount {
    let mut orders = OrderCount::new(2);
    orders.set(Some(count));
    orders
}

/// Guards against an order that states a count which the engine reaches only
/// later, after orders of the next epoch.
#[test]
fn a_load_of_what_is_there_raises_no_count() {
    for task in [Task::LoadModel(MODEL.to_owned()), Task::Load(key(1), 1)] {
        let mut orders = at_count(7);
        orders.record(&task, OrderResult::Done);
        assert_eq!(orders.get(), Some(7));
        assert!(!orders.is_raised());
    }
}

#[test]
fn accepted_loads_and_completed_removals_raise_the_count() {
    let mut orders = at_count(7);
    orders.record(&Task::Load(key(1), 1), OrderResult::Accepted);
    assert_eq!(orders.get(), Some(8));
    orders.record(&Task::Unload(key(1)), OrderResult::Done);
    assert_eq!(orders.get(), Some(9));
    assert!(orders.is_raised());
}

#[test]
fn the_count_is_unknown_after_an_order_without_a_clear_outcome() {
    let mut orders = at_count(7);
    orders.record(&Task::Load(key(1), 1), OrderResult::Unclear);
    assert_eq!(orders.get(), None);
    let mut orders = at_count(7);
    orders.record(&Task::Unload(key(1)), OrderResult::Accepted);
    assert_eq!(orders.get(), None);
    assert!(orders.is_raised());
}
