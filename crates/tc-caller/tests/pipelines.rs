//! Pipelines with JSON responses.

mod support;

use http::{Method, StatusCode};
use support::{TestEnv, eventually};
use tc_stand_ins::{StageKind, expected_pipeline_output};

const SUMMARY: [(&str, StageKind); 3] = [
    ("encode", StageKind::Pool),
    ("rerank", StageKind::Pool),
    ("generate", StageKind::Engine { max_tokens: 16 }),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pipeline_returns_the_output_of_all_stages() {
    let env = TestEnv::start().await;
    let response = env.client.pipeline("summary", "probe log", &[]).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    let json = response.json();
    assert_eq!(
        json["output"].as_str().unwrap(),
        expected_pipeline_output(&SUMMARY, "probe log")
    );
    assert_eq!(json["request_id"], response.header("x-request-id"));
    assert_eq!(response.header("tanagercroft-instance"), "kl-a-1");
    let stages: Vec<_> = json["stages"].as_array().unwrap().iter().collect();
    assert_eq!(stages.len(), 3);
    assert!(stages.iter().all(|stage| stage["attempts"] == 1));
    assert!(json["cost"]["tokens_out"].as_u64().unwrap() >= 1);
    assert_eq!(env.fakes.ran_whole.lock().unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn max_tokens_can_be_lowered_but_not_raised() {
    let env = TestEnv::start().await;
    for (requested, expected) in [(4, 4), (1_000, 16)] {
        let body = format!(r#"{{"input":"log","max_tokens":{requested}}}"#);
        let path = "/v1/pipelines/summary";
        let response = env.client.call(Method::POST, path, &[], body).await;
        let output = response.json()["output"].as_str().unwrap().to_owned();
        assert_eq!(output.split(' ').count(), expected);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_callers_are_served_on_the_same_address() {
    let env = TestEnv::start().await;
    let client = support::client::Client::http2(env.instance.address);
    let response = client.pipeline("scores", "probe log", &[]).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn addresses_are_returned_only_for_the_workspace_of_the_token() {
    let env = TestEnv::start().await;
    let path = "/v1/instances?workspace=lintas";
    let response = env.client.call(Method::GET, path, &[], "").await;
    assert_eq!(response.json()["instances"][0]["binding"], "kl-a-1@7");
    assert_eq!(response.header("cache-control"), "private, max-age=10");
    let path = "/v1/instances?workspace=trinacria";
    let response = env.client.call(Method::GET, path, &[], "").await;
    assert_eq!(response.status, StatusCode::FORBIDDEN);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_and_costs_of_a_request_are_recorded() {
    let env = TestEnv::start().await;
    let response = env.client.pipeline("summary", "probe log", &[]).await;
    let decisions = env.decisions(response.header("x-request-id"));
    let expected = [
        "admitted", "granted", "ended", "granted", "ended", "granted", "ended", "answered",
    ];
    assert_eq!(decisions, expected);
    let stats = env.instance.server.workspace_stats();
    assert_eq!(stats.len(), 1);
    assert_eq!((stats[0].requests, stats[0].answered_in_deadline), (1, 1));
    let stages: Vec<_> = stats[0].cost.iter().map(|c| c.stage.as_str()).collect();
    assert_eq!(stages, ["encode", "generate", "rerank"]);
    assert!(
        stats[0]
            .cost
            .iter()
            .all(|c| c.calls == 1 && c.wasted_ms == 0.0)
    );
    eventually("the workspace limit is charged", || {
        *env.fakes.charged_units.lock().unwrap() > 0.0
    })
    .await;
}
