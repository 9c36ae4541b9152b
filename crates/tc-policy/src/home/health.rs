//! Detects whether an upstream is an outlier in its service: much slower than the others, or failing.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::{MonoTime, Outcome, PermitId, Release};

use super::{concurrency::millis, queue::FlowKey};

/// Ratio to the service's median service time from which a call counts towards ejecting the upstream.
const OUTLIER_FACTOR: f64 = 3.0;
/// Ratio to the service's median service time from which a call counts towards lowering the concurrency.
const SLOW_FACTOR: f64 = 2.0;
/// Ratio to the median from which a cancelled call counts. Its time is then multiplied by this factor, because it would
/// have taken longer if it had not been cancelled.
const CANCELLED_FACTOR: f64 = 2.0;
/// Maximum number of service times kept.
const MAX_SERVICE_TIMES: usize = 32;
/// Minimum number of service times to evaluate.
const MIN_SERVICE_TIMES: usize = 6;
/// Time for which a service time is kept.
const SERVICE_TIME_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of outcomes kept.
const MAX_OUTCOMES: usize = 16;
/// Minimum number of outcomes to evaluate.
const MIN_OUTCOMES: usize = 8;
/// Number of consecutive failures that make an upstream an outlier immediately.
const CONSECUTIVE_FAILURES: usize = 4;
/// Number of calls between two evaluations.
const EVALUATION_INTERVAL: u32 = 4;
/// Number of consecutive bad evaluations after which the upstream is ejected.
const BAD_EVALUATIONS_TO_EJECT: u32 = 2;
/// Time from an ejection to the first probe.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of consecutive successful probes after which the upstream is readmitted.
const PROBES_TO_READMIT: u32 = 2;

/// Action for the home to take after an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthAction {
    /// Change nothing.
    Keep,
    /// Lower the concurrency.
    LowerConcurrency,
    /// Grant probes only.
    Eject,
    /// Grant calls again, starting with a low concurrency.
    Readmit,
}

/// A finished call.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedCall<'a> {
    pub(super) release: &'a Release,
    /// The workspace of the call.
    pub(super) flow: FlowKey,
    /// Expected service time of a call of this size in milliseconds, or zero if unknown.
    pub(super) expected_ms: f64,
}

/// Measured and expected service time of a call, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    at: MonoTime,
    ms: f64,
    expected_ms: f64,
}

/// Probe state of an ejected upstream.
#[derive(Debug)]
struct Ejected {
    next_probe: MonoTime,
    interval: Duration,
    successful: u32,
    probe: Option<PermitId>,
}

/// Health of one upstream.
#[derive(Debug, Default)]
pub(super) struct Health {
    service_times: VecDeque<ServiceTime>,
    median_ms: f64,
    /// The workspace and whether the call failed, for the last calls.
    outcomes: VecDeque<(FlowKey, bool)>,
    calls_since_evaluation: u32,
    bad_evaluations: u32,
    service_median_ms: Option<f64>,
    may_eject: bool,
    ejected: Option<Ejected>,
}

impl Health {
    /// Sets the service's median service time and whether this upstream may be, or stay, ejected.
    pub(super) fn set_service_median(
        &mut self,
        median_ms: Option<f64>,
        may_eject: bool,
    ) -> HealthAction {
        self.service_median_ms = median_ms.filter(|&ms| ms > 0.0);
        self.may_eject = may_eject;
        if !may_eject && self.ejected.is_some() {
            self.reset();
            return HealthAction::Readmit;
        }
        HealthAction::Keep
    }

    /// Resets the state after the upstream restarted.
    pub(super) fn restarted(&mut self) -> HealthAction {
        let was_ejected = self.ejected.is_some();
        self.reset();
        if was_ejected {
            return HealthAction::Readmit;
        }
        HealthAction::Keep
    }

    /// Returns the median service time in milliseconds, or 0 if unknown.
    pub(super) fn median_ms(&self, now: MonoTime) -> f64 {
        match self.service_times.back() {
            Some(last) if now.since(last.at) < SERVICE_TIME_LIFETIME => self.median_ms,
            _ => 0.0,
        }
    }

    pub(super) const fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Returns true if a probe may start.
    pub(super) fn probe_due(&self, now: MonoTime) -> bool {
        self.ejected
            .as_ref()
            .is_some_and(|e| e.probe.is_none() && e.next_probe <= now)
    }

    /// Returns when the next probe may start, or `None` while one is running.
    pub(super) fn next_probe(&self) -> Option<MonoTime> {
        let ejected = self.ejected.as_ref()?;
        ejected.probe.is_none().then_some(ejected.next_probe)
    }

    pub(super) const fn probe_started(&mut self, permit: PermitId) {
        if let Some(ejected) = &mut self.ejected {
            ejected.probe = Some(permit);
        }
    }

    /// Records that a permit ended without evidence about the upstream's health.
    pub(super) fn ended_without_evidence(&mut self, permit: PermitId) {
        if let Some(ejected) = &mut self.ejected
            && ejected.probe == Some(permit)
        {
            ejected.probe = None;
        }
    }

    /// Records a finished call.
    pub(super) fn record(&mut self, now: MonoTime, call: &EndedCall<'_>) -> HealthAction {
        let permit = call.release.permit;
        let Some((ms, failed)) = self.evidence(call) else {
            self.ended_without_evidence(permit);
            return HealthAction::Keep;
        };
        if self.ejected.is_some() {
            let slow = ms.is_some_and(|ms| self.is_slow(ms, call.expected_ms, OUTLIER_FACTOR));
            return self.record_probe(now, permit, failed || slow);
        }
        if let Some(ms) = ms {
            self.service_times.push_back(ServiceTime {
                at: now,
                ms,
                expected_ms: call.expected_ms,
            });
        }
        self.outcomes.push_back((call.flow, failed));
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.calls_since_evaluation += 1;
        if self.calls_since_evaluation < EVALUATION_INTERVAL && !self.failed_consecutively() {
            return HealthAction::Keep;
        }
        self.evaluate(now)
    }

    /// Returns the service time in milliseconds and whether the call failed, or `None` if the call says nothing about
    /// the upstream.
    ///
    /// A hanging upstream never answers. The only evidence of it is calls that timed out or were cancelled in favour
    /// of a hedge, so a long call counts as slow even if it was cancelled.
    fn evidence(&self, call: &EndedCall<'_>) -> Option<(Option<f64>, bool)> {
        let took = millis(call.release.took);
        match call.release.outcome {
            Outcome::Answered => Some((Some(took), false)),
            Outcome::TimedOut => Some((Some(took), true)),
            Outcome::Failed | Outcome::Died => Some((None, true)),
            Outcome::Cancelled if self.is_slow(took, call.expected_ms, CANCELLED_FACTOR) => {
                Some((Some(took * CANCELLED_FACTOR), false))
            }
            Outcome::Cancelled | Outcome::Rejected | Outcome::Unused => None,
        }
    }

    /// Returns true if a call took at least `factor` times the service's median and the time expected for its size.
    ///
    /// Compared with the service's median alone, an upstream that caches the prefixes of a workspace with long calls
    /// would look like an outlier and be ejected although it is healthy.
    fn is_slow(&self, ms: f64, expected_ms: f64, factor: f64) -> bool {
        self.service_median_ms
            .is_some_and(|median| ms >= median.max(expected_ms) * factor)
    }

    /// Returns true if the last calls all failed. If several workspaces have recent calls, failures of one workspace
    /// alone do not count.
    fn failed_consecutively(&self) -> bool {
        let mut last = self.outcomes.iter().rev().take(CONSECUTIVE_FAILURES);
        let Some(&(flow, _)) = self.outcomes.back() else {
            return false;
        };
        let all_failed = self.outcomes.len() >= CONSECUTIVE_FAILURES && last.all(|&(_, f)| f);
        let is_other = |outcome: &&(FlowKey, bool)| outcome.0 != flow;
        let others_failed = self
            .outcomes
            .iter()
            .rev()
            .take(CONSECUTIVE_FAILURES)
            .any(|outcome| is_other(&outcome));
        all_failed && (others_failed || !self.outcomes.iter().any(|o| is_other(&o)))
    }

    /// Returns the mean of the workspaces' failure rates.
    ///
    /// Every workspace has the same weight. If every call had, a burst of bad requests from one workspace, each
    /// making the upstream fail, could get the upstreams slowed down and ejected for all other workspaces.
    fn mean_failure_rate(&self) -> f64 {
        let mut by_flow: Vec<(FlowKey, u32, u32)> = Vec::new();
        for &(flow, failed) in &self.outcomes {
            let index = by_flow.iter().position(|c| c.0 == flow);
            let index = index.unwrap_or_else(|| {
                by_flow.push((flow, 0, 0));
                by_flow.len() - 1
            });
            by_flow[index].1 += u32::from(failed);
            by_flow[index].2 += 1;
        }
        let rates = by_flow
            .iter()
            .map(|&(_, failed, calls)| f64::from(failed) / f64::from(calls));
        rates.sum::<f64>() / (by_flow.len().max(1) as f64)
    }

    fn evaluate(&mut self, now: MonoTime) -> HealthAction {
        self.calls_since_evaluation = 0;
        self.update_median(now);
        let slow = self.is_mostly_slow(SLOW_FACTOR);
        let outlier = slow && self.is_mostly_slow(OUTLIER_FACTOR);
        let failing = self.outcomes.len() >= MIN_OUTCOMES && self.mean_failure_rate() > 0.5;
        let failing_now = self.failed_consecutively();
        if failing_now {
            self.bad_evaluations = BAD_EVALUATIONS_TO_EJECT;
        } else if outlier || failing {
            self.bad_evaluations += 1;
        } else {
            self.bad_evaluations = 0;
        }
        if self.bad_evaluations >= BAD_EVALUATIONS_TO_EJECT && self.may_eject {
            self.ejected = Some(Ejected {
                next_probe: now.after(INITIAL_PROBE_INTERVAL),
                interval: INITIAL_PROBE_INTERVAL,
                successful: 0,
                probe: None,
            });
            return HealthAction::Eject;
        }
        if slow || self.bad_evaluations > 0 {
            return HealthAction::LowerConcurrency;
        }
        HealthAction::Keep
    }

    /// Returns true if at least half of the recent calls were slow.
    fn is_mostly_slow(&self, factor: f64) -> bool {
        let slow = self
            .service_times
            .iter()
            .filter(|time| self.is_slow(time.ms, time.expected_ms, factor))
            .count();
        self.service_times.len() >= MIN_SERVICE_TIMES && slow * 2 >= self.service_times.len()
    }

    fn update_median(&mut self, now: MonoTime) {
        while self.service_times.len() > MAX_SERVICE_TIMES
            || self
                .service_times
                .front()
                .is_some_and(|time| now.since(time.at) >= SERVICE_TIME_LIFETIME)
        {
            self.service_times.pop_front();
        }
        let mut sorted: Vec<f64> = self.service_times.iter().map(|time| time.ms).collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let middle = sorted.len().saturating_sub(1) / 2;
        self.median_ms = sorted.get(middle).copied().unwrap_or_default();
    }

    fn record_probe(&mut self, now: MonoTime, permit: PermitId, bad: bool) -> HealthAction {
        let Some(ejected) = &mut self.ejected else {
            return HealthAction::Keep;
        };
        // Calls that started before the ejection may still end; only the probe shows the current health.
        if ejected.probe != Some(permit) {
            return HealthAction::Keep;
        }
        ejected.probe = None;
        if bad {
            ejected.successful = 0;
            ejected.interval = (ejected.interval * 2).min(MAX_PROBE_INTERVAL);
            ejected.next_probe = now.after(ejected.interval);
            return HealthAction::Keep;
        }
        ejected.successful += 1;
        ejected.next_probe = now;
        if ejected.successful < PROBES_TO_READMIT {
            return HealthAction::Keep;
        }
        self.reset();
        HealthAction::Readmit
    }

    /// Records an expired permit. If it was the probe's, this counts as a failed probe, like a timeout.
    pub(super) fn expired(&mut self, now: MonoTime, permit: PermitId) {
        if self.ejected.is_some() {
            self.record_probe(now, permit, true);
        }
    }

    /// Clears all state except what the service reports.
    fn reset(&mut self) {
        let (median, may_eject) = (self.service_median_ms, self.may_eject);
        *self = Self {
            service_median_ms: median,
            may_eject,
            ..Self::default()
        };
    }
}
