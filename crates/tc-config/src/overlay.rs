//! Lays parsed files over each other: tables merge key by key, everything else is replaced.

use std::fmt;

use crate::{
    source::Place,
    tree::{Item, Table, Value},
};

/// A key that a later file set to another value than an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    /// The key with its tables, such as `pipelines.notices.deadline_ms`.
    pub key: String,
    /// The later file, whose value holds.
    pub file: String,
    /// Line in the later file.
    pub line: usize,
    /// The earlier file.
    pub earlier_file: String,
    /// Line in the earlier file.
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

/// Lays `later` over `base`, noting each value it changes.
pub(crate) fn overlay(base: &mut Table, later: Table, notes: &mut Vec<Override>) {
    overlay_at(base, later, "", notes);
}

fn overlay_at(base: &mut Table, later: Table, path: &str, notes: &mut Vec<Override>) {
    for (key, item) in later {
        let path = join(path, &key);
        match base.get_mut(&key) {
            None => {
                base.insert(key, item);
            }
            Some(below) => replace(below, item, &path, notes),
        }
    }
}

fn replace(below: &mut Item, item: Item, path: &str, notes: &mut Vec<Override>) {
    match (&mut below.value, item.value) {
        (Value::Table(base), Value::Table(later)) => overlay_at(base, later, path, notes),
        (_, value) => {
            if !below.value.same(&value) {
                notes.push(note(path, &item.key_at, &below.key_at));
            }
            *below = Item { value, ..item };
        }
    }
}

fn note(path: &str, later: &Place, earlier: &Place) -> Override {
    Override {
        key: path.to_owned(),
        file: later.file.name.to_string(),
        line: later.file.line(later.span.start),
        earlier_file: earlier.file.name.to_string(),
        earlier_line: earlier.file.line(earlier.span.start),
    }
}

/// One more step of a key path.
pub(crate) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
