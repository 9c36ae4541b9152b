//! Three-way comparison by file: what the folder was made from, what it is now, what is in force now.

use std::collections::{BTreeMap, BTreeSet};

use super::{Files, hash};

/// Result of merging the changes of both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reconciled {
    /// All files as they shall be in force.
    pub(crate) files: Files,
    /// Files that we change, add or remove.
    pub(crate) ours: Vec<String>,
    /// Files in which the folder differs from what is in force and stays behind it.
    pub(crate) theirs: Vec<String>,
}

/// Puts together what changed on both sides since `base`, which holds hashes.
///
/// # Errors
/// The files that both sides changed differently.
pub(crate) fn reconcile(
    base: &BTreeMap<String, String>,
    ours: &Files,
    theirs: &Files,
) -> Result<Reconciled, Vec<String>> {
    let mut reconciled = Reconciled::default();
    let mut conflicts = Vec::new();
    let names: BTreeSet<&String> = base
        .keys()
        .chain(ours.keys())
        .chain(theirs.keys())
        .collect();
    for name in names {
        let (our, their) = (ours.get(name), theirs.get(name));
        let is_base =
            |text: Option<&String>| text.map(|text| hash(text)) == base.get(name).cloned();
        let kept = if our == their {
            their
        } else if is_base(our) {
            reconciled.theirs.push(name.clone());
            their
        } else if is_base(their) {
            reconciled.ours.push(name.clone());
            our
        } else {
            conflicts.push(name.clone());
            continue;
        };
        if let Some(text) = kept {
            reconciled.files.insert(name.clone(), text.clone());
        }
    }
    if conflicts.is_empty() {
        Ok(reconciled)
    } else {
        Err(conflicts)
    }
}
