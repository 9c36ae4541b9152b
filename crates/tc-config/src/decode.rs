//! Validates the merged tree against the schema and decodes it into a [`FleetConfig`].
//!
//! A table with a fault is left out of the decoded configuration, and the merge then fails. The other
//! tables are still decoded and checked, so that one run reports all faults.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::de::DeserializeOwned;
use tc_protocol::FleetConfig;
use toml::Value as TomlValue;

use crate::{
    Fault, FaultKind, nearest,
    overlay::join,
    schema::{self, Field, ValueKind},
    tree::{Item, Table, Value},
};

/// Decodes the parts of `root` that match the schema and adds a fault to `faults` for every mismatch.
pub(crate) fn decode(root: &Table, faults: &mut Vec<Fault>) -> FleetConfig {
    let mut decoder = Decoder { faults };
    decoder.check_unknown_keys(root, schema::ROOT, "");
    FleetConfig {
        revision: 0,
        pipelines: decoder.decode_named_tables(root, "pipelines", schema::PIPELINE),
        services: decoder.decode_named_tables(root, "services", schema::SERVICE),
        workspaces: decoder.decode_named_tables(root, "workspaces", schema::WORKSPACE),
        models: decoder.decode_named_tables(root, "models", schema::MODEL),
        policy: (root.get("policy"))
            .and_then(|item| decoder.decode_table(item, schema::POLICY, "policy"))
            .unwrap_or_default(),
    }
}

/// Decodes tables and collects the faults found in them.
struct Decoder<'a> {
    faults: &'a mut Vec<Fault>,
}

impl Decoder<'_> {
    /// Decodes the tables under a top-level key, whose names are chosen by the operator.
    fn decode_named_tables<K, T>(
        &mut self,
        root: &Table,
        key: &str,
        fields: &[Field],
    ) -> BTreeMap<K, T>
    where
        K: Ord + From<String>,
        T: DeserializeOwned,
    {
        let mut decoded = BTreeMap::new();
        let Some(item) = root.get(key) else {
            return decoded;
        };
        let Value::Table(tables) = &item.value else {
            self.add_wrong_type(item, key, &ValueKind::NamedTables.describe());
            return decoded;
        };
        for (name, item) in tables {
            let path = join(key, name);
            if let Some(value) = self.decode_table(item, fields, &path) {
                decoded.insert(K::from(name.clone()), value);
            }
        }
        decoded
    }

    fn decode_table<T: DeserializeOwned>(
        &mut self,
        item: &Item,
        fields: &[Field],
        path: &str,
    ) -> Option<T> {
        let decoded = self.decode_fields(item, fields, path)?;
        match T::deserialize(decoded) {
            Ok(value) => Some(value),
            Err(e) => {
                let problem = e.message().to_owned();
                self.add_fault(item, path, FaultKind::Refused { problem });
                None
            }
        }
    }

    /// Returns the decoded known keys of a table, or `None` if a required key is missing or a value is invalid.
    fn decode_fields(&mut self, item: &Item, fields: &[Field], path: &str) -> Option<TomlValue> {
        let Value::Table(table) = &item.value else {
            self.add_wrong_type(item, path, &ValueKind::Table(&[]).describe());
            return None;
        };
        self.check_unknown_keys(table, fields, path);
        let mut decoded = toml::Table::new();
        let mut complete = true;
        for field in fields {
            let Some(inner) = table.get(field.key) else {
                complete &= !field.required;
                self.check_missing(item, field, path);
                continue;
            };
            match self.decode_value(inner, field.kind, &join(path, field.key)) {
                Some(value) => drop(decoded.insert(field.key.to_owned(), value)),
                None => complete = false,
            }
        }
        complete.then_some(TomlValue::Table(decoded))
    }

    fn decode_value(&mut self, item: &Item, kind: ValueKind, path: &str) -> Option<TomlValue> {
        let decoded = match (kind, &item.value) {
            (ValueKind::Table(fields), Value::Table(_)) => {
                return self.decode_fields(item, fields, path);
            }
            (ValueKind::TableArray(fields), Value::Array(items)) => {
                return self.decode_elements(items, path, |decoder, item, path| {
                    decoder.decode_fields(item, fields, path)
                });
            }
            (ValueKind::TextArray, Value::Array(items)) => {
                return self.decode_elements(items, path, |decoder, item, path| {
                    decoder.decode_value(item, ValueKind::Text, path)
                });
            }
            (kind, value) => decode_scalar(kind, value),
        };
        if decoded.is_none() {
            self.add_wrong_type(item, path, &kind.describe());
        }
        decoded
    }

    fn decode_elements(
        &mut self,
        items: &[Item],
        path: &str,
        mut element: impl FnMut(&mut Self, &Item, &str) -> Option<TomlValue>,
    ) -> Option<TomlValue> {
        let mut decoded = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            decoded.push(element(self, item, &join(path, &index.to_string())));
        }
        decoded
            .into_iter()
            .collect::<Option<_>>()
            .map(TomlValue::Array)
    }

    fn check_unknown_keys(&mut self, table: &Table, fields: &[Field], path: &str) {
        for (key, item) in table {
            if fields.iter().any(|field| field.key == key) {
                continue;
            }
            let known = || fields.iter().map(|field| field.key);
            let kind = FaultKind::UnknownKey {
                nearest: nearest(key, known()).map(str::to_owned),
                known: known().collect::<Vec<_>>().join(", "),
            };
            self.faults
                .push(Fault::new(&item.key_location, &join(path, key), kind));
        }
    }

    fn check_missing(&mut self, item: &Item, field: &Field, path: &str) {
        if field.required {
            let missing = field.key.to_owned();
            let expected = field.kind.describe();
            self.faults.push(Fault::new(
                &item.key_location,
                path,
                FaultKind::MissingKey { missing, expected },
            ));
        }
    }

    fn add_wrong_type(&mut self, item: &Item, path: &str, expected: &str) {
        let kind = FaultKind::WrongType {
            expected: expected.to_owned(),
            found: item.value.describe(),
        };
        self.add_fault(item, path, kind);
    }

    fn add_fault(&mut self, item: &Item, path: &str, kind: FaultKind) {
        self.faults
            .push(Fault::new(&item.value_location, path, kind));
    }
}

fn decode_scalar(kind: ValueKind, value: &Value) -> Option<TomlValue> {
    match (kind, value) {
        (ValueKind::Text, Value::Text(text)) => Some(TomlValue::String(text.clone())),
        (ValueKind::Address, Value::Text(text)) => {
            let address: SocketAddr = text.parse().ok()?;
            Some(TomlValue::String(address.to_string()))
        }
        (ValueKind::OneOf(words), Value::Text(text)) => {
            let known = words.contains(&text.as_str());
            known.then(|| TomlValue::String(text.clone()))
        }
        (ValueKind::Boolean, Value::Boolean(value)) => Some(TomlValue::Boolean(*value)),
        (ValueKind::Integer { max }, Value::Integer(number)) => {
            let fits = u64::try_from(*number).is_ok_and(|number| number <= max);
            fits.then_some(TomlValue::Integer(*number))
        }
        (ValueKind::Number, Value::Integer(number)) => Some(TomlValue::Float(*number as f64)),
        (ValueKind::Number, Value::Float(number)) => Some(TomlValue::Float(*number)),
        _ => None,
    }
}
