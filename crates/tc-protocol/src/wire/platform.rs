//! The platform's object API and instance list, and the address answer.
//!
//! Object API: `GET /objects/{kind}/{name}` answers the value with its version as `ETag: "7"`;
//! `PUT` with `If-Match: "7"` or `If-None-Match: *` writes if the version still fits (200 with the new `ETag`, else
//! 412); `DELETE` with `If-Match`; `GET /objects/{kind}` lists; `GET /objects/{kind}/{name}?watch=7&timeout_ms=1000`
//! answers as soon as the version is above 7 (200), or 304 after the timeout. Watching version 0 of an object that
//! does not exist waits for its creation. Versions rise by one over all objects, so a deleted and re-created object
//! never has an old version. `GET /instances` answers an [`InstanceList`].

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{FailureDomain, Incarnation, InstanceId, Region, ServiceName};

/// Largest object value the platform holds, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Kind of the configuration object.
pub const CONFIG_KIND: &str = "tanagercroft-config";
/// Name of the one configuration object.
pub const CONFIG_NAME: &str = "fleet";

/// One object in a list answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectItem {
    /// Name within its kind.
    pub name: String,
    /// Its version.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// Answer to a list request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The objects in order of name.
    pub items: Vec<ObjectItem>,
}

/// Value of the configuration object: the operators' files as they are, merged by whoever reads it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// Rises by one with every accepted change.
    pub revision: u64,
    /// Files by name; merged in this order.
    pub files: BTreeMap<String, ConfigFile>,
    /// Who applied it, for `config history`.
    pub applied_by: String,
    /// Random identifier of the apply, to recognise our own write when its answer was lost.
    pub apply_id: String,
    /// Unix time of the apply in milliseconds; for people only.
    pub applied_at_ms: u64,
}

/// One configuration file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    /// The file's text.
    pub text: String,
    /// Revision in which the text last changed.
    pub revision: u64,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Running.
    Live,
    /// About to stop; must get no new work.
    Leaving,
}

/// One entry of the instance list: an entry instance of this system or an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Identifier: an [`InstanceId`] or, with `service`, an upstream's identifier.
    pub id: InstanceId,
    /// The service it belongs to; absent for an instance of this system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Where it listens; for an instance of this system, its fleet address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Its state.
    pub state: ListedState,
}

/// Answer of the platform's instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Rises with every change.
    pub version: u64,
    /// The instances in order of identifier.
    pub instances: Vec<ListedInstance>,
}

/// Answer to `GET /v1/instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses to use, best first.
    pub instances: Vec<CallerAddress>,
    /// How long the answer may be kept, in seconds.
    pub max_age_s: u64,
}

/// One address in the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAddress {
    /// The instance.
    pub id: InstanceId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// Where to connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Text to echo as `Tanagercroft-Binding` with an idempotency key: `<id>@<incarnation>`.
    pub binding: String,
}
