//! Client for the platform's store: objects, claims, leases, the configuration object and the
//! instance list.

mod backoff;
mod claims;
mod config;
mod error;
mod kinds;
mod leases;
mod list;
mod quarantine;
mod store;

pub use backoff::Backoff;
pub use claims::{CLAIM_KIND, Claims, ClaimsSettings, MAX_OUTCOME_BYTES};
pub use config::{ApplyResult, apply_config, read_config, watch_config};
pub use error::StoreError;
pub use kinds::{
    Freshness, KindDialect, ListPage, ObjectEvent, StoredObject, WatchPage, WatchResult,
};
pub use leases::{HeldLease, LEASE_KIND, Lease, LeaseError, LeaseSettings};
pub use quarantine::{
    Lift, QUARANTINE_KIND, Quarantined, add_quarantined, last_lift, list_quarantined,
    remove_quarantined,
};
pub use store::{
    CallProgress, Precondition, Purpose, Store, StoreSettings, Versioned, WriteResult,
};

/// State machine of a claim shard, without clock and I/O. Driven by [`Claims`], and directly by
/// tests.
pub mod claim_shard {
    pub use crate::claims::{
        KeyDigest, Op, Progress, RecordResult, Reply, Shard, ShardLimits, Step, Ticket,
    };
}
