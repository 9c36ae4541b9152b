//! Leases, which ensure that at most one instance at a time sends orders to the upstreams of a
//! service.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tc_protocol::{Incarnation, InstanceId, MonoTime, ServiceName};
use thiserror::Error;

use crate::{Precondition, Purpose, Store, StoreError, Versioned, WriteResult};

/// Kind of the lease objects. The object name is the service name.
pub const LEASE_KIND: &str = "tanagercroft-lease";

/// Fraction of its duration by which another instance's lease must be overdue before it is taken
/// over. The clocks of two machines may run at slightly different rates.
const TAKEOVER_MARGIN: f64 = 0.1;

/// Holder and duration of a lease.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// ID of this instance.
    pub holder: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// How long the lease lasts without renewal.
    pub ttl: Duration,
}

/// Error of acquiring, renewing or releasing a lease.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another instance holds the lease, or acquired it first.
    #[error("the lease is held by another instance")]
    HeldByOther,
    /// The lease has expired. It must be acquired again, with a new fencing token.
    #[error("the lease has expired")]
    Expired,
    /// The response to the write was lost and reading the object back was inconclusive.
    #[error("it is unknown whether the lease was written")]
    Unknown,
    /// A store call failed.
    #[error("the lease object could not be read or written: {0}")]
    Store(#[from] StoreError),
}

/// Stored value of a lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    /// `None` after a release.
    holder: Option<InstanceId>,
    incarnation: Incarnation,
    ttl_ms: u64,
    /// Random, to recognise a write whose response was lost.
    nonce: u64,
}

/// Object version of a lease of another holder, and when it was first seen.
struct ObservedVersion {
    version: u64,
    first_seen: MonoTime,
}

/// Lease of one service, as seen by this instance.
pub struct Lease {
    store: Store,
    name: ServiceName,
    settings: LeaseSettings,
    observed: Option<ObservedVersion>,
}

/// An acquired lease. Its fencing token is available only until the lease expires.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldLease {
    fence: u64,
    version: u64,
    start: MonoTime,
    start_wall: SystemTime,
    ttl: Duration,
}

impl HeldLease {
    /// Returns the fencing token, or `None` if the lease has expired.
    ///
    /// The monotonic clock stops while a virtual machine is suspended, so the wall clock is checked
    /// as well. Otherwise a holder that was suspended past the end of its lease would send orders
    /// alongside its successor.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        let is_expired = self.start_wall.elapsed().is_ok_and(|age| age >= self.ttl);
        if is_expired {
            return None;
        }
        self.fence_at(MonoTime::now())
    }

    /// Returns the fencing token, or `None` if the lease has expired at `now`.
    #[must_use]
    pub fn fence_at(&self, now: MonoTime) -> Option<u64> {
        (now < self.expires_at()).then_some(self.fence)
    }

    /// Returns when the lease expires. Its duration starts before the request that acquired or
    /// renewed it was sent.
    #[must_use]
    pub fn expires_at(&self) -> MonoTime {
        self.start.after(self.ttl)
    }
}

impl Lease {
    /// Creates the lease for orders to the upstreams of `service`, not yet acquired.
    #[must_use]
    pub fn new(store: Store, service: ServiceName, settings: LeaseSettings) -> Self {
        Self {
            store,
            name: service,
            settings,
            observed: None,
        }
    }

    /// Acquires the lease if it is free, released or overdue.
    ///
    /// Another instance's lease counts as overdue if this instance has seen its object unchanged
    /// for the full duration plus a margin, so a new instance waits at least that long.
    pub async fn acquire(&mut self) -> Result<HeldLease, LeaseError> {
        let found = self
            .store
            .get(Purpose::Leases, LEASE_KIND, self.name.as_str())
            .await?;
        let precondition = match found {
            None => Precondition::Absent,
            Some(object) => {
                let version = object.version;
                self.check_available(object)?;
                Precondition::Version(version)
            }
        };
        self.write(precondition, Some(self.settings.holder.clone()))
            .await
    }

    /// Extends a held lease and keeps its fencing token. After a failure the lease still expires at
    /// the previous time, and may have to be acquired again.
    pub async fn renew(&mut self, held: &mut HeldLease) -> Result<(), LeaseError> {
        let fence = held.fence().ok_or(LeaseError::Expired)?;
        let precondition = Precondition::Version(held.version);
        let holder = Some(self.settings.holder.clone());
        let renewed = self.write(precondition, holder).await?;
        *held = HeldLease { fence, ..renewed };
        Ok(())
    }

    /// Releases the lease, so that another instance need not wait until it expires.
    pub async fn release(&mut self, held: HeldLease) -> Result<(), LeaseError> {
        self.write(Precondition::Version(held.version), None)
            .await?;
        Ok(())
    }

    fn check_available(&mut self, object: Versioned<Value>) -> Result<(), LeaseError> {
        let now = MonoTime::now();
        let record: Record =
            serde_json::from_value(object.value).map_err(|_| StoreError::Malformed)?;
        let Some(holder) = record.holder else {
            return Ok(());
        };
        if holder == self.settings.holder && record.incarnation == self.settings.incarnation {
            return Ok(());
        }
        let ttl = Duration::from_millis(record.ttl_ms).mul_f64(1.0 + TAKEOVER_MARGIN);
        match &self.observed {
            Some(observed) if observed.version == object.version => {
                if now.since(observed.first_seen) >= ttl {
                    return Ok(());
                }
            }
            _ => {
                self.observed = Some(ObservedVersion {
                    version: object.version,
                    first_seen: now,
                });
            }
        }
        Err(LeaseError::HeldByOther)
    }

    async fn write(
        &self,
        precondition: Precondition,
        holder: Option<InstanceId>,
    ) -> Result<HeldLease, LeaseError> {
        let (start, start_wall) = (MonoTime::now(), SystemTime::now());
        let record = Record {
            holder,
            incarnation: self.settings.incarnation,
            ttl_ms: self.settings.ttl.as_millis() as u64,
            nonce: rand::random(),
        };
        let value = serde_json::to_value(&record).map_err(|_| StoreError::Malformed)?;
        let is_own_write = |v: &Value| v["nonce"] == record.nonce;
        let name = self.name.as_str();
        let written = self
            .store
            .write_verified(
                Purpose::Leases,
                LEASE_KIND,
                name,
                precondition,
                &value,
                is_own_write,
            )
            .await;
        let version = match written {
            WriteResult::Written { version } => version,
            WriteResult::Conflict { .. } => return Err(LeaseError::HeldByOther),
            WriteResult::NotWritten(e) => return Err(e.into()),
            WriteResult::Unknown { .. } => return Err(LeaseError::Unknown),
        };
        Ok(HeldLease {
            fence: version,
            version,
            start,
            start_wall,
            ttl: self.settings.ttl,
        })
    }
}
