//! Compares two checkouts on the same days with the same seeds.
//!
//! One day differs by some hundredths from run to run, more than most changes are worth. So a change is judged on pairs:
//! each pair plays one day with one seed before and after, and what counts is the mean of the differences beside its
//! standard error.

mod compare;
mod play;
mod report;

pub use compare::{Comparison, Line, compare};
pub use play::{Pair, Plan, PlayError, play_all};
pub use report::{Figures, figures};
