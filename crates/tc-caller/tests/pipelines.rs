//! Pipelines answered as JSON.

mod support;

use http::{Method, StatusCode};
use support::{World, eventually};
use tc_stand_ins::{StageKind, expected_pipeline_output};

const SUMMARY: [(&str, StageKind); 3] = [
    ("encode", StageKind::Pool),
    ("rerank", StageKind::Pool),
    ("generate", StageKind::Engine { max_tokens: 16 }),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pipeline_answers_with_the_output_of_all_its_stages() {
    let world = World::start().await;
    let answer = world.client.pipeline("summary", "probe log", &[]).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let json = answer.json();
    assert_eq!(
        json["output"].as_str().unwrap(),
        expected_pipeline_output(&SUMMARY, "probe log")
    );
    assert_eq!(json["request_id"], answer.header("x-request-id"));
    assert_eq!(answer.header("tanagercroft-instance"), "kl-a-1");
    let names: Vec<_> = json["stages"].as_array().unwrap().iter().collect();
    assert_eq!(names.len(), 3);
    assert!(names.iter().all(|stage| stage["attempts"] == 1));
    assert!(json["cost"]["tokens_out"].as_u64().unwrap() >= 1);
    assert_eq!(world.fakes.ran_whole.lock().unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fewer_tokens_may_be_asked_for_but_not_more() {
    let world = World::start().await;
    for (wanted, given) in [(4, 4), (1_000, 16)] {
        let body = format!(r#"{{"input":"log","max_tokens":{wanted}}}"#);
        let path = "/v1/pipelines/summary";
        let answer = world.client.call(Method::POST, path, &[], body).await;
        let output = answer.json()["output"].as_str().unwrap().to_owned();
        assert_eq!(output.split(' ').count(), given);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_callers_are_served_on_the_same_address() {
    let world = World::start().await;
    let client = support::client::Client::http2(world.instance.address);
    let answer = client.pipeline("scores", "probe log", &[]).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn addresses_are_told_to_the_workspace_of_the_token_only() {
    let world = World::start().await;
    let path = "/v1/instances?workspace=lintas";
    let answer = world.client.call(Method::GET, path, &[], "").await;
    assert_eq!(answer.json()["instances"][0]["binding"], "kl-a-1@7");
    assert_eq!(answer.header("cache-control"), "private, max-age=10");
    let path = "/v1/instances?workspace=trinacria";
    let answer = world.client.call(Method::GET, path, &[], "").await;
    assert_eq!(answer.status, StatusCode::FORBIDDEN);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_explained_and_its_cost_counted_by_stage() {
    let world = World::start().await;
    let answer = world.client.pipeline("summary", "probe log", &[]).await;
    let words = world.explained(answer.header("x-request-id"));
    let expected = [
        "admitted", "granted", "ended", "granted", "ended", "granted", "ended", "answered",
    ];
    assert_eq!(words, expected);
    let stats = world.instance.server.workspace_stats();
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
    eventually("the share is given back", || {
        *world.fakes.charged.lock().unwrap() > 0.0
    })
    .await;
}
