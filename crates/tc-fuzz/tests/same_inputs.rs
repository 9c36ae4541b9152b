//! Inputs are the same in every run.

use bolero::generator::produce;

/// Symptom: CI fails on a clone and passes on the next run of the same commit.
/// Sequence: the same test is run twice with the same seed variable.
/// Cause: the inputs came from the operating system's entropy; the variable added one input only.
#[test]
fn two_runs_play_the_same_inputs() {
    let run = || {
        let mut played = Vec::new();
        tc_fuzz::check(100, produce::<Vec<u8>>(), |value| {
            played.push(value.clone());
        });
        played
    };
    let first = run();
    assert_eq!(first.len(), 100);
    assert_eq!(first, run());
    assert!(first.iter().any(|value| *value != first[0]));
}

#[test]
fn a_failing_input_ends_the_test() {
    let failed = std::panic::catch_unwind(|| {
        tc_fuzz::check(10, produce::<u8>(), |_| panic!("as it should"));
    });
    assert!(failed.is_err());
}
