//! Storage of quarantined fingerprints: those of requests that crashed upstreams, so that no
//! instance runs them again.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tc_protocol::{Fingerprint, ServiceName, WorkspaceName};

use crate::{Precondition, Purpose, Store, StoreError, Versioned, WriteResult};

/// Kind of the objects that hold quarantined fingerprints.
pub const QUARANTINE_KIND: &str = "tanagercroft-quarantine";

/// Kind of the objects that show which quarantines were lifted, for instances that know of such a
/// quarantine and have not listed it.
const LIFTED_KIND: &str = "tanagercroft-lifted-quarantine";
/// Time after which a lift is ignored. Instances list the quarantines every few seconds, or every
/// minute in the largest fleets.
const LIFT_RETENTION: Duration = Duration::from_hours(1);

/// A quarantined fingerprint and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Workspace that sent the request.
    pub workspace: WorkspaceName,
    /// Service whose upstreams crashed.
    pub service: ServiceName,
    /// Number of upstreams that crashed.
    pub crashes: u32,
    /// Unix time of the quarantine in milliseconds, for display only.
    pub added_at_ms: u64,
}

/// Lists all quarantined fingerprints. Objects that cannot be decoded are skipped with a warning.
pub async fn list_quarantined(store: &Store) -> Result<Vec<Quarantined>, StoreError> {
    let items = store.list(Purpose::Quarantine, QUARANTINE_KIND).await?;
    let decode = |item: tc_protocol::wire::ObjectItem| {
        serde_json::from_value(item.value)
            .inspect_err(|e| log::warn!("cannot decode quarantine object {}: {e}", item.name))
            .ok()
    };
    Ok(items.into_iter().filter_map(decode).collect())
}

/// Quarantines a fingerprint. Repeating the call is harmless.
pub async fn add_quarantined(store: &Store, entry: &Quarantined) -> Result<(), StoreError> {
    let value = serde_json::to_value(entry).map_err(|_| StoreError::Malformed)?;
    let name = object_name(entry.fingerprint);
    let purpose = Purpose::Quarantine;
    let written = store
        .write_verified(
            purpose,
            QUARANTINE_KIND,
            &name,
            Precondition::Absent,
            &value,
            |_| true,
        )
        .await;
    match written {
        WriteResult::Written { .. } | WriteResult::Conflict { .. } => Ok(()),
        WriteResult::NotWritten(e) => Err(e),
        WriteResult::Unknown { .. } => Err(StoreError::MaybeApplied),
    }
}

/// A lift of a quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lift {
    /// Distinguishes the lifts of a fingerprint.
    id: u64,
    /// Unix time in milliseconds.
    lifted_at_ms: u64,
}

/// Returns the last lift of a fingerprint's quarantine, unless it was long ago.
pub async fn last_lift(
    store: &Store,
    fingerprint: Fingerprint,
) -> Result<Option<Lift>, StoreError> {
    let name = object_name(fingerprint);
    let found = store.get(Purpose::Quarantine, LIFTED_KIND, &name).await?;
    let decode = |found: Versioned<Value>| serde_json::from_value::<Lift>(found.value).ok();
    let oldest_ms = unix_ms().saturating_sub(LIFT_RETENTION.as_millis() as u64);
    Ok(found
        .and_then(decode)
        .filter(|lift| lift.lifted_at_ms >= oldest_ms))
}

async fn record_lift(store: &Store, fingerprint: Fingerprint) -> Result<(), StoreError> {
    let name = object_name(fingerprint);
    let purpose = Purpose::Quarantine;
    let lift = Lift {
        id: rand::random(),
        lifted_at_ms: unix_ms(),
    };
    let value = serde_json::to_value(&lift).map_err(|_| StoreError::Malformed)?;
    let found = store.get(purpose, LIFTED_KIND, &name).await?;
    let precondition = found.map_or(Precondition::Absent, |found| {
        Precondition::Version(found.version)
    });
    let is_own = |written: &Value| *written == value;
    let written = store
        .write_verified(purpose, LIFTED_KIND, &name, precondition, &value, is_own)
        .await;
    match written {
        // A conflict is another lift at the same time.
        WriteResult::Written { .. } | WriteResult::Conflict { .. } => Ok(()),
        WriteResult::NotWritten(e) => Err(e),
        WriteResult::Unknown { .. } => Err(StoreError::MaybeApplied),
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Lifts the quarantine of a fingerprint. Returns whether it was quarantined.
pub async fn remove_quarantined(
    store: &Store,
    fingerprint: Fingerprint,
) -> Result<bool, StoreError> {
    let name = object_name(fingerprint);
    let purpose = Purpose::Quarantine;
    let Some(found) = store.get(purpose, QUARANTINE_KIND, &name).await? else {
        return Ok(false);
    };
    // Before the removal: an instance that then misses the quarantine must find the reason.
    record_lift(store, fingerprint).await?;
    store
        .delete(purpose, QUARANTINE_KIND, &name, found.version)
        .await?;
    Ok(true)
}

fn object_name(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint.0)
}
