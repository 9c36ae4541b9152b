//! Momentary slowdown of an upstream's machine, as the upstream announces it.
//!
//! Machines are shared, so this changes many times a second; how fast an upstream is otherwise is its lasting slowdown.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Half-life of an announced slowdown.
const HALF_LIFE: Duration = Duration::from_millis(100);
/// Longest time before an announcement that it says something about.
const REACH: Duration = Duration::from_millis(150);
/// Bounds of a slowdown that is believed.
const BOUNDS: (f64, f64) = (0.1, 20.0);

/// Returns what is left of the weight of a figure.
pub(crate) fn faded(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// A slowdown within the bounds that are believed; 1 is usual and 2 half as fast.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Returns `None` for a value that no machine can have.
    ///
    /// ```
    /// use tc_policy::Slowdown;
    /// assert_eq!(Slowdown::new(2.5).map(Slowdown::times), Some(2.5));
    /// for times in [0.0, -1.0, 1e9, f64::NAN, f64::INFINITY] {
    ///     assert_eq!(Slowdown::new(times), None);
    /// }
    /// ```
    #[must_use]
    pub fn new(times: f64) -> Option<Self> {
        (BOUNDS.0..=BOUNDS.1)
            .contains(&times)
            .then_some(Self(times))
    }

    /// Returns the time of work as a multiple of its usual time.
    #[must_use]
    pub const fn times(self) -> f64 {
        self.0
    }
}

/// Announcement of the momentary slowdown in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedSlowdown {
    /// It says nothing.
    #[default]
    None,
    /// Work takes this many times as long as usual.
    Times(Slowdown),
    /// The announcement cannot be parsed, or is out of bounds.
    Unreadable,
}

/// The last announced slowdown of an upstream, which fades to the usual speed.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{AnnouncedSlowdown, MomentarySlowdown, Slowdown};
/// use tc_protocol::MonoTime;
/// let at = MonoTime::from_millis;
/// let mut momentary = MomentarySlowdown::default();
/// let twice = Slowdown::new(2.0).map_or(AnnouncedSlowdown::Unreadable, AnnouncedSlowdown::Times);
/// momentary.record(at(1_000), twice);
/// assert_eq!(momentary.at(at(1_000)), 2.0);
/// assert!(momentary.at(at(1_400)) < 1.1);
/// assert_eq!(momentary.usual_time(at(1_000), Duration::from_millis(80)), Duration::from_millis(40));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MomentarySlowdown(Option<(Slowdown, MonoTime)>);

impl MomentarySlowdown {
    /// Records what an answer announces. One that announces nothing usable leaves the usual speed.
    pub const fn record(&mut self, now: MonoTime, announced: AnnouncedSlowdown) {
        self.0 = match announced {
            AnnouncedSlowdown::Times(slowdown) => Some((slowdown, now)),
            AnnouncedSlowdown::None | AnnouncedSlowdown::Unreadable => None,
        };
    }

    /// Returns true if the last answer announced a slowdown.
    #[must_use]
    pub const fn is_announced(&self) -> bool {
        self.0.is_some()
    }

    /// Returns the expected time of work that begins now, as a multiple of its usual time.
    #[must_use]
    pub fn at(&self, now: MonoTime) -> f64 {
        self.0.map_or(1.0, |(slowdown, at)| {
            1.0 + faded(now.since(at), HALF_LIFE) * (slowdown.0 - 1.0)
        })
    }

    /// Returns how long work that ends now and took `took` takes usually. An announcement covers only the last part of
    /// long work.
    #[must_use]
    pub fn usual_time(&self, now: MonoTime, took: Duration) -> Duration {
        match self.0 {
            Some((slowdown, at)) if now.since(at) < REACH => {
                let covered = took.min(REACH);
                took.saturating_sub(covered) + covered.div_f64(slowdown.0)
            }
            _ => took,
        }
    }
}
