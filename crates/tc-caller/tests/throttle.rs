//! Refusing before the first stage when there is no room at a later one.

mod support;

use std::collections::HashSet;

use support::World;
use tc_protocol::RefusalReason;

const REQUESTS: usize = 120;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_chance_are_refused_before_they_cost_anything() {
    // Symptom: in an overload early stages are busy with requests that never get an engine.
    // Sequence: the engines' home refuses every ask for a while; requests keep coming.
    // Cause: admission looked at the times of answered requests only, and those are fine.
    let world = World::start().await;
    let refusal = ("generate".to_owned(), RefusalReason::QueueFull);
    *world.fakes.refuse.lock().unwrap() = Some(refusal);
    let mut refused_early = Vec::new();
    for _ in 0..REQUESTS {
        let answer = world.client.pipeline("summary", "log", &[]).await;
        assert_eq!(answer.status.as_u16(), 503, "{answer:?}");
        if answer.run_state() == "not_run" {
            assert!(!answer.header("retry-after").is_empty());
            refused_early.push(answer.header("x-request-id").to_owned());
        }
    }
    let most = REQUESTS / 2;
    assert!(
        refused_early.len() > most,
        "{} refused early",
        refused_early.len()
    );
    let ran: HashSet<String> = world
        .up
        .recorder
        .calls()
        .iter()
        .filter_map(|call| call.request.as_ref().map(ToString::to_string))
        .collect();
    assert!(
        refused_early.iter().all(|id| !ran.contains(id)),
        "a refusal said not_run and was not"
    );
    *world.fakes.refuse.lock().unwrap() = None;
    let other = world.client.pipeline("scores", "log", &[]).await;
    assert_eq!(
        other.status.as_u16(),
        200,
        "another pipeline is not held back"
    );
}
