//! Writes that determine whether they took effect if the response is lost.

use std::time::Duration;

use serde_json::Value;

use super::{Purpose, Store, Versioned};
use crate::{Backoff, StoreError};

/// Attempts to write or read back before the result is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// Version of the object after the write.
        version: u64,
    },
    /// The write did not and will not take effect, because the precondition does not hold.
    Conflict {
        /// The object as found afterwards, when it exists and could be read.
        current: Option<Versioned<Value>>,
    },
    /// The write did not take effect: the store was not reached or refused it.
    NotWritten(StoreError),
    /// The write may have taken effect. If `current` is set, the object was changed again since,
    /// and may or may not have held the written value in between.
    Unknown {
        /// The object as found afterwards, when it exists and could be read.
        current: Option<Versioned<Value>>,
    },
}

impl Store {
    /// Writes an object, and reads it back if the response was lost.
    ///
    /// `is_own_write` recognises the value of this write, usually by a random identifier in it. It
    /// must not return true for any other write, including earlier ones of this instance.
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
            // The response was lost, so check the object. An unchanged object proves nothing,
            // because the write may still be in flight. Repeating the write with the same
            // precondition then gives a definite result.
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
