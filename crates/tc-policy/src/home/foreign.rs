//! Estimates the load on an upstream from calls that its home did not grant, based on the upstream's delayed reports.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::{MonoTime, wire::LoadReport};

/// Resolution of the history of calls in flight.
const STEP: Duration = Duration::from_millis(250);
/// Steps kept. Reports about an earlier time are ignored.
const HISTORY_STEPS: usize = 40;
/// Time for which a report is used.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Compares each report with the home's own calls in flight at the time that the report describes.
#[derive(Debug, Default)]
pub(super) struct ForeignLoad {
    /// Start of each step and the peak number of calls in flight during it.
    history: VecDeque<(MonoTime, u32)>,
    last: Option<(MonoTime, u32)>,
    previous: u32,
}

impl ForeignLoad {
    /// Records the number of calls in flight.
    pub(super) fn record(&mut self, now: MonoTime, in_flight: u32) {
        if let Some((started, peak)) = self.history.back_mut()
            && now.since(*started) < STEP
        {
            *peak = (*peak).max(in_flight);
            return;
        }
        self.history.push_back((now, in_flight));
        if self.history.len() > HISTORY_STEPS {
            self.history.pop_front();
        }
    }

    /// Processes a load report.
    pub(super) fn report(&mut self, now: MonoTime, report: &LoadReport, in_flight: u32) {
        self.record(now, in_flight);
        let age = Duration::from_millis(report.age_ms) + STEP;
        let Some(&(oldest, _)) = self.history.front() else {
            return;
        };
        // The history does not reach back to the time of the report, so there is nothing to compare it with.
        if now.since(oldest) < age && self.history.len() == HISTORY_STEPS {
            return;
        }
        let mut own_peak = 0;
        for &(started, peak) in self.history.iter().rev() {
            own_peak = own_peak.max(peak);
            if now.since(started) >= age {
                break;
            }
        }
        let reported = report.running.saturating_add(report.queued);
        self.previous = self.last.map_or(0, |(_, calls)| calls);
        self.last = Some((now, reported.saturating_sub(own_peak)));
    }

    /// Returns the number of foreign calls: the smaller of the last two reports, so that a single outlier has no
    /// effect.
    pub(super) fn calls(&self, now: MonoTime) -> u32 {
        match self.last {
            Some((at, calls)) if now.since(at) < REPORT_LIFETIME => calls.min(self.previous),
            _ => 0,
        }
    }
}
