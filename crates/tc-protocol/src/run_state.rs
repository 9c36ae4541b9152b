//! What is known of whether a failed request was run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether any part of a request may have been run by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of it reached any upstream: asking again cannot double anything.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// It ran.
    Ran,
}

impl RunState {
    /// The state of a whole made of two parts that may each have run.
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

    /// The word used on the wire.
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
