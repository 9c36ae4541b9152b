//! Commands on quarantined requests.

pub(super) mod lift;
pub(super) mod list;

use tc_protocol::Fingerprint;

/// A fingerprint as operators see and write it: the name of its object in the platform.
fn digits(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint.0)
}
