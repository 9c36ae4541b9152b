//! Fault switches of an upstream.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;

use super::{AnswerFault, process::Process};
use crate::{
    answer::{Answer, Body, Closed, full},
    sync::lock,
};

/// Interval at which a held call checks whether it may continue.
const HOLD_CHECK: Duration = Duration::from_millis(5);
/// Media type of a stream of events.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// Switches that make an upstream misbehave. All act from now on: on calls that come, and `set_slow` and `set_hang`
/// also on completions that run.
pub struct UpstreamFaults {
    process: Arc<Process>,
    slow_factor: AtomicU64,
    hang: AtomicBool,
    down: AtomicBool,
    leaving: AtomicBool,
    stream_events: AtomicU64,
    answers: Mutex<Option<PlannedFault>>,
}

struct PlannedFault {
    fault: AnswerFault,
    left: u64,
    kept: Option<Response<Bytes>>,
}

impl UpstreamFaults {
    pub(super) fn new(process: Arc<Process>) -> Self {
        Self {
            process,
            slow_factor: AtomicU64::new(1.0_f64.to_bits()),
            hang: AtomicBool::new(false),
            down: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            stream_events: AtomicU64::new(0),
            answers: Mutex::default(),
        }
    }

    /// Makes all work take this many times as long; 1 is healthy.
    pub fn set_slow(&self, factor: f64) {
        self.slow_factor.store(factor.to_bits(), Ordering::Release);
    }

    /// Keeps every call, load report included, without an answer until switched off.
    pub fn set_hang(&self, hang: bool) {
        self.hang.store(hang, Ordering::Release);
    }

    /// Answers everything with 503, without running it and without a promise that it did not run.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Release);
    }

    /// Closes connections as soon as they are accepted, and open ones at their next call, before it is read whole.
    pub fn set_refusing(&self, refusing: bool) {
        self.process.set_refusing(refusing);
    }

    /// Says in its load report that it is about to stop; it still runs what it gets.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Breaks each connection of a stream after it carried this many events; 0 switches off.
    pub fn break_streams_after(&self, events: u64) {
        self.stream_events.store(events, Ordering::Release);
    }

    /// Spoils the next `count` answers to calls; load reports and orders stay whole. `u64::MAX` spoils all.
    pub fn break_answers(&self, fault: AnswerFault, count: u64) {
        *lock(&self.answers) = (count > 0).then_some(PlannedFault {
            fault,
            left: count,
            kept: None,
        });
    }

    /// Ends the process: its listener and all connections close at once.
    pub fn crash(&self) {
        self.process.crash(&self.process.life());
    }

    /// Starts the process again on the same address as a new incarnation, whether it had crashed or not.
    pub async fn restart(&self) -> io::Result<()> {
        self.process.restart().await
    }

    /// After every crash to come, starts the process again by itself after this time.
    pub fn set_restart_after(&self, after: Option<Duration>) {
        self.process.set_restart_after(after);
    }

    /// Whether the process has crashed and not started again.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.process.life().has_crashed()
    }

    pub(crate) fn slow_factor(&self) -> f64 {
        f64::from_bits(self.slow_factor.load(Ordering::Acquire))
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Events a stream's connection carries before it breaks.
    pub(crate) fn stream_events(&self) -> Option<u64> {
        match self.stream_events.load(Ordering::Acquire) {
            0 => None,
            events => Some(events),
        }
    }

    /// Waits while the upstream hangs.
    pub(crate) async fn hold(&self) {
        while self.hang.load(Ordering::Acquire) {
            tokio::time::sleep(HOLD_CHECK).await;
        }
    }

    /// Sends an answer through the planned fault, if there is one.
    pub(crate) async fn spoil(&self, resp: Response<Body>) -> Answer {
        if resp.status() != StatusCode::OK || lock(&self.answers).is_none() {
            return Ok(resp);
        }
        if is_stream(&resp) {
            return match self.take_fault() {
                Some(AnswerFault::Lost) => Err(Closed),
                Some(fault) => Ok(fault.apply_to_stream(resp)),
                None => Ok(resp),
            };
        }
        let (parts, body) = resp.into_parts();
        let Ok(body) = body.collect().await else {
            return Err(Closed);
        };
        let body = body.to_bytes();
        match self.take_fault() {
            Some(AnswerFault::Lost) => Err(Closed),
            Some(AnswerFault::DuplicateLate) => {
                Ok(self.keep_or_repeat(Response::from_parts(parts, body)))
            }
            Some(fault) => Ok(fault.apply(parts, body)),
            None => Ok(Response::from_parts(parts, full(body))),
        }
    }

    fn take_fault(&self) -> Option<AnswerFault> {
        let mut planned = lock(&self.answers);
        let plan = planned.as_mut()?;
        let fault = plan.fault;
        let keeps_first = fault == AnswerFault::DuplicateLate && plan.kept.is_none();
        if !keeps_first {
            if plan.left == 0 {
                *planned = None;
                return None;
            }
            plan.left = plan.left.saturating_sub(1);
        }
        Some(fault)
    }

    /// Keeps the first answer and sends it; sends a copy of it in place of each later one.
    fn keep_or_repeat(&self, resp: Response<Bytes>) -> Response<Body> {
        let mut planned = lock(&self.answers);
        let Some(plan) = planned.as_mut() else {
            return resp.map(full);
        };
        plan.kept.get_or_insert(resp).clone().map(full)
    }
}

fn is_stream(resp: &Response<Body>) -> bool {
    let content_type = resp.headers().get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value == EVENT_STREAM)
}
