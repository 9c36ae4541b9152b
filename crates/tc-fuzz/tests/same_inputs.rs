//! Tests that the inputs are the same in every run.

use bolero::generator::produce;

/// Guards against CI that fails on a clone and passes on the next run of the same commit: with inputs from the
/// operating system's entropy, to which the seed variable added only one input, two runs with the same seed had
/// different inputs.
#[test]
fn two_runs_have_the_same_inputs() {
    let run = || {
        let mut inputs = Vec::new();
        tc_fuzz::check(100, produce::<Vec<u8>>(), |value| {
            inputs.push(value.clone());
        });
        inputs
    };
    let first = run();
    assert_eq!(first.len(), 100);
    assert_eq!(first, run());
    assert!(first.iter().any(|value| *value != first[0]));
}

#[test]
fn a_failing_input_ends_the_test() {
    let failed = std::panic::catch_unwind(|| {
        tc_fuzz::check(10, produce::<u8>(), |_| panic!("expected failure"));
    });
    assert!(failed.is_err());
}
