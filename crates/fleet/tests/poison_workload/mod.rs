//! Requests to engines of the model: many sound ones, which share the parts of
//! their prompts, and some with a part that crashes each engine that begins to
//! answer them.

use rand::{Rng, SeedableRng, rngs::StdRng};
use sedgewall_fleet::{
    features::{Feature, Features, Prompt, part_feature},
    poison::Loss,
    request_digest::{RequestDigest, RequestParts},
};

use super::{CONTACT_MS, CRASH_AFTER_MS, Model, PROBE_MS, TICK_MS, life};

const SERVICE: &str = "coach";

/// How long a sound request runs.
const RUN_MS: std::ops::Range<u64> = 150..900;

/// How long a request runs before its answer begins.
const ANSWERS_AFTER_MS: std::ops::Range<u64> = 20..120;

/// How long a crashed engine is down.
const DOWN_MS: u64 = 4_000;

/// Time without crashes, in which parts become known as sound.
const FIRST_CRASH_MS: u64 = 5_000;

/// Number of engines that may crash under one part before sends count as late.
const MOST_CRASHED: usize = 5;

/// The number of parts that begin prompts.
const FIRST_PARTS: u32 = 5;

/// The rate of requests that an engine takes.
const RATE_PER_ENGINE: f64 = 10.0;

/// Which requests are sent, and which of them crash engines.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub engines: usize,
    /// The number of second parts of sound requests.
    pub parts: u32,
    /// The first part of the requests that crash engines.
    pub first: First,
    /// Whether their second part is that of sound requests until it begins to
    /// crash engines.
    pub turns: bool,
    /// Whether engines crash only after the answer has begun.
    pub answers: bool,
    /// The number of parts that crash engines, each from another time on.
    pub culprits: u32,
    /// Requests per second with each of these.
    pub rate_per_s: f64,
    /// Whether a request without such a part is retried and crashes engines
    /// too.
    pub has_poison_request: bool,
    /// The mean time between crashes of other causes, if there are any.
    pub other_crashes_ms: Option<u64>,
    /// The number of engines that crash together for such a cause.
    pub rack: usize,
}

/// How many other requests have the first part of those that crash engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum First {
    Popular,
    /// About one a minute.
    Rare,
    New,
}

/// A run of a request.
struct Run {
    instance: usize,
    features: Features,
    began_ms: u64,
    /// When its answer begins.
    answers_ms: u64,
    ends_ms: u64,
    is_fatal: bool,
}

struct Engine {
    /// The number of its current incarnation.
    life: u32,
    up_ms: u64,
    runs: Vec<Run>,
}

pub struct Engines {
    workload: Workload,
    engines: Vec<Engine>,
    next_life: u32,
    next_request: u32,
    rng: StdRng,
    /// When engines crashed under each culprit.
    crashed_ms: Vec<Vec<u64>>,
    poison_request: RequestDigest,
}

fn request(n: u32) -> RequestDigest {
    let path = format!("/p/{n}");
    RequestDigest::of(RequestParts {
        customer: None,
        method: "POST",
        host: "h",
        path: &path,
        body: b"",
    })
}

impl Engines {
    pub fn new(workload: &Workload, seed: u64) -> Engines {
        let engines = (0..workload.engines)
            .map(|n| Engine { life: n as u32, up_ms: 0, runs: Vec::new() })
            .collect();
        Engines {
            workload: *workload,
            engines,
            next_life: workload.engines as u32,
            next_request: 1,
            rng: StdRng::seed_from_u64(seed),
            crashed_ms: vec![Vec::new(); workload.culprits as usize],
            poison_request: request(0),
        }
    }

    /// Returns the second part of the requests of a culprit.
    fn culprit_part(&self, culprit: u32) -> String {
        match self.workload.turns {
            true => format!("s{culprit}"),
            false => format!("deadly{culprit}"),
        }
    }

    fn features(&mut self, first: &str, second: &str) -> Features {
        let n = self.next_request;
        self.next_request += 1;
        let own = format!("own{n}");
        let parts = [first, second, &own];
        let prompt =
            Prompt { service: SERVICE, customer: None, parts: &parts };
        Features::new(request(n), prompt)
    }

    fn starts_ms(culprit: u32) -> u64 {
        FIRST_CRASH_MS + 4_000 * u64::from(culprit)
    }

    pub fn tick(&mut self, model: &mut Model<'_>, now: u64) {
        self.end_runs(model, now);
        self.crash_otherwise(model, now);
        let rate = RATE_PER_ENGINE * self.workload.engines as f64;
        for _ in 0..self.arrivals(rate) {
            self.send_sound(model, now);
        }
        let culprits = 0..self.workload.culprits;
        for culprit in culprits.filter(|c| now >= Engines::starts_ms(*c)) {
            for _ in 0..self.arrivals(self.workload.rate_per_s) {
                self.send_fatal(model, culprit, now);
            }
        }
        if self.workload.has_poison_request
            && now >= FIRST_CRASH_MS
            && now.is_multiple_of(500)
        {
            let mut features = self.features("f0", "s1");
            features.request = self.poison_request;
            self.send(model, features, true, now);
        }
        self.note_condemned(model, now);
    }

    /// Returns how many requests arrive in a tick.
    fn arrivals(&mut self, rate_per_s: f64) -> usize {
        let mean = rate_per_s * TICK_MS as f64 / 1_000.0;
        let more = self.rng.random_bool(mean.fract());
        mean as usize + usize::from(more)
    }

    fn send_sound(&mut self, model: &mut Model<'_>, now: u64) {
        let first =
            match self.rng.random_range(0..100 * RATE_PER_ENGINE as u32) {
                0 if self.workload.first == First::Rare => "rare".to_owned(),
                n => format!("f{}", n % FIRST_PARTS),
            };
        let second =
            format!("s{}", self.rng.random_range(0..self.workload.parts));
        let is_turned = (0..self.workload.culprits).any(|culprit| {
            second == self.culprit_part(culprit)
                && now >= Engines::starts_ms(culprit)
        });
        if is_turned {
            return;
        }
        let features = self.features(&first, &second);
        model.outcome.sound += 1;
        if !self.send(model, features, false, now) {
            model.outcome.sound_refused += 1;
        }
    }

    fn send_fatal(&mut self, model: &mut Model<'_>, culprit: u32, now: u64) {
        let first = match self.workload.first {
            First::Popular => "f0",
            First::Rare => "rare",
            First::New => "new",
        };
        let second = self.culprit_part(culprit);
        let features = self.features(first, &second);
        self.send(model, features, true, now);
    }

    /// Sends a request through a random instance to a random engine. Returns
    /// whether it is not refused.
    fn send(
        &mut self,
        model: &mut Model<'_>,
        features: Features,
        is_fatal: bool,
        now: u64,
    ) -> bool {
        let n = self.rng.random_range(0..model.scenario.instances);
        if !model.is_up(n, now) {
            return true;
        }
        let at = model.at(now);
        let poison = &model.instances[n].poison;
        if poison.find_condemned(&features, at).is_some() {
            return false;
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|e| self.engines[*e].up_ms <= now)
            .collect();
        if up.is_empty() {
            return true;
        }
        if is_fatal {
            self.note_late(model, &features, n, now);
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let lasts = match is_fatal {
            true => CRASH_AFTER_MS,
            false => self.rng.random_range(RUN_MS),
        };
        let answers_after = match is_fatal && !self.workload.answers {
            true => lasts + 1,
            false if is_fatal => lasts / 2,
            false => self.rng.random_range(ANSWERS_AFTER_MS),
        };
        self.engines[engine].runs.push(Run {
            instance: n,
            features,
            began_ms: now,
            answers_ms: now + answers_after,
            ends_ms: now + lasts,
            is_fatal,
        });
        true
    }

    fn note_late(
        &self,
        model: &mut Model<'_>,
        features: &Features,
        n: usize,
        now: u64,
    ) {
        for culprit in 0..self.workload.culprits {
            let part = self.culprit_part(culprit);
            let feature = part_feature(SERVICE, None, &part);
            let crashed = &self.crashed_ms[culprit as usize];
            let fifth = crashed.get(MOST_CRASHED - 1);
            if features.shared.contains(&feature)
                && fifth.is_some_and(|at| now > at + CONTACT_MS)
                && model.in_touch(n, now)
            {
                model.outcome.later += 1;
            }
        }
    }

    fn end_runs(&mut self, model: &mut Model<'_>, now: u64) {
        for e in 0..self.engines.len() {
            let mut is_crashed = false;
            let runs = std::mem::take(&mut self.engines[e].runs);
            let (ended, rest): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|run| run.ends_ms <= now);
            self.engines[e].runs = rest;
            for run in ended {
                if run.is_fatal {
                    self.note_crash(&run, now);
                    self.engines[e].runs.push(run);
                    is_crashed = true;
                    continue;
                }
                let n = run.instance;
                if !model.is_up(n, now) {
                    continue;
                }
                let (began, at) = (model.at(run.began_ms), model.at(now));
                let poison = &mut model.instances[n].poison;
                let _ = poison.record_success(&run.features, began, at);
                model.tell_refutations(n, now);
            }
            if is_crashed {
                model.outcome.ended_at.push(now);
                self.crash(model, e, now);
            }
        }
    }

    fn note_crash(&mut self, run: &Run, now: u64) {
        for culprit in 0..self.workload.culprits {
            let part = self.culprit_part(culprit);
            let feature = part_feature(SERVICE, None, &part);
            if run.features.shared.contains(&feature) {
                self.crashed_ms[culprit as usize].push(now);
            }
        }
    }

    /// Crashes an engine with all its runs.
    fn crash(&mut self, model: &mut Model<'_>, e: usize, now: u64) {
        let engine = &mut self.engines[e];
        let ended = std::mem::replace(&mut engine.life, self.next_life);
        self.next_life += 1;
        engine.up_ms = now + DOWN_MS;
        for run in std::mem::take(&mut engine.runs) {
            if !model.is_up(run.instance, now) {
                continue;
            }
            let (began, at) = (model.at(run.began_ms), model.at(now));
            let instance = &mut model.instances[run.instance];
            let of = life(ended);
            let lost = match run.answers_ms <= now {
                true => Loss::Broken,
                false => Loss::Unanswered,
            };
            let features = run.features;
            instance.poison.record_lost_run(&of, features, began, lost, at);
            let known = (ended, now + PROBE_MS);
            if !instance.ends.contains(&known) {
                instance.ends.push(known);
            }
        }
    }

    /// Crashes engines for other causes.
    fn crash_otherwise(&mut self, model: &mut Model<'_>, now: u64) {
        let Some(mean_ms) = self.workload.other_crashes_ms else { return };
        let probability = TICK_MS as f64 / mean_ms as f64;
        if !self.rng.random_bool(probability.min(1.0)) {
            return;
        }
        let first = self.rng.random_range(0..self.engines.len());
        for n in 0..self.workload.rack {
            let e = (first + n) % self.engines.len();
            if self.engines[e].up_ms <= now {
                self.crash(model, e, now);
            }
        }
    }

    /// Notes sound features that any instance has condemned for good.
    fn note_condemned(&self, model: &mut Model<'_>, now: u64) {
        let at = model.at(now);
        let culprits = 0..self.workload.culprits;
        let parts = culprits.map(|culprit| self.culprit_part(culprit));
        let mut guilty: Vec<Feature> =
            parts.map(|part| part_feature(SERVICE, None, &part)).collect();
        guilty.push(self.poison_request);
        // With no other requests, what they all have is as guilty.
        if self.workload.first == First::New {
            guilty.push(part_feature(SERVICE, None, "new"));
        }
        for instance in &model.instances {
            if !instance.poison.has_condemned() {
                continue;
            }
            let condemned = instance.poison.condemned(at);
            let falsely = condemned.iter().map(|c| c.digest);
            let falsely = falsely.filter(|feature| !guilty.contains(feature));
            model.outcome.falsely_condemned.extend(falsely);
        }
    }
}
