//! Crashes that fingerprints were in flight in, as sets that instances can merge in any order.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tc_protocol::{Fingerprint, Incarnation, MonoTime, UpstreamId};
use xxhash_rust::xxh3::Xxh3;

/// Time after which a crash no longer counts.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// Maximum number of crashes kept per fingerprint.
const MAX_CRASHES_PER_FINGERPRINT: usize = 8;
/// Maximum number of crashes of all fingerprints together.
const MAX_CRASHES: usize = 2_048;

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuspectKind {
    /// A whole request.
    #[default]
    Request,
    /// A part of prompts that requests share.
    PromptPart,
}

/// Identifies a crash: an incarnation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the same identifier on every instance.
    ///
    /// ```
    /// use tc_policy::CrashId;
    /// use tc_protocol::Incarnation;
    /// let first = CrashId::of(&"gen-1".into(), Incarnation(1));
    /// assert_ne!(first, CrashId::of(&"gen-1".into(), Incarnation(2)));
    /// ```
    #[must_use]
    pub fn of(upstream: &UpstreamId, incarnation: Incarnation) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(upstream.as_str().as_bytes());
        Self(hasher.digest())
    }
}

/// What an instance knows of a fingerprint, to send to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// What it stands for.
    pub kind: SuspectKind,
    /// Crashes that it was in flight in.
    pub crashes: Vec<CrashId>,
    /// Those that a completed run has cleared it of.
    pub cleared: Vec<CrashId>,
    /// Those in which no other run of it was in flight anywhere, as it ran as a trial.
    pub alone: Vec<CrashId>,
    /// Time since the last of the crashes.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: MonoTime,
    is_cleared: bool,
    /// Whether it ran as a trial.
    was_alone: bool,
}

type Marks = BTreeMap<CrashId, Mark>;

#[derive(Clone, Debug)]
struct Record {
    kind: SuspectKind,
    marks: Marks,
    /// When this instance last learned anything new.
    changed_at: MonoTime,
}

/// The crashes of all fingerprints.
#[derive(Clone, Debug, Default)]
pub(super) struct EvidenceTable {
    records: HashMap<Fingerprint, Record>,
    count: usize,
}

impl EvidenceTable {
    /// Records a crash that a fingerprint was in flight in. Returns true if it was not known.
    pub(super) fn add(
        &mut self,
        now: MonoTime,
        fp: Fingerprint,
        kind: SuspectKind,
        crash: CrashId,
        was_alone: bool,
    ) -> bool {
        let mark = Mark {
            at: now,
            is_cleared: false,
            was_alone,
        };
        self.mark(now, fp, kind, (crash, mark))
    }

    /// Adds what another instance knows. Returns true if anything was new.
    pub(super) fn merge(&mut self, now: MonoTime, evidence: &CrashEvidence) -> bool {
        if evidence.age >= CRASH_TTL {
            return false;
        }
        let at = now.before(evidence.age);
        let (fp, kind) = (evidence.fingerprint, evidence.kind);
        let mut is_changed = false;
        for (crashes, is_cleared) in [(&evidence.cleared, true), (&evidence.crashes, false)] {
            for &crash in crashes {
                let mark = Mark {
                    at,
                    is_cleared,
                    was_alone: evidence.alone.contains(&crash),
                };
                is_changed |= self.mark(now, fp, kind, (crash, mark));
            }
        }
        is_changed
    }

    /// Clears a fingerprint of all crashes known here. Returns true if there were any.
    pub(super) fn clear(&mut self, now: MonoTime, fp: Fingerprint) -> bool {
        let mut is_changed = false;
        if let Some(record) = self.records.get_mut(&fp) {
            for mark in record.marks.values_mut() {
                is_changed |= !std::mem::replace(&mut mark.is_cleared, true);
            }
            if is_changed {
                record.changed_at = now;
            }
        }
        is_changed
    }

    /// Returns the crashes that count against a fingerprint.
    pub(super) fn crashes(&self, fp: Fingerprint) -> impl Iterator<Item = CrashId> + '_ {
        let record = self.records.get(&fp).into_iter();
        record
            .flat_map(|record| &record.marks)
            .filter(|(_, mark)| !mark.is_cleared)
            .map(|(crash, _)| *crash)
    }

    /// Returns the time of the last crash that counts against a fingerprint.
    pub(super) fn last_crash(&self, fp: Fingerprint) -> Option<MonoTime> {
        let record = self.records.get(&fp)?;
        let counted = record.marks.values().filter(|mark| !mark.is_cleared);
        counted.map(|mark| mark.at).max()
    }

    /// Returns true if a crash in which the fingerprint ran as a trial counts against it.
    pub(super) fn has_crashed_alone(&self, fp: Fingerprint) -> bool {
        let record = self.records.get(&fp);
        let mut marks = record.into_iter().flat_map(|record| record.marks.values());
        marks.any(|mark| mark.was_alone && !mark.is_cleared)
    }

    /// Returns true if a run has cleared the fingerprint of a crash.
    pub(super) fn has_completed(&self, fp: Fingerprint) -> bool {
        let record = self.records.get(&fp);
        record.is_some_and(|record| record.marks.values().any(|mark| mark.is_cleared))
    }

    /// Returns the number of crashes known of a fingerprint, whether or not it was cleared of them.
    pub(super) fn known_crashes(&self, fp: Fingerprint) -> usize {
        let record = self.records.get(&fp);
        record.map_or(0, |record| record.marks.len())
    }

    /// Returns when this instance last learned anything new of a fingerprint.
    pub(super) fn changed_at(&self, fp: Fingerprint) -> Option<MonoTime> {
        self.records.get(&fp).map(|record| record.changed_at)
    }

    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.records.keys().copied()
    }

    pub(super) fn of_kind(&self, kind: SuspectKind) -> impl Iterator<Item = Fingerprint> + '_ {
        let records = self.records.iter();
        records
            .filter(move |(_, record)| record.kind == kind)
            .map(|(fp, _)| *fp)
    }

    pub(super) fn get(&self, now: MonoTime, fp: Fingerprint) -> Option<CrashEvidence> {
        let record = self.records.get(&fp)?;
        let marks = &record.marks;
        let last = marks.values().map(|mark| mark.at).max()?;
        let with_mark = |has_mark: fn(&Mark) -> bool| {
            let marks = marks.iter().filter(|(_, mark)| has_mark(mark));
            marks.map(|(crash, _)| *crash).collect()
        };
        Some(CrashEvidence {
            fingerprint: fp,
            kind: record.kind,
            crashes: with_mark(|mark| !mark.is_cleared),
            cleared: with_mark(|mark| mark.is_cleared),
            alone: with_mark(|mark| mark.was_alone),
            age: now.since(last),
        })
    }

    /// Returns the number of crashes of all fingerprints.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Drops crashes that no longer count. Returns true if there were any.
    pub(super) fn remove_expired(&mut self, now: MonoTime) -> bool {
        let before = self.count;
        self.records.retain(|_, record| {
            let marks = &mut record.marks;
            marks.retain(|_, mark| now.since(mark.at) < CRASH_TTL);
            !marks.is_empty()
        });
        self.count = self.records.values().map(|record| record.marks.len()).sum();
        self.count != before
    }

    fn mark(
        &mut self,
        now: MonoTime,
        fp: Fingerprint,
        kind: SuspectKind,
        (crash, new): (CrashId, Mark),
    ) -> bool {
        let record = self.records.entry(fp).or_insert_with(|| Record {
            kind,
            marks: Marks::new(),
            changed_at: now,
        });
        let marks = &mut record.marks;
        if let Some(mark) = marks.get_mut(&crash) {
            let is_new = (new.is_cleared && !mark.is_cleared) || (new.was_alone && !mark.was_alone);
            mark.is_cleared |= new.is_cleared;
            mark.was_alone |= new.was_alone;
            if is_new {
                record.changed_at = now;
            }
            return is_new;
        }
        if marks.len() >= MAX_CRASHES_PER_FINGERPRINT {
            // Crashes that count are kept: more of them would change nothing, unless it ran alone in the new one.
            let makes_room = |mark: &Mark| mark.is_cleared || (new.was_alone && !mark.was_alone);
            let replaceable = marks.iter().filter(|(_, mark)| makes_room(mark));
            let oldest = replaceable.min_by_key(|(_, mark)| (!mark.is_cleared, mark.at));
            let Some((&oldest, _)) = oldest else {
                return false;
            };
            marks.remove(&oldest);
            self.count -= 1;
        }
        marks.insert(crash, new);
        record.changed_at = now;
        self.count += 1;
        if self.count > MAX_CRASHES {
            self.remove_weakest();
        }
        true
    }

    /// Drops an eighth of the crashes: those of the fingerprints with the fewest crashes that count, and among these of
    /// the ones whose last crash is the oldest.
    fn remove_weakest(&mut self) {
        let strength = |marks: &Marks| {
            let counted = marks.values().filter(|mark| !mark.is_cleared).count();
            (counted, marks.values().map(|mark| mark.at).max())
        };
        let records = self.records.iter();
        let mut ranked: Vec<_> = records.map(|(fp, r)| (strength(&r.marks), *fp)).collect();
        ranked.sort_unstable();
        for (_, fp) in ranked {
            if self.count <= MAX_CRASHES - MAX_CRASHES / 8 {
                return;
            }
            let removed = self.records.remove(&fp);
            self.count -= removed.map_or(0, |record| record.marks.len());
        }
    }
}
