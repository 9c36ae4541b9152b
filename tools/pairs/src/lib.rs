//! Compares benchmark results of two checkouts on the same days with the same seeds.
//!
//! The score of one day varies by some hundredths from run to run, which is more than the effect of most changes. A change
//! is therefore measured on pairs: each pair runs one day with one seed on both checkouts, and the result is the mean of the
//! differences with its standard error.

mod compare;
mod play;
mod report;

pub use compare::{Comparison, FigureChange, compare};
pub use play::{Pair, Plan, RunError, run_all};
pub use report::{Figures, figures};
