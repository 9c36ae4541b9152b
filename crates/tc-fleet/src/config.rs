//! Deltas of the configuration object between instances.

use std::collections::BTreeMap;

use tc_config::{ConfigError, merge, object_files};
use tc_protocol::{
    FleetConfig,
    wire::{ConfigFile, ConfigObject},
};

use crate::generated::{ConfigDelta, ConfigFileText};

/// Returns the files changed since `have_revision` and the names of all files, so that the receiver can drop the
/// others.
pub(crate) fn delta(object: &ConfigObject, have_revision: u64) -> ConfigDelta {
    let changed = object
        .files
        .iter()
        .filter(|(_, file)| file.revision > have_revision)
        .map(|(name, file)| ConfigFileText {
            name: name.clone(),
            text: file.text.clone(),
            revision: file.revision,
        })
        .collect();
    ConfigDelta {
        revision: object.revision,
        applied_by: object.applied_by.clone(),
        apply_id: object.apply_id.clone(),
        applied_at_ms: object.applied_at_ms,
        changed,
        names: object.files.keys().cloned().collect(),
    }
}

/// Applies a delta to the active object and returns the complete new one, or `None` if a file is missing.
///
/// A file is missing if the sender and this instance disagree on which revision was active here. A partial
/// configuration must never be activated.
pub(crate) fn apply_delta(base: &ConfigObject, delta: ConfigDelta) -> Option<ConfigObject> {
    let mut changed: BTreeMap<String, ConfigFile> = delta
        .changed
        .into_iter()
        .map(|file| {
            (
                file.name,
                ConfigFile {
                    text: file.text,
                    revision: file.revision,
                },
            )
        })
        .collect();
    let mut files = BTreeMap::new();
    for name in delta.names {
        let file = changed
            .remove(&name)
            .or_else(|| base.files.get(&name).cloned())?;
        files.insert(name, file);
    }
    Some(ConfigObject {
        revision: delta.revision,
        files,
        applied_by: delta.applied_by,
        apply_id: delta.apply_id,
        applied_at_ms: delta.applied_at_ms,
    })
}

/// Parses and validates the complete configuration of an object.
pub(crate) fn parse(object: &ConfigObject) -> Result<FleetConfig, ConfigError> {
    merge(&object_files(object), object.revision)
}
