//! Follows a stream of server-sent events and finds where its events end.
//!
//! A stream that is resumed at another engine must continue after a whole
//! event, so that an event which an engine left incomplete is discarded. And a
//! stream that ends inside an event has broken off, however its response was
//! framed. The invariant: what [`EventFramer`] returns consists of whole
//! events and whole comments.

/// Tracks whether a stream stands between two events.
///
/// A line ends with LF, CR or CRLF, and an event with an empty line. A comment
/// is a line that begins with a colon; outside an event it stands by itself.
#[derive(Clone, Debug, Default)]
pub struct EventBoundary {
    line: Line,
    /// Whether the last byte was a CR, to whose line a following LF belongs.
    is_after_cr: bool,
    is_inside_event: bool,
    has_event: bool,
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventBoundary {
    /// Follows the stream over the next bytes. Returns the offset after the
    /// last of them that ends an event or a comment outside an event.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (idx, byte) in bytes.iter().enumerate() {
            let is_after_cr = std::mem::take(&mut self.is_after_cr);
            match byte {
                b'\n' if is_after_cr => {}
                b'\n' | b'\r' => {
                    self.is_after_cr = *byte == b'\r';
                    self.end_line();
                }
                _ => {
                    self.add_to_line(*byte);
                    continue;
                }
            }
            if self.is_between_events() {
                end = Some(idx + 1);
            }
        }
        end
    }

    fn add_to_line(&mut self, byte: u8) {
        if self.line != Line::Empty {
            return;
        }
        self.line = match byte {
            b':' => Line::Comment,
            _ => Line::Field,
        };
        self.is_inside_event |= self.line == Line::Field;
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line == Line::Empty {
            self.has_event |= std::mem::take(&mut self.is_inside_event);
        }
    }

    /// Returns whether the stream stands between two events, so that it may
    /// end or be resumed here.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.is_inside_event
    }

    /// Returns whether a whole event has come.
    pub fn has_event(&self) -> bool {
        self.has_event
    }
}

/// The maximum length of an event in bytes, as long as it has not ended.
pub const MAX_EVENT_LEN: usize = 1 << 20;

/// The maximum length of an event's id in bytes. It is kept as long as its
/// stream, and sent in a header when that is resumed.
pub const MAX_ID_LEN: usize = 4 << 10;

/// an event has not ended after 1 MiB, or its id is longer than 4 KiB
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

/// Splits a stream into whole events and tracks the id of the last one.
#[derive(Clone, Debug, Default)]
pub struct EventFramer {
    boundary: EventBoundary,
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventFramer {
    /// Returns a framer for a stream that continues after the event with this
    /// id.
    pub fn after(last_id: Option<String>) -> EventFramer {
        EventFramer { last_id, ..EventFramer::default() }
    }

    /// Appends bytes and returns all events that are now complete.
    ///
    /// # Errors
    ///
    /// If an event is longer than [`MAX_EVENT_LEN`] and has not ended, or its id
    /// is longer than [`MAX_ID_LEN`]. No more of the response may be appended
    /// then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        let pending_len = self.pending.len();
        let end = self.boundary.advance(bytes);
        let rest_len = match end {
            Some(end) => bytes.len() - end,
            None => pending_len + bytes.len(),
        };
        if rest_len > MAX_EVENT_LEN {
            return Err(EventTooLong);
        }
        self.pending.extend_from_slice(bytes);
        let Some(end) = end else { return Ok(Vec::new()) };
        let rest = self.pending.split_off(pending_len + end);
        let whole = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&whole) {
            if id.len() > MAX_ID_LEN {
                return Err(EventTooLong);
            }
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// Returns the number of bytes of an event that has not ended.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Discards an incomplete event. What follows belongs to another response.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.boundary = EventBoundary::default();
    }

    /// Returns where the stream stands within the current response.
    pub fn boundary(&self) -> &EventBoundary {
        &self.boundary
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    let value =
        text.rsplit(['\n', '\r']).find_map(|line| line.strip_prefix("id:"))?;
    Some(value.trim().to_owned())
}
