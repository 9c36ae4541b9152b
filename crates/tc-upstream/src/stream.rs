//! Streamed completions of an engine, checked event by event.

use tc_protocol::wire::Usage;

use crate::error::CallError;

/// One item of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// Generated text.
    Event {
        /// Counts from 1 without a gap or a repeat.
        id: u64,
        /// Text since the last event; may be empty.
        text: String,
    },
    /// The stream is whole.
    Done {
        /// Token counts; absent when the stream was resumed after the event that carries them.
        usage: Option<Usage>,
    },
}

/// A streamed completion; dropping it before [`StreamItem::Done`] closes the connection, which cancels the call.
#[derive(Debug)]
pub struct EngineStream {
    pending: Option<CallError>,
}

impl EngineStream {
    /// The next item; `None` after `Done` or an error.
    pub async fn next(&mut self) -> Option<Result<StreamItem, CallError>> {
        self.pending.take().map(Err)
    }
}
