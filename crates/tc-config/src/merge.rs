//! Merges configuration files into one valid configuration.

use tc_protocol::FleetConfig;

use crate::{
    ConfigError, Fault, Override, SourceFile, check, decode, overlay,
    tree::{self, Table},
};

/// A valid configuration and the overrides that occurred while merging it.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// The configuration.
    pub config: FleetConfig,
    /// Keys that a later file set to a different value.
    pub overrides: Vec<Override>,
}

/// Merges files in the order of their names and validates the result.
///
/// The order of `files` does not matter.
///
/// # Errors
/// Returns [`ConfigError::Invalid`] with every fault found, [`ConfigError::Empty`] if no file contains a
/// key, or [`ConfigError::SameFileName`] if two files have the same name.
///
/// ```
/// use tc_config::{SourceFile, merge};
/// let files = [
///     SourceFile::new("20-change.toml", "[workspaces.lintas]\nweight = 4"),
///     SourceFile::new("10-base.toml", &format!("[workspaces.lintas]\ntoken_sha256 = \"{:064}\"", 7)),
/// ];
/// let config = merge(&files, 3).unwrap();
/// assert_eq!(config.revision, 3);
/// assert_eq!(config.workspaces["lintas"].weight, 4);
/// ```
pub fn merge(files: &[SourceFile], revision: u64) -> Result<FleetConfig, ConfigError> {
    merge_with_overrides(files, revision).map(|merged| merged.config)
}

/// Like [`merge`], but also returns which keys were overridden.
///
/// # Errors
/// Returns the same errors as [`merge`].
///
/// ```
/// use tc_config::{SourceFile, merge_with_overrides};
/// let token = format!("token_sha256 = \"{:064}\"", 7);
/// let files = [
///     SourceFile::new("10-base.toml", &format!("[workspaces.lintas]\nweight = 2\n{token}")),
///     SourceFile::new("20-change.toml", "[workspaces.lintas]\nweight = 4"),
/// ];
/// let merged = merge_with_overrides(&files, 1).unwrap();
/// assert_eq!(merged.overrides.len(), 1);
/// ```
pub fn merge_with_overrides(files: &[SourceFile], revision: u64) -> Result<Merged, ConfigError> {
    let mut overrides = Vec::new();
    let root = merged_tree(files, &mut overrides)?;
    if root.is_empty() {
        return Err(ConfigError::Empty);
    }
    let mut faults = Vec::new();
    let mut config = decode::decode(&root, &mut faults);
    check::check(&config, &root, &mut faults);
    if !faults.is_empty() {
        return Err(invalid(faults));
    }
    config.revision = revision;
    Ok(Merged { config, overrides })
}

fn merged_tree(files: &[SourceFile], overrides: &mut Vec<Override>) -> Result<Table, ConfigError> {
    let mut files: Vec<&SourceFile> = files.iter().collect();
    files.sort_by(|a, b| a.name.cmp(&b.name));
    if let Some(pair) = files.windows(2).find(|pair| pair[0].name == pair[1].name) {
        let name = pair[0].name.to_string();
        return Err(ConfigError::SameFileName { name });
    }
    let mut root = Table::new();
    let mut faults = Vec::new();
    for file in files {
        match tree::parse(file) {
            Ok(table) => overlay::overlay(&mut root, table, overrides),
            Err(found) => faults.extend(found),
        }
    }
    if faults.is_empty() {
        Ok(root)
    } else {
        Err(invalid(faults))
    }
}

fn invalid(mut faults: Vec<Fault>) -> ConfigError {
    faults.sort_by(|a, b| {
        let location = |f: &Fault| (f.file.name.clone(), f.span.offset());
        location(a).cmp(&location(b))
    });
    ConfigError::Invalid { faults }
}
