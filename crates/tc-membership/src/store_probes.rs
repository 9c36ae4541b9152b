//! Probes of a store that does not answer, for an outage in which every instance of a fleet loses it at once.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Delay of a watcher's first probe after a failure, doubled with each further failure.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between a watcher's probes, which bounds how late the fleet learns of the store's return.
const MAX_DELAY: Duration = Duration::from_millis(800);
/// Probes per second that all instances make together which hear of the store's return from a watcher.
const FOLLOWER_PROBES_PER_S: f64 = 8.0;
/// Maximum delay between the probes of one of these instances.
const MAX_FOLLOWER_DELAY: Duration = Duration::from_secs(30);

/// Probes of one instance to a store that is away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProbeRole {
    /// Others wait for this instance, or it hears from no other instance.
    #[default]
    Frequent,
    /// A source reports to this instance, and `instances` of them share a budget of probes.
    Shared {
        /// Number of instances that share the budget.
        instances: usize,
    },
}

/// Decides when one instance calls a store that does not answer.
///
/// While the store is away, an instance makes one call at a time, whatever it has to read.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::{ProbeRole, StoreProbes};
/// use tc_protocol::MonoTime;
/// let now = MonoTime::from_millis(1_000);
/// let mut probes = StoreProbes::default();
/// assert_eq!(probes.until_probe(now, ProbeRole::Frequent), None, "it answers");
/// probes.record_failure(now, 0.0);
/// let follower = ProbeRole::Shared { instances: 80 };
/// let wait = |role| probes.until_probe(now, role);
/// assert_eq!(wait(ProbeRole::Frequent), Some(Duration::from_millis(25)));
/// assert_eq!(wait(follower), Some(Duration::from_secs(5)));
/// probes.record_answer();
/// assert!(!probes.is_away());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoreProbes {
    is_away: bool,
    failures: u32,
    last_failure: Option<MonoTime>,
    /// Random number in `0.0..1.0`, which keeps instances from probing in lockstep.
    random: f64,
}

impl StoreProbes {
    /// Returns true if the last call failed or the store is suspected to be away.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.is_away
    }

    /// Records a sign that the store is away. The next call is a probe, which may be made at once.
    pub const fn suspect(&mut self) {
        self.is_away = true;
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: MonoTime, random: f64) {
        self.is_away = true;
        self.failures = self.failures.saturating_add(1);
        self.last_failure = Some(now);
        self.random = random.clamp(0.0, 1.0);
    }

    /// Records an answered call.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until the next probe, or `None` if the store is not away.
    #[must_use]
    pub fn until_probe(&self, now: MonoTime, role: ProbeRole) -> Option<Duration> {
        let delay = self
            .last_failure
            .map_or(Duration::ZERO, |at| at.after(self.delay(role)).since(now));
        self.is_away.then_some(delay)
    }

    fn delay(&self, role: ProbeRole) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        let frequent = (INITIAL_DELAY * 2u32.pow(doublings)).min(MAX_DELAY);
        let frequent = frequent.mul_f64(0.5 + 0.5 * self.random);
        match role {
            ProbeRole::Frequent => frequent,
            ProbeRole::Shared { instances } => {
                let interval = Duration::from_secs_f64(instances as f64 / FOLLOWER_PROBES_PER_S);
                let shared = interval.mul_f64(0.5 + self.random);
                frequent.max(shared.min(MAX_FOLLOWER_DELAY))
            }
        }
    }
}
