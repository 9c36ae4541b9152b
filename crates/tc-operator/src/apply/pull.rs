//! Writes the files in force into a folder.

use std::{fs, io, path::Path};

use tc_config::read_folder;
use tc_protocol::TcError;

use super::{Base, Current, Files, by_name, in_force, reconcile};
use crate::error::CommandError;

/// Makes `folder`, which is created when it does not exist, equal to what is in force and notes it as its base.
///
/// # Errors
/// [`TcError::Conflict`] naming the files of the folder that were changed and never applied: they are not
/// overwritten.
pub(crate) fn pull(folder: &Path, current: &Current) -> Result<Files, CommandError> {
    fs::create_dir_all(folder)?;
    let ours = by_name(&read_folder(folder)?);
    let note = Base::read(folder)?;
    let base = note.clone().unwrap_or_default();
    let theirs = in_force(current);
    let changed = match reconcile(&base.files, &ours, &theirs) {
        Ok(reconciled) => reconciled.ours,
        Err(conflicts) => conflicts,
    };
    if !changed.is_empty() {
        return Err(TcError::Conflict {
            problem: format!(
                "{} has changes that were never applied: {}",
                folder.display(),
                changed.join(", ")
            ),
            help: "apply them first, or pull into a new folder".to_owned(),
        }
        .into());
    }
    for name in ours.keys().filter(|name| !theirs.contains_key(*name)) {
        fs::remove_file(folder.join(name))?;
    }
    for (name, text) in &theirs {
        write_file(folder, name, text)?;
    }
    Base::of(&theirs, current).write(folder, note.as_ref())?;
    Ok(theirs)
}

/// Names come from the platform: one with a separator in it would be written outside the folder.
fn write_file(folder: &Path, name: &str, text: &str) -> Result<(), CommandError> {
    let is_plain = Path::new(name).file_name().is_some_and(|file| file == name);
    if !is_plain {
        let problem = format!("{name:?} is no file name");
        return Err(io::Error::new(io::ErrorKind::InvalidData, problem).into());
    }
    fs::write(folder.join(name), text)?;
    Ok(())
}
