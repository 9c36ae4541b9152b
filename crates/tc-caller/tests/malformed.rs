//! Malformed requests: each is refused with a clear problem and the run state `not_run`.

mod support;

use http::{Method, StatusCode};
use support::{MAX_BODY, MAX_HEADERS, TestEnv, client::Client};

const GOOD: &str = r#"{"input":"log"}"#;

/// Columns: name; request line; headers; body; status; kind; a word that the detail must contain. `GOOD` stands for a
/// valid body, `LARGE` for one above the size limit, `BYTES` for one that is not UTF-8.
const TABLE: &str = r#"
not JSON            ; POST /v1/pipelines/summary ; ; {                              ; 400 ; bad-request ; pipeline request
not UTF-8           ; POST /v1/pipelines/summary ; ; BYTES                          ; 400 ; bad-request ; pipeline request
empty body          ; POST /v1/pipelines/summary ; ;                                ; 400 ; bad-request ; pipeline request
an array            ; POST /v1/pipelines/summary ; ; [1]                            ; 400 ; bad-request ; pipeline request
no input            ; POST /v1/pipelines/summary ; ; {}                             ; 400 ; bad-request ; input
input null          ; POST /v1/pipelines/summary ; ; {"input":null}                 ; 400 ; bad-request ; null
input a number      ; POST /v1/pipelines/summary ; ; {"input":7}                    ; 400 ; bad-request ; integer
unknown key         ; POST /v1/pipelines/summary ; ; {"input":"a","inptu":1}        ; 400 ; bad-request ; inptu
key twice           ; POST /v1/pipelines/summary ; ; {"input":"a","input":"b"}      ; 400 ; bad-request ; input
no tokens           ; POST /v1/pipelines/summary ; ; {"input":"a","max_tokens":0}   ; 400 ; bad-request ; max_tokens
negative tokens     ; POST /v1/pipelines/summary ; ; {"input":"a","max_tokens":-1}  ; 400 ; bad-request ; -1
trailing text       ; POST /v1/pipelines/summary ; ; {"input":"a"} x                ; 400 ; bad-request ; trailing
too large           ; POST /v1/pipelines/summary ; ; LARGE                          ; 413 ; too-large ; 65536
timeout a word      ; POST /v1/pipelines/summary ; request-timeout-ms: soon         ; GOOD ; 400 ; bad-request ; request-timeout-ms
timeout zero        ; POST /v1/pipelines/summary ; request-timeout-ms: 0            ; GOOD ; 400 ; bad-request ; request-timeout-ms
timeout negative    ; POST /v1/pipelines/summary ; request-timeout-ms: -5           ; GOOD ; 400 ; bad-request ; request-timeout-ms
timeout twice       ; POST /v1/pipelines/summary ; request-timeout-ms: 5 & request-timeout-ms: 6 ; GOOD ; 400 ; bad-request ; twice
priority a word     ; POST /v1/pipelines/summary ; priority: urgent!!               ; GOOD ; 400 ; bad-request ; priority
priority 8          ; POST /v1/pipelines/summary ; priority: u=8                    ; GOOD ; 400 ; bad-request ; priority
priority -1         ; POST /v1/pipelines/summary ; priority: u=-1                   ; GOOD ; 400 ; bad-request ; priority
priority a string   ; POST /v1/pipelines/summary ; priority: u="1"                  ; GOOD ; 400 ; bad-request ; priority
binding without @   ; POST /v1/pipelines/summary ; tanagercroft-binding: kl-a-1     ; GOOD ; 400 ; bad-request ; binding
binding a word      ; POST /v1/pipelines/summary ; tanagercroft-binding: kl-a-1@x   ; GOOD ; 400 ; bad-request ; binding
event id a word     ; POST /v1/pipelines/summary ; last-event-id: x & x-request-id: a-1-1 ; GOOD ; 400 ; bad-request ; event
event id alone      ; POST /v1/pipelines/summary ; last-event-id: 3                 ; GOOD ; 400 ; bad-request ; x-request-id
not a request id    ; POST /v1/pipelines/summary ; last-event-id: 3 & x-request-id: a ; GOOD ; 400 ; bad-request ; x-request-id
wrong token         ; POST /v1/pipelines/summary ; authorization: Bearer wrong      ; GOOD ; 401 ; unauthorized ; token
not a bearer token  ; POST /v1/pipelines/summary ; authorization: Basic bGludGFz    ; GOOD ; 401 ; unauthorized ; Bearer
no token            ; POST /v1/pipelines/summary ; authorization:                   ; GOOD ; 401 ; unauthorized ; Authorization
another's pipeline  ; POST /v1/pipelines/private ;                                  ; GOOD ; 403 ; forbidden ; private
unknown pipeline    ; POST /v1/pipelines/unknown ;                                  ; GOOD ; 404 ; not-found ; unknown
no pipeline         ; POST /v1/pipelines/        ;                                  ; GOOD ; 404 ; not-found ; path
path too long       ; POST /v1/pipelines/a/b     ;                                  ; GOOD ; 404 ; not-found ; path
another version     ; POST /v2/pipelines/summary ;                                  ; GOOD ; 404 ; not-found ; path
root                ; POST /                     ;                                  ; GOOD ; 404 ; not-found ; path
no service          ; POST /v1/services/         ;                                  ; GOOD ; 404 ; not-found ; path
unknown service     ; POST /v1/services/unknown/a ;                                 ; GOOD ; 404 ; not-found ; unknown
not a plain service ; POST /v1/services/encode/run ;                                ; GOOD ; 404 ; not-found ; encode
pipeline by GET     ; GET /v1/pipelines/summary  ;                                  ; GOOD ; 405 ; method-not-allowed ; GET
pipeline by DELETE  ; DELETE /v1/pipelines/summary ;                                ; GOOD ; 405 ; method-not-allowed ; DELETE
addresses by POST   ; POST /v1/instances?workspace=lintas ;                         ; GOOD ; 405 ; method-not-allowed ; POST
no workspace        ; GET /v1/instances          ;                                  ;      ; 400 ; bad-request ; workspace
no key              ; POST /v1/pipelines/appraise ;                                 ; GOOD ; 422 ; key-required ; Idempotency-Key
no key, a service   ; PUT /v1/services/notify/sms ;                                 ; GOOD ; 422 ; key-required ; Idempotency-Key
"#;

struct Row {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Vec<u8>,
    status: u16,
    kind: &'static str,
    detail_word: &'static str,
}

fn rows() -> impl Iterator<Item = Row> {
    TABLE.lines().filter(|line| !line.is_empty()).map(row)
}

fn row(line: &'static str) -> Row {
    let columns: Vec<&str> = line.split(';').map(str::trim).collect();
    let [name, target, headers, body, status, kind, detail_word] = columns[..] else {
        panic!("expected seven columns: {line}");
    };
    let (method, path) = target.split_once(' ').unwrap();
    let headers = headers.split('&').filter(|h| !h.trim().is_empty());
    Row {
        name,
        method: method.parse().unwrap(),
        path,
        headers: headers
            .map(|h| h.split_once(':').unwrap())
            .map(|(name, value)| (name.trim(), value.trim()))
            .collect(),
        body: match body {
            "GOOD" => GOOD.into(),
            "BYTES" => b"{\"input\":\"\xff\xfe\"}".to_vec(),
            "LARGE" => format!(r#"{{"input":"{}"}}"#, "x".repeat(MAX_BODY)).into(),
            text => text.into(),
        },
        status: status.parse().unwrap(),
        kind,
        detail_word,
    }
}

async fn assert_all_refused(env: &TestEnv, client: &Client) {
    assert_eq!(rows().count(), 44);
    for row in rows() {
        let response = client
            .call(row.method.clone(), row.path, &row.headers, row.body.clone())
            .await;
        let name = row.name;
        assert_eq!(response.status.as_u16(), row.status, "{name}: {response:?}");
        assert_eq!(
            response.header("content-type"),
            "application/problem+json",
            "{name}"
        );
        assert_eq!(response.run_state(), "not_run", "{name}");
        let problem = response.json();
        let kind = format!("urn:tanagercroft:problem:{}", row.kind);
        assert_eq!(problem["type"], kind, "{name}");
        assert_eq!(problem["run_state"], "not_run", "{name}");
        assert_eq!(
            problem["request_id"],
            response.header("x-request-id"),
            "{name}"
        );
        let detail = problem["detail"].as_str().unwrap();
        assert!(detail.contains(row.detail_word), "{name}: {detail}");
        assert_eq!(
            response.status == StatusCode::METHOD_NOT_ALLOWED,
            !response.header("allow").is_empty()
        );
        let unauthorized = response.status == StatusCode::UNAUTHORIZED;
        assert_eq!(
            unauthorized,
            response.header("www-authenticate") == "Bearer",
            "{name}"
        );
    }
    assert!(
        env.upstreams.recorder.calls().is_empty(),
        "an upstream received a malformed request"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_malformed_request_gets_a_clear_problem_over_http1() {
    let env = TestEnv::start().await;
    assert_all_refused(&env, &env.client).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_malformed_request_gets_a_clear_problem_over_http2() {
    let env = TestEnv::start().await;
    assert_all_refused(&env, &Client::http2(env.instance.address)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn too_large_headers_are_refused_over_both_protocols() {
    let env = TestEnv::start().await;
    let large = "x".repeat(MAX_HEADERS);
    for client in [env.client.clone(), Client::http2(env.instance.address)] {
        let response = client
            .pipeline("scores", "log", &[("x-note", &large)])
            .await;
        assert_eq!(response.status.as_u16(), 431);
        assert_eq!(response.run_state(), "not_run");
    }
    let huge = "x".repeat(MAX_HEADERS * 6);
    let response = env
        .client
        .pipeline("scores", "log", &[("x-note", &huge)])
        .await;
    assert_eq!(response.status.as_u16(), 431);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_without_a_configuration_is_not_ready() {
    let env = TestEnv::start().await;
    let view = env.fakes.view();
    let mut empty = (*view).clone();
    empty.config = std::sync::Arc::default();
    env.fakes.set_view(empty);
    let response = env.client.pipeline("scores", "log", &[]).await;
    assert_eq!(response.status.as_u16(), 503);
    assert_eq!(
        response.json()["type"],
        "urn:tanagercroft:problem:not-ready"
    );
    assert_eq!(response.header("retry-after"), "1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn priority_is_clamped_to_the_highest_of_the_workspace() {
    let env = TestEnv::start().await;
    for (header, expected) in [("u=0", 2), ("u=5, i", 5), ("", 3), ("i", 3)] {
        env.fakes.permit_requests.lock().unwrap().clear();
        env.client
            .pipeline("scores", "log", &[("priority", header)])
            .await;
        assert_eq!(
            env.fakes.permit_requests.lock().unwrap()[0].priority,
            expected,
            "{header}"
        );
    }
}
