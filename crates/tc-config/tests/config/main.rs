//! Tests of reading, merging and validating configuration files.

mod base;
mod faults;
mod folder;
mod fuzz;
mod merge;
