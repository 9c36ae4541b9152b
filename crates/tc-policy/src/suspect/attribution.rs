//! Decides which fingerprints caused the crashes that they were in flight in.
//!
//! The result depends on the evidence alone, so instances with the same evidence agree.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tc_protocol::Fingerprint;

use super::evidence::{CrashId, EvidenceTable};

/// Culprits, and the crashes that they explain.
#[derive(Clone, Debug, Default)]
pub(super) struct Attribution {
    pub(super) culprits: BTreeSet<Fingerprint>,
    pub(super) explained: BTreeSet<CrashId>,
}

impl Attribution {
    /// Attributes crashes to the fingerprints in `known`, and to those that at least `crashes_to_quarantine` crashes
    /// single out.
    pub(super) fn of(
        evidence: &EvidenceTable,
        known: impl Iterator<Item = Fingerprint>,
        crashes_to_quarantine: usize,
    ) -> Self {
        let explained = known.flat_map(|fp| evidence.crashes(fp)).collect();
        let mut attribution = Self {
            culprits: BTreeSet::new(),
            explained,
        };
        let mut by_count: BTreeMap<usize, Vec<Fingerprint>> = BTreeMap::new();
        for fp in evidence.fingerprints() {
            let count = evidence.crashes(fp).count();
            if count >= crashes_to_quarantine.max(1) {
                by_count.entry(count).or_default().push(fp);
            }
        }
        if by_count.is_empty() {
            return attribution;
        }
        let most = most_crashed(evidence);
        for candidates in by_count.into_values().rev() {
            let singled_out: Vec<Fingerprint> = candidates
                .into_iter()
                .filter(|&fp| {
                    let mut crashes = evidence.crashes(fp);
                    crashes.any(|crash| {
                        !attribution.explained.contains(&crash) && most[&crash] == Some(fp)
                    })
                })
                .collect();
            for fp in singled_out {
                attribution.explained.extend(evidence.crashes(fp));
                attribution.culprits.insert(fp);
            }
        }
        attribution
    }
}

/// Returns for each crash the fingerprint that was in more crashes than any other in flight, or `None` for a tie.
fn most_crashed(evidence: &EvidenceTable) -> HashMap<CrashId, Option<Fingerprint>> {
    let mut most: HashMap<CrashId, (usize, Option<Fingerprint>)> = HashMap::new();
    for fp in evidence.fingerprints() {
        let count = evidence.crashes(fp).count();
        for crash in evidence.crashes(fp) {
            let (best, holder) = most.entry(crash).or_insert((count, Some(fp)));
            if count > *best {
                (*best, *holder) = (count, Some(fp));
            } else if count == *best && *holder != Some(fp) {
                *holder = None;
            }
        }
    }
    most.into_iter()
        .map(|(crash, (_, holder))| (crash, holder))
        .collect()
}
