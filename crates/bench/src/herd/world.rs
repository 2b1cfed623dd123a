//! Plays one load through one way to choose.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sedgewall_clock::Instant;
use sedgewall_fleet::{
    endpoint::Endpoint,
    engine_pools::PoolReport,
    note::Status,
    view::{FleetView, Need, Totals},
};
use sedgewall_state::id::EndpointId;

use super::{
    Load, Way,
    event::{Agenda, Event},
};

/// The service.
const SERVICE: &str = "plain";

/// One way between an instance and an endpoint, or for a note.
const TRAVEL: Duration = Duration::from_millis(1);

/// What a note takes to all through relays.
const SPREAD: Duration = Duration::from_millis(4);

/// How often an instance tells the holder, and the holder tells all.
const TELLS_HOLDER: Duration = Duration::from_millis(300);
const TELLS_ALL: Duration = Duration::from_millis(150);

/// Up to so many instances tell all others themselves.
const FEW: usize = 13;

/// Sends of one request at most.
const MOST_SENDS: usize = 3;

/// After the first part of the time, requests count: the tables are known then.
const WARM_UP_PART: u32 = 6;

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests that count.
    pub requests: u32,
    /// Those answered within the target.
    pub in_time: u32,
    /// Arrivals at endpoints.
    pub arrivals: u32,
    /// Those rejected there.
    pub rejected: u32,
}

impl Outcome {
    /// Returns the part of the requests that was answered in time.
    pub fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    /// Returns the part of arrivals that was rejected.
    pub fn rejected_part(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.arrivals.max(1))
    }
}

struct Request {
    instance: usize,
    at: Duration,
    sent: Duration,
    tried: Vec<EndpointId>,
    found_load: f64,
}

struct Place {
    id: EndpointId,
    speed: f64,
    running: u32,
    queue: Vec<usize>,
    is_gone: bool,
}

struct World<'a> {
    load: &'a Load,
    way: Way,
    start: Instant,
    now: Duration,
    views: Vec<FleetView>,
    places: Vec<Place>,
    requests: Vec<Request>,
    agenda: Agenda,
    sequence: u64,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

/// Plays a load; the same seed brings the same requests.
pub fn play(load: &Load, way: Way, seed: u64) -> Outcome {
    let mut world = World::new(load, way, seed);
    while let Some((at, event)) = world.agenda.next() {
        world.now = at;
        world.happen(event);
    }
    world.outcome
}

impl<'a> World<'a> {
    fn new(load: &'a Load, way: Way, seed: u64) -> World<'a> {
        let start = Instant::now();
        let places: Vec<Place> = (0..load.endpoints)
            .map(|n| Place {
                id: format!("e{n}"),
                speed: load.speeds[n % load.speeds.len()],
                running: 0,
                queue: Vec::new(),
                is_gone: false,
            })
            .collect();
        let mut view = FleetView::new("z");
        for place in &places {
            view.apply_entry(listed(&place.id, load.slots), start);
        }
        let mut world = World {
            load,
            way,
            start,
            now: Duration::ZERO,
            views: vec![view; load.instances],
            places,
            requests: Vec::new(),
            agenda: Agenda::default(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        self.agenda.add(Duration::ZERO, Event::Arrives);
        for instance in 0..self.load.instances {
            let phase = self.rng.random_range(0.0..1.0);
            let at = TELLS_HOLDER.mul_f64(phase);
            self.agenda.add(at, Event::TellsHolder { instance });
        }
        if self.is_many() {
            self.agenda.add(Duration::ZERO, Event::TellsAll);
        }
        if self.load.half_goes {
            self.agenda.add(self.load.time / 2, Event::HalfGoes);
        }
    }

    fn is_many(&self) -> bool {
        self.load.instances > FEW
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrives => self.arrive(),
            Event::Reaches { request, endpoint } => {
                self.reach(request, endpoint);
            }
            Event::Done { request, endpoint } => self.done(request, endpoint),
            Event::Answered { request, endpoint, is_done } => {
                self.answered(request, endpoint, is_done);
            }
            Event::TellsHolder { instance } => self.tell_holder(instance),
            Event::TellsAll => self.tell_all(),
            Event::HalfGoes => self.half_goes(),
            Event::HalfIsGone => self.half_is_gone(),
        }
    }

    fn arrive(&mut self) {
        let load = self.load;
        let part = self.now.as_secs_f64() / load.time.as_secs_f64();
        let is_burst = (1.0 / 3.0..2.0 / 3.0).contains(&part);
        let factor = if is_burst { load.burst } else { 1.0 };
        let places = load.endpoints as f64 * f64::from(load.slots);
        let mean_speed =
            load.speeds.iter().sum::<f64>() / load.speeds.len() as f64;
        let capacity = places * mean_speed / load.work.as_secs_f64();
        let per_s = capacity * load.utilization * factor;
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / per_s;
        let next = self.now + Duration::from_secs_f64(gap);
        if next < load.time {
            self.agenda.add(next, Event::Arrives);
        }
        let instance = self.rng.random_range(0..load.instances);
        let request = self.requests.len();
        let (at, sent) = (self.now, self.now);
        self.requests.push(Request {
            instance,
            at,
            sent,
            tried: Vec::new(),
            found_load: 0.0,
        });
        if self.counts(request) {
            self.outcome.requests += 1;
        }
        self.send(request);
    }

    fn counts(&self, request: usize) -> bool {
        self.requests[request].at >= self.load.time / WARM_UP_PART
    }

    /// Sends a request to the endpoint that its instance chooses; one that finds
    /// none is lost.
    fn send(&mut self, request: usize) {
        let now = self.instant();
        let asked = &self.requests[request];
        let need = Need {
            service: SERVICE,
            key: None,
            exclude: &asked.tried,
            software_version: None,
            draw: self.rng.random(),
            prompt_tokens: 0,
            target_latency: self.load.target,
            may_wait: false,
            is_late: false,
        };
        let places = &self.places;
        let slots = f64::from(self.load.slots);
        let true_load = |id: &EndpointId| {
            let place = places.iter().find(|place| place.id == *id);
            place.map_or(0.0, |p| {
                (f64::from(p.running) + p.queue.len() as f64) / slots
            })
        };
        let view = &self.views[asked.instance];
        let chosen =
            self.way.choose(view, need, now, true_load, &mut self.rng);
        let Some(id) = chosen else { return };
        let endpoint = self.places.iter().position(|p| p.id == id);
        let endpoint = endpoint.expect("only listed endpoints are chosen");
        let asked = &mut self.requests[request];
        asked.sent = self.now;
        asked.tried.push(id.clone());
        let state = self.views[asked.instance].get_mut(&id);
        let state = state.expect("it is listed");
        asked.found_load = state.load();
        state.own_work.begin(None, 0);
        self.agenda
            .add(self.now + TRAVEL, Event::Reaches { request, endpoint });
    }

    fn reach(&mut self, request: usize, endpoint: usize) {
        let counts = self.counts(request);
        self.outcome.arrivals += u32::from(counts);
        let (slots, queue) = (self.load.slots, self.load.queue);
        let place = &mut self.places[endpoint];
        let is_full = place.queue.len() as u32 >= slots * queue;
        if is_full || place.is_gone {
            self.outcome.rejected += u32::from(counts);
            return self.answer(request, endpoint, false);
        }
        place.queue.push(request);
        self.work(endpoint);
    }

    /// Begins the work on requests in the queue while there are slots. Work
    /// takes up to half as long again when all slots are taken.
    fn work(&mut self, endpoint: usize) {
        let slots = self.load.slots;
        let place = &mut self.places[endpoint];
        while place.running < slots && !place.queue.is_empty() {
            let request = place.queue.remove(0);
            place.running += 1;
            let fill = f64::from(place.running) / f64::from(slots);
            let slowed = 1.0 + 0.5 * (fill - 0.8).max(0.0) / 0.2;
            let varied = self.rng.random_range(0.7..1.3);
            let took = self.load.work.mul_f64(slowed * varied / place.speed);
            self.agenda
                .add(self.now + took, Event::Done { request, endpoint });
        }
    }

    fn done(&mut self, request: usize, endpoint: usize) {
        self.places[endpoint].running -= 1;
        self.work(endpoint);
        self.answer(request, endpoint, true);
    }

    fn answer(&mut self, request: usize, endpoint: usize, is_done: bool) {
        let event = Event::Answered { request, endpoint, is_done };
        self.agenda.add(self.now + TRAVEL, event);
    }

    fn answered(&mut self, request: usize, endpoint: usize, is_done: bool) {
        let asked = &self.requests[request];
        let view = &mut self.views[asked.instance];
        let id = self.places[endpoint].id.clone();
        if let Some(state) = view.get_mut(&id) {
            state.own_work.end(None);
        }
        if is_done {
            let took = self.now - asked.sent;
            view.observe_residence_time(&id, asked.found_load, took);
            let is_in_time = self.now - asked.at <= self.load.target;
            if self.counts(request) && is_in_time {
                self.outcome.in_time += 1;
            }
        } else if asked.tried.len() < MOST_SENDS {
            self.send(request);
        }
    }

    /// An instance tells the holder, or all others if they are few.
    fn tell_holder(&mut self, instance: usize) {
        let work = self.views[instance].publish_work();
        let status = self.status(instance, work, TELLS_HOLDER, false);
        let now = self.instant() + TRAVEL;
        match self.is_many() {
            true if instance == 0 => {}
            true => self.views[0].apply_status(status, now),
            false => {
                for other in (0..self.views.len()).filter(|o| *o != instance) {
                    self.views[other].apply_status(status.clone(), now);
                }
            }
        }
        let pause =
            if self.is_many() { TELLS_HOLDER } else { TELLS_HOLDER / 2 };
        self.again(pause, Event::TellsHolder { instance });
    }

    fn tell_all(&mut self) {
        let Totals { work, .. } = self.views[0].publish_totals();
        let status = self.status(0, work, TELLS_ALL, true);
        let now = self.instant() + SPREAD;
        for view in &mut self.views[1..] {
            view.apply_status(status.clone(), now);
        }
        self.again(TELLS_ALL, Event::TellsAll);
    }

    fn status(
        &mut self,
        instance: usize,
        work: Vec<(EndpointId, sedgewall_fleet::work::Work)>,
        pause: Duration,
        is_total: bool,
    ) -> Status {
        self.sequence += 1;
        Status {
            from: format!("i{instance}"),
            sequence: self.sequence,
            next_in_ms: pause.as_millis() as u64,
            leads: None,
            configuration: 1,
            versions: 0,
            store_is_out: false,
            is_leaving: false,
            asked_by_customers: Vec::new(),
            departures: Vec::new(),
            work,
            is_total,
            is_part: false,
            crashes: Vec::new(),
            condemned: 0,
            limits: Vec::new(),
            pools: PoolReport::default(),
        }
    }

    fn again(&mut self, pause: Duration, event: Event) {
        if self.now + pause < self.load.time {
            self.agenda.add(self.now + pause, event);
        }
    }

    fn half_goes(&mut self) {
        let half = self.places.len() / 2;
        for place in &mut self.places[..half] {
            place.is_gone = true;
        }
        let heard = self.now + Duration::from_millis(500);
        self.agenda.add(heard, Event::HalfIsGone);
    }

    fn half_is_gone(&mut self) {
        let now = self.instant();
        let gone = self.places.iter().filter(|place| place.is_gone);
        let gone: Vec<EndpointId> = gone.map(|p| p.id.clone()).collect();
        for view in &mut self.views {
            for id in &gone {
                view.remove_entry(id, 2.into(), true, now);
            }
        }
    }
}

fn listed(id: &str, slots: u32) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        revision: 1.into(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".to_owned(),
        slots,
        is_draining: false,
        remaining: None,
        models: Vec::new(),
        born: None,
        software_version: None,
    }
}
