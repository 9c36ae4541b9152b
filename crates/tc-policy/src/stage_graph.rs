//! The stages before a request: which are to be made now, how long they all take, and whether to begin them.

use std::time::Duration;

use tc_protocol::{ServiceName, routing::RouteStage};

use crate::ExpectedStages;

/// Part of the time until its caller leaves that the stages of a late request may be expected to take.
const MOST_TIME: f64 = 0.8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageState {
    /// The request has no pieces of it.
    Omitted,
    Waiting,
    Running,
    Done,
}

/// Which stages of a request have been made.
#[derive(Clone, Debug)]
pub struct StageGraph<'a> {
    stages: &'a [RouteStage],
    pieces: Vec<u32>,
    states: Vec<StageState>,
}

impl<'a> StageGraph<'a> {
    /// Begins with nothing made. `pieces` tells how many pieces each stage has; missing numbers count as none, and a stage
    /// without pieces is left out. Each stage must follow earlier ones only, as a valid configuration's do.
    ///
    /// ```
    /// use tc_policy::StageGraph;
    /// use tc_protocol::{ServiceName, routing::RouteStage};
    /// let stage = |service: &str, depends_on| RouteStage { service: service.into(), depends_on, result_bytes: 8_000 };
    /// let stages = [stage("read", vec![]), stage("draw", vec![0])];
    /// let mut graph = StageGraph::new(&stages, &[1, 2]);
    /// assert_eq!(graph.startable(), [0]);
    /// graph.begin(0);
    /// assert!(graph.startable().is_empty());
    /// graph.done(0);
    /// assert_eq!(graph.startable(), [1]);
    /// ```
    #[must_use]
    pub fn new(stages: &'a [RouteStage], pieces: &[u32]) -> Self {
        let pieces: Vec<u32> = (0..stages.len())
            .map(|stage| pieces.get(stage).copied().unwrap_or(0))
            .collect();
        let state_at_first = |pieces: &u32| match pieces {
            0 => StageState::Omitted,
            _ => StageState::Waiting,
        };
        Self {
            stages,
            states: pieces.iter().map(state_at_first).collect(),
            pieces,
        }
    }

    /// The stages, in the route's order.
    #[must_use]
    pub fn stages(&self) -> &'a [RouteStage] {
        self.stages
    }

    /// Pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// Bytes of all results of a stage.
    #[must_use]
    pub fn size_of(&self, stage: usize) -> u64 {
        self.stages[stage].result_bytes * u64::from(self.pieces[stage])
    }

    /// Whether a stage is made or left out.
    #[must_use]
    pub fn is_over(&self, stage: usize) -> bool {
        matches!(self.states[stage], StageState::Done | StageState::Omitted)
    }

    /// Notes that a stage is being made.
    pub fn begin(&mut self, stage: usize) {
        self.states[stage] = StageState::Running;
    }

    /// Notes that a stage was made.
    pub fn done(&mut self, stage: usize) {
        self.states[stage] = StageState::Done;
    }

    /// Stages to be started now: their inputs are there, and no longer chain is still to be made.
    ///
    /// A stage beside a long chain is started so that both end together. Its results would otherwise be kept while
    /// the chain is made, and room for results is what binds when they are large: 22 results of 1.5 MB fill a maker
    /// of 32 MB.
    #[must_use]
    pub fn startable(&self) -> Vec<usize> {
        let open = (0..self.stages.len()).filter(|stage| !self.is_over(*stage));
        let longest = open.map(|stage| self.depth(stage)).max().unwrap_or(0);
        (0..self.stages.len())
            .filter(|stage| self.states[*stage] == StageState::Waiting)
            .filter(|stage| self.has_inputs(*stage))
            .filter(|stage| self.depth(*stage) >= longest)
            .collect()
    }

    /// Pieces of the stages that read a stage's results, by their service.
    #[must_use]
    pub fn following(&self, stage: usize) -> Vec<(ServiceName, u32)> {
        let next = self.followers(stage).filter(|next| !self.is_over(*next));
        next.map(|next| (self.stages[next].service.clone(), self.pieces[next]))
            .collect()
    }

    /// Stages whose results have been read by everyone, now that this one is made.
    #[must_use]
    pub fn read_by_all(&self, made: usize) -> Vec<usize> {
        let before = self.stages[made].depends_on.iter().copied();
        before
            .filter(|read| self.followers(*read).all(|stage| self.is_over(stage)))
            .collect()
    }

    /// Whether a stage is the only one left that reads its inputs.
    #[must_use]
    pub fn is_last_reader(&self, stage: usize) -> bool {
        let mut before = self.stages[stage].depends_on.iter();
        before.all(|read| {
            let mut others = self.followers(*read).filter(|other| *other != stage);
            others.all(|other| self.is_over(other))
        })
    }

    /// Time of the longest chain of stages still to be made, given each stage's own.
    #[must_use]
    pub fn time_of_all(&self, times: &[Duration]) -> Duration {
        let first =
            (0..self.stages.len()).filter(|stage| self.stages[*stage].depends_on.is_empty());
        first
            .map(|stage| self.time_of(stage, times) + self.time_after(stage, times))
            .max()
            .unwrap_or_default()
    }

    /// Time of the longest chain that follows a stage.
    #[must_use]
    pub fn time_after(&self, stage: usize, times: &[Duration]) -> Duration {
        self.followers(stage)
            .map(|next| self.time_of(next, times) + self.time_after(next, times))
            .max()
            .unwrap_or_default()
    }

    /// Time of the longest chain still to be made before a stage.
    #[must_use]
    pub fn time_before(&self, stage: usize, times: &[Duration]) -> Duration {
        let before = self.stages[stage].depends_on.iter().copied();
        before
            .map(|before| self.time_of(before, times) + self.time_before(before, times))
            .max()
            .unwrap_or_default()
    }

    /// Whether the stages are worth beginning; if not, when to come back.
    ///
    /// A request that can be in time is. One that cannot takes what is left at every stage, so it is worth beginning
    /// only if something is left at the worst of them. Judged stage by stage, it would pass the first and be refused at
    /// the next, seen as half of a burst refused after half a second of work for it.
    pub fn worth_beginning(
        &self,
        expected: &ExpectedStages,
        until_aim: Duration,
        until_left: Duration,
    ) -> Result<(), Duration> {
        if self.time_of_all(&expected.in_time) <= until_aim {
            return Ok(());
        }
        if self.time_of_all(&expected.late) <= until_left.mul_f64(MOST_TIME) {
            return Ok(());
        }
        Err(expected.in_time.iter().max().copied().unwrap_or_default())
    }

    fn time_of(&self, stage: usize, times: &[Duration]) -> Duration {
        if self.is_over(stage) {
            Duration::ZERO
        } else {
            times[stage]
        }
    }

    fn has_inputs(&self, stage: usize) -> bool {
        let mut before = self.stages[stage].depends_on.iter();
        before.all(|stage| self.is_over(*stage))
    }

    fn followers(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(move |next| self.stages[*next].depends_on.contains(&stage))
    }

    /// Number of stages on the longest chain that begins with this one.
    fn depth(&self, stage: usize) -> usize {
        if self.states[stage] == StageState::Omitted {
            return 0;
        }
        let following = self.followers(stage).map(|next| self.depth(next));
        1 + following.max().unwrap_or(0)
    }
}
