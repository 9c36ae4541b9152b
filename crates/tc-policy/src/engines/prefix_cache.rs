//! Model of the prompt parts that an engine has cached.

use std::collections::{BTreeSet, HashMap};

use tc_protocol::routing::PromptPart;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
    /// Whether the engine has read the part completely; other engines cannot fetch it before.
    is_complete: bool,
}

/// Prompt parts cached at one engine, with least-recently-used eviction.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    by_use: BTreeSet<(u64, u64)>,
    tokens: u64,
    use_count: u64,
}

impl PrefixCache {
    /// Returns the number of leading prompt tokens that are cached here, including parts that are still being read.
    pub(super) fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        self.sum_leading(parts, |_| true)
    }

    /// Returns the number of leading prompt tokens that another engine can fetch from here.
    pub(super) fn fetchable_tokens(&self, parts: &[PromptPart]) -> u32 {
        self.sum_leading(parts, |part| part.is_complete)
    }

    /// Sums the leading parts that match; a part counts only if all parts before it are cached too.
    fn sum_leading(&self, parts: &[PromptPart], matches: impl Fn(&CachedPart) -> bool) -> u32 {
        let cached = parts
            .iter()
            .map_while(|part| self.parts.get(&part.id).filter(|cached| matches(cached)));
        cached.map(|part| part.tokens).fold(0, u32::saturating_add)
    }

    /// Inserts the parts of a prompt that is about to be read here, or was read completely. Returns
    /// the parts evicted for them.
    pub(super) fn insert(
        &mut self,
        parts: &[PromptPart],
        is_complete: bool,
        capacity_tokens: u64,
    ) -> Vec<u64> {
        for part in parts {
            let known = self.take(part.id);
            self.add(
                part.id,
                CachedPart {
                    tokens: part.tokens,
                    last_use: 0,
                    is_complete: is_complete || known.is_some_and(|known| known.is_complete),
                },
            );
        }
        let mut evicted = Vec::new();
        while self.tokens > capacity_tokens
            && let Some(&(_, oldest)) = self.by_use.first()
        {
            self.take(oldest);
            evicted.push(oldest);
        }
        evicted
    }

    /// Removes and returns the parts that only an aborted prompt would have cached.
    pub(super) fn remove_incomplete(&mut self, parts: &[PromptPart]) -> Vec<u64> {
        let is_incomplete = |part: &&PromptPart| {
            let cached = self.parts.get(&part.id);
            cached.is_some_and(|cached| !cached.is_complete)
        };
        let incomplete: Vec<u64> = parts.iter().filter(is_incomplete).map(|p| p.id).collect();
        for id in &incomplete {
            self.take(*id);
        }
        incomplete
    }

    fn add(&mut self, id: u64, part: CachedPart) {
        self.use_count += 1;
        let part = CachedPart {
            last_use: self.use_count,
            ..part
        };
        self.tokens += u64::from(part.tokens);
        self.by_use.insert((part.last_use, id));
        self.parts.insert(id, part);
    }

    fn take(&mut self, id: u64) -> Option<CachedPart> {
        let part = self.parts.remove(&id)?;
        self.tokens = self.tokens.saturating_sub(u64::from(part.tokens));
        self.by_use.remove(&(part.last_use, id));
        Some(part)
    }
}
