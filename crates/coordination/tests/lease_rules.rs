//! Leases under pauses, lost responses and races: each epoch has one holder,
//! and at most one instance at a time considers its lease valid.

use std::time::Duration;

use proptest::prelude::*;
use sedgewall_clock::Instant;
use sedgewall_coordination::lease::{
    AcquireOutcome, Acquiring, AnnouncedLease, Candidate, Held, Lease,
    LeaseRecord, LeaseTiming, LeaseWrite, RenewOutcome, StoredLease, Watching,
    WriteAnswer,
};

const INSTANCES: usize = 3;

/// A model of the platform with a single object and atomic conditional
/// updates.
#[derive(Default)]
struct Platform {
    stored: Option<StoredLease>,
    version: u64,
    /// The epoch and the holder's incarnation of each successful write, in
    /// order.
    holders: Vec<(u64, u64)>,
}

impl Platform {
    fn write(&mut self, write: &LeaseWrite) -> WriteAnswer {
        let current = self.stored.as_ref().map(|stored| stored.version);
        if current != write.expected {
            return WriteAnswer::Conflict;
        }
        self.version += 1;
        let record = write.record.clone();
        self.holders.push((record.epoch, record.incarnation));
        self.stored = Some(StoredLease { record, version: self.version });
        WriteAnswer::Done(self.version)
    }
}

/// The lease as one simulated instance sees it.
enum InstanceLease {
    Watching(Lease<Watching>),
    Unclear(Lease<Acquiring>),
    Held(Lease<Held>),
    /// A placeholder while a step owns the lease.
    Moved,
}

#[derive(Clone, Debug)]
enum Step {
    /// An instance reads the record and acquires the lease if it is free, or
    /// renews the lease that it holds.
    Act { instance: usize, loses_answer: bool, is_unreachable: bool },
    /// Time passes for all instances; those that do not act are paused.
    AdvanceClock(u64),
    /// An instance releases the lease.
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..INSTANCES, prop::bool::weighted(0.15), prop::bool::weighted(0.1))
            .prop_map(|(instance, loses_answer, is_unreachable)| Step::Act {
                instance, loses_answer, is_unreachable
            }),
        4 => (1u64..700).prop_map(Step::AdvanceClock),
        1 => (0..INSTANCES).prop_map(Step::Release),
    ]
}

fn candidate(instance: usize) -> Candidate {
    Candidate {
        epoch_floor: 0,
        has_no_predecessor: true,
        instance: format!("i{instance}"),
        incarnation: instance as u64,
        peer_url: String::new(),
    }
}

fn act(
    state: InstanceLease,
    instance: usize,
    platform: &mut Platform,
    now: Instant,
    loses_answer: bool,
    is_unreachable: bool,
) -> InstanceLease {
    let send = |platform: &mut Platform, write: &LeaseWrite| {
        if is_unreachable {
            return WriteAnswer::Unclear;
        }
        let answer = platform.write(write);
        if loses_answer { WriteAnswer::Unclear } else { answer }
    };
    match state {
        InstanceLease::Watching(mut watching) => {
            if is_unreachable {
                return InstanceLease::Watching(watching);
            }
            watching.observe(platform.stored.clone(), now);
            if !watching.is_free(now) {
                return InstanceLease::Watching(watching);
            }
            let acquiring = watching.acquire(&candidate(instance), now);
            let answer = send(platform, acquiring.write());
            match acquiring.complete_acquire(answer, now) {
                AcquireOutcome::Held(held) => InstanceLease::Held(held),
                AcquireOutcome::Lost(watching) => {
                    InstanceLease::Watching(watching)
                }
                AcquireOutcome::Unclear(acquiring) => {
                    InstanceLease::Unclear(acquiring)
                }
            }
        }
        InstanceLease::Unclear(acquiring) => {
            if is_unreachable {
                return InstanceLease::Unclear(acquiring);
            }
            match acquiring.resolve(platform.stored.clone(), now) {
                AcquireOutcome::Held(held) => InstanceLease::Held(held),
                AcquireOutcome::Lost(watching) => {
                    InstanceLease::Watching(watching)
                }
                AcquireOutcome::Unclear(acquiring) => {
                    InstanceLease::Unclear(acquiring)
                }
            }
        }
        InstanceLease::Held(held) => {
            let write = held.renewal();
            let answer = send(platform, &write);
            match held.complete_renewal(write, answer, now, now) {
                RenewOutcome::Held(held) if answer == WriteAnswer::Unclear => {
                    if is_unreachable {
                        return InstanceLease::Held(held);
                    }
                    match held.reconcile(platform.stored.clone(), now) {
                        RenewOutcome::Held(held) => InstanceLease::Held(held),
                        RenewOutcome::Lost(watching) => {
                            InstanceLease::Watching(watching)
                        }
                    }
                }
                RenewOutcome::Held(held) => InstanceLease::Held(held),
                RenewOutcome::Lost(watching) => {
                    InstanceLease::Watching(watching)
                }
            }
        }
        InstanceLease::Moved => InstanceLease::Moved,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn one_current_holder_at_a_time(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let timing = LeaseTiming::default();
        let mut now = Instant::now();
        let mut platform = Platform::default();
        let mut states: Vec<InstanceLease> = (0..INSTANCES)
            .map(|_| {
                InstanceLease::Watching(Lease::new("s".to_owned(), timing))
            })
            .collect();
        for step in steps {
            match step {
                Step::Act { instance, loses_answer, is_unreachable } => {
                    let state = std::mem::replace(
                        &mut states[instance], InstanceLease::Moved,
                    );
                    states[instance] = act(
                        state, instance, &mut platform, now, loses_answer,
                        is_unreachable,
                    );
                }
                Step::AdvanceClock(ms) => now += Duration::from_millis(ms),
                Step::Release(instance) => {
                    let state = std::mem::replace(
                        &mut states[instance], InstanceLease::Moved,
                    );
                    states[instance] = match state {
                        InstanceLease::Held(held) => {
                            platform.write(&held.release());
                            InstanceLease::Watching(held.into_watching(now))
                        }
                        other => other,
                    };
                }
            }
            let current = states.iter().filter(|state| {
                matches!(
                    state, InstanceLease::Held(held) if held.is_current(now)
                )
            });
            prop_assert!(current.count() <= 1, "more than one holder with a valid lease");
        }
        // Each epoch has only one holder.
        let mut seen = std::collections::BTreeMap::new();
        for (epoch, incarnation) in &platform.holders {
            let holder = seen.entry(*epoch).or_insert(*incarnation);
            prop_assert_eq!(*holder, *incarnation);
        }
        // Epochs never decrease.
        let epochs: Vec<u64> =
            platform.holders.iter().map(|(epoch, _)| *epoch).collect();
        prop_assert!(epochs.windows(2).all(|pair| pair[0] <= pair[1]));
    }
}

#[test]
fn a_resumed_holder_cannot_overwrite_its_successor() {
    let timing = LeaseTiming::default();
    let now = Instant::now();
    let mut platform = Platform::default();
    let first = InstanceLease::Watching(Lease::new("s".to_owned(), timing));
    let first = act(first, 0, &mut platform, now, false, false);
    let InstanceLease::Held(paused) = first else {
        panic!("a lease without a record is free")
    };

    let mut second =
        InstanceLease::Watching(Lease::new("s".to_owned(), timing));
    second = act(second, 1, &mut platform, now, false, false);
    let later = now + timing.time_to_live + timing.margin;
    second = act(second, 1, &mut platform, later, false, false);
    assert!(
        matches!(second, InstanceLease::Held(_)),
        "the lease of the first has expired"
    );

    assert!(!paused.is_current(later));
    let resumed = act(
        InstanceLease::Held(paused),
        0,
        &mut platform,
        later,
        false,
        false,
    );
    assert!(matches!(resumed, InstanceLease::Watching(_)));
    let stored = platform.stored.expect("a lease record is stored");
    assert_eq!(stored.record.holder, "i1");
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let timing = LeaseTiming::default();
    let now = Instant::now();
    let mut platform = Platform::default();
    let state = InstanceLease::Watching(Lease::new("s".to_owned(), timing));
    let state = act(state, 0, &mut platform, now, true, false);
    assert!(matches!(state, InstanceLease::Unclear(_)));
    let state = act(state, 0, &mut platform, now, false, false);
    assert!(matches!(state, InstanceLease::Held(_)));
}

const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_millis(1_300),
    renew_every: Duration::from_millis(450),
    margin: Duration::from_millis(250),
};

/// Returns a watched lease whose record, of renewal 6 in epoch 3, was first
/// observed at `now`.
fn watched(now: Instant) -> Lease<Watching> {
    let mut watching = Lease::new("orders".to_owned(), TIMING);
    let record = LeaseRecord {
        shard: "orders".to_owned(),
        holder: "i1".to_owned(),
        incarnation: 1,
        peer_url: String::new(),
        epoch: 3,
        renewal: 6,
        is_released: false,
        is_handover_pending: false,
    };
    watching.observe(Some(StoredLease { record, version: 9 }), now);
    watching
}

#[test]
fn a_watched_lease_expires_a_time_to_live_after_its_record_was_read() {
    let now = Instant::now();
    let ended = watched(now).latest_expiry(None);
    assert_eq!(ended, Some(now + TIMING.time_to_live));
}

#[test]
fn an_announced_expiry_ends_a_watched_lease_sooner() {
    let now = Instant::now();
    let expires_by = now + Duration::from_millis(400);
    let announced = AnnouncedLease { epoch: 3, renewal: 6, expires_by };
    assert_eq!(watched(now).latest_expiry(Some(announced)), Some(expires_by));
}

/// The holder may have renewed the lease after the renewal that it announced,
/// and consider it valid for longer.
#[test]
fn an_announcement_of_another_renewal_is_ignored() {
    let now = Instant::now();
    let expires_by = now + Duration::from_millis(400);
    for (epoch, renewal) in [(3, 5), (2, 6), (3, 7)] {
        let announced = AnnouncedLease { epoch, renewal, expires_by };
        let ended = watched(now).latest_expiry(Some(announced));
        assert_eq!(ended, Some(now + TIMING.time_to_live));
    }
}
