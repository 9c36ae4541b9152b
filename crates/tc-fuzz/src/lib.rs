//! Fuzz tests with the same inputs in every run.
//!
//! The fuzzing library takes its inputs from the operating system's entropy; its seed variable only adds one input
//! before them. A check in CI could then fail in one run and pass in the next without any change. Here the inputs
//! depend only on a fixed seed and a fixed count, not on the machine's load.
//!
//! | variable | effect |
//! |---|---|
//! | `TC_FUZZ_SEED` | seed of the generator of the input seeds, for other inputs |
//! | `TC_FUZZ_TIMES` | factor by which the number of inputs is multiplied |
//! | `TC_FUZZ_ONLY` | run only the input with this seed, which a failing test prints |
//! | `TC_FUZZ_REPORT` | file to which each test appends a line: its name, the number of inputs, and their digest |

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

/// Runs a test with `inputs` values of a generator. On a panic, prints the value and its seed and resumes the panic.
///
/// ```
/// use bolero::generator::produce;
/// let mut runs = 0;
/// tc_fuzz::check(10, produce::<(bool, u8)>(), |_| runs += 1);
/// assert_eq!(runs, 10);
/// ```
pub fn check<G>(inputs: usize, generator: G, test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let seeds = Seeds::from_env(inputs);
    run_seeds(seeds, generator, test);
}

/// Runs a test with the inputs of the given seeds, such as those that failed earlier.
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
    run_seeds(seeds.iter().copied(), generator, test);
}

fn run_seeds<G>(
    seeds: impl IntoIterator<Item = u128>,
    generator: G,
    mut test: impl FnMut(&G::Output),
) where
    G: ValueGenerator,
    G::Output: Debug,
{
    let mut report = Report::from_env();
    for seed in seeds {
        let Some(value) = generate(seed, &generator) else {
            continue;
        };
        report.add_input(&value);
        let result = catch_unwind(AssertUnwindSafe(|| test(&value)));
        if let Err(panic) = result {
            eprintln!(
                "test failed; to rerun this input, set TC_FUZZ_ONLY={seed}\ninput: {value:#?}"
            );
            resume_unwind(panic);
        }
    }
    report.write();
}

/// Generates the same value from this seed as the fuzzing library itself. Returns `None` if the generator yields none.
fn generate<G: ValueGenerator>(seed: u128, generator: &G) -> Option<G::Output> {
    let rng = Xoroshiro128PlusPlus::from_seed(seed.to_le_bytes());
    let mut driver = Rng::new(rng, &Options::default());
    generator.generate(&mut driver)
}
