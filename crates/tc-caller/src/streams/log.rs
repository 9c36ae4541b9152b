//! The events of one stream: written by its run, read by one caller at a time, kept a while for resuming.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    http::Failure,
    limits::{MAX_UNREAD_BYTES, RESUME_WINDOW, RETAINED_BYTES, RETAINED_EVENTS},
    streams::event::text_event,
};

/// Events of one stream.
pub(crate) struct StreamLog {
    state: Mutex<State>,
    /// Something can be read, or the reader was replaced.
    readable: Notify,
    /// The reader took something, came or left.
    reader_moved: Notify,
}

struct State {
    events: VecDeque<Event>,
    next_id: u64,
    /// Highest event handed to a reader.
    read: u64,
    unread_bytes: usize,
    retained_bytes: usize,
    end: Option<StreamEnd>,
    /// Counts readers; only the last one reads on.
    reader: u64,
    attached: bool,
    left_at: Instant,
}

struct Event {
    id: u64,
    frame: Bytes,
}

/// How a stream ended.
#[derive(Clone)]
pub(crate) enum StreamEnd {
    /// With this last event, `done` or `problem`.
    Event(Bytes),
    /// Before anything was sent: the caller gets an ordinary failure.
    Failure(Failure),
}

/// What a stream begins with.
pub(crate) enum StreamStart {
    /// There is something to send.
    Streaming,
    /// It failed before that.
    Failure(Failure),
}

impl StreamLog {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                events: VecDeque::new(),
                next_id: 1,
                read: 0,
                unread_bytes: 0,
                retained_bytes: 0,
                end: None,
                reader: 0,
                attached: false,
                left_at: Instant::now(),
            }),
            readable: Notify::new(),
            reader_moved: Notify::new(),
        }
    }

    /// Adds a piece of text; waits while a slow reader has too much before it.
    ///
    /// Without the wait one reader that stops reading would let the log grow by the whole answer, seen as memory that
    /// rises with the number of slow callers. The engine is held back in turn, by its connection.
    pub(crate) async fn push_text(&self, text: &str) {
        loop {
            let moved = self.reader_moved.notified();
            {
                let mut state = self.lock();
                if !state.attached || state.unread_bytes < MAX_UNREAD_BYTES {
                    state.push(text);
                    break;
                }
            }
            moved.await;
        }
        self.readable.notify_one();
    }

    /// Ends the stream.
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

    /// Makes the caller a reader after event `last`, replacing the reader before it; `None` when that event's
    /// successor is no longer kept or `last` never was sent.
    pub(crate) fn attach(&self, last: u64) -> Option<u64> {
        let mut state = self.lock();
        let first_retained = state.events.front().map_or(state.next_id, |e| e.id);
        if last + 1 < first_retained || last >= state.next_id {
            return None;
        }
        state.reader += 1;
        state.attached = true;
        state.read = last;
        state.unread_bytes = state.bytes_after(last);
        let reader = state.reader;
        drop(state);
        self.readable.notify_waiters();
        self.readable.notify_one();
        self.reader_moved.notify_waiters();
        Some(reader)
    }

    pub(crate) fn detach(&self, reader: u64) {
        let mut state = self.lock();
        if state.reader == reader {
            state.attached = false;
            state.left_at = Instant::now();
            drop(state);
            self.reader_moved.notify_waiters();
        }
    }

    /// Waits until there is something to send, or the stream failed before that.
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

    /// The next bytes for this reader; `None` after the last, or once another reader has taken its place.
    pub(crate) async fn next(&self, reader: u64) -> Option<Bytes> {
        loop {
            let readable = self.readable.notified();
            match self.lock().take(reader) {
                Taken::Frame(frame) => {
                    self.reader_moved.notify_waiters();
                    return Some(frame);
                }
                Taken::Over => return None,
                Taken::Nothing => {}
            }
            readable.await;
        }
    }

    /// Waits until nobody has read for the resume window. A stream of which the caller has seen nothing can't be
    /// resumed, so there the window is zero.
    pub(crate) async fn wait_until_abandoned(&self) {
        loop {
            let moved = self.reader_moved.notified();
            let wait = {
                let state = self.lock();
                let window = if state.read == 0 {
                    Duration::ZERO
                } else {
                    RESUME_WINDOW
                };
                (!state.attached).then(|| window.saturating_sub(state.left_at.elapsed()))
            };
            match wait {
                Some(Duration::ZERO) => return,
                Some(left) => {
                    let _ = tokio::time::timeout(left, moved).await;
                }
                None => moved.await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Taken {
    Frame(Bytes),
    Nothing,
    Over,
}

impl State {
    fn push(&mut self, text: &str) {
        let id = self.next_id;
        let frame = text_event(id, text);
        self.next_id += 1;
        self.unread_bytes += frame.len();
        self.retained_bytes += frame.len();
        self.events.push_back(Event { id, frame });
        self.forget_old();
    }

    /// Forgets the oldest events beyond the bounds; unread ones only while nobody is there to read them.
    fn forget_old(&mut self) {
        let unread = if self.attached { self.unread_bytes } else { 0 };
        while self.retained_bytes > RETAINED_BYTES + unread || self.events.len() > RETAINED_EVENTS {
            let oldest_unread = self.events.front().is_some_and(|e| e.id > self.read);
            if self.attached && oldest_unread {
                return;
            }
            let Some(event) = self.events.pop_front() else {
                return;
            };
            self.retained_bytes -= event.frame.len();
            if event.id > self.read {
                self.unread_bytes -= event.frame.len();
            }
        }
    }

    fn take(&mut self, reader: u64) -> Taken {
        if reader != self.reader {
            return Taken::Over;
        }
        let next = self.read + 1;
        let first = self.events.front().map_or(self.next_id, |e| e.id);
        if let Some(event) = self.events.get((next - first) as usize) {
            let frame = event.frame.clone();
            self.read = next;
            self.unread_bytes -= frame.len();
            return Taken::Frame(frame);
        }
        match &self.end {
            None => Taken::Nothing,
            Some(StreamEnd::Event(frame)) => {
                // The last event has no id, so a caller that resumes gets it again.
                self.reader += 1;
                Taken::Frame(frame.clone())
            }
            Some(StreamEnd::Failure(_)) => Taken::Over,
        }
    }

    fn bytes_after(&self, last: u64) -> usize {
        let after = self.events.iter().filter(|e| e.id > last);
        after.map(|e| e.frame.len()).sum()
    }
}
