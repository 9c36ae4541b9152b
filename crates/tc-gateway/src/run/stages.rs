//! The stages before a request: a graph of batches of pieces, and the results they leave.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tc_policy::{ChainQuery, ExpectedStageTimes, StageGraph};
use tc_protocol::{
    FailureDomain, ServiceName,
    routing::{PieceInput, ResultHandle, RouteStage, StageChain, StageRefusal, StageRequest},
};

use super::{RoutedRequest, RunContext, home_request::request_pieces};
use crate::homes::{PiecesReply, ResultReleaser};

/// Bytes from which on it matters where they are read; moving fewer costs less than waiting for a near upstream.
const LARGE_BYTES: u64 = 256 << 10;

/// Results that a request holds; given up when dropped.
pub(super) struct HeldResults {
    releaser: ResultReleaser,
    by_stage: Vec<(ServiceName, Vec<ResultHandle>)>,
}

impl HeldResults {
    fn new(releaser: ResultReleaser, stages: &[RouteStage]) -> Self {
        Self {
            releaser,
            by_stage: stages
                .iter()
                .map(|stage| (stage.service.clone(), Vec::new()))
                .collect(),
        }
    }

    /// The home of the stage that read these results gives them up.
    fn forget(&mut self, stage: usize) {
        self.by_stage[stage].1.clear();
    }

    fn release(&mut self, stage: usize) {
        let (service, results) = &mut self.by_stage[stage];
        self.releaser.release(service, std::mem::take(results));
    }

    /// Results of the stages that no other stage follows, in their order.
    fn final_results(&self, stages: &[RouteStage]) -> Vec<ResultHandle> {
        let is_read = |index| stages.iter().any(|stage| stage.depends_on.contains(&index));
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
            self.release(stage);
        }
    }
}

impl StageResults {
    /// Where the request is best run: where most bytes lie, if they are many.
    pub(super) fn largest_domain(&self) -> Option<&FailureDomain> {
        let largest = self
            .bytes_by_domain
            .iter()
            .max_by_key(|(_, bytes)| *bytes)?;
        (largest.1 >= LARGE_BYTES).then_some(&largest.0)
    }
}

/// What the stages of a request left for the request itself.
pub(super) struct StageResults {
    /// Results that the engine reads.
    pub(super) inputs: Vec<ResultHandle>,
    /// Where they lie, and how many bytes of them.
    pub(super) bytes_by_domain: Vec<(FailureDomain, u64)>,
    /// Gives all of it up when dropped.
    _held: HeldResults,
}

/// A stage that ended.
struct FinishedStage {
    stage: usize,
    reply: PiecesReply,
    /// Whether its home has given up the results that it read.
    inputs_released: bool,
    /// Whether the request was refused before and comes too late to be in time for its caller.
    is_late_return: bool,
}

/// Makes all stages of a request. Dropping the future cancels what was not started.
///
/// Results that an upstream lost, or that were given up before a piece that reads them failed, are made once more.
pub(super) async fn make_all(
    cx: &RunContext,
    req: &RoutedRequest,
) -> Result<StageResults, StageRefusal> {
    match make_once(cx, req).await {
        Err(StageRefusal::InputGone) => {
            log::info!(request = &*req.head.request, after_ms = req.arrived.elapsed().as_millis() as u64; "results of a stage are gone; the stages are made again");
            metrics::counter!("tc_stages_remade_total").increment(1);
            make_once(cx, req).await
        }
        made => made,
    }
}

async fn make_once(cx: &RunContext, req: &RoutedRequest) -> Result<StageResults, StageRefusal> {
    let stages = &req.route.stages;
    let mut graph = StageGraph::new(stages, &req.head.pieces);
    let mut is_late_return = false;
    let mut chain = Some(StageChain {
        fingerprint: req.fingerprint(),
        stages: stages.clone(),
        pieces: (0..stages.len()).map(|stage| graph.pieces(stage)).collect(),
        until_latency_target: until_latency_target(cx, req, Duration::ZERO),
        remaining: req.time_to_first(),
    });
    let mut held = HeldResults::new(cx.releaser.clone(), stages);
    let mut running: FuturesUnordered<BoxFuture<'_, FinishedStage>> = FuturesUnordered::new();
    loop {
        for stage in graph.startable() {
            graph.mark_running(stage);
            let mut stage_request = stage_request_for(cx, req, &graph, &held, stage);
            stage_request.chain = chain.take();
            if is_late_return {
                stage_request.until_latency_target = Duration::ZERO;
            }
            let inputs_released = stage_request.is_last_reader;
            running.push(Box::pin(async move {
                let answer = request_pieces(cx, stage_request).await;
                FinishedStage {
                    stage,
                    reply: answer.reply,
                    inputs_released,
                    is_late_return: answer.is_late_return,
                }
            }));
        }
        let Some(finished) = running.next().await else {
            break;
        };
        held.by_stage[finished.stage].1 = finished.reply?;
        is_late_return |= finished.is_late_return;
        graph.mark_done(finished.stage);
        for read in graph.fully_read_inputs(finished.stage) {
            if finished.inputs_released {
                held.forget(read);
            } else {
                held.release(read);
            }
        }
    }
    let inputs = held.final_results(stages);
    Ok(StageResults {
        bytes_by_domain: final_result_domains(cx, req, &held),
        inputs,
        _held: held,
    })
}

/// What the stages still to be made are expected_stage_times to take.
fn expected_stage_times(
    cx: &RunContext,
    req: &RoutedRequest,
    graph: &StageGraph<'_>,
) -> ExpectedStageTimes {
    let world = cx.world.load();
    let call_time = |stage: &RouteStage| {
        let config = world.config.as_ref()?;
        let batch = config.service(stage.service.as_str())?.batch?;
        Some(batch.call_overhead)
    };
    let call_times: Vec<Duration> = graph
        .stages()
        .iter()
        .map(|stage| call_time(stage).unwrap_or_default())
        .collect();
    cx.outlooks.estimate(&ChainQuery {
        graph,
        call_times: &call_times,
        until_aim: until_latency_target(cx, req, Duration::ZERO),
        rank: req.rank(),
    })
}

fn stage_request_for(
    cx: &RunContext,
    req: &RoutedRequest,
    graph: &StageGraph<'_>,
    held: &HeldResults,
    stage: usize,
) -> StageRequest {
    let spec = &req.route.stages[stage];
    let expected_stage_times = expected_stage_times(cx, req, graph);
    let results: Vec<ResultHandle> = spec
        .depends_on
        .iter()
        .flat_map(|before| held.by_stage[*before].1.iter().cloned())
        .collect();
    let input = if results.is_empty() {
        PieceInput::Request(req.head.piece_key.clone().unwrap_or_default())
    } else {
        PieceInput::Results(results.into())
    };
    StageRequest {
        request: Arc::clone(&req.head.request),
        service: spec.service.clone(),
        stage: stage as u32,
        pieces: graph.pieces(stage),
        input,
        result_bytes: spec.result_bytes,
        priority: req.rank(),
        until_latency_target: until_latency_target(
            cx,
            req,
            graph.critical_path_after(stage, &expected_stage_times.in_time),
        ),
        remaining: req
            .time_to_first()
            .saturating_sub(cx.prompt_times.estimate(req)),
        preferred_domain: preferred_domain(cx, graph, held, stage),
        held_bytes: spec
            .depends_on
            .iter()
            .map(|before| graph.total_result_bytes(*before))
            .sum(),
        is_last_reader: graph.is_last_reader(stage),
        dependents: graph.following(stage),
        chain: None,
    }
}

/// Where a stage is best made: where its inputs lie if they are large. An engine is chosen by where large results lie.
fn preferred_domain(
    cx: &RunContext,
    graph: &StageGraph<'_>,
    held: &HeldResults,
    stage: usize,
) -> Option<FailureDomain> {
    let spec = &graph.stages()[stage];
    let pieces = u64::from(graph.pieces(stage));
    let read: u64 = spec
        .depends_on
        .iter()
        .map(|before| graph.total_result_bytes(*before))
        .sum();
    // Every piece reads all of it.
    if read * pieces < LARGE_BYTES {
        return None;
    }
    let before = spec.depends_on.iter().copied();
    let largest = before.max_by_key(|before| graph.total_result_bytes(*before))?;
    main_domain(cx, &held.by_stage[largest])
}

/// Time until a stage must be done so that what follows it can still be in time.
fn until_latency_target(cx: &RunContext, req: &RoutedRequest, following: Duration) -> Duration {
    req.route
        .latency_target
        .saturating_sub(req.arrived.elapsed())
        .saturating_sub(following + cx.prompt_times.estimate(req))
}

/// Where the results lie that the request itself reads, and how many bytes of them.
fn final_result_domains(
    cx: &RunContext,
    req: &RoutedRequest,
    held: &HeldResults,
) -> Vec<(FailureDomain, u64)> {
    let world = cx.world.load();
    let mut bytes: HashMap<FailureDomain, u64> = HashMap::new();
    for (stage, (_, results)) in req.route.stages.iter().zip(&held.by_stage) {
        for maker in results.iter().filter_map(|r| world.upstreams.maker_of(r)) {
            *bytes.entry(maker.failure_domain.clone()).or_default() += stage.result_bytes;
        }
    }
    bytes.into_iter().collect()
}

/// Where most of a stage's results lie.
fn main_domain(
    cx: &RunContext,
    (_, results): &(ServiceName, Vec<ResultHandle>),
) -> Option<FailureDomain> {
    let world = cx.world.load();
    let mut counts: HashMap<&FailureDomain, usize> = HashMap::new();
    for maker in results.iter().filter_map(|r| world.upstreams.maker_of(r)) {
        *counts.entry(&maker.failure_domain).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(domain, _)| domain.clone())
}
