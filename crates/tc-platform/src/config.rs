//! Reads, watches and replaces the configuration object.

use std::time::Duration;

use serde_json::Value;
use tc_protocol::wire::{CONFIG_KIND, CONFIG_NAME, ConfigObject};

use crate::{Precondition, Purpose, Store, StoreError, Versioned, WriteResult};

/// Result of an apply.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyResult {
    /// The configuration was accepted.
    Applied {
        /// Version of the configuration object.
        version: u64,
    },
    /// Another operator's change came first. This one is not and will not be in force.
    Conflict(Option<Versioned<ConfigObject>>),
    /// It was not accepted: the store was not reached or refused it.
    NotApplied(StoreError),
    /// It may have been accepted: the response was lost and reading the object back was
    /// inconclusive.
    Unknown,
}

/// Reads the configuration object, or returns `None` before the first apply.
pub async fn read_config(
    store: &Store,
    purpose: Purpose,
) -> Result<Option<Versioned<ConfigObject>>, StoreError> {
    let object = store.get(purpose, CONFIG_KIND, CONFIG_NAME).await?;
    object.map(decode).transpose()
}

/// Waits up to `wait` for a version of the configuration object above `after`. Returns `None` if
/// there is none.
pub async fn watch_config(
    store: &Store,
    after: u64,
    wait: Duration,
) -> Result<Option<Versioned<ConfigObject>>, StoreError> {
    let object = store
        .watch(Purpose::Config, CONFIG_KIND, CONFIG_NAME, after, wait)
        .await?;
    object.map(decode).transpose()
}

/// Replaces the configuration `base` with `new`, if `base` is still in force.
///
/// `new` must have the next revision, and an `apply_id` that no other apply uses, by which a write
/// whose response was lost is recognised.
pub async fn apply_config(
    store: &Store,
    base: Option<Versioned<ConfigObject>>,
    new: ConfigObject,
) -> ApplyResult {
    let old_revision = base.as_ref().map_or(0, |b| b.value.revision);
    if new.revision != old_revision + 1 || new.apply_id.is_empty() {
        return ApplyResult::NotApplied(StoreError::Malformed);
    }
    let Ok(value) = serde_json::to_value(&new) else {
        return ApplyResult::NotApplied(StoreError::Malformed);
    };
    let precondition = base.map_or(Precondition::Absent, |b| Precondition::Version(b.version));
    let is_own_write = |v: &Value| v["apply_id"] == new.apply_id.as_str();
    let purpose = Purpose::Operator;
    let written = store
        .write_verified(
            purpose,
            CONFIG_KIND,
            CONFIG_NAME,
            precondition,
            &value,
            is_own_write,
        )
        .await;
    match written {
        WriteResult::Written { version } => ApplyResult::Applied { version },
        WriteResult::NotWritten(e) => ApplyResult::NotApplied(e),
        WriteResult::Conflict { current } => {
            ApplyResult::Conflict(current.and_then(|c| decode(c).ok()))
        }
        WriteResult::Unknown { current } => resolve_lost_response(&new, current),
    }
}

/// Determines the result of a write whose response was lost, from the object found instead.
///
/// Each accepted change increments the revision. If another object has our revision, it replaced
/// our base directly, so ours was never in force. An object with a higher revision may be based on
/// ours. Reporting a conflict then would make the operator repeat a change that is already in
/// force.
fn resolve_lost_response(new: &ConfigObject, current: Option<Versioned<Value>>) -> ApplyResult {
    match current.map(decode) {
        Some(Ok(found)) if found.value.revision == new.revision => {
            ApplyResult::Conflict(Some(found))
        }
        _ => ApplyResult::Unknown,
    }
}

fn decode(object: Versioned<Value>) -> Result<Versioned<ConfigObject>, StoreError> {
    let value = serde_json::from_value(object.value).map_err(|_| StoreError::Malformed)?;
    Ok(Versioned {
        version: object.version,
        value,
    })
}
