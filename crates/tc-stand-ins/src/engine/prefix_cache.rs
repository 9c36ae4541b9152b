//! The bounded cache of prompt prefixes.

use std::collections::{BTreeMap, HashMap};

use tc_protocol::Incarnation;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt that decide whether its prefix is cached.
const PREFIX_BYTES: usize = 64;
/// Part of a prompt's tokens that a hit saves, as a divisor and its numerator: three quarters.
const SAVED: (u32, u32) = (3, 4);

/// Least recently used prefixes of one life of an engine.
pub(super) struct PrefixCache {
    limit: usize,
    incarnation: Incarnation,
    clock: u64,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            incarnation: Incarnation::default(),
            clock: 0,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Tokens of the prompt that need no prefill; its prefix is cached from now on.
    pub(super) fn use_prefix(&mut self, life: Incarnation, prompt: &str, tokens: u32) -> u32 {
        if self.incarnation != life {
            self.forget_all(life);
        }
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        if self.touch(xxh3_64(prefix)) {
            tokens * SAVED.0 / SAVED.1
        } else {
            0
        }
    }

    fn forget_all(&mut self, life: Incarnation) {
        self.incarnation = life;
        self.used_at.clear();
        self.by_use.clear();
    }

    /// Notes a use of a prefix; says whether it was cached.
    fn touch(&mut self, prefix: u64) -> bool {
        if self.limit == 0 {
            return false;
        }
        self.clock += 1;
        let last_use = self.used_at.insert(prefix, self.clock);
        self.by_use.insert(self.clock, prefix);
        if let Some(last_use) = last_use {
            self.by_use.remove(&last_use);
            return true;
        }
        if self.used_at.len() > self.limit
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.used_at.remove(&oldest);
        }
        false
    }
}
