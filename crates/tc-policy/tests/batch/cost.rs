//! Processor time of a home, compared between sizes in one run so that the machine does not matter.

use std::time::{Duration, Instant};

use tc_policy::{BatchPlanner, BatchUpstream};

use crate::common::{at, job, push, retry_budget, spec};

const WAITING_JOBS: usize = 1_500;
const MEASURED_REQUESTS: usize = 5;
const ROUNDS: usize = 7;

/// Creates a home with jobs waiting behind one full call at each upstream.
fn busy_home(upstreams: usize) -> BatchPlanner {
    let mut planner = BatchPlanner::new(spec(), retry_budget(20.0));
    let registered: Vec<BatchUpstream> = (0..upstreams)
        .map(|i| BatchUpstream {
            id: format!("u{i}").into(),
            domain: "a".into(),
        })
        .collect();
    planner.set_upstreams(&registered);
    let full_call = spec().max_pieces as u32;
    for number in 0..upstreams {
        push(
            &mut planner,
            at(0),
            job(&format!("running-{number}"), full_call),
        );
        planner.next_call(at(0)).expect("an upstream is free");
    }
    for number in 0..WAITING_JOBS {
        push(
            &mut planner,
            at(0),
            waiting_job(&format!("waiting-{number}")),
        );
    }
    planner
}

/// A job that can still be on time behind all others, so that the home orders it among them.
fn waiting_job(name: &str) -> tc_policy::NewJob {
    let mut new = job(name, 2);
    new.in_time_until = at(600_000);
    new.deadline = at(600_000);
    new
}

/// Returns the time that the home takes for a request, without the influence of other processes.
fn request_time(planner: &mut BatchPlanner) -> Duration {
    let round = |planner: &mut BatchPlanner| {
        let started = Instant::now();
        for _ in 0..MEASURED_REQUESTS {
            let key = push(planner, at(1), waiting_job("new"));
            assert!(planner.next_call(at(1)).is_none(), "every upstream is busy");
            planner.cancel(key);
        }
        started.elapsed()
    };
    let rounds = (0..ROUNDS).map(|_| round(planner));
    rounds.min().expect("a round")
}

/// Guards against a home whose work for a request is the product of waiting jobs and upstreams: it runs out of processor
/// time in a burst, and every stage of its service is late until the burst is long over.
#[test]
fn work_for_a_request_does_not_multiply_waiting_jobs_by_upstreams() {
    let few = request_time(&mut busy_home(10));
    let many = request_time(&mut busy_home(150));
    assert!(
        many < few * 3,
        "{many:?} with 150 upstreams, {few:?} with 10"
    );
}
