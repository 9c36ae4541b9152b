//! Merges a folder of configuration files in file-name order and validates the result.
//!
//! A configuration is processed in these steps: [`read_folder`] or [`object_files`] provides the files,
//! `tree` parses them and records the location of every key, `overlay` merges the parsed files, `decode`
//! validates the result against the `schema`, and `check` validates the meaning of the values. Each
//! step collects every fault it finds, so that an operator sees them all in one run. Files with syntax faults
//! end the merge before `decode`; the faults of `decode` and `check` are reported together.

mod check;
mod decode;
mod diff;
mod error;
mod fault;
mod folder;
mod merge;
mod nearest;
mod overlay;
mod routing;
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
pub use routing::{Finding, RoutingChange, Severity, check_routing, compare_routing};
pub use source::{SourceFile, object_files};
