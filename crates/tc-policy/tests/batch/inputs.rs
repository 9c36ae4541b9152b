//! Early release of inputs once the pieces that read them have fetched them.

use std::time::Duration;

use tc_policy::{BatchCall, BatchPlanner, CallEnd, NewJob};
use tc_protocol::routing::{PieceFailure, PieceInput, ResultHandle, StageRefusal};

use crate::common::{at, handle, job, push, retry_budget, spec, success, upstreams};

/// A stage that is the last reader of four results of 60 KB.
fn reader(name: &str, pieces: u32) -> NewJob {
    NewJob {
        input: PieceInput::Results(inputs().into()),
        held_bytes: 240_000,
        is_last_reader: true,
        ..job(name, pieces)
    }
}

fn inputs() -> Vec<ResultHandle> {
    ["a", "b", "c", "d"].map(handle).to_vec()
}

/// Guards against calls of a stage that stay half empty in a burst although a hundred of its pieces wait, so that the
/// burst is refused. Results of 60 KB fill the 2.1 MB of their upstreams when each is held from the start of its own
/// call to the end of the reader's call, a second in all. Inputs were released only when the reading stage was done, a
/// third of a second after they were fetched.
#[test]
fn inputs_are_released_during_the_call_that_reads_them() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("x", 6));
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(
        planner.take_read_inputs(at(10)),
        [],
        "the inputs may still be in transit"
    );
    let wake = planner.next_wake(at(0)).expect("a wake-up time");
    assert!(wake > at(10) && wake < at(100), "{wake:?}");
    assert_eq!(planner.take_read_inputs(wake), inputs());
    assert_eq!(planner.take_read_inputs(at(200)), [], "returned only once");
    let effects = planner.end_call(at(270), call.key, success(&call));
    assert_eq!(effects.released_inputs, [], "not released again at the end");
    assert!(effects.finished[0].result.is_ok());
}

#[test]
fn inputs_are_released_at_the_end_of_a_short_call() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    let effects = planner.end_call(at(5), call.key, success(&call));
    assert_eq!(effects.released_inputs, inputs());
}

#[test]
fn inputs_are_held_for_waiting_pieces() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("long", 20));
    planner.next_call(at(0)).expect("a call of fourteen pieces");
    assert_eq!(
        planner.take_read_inputs(at(200)),
        [],
        "six pieces still wait"
    );
}

#[test]
fn inputs_are_held_for_other_readers() {
    let mut planner = planner();
    let shared = NewJob {
        is_last_reader: false,
        ..reader("shared", 2)
    };
    push(&mut planner, at(0), shared);
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(planner.take_read_inputs(at(200)), []);
    let effects = planner.end_call(at(230), call.key, success(&call));
    assert_eq!(
        effects.released_inputs,
        [],
        "the request itself releases them"
    );
}

fn planner() -> BatchPlanner {
    crate::common::planner(&["a"])
}

/// Guards against a request that hangs on a stage that can never be made: a piece fails after its inputs were released,
/// waits for another call, and that call's upstream does not find the inputs.
#[test]
fn a_piece_that_fails_after_input_release_refuses_the_job() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(planner.take_read_inputs(at(150)).len(), 4);
    let end = CallEnd::Answered(vec![Ok(handle("1")), Err(PieceFailure::Failed)]);
    let effects = planner.end_call(at(230), call.key, end);
    assert_eq!(effects.finished[0].result, Err(StageRefusal::InputGone));
    assert_eq!(effects.discarded_results, [handle("1")]);
}

#[test]
fn a_piece_that_fails_before_input_release_is_retried() {
    let mut planner = BatchPlanner::new(spec(), retry_budget(20.0));
    planner.set_upstreams(&upstreams(&["a", "a"]));
    push(&mut planner, at(0), reader("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(10), call.key, CallEnd::Failed);
    assert_eq!(
        planner.take_read_inputs(at(11)),
        [],
        "the inputs are read again"
    );
    let again = planner.next_call(at(12)).expect("a call");
    assert_eq!(planner.take_read_inputs(at(20)), []);
    assert_eq!(planner.take_read_inputs(at(120)), inputs());
    planner.end_call(at(250), again.key, success(&again));
}

/// Runs one job of one piece in a call of 240 ms; returns after how many milliseconds its inputs were released, if
/// before the end of the call.
fn hold_time_ms(
    planner: &mut BatchPlanner,
    round: u64,
    end: &dyn Fn(&BatchCall) -> CallEnd,
) -> Option<u64> {
    let now = at(round * 1_000);
    let new = NewJob {
        in_time_until: now.after(Duration::from_secs(1)),
        deadline: now.after(Duration::from_secs(4)),
        ..reader(&format!("r{round}"), 1)
    };
    push(planner, now, new);
    let call = planner.next_call(now).expect("a call");
    let released_after = (0..240).find(|ms| {
        let now = now.after(Duration::from_millis(*ms));
        !planner.take_read_inputs(now).is_empty()
    });
    planner.end_call(now.after(Duration::from_millis(240)), call.key, end(&call));
    released_after
}

fn input_gone(_: &BatchCall) -> CallEnd {
    CallEnd::Answered(vec![Err(PieceFailure::InputGone)])
}

/// Guards against stages that are repeatedly made again. Upstreams fetch inputs later than expected because calls from
/// another home go first, and the inputs are gone by then. The hold time must adapt to this.
#[test]
fn hold_time_grows_after_missing_inputs() {
    let mut planner = planner();
    let hold_time: Vec<u64> = (0..3)
        .map(|round| {
            hold_time_ms(&mut planner, round, &input_gone).expect("released during the call")
        })
        .collect();
    assert!(
        hold_time.is_sorted_by(|a, b| a * 3 / 2 < *b),
        "{hold_time:?}"
    );
}

/// Guards against late answers and half-empty calls twenty seconds after a restart of all instances. In the first
/// seconds, upstreams run calls of the previous processes and many inputs are gone. The hold time grew with each of
/// them and did not shrink again.
#[test]
fn hold_time_shrinks_after_a_brief_overload() {
    let mut planner = planner();
    for round in 0..40 {
        hold_time_ms(&mut planner, round, &input_gone);
    }
    assert_eq!(
        hold_time_ms(&mut planner, 40, &success),
        None,
        "held until the end of the call"
    );
    for round in 41..400 {
        hold_time_ms(&mut planner, round, &success);
    }
    let hold_time = hold_time_ms(&mut planner, 400, &success).expect("released during the call");
    assert!(hold_time < 60, "{hold_time} ms");
}
