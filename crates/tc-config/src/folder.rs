//! Reads the files of a configuration folder.

use std::{
    fs::{self, DirEntry},
    path::Path,
};

use crate::{ConfigError, SourceFile};

/// Most bytes the files of a folder may have together: the platform holds one object of a megabyte, and
/// the files travel in it with some of their characters escaped.
pub const MAX_FOLDER_BYTES: u64 = 900_000;

/// What a folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FolderScan {
    /// Configuration files in order of name.
    pub files: Vec<SourceFile>,
    /// Everything else in it, in order of name.
    pub ignored: Vec<IgnoredEntry>,
}

/// An entry of the folder that is not a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredEntry {
    /// Its name.
    pub name: String,
    /// Why it is no configuration file.
    pub reason: &'static str,
}

/// Reads all `*.toml` files of a folder, sorted by name, and tells what it left out.
///
/// # Errors
/// When the folder or a file cannot be read, when a `*.toml` entry is not a regular file or not UTF-8,
/// and when the files are larger than [`MAX_FOLDER_BYTES`] together.
pub fn scan_folder(folder: &Path) -> Result<FolderScan, ConfigError> {
    let unreadable = |e: std::io::Error| ConfigError::Unreadable {
        path: folder.display().to_string(),
        problem: e.to_string(),
    };
    if !fs::metadata(folder).map_err(unreadable)?.is_dir() {
        return Err(ConfigError::NotAFolder {
            path: folder.display().to_string(),
        });
    }
    let mut entries = fs::read_dir(folder)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(unreadable)?;
    entries.sort_by_key(DirEntry::file_name);

    let mut scan = FolderScan::default();
    let mut total = 0;
    for entry in entries {
        let name = entry.file_name();
        let Some(name) = name.to_str() else {
            return Err(ConfigError::NameNotUtf8 {
                path: entry.path().display().to_string(),
            });
        };
        if let Some(reason) = reason_to_ignore(name) {
            let name = name.to_owned();
            scan.ignored.push(IgnoredEntry { name, reason });
            continue;
        }
        total += regular_file_size(&entry)?;
        if total > MAX_FOLDER_BYTES {
            return Err(ConfigError::FolderTooLarge {
                path: folder.display().to_string(),
                at_least: total,
            });
        }
        scan.files.push(read_file(name, &entry.path())?);
    }
    Ok(scan)
}

/// The configuration files of a folder, sorted by name; see [`scan_folder`].
///
/// # Errors
/// Those of [`scan_folder`].
///
/// ```
/// # let folder = std::env::temp_dir().join(format!("tc-config-doc-{}", std::process::id()));
/// # std::fs::create_dir_all(&folder).unwrap();
/// std::fs::write(folder.join("20-b.toml"), "").unwrap();
/// std::fs::write(folder.join("10-a.toml"), "").unwrap();
/// std::fs::write(folder.join("README.md"), "not read").unwrap();
/// let files = tc_config::read_folder(&folder).unwrap();
/// let names: Vec<&str> = files.iter().map(|f| &*f.name).collect();
/// assert_eq!(names, ["10-a.toml", "20-b.toml"]);
/// # std::fs::remove_dir_all(&folder).unwrap();
/// ```
pub fn read_folder(folder: &Path) -> Result<Vec<SourceFile>, ConfigError> {
    scan_folder(folder).map(|scan| scan.files)
}

fn reason_to_ignore(name: &str) -> Option<&'static str> {
    if name.starts_with('.') {
        Some("its name starts with a dot")
    } else if Path::new(name).extension().is_none_or(|e| e != "toml") {
        Some("its name does not end in .toml")
    } else {
        None
    }
}

/// Refuses links: the target may lie outside the folder, so that a change of it would be a change of the
/// configuration which no diff of the folder shows.
fn regular_file_size(entry: &DirEntry) -> Result<u64, ConfigError> {
    let path = entry.path();
    let metadata = fs::symlink_metadata(&path).map_err(|e| ConfigError::Unreadable {
        path: path.display().to_string(),
        problem: e.to_string(),
    })?;
    if metadata.is_file() {
        return Ok(metadata.len());
    }
    let what = if metadata.is_symlink() {
        "a symbolic link"
    } else if metadata.is_dir() {
        "a folder"
    } else {
        "a special file"
    };
    let path = path.display().to_string();
    Err(ConfigError::NotAFile { path, what })
}

fn read_file(name: &str, path: &Path) -> Result<SourceFile, ConfigError> {
    let bytes = fs::read(path).map_err(|e| ConfigError::Unreadable {
        path: path.display().to_string(),
        problem: e.to_string(),
    })?;
    match String::from_utf8(bytes) {
        Ok(text) => Ok(SourceFile::new(name, &text)),
        Err(e) => Err(ConfigError::TextNotUtf8 {
            path: path.display().to_string(),
            offset: e.utf8_error().valid_up_to(),
        }),
    }
}
