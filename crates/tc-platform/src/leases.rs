//! Leases: at most one instance at a time gives orders to the upstreams of a service.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tc_protocol::{Incarnation, InstanceId, MonoTime, ServiceName};
use thiserror::Error;

use crate::{Precondition, Purpose, Store, StoreError, Versioned, WriteResult};

/// Kind of the lease objects; the name is the service's.
pub const LEASE_KIND: &str = "tanagercroft-lease";

/// Part of its duration that a foreign lease must be overdue before it is taken over: clocks of two machines may
/// run at slightly different rates.
const TAKEOVER_MARGIN: f64 = 0.1;

/// Who holds a lease and for how long.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// This instance.
    pub holder: InstanceId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// How long the lease lasts without renewal.
    pub ttl: Duration,
}

/// Why a lease is not held.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another instance holds it, or took it first.
    #[error("the lease is held by another instance")]
    HeldByOther,
    /// It lapsed; it must be acquired anew, with a new fencing number.
    #[error("the lease lapsed")]
    Expired,
    /// The answer of the write was lost and reading back did not settle it.
    #[error("whether the lease was written is unknown")]
    Unknown,
    /// The store could not be asked.
    #[error("the lease's object could not be used: {0}")]
    Store(#[from] StoreError),
}

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    /// `None` once released.
    holder: Option<InstanceId>,
    incarnation: Incarnation,
    ttl_ms: u64,
    /// Random, to recognise a write whose answer was lost.
    nonce: u64,
}

/// A foreign lease, and when this version of it was first seen.
struct ForeignLease {
    version: u64,
    first_seen: MonoTime,
}

/// One service's lease, as seen by this instance.
pub struct Lease {
    store: Store,
    name: ServiceName,
    settings: LeaseSettings,
    foreign_lease: Option<ForeignLease>,
}

/// A lease that was acquired. Its fencing number can only be had while it has not lapsed.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldLease {
    fence: u64,
    version: u64,
    start: MonoTime,
    start_wall: SystemTime,
    ttl: Duration,
}

impl HeldLease {
    /// The fencing number, unless the lease has lapsed by now.
    ///
    /// Besides the monotonic clock, which stands still while a virtual machine is suspended, it asks the wall
    /// clock: a holder that slept through its lease would otherwise give orders beside its successor.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        let is_expired = self.start_wall.elapsed().is_ok_and(|age| age >= self.ttl);
        if is_expired {
            return None;
        }
        self.fence_at(MonoTime::now())
    }

    /// The fencing number, unless the lease has lapsed at `now`.
    #[must_use]
    pub fn fence_at(&self, now: MonoTime) -> Option<u64> {
        (now < self.expires_at()).then_some(self.fence)
    }

    /// When it lapses, counted from before the request that acquired or renewed it was sent.
    #[must_use]
    pub fn expires_at(&self) -> MonoTime {
        self.start.after(self.ttl)
    }
}

impl Lease {
    /// The lease on orders to the upstreams of `service`.
    #[must_use]
    pub fn new(store: Store, service: ServiceName, settings: LeaseSettings) -> Self {
        Self {
            store,
            name: service,
            settings,
            foreign_lease: None,
        }
    }

    /// Acquires the lease if it is free, released or overdue.
    ///
    /// A foreign lease counts as overdue when its object has not changed for its whole duration and a margin, as
    /// seen by this instance, so a fresh instance waits at least that long.
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

    /// Makes a held lease last longer; the fencing number stays. After a failure the lease still ends when it would
    /// have, and may have to be acquired anew.
    pub async fn renew(&mut self, held: &mut HeldLease) -> Result<(), LeaseError> {
        let fence = held.fence().ok_or(LeaseError::Expired)?;
        let precondition = Precondition::Version(held.version);
        let holder = Some(self.settings.holder.clone());
        let renewed = self.write(precondition, holder).await?;
        *held = HeldLease { fence, ..renewed };
        Ok(())
    }

    /// Gives the lease up, so that another instance need not wait for its end.
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
        match &self.foreign_lease {
            Some(foreign_lease) if foreign_lease.version == object.version => {
                if now.since(foreign_lease.first_seen) >= ttl {
                    return Ok(());
                }
            }
            _ => {
                self.foreign_lease = Some(ForeignLease {
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
