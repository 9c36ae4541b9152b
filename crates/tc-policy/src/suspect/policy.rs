//! When a suspect runs alone, and when it is refused.

use std::time::Duration;

/// Thresholds for trials and quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// Crashes after which a request is quarantined (at least 1).
    pub crashes_to_quarantine: u32,
    /// Crashes after which a prompt part is quarantined (at least 1).
    pub crashes_to_quarantine_part: u32,
    /// Crashes from which a fingerprint runs only as a trial, one at a time (at least 1).
    ///
    /// With 1, the innocent requests in a first crash wait for each other's trials. With more they do not, but the
    /// culprit may crash several upstreams at the same time.
    pub crashes_to_trial: u32,
    /// Whether a request is quarantined only if it ran as a trial in one of its crashes.
    ///
    /// An outage of several upstreams breaks several runs of a request that many callers send. They look like crashes by
    /// the request until it runs alone.
    pub needs_lone_crash: bool,
    /// Time after a crash in which no trial of its suspects starts, as other upstreams may follow in the same outage.
    pub trial_delay: Duration,
    /// Duration of a quarantine; `None` means until an operator lifts it.
    pub quarantine_duration: Option<Duration>,
}
