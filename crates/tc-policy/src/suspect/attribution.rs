//! Decides which requests and prompt parts caused the crashes that they were in flight in.
//!
//! The result depends on the evidence alone, so instances with the same evidence agree.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BTreeSet, HashMap},
};

use tc_protocol::Fingerprint;

use super::{
    SuspectPolicy,
    evidence::{CrashId, EvidenceTable, SuspectKind},
};

/// Crashes that nothing else explains, from which a part is a culprit by itself. One may be an unrelated crash of an
/// upstream that a request with the part ran on.
const MIN_UNEXPLAINED_OF_PART: usize = 2;

/// Culprits, and the crashes that they explain.
#[derive(Clone, Debug, Default)]
pub(super) struct Attribution {
    /// Requests that crash upstreams.
    pub(super) requests: BTreeSet<Fingerprint>,
    /// Parts that crash upstreams. Of several parts in a set at least one does.
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
        attribution.add_requests(evidence, policy);
        attribution.add_parts(evidence, policy.crashes_to_quarantine_part);
        attribution
    }

    /// The crashes of a culprit are explained even if it has to crash another upstream alone to be refused: it runs as a
    /// trial, and the others in them are not to blame.
    fn add_requests(&mut self, evidence: &EvidenceTable, policy: &SuspectPolicy) {
        let requests: Vec<_> = evidence.of_kind(SuspectKind::Request).collect();
        let candidates = by_crash_count(evidence, &requests, policy.crashes_to_quarantine);
        if candidates.is_empty() {
            return;
        }
        let most = most_crashed(evidence, &requests);
        for candidates in candidates.into_values().rev() {
            let is_singled_out = |fp: &Fingerprint| {
                let mut unexplained = self.unexplained(evidence, *fp);
                unexplained.any(|crash| most[&crash] == BTreeSet::from([*fp]))
            };
            let culprits: Vec<_> = candidates.into_iter().filter(is_singled_out).collect();
            for fp in culprits {
                self.explained.extend(evidence.crashes(fp));
                if !policy.needs_lone_crash || evidence.has_crashed_alone(fp) {
                    self.requests.insert(fp);
                }
            }
        }
    }

    /// Parts without a completed answer come first. One with a completed answer did not crash each upstream, so it takes
    /// as many crashes that no other part explains, as after a release that cannot bear it.
    fn add_parts(&mut self, evidence: &EvidenceTable, threshold: u32) {
        let threshold = threshold.max(1) as usize;
        for has_completed in [false, true] {
            let parts = evidence.of_kind(SuspectKind::PromptPart);
            let parts: Vec<_> = parts
                .filter(|fp| evidence.has_completed(*fp) == has_completed)
                .collect();
            let min_unexplained = if has_completed {
                threshold
            } else {
                MIN_UNEXPLAINED_OF_PART
            };
            let mut candidates = parts.clone();
            candidates.retain(|fp| evidence.crashes(*fp).count() >= threshold);
            if candidates.is_empty() {
                continue;
            }
            candidates.sort_by_key(|fp| (Reverse(evidence.crashes(*fp).count()), *fp));
            let most = most_crashed(evidence, &parts);
            for fp in candidates {
                let unexplained: Vec<_> = self.unexplained(evidence, fp).collect();
                let is_equal =
                    |other: &Fingerprint| evidence.crashes(*other).eq(evidence.crashes(fp));
                let mut most = unexplained.iter().map(|crash| &most[crash]);
                if unexplained.len() >= min_unexplained
                    && most.any(|most| most.contains(&fp) && most.iter().all(is_equal))
                {
                    self.parts.insert(inseparable_from(evidence, &parts, fp));
                    self.explained.extend(evidence.crashes(fp));
                }
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

/// Returns a part with those of `parts` that its crashes do not tell it apart from: they were in all but too few of them.
fn inseparable_from(
    evidence: &EvidenceTable,
    parts: &[Fingerprint],
    part: Fingerprint,
) -> BTreeSet<Fingerprint> {
    let is_inseparable = |other: &Fingerprint| {
        let others: BTreeSet<CrashId> = evidence.crashes(*other).collect();
        let without = evidence
            .crashes(part)
            .filter(|crash| !others.contains(crash));
        without.count() < MIN_UNEXPLAINED_OF_PART
    };
    let parts = parts.iter().copied();
    parts.filter(is_inseparable).collect()
}

/// Returns the fingerprints that were in at least `threshold` crashes, by their number.
fn by_crash_count(
    evidence: &EvidenceTable,
    fps: &[Fingerprint],
    threshold: u32,
) -> BTreeMap<usize, Vec<Fingerprint>> {
    let mut by_count: BTreeMap<usize, Vec<Fingerprint>> = BTreeMap::new();
    for &fp in fps {
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
    fps: &[Fingerprint],
) -> HashMap<CrashId, BTreeSet<Fingerprint>> {
    let mut most: HashMap<CrashId, (usize, BTreeSet<Fingerprint>)> = HashMap::new();
    for &fp in fps {
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
