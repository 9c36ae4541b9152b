//! Dependency graph of the stages that precede a request: start order, critical path and feasibility.

use std::time::Duration;

use tc_protocol::{
    ServiceName,
    routing::{RouteStage, stage_order},
};

use crate::ExpectedStageTimes;

/// Part of the time until the caller leaves that the stages of a late request may be expected to take.
const MAX_LATE_FRACTION: f64 = 0.8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageState {
    /// The request has no pieces for this stage.
    Omitted,
    Waiting,
    Running,
    Done,
}

/// Stages of a request and their progress.
#[derive(Clone, Debug)]
pub struct StageGraph<'a> {
    stages: &'a [RouteStage],
    /// Indices of the stages, each after those whose results it reads.
    order: Vec<usize>,
    pieces: Vec<u32>,
    states: Vec<StageState>,
    /// For each stage, how often it was put back after its results or its inputs were lost.
    losses: Vec<u32>,
    /// For each stage, the losses of its inputs when it started.
    input_losses: Vec<u32>,
}

impl<'a> StageGraph<'a> {
    /// Creates a graph with no stage done. `pieces` holds the number of pieces per stage; missing entries count as
    /// zero, and stages without pieces are omitted. Stages must not depend on each other in a circle, which validation of
    /// the configuration ensures.
    ///
    /// ```
    /// use tc_policy::StageGraph;
    /// use tc_protocol::{ServiceName, routing::RouteStage};
    /// let stage = |service: &str, depends_on| RouteStage { service: service.into(), depends_on, result_bytes: 8_000 };
    /// let stages = [stage("read", vec![]), stage("draw", vec![0])];
    /// let mut graph = StageGraph::new(&stages, &[1, 2]);
    /// assert_eq!(graph.startable(), [0]);
    /// graph.mark_running(0);
    /// assert!(graph.startable().is_empty());
    /// graph.mark_done(0);
    /// assert_eq!(graph.startable(), [1]);
    /// ```
    #[must_use]
    pub fn new(stages: &'a [RouteStage], pieces: &[u32]) -> Self {
        let pieces: Vec<u32> = (0..stages.len())
            .map(|stage| pieces.get(stage).copied().unwrap_or(0))
            .collect();
        let initial_state = |pieces: &u32| match pieces {
            0 => StageState::Omitted,
            _ => StageState::Waiting,
        };
        Self {
            stages,
            order: stage_order(stages).unwrap_or_default(),
            states: pieces.iter().map(initial_state).collect(),
            losses: vec![0; stages.len()],
            input_losses: vec![0; stages.len()],
            pieces,
        }
    }

    /// Returns the stages in the route's order.
    #[must_use]
    pub fn stages(&self) -> &'a [RouteStage] {
        self.stages
    }

    /// Returns the indices of the stages in an order in which each comes after those whose results it reads.
    #[must_use]
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// Returns the number of pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// Returns the size of all results of a stage in bytes.
    #[must_use]
    pub fn total_result_bytes(&self, stage: usize) -> u64 {
        let pieces = u64::from(self.pieces[stage]);
        self.stages[stage].result_bytes.saturating_mul(pieces)
    }

    /// Returns true if a stage is done or omitted.
    #[must_use]
    pub fn is_complete(&self, stage: usize) -> bool {
        matches!(self.states[stage], StageState::Done | StageState::Omitted)
    }

    /// Marks a stage as running.
    pub fn mark_running(&mut self, stage: usize) {
        self.input_losses[stage] = self.losses_of_inputs(stage);
        self.states[stage] = StageState::Running;
    }

    /// Marks a stage as done.
    pub fn mark_done(&mut self, stage: usize) {
        self.states[stage] = StageState::Done;
    }

    /// Returns true if the stage was requested before and has to be made again.
    #[must_use]
    pub fn is_repeat(&self, stage: usize) -> bool {
        self.losses[stage] > 0
    }

    /// Returns true if a running stage reads the results of this one.
    #[must_use]
    pub fn is_being_read(&self, stage: usize) -> bool {
        self.dependents(stage)
            .any(|reader| self.states[reader] == StageState::Running)
    }

    /// Puts back a running stage that did not find its inputs, and the stages that have to be made again for it. These
    /// are its inputs and, before them, those whose results `is_held` no longer has. Returns them in the route's order.
    ///
    /// Returns `None` and changes nothing if a stage would be made for the third time.
    ///
    /// ```
    /// use tc_policy::StageGraph;
    /// use tc_protocol::{ServiceName, routing::RouteStage};
    /// let stage = |service: &str, depends_on| RouteStage { service: service.into(), depends_on, result_bytes: 8_000 };
    /// let stages = [stage("read", vec![]), stage("scan", vec![]), stage("draw", vec![0])];
    /// let mut graph = StageGraph::new(&stages, &[1, 1, 2]);
    /// graph.mark_done(0);
    /// graph.mark_done(1);
    /// graph.mark_running(2);
    /// assert_eq!(graph.put_back(2, |_| true), Some(vec![0]));
    /// assert_eq!(graph.startable(), [0]);
    /// ```
    pub fn put_back(
        &mut self,
        stage: usize,
        is_held: impl Fn(usize) -> bool,
    ) -> Option<Vec<usize>> {
        let mut lost = Vec::new();
        // If another reader noticed the loss first, this stage only has to read the new results.
        if self.losses_of_inputs(stage) == self.input_losses[stage] {
            lost = self.lost_with(stage, is_held);
            if lost.is_empty() {
                return None;
            }
        }
        if self.is_repeat(stage) || lost.iter().any(|lost| self.is_repeat(*lost)) {
            return None;
        }
        for put_back in lost.iter().copied().chain([stage]) {
            self.losses[put_back] += 1;
            self.states[put_back] = StageState::Waiting;
        }
        Some(lost)
    }

    /// Returns the stages to make again when the inputs of a stage are gone.
    fn lost_with(&self, stage: usize, is_held: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut lost = vec![false; self.stages.len()];
        for &input in &self.stages[stage].depends_on {
            lost[input] = self.states[input] == StageState::Done;
        }
        for &index in self.order.iter().rev() {
            if !lost[index] {
                continue;
            }
            for &input in &self.stages[index].depends_on {
                lost[input] |= self.states[input] == StageState::Done && !is_held(input);
            }
        }
        (0..lost.len()).filter(|index| lost[*index]).collect()
    }

    fn losses_of_inputs(&self, stage: usize) -> u32 {
        let inputs = self.stages[stage].depends_on.iter();
        inputs.map(|input| self.losses[*input]).sum()
    }

    /// Returns the stages to start now: those whose inputs are available and that head a chain as long as the longest
    /// one left.
    ///
    /// A stage parallel to a longer chain is delayed so that both finish together. Otherwise its results would occupy
    /// memory while the chain runs, and memory for results is the bottleneck when they are large: 22 results of 1.5 MB
    /// fill an upstream with 32 MB.
    #[must_use]
    pub fn startable(&self) -> Vec<usize> {
        let open = (0..self.stages.len()).filter(|stage| !self.is_complete(*stage));
        let longest = open
            .map(|stage| self.chain_length(stage))
            .max()
            .unwrap_or(0);
        (0..self.stages.len())
            .filter(|stage| self.states[*stage] == StageState::Waiting)
            .filter(|stage| self.has_inputs(*stage))
            .filter(|stage| self.chain_length(*stage) >= longest)
            .collect()
    }

    /// Returns the services and piece counts of the unfinished stages that read a stage's results.
    #[must_use]
    pub fn dependent_pieces(&self, stage: usize) -> Vec<(ServiceName, u32)> {
        let next = self
            .dependents(stage)
            .filter(|next| !self.is_complete(*next));
        next.map(|next| (self.stages[next].service.clone(), self.pieces[next]))
            .collect()
    }

    /// Returns the services and piece counts of the unfinished stages that follow those that read a stage's results.
    ///
    /// ```
    /// use tc_policy::StageGraph;
    /// use tc_protocol::{ServiceName, routing::RouteStage};
    /// let stage = |service: &str, depends_on| RouteStage { service: service.into(), depends_on, result_bytes: 8_000 };
    /// let stages = [stage("read", vec![]), stage("draw", vec![0]), stage("check", vec![1])];
    /// let graph = StageGraph::new(&stages, &[1, 2, 3]);
    /// assert_eq!(graph.dependent_pieces(0), [(ServiceName::from("draw"), 2)]);
    /// assert_eq!(graph.later_pieces(0), [(ServiceName::from("check"), 3)]);
    /// assert!(graph.later_pieces(1).is_empty());
    /// ```
    #[must_use]
    pub fn later_pieces(&self, stage: usize) -> Vec<(ServiceName, u32)> {
        let later = (0..self.stages.len()).filter(|later| {
            !self.is_complete(*later)
                && !self.stages[*later].depends_on.contains(&stage)
                && self.follows(*later, stage)
        });
        later
            .map(|later| (self.stages[later].service.clone(), self.pieces[later]))
            .collect()
    }

    /// Returns the stages that must be done before a stage can start, directly or not, the latest first.
    pub(crate) fn predecessors(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let latest_first = self.order.iter().rev().copied();
        latest_first.filter(move |before| self.follows(stage, *before))
    }

    /// Returns true if `stage` can start only after `before`.
    fn follows(&self, stage: usize, before: usize) -> bool {
        let mut inputs = self.stages[stage].depends_on.iter();
        inputs.any(|input| *input == before || self.follows(*input, before))
    }

    /// Returns the inputs of `stage`, which is now done, whose results all dependent stages have read.
    #[must_use]
    pub fn fully_read_inputs(&self, stage: usize) -> Vec<usize> {
        let inputs = self.stages[stage].depends_on.iter().copied();
        inputs
            .filter(|input| {
                self.dependents(*input)
                    .all(|reader| self.is_complete(reader))
            })
            .collect()
    }

    /// Returns true if no other unfinished stage reads the inputs of this one.
    #[must_use]
    pub fn is_last_reader(&self, stage: usize) -> bool {
        let mut inputs = self.stages[stage].depends_on.iter();
        inputs.all(|input| {
            let mut others = self.dependents(*input).filter(|other| *other != stage);
            others.all(|other| self.is_complete(other))
        })
    }

    /// Returns the time of the longest unfinished chain of stages, given the time of each stage.
    #[must_use]
    pub fn critical_path(&self, times: &[Duration]) -> Duration {
        let first =
            (0..self.stages.len()).filter(|stage| self.stages[*stage].depends_on.is_empty());
        first
            .map(|stage| self.remaining_time(stage, times) + self.critical_path_after(stage, times))
            .max()
            .unwrap_or_default()
    }

    /// Returns the time of the longest unfinished chain after a stage.
    #[must_use]
    pub fn critical_path_after(&self, stage: usize, times: &[Duration]) -> Duration {
        self.dependents(stage)
            .map(|next| self.remaining_time(next, times) + self.critical_path_after(next, times))
            .max()
            .unwrap_or_default()
    }

    /// Returns the time of the longest unfinished chain before a stage.
    #[must_use]
    pub fn critical_path_before(&self, stage: usize, times: &[Duration]) -> Duration {
        let inputs = self.stages[stage].depends_on.iter().copied();
        inputs
            .map(|input| {
                self.remaining_time(input, times) + self.critical_path_before(input, times)
            })
            .max()
            .unwrap_or_default()
    }

    /// Checks whether it is worth starting the stages; otherwise returns a hint for when to retry.
    ///
    /// A request that can meet its latency target is feasible. A request that cannot gets the leftover capacity at
    /// every stage, so it is feasible only if the stages with the least leftover capacity still allow it. If each stage
    /// decided by itself, such a request would pass the first stage and be refused at the next: in a burst, half of the
    /// requests were refused after half a second of work.
    pub fn check_feasible(
        &self,
        expected: &ExpectedStageTimes,
        until_latency_target: Duration,
        remaining: Duration,
    ) -> Result<(), Duration> {
        if self.critical_path(&expected.in_time) <= until_latency_target {
            return Ok(());
        }
        if self.critical_path(&expected.late) <= remaining.mul_f64(MAX_LATE_FRACTION) {
            return Ok(());
        }
        Err(expected.in_time.iter().max().copied().unwrap_or_default())
    }

    fn remaining_time(&self, stage: usize, times: &[Duration]) -> Duration {
        if self.is_complete(stage) {
            Duration::ZERO
        } else {
            times[stage]
        }
    }

    fn has_inputs(&self, stage: usize) -> bool {
        let mut inputs = self.stages[stage].depends_on.iter();
        inputs.all(|stage| self.is_complete(*stage))
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(move |next| self.stages[*next].depends_on.contains(&stage))
    }

    /// Returns the number of stages on the longest chain that starts with this one.
    fn chain_length(&self, stage: usize) -> usize {
        if self.states[stage] == StageState::Omitted {
            return 0;
        }
        let dependents = self.dependents(stage).map(|next| self.chain_length(next));
        1 + dependents.max().unwrap_or(0)
    }
}
