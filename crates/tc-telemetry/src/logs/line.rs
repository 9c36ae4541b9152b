//! One log record as one JSON object on one line.

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

/// Bytes of one message or value; the rest is cut, so that one line cannot be as large as a request.
const MAX_TEXT_BYTES: usize = 4_096;
const MASK: &str = "***";
/// Keys the line itself uses; the same name in a record gets [`RENAMED`] before it.
const OWN_KEYS: [&str; 5] = ["ts", "level", "target", "message", "suppressed"];
const RENAMED: &str = "field_";

/// Writes `ts`, `level`, `target`, `message`, the record's fields, and how many lines before it were suppressed.
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
    map.serialize_entry("message", &clean(&record.args().to_string()))?;
    let mut fields = Fields {
        map: &mut map,
        failed: None,
    };
    // The visit only fails with the error kept in `failed`.
    let _ = record.key_values().visit(&mut fields);
    if let Some(e) = fields.failed {
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
    failed: Option<M::Error>,
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
            self.failed = Some(e);
            KvError::msg("the line cannot be written")
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
        map.serialize_entry(name, &clean(&value.to_string()))
    }
}

fn field_name(key: &str) -> Cow<'_, str> {
    if OWN_KEYS.contains(&key) {
        Cow::Owned(format!("{RENAMED}{key}"))
    } else {
        Cow::Borrowed(key)
    }
}

/// Masks what looks like a secret, then cuts: cutting first could leave half a secret unrecognised.
fn clean(text: &str) -> String {
    let mut text = mask_secrets(text, MASK);
    if text.len() > MAX_TEXT_BYTES {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        text.push('…');
    }
    text
}
