//! Tests of the merge by feature.

mod base;
mod faults;
mod folder;
mod fuzz;
mod merge;
