//! Reads the files of a configuration folder.

use std::{
    fs::{self, DirEntry},
    path::Path,
};

use crate::{ConfigError, SourceFile};

/// Maximum total size of the files in a folder, in bytes. The platform stores all files in one object of at
/// most a megabyte, and escaping makes some of their characters longer there.
pub const MAX_FOLDER_BYTES: u64 = 900_000;

/// The result of scanning a configuration folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FolderScan {
    /// Configuration files, sorted by name.
    pub files: Vec<SourceFile>,
    /// Entries that are not configuration files, sorted by name.
    pub ignored: Vec<IgnoredEntry>,
}

/// An entry of the folder that is not a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredEntry {
    /// The name of the entry.
    pub name: String,
    /// Why the entry is ignored.
    pub reason: &'static str,
}

/// Reads all `*.toml` files of a folder, sorted by name, and lists the entries it ignored.
///
/// # Errors
/// Fails if the folder or a file cannot be read, if a `*.toml` entry is not a regular file or not UTF-8, if
/// the name of an entry is not UTF-8, or if the total size of the files exceeds [`MAX_FOLDER_BYTES`].
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

/// Returns the configuration files of a folder, sorted by name; see [`scan_folder`].
///
/// # Errors
/// Returns the same errors as [`scan_folder`].
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

/// Returns the size of a regular file and rejects every other kind of entry. Symbolic links are rejected
/// because the target may lie outside the folder, where a diff of the folder does not show its changes.
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
