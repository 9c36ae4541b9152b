//! Refusing requests before the first stage when a later stage is overloaded.

mod support;

use std::collections::HashSet;

use support::TestEnv;
use tc_protocol::RefusalReason;

const REQUESTS: usize = 120;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_for_an_overloaded_later_stage_are_refused_early() {
    // Guards against early stages that are busy, under overload, with requests that never get an engine. The home of
    // the engines refuses every permit request while requests keep arriving. Admission must not rely only on the times
    // of answered requests, because these look healthy.
    let env = TestEnv::start().await;
    let refusal = ("generate".to_owned(), RefusalReason::QueueFull);
    *env.fakes.refuse_service.lock().unwrap() = Some(refusal);
    let mut refused_early = Vec::new();
    for _ in 0..REQUESTS {
        let response = env.client.pipeline("summary", "log", &[]).await;
        assert_eq!(response.status.as_u16(), 503, "{response:?}");
        if response.run_state() == "not_run" {
            assert!(!response.header("retry-after").is_empty());
            refused_early.push(response.header("x-request-id").to_owned());
        }
    }
    let min_refused_early = REQUESTS / 2;
    assert!(
        refused_early.len() > min_refused_early,
        "{} refused early",
        refused_early.len()
    );
    let ran: HashSet<String> = env
        .upstreams
        .recorder
        .calls()
        .iter()
        .filter_map(|call| call.request.as_ref().map(ToString::to_string))
        .collect();
    assert!(
        refused_early.iter().all(|id| !ran.contains(id)),
        "a request refused with not_run reached an upstream"
    );
    *env.fakes.refuse_service.lock().unwrap() = None;
    let other = env.client.pipeline("scores", "log", &[]).await;
    assert_eq!(
        other.status.as_u16(),
        200,
        "another pipeline must not be throttled"
    );
}
