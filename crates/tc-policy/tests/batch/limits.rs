//! Rate limits and backoffs announced by upstreams of batch services.

use std::time::Duration;

use tc_policy::{BatchPlanner, CallEnd};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{RateLimit, StageRefusal},
};

use crate::common::{at, job, planner, push, success};

const STEP_MS: u64 = 20;

/// Keeps the planner supplied with jobs for `ms`; returns the time and upstream of each call.
fn run(planner: &mut BatchPlanner, ms: u64) -> Vec<(MonoTime, UpstreamId)> {
    let mut calls_made = Vec::new();
    let mut running = Vec::new();
    for step in 0..ms / STEP_MS {
        let now = at(step * STEP_MS);
        running.retain(|(ends, call): &(MonoTime, tc_policy::BatchCall)| {
            if *ends <= now {
                planner.end_call(now, call.key, success(call));
            }
            *ends > now
        });
        planner.refuse_late_jobs(now);
        if planner.backlog().1 < 40 {
            let mut new = job(&format!("r{step}"), 6);
            new.in_time_until = now.after(Duration::from_secs(3));
            new.deadline = now.after(Duration::from_secs(4));
            // Jobs beyond capacity are refused.
            let _ = planner.push(now, new);
        }
        while let Some(call) = planner.next_call(now) {
            calls_made.push((now, call.upstream.clone()));
            running.push((now.after(Duration::from_millis(300)), call));
        }
    }
    calls_made
}

fn limit_first_upstream(planner: &mut BatchPlanner, per_s: f64) {
    let limit = RateLimit::new(per_s);
    planner.set_limits(at(0), |id| limit.filter(|_| id.as_str() == "u0"));
}

/// Guards against scheduling that considers only whether an upstream is free.
#[test]
fn rate_limited_upstream_gets_calls_at_its_rate() {
    let mut planner = planner(&["a", "a"]);
    limit_first_upstream(&mut planner, 1.0);
    let calls_made = run(&mut planner, 20_000);
    let calls_to = |name: &str| {
        calls_made
            .iter()
            .filter(|(_, id)| id.as_str() == name)
            .count()
    };
    assert!(
        (18..=21).contains(&calls_to("u0")),
        "{} calls in 20 s",
        calls_to("u0")
    );
    assert!(
        calls_to("u1") > 50,
        "the other upstream keeps working: {}",
        calls_to("u1")
    );
}

/// Guards against queueing jobs in vain for an upstream that is limited to one call in two seconds.
#[test]
fn jobs_beyond_the_limit_are_refused_at_once() {
    let accepts_two_jobs = |per_s: Option<f64>| {
        let mut planner = planner(&["a"]);
        if let Some(per_s) = per_s {
            limit_first_upstream(&mut planner, per_s);
        }
        push(&mut planner, at(0), job("r1", 14));
        planner.push(at(0), job("r2", 14)).is_ok()
    };
    assert!(accepts_two_jobs(None));
    assert!(!accepts_two_jobs(Some(0.5)));
}

/// Guards against a home that stays asleep when the limit allows the next call.
#[test]
fn planner_wakes_when_the_limit_allows_a_call() {
    let mut planner = planner(&["a"]);
    limit_first_upstream(&mut planner, 2.0);
    push(&mut planner, at(0), job("r", 1));
    assert!(planner.next_call(at(0)).is_none());
    let wake = planner.next_wake(at(0)).expect("a wake-up time");
    assert!(wake <= at(500));
    assert!(planner.next_call(at(500)).is_some());
}

/// Guards against calls to an upstream during a backoff that it requested.
#[test]
fn upstream_gets_no_call_during_backoff() {
    let mut planner = planner(&["a"]);
    push(&mut planner, at(0), job("r", 1));
    let call = planner.next_call(at(0)).expect("the upstream is free");
    let backoff = CallEnd::RefusedWithBackoff(Duration::from_secs(2));
    planner.end_call(at(10), call.key, backoff);
    assert!(planner.next_call(at(1_900)).is_none());
    let wake = planner.next_wake(at(1_900)).expect("a wake-up time");
    assert!(wake <= at(2_010));
    assert!(planner.next_call(at(2_010)).is_some());
}

/// Guards against queueing jobs that cannot run before their deadline because all upstreams are in backoff.
#[test]
fn jobs_are_refused_when_all_backoffs_exceed_their_deadline() {
    let mut planner = planner(&["a", "a"]);
    let mut calls = Vec::new();
    for name in ["r0", "r1"] {
        push(&mut planner, at(0), job(name, 14));
        calls.extend(planner.next_call(at(0)));
    }
    assert_eq!(calls.len(), 2);
    for call in calls {
        let backoff = CallEnd::RefusedWithBackoff(Duration::from_secs(30));
        planner.end_call(at(10), call.key, backoff);
    }
    let refused = planner.push(at(20), job("r2", 1));
    let Err(StageRefusal::Overloaded { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(retry_after >= Duration::from_secs(29), "{retry_after:?}");
}
