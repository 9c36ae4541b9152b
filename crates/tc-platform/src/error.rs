//! Errors of store calls.

use miette::Diagnostic;
use thiserror::Error;

/// Error of a call to the store. The variants differ in what the caller may do next.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum StoreError {
    /// The object does not have the expected version; nothing was written.
    #[error("the object was changed by another writer (current version: {current:?})")]
    #[diagnostic(
        code(tc::store::conflict),
        help("read the object again and repeat the change")
    )]
    Conflict {
        /// Current version of the object, if the store reported it; also `None` if the object does
        /// not exist.
        current: Option<u64>,
    },
    /// The call did not reach the store, or it was a read without a response; nothing was written.
    #[error("the platform's store cannot be reached")]
    #[diagnostic(
        code(tc::store::unreachable),
        help("check the address of the platform and the network")
    )]
    Unreachable,
    /// This instance's own limit on store calls is reached; nothing was sent.
    #[error("this instance has reached its own limit on store calls")]
    #[diagnostic(
        code(tc::store::paced),
        help("try again later, or raise the limit if the platform allows it")
    )]
    RateLimited,
    /// The store responded with a status which means that the call was not executed.
    #[error("the store refused the call with status {0}")]
    #[diagnostic(
        code(tc::store::refused),
        help("status 429 means that the platform's rate limit was reached")
    )]
    Refused(u16),
    /// The store was restored from an older copy while a list was read.
    #[error("the store was restored from an older copy while it was read")]
    #[diagnostic(code(tc::store::restored), help("read the list again"))]
    Restored,
    /// The value exceeds the store's size limit; nothing was written.
    #[error("the value exceeds the store's size limit")]
    #[diagnostic(
        code(tc::store::too_large),
        help("reduce the size of the object; the limit is one megabyte")
    )]
    TooLarge,
    /// The write was sent and its response lost: it may take effect, now or later, or never.
    #[error("the write may or may not have taken effect: the response was lost")]
    #[diagnostic(
        code(tc::store::maybe_applied),
        help("read the object before trying again")
    )]
    MaybeApplied,
    /// A response, a value or an object name does not conform to the store's protocol.
    #[error("a response, a value or an object name does not conform to the store's protocol")]
    #[diagnostic(
        code(tc::store::malformed),
        help("check that the address is the platform's object API")
    )]
    Malformed,
}

impl StoreError {
    /// Returns the value of the `result` label of `tc_platform_calls_total`.
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
            Self::Restored => "restored",
            Self::TooLarge => "too_large",
            Self::MaybeApplied => "maybe_applied",
            Self::Malformed => "malformed",
        }
    }
}
