//! Whether a write whose answer was lost took effect, judged by what is in force later.

use tc_protocol::wire::ConfigObject;

use super::Files;

/// State of knowledge about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    InForce,
    NotInForce,
    Unknown,
}

/// Judges the write of `revision`, which changed the files named in `changed` to what `ours` has.
///
/// Every file carries the revision that last changed it, and one revision is written by one operator only:
/// - a changed file of an older revision: our write never took effect, as it would have changed that file;
/// - all changed files of our revision with our text: what we wanted is in force;
/// - a file of a newer revision says nothing, since it was changed again.
pub(crate) fn settle(
    revision: u64,
    changed: &[String],
    ours: &Files,
    found: &ConfigObject,
) -> Verdict {
    if found.revision < revision {
        return Verdict::Unknown;
    }
    let mut all_ours = true;
    for name in changed {
        match (ours.get(name), found.files.get(name)) {
            (_, Some(file)) if file.revision < revision => return Verdict::NotInForce,
            (Some(text), Some(file)) if file.revision == revision => {
                if file.text != *text {
                    return Verdict::NotInForce;
                }
            }
            _ => all_ours = false,
        }
    }
    if all_ours {
        Verdict::InForce
    } else {
        Verdict::Unknown
    }
}
