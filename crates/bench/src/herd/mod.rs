//! Many instances choose among the endpoints of one plain service, in virtual
//! time, by sums that are as old as those in a fleet: each instance tells the
//! holder every 300 ms, the holder tells all every 150 ms, and a note takes some
//! milliseconds. The tables and the choice are the product's own; other ways to
//! choose see the same tables.
//!
//! The endpoints take requests up to their slots, queue some more and reject the
//! rest; they slow down when they are near full. The invariant: each arrival is
//! counted once, as answered or as rejected.

mod event;
mod way;
mod world;

use std::time::Duration;

pub use self::{
    way::Way,
    world::{Outcome, play},
};

/// What is played.
#[derive(Clone, Debug)]
pub struct Load {
    /// Its name in tables.
    pub name: &'static str,
    /// Instances that choose.
    pub instances: usize,
    /// Endpoints that they choose among.
    pub endpoints: usize,
    /// Requests that an endpoint works on at once.
    pub slots: u32,
    /// Requests that it queues, as a multiple of its slots.
    pub queue: u32,
    /// Work of a request on an idle endpoint of speed one.
    pub work: Duration,
    /// Requests a second, as a part of what all endpoints can do.
    pub utilization: f64,
    /// Within this time a request is to be answered.
    pub target: Duration,
    /// Speeds of the endpoints, in turn.
    pub speeds: &'static [f64],
    /// From a third of the time on, for a third of it, so many times as many
    /// requests come.
    pub burst: f64,
    /// Half of the endpoints reject everything from the middle on, and leave the
    /// list half a second later.
    pub half_goes: bool,
    /// How long requests come.
    pub time: Duration,
}

impl Load {
    /// Returns short requests at half of what the endpoints can do, as a plain
    /// service of the fleet has them: seven endpoints of six slots, 60 ms.
    pub fn plain(name: &'static str, instances: usize) -> Load {
        Load {
            name,
            instances,
            endpoints: 7,
            slots: 6,
            queue: 4,
            work: Duration::from_millis(60),
            utilization: 0.55,
            target: Duration::from_millis(300),
            speeds: &[1.0, 1.1, 0.9, 1.0, 1.2, 0.8, 1.0],
            burst: 1.0,
            half_goes: false,
            time: Duration::from_secs(12),
        }
    }
}

/// Returns the loads on which the ways to choose are compared.
pub fn loads() -> Vec<Load> {
    let plain = Load::plain;
    let ms = Duration::from_millis;
    vec![
        plain("7 instances", 7),
        plain("74 instances", 74),
        plain("195 instances", 195),
        plain("300 instances", 300),
        Load { endpoints: 3, utilization: 0.7, ..plain("3 endpoints", 74) },
        Load { endpoints: 90, ..plain("90 endpoints", 74) },
        Load { work: ms(10), target: ms(50), ..plain("10 ms", 74) },
        Load {
            work: ms(1_000),
            target: ms(5_000),
            time: Duration::from_secs(30),
            ..plain("1 s", 74)
        },
        Load {
            work: ms(10_000),
            target: ms(50_000),
            time: Duration::from_secs(120),
            ..plain("10 s", 74)
        },
        Load { speeds: &[1.0, 0.4], ..plain("unequal", 74) },
        Load { speeds: &[1.0, 0.4], ..plain("unequal, 7 instances", 7) },
        Load {
            speeds: &[1.0, 0.4],
            endpoints: 60,
            ..plain("unequal, 60 endpoints", 74)
        },
        Load { utilization: 0.85, ..plain("near full", 74) },
        Load { burst: 1.8, ..plain("burst", 74) },
        Load { utilization: 0.4, half_goes: true, ..plain("half goes", 74) },
    ]
}
