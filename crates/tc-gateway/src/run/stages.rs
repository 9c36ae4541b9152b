//! The stages that run before a request: a graph of batches of pieces, and the results they produce.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tc_policy::{ChainQuery, ExpectedStageTimes, StageGraph};
use tc_protocol::{
    FailureDomain, ServiceName,
    routing::{PieceInput, ResultHandle, RouteStage, StageChain, StageRefusal, StageRequest},
};

use super::{RoutedRequest, RunContext, home_request::request_pieces, piece_check::check_pieces};
use crate::homes::{PiecesReply, ResultReleaser};

/// Size from which on the location of results matters; moving fewer bytes costs less than waiting for a nearby
/// upstream.
const LARGE_BYTES: u64 = 256 << 10;

/// Stage results held by a request; released when dropped.
pub(super) struct HeldResults {
    releaser: ResultReleaser,
    by_stage: Vec<HeldStage>,
    /// Results that were replaced while a stage may still have read them.
    replaced: Vec<(ServiceName, Vec<ResultHandle>)>,
}

struct HeldStage {
    service: ServiceName,
    results: Vec<ResultHandle>,
    /// Whether the home of a stage that reads the results releases them.
    is_handed_over: bool,
}

impl HeldResults {
    fn new(releaser: ResultReleaser, stages: &[RouteStage]) -> Self {
        let held = |stage: &RouteStage| HeldStage {
            service: stage.service.clone(),
            results: Vec::new(),
            is_handed_over: false,
        };
        Self {
            releaser,
            by_stage: stages.iter().map(held).collect(),
            replaced: Vec::new(),
        }
    }

    fn results(&self, stage: usize) -> &[ResultHandle] {
        &self.by_stage[stage].results
    }

    fn store(&mut self, stage: usize, results: Vec<ResultHandle>) {
        self.by_stage[stage].results = results;
    }

    /// Leaves the release of a stage's results to the home of their last reader.
    fn hand_over(&mut self, stage: usize) {
        self.by_stage[stage].is_handed_over = true;
    }

    /// Returns whether another stage may read the results.
    fn is_held(&self, stage: usize) -> bool {
        let held = &self.by_stage[stage];
        !held.results.is_empty() && !held.is_handed_over
    }

    /// Drops the results of a stage that every reader has read.
    fn read(&mut self, stage: usize) {
        let held = &mut self.by_stage[stage];
        let results = std::mem::take(&mut held.results);
        if !std::mem::take(&mut held.is_handed_over) {
            self.releaser.release(&held.service, results);
        }
    }

    /// Drops the results of a stage that is made again. Some of them may still occupy memory.
    fn replace(&mut self, stage: usize, is_being_read: bool) {
        let held = &mut self.by_stage[stage];
        let results = std::mem::take(&mut held.results);
        held.is_handed_over = false;
        if is_being_read {
            self.replaced.push((held.service.clone(), results));
        } else {
            self.releaser.release(&held.service, results);
        }
    }

    /// Returns the results of the stages that no other stage depends on, in stage order.
    fn final_results(&self, stages: &[RouteStage]) -> Vec<ResultHandle> {
        let is_read = |index| stages.iter().any(|stage| stage.depends_on.contains(&index));
        self.by_stage
            .iter()
            .enumerate()
            .filter(|(index, _)| !is_read(*index))
            .flat_map(|(_, held)| held.results.iter().cloned())
            .collect()
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        let held = self.by_stage.iter_mut();
        let held = held.map(|held| (&held.service, &mut held.results));
        let replaced = self.replaced.iter_mut();
        for (service, results) in
            held.chain(replaced.map(|(service, results)| (&*service, results)))
        {
            self.releaser.release(service, std::mem::take(results));
        }
    }
}

impl StageResults {
    /// Returns the failure domain with most of the input bytes, if these are large enough to matter.
    pub(super) fn largest_domain(&self) -> Option<&FailureDomain> {
        let largest = self
            .bytes_by_domain
            .iter()
            .max_by_key(|(_, bytes)| *bytes)?;
        (largest.1 >= LARGE_BYTES).then_some(&largest.0)
    }
}

/// Results of the stages of a request, for the request itself.
pub(super) struct StageResults {
    /// Results that the engine reads as input.
    pub(super) inputs: Vec<ResultHandle>,
    /// Bytes of these results by failure domain.
    pub(super) bytes_by_domain: Vec<(FailureDomain, u64)>,
    /// Releases the results when dropped.
    _held: HeldResults,
}

/// A stage that has ended.
struct FinishedStage {
    stage: usize,
    reply: PiecesReply,
    /// Whether the request was refused before and has returned too late to meet its latency target.
    is_late_return: bool,
}

/// Makes all stages of a request. Dropping the future cancels what has not started.
///
/// If an upstream lost results, or they were released before a piece that reads them failed, the stages that made them
/// are made once more. Results that no lost one was made from are kept.
pub(super) async fn make_all(
    cx: &RunContext,
    req: &RoutedRequest,
) -> Result<StageResults, StageRefusal> {
    let stages = &req.route.stages;
    let mut graph = StageGraph::new(stages, &req.head.pieces);
    check_pieces(cx, req, &graph)?;
    let mut is_late_return = false;
    let mut chain = Some(StageChain {
        fingerprint: req.fingerprint(),
        workspace: req.workspace_name(),
        stages: stages.clone(),
        pieces: (0..stages.len()).map(|stage| graph.pieces(stage)).collect(),
        until_latency_target: until_latency_target(cx, req, Duration::ZERO),
        remaining: req.time_to_next_event(),
    });
    let mut held = HeldResults::new(cx.releaser.clone(), stages);
    let mut running: FuturesUnordered<BoxFuture<'_, FinishedStage>> = FuturesUnordered::new();
    loop {
        for stage in graph.startable() {
            graph.mark_running(stage);
            let mut stage_request = stage_request_for(cx, req, &graph, &held, stage);
            stage_request.chain = chain.take();
            if is_late_return {
                stage_request.in_time_for = Duration::ZERO;
            }
            if stage_request.is_last_reader {
                for input in &stages[stage].depends_on {
                    held.hand_over(*input);
                }
            }
            running.push(Box::pin(async move {
                let answer = request_pieces(cx, stage_request).await;
                FinishedStage {
                    stage,
                    reply: answer.reply,
                    is_late_return: answer.is_late_return,
                }
            }));
        }
        let Some(finished) = running.next().await else {
            break;
        };
        is_late_return |= finished.is_late_return;
        match finished.reply {
            Ok(results) => held.store(finished.stage, results),
            Err(StageRefusal::InputGone) => {
                put_back(cx, req, &mut graph, &mut held, finished.stage)?;
                continue;
            }
            Err(refusal) => return Err(refusal),
        }
        graph.mark_done(finished.stage);
        for input in graph.fully_read_inputs(finished.stage) {
            held.read(input);
        }
    }
    let inputs = held.final_results(stages);
    Ok(StageResults {
        bytes_by_domain: final_result_domains(cx, req, &held),
        inputs,
        _held: held,
    })
}

/// Prepares to make a stage again that did not find its inputs, with the stages that made these.
///
/// Refuses the request if they were made again before, or if there is no time for it.
fn put_back(
    cx: &RunContext,
    req: &RoutedRequest,
    graph: &mut StageGraph<'_>,
    held: &mut HeldResults,
    stage: usize,
) -> Result<(), StageRefusal> {
    let lost = graph.put_back(stage, |input| held.is_held(input));
    let lost = lost.ok_or(StageRefusal::InputGone)?;
    for lost in &lost {
        held.replace(*lost, graph.is_being_read(*lost));
    }
    let until_latency_target = until_latency_target(cx, req, Duration::ZERO);
    let expected = expected_stage_times(cx, req, graph);
    graph
        .check_feasible(&expected, until_latency_target, req.time_to_next_event())
        .map_err(|retry_after| StageRefusal::Overloaded { retry_after })?;
    log::info!(request = &*req.head.request, stage = stage, remade = format!("{lost:?}").as_str(), after_ms = req.arrived.elapsed().as_millis() as u64; "stage results lost; making the stages again");
    metrics::counter!("tc_stages_remade_total").increment(1);
    Ok(())
}

/// Returns the expected times of the stages that have not been made yet.
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
        workspace: &req.workspace_name(),
        graph,
        call_times: &call_times,
        until_latency_target: until_latency_target(cx, req, Duration::ZERO),
        priority: req.priority(),
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
        .flat_map(|before| held.results(*before).iter().cloned())
        .collect();
    let input = if results.is_empty() {
        PieceInput::Request(req.head.piece_key.clone().unwrap_or_default())
    } else {
        PieceInput::Results(results.into())
    };
    StageRequest {
        request: Arc::clone(&req.head.request),
        workspace: req.workspace_name(),
        service: spec.service.clone(),
        stage: stage as u32,
        pieces: graph.pieces(stage),
        input,
        result_bytes: spec.result_bytes,
        priority: req.priority(),
        in_time_for: until_latency_target(
            cx,
            req,
            graph.critical_path_after(stage, &expected_stage_times.in_time),
        ),
        remaining: req
            .time_to_next_event()
            .saturating_sub(cx.prompt_times.estimate(req)),
        preferred_domain: preferred_domain(cx, graph, held, stage),
        held_bytes: spec
            .depends_on
            .iter()
            .map(|before| graph.total_result_bytes(*before))
            .sum(),
        is_last_reader: graph.is_last_reader(stage),
        dependent_pieces: graph.dependent_pieces(stage),
        later_pieces: graph.later_pieces(stage),
        is_repeat: graph.is_repeat(stage),
        chain: None,
    }
}

/// Returns the failure domain that holds the inputs of a stage, if they are large. Engines are likewise chosen by the
/// location of large results.
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
    // Every piece reads all of the input.
    if read.saturating_mul(pieces) < LARGE_BYTES {
        return None;
    }
    let before = spec.depends_on.iter().copied();
    let largest = before.max_by_key(|before| graph.total_result_bytes(*before))?;
    main_domain(cx, held.results(largest))
}

/// Returns the time until a stage must end so that the rest, which takes `time_after`, can still meet the
/// latency target.
fn until_latency_target(cx: &RunContext, req: &RoutedRequest, time_after: Duration) -> Duration {
    req.route
        .latency_target
        .saturating_sub(req.arrived.elapsed())
        .saturating_sub(time_after + cx.prompt_times.estimate(req))
}

/// Returns the bytes per failure domain of the results that the request itself reads.
fn final_result_domains(
    cx: &RunContext,
    req: &RoutedRequest,
    held: &HeldResults,
) -> Vec<(FailureDomain, u64)> {
    let world = cx.world.load();
    let mut bytes: HashMap<FailureDomain, u64> = HashMap::new();
    for (stage, held) in req.route.stages.iter().zip(&held.by_stage) {
        for upstream in held
            .results
            .iter()
            .filter_map(|r| world.upstreams.upstream_of_result(r))
        {
            *bytes.entry(upstream.failure_domain.clone()).or_default() += stage.result_bytes;
        }
    }
    bytes.into_iter().collect()
}

/// Returns the failure domain that holds most results of a stage.
fn main_domain(cx: &RunContext, results: &[ResultHandle]) -> Option<FailureDomain> {
    let world = cx.world.load();
    let mut counts: HashMap<&FailureDomain, usize> = HashMap::new();
    for upstream in results
        .iter()
        .filter_map(|r| world.upstreams.upstream_of_result(r))
    {
        *counts.entry(&upstream.failure_domain).or_default() += 1;
    }
    let largest = counts.into_iter().max_by_key(|(_, count)| *count);
    largest.map(|(domain, _)| domain.clone())
}
