//! Merges parsed files: tables are merged key by key, and all other values, including arrays, are replaced.

use std::fmt;

use crate::{
    source::Location,
    tree::{Item, Table, Value},
};

/// A key that a later file set to a different value than an earlier file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    /// The full dotted key, such as `pipelines.notices.deadline_ms`.
    pub key: String,
    /// The later file, whose value takes effect.
    pub file: String,
    /// Line in the later file, counted from 1.
    pub line: usize,
    /// The earlier file.
    pub earlier_file: String,
    /// Line in the earlier file, counted from 1.
    pub earlier_line: usize,
}

impl fmt::Display for Override {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{} overrides {} of {}:{}",
            self.file, self.line, self.key, self.earlier_file, self.earlier_line
        )
    }
}

/// Merges `later` into `base` and adds an [`Override`] for each value that changes.
pub(crate) fn overlay(base: &mut Table, later: Table, overrides: &mut Vec<Override>) {
    overlay_tables(base, later, "", overrides);
}

fn overlay_tables(base: &mut Table, later: Table, path: &str, overrides: &mut Vec<Override>) {
    for (key, item) in later {
        let path = join(path, &key);
        match base.get_mut(&key) {
            None => {
                base.insert(key, item);
            }
            Some(existing) => overlay_item(existing, item, &path, overrides),
        }
    }
}

fn overlay_item(existing: &mut Item, item: Item, path: &str, overrides: &mut Vec<Override>) {
    match (&mut existing.value, item.value) {
        (Value::Table(base), Value::Table(later)) => overlay_tables(base, later, path, overrides),
        (_, value) => {
            if !existing.value.has_same_content(&value) {
                overrides.push(new_override(
                    path,
                    &item.key_location,
                    &existing.key_location,
                ));
            }
            *existing = Item { value, ..item };
        }
    }
}

fn new_override(path: &str, later: &Location, earlier: &Location) -> Override {
    Override {
        key: path.to_owned(),
        file: later.file.name.to_string(),
        line: later.file.line(later.span.start),
        earlier_file: earlier.file.name.to_string(),
        earlier_line: earlier.file.line(earlier.span.start),
    }
}

/// Appends `key` to a dotted key path.
pub(crate) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
