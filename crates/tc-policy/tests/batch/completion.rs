//! Ends of calls and jobs, and retries.

use tc_policy::{BatchPlanner, CallEnd};
use tc_protocol::routing::{PieceFailure, StageRefusal};

use crate::common::{at, handle, job, planner, push, retry_budget, spec, success, upstreams};

#[test]
fn expired_jobs_are_refused_and_their_results_freed() {
    let mut planner = planner(&["a"]);
    let key = push(&mut planner, at(0), job("x", 16));
    let call = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(400), call.key, success(&call));
    let effects = planner.refuse_late_jobs(at(3_600));
    assert_eq!(effects.finished.len(), 1);
    assert_eq!(effects.finished[0].job, key);
    assert_eq!(effects.finished[0].result, Err(StageRefusal::Late));
    assert_eq!(effects.discarded_results.len(), 14);
}

#[test]
fn a_cancelled_job_frees_existing_and_later_results() {
    let mut planner = planner(&["a", "a"]);
    let key = push(&mut planner, at(0), job("x", 16));
    let first = planner.next_call(at(0)).expect("a call");
    let second = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(300), first.key, success(&first));
    assert_eq!(planner.cancel(key).len(), 14);
    let effects = planner.end_call(at(310), second.key, success(&second));
    assert_eq!(effects.discarded_results.len(), 2);
    assert!(effects.finished.is_empty());
}

/// Guards against a stage that hangs although other upstreams are free: an upstream fails during a call, and its pieces
/// are not sent again, or are sent to the same upstream at once.
#[test]
fn pieces_of_a_failed_call_go_to_another_upstream() {
    let mut planner = planner(&["a", "a"]);
    push(&mut planner, at(0), job("x", 3));
    let first = planner.next_call(at(0)).expect("a call");
    let effects = planner.end_call(at(100), first.key, CallEnd::Failed);
    assert!(effects.finished.is_empty());
    let second = planner.next_call(at(100)).expect("a call");
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(second.pieces.len(), 3);
}

#[test]
fn retries_are_limited_by_the_retry_budget() {
    let mut planner = BatchPlanner::new(spec(), retry_budget(2.0));
    planner.set_upstreams(&upstreams(&["a", "a", "a", "a"]));
    push(&mut planner, at(0), job("x", 3));
    let call = planner.next_call(at(0)).expect("a call");
    let effects = planner.end_call(at(100), call.key, CallEnd::Failed);
    assert_eq!(effects.finished[0].result, Err(StageRefusal::Failed));
}

/// Guards against stages refused as failed for two seconds after a restart of all instances. Upstreams still run calls
/// of the previous processes and refuse new ones, and each refusal spends as many retries as the call has pieces. A
/// full upstream must not be asked repeatedly before its calls can have ended.
#[test]
fn full_upstreams_do_not_exhaust_the_retry_budget() {
    let mut planner = BatchPlanner::new(spec(), retry_budget(60.0));
    planner.set_upstreams(&upstreams(&["a", "a", "a", "a", "a"]));
    let mut finished = Vec::new();
    for name in ["x", "y", "z"] {
        push(&mut planner, at(0), job(name, 4));
    }
    for now in 0..1_000 {
        while let Some(call) = planner.next_call(at(now)) {
            // The calls of the previous processes end after 300 ms.
            let end = if now < 300 {
                CallEnd::NotRun
            } else {
                success(&call)
            };
            finished.extend(planner.end_call(at(now), call.key, end).finished);
        }
    }
    assert_eq!(finished.len(), 3);
    assert!(finished.iter().all(|f| f.result.is_ok()), "{finished:?}");
}

#[test]
fn an_unsent_call_costs_no_retry() {
    let mut planner = BatchPlanner::new(spec(), retry_budget(0.0));
    planner.set_upstreams(&upstreams(&["a", "a"]));
    push(&mut planner, at(0), job("x", 3));
    let call = planner.next_call(at(0)).expect("a call");
    let effects = planner.end_call(at(1), call.key, CallEnd::Unreachable);
    assert!(effects.finished.is_empty());
    assert!(planner.next_call(at(1)).is_some());
}

#[test]
fn a_lost_input_refuses_the_job() {
    let mut planner = planner(&["a"]);
    push(&mut planner, at(0), job("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    let end = CallEnd::Answered(vec![Ok(handle("1")), Err(PieceFailure::InputGone)]);
    let effects = planner.end_call(at(250), call.key, end);
    assert_eq!(effects.finished[0].result, Err(StageRefusal::InputGone));
    assert_eq!(effects.discarded_results, [handle("1")]);
}

/// Guards against a stage that is refused after one failed call because it has more pieces in that call than a job may have
/// failed calls.
#[test]
fn a_failed_call_counts_once_for_a_job_with_many_pieces() {
    let mut planner = planner(&["a", "a"]);
    push(&mut planner, at(0), job("x", 8));
    let first = planner.next_call(at(0)).expect("a call");
    assert_eq!(first.pieces.len(), 8);
    let effects = planner.end_call(at(100), first.key, CallEnd::Failed);
    assert_eq!(effects.finished, []);
    let second = planner.next_call(at(100)).expect("a call");
    let effects = planner.end_call(at(400), second.key, success(&second));
    assert!(effects.finished[0].result.is_ok(), "{effects:?}");
}

/// Guards against a stage whose own pieces make every call fail, and which is sent until its deadline.
#[test]
fn a_job_is_refused_after_four_failed_calls() {
    let mut planner = planner(&["a", "a", "a", "a", "a"]);
    push(&mut planner, at(0), job("x", 2));
    for failed in 1..=4 {
        let call = planner.next_call(at(failed)).expect("a call");
        let effects = planner.end_call(at(failed), call.key, CallEnd::Failed);
        let refused = effects.finished.iter().map(|f| f.result.clone()).next();
        assert_eq!(refused, (failed == 4).then_some(Err(StageRefusal::Failed)));
    }
}
