//! Metrics of calls to upstreams.

use tc_protocol::Outcome;
use tokio::time::Instant;

/// Records the outcome and the duration of a call when it ends. If dropped before that, records it as cancelled.
#[derive(Debug)]
pub(crate) struct CallMeter {
    kind: &'static str,
    started: Instant,
    ended: bool,
}

impl CallMeter {
    pub(crate) fn start(kind: &'static str) -> Self {
        Self {
            kind,
            started: Instant::now(),
            ended: false,
        }
    }

    pub(crate) fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        metrics::counter!("tc_upstream_calls_total", "kind" => self.kind, "outcome" => outcome_label(outcome))
            .increment(1);
        metrics::histogram!("tc_upstream_call_ms", "kind" => self.kind)
            .record(self.started.elapsed().as_secs_f64() * 1_000.0);
    }
}

impl Drop for CallMeter {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}

const fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Rejected => "rejected",
        Outcome::Failed => "failed",
        Outcome::Died => "died",
        Outcome::TimedOut => "timed_out",
        Outcome::Cancelled => "cancelled",
        Outcome::Unused => "unused",
    }
}
