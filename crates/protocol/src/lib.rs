//! Typed messages and file formats: between instances, with callers, engines,
//! plain services and the platform, and in operators' files.
//!
//! This crate encodes, decodes and validates; it performs no network I/O.
//! Sockets belong to `sedgewall-transport`, decisions to `sedgewall-state` and
//! `sedgewall-coordination`.

pub mod caller;
pub mod engine;
pub mod file;
pub mod message;
pub mod operator;
pub mod platform;
pub mod problem;
pub mod settings;

pub use crate::{
    message::{Envelope, PeerMessage},
    problem::{Problem, RunState},
};
