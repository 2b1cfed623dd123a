//! Estimates how long adapters take to load from the weight store.
//!
//! The time of a load is constant while few loads are in flight over all
//! engines, and grows in proportion to their number beyond some concurrency.
//! The platform reports neither the time nor the concurrency. The weight store
//! is modelled as a server that shares its speed among all loads: for each
//! candidate concurrency, a virtual clock slows down while more loads are in
//! flight, and all loads take equally long by that clock.
//!
//! Each request that reaches an engine while its adapter loads bounds the load
//! time from one side: the adapter was present, or not yet. The candidate
//! whose clock makes these observations contradict each other least is
//! selected.
//!
//! The invariants: a load counts from when its engine accepted the order; it
//! counts only once it is known to have completed, and only once, however many
//! requests came too early; and a load that never completes is ignored.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use crate::adapter::AdapterKey;

/// Estimated load time before the first observation. Loads take 250 to 288 ms
/// on known deployments.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(270);

/// Duration of a load from an engine's own memory, as a fraction of a load
/// from the weight store, according to the platform's documentation.
const WARM_LOAD_FRACTION: f64 = 0.1;

/// Candidate numbers of loads that run concurrently at full speed. They are a
/// fifth apart, which determines the time of a load among many within a tenth.
const CONCURRENCY_CANDIDATES: [f64; 24] = [
    4.0, 5.0, 6.0, 7.0, 8.0, 10.0, 12.0, 14.0, 17.0, 20.0, 24.0, 29.0, 35.0,
    42.0, 50.0, 60.0, 72.0, 87.0, 104.0, 125.0, 150.0, 180.0, 216.0, 260.0,
];

/// Number of candidates beyond the selected one up to which loads may start,
/// so that an increased concurrency of the weight store is observed.
const EXPLORATION_STEPS: usize = 1;

/// Loads may always start at the weight store's rate over this time, in
/// seconds. If the selected concurrency were far too low, adapters would wait
/// and no observation would correct it. If it is too high, loads only take
/// longer, as predicted.
const MIN_IN_FLIGHT_S: f64 = 1.0;

/// Lower limit of the histogram, in milliseconds. Shorter load times are not
/// distinguished.
const MIN_LOAD_TIME_MS: f64 = 10.0;

/// Ratio between the limits of adjacent histogram buckets. On average, a
/// request waits too long by half of this.
const BUCKET_RATIO: f64 = 1.06;

/// Number of histogram buckets. The last one starts at about 18 s.
const BUCKETS: usize = 128;

/// Factor by which each new observation reduces the weight of the earlier
/// ones. About 100 observations count, which arrive within a second where a
/// hundred adapters are loaded per second.
const OBSERVATION_DECAY: f64 = 0.99;

/// One load in this many is predicted three buckets shorter, so that a load
/// time that has decreased is detected. At most one request in as many is sent
/// too early because of it.
const EARLY_TRIAL_INTERVAL: u64 = 64;

/// Number of steps in which the progress of a load is predicted, each with its
/// own number of loads in flight.
const PREDICTION_STEPS: u32 = 16;

/// Window over which started loads are counted, as a fraction of one load's
/// time, so that a burst is detected while it lasts.
const START_RATE_WINDOW_FRACTION: f64 = 0.5;

/// Minimum of the window over which started loads are counted. A rate over a
/// shorter window is dominated by chance.
const MIN_START_RATE_WINDOW: Duration = Duration::from_millis(250);

/// Weight of the initial load time, in observations.
const INITIAL_WEIGHT: f64 = 3.0;

/// Difference up to which weights are considered equal.
const WEIGHT_TOLERANCE: f64 = 1e-6;

/// Margin by which a candidate must be contradicted less than the selected one
/// to replace it, in observations.
const SWITCH_MARGIN: f64 = 1.5;

/// How long a load is retained, for observations that arrive later.
const LOAD_RETENTION: Duration = Duration::from_secs(6);

/// Estimates load times from the weight store from observed loads.
#[derive(Clone, Debug)]
pub struct LoadTimes {
    candidates: Vec<Candidate>,
    selected: usize,
    loads: HashMap<(EndpointId, AdapterKey), Load>,
    /// Start times of recent loads.
    recent_starts: VecDeque<Instant>,
    observation_count: u64,
    prediction_count: u64,
}

/// A load that has started.
#[derive(Clone, Copy, Debug)]
struct Load {
    started_at: Instant,
    /// Time of the last observation in which the adapter was absent.
    last_absent: Option<Instant>,
}

/// What a request showed of an adapter that was loading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadObservation {
    /// Time at which the request was sent to the engine.
    pub at: Instant,
    /// Whether the adapter was loaded.
    pub is_loaded: bool,
}

/// Estimated load time and concurrency of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Time of one load at full speed.
    pub load_time: Duration,
    /// Number of loads that run concurrently at full speed.
    pub concurrency: f64,
}

/// A candidate concurrency with the observations by its clock.
#[derive(Clone, Debug)]
struct Candidate {
    concurrency: f64,
    /// Virtual clock: milliseconds of work at full speed, by real time.
    clock: VecDeque<(Instant, f64)>,
    /// Value of the clock at the start of each load in flight.
    in_flight: VecDeque<f64>,
    /// Weights of observations in which the adapter was absent, by bucket of
    /// the time since the start of the load.
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
    /// Records that a load from the weight store starts.
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

    /// Records that an engine has accepted the order for a load. The load
    /// counts from this time, and not from when it was planned.
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

    /// Removes a load that did not start.
    pub fn cancel(&mut self, endpoint: &EndpointId, key: &AdapterKey) {
        let id = (endpoint.clone(), key.clone());
        if self.loads.remove(&id).is_none() {
            return;
        }
        for candidate in &mut self.candidates {
            candidate.in_flight.pop_back();
        }
    }

    /// Records that an adapter is loaded from the engine's own memory. What is
    /// observed of it from now on shows nothing of an earlier load from the
    /// weight store whose end was not observed.
    pub fn start_warm_load(
        &mut self,
        endpoint: &EndpointId,
        key: &AdapterKey,
    ) {
        self.loads.remove(&(endpoint.clone(), key.clone()));
    }

    /// Records an observation of a load. Observations of unknown loads are
    /// ignored.
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

    /// Returns the predicted time of a load from the weight store that starts
    /// now.
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

    /// Returns the recent rate of started loads, per millisecond.
    fn starts_per_ms(&self, now: Instant) -> f64 {
        let window =
            self.estimate().load_time.mul_f64(START_RATE_WINDOW_FRACTION);
        let window = window.max(MIN_START_RATE_WINDOW);
        let since = self.recent_starts.iter().rev();
        let joined = since.take_while(|at| now - **at < window).count();
        joined as f64 / (window.as_secs_f64() * 1_000.0)
    }

    /// Returns how many loads may be in flight for a weight store that loads
    /// base models at the given rate.
    fn max_in_flight(&self, rate_per_s: f64) -> f64 {
        let idx =
            (self.selected + EXPLORATION_STEPS).min(self.candidates.len() - 1);
        self.candidates[idx].concurrency.max(rate_per_s * MIN_IN_FLIGHT_S)
    }

    /// Returns whether one more load may start, for a weight store that loads
    /// base models at the given rate. With many more loads in flight than run
    /// at full speed, another load would only delay all of them.
    pub fn can_start_load(&mut self, rate_per_s: f64, now: Instant) -> bool {
        let most = self.max_in_flight(rate_per_s);
        (self.in_flight(now) as f64) < most
    }

    /// Returns the predicted time of a load from an engine's own memory.
    pub fn predict_warm_load(&self) -> Duration {
        self.estimate().load_time.mul_f64(WARM_LOAD_FRACTION)
    }

    /// Returns the number of loads in flight.
    pub fn in_flight(&mut self, now: Instant) -> usize {
        let candidate = &mut self.candidates[self.selected];
        candidate.advance(now);
        candidate.in_flight.len()
    }

    /// Returns the current estimate.
    pub fn estimate(&self) -> LoadEstimate {
        let candidate = &self.candidates[self.selected];
        LoadEstimate {
            load_time: millis(candidate.load_time_ms),
            concurrency: candidate.concurrency,
        }
    }

    /// Returns the number of completed loads that were observed.
    pub fn observations(&self) -> u64 {
        self.observation_count
    }

    /// Removes old loads. To be called about once a second.
    pub fn forget(&mut self, now: Instant) {
        self.loads.retain(|_, load| now - load.started_at < LOAD_RETENTION);
        self.recent_starts.retain(|at| now - *at < LOAD_RETENTION);
        for candidate in &mut self.candidates {
            candidate.forget(now);
        }
    }

    /// Selects the candidate that the observations contradict least, or the
    /// next larger one if the observations do not tell the two apart.
    ///
    /// Batches that are all as large as the permitted number of loads look the
    /// same by the clock of the right candidate and by that of a smaller one
    /// with a shorter load time. When the smaller one was selected and kept,
    /// 26 to 86 of 100 requests came too early with 31 of 200 randomly drawn
    /// simulated stores. With the larger one, one of the 200 has 20 or more of
    /// 100 too early.
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

    /// Advances the clock to now. Loads that complete in between speed it up.
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

    /// Returns the predicted time of a load that starts now, in milliseconds,
    /// while other loads start at a given rate, up to a maximum in flight.
    ///
    /// Loads that start during this load slow it down like those before it,
    /// and outlast it. Without them in the prediction, 26 of 100 requests came
    /// too early in bursts at a simulated store that runs 170 loads at full
    /// speed; with them, 16 of 100. The prediction is never shorter than with
    /// the current number of loads in flight.
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

    /// Returns the value of the clock at a time.
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
        // One bucket beyond the likeliest: with a load time that is too short,
        // the clock drops loads before they complete, and too many loads
        // start.
        self.load_time_ms = bucket_end_ms(most_likely_bucket + 1);
    }

    /// Returns the weight of the observations that contradict the likeliest
    /// load time.
    fn contradiction(&self) -> f64 {
        self.most_likely_bucket().1
    }

    /// Returns the bucket of load times that the observations contradict
    /// least, and the weight of those that contradict it: adapters that were
    /// absent after a longer time or present after a shorter one. Of equal
    /// buckets, the first one with an observed load is returned.
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
