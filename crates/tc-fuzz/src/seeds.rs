//! The seeds of a run's inputs.

use std::{env, str::FromStr};

use rand_xoshiro::{
    Xoroshiro128PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

/// Seed of the inputs that every run plays unless it is told otherwise.
const USUAL_SEED: u64 = 1;

/// Seeds of inputs, one after the other.
pub(crate) struct Seeds {
    rng: Xoroshiro128PlusPlus,
    left: usize,
    only: Option<u128>,
}

impl Seeds {
    /// As many as a test asks for, or what the environment says.
    pub(crate) fn from_env(inputs: usize) -> Self {
        let seed = read("TC_FUZZ_SEED").unwrap_or(USUAL_SEED);
        let times = read("TC_FUZZ_TIMES").unwrap_or(1);
        Self {
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
            left: inputs.saturating_mul(times),
            only: read("TC_FUZZ_ONLY"),
        }
    }
}

impl Iterator for Seeds {
    type Item = u128;

    fn next(&mut self) -> Option<u128> {
        if let Some(only) = self.only.take() {
            self.left = 0;
            return Some(only);
        }
        self.left = self.left.checked_sub(1)?;
        let high = u128::from(self.rng.next_u64()) << 64;
        Some(high | u128::from(self.rng.next_u64()))
    }
}

/// A number from the environment. One that cannot be read ends the test: the run would not be the one asked for.
fn read<T: FromStr>(name: &str) -> Option<T> {
    let text = env::var(name).ok()?;
    let value = text.parse().ok();
    assert!(value.is_some(), "{name} is {text:?}, not a number");
    value
}
