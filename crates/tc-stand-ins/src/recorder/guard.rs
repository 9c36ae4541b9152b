//! Guard of one call's record.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tc_protocol::wire::Usage;

use super::{CallRecord, Ending, Recorder};
use crate::upstream::Life;

/// Completes a call's record when dropped.
///
/// A handler is dropped where it waits when its connection closes or its upstream crashes; without the guard such a
/// call would look as if it ran for ever.
pub(crate) struct CallGuard {
    recorder: Recorder,
    at: (usize, usize),
    life: Arc<Life>,
    started: Option<Instant>,
    busy: Option<Duration>,
    usage: Usage,
    ending: Option<Ending>,
}

impl CallGuard {
    /// Records the arrival of a call at the given life of an upstream.
    pub(crate) fn new(recorder: &Recorder, life: Arc<Life>, call: CallRecord) -> Self {
        Self {
            recorder: recorder.clone(),
            at: recorder.add(call),
            life,
            started: None,
            busy: None,
            usage: Usage::default(),
            ending: None,
        }
    }

    /// The call begins to run.
    pub(crate) fn start(&mut self) {
        let now = Instant::now();
        self.started = Some(now);
        self.recorder
            .change(self.at, |call| call.started_at = Some(now));
    }

    /// Number of times the call's stream was resumed.
    pub(crate) fn set_resumes(&self, resumes: u32) {
        self.recorder.change(self.at, |call| call.resumes = resumes);
    }

    /// The life of the upstream that the call came to.
    pub(crate) fn life(&self) -> Arc<Life> {
        Arc::clone(&self.life)
    }

    /// Tokens so far.
    pub(crate) fn set_usage(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// The call no longer holds its slot; says how long it did.
    pub(crate) fn stop_busy(&mut self) -> Duration {
        let busy = self.started.map(|at| at.elapsed()).unwrap_or_default();
        *self.busy.get_or_insert(busy)
    }

    /// The call ended in this way.
    pub(crate) fn end(mut self, ending: Ending) {
        self.ending = Some(ending);
    }

    fn ending(&self) -> Ending {
        match self.ending {
            Some(ending) => ending,
            None if self.life.has_crashed() => Ending::Crashed,
            None => Ending::Cancelled,
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let busy = self.stop_busy();
        let (usage, ending) = (self.usage, self.ending());
        self.recorder.change(self.at, |call| {
            call.ended_at = Some(Instant::now());
            call.ending = Some(ending);
            call.busy = busy;
            call.usage = usage;
        });
    }
}
