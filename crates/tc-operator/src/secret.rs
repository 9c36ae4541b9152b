//! Text that must not be shown.

use std::{fmt, sync::Arc};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// A secret; its `Debug` output does not show it.
///
/// ```
/// let secret = tc_operator::Secret::from("hunter2 hunter2");
/// assert_eq!(format!("{secret:?}"), "Secret(…)");
/// assert!(secret.is("hunter2 hunter2"));
/// ```
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// The secret itself, for the library that signs or sends with it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `guess` is the secret. Takes the same time for every guess of a length: a comparison that stops
    /// at the first difference tells an attacker by its time how much of a guess is right.
    #[must_use]
    pub fn is(&self, guess: &str) -> bool {
        let (ours, theirs) = (Sha256::digest(&*self.0), Sha256::digest(guess));
        ours.ct_eq(&theirs).into()
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}
