//! Inputs are given up as soon as the pieces that read them have them.

use std::time::Duration;

use tc_policy::{BatchCall, BatchPlanner, CallEnd, NewJob};
use tc_protocol::routing::{PieceFailure, PieceInput, ResultHandle, StageRefusal};

use crate::common::{at, handle, job, made, push, repeats, spec, upstreams};

/// A stage of so many pieces that reads four results of 60 KB and is the last to do so.
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

/// Symptom: in a burst the calls of a stage stay half empty though a hundred of its pieces wait, and the burst is refused.
/// Sequence: its results of 60 KB fill its upstreams' room of 2.1 MB; each is kept from the start of its own call to the
/// end of the reader's call, a second in all.
/// Cause: inputs were given up only when the stage that reads them was done, a third of a second after they were fetched.
#[test]
fn inputs_are_given_up_while_the_call_that_read_them_goes_on() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("x", 6));
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(planner.inputs_read(at(10)), [], "they may be on their way");
    let wake = planner.next_wake(at(0)).expect("something comes");
    assert!(wake > at(10) && wake < at(100), "{wake:?}");
    assert_eq!(planner.inputs_read(wake), inputs());
    assert_eq!(planner.inputs_read(at(200)), [], "told once");
    let settled = planner.end_call(at(270), call.key, made(&call));
    assert_eq!(settled.read, [], "nor again at the end");
    assert!(settled.finished[0].result.is_ok());
}

#[test]
fn a_call_that_ends_before_that_gives_them_up_at_its_end() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    let settled = planner.end_call(at(5), call.key, made(&call));
    assert_eq!(settled.read, inputs());
}

#[test]
fn inputs_are_kept_for_pieces_that_wait() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("long", 20));
    planner.next_call(at(0)).expect("a call of fourteen");
    assert_eq!(planner.inputs_read(at(200)), [], "six still wait");
}

#[test]
fn inputs_are_kept_for_other_readers() {
    let mut planner = planner();
    let shared = NewJob {
        is_last_reader: false,
        ..reader("shared", 2)
    };
    push(&mut planner, at(0), shared);
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(planner.inputs_read(at(200)), []);
    let settled = planner.end_call(at(230), call.key, made(&call));
    assert_eq!(settled.read, [], "the request itself gives them up");
}

fn planner() -> BatchPlanner {
    crate::common::planner(&["a"])
}

/// Symptom: a request hangs on a stage that can never be made. Sequence: a piece fails after the inputs were given up.
/// Cause: the piece waits for another call, whose upstream finds the inputs gone.
#[test]
fn a_piece_that_fails_after_that_sends_the_request_back_to_the_stages_before() {
    let mut planner = planner();
    push(&mut planner, at(0), reader("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    assert_eq!(planner.inputs_read(at(150)).len(), 4);
    let end = CallEnd::Answered(vec![Ok(handle("1")), Err(PieceFailure::Failed)]);
    let settled = planner.end_call(at(230), call.key, end);
    assert_eq!(settled.finished[0].result, Err(StageRefusal::InputGone));
    assert_eq!(settled.unwanted, [handle("1")]);
}

#[test]
fn a_piece_that_fails_before_that_is_made_again() {
    let mut planner = BatchPlanner::new(spec(), repeats(20.0));
    planner.set_upstreams(&upstreams(&["a", "a"]));
    push(&mut planner, at(0), reader("x", 2));
    let call = planner.next_call(at(0)).expect("a call");
    planner.end_call(at(10), call.key, CallEnd::Failed);
    assert_eq!(planner.inputs_read(at(11)), [], "they are read once more");
    let again = planner.next_call(at(12)).expect("a call");
    assert_eq!(planner.inputs_read(at(20)), []);
    assert_eq!(planner.inputs_read(at(120)), inputs());
    planner.end_call(at(250), again.key, made(&again));
}

/// Plays one job of one piece that ends after 900 ms; for how long its inputs were kept.
fn kept_for(
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
    let given_up = (0..240).find(|ms| {
        let now = now.after(Duration::from_millis(*ms));
        !planner.inputs_read(now).is_empty()
    });
    planner.end_call(now.after(Duration::from_millis(240)), call.key, end(&call));
    given_up
}

fn gone(_: &BatchCall) -> CallEnd {
    CallEnd::Answered(vec![Err(PieceFailure::InputGone)])
}

/// Symptom: stages are made again and again. Sequence: upstreams fetch later than expected, as another home's calls are
/// before ours; the inputs are gone by then. Cause: the time until they are given up does not follow what is seen.
#[test]
fn inputs_that_were_gone_too_early_are_kept_longer_from_then_on() {
    let mut planner = planner();
    let kept: Vec<u64> = (0..3)
        .map(|round| kept_for(&mut planner, round, &gone).expect("given up"))
        .collect();
    assert!(kept.is_sorted_by(|a, b| a * 3 / 2 < *b), "{kept:?}");
}

/// Symptom: twenty seconds after all instances were restarted, half of the answers are still late, and the calls of a stage
/// stay half empty. Sequence: in the first seconds upstreams work on calls of the lives before and find many inputs gone.
/// Cause: the time for which inputs are kept grew with each of them and never came down again.
#[test]
fn after_a_bad_second_inputs_are_given_up_early_again() {
    let mut planner = planner();
    for round in 0..40 {
        kept_for(&mut planner, round, &gone);
    }
    assert_eq!(
        kept_for(&mut planner, 40, &made),
        None,
        "kept to the end of the call"
    );
    for round in 41..400 {
        kept_for(&mut planner, round, &made);
    }
    let kept = kept_for(&mut planner, 400, &made).expect("given up early");
    assert!(kept < 60, "{kept} ms");
}
