//! Parses files into trees of values with their source locations.

use std::{collections::BTreeMap, ops::Range};

use toml::de::{DeTable, DeValue};

use crate::{Fault, FaultKind, SourceFile, source::Location};

/// The items of a table by key.
pub(crate) type Table = BTreeMap<String, Item>;

/// A value with the locations of its key and of the value itself.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// Location of the key; for an array element, location of the value.
    pub(crate) key_location: Location,
    /// Location of the value.
    pub(crate) value_location: Location,
    pub(crate) value: Value,
}

#[derive(Clone, Debug)]
pub(crate) enum Value {
    Text(String),
    Integer(i64),
    Float(f64),
    Boolean(bool),
    /// Dates, times and numbers that cannot be represented in 64 bits; no key accepts them.
    Other(String),
    Array(Vec<Item>),
    Table(Table),
}

impl Value {
    /// Describes the value for fault messages.
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

    /// Returns whether both values are equal, ignoring their locations.
    pub(crate) fn has_same_content(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) | (Self::Other(a), Self::Other(b)) => a == b,
            (Self::Integer(a), Self::Integer(b)) => a == b,
            (Self::Float(a), Self::Float(b)) => a.to_bits() == b.to_bits(),
            (Self::Boolean(a), Self::Boolean(b)) => a == b,
            (Self::Array(a), Self::Array(b)) => {
                a.len() == b.len()
                    && a.iter()
                        .zip(b)
                        .all(|(a, b)| a.value.has_same_content(&b.value))
            }
            (Self::Table(a), Self::Table(b)) => {
                a.len() == b.len()
                    && (a.iter().zip(b)).all(|((a_key, a), (b_key, b))| {
                        a_key == b_key && a.value.has_same_content(&b.value)
                    })
            }
            _ => false,
        }
    }
}

/// Parses a file, or returns all its syntax faults.
pub(crate) fn parse(file: &SourceFile) -> Result<Table, Vec<Fault>> {
    let (root, errors) = DeTable::parse_recoverable(&file.text);
    if errors.is_empty() {
        return Ok(table(file, root.into_inner()));
    }
    let faults = errors.iter().map(|e| {
        let end = file.text.len();
        let location = Location {
            file: file.clone(),
            span: e.span().unwrap_or(end..end),
        };
        let problem = e.message().to_owned();
        Fault::new(&location, "", FaultKind::Syntax { problem })
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

fn item(
    file: &SourceFile,
    key_span: Range<usize>,
    value_span: Range<usize>,
    value: DeValue<'_>,
) -> Item {
    let location = |span| Location {
        file: file.clone(),
        span,
    };
    Item {
        key_location: location(key_span),
        value_location: location(value_span),
        value: convert_value(file, value),
    }
}

fn convert_value(file: &SourceFile, value: DeValue<'_>) -> Value {
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

/// Returns the item at `path`, or the deepest existing item on the way to it.
pub(crate) fn deepest_item<'a>(root: &'a Table, path: &[&str]) -> Option<&'a Item> {
    let (first, remaining) = path.split_first()?;
    let mut found = root.get(*first)?;
    for segment in remaining {
        let next = match &found.value {
            Value::Table(table) => table.get(*segment),
            Value::Array(items) => segment.parse::<usize>().ok().and_then(|i| items.get(i)),
            _ => None,
        };
        let Some(next) = next else { break };
        found = next;
    }
    Some(found)
}
