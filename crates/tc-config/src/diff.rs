//! Key-by-key difference between two configurations.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use tc_protocol::FleetConfig;
use toml::Value;

use crate::overlay::join;

/// A key whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The full dotted key, such as `pipelines.notices.deadline_ms`.
    pub key: String,
    /// Whether the key was added, removed or changed.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// The kind of difference; values are formatted as TOML.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ChangeKind {
    /// The key exists only in the new configuration.
    Added {
        /// The value.
        new: String,
    },
    /// The key exists only in the old configuration.
    Removed {
        /// The value.
        old: String,
    },
    /// The key exists in both configurations with different values.
    Changed {
        /// The old value.
        old: String,
        /// The new value.
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

/// Returns all differences sorted by key. The revision is not compared, and omitted values count as their
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

/// Returns the TOML text of every leaf value by its full dotted key, without the revision.
fn leaves(config: &FleetConfig) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    let config = FleetConfig {
        revision: 0,
        ..config.clone()
    };
    // A number above TOML's maximum would fail to convert; a merged configuration holds none.
    if let Ok(value) = Value::try_from(&config) {
        collect_leaves(&value, "", &mut leaves);
    }
    leaves
}

fn collect_leaves(value: &Value, path: &str, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                collect_leaves(value, &join(path, key), leaves);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_table) => {
            for (index, value) in items.iter().enumerate() {
                collect_leaves(value, &join(path, &element_name(value, index)), leaves);
            }
        }
        leaf => drop(leaves.insert(path.to_owned(), leaf.to_string())),
    }
}

/// Returns the key of an array element: its `id` or `name` if it has one, otherwise its index. With the
/// index alone, an insertion would show up as a change of every later element.
fn element_name(value: &Value, index: usize) -> String {
    let own_name = ["id", "name"]
        .iter()
        .find_map(|key| value.get(key)?.as_str());
    own_name.map_or_else(|| index.to_string(), str::to_owned)
}
