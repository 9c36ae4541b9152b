//! Whether a failed request has run, as far as known.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an upstream may have run any part of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request reached an upstream, so a retry cannot repeat a side effect.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request has run.
    Ran,
}

impl RunState {
    /// Combines the states of two parts into the state of the whole.
    ///
    /// ```
    /// use tc_protocol::RunState::{NotRun, Ran, Unknown};
    /// assert_eq!(NotRun.and(NotRun), NotRun);
    /// assert_eq!(Unknown.and(NotRun), Unknown);
    /// assert_eq!(Ran.and(Unknown), Ran);
    /// ```
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the name used on the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
