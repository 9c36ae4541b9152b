//! Limits on the number of pieces of a stage.

use std::time::Duration;

use tc_policy::{BatchPlanner, MAX_STAGE_PIECES, NewJob};
use tc_protocol::routing::{BatchSpec, StageRefusal};

use crate::common::{at, job, planner, retry_budget, spec, upstreams};

fn with_pieces(pieces: u32) -> NewJob {
    let mut new = job("many", pieces);
    new.deadline = at(2_000);
    new
}

/// Guards against a stage whose state fills the memory of its home, because it is allocated before the stage is checked.
#[test]
fn a_stage_with_more_pieces_than_can_be_made_is_refused() {
    let mut planner = planner(&["z", "z"]);
    // Ten calls of 14 pieces on each of two upstreams fit into two seconds.
    for pieces in [281, 10_000_000, u32::MAX] {
        let pushed = planner.push(at(0), with_pieces(pieces));
        assert_eq!(pushed, Err(StageRefusal::TooManyPieces), "{pieces}");
        let repeated = planner.push_repeat(at(0), with_pieces(pieces));
        assert!(repeated.is_err(), "{pieces}");
        assert_eq!(planner.backlog(), (0, 0));
    }
    planner.push(at(0), with_pieces(280)).expect("a job");
}

/// Guards against a stage without an effective limit in a service whose calls have no fixed time or no end.
#[test]
fn no_stage_has_more_pieces_than_the_limit() {
    let free_calls = BatchSpec {
        call_overhead: Duration::ZERO,
        ..spec()
    };
    let large_batches = BatchSpec {
        max_pieces: usize::MAX,
        slots: u32::MAX,
        ..spec()
    };
    for spec in [free_calls, large_batches] {
        let mut planner = BatchPlanner::new(spec, retry_budget(20.0));
        planner.set_upstreams(&upstreams(&["z"]));
        let refused = planner.push(at(0), with_pieces(MAX_STAGE_PIECES + 1));
        assert_eq!(refused, Err(StageRefusal::TooManyPieces));
        planner.push(at(0), with_pieces(3)).expect("a job");
        assert!(planner.next_call(at(0)).is_some());
    }
}

/// Guards against a stage whose upstreams are all gone for a moment and that is refused for its pieces, with a long wait.
#[test]
fn a_stage_without_upstreams_is_refused_for_want_of_them() {
    let mut planner = planner(&[]);
    let pushed = planner.push(at(0), with_pieces(3));
    assert_eq!(pushed, Err(StageRefusal::NoUpstream));
    assert_eq!(planner.check_pieces(3, Duration::from_secs(2)), Ok(()));
}
