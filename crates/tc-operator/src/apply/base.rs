//! The note in a folder of what it was last applied or pulled as.
//!
//! Without it, a file that differs from the platform's could be our change or our ignorance of somebody else's;
//! taking it for ours would silently revert an accepted change.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use tc_protocol::TcError;

use super::{Current, Files, hash, in_force};
use crate::{command::Flag, error::CommandError};

/// Name of the note; files that start with a dot are not merged.
const FILE_NAME: &str = ".tanagercroft-base";

/// Takes a folder for one that stands on a revision.
pub(crate) const FORCE_BASE: Flag = Flag {
    name: "--force-base",
    value: Some("REV"),
    variable: None,
    help: "take the folder as made from revision REV, which must be in force",
};

/// Configuration that a folder was created from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Base {
    /// The revision in force after the last apply or pull; 0 when there was none.
    pub(crate) revision: u64,
    /// The apply that made it, to recognise another platform by.
    pub(crate) apply_id: String,
    /// Hashes of the folder's files at that time.
    pub(crate) files: BTreeMap<String, String>,
}

impl Base {
    /// The note for `files`, which are the folder's, after `current` was applied or pulled.
    pub(crate) fn of(files: &Files, current: &Current) -> Self {
        let hashes = files.iter().map(|(name, text)| (name.clone(), hash(text)));
        Self {
            revision: current.as_ref().map_or(0, |c| c.value.revision),
            apply_id: (current.as_ref()).map_or_else(String::new, |c| c.value.apply_id.clone()),
            files: hashes.collect(),
        }
    }

    /// Returns the configuration that `folder` was created from: as in its note, or as given by `forced`.
    pub(crate) fn find(
        folder: &Path,
        forced: Option<u64>,
        ours: &Files,
        current: &Current,
    ) -> Result<Self, CommandError> {
        if let Some(revision) = forced {
            return Self::forced(revision, current);
        }
        match Self::read(folder)? {
            Some(base) => base.check(current),
            // The first apply ever, or a folder that is what is in force anyway.
            None if current.is_none() || *ours == in_force(current) => {
                Ok(Self::of(&in_force(current), current))
            }
            None => Err(unknown_base(folder, current)),
        }
    }

    /// Only the revision in force can be named: of an older one it is not known what was changed since.
    fn forced(revision: u64, current: &Current) -> Result<Self, CommandError> {
        let found = current.as_ref().map_or(0, |c| c.value.revision);
        if found == revision {
            return Ok(Self::of(&in_force(current), current));
        }
        Err(TcError::Conflict {
            problem: format!("revision {found} is in force, not {revision}"),
            help: format!(
                "look at what is in force with `config show`, and if your folder shall replace it, use {} {found}",
                FORCE_BASE.name
            ),
        }
        .into())
    }

    fn check(self, current: &Current) -> Result<Self, CommandError> {
        let (revision, apply_id) = match current {
            Some(current) => (current.value.revision, current.value.apply_id.as_str()),
            None => (0, ""),
        };
        let is_of_another =
            revision < self.revision || (revision == self.revision && apply_id != self.apply_id);
        if !is_of_another {
            return Ok(self);
        }
        Err(TcError::Conflict {
            problem: format!(
                "the folder was last applied as revision {} of another platform; here, revision {revision} is in force",
                self.revision
            ),
            help: format!(
                "check --platform; if your folder shall replace what is in force there, use {} {revision}",
                FORCE_BASE.name
            ),
        }
        .into())
    }

    /// Reads a folder's note.
    pub(crate) fn read(folder: &Path) -> Result<Option<Self>, CommandError> {
        let path = Self::path(folder);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(unreadable(&path, &e.to_string())),
        };
        let base = serde_json::from_str(&text);
        base.map(Some)
            .map_err(|e| unreadable(&path, &e.to_string()))
    }

    /// Writes the note after an apply or pull that began with the note `began_with`.
    ///
    /// Operators may share a folder. When another one has written a newer note meanwhile, ours is left unwritten:
    /// over it, our older hashes would make a file that was changed since look unchanged.
    pub(crate) fn write(
        &self,
        folder: &Path,
        began_with: Option<&Self>,
    ) -> Result<(), CommandError> {
        let found = Self::read(folder)?;
        let is_newer = found
            .as_ref()
            .is_some_and(|found| found.revision > self.revision);
        if is_newer && found.as_ref() != began_with {
            return Ok(());
        }
        // Whole or not at all: half a note would block the next apply.
        let path = Self::path(folder);
        let unfinished = path.with_extension(std::process::id().to_string());
        let text = serde_json::to_string_pretty(self).map_err(io::Error::from)?;
        fs::write(&unfinished, text)?;
        fs::rename(&unfinished, &path)?;
        Ok(())
    }

    fn path(folder: &Path) -> PathBuf {
        folder.join(FILE_NAME)
    }
}

fn unreadable(path: &Path, problem: &str) -> CommandError {
    TcError::Folder {
        folder: path.display().to_string(),
        problem: format!("cannot be read: {problem}"),
        help: "remove it and pull into a new folder with `config show --files FOLDER`".to_owned(),
    }
    .into()
}

fn unknown_base(folder: &Path, current: &Current) -> CommandError {
    let revision = current.as_ref().map_or(0, |c| c.value.revision);
    TcError::Conflict {
        problem: format!(
            "{} was never applied or pulled, and revision {revision} is in force with other files",
            folder.display()
        ),
        help: format!(
            "pull with `config show --files NEW-FOLDER` and make your change there, or, if your folder shall replace \
             everything in force, use {} {revision}",
            FORCE_BASE.name
        ),
    }
    .into()
}
