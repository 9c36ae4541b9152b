//! Formats a log record as a JSON object on one line.

use std::{
    borrow::Cow,
    io::{self, Write},
};

use log::{
    Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde::ser::{SerializeMap, Serializer};

use super::mask::{is_secret_key, mask_secrets};

/// Maximum length of a message or value in bytes. Longer text is truncated, so that a line cannot be as large as a
/// request.
const MAX_TEXT_BYTES: usize = 4_096;
const MASK: &str = "***";
/// Keys of the line itself; a record field with such a name gets the prefix [`FIELD_PREFIX`].
const RESERVED_KEYS: [&str; 5] = ["ts", "level", "target", "message", "suppressed"];
const FIELD_PREFIX: &str = "field_";

/// Writes `ts`, `level`, `target`, `message`, the record's fields, and the number of lines suppressed before it.
pub(super) fn write_line(
    out: &mut impl Write,
    time: &str,
    record: &Record<'_>,
    suppressed: u64,
) -> io::Result<()> {
    let mut serializer = serde_json::Serializer::new(&mut *out);
    let mut map = serializer.serialize_map(None)?;
    map.serialize_entry("ts", time)?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("target", record.target())?;
    map.serialize_entry("message", &mask_and_truncate(&record.args().to_string()))?;
    let mut fields = Fields {
        map: &mut map,
        error: None,
    };
    // The visit fails only with the error stored in `error`.
    let _ = record.key_values().visit(&mut fields);
    if let Some(e) = fields.error {
        return Err(e.into());
    }
    if suppressed > 0 {
        map.serialize_entry("suppressed", &suppressed)?;
    }
    map.end()?;
    out.write_all(b"\n")
}

struct Fields<'a, M: SerializeMap> {
    map: &'a mut M,
    error: Option<M::Error>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let name = field_name(key.as_str());
        let written = if is_secret_key(key.as_str()) {
            self.map.serialize_entry(&name, MASK)
        } else {
            write_value(self.map, &name, &value)
        };
        written.map_err(|e| {
            self.error = Some(e);
            KvError::msg("cannot write the log line")
        })
    }
}

fn write_value<M: SerializeMap>(
    map: &mut M,
    name: &str,
    value: &Value<'_>,
) -> Result<(), M::Error> {
    if let Some(number) = value.to_u64() {
        map.serialize_entry(name, &number)
    } else if let Some(number) = value.to_i64() {
        map.serialize_entry(name, &number)
    } else if let Some(number) = value.to_f64() {
        map.serialize_entry(name, &number)
    } else if let Some(flag) = value.to_bool() {
        map.serialize_entry(name, &flag)
    } else {
        map.serialize_entry(name, &mask_and_truncate(&value.to_string()))
    }
}

fn field_name(key: &str) -> Cow<'_, str> {
    if RESERVED_KEYS.contains(&key) {
        Cow::Owned(format!("{FIELD_PREFIX}{key}"))
    } else {
        Cow::Borrowed(key)
    }
}

/// Masks secrets, then truncates the text. Truncating first could leave part of a secret that is no longer recognized.
pub(super) fn mask_and_truncate(text: &str) -> String {
    let mut text = mask_secrets(text, MASK);
    if text.len() > MAX_TEXT_BYTES {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        text.push('…');
    }
    text
}
