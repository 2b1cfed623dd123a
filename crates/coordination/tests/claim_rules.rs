//! Claims under races, lost responses, restarts and trimming: a key is granted
//! to at most one request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use proptest::prelude::*;
use sedgewall_coordination::claim::{
    AnsweredClaim, Claim, ClaimAnswer, ClaimLog, Segment, SegmentAnswer,
};

const CLAIMERS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Claim { claimer: usize, key: u128, request: u128 },
    Release { claimer: usize, key: u128, request: u128 },
    Write { claimer: usize, loses_answer: bool, is_unreachable: bool },
    Restart(usize),
    Trim(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let claimer = || 0..CLAIMERS;
    prop_oneof![
        5 => (claimer(), 0u128..4, 0u128..12).prop_map(
            |(claimer, key, request)| Step::Claim { claimer, key, request }
        ),
        1 => (claimer(), 0u128..4, 0u128..12).prop_map(
            |(claimer, key, request)| Step::Release { claimer, key, request }
        ),
        6 => (claimer(), prop::bool::weighted(0.2), prop::bool::weighted(0.1))
            .prop_map(|(claimer, loses_answer, is_unreachable)| Step::Write {
                claimer, loses_answer, is_unreachable
            }),
        1 => claimer().prop_map(Step::Restart),
        1 => claimer().prop_map(Step::Trim),
    ]
}

#[derive(Default)]
struct World {
    log: BTreeMap<u64, Segment>,
    claimers: Vec<ClaimLog>,
    /// Requests whose claims were granted, by key.
    granted: HashMap<u128, BTreeSet<u128>>,
    /// Requests whose claims were released. The model assumes that their entry
    /// does not run them any more, so later grants to them are not counted.
    released: BTreeSet<u128>,
    time: u64,
}

impl World {
    fn new() -> World {
        let claimers = (0..CLAIMERS).map(|_| ClaimLog::default()).collect();
        World { claimers, ..World::default() }
    }

    fn recover(&mut self, claimer: usize) -> Vec<AnsweredClaim> {
        let log = &mut self.claimers[claimer];
        if log.is_recovered() {
            return Vec::new();
        }
        for (idx, segment) in &self.log {
            log.apply_segment(*idx, segment);
        }
        log.finish_recovery()
    }

    fn record(
        &mut self,
        keys: &HashMap<u128, u128>,
        answers: Vec<AnsweredClaim>,
    ) {
        for answered in answers {
            if answered.answer != ClaimAnswer::Granted
                || self.released.contains(&answered.request)
            {
                continue;
            }
            let key = keys[&answered.request];
            self.granted.entry(key).or_default().insert(answered.request);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(800))]

    #[test]
    fn a_key_is_granted_to_one_request(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut world = World::new();
        // The key of each request, which never changes.
        let mut keys: HashMap<u128, u128> = HashMap::new();
        for step in steps {
            world.time += 1;
            match step {
                Step::Claim { claimer, key, request } => {
                    let key = *keys.entry(request).or_insert(key);
                    if world.released.contains(&request) {
                        continue;
                    }
                    let claim = Claim { key, request };
                    let answer = world.claimers[claimer].claim(claim);
                    if let Some(answer) = answer {
                        let answers = vec![AnsweredClaim { request, answer }];
                        world.record(&keys, answers);
                    }
                }
                Step::Release { claimer, key, request } => {
                    let key = *keys.entry(request).or_insert(key);
                    let is_granted = world
                        .granted
                        .get(&key)
                        .is_some_and(|all| all.contains(&request));
                    if is_granted {
                        continue;
                    }
                    world.released.insert(request);
                    let claim = Claim { key, request };
                    world.claimers[claimer].release(claim);
                }
                Step::Write { claimer, loses_answer, is_unreachable } => {
                    let answers = world.recover(claimer);
                    world.record(&keys, answers);
                    let log = &mut world.claimers[claimer];
                    let write = match log.unresolved_write() {
                        Some(write) => Some(write.clone()),
                        None => log.next_write(world.time),
                    };
                    let Some(write) = write else { continue };
                    let answer = if is_unreachable {
                        SegmentAnswer::Unclear
                    } else if let Some(found) = world.log.get(&write.idx) {
                        SegmentAnswer::Exists(found.clone())
                    } else {
                        world.log.insert(write.idx, write.segment.clone());
                        match loses_answer {
                            true => SegmentAnswer::Unclear,
                            false => SegmentAnswer::Created,
                        }
                    };
                    let answers = world.claimers[claimer].complete_write(answer);
                    world.record(&keys, answers);
                }
                Step::Restart(claimer) => {
                    world.claimers[claimer] = ClaimLog::default();
                }
                Step::Trim(claimer) => {
                    // No segment was written before time 0, so none may be
                    // trimmed.
                    let trimmed = world.claimers[claimer].trim(0);
                    prop_assert_eq!(trimmed, None);
                }
            }
            for (key, requests) in &world.granted {
                prop_assert!(
                    requests.len() <= 1,
                    "key {} was granted to {:?}", key, requests
                );
            }
        }
    }
}

/// Guards against granting a key that the log already holds: a claim that
/// reached a restarted claimer before it had read the log was granted. Found
/// by the property test above.
#[test]
fn claims_pending_recovery_are_checked_against_the_log() {
    let mut log = ClaimLog::default();
    let claim = Claim { key: 2, request: 1 };
    assert_eq!(log.claim(claim), None);
    let segment = Segment {
        claims: vec![Claim { key: 2, request: 0 }],
        ..Segment::default()
    };
    log.apply_segment(0, &segment);
    let taken = AnsweredClaim { request: 1, answer: ClaimAnswer::Taken };
    assert_eq!(log.finish_recovery(), vec![taken]);
    assert_eq!(log.next_write(0), None);
}

#[test]
fn the_last_segment_is_never_trimmed() {
    let mut log = ClaimLog::default();
    log.finish_recovery();
    for request in 0..3u128 {
        log.claim(Claim { key: request, request });
        log.next_write(request as u64);
        log.complete_write(SegmentAnswer::Created);
    }
    assert_eq!(log.trim(100), Some(0));
    assert_eq!(log.trim(100), Some(1));
    assert_eq!(log.trim(100), None);
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut log = ClaimLog::default();
    log.finish_recovery();
    let first = Claim { key: 1, request: 1 };
    log.claim(first);
    log.next_write(0);
    log.complete_write(SegmentAnswer::Created);
    log.release(first);
    let second = Claim { key: 1, request: 2 };
    log.next_write(1);
    log.complete_write(SegmentAnswer::Created);
    assert_eq!(log.claim(second), None, "the claim waits for its segment");
    log.next_write(2);
    let answers = log.complete_write(SegmentAnswer::Created);
    let granted = AnsweredClaim { request: 2, answer: ClaimAnswer::Granted };
    assert_eq!(answers, vec![granted]);
}
