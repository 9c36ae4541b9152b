//! Timing and size limits of membership, and how they grow with the number of instances.

use std::time::Duration;

/// Up to this many instances the configured times hold as they are.
const UNSCALED_MEMBERS: usize = 8;

/// Timing and size limits of membership.
///
/// Probe interval and suspicion are for up to eight instances; for more they grow with the logarithm of their number,
/// because news then takes more steps to reach all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two probes that an instance sends.
    pub probe_interval: Duration,
    /// Time for the answer to a direct probe; a probe through others takes at most twice as long again.
    pub probe_timeout: Duration,
    /// Time for a suspected instance to refute.
    pub suspicion_timeout: Duration,
    /// Instances asked to probe in our place, and instances told at once of a state change.
    pub fanout: usize,
    /// Most records in one message, besides the sender's own.
    pub max_changes: usize,
    /// How long a dead instance is still shown.
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
    /// How much longer things take among `members` instances than among eight.
    fn scale(members: usize) -> f64 {
        let unscaled = UNSCALED_MEMBERS as f64;
        (members.max(UNSCALED_MEMBERS) as f64).log2() / unscaled.log2()
    }

    pub(crate) fn interval(&self, members: usize) -> Duration {
        self.probe_interval.mul_f64(Self::scale(members))
    }

    pub(crate) fn suspicion_among(&self, members: usize) -> Duration {
        self.suspicion_timeout.mul_f64(Self::scale(members))
    }

    /// Time from sending a direct probe to taking it for failed.
    pub(crate) fn probe_deadline(&self) -> Duration {
        self.probe_timeout * 3
    }
}
