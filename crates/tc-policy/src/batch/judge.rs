//! Whether a request's whole chain of stages is worth beginning, judged at the home of its first stage.
//!
//! The home that a request comes to first knows its own queue exactly, every request that it let pass a moment ago included, and
//! hears of the other homes many times a second. An instance that judges by what its own asks brought knows each home as it
//! was a quarter of a second ago on average: seen among 78 instances in a burst as all of them letting requests pass for as
//! long as the last word was good, and then refusing them while the homes had places: a third fewer in time at four times the
//! usual load than at twice.

use std::time::Duration;

use tc_protocol::{MonoTime, ServiceName, routing::StageChain};

use super::{
    outlook::HomeOutlook,
    outlooks::{JudgedRequest, StageOutlooks},
    refused::RefusedRequests,
};
use crate::StageGraph;

/// How a request that is worth beginning is to be begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    /// Time within which its first stage must be done for it to be in time.
    pub in_time_for: Duration,
    /// Whether it comes again after a refusal and cannot be in time any more for its caller.
    pub is_late_return: bool,
}

/// What the home of a first stage knows of the homes of the stages that follow.
#[derive(Clone, Debug, Default)]
pub struct ChainJudge {
    outlooks: StageOutlooks,
    refused: RefusedRequests,
}

impl ChainJudge {
    /// A home told how it stands.
    pub fn note(&mut self, now: MonoTime, service: &ServiceName, outlook: HomeOutlook) {
        self.outlooks.note(now, service, outlook);
    }

    /// How a request whose first stage is `first` is to be begun; otherwise when it is to come back.
    ///
    /// A request that was refused and comes again counts from when it came first, as its caller does. Judged as a new one it
    /// would take the place of one that can still be in time: seen in a burst of five seconds as every request refused once and
    /// then answered late.
    pub fn judge(
        &mut self,
        now: MonoTime,
        chain: &StageChain,
        rank: u8,
        first: usize,
        call_times: &[Duration],
    ) -> Result<Begun, Duration> {
        let aim = self.refused.aim_of(now, chain.fingerprint);
        let aim = aim.unwrap_or_else(|| now.after(chain.until_latency_target));
        let until_aim = aim.since(now).min(chain.until_latency_target);
        let graph = StageGraph::new(&chain.stages, &chain.pieces);
        let request = JudgedRequest {
            graph: &graph,
            call_times,
            until_aim,
            rank,
        };
        let expected = self.outlooks.expect(now, &request);
        if let Err(retry_after) = graph.worth_beginning(&expected, until_aim, chain.remaining) {
            self.refused.note(now, chain.fingerprint, aim);
            return Err(retry_after);
        }
        let after = graph.time_after(first, &expected.in_time);
        Ok(Begun {
            in_time_for: until_aim.saturating_sub(after),
            is_late_return: until_aim.is_zero(),
        })
    }
}
