//! Evidence that instances send each other.

use std::{cmp::Reverse, time::Duration};

use tc_protocol::{Fingerprint, MonoTime};

use super::{CrashEvidence, Suspects};

/// Time for which the evidence of a fingerprint that was cleared of all crashes is sent to other instances.
const CLEARED_GOSSIP_PERIOD: Duration = Duration::from_secs(30);
/// Crashes from which a fingerprint is sent to all instances.
const MIN_GOSSIPED_CRASHES: usize = 2;

impl Suspects {
    /// Adds evidence that another instance has. Returns true if any of it was new.
    ///
    /// ```
    /// use tc_policy::{Suspects, Trial};
    /// use tc_protocol::{Fingerprint, Incarnation, MonoTime};
    /// let (mut here, mut there, culprit) = (Suspects::new(2), Suspects::new(2), Fingerprint(7));
    /// here.record_crash(MonoTime(1), &"gen-1".into(), Incarnation(1), &[culprit]);
    /// here.record_crash(MonoTime(2), &"gen-2".into(), Incarnation(1), &[culprit]);
    /// for evidence in here.evidence_to_send(MonoTime(3), 8) {
    ///     there.merge(MonoTime(3), &evidence);
    /// }
    /// assert!(matches!(there.try_trial(MonoTime(4), culprit), Trial::Quarantined { .. }));
    /// ```
    pub fn merge(&mut self, now: MonoTime, evidence: &CrashEvidence) -> bool {
        let is_changed = self.evidence.merge(now, evidence);
        if is_changed && self.may_change_attribution(&[evidence.fingerprint]) {
            self.attribute(now);
        }
        is_changed
    }

    /// Returns what is known of a fingerprint, or `None` if it was in no crash.
    #[must_use]
    pub fn evidence_of(&self, now: MonoTime, fp: Fingerprint) -> Option<CrashEvidence> {
        self.evidence.get(now, fp)
    }

    /// Returns true if other instances need to know of a fingerprint.
    #[must_use]
    pub fn is_shared(&self, fp: Fingerprint) -> bool {
        self.evidence.known_crashes(fp) >= MIN_GOSSIPED_CRASHES
    }

    /// Returns false if the fingerprint was cleared of all crashes, and all instances that have them know it.
    fn may_be_news(&self, now: MonoTime, fp: Fingerprint) -> bool {
        let changed_at = self.evidence.changed_at(fp);
        self.crash_count(fp) > 0
            || changed_at.is_some_and(|at| now.since(at) < CLEARED_GOSSIP_PERIOD)
    }

    /// Returns evidence for other instances, of at most `max` fingerprints that were in several crashes: half of them with
    /// the latest changes, the others in turn at each call.
    pub fn evidence_to_send(&mut self, now: MonoTime, max: usize) -> Vec<CrashEvidence> {
        let mut fps: Vec<Fingerprint> = self.evidence.fingerprints().collect();
        fps.retain(|fp| self.is_shared(*fp) && self.may_be_news(now, *fp));
        fps.sort_unstable();
        let start = fps.partition_point(|&fp| fp < self.next_gossiped);
        fps.rotate_left(start);
        let latest = max.min(fps.len()) / 2;
        if latest > 0 && fps.len() > max {
            let by_change = |fp: &Fingerprint| Reverse(self.evidence.changed_at(*fp));
            let mut ranked = fps.clone();
            ranked.select_nth_unstable_by_key(latest - 1, by_change);
            ranked.truncate(latest);
            fps.retain(|fp| !ranked.contains(fp));
            ranked.append(&mut fps);
            fps = ranked;
        }
        self.next_gossiped = fps.get(max).copied().unwrap_or(Fingerprint(0));
        fps.truncate(max);
        fps.into_iter()
            .filter_map(|fp| self.evidence.get(now, fp))
            .collect()
    }
}
