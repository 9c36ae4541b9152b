//! In-memory store whose writes can be lost, delayed or refused.

use std::{collections::BTreeMap, sync::Arc};

use serde_json::Value;
use tc_platform::{StoreError, Versioned};
use tc_protocol::wire::MAX_OBJECT_BYTES;

pub(crate) const HEAD: &str = "head";

/// Fault injected into a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bolero::TypeGenerator)]
pub(crate) enum WriteFault {
    /// The write takes effect, but its response is lost.
    AnswerLost,
    /// The connection breaks, and the write arrives later or never.
    Delayed,
    /// The write is refused and does not take effect.
    Refused,
}

/// A write in flight, with the incarnation of its writer.
#[derive(Debug)]
pub(crate) struct DelayedWrite {
    pub(crate) writer_incarnation: u32,
    base: u64,
    name: Arc<str>,
    value: Value,
}

#[derive(Default)]
pub(crate) struct FakeStore {
    version: u64,
    objects: BTreeMap<Arc<str>, Versioned<Value>>,
    pub(crate) is_down: bool,
    pub(crate) next_write: Option<WriteFault>,
    pub(crate) delayed: Vec<DelayedWrite>,
}

impl FakeStore {
    pub(crate) fn get(&self, name: &str) -> Result<Option<Versioned<Value>>, StoreError> {
        if self.is_down {
            return Err(StoreError::Unreachable);
        }
        Ok(self.objects.get(name).cloned())
    }

    pub(crate) fn names(&self) -> Vec<Arc<str>> {
        self.objects.keys().cloned().collect()
    }

    /// Writes if the object has version `base`, where 0 means that it does not exist.
    pub(crate) fn put(
        &mut self,
        writer_incarnation: u32,
        name: &Arc<str>,
        base: u64,
        value: Value,
    ) -> Result<u64, StoreError> {
        let size = value.to_string().len();
        assert!(size <= MAX_OBJECT_BYTES, "{name} has {size} bytes");
        if self.is_down {
            return Err(StoreError::Unreachable);
        }
        match self.next_write.take() {
            None => self.apply(name, base, value),
            Some(WriteFault::Refused) => Err(StoreError::Refused(429)),
            Some(WriteFault::AnswerLost) => {
                // The response that reports a conflict can be lost as well.
                let _ = self.apply(name, base, value);
                Err(StoreError::MaybeApplied)
            }
            Some(WriteFault::Delayed) => {
                self.delayed.push(DelayedWrite {
                    writer_incarnation,
                    base,
                    name: name.clone(),
                    value,
                });
                Err(StoreError::MaybeApplied)
            }
        }
    }

    /// Delivers a delayed write. Returns whether it changed the head.
    pub(crate) fn deliver(&mut self, delayed: DelayedWrite) -> bool {
        let is_head = &*delayed.name == HEAD;
        self.apply(&delayed.name, delayed.base, delayed.value)
            .is_ok()
            && is_head
    }

    pub(crate) fn delete(&mut self, name: &str) -> bool {
        if self.is_down {
            return false;
        }
        self.objects.remove(name);
        true
    }

    fn apply(&mut self, name: &Arc<str>, base: u64, value: Value) -> Result<u64, StoreError> {
        let current = self.objects.get(name).map(|o| o.version);
        if current.unwrap_or(0) != base {
            return Err(StoreError::Conflict { current });
        }
        self.version += 1;
        let version = self.version;
        let object = Versioned { version, value };
        self.objects.insert(name.clone(), object);
        Ok(version)
    }
}
