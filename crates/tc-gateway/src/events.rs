//! Splits an event stream into complete events, so that a truncated event is never forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. Events hold a few tokens of text, and an event without an end
/// would otherwise exhaust the memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as received.
    pub bytes: Bytes,
    /// Value of the event's `id` field, if it has a numeric one.
    pub id: Option<u64>,
}

/// Buffers received bytes and returns complete events.
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
    /// Index in `buffer` at which the search for the end of the next event continues.
    search_from: usize,
}

impl EventSplitter {
    /// Appends received bytes. Returns false if the buffered data exceeds the maximum size of an
    /// event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the number of bytes allocated for what was received and not yet returned in an event.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Removes and returns the next complete event.
    pub fn take_event(&mut self) -> Option<Event> {
        let Some(end) = end_of_event(&self.buffer, self.search_from) else {
            // The blank line may be split anywhere, so the last three bytes are searched again.
            self.search_from = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.search_from = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns true if the buffer contains an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the index after the first blank line at or after `from`.
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
