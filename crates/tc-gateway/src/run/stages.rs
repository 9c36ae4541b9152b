//! The stages before a request: a graph of batches of pieces, and the results they leave.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tc_protocol::{
    FailureDomain, ServiceName,
    routing::{PieceInput, PiecesAsk, PiecesRefusal, ResultHandle, RouteStage},
};

use super::{RoutedRequest, RunContext, home_ask::ask_home};
use crate::homes::{Freer, PiecesReply};

/// Time of one stage that is still to come, as a multiple of a call's fixed time: the call with some pieces, and half
/// of another that it waits for.
const STAGE_TIME: f64 = 1.6;
/// Part of the time until its caller leaves that the stages of a request may be expected to take; beyond it the request
/// is refused before any of them is begun.
const MOST_TIME: f64 = 0.8;
/// Time from the last stage's end to an engine's first event: fetching results, reading the prompt and the first
/// step take 60 to 160 ms.
const ENGINE_TIME: Duration = Duration::from_millis(150);
/// Bytes from which on it matters where they are read; moving fewer costs less than waiting for a near upstream.
const LARGE_BYTES: u64 = 256 << 10;

/// Results that a request holds; given up when dropped.
pub(super) struct HeldResults {
    freer: Freer,
    by_stage: Vec<(ServiceName, Vec<ResultHandle>)>,
}

impl HeldResults {
    fn new(freer: Freer, stages: &[RouteStage]) -> Self {
        Self {
            freer,
            by_stage: stages
                .iter()
                .map(|stage| (stage.service.clone(), Vec::new()))
                .collect(),
        }
    }

    fn free(&mut self, stage: usize) {
        let (service, results) = &mut self.by_stage[stage];
        self.freer.free(service, std::mem::take(results));
    }

    /// Results of the stages that no other stage follows, in their order.
    fn last(&self, stages: &[RouteStage]) -> Vec<ResultHandle> {
        let is_read = |index| stages.iter().any(|stage| stage.after.contains(&index));
        self.by_stage
            .iter()
            .enumerate()
            .filter(|(index, _)| !is_read(*index))
            .flat_map(|(_, (_, results))| results.iter().cloned())
            .collect()
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        for stage in 0..self.by_stage.len() {
            self.free(stage);
        }
    }
}

/// What the stages of a request left for the request itself.
pub(super) struct StageResults {
    /// Results that the engine reads.
    pub(super) inputs: Vec<ResultHandle>,
    /// Where the engine should run, when large results lie there.
    pub(super) domain: Option<FailureDomain>,
    /// Gives all of it up when dropped.
    _held: HeldResults,
}

/// Makes all stages of a request. Dropping the future cancels what was not started.
pub(super) async fn make_all(
    cx: &RunContext,
    req: &RoutedRequest,
) -> Result<StageResults, PiecesRefusal> {
    let stages = &req.route.stages;
    let mut graph = Graph::new(stages, &req.head.pieces);
    let (expected, longest_wait) = graph.time_of_all(cx);
    if expected > req.time_to_first().mul_f64(MOST_TIME) {
        return Err(PiecesRefusal::Overloaded {
            retry_after: longest_wait,
        });
    }
    let mut held = HeldResults::new(cx.freer.clone(), stages);
    let wanted = wanted_domain(cx, req);
    let mut running: FuturesUnordered<BoxFuture<'_, (usize, PiecesReply)>> =
        FuturesUnordered::new();
    loop {
        for stage in graph.startable() {
            graph.states[stage] = StageState::Running;
            let ask = ask_for(cx, req, &graph, &held, stage, wanted.as_ref());
            running.push(Box::pin(async move { (stage, ask_home(cx, ask).await) }));
        }
        let Some((stage, reply)) = running.next().await else {
            break;
        };
        held.by_stage[stage].1 = reply?;
        graph.states[stage] = StageState::Done;
        for read in graph.read_by_all(stage) {
            held.free(read);
        }
    }
    let inputs = held.last(stages);
    Ok(StageResults {
        domain: domain_of_large(cx, req, &held),
        inputs,
        _held: held,
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageState {
    /// The request has no pieces of it.
    Omitted,
    Waiting,
    Running,
    Done,
}

/// Which stages have been made.
struct Graph<'a> {
    stages: &'a [RouteStage],
    pieces: Vec<u32>,
    states: Vec<StageState>,
}

impl<'a> Graph<'a> {
    fn new(stages: &'a [RouteStage], pieces: &[u32]) -> Self {
        let pieces: Vec<u32> = (0..stages.len())
            .map(|i| pieces.get(i).copied().unwrap_or(0))
            .collect();
        let at_first = pieces
            .iter()
            .map(|n| {
                if *n == 0 {
                    StageState::Omitted
                } else {
                    StageState::Waiting
                }
            })
            .collect();
        Self {
            stages,
            pieces,
            states: at_first,
        }
    }

    fn is_over(&self, stage: usize) -> bool {
        matches!(self.states[stage], StageState::Done | StageState::Omitted)
    }

    /// Number of stages on the longest chain that begins with this one.
    fn depth(&self, stage: usize) -> usize {
        if self.states[stage] == StageState::Omitted {
            return 0;
        }
        let followers = (0..self.stages.len()).filter(|i| self.stages[*i].after.contains(&stage));
        1 + followers.map(|i| self.depth(i)).max().unwrap_or(0)
    }

    /// Bytes of all results of a stage.
    fn size_of(&self, stage: usize) -> u64 {
        self.stages[stage].result_bytes * u64::from(self.pieces[stage])
    }

    /// Expected time of a stage that is still to come, its wait included.
    fn time_of(&self, cx: &RunContext, stage: usize) -> Duration {
        if self.is_over(stage) {
            return Duration::ZERO;
        }
        let service = &self.stages[stage].service;
        let world = cx.world.load();
        let batch = world
            .config
            .as_ref()
            .and_then(|config| config.service(service.as_str())?.batch);
        let call_time = batch.map(|batch| batch.call_time).unwrap_or_default();
        call_time.mul_f64(STAGE_TIME) + cx.waits.of(service)
    }

    /// Expected time of the longest chain that follows a stage.
    fn time_after(&self, cx: &RunContext, stage: usize) -> Duration {
        let followers = (0..self.stages.len()).filter(|i| self.stages[*i].after.contains(&stage));
        followers
            .map(|i| self.time_of(cx, i) + self.time_after(cx, i))
            .max()
            .unwrap_or_default()
    }

    /// Expected time of all stages, and the longest wait among them.
    fn time_of_all(&self, cx: &RunContext) -> (Duration, Duration) {
        let first = (0..self.stages.len()).filter(|i| self.stages[*i].after.is_empty());
        let all = first
            .map(|i| self.time_of(cx, i) + self.time_after(cx, i))
            .max();
        let waits = (0..self.stages.len())
            .filter(|i| !self.is_over(*i))
            .map(|i| cx.waits.of(&self.stages[i].service));
        (all.unwrap_or_default(), waits.max().unwrap_or_default())
    }

    /// Stages to be started now: their inputs are there, and no longer chain is still to be made.
    ///
    /// A stage beside a long chain is started so that both end together. Its results would otherwise be kept while
    /// the chain is made, and room for results is what binds when they are large: 22 results of 1.5 MB fill a maker
    /// of 32 MB.
    fn startable(&self) -> Vec<usize> {
        let open = (0..self.stages.len()).filter(|i| !self.is_over(*i));
        let longest = open.map(|i| self.depth(i)).max().unwrap_or(0);
        (0..self.stages.len())
            .filter(|i| self.states[*i] == StageState::Waiting)
            .filter(|i| {
                self.stages[*i]
                    .after
                    .iter()
                    .all(|before| self.is_over(*before))
            })
            .filter(|i| self.depth(*i) >= longest)
            .collect()
    }

    /// Stages whose results have been read by everyone, now that this one is made.
    fn read_by_all(&self, made: usize) -> Vec<usize> {
        let before = &self.stages[made].after;
        before
            .iter()
            .copied()
            .filter(|read| {
                (0..self.stages.len())
                    .filter(|i| self.stages[*i].after.contains(read))
                    .all(|i| self.is_over(i))
            })
            .collect()
    }
}

fn ask_for(
    cx: &RunContext,
    req: &RoutedRequest,
    graph: &Graph<'_>,
    held: &HeldResults,
    stage: usize,
    wanted: Option<&FailureDomain>,
) -> PiecesAsk {
    let spec = &req.route.stages[stage];
    let results: Vec<ResultHandle> = spec
        .after
        .iter()
        .flat_map(|before| held.by_stage[*before].1.iter().cloned())
        .collect();
    let input = if results.is_empty() {
        PieceInput::Request(req.head.piece_key.clone().unwrap_or_default())
    } else {
        PieceInput::Results(results.into())
    };
    PiecesAsk {
        request: Arc::clone(&req.head.request),
        service: spec.service.clone(),
        stage: stage as u32,
        pieces: graph.pieces[stage],
        input,
        result_bytes: spec.result_bytes,
        rank: req.rank(),
        in_time_for: in_time_for(req, graph.time_after(cx, stage)),
        remaining: req.time_to_first().saturating_sub(ENGINE_TIME),
        prefer: preferred(cx, graph, held, stage, wanted),
        held_bytes: spec.after.iter().map(|before| graph.size_of(*before)).sum(),
    }
}

/// Where a stage is best made: where its inputs lie if they are large, else where its large results will be read.
fn preferred(
    cx: &RunContext,
    graph: &Graph<'_>,
    held: &HeldResults,
    stage: usize,
    wanted: Option<&FailureDomain>,
) -> Option<FailureDomain> {
    let spec = &graph.stages[stage];
    let pieces = u64::from(graph.pieces[stage]);
    let read: u64 = spec.after.iter().map(|before| graph.size_of(*before)).sum();
    // Every piece reads all of it.
    if read * pieces >= LARGE_BYTES {
        let largest = spec
            .after
            .iter()
            .copied()
            .max_by_key(|i| graph.size_of(*i))?;
        return domain_of(cx, &held.by_stage[largest]);
    }
    let is_last = !graph.stages.iter().any(|s| s.after.contains(&stage));
    wanted
        .filter(|_| is_last && graph.size_of(stage) >= LARGE_BYTES)
        .cloned()
}

/// Time until a stage must be done so that what follows it can still be in time.
fn in_time_for(req: &RoutedRequest, following: Duration) -> Duration {
    req.route
        .aim
        .saturating_sub(req.arrived.elapsed())
        .saturating_sub(following + ENGINE_TIME)
}

/// Where an engine that has kept the request's prompt runs.
fn wanted_domain(cx: &RunContext, req: &RoutedRequest) -> Option<FailureDomain> {
    let kept = req.head.prompt.as_ref()?.shared_key()?;
    let world = cx.world.load();
    cx.book
        .domain_for(world.upstreams.of_service(req.service.as_str()), kept)
}

/// Where the first large result lies.
fn domain_of_large(
    cx: &RunContext,
    req: &RoutedRequest,
    held: &HeldResults,
) -> Option<FailureDomain> {
    let stages = req.route.stages.iter().zip(&held.by_stage);
    stages
        .filter(|(stage, _)| stage.result_bytes >= LARGE_BYTES)
        .find_map(|(_, results)| domain_of(cx, results))
}

/// Where most of a stage's results lie.
fn domain_of(
    cx: &RunContext,
    (service, results): &(ServiceName, Vec<ResultHandle>),
) -> Option<FailureDomain> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for maker in results.iter().filter_map(ResultHandle::maker) {
        *counts.entry(maker).or_default() += 1;
    }
    let (maker, _) = counts.into_iter().max_by_key(|(_, count)| *count)?;
    let world = cx.world.load();
    let upstreams = world.upstreams.of_service(service.as_str());
    upstreams
        .iter()
        .find(|upstream| upstream.address.to_string() == maker)
        .map(|upstream| upstream.failure_domain.clone())
}
