//! Writes that tell truthfully whether they took effect.

use std::time::Duration;

use serde_json::Value;

use super::{Purpose, Store, Versioned};
use crate::{Backoff, StoreError};

/// Tries of a write or of reading it back before its fate is called unknown.
const MAX_ATTEMPTS: u32 = 4;
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What an object must be like for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// It must not exist.
    Absent,
    /// It must have this version.
    Version(u64),
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// It took effect.
    Written {
        /// Version of the object that holds it.
        version: u64,
    },
    /// It surely did not and will not take effect: the object is not as expected.
    Conflict {
        /// The object as found afterwards, when it exists and could be read.
        current: Option<Versioned<Value>>,
    },
    /// It surely did not take effect: the store was not reached or refused it.
    NotWritten(StoreError),
    /// It may have taken effect. With `current`, the object has moved on since, and may or may not have held ours.
    Unknown {
        /// The object as found afterwards, when it exists and could be read.
        current: Option<Versioned<Value>>,
    },
}

impl Store {
    /// Writes an object and reads it back when the answer was lost.
    ///
    /// `is_ours` recognises the value of this very write, by a random identifier in it; it must not hold for
    /// anybody else's write, nor for an earlier one of ours.
    pub async fn write_verified(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        precondition: Precondition,
        value: &Value,
        is_own_write: impl Fn(&Value) -> bool,
    ) -> WriteResult {
        let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut maybe_applied = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.put(purpose, kind, name, precondition, value).await {
                Ok(version) => return WriteResult::Written { version },
                Err(StoreError::Conflict { .. }) if !maybe_applied => {
                    let current = self.get(purpose, kind, name).await.ok().flatten();
                    return WriteResult::Conflict { current };
                }
                Err(StoreError::MaybeApplied) => maybe_applied = true,
                Err(e) if !maybe_applied => return WriteResult::NotWritten(e),
                Err(_) => {}
            }
            // Lost answer: the object itself knows. An unchanged object says nothing, since the write may still be
            // on its way; writing the same again with the same condition settles it.
            match self.get(purpose, kind, name).await {
                Ok(Some(current)) if is_own_write(&current.value) => {
                    return WriteResult::Written {
                        version: current.version,
                    };
                }
                Ok(current) if !holds(precondition, current.as_ref()) => {
                    return WriteResult::Unknown { current };
                }
                Ok(_) | Err(_) => backoff.wait().await,
            }
        }
        WriteResult::Unknown { current: None }
    }
}

fn holds(precondition: Precondition, current: Option<&Versioned<Value>>) -> bool {
    match precondition {
        Precondition::Absent => current.is_none(),
        Precondition::Version(v) => current.is_some_and(|c| c.version == v),
    }
}
