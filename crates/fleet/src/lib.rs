//! Routing and placement decisions of an instance that dispatches requests
//! itself.
//!
//! Without a shard leader between callers and engines, each instance routes by
//! its own table of endpoints ([`view::FleetView`]), and one instance at a
//! time, the lease holder, decides which adapters the engines hold
//! ([`placement::PlacementPlanner`]). This crate does no I/O and reads no
//! clock: the current time is passed in as an argument.

pub mod adapter;
mod adapter_index;
pub mod announcement;
pub mod back_off;
pub mod buffer_budget;
pub mod catch_up;
pub mod configuration;
pub mod cooldown;
pub mod customer;
pub mod demand;
pub mod departure;
pub mod endpoint;
pub mod endpoint_reach;
pub mod endpoint_state;
mod engine_headroom;
pub mod engine_pools;
pub mod event_framer;
pub mod features;
pub mod freshness;
pub mod health;
pub mod incarnation;
pub mod intake;
pub mod latency_regression;
pub mod lease_era;
pub mod limit_share;
pub mod load_rate_limiter;
pub mod load_times;
pub mod loop_stats;
pub mod lost_instances;
pub mod note;
pub mod note_schedule;
pub mod order;
pub mod order_count;
pub mod placement;
pub mod poison;
pub mod rate_limiter;
pub mod read_progress;
pub mod recent_successes;
pub mod relays;
pub mod request_digest;
pub mod residence_time;
pub mod retry_budget;
pub mod revision;
pub mod revocation;
pub mod room_share;
pub mod route;
pub mod store_reachability;
pub mod store_reports;
pub mod stream_events;
pub mod stream_origins;
pub mod suspicion;
pub mod version_record;
pub mod view;
pub mod wait_policy;
pub mod wait_queue;
pub mod work;
