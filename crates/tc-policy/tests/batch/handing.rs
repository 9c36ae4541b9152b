//! What a home tells of itself, and how it hands its work on.

use std::time::Duration;

use tc_policy::{NewJob, PiecesByDue};
use tc_protocol::{ServiceName, routing::StageRefusal};

use crate::common::{at, job, made, planner, push};

/// Symptom: for seconds after an instance restarts, calls of a service take twice their time. Sequence: the service's home
/// moves; the old one has a backlog; both send calls to the same upstreams. Cause: the old home keeps what it has not begun.
#[test]
fn a_home_that_is_no_longer_one_sends_on_what_it_has_not_begun() {
    let mut planner = planner(&["a"]);
    let begun = push(&mut planner, at(0), job("begun", 14));
    let waits = push(&mut planner, at(0), job("waits", 14));
    let call = planner.next_call(at(0)).expect("a call");
    let settled = planner.hand_over();
    let moved: Vec<_> = settled
        .finished
        .iter()
        .map(|finished| (finished.job, finished.result.clone()))
        .collect();
    assert_eq!(moved, [(waits, Err(StageRefusal::Moved))]);
    let settled = planner.end_call(at(380), call.key, made(&call));
    assert_eq!(settled.finished[0].job, begun, "what was begun is finished");
    assert_eq!(planner.next_call(at(380)), None);
}

/// A home tells what waits, by when it is due, and what will come to the services behind it.
#[test]
fn a_home_tells_how_it_stands() {
    let mut planner = planner(&["a"]);
    let following = vec![("behind".into(), 4)];
    for (name, due) in [("soon", 400), ("later", 900)] {
        let new = NewJob {
            in_time_until: at(due),
            following: following.clone(),
            ..job(name, 3)
        };
        push(&mut planner, at(0), new);
    }
    let late = NewJob {
        in_time_until: at(0),
        following,
        ..job("late", 2)
    };
    push(&mut planner, at(0), late);
    let outlook = planner.outlook(at(0));
    assert_eq!(outlook.waiting, 8);
    assert_eq!(outlook.in_time.all(), 6, "what is late waits apart");
    let soon = outlook.in_time.due_before(Duration::from_millis(500));
    assert!((soon - 3.0).abs() < 1e-9, "{soon}");
    let coming = &outlook.coming[&ServiceName::from("behind")];
    assert_eq!((coming.in_time.all(), coming.all), (8, 12));
    let sent = PiecesByDue::from_counts(outlook.in_time.counts());
    assert_eq!(sent, outlook.in_time);
}
