//! Splits an event stream into whole events, so that a broken one is never passed on.

use bytes::{Bytes, BytesMut};

/// Largest event taken, in bytes. Events hold a few tokens of text; one without an end would fill the memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with its blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as sent.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Takes bytes as they come and gives whole events.
///
/// ```
/// use tc_gateway::EventSplitter;
/// let mut events = EventSplitter::default();
/// assert!(events.push(b"id: 1\ndata: a\n"));
/// assert!(events.take_event().is_none());
/// assert!(events.push(b"\nid: 2"));
/// assert_eq!(events.take_event().unwrap().id, Some(1));
/// assert!(events.take_event().is_none());
/// assert!(events.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Where the search for the end of the next event goes on.
    search_from: usize,
}

impl EventSplitter {
    /// Takes bytes; false when an event grows larger than any may be.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub fn take_event(&mut self) -> Option<Event> {
        let Some(end) = end_of_event(&self.buffer, self.search_from) else {
            // A blank line may be cut anywhere: look again at the last three bytes.
            self.search_from = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.search_from = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether a part of an event is left.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Index behind the first blank line from `from` on.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes[at..].iter().position(|b| *b == b'\n') {
        let next = at + found + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
        .next_back()
}
