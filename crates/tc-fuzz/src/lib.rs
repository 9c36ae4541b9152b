//! Fuzzed tests whose inputs are the same in every run.
//!
//! The fuzzing library draws its inputs from the operating system's entropy; its seed variable only adds one input
//! before them. A check in CI would then fail in one run and pass in the next with nobody having changed a thing. Here
//! the inputs follow from a fixed seed and a fixed count, whatever the machine's load.
//!
//! | variable | effect |
//! |---|---|
//! | `TC_FUZZ_SEED` | other inputs: the seed from which each input's own is drawn |
//! | `TC_FUZZ_TIMES` | so many times as many inputs |
//! | `TC_FUZZ_ONLY` | only the input of this seed, as a failure names it |
//! | `TC_FUZZ_REPORT` | a file that gets a line for each test: its name, how many inputs, and their digest |

mod report;
mod seeds;

use std::{
    fmt::Debug,
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
};

use bolero::generator::bolero_generator::{
    ValueGenerator,
    driver::{Options, Rng},
};
use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};

use report::Report;
use seeds::Seeds;

/// Plays `inputs` values of a generator to a test. A failure prints the value and its seed and goes on unwinding.
///
/// ```
/// use bolero::generator::produce;
/// let mut played = 0;
/// tc_fuzz::check(10, produce::<(bool, u8)>(), |_| played += 1);
/// assert_eq!(played, 10);
/// ```
pub fn check<G>(inputs: usize, generator: G, test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let seeds = Seeds::from_env(inputs);
    check_seeds(seeds, generator, test);
}

/// Plays the inputs of given seeds, for cases that failed once.
///
/// ```
/// use bolero::generator::produce;
/// let mut seen = Vec::new();
/// tc_fuzz::replay(&[7, 7], produce::<u64>(), |value| seen.push(*value));
/// assert_eq!(seen[0], seen[1]);
/// ```
pub fn replay<G>(seeds: &[u128], generator: G, test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    check_seeds(seeds.iter().copied(), generator, test);
}

fn check_seeds<G>(
    seeds: impl IntoIterator<Item = u128>,
    generator: G,
    mut test: impl FnMut(&G::Output),
) where
    G: ValueGenerator,
    G::Output: Debug,
{
    let mut report = Report::from_env();
    for seed in seeds {
        let Some(value) = value_of(seed, &generator) else {
            continue;
        };
        report.note(&value);
        let played = catch_unwind(AssertUnwindSafe(|| test(&value)));
        if let Err(panic) = played {
            eprintln!("failed; again with TC_FUZZ_ONLY={seed}\ninput: {value:#?}");
            resume_unwind(panic);
        }
    }
    report.write();
}

/// The value that the fuzzing library itself would generate from this seed.
fn value_of<G: ValueGenerator>(seed: u128, generator: &G) -> Option<G::Output> {
    let rng = Xoroshiro128PlusPlus::from_seed(seed.to_le_bytes());
    let mut driver = Rng::new(rng, &Options::default());
    generator.generate(&mut driver)
}
