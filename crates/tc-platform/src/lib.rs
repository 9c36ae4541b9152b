//! Client of the platform: objects, claims, leases, the configuration object and the instance list.

mod backoff;
mod config;
mod error;
mod leases;
mod quarantine;
mod store;

pub use backoff::Backoff;
pub use config::{ApplyResult, apply_config, read_config, watch_config};
pub use error::StoreError;
pub use leases::{Held, LEASE_KIND, Lease, LeaseError, LeaseSettings};
pub use quarantine::{
    QUARANTINE_KIND, Quarantined, add_quarantined, list_quarantined, remove_quarantined,
};
pub use store::{Expect, Purpose, Store, StoreSettings, SureWrite, Versioned};
