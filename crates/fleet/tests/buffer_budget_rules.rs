//! Rules of the budget of buffered bytes.

use std::collections::HashMap;

use proptest::prelude::*;
use sedgewall_fleet::buffer_budget::{BufferBudget, HolderId, Reservation};

/// The size of the budget in the random tests.
const LIMIT: u64 = 1_000;

/// One step of a random sequence. Holders are named by an index into those
/// that were opened, including closed and evicted ones.
#[derive(Clone, Debug)]
enum Step {
    Open { is_evictable: bool },
    Reserve { of: usize, bytes: u64 },
    ReserveSpare { of: usize, bytes: u64 },
    Release { of: usize, bytes: u64 },
    Close { of: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let of = 0..20_usize;
    let bytes = prop_oneof![0..400_u64, Just(LIMIT), Just(u64::MAX)];
    prop_oneof![
        any::<bool>().prop_map(|is_evictable| Step::Open { is_evictable }),
        (of.clone(), bytes.clone())
            .prop_map(|(of, bytes)| Step::Reserve { of, bytes }),
        (of.clone(), bytes.clone())
            .prop_map(|(of, bytes)| Step::ReserveSpare { of, bytes }),
        (of.clone(), bytes)
            .prop_map(|(of, bytes)| Step::Release { of, bytes }),
        of.prop_map(|of| Step::Close { of }),
    ]
}

/// What the budget must have recorded: the bytes of each open holder, and
/// whether it may be evicted.
type Model = HashMap<HolderId, (u64, bool)>;

fn largest_evictable(model: &Model, except: HolderId) -> u64 {
    let others = model.iter().filter(|(id, _)| **id != except);
    let sizes =
        others.filter(|(_, (_, may))| *may).map(|(_, (size, _))| *size);
    sizes.max().unwrap_or(0)
}

fn check_reserve(
    budget: &mut BufferBudget,
    model: &mut Model,
    id: HolderId,
    bytes: u64,
) {
    let sum: u64 = model.values().map(|(size, _)| size).sum();
    let largest = largest_evictable(model, id);
    let own = model.get(&id).map(|(size, _)| *size);
    let outcome = budget.reserve(id, bytes);
    let fits = bytes <= LIMIT - sum;
    match (outcome, own) {
        (Reservation::Denied, None) => {}
        (_, None) => panic!("an unknown holder got {outcome:?}"),
        (Reservation::Granted, Some(_)) => assert!(fits),
        (Reservation::Denied, Some(own)) => {
            assert!(!fits);
            assert!(largest <= own.saturating_add(bytes));
        }
        (Reservation::GrantedAfterEvicting(evicted), Some(_)) => {
            assert!(!fits);
            assert_ne!(evicted, id);
            let (size, is_evictable) =
                model.remove(&evicted).expect("an open holder");
            assert!(is_evictable);
            assert_eq!(size, largest);
            assert_eq!(budget.held_by(evicted), 0);
        }
    }
    if outcome != Reservation::Denied {
        model.get_mut(&id).expect("an open holder").0 += bytes;
    }
}

proptest! {
    /// Guards against an instance that holds more than its budget, evicts
    /// another holder than the largest, or loses count of what is released.
    #[test]
    fn the_sum_stays_within_the_budget_and_the_largest_is_evicted(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut budget = BufferBudget::new(LIMIT);
        let mut model = Model::new();
        let mut opened: Vec<HolderId> = Vec::new();
        for step in steps {
            match step {
                Step::Open { is_evictable } => {
                    let id = budget.open();
                    if is_evictable {
                        budget.allow_eviction(id);
                    }
                    prop_assert!(!opened.contains(&id));
                    opened.push(id);
                    model.insert(id, (0, is_evictable));
                }
                Step::Reserve { of, bytes } => {
                    if let Some(id) = opened.get(of) {
                        check_reserve(&mut budget, &mut model, *id, bytes);
                    }
                }
                Step::ReserveSpare { of, bytes } => {
                    let Some(id) = opened.get(of) else { continue };
                    let before = budget.held();
                    let is_open = model.contains_key(id);
                    let is_reserved = budget.reserve_spare(*id, bytes);
                    prop_assert_eq!(
                        is_reserved,
                        is_open && bytes <= LIMIT - before
                    );
                    if is_reserved {
                        model.get_mut(id).expect("an open holder").0 += bytes;
                    }
                }
                Step::Release { of, bytes } => {
                    let Some(id) = opened.get(of) else { continue };
                    budget.release(*id, bytes);
                    if let Some((size, _)) = model.get_mut(id) {
                        *size -= bytes.min(*size);
                    }
                }
                Step::Close { of } => {
                    let Some(id) = opened.get(of) else { continue };
                    budget.close(*id);
                    model.remove(id);
                }
            }
            let sum: u64 = model.values().map(|(size, _)| size).sum();
            prop_assert_eq!(budget.held(), sum);
            prop_assert!(sum <= LIMIT);
            for (id, (size, _)) in &model {
                prop_assert_eq!(budget.held_by(*id), *size);
            }
        }
        for id in opened {
            budget.close(id);
        }
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against released bytes that stay counted, after which an instance
/// rejects every request.
#[test]
fn released_bytes_can_be_reserved_again() {
    let mut budget = BufferBudget::new(100);
    let (one, two) = (budget.open(), budget.open());
    assert_eq!(budget.reserve(one, 100), Reservation::Granted);
    assert_eq!(budget.reserve(two, 1), Reservation::Denied);
    budget.release(one, 40);
    assert_eq!(budget.reserve(two, 40), Reservation::Granted);
    budget.close(one);
    assert_eq!(budget.reserve(two, 60), Reservation::Granted);
    assert_eq!(budget.held(), 100);
}

/// Guards against read-ahead that terminates another caller's response.
#[test]
fn spare_bytes_evict_nobody() {
    let mut budget = BufferBudget::new(100);
    let (large, other) = (budget.open(), budget.open());
    budget.allow_eviction(large);
    assert_eq!(budget.reserve(large, 95), Reservation::Granted);
    assert!(!budget.reserve_spare(other, 10));
    assert_eq!(budget.held_by(large), 95);
    assert_eq!(
        budget.reserve(other, 10),
        Reservation::GrantedAfterEvicting(large)
    );
}

/// Guards against the eviction of the body of a request that may run: its
/// caller would be told that it did not run.
#[test]
fn a_holder_that_does_not_allow_it_is_not_evicted() {
    let mut budget = BufferBudget::new(100);
    let (body, stream, next) = (budget.open(), budget.open(), budget.open());
    assert_eq!(budget.reserve(body, 60), Reservation::Granted);
    assert_eq!(budget.reserve(stream, 40), Reservation::Granted);
    budget.allow_eviction(stream);
    assert_eq!(
        budget.reserve(next, 30),
        Reservation::GrantedAfterEvicting(stream)
    );
    assert_eq!(budget.reserve(next, 20), Reservation::Denied);
    assert_eq!(budget.held_by(body), 60);
}
