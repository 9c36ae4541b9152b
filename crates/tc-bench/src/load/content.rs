//! Contents of requests and the only correct answers to them.

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use tc_protocol::{FleetConfig, PipelineName, ServiceKind, ServiceName, Stage, WorkspaceName};
use tc_stand_ins::{StageKind, expected_pipeline_output, plain_output};

use super::{
    caller::{Binding, Expected, Request},
    flow::{Flow, What},
};

/// Words that fill an input up to its size, as a probe log would.
const FILLER: &str = "probe kl-7 rtt 14 loss 0 ";

/// The bearer token of a workspace of the examples and of every world: its name and `-token`.
pub(crate) fn token(workspace: &WorkspaceName) -> String {
    format!("{workspace}-token")
}

/// Builds request `number` of a flow.
pub(crate) fn request(
    config: &FleetConfig,
    flow: &Flow,
    label: &str,
    seed: u64,
    number: u64,
) -> Request {
    let input = input(flow, label, number);
    let base = Request {
        path: String::new(),
        method: Method::POST,
        body: Bytes::new(),
        stream: false,
        key: None,
        binding: Binding::None,
        priority: flow.priority,
        timeout: flow.timeout,
        expected: Expected::Output(String::new()),
    };
    match &flow.what {
        What::Pipeline(name) | What::Stream(name) => Request {
            path: format!("/v1/pipelines/{name}"),
            expected: Expected::Output(expected_pipeline(config, name, &input)),
            body: json_bytes(&json!({ "input": input })),
            stream: matches!(flow.what, What::Stream(_)),
            ..base
        },
        What::Read(service) => {
            let path = format!("/items/{label}-{number}");
            Request {
                expected: Expected::Json(expected_plain(&path, b"")),
                path: service_path(service, &path),
                method: Method::GET,
                ..base
            }
        }
        What::Once(service, resend) => {
            let path = "/entries".to_owned();
            let body = json_bytes(&json!({ "entry": input }));
            Request {
                expected: Expected::Json(expected_plain(&path, &body)),
                path: service_path(service, &path),
                body,
                key: Some(format!("{label}-{seed}-{number}")),
                binding: if resend.bound {
                    Binding::Receiver
                } else {
                    Binding::None
                },
                ..base
            }
        }
    }
}

/// An input that no other request of the run has, unless the flow wants one input for all.
fn input(flow: &Flow, label: &str, number: u64) -> String {
    let number = if flow.same_input { 0 } else { number };
    let space = if flow.marker.is_empty() { "" } else { " " };
    let mut text = format!(
        "{}{space}{} {} {label} {number} ",
        flow.marker,
        flow.workspace,
        flow.target()
    );
    while text.len() < flow.input_bytes {
        text.push_str(FILLER);
    }
    text
}

fn service_path(service: &ServiceName, path: &str) -> String {
    format!("/v1/services/{service}{path}")
}

fn json_bytes(value: &Value) -> Bytes {
    Bytes::from(value.to_string())
}

/// The only right output of a pipeline for an input.
pub(crate) fn expected_pipeline(config: &FleetConfig, name: &PipelineName, input: &str) -> String {
    let Some(pipeline) = config.pipelines.get(name) else {
        return String::new();
    };
    let stages: Vec<(&str, StageKind)> = pipeline
        .stages
        .iter()
        .map(|stage| (stage.name.as_str(), stage_kind(config, stage)))
        .collect();
    expected_pipeline_output(&stages, input)
}

fn stage_kind(config: &FleetConfig, stage: &Stage) -> StageKind {
    match config.services.get(&stage.service).map(|s| s.kind) {
        Some(ServiceKind::Engine) => StageKind::Engine {
            max_tokens: stage.max_tokens,
        },
        _ => StageKind::Pool,
    }
}

/// The only right answer of a plain service.
pub(crate) fn expected_plain(path: &str, body: &[u8]) -> Value {
    plain_output(path, body)
}
