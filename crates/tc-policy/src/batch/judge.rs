//! Whether a request's whole chain of stages is worth beginning, judged at the home of its first stage.
//!
//! The home that a request comes to first knows its own queue exactly, every request that it let pass a moment ago included, and
//! hears of the other homes many times a second. An instance that judges by what its own asks brought knows each home as it
//! was a quarter of a second ago on average: seen among 78 instances in a burst as all of them letting requests pass for as
//! long as the last word was good, and then refusing them while the homes had places: a third fewer in time at four times the
//! usual load than at twice.

use std::time::Duration;

use tc_protocol::{MonoTime, ServiceName, routing::ChainAsk};

use super::{
    outlook::HomeOutlook,
    outlooks::{JudgedRequest, StageOutlooks},
};
use crate::StageGraph;

/// What the home of a first stage knows of the homes of the stages that follow.
#[derive(Clone, Debug, Default)]
pub struct ChainJudge {
    outlooks: StageOutlooks,
}

impl ChainJudge {
    /// A home told how it stands.
    pub fn note(&mut self, now: MonoTime, service: &ServiceName, outlook: HomeOutlook) {
        self.outlooks.note(now, service, outlook);
    }

    /// Time within which the stage `first` must be done for the request to be in time, if the request is worth beginning;
    /// otherwise when it is to come back.
    pub fn judge(
        &self,
        now: MonoTime,
        chain: &ChainAsk,
        rank: u8,
        first: usize,
        call_times: &[Duration],
    ) -> Result<Duration, Duration> {
        let graph = StageGraph::new(&chain.stages, &chain.pieces);
        let request = JudgedRequest {
            graph: &graph,
            call_times,
            until_aim: chain.until_aim,
            rank,
        };
        let expected = self.outlooks.expect(now, &request);
        graph.worth_beginning(&expected, chain.until_aim, chain.until_left)?;
        let after = graph.time_after(first, &expected.in_time);
        Ok(chain.until_aim.saturating_sub(after))
    }
}
