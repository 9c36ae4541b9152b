//! What an engine keeps of the prompts that it has read.

use std::collections::{BTreeSet, HashMap};

use tc_protocol::routing::PromptPart;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    /// Whether it was read to its end; until then no other engine can fetch it.
    is_read: bool,
}

/// Prompt parts at one engine, the least recently used to go first.
#[derive(Debug, Default)]
pub(super) struct KeptParts {
    parts: HashMap<u64, Kept>,
    by_use: BTreeSet<(u64, u64)>,
    tokens: u64,
    uses: u64,
}

impl KeptParts {
    /// Tokens at the start of a prompt that are kept here, those being read included.
    pub(super) fn kept_of(&self, parts: &[PromptPart]) -> u32 {
        self.chain(parts, |_| true)
    }

    /// Tokens at the start of a prompt that another engine can fetch from here.
    pub(super) fn fetchable_of(&self, parts: &[PromptPart]) -> u32 {
        self.chain(parts, |kept| kept.is_read)
    }

    /// A part counts only if all parts before it are kept too.
    fn chain(&self, parts: &[PromptPart], counts: impl Fn(&Kept) -> bool) -> u32 {
        let kept = parts
            .iter()
            .map_while(|part| self.parts.get(&part.id).filter(|kept| counts(kept)));
        kept.map(|kept| kept.tokens).fold(0, u32::saturating_add)
    }

    /// A prompt is about to be read here, or was read to its end.
    pub(super) fn note(&mut self, parts: &[PromptPart], is_read: bool, most_tokens: u64) {
        for part in parts {
            let known = self.take(part.id);
            self.put(
                part.id,
                Kept {
                    tokens: part.tokens,
                    used: 0,
                    is_read: is_read || known.is_some_and(|known| known.is_read),
                },
            );
        }
        while self.tokens > most_tokens
            && let Some(&(_, oldest)) = self.by_use.first()
        {
            self.take(oldest);
        }
    }

    /// A prompt was not read to its end: what only it would have left here is not kept.
    pub(super) fn not_read(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if self.parts.get(&part.id).is_some_and(|kept| !kept.is_read) {
                self.take(part.id);
            }
        }
    }

    fn put(&mut self, id: u64, kept: Kept) {
        self.uses += 1;
        let kept = Kept {
            used: self.uses,
            ..kept
        };
        self.tokens += u64::from(kept.tokens);
        self.by_use.insert((kept.used, id));
        self.parts.insert(id, kept);
    }

    fn take(&mut self, id: u64) -> Option<Kept> {
        let kept = self.parts.remove(&id)?;
        self.tokens = self.tokens.saturating_sub(u64::from(kept.tokens));
        self.by_use.remove(&(kept.used, id));
        Some(kept)
    }
}
