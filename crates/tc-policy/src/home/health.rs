//! Whether an upstream is an outlier of its service: much slower than the others, or failing.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::{MonoTime, Outcome, PermitId, Release};

use super::{concurrency::millis, queue::FlowKey};

/// Service time against the service's median, as a factor, from which an upstream is an outlier.
const OUTLIER_FACTOR: f64 = 3.0;
/// Service time against the service's median, as a factor, from which its concurrency is lowered.
const SLOW_FACTOR: f64 = 2.0;
/// A cancelled call counts from this factor on; a call cut short would have taken longer still, by this factor.
const CUT_SHORT_FACTOR: f64 = 2.0;
/// Calls remembered.
const MOST_TIMES: usize = 32;
/// Fewest calls whose median says something.
const FEWEST_TIMES: usize = 6;
/// How long a call is remembered.
const TIMES_LAST: Duration = Duration::from_secs(30);
/// Outcomes remembered.
const MOST_OUTCOMES: usize = 16;
/// Fewest outcomes whose failures say something.
const FEWEST_OUTCOMES: usize = 8;
/// Failures in a row from which an upstream is an outlier at once.
const FAILURES_IN_A_ROW: usize = 4;
/// Calls between two judgements.
const JUDGE_EVERY: u32 = 4;
/// Bad judgements in a row after which it is ejected.
const STRIKES: u32 = 2;
/// First time between an ejection and its probe.
const FIRST_PROBE_AFTER: Duration = Duration::from_millis(500);
/// Longest time between two probes.
const LONGEST_PROBE_AFTER: Duration = Duration::from_secs(10);
/// Good probes in a row that bring it back.
const GOOD_PROBES: u32 = 2;

/// What a judgement asks of the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Advice {
    /// Nothing.
    Keep,
    /// Lower the concurrency.
    Lower,
    /// Take no ordinary calls; probes only.
    Eject,
    /// Take calls again, carefully.
    Return,
}

/// A call that ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended<'a> {
    pub(super) release: &'a Release,
    /// Its workspace.
    pub(super) flow: FlowKey,
    /// Service time expected of a call of its size, in milliseconds; zero when that is not known.
    pub(super) expected_ms: f64,
}

/// Service time of a call, in milliseconds, and what was expected.
#[derive(Clone, Copy, Debug)]
struct Timed {
    at: MonoTime,
    ms: f64,
    expected_ms: f64,
}

#[derive(Debug)]
struct Ejected {
    next_probe: MonoTime,
    interval: Duration,
    good: u32,
    probe: Option<PermitId>,
}

/// What is known of an upstream's health.
#[derive(Debug, Default)]
pub(super) struct Health {
    times: VecDeque<Timed>,
    median_ms: f64,
    /// The last outcomes: whose call, and whether it failed.
    outcomes: VecDeque<(FlowKey, bool)>,
    since_judged: u32,
    strikes: u32,
    service_median_ms: Option<f64>,
    may_eject: bool,
    ejected: Option<Ejected>,
}

impl Health {
    /// Takes in what is typical of the service, and whether one more of it may be out.
    pub(super) fn set_service(&mut self, median_ms: Option<f64>, may_eject: bool) -> Advice {
        self.service_median_ms = median_ms.filter(|&ms| ms > 0.0);
        self.may_eject = may_eject;
        if !may_eject && self.ejected.is_some() {
            self.come_back();
            return Advice::Return;
        }
        Advice::Keep
    }

    /// The upstream is another process now.
    pub(super) fn restarted(&mut self) -> Advice {
        let was_ejected = self.ejected.is_some();
        self.come_back();
        if was_ejected {
            return Advice::Return;
        }
        Advice::Keep
    }

    /// Median service time in milliseconds; 0 while unknown.
    pub(super) fn median_ms(&self, now: MonoTime) -> f64 {
        match self.times.back() {
            Some(last) if now.since(last.at) < TIMES_LAST => self.median_ms,
            _ => 0.0,
        }
    }

    pub(super) const fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Whether a probe may start.
    pub(super) fn probe_due(&self, now: MonoTime) -> bool {
        self.ejected
            .as_ref()
            .is_some_and(|e| e.probe.is_none() && e.next_probe <= now)
    }

    /// When the next probe may start, when none runs.
    pub(super) fn next_probe(&self) -> Option<MonoTime> {
        let ejected = self.ejected.as_ref()?;
        ejected.probe.is_none().then_some(ejected.next_probe)
    }

    pub(super) const fn probe_started(&mut self, permit: PermitId) {
        if let Some(ejected) = &mut self.ejected {
            ejected.probe = Some(permit);
        }
    }

    /// The permit ended without telling anything of the upstream.
    pub(super) fn ended_untold(&mut self, permit: PermitId) {
        if let Some(ejected) = &mut self.ejected
            && ejected.probe == Some(permit)
        {
            ejected.probe = None;
        }
    }

    /// A call ended.
    pub(super) fn record(&mut self, now: MonoTime, ended: &Ended<'_>) -> Advice {
        let permit = ended.release.permit;
        let Some((ms, failed)) = self.evidence(ended) else {
            self.ended_untold(permit);
            return Advice::Keep;
        };
        if self.ejected.is_some() {
            let slow = ms.is_some_and(|ms| self.is_slow(ms, ended.expected_ms, OUTLIER_FACTOR));
            return self.record_ejected(now, permit, failed || slow);
        }
        if let Some(ms) = ms {
            self.times.push_back(Timed {
                at: now,
                ms,
                expected_ms: ended.expected_ms,
            });
        }
        self.outcomes.push_back((ended.flow, failed));
        if self.outcomes.len() > MOST_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.since_judged += 1;
        if self.since_judged < JUDGE_EVERY && !self.fails_in_a_row() {
            return Advice::Keep;
        }
        self.judge(now)
    }

    /// Service time in milliseconds and whether the call failed; `None` when it says nothing of the upstream.
    ///
    /// A hanging upstream answers nothing: all that is ever seen of it are calls that timed out, or were given up for
    /// a hedge. So a long call counts as slow though it was cancelled.
    fn evidence(&self, ended: &Ended<'_>) -> Option<(Option<f64>, bool)> {
        let took = millis(ended.release.took);
        match ended.release.outcome {
            Outcome::Answered => Some((Some(took), false)),
            Outcome::TimedOut => Some((Some(took), true)),
            Outcome::Failed | Outcome::Died => Some((None, true)),
            Outcome::Cancelled if self.is_slow(took, ended.expected_ms, CUT_SHORT_FACTOR) => {
                Some((Some(took * CUT_SHORT_FACTOR), false))
            }
            Outcome::Cancelled | Outcome::Rejected | Outcome::Unused => None,
        }
    }

    /// Whether a call took `factor` times as long as is usual in the service, and as its size explains.
    ///
    /// Against the service's median alone, an upstream that holds the prefixes of a workspace with long calls would
    /// look like an outlier and be ejected though nothing is wrong with it.
    fn is_slow(&self, ms: f64, expected_ms: f64, factor: f64) -> bool {
        self.service_median_ms
            .is_some_and(|median| ms >= median.max(expected_ms) * factor)
    }

    /// Whether the last calls all failed, and not only one workspace's of several.
    fn fails_in_a_row(&self) -> bool {
        let mut last = self.outcomes.iter().rev().take(FAILURES_IN_A_ROW);
        let Some(&(flow, _)) = self.outcomes.back() else {
            return false;
        };
        let all_failed = self.outcomes.len() >= FAILURES_IN_A_ROW && last.all(|&(_, f)| f);
        let is_other = |outcome: &&(FlowKey, bool)| outcome.0 != flow;
        let others_failed = self
            .outcomes
            .iter()
            .rev()
            .take(FAILURES_IN_A_ROW)
            .any(|outcome| is_other(&outcome));
        all_failed && (others_failed || !self.outcomes.iter().any(|o| is_other(&o)))
    }

    /// Mean of the workspaces' shares of failures.
    ///
    /// Every workspace counts the same. By calls, one workspace whose every input makes the upstreams fail could get
    /// them lowered and ejected for all others, seen as its burst of bad requests taking the service away.
    fn failing_share(&self) -> f64 {
        let mut counted: Vec<(FlowKey, u32, u32)> = Vec::new();
        for &(flow, failed) in &self.outcomes {
            let index = counted.iter().position(|c| c.0 == flow);
            let index = index.unwrap_or_else(|| {
                counted.push((flow, 0, 0));
                counted.len() - 1
            });
            counted[index].1 += u32::from(failed);
            counted[index].2 += 1;
        }
        let shares = counted
            .iter()
            .map(|&(_, failed, calls)| f64::from(failed) / f64::from(calls));
        shares.sum::<f64>() / (counted.len().max(1) as f64)
    }

    fn judge(&mut self, now: MonoTime) -> Advice {
        self.since_judged = 0;
        self.update_median(now);
        let slow = self.is_mostly_slow(SLOW_FACTOR);
        let outlier = slow && self.is_mostly_slow(OUTLIER_FACTOR);
        let failing = self.outcomes.len() >= FEWEST_OUTCOMES && self.failing_share() > 0.5;
        let failing_now = self.fails_in_a_row();
        if failing_now {
            self.strikes = STRIKES;
        } else if outlier || failing {
            self.strikes += 1;
        } else {
            self.strikes = 0;
        }
        if self.strikes >= STRIKES && self.may_eject {
            self.ejected = Some(Ejected {
                next_probe: now.after(FIRST_PROBE_AFTER),
                interval: FIRST_PROBE_AFTER,
                good: 0,
                probe: None,
            });
            return Advice::Eject;
        }
        if slow || self.strikes > 0 {
            return Advice::Lower;
        }
        Advice::Keep
    }

    /// Whether at least half of the remembered calls were slow.
    fn is_mostly_slow(&self, factor: f64) -> bool {
        let slow = self
            .times
            .iter()
            .filter(|timed| self.is_slow(timed.ms, timed.expected_ms, factor))
            .count();
        self.times.len() >= FEWEST_TIMES && slow * 2 >= self.times.len()
    }

    fn update_median(&mut self, now: MonoTime) {
        while self.times.len() > MOST_TIMES
            || self
                .times
                .front()
                .is_some_and(|timed| now.since(timed.at) >= TIMES_LAST)
        {
            self.times.pop_front();
        }
        let mut sorted: Vec<f64> = self.times.iter().map(|timed| timed.ms).collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let middle = sorted.len().saturating_sub(1) / 2;
        self.median_ms = sorted.get(middle).copied().unwrap_or_default();
    }

    fn record_ejected(&mut self, now: MonoTime, permit: PermitId, bad: bool) -> Advice {
        let Some(ejected) = &mut self.ejected else {
            return Advice::Keep;
        };
        // Calls from before the ejection still end; only the probe says how the upstream is now.
        if ejected.probe != Some(permit) {
            return Advice::Keep;
        }
        ejected.probe = None;
        if bad {
            ejected.good = 0;
            ejected.interval = (ejected.interval * 2).min(LONGEST_PROBE_AFTER);
            ejected.next_probe = now.after(ejected.interval);
            return Advice::Keep;
        }
        ejected.good += 1;
        ejected.next_probe = now;
        if ejected.good < GOOD_PROBES {
            return Advice::Keep;
        }
        self.come_back();
        Advice::Return
    }

    /// The probe's permit expired: as bad as a call that timed out.
    pub(super) fn expired(&mut self, now: MonoTime, permit: PermitId) {
        if self.ejected.is_some() {
            self.record_ejected(now, permit, true);
        }
    }

    fn come_back(&mut self) {
        let (median, may_eject) = (self.service_median_ms, self.may_eject);
        *self = Self {
            service_median_ms: median,
            may_eject,
            ..Self::default()
        };
    }
}
