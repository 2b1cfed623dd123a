//! What an instance knows of the events of a stream that it relays.
//!
//! Only the events of a resumable stream are held back until they are whole;
//! any other stream is passed on as it comes. The invariant: a response that
//! ends inside an event has broken off, even if its framing says that it is
//! complete.

use bytes::Bytes;

use crate::event_framer::{EventBoundary, EventFramer, EventTooLong};

/// The events of one stream.
#[derive(Clone, Debug)]
pub enum StreamEvents {
    /// The stream may be resumed after each whole event.
    Resumable(EventFramer),
    /// The stream is passed on as it comes.
    PassedOn(EventBoundary),
    /// The response does not consist of events.
    Opaque,
}

/// Why a stream has broken off although its response has ended.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum EarlyEnd {
    /// the response ended inside an event
    InsideEvent,
    /// the connection ended before the first event
    NoEvent,
}

impl StreamEvents {
    /// Returns the events of a stream that continues after `last_event`.
    pub fn resumable(last_event: Option<String>) -> StreamEvents {
        StreamEvents::Resumable(EventFramer::after(last_event))
    }

    /// Returns the events of a stream that cannot be resumed.
    pub fn passed_on() -> StreamEvents {
        StreamEvents::PassedOn(EventBoundary::default())
    }

    /// Appends bytes of the response and returns those for the caller.
    ///
    /// # Errors
    ///
    /// If an event of a resumable stream is too long.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        match self {
            StreamEvents::Resumable(framer) => {
                framer.push(&bytes).map(Bytes::from)
            }
            StreamEvents::PassedOn(boundary) => {
                boundary.advance(&bytes);
                Ok(bytes)
            }
            StreamEvents::Opaque => Ok(bytes),
        }
    }

    /// Checks whether the stream may end where its response has ended.
    /// `is_until_close` tells that nothing but its connection ended it.
    ///
    /// # Errors
    ///
    /// If the stream has broken off.
    pub fn check_end(&self, is_until_close: bool) -> Result<(), EarlyEnd> {
        let (boundary, is_continued) = match self {
            StreamEvents::Resumable(framer) => {
                (framer.boundary(), framer.last_id().is_some())
            }
            StreamEvents::PassedOn(boundary) => (boundary, false),
            StreamEvents::Opaque => return Ok(()),
        };
        if !boundary.is_between_events() {
            return Err(EarlyEnd::InsideEvent);
        }
        // A stream that is continued may have had its last event.
        if is_until_close && !is_continued && !boundary.has_event() {
            return Err(EarlyEnd::NoEvent);
        }
        Ok(())
    }

    /// Returns the number of bytes that are held back until their event ends.
    pub fn pending_len(&self) -> usize {
        match self {
            StreamEvents::Resumable(framer) => framer.pending_len(),
            StreamEvents::PassedOn(_) | StreamEvents::Opaque => 0,
        }
    }

    /// Returns the framer of a resumable stream.
    pub fn framer(&mut self) -> Option<&mut EventFramer> {
        match self {
            StreamEvents::Resumable(framer) => Some(framer),
            StreamEvents::PassedOn(_) | StreamEvents::Opaque => None,
        }
    }

    /// Returns whether a resumable stream has had an event in the current
    /// response.
    pub fn has_event(&self) -> bool {
        match self {
            StreamEvents::Resumable(framer) => framer.boundary().has_event(),
            StreamEvents::PassedOn(_) | StreamEvents::Opaque => false,
        }
    }

    /// Returns whether the stream may be resumed.
    pub fn is_resumable(&self) -> bool {
        matches!(self, StreamEvents::Resumable(_))
    }
}
