//! How calls and jobs end, and what is sent again.

use tc_policy::{BatchPlanner, CallEnd};
use tc_protocol::routing::{PieceFailure, StageRefusal};

use crate::common::{at, handle, job, made, planner, push, repeats, spec, upstreams};

#[test]
fn jobs_whose_time_is_over_are_refused_and_their_results_freed() {
    let mut planner = planner(&["a"]);
    let key = push(&mut planner, at(0), job("x", 16));
    let call = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(400), call.key, made(&call));
    let settled = planner.expire(at(3_600));
    assert_eq!(settled.finished.len(), 1);
    assert_eq!(settled.finished[0].job, key);
    assert_eq!(settled.finished[0].result, Err(StageRefusal::Late));
    assert_eq!(settled.unwanted.len(), 14);
}

#[test]
fn a_cancelled_job_gives_back_what_was_made_and_what_comes_later() {
    let mut planner = planner(&["a", "a"]);
    let key = push(&mut planner, at(0), job("x", 16));
    let first = planner.next_call(at(0)).expect("a call");
    let second = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(300), first.key, made(&first));
    assert_eq!(planner.cancel(key).len(), 14);
    let settled = planner.end_call(at(310), second.key, made(&second));
    assert_eq!(settled.unwanted.len(), 2);
    assert!(settled.finished.is_empty());
}

/// Symptom: a stage hangs although other upstreams are free. Sequence: an upstream breaks in the middle of a call.
/// Cause: the pieces of the broken call are not sent again, or to the same upstream at once.
#[test]
fn pieces_of_a_broken_call_go_elsewhere() {
    let mut planner = planner(&["a", "a"]);
    push(&mut planner, at(0), job("x", 3));
    let first = planner.next_call(at(0)).expect("a call");
    let settled = planner.end_call(at(100), first.key, CallEnd::Failed);
    assert!(settled.finished.is_empty());
    let second = planner.next_call(at(100)).expect("a call");
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(second.pieces.len(), 3);
}

#[test]
fn pieces_are_sent_again_only_as_often_as_the_budget_allows() {
    let mut planner = BatchPlanner::new(spec(), repeats(2.0));
    planner.set_upstreams(&upstreams(&["a", "a", "a", "a"]));
    push(&mut planner, at(0), job("x", 3));
    let call = planner.next_call(at(0)).expect("a call");
    let settled = planner.end_call(at(100), call.key, CallEnd::Failed);
    assert_eq!(settled.finished[0].result, Err(StageRefusal::Failed));
}

/// Symptom: just after all instances were restarted, stages are refused as failed for two seconds. Sequence: upstreams
/// still work on calls of the instances' former lives and refuse new ones; each refusal spends as many repeats as the call
/// has pieces. Cause: a full upstream is asked again and again before its calls can have ended.
#[test]
fn full_upstreams_do_not_use_up_the_repeats() {
    let mut planner = BatchPlanner::new(spec(), repeats(60.0));
    planner.set_upstreams(&upstreams(&["a", "a", "a", "a", "a"]));
    let mut finished = Vec::new();
    for name in ["x", "y", "z"] {
        push(&mut planner, at(0), job(name, 4));
    }
    for now in 0..1_000 {
        while let Some(call) = planner.next_call(at(now)) {
            // The former calls end after 300 ms.
            let end = if now < 300 {
                CallEnd::NotRun
            } else {
                made(&call)
            };
            finished.extend(planner.end_call(at(now), call.key, end).finished);
        }
    }
    assert_eq!(finished.len(), 3);
    assert!(finished.iter().all(|f| f.result.is_ok()), "{finished:?}");
}

#[test]
fn a_call_that_never_left_costs_no_repeat() {
    let mut planner = BatchPlanner::new(spec(), repeats(0.0));
    planner.set_upstreams(&upstreams(&["a", "a"]));
    push(&mut planner, at(0), job("x", 3));
    let call = planner.next_call(at(0)).expect("a call");
    let settled = planner.end_call(at(1), call.key, CallEnd::Unreachable);
    assert!(settled.finished.is_empty());
    assert!(planner.next_call(at(1)).is_some());
}

#[test]
fn a_lost_input_ends_the_job_so_that_the_stages_before_are_made_again() {
    let mut planner = planner(&["a"]);
    push(&mut planner, at(0), job("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    let end = CallEnd::Answered(vec![Ok(handle("1")), Err(PieceFailure::InputGone)]);
    let settled = planner.end_call(at(250), call.key, end);
    assert_eq!(settled.finished[0].result, Err(StageRefusal::InputGone));
    assert_eq!(settled.unwanted, [handle("1")]);
}
