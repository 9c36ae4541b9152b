//! The plan as stored in the platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tc_platform::{Purpose, Store, StoreError};
use tc_protocol::{ServiceName, UpstreamId};

/// Kind of plan objects. An object's name is the service's name.
pub(crate) const PLAN_KIND: &str = "tanagercroft-plan";

/// Value of a plan object. It is written before any order with its fencing token is sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    pub(crate) fence: u64,
    pub(crate) desired: BTreeMap<UpstreamId, String>,
}

/// Returns the fencing token of a service's latest plan, or 0 before the first.
pub(crate) async fn plan_fence(store: &Store, service: &ServiceName) -> Result<u64, StoreError> {
    let found = store
        .get(Purpose::Leases, PLAN_KIND, service.as_str())
        .await?;
    let Some(found) = found else {
        return Ok(0);
    };
    let record: PlanRecord =
        serde_json::from_value(found.value).map_err(|_| StoreError::Malformed)?;
    Ok(record.fence)
}
