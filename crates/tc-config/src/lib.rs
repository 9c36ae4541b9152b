//! Merges a folder of configuration files in file-name order and validates the result.
//!
//! The way of a configuration through this crate: [`read_folder`] or [`object_files`] gives files,
//! `tree` parses them with the place of every key, `overlay` lays them over each other, `decode`
//! compares the outcome with the `schema`, `check` looks at what the values mean together. Each
//! step collects every fault it finds, so that an operator sees them all in one run.

mod check;
mod decode;
mod diff;
mod error;
mod fault;
mod folder;
mod merge;
mod nearest;
mod overlay;
mod schema;
mod source;
mod tree;

pub use check::{MAX_DEADLINE_MS, MAX_PRIORITY, MIN_DEADLINE_MS};
pub use diff::{Change, ChangeKind, diff};
pub use error::ConfigError;
pub use fault::{Fault, FaultKind};
pub use folder::{FolderScan, IgnoredEntry, MAX_FOLDER_BYTES, read_folder, scan_folder};
pub use merge::{Merged, merge, merge_with_overrides};
pub use nearest::nearest;
pub use overlay::Override;
pub use source::{SourceFile, object_files};
