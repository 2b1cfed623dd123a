//! Notes: the messages that instances send to each other as UDP datagrams.
//!
//! Each note makes up for the loss of earlier ones: work is reported as
//! totals, not as changes, and what a [`Note::Placed`] reports appears in the
//! platform's list a little later.

use std::time::Duration;

use sedgewall_coordination::lease::{LeaseWrite, WriteAnswer};
use sedgewall_state::id::{EndpointId, Epoch, InstanceId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{AdapterKey, WeightVersion},
    departure::Departure,
    endpoint::{Endpoint, SoftwareVersion},
    engine_pools::{ClassDemand, PoolReport},
    incarnation::Incarnation,
    limit_share::LimitReport,
    poison::Crash,
    rate_limiter,
    request_digest::RequestDigest,
    revision::Revision,
    route::ServiceName,
    stream_origins::{OriginKnowledge, StreamKey, StreamOrigin},
    work::Work,
};

/// Maximum number of other instances to which each note is sent directly and
/// which know each other's work. Beyond it, notes go through relays, and the
/// lease holder sends totals.
pub const MAX_DIRECT_PEERS: usize = 12;

/// A message in one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Note {
    /// Work of an instance. Sent to all others.
    Status(Status),
    /// Demand for adapters since the last report. Sent to the lease holder.
    #[serde(rename = "Asked")]
    DemandReport(DemandReport),
    /// An engine was ordered to load an adapter.
    Placed(Placed),
    /// An engine was ordered to unload an adapter.
    Removed(Removed),
    /// An endpoint is draining or gone, according to the platform's store.
    Departed(Departure),
    /// An endpoint ended and interrupted these runs of one instance.
    Crashed(Crash),
    /// A run of a request succeeded, so that it is no poison request.
    Cleared(RequestDigest),
    /// The store did not answer the lease holder. Each receiver probes the
    /// store and reports whether it is reachable.
    #[serde(rename = "StoreFails")]
    ProbeStore,
    /// The lease holder cannot reach the store. The receiver renews the lease
    /// on its behalf.
    #[serde(rename = "RenewForMe")]
    RenewalRequest(RenewalRequest),
    /// The store's answer to a [`Note::RenewalRequest`].
    #[serde(rename = "Renewed")]
    RenewalAnswer(RenewalAnswer),
    /// Several instances cannot reach an engine. All instances exclude it for
    /// a while.
    Suspect {
        /// The endpoint of the engine.
        endpoint: EndpointId,
        /// How long the engine is excluded, in milliseconds.
        for_ms: u64,
    },
    /// Asks how old the receiver's knowledge of the configuration is.
    #[serde(rename = "AskFresh")]
    FreshnessQuery {
        /// The instance that asks.
        from: InstanceId,
        /// The number of the query.
        number: u64,
    },
    /// Answers a [`Note::FreshnessQuery`].
    #[serde(rename = "Fresh")]
    FreshnessAnswer {
        /// The number of the query.
        number: u64,
        /// Time since all changes of the configuration were known, in
        /// milliseconds.
        age_ms: u64,
        /// The version in force at the sender.
        configuration: u64,
    },
    /// Streams whose first events came through the sender.
    StreamsBegan(Vec<BegunStreams>),
    /// Asks where a stream began.
    OriginQuery(OriginQuery),
    /// Answers a [`Note::OriginQuery`].
    OriginAnswer {
        /// The number of the query.
        number: u64,
        /// The instance that answers.
        from: InstanceId,
        /// What it knows.
        knowledge: OriginKnowledge,
    },
    /// A resumed stream waits for an adapter at endpoints of one software
    /// version. Sent to the lease holder.
    VersionDemand(VersionDemand),
    /// Several notes in one datagram.
    Batch(Vec<Note>),
    /// A note to all instances, relayed by one instance of a group.
    #[serde(rename = "Relayed")]
    GroupRelay(GroupRelay),
    /// A note to all instances, relayed by one instance of a zone.
    #[serde(rename = "ForZone")]
    ZoneRelay(Box<Note>),
}

impl Note {
    /// Returns whether the note is a status or relays one.
    pub fn has_status(&self) -> bool {
        match self {
            Note::Status(_) => true,
            Note::GroupRelay(relayed) => relayed.note.has_status(),
            Note::ZoneRelay(note) => note.has_status(),
            _ => false,
        }
    }
}

/// Streams that began at one software version of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BegunStreams {
    /// Where the streams began.
    pub origin: StreamOrigin,
    /// The streams.
    pub keys: Vec<StreamKey>,
}

/// A question where a stream began.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OriginQuery {
    /// The instance that asks.
    pub from: InstanceId,
    /// The number of the query.
    pub number: u64,
    /// The stream.
    pub key: StreamKey,
    /// The service that the resumed stream is for.
    pub service: ServiceName,
}

/// An adapter that a resumed stream waits for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionDemand {
    /// The instance that the stream waits at.
    pub from: InstanceId,
    /// The adapter.
    pub key: AdapterKey,
    /// The software version of the endpoints that can serve the stream.
    pub software_version: SoftwareVersion,
}

/// A renewal of the lease that another instance sends to the store on behalf
/// of the holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewalRequest {
    /// The lease holder, to which the answer is sent.
    pub from: InstanceId,
    /// Distinguishes this request from the lease holder's other requests.
    pub number: u64,
    /// The write to send to the store.
    pub write: LeaseWrite,
    /// The newest revision of an endpoint's entry that the lease holder knows.
    #[serde(default)]
    pub known_revision: Revision,
}

/// The store's answer to a [`RenewalRequest`], with changes that the lease
/// holder does not receive while it cannot reach the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewalAnswer {
    /// The number of the renewal request.
    pub number: u64,
    /// The store's answer to the write.
    pub answer: WriteAnswer,
    /// Endpoints with a newer revision than the lease holder knows, oldest
    /// first, without their adapters.
    pub endpoints: Vec<Endpoint>,
    /// The newest announced weight versions.
    pub versions: Vec<(AdapterKey, WeightVersion)>,
}

/// A note that the receiver handles and relays to its group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupRelay {
    /// The index of the group ([`crate::relays::Group`]).
    pub index: u32,
    /// The number of groups in the zone.
    pub count: u32,
    /// The relayed note.
    pub note: Box<Note>,
}

/// The lease on orders, as its holder reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaderLease {
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// Number of the last renewal that the store has answered.
    pub renewal: u64,
    /// Time until the lease expires without another renewal, in milliseconds.
    pub left_ms: u64,
}

/// Work and state of an instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The sender.
    pub from: InstanceId,
    /// Sequence number, which increases with each status of one run of the
    /// instance.
    pub sequence: u64,
    /// Time until the next status is due, in milliseconds.
    pub next_in_ms: u64,
    /// The lease, if the sender is certain to hold it.
    pub leads: Option<LeaderLease>,
    /// Version of the configuration in force at the sender.
    pub configuration: u64,
    /// Number of announced weight versions that the sender knows.
    pub versions: u64,
    /// Whether the platform's store is unreachable for the sender.
    pub store_is_out: bool,
    /// Whether the sender accepts no more work and will stop.
    pub is_leaving: bool,
    /// Demand of customers at the sender, or at all instances if `is_total` is
    /// set.
    #[serde(default)]
    pub asked_by_customers: Vec<rate_limiter::CustomerDemand>,
    /// Endpoints that departed recently. Instances of the previous release do
    /// not send them.
    #[serde(default)]
    pub departures: Vec<Departure>,
    /// Work by endpoint. Endpoints without work are omitted.
    pub work: Vec<(EndpointId, Work)>,
    /// Whether `work` covers all instances, as known to the lease holder,
    /// rather than the sender alone.
    pub is_total: bool,
    /// Whether the totals cover only some endpoints. The totals of the other
    /// endpoints are unchanged.
    #[serde(default)]
    pub is_part: bool,
    /// Recent crashes of endpoints that interrupted runs of the sender.
    #[serde(default)]
    pub crashes: Vec<Crash>,
    /// Number of requests that the sender has condemned.
    #[serde(default)]
    pub condemned: u64,
    /// Limits of endpoints that the sender knows, with its demand there, or
    /// that of all instances if `is_total` is set.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// The sender's streams and, from the lease holder, the splits of engines
    /// into pools. Left out while empty, so that instances of the previous
    /// release, which reject additional fields, can read the note. A later
    /// field must be read from a note with and without this one.
    #[serde(default, skip_serializing_if = "PoolReport::is_empty")]
    pub pools: PoolReport,
}

/// Number of consecutive notes that may be lost before the last status of an
/// instance expires.
const MAX_LOST_STATUSES: u32 = 6;

impl Status {
    /// Returns how long this status is valid without another one.
    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.next_in_ms) * MAX_LOST_STATUSES
    }
}

/// A report of the demand for adapters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    /// The sender, which is notified of the resulting placements.
    pub from: InstanceId,
    /// The zone of the requests.
    pub zone: ZoneName,
    /// Number of requests for each adapter.
    pub counts: Vec<(AdapterKey, u32)>,
    /// Adapters that requests wait for, with the priority of the most urgent
    /// request.
    pub waiting: Vec<(AdapterKey, u8)>,
    /// Engines that the sender could not reach.
    pub unreachable: Vec<EndpointId>,
    /// Observations of whether adapters that were being loaded were already
    /// loaded when requests for them were sent.
    #[serde(default)]
    pub arrivals: Vec<LoadObservationReport>,
    /// Endpoints that accept no more requests from the sender, and for how
    /// long, in milliseconds.
    #[serde(default)]
    pub saturated: Vec<(EndpointId, u64)>,
    /// The classes of the requests. Left out while empty, as
    /// [`Status::pools`].
    #[serde(default, skip_serializing_if = "ClassDemand::is_empty")]
    pub classes: ClassDemand,
}

/// Whether an adapter that was being loaded on an engine was already loaded
/// when a request for it was sent there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadObservationReport {
    /// The endpoint of the engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub key: AdapterKey,
    /// Whether the adapter was loaded.
    pub is_there: bool,
    /// Time since the request was sent, in milliseconds.
    pub ago_ms: u64,
}

/// A load of an adapter that was ordered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The epoch of the lease holder that gave the order.
    pub epoch: Epoch,
    /// The endpoint of the engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub key: AdapterKey,
    /// The version that is loaded.
    pub version: WeightVersion,
    /// Expected time until the adapter is ready, in milliseconds.
    pub ready_in_ms: u64,
    /// Whether the adapter is loaded from the weight store.
    #[serde(default)]
    pub is_cold: bool,
    /// Incarnation of the engine that the order is for, if the engine reports
    /// incarnations.
    #[serde(default)]
    pub born: Option<Incarnation>,
}

/// An eviction of an adapter that was ordered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Removed {
    /// The epoch of the lease holder that gave the order.
    pub epoch: Epoch,
    /// The endpoint of the engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub key: AdapterKey,
    /// Incarnation of the engine that the order is for, if the engine reports
    /// incarnations.
    #[serde(default)]
    pub born: Option<Incarnation>,
}
