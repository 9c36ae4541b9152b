//! Authentication between instances by shared keys.
//!
//! A datagram ends with an HMAC-SHA-256 tag, and a call carries a token derived from the key. The first of several keys
//! signs, and all of them verify. To rotate keys without downtime, append the new key on all instances, then move it to
//! the front on all, then remove the old one from all.

use std::{
    fmt::{self, Write as _},
    sync::Arc,
};

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::FleetError;

type HmacSha256 = Hmac<Sha256>;

/// Length of a datagram's tag, in bytes.
pub(crate) const TAG_BYTES: usize = 32;
/// Metadata key of the token on calls between instances.
pub(crate) const TOKEN_HEADER: &str = "x-fleet-token";

const MIN_KEY_BYTES: usize = 16;
const TOKEN_CONTEXT: &[u8] = b"tanagercroft fleet call v1";

/// The shared keys of a fleet.
#[derive(Clone)]
pub struct FleetKeys {
    macs: Arc<[HmacSha256]>,
    tokens: Arc<[String]>,
}

impl FleetKeys {
    /// Creates the keys from strings of at least 16 bytes each. The first key signs, and all verify.
    ///
    /// # Errors
    /// Returns [`FleetError::ShortKey`] if a key is shorter or there is none.
    ///
    /// ```
    /// use tc_fleet::FleetKeys;
    /// assert!(FleetKeys::new(&["sixteen bytes or more"]).is_ok());
    /// assert!(FleetKeys::new(&["short"]).is_err());
    /// ```
    pub fn new(keys: &[impl AsRef<str>]) -> Result<Self, FleetError> {
        let mut macs = Vec::with_capacity(keys.len());
        for key in keys {
            let key = key.as_ref().as_bytes();
            if key.len() < MIN_KEY_BYTES {
                return Err(FleetError::ShortKey {
                    min_bytes: MIN_KEY_BYTES,
                });
            }
            let mac = HmacSha256::new_from_slice(key).map_err(|_| FleetError::ShortKey {
                min_bytes: MIN_KEY_BYTES,
            })?;
            macs.push(mac);
        }
        if macs.is_empty() {
            return Err(FleetError::ShortKey {
                min_bytes: MIN_KEY_BYTES,
            });
        }
        let tokens = macs.iter().map(token_of).collect();
        Ok(Self {
            macs: macs.into(),
            tokens,
        })
    }

    /// Appends the tag of `bytes`.
    pub(crate) fn sign(&self, bytes: &mut Vec<u8>) {
        let mut mac = self.macs[0].clone();
        mac.update(bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes());
    }

    /// Returns the bytes before the tag if the tag is valid for any key.
    pub(crate) fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let tag_start = datagram.len().checked_sub(TAG_BYTES)?;
        let (bytes, tag) = datagram.split_at(tag_start);
        let is_valid = self.macs.iter().any(|mac| {
            let mut mac = mac.clone();
            mac.update(bytes);
            mac.verify_slice(tag).is_ok()
        });
        is_valid.then_some(bytes)
    }

    /// Returns the token that this instance sends with calls.
    pub(crate) fn token(&self) -> &str {
        &self.tokens[0]
    }

    /// Returns whether a received token is valid for any key, in constant time per key.
    pub(crate) fn verify_token(&self, token: &[u8]) -> bool {
        self.tokens
            .iter()
            .any(|known| known.as_bytes().ct_eq(token).into())
    }
}

fn token_of(mac: &HmacSha256) -> String {
    let mut mac = mac.clone();
    mac.update(TOKEN_CONTEXT);
    let bytes = mac.finalize().into_bytes();
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKeys({} keys)", self.macs.len())
    }
}
