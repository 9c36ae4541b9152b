//! Conversion between messages of the mesh and their wire types.

use std::time::Duration;

use tc_policy::HomeOutlook;
use tc_protocol::{
    Fingerprint, InstanceId, ServiceName,
    routing::{
        EngineChoice, EngineLoad, EngineRequest, PieceInput, Prompt, PromptPart, ResultHandle,
        RouteStage, RunProgress, RunReport, StageChain, StageRefusal, StageRequest, stage_order,
    },
};
use thiserror::Error;

use super::outlook_message::{outlook_from_wire, outlook_to_wire};
use crate::{convert, generated as wire};

/// Error of a call to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MeshError {
    /// The instance is unreachable or the call failed.
    #[error("call to instance {instance} failed: {problem}")]
    NoAnswer {
        /// The called instance.
        instance: InstanceId,
        /// Status of the call.
        problem: String,
    },
    /// The machine of the instance refuses connections at its address: its process has ended.
    #[error("instance {instance} refuses connections")]
    Refused {
        /// The called instance.
        instance: InstanceId,
    },
    /// The instance did not answer in time. It may only be busy.
    #[error("call to instance {instance} timed out")]
    TimedOut {
        /// The called instance.
        instance: InstanceId,
    },
    /// The instance is alive but takes no more calls of this kind.
    #[error("instance {instance} has no room for the call")]
    Full {
        /// The called instance.
        instance: InstanceId,
    },
    /// The answer violates the protocol: the instance runs another version or is faulty.
    #[error("instance {instance} sent a malformed answer")]
    Malformed {
        /// The called instance.
        instance: InstanceId,
    },
}

/// Answer of a home to a [`StageRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct PiecesAnswer {
    /// The results in the order of the pieces, or why the stage was refused.
    pub reply: Result<Vec<ResultHandle>, StageRefusal>,
    /// Load of the home; `None` if the answering instance is not the home.
    pub home: Option<HomeOutlook>,
    /// Whether the request was refused before and has returned too late to meet its caller's latency target.
    pub is_late_return: bool,
}

pub(super) fn stage_request_to_wire(request: &StageRequest) -> wire::PiecesAskMessage {
    let (input_key, input_results) = match &request.input {
        PieceInput::Request(key) => (key.to_string(), Vec::new()),
        PieceInput::Results(results) => (String::new(), results_to_wire(results)),
    };
    wire::PiecesAskMessage {
        request: request.request.to_string(),
        service: request.service.to_string(),
        stage: request.stage,
        pieces: request.pieces,
        input_key,
        input_results,
        result_bytes: request.result_bytes,
        rank: u32::from(request.priority),
        in_time_for_ms: convert::millis(request.in_time_for),
        remaining_ms: convert::millis(request.remaining),
        prefer: request
            .preferred_domain
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        held_bytes: request.held_bytes,
        is_last_reader: request.is_last_reader,
        following: dependents_to_wire(&request.dependent_pieces),
        later: dependents_to_wire(&request.later_pieces),
        chain: request.chain.as_ref().map(chain_to_wire),
        workspace: request.workspace.to_string(),
        is_repeat: request.is_repeat,
    }
}

pub(super) fn stage_request_from_wire(message: &wire::PiecesAskMessage) -> StageRequest {
    let input = if message.input_results.is_empty() {
        PieceInput::Request(message.input_key.as_str().into())
    } else {
        PieceInput::Results(results_from_wire(&message.input_results).into())
    };
    StageRequest {
        request: message.request.as_str().into(),
        service: message.service.as_str().into(),
        stage: message.stage,
        pieces: message.pieces,
        input,
        result_bytes: message.result_bytes,
        priority: message.rank.min(u32::from(u8::MAX)) as u8,
        in_time_for: convert::from_millis(message.in_time_for_ms),
        remaining: convert::from_millis(message.remaining_ms),
        preferred_domain: (!message.prefer.is_empty()).then(|| message.prefer.as_str().into()),
        held_bytes: message.held_bytes,
        is_last_reader: message.is_last_reader,
        dependent_pieces: dependents_from_wire(&message.following),
        later_pieces: dependents_from_wire(&message.later),
        is_repeat: message.is_repeat,
        chain: message
            .chain
            .as_ref()
            .and_then(|chain| chain_from_wire(chain, &message.workspace)),
        workspace: message.workspace.as_str().into(),
    }
}

fn chain_to_wire(chain: &StageChain) -> wire::Chain {
    let stages = chain.stages.iter().zip(&chain.pieces);
    wire::Chain {
        stages: stages
            .map(|(stage, pieces)| wire::ChainStage {
                service: stage.service.to_string(),
                after: stage
                    .depends_on
                    .iter()
                    .map(|before| *before as u32)
                    .collect(),
                result_bytes: stage.result_bytes,
                pieces: *pieces,
            })
            .collect(),
        until_aim_ms: convert::millis(chain.until_latency_target),
        until_left_ms: convert::millis(chain.remaining),
        fingerprint: chain.fingerprint.0,
    }
}

/// Returns `None` if stages depend on each other in a circle: traversing such a chain would not terminate.
fn chain_from_wire(chain: &wire::Chain, workspace: &str) -> Option<StageChain> {
    let stage = |stage: &wire::ChainStage| RouteStage {
        service: stage.service.as_str().into(),
        depends_on: stage.after.iter().map(|before| *before as usize).collect(),
        result_bytes: stage.result_bytes,
    };
    let stages: Vec<RouteStage> = chain.stages.iter().map(stage).collect();
    stage_order(&stages)?;
    Some(StageChain {
        fingerprint: Fingerprint(chain.fingerprint),
        workspace: workspace.into(),
        stages,
        pieces: chain.stages.iter().map(|stage| stage.pieces).collect(),
        until_latency_target: convert::from_millis(chain.until_aim_ms),
        remaining: convert::from_millis(chain.until_left_ms),
    })
}

fn dependents_to_wire(dependents: &[(ServiceName, u32)]) -> Vec<wire::FollowingPieces> {
    let to_wire = |(service, pieces): &(ServiceName, u32)| wire::FollowingPieces {
        service: service.to_string(),
        pieces: *pieces,
    };
    dependents.iter().map(to_wire).collect()
}

fn dependents_from_wire(dependents: &[wire::FollowingPieces]) -> Vec<(ServiceName, u32)> {
    let from_wire = |next: &wire::FollowingPieces| (next.service.as_str().into(), next.pieces);
    dependents.iter().map(from_wire).collect()
}

pub(super) fn engine_request_to_wire(
    request: &EngineRequest,
    limits: Vec<wire::UpstreamLimit>,
) -> wire::EngineAskMessage {
    let (part_ids, part_tokens) = request
        .prompt
        .parts
        .iter()
        .map(|p| (p.id, p.tokens))
        .unzip();
    let inputs = request.inputs.iter();
    let (input_domains, input_bytes) = inputs.map(|(d, b)| (d.to_string(), *b)).unzip();
    wire::EngineAskMessage {
        service: request.service.to_string(),
        tokens_in: request.prompt.tokens_in,
        tokens_out: request.prompt.tokens_out,
        part_ids,
        part_tokens,
        input_domains,
        input_bytes,
        except: request
            .excluded
            .iter()
            .chain(&request.leaving)
            .map(ToString::to_string)
            .collect(),
        leaving: request.leaving.iter().map(ToString::to_string).collect(),
        remaining_ms: convert::millis(request.remaining),
        limits,
        version: request.version.as_ref().map(ToString::to_string),
    }
}

pub(super) fn engine_request_from_wire(message: &wire::EngineAskMessage) -> EngineRequest {
    let parts = message.part_ids.iter().zip(&message.part_tokens);
    let inputs = message.input_domains.iter().zip(&message.input_bytes);
    EngineRequest {
        service: message.service.as_str().into(),
        prompt: Prompt {
            tokens_in: message.tokens_in,
            tokens_out: message.tokens_out,
            parts: parts
                .map(|(id, tokens)| PromptPart {
                    id: *id,
                    tokens: *tokens,
                })
                .collect(),
        },
        inputs: inputs
            .map(|(domain, bytes)| (domain.as_str().into(), *bytes))
            .collect(),
        version: message.version.as_deref().map(Into::into),
        excluded: message.except.iter().map(|id| id.as_str().into()).collect(),
        leaving: message
            .leaving
            .iter()
            .map(|id| id.as_str().into())
            .collect(),
        remaining: convert::from_millis(message.remaining_ms),
    }
}

pub(super) fn choice_to_wire(
    choice: Option<EngineChoice>,
    limit: Option<wire::UpstreamLimit>,
) -> wire::EngineChoiceMessage {
    choice.map_or_else(Default::default, |choice| wire::EngineChoiceMessage {
        upstream: choice.upstream.to_string(),
        fetch_from: choice
            .fetch_from
            .map(|id| id.to_string())
            .unwrap_or_default(),
        run: choice.run,
        limit,
    })
}

pub(super) fn choice_from_wire(message: &wire::EngineChoiceMessage) -> Option<EngineChoice> {
    let named = |id: &str| (!id.is_empty()).then(|| id.into());
    Some(EngineChoice {
        upstream: named(&message.upstream)?,
        fetch_from: named(&message.fetch_from),
        run: message.run,
    })
}

pub(super) fn run_report_to_wire(report: &RunReport) -> wire::RunNews {
    let (what, took) = match report.progress {
        RunProgress::FirstEvent(took) => (0, took),
        RunProgress::Ended => (1, Duration::ZERO),
        RunProgress::Failed => (2, Duration::ZERO),
        RunProgress::Refused => (3, Duration::ZERO),
    };
    wire::RunNews {
        run: report.run,
        what,
        took_ms: convert::millis(took),
        load: report.load.map(|load| wire::EngineLoad {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age_ms: convert::millis(load.age),
        }),
    }
}

/// Treats unknown kinds of progress, as a later version may send, as the end of the run. Otherwise the run would be
/// counted as in progress forever.
pub(super) fn run_report_from_wire(report: &wire::RunNews) -> RunReport {
    let run_progress = match report.what {
        0 => RunProgress::FirstEvent(convert::from_millis(report.took_ms)),
        2 => RunProgress::Failed,
        3 => RunProgress::Refused,
        _ => RunProgress::Ended,
    };
    RunReport {
        run: report.run,
        progress: run_progress,
        load: report.load.map(|load| EngineLoad {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age: convert::from_millis(load.age_ms),
        }),
    }
}

pub(super) fn results_to_wire(results: &[ResultHandle]) -> Vec<String> {
    results.iter().map(|result| result.0.to_string()).collect()
}

pub(super) fn results_from_wire(results: &[String]) -> Vec<ResultHandle> {
    results
        .iter()
        .map(|text| ResultHandle(text.as_str().into()))
        .collect()
}

/// Refusal codes on the wire; 0 means success.
const REFUSAL_OVERLOADED: u32 = 1;
const REFUSAL_INPUT_GONE: u32 = 2;
const REFUSAL_FAILED: u32 = 3;
const REFUSAL_LATE: u32 = 4;
const REFUSAL_NO_UPSTREAM: u32 = 5;
const REFUSAL_MOVED: u32 = 6;

pub(super) fn pieces_answer_to_wire(answer: PiecesAnswer) -> wire::PiecesAnswer {
    let mut message = wire::PiecesAnswer::default();
    match answer.reply {
        Ok(results) => message.results = results_to_wire(&results),
        Err(StageRefusal::Overloaded { retry_after }) => {
            message.refusal = REFUSAL_OVERLOADED;
            message.retry_after_ms = convert::millis(retry_after);
        }
        Err(StageRefusal::InputGone) => message.refusal = REFUSAL_INPUT_GONE,
        Err(StageRefusal::Failed) => message.refusal = REFUSAL_FAILED,
        // Instances of earlier versions do not know a code for stages with too many pieces.
        Err(StageRefusal::Late | StageRefusal::TooManyPieces) => message.refusal = REFUSAL_LATE,
        Err(StageRefusal::NoUpstream) => message.refusal = REFUSAL_NO_UPSTREAM,
        Err(StageRefusal::Moved) => message.refusal = REFUSAL_MOVED,
    }
    message.home = answer.home.as_ref().map(outlook_to_wire);
    message.is_late_return = answer.is_late_return;
    message
}

/// Returns `None` if the refusal code is unknown.
pub(super) fn pieces_answer_from_wire(answer: &wire::PiecesAnswer) -> Option<PiecesAnswer> {
    let reply = match answer.refusal {
        0 => Ok(results_from_wire(&answer.results)),
        REFUSAL_OVERLOADED => Err(StageRefusal::Overloaded {
            retry_after: convert::from_millis(answer.retry_after_ms),
        }),
        REFUSAL_INPUT_GONE => Err(StageRefusal::InputGone),
        REFUSAL_FAILED => Err(StageRefusal::Failed),
        REFUSAL_LATE => Err(StageRefusal::Late),
        REFUSAL_NO_UPSTREAM => Err(StageRefusal::NoUpstream),
        REFUSAL_MOVED => Err(StageRefusal::Moved),
        _ => return None,
    };
    Some(PiecesAnswer {
        reply,
        home: answer.home.as_ref().map(outlook_from_wire),
        is_late_return: answer.is_late_return,
    })
}

#[cfg(test)]
mod tests {
    use prost::Message;

    use super::*;

    /// Guards against reports that an instance of an earlier version cannot read, or whose load is lost on the way.
    #[test]
    fn run_reports_carry_the_load_of_the_engine_if_there_is_one() {
        let load = EngineLoad {
            running: 3,
            waiting: 1,
            slots: 24,
            age: Duration::from_millis(7),
        };
        for load in [None, Some(load)] {
            let report = RunReport {
                run: 5,
                progress: RunProgress::FirstEvent(Duration::from_millis(90)),
                load,
            };
            let bytes = run_report_to_wire(&report).encode_to_vec();
            let message = wire::RunNews::decode(&*bytes).expect("a message");
            assert_eq!(run_report_from_wire(&message), report);
        }
    }
}
