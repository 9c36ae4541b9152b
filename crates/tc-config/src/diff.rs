//! What differs between two configurations, key by key.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use tc_protocol::FleetConfig;
use toml::Value;

use crate::overlay::join;

/// One key that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The key with its tables, such as `pipelines.notices.deadline_ms`.
    pub key: String,
    /// How it differs.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// How a key differs; values are written as in a file.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new configuration has it.
    Added {
        /// Its value.
        new: String,
    },
    /// Only the old configuration has it.
    Removed {
        /// Its value.
        old: String,
    },
    /// Both have it.
    Changed {
        /// Its old value.
        old: String,
        /// Its new value.
        new: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.kind {
            ChangeKind::Added { new } => write!(f, "+ {key} = {new}"),
            ChangeKind::Removed { old } => write!(f, "- {key} = {old}"),
            ChangeKind::Changed { old, new } => write!(f, "~ {key} = {old} -> {new}"),
        }
    }
}

/// All differences in order of key; the revision is not one. Values that are left out count as their
/// defaults.
///
/// ```
/// use tc_protocol::FleetConfig;
/// let mut new = FleetConfig::default();
/// new.policy.shard_size = 6;
/// let changes = tc_config::diff(&FleetConfig::default(), &new);
/// assert_eq!(changes[0].to_string(), "~ policy.shard_size = 4 -> 6");
/// ```
#[must_use]
pub fn diff(old: &FleetConfig, new: &FleetConfig) -> Vec<Change> {
    let (old, mut new) = (leaves(old), leaves(new));
    let mut changes = Vec::new();
    for (key, old) in old {
        let kind = match new.remove(&key) {
            None => ChangeKind::Removed { old },
            Some(new) if new != old => ChangeKind::Changed { old, new },
            Some(_) => continue,
        };
        changes.push(Change { key, kind });
    }
    let added = new.into_iter().map(|(key, new)| Change {
        key,
        kind: ChangeKind::Added { new },
    });
    changes.extend(added);
    changes.sort_by(|a, b| a.key.cmp(&b.key));
    changes
}

fn leaves(config: &FleetConfig) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    let config = FleetConfig {
        revision: 0,
        ..config.clone()
    };
    // A configuration that was merged holds no number beyond TOML's; without that this could fail.
    if let Ok(value) = Value::try_from(&config) {
        collect(&value, "", &mut leaves);
    }
    leaves
}

fn collect(value: &Value, path: &str, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                collect(value, &join(path, key), leaves);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_table) => {
            for (index, value) in items.iter().enumerate() {
                collect(value, &join(path, &element(value, index)), leaves);
            }
        }
        leaf => drop(leaves.insert(path.to_owned(), leaf.to_string())),
    }
}

/// Tables in arrays go by their own name, so that an insertion does not show as a change of all after it.
fn element(value: &Value, index: usize) -> String {
    let own_name = ["id", "name"]
        .iter()
        .find_map(|key| value.get(key)?.as_str());
    own_name.map_or_else(|| index.to_string(), str::to_owned)
}
