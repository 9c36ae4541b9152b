//! The platform's object API and instance list, and the address response.
//!
//! Object API:
//!
//! - `GET /objects/{kind}/{name}` returns the value, with its version as `ETag: "7"`.
//! - `PUT` with `If-Match: "7"` or `If-None-Match: *` writes if the version still matches: 200 with the new `ETag`,
//!   otherwise 412. `DELETE` takes `If-Match`.
//! - `GET /objects/{kind}` lists the objects of a kind.
//! - `GET /objects/{kind}/{name}?watch=7&timeout_ms=1000` returns 200 as soon as the version is above 7, or 304 after
//!   the timeout. Watching version 0 of an object that does not exist waits for its creation.
//!
//! One version counter covers all objects and is incremented with every write, so a deleted and re-created object never
//! has an old version. `GET /instances` returns an [`InstanceList`].

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{FailureDomain, Incarnation, InstanceId, Region, ServiceName};

/// Maximum size of an object value, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Object kind of the configuration.
pub const CONFIG_KIND: &str = "tanagercroft-config";
/// Name of the configuration object, the only one of its kind.
pub const CONFIG_NAME: &str = "fleet";

/// An object in an [`ObjectList`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectItem {
    /// Name within its kind.
    pub name: String,
    /// Version of the object.
    pub version: u64,
    /// Value of the object.
    pub value: Value,
}

/// Response to a list request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Objects, sorted by name.
    pub items: Vec<ObjectItem>,
}

/// Value of the configuration object: the operators' files verbatim, which each reader merges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// Incremented with every accepted change.
    pub revision: u64,
    /// Files by name; they are merged in this order.
    pub files: BTreeMap<String, ConfigFile>,
    /// User who applied the configuration, shown by `config history`.
    pub applied_by: String,
    /// Random identifier of the apply, to recognise this process's own write if its response was lost.
    pub apply_id: String,
    /// Unix time of the apply, in milliseconds; informational only.
    pub applied_at_ms: u64,
}

/// A configuration file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    /// Text of the file.
    pub text: String,
    /// Configuration revision that last changed the text.
    pub revision: u64,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The instance is about to stop and must get no new work.
    Leaving,
}

/// An entry of the instance list: an instance of this system or an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Identifier of the instance or, if `service` is set, of the upstream.
    pub id: InstanceId,
    /// Service of the upstream; absent for an instance of this system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Address it listens on; for an instance of this system, the fleet address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Region.
    pub region: Region,
    /// State of the instance.
    pub state: ListedState,
}

/// The platform's instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Increases with every change.
    pub version: u64,
    /// Instances, sorted by identifier.
    pub instances: Vec<ListedInstance>,
}

/// Response to `GET /v1/instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses to use, in order of preference.
    pub instances: Vec<CallerAddress>,
    /// Time for which the response may be cached, in seconds.
    pub max_age_s: u64,
}

/// An address in an [`AddressAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAddress {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Value to echo in `Tanagercroft-Binding` along with an idempotency key: `<id>@<incarnation>`.
    pub binding: String,
}
