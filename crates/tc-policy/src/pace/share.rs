//! A window that instances without a home divide among themselves.

use std::time::Duration;

use tc_protocol::MonoTime;

use super::window::{Evidence, PaceCause, PaceChange, PaceEnd, initial_window};

/// Time in which the window of a new upstream doubles at most. All instances learn of a registration within it.
const ROUND: Duration = Duration::from_millis(500);
/// Time in which the window of a recovering upstream doubles at most. Each instance has seen the failures itself.
const RECOVERY_ROUND: Duration = Duration::from_millis(250);
/// Factor applied to the window after a slow answer.
const SLOW_DECREASE: f64 = 0.5;
/// Lower bound of the window.
const MIN_WINDOW: f64 = 1.0;
/// Slow answers at the smallest window after which load is not the cause.
const MAX_SLOW_AT_MINIMUM: u32 = 8;

/// Returns the part of a window for the instance with this rank among `senders`. The parts of all ranks add up to the
/// window.
///
/// ```
/// use tc_policy::share_of_window;
/// let parts: Vec<u32> = (0..4).map(|rank| share_of_window(6, rank, 4)).collect();
/// assert_eq!(parts, [2, 2, 1, 1]);
/// assert_eq!(share_of_window(2, 5, 300), 0);
/// ```
#[must_use]
pub const fn share_of_window(window: u32, rank: usize, senders: usize) -> u32 {
    let senders = if senders == 0 { 1 } else { senders as u32 };
    let has_one_more = (rank as u32) < window % senders;
    window / senders + has_one_more as u32
}

/// Window of an upstream that many instances send to without a home.
///
/// All instances see the upstream register and compute the same bound, which doubles with each round. An instance with
/// a part of it stays below unless its own answers arrive in time. The others have no answers and follow the bound.
#[derive(Clone, Debug)]
pub struct SharedWindow {
    began: MonoTime,
    slots: u32,
    round: Duration,
    /// Start of the bound, which moves when the window is lowered.
    bound_from: (MonoTime, f64),
    own: f64,
    slow_at_minimum: u32,
}

impl SharedWindow {
    /// Begins with the same window as [`PacedWindow`](super::PacedWindow).
    #[must_use]
    pub fn new(now: MonoTime, slots: u32, cause: PaceCause) -> Self {
        let initial = initial_window(slots);
        Self {
            began: now,
            slots,
            round: match cause {
                PaceCause::New => ROUND,
                PaceCause::Failures => RECOVERY_ROUND,
            },
            bound_from: (now, initial),
            own: initial,
            slow_at_minimum: 0,
        }
    }

    /// Returns the requests that all instances together may have in progress at most.
    #[must_use]
    pub fn bound(&self, now: MonoTime) -> f64 {
        let (from, start) = self.bound_from;
        let rounds = now.since(from).as_secs_f64() / self.round.as_secs_f64();
        (start * rounds.floor().exp2()).min(f64::from(self.slots))
    }

    /// Returns how many requests the instance with this rank may have in progress.
    pub fn share(&mut self, now: MonoTime, rank: usize, senders: usize) -> u32 {
        let bound = self.bound(now);
        if share_of_window(self.own as u32, rank, senders) == 0 {
            self.own = bound;
        }
        share_of_window(self.own.min(bound) as u32, rank, senders)
    }

    /// Returns true if the window covers all slots.
    #[must_use]
    pub fn has_ended(&self, now: MonoTime) -> bool {
        self.own.min(self.bound(now)) >= f64::from(self.slots)
    }

    /// Records what a request of the instance with this rank shows.
    pub fn record(
        &mut self,
        now: MonoTime,
        evidence: Evidence,
        rank: usize,
        senders: usize,
    ) -> Option<PaceChange> {
        let share = self.share(now, rank, senders);
        match evidence {
            // One answer stands for those of the other instances, too.
            Evidence::InTime => {
                self.slow_at_minimum = 0;
                let bound = self.bound(now);
                self.own = (self.own + self.own / f64::from(share.max(1))).min(bound);
            }
            Evidence::Slow if self.own <= MIN_WINDOW => self.slow_at_minimum += 1,
            Evidence::Slow => return self.lower(now, evidence, self.own * SLOW_DECREASE),
            Evidence::Failed => return self.lower(now, evidence, MIN_WINDOW),
        }
        let end = if self.has_ended(now) {
            PaceEnd::AllSlots
        } else if self.slow_at_minimum >= MAX_SLOW_AT_MINIMUM {
            PaceEnd::AlwaysSlow
        } else {
            return None;
        };
        Some(self.ended(now, end))
    }

    /// Returns the change that ends the pace.
    pub(super) fn ended(&self, now: MonoTime, end: PaceEnd) -> PaceChange {
        PaceChange::Ended(end, now.since(self.began))
    }

    /// Delays the bound, as requests are held back for this long after a failure.
    pub(super) fn delay_bound(&mut self, by: Duration) {
        self.bound_from.0 = self.bound_from.0.after(by);
    }

    fn lower(&mut self, now: MonoTime, evidence: Evidence, window: f64) -> Option<PaceChange> {
        let before = self.own as u32;
        self.own = window.max(MIN_WINDOW);
        self.bound_from = (now, self.own);
        let window = self.own as u32;
        (window < before).then_some(PaceChange::Lowered(evidence, window))
    }
}
