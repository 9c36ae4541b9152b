//! Seeds of the inputs of a run.

use std::{env, str::FromStr};

use rand_xoshiro::{
    Xoroshiro128PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Seed of the input seeds unless `TC_FUZZ_SEED` is set.
const DEFAULT_SEED: u64 = 1;

/// Iterator over the seeds of the inputs.
pub(crate) struct Seeds {
    rng: Xoroshiro128PlusPlus,
    remaining: usize,
    single_seed: Option<u128>,
}

impl Seeds {
    /// Creates `inputs` seeds, adjusted by the environment variables.
    pub(crate) fn from_env(inputs: usize) -> Self {
        let seed = read_number("TC_FUZZ_SEED").unwrap_or(DEFAULT_SEED);
        let factor = read_number("TC_FUZZ_TIMES").unwrap_or(1);
        Self {
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
            remaining: inputs.saturating_mul(factor),
            single_seed: read_number("TC_FUZZ_ONLY"),
        }
    }
}

impl Iterator for Seeds {
    type Item = u128;

    fn next(&mut self) -> Option<u128> {
        if let Some(seed) = self.single_seed.take() {
            self.remaining = 0;
            return Some(seed);
        }
        self.remaining = self.remaining.checked_sub(1)?;
        let high = u128::from(self.rng.next_u64()) << 64;
        Some(high | u128::from(self.rng.next_u64()))
    }
}

/// Reads a number from an environment variable.
///
/// An invalid number fails the test, because the run would not be the requested one.
fn read_number<T: FromStr>(name: &str) -> Option<T> {
    let text = env::var(name).ok()?;
    let value = text.parse().ok();
    assert!(value.is_some(), "{name} is {text:?}, not a number");
    value
}
