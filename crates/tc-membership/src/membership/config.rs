//! Timing and size limits of membership, and how they scale with the number of instances.

use std::time::Duration;

/// Fleets of up to this many instances use the configured durations unscaled.
const UNSCALED_MEMBERS: usize = 8;

/// Timing and size limits of membership.
///
/// The probe interval and suspicion timeout apply to fleets of up to eight instances. In larger
/// fleets they grow with the logarithm of the fleet size, because updates need more gossip rounds
/// to reach every instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between the probes sent by an instance.
    pub probe_interval: Duration,
    /// Time allowed for the reply to a direct probe. Indirect probes get at most twice this in
    /// addition.
    pub probe_timeout: Duration,
    /// Time a suspected instance has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Number of instances asked to probe indirectly, and number notified immediately of a state
    /// change.
    pub fanout: usize,
    /// Maximum number of records per message, excluding the sender's own.
    pub max_changes: usize,
    /// How long a dead instance remains in the member list.
    pub dead_retention: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(100),
            suspicion_timeout: Duration::from_millis(500),
            fanout: 3,
            max_changes: 3,
            dead_retention: Duration::from_mins(1),
        }
    }
}

impl MembershipConfig {
    /// Factor by which durations grow for `members` instances, relative to eight.
    fn scale(members: usize) -> f64 {
        let unscaled = UNSCALED_MEMBERS as f64;
        (members.max(UNSCALED_MEMBERS) as f64).log2() / unscaled.log2()
    }

    pub(crate) fn scaled_probe_interval(&self, members: usize) -> Duration {
        self.probe_interval.mul_f64(Self::scale(members))
    }

    pub(crate) fn scaled_suspicion_timeout(&self, members: usize) -> Duration {
        self.suspicion_timeout.mul_f64(Self::scale(members))
    }

    /// Time after a direct probe is sent at which it counts as failed.
    pub(crate) fn probe_deadline(&self) -> Duration {
        self.probe_timeout * 3
    }
}
