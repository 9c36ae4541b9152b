//! A store in memory, with writes that get lost, come late, or fail.

use std::{collections::BTreeMap, sync::Arc};

use serde_json::Value;
use tc_platform::{StoreError, Versioned};
use tc_protocol::wire::MAX_OBJECT_BYTES;

pub(crate) const HEAD: &str = "head";

/// What happens to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bolero::TypeGenerator)]
pub(crate) enum WriteFault {
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// Its connection breaks, and it arrives later or never.
    Late,
    /// It surely does not arrive.
    Refused,
}

/// A write that is still on its way, and the life of the writer that sent it.
#[derive(Debug)]
pub(crate) struct LateWrite {
    pub(crate) writer_life: u32,
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
    pub(crate) late: Vec<LateWrite>,
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

    /// Writes if the object's version is `base`, where 0 means that it does not exist.
    pub(crate) fn put(
        &mut self,
        writer_life: u32,
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
                // A conflict's answer can be lost just as well.
                let _ = self.apply(name, base, value);
                Err(StoreError::MaybeApplied)
            }
            Some(WriteFault::Late) => {
                self.late.push(LateWrite {
                    writer_life,
                    base,
                    name: name.clone(),
                    value,
                });
                Err(StoreError::MaybeApplied)
            }
        }
    }

    /// Lets a late write arrive; tells whether it took effect on the head.
    pub(crate) fn deliver(&mut self, late: LateWrite) -> bool {
        let is_head = &*late.name == HEAD;
        self.apply(&late.name, late.base, late.value).is_ok() && is_head
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
