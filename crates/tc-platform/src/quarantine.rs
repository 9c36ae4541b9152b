//! Storage of quarantined fingerprints: those of requests that crashed upstreams, so that no
//! instance runs them again.

use serde::{Deserialize, Serialize};
use tc_protocol::{Fingerprint, ServiceName, WorkspaceName};

use crate::{Precondition, Purpose, Store, StoreError, WriteResult};

/// Kind of the objects that hold quarantined fingerprints.
pub const QUARANTINE_KIND: &str = "tanagercroft-quarantine";

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
    store
        .delete(purpose, QUARANTINE_KIND, &name, found.version)
        .await?;
    Ok(true)
}

fn object_name(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint.0)
}
