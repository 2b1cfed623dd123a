//! This instance's share of the room at endpoints that can reject only few
//! requests.
//!
//! A brittle endpoint falls over if it must reject more than a number of
//! requests in a second for want of room, those of all instances together. An
//! instance therefore sends to it only what is certain to find room. It knows
//! the requests of the other instances with a delay, in which all of them may
//! see the same free slots. So within a window as long as that delay, an
//! instance replaces its own requests as they end, and adds no more than its
//! share of the slots that were free at the start of the window.
//!
//! A rejection shows that there is less room than the endpoint has slots. It
//! lowers the room that is counted on, and together with the rejections that
//! other instances report it stops all requests to the endpoint for a while.
//!
//! The invariant: instances that know the same requests add no more than the
//! free slots together in one window, up to random rounding.

use std::{collections::HashMap, time::Duration};

use sedgewall_clock::Instant;
use sedgewall_state::id::EndpointId;

use crate::{
    announcement::AnnouncedLimit, limit_share::Permit, note::MAX_DIRECT_PEERS,
    route::ServiceName,
};

/// The part of an endpoint's slots that is counted on. The remainder covers
/// slots that new connections and long prompts take.
const ROOM_FRACTION: f64 = 0.95;

/// The length of a window among few instances: the interval between two notes,
/// twice, since a request is reported in the first note after it and others
/// act on the note before.
const WINDOW_FEW_PEERS: Duration = Duration::from_millis(300);

/// The length of a window among many instances, which learn of each other's
/// requests through the lease holder's totals.
const WINDOW_MANY_PEERS: Duration = Duration::from_millis(600);

/// The time within which an endpoint counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// The divisor of the rejections that an endpoint survives, which gives the
/// known rejections that stop all requests to it. Others may be on their way.
const STOP_DIVISOR: f64 = 4.0;

/// The interval at which the room that is counted on grows by one slot again
/// after a rejection.
const RECOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// How much more requests may compete for an endpoint in a window than an even
/// distribution of the demand suggests.
const UNEVENNESS: f64 = 2.0;

/// The time constant of the demand estimate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// How long the announcement of a service is kept while nothing is heard from
/// the service.
const ANNOUNCEMENT_KEPT_FOR: Duration = Duration::from_secs(60);

/// The maximum number of rejections in one report.
const MAX_REPORTS: usize = 32;

/// The difference below which the reported times of two rejections are those
/// of the same one, since times are rounded and notes take a moment.
const SAME_REJECTION: Duration = Duration::from_millis(3);

/// A request for room at an endpoint, and what is known of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest<'a> {
    /// The endpoint's service.
    pub service: &'a str,
    /// The number of the service's endpoints.
    pub endpoints: usize,
    /// The endpoint's slots.
    pub slots: u32,
    /// The requests of all instances in flight there, as far as known.
    pub in_flight: u32,
    /// This instance's own requests among them.
    pub own_in_flight: u32,
    /// The number of instances that send to the service.
    pub instances: usize,
    /// A random number between 0 and 1, drawn once per request and endpoint.
    pub draw: f64,
}

/// A change of what a service announces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittlenessChange {
    /// The rejections in a second that each endpoint of the service survives;
    /// `None` if it is no longer brittle.
    pub max_rejections_per_s: Option<f64>,
}

/// A rejection for want of room: the endpoint, and the time since in
/// milliseconds.
pub type RejectionReport = (EndpointId, u64);

/// This instance's shares of the room at all brittle endpoints.
#[derive(Clone, Debug, Default)]
pub struct RoomShares {
    services: HashMap<ServiceName, Brittleness>,
    rooms: HashMap<EndpointId, Room>,
}

/// What the endpoints of one service announce.
#[derive(Clone, Debug)]
struct Brittleness {
    max_rejections_per_s: f64,
    /// When the newest request was sent whose answer announced this.
    announced: Instant,
    /// A count of the endpoints at which this instance's requests have asked
    /// for room, which decays exponentially.
    asked: f64,
    counted_at: Instant,
}

/// The room at one endpoint.
#[derive(Clone, Debug, Default)]
struct Room {
    window: Option<Window>,
    /// The room that rejections have shown, and when it was last changed.
    learned: Option<(u32, Instant)>,
    /// The known rejections of the last second.
    rejections: Vec<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    began: Instant,
    /// The requests that this instance may have in flight until its end.
    allowed: u32,
}

impl RoomShares {
    /// Applies what a response of a service announces; `sent` is when its
    /// request was sent. Returns the change, if there is one. A response ends
    /// an announcement only if its request was sent after the newest one that
    /// repeated it, since responses may overtake each other.
    pub fn observe(
        &mut self,
        service: &str,
        announced: AnnouncedLimit,
        sent: Instant,
    ) -> Option<BrittlenessChange> {
        let known = self.services.get_mut(service);
        match (announced, known) {
            (AnnouncedLimit::PerSecond(max_rejections_per_s), known) => {
                let change = BrittlenessChange {
                    max_rejections_per_s: Some(max_rejections_per_s),
                };
                let Some(known) = known else {
                    let brittleness = Brittleness {
                        max_rejections_per_s,
                        announced: sent,
                        asked: 0.0,
                        counted_at: sent,
                    };
                    self.services.insert(service.to_owned(), brittleness);
                    return Some(change);
                };
                if sent < known.announced {
                    return None;
                }
                known.announced = sent;
                let was = std::mem::replace(
                    &mut known.max_rejections_per_s,
                    max_rejections_per_s,
                );
                (was != max_rejections_per_s).then_some(change)
            }
            (AnnouncedLimit::None, Some(known)) if sent > known.announced => {
                self.services.remove(service);
                Some(BrittlenessChange { max_rejections_per_s: None })
            }
            (AnnouncedLimit::None | AnnouncedLimit::Unreadable, _) => None,
        }
    }

    /// Returns whether the endpoints of a service are brittle.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Counts a request that asks for room at an endpoint of a service, once
    /// for each endpoint that it asks at.
    pub fn record_demand(&mut self, service: &str, now: Instant) {
        if let Some(brittleness) = self.services.get_mut(service) {
            brittleness.asked = brittleness.decayed(now) + 1.0;
            brittleness.counted_at = now;
        }
    }

    /// Asks for room at an endpoint for one request.
    pub fn take(
        &mut self,
        endpoint: &EndpointId,
        request: RoomRequest<'_>,
        now: Instant,
    ) -> Permit {
        let Some(brittleness) = self.services.get(request.service) else {
            return Permit::Granted;
        };
        let room = self.rooms.entry(endpoint.clone()).or_default();
        if let Some(until) = room.stopped_until(brittleness, now) {
            return Permit::Denied { ready_in: until - now };
        }
        let size = room.size(request.slots, now);
        let length = window_length(request.instances);
        let window = match room.window {
            Some(window) if now < window.began + length => window,
            _ => {
                let free = size.saturating_sub(request.in_flight);
                let share = f64::from(free)
                    / brittleness.competitors(&request, length, now);
                // Rounded at random, so that small shares of many instances
                // add up to what is free.
                let added = share.floor()
                    + f64::from(u8::from(request.draw < share.fract()));
                let own = request.own_in_flight;
                let window =
                    Window { began: now, allowed: own + added as u32 };
                room.window = Some(window);
                window
            }
        };
        let has_room =
            request.own_in_flight < window.allowed && request.in_flight < size;
        match has_room {
            true => Permit::Granted,
            false => Permit::Denied { ready_in: window.began + length - now },
        }
    }

    /// Records that an endpoint has rejected a request for want of room, while
    /// this many requests were known to be in flight there. Returns whether
    /// the endpoint is brittle, so that the other instances must be told.
    pub fn record_rejection(
        &mut self,
        service: &str,
        endpoint: &EndpointId,
        in_flight: u32,
        now: Instant,
    ) -> bool {
        if !self.is_brittle(service) {
            return false;
        }
        let room = self.rooms.entry(endpoint.clone()).or_default();
        room.record_rejection(in_flight, now, now);
        true
    }

    /// Applies a rejection that another instance reports. Reports of the same
    /// rejection through several instances count once.
    pub fn apply_report(
        &mut self,
        service: &str,
        (endpoint, ms_ago): &RejectionReport,
        in_flight: u32,
        now: Instant,
    ) {
        let ago = Duration::from_millis(*ms_ago);
        let Some(at) = now.checked_sub(ago) else { return };
        if !self.is_brittle(service) || ago >= REJECTION_WINDOW {
            return;
        }
        let room = self.rooms.entry(endpoint.clone()).or_default();
        let is_known = room.rejections.iter().any(|known| {
            known.max(&at).saturating_duration_since(*known.min(&at))
                < SAME_REJECTION
        });
        if !is_known {
            room.record_rejection(in_flight, at, now);
        }
    }

    /// Returns the rejections of the last second, for the other instances.
    pub fn reports(&self, now: Instant) -> Vec<RejectionReport> {
        let mut reports = Vec::new();
        for (endpoint, room) in &self.rooms {
            let recent = room.recent_rejections(now);
            reports.extend(recent.map(|at| {
                let ago = now.saturating_duration_since(at);
                (endpoint.clone(), ago.as_millis() as u64)
            }));
        }
        reports.sort_by_key(|(_, ms_ago)| *ms_ago);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Removes what is known of an endpoint that was restarted or is gone.
    pub fn end_incarnation(&mut self, endpoint: &EndpointId) {
        self.rooms.remove(endpoint);
    }

    /// Removes what is known of endpoints that are not brittle, and of
    /// services that have not been heard of for long.
    pub fn forget(
        &mut self,
        service_of: impl Fn(&EndpointId) -> Option<ServiceName>,
        now: Instant,
    ) {
        self.services.retain(|_, brittleness| {
            now.saturating_duration_since(brittleness.announced)
                < ANNOUNCEMENT_KEPT_FOR
        });
        let services = &self.services;
        self.rooms.retain(|endpoint, _| {
            service_of(endpoint).is_some_and(|s| services.contains_key(&s))
        });
    }
}

fn window_length(instances: usize) -> Duration {
    match instances > MAX_DIRECT_PEERS + 1 {
        true => WINDOW_MANY_PEERS,
        false => WINDOW_FEW_PEERS,
    }
}

impl Brittleness {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        let age = age.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.asked * (-age).exp()
    }

    /// Returns how many instances are likely to want a free slot of the same
    /// endpoint in one window. Few instances all count. Under overload, each
    /// request asks at many endpoints, so that all instances count.
    fn competitors(
        &self,
        request: &RoomRequest<'_>,
        length: Duration,
        now: Instant,
    ) -> f64 {
        let instances = request.instances.max(1) as f64;
        if request.instances <= MAX_DIRECT_PEERS + 1 {
            return instances;
        }
        let own_per_s = self.decayed(now) / DEMAND_TIME_CONSTANT.as_secs_f64();
        let per_endpoint = own_per_s * instances / request.endpoints as f64;
        let competing = per_endpoint * length.as_secs_f64() * UNEVENNESS;
        competing.clamp(1.0, instances)
    }
}

impl Room {
    fn recent_rejections(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = Instant> {
        let is_recent = move |at: &Instant| {
            now.saturating_duration_since(*at) < REJECTION_WINDOW
        };
        self.rejections.iter().copied().filter(is_recent)
    }

    /// Returns until when the endpoint gets no requests because of its
    /// rejections, if it gets none now.
    fn stopped_until(
        &self,
        brittleness: &Brittleness,
        now: Instant,
    ) -> Option<Instant> {
        let survives = brittleness.max_rejections_per_s / STOP_DIVISOR;
        let stop_at = survives.floor().max(1.0) as usize;
        let mut recent: Vec<Instant> = self.recent_rejections(now).collect();
        if recent.len() < stop_at {
            return None;
        }
        recent.sort_unstable();
        let first = recent[recent.len() - stop_at];
        Some(first + REJECTION_WINDOW)
    }

    /// Returns the number of requests that are certain to find room.
    fn size(&mut self, slots: u32, now: Instant) -> u32 {
        let most = ((f64::from(slots) * ROOM_FRACTION) as u32).max(1);
        let Some((learned, changed)) = self.learned else { return most };
        let since = now.saturating_duration_since(changed);
        let regained = since.as_secs_f64() / RECOVERY_INTERVAL.as_secs_f64();
        let size = learned.saturating_add(regained as u32);
        if size >= most {
            self.learned = None;
        }
        size.min(most)
    }

    fn record_rejection(&mut self, in_flight: u32, at: Instant, now: Instant) {
        self.rejections.retain(|known| {
            now.saturating_duration_since(*known) < REJECTION_WINDOW
        });
        self.rejections.push(at);
        let shown = in_flight.saturating_sub(1).max(1);
        let known = self.learned.map_or(shown, |(known, _)| known.min(shown));
        self.learned = Some((known, now));
        self.window = None;
    }
}
