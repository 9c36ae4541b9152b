//! Revisions of the platform's store.

use std::fmt;

/// Number of the bits that hold the era in [`StoreRevision::to_bits`].
const ERA_BITS: u32 = 16;
const NUMBER_BITS: u32 = u64::BITS - ERA_BITS;

/// Revision of the store's state, or of the last change of one object.
///
/// A store that is restored from an older copy begins a new era and assigns numbers again. All of a new era is newer than
/// all of the eras before it, so revisions are ordered by the era first.
///
/// ```
/// use tc_protocol::StoreRevision;
/// let before = StoreRevision { era: 1, number: 940 };
/// let after = StoreRevision { era: 2, number: 900 };
/// assert!(after > before);
/// assert_eq!(StoreRevision::from_bits(after.to_bits()), after);
/// assert_eq!(after.to_string(), "2.900");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Number of restores of the store, or 0 if it does not report them.
    pub era: u16,
    /// Number of the change within the era, or 0 if nothing is known yet.
    pub number: u64,
}

impl StoreRevision {
    /// Returns true if this is a revision of the store rather than the initial value.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.number > 0
    }

    /// Packs the revision into one number, for messages between instances. The order is kept.
    ///
    /// Numbers of 2^48 and above are reduced to the largest that fits.
    #[must_use]
    pub fn to_bits(self) -> u64 {
        let number = self.number.min((1 << NUMBER_BITS) - 1);
        (u64::from(self.era) << NUMBER_BITS) | number
    }

    /// Unpacks a revision.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self {
            era: (bits >> NUMBER_BITS) as u16,
            number: bits & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
