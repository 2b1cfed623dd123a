//! What an endpoint announces of itself in the head of an answer.
//!
//! Values are decoded elsewhere; here is what they mean. The invariant: a value that
//! could not be read announces nothing and withdraws nothing.

use std::time::Duration;

/// What one answer announces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcement {
    /// For how long its endpoint wants no request from the instance that it
    /// answers.
    pub cooldown: Option<Duration>,
    /// Whether it names a rate limit.
    pub limit: AnnouncedLimit,
    /// Whether its endpoint is leaving: it gets no new work.
    pub is_leaving: bool,
    /// The name and a bounded part of the first value that could not be read.
    pub unreadable: Option<String>,
}

/// A rate limit, as one answer names it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// It names none: a limit that was named before is over.
    #[default]
    None,
    /// It takes this many requests a second from all instances together.
    PerSecond(f64),
    /// It names one that cannot be read: the one that was named before stands.
    Unreadable,
}

impl AnnouncedLimit {
    /// Returns the requests a second, if some are named.
    pub fn per_s(self) -> Option<f64> {
        match self {
            AnnouncedLimit::PerSecond(per_s) => Some(per_s),
            AnnouncedLimit::None | AnnouncedLimit::Unreadable => None,
        }
    }
}
