//! State of one engine at its home.

use std::time::Duration;

use tc_protocol::{FailureDomain, MonoTime, UpstreamVersion};

use super::{
    announced_load::AnnouncedLoad,
    prefix_cache::PrefixCache,
    refusals::Refusals,
    speed::{MeanSlowdown, Speed},
};
use crate::{ColdLimit, RecentSends, SendPacer, load_estimate::load_factor};

/// Backoff after the first failed run; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff: a recovered engine is used again within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Times that were known when an engine was chosen for a run.
pub(super) struct RunTimes {
    /// Expected time to the first event on the engine.
    pub(super) expected: Duration,
    /// Expected time to the first event on an engine like its peers.
    pub(super) usual_first_event: Duration,
    /// Usual time to the end of a run.
    pub(super) usual_run: Duration,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) domain: FailureDomain,
    /// Version of its software, if it is known.
    pub(super) version: Option<UpstreamVersion>,
    pub(super) slots: u32,
    /// Whether the engine is registered and not leaving.
    pub(super) ready: bool,
    /// End of its cold phase, as far as known.
    pub(super) cold_until: MonoTime,
    /// Recent sends to the engine.
    pub(super) recent_sends: RecentSends,
    pub(super) prefix_cache: PrefixCache,
    /// Number of unfinished runs.
    pub(super) runs: u32,
    /// Expected time at which it has read all assigned prompts.
    pub(super) prefill_done_at: MonoTime,
    /// Whether the rules for uneven engines apply.
    is_uneven: bool,
    speed: Speed,
    mean_slowdown: MeanSlowdown,
    /// Pacing while the engine announces a rate limit.
    pub(super) rate_limit: Option<SendPacer>,
    pub(super) refusals: Refusals,
    pub(super) announced: AnnouncedLoad,
    failures: u32,
    retry_at: MonoTime,
}

impl Engine {
    pub(super) fn new(domain: FailureDomain, slots: u32, is_uneven: bool) -> Self {
        Self {
            domain,
            version: None,
            slots,
            ready: true,
            cold_until: MonoTime::default(),
            recent_sends: RecentSends::default(),
            prefix_cache: PrefixCache::default(),
            runs: 0,
            prefill_done_at: MonoTime::default(),
            is_uneven,
            speed: Speed::default(),
            mean_slowdown: MeanSlowdown::default(),
            rate_limit: None,
            refusals: Refusals::default(),
            announced: AnnouncedLoad::default(),
            failures: 0,
            retry_at: MonoTime::default(),
        }
    }

    /// Applies the rules for uneven engines from now on.
    pub(super) const fn set_uneven(&mut self) {
        self.is_uneven = true;
    }

    pub(super) fn is_healthy(&self, now: MonoTime) -> bool {
        self.retry_at <= now
    }

    /// Returns true if another run is expected to find a free slot. `run_time` is the usual time of a run.
    pub(super) fn has_free_slot(&self, now: MonoTime, run_time: Duration) -> bool {
        let (other_runs, slots) = self.load(now, run_time);
        f64::from(self.runs) + other_runs.floor() < f64::from(slots)
            && self.refusals.allow(now, self.runs)
    }

    /// Returns the expected number of runs of other senders, and the number of slots.
    fn load(&self, now: MonoTime, run_time: Duration) -> (f64, u32) {
        let other_runs = self.announced.other_runs(now, run_time);
        (other_runs, self.announced.slots(now, run_time, self.slots))
    }

    /// Returns the expected time of a run as a multiple of its usual time; 2 is half as fast.
    pub(super) fn slowdown(&self, now: MonoTime) -> f64 {
        if self.is_uneven {
            self.speed.slowdown(now)
        } else {
            self.mean_slowdown.times()
        }
    }

    /// Returns the expected time of one more run, as a multiple of its time on an idle engine of the service.
    pub(super) fn time_factor(&self, now: MonoTime, run_time: Duration) -> f64 {
        self.slowdown(now) * self.load_factor(now, run_time, 1)
    }

    /// Returns the time of a run as a multiple of its time on an idle engine, with this many more runs than now; 1 for an
    /// engine that announces no load.
    pub(super) fn load_factor(&self, now: MonoTime, run_time: Duration, more: u32) -> f64 {
        if !self.announced.is_known() {
            return 1.0;
        }
        let (other_runs, slots) = self.load(now, run_time);
        load_factor(
            f64::from(self.runs + more) + other_runs,
            f64::from(slots.max(1)),
        )
    }

    pub(super) fn is_cold(&self, now: MonoTime) -> bool {
        self.cold_until > now
    }

    /// Returns true if the home may send another request without exceeding the engine's cold limit, which also applies
    /// to warm engines, in a larger share, as they may have turned cold.
    pub(super) fn is_within_cold_limit(&self, now: MonoTime, limit: Option<ColdLimit>) -> bool {
        let Some(limit) = limit else { return true };
        let most = if self.is_cold(now) {
            limit.home_share()
        } else {
            limit.home_share_if_warm()
        };
        self.recent_sends.count(now) < most
    }

    /// Returns true if another send complies with the rate limit that the engine announces.
    pub(super) fn is_within_rate_limit(&self, now: MonoTime) -> bool {
        self.rate_limit.is_none_or(|paced| paced.may_send(now))
    }

    pub(super) fn record_send(&mut self, now: MonoTime) {
        if let Some(paced) = &mut self.rate_limit {
            paced.record(now);
        }
    }

    /// Records the first event of a run.
    pub(super) fn record_first_event(&mut self) {
        self.failures = 0;
        self.retry_at = MonoTime::default();
    }

    /// Records the time to the first event of a run that did not wait behind others.
    pub(super) fn record_time(&mut self, now: MonoTime, took: Duration, run: &RunTimes) {
        if self.is_uneven {
            let load_factor = self.load_factor(now, run.usual_run, 0);
            self.speed
                .record(now, took, run.usual_first_event, load_factor);
        } else {
            self.mean_slowdown.record(took, run.expected);
        }
    }

    /// Records a refusal. An engine that announces no momentary slowdown backs off as after a failure.
    pub(super) fn record_refusal(&mut self, now: MonoTime, run_time: Duration) {
        if self.is_uneven {
            self.refusals.record(now, self.runs, run_time);
        } else {
            self.record_failure(now);
        }
    }

    pub(super) fn record_failure(&mut self, now: MonoTime) {
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.retry_at = now.after(backoff.min(MAX_BACKOFF));
    }
}
