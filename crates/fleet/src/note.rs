//! What instances tell each other, in datagrams.
//!
//! Each note repairs the loss of those before it: loads are whole sums, not
//! changes, and what a [`Note::Placed`] says shows in the platform's list a
//! little later.

use std::time::Duration;

use sedgewall_coordination::lease::{LeaseWrite, WriteAnswer};
use sedgewall_state::id::{EndpointId, Epoch, InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    departure::Departure,
    endpoint::{Endpoint, Revision},
    incarnation::Incarnation,
    limit_share::LimitReport,
    poison::Crash,
    rate_limiter,
    request_digest::RequestDigest,
    work::Work,
};

/// Up to so many other instances hear each note from its sender, and know well
/// what each has under way. More take relays, and sums of the holder's.
pub const MAX_DIRECT_PEERS: usize = 12;

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Note {
    /// What an instance has under way, to all others.
    Status(Status),
    /// What was asked for since the last such note, to the holder of the
    /// lease.
    #[serde(rename = "Asked")]
    DemandReport(DemandReport),
    /// An adapter is being loaded.
    Placed(Placed),
    /// An adapter is being removed.
    Removed(Removed),
    /// An endpoint is leaving or gone, as the platform's store says.
    Departed(Departure),
    /// An endpoint ended, and these runs of one instance with it.
    Crashed(Crash),
    /// A run of a request ended well: it ends no endpoints.
    Cleared(RequestDigest),
    /// The store did not answer the holder of the lease: all see whether it
    /// answers them, and say so.
    #[serde(rename = "StoreFails")]
    ProbeStore,
    /// The holder of the lease cannot reach the store; whoever gets this renews
    /// the lease for it.
    #[serde(rename = "RenewForMe")]
    RenewalRequest(RenewalRequest),
    /// What the store answered to such a renewal.
    #[serde(rename = "Renewed")]
    RenewalAnswer(RenewalAnswer),
    /// Several instances cannot reach an engine: all leave it out for a while.
    Suspect {
        /// The engine.
        endpoint: EndpointId,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Up to when does whoever gets this know all changes of the configuration?
    #[serde(rename = "AskFresh")]
    FreshnessQuery {
        /// Who asks.
        from: InstanceId,
        /// The number of the question.
        number: u64,
    },
    /// The answer.
    #[serde(rename = "Fresh")]
    FreshnessAnswer {
        /// The number of the question.
        number: u64,
        /// How long ago all changes were known, in milliseconds.
        age_ms: u64,
        /// The version that is in force there.
        configuration: u64,
    },
    /// Several notes in one datagram.
    Batch(Vec<Note>),
    /// A note to all, on its way through one instance of a group.
    #[serde(rename = "Relayed")]
    GroupRelay(GroupRelay),
    /// A note to all, on its way through one instance of a zone.
    #[serde(rename = "ForZone")]
    ZoneRelay(Box<Note>),
}

/// A renewal of the lease that another instance is to send to the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewalRequest {
    /// The holder, which is to hear the answer.
    pub from: InstanceId,
    /// Tells this request from the holder's other ones.
    pub number: u64,
    /// What to send.
    pub write: LeaseWrite,
    /// The newest revision of an endpoint's entry that the holder knows.
    #[serde(default)]
    pub known_revision: Revision,
}

/// The store's answer to a [`RenewalRequest`], and what the holder cannot see
/// while it does not reach the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewalAnswer {
    /// The number of the request.
    pub number: u64,
    /// The answer.
    pub answer: WriteAnswer,
    /// The endpoints that are newer than the holder knows, the oldest first,
    /// without their adapters.
    pub endpoints: Vec<Endpoint>,
    /// The newest versions that were named.
    pub versions: Vec<(AdapterKey, WeightVersion)>,
}

/// A note that whoever gets it hears, and passes on to its group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupRelay {
    /// The number of the group ([`crate::relays::Group`]).
    pub index: u32,
    /// How many groups the zone has.
    pub count: u32,
    /// The note.
    pub note: Box<Note>,
}

/// The lease on orders, as its holder knows it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderLease {
    /// Its epoch.
    pub epoch: Epoch,
    /// The last renewal that the store has answered.
    pub renewal: u64,
    /// How long it holds without another, in milliseconds.
    pub left_ms: u64,
}

/// What an instance has under way.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Who says so.
    pub from: InstanceId,
    /// Rises with each note of one life of the instance.
    pub sequence: u64,
    /// When the next such note is due, in milliseconds.
    pub next_in_ms: u64,
    /// The lease, while its holder is sure to hold it.
    pub leads: Option<LeaderLease>,
    /// The version of the configuration that is in force there.
    pub configuration: u64,
    /// How many versions of weights were named, as far as it knows.
    pub versions: u64,
    /// Whether the platform's store did not answer it when it asked last.
    pub store_is_out: bool,
    /// Whether it takes no more work and will end.
    pub is_leaving: bool,
    /// What customers ask of the sender, or of all if the work is a total.
    #[serde(default)]
    pub asked_by_customers: Vec<rate_limiter::CustomerDemand>,
    /// Endpoints that left lately. An instance of the release before says none.
    #[serde(default)]
    pub departures: Vec<Departure>,
    /// What is under way, by endpoint; those without work are left out.
    pub work: Vec<(EndpointId, Work)>,
    /// Whether they are those of all instances, as the holder of the lease
    /// knows them, and not the sender's own.
    pub is_total: bool,
    /// Whether totals are of some endpoints only, and the others as told before.
    #[serde(default)]
    pub is_part: bool,
    /// Runs of the sender's that ended with their endpoints lately.
    #[serde(default)]
    pub crashes: Vec<Crash>,
    /// How many requests it has condemned.
    #[serde(default)]
    pub condemned: u64,
    /// The limits of endpoints that it knows, with what it wants to send there, or
    /// all instances if the work is a total.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
}

/// Notes of an instance that may be lost in a row before what it said of itself
/// counts no longer.
const MAX_LOST_STATUSES: u32 = 6;

impl Status {
    /// Returns how long this note counts without another one.
    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.next_in_ms) * MAX_LOST_STATUSES
    }
}

/// Requests for adapters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    /// Who says so, and is to hear what became of it.
    pub from: InstanceId,
    /// Where they were asked for.
    pub zone: ZoneName,
    /// How often each was asked for.
    pub counts: Vec<(AdapterKey, u32)>,
    /// What requests wait for, with the rank of the most urgent.
    pub waiting: Vec<(AdapterKey, u8)>,
    /// Engines that could not be reached.
    pub unreachable: Vec<EndpointId>,
    /// Whether adapters were there when requests were sent to them.
    #[serde(default)]
    pub arrivals: Vec<LoadObservationReport>,
    /// Endpoints that take no more from the sender, and for how long, in
    /// milliseconds.
    #[serde(default)]
    pub saturated: Vec<(EndpointId, u64)>,
}

/// What a request showed that was sent to an adapter on its way.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadObservationReport {
    /// The engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub key: AdapterKey,
    /// Whether it was there.
    pub is_there: bool,
    /// How long ago the request was sent, in milliseconds.
    pub ago_ms: u64,
}

/// An adapter on its way to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The epoch of the holder that ordered it.
    pub epoch: Epoch,
    /// The engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub key: AdapterKey,
    /// The version that the load brings.
    pub version: WeightVersion,
    /// When it is likely to be ready, in milliseconds from now.
    pub ready_in_ms: u64,
    /// Whether it comes from the weight store.
    #[serde(default)]
    pub is_cold: bool,
    /// Which life of the engine was ordered, if it tells its lives apart.
    #[serde(default)]
    pub born: Option<Incarnation>,
}

/// An adapter that leaves an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Removed {
    /// The epoch of the holder that ordered it.
    pub epoch: Epoch,
    /// The engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub key: AdapterKey,
    /// Which life of the engine was ordered, if it tells its lives apart.
    #[serde(default)]
    pub born: Option<Incarnation>,
}
