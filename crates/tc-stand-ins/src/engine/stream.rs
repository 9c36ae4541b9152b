//! Streamed completions: they outlive their connection for the resume window.

use std::{
    io,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tc_protocol::{
    RequestId,
    wire::{STREAM_DONE, StreamEvent, Usage},
};
use tokio::{sync::watch, time::timeout};

use crate::{
    answer::{Body, broken},
    output::{prompt_seed, push_token},
};

/// A streamed completion, shared by the task that generates it and the connections that read it.
///
/// Event `n` (counted from 1) carries token `n`; the event after the last token is the end mark.
pub(super) struct StreamJob {
    request: RequestId,
    seed: u64,
    tokens: u32,
    usage: OnceLock<Usage>,
    progress: watch::Sender<Progress>,
    readers: watch::Sender<usize>,
    resumes: AtomicU32,
}

/// Progress of the job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// Events that may be read.
    events: u64,
    /// The whole stream was handed to a reader.
    delivered: bool,
    /// The engine crashed or gave the job up: readers break.
    dead: bool,
}

impl StreamJob {
    pub(super) fn new(request: RequestId, prompt: &str, tokens: u32) -> Arc<Self> {
        Arc::new(Self {
            request,
            seed: prompt_seed(prompt),
            tokens,
            usage: OnceLock::new(),
            progress: watch::Sender::default(),
            readers: watch::Sender::default(),
            resumes: AtomicU32::new(0),
        })
    }

    /// Token counts, known when the call begins; before the first token is produced.
    pub(super) fn set_usage(&self, usage: Usage) {
        // Set once, by the one task that generates.
        let _ = self.usage.set(usage);
    }

    /// Number of times it was resumed.
    pub(super) fn resumes(&self) -> u32 {
        self.resumes.load(Ordering::Acquire)
    }

    /// Like [`StreamJob::read`], counted as a resumption.
    pub(super) fn resume(self: &Arc<Self>, after: u64, limit: Option<u64>) -> Body {
        self.resumes.fetch_add(1, Ordering::AcqRel);
        self.read(after, limit)
    }

    /// Events of the whole stream: one a token, at least one, and the end mark.
    fn total_events(&self) -> u64 {
        u64::from(self.tokens).max(1) + 1
    }

    /// Lets readers have the first `tokens` tokens; after the last also the end mark.
    pub(super) fn produce(&self, tokens: u32) {
        let events = if tokens >= self.tokens {
            self.total_events()
        } else {
            u64::from(tokens)
        };
        self.progress
            .send_modify(|progress| progress.events = events);
    }

    /// Breaks all readers, present and future.
    pub(super) fn kill(&self) {
        self.progress.send_modify(|progress| progress.dead = true);
    }

    /// Completes when a reader got the whole stream.
    pub(super) async fn delivered(&self) {
        let mut progress = self.progress.subscribe();
        // The sender is a field of this job, so it outlives the wait.
        let _ = progress.wait_for(|progress| progress.delivered).await;
    }

    /// Completes when nobody has read for the whole of `window`.
    pub(super) async fn abandoned(&self, window: Duration) {
        let mut readers = self.readers.subscribe();
        loop {
            let _ = readers.wait_for(|readers| *readers == 0).await;
            let returned = timeout(window, readers.wait_for(|readers| *readers > 0));
            if returned.await.is_err() {
                return;
            }
        }
    }

    /// A body with the events after `after`, which breaks after `limit` events if there is a limit.
    pub(super) fn read(self: &Arc<Self>, after: u64, limit: Option<u64>) -> Body {
        let reader = Reader {
            _count: ReaderGuard::new(self),
            progress: self.progress.subscribe(),
            job: Arc::clone(self),
            next: after + 1,
            left: limit.unwrap_or(u64::MAX),
        };
        let frames = stream::try_unfold(reader, |mut reader| async move {
            let piece = reader.piece().await?;
            Ok(piece.map(|piece| (Frame::data(piece), reader)))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    fn event(&self, id: u64) -> String {
        if id == self.total_events() {
            return format!("id: {id}\ndata: {STREAM_DONE}\n\n");
        }
        let mut text = String::new();
        if id <= u64::from(self.tokens) {
            push_token(&mut text, self.seed, (id - 1) as u32);
        }
        let event = StreamEvent {
            id: self.request.clone(),
            text,
            usage: self
                .usage
                .get()
                .copied()
                .filter(|_| id + 1 == self.total_events()),
        };
        let data = serde_json::to_string(&event).unwrap_or_default();
        format!("id: {id}\ndata: {data}\n\n")
    }
}

/// One connection's place in a stream.
struct Reader {
    _count: ReaderGuard,
    progress: watch::Receiver<Progress>,
    job: Arc<StreamJob>,
    next: u64,
    left: u64,
}

impl Reader {
    /// All events that can be had now, or `None` after the end mark.
    async fn piece(&mut self) -> io::Result<Option<Bytes>> {
        let total = self.job.total_events();
        if self.next > total {
            return Ok(None);
        }
        if self.left == 0 {
            return Err(broken().await);
        }
        let next = self.next;
        let ready = self
            .progress
            .wait_for(|progress| progress.dead || progress.events >= next);
        let progress = ready.await.map(|progress| *progress);
        let Ok(progress @ Progress { dead: false, .. }) = progress else {
            return Err(broken().await);
        };
        let count = (progress.events - self.next + 1).min(self.left);
        let last = self.next + count - 1;
        let events: String = (self.next..=last).map(|id| self.job.event(id)).collect();
        self.next = last + 1;
        self.left -= count;
        if last == total {
            self.job
                .progress
                .send_modify(|progress| progress.delivered = true);
        }
        Ok(Some(Bytes::from(events)))
    }
}

/// Counts a reader until dropped.
///
/// Without the guard a closed connection would still count as a reader: the job would never be abandoned, and the
/// engine would go on generating for nobody.
struct ReaderGuard(Arc<StreamJob>);

impl ReaderGuard {
    fn new(job: &Arc<StreamJob>) -> Self {
        job.readers.send_modify(|readers| *readers += 1);
        Self(Arc::clone(job))
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.readers.send_modify(|readers| *readers -= 1);
    }
}
