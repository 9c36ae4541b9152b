//! What goes into which call, who waits, who is refused.

use std::time::Duration;

use tc_policy::{BatchCall, JobKey, NewJob};
use tc_protocol::routing::StageRefusal;

use crate::common::{at, handle, job, made, names, planner, push, upstreams};

#[test]
fn pieces_of_many_requests_share_a_call() {
    let mut planner = planner(&["a"]);
    let keys = ["x", "y", "z"].map(|name| push(&mut planner, at(0), job(name, 2)));
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(call.pieces.len(), 6);
    assert_eq!(
        planner.next_call(at(0)),
        None,
        "its upstream takes one call at a time"
    );
    let settled = planner.end_call(at(280), call.key, made(&call));
    let done: Vec<JobKey> = settled.finished.iter().map(|f| f.job).collect();
    assert_eq!(done, keys);
    let first = settled.finished[0].result.as_ref().expect("made");
    assert_eq!(
        first[1],
        handle("u0-x-1"),
        "results come in the order of the pieces"
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

/// Symptom: in a burst every fourth request waits for a second call of a stage, a third of a second more. Sequence: jobs of
/// five and six pieces share calls of fourteen places. Cause: calls are filled to the last place, whatever is split by it.
#[test]
fn jobs_are_not_split_between_calls_to_fill_them() {
    let mut planner = planner(&["a", "a"]);
    for (name, pieces) in [("x", 6), ("y", 6), ("z", 6), ("small", 2)] {
        push(&mut planner, at(0), job(name, pieces));
    }
    let first = planner.next_call(at(0)).expect("a call");
    let second = planner.next_call(at(0)).expect("a call");
    assert_eq!(first.pieces.len(), 14, "`small` fits where `z` does not");
    assert!(names(&first).iter().all(|name| !name.starts_with('z')));
    assert_eq!(second.pieces.len(), 6);
}

/// Symptom: the stage before a stage makes half of what it could, and its upstreams refuse pieces for want of room.
/// Sequence: results of 1.5 MB are made faster than they are read. Cause: calls planned without the room that results
/// take until they are given up.
#[test]
fn pieces_wait_for_room_until_results_are_given_up() {
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
    planner.end_call(at(300), first.key, made(&first));
    let second = planner
        .next_call(at(300))
        .expect("room for six more results of 1.5 MB");
    assert_eq!(second.pieces.len(), 6, "30.4 of 32 MB are planned with");
    planner.end_call(at(600), second.key, made(&second));
    assert_eq!(planner.next_call(at(600)), None, "there is no room left");
    for piece in 0..7 {
        planner.freed(&handle(&format!("u0-x-{piece}")));
    }
    let third = planner.next_call(at(610)).expect("room again");
    assert_eq!(names(&third), ["z/6"], "the piece that found no room");
}

#[test]
fn results_that_lapsed_take_no_room() {
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
    planner.end_call(at(300), first.key, made(&first));
    let second = planner.next_call(at(300)).expect("a call");
    planner.end_call(at(600), second.key, made(&second));
    assert_eq!(planner.next_call(at(600)), None);
    let later = planner
        .next_call(at(4_700))
        .expect("the first results lapsed after four seconds");
    assert!(!later.pieces.is_empty());
}

/// Symptom: many requests hold some results each, and none gets all of its own. Sequence: large stages of a burst are
/// made piece by piece in order of their aims. Cause: a started job has no precedence over the next one.
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
    planner.end_call(at(300), first.key, made(&first));
    let second = planner.next_call(at(300)).expect("a call");
    assert!(
        names(&second)[..6]
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
            rank: 2,
            ..job("later", 14)
        },
    );
    push(
        &mut planner,
        at(0),
        NewJob {
            rank: 0,
            ..job("first", 14)
        },
    );
    let call = planner.next_call(at(0)).expect("a call");
    assert!(names(&call).iter().all(|name| name.starts_with("first/")));
}

/// Symptom: in a burst of 1.6 times what the upstreams can make, nearly all answers come just after their aim.
/// Sequence: jobs are made in order of their aims; each is made at the last moment. Cause: jobs that are bound to be
/// late share the queue with those that could be in time.
///
/// The pattern is a burst of six seconds on five upstreams. The bound is what full calls allow of it (calls of 368 ms
/// for 14 pieces on 5 upstreams make 190 pieces a second, 95 jobs of two) less a fifth for calls that are not full.
#[test]
fn a_burst_beyond_capacity_keeps_most_of_the_capacity_in_time() {
    let (in_time, offered) = burst(150, 6_000);
    let capacity = 95 * 6;
    assert!(offered > capacity, "{offered} jobs");
    assert!(
        in_time * 10 >= capacity * 8,
        "{in_time} of {offered} jobs in time, {capacity} possible"
    );
}

/// Runs a burst of jobs of two pieces; how many were in time, and how many came.
fn burst(jobs_per_s: u64, length_ms: u64) -> (u64, u64) {
    let mut planner = planner(&["a", "a", "b", "c", "d"]);
    let mut running: Vec<(u64, BatchCall)> = Vec::new();
    let mut due = std::collections::HashMap::new();
    let (mut offered, mut in_time) = (0, 0);
    for now in 0..length_ms + 4_000 {
        let ended = running.iter().position(|(ends, _)| *ends == now);
        if let Some(i) = ended {
            let (_, call) = running.swap_remove(i);
            let settled = planner.end_call(at(now), call.key, made(&call));
            for finished in settled.finished {
                let Ok(results) = finished.result else {
                    continue;
                };
                in_time += u64::from(due[&finished.job] >= now);
                for result in results {
                    planner.freed(&result);
                }
            }
        }
        if now < length_ms && (now * jobs_per_s) % 1_000 < jobs_per_s {
            offered += 1;
            let new = NewJob {
                in_time_until: at(now + 750),
                deadline: at(now + 3_500),
                ..job(&format!("r{now}"), 2)
            };
            if let Ok(key) = planner.push(at(now), new) {
                due.insert(key, now + 750);
            }
        }
        planner.expire(at(now));
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

/// Symptom: requests are held for seconds and then refused. Sequence: more comes than can be made. Cause: a job that
/// cannot be done before its caller leaves is taken into the queue.
#[test]
fn a_job_without_a_chance_is_refused_at_once() {
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
    // It tells when the queue is worked off, whatever the refused job itself would have had to wait.
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

/// Symptom: answers are late though most upstreams are fast. Sequence: one of the upstreams turns five times slower;
/// it is idle when a job comes. Cause: a free upstream gets work whatever its speed.
#[test]
fn a_slow_upstream_is_left_idle_while_faster_ones_are_done_sooner() {
    let mut planner = planner(&["a", "a"]);
    let mut now = 0;
    for round in 0..12 {
        push(
            &mut planner,
            at(now),
            NewJob {
                in_time_until: at(now + 900),
                deadline: at(now + 9_000),
                ..job(&format!("r{round}"), 14)
            },
        );
        push(
            &mut planner,
            at(now),
            NewJob {
                in_time_until: at(now + 900),
                deadline: at(now + 9_000),
                ..job(&format!("s{round}"), 14)
            },
        );
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
            planner.end_call(at(now + takes), call.key, made(&call));
        }
        now += 2_000;
    }
    push(
        &mut planner,
        at(now),
        NewJob {
            in_time_until: at(now + 900),
            deadline: at(now + 9_000),
            ..job("x", 2)
        },
    );
    let call = planner.next_call(at(now)).expect("a call");
    assert_eq!(call.upstream.as_str(), "u1");
    push(
        &mut planner,
        at(now),
        NewJob {
            in_time_until: at(now + 900),
            deadline: at(now + 9_000),
            ..job("y", 2)
        },
    );
    assert_eq!(
        planner.next_call(at(now)),
        None,
        "the slow one would be later than a second call of the fast one"
    );
}

/// Symptom: bytes between failure domains cost as much as late answers. Sequence: a stage's ten pieces each read all
/// results of the stage before. Cause: any free upstream gets them, wherever the results lie.
#[test]
fn a_job_with_time_to_spare_waits_for_the_domain_of_its_inputs() {
    let mut planner = planner(&["far"]);
    let mut near = upstreams(&["far", "near"]);
    planner.set_upstreams(&near);
    let busy = push(&mut planner, at(0), job("busy", 28));
    let calls = [planner.next_call(at(0)), planner.next_call(at(0))].map(|c| c.expect("a call"));
    let with_time = NewJob {
        prefer: Some("near".into()),
        in_time_until: at(1_500),
        ..job("x", 2)
    };
    push(&mut planner, at(10), with_time);
    let (far, near_call) = if calls[0].upstream.as_str() == "u0" {
        (&calls[0], &calls[1])
    } else {
        (&calls[1], &calls[0])
    };
    planner.end_call(at(60), far.key, made(far));
    assert_eq!(planner.next_call(at(60)), None, "it waits for the near one");
    planner.end_call(at(90), near_call.key, made(near_call));
    assert_eq!(
        planner.next_call(at(90)).expect("a call").upstream.as_str(),
        "u1"
    );
    planner.cancel(busy);
    near.pop();
    let without_time = NewJob {
        prefer: Some("near".into()),
        in_time_until: at(500),
        ..job("y", 2)
    };
    push(&mut planner, at(95), without_time);
    assert_eq!(
        planner.next_call(at(95)).expect("a call").upstream.as_str(),
        "u0"
    );
}
