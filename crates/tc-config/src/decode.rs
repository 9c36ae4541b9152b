//! Compares the merged tree with the schema and turns what fits into the configuration model.
//!
//! A table with a fault is left out of the outcome, which is never used then; the others go on to the
//! checks, so that one run shows all faults.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::de::DeserializeOwned;
use tc_protocol::FleetConfig;
use toml::Value as Plain;

use crate::{
    Fault, FaultKind, nearest,
    overlay::join,
    schema::{self, Field, Kind},
    tree::{Item, Table, Value},
};

/// Everything in `root` that fits the schema; what does not is added to `faults`.
pub(crate) fn decode(root: &Table, faults: &mut Vec<Fault>) -> FleetConfig {
    let mut decoder = Decoder { faults };
    decoder.unknown_keys(root, schema::ROOT, "");
    FleetConfig {
        revision: 0,
        pipelines: decoder.named(root, "pipelines", schema::PIPELINE),
        services: decoder.named(root, "services", schema::SERVICE),
        workspaces: decoder.named(root, "workspaces", schema::WORKSPACE),
        models: decoder.named(root, "models", schema::MODEL),
        policy: (root.get("policy"))
            .and_then(|item| decoder.table(item, schema::POLICY, "policy"))
            .unwrap_or_default(),
    }
}

struct Decoder<'a> {
    faults: &'a mut Vec<Fault>,
}

impl Decoder<'_> {
    fn named<K, T>(&mut self, root: &Table, key: &str, fields: &[Field]) -> BTreeMap<K, T>
    where
        K: Ord + From<String>,
        T: DeserializeOwned,
    {
        let mut decoded = BTreeMap::new();
        let Some(item) = root.get(key) else {
            return decoded;
        };
        let Value::Table(tables) = &item.value else {
            self.wrong_type(item, key, &Kind::Named.describe());
            return decoded;
        };
        for (name, item) in tables {
            let path = join(key, name);
            if let Some(value) = self.table(item, fields, &path) {
                decoded.insert(K::from(name.clone()), value);
            }
        }
        decoded
    }

    fn table<T: DeserializeOwned>(
        &mut self,
        item: &Item,
        fields: &[Field],
        path: &str,
    ) -> Option<T> {
        let plain = self.fields(item, fields, path)?;
        match T::deserialize(plain) {
            Ok(value) => Some(value),
            Err(e) => {
                let problem = e.message().to_owned();
                self.add(item, path, FaultKind::Refused { problem });
                None
            }
        }
    }

    /// The known keys of a table, or `None` when one of them is missing or wrong.
    fn fields(&mut self, item: &Item, fields: &[Field], path: &str) -> Option<Plain> {
        let Value::Table(table) = &item.value else {
            self.wrong_type(item, path, &Kind::Table(&[]).describe());
            return None;
        };
        self.unknown_keys(table, fields, path);
        let mut plain = toml::Table::new();
        let mut whole = true;
        for field in fields {
            let Some(inner) = table.get(field.key) else {
                whole &= !field.required;
                self.missing(item, field, path);
                continue;
            };
            match self.value(inner, field.kind, &join(path, field.key)) {
                Some(value) => drop(plain.insert(field.key.to_owned(), value)),
                None => whole = false,
            }
        }
        whole.then_some(Plain::Table(plain))
    }

    fn value(&mut self, item: &Item, kind: Kind, path: &str) -> Option<Plain> {
        let plain = match (kind, &item.value) {
            (Kind::Table(fields), Value::Table(_)) => return self.fields(item, fields, path),
            (Kind::Tables(fields), Value::Array(items)) => {
                return self.elements(items, path, |me, item, path| me.fields(item, fields, path));
            }
            (Kind::Texts, Value::Array(items)) => {
                return self.elements(items, path, |me, item, path| {
                    me.value(item, Kind::Text, path)
                });
            }
            (kind, value) => scalar(kind, value),
        };
        if plain.is_none() {
            self.wrong_type(item, path, &kind.describe());
        }
        plain
    }

    fn elements(
        &mut self,
        items: &[Item],
        path: &str,
        mut element: impl FnMut(&mut Self, &Item, &str) -> Option<Plain>,
    ) -> Option<Plain> {
        let mut plain = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            plain.push(element(self, item, &join(path, &index.to_string())));
        }
        plain.into_iter().collect::<Option<_>>().map(Plain::Array)
    }

    fn unknown_keys(&mut self, table: &Table, fields: &[Field], path: &str) {
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
                .push(Fault::new(&item.key_at, &join(path, key), kind));
        }
    }

    fn missing(&mut self, item: &Item, field: &Field, path: &str) {
        if field.required {
            let missing = field.key.to_owned();
            let expected = field.kind.describe();
            self.faults.push(Fault::new(
                &item.key_at,
                path,
                FaultKind::MissingKey { missing, expected },
            ));
        }
    }

    fn wrong_type(&mut self, item: &Item, path: &str, expected: &str) {
        let kind = FaultKind::WrongType {
            expected: expected.to_owned(),
            found: item.value.describe(),
        };
        self.add(item, path, kind);
    }

    fn add(&mut self, item: &Item, path: &str, kind: FaultKind) {
        self.faults.push(Fault::new(&item.at, path, kind));
    }
}

fn scalar(kind: Kind, value: &Value) -> Option<Plain> {
    match (kind, value) {
        (Kind::Text, Value::Text(text)) => Some(Plain::String(text.clone())),
        (Kind::Address, Value::Text(text)) => {
            let address: SocketAddr = text.parse().ok()?;
            Some(Plain::String(address.to_string()))
        }
        (Kind::OneOf(words), Value::Text(text)) => {
            let known = words.contains(&text.as_str());
            known.then(|| Plain::String(text.clone()))
        }
        (Kind::Boolean, Value::Boolean(value)) => Some(Plain::Boolean(*value)),
        (Kind::Whole { max }, Value::Integer(number)) => {
            let fits = u64::try_from(*number).is_ok_and(|number| number <= max);
            fits.then_some(Plain::Integer(*number))
        }
        (Kind::Number, Value::Integer(number)) => Some(Plain::Float(*number as f64)),
        (Kind::Number, Value::Float(number)) => Some(Plain::Float(*number)),
        _ => None,
    }
}
