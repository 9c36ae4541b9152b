//! Calls to plain services.

mod support;

use http::{Method, StatusCode};
use support::TestEnv;
use tc_stand_ins::{AnswerFault, plain_output};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_is_forwarded_with_path_and_body() {
    let env = TestEnv::start().await;
    for (method, body) in [
        (Method::GET, ""),
        (Method::POST, "bid"),
        (Method::DELETE, ""),
    ] {
        let path = "/v1/services/lots/open/42?full=1";
        let response = env.client.call(method.clone(), path, &[], body).await;
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{method}: {}",
            response.text()
        );
        let expected = plain_output("/open/42?full=1", body.as_bytes());
        let without_query = plain_output("/open/42", body.as_bytes());
        let json = response.json();
        assert!(
            json == expected || json == without_query,
            "{method}: {json}"
        );
        assert!(!response.header("x-request-id").is_empty());
        let decisions = env.decisions(response.header("x-request-id"));
        assert_eq!(
            decisions,
            ["admitted", "granted", "ended", "answered"],
            "{method}"
        );
    }
    assert_eq!(env.instance.server.workspace_stats()[0].cost[0].calls, 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn get_and_head_need_no_key_at_non_idempotent_services() {
    let env = TestEnv::start().await;
    for method in [Method::GET, Method::HEAD] {
        let response = env
            .client
            .call(method, "/v1/services/notify/state", &[], "")
            .await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// Guards against a failed lookup while another upstream is healthy. The first upstream has crashed or its response is
/// lost, so the idempotent call must be retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_call_is_retried_at_another_upstream() {
    let env = TestEnv::start().await;
    let faults = env.upstreams.plains[0].faults();
    faults.break_answers(AnswerFault::Lost, 1);
    let response = env
        .client
        .call(Method::GET, "/v1/services/lots/1", &[], "")
        .await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    faults.crash();
    let response = env
        .client
        .call(Method::GET, "/v1/services/lots/1", &[], "")
        .await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
}

/// Guards against forwarding the header of a short response before its body has arrived. The connections of all
/// upstreams break within the body. The caller would get only a broken connection and could not tell whether its call
/// ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_short_body_is_reported_as_a_problem() {
    let env = TestEnv::start().await;
    for plain in &env.upstreams.plains {
        plain
            .faults()
            .break_answers(AnswerFault::CloseMidBody, u64::MAX);
    }
    let path = "/v1/services/lots/1";
    let response = env.client.call(Method::GET, path, &[], "").await;
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        response.text()
    );
    assert_eq!(response.json()["run_state"], "ran");
    support::eventually("the permit is released", || {
        env.fakes.unreleased_permits() == 0
    })
    .await;
}

/// Guards against a truncated response that looks complete to the caller. The upstream's connection breaks within a
/// long body, so the caller's connection must break as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_long_body_breaks_the_connection_to_the_caller() {
    let env = TestEnv::start().await;
    for plain in &env.upstreams.plains {
        plain
            .faults()
            .break_answers(AnswerFault::CloseMidLongBody, u64::MAX);
    }
    let path = "/v1/services/lots/1";
    // The connection may break before or after the response header is sent.
    if let Ok(response) = env.client.try_open(Method::GET, path, &[], "").await {
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        assert!(body.is_err());
    }
    let answered = env.instance.server.workspace_stats()[0].answered_in_deadline;
    assert_eq!(answered, 0);
    support::eventually("the permit is released", || {
        env.fakes.unreleased_permits() == 0
    })
    .await;
}
