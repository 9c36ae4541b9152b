//! Typed messages between instances and their wire forms.

use std::time::Duration;

use tc_policy::{DependentPieces, DueHistogram, HomeOutlook};
use tc_protocol::{
    Fingerprint, InstanceId, ServiceName,
    routing::{
        EngineChoice, EngineRequest, PieceInput, Prompt, PromptPart, ResultHandle, RouteStage,
        RunProgress, RunReport, StageChain, StageRefusal, StageRequest,
    },
};
use thiserror::Error;

use crate::{convert, generated as wire};

/// Why a call to another instance brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MeshError {
    /// It could not be reached, or did not answer.
    #[error("instance {instance} does not answer: {problem}")]
    NoAnswer {
        /// Who was called.
        instance: InstanceId,
        /// What went wrong.
        problem: String,
    },
    /// It did not answer in time; it may only be busy.
    #[error("instance {instance} does not answer in time")]
    Late {
        /// Who was called.
        instance: InstanceId,
    },
    /// Its answer does not fit the protocol; it is of another version or broken.
    #[error("instance {instance} gave an answer that cannot be read")]
    Malformed {
        /// Who was called.
        instance: InstanceId,
    },
}

/// What a home answers to an ask for pieces.
#[derive(Clone, Debug, PartialEq)]
pub struct PiecesAnswer {
    /// The results in the order of the pieces, or why there are none.
    pub reply: Result<Vec<ResultHandle>, StageRefusal>,
    /// How the home stands; `None` where no home can tell.
    pub home: Option<HomeOutlook>,
    /// Whether the request was refused before and comes too late to be in time for its caller.
    pub is_late_return: bool,
}

pub(super) fn ask_to_wire(ask: &StageRequest) -> wire::PiecesAskMessage {
    let (input_key, input_results) = match &ask.input {
        PieceInput::Request(key) => (key.to_string(), Vec::new()),
        PieceInput::Results(results) => (String::new(), texts(results)),
    };
    wire::PiecesAskMessage {
        request: ask.request.to_string(),
        service: ask.service.to_string(),
        stage: ask.stage,
        pieces: ask.pieces,
        input_key,
        input_results,
        result_bytes: ask.result_bytes,
        rank: u32::from(ask.priority),
        in_time_for_ms: convert::millis(ask.in_time_for),
        remaining_ms: convert::millis(ask.remaining),
        prefer: ask
            .preferred_domain
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        held_bytes: ask.held_bytes,
        is_last_reader: ask.is_last_reader,
        following: following_to_wire(&ask.dependent_pieces),
        chain: ask.chain.as_ref().map(chain_to_wire),
    }
}

pub(super) fn ask_from_wire(message: &wire::PiecesAskMessage) -> StageRequest {
    let input = if message.input_results.is_empty() {
        PieceInput::Request(message.input_key.as_str().into())
    } else {
        PieceInput::Results(handles(&message.input_results).into())
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
        dependent_pieces: following_from_wire(&message.following),
        chain: message.chain.as_ref().and_then(chain_from_wire),
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

/// `None` when a stage does not follow earlier ones only: whoever walks such a chain would not come to its end.
fn chain_from_wire(chain: &wire::Chain) -> Option<StageChain> {
    let stage = |(index, stage): (usize, &wire::ChainStage)| {
        let depends_on: Vec<usize> = stage.after.iter().map(|before| *before as usize).collect();
        let is_sound = depends_on.iter().all(|before| *before < index);
        is_sound.then(|| RouteStage {
            service: stage.service.as_str().into(),
            depends_on,
            result_bytes: stage.result_bytes,
        })
    };
    let stages: Option<Vec<RouteStage>> = chain.stages.iter().enumerate().map(stage).collect();
    Some(StageChain {
        fingerprint: Fingerprint(chain.fingerprint),
        stages: stages?,
        pieces: chain.stages.iter().map(|stage| stage.pieces).collect(),
        until_latency_target: convert::from_millis(chain.until_aim_ms),
        remaining: convert::from_millis(chain.until_left_ms),
    })
}

fn following_to_wire(following: &[(ServiceName, u32)]) -> Vec<wire::FollowingPieces> {
    let to_wire = |(service, pieces): &(ServiceName, u32)| wire::FollowingPieces {
        service: service.to_string(),
        pieces: *pieces,
    };
    following.iter().map(to_wire).collect()
}

fn following_from_wire(following: &[wire::FollowingPieces]) -> Vec<(ServiceName, u32)> {
    let from_wire = |next: &wire::FollowingPieces| (next.service.as_str().into(), next.pieces);
    following.iter().map(from_wire).collect()
}

pub(super) fn engine_ask_to_wire(
    ask: &EngineRequest,
    limits: Vec<wire::UpstreamLimit>,
) -> wire::EngineAskMessage {
    let (part_ids, part_tokens) = ask.prompt.parts.iter().map(|p| (p.id, p.tokens)).unzip();
    let inputs = ask.inputs.iter();
    let (input_domains, input_bytes) = inputs.map(|(d, b)| (d.to_string(), *b)).unzip();
    wire::EngineAskMessage {
        service: ask.service.to_string(),
        tokens_in: ask.prompt.tokens_in,
        tokens_out: ask.prompt.tokens_out,
        part_ids,
        part_tokens,
        input_domains,
        input_bytes,
        except: ask.excluded.iter().map(ToString::to_string).collect(),
        remaining_ms: convert::millis(ask.remaining),
        limits,
    }
}

pub(super) fn engine_ask_from_wire(message: &wire::EngineAskMessage) -> EngineRequest {
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
        excluded: message.except.iter().map(|id| id.as_str().into()).collect(),
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

pub(super) fn news_to_wire(report: &RunReport) -> wire::RunNews {
    let (what, took) = match report.progress {
        RunProgress::FirstEvent(took) => (0, took),
        RunProgress::Ended => (1, Duration::ZERO),
        RunProgress::Failed => (2, Duration::ZERO),
    };
    wire::RunNews {
        run: report.run,
        what,
        took_ms: convert::millis(took),
    }
}

/// News of a kind that is not known here, as of a later version, ends the run: nothing is then counted for ever.
pub(super) fn news_from_wire(news: &wire::RunNews) -> RunReport {
    let what = match news.what {
        0 => RunProgress::FirstEvent(convert::from_millis(news.took_ms)),
        2 => RunProgress::Failed,
        _ => RunProgress::Ended,
    };
    RunReport {
        run: news.run,
        progress: what,
    }
}

pub(super) fn outlook_to_wire(outlook: &HomeOutlook) -> wire::HomeOutlook {
    let coming = |(service, coming): (&ServiceName, &DependentPieces)| wire::ComingPieces {
        service: service.to_string(),
        in_time: coming.in_time.counts().to_vec(),
        all: coming.total,
    };
    wire::HomeOutlook {
        own_ms: convert::millis(outlook.base_latency),
        in_time: outlook.in_time.counts().to_vec(),
        waiting: outlook.waiting,
        pieces_per_s: outlook.pieces_per_s as f32,
        free: outlook.spare_capacity as f32,
        coming: outlook.dependent_pieces.iter().map(coming).collect(),
    }
}

pub(super) fn outlook_from_wire(outlook: &wire::HomeOutlook) -> HomeOutlook {
    let coming = |coming: &wire::ComingPieces| {
        let pieces = DependentPieces {
            in_time: DueHistogram::from_counts(&coming.in_time),
            total: coming.all,
        };
        (coming.service.as_str().into(), pieces)
    };
    HomeOutlook {
        base_latency: convert::from_millis(outlook.own_ms),
        in_time: DueHistogram::from_counts(&outlook.in_time),
        waiting: outlook.waiting,
        pieces_per_s: f64::from(outlook.pieces_per_s),
        spare_capacity: f64::from(outlook.free),
        dependent_pieces: outlook.coming.iter().map(coming).collect(),
    }
}

pub(super) fn texts(results: &[ResultHandle]) -> Vec<String> {
    results.iter().map(|result| result.0.to_string()).collect()
}

pub(super) fn handles(texts: &[String]) -> Vec<ResultHandle> {
    texts
        .iter()
        .map(|text| ResultHandle(text.as_str().into()))
        .collect()
}

/// Numbers of refusals on the wire; 0 means that the pieces were made.
const OVERLOADED: u32 = 1;
const INPUT_GONE: u32 = 2;
const FAILED: u32 = 3;
const LATE: u32 = 4;
const NO_UPSTREAM: u32 = 5;
const MOVED: u32 = 6;

pub(super) fn answer_to_wire(answer: PiecesAnswer) -> wire::PiecesAnswer {
    let mut message = wire::PiecesAnswer::default();
    match answer.reply {
        Ok(results) => message.results = texts(&results),
        Err(StageRefusal::Overloaded { retry_after }) => {
            message.refusal = OVERLOADED;
            message.retry_after_ms = convert::millis(retry_after);
        }
        Err(StageRefusal::InputGone) => message.refusal = INPUT_GONE,
        Err(StageRefusal::Failed) => message.refusal = FAILED,
        Err(StageRefusal::Late) => message.refusal = LATE,
        Err(StageRefusal::NoUpstream) => message.refusal = NO_UPSTREAM,
        Err(StageRefusal::Moved) => message.refusal = MOVED,
    }
    message.home = answer.home.as_ref().map(outlook_to_wire);
    message.is_late_return = answer.is_late_return;
    message
}

/// `None` when the refusal's number is not known.
pub(super) fn answer_from_wire(answer: &wire::PiecesAnswer) -> Option<PiecesAnswer> {
    let reply = match answer.refusal {
        0 => Ok(handles(&answer.results)),
        OVERLOADED => Err(StageRefusal::Overloaded {
            retry_after: convert::from_millis(answer.retry_after_ms),
        }),
        INPUT_GONE => Err(StageRefusal::InputGone),
        FAILED => Err(StageRefusal::Failed),
        LATE => Err(StageRefusal::Late),
        NO_UPSTREAM => Err(StageRefusal::NoUpstream),
        MOVED => Err(StageRefusal::Moved),
        _ => return None,
    };
    Some(PiecesAnswer {
        reply,
        home: answer.home.as_ref().map(outlook_from_wire),
        is_late_return: answer.is_late_return,
    })
}
