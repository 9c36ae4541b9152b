//! Load reports of a home, and handover of its queue to another home.

use std::time::Duration;

use tc_policy::{DueHistogram, NewJob};
use tc_protocol::{ServiceName, routing::StageRefusal};

use crate::common::{at, job, planner, push, success};

/// Guards against calls that take twice their time for seconds after an instance restarts. The home of the service
/// moves while the old home has a backlog; if the old home keeps its unstarted jobs, both send calls to the same
/// upstreams.
#[test]
fn hand_over_refuses_unstarted_jobs() {
    let mut planner = planner(&["a"]);
    let started = push(&mut planner, at(0), job("begun", 14));
    let waiting = push(&mut planner, at(0), job("waits", 14));
    let call = planner.next_call(at(0)).expect("a call");
    let effects = planner.hand_over();
    let moved: Vec<_> = effects
        .finished
        .iter()
        .map(|finished| (finished.job, finished.result.clone()))
        .collect();
    assert_eq!(moved, [(waiting, Err(StageRefusal::Moved))]);
    let effects = planner.end_call(at(380), call.key, success(&call));
    assert_eq!(
        effects.finished[0].job, started,
        "started jobs are finished"
    );
    assert_eq!(planner.next_call(at(380)), None);
}

/// The outlook contains the waiting pieces by due time and the pieces that will follow at other services.
#[test]
fn outlook_reports_waiting_and_dependent_pieces() {
    let mut planner = planner(&["a"]);
    let dependent_pieces = vec![("behind".into(), 4)];
    for (name, due) in [("soon", 400), ("later", 900)] {
        let new = NewJob {
            in_time_until: at(due),
            dependent_pieces: dependent_pieces.clone(),
            ..job(name, 3)
        };
        push(&mut planner, at(0), new);
    }
    let late = NewJob {
        in_time_until: at(0),
        dependent_pieces,
        ..job("late", 2)
    };
    push(&mut planner, at(0), late);
    let outlook = planner.outlook(at(0));
    assert_eq!(outlook.waiting, 8);
    assert_eq!(
        outlook.in_time.total(),
        6,
        "late jobs are not counted as on time"
    );
    let soon = outlook.in_time.due_before(Duration::from_millis(500));
    assert!((soon - 3.0).abs() < 1e-9, "{soon}");
    let reported = &outlook.dependent_pieces[&ServiceName::from("behind")];
    assert_eq!((reported.in_time.total(), reported.total), (8, 12));
    let sent = DueHistogram::from_counts(outlook.in_time.counts());
    assert_eq!(sent, outlook.in_time);
}

/// The load tells waiting work that can be on time from work that cannot, and counts calls and result memory.
#[test]
fn load_reports_queue_calls_and_result_memory() {
    let mut planner = planner(&["a", "b"]);
    push(&mut planner, at(0), job("running", 14));
    let call = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(380), call.key, success(&call));
    push(&mut planner, at(380), job("next", 2));
    let late = NewJob {
        in_time_until: at(380),
        ..job("late", 3)
    };
    push(&mut planner, at(380), late);
    let load = planner.load(at(380));
    assert_eq!((load.on_time_pieces, load.late_pieces), (2, 3));
    assert_eq!((load.calls, load.free_upstreams, load.upstreams), (0, 2, 2));
    assert_eq!(load.result_bytes, 14 * job("running", 14).result_bytes);
    planner.next_call(at(380)).expect("a call");
    let load = planner.load(at(380));
    assert_eq!((load.calls, load.free_upstreams), (1, 1));
}
