//! Event log of one stream. Its run appends events, one caller at a time reads them, and they are retained for a while
//! so that the stream can be resumed.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    http::Failure,
    limits::{MAX_RETAINED_BYTES, MAX_RETAINED_EVENTS, MAX_UNREAD_BYTES, RESUME_WINDOW},
    streams::event::text_event,
};

/// Event log of one stream.
pub(crate) struct StreamLog {
    state: Mutex<State>,
    /// Notified when there is an event to read or the reader was replaced.
    readable: Notify,
    /// Notified when the reader has read an event, attached or detached.
    reader_changed: Notify,
}

struct State {
    events: VecDeque<Event>,
    next_id: u64,
    /// Highest ID of an event returned to the reader.
    last_read: u64,
    unread_bytes: usize,
    retained_bytes: usize,
    end: Option<StreamEnd>,
    /// ID of the current reader, incremented when a reader attaches and after the last event. Readers with an earlier
    /// ID get no more events.
    current_reader: u64,
    attached: bool,
    detached_at: Instant,
}

struct Event {
    id: u64,
    frame: Bytes,
}

/// End of a stream.
#[derive(Clone)]
pub(crate) enum StreamEnd {
    /// The last event, `done` or `problem`. Empty if the stream was abandoned.
    Event(Bytes),
    /// The request failed before the first event, so the caller gets an error response.
    Failure(Failure),
}

/// Start of a stream.
pub(crate) enum StreamStart {
    /// There is an event to send.
    Streaming,
    /// The request failed before the first event.
    Failure(Failure),
}

impl StreamLog {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                events: VecDeque::new(),
                next_id: 1,
                last_read: 0,
                unread_bytes: 0,
                retained_bytes: 0,
                end: None,
                current_reader: 0,
                attached: false,
                detached_at: Instant::now(),
            }),
            readable: Notify::new(),
            reader_changed: Notify::new(),
        }
    }

    /// Appends an event with a part of the text. Waits while the attached reader has [`MAX_UNREAD_BYTES`] or more left
    /// to read.
    ///
    /// Without this backpressure, the log would grow to the whole response for a reader that stops reading, and memory
    /// use would rise with the number of slow callers. While this waits, nothing is read from the engine's connection,
    /// which slows the engine down in turn.
    pub(crate) async fn push_text(&self, text: &str) {
        loop {
            let changed = self.reader_changed.notified();
            {
                let mut state = self.lock();
                if !state.attached || state.unread_bytes < MAX_UNREAD_BYTES {
                    state.push(text);
                    break;
                }
            }
            changed.await;
        }
        self.readable.notify_one();
    }

    /// Ends the stream after the events appended so far.
    pub(crate) fn end(&self, end: StreamEnd) {
        self.lock().end = Some(end);
        self.readable.notify_one();
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    pub(crate) fn has_events(&self) -> bool {
        self.lock().next_id > 1
    }

    pub(crate) fn retained_bytes(&self) -> usize {
        self.lock().retained_bytes
    }

    /// Attaches a reader that starts after event `last`, and returns its ID. It replaces the current reader. Returns
    /// `None` if the event after `last` is no longer retained or `last` does not exist.
    pub(crate) fn attach(&self, last: u64) -> Option<u64> {
        let mut state = self.lock();
        let first_retained = state.events.front().map_or(state.next_id, |e| e.id);
        if last + 1 < first_retained || last >= state.next_id {
            return None;
        }
        state.current_reader += 1;
        state.attached = true;
        state.last_read = last;
        state.unread_bytes = state.bytes_after(last);
        let reader = state.current_reader;
        drop(state);
        self.readable.notify_waiters();
        self.readable.notify_one();
        self.reader_changed.notify_waiters();
        Some(reader)
    }

    pub(crate) fn detach(&self, reader: u64) {
        let mut state = self.lock();
        if state.current_reader == reader {
            state.attached = false;
            state.detached_at = Instant::now();
            drop(state);
            self.reader_changed.notify_waiters();
        }
    }

    /// Waits for the first event or a failure before it.
    pub(crate) async fn wait_for_start(&self) -> StreamStart {
        loop {
            let readable = self.readable.notified();
            {
                let state = self.lock();
                match &state.end {
                    Some(StreamEnd::Failure(failure)) => {
                        return StreamStart::Failure(failure.clone());
                    }
                    Some(StreamEnd::Event(_)) => return StreamStart::Streaming,
                    None if !state.events.is_empty() => return StreamStart::Streaming,
                    None => {}
                }
            }
            readable.await;
        }
    }

    /// Waits for the next event of this reader. Returns `None` after the last event, or after another reader has
    /// replaced this one.
    pub(crate) async fn next_frame(&self, reader: u64) -> Option<Bytes> {
        loop {
            let readable = self.readable.notified();
            match self.lock().next_frame(reader) {
                NextFrame::Frame(frame) => {
                    self.reader_changed.notify_waiters();
                    return Some(frame);
                }
                NextFrame::Closed => return None,
                NextFrame::Pending => {}
            }
            readable.await;
        }
    }

    /// Waits until no reader has been attached for [`RESUME_WINDOW`]. If no event has been read, the stream can't be
    /// resumed, so it counts as abandoned as soon as its reader detaches.
    pub(crate) async fn wait_until_abandoned(&self) {
        loop {
            let changed = self.reader_changed.notified();
            let wait = {
                let state = self.lock();
                let window = if state.last_read == 0 {
                    Duration::ZERO
                } else {
                    RESUME_WINDOW
                };
                (!state.attached).then(|| window.saturating_sub(state.detached_at.elapsed()))
            };
            match wait {
                Some(Duration::ZERO) => return,
                Some(left) => {
                    let _ = tokio::time::timeout(left, changed).await;
                }
                None => changed.await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum NextFrame {
    Frame(Bytes),
    Pending,
    Closed,
}

impl State {
    fn push(&mut self, text: &str) {
        let id = self.next_id;
        let frame = text_event(id, text);
        self.next_id += 1;
        self.unread_bytes += frame.len();
        self.retained_bytes += frame.len();
        self.events.push_back(Event { id, frame });
        self.evict_oldest();
    }

    /// Evicts the oldest events beyond the limits. Unread events are evicted only while no reader is attached.
    fn evict_oldest(&mut self) {
        let unread = if self.attached { self.unread_bytes } else { 0 };
        while self.retained_bytes > MAX_RETAINED_BYTES + unread
            || self.events.len() > MAX_RETAINED_EVENTS
        {
            let oldest_unread = self.events.front().is_some_and(|e| e.id > self.last_read);
            if self.attached && oldest_unread {
                return;
            }
            let Some(event) = self.events.pop_front() else {
                return;
            };
            self.retained_bytes -= event.frame.len();
            if event.id > self.last_read {
                self.unread_bytes -= event.frame.len();
            }
        }
    }

    fn next_frame(&mut self, reader: u64) -> NextFrame {
        if reader != self.current_reader {
            return NextFrame::Closed;
        }
        let next = self.last_read + 1;
        let first = self.events.front().map_or(self.next_id, |e| e.id);
        if let Some(event) = self.events.get((next - first) as usize) {
            let frame = event.frame.clone();
            self.last_read = next;
            self.unread_bytes -= frame.len();
            return NextFrame::Frame(frame);
        }
        match &self.end {
            None => NextFrame::Pending,
            Some(StreamEnd::Event(frame)) => {
                // The last event has no ID, so a caller that resumes the stream gets it again.
                self.current_reader += 1;
                NextFrame::Frame(frame.clone())
            }
            Some(StreamEnd::Failure(_)) => NextFrame::Closed,
        }
    }

    fn bytes_after(&self, last: u64) -> usize {
        let after = self.events.iter().filter(|e| e.id > last);
        after.map(|e| e.frame.len()).sum()
    }
}
