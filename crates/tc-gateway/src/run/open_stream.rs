//! A stream from one engine, whose bytes are split into events.

use super::{attempt::Answered, stream_fault::StreamFault};
use crate::{
    events::{Event, EventSplitter},
    held_bytes::HeldGuard,
};

/// A stream from one engine.
pub(super) struct OpenStream {
    pub(super) answered: Answered,
    pub(super) events: EventSplitter,
    /// Counts the bytes of incomplete events as held.
    pub(super) held: HeldGuard,
    pub(super) first: Option<Event>,
}

impl OpenStream {
    /// Appends received bytes. Returns an error if an event is too large or this process holds too
    /// many bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), StreamFault> {
        push(&mut self.events, &mut self.held, bytes)
    }
}

/// Appends received bytes to `events` and counts what is incomplete as held.
pub(super) fn push(
    events: &mut EventSplitter,
    held: &mut HeldGuard,
    bytes: &[u8],
) -> Result<(), StreamFault> {
    if !events.push(bytes) {
        return Err(StreamFault::invalid("an event is too large"));
    }
    if !held.try_set(events.buffered_bytes()) {
        return Err(StreamFault::invalid("this instance holds too many bytes"));
    }
    Ok(())
}
