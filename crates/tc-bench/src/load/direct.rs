//! Calls the stand-ins of a pipeline one after another, without the system: what a pipeline takes at least.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use serde::{Serialize, de::DeserializeOwned};
use tc_protocol::{
    Attempt, FleetConfig, PipelineName, RequestId, ServiceKind, Stage,
    wire::{
        ATTEMPT, CompletionRequest, CompletionResponse, PoolRequest, PoolResponse, REQUEST_ID,
        STAGE, TIMEOUT_MS,
    },
};

use super::http::Http;

/// Start of the request identifiers of direct calls; no instance is called so.
pub(crate) const DIRECT_PREFIX: &str = "direct-";
/// Time given to each call, in milliseconds.
const TIMEOUT_MS_GIVEN: &str = "5000";

/// Runs a pipeline's stages directly and returns its output and how long it took; `None` when a call failed.
pub(crate) async fn direct_pipeline(
    http: &Http,
    config: &FleetConfig,
    name: &PipelineName,
    input: &str,
    number: u64,
) -> Option<(String, Duration)> {
    let pipeline = config.pipelines.get(name)?;
    let request_id = RequestId::from(format!("{DIRECT_PREFIX}0-{number:x}").as_str());
    let start = Instant::now();
    let mut text = input.to_owned();
    for stage in &pipeline.stages {
        text = call_stage(http, config, stage, &request_id, text, number).await?;
    }
    Some((text, start.elapsed()))
}

async fn call_stage(
    http: &Http,
    config: &FleetConfig,
    stage: &Stage,
    request_id: &RequestId,
    input: String,
    number: u64,
) -> Option<String> {
    let service = config.services.get(&stage.service)?;
    let at = number as usize % service.upstreams.len();
    let address = service.upstreams[at].address;
    if service.kind == ServiceKind::Engine {
        let body = CompletionRequest {
            model: service.model.clone().unwrap_or_default(),
            prompt: input,
            max_tokens: stage.max_tokens,
            stream: false,
            priority: 3,
        };
        let answer: CompletionResponse =
            post(http, address, "/v1/completions", stage, request_id, &body).await?;
        return Some(answer.choices.into_iter().next()?.text);
    }
    let body = PoolRequest {
        request_id: request_id.clone(),
        stage: stage.name.clone(),
        attempt: Attempt(0),
        input,
    };
    let answer: PoolResponse = post(http, address, "/run", stage, request_id, &body).await?;
    Some(answer.output)
}

async fn post<A: DeserializeOwned>(
    http: &Http,
    address: SocketAddr,
    path: &str,
    stage: &Stage,
    request_id: &RequestId,
    body: &impl Serialize,
) -> Option<A> {
    let req = http::Request::post(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, request_id.as_str())
        .header(STAGE, stage.name.as_str())
        .header(ATTEMPT, "0")
        .header(TIMEOUT_MS, TIMEOUT_MS_GIVEN)
        .body(Full::new(Bytes::from(serde_json::to_vec(body).ok()?)))
        .ok()?;
    let resp = http.request(req).await.ok()?;
    let body = resp.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
