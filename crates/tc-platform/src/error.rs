//! What can go wrong with a call to the platform's store.

use miette::Diagnostic;
use thiserror::Error;

/// Why a call to the store failed, told apart by what a caller may do next.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum StoreError {
    /// The object's version is not the expected one; nothing was written.
    #[error("the object was changed by someone else first (its version is now {current:?})")]
    #[diagnostic(
        code(tc::store::conflict),
        help("read the object again and redo the change")
    )]
    Conflict {
        /// The version found, when the store told it; `None` also when the object does not exist.
        current: Option<u64>,
    },
    /// The call never reached the store, or it was a read without an answer; nothing was written.
    #[error("the platform's store cannot be reached")]
    #[diagnostic(
        code(tc::store::unreachable),
        help("check the address of the platform and the network")
    )]
    Unreachable,
    /// This instance has used up its own rate of calls; nothing was sent.
    #[error("this instance's own rate of calls to the store is used up")]
    #[diagnostic(
        code(tc::store::paced),
        help("ask again later, or raise the rate if the platform allows it")
    )]
    RateLimited,
    /// The store answered with a status that says the call was not carried out.
    #[error("the store refused the call with status {0}")]
    #[diagnostic(
        code(tc::store::refused),
        help("status 429 means that the platform's rate limit is reached")
    )]
    Refused(u16),
    /// The value is larger than the store holds; nothing was written.
    #[error("the value is larger than the store holds")]
    #[diagnostic(
        code(tc::store::too_large),
        help("make the object smaller; the limit is one megabyte")
    )]
    TooLarge,
    /// The write was sent and its answer lost: it may have taken effect, now or later.
    #[error("the write may or may not have taken effect: its answer was lost")]
    #[diagnostic(
        code(tc::store::maybe_applied),
        help("read the object back before trying again")
    )]
    MaybeApplied,
    /// An answer, a value or an object's name does not fit the protocol.
    #[error("an answer or a name does not fit the store's protocol")]
    #[diagnostic(
        code(tc::store::malformed),
        help("check that the address is the platform's object API")
    )]
    Malformed,
}

impl StoreError {
    /// The word used as the `result` label of `tc_platform_calls_total`.
    ///
    /// ```
    /// assert_eq!(tc_platform::StoreError::RateLimited.as_str(), "paced");
    /// ```
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::Unreachable => "unreachable",
            Self::RateLimited => "paced",
            Self::Refused(_) => "refused",
            Self::TooLarge => "too_large",
            Self::MaybeApplied => "maybe_applied",
            Self::Malformed => "malformed",
        }
    }
}
