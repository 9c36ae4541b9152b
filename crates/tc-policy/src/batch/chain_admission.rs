//! Admission control for a request's whole chain of stages, at the home of its first stage.
//!
//! That home knows its own queue exactly, including every request admitted a moment ago, and receives the outlooks of
//! the other homes many times a second. An instance that decides from the answers to its own requests has information
//! that is a quarter of a second old on average. With 78 instances in a burst, all of them admitted requests until
//! their information expired and then refused requests while the homes had capacity: a third fewer requests were on
//! time at four times the usual load than at twice.

use std::time::Duration;

use tc_protocol::{MonoTime, ServiceName, routing::StageChain};

use super::{
    outlook::HomeOutlook,
    outlooks::{ChainQuery, StageOutlooks},
    refused::RefusedRequests,
    return_times::{MAX_RETURN_TIME, RETURN_FRACTION, ReturnTimes},
};
use crate::StageGraph;

/// Schedule of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedChain {
    /// Time within which the first stage must be done for the request to be on time.
    pub in_time_for: Duration,
    /// Whether the request is a retry after a refusal and can no longer be on time for its caller.
    pub is_late_return: bool,
    /// Whether the request has returned at the time that it was promised.
    pub has_kept_place: bool,
}

/// Admission state at the home of a first stage: outlooks of the homes of all stages and recent refusals.
#[derive(Clone, Debug, Default)]
pub struct ChainAdmission {
    outlooks: StageOutlooks,
    refused: RefusedRequests,
    return_times: ReturnTimes,
}

impl ChainAdmission {
    /// Returns the number of refused requests that have a place and have not returned yet.
    #[must_use]
    pub fn promised_returns(&self) -> usize {
        self.return_times.len()
    }

    /// Stores the latest outlook of a home.
    pub fn record(&mut self, now: MonoTime, service: &ServiceName, outlook: HomeOutlook) {
        self.return_times.record_outlook(now, service, &outlook);
        self.outlooks.record(now, service, outlook);
    }

    /// Admits a request whose first stage is `first`, or returns the time after which to retry. The request then has
    /// a place in the capacity that on-time work leaves over.
    ///
    /// A retry after a refusal keeps the due time of the first attempt, as its caller does. Treated as a new
    /// request, it would displace one that can still be on time: in a burst of five seconds, every request was refused
    /// once and then answered late.
    pub fn admit(
        &mut self,
        now: MonoTime,
        chain: &StageChain,
        priority: u8,
        first: usize,
        call_times: &[Duration],
    ) -> Result<AdmittedChain, Duration> {
        let graph = StageGraph::new(&chain.stages, &chain.pieces);
        let place = self.return_times.take_up(now, chain.fingerprint);
        let refused_due = self.refused.remove(now, chain.fingerprint);
        if refused_due.is_none() {
            self.return_times.record_arrival(now, &graph);
        }
        let answer_due = refused_due.unwrap_or_else(|| now.after(chain.until_latency_target));
        let until_latency_target = answer_due.since(now).min(chain.until_latency_target);
        let request = ChainQuery {
            graph: &graph,
            call_times,
            until_latency_target,
            priority,
            workspace: &chain.workspace,
        };
        let mut expected = self.outlooks.estimate(now, &request);
        if let Some(place) = place
            && let Some(times) = self.return_times.stage_times(now, &graph, Some(place))
        {
            expected.late = times;
        }
        if let Err(soonest) = graph.check_feasible(&expected, until_latency_target, chain.remaining)
        {
            self.refused.record(now, chain.fingerprint, answer_due);
            let times = self.return_times.stage_times(now, &graph, None);
            let late_path = graph.critical_path(times.as_ref().unwrap_or(&expected.late));
            let wait = late_path.saturating_sub(chain.remaining.mul_f64(RETURN_FRACTION));
            let wait = wait.max(soonest);
            // Callers mostly return once, so the place of one that was refused again would stay empty.
            return Err(if refused_due.is_none() {
                self.return_times.promise(now, chain, &graph, wait)
            } else {
                wait.min(MAX_RETURN_TIME)
            });
        }
        let after = graph.critical_path_after(first, &expected.in_time);
        Ok(AdmittedChain {
            in_time_for: until_latency_target.saturating_sub(after),
            is_late_return: until_latency_target.is_zero(),
            has_kept_place: place.is_some(),
        })
    }
}
