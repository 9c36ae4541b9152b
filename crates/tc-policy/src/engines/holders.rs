//! Index of the engines that have the first part of a prompt cached.

use std::collections::{BTreeSet, HashMap};

use tc_protocol::{UpstreamId, routing::PromptPart};

/// Engines by the first part of the prompts that were sent to them. Only parts that begin a prompt are indexed: a part
/// is used only if all parts before it are cached too.
#[derive(Debug, Default)]
pub(super) struct Holders {
    by_first_part: HashMap<u64, BTreeSet<UpstreamId>>,
}

impl Holders {
    pub(super) fn add(&mut self, parts: &[PromptPart], engine: &UpstreamId) {
        let Some(first) = parts.first() else { return };
        let engines = self.by_first_part.entry(first.id).or_default();
        if !engines.contains(engine) {
            engines.insert(engine.clone());
        }
    }

    /// Removes an engine that no longer has these parts cached.
    pub(super) fn remove(&mut self, parts: &[u64], engine: &UpstreamId) {
        for part in parts {
            let Some(engines) = self.by_first_part.get_mut(part) else {
                continue;
            };
            engines.remove(engine);
            if engines.is_empty() {
                self.by_first_part.remove(part);
            }
        }
    }

    /// Keeps only the engines for which `is_known` holds.
    pub(super) fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.by_first_part.retain(|_, engines| {
            engines.retain(&is_known);
            !engines.is_empty()
        });
    }

    /// Returns the engines that have the first of these parts cached.
    pub(super) fn of(&self, parts: &[PromptPart]) -> impl Iterator<Item = &UpstreamId> {
        self.first_part_engines(parts).into_iter().flatten()
    }

    /// Returns true if the engine has the first of these parts cached.
    pub(super) fn contains(&self, parts: &[PromptPart], engine: &UpstreamId) -> bool {
        self.first_part_engines(parts)
            .is_some_and(|engines| engines.contains(engine))
    }

    fn first_part_engines(&self, parts: &[PromptPart]) -> Option<&BTreeSet<UpstreamId>> {
        self.by_first_part.get(&parts.first()?.id)
    }
}
