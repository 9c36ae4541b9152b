//! Decides which requests and prompt parts caused the crashes that they were in flight in.
//!
//! The result depends on the evidence alone, so instances with the same evidence agree.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use tc_protocol::Fingerprint;

use super::{
    SuspectPolicy,
    evidence::{CrashId, EvidenceTable, SuspectKind},
};

/// Crashes that no request explains, from which a part is a culprit. One may be an unrelated crash of an engine that a
/// request with the part ran on.
const MIN_UNEXPLAINED_OF_PART: usize = 2;

/// Culprits, and the crashes that they explain.
#[derive(Clone, Debug, Default)]
pub(super) struct Attribution {
    /// Requests that crash upstreams.
    pub(super) requests: BTreeSet<Fingerprint>,
    /// Parts that crash upstreams. Of several parts in a set at least one does: all were in the same crashes.
    pub(super) parts: BTreeSet<BTreeSet<Fingerprint>>,
    pub(super) explained: BTreeSet<CrashId>,
}

impl Attribution {
    /// Attributes crashes to the fingerprints in `known`, and to those that enough crashes single out.
    ///
    /// Requests come first: a request that is sent again and again crashes upstreams with all of its parts.
    pub(super) fn of(
        evidence: &EvidenceTable,
        known: impl Iterator<Item = Fingerprint>,
        policy: &SuspectPolicy,
    ) -> Self {
        let mut attribution = Self {
            explained: known.flat_map(|fp| evidence.crashes(fp)).collect(),
            ..Self::default()
        };
        attribution.add_requests(evidence, policy.crashes_to_quarantine);
        attribution.add_parts(evidence, policy.crashes_to_quarantine_part);
        attribution
    }

    fn add_requests(&mut self, evidence: &EvidenceTable, threshold: u32) {
        let kind = SuspectKind::Request;
        let candidates = by_crash_count(evidence, kind, threshold);
        if candidates.is_empty() {
            return;
        }
        let most = most_crashed(evidence, kind);
        for candidates in candidates.into_values().rev() {
            let is_singled_out = |fp: &Fingerprint| {
                let mut unexplained = self.unexplained(evidence, *fp);
                unexplained.any(|crash| most[&crash] == BTreeSet::from([*fp]))
            };
            let culprits: Vec<_> = candidates.into_iter().filter(is_singled_out).collect();
            for fp in culprits {
                self.explained.extend(evidence.crashes(fp));
                self.requests.insert(fp);
            }
        }
    }

    fn add_parts(&mut self, evidence: &EvidenceTable, threshold: u32) {
        let kind = SuspectKind::PromptPart;
        let candidates = by_crash_count(evidence, kind, threshold);
        if candidates.is_empty() {
            return;
        }
        let most = most_crashed(evidence, kind);
        for candidates in candidates.into_values().rev() {
            let singled_out = |fp: Fingerprint| {
                let unexplained: Vec<_> = self.unexplained(evidence, fp).collect();
                if unexplained.len() < MIN_UNEXPLAINED_OF_PART {
                    return None;
                }
                let crashes: Vec<_> = evidence.crashes(fp).collect();
                let in_same_crashes =
                    |other: &Fingerprint| evidence.crashes(*other).eq(crashes.iter().copied());
                unexplained
                    .iter()
                    .map(|crash| &most[crash])
                    .find(|most| most.contains(&fp) && most.iter().all(in_same_crashes))
                    .cloned()
            };
            let culprits: Vec<_> = candidates.into_iter().filter_map(singled_out).collect();
            for set in culprits {
                let crashes = set.first().map(|fp| evidence.crashes(*fp));
                self.explained.extend(crashes.into_iter().flatten());
                self.parts.insert(set);
            }
        }
    }

    fn unexplained<'a>(
        &'a self,
        evidence: &'a EvidenceTable,
        fp: Fingerprint,
    ) -> impl Iterator<Item = CrashId> + 'a {
        let crashes = evidence.crashes(fp);
        crashes.filter(|crash| !self.explained.contains(crash))
    }
}

/// Returns the fingerprints that were in at least `threshold` crashes, by their number.
fn by_crash_count(
    evidence: &EvidenceTable,
    kind: SuspectKind,
    threshold: u32,
) -> BTreeMap<usize, Vec<Fingerprint>> {
    let mut by_count: BTreeMap<usize, Vec<Fingerprint>> = BTreeMap::new();
    for fp in evidence.of_kind(kind) {
        let count = evidence.crashes(fp).count();
        if count >= threshold.max(1) as usize {
            by_count.entry(count).or_default().push(fp);
        }
    }
    by_count
}

/// Returns for each crash the fingerprints in flight that were in the most crashes.
fn most_crashed(
    evidence: &EvidenceTable,
    kind: SuspectKind,
) -> HashMap<CrashId, BTreeSet<Fingerprint>> {
    let mut most: HashMap<CrashId, (usize, BTreeSet<Fingerprint>)> = HashMap::new();
    for fp in evidence.of_kind(kind) {
        let count = evidence.crashes(fp).count();
        for crash in evidence.crashes(fp) {
            let (best, holders) = most.entry(crash).or_default();
            match count.cmp(best) {
                Ordering::Less => {}
                Ordering::Equal => {
                    holders.insert(fp);
                }
                Ordering::Greater => (*best, *holders) = (count, BTreeSet::from([fp])),
            }
        }
    }
    most.into_iter()
        .map(|(crash, (_, holders))| (crash, holders))
        .collect()
}
