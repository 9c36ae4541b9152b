//! The window of one paced upstream.

use std::time::Duration;

use tc_protocol::{MonoTime, UpstreamId};

/// Part of the slots that may be in use at first.
const INITIAL_PART: f64 = 0.125;
/// Lower bound of the initial window, so that one lost request does not delay the next.
const MIN_INITIAL: f64 = 2.0;
/// Lower bound of the window: the upstream is never idle while there are requests.
const MIN_WINDOW: f64 = 1.0;
/// Factor applied to the window after a slow answer.
const SLOW_DECREASE: f64 = 0.5;
/// Ratio to the expected time beyond which an answer is slow.
const SLOW_RATIO: f64 = 2.5;
/// Time beyond that ratio that is not slow: shorter times vary with the requests beside them.
const SLOW_MARGIN: Duration = Duration::from_millis(50);
/// Answers in time after which an upstream may count as like its peers.
const MIN_ANSWERS: u32 = 8;
/// Ratio of the window to the load of the peers from which on the window does not bind.
const PEER_LOAD_RATIO: f64 = 2.0;
/// Slow answers at the smallest window after which load is not the cause.
const MAX_SLOW_AT_MINIMUM: u32 = 8;

/// Why an upstream is paced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceCause {
    /// It registered after the first list of upstreams was known.
    New,
    /// It failed several times in a row.
    Failures,
}

impl PaceCause {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Failures => "failures",
        }
    }
}

/// Evidence of one request about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It answered within the expected time.
    InTime,
    /// It answered late.
    Slow,
    /// It failed or refused the request.
    Failed,
}

impl Evidence {
    /// Compares a time with the expected one; any time is in time if none is expected.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_policy::Evidence;
    /// let ms = Duration::from_millis;
    /// assert_eq!(Evidence::of_answer(ms(290), Some(ms(100))), Evidence::InTime);
    /// assert_eq!(Evidence::of_answer(ms(310), Some(ms(100))), Evidence::Slow);
    /// assert_eq!(Evidence::of_answer(ms(310), None), Evidence::InTime);
    /// ```
    #[must_use]
    pub fn of_answer(took: Duration, expected: Option<Duration>) -> Self {
        match expected {
            Some(expected) if took > expected.mul_f64(SLOW_RATIO) + SLOW_MARGIN => Self::Slow,
            _ => Self::InTime,
        }
    }

    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Slow => "slow",
            Self::Failed => "failed",
        }
    }
}

/// Why a pace ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceEnd {
    /// The window covers all slots.
    AllSlots,
    /// The upstream answers as its peers do, and the window is well above their load.
    LikePeers,
    /// The upstream is slow with a single request, so a smaller load does not help.
    AlwaysSlow,
}

impl PaceEnd {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::AllSlots => "all_slots",
            Self::LikePeers => "like_peers",
            Self::AlwaysSlow => "always_slow",
        }
    }
}

/// A change of the pace of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// The pace began with this window.
    Begun(PaceCause, u32),
    /// The window was lowered to this number.
    Lowered(Evidence, u32),
    /// The pace ended after this time.
    Ended(PaceEnd, Duration),
}

/// A change of a pace and its upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceEvent {
    /// The paced upstream.
    pub upstream: UpstreamId,
    /// The change.
    pub change: PaceChange,
}

/// Window of requests in progress at an upstream.
///
/// ```
/// use tc_policy::{Evidence, PacedWindow};
/// use tc_protocol::MonoTime;
/// let now = MonoTime::from_millis(1_000);
/// let mut pace = PacedWindow::new(now, 16);
/// assert_eq!(pace.window(), 2);
/// assert_eq!(pace.record(now, Evidence::InTime, 2, 8.0), None);
/// assert_eq!(pace.window(), 3);
/// pace.record(now, Evidence::Failed, 3, 8.0);
/// assert_eq!(pace.window(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct PacedWindow {
    began: MonoTime,
    slots: u32,
    window: f64,
    in_time: u32,
    slow_at_minimum: u32,
    /// Answers to requests that were sent before the window was last lowered.
    outdated: u32,
}

impl PacedWindow {
    /// Begins with an eighth of the slots.
    #[must_use]
    pub fn new(now: MonoTime, slots: u32) -> Self {
        Self {
            began: now,
            slots,
            window: initial_window(slots),
            in_time: 0,
            slow_at_minimum: 0,
            outdated: 0,
        }
    }

    /// Returns the number of requests that may be in progress.
    #[must_use]
    pub const fn window(&self) -> u32 {
        self.window as u32
    }

    /// Records what a request shows, with the requests in progress including it, and the mean of its peers.
    ///
    /// The window grows only while at least half of it is used: an upstream with few requests does not show that it
    /// can take more.
    pub fn record(
        &mut self,
        now: MonoTime,
        evidence: Evidence,
        in_progress: u32,
        peer_load: f64,
    ) -> Option<PaceChange> {
        let before = self.window();
        let is_outdated = self.outdated > 0;
        self.outdated = self.outdated.saturating_sub(1);
        match evidence {
            Evidence::InTime => self.grow(in_progress),
            Evidence::Slow if is_outdated => {}
            Evidence::Slow if self.window <= MIN_WINDOW => self.slow_at_minimum += 1,
            Evidence::Slow => self.lower(self.window * SLOW_DECREASE, in_progress),
            Evidence::Failed => self.lower(MIN_WINDOW, in_progress),
        }
        if let Some(end) = self.end(peer_load) {
            return Some(PaceChange::Ended(end, now.since(self.began)));
        }
        (self.window() < before).then(|| PaceChange::Lowered(evidence, self.window()))
    }

    fn grow(&mut self, in_progress: u32) {
        self.in_time += 1;
        self.slow_at_minimum = 0;
        if f64::from(in_progress) * 2.0 >= self.window {
            self.window += 1.0;
        }
    }

    fn lower(&mut self, window: f64, in_progress: u32) {
        self.window = window.max(MIN_WINDOW);
        self.in_time = 0;
        self.outdated = in_progress.saturating_sub(1);
    }

    fn end(&self, peer_load: f64) -> Option<PaceEnd> {
        if self.window >= f64::from(self.slots) {
            Some(PaceEnd::AllSlots)
        } else if self.in_time >= MIN_ANSWERS && self.window >= PEER_LOAD_RATIO * peer_load {
            Some(PaceEnd::LikePeers)
        } else if self.slow_at_minimum >= MAX_SLOW_AT_MINIMUM {
            Some(PaceEnd::AlwaysSlow)
        } else {
            None
        }
    }
}

/// Returns the window with which the pace of an upstream begins.
pub(super) fn initial_window(slots: u32) -> f64 {
    (f64::from(slots) * INITIAL_PART).max(MIN_INITIAL).floor()
}
