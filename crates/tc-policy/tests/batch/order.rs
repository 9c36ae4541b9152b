//! Order of jobs, composition of calls, and refusals.

use std::time::Duration;

use tc_policy::{BatchCall, BatchPlanner, CallEnd, JobKey, NewJob};
use tc_protocol::routing::StageRefusal;

use crate::common::{at, handle, job, piece_names, planner, push, success, upstreams};

#[test]
fn pieces_of_many_requests_share_a_call() {
    let mut planner = planner(&["a"]);
    let keys = ["x", "y", "z"].map(|name| push(&mut planner, at(0), job(name, 2)));
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(call.pieces.len(), 6);
    assert_eq!(
        planner.next_call(at(0)),
        None,
        "its upstream runs one call at a time"
    );
    let effects = planner.end_call(at(280), call.key, success(&call));
    let done: Vec<JobKey> = effects.finished.iter().map(|f| f.job).collect();
    assert_eq!(done, keys);
    let first = effects.finished[0].result.as_ref().expect("results");
    assert_eq!(
        first[1],
        handle("u0-x-1"),
        "results are in the order of the pieces"
    );
}

#[test]
fn a_call_holds_no_more_pieces_than_the_service_takes() {
    let mut planner = planner(&["a", "a"]);
    push(&mut planner, at(0), job("x", 20));
    let first = planner.next_call(at(0)).expect("a call");
    let second = planner
        .next_call(at(0))
        .expect("the rest goes to the other upstream");
    assert_eq!((first.pieces.len(), second.pieces.len()), (14, 6));
}

/// Guards against splitting jobs to fill calls. With jobs of five and six pieces in calls of fourteen, every fourth
/// request of a burst waited for a second call of a stage, a third of a second longer.
#[test]
fn jobs_are_not_split_between_calls_to_fill_them() {
    let mut planner = planner(&["a", "a"]);
    for (name, pieces) in [("x", 6), ("y", 6), ("z", 6), ("small", 2)] {
        push(&mut planner, at(0), job(name, pieces));
    }
    let first = planner.next_call(at(0)).expect("a call");
    let second = planner.next_call(at(0)).expect("a call");
    assert_eq!(first.pieces.len(), 14, "`small` fits where `z` does not");
    assert!(
        piece_names(&first)
            .iter()
            .all(|name| !name.starts_with('z'))
    );
    assert_eq!(second.pieces.len(), 6);
}

/// Guards against calls planned without regard to result memory. When results of 1.5 MB are made faster than they are
/// read, upstreams refuse pieces for lack of memory, and the stage does half of the work that it could.
#[test]
fn pieces_wait_for_result_memory() {
    let mut planner = planner(&["a"]);
    let large = |name: &str| NewJob {
        result_bytes: 1_500_000,
        ..job(name, 7)
    };
    push(&mut planner, at(0), large("x"));
    push(&mut planner, at(0), large("y"));
    push(&mut planner, at(0), large("z"));
    let first = planner.next_call(at(0)).expect("a call");
    assert_eq!(first.pieces.len(), 14, "two whole jobs");
    planner.end_call(at(300), first.key, success(&first));
    let second = planner
        .next_call(at(300))
        .expect("memory for six more results of 1.5 MB");
    assert_eq!(second.pieces.len(), 6, "30.4 of 32 MB are usable");
    planner.end_call(at(600), second.key, success(&second));
    assert_eq!(planner.next_call(at(600)), None, "no result memory is left");
    for piece in 0..7 {
        planner.result_freed(&handle(&format!("u0-x-{piece}")));
    }
    let third = planner
        .next_call(at(610))
        .expect("result memory is available again");
    assert_eq!(
        piece_names(&third),
        ["z/6"],
        "the piece that did not fit before"
    );
}

#[test]
fn expired_results_free_their_memory() {
    let mut planner = planner(&["a"]);
    for name in ["x", "y"] {
        let large = NewJob {
            result_bytes: 1_500_000,
            deadline: at(20_000),
            ..job(name, 14)
        };
        push(&mut planner, at(0), large);
    }
    let first = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(300), first.key, success(&first));
    let second = planner.next_call(at(300)).expect("a call");
    planner.end_call(at(600), second.key, success(&second));
    assert_eq!(planner.next_call(at(600)), None);
    let later = planner
        .next_call(at(4_700))
        .expect("the first results expired after four seconds");
    assert!(!later.pieces.is_empty());
}

/// Guards against many requests that each hold some results while none is complete: in a burst, large stages are made
/// piece by piece in due order unless started jobs take precedence.
#[test]
fn started_jobs_are_finished_first() {
    let mut planner = planner(&["a"]);
    push(
        &mut planner,
        at(0),
        NewJob {
            in_time_until: at(2_000),
            ..job("started", 20)
        },
    );
    let first = planner.next_call(at(0)).expect("a call");
    assert_eq!(first.pieces.len(), 14);
    push(
        &mut planner,
        at(10),
        NewJob {
            in_time_until: at(700),
            ..job("urgent", 14)
        },
    );
    planner.end_call(at(300), first.key, success(&first));
    let second = planner.next_call(at(300)).expect("a call");
    assert!(
        piece_names(&second)[..6]
            .iter()
            .all(|name| name.starts_with("started/"))
    );
}

#[test]
fn a_more_urgent_request_goes_first() {
    let mut planner = planner(&["a"]);
    push(
        &mut planner,
        at(0),
        NewJob {
            priority: 2,
            ..job("later", 14)
        },
    );
    push(
        &mut planner,
        at(0),
        NewJob {
            priority: 0,
            ..job("first", 14)
        },
    );
    let call = planner.next_call(at(0)).expect("a call");
    assert!(
        piece_names(&call)
            .iter()
            .all(|name| name.starts_with("first/"))
    );
}

/// Guards against answers just after their latency target in a burst of 1.6 times the capacity. If jobs that will be
/// late share the queue with jobs that can be on time, all are made at the last moment.
///
/// The burst lasts six seconds on five upstreams. Calls of 368 ms for 14 pieces on 5 upstreams make 190 pieces a
/// second, which is 95 jobs of two pieces; the bound allows a fifth less for calls that are not full.
#[test]
fn overload_keeps_most_of_the_capacity_on_time() {
    check_burst(0);
}

/// Guards against a burst in which nearly all answers are late: overdue jobs with large inputs go before the jobs that
/// can still be on time, and make those overdue as well.
#[test]
fn overload_of_jobs_with_large_inputs_keeps_most_of_the_capacity_on_time() {
    check_burst(6 * 60_000);
}

fn check_burst(held_bytes: u64) {
    let (in_time, offered) = burst(150, 6_000, held_bytes);
    let capacity = 95 * 6;
    assert!(offered > capacity, "{offered} jobs");
    assert!(
        in_time * 10 >= capacity * 8,
        "{in_time} of {offered} jobs in time, {capacity} possible"
    );
}

/// Runs a burst of jobs of two pieces; returns how many were on time and how many were offered.
fn burst(jobs_per_s: u64, length_ms: u64, held_bytes: u64) -> (u64, u64) {
    let mut planner = planner(&["a", "a", "b", "c", "d"]);
    let mut running: Vec<(u64, BatchCall)> = Vec::new();
    let mut due = std::collections::HashMap::new();
    let (mut offered, mut in_time) = (0, 0);
    for now in 0..length_ms + 4_000 {
        let ended = running.iter().position(|(ends, _)| *ends == now);
        if let Some(i) = ended {
            let (_, call) = running.swap_remove(i);
            let effects = planner.end_call(at(now), call.key, success(&call));
            for finished in effects.finished {
                let Ok(results) = finished.result else {
                    continue;
                };
                in_time += u64::from(due[&finished.job] >= now);
                for result in results {
                    planner.result_freed(&result);
                }
            }
        }
        if now < length_ms && (now * jobs_per_s) % 1_000 < jobs_per_s {
            offered += 1;
            let new = NewJob {
                in_time_until: at(now + 750),
                deadline: at(now + 3_500),
                held_bytes,
                ..job(&format!("r{now}"), 2)
            };
            if let Ok(key) = planner.push(at(now), new) {
                due.insert(key, now + 750);
            }
        }
        planner.refuse_late_jobs(at(now));
        while let Some(call) = planner.next_call(at(now)) {
            let mut ends = now + 200 + 12 * call.pieces.len() as u64;
            while running.iter().any(|(other, _)| *other == ends) {
                ends += 1;
            }
            running.push((ends, call));
        }
    }
    (in_time, offered)
}

/// Guards against requests that are held for seconds and then refused: under overload, a job that cannot be done before
/// its caller leaves must not be queued.
#[test]
fn a_job_that_cannot_finish_is_refused_at_once() {
    let mut planner = planner(&["a"]);
    let mut refusal = None;
    for i in 0..40 {
        match planner.push(at(0), job(&format!("r{i}"), 14)) {
            Ok(_) => {}
            Err(refused) => {
                refusal = Some(refused);
                break;
            }
        }
    }
    let Some(StageRefusal::Overloaded { retry_after }) = refusal else {
        panic!("nothing was refused: {refusal:?}");
    };
    // The retry time is when the queue is done, regardless of the expected wait of the refused job.
    assert_eq!(retry_after, planner.expected_wait());
    assert!(retry_after > Duration::from_millis(300), "{retry_after:?}");
}

#[test]
fn an_upstream_that_is_leaving_gets_no_call() {
    let mut planner = planner(&["a"]);
    push(&mut planner, at(0), job("x", 1));
    planner.set_upstreams(&[]);
    assert_eq!(planner.next_call(at(0)), None);
    assert_eq!(
        planner.push(at(0), job("y", 1)),
        Err(StageRefusal::NoUpstream)
    );
}

/// Returns a planner, and a time, at which the upstream `u0` has been five times slower than `u1` for seconds.
fn planner_with_a_slow_upstream() -> (BatchPlanner, u64) {
    let mut planner = planner(&["a", "a"]);
    let mut now = 0;
    for round in 0..12 {
        for name in ["r", "s"] {
            push_at(&mut planner, now, &format!("{name}{round}"), 14);
        }
        let mut calls = Vec::new();
        while let Some(call) = planner.next_call(at(now)) {
            calls.push(call);
        }
        calls.sort_by_key(|call| call.upstream.as_str() == "u0");
        for call in calls {
            let takes = if call.upstream.as_str() == "u0" {
                1_840
            } else {
                368
            };
            planner.end_call(at(now + takes), call.key, success(&call));
        }
        now += 2_000;
    }
    (planner, now)
}

fn push_at(planner: &mut BatchPlanner, now: u64, name: &str, pieces: u32) {
    let new = NewJob {
        in_time_until: at(now + 900),
        deadline: at(now + 9_000),
        ..job(name, pieces)
    };
    push(planner, at(now), new);
}

/// Guards against late answers although most upstreams are fast: an upstream that became five times slower is idle when
/// a job arrives, and must not get it only because it is free.
#[test]
fn a_slow_upstream_is_left_idle_while_faster_ones_are_done_sooner() {
    let (mut planner, now) = planner_with_a_slow_upstream();
    push_at(&mut planner, now, "x", 2);
    let call = planner.next_call(at(now)).expect("a call");
    assert_eq!(call.upstream.as_str(), "u1");
    push_at(&mut planner, now, "y", 2);
    assert_eq!(
        planner.next_call(at(now)),
        None,
        "a second call on the fast upstream would end before one on the slow upstream"
    );
}

/// Guards against jobs that wait until their deadline for a fast upstream that is in backoff, while a slow one is idle.
#[test]
fn a_slow_upstream_gets_the_job_while_faster_ones_are_in_backoff() {
    let (mut planner, now) = planner_with_a_slow_upstream();
    push_at(&mut planner, now, "x", 2);
    let call = planner.next_call(at(now)).expect("a call");
    assert_eq!(call.upstream.as_str(), "u1");
    let backoff = CallEnd::RefusedWithBackoff(Duration::from_secs(5));
    planner.end_call(at(now + 1), call.key, backoff);
    let call = planner.next_call(at(now + 1)).expect("a call");
    assert_eq!(call.upstream.as_str(), "u0");
}

/// Guards against avoidable transfers between failure domains, which cost as much as late answers. The ten pieces of a
/// stage each read all results of the stage before, so a job with slack must not go to just any free upstream.
#[test]
fn a_job_with_slack_waits_for_its_preferred_domain() {
    let mut planner = planner(&["far"]);
    let mut near = upstreams(&["far", "near"]);
    planner.set_upstreams(&near);
    let busy = push(&mut planner, at(0), job("busy", 28));
    let calls = [planner.next_call(at(0)), planner.next_call(at(0))].map(|c| c.expect("a call"));
    let with_slack = NewJob {
        preferred_domain: Some("near".into()),
        in_time_until: at(1_500),
        ..job("x", 2)
    };
    push(&mut planner, at(10), with_slack);
    let (far, near_call) = if calls[0].upstream.as_str() == "u0" {
        (&calls[0], &calls[1])
    } else {
        (&calls[1], &calls[0])
    };
    planner.end_call(at(60), far.key, success(far));
    assert_eq!(
        planner.next_call(at(60)),
        None,
        "the job waits for the near upstream"
    );
    planner.end_call(at(90), near_call.key, success(near_call));
    assert_eq!(
        planner.next_call(at(90)).expect("a call").upstream.as_str(),
        "u1"
    );
    planner.cancel(busy);
    near.pop();
    let without_slack = NewJob {
        preferred_domain: Some("near".into()),
        in_time_until: at(500),
        ..job("y", 2)
    };
    push(&mut planner, at(95), without_slack);
    assert_eq!(
        planner.next_call(at(95)).expect("a call").upstream.as_str(),
        "u0"
    );
}
