//! Splits a stream of server-sent events into whole events.
//!
//! A stream that is resumed at another engine must continue after a whole
//! event, so that an event which an engine left incomplete is discarded. The
//! invariant: the output consists of whole events.

/// Splits a stream into whole events and tracks the id of the last one.
#[derive(Clone, Debug, Default)]
pub struct EventFramer {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventFramer {
    /// Returns a framer for a stream that continues after the event with this
    /// id.
    pub fn after(last_id: Option<String>) -> EventFramer {
        EventFramer { pending: Vec::new(), last_id }
    }

    /// Appends bytes and returns all events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.pending) else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Discards an incomplete event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the offset after the last whole event, which ends with an empty
/// line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    lf.map(|at| at + 2).max(crlf.map(|at| at + 4))
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    let value =
        text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(value.trim().to_owned())
}
