//! Parsed files: values that know where they were written.

use std::{collections::BTreeMap, ops::Range};

use toml::de::{DeTable, DeValue};

use crate::{Fault, FaultKind, SourceFile, source::Place};

/// Items by key.
pub(crate) type Table = BTreeMap<String, Item>;

/// A value and its places.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// Where the key is, or the value itself for an element of an array.
    pub(crate) key_at: Place,
    /// Where the value is.
    pub(crate) at: Place,
    pub(crate) value: Value,
}

#[derive(Clone, Debug)]
pub(crate) enum Value {
    Text(String),
    Integer(i64),
    Float(f64),
    Boolean(bool),
    /// Dates, times and numbers beyond 64 bits: no key takes one.
    Other(String),
    Array(Vec<Item>),
    Table(Table),
}

impl Value {
    /// What it is, for messages.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Text(text) => format!("the text {text:?}"),
            Self::Integer(number) => format!("the number {number}"),
            Self::Float(number) => format!("the number {number}"),
            Self::Boolean(value) => format!("`{value}`"),
            Self::Other(text) => format!("`{text}`"),
            Self::Array(_) => "an array".to_owned(),
            Self::Table(_) => "a table".to_owned(),
        }
    }

    /// Whether both say the same, wherever they were written.
    pub(crate) fn same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) | (Self::Other(a), Self::Other(b)) => a == b,
            (Self::Integer(a), Self::Integer(b)) => a == b,
            (Self::Float(a), Self::Float(b)) => a.to_bits() == b.to_bits(),
            (Self::Boolean(a), Self::Boolean(b)) => a == b,
            (Self::Array(a), Self::Array(b)) => {
                a.len() == b.len() && a.iter().zip(b).all(|(a, b)| a.value.same(&b.value))
            }
            (Self::Table(a), Self::Table(b)) => {
                a.len() == b.len()
                    && (a.iter().zip(b))
                        .all(|((a_key, a), (b_key, b))| a_key == b_key && a.value.same(&b.value))
            }
            _ => false,
        }
    }
}

/// Parses one file; all its syntax faults are returned together.
pub(crate) fn parse(file: &SourceFile) -> Result<Table, Vec<Fault>> {
    let (root, errors) = DeTable::parse_recoverable(&file.text);
    if errors.is_empty() {
        return Ok(table(file, root.into_inner()));
    }
    let faults = errors.iter().map(|e| {
        let end = file.text.len();
        let place = Place {
            file: file.clone(),
            span: e.span().unwrap_or(end..end),
        };
        let problem = e.message().to_owned();
        Fault::new(&place, "", FaultKind::Syntax { problem })
    });
    Err(faults.collect())
}

fn table(file: &SourceFile, table: DeTable<'_>) -> Table {
    let items = table.into_iter().map(|(key, value)| {
        let item = item(file, key.span(), value.span(), value.into_inner());
        (key.into_inner().into_owned(), item)
    });
    items.collect()
}

fn item(file: &SourceFile, key: Range<usize>, at: Range<usize>, value: DeValue<'_>) -> Item {
    let place = |span| Place {
        file: file.clone(),
        span,
    };
    Item {
        key_at: place(key),
        at: place(at),
        value: convert(file, value),
    }
}

fn convert(file: &SourceFile, value: DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::Text(text.into_owned()),
        DeValue::Integer(number) => {
            let parsed = i64::from_str_radix(number.as_str(), number.radix());
            parsed.map_or_else(|_| Value::Other(number.to_string()), Value::Integer)
        }
        DeValue::Float(number) => {
            let parsed = number.as_str().parse();
            parsed.map_or_else(|_| Value::Other(number.to_string()), Value::Float)
        }
        DeValue::Boolean(value) => Value::Boolean(value),
        DeValue::Datetime(time) => Value::Other(time.to_string()),
        DeValue::Array(elements) => {
            let items = elements.into_iter().map(|element| {
                let span = element.span();
                item(file, span.clone(), span, element.into_inner())
            });
            Value::Array(items.collect())
        }
        DeValue::Table(inner) => Value::Table(table(file, inner)),
    }
}

/// The item that a path leads to, or the last one on the way to it.
pub(crate) fn deepest<'a>(root: &'a Table, path: &[&str]) -> Option<&'a Item> {
    let (first, rest) = path.split_first()?;
    let mut found = root.get(*first)?;
    for step in rest {
        let next = match &found.value {
            Value::Table(table) => table.get(*step),
            Value::Array(items) => step.parse::<usize>().ok().and_then(|i| items.get(i)),
            _ => None,
        };
        let Some(next) = next else { break };
        found = next;
    }
    Some(found)
}
