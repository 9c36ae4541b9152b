//! Exit codes, the same for every command.

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked.
    Done = 0,
    /// It failed in a way none of the others names.
    Failed = 1,
    /// The command line or a setting is wrong; nothing was done.
    Usage = 2,
    /// The configuration cannot be read or is not valid; nothing was done.
    InvalidConfig = 3,
    /// Another operator was first; nothing of ours is in force.
    Conflict = 4,
    /// It may or may not have been done.
    OutcomeUnknown = 5,
    /// A peer cannot be reached; nothing was done.
    Unreachable = 6,
}

impl Exit {
    /// All of them in order of code.
    pub(crate) const ALL: [Self; 7] = [
        Self::Done,
        Self::Failed,
        Self::Usage,
        Self::InvalidConfig,
        Self::Conflict,
        Self::OutcomeUnknown,
        Self::Unreachable,
    ];

    /// The process's exit code.
    ///
    /// ```
    /// assert_eq!(tc_operator::Exit::Conflict.code(), 4);
    /// ```
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// In words, for help texts.
    pub(crate) const fn describe(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Usage => "the command line or a setting is wrong; nothing was done",
            Self::InvalidConfig => {
                "the configuration cannot be read or is not valid; nothing was done"
            }
            Self::Conflict => "another operator was first; nothing of yours is in force",
            Self::OutcomeUnknown => "it may or may not have been done; see `config show`",
            Self::Unreachable => "the platform or the instance cannot be reached; nothing was done",
        }
    }
}
