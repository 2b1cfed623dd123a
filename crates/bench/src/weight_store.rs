//! A stand-in for the weight store: a rate of loads, and a number of them at
//! full speed at once.

use std::{cell::RefCell, rc::Rc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_transport::LocalBody;
use serde::{Deserialize, Serialize};

use crate::http::{empty, json};

/// What bounds the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Loads started per second.
    pub rate_per_s: f64,
    /// Loads at full speed at once; more share the speed.
    pub concurrency: u32,
    /// The time of a load at full speed.
    pub load_time: Duration,
}

/// What the store counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreStats {
    /// Loads that were asked for.
    pub loads: u64,
    /// The most loads at once.
    pub most_at_once: u32,
    /// Loads that had to wait for the rate.
    pub delayed: u64,
}

/// The store's state.
pub struct WeightStore {
    settings: StoreSettings,
    next_start: RefCell<Instant>,
    active: RefCell<u32>,
    stats: RefCell<StoreStats>,
}

/// The step in which progress is counted.
const TICK: Duration = Duration::from_millis(5);

impl WeightStore {
    /// Returns an idle store.
    pub fn new(settings: StoreSettings) -> Rc<WeightStore> {
        Rc::new(WeightStore {
            settings,
            next_start: RefCell::new(Instant::now()),
            active: RefCell::new(0),
            stats: RefCell::default(),
        })
    }

    /// Answers one request.
    pub async fn answer(
        self: Rc<WeightStore>,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        if request.uri().path() == "/stats" {
            return json(StatusCode::OK, &*self.stats.borrow());
        }
        self.load().await;
        empty(StatusCode::OK)
    }

    async fn load(&self) {
        self.stats.borrow_mut().loads += 1;
        let wait = self.reserve();
        if !wait.is_zero() {
            self.stats.borrow_mut().delayed += 1;
            compio::time::sleep(wait).await;
        }
        let active = Active::new(&self.active);
        self.note_most_at_once();
        let mut left = self.settings.load_time.as_secs_f64();
        while left > 0.0 {
            let before = Instant::now();
            compio::time::sleep(TICK).await;
            left -= before.elapsed().as_secs_f64() * self.speed();
        }
        drop(active);
    }

    fn note_most_at_once(&self) {
        let mut stats = self.stats.borrow_mut();
        stats.most_at_once = stats.most_at_once.max(*self.active.borrow());
    }

    /// Reserves the next start; a second's worth may be saved up.
    fn reserve(&self) -> Duration {
        let now = Instant::now();
        let gap = Duration::from_secs_f64(1.0 / self.settings.rate_per_s);
        let saved = Duration::from_secs(1).saturating_sub(gap);
        let mut next = self.next_start.borrow_mut();
        let earliest = now.checked_sub(saved).unwrap_or(now);
        let start = (*next).max(earliest);
        *next = start + gap;
        start.saturating_duration_since(now)
    }

    fn speed(&self) -> f64 {
        let active = f64::from(*self.active.borrow()).max(1.0);
        (f64::from(self.settings.concurrency) / active).min(1.0)
    }
}

struct Active<'a>(&'a RefCell<u32>);

impl<'a> Active<'a> {
    fn new(count: &'a RefCell<u32>) -> Active<'a> {
        *count.borrow_mut() += 1;
        Active(count)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        *self.0.borrow_mut() -= 1;
    }
}
