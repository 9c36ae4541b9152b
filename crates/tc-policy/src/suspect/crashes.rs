//! Records crashes as evidence against the requests and prompt parts that were in flight.

use tc_protocol::{Fingerprint, Incarnation, MonoTime, UpstreamId};

use super::{CrashId, SuspectKind, Suspects};

impl Suspects {
    /// Records that an upstream crashed with the requests `fps` in flight. A crash that several entries report counts once.
    ///
    /// Report all fingerprints in flight: an instance that knows only some of them cannot tell the culprit from the
    /// others.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        fps: &[Fingerprint],
    ) {
        let crash = CrashId::of(upstream, incarnation);
        self.add_crash(now, (crash, SuspectKind::Request, false), fps);
    }

    /// Records that an upstream crashed while the request `fp` ran on it as a trial.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_policy::{SuspectPolicy, Suspects};
    /// use tc_protocol::{Fingerprint, Incarnation, MonoTime};
    /// let mut suspects = Suspects::with_policy(SuspectPolicy {
    ///     crashes_to_quarantine: 2,
    ///     crashes_to_quarantine_part: 4,
    ///     crashes_to_trial: 2,
    ///     needs_lone_crash: true,
    ///     trial_delay: Duration::ZERO,
    ///     quarantine_duration: None,
    /// });
    /// let (now, page) = (MonoTime(1), Fingerprint(7));
    /// for upstream in ["gen-1", "gen-2", "gen-3"] {
    ///     suspects.record_crash(now, &upstream.into(), Incarnation(1), &[page]);
    /// }
    /// assert!(!suspects.is_quarantined(page));
    /// suspects.record_lone_crash(now, &"gen-4".into(), Incarnation(1), page);
    /// assert!(suspects.is_quarantined(page));
    /// ```
    pub fn record_lone_crash(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        fp: Fingerprint,
    ) {
        let crash = CrashId::of(upstream, incarnation);
        self.add_crash(now, (crash, SuspectKind::Request, true), &[fp]);
    }

    /// Records that an upstream crashed with requests in flight whose prompts had `parts`.
    ///
    /// ```
    /// use tc_policy::Suspects;
    /// use tc_protocol::{Fingerprint, Incarnation, MonoTime};
    /// let (mut suspects, culprit) = (Suspects::new(3), Fingerprint(7));
    /// for (upstream, other) in [("gen-1", 1), ("gen-2", 2), ("gen-3", 3)] {
    ///     let parts = [culprit, Fingerprint(other)];
    ///     suspects.record_crash_with_parts(MonoTime(1), &upstream.into(), Incarnation(1), &parts);
    /// }
    /// assert!(suspects.has_quarantined_part(&[Fingerprint(4), culprit]));
    /// assert!(!suspects.has_quarantined_part(&[Fingerprint(1), Fingerprint(2)]));
    /// ```
    pub fn record_crash_with_parts(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        parts: &[Fingerprint],
    ) {
        let crash = CrashId::of(upstream, incarnation);
        self.add_crash(now, (crash, SuspectKind::PromptPart, false), parts);
    }

    fn add_crash(
        &mut self,
        now: MonoTime,
        (crash, kind, was_alone): (CrashId, SuspectKind, bool),
        fps: &[Fingerprint],
    ) {
        self.remove_expired(now);
        let mut is_changed = false;
        for &fp in fps {
            self.trials.remove(&fp);
            is_changed |= self.evidence.add(now, fp, kind, crash, was_alone);
        }
        if is_changed && self.may_change_attribution(fps) {
            self.attribute(now);
        }
    }
}
