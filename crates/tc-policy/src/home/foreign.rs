//! Load on an upstream that is not from permits of its home, as far as its lagging reports show it.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::{MonoTime, wire::LoadReport};

/// Resolution of the history of calls in flight.
const STEP: Duration = Duration::from_millis(250);
/// Steps kept; reports older than this tell nothing.
const STEPS: usize = 40;
/// How long a report counts.
const REPORT_LASTS: Duration = Duration::from_secs(5);

/// Compares reports with what was in flight at the time they speak of.
#[derive(Debug, Default)]
pub(super) struct ForeignLoad {
    /// Start of a step and most calls in flight in it.
    history: VecDeque<(MonoTime, u32)>,
    last: Option<(MonoTime, u32)>,
    before: u32,
}

impl ForeignLoad {
    /// Notes the calls in flight.
    pub(super) fn note(&mut self, now: MonoTime, in_flight: u32) {
        if let Some((started, peak)) = self.history.back_mut()
            && now.since(*started) < STEP
        {
            *peak = (*peak).max(in_flight);
            return;
        }
        self.history.push_back((now, in_flight));
        if self.history.len() > STEPS {
            self.history.pop_front();
        }
    }

    /// Takes in a report.
    pub(super) fn report(&mut self, now: MonoTime, report: &LoadReport, in_flight: u32) {
        self.note(now, in_flight);
        let age = Duration::from_millis(report.age_ms) + STEP;
        let Some(&(oldest, _)) = self.history.front() else {
            return;
        };
        // Without history as old as the report there is nothing to compare it with.
        if now.since(oldest) < age && self.history.len() == STEPS {
            return;
        }
        let mut ours = 0;
        for &(started, peak) in self.history.iter().rev() {
            ours = ours.max(peak);
            if now.since(started) >= age {
                break;
            }
        }
        let there = report.running.saturating_add(report.queued);
        self.before = self.last.map_or(0, |(_, calls)| calls);
        self.last = Some((now, there.saturating_sub(ours)));
    }

    /// Foreign calls: the fewer of the last two reports, so that one odd report changes nothing.
    pub(super) fn calls(&self, now: MonoTime) -> u32 {
        match self.last {
            Some((at, calls)) if now.since(at) < REPORT_LASTS => calls.min(self.before),
            _ => 0,
        }
    }
}
