//! How long adapters take from the weight store, as requests show.
//!
//! A load takes some time while few are on their way over all engines, and
//! longer in proportion beyond some number; the platform tells neither. The
//! store is taken for a server that shares its speed among all loads: for each
//! number that it may carry at full speed, a clock runs that slows down while
//! more are on their way, and by that clock all loads take the same. Each request
//! that is sent to an adapter on its way brackets that time from one side: it was
//! there, or not yet. The number whose clock makes the answers contradict each
//! other least is believed. The invariant: a load counts from when its engine took
//! the order, once it is known to have come, and once, however many requests asked
//! for it too early; one that never comes says nothing.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use crate::adapter::AdapterKey;

/// What a load is taken to last before the first answers: on the deployments
/// that we know it lasts 250 to 288 ms.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(270);

/// What a load takes that an engine brings from its own memory, as a part of one
/// from the weight store (the platform's pages).
const WARM_LOAD_FRACTION: f64 = 0.1;

/// Loads that may come at full speed side by side, as candidates: a fifth apart,
/// which tells the time of a load among many within a tenth.
const CONCURRENCY_CANDIDATES: [f64; 24] = [
    4.0, 5.0, 6.0, 7.0, 8.0, 10.0, 12.0, 14.0, 17.0, 20.0, 24.0, 29.0, 35.0,
    42.0, 50.0, 60.0, 72.0, 87.0, 104.0, 125.0, 150.0, 180.0, 216.0, 260.0,
];

/// Loads may begin up to the next candidate beyond the one that is believed, so
/// that a number that has become larger shows.
const EXPLORATION_STEPS: usize = 1;

/// The weight store's rate for a time may always begin, in seconds: a number that
/// is believed far too small would leave adapters waiting, and nothing would show
/// it. One that is too large only makes loads later, as expected.
const MIN_IN_FLIGHT_S: f64 = 1.0;

/// The shortest time that is told apart.
const MIN_LOAD_TIME_MS: f64 = 10.0;

/// From one class of times to the next; a request waits too long by half of this
/// at the mean.
const BUCKET_RATIO: f64 = 1.06;

/// Classes of times: the longest is 18 s.
const BUCKETS: usize = 128;

/// What each new answer leaves of the weight of those before it: some 100 count,
/// which come within a second where a hundred adapters a second are brought.
const OBSERVATION_DECAY: f64 = 0.99;

/// Each so many-th load is expected three classes sooner, so that a time that became
/// shorter is seen, and at most one in so many requests is sent too early for it.
const EARLY_TRIAL_INTERVAL: u64 = 64;

/// Parts into which the time of a load is cut to predict it, each with its own number
/// of loads on the way.
const PREDICTION_STEPS: u32 = 16;

/// Loads that join are counted over this part of the time of one load, so that a burst
/// shows while it lasts.
const START_RATE_WINDOW_FRACTION: f64 = 0.5;

/// They are counted over this time at least: a rate over less is one of chance.
const MIN_START_RATE_WINDOW: Duration = Duration::from_millis(250);

/// The weight of the first guess, in answers.
const INITIAL_WEIGHT: f64 = 3.0;

/// Weights that differ by less are equal.
const WEIGHT_TOLERANCE: f64 = 1e-6;

/// A candidate is believed in place of another if it contradicts this much less
/// of what was seen.
const SWITCH_MARGIN: f64 = 1.5;

/// How long a load is remembered, for answers that come later.
const LOAD_RETENTION: Duration = Duration::from_secs(6);

/// Observes how long adapters take from the weight store.
#[derive(Clone, Debug)]
pub struct LoadTimes {
    candidates: Vec<Candidate>,
    selected: usize,
    loads: HashMap<(EndpointId, AdapterKey), Load>,
    /// When loads began lately.
    recent_starts: VecDeque<Instant>,
    observation_count: u64,
    prediction_count: u64,
}

/// A load that has begun.
#[derive(Clone, Copy, Debug)]
struct Load {
    started_at: Instant,
    /// When it was last seen not to be done.
    last_absent: Option<Instant>,
}

/// An answer to a request that was sent to an adapter on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadObservation {
    /// When the request was at the engine.
    pub at: Instant,
    /// Whether the adapter was there.
    pub is_loaded: bool,
}

/// What is believed of a load's time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// What one takes at full speed.
    pub load_time: Duration,
    /// How many come at full speed side by side.
    pub concurrency: f64,
}

/// One number of loads that may come at full speed, and what the answers say if
/// it is the right one.
#[derive(Clone, Debug)]
struct Candidate {
    concurrency: f64,
    /// Milliseconds at full speed, by time.
    clock: VecDeque<(Instant, f64)>,
    /// Where the clock stood when each load on its way began.
    in_flight: VecDeque<f64>,
    /// Weights of answers by class of the time between.
    absent: Vec<f64>,
    present: Vec<f64>,
    load_time_ms: f64,
}

impl Default for LoadTimes {
    fn default() -> LoadTimes {
        let candidates: Vec<Candidate> =
            CONCURRENCY_CANDIDATES.into_iter().map(Candidate::new).collect();
        let selected = candidates.len() - 1;
        LoadTimes {
            candidates,
            selected,
            loads: HashMap::new(),
            recent_starts: VecDeque::new(),
            observation_count: 0,
            prediction_count: 0,
        }
    }
}

impl LoadTimes {
    /// Takes in that a load from the weight store begins.
    pub fn start_load(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) {
        let load = Load { started_at: now, last_absent: None };
        self.loads.insert((endpoint.clone(), key.clone()), load);
        self.recent_starts.push_back(now);
        for candidate in &mut self.candidates {
            candidate.advance(now);
            candidate.start_load();
        }
    }

    /// Takes in that an engine has taken the order for a load: it begins now, and
    /// not when it was planned.
    pub fn order_accepted(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        now: Instant,
    ) {
        let id = (endpoint.clone(), key.clone());
        if let Some(load) = self.loads.get_mut(&id) {
            load.started_at = now;
        }
    }

    /// Takes in that a load did not begin after all.
    pub fn cancel(&mut self, endpoint: &EndpointId, key: &AdapterKey) {
        let id = (endpoint.clone(), key.clone());
        if self.loads.remove(&id).is_none() {
            return;
        }
        for candidate in &mut self.candidates {
            candidate.in_flight.pop_back();
        }
    }

    /// Takes in an answer about a load; one that is not known says nothing.
    pub fn observe(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
        observation: LoadObservation,
        now: Instant,
    ) {
        let id = (endpoint.clone(), key.clone());
        let Some(load) = self.loads.get_mut(&id) else { return };
        if !observation.is_loaded {
            load.last_absent = load.last_absent.max(Some(observation.at));
            return;
        }
        let load = *load;
        self.loads.remove(&id);
        self.observation_count += 1;
        for candidate in &mut self.candidates {
            candidate.advance(now);
            candidate.observe(load, observation.at);
        }
        self.select_candidate();
    }

    /// Returns when a load that begins now is likely to be done.
    pub fn predict_cold_load(&mut self, now: Instant) -> Duration {
        self.prediction_count += 1;
        let is_early_trial =
            self.prediction_count.is_multiple_of(EARLY_TRIAL_INTERVAL);
        let shortening =
            if is_early_trial { BUCKET_RATIO.powi(3) } else { 1.0 };
        let starts_per_ms = self.starts_per_ms(now);
        let most = self.max_in_flight(0.0);
        let candidate = &mut self.candidates[self.selected];
        candidate.advance(now);
        millis(candidate.predicted_time_ms(starts_per_ms, most) / shortening)
    }

    /// Returns how many loads began lately, a millisecond.
    fn starts_per_ms(&self, now: Instant) -> f64 {
        let window =
            self.estimate().load_time.mul_f64(START_RATE_WINDOW_FRACTION);
        let window = window.max(MIN_START_RATE_WINDOW);
        let since = self.recent_starts.iter().rev();
        let joined = since.take_while(|at| now - **at < window).count();
        joined as f64 / (window.as_secs_f64() * 1_000.0)
    }

    /// Returns how many loads may be on their way, from a weight store whose rate for
    /// base models is this.
    fn max_in_flight(&self, rate_per_s: f64) -> f64 {
        let idx =
            (self.selected + EXPLORATION_STEPS).min(self.candidates.len() - 1);
        self.candidates[idx].concurrency.max(rate_per_s * MIN_IN_FLIGHT_S)
    }

    /// Returns whether one more load may begin, from a weight store whose rate for
    /// base models is this. With many more on their way than come at full speed,
    /// another one would only make all of them later.
    pub fn can_start_load(&mut self, rate_per_s: f64, now: Instant) -> bool {
        let most = self.max_in_flight(rate_per_s);
        (self.in_flight(now) as f64) < most
    }

    /// Returns how long an adapter takes from an engine's own memory.
    pub fn predict_warm_load(&self) -> Duration {
        self.estimate().load_time.mul_f64(WARM_LOAD_FRACTION)
    }

    /// Returns how many loads are on their way.
    pub fn in_flight(&mut self, now: Instant) -> usize {
        let candidate = &mut self.candidates[self.selected];
        candidate.advance(now);
        candidate.in_flight.len()
    }

    /// Returns what is believed now.
    pub fn estimate(&self) -> LoadEstimate {
        let candidate = &self.candidates[self.selected];
        LoadEstimate {
            load_time: millis(candidate.load_time_ms),
            concurrency: candidate.concurrency,
        }
    }

    /// Returns how many answers were taken in.
    pub fn observations(&self) -> u64 {
        self.observation_count
    }

    /// Forgets old loads. Call it about once a second.
    pub fn forget(&mut self, now: Instant) {
        self.loads.retain(|_, load| now - load.started_at < LOAD_RETENTION);
        self.recent_starts.retain(|at| now - *at < LOAD_RETENTION);
        for candidate in &mut self.candidates {
            candidate.forget(now);
        }
    }

    /// Believes the number that the answers contradict least, and the next larger one
    /// where they tell no difference.
    ///
    /// Batches that are all as large as what may begin look alike by the clock of the
    /// right number and by that of a smaller one with a shorter time. The smaller one
    /// was believed for good then, and 26 to 86 in 100 requests came too early, at 31
    /// of 200 simulated stores drawn at random; 20 in 100 or more come at one of them.
    fn select_candidate(&mut self) {
        let contradiction: Vec<f64> =
            self.candidates.iter().map(Candidate::contradiction).collect();
        let mut best = self.selected;
        for (idx, weight) in contradiction.iter().enumerate() {
            if *weight < contradiction[best] {
                best = idx;
            }
        }
        let selected = contradiction[self.selected];
        let next = self.selected + 1;
        let is_equal_to_selected =
            |next: &f64| *next <= selected + WEIGHT_TOLERANCE;
        if contradiction[best] + SWITCH_MARGIN < selected {
            self.selected = best;
        } else if contradiction.get(next).is_some_and(is_equal_to_selected) {
            self.selected = next;
        }
    }
}

impl Candidate {
    fn new(concurrency: f64) -> Candidate {
        let initial_ms = INITIAL_LOAD_TIME.as_secs_f64() * 1_000.0;
        let initial_bucket = bucket(initial_ms);
        let mut absent = vec![0.0; BUCKETS];
        let mut present = vec![0.0; BUCKETS];
        absent[initial_bucket - 1] = INITIAL_WEIGHT;
        present[initial_bucket] = INITIAL_WEIGHT;
        Candidate {
            concurrency,
            clock: VecDeque::new(),
            in_flight: VecDeque::new(),
            absent,
            present,
            load_time_ms: initial_ms,
        }
    }

    /// Lets the clock run until now; loads that are done on the way make it
    /// faster.
    fn advance(&mut self, now: Instant) {
        let Some(&(mut at, mut clock)) = self.clock.back() else {
            self.clock.push_back((now, 0.0));
            return;
        };
        while now > at {
            let left_ms = (now - at).as_secs_f64() * 1_000.0;
            let speed = (self.concurrency
                / self.in_flight.len().max(1) as f64)
                .min(1.0);
            let end = clock + left_ms * speed;
            let done = self.in_flight.front().map(|b| b + self.load_time_ms);
            match done.filter(|done| *done <= end) {
                Some(done) => {
                    at += millis((done - clock).max(0.0) / speed);
                    clock = clock.max(done);
                    self.in_flight.pop_front();
                }
                None => (at, clock) = (now, end),
            }
            self.clock.push_back((at, clock));
        }
    }

    fn start_load(&mut self) {
        let clock = self.clock.back().map_or(0.0, |(_, clock)| *clock);
        self.in_flight.push_back(clock);
    }

    /// Returns what a load takes that begins now, while others join at a rate up to
    /// a number on their way.
    ///
    /// Those that join while it is on its way slow it down as those before it do, and
    /// outlast it. With those before it alone, 26 in 100 requests came too early in
    /// bursts at a simulated store of 170 loads at full speed; 16 with them.
    /// It is not taken for shorter than with the number on the way as it is.
    fn predicted_time_ms(&self, starts_per_ms: f64, most: f64) -> f64 {
        let clock = self.clock.back().map_or(0.0, |(_, clock)| *clock);
        let part_ms = self.load_time_ms / f64::from(PREDICTION_STEPS);
        let mut before = self.in_flight.len();
        let mut joined = 0.0;
        let mut takes_ms = 0.0;
        for part in 0..PREDICTION_STEPS {
            let served = clock + part_ms * f64::from(part);
            let is_done =
                |started_at: &f64| started_at + self.load_time_ms <= served;
            let done =
                self.in_flight.iter().take_while(|b| is_done(b)).count();
            before = before.min(self.in_flight.len() - done);
            let in_flight = (before as f64 + joined).min(most) + 1.0;
            let takes = part_ms * (in_flight / self.concurrency).max(1.0);
            joined += starts_per_ms * takes;
            takes_ms += takes;
        }
        let unchanged = (self.in_flight.len() as f64 + 1.0) / self.concurrency;
        takes_ms.max(self.load_time_ms * unchanged)
    }

    /// Returns where the clock stood.
    fn clock_at(&self, at: Instant) -> f64 {
        let idx = self.clock.partition_point(|(known, _)| *known <= at);
        match (idx.checked_sub(1).map(|i| self.clock[i]), self.clock.get(idx))
        {
            (Some((from, low)), Some((to, high))) => {
                let part = (at - from).as_secs_f64()
                    / (*to - from).as_secs_f64().max(1e-9);
                low + (high - low) * part
            }
            (Some((_, low)), None) => low,
            (None, first) => first.map_or(0.0, |(_, clock)| *clock),
        }
    }

    fn observe(&mut self, load: Load, present_at: Instant) {
        for weight in self.absent.iter_mut().chain(&mut self.present) {
            *weight *= OBSERVATION_DECAY;
        }
        let started_at = self.clock_at(load.started_at);
        let took =
            |at: Instant| bucket((self.clock_at(at) - started_at).max(0.0));
        let last_absent = load.last_absent.map(took);
        let present = took(present_at);
        self.present[present] += 1.0;
        if let Some(last_absent) = last_absent {
            self.absent[last_absent] += 1.0;
        }
        let (most_likely_bucket, _) = self.most_likely_bucket();
        // A class beyond: the clock of a time that is too short counts loads out
        // before they are done, and lets too many begin.
        self.load_time_ms = bucket_end_ms(most_likely_bucket + 1);
    }

    /// Returns the weight of the answers that contradict the likeliest time.
    fn contradiction(&self) -> f64 {
        self.most_likely_bucket().1
    }

    /// Returns the class of times that the answers contradict least, and the
    /// weight of those that do: adapters that were not there later, or that were
    /// there sooner. Of equal ones it is the shortest time after which one was
    /// there.
    fn most_likely_bucket(&self) -> (usize, f64) {
        let mut late: f64 = self.absent.iter().sum();
        let mut soon = 0.0;
        let mut best = (0, f64::INFINITY);
        let mut is_shown = false;
        for idx in 0..BUCKETS {
            late -= self.absent[idx];
            let weight = late + soon;
            let is_less = weight < best.1 - WEIGHT_TOLERANCE;
            let is_equal = weight < best.1 + WEIGHT_TOLERANCE;
            if is_less || (is_equal && !is_shown) {
                is_shown = self.present[idx] > WEIGHT_TOLERANCE;
                best = (idx, weight);
            }
            soon += self.present[idx];
        }
        best
    }

    fn forget(&mut self, now: Instant) {
        while let Some(&(at, _)) = self.clock.get(1)
            && now.saturating_duration_since(at) > LOAD_RETENTION
        {
            self.clock.pop_front();
        }
    }
}

fn bucket(ms: f64) -> usize {
    let bucket =
        (ms.max(MIN_LOAD_TIME_MS) / MIN_LOAD_TIME_MS).ln() / BUCKET_RATIO.ln();
    (bucket as usize).min(BUCKETS - 1)
}

fn bucket_end_ms(bucket: usize) -> f64 {
    MIN_LOAD_TIME_MS * BUCKET_RATIO.powi(bucket as i32 + 1)
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
