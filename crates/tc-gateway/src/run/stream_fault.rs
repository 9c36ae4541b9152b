//! Faults that end a stream before it is complete, and their log lines.

use std::time::Duration;

use tc_upstream::{CallError, CallErrorKind};

use super::{RoutedRequest, RunContext, send_failure::AnswerFault};

/// Reason why a stream ended early.
pub(super) struct StreamFault {
    pub(super) kind: AnswerFault,
    cause: FaultCause,
    problem: String,
}

/// Cause of a fault, as logs and metrics name it.
#[derive(Clone, Copy)]
enum FaultCause {
    /// The connection failed, or closed before the end of the stream.
    Broken,
    /// The stream violates the protocol or exceeds a limit.
    Invalid,
    /// The deadline of the request passed.
    Deadline,
}

impl FaultCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Invalid => "invalid",
            Self::Deadline => "deadline",
        }
    }
}

impl StreamFault {
    /// The connection failed, or closed in the middle of an event.
    pub(super) fn from_end(error: Option<CallError>) -> Self {
        let kind = error
            .as_ref()
            .map_or(AnswerFault::Broken, AnswerFault::from);
        let cause = match error.as_ref().map(|error| error.kind) {
            None | Some(CallErrorKind::Broken) => FaultCause::Broken,
            Some(CallErrorKind::TimedOut) => FaultCause::Deadline,
            Some(_) => FaultCause::Invalid,
        };
        let problem = error.map_or_else(
            || "the connection closed in the middle of an event".to_owned(),
            |error| error.to_string(),
        );
        Self {
            kind,
            cause,
            problem,
        }
    }

    pub(super) fn invalid(problem: &str) -> Self {
        Self {
            kind: AnswerFault::Invalid,
            cause: FaultCause::Invalid,
            problem: problem.to_owned(),
        }
    }

    pub(super) fn problem(&self) -> &str {
        &self.problem
    }

    /// Logs the fault of a stream whose caller has the events up to `last_event`.
    pub(super) fn log(&self, req: &RoutedRequest, upstream: &str, last_event: Option<u64>) {
        log::info!(request = &*req.head.request, upstream = upstream, last_event = last_event.unwrap_or(0), problem = self.problem(), after_ms = millis(req.arrived.elapsed()); "a stream broke");
    }

    /// Logs and counts a stream that ends early because of this fault; `reason` tells why it is not resumed.
    pub(super) fn record_cut(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
        last_event: Option<u64>,
        reason: &'static str,
    ) {
        let cause = self.cause.as_str();
        metrics::counter!("tc_routed_streams_cut_total", "cause" => cause, "reason" => reason)
            .increment(1);
        let world = cx.world.load();
        let version = world.config.as_ref().map_or(0, |c| c.routing.version);
        log::info!(
            request = &*req.head.request,
            route = &*req.route.name,
            cause = cause,
            reason = reason,
            last_event = last_event.unwrap_or(0),
            accepted_version = req.config_version,
            version = version,
            after_ms = millis(req.arrived.elapsed());
            "a stream was cut"
        );
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
