//! Announcements of endpoints about themselves in response headers.
//!
//! The headers are decoded elsewhere; this module defines what the values
//! mean. The invariant: a value that cannot be decoded neither announces nor
//! withdraws anything.

use std::time::Duration;

/// The announcements of one response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcement {
    /// The time for which the endpoint asks the receiving instance to send no
    /// requests.
    pub cooldown: Option<Duration>,
    /// The announced rate limit.
    pub limit: AnnouncedLimit,
    /// The announced number of requests that the endpoint can reject in a
    /// second for want of room without falling over.
    pub max_rejections: AnnouncedLimit,
    /// Whether the endpoint is leaving; a leaving endpoint gets no new
    /// requests.
    pub is_leaving: bool,
    /// The name and a truncated copy of the first value that could not be
    /// decoded.
    pub unreadable: Option<String>,
}

/// A number of requests per second that one response announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// No limit; a limit that was announced before has ended.
    #[default]
    None,
    /// The number of requests per second, those of all instances together.
    PerSecond(f64),
    /// The value cannot be decoded; a limit that was announced before stays in
    /// force.
    Unreadable,
}

impl AnnouncedLimit {
    /// Returns the announced limit in requests per second, if there is one.
    pub fn per_s(self) -> Option<f64> {
        match self {
            AnnouncedLimit::PerSecond(per_s) => Some(per_s),
            AnnouncedLimit::None | AnnouncedLimit::Unreadable => None,
        }
    }
}
