//! Estimated times to the first event for prompts of different lengths.

use std::time::Duration;

use bolero::generator::produce;
use tc_policy::PromptTimes;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against late answers to the longest tenth of the prompts and refusals of short ones that could meet their
/// deadline, because the stages before them use one engine time for all: prompts of 800 tokens are answered after 30
/// ms, those of 12,000 after 250 ms.
///
/// The mix has nine short prompts per long one; the tolerance is a fifth of the true time.
#[test]
fn mixed_prompt_lengths_get_separate_estimates() {
    let mut times = PromptTimes::default();
    for number in 0..200_u64 {
        let (tokens, took) = if number % 10 == 0 {
            (12_000, 250)
        } else {
            (800, 30)
        };
        times.record(tokens, ms(took + number % 7));
    }
    let near =
        |expected: Duration, ms: f64| (expected.as_secs_f64() * 1_000.0 / ms - 1.0).abs() < 0.2;
    assert!(near(times.estimate(800), 33.0), "{:?}", times.estimate(800));
    assert!(near(times.estimate(12_000), 253.0));
    assert!(near(times.estimate(40_000), 803.0));
}

#[test]
fn default_estimate_applies_before_measurements() {
    let mut times = PromptTimes::default();
    assert_eq!(times.estimate(0), times.estimate(50_000));
    for _ in 0..20 {
        times.record(500, ms(40));
    }
    // A single length does not determine how the time depends on the length.
    assert_eq!(times.estimate(50_000).as_millis(), 40);
}

#[test]
fn slowdown_is_noticed_within_hundreds_of_requests() {
    let mut times = PromptTimes::default();
    for _ in 0..1_000 {
        times.record(1_000, ms(50));
    }
    for _ in 0..200 {
        times.record(1_000, ms(100));
    }
    assert!(times.estimate(1_000) > ms(85));
}

#[test]
fn estimate_never_decreases_with_length() {
    let input = produce::<Vec<(u16, u16)>>();
    tc_fuzz::check(2_000, input, |measured: &Vec<(u16, u16)>| {
        let mut times = PromptTimes::default();
        for (tokens, took) in measured {
            times.record(u32::from(*tokens), ms(u64::from(*took)));
        }
        let expected = [0, 1_000, 100_000, u32::MAX].map(|tokens| times.estimate(tokens));
        assert!(expected.is_sorted(), "{expected:?}");
    });
}
